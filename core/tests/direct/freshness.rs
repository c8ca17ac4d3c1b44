use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::freshness::Freshness;

const BOUND: Duration = Duration::from_secs(4);

// An operator revokes a key while an entry is partitioned from the store. Without an expiring lease the entry
// would accept the key indefinitely.
#[test]
fn is_valid_until_bound_after_read_was_sent() {
    let mut freshness = Freshness::new(BOUND);
    assert!(!freshness.is_valid(Time::ZERO));
    freshness.confirm(Time::from_millis(1_000));
    assert!(freshness.is_valid(Time::from_millis(4_999)));
    assert!(!freshness.is_valid(Time::from_millis(5_000)));
}

// The response to an older read arrives after the response to a newer one.
#[test]
fn confirm_never_shortens_the_lease() {
    let mut freshness = Freshness::new(BOUND);
    freshness.confirm(Time::from_millis(3_000));
    freshness.confirm(Time::from_millis(1_000));
    assert!(freshness.is_valid(Time::from_millis(6_999)));
    assert_eq!(freshness.age(Time::from_millis(4_000)), Some(Duration::from_secs(1)));
}
