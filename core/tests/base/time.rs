//! Tests of instants.

use std::time::Duration;

use mastichaven_core::Time;

#[test]
fn since_later_instant_is_zero() {
    assert_eq!(Time::from_millis(1).since(Time::from_millis(2)), Duration::ZERO);
}

#[test]
fn add_saturates() {
    let end = Time::from_micros(u64::MAX) + Duration::from_secs(1);
    assert_eq!(end.as_micros(), u64::MAX);
}
