use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::freshness::Freshness;

const BOUND: Duration = Duration::from_secs(4);

// An operator takes a key away while an entry is cut off from the store. The entry would let the key
// pass for ever if it did not stop acting on what it cannot confirm.
#[test]
fn holds_until_the_bound_after_the_read_was_sent() {
    let mut freshness = Freshness::new(BOUND);
    assert!(!freshness.holds(Time::ZERO));
    freshness.confirm(Time::from_millis(1_000));
    assert!(freshness.holds(Time::from_millis(4_999)));
    assert!(!freshness.holds(Time::from_millis(5_000)));
}

// The answer to an old read comes after that to a newer one.
#[test]
fn confirm_never_shortens_the_lease() {
    let mut freshness = Freshness::new(BOUND);
    freshness.confirm(Time::from_millis(3_000));
    freshness.confirm(Time::from_millis(1_000));
    assert!(freshness.holds(Time::from_millis(6_999)));
    assert_eq!(freshness.age(Time::from_millis(4_000)), Some(Duration::from_secs(1)));
}
