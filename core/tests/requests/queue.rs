use std::collections::HashMap;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::queue::FairQueue;
use mastichaven_core::queue::QueuedItem;

const FAR_DEADLINE: Time = Time::from_millis(1_000_000);

fn queued(customer: &str, item: u32, work: u32, priority: u8) -> QueuedItem<u32> {
    QueuedItem {
        item,
        customer: CustomerName::new(customer),
        work,
        priority,
        deadline: FAR_DEADLINE,
    }
}

// A large customer floods the queue before a small one sends a few requests. In FIFO order these
// would wait behind the whole flood.
#[test]
fn pop_alternates_customers_under_flood() {
    let mut queue = FairQueue::default();
    for item in 0..500 {
        assert!(queue.push(queued("large", item, 100, 9), 1, false, 1_000).is_none());
    }
    for item in 0..5 {
        assert!(queue.push(queued("small", item, 100, 0), 1, false, 1_000).is_none());
    }
    let first: Vec<_> = (0..12).map(|_| queue.pop(Time::ZERO, &mut Vec::new()).unwrap()).collect();
    let small = first.iter().filter(|w| w.customer.as_str() == "small").count();
    assert!(small >= 4, "{small} of 5 within the first 12");
}

#[test]
fn pop_shares_work_by_weight() {
    let mut queue = FairQueue::default();
    for item in 0..2_000 {
        queue.push(queued("one", item, 50, 0), 1, false, 10_000);
        queue.push(queued("three", item, 200, 0), 3, false, 10_000);
    }
    let mut work: HashMap<CustomerName, u64> = HashMap::new();
    for _ in 0..1_000 {
        let popped = queue.pop(Time::ZERO, &mut Vec::new()).unwrap();
        *work.entry(popped.customer).or_default() += u64::from(popped.work);
    }
    let ratio = work[&"three".into()] as f64 / work[&"one".into()] as f64;
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

// The queue is full of one customer's requests when a request of another arrives. Refusing the new
// request would lock out all other customers.
#[test]
fn push_full_sheds_longest_flow() {
    let mut queue = FairQueue::default();
    for item in 0..10 {
        queue.push(queued("large", item, 1, 0), 1, false, 10);
    }
    let shed = queue.push(queued("small", 0, 1, 0), 1, false, 10).unwrap();
    assert_eq!((shed.customer.as_str(), shed.item), ("large", 9));
    assert_eq!(queue.len(), 10);
}

#[test]
fn pop_priority_and_expired() {
    let mut queue = FairQueue::default();
    let expired = QueuedItem { deadline: Time::from_millis(5), ..queued("a", 1, 1, 9) };
    queue.push(expired, 1, false, 10);
    queue.push(queued("a", 2, 1, 0), 1, false, 10);
    queue.push(queued("a", 3, 1, 4), 1, false, 10);
    queue.push(queued("a", 4, 1, 4), 1, true, 10);
    let mut expired = Vec::new();
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(Time::from_millis(6), &mut expired))
        .map(|popped| popped.item)
        .collect();
    assert_eq!(order, [4, 3, 2]);
    assert_eq!(expired.len(), 1);
}

#[test]
fn expected_wait_under_flood() {
    let mut queue = FairQueue::default();
    for item in 0..200 {
        queue.push(queued("large", item, 100, 0), 1, false, 1_000);
    }
    for millis in 0..50 {
        queue.pop(Time::from_millis(millis * 10), &mut Vec::new());
    }
    assert!(queue.expected_wait(&"large".into()) > Duration::from_secs(1));
    assert!(queue.expected_wait(&"small".into()) < Duration::from_millis(50));
}
