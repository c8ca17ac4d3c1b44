use std::net::IpAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::AgeLimits;
use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Candidate;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::Nomination;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::replication::PeerEndpoint;
use mastichaven_core::direct::replication::PeerList;
use mastichaven_core::direct::replication::elect;
use mastichaven_core::direct::replication::elect_root;
use mastichaven_core::direct::replication::time_before;
use mastichaven_core::ids::Digest;
use serde::Deserialize;
use serde::Serialize;

fn limits() -> AgeLimits {
    AgeLimits::new(Duration::from_secs(2))
}

fn ages(ms: u64) -> Ages {
    let age = Some(Duration::from_millis(ms));
    Ages { config: age, endpoints: age, evacuations: age, weights: age }
}

// Guards against requests to a draining endpoint past its bound: an entry that has lost the store still answers
// pings, and its followers must detach before they miss the endpoint's removal for too long.
#[test]
fn are_fresh_includes_time_since_report() {
    assert!(limits().are_fresh(&ages(700), Duration::from_millis(5)));
    assert!(!limits().are_fresh(&ages(900), Duration::from_millis(500)));
    assert!(!limits().are_fresh(&ages(1_300), Duration::ZERO));
}

#[test]
fn are_fresh_requires_all_kinds() {
    assert!(!limits().are_fresh(&Ages { weights: None, ..ages(10) }, Duration::ZERO));
    assert!(!limits().are_fresh(&Ages::default(), Duration::ZERO));
}

#[test]
fn time_before_process_start_is_none() {
    assert_eq!(
        time_before(Time::from_millis(900), Duration::from_millis(200)),
        Some(Time::from_millis(700))
    );
    assert_eq!(time_before(Time::from_millis(100), Duration::from_millis(200)), None);
}

fn candidate(n: u8, followers: u32, depth: u8, store_latency_ms: u16) -> Candidate {
    let offer = Offer { followers, depth, store_latency_ms };
    Candidate { ip: IpAddr::from([10, 1, 0, n]), offer }
}

fn ip(n: u8) -> Option<IpAddr> {
    Some(IpAddr::from([10, 1, 0, n]))
}

#[test]
fn elect_is_independent_of_order() {
    let idle = |n| candidate(n, 0, 0, 5);
    assert_eq!(elect([idle(9), idle(4), idle(200)].into_iter()), ip(4));
    assert_eq!(elect([idle(200), idle(9), idle(4)].into_iter()), ip(4));
    assert_eq!(elect(std::iter::empty()), None);
}

// Guards against an entry with a lower address that takes over all followers when it returns, so that they
// reload the complete state.
#[test]
fn elect_prefers_most_followers() {
    assert_eq!(elect([candidate(4, 0, 0, 5), candidate(9, 12, 0, 5)].into_iter()), ip(9));
}

// Guards against a root in another region than the store, where each change is sent uncompressed between
// regions.
#[test]
fn elect_root_prefers_low_store_latency() {
    let high_latency = candidate(1, 40, 0, 11);
    let low_latency = candidate(2, 3, 0, 6);
    assert_eq!(elect_root([high_latency, low_latency].into_iter()), ip(2));
    assert_eq!(elect_root([low_latency, candidate(3, 5, 0, 5)].into_iter()), ip(3));
}

// Guards against electing a relay with many followers as root: the tree would have a cycle and no connection to
// the store.
#[test]
fn elect_root_requires_direct_store_access() {
    let relay = candidate(1, 40, 1, 0);
    assert_eq!(elect_root([relay, candidate(2, 0, 0, 11)].into_iter()), ip(2));
    assert_eq!(elect_root([relay].into_iter()), None);
}

// Guards against all entries querying the store at the same time when the root has lost it.
#[test]
fn detach_age_is_lowest_for_successors() {
    let ping = Duration::from_millis(150);
    let list = Duration::from_millis(100);
    assert!(limits().detach_age(1, true) + list < limits().detach_age(1, false));
    assert!(limits().detach_age(1, false) + ping < limits().detach_age(2, false));
    assert_eq!(limits().detach_age(2, true), limits().detach_age(1, true));
}

// Guards against followers that detach from a healthy parent because of the watch timeout, the ping interval and
// the store's latency.
#[test]
fn detach_age_exceeds_watch_timeout() {
    for bound_ms in [2_000, 3_000, 4_000] {
        let limits = AgeLimits::new(Duration::from_millis(bound_ms));
        let ping = Duration::from_millis(150);
        assert!(limits.endpoints_watch_timeout() + ping < limits.detach_age(1, true), "{bound_ms}");
        assert!(limits.detach_age(2, false) < Duration::from_millis(bound_ms), "{bound_ms}");
    }
}

#[test]
fn peer_list_is_omitted_if_known() {
    let peer = |n| PeerEndpoint { address: ([10, 0, 0, n], 80).into(), zone: "a".into() };
    let first = PeerList::new(vec![peer(1), peer(2)], 0);
    assert_eq!(first.peers.as_ref().map(Vec::len), Some(2));
    assert_eq!(PeerList::new(vec![peer(2), peer(1)], first.id).peers, None);
    assert!(PeerList::new(vec![peer(1)], first.id).peers.is_some());
}

// Guards against a root that steps down for each entry nominated by a single agent while others still follow it.
#[test]
fn stable_for_requires_uninterrupted_nomination() {
    let (one, two) = (IpAddr::from([10, 0, 0, 1]), IpAddr::from([10, 0, 0, 2]));
    let span = Duration::from_millis(2_000);
    let nomination = Nomination::default()
        .record(one, Time::from_millis(0))
        .record(one, Time::from_millis(1_900));
    assert_eq!(nomination.stable_for(span, Time::from_millis(1_950)), None);
    assert_eq!(
        nomination.record(one, Time::from_millis(2_050)).stable_for(span, Time::from_millis(2_100)),
        Some(one)
    );
    let interrupted =
        nomination.record(two, Time::from_millis(2_060)).record(one, Time::from_millis(2_070));
    assert_eq!(interrupted.last(), Some(one));
    assert_eq!(interrupted.stable_for(span, Time::from_millis(2_100)), None);
}

/// A chunk request as the release before `holders` has it, at the same position among the variants.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierHello {
    Follow,
    Peers,
    Chunk(EarlierChunkRequest),
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierChunkRequest {
    model: String,
    version: u64,
    index: u32,
    digest: Digest,
    puller: Option<IpAddr>,
    next: Vec<(u32, Digest)>,
}

// Guards against chunk requests that an earlier release beside this one cannot read, or that this one cannot read.
#[test]
fn chunk_request_is_readable_across_releases() {
    let digest = Digest::of(b"chunk");
    let puller = Some(IpAddr::from([10, 1, 0, 1]));
    let next = vec![(4, digest)];
    let earlier = EarlierHello::Chunk(EarlierChunkRequest {
        model: "m".into(),
        version: 2,
        index: 3,
        digest,
        puller,
        next: next.clone(),
    });
    let request = ChunkRequest {
        model: "m".into(),
        version: 2,
        index: 3,
        digest,
        puller,
        next,
        holders: Vec::new(),
    };
    let bytes = postcard::to_stdvec(&earlier).expect("can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(Hello::Chunk(request.clone())));
    let request = ChunkRequest { holders: vec![([10, 0, 0, 9], 7_000).into()], ..request };
    let bytes = postcard::to_stdvec(&Hello::Chunk(request.clone())).expect("can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(Hello::Chunk(request)));
    assert_eq!(postcard::from_bytes(&bytes), Ok(earlier));
}
