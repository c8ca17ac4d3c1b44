use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::versions::Versions;

const BOUND: Duration = Duration::from_secs(8);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

// Versions 2 and 3 are named four seconds apart. Barring version 1 as soon as 3 is known leaves no
// endpoint that may answer, and all callers of the model are refused for seconds.
#[test]
fn oldest_allowed_counts_each_version_from_its_own_naming() {
    let mut versions = Versions::first(1);
    assert!(versions.name(2, at(10)));
    assert!(versions.name(3, at(14)));
    assert_eq!(versions.oldest_allowed(BOUND, at(15)), 1);
    assert_eq!(versions.oldest_allowed(BOUND, at(18)), 2);
    assert_eq!(versions.oldest_allowed(BOUND, at(22)), 3);
}

#[test]
fn name_ignores_old_news() {
    let mut versions = Versions::first(3);
    assert!(!versions.name(2, at(1)));
    assert!(!versions.name(3, at(1)));
    assert_eq!(versions.newest(), 3);
    assert_eq!(versions.oldest_allowed(BOUND, at(1)), 3);
}

#[test]
fn outdated_since_names_the_first_newer_version() {
    let mut versions = Versions::first(1);
    versions.name(2, at(10));
    versions.name(3, at(14));
    assert_eq!(versions.outdated_since(1), Some(at(10)));
    assert_eq!(versions.outdated_since(2), Some(at(14)));
    assert_eq!(versions.outdated_since(3), None);
}

// An entry starts while versions 2 and 3 are on their way, finds 3 in the store and cannot know since
// when. If it did not believe another entry that does, it would refuse callers whom endpoints with
// version 1 may still answer.
#[test]
fn date_corrects_what_a_late_start_found() {
    let bound = Duration::from_secs(8);
    let mut versions = Versions::first(3);
    assert_eq!(versions.oldest_allowed(bound, Time::from_millis(20_000)), 3);
    versions.date(2, Time::from_millis(13_000));
    versions.date(3, Time::from_millis(16_000));
    assert_eq!(versions.newest(), 3);
    let oldest = |ms| versions.oldest_allowed(bound, Time::from_millis(ms));
    assert_eq!([oldest(20_000), oldest(21_000), oldest(24_000)], [0, 2, 3]);
}

// The link of an entry to the store is full for four seconds, and it learns of a version when that is over.
// All other entries have barred the older version by then; this one must not send callers to it.
#[test]
fn known_since_dates_a_version_that_was_learnt_late() {
    let mut versions = Versions::first(1);
    versions.name(2, at(9));
    assert_eq!(versions.oldest_allowed(BOUND, at(13)), 1);
    versions.known_since(2, at(5), at(5));
    assert_eq!(versions.oldest_allowed(BOUND, at(13)), 2);
    versions.known_since(2, at(11), at(11));
    assert_eq!(versions.named_at(2), Some(at(5)));
}

#[test]
fn known_since_names_a_version_that_is_news() {
    let mut versions = Versions::first(1);
    versions.known_since(2, at(5), at(5));
    assert_eq!(versions.newest(), 2);
    assert_eq!(versions.oldest_allowed(BOUND, at(12)), 1);
}

// A report that waited for seconds on a full link dates a version to its arrival, and requests go to the
// older one past the bound.
#[test]
fn known_since_takes_an_unknown_version_for_the_oldest_that_it_may_be() {
    let mut versions = Versions::first(1);
    versions.known_since(2, at(5), at(8));
    assert_eq!(versions.named_at(2), Some(at(5)));
}

// The same report dates it seconds too early, and callers are refused though an endpoint may answer them.
#[test]
fn named_after_corrects_a_date_that_is_too_early() {
    let mut versions = Versions::first(1);
    versions.known_since(2, at(5), at(8));
    versions.named_after(2, at(7));
    assert_eq!(versions.named_at(2), Some(at(7)));
    versions.named_after(2, at(6));
    assert_eq!(versions.named_at(2), Some(at(7)));
}
