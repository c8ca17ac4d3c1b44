use std::net::IpAddr;
use std::net::SocketAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::subscribers::Count;
use mastichaven_core::direct::subscribers::Subscriber;
use mastichaven_core::direct::subscribers::Subscribers;

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 1, 0, n])
}

fn address(n: u8) -> SocketAddr {
    (ip(n), 9_000).into()
}

fn subscriber(followers: Option<u32>, depth: u8, ms: u64) -> Subscriber {
    let offer = followers.map(|followers| Offer { followers, depth, store_ms: 5 });
    Subscriber {
        asked_us: 0,
        at: now(ms),
        is_far: false,
        entries: None,
        oldest_weights: 0,
        is_beside_origin: false,
        wants_reports: true,
        offer,
    }
}

fn renew(subscribers: &mut Subscribers, n: u8, followers: Option<u32>, ms: u64) {
    subscribers.renew(SocketAddr::new(ip(n), 7), subscriber(followers, 0, ms));
}

// The store turns the relay of a region away. It still asks for reports, and must not be named to the
// others any more, which would follow nobody until it is back.
#[test]
fn relay_changes_when_the_store_turns_it_away() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, Some(2), 0);
    renew(&mut subscribers, 2, None, 0);
    renew(&mut subscribers, 3, None, 0);
    assert_eq!(subscribers.relay(now(10)), Some(ip(1)));
    renew(&mut subscribers, 1, None, 1_500);
    renew(&mut subscribers, 3, Some(0), 1_500);
    renew(&mut subscribers, 2, Some(0), 1_500);
    assert_eq!(subscribers.relay(now(1_510)), Some(ip(2)));
}

#[test]
fn relay_that_falls_silent_is_not_named() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, Some(2), 0);
    assert_eq!(subscribers.relay(now(900)), Some(ip(1)));
    assert_eq!(subscribers.relay(now(1_100)), None);
}

// The relay of a region is taken for the root, and asks itself what the store says.
#[test]
fn root_asks_the_store_itself() {
    let mut subscribers = Subscribers::default();
    subscribers.renew(SocketAddr::new(ip(1), 7), subscriber(Some(30), 1, 0));
    let root = Subscriber { is_far: true, ..subscriber(Some(4), 0, 0) };
    subscribers.renew(SocketAddr::new(ip(2), 7), root);
    assert_eq!(subscribers.relay(now(10)), Some(ip(1)));
    assert_eq!(subscribers.root(now(10)), Some(ip(2)));
    assert_eq!(subscribers.near_entries(now(10)), [ip(1)]);
    assert_eq!(subscribers.root(now(1_700)), None);
}

#[test]
fn receivers_spares_other_regions_now_and_then() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, None, 0);
    let far = Subscriber { is_far: true, ..subscriber(Some(3), 0, 0) };
    subscribers.renew(SocketAddr::new(ip(2), 7), far);
    assert_eq!(subscribers.receivers(false, now(100)).count(), 1);
    assert_eq!(subscribers.receivers(true, now(100)).count(), 2);
    assert_eq!(subscribers.relay(now(100)), None);
    assert_eq!(subscribers.len(now(3_600)), 0);
}

// Each entry is sent the reports of all endpoints, and the links between regions are full of them.
#[test]
fn receivers_are_those_that_want_reports() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, None, 0);
    let announced = Subscriber { is_far: true, wants_reports: false, ..subscriber(None, 0, 0) };
    subscribers.renew(SocketAddr::new(ip(2), 7), announced);
    assert_eq!(subscribers.receivers(true, now(100)).count(), 1);
    assert_eq!(subscribers.readers(now(100)), 1);
    assert_eq!(subscribers.len(now(100)), 2);
}

// Guards against a cold endpoint that gets many times what it bears: an agent that has just started has
// heard a few of the entries only.
#[test]
fn count_of_a_new_agent_goes_by_what_entries_know() {
    let mut subscribers = Subscribers::default();
    let told = Subscriber { entries: Some(36), ..subscriber(None, 0, 5_000) };
    subscribers.renew(address(1), told);
    let expected = Count { entries: 36, is_of_all: true };
    assert_eq!(subscribers.count(now(4_900), now(5_010)), expected);
    // Once it has listened long enough it goes by what it has heard: entries may have gone.
    subscribers.renew(address(1), Subscriber { at: now(6_800), ..told });
    assert_eq!(subscribers.count(now(4_900), now(6_900)).entries, 1);
}

// Guards against seconds of refusals after a loss of all power, with every endpoint cold and no count.
#[test]
fn count_is_of_all_soon_after_all_have_started() {
    let mut subscribers = Subscribers::default();
    for n in 1..=20 {
        subscribers.renew(address(n), subscriber(None, 0, 300));
    }
    assert!(!subscribers.count(now(0), now(500)).is_of_all);
    assert_eq!(subscribers.count(now(0), now(1_100)), Count { entries: 20, is_of_all: true });
}

// Guards against a fleet that empties all at once for one entry that has just started and takes a version
// that was named a moment ago for an old one.
#[test]
fn is_barred_needs_most_entries() {
    let mut subscribers = Subscribers::default();
    for n in 1..=3 {
        subscribers.renew(address(n), Subscriber { oldest_weights: 1, ..subscriber(None, 0, 0) });
    }
    subscribers.renew(address(4), Subscriber { oldest_weights: 3, ..subscriber(None, 0, 0) });
    assert!(!subscribers.is_barred(1, now(10)));
    for n in 1..=2 {
        subscribers.renew(address(n), Subscriber { oldest_weights: 3, ..subscriber(None, 0, 20) });
    }
    assert!(subscribers.is_barred(1, now(30)));
    assert!(!subscribers.is_barred(3, now(30)));
}

#[test]
fn caches_are_entries_of_the_region_and_those_beside_the_origin() {
    let mut subscribers = Subscribers::default();
    subscribers.renew(address(1), subscriber(None, 0, 0));
    let far = Subscriber { is_far: true, ..subscriber(None, 0, 0) };
    subscribers.renew(address(2), far);
    subscribers.renew(address(3), Subscriber { is_beside_origin: true, ..far });
    let (near, beside_origin) = subscribers.caches(now(100));
    assert_eq!(near, [address(1).ip()]);
    assert_eq!(beside_origin, [address(3).ip()]);
    // One of the region that has not asked for a second is passed over.
    assert!(subscribers.caches(now(1_500)).0.is_empty());
}
