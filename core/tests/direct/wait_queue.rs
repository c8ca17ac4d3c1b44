use mastichaven_core::Time;
use mastichaven_core::direct::wait_queue::WaitQueue;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

// A freed place goes to a call of a low level, or to one that can wait longer than another of its level.
#[test]
fn waiters_are_ordered_by_level_then_time_then_arrival() {
    let mut queue = WaitQueue::default();
    queue.insert(1, ms(100), "low");
    queue.insert(0, ms(400), "high, later");
    queue.insert(0, ms(300), "high");
    let tied = queue.insert(0, ms(300), "high, tied");
    let mut order = Vec::new();
    let mut next = queue.first();
    while let Some((key, waiter)) = next {
        order.push(*waiter);
        next = queue.next_after(key);
    }
    assert_eq!(order, ["high", "high, tied", "high, later", "low"]);
    // A waiter that has left still tells who follows it.
    assert_eq!(queue.remove(tied), Some("high, tied"));
    assert_eq!(queue.next_after(tied).map(|(_, waiter)| *waiter), Some("high, later"));
}

// A call that arrives takes the place for which another one of its level has waited.
#[test]
fn waiters_precede_arrivals_of_their_level_and_lower() {
    let mut queue = WaitQueue::default();
    assert!(!queue.precedes(2));
    queue.insert(1, ms(100), ());
    assert_eq!([0, 1, 2].map(|level| queue.precedes(level)), [false, true, true]);
}
