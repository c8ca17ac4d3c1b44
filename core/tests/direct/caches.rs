use std::collections::HashMap;
use std::net::IpAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::caches::Caches;
use mastichaven_core::direct::caches::MAX_PULLERS;
use mastichaven_core::ids::Digest;

const CHUNKS: u32 = 64;

fn entries(region: u8, count: u8) -> Vec<IpAddr> {
    (1..=count).map(|n| IpAddr::from([10, region, 0, n])).collect()
}

fn chunk(n: u32) -> Digest {
    Digest::of(&n.to_le_bytes())
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn caches(regional: Vec<IpAddr>, in_origin_region: Vec<IpAddr>) -> Caches {
    let mut caches = Caches::default();
    caches.set(regional, in_origin_region);
    caches
}

#[test]
fn route_is_independent_of_entry_order() {
    let one = caches(entries(2, 13), entries(1, 13));
    let reversed = |list: Vec<IpAddr>| list.into_iter().rev().collect::<Vec<_>>();
    let other = caches(reversed(entries(2, 13)), reversed(entries(1, 13)));
    for n in 0..CHUNKS {
        assert_eq!(one.route(chunk(n), at(0)), other.route(chunk(n), at(0)));
    }
}

// Guards against a few entries that serve most of a version while the links of the others are idle.
#[test]
fn route_spreads_chunks_over_entries() {
    let caches = caches(entries(1, 13), entries(1, 13));
    let mut chunk_counts: HashMap<IpAddr, u32> = HashMap::new();
    for n in 0..CHUNKS {
        let route = caches.route(chunk(n), at(0)).expect("a route");
        *chunk_counts.entry(route.entry).or_default() += 1;
    }
    assert!(chunk_counts.len() >= 11, "{} of 13 entries serve chunks", chunk_counts.len());
    assert!(chunk_counts.values().all(|count| *count <= 13), "chunks per entry: {chunk_counts:?}");
}

// Guards against dozens of downloads that share the origin's link and all complete late.
#[test]
fn route_limits_pullers() {
    let origin_region = caches(entries(1, 30), entries(1, 30));
    let other_region = caches(entries(2, 30), entries(1, 30));
    let mut pullers = HashMap::new();
    for n in 0..CHUNKS {
        let route = origin_region.route(chunk(n), at(0)).expect("a route");
        let puller = route.puller.unwrap_or(route.entry);
        *pullers.entry(puller).or_insert(0) += 1;
        // Each version is transferred once per region: its entry fetches it from the same puller.
        assert_eq!(other_region.route(chunk(n), at(0)).expect("a route").puller, Some(puller));
    }
    assert_eq!(pullers.len(), MAX_PULLERS);
}

// Guards against hosts that wait for an entry that is unresponsive or partitioned.
#[test]
fn route_skips_failed_entry_during_cooldown() {
    let mut caches = caches(entries(1, 3), entries(1, 3));
    let first = caches.route(chunk(7), at(0)).expect("a route").entry;
    caches.record_failure(first, at(0));
    let second = caches.route(chunk(7), at(10)).expect("a route").entry;
    assert_ne!(first, second);
    assert_eq!(caches.route(chunk(7), at(999)).expect("a route").entry, second);
    assert_eq!(caches.route(chunk(7), at(1_000)).expect("a route").entry, first);
}

#[test]
fn are_available_is_false_if_all_entries_failed() {
    let mut caches = caches(entries(1, 2), Vec::new());
    assert!(caches.are_available(at(0)));
    entries(1, 2).into_iter().for_each(|entry| caches.record_failure(entry, at(0)));
    assert!(!caches.are_available(at(10)));
    assert_eq!(caches.route(chunk(1), at(10)), None);
}

// Guards against reassignment of all chunks when one entry restarts.
#[test]
fn route_reassigns_only_chunks_of_removed_entry() {
    let all = caches(entries(1, 13), entries(1, 13));
    let mut remaining = entries(1, 13);
    let removed = remaining.remove(4);
    let without = caches(remaining, entries(1, 13));
    for n in 0..CHUNKS {
        let before = all.route(chunk(n), at(0)).expect("a route").entry;
        let after = without.route(chunk(n), at(0)).expect("a route").entry;
        assert!(before == removed || before == after);
    }
}

// Guards against a chunk that is requested again and again from an entry that sends it damaged.
#[test]
fn route_skips_entry_that_failed_chunk() {
    let mut caches = caches(entries(1, 3), entries(1, 3));
    let first = caches.route(chunk(7), at(0)).expect("a route").entry;
    caches.record_chunk_failure(first, chunk(7), at(0));
    assert_ne!(caches.route(chunk(7), at(10)).expect("a route").entry, first);
    let is_first = |n: &u32| caches.route(chunk(*n), at(10)).expect("a route").entry == first;
    assert!((0..CHUNKS).filter(|n| *n != 7).any(|n| is_first(&n)));
    assert_eq!(caches.route(chunk(7), at(1_000)).expect("a route").entry, first);
    entries(1, 3).into_iter().for_each(|ip| caches.record_chunk_failure(ip, chunk(7), at(1_000)));
    assert!(caches.route(chunk(7), at(1_010)).is_some());
}
