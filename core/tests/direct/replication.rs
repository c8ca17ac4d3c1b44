use std::net::IpAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::AgeLimits;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Candidate;
use mastichaven_core::direct::replication::Named;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::replication::PeerEndpoint;
use mastichaven_core::direct::replication::PeerList;
use mastichaven_core::direct::replication::elect;
use mastichaven_core::direct::replication::elect_root;
use mastichaven_core::direct::replication::time_before;

fn limits() -> AgeLimits {
    AgeLimits::new(Duration::from_secs(2))
}

fn ages(ms: u64) -> Ages {
    let age = Some(Duration::from_millis(ms));
    Ages { config: age, endpoints: age, evacuations: age, weights: age }
}

// A watcher that has lost the store still answers its followers. They must leave it before an endpoint
// that has told that it leaves, unknown to them, is sent requests past its bound.
#[test]
fn are_young_counts_the_way() {
    assert!(limits().are_young(&ages(700), Duration::from_millis(5)));
    assert!(!limits().are_young(&ages(900), Duration::from_millis(500)));
    assert!(!limits().are_young(&ages(1_300), Duration::ZERO));
}

#[test]
fn are_young_needs_all_kinds() {
    assert!(!limits().are_young(&Ages { weights: None, ..ages(10) }, Duration::ZERO));
    assert!(!limits().are_young(&Ages::default(), Duration::ZERO));
}

#[test]
fn before_ends_at_the_start() {
    assert_eq!(
        time_before(Time::from_millis(900), Duration::from_millis(200)),
        Some(Time::from_millis(700))
    );
    assert_eq!(time_before(Time::from_millis(100), Duration::from_millis(200)), None);
}

fn candidate(n: u8, followers: u32, depth: u8, store_ms: u16) -> Candidate {
    let offer = Offer { followers, depth, store_ms };
    Candidate { ip: IpAddr::from([10, 1, 0, n]), offer }
}

fn ip(n: u8) -> Option<IpAddr> {
    Some(IpAddr::from([10, 1, 0, n]))
}

#[test]
fn elect_is_the_same_for_all() {
    let new = |n| candidate(n, 0, 0, 5);
    assert_eq!(elect([new(9), new(4), new(200)].into_iter()), ip(4));
    assert_eq!(elect([new(200), new(9), new(4)].into_iter()), ip(4));
    assert_eq!(elect(std::iter::empty()), None);
}

// An entry with a lower address comes back and takes all followers over, which read everything anew.
#[test]
fn elect_stays_where_it_is_followed() {
    assert_eq!(elect([candidate(4, 0, 0, 5), candidate(9, 12, 0, 5)].into_iter()), ip(9));
}

// The root stands in another region than the store, so that each change crosses a border uncompressed.
#[test]
fn elect_root_prefers_the_region_of_the_store() {
    let far = candidate(1, 40, 0, 11);
    let near = candidate(2, 3, 0, 6);
    assert_eq!(elect_root([far, near].into_iter()), ip(2));
    assert_eq!(elect_root([near, candidate(3, 5, 0, 5)].into_iter()), ip(3));
}

// A relay that most of its region follow is taken for the root, and the fleet follows itself.
#[test]
fn elect_root_asks_the_store() {
    let relay = candidate(1, 40, 1, 0);
    assert_eq!(elect_root([relay, candidate(2, 0, 0, 11)].into_iter()), ip(2));
    assert_eq!(elect_root([relay].into_iter()), None);
}

// The root loses the store, and all entries ask the store at the same moment.
#[test]
fn leaves_at_lets_the_successor_go_first() {
    let ping = Duration::from_millis(150);
    let list = Duration::from_millis(100);
    assert!(limits().leaves_at(1, true) + list < limits().leaves_at(1, false));
    assert!(limits().leaves_at(1, false) + ping < limits().leaves_at(2, false));
    assert_eq!(limits().leaves_at(2, true), limits().leaves_at(1, true));
}

// What a watch waits, a ping and the time of the store must not make a follower leave a parent that is sound.
#[test]
fn leaves_at_outlasts_the_wait_of_a_watch() {
    for bound_ms in [2_000, 3_000, 4_000] {
        let limits = AgeLimits::new(Duration::from_millis(bound_ms));
        let ping = Duration::from_millis(150);
        assert!(limits.endpoints_wait() + ping < limits.leaves_at(1, true), "{bound_ms}");
        assert!(limits.leaves_at(2, false) < Duration::from_millis(bound_ms), "{bound_ms}");
    }
}

#[test]
fn peer_list_is_sent_once() {
    let peer = |n| PeerEndpoint { address: ([10, 0, 0, n], 80).into(), zone: "a".into() };
    let first = PeerList::new(vec![peer(1), peer(2)], 0);
    assert_eq!(first.peers.as_ref().map(Vec::len), Some(2));
    assert_eq!(PeerList::new(vec![peer(2), peer(1)], first.id).peers, None);
    assert!(PeerList::new(vec![peer(1)], first.id).peers.is_some());
}

// Guards against a root that steps down for every entry that one agent names while others still follow it.
#[test]
fn steady_needs_the_same_name_all_the_time() {
    let (one, two) = (IpAddr::from([10, 0, 0, 1]), IpAddr::from([10, 0, 0, 2]));
    let span = Duration::from_millis(2_000);
    let named =
        Named::default().note(one, Time::from_millis(0)).note(one, Time::from_millis(1_900));
    assert_eq!(named.steady(span, Time::from_millis(1_950)), None);
    assert_eq!(
        named.note(one, Time::from_millis(2_050)).steady(span, Time::from_millis(2_100)),
        Some(one)
    );
    let wavering = named.note(two, Time::from_millis(2_060)).note(one, Time::from_millis(2_070));
    assert_eq!(wavering.last(), Some(one));
    assert_eq!(wavering.steady(span, Time::from_millis(2_100)), None);
}
