use std::collections::HashMap;
use std::net::IpAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::caches::Caches;
use mastichaven_core::direct::caches::PULLERS;
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

fn caches(near: Vec<IpAddr>, beside_origin: Vec<IpAddr>) -> Caches {
    let mut caches = Caches::default();
    caches.set(near, beside_origin);
    caches
}

#[test]
fn route_agrees_whatever_the_order_in_which_entries_are_known() {
    let one = caches(entries(2, 13), entries(1, 13));
    let reversed = |list: Vec<IpAddr>| list.into_iter().rev().collect::<Vec<_>>();
    let other = caches(reversed(entries(2, 13)), reversed(entries(1, 13)));
    for n in 0..CHUNKS {
        assert_eq!(one.route(chunk(n), at(0)), other.route(chunk(n), at(0)));
    }
}

// Guards against a few entries that hand out most of a version while the links of the others are idle.
#[test]
fn route_spreads_chunks_over_entries() {
    let caches = caches(entries(1, 13), entries(1, 13));
    let mut handed_out: HashMap<IpAddr, u32> = HashMap::new();
    for n in 0..CHUNKS {
        let route = caches.route(chunk(n), at(0)).expect("a route");
        *handed_out.entry(route.entry).or_default() += 1;
    }
    assert!(handed_out.len() >= 11, "{} of 13 entries", handed_out.len());
    assert!(handed_out.values().all(|count| *count <= 13), "{handed_out:?}");
}

// Guards against dozens of downloads that share the origin's link and all end late.
#[test]
fn route_lets_few_entries_pull_from_the_origin() {
    let near = caches(entries(1, 30), entries(1, 30));
    let far = caches(entries(2, 30), entries(1, 30));
    let mut pullers = HashMap::new();
    for n in 0..CHUNKS {
        let route = near.route(chunk(n), at(0)).expect("a route");
        let puller = route.puller.unwrap_or(route.entry);
        *pullers.entry(puller).or_insert(0) += 1;
        // The version crosses a border once: each region's entry takes it from the same puller.
        assert_eq!(far.route(chunk(n), at(0)).expect("a route").puller, Some(puller));
    }
    assert_eq!(pullers.len(), PULLERS);
}

// Guards against hosts that wait for an entry that is frozen or cut off.
#[test]
fn route_passes_over_an_entry_that_failed() {
    let mut caches = caches(entries(1, 3), entries(1, 3));
    let first = caches.route(chunk(7), at(0)).expect("a route").entry;
    caches.failed(first, at(0));
    let second = caches.route(chunk(7), at(10)).expect("a route").entry;
    assert_ne!(first, second);
    assert_eq!(caches.route(chunk(7), at(4_000)).expect("a route").entry, first);
}

#[test]
fn are_available_is_false_once_all_entries_have_failed() {
    let mut caches = caches(entries(1, 2), Vec::new());
    assert!(caches.are_available(at(0)));
    entries(1, 2).into_iter().for_each(|entry| caches.failed(entry, at(0)));
    assert!(!caches.are_available(at(10)));
    assert_eq!(caches.route(chunk(1), at(10)), None);
}

// Guards against chunks that all change hands when one entry is restarted.
#[test]
fn route_moves_only_the_chunks_of_an_entry_that_is_gone() {
    let all = caches(entries(1, 13), entries(1, 13));
    let mut rest = entries(1, 13);
    let gone = rest.remove(4);
    let without = caches(rest, entries(1, 13));
    for n in 0..CHUNKS {
        let before = all.route(chunk(n), at(0)).expect("a route").entry;
        let after = without.route(chunk(n), at(0)).expect("a route").entry;
        assert!(before == gone || before == after);
    }
}
