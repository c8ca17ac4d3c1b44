use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_core::direct::versions::VersionLimits;
use mastichaven_core::direct::versions::Versions;

/// Requests are sent to older versions until their bound, and may begin then.
const LIMITS: VersionLimits = VersionLimits {
    send_for: Duration::from_secs(8),
    begin_within: Duration::from_secs(8),
    min_begin_time: Duration::ZERO,
};

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn announced(seconds: u64) -> Announcement {
    Announcement::at(at(seconds))
}

fn between(earliest: u64, latest: u64) -> Announcement {
    Announcement::between(at(earliest), at(latest))
}

// Versions 2 and 3 are announced four seconds apart. Barring version 1 as soon as version 3 is announced would
// leave no endpoint to serve the model, and all its requests would be rejected for seconds.
#[test]
fn oldest_allowed_applies_bound_per_version() {
    let mut versions = Versions::new(1);
    assert!(versions.record_announcement(2, announced(10)));
    assert!(versions.record_announcement(3, announced(14)));
    assert_eq!(versions.oldest_allowed(&LIMITS, at(15)), 1);
    assert_eq!(versions.oldest_allowed(&LIMITS, at(18)), 2);
    assert_eq!(versions.oldest_allowed(&LIMITS, at(22)), 3);
}

#[test]
fn record_announcement_ignores_older_version() {
    let mut versions = Versions::new(3);
    assert!(!versions.record_announcement(2, announced(1)));
    assert!(!versions.record_announcement(3, announced(1)));
    assert_eq!(versions.newest(), 3);
    assert_eq!(versions.oldest_allowed(&LIMITS, at(1)), 3);
}

#[test]
fn successor_is_first_newer_version() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, announced(10));
    versions.record_announcement(3, announced(14));
    assert_eq!(versions.successor(1), Some(announced(10)));
    assert_eq!(versions.successor(2), Some(announced(14)));
    assert_eq!(versions.successor(3), None);
}

// Guards against a request that begins on version 1 after the bound of version 2.
#[test]
fn begin_by_bound_of_first_newer_version() {
    let mut versions = Versions::new(1);
    assert_eq!(versions.begin_by(1, &LIMITS), None);
    versions.record_announcement(2, announced(10));
    versions.record_announcement(3, announced(14));
    assert_eq!(versions.begin_by(1, &LIMITS), Some(at(18)));
    assert_eq!(versions.begin_by(2, &LIMITS), Some(at(22)));
    assert_eq!(versions.begin_by(3, &LIMITS), None);
}

// An entry starts while versions 2 and 3 are being rolled out and finds version 3 in the store without the time
// of its announcement. If it did not accept the time from another entry, it would reject requests that endpoints
// with version 1 may still serve.
#[test]
fn merge_announcement_after_late_start() {
    let mut versions = Versions::new(3);
    let oldest = |versions: &Versions, s| versions.oldest_allowed(&LIMITS, at(s));
    assert_eq!(oldest(&versions, 20), 3);
    versions.merge_announcement(2, announced(13));
    versions.merge_announcement(3, announced(16));
    assert_eq!(versions.newest(), 3);
    assert_eq!([20, 21, 24].map(|s| oldest(&versions, s)), [0, 2, 3]);
}

// The link between an entry and the store is saturated for four seconds, so that the entry sees a new version
// late. All other entries have barred the older version by then; this one must not route requests to it.
#[test]
fn record_seen_corrects_late_announcement() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, announced(9));
    assert_eq!(versions.oldest_allowed(&LIMITS, at(13)), 1);
    versions.record_seen(2, announced(5));
    assert_eq!(versions.oldest_allowed(&LIMITS, at(13)), 2);
    versions.record_seen(2, announced(11));
    assert_eq!(versions.announcement(2), Some(announced(5)));
}

#[test]
fn record_seen_adds_unknown_version() {
    let mut versions = Versions::new(1);
    versions.record_seen(2, announced(5));
    assert_eq!(versions.newest(), 2);
    assert_eq!(versions.oldest_allowed(&LIMITS, at(12)), 1);
}

// Guards against requests that begin on an older version past its bound: a report that was queued on a saturated link
// for seconds must not set the announcement to the time of its arrival.
#[test]
fn begin_by_counts_from_earliest_announcement() {
    let mut versions = Versions::new(1);
    versions.record_seen(2, between(5, 8));
    assert_eq!(versions.begin_by(1, &LIMITS), Some(at(13)));
    assert_eq!(versions.oldest_allowed(&LIMITS, at(12)), 1);
    assert_eq!(versions.oldest_allowed(&LIMITS, at(13)), 2);
}

// Guards against rejected requests that an endpoint may still serve: the same report leaves it open for seconds when
// the version was announced, until another process knows better.
#[test]
fn merge_announcement_corrects_early_announcement() {
    let mut versions = Versions::new(1);
    versions.record_seen(2, between(5, 8));
    versions.merge_announcement(2, between(7, 9));
    assert_eq!(versions.announcement(2), Some(between(7, 8)));
    versions.merge_announcement(2, between(6, 9));
    assert_eq!(versions.announcement(2), Some(between(7, 8)));
}

// Guards against a limit that moves later: nothing that a process hears of an announcement may contradict what proves
// that the store had already made it.
#[test]
fn announcement_is_not_later_than_first_seen() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, between(5, 8));
    versions.record_seen(2, announced(4));
    versions.merge_announcement(2, between(6, 9));
    assert_eq!(versions.announcement(2), Some(announced(4)));
}

// An entry starts and finds a version whose announcement it cannot date: older ones may have expired long ago.
#[test]
fn begin_by_has_passed_for_undated_version() {
    let versions = Versions::new(3);
    assert_eq!(versions.begin_by(2, &LIMITS), Some(Time::ZERO));
    assert_eq!(versions.begin_by(3, &LIMITS), None);
}

// Requests are not sent to older versions that leave them no time to begin.
#[test]
fn oldest_allowed_leaves_time_to_begin() {
    let limits = VersionLimits {
        send_for: Duration::from_secs(6),
        min_begin_time: Duration::from_secs(1),
        ..LIMITS
    };
    let mut versions = Versions::new(1);
    versions.record_announcement(2, announced(10));
    let oldest = |versions: &Versions, s| versions.oldest_allowed(&limits, at(s));
    assert_eq!([15, 16].map(|s| oldest(&versions, s)), [1, 2]);
    versions.record_announcement(3, between(20, 24));
    assert_eq!([26, 27].map(|s| oldest(&versions, s)), [2, 3]);
}

// An entry that knows a version only from an agent reads a newer one whose announcement it cannot date either.
#[test]
fn oldest_allowed_treats_undated_version_as_old() {
    let mut versions = Versions::new(1);
    versions.record_announcement(2, announced(5));
    versions.record_announcement(3, None);
    assert_eq!(versions.oldest_allowed(&LIMITS, at(6)), 3);
    assert_eq!(versions.begin_by(2, &LIMITS), Some(Time::ZERO));
}
