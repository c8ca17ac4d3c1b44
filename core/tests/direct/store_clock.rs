use mastichaven_core::Time;
use mastichaven_core::direct::store_clock::StoreClock;
use mastichaven_core::ids::StorePosition;

// A version is dated by the arrival of an answer that the store held back, so that requests begin on the older one
// after its bound.
#[test]
fn before_is_last_read_without_the_change() {
    let mut clock = StoreClock::default();
    let at = |revision| StorePosition::new(1, revision);
    assert_eq!(clock.before(at(5)), None);
    clock.record_read(at(5), Time::from_millis(700));
    assert_eq!(clock.before(at(5)), None);
    // Reads of several kinds end in any order.
    clock.record_read(at(3), Time::from_millis(900));
    clock.record_read(at(4), Time::from_millis(800));
    assert_eq!(clock.before(at(5)), Some(Time::from_millis(900)));
    assert_eq!(clock.before(at(4)), Some(Time::from_millis(900)));
    assert_eq!(clock.before(at(3)), None);
}

#[test]
fn before_forgets_old_reads_only() {
    let mut clock = StoreClock::default();
    for n in 1..1_000 {
        clock.record_read(StorePosition::new(1, n), Time::from_millis(n));
    }
    assert_eq!(clock.before(StorePosition::new(1, 990)), Some(Time::from_millis(989)));
    assert_eq!(clock.before(StorePosition::new(1, 2)), None);
}
