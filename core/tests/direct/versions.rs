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
