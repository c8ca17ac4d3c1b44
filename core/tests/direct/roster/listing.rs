//! What the store says of endpoints and zones.

use std::collections::HashSet;

use mastichaven_core::direct::endpoint::Listed;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::roster::Unavailable;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ZoneName;

use super::DRAW;
use super::NEAR;
use super::address;
use super::choose;
use super::chosen;
use super::listed;
use super::now;
use super::report;
use super::roster;

// An endpoint lost power and holds nothing; the list shows it as before for a while. Requests that
// were sent there for the list's sake would come back refused.
#[test]
fn put_does_not_overrule_a_fresh_report() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    let empty = LoadReport { weights: Vec::new(), ..report(0) };
    roster.reported(address(1), &empty, now(0), NEAR, DRAW, now(0));
    roster.put(listed(1, "lagoa"), now(100));
    assert_eq!(choose(&mut roster, now(101)), Err(Unavailable::None));
    // Without reports the list is all there is.
    roster.put(listed(1, "lagoa"), now(2_000));
    assert!(choose(&mut roster, now(2_001)).is_ok());
}

// An address is given to an endpoint of another service. The old entry must not be used with it.
#[test]
fn put_starts_anew_when_the_address_changes() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    let before = choose(&mut roster, now(0)).expect("an endpoint");
    roster.put(Listed { address: address(9), ..listed(1, "lagoa") }, now(1));
    assert!(roster.get(before).is_none());
    assert_eq!(roster.len(), 1);
}

// An entry reads that an endpoint leaves. Then it follows another entry, which was cut off from the store
// just before and still has the endpoint as ready. Callers' requests must not go there again: the endpoint
// stops within two seconds, and they would be cut off.
#[test]
fn put_does_not_take_back_that_an_endpoint_leaves() {
    let mut roster = roster();
    let ready = listed(1, "lagoa");
    let leaving = Listed { is_draining: true, ..ready.clone() };
    roster.put(leaving, now(0));
    roster.put(ready.clone(), now(300));
    assert_eq!(choose(&mut roster, now(301)), Err(Unavailable::None));
    roster.put(Listed { born: ready.born + 1, ..ready }, now(5_000));
    assert!(choose(&mut roster, now(5_001)).is_ok());
}

// An endpoint starts again under the id that it had, just after its entry lapsed. News of the lapse
// comes late, from an entry that kept it for a while. The endpoint would get no requests until it
// writes to the store again.
#[test]
fn remove_spares_an_endpoint_that_is_back() {
    let mut roster = roster();
    roster.put_all(Revision(1), vec![listed(1, "lagoa")], &[], now(0));
    roster.remove("i-1", Revision(1));
    assert!(roster.is_empty());
    assert!(roster.put(Listed { revision: Revision(4), ..listed(1, "lagoa") }, now(100)));
    roster.remove("i-1", Revision(1));
    assert!(choose(&mut roster, now(101)).is_ok());
}

// The list that an entry already knows changes of is told once more, change by change, by an entry that
// reads it late. What has left since must not come back for the moment between two changes.
#[test]
fn put_refuses_what_is_older_than_the_list() {
    let mut roster = roster();
    roster.put_all(Revision(5), vec![listed(1, "lagoa")], &[], now(0));
    let left = Listed { revision: Revision(3), ..listed(2, "serra") };
    assert!(!roster.put(left, now(1)));
    let newer = Listed { revision: Revision(7), is_draining: true, ..listed(1, "lagoa") };
    assert!(roster.put(newer, now(2)));
    assert!(!roster.put(Listed { revision: Revision(6), born: 9, ..listed(1, "lagoa") }, now(3)));
    assert_eq!(choose(&mut roster, now(4)), Err(Unavailable::None));
}

