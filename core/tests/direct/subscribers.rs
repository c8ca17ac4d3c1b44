use std::net::IpAddr;
use std::net::SocketAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::subscribers::Subscriber;
use mastichaven_core::direct::subscribers::Subscribers;

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 1, 0, n])
}

fn subscriber(followers: Option<u32>, depth: u8, ms: u64) -> Subscriber {
    let offer = followers.map(|followers| Offer { followers, depth, store_ms: 5 });
    Subscriber { asked_us: 0, at: now(ms), is_far: false, wants_reports: true, offer }
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
