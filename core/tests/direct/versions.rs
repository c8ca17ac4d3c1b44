use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::versions::Versions;

const BOUND: Duration = Duration::from_secs(8);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

// Versions 2 and 3 are announced four seconds apart. Barring version 1 as soon as version 3 is announced would
// leave no endpoint to serve the model, and all its requests would be rejected for seconds.
#[test]
fn oldest_allowed_applies_bound_per_version() {
    let mut versions = Versions::new(1);
    assert!(versions.record_announcement(2, at(10)));
    assert!(versions.record_announcement(3, at(14)));
    assert_eq!(versions.oldest_allowed(BOUND, at(15)), 1);
    assert_eq!(versions.oldest_allowed(BOUND, at(18)), 2);
    assert_eq!(versions.oldest_allowed(BOUND, at(22)), 3);
}

#[test]
fn record_announcement_ignores_older_version() {
    let mut versions = Versions::new(3);
    assert!(!versions.record_announcement(2, at(1)));
    assert!(!versions.record_announcement(3, at(1)));
    assert_eq!(versions.newest(), 3);
    assert_eq!(versions.oldest_allowed(BOUND, at(1)), 3);
}

#[test]
fn outdated_since_first_newer_version() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, at(10));
    versions.record_announcement(3, at(14));
    assert_eq!(versions.outdated_since(1), Some(at(10)));
    assert_eq!(versions.outdated_since(2), Some(at(14)));
    assert_eq!(versions.outdated_since(3), None);
}

// Guards against a request that begins on version 1 after the bound of version 2.
#[test]
fn expires_at_bound_of_first_newer_version() {
    let mut versions = Versions::new(1);
    assert_eq!(versions.expires_at(1, BOUND), None);
    versions.record_announcement(2, at(10));
    versions.record_announcement(3, at(14));
    assert_eq!(versions.expires_at(1, BOUND), Some(at(18)));
    assert_eq!(versions.expires_at(2, BOUND), Some(at(22)));
    assert_eq!(versions.expires_at(3, BOUND), None);
}

// An entry starts while versions 2 and 3 are being rolled out and finds version 3 in the store without the time
// of its announcement. If it did not accept the time from another entry, it would reject requests that endpoints
// with version 1 may still serve.
#[test]
fn backfill_announced_at_after_late_start() {
    let bound = Duration::from_secs(8);
    let mut versions = Versions::new(3);
    assert_eq!(versions.oldest_allowed(bound, Time::from_millis(20_000)), 3);
    versions.backfill_announced_at(2, Time::from_millis(13_000));
    versions.backfill_announced_at(3, Time::from_millis(16_000));
    assert_eq!(versions.newest(), 3);
    let oldest = |ms| versions.oldest_allowed(bound, Time::from_millis(ms));
    assert_eq!([oldest(20_000), oldest(21_000), oldest(24_000)], [0, 2, 3]);
}

// The link between an entry and the store is saturated for four seconds, so that the entry sees a new version
// late. All other entries have barred the older version by then; this one must not route requests to it.
#[test]
fn record_announced_by_corrects_late_announcement() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, at(9));
    assert_eq!(versions.oldest_allowed(BOUND, at(13)), 1);
    versions.record_announced_by(2, at(5), at(5));
    assert_eq!(versions.oldest_allowed(BOUND, at(13)), 2);
    versions.record_announced_by(2, at(11), at(11));
    assert_eq!(versions.announced_at(2), Some(at(5)));
}

#[test]
fn record_announced_by_adds_unknown_version() {
    let mut versions = Versions::new(1);
    versions.record_announced_by(2, at(5), at(5));
    assert_eq!(versions.newest(), 2);
    assert_eq!(versions.oldest_allowed(BOUND, at(12)), 1);
}

// Guards against requests to an older version past the bound: a report that was queued on a saturated link for
// seconds must not set the announcement to the time of its arrival.
#[test]
fn record_announced_by_uses_earliest_time_for_unknown_version() {
    let mut versions = Versions::new(1);
    versions.record_announced_by(2, at(5), at(8));
    assert_eq!(versions.announced_at(2), Some(at(5)));
}

// Guards against rejected requests that an endpoint may still serve: the same report sets the announcement
// seconds too early.
#[test]
fn record_announced_after_corrects_early_announcement() {
    let mut versions = Versions::new(1);
    versions.record_announced_by(2, at(5), at(8));
    versions.record_announced_after(2, at(7));
    assert_eq!(versions.announced_at(2), Some(at(7)));
    versions.record_announced_after(2, at(6));
    assert_eq!(versions.announced_at(2), Some(at(7)));
}