// A list of the same revision is taken in again: weights are read anew when the models have changed.
#[test]
fn put_all_takes_a_list_of_the_same_revision() {
    let mut roster = roster();
    let half = Listed { weights: Vec::new(), ..listed(1, "lagoa") };
    assert!(roster.put_all(Revision(5), vec![half], &[], now(0)).is_some());
    assert!(choose(&mut roster, now(1)).is_err());
    assert!(roster.put_all(Revision(5), vec![listed(1, "lagoa")], &[], now(2)).is_some());
    assert!(choose(&mut roster, now(3)).is_ok());
    assert_eq!(roster.put_all(Revision(4), Vec::new(), &[], now(4)), None);
    assert!(choose(&mut roster, now(5)).is_ok());
    let gone = roster.put_all(Revision(6), Vec::new(), &[], now(6));
    assert_eq!(gone, Some(vec!["i-1".into()]));
}

// Two entries tell of the zones that are out of service, the one that knows less later.
#[test]
fn set_evacuated_keeps_what_is_newer() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    let lagoa = HashSet::from([ZoneName::new("lagoa")]);
    assert!(roster.set_evacuated(lagoa, Revision(5)));
    assert!(!roster.set_evacuated(HashSet::new(), Revision(4)));
    assert_eq!(choose(&mut roster, now(1)), Err(Unavailable::None));
    assert!(roster.set_evacuated(HashSet::new(), Revision(6)));
    assert!(choose(&mut roster, now(2)).is_ok());
}

/// The process that follows `n` at its address, under an id of its own.
fn restarted(n: u8, zone: &str) -> Listed {
    let weights = Vec::new();
    Listed { id: format!("i-{n}-again").into(), born: 20, weights, ..listed(n, zone) }
}

// Guards against requests to engines that lost power: the list shows the old process for seconds.
#[test]
fn choose_avoids_a_process_that_another_has_followed() {
    let mut roster = roster();
    roster.put(Listed { born: 10, ..listed(1, "lagoa") }, now(0));
    let later = LoadReport { born: 20, ..report(0) };
    roster.reported(address(1), &later, now(0), NEAR, DRAW, now(10));
    assert_eq!(choose(&mut roster, now(11)), Err(Unavailable::None));
}

// Guards against a restarted engine that serves again and gets nothing until the old entry lapses.
#[test]
fn choose_finds_the_process_that_followed_while_both_are_listed() {
    let mut roster = roster();
    roster.put(Listed { born: 10, ..listed(1, "lagoa") }, now(0));
    roster.put(restarted(1, "lagoa"), now(5));
    assert_eq!(choose(&mut roster, now(6)), Err(Unavailable::None));
    let loaded = LoadReport { born: 20, ..report(0) };
    roster.reported(address(1), &loaded, now(10), NEAR, DRAW, now(10));
    assert_eq!(chosen(&mut roster, now(11)), "i-1-again");
    // Late news of the old process change nothing.
    roster.put(Listed { born: 10, ..listed(1, "lagoa") }, now(20));
    assert_eq!(chosen(&mut roster, now(21)), "i-1-again");
    roster.remove("i-1", Revision(1));
    assert_eq!(chosen(&mut roster, now(31)), "i-1-again");
}

// Guards against entries of the list that come in the other order.
#[test]
fn put_does_not_prefer_an_old_process_that_is_listed_late() {
    let mut roster = roster();
    roster.put(Listed { weights: vec![("m".into(), 1)], ..restarted(1, "lagoa") }, now(0));
    roster.put(Listed { born: 10, ..listed(1, "lagoa") }, now(5));
    assert_eq!(chosen(&mut roster, now(6)), "i-1-again");
}

// Guards against repeated requests to an endpoint whose address another process has.
#[test]
fn misdirected_spares_an_endpoint_until_the_list_has_changed() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    roster.put(listed(2, "serra"), now(0));
    let key = choose(&mut roster, now(1)).expect("an endpoint");
    roster.misdirected(key, now(2));
    assert_eq!(chosen(&mut roster, now(400)), "i-2");
    assert_eq!(chosen(&mut roster, now(800)), "i-1");
}
