//! Which engines an entry sends requests to, and which hosts hold a version.

use std::collections::HashSet;
use std::net::SocketAddr;

use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Reach;
use mastichaven_core::ids::Revision;
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

fn covering(host: &str, engines: u8) -> (EndpointTable, Vec<SocketAddr>) {
    let mut table = table_on(host);
    for n in 1..=engines {
        table.upsert(record(n, "serra"), now(0));
    }
    let far = table.engines().filter(|(_, reach)| *reach == Reach::Far);
    let covered = far.map(|(listed, _)| listed.address).collect();
    (table, covered)
}

// Each entry is sent the reports of all engines of all regions, and the links between them are full.
#[test]
fn engines_of_other_regions_are_covered_in_part() {
    let (mut table, covered) = covering("entry-1", 40);
    assert!((4..=12).contains(&covered.len()), "{covered:?}");
    for n in 1..=40 {
        table.apply_report(address(n), &report(0), now(1), ROUND_TRIP, DRAW, now(1));
    }
    let mut rng = rng();
    for ms in 2..60 {
        let key = choose_with(&mut table, now(ms), &mut rng).expect("an endpoint");
        assert!(covered.contains(&table.get(key).expect("listed").address));
    }
}

// A region is out of service and its entries send all their requests to a few engines elsewhere.
#[test]
fn engines_are_covered_by_the_entries_of_a_region_together() {
    let all: HashSet<SocketAddr> =
        (0..20).flat_map(|n| covering(&format!("entry-{n}"), 40).1).collect();
    assert_eq!(all.len(), 40);
}

#[test]
fn engines_that_leave_are_replaced_among_the_covered() {
    let (mut table, covered) = covering("entry-1", 40);
    let gone = table.engines().find(|(_, reach)| *reach == Reach::Far).expect("one").0.id.clone();
    table.remove(&gone, Revision(9));
    let now_covered = table.engines().filter(|(_, reach)| *reach == Reach::Far).count();
    assert_eq!(now_covered, covered.len());
}

/// Engines of other regions that an entry sends requests to, of 20 in each of two.
fn covered(table: &EndpointTable) -> usize {
    table.engines().filter(|(_, reach)| *reach == Reach::Far).count()
}

// Guards against callers of a zone out of service who are refused while those of all others are served: its
// entries knew a few engines of other regions, the entries there all of theirs.
#[test]
fn engines_of_other_regions_are_covered_in_place_of_closed_ones() {
    let mut table = table();
    for n in 0..20 {
        table.upsert(record(1 + n, "lagoa"), now(0));
        table.upsert(record(101 + n, "serra"), now(0));
        table.upsert(record(201 + n, "litoral"), now(0));
    }
    assert_eq!(covered(&table), 16);
    table.set_evacuated(HashSet::from([ZoneName::new("lagoa")]), Revision(2));
    assert_eq!(covered(&table), 36);
    table.set_evacuated(HashSet::new(), Revision(3));
    assert_eq!(covered(&table), 16);
}

// Guards against chunks that are asked of hosts of which only an old list says that they have them.
#[test]
fn holders_are_those_whose_agents_say_so() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "lagoa"), now(0));
    table.apply_report(address(2), &report(0), now(0), ROUND_TRIP, DRAW, now(0));
    assert_eq!(table.holders("m", 1, now(1)), [address(2)]);
    assert!(table.holders("m", 2, now(1)).is_empty());
    assert!(table.holders("m", 1, now(2_000)).is_empty());
}
