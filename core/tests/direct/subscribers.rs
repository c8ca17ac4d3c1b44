use std::net::IpAddr;
use std::net::SocketAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::request_limit::Schedule;
use mastichaven_core::direct::subscribers::ObservedEntryCount;
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
    let offer = followers.map(|followers| Offer { followers, depth, store_latency_ms: 5 });
    Subscriber {
        request_sent_us: 0,
        received_at: now(ms),
        is_far: false,
        entries: None,
        oldest_weights: 0,
        is_in_origin_region: false,
        wants_reports: true,
        offer,
    }
}

fn renew(subscribers: &mut Subscribers, n: u8, followers: Option<u32>, ms: u64) {
    subscribers.renew(SocketAddr::new(ip(n), 7), subscriber(followers, 0, ms));
}

// The store rejects the relay of a region, which continues to request reports. It must no longer be nominated,
// or the other entries of the region would have no parent until it recovers.
#[test]
fn relay_changes_when_it_accepts_no_followers() {
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
fn relay_expires_without_requests() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, Some(2), 0);
    assert_eq!(subscribers.relay(now(900)), Some(ip(1)));
    assert_eq!(subscribers.relay(now(1_100)), None);
}

// Guards against electing the relay of a region as root: it would follow itself.
#[test]
fn root_requires_direct_store_access() {
    let mut subscribers = Subscribers::default();
    subscribers.renew(SocketAddr::new(ip(1), 7), subscriber(Some(30), 1, 0));
    let root = Subscriber { is_far: true, ..subscriber(Some(4), 0, 0) };
    subscribers.renew(SocketAddr::new(ip(2), 7), root);
    assert_eq!(subscribers.relay(now(10)), Some(ip(1)));
    assert_eq!(subscribers.root(now(10)), Some(ip(2)));
    assert_eq!(subscribers.regional_entries(now(10)), [ip(1)]);
    assert_eq!(subscribers.root(now(1_700)), None);
}

#[test]
fn receivers_of_other_regions_only_if_requested() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, None, 0);
    let far = Subscriber { is_far: true, ..subscriber(Some(3), 0, 0) };
    subscribers.renew(SocketAddr::new(ip(2), 7), far);
    assert_eq!(subscribers.receivers(false, now(100)).count(), 1);
    assert_eq!(subscribers.receivers(true, now(100)).count(), 2);
    assert_eq!(subscribers.relay(now(100)), None);
    assert_eq!(subscribers.len(now(3_600)), 0);
}

// Guards against saturated links between regions from sending the reports of all endpoints to every entry.
#[test]
fn receivers_exclude_entries_without_reports() {
    let mut subscribers = Subscribers::default();
    renew(&mut subscribers, 1, None, 0);
    let announced = Subscriber { is_far: true, wants_reports: false, ..subscriber(None, 0, 0) };
    subscribers.renew(SocketAddr::new(ip(2), 7), announced);
    assert_eq!(subscribers.receivers(true, now(100)).count(), 1);
    assert_eq!(subscribers.readers(now(100)), 1);
    assert_eq!(subscribers.len(now(100)), 2);
}

// Guards against a cold endpoint that receives many times its capacity: an agent that has just started has
// received requests from only a few of the entries.
#[test]
fn count_of_new_agent_uses_reported_count() {
    let mut subscribers = Subscribers::default();
    let with_count = Subscriber { entries: Some(36), ..subscriber(None, 0, 5_000) };
    subscribers.renew(address(1), with_count);
    let expected = ObservedEntryCount { entries: 36, is_complete: true };
    assert_eq!(subscribers.count(now(4_900), now(5_010)), expected);
    // After the settle delay the agent uses its own count, because entries may have been removed.
    subscribers.renew(address(1), Subscriber { received_at: now(6_800), ..with_count });
    assert_eq!(subscribers.count(now(4_900), now(6_900)).entries, 1);
}

// Guards against seconds of rejected requests after a complete power failure, when every endpoint is cold and no
// entry reports a count.
#[test]
fn count_is_complete_after_cold_start() {
    let mut subscribers = Subscribers::default();
    for n in 1..=20 {
        subscribers.renew(address(n), subscriber(None, 0, 300));
    }
    assert!(!subscribers.count(now(0), now(500)).is_complete);
    assert_eq!(
        subscribers.count(now(0), now(1_100)),
        ObservedEntryCount { entries: 20, is_complete: true }
    );
}

// An agent restarts and hears one of eight entries first. If that one took the whole limit, and the others as they
// are heard, the endpoint would get many times its limit for half a second.
#[test]
fn schedule_of_new_agent_includes_entries_not_heard_yet() {
    let mut subscribers = Subscribers::default();
    let counted = Subscriber { entries: Some(8), ..subscriber(None, 0, 1_100) };
    subscribers.renew(address(1), counted);
    assert_eq!(subscribers.readers(now(1_200)), 1);
    let schedule = |subscribers: &Subscribers, ms: u64| {
        subscribers.schedule(address(1), now(1_000), now(ms)).unwrap()
    };
    let expected = Schedule { entries: 8, position: 0, clock_ms: 200 };
    assert_eq!(schedule(&subscribers, 1_200), expected);
    let uncounted = Subscriber { wants_reports: false, ..subscriber(None, 0, 2_900) };
    subscribers.renew(address(2), uncounted);
    subscribers.renew(address(1), Subscriber { received_at: now(2_900), ..counted });
    let expected = Schedule { entries: 1, position: 0, clock_ms: 1_900 };
    assert_eq!(schedule(&subscribers, 2_900), expected);
}

#[test]
fn schedule_needs_a_count_of_entries() {
    let mut subscribers = Subscribers::default();
    subscribers.renew(address(1), subscriber(None, 0, 1_100));
    assert_eq!(subscribers.schedule(address(1), now(1_000), now(1_200)), None);
}

#[test]
fn schedule_gives_each_reader_its_own_position() {
    let mut subscribers = Subscribers::default();
    for n in [3, 1, 2] {
        subscribers.renew(address(n), subscriber(None, 0, 4_900));
    }
    subscribers
        .renew(address(4), Subscriber { wants_reports: false, ..subscriber(None, 0, 4_900) });
    let place = |n: u8| subscribers.schedule(address(n), now(0), now(5_000)).unwrap();
    assert_eq!([1, 2, 3].map(|n| place(n).position), [0, 1, 2]);
    assert!([1, 2, 3].iter().all(|n| place(*n).entries == 3));
}

// Guards against a fleet that drains all endpoints at once because a single entry has just started and treats
// the bound of a newly announced version as expired.
#[test]
fn is_barred_requires_majority() {
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
fn caches_of_own_region_and_origin_region() {
    let mut subscribers = Subscribers::default();
    subscribers.renew(address(1), subscriber(None, 0, 0));
    let far = Subscriber { is_far: true, ..subscriber(None, 0, 0) };
    subscribers.renew(address(2), far);
    subscribers.renew(address(3), Subscriber { is_in_origin_region: true, ..far });
    let (regional, in_origin_region) = subscribers.caches(now(100));
    assert_eq!(regional, [address(1).ip()]);
    assert_eq!(in_origin_region, [address(3).ip()]);
    // Excludes entries of the region without a request in the last second.
    assert!(subscribers.caches(now(1_500)).0.is_empty());
}
