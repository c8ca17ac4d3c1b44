//! Subset of engines that an entry sends requests to, and the holders of a version.

use std::collections::HashSet;
use std::net::SocketAddr;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Reach;
use mastichaven_core::ids::StorePosition;
use mastichaven_core::ids::ZoneName;

use super::DRAW;
use super::ROUND_TRIP;
use super::address;
use super::choose_with;
use super::now;
use super::record;
use super::report;
use super::rng;
use super::table;
use super::table_on;

fn table_with_subset(host: &str, engines: u8) -> (EndpointTable, Vec<SocketAddr>) {
    let mut table = table_on(host);
    for n in 1..=engines {
        table.upsert(record(n, "serra"), now(0));
    }
    let far = table.engines().filter(|(_, reach)| *reach == Reach::Far);
    let subset = far.map(|(listed, _)| listed.address).collect();
    (table, subset)
}

// If each entry gets the reports of all engines in all regions, these fill the links between
// regions.
#[test]
fn engines_far_subset_is_limited() {
    let (mut table, subset) = table_with_subset("entry-1", 40);
    assert!((4..=12).contains(&subset.len()), "{subset:?}");
    for n in 1..=40 {
        table.apply_report(address(n), &report(0), now(1), ROUND_TRIP, DRAW, now(1));
    }
    let mut rng = rng();
    for ms in 2..60 {
        let key = choose_with(&mut table, now(ms), &mut rng).expect("an endpoint");
        assert!(subset.contains(&table.get(key).expect("listed").address));
    }
}

// If the entries of a region draw the same subset, they send all their requests to a few engines of
// other regions while their own is out of service.
#[test]
fn engines_far_subsets_of_entries_include_all_engines() {
    let all: HashSet<SocketAddr> =
        (0..20).flat_map(|n| table_with_subset(&format!("entry-{n}"), 40).1).collect();
    assert_eq!(all.len(), 40);
}

#[test]
fn engines_far_subset_replaces_removed_engine() {
    let (mut table, subset) = table_with_subset("entry-1", 40);
    let gone = table.engines().find(|(_, reach)| *reach == Reach::Far).expect("one").0.id.clone();
    table.remove(&gone, StorePosition::new(0, 9), Time::ZERO);
    let subset_after = table.engines().filter(|(_, reach)| *reach == Reach::Far).count();
    assert_eq!(subset_after, subset.len());
}

/// Number of far engines in the subset.
fn subset_len(table: &EndpointTable) -> usize {
    table.engines().filter(|(_, reach)| *reach == Reach::Far).count()
}

// With a zone out of service, its entries knew a few engines in other regions, while the entries
// there knew all of theirs. Callers of the zone were refused while all others were served.
#[test]
fn engines_far_subset_grows_with_zone_out_of_service() {
    let mut table = table();
    for n in 0..20 {
        table.upsert(record(1 + n, "lagoa"), now(0));
        table.upsert(record(101 + n, "serra"), now(0));
        table.upsert(record(201 + n, "litoral"), now(0));
    }
    assert_eq!(subset_len(&table), 16);
    table.set_evacuated(
        HashSet::from([ZoneName::new("lagoa")]),
        StorePosition::new(0, 2),
        Time::ZERO,
    );
    assert_eq!(subset_len(&table), 36);
    table.set_evacuated(HashSet::new(), StorePosition::new(0, 3), Time::ZERO);
    assert_eq!(subset_len(&table), 16);
}

// If an old list counts, chunks are requested from hosts that no longer hold them.
#[test]
fn holders_require_fresh_report() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "lagoa"), now(0));
    table.apply_report(address(2), &report(0), now(0), ROUND_TRIP, DRAW, now(0));
    assert_eq!(table.holders("m", 1, now(1)), [address(2)]);
    assert!(table.holders("m", 2, now(1)).is_empty());
    assert!(table.holders("m", 1, now(2_000)).is_empty());
}
