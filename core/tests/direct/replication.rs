use std::net::IpAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Candidate;
use mastichaven_core::direct::replication::time_before;
use mastichaven_core::direct::replication::watcher;

fn ages(ms: u64) -> Ages {
    let age = Some(Duration::from_millis(ms));
    Ages { config: age, endpoints: age, evacuations: age, weights: age }
}

// A watcher that has lost the store still answers its followers. They must leave it before an endpoint
// that has told that it leaves, unknown to them, is sent requests past its bound.
#[test]
fn are_young_counts_the_way() {
    assert!(ages(700).are_young(Duration::from_millis(5)));
    assert!(!ages(900).are_young(Duration::from_millis(500)));
    assert!(!ages(1_300).are_young(Duration::ZERO));
}

#[test]
fn are_young_needs_all_kinds() {
    assert!(!Ages { weights: None, ..ages(10) }.are_young(Duration::ZERO));
    assert!(!Ages::default().are_young(Duration::ZERO));
}

#[test]
fn before_ends_at_the_start() {
    assert_eq!(
        time_before(Time::from_millis(900), Duration::from_millis(200)),
        Some(Time::from_millis(700))
    );
    assert_eq!(time_before(Time::from_millis(100), Duration::from_millis(200)), None);
}

#[test]
fn watcher_is_the_same_for_all() {
    let ip = |n: u8| IpAddr::from([10, 1, 0, n]);
    let new = |n| Candidate { ip: ip(n), followers: 0 };
    assert_eq!(watcher([new(9), new(4), new(200)].into_iter()), Some(ip(4)));
    assert_eq!(watcher([new(200), new(9), new(4)].into_iter()), Some(ip(4)));
    assert_eq!(watcher(std::iter::empty()), None);
}

// The watcher with the lowest address was away and is back. Were it to take its followers back at once,
// each of them would read the store anew.
#[test]
fn watcher_stays_where_it_is_followed() {
    let ip = |n: u8| IpAddr::from([10, 1, 0, n]);
    let followed = Candidate { ip: ip(9), followers: 12 };
    let is_back = Candidate { ip: ip(4), followers: 0 };
    assert_eq!(watcher([is_back, followed].into_iter()), Some(ip(9)));
}
