//! Which engines an entry sends requests to, and which hosts hold a version.

use std::collections::HashSet;
use std::net::SocketAddr;

use mastichaven_core::direct::roster::Reach;
use mastichaven_core::direct::roster::Roster;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ZoneName;

use super::DRAW;
use super::NEAR;
use super::address;
use super::choose_with;
use super::listed;
use super::now;
use super::report;
use super::rng;
use super::roster;
use super::roster_on;

fn covering(host: &str, engines: u8) -> (Roster, Vec<SocketAddr>) {
    let mut roster = roster_on(host);
    for n in 1..=engines {
        roster.put(listed(n, "serra"), now(0));
    }
    let far = roster.engines().filter(|(_, reach)| *reach == Reach::Far);
    let covered = far.map(|(listed, _)| listed.address).collect();
    (roster, covered)
}

// Each entry is sent the reports of all engines of all regions, and the links between them are full.
#[test]
fn engines_of_other_regions_are_covered_in_part() {
    let (mut roster, covered) = covering("entry-1", 40);
    assert!((4..=12).contains(&covered.len()), "{covered:?}");
    for n in 1..=40 {
        roster.reported(address(n), &report(0), now(1), NEAR, DRAW, now(1));
    }
    let mut rng = rng();
    for ms in 2..60 {
        let key = choose_with(&mut roster, now(ms), &mut rng).expect("an endpoint");
        assert!(covered.contains(&roster.get(key).expect("listed").address));
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
    let (mut roster, covered) = covering("entry-1", 40);
    let gone = roster.engines().find(|(_, reach)| *reach == Reach::Far).expect("one").0.id.clone();
    roster.remove(&gone, Revision(9));
    let now_covered = roster.engines().filter(|(_, reach)| *reach == Reach::Far).count();
    assert_eq!(now_covered, covered.len());
}

/// Engines of other regions that an entry sends requests to, of 20 in each of two.
fn covered(roster: &Roster) -> usize {
    roster.engines().filter(|(_, reach)| *reach == Reach::Far).count()
}

// Guards against callers of a zone out of service who are refused while those of all others are served: its
// entries knew a few engines of other regions, the entries there all of theirs.
#[test]
fn engines_of_other_regions_are_covered_in_place_of_closed_ones() {
    let mut roster = roster();
    for n in 0..20 {
        roster.put(listed(1 + n, "lagoa"), now(0));
        roster.put(listed(101 + n, "serra"), now(0));
        roster.put(listed(201 + n, "litoral"), now(0));
    }
    assert_eq!(covered(&roster), 16);
    roster.set_evacuated(HashSet::from([ZoneName::new("lagoa")]), Revision(2));
    assert_eq!(covered(&roster), 36);
    roster.set_evacuated(HashSet::new(), Revision(3));
    assert_eq!(covered(&roster), 16);
}

// Guards against chunks that are asked of hosts of which only an old list says that they have them.
#[test]
fn holders_are_those_whose_agents_say_so() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    roster.put(listed(2, "lagoa"), now(0));
    roster.reported(address(2), &report(0), now(0), NEAR, DRAW, now(0));
    assert_eq!(roster.holders("m", 1, now(1)), [address(2)]);
    assert!(roster.holders("m", 2, now(1)).is_empty());
    assert!(roster.holders("m", 1, now(2_000)).is_empty());
}
