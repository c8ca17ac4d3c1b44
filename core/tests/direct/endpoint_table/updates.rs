//! What the store says of endpoints and zones.

use std::collections::HashSet;

use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::ids::Revision;
use mastichaven_core::ids::ZoneName;

use super::DRAW;
use super::ROUND_TRIP;
use super::address;
use super::choose;
use super::chosen_id;
use super::now;
use super::record;
use super::report;
use super::table;

// An endpoint lost power and holds nothing; the list shows it as before for a while. Requests that
// were sent there for the list's sake would come back refused.
#[test]
fn put_does_not_overrule_a_fresh_report() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let empty = LoadReport { weights: Vec::new(), ..report(0) };
    table.apply_report(address(1), &empty, now(0), ROUND_TRIP, DRAW, now(0));
    table.upsert(record(1, "lagoa"), now(100));
    assert_eq!(choose(&mut table, now(101)), Err(Unavailable::NoEndpoint));
    // Without reports the list is all there is.
    table.upsert(record(1, "lagoa"), now(2_000));
    assert!(choose(&mut table, now(2_001)).is_ok());
}

// An address is given to an endpoint of another service. The old entry must not be used with it.
#[test]
fn put_starts_anew_when_the_address_changes() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let before = choose(&mut table, now(0)).expect("an endpoint");
    table.upsert(EndpointRecord { address: address(9), ..record(1, "lagoa") }, now(1));
    assert!(table.get(before).is_none());
    assert_eq!(table.len(), 1);
}

// An entry reads that an endpoint leaves. Then it follows another entry, which was cut off from the store
// just before and still has the endpoint as ready. Callers' requests must not go there again: the endpoint
// stops within two seconds, and they would be cut off.
#[test]
fn put_does_not_take_back_that_an_endpoint_leaves() {
    let mut table = table();
    let ready = record(1, "lagoa");
    let leaving = EndpointRecord { is_draining: true, ..ready.clone() };
    table.upsert(leaving, now(0));
    table.upsert(ready.clone(), now(300));
    assert_eq!(choose(&mut table, now(301)), Err(Unavailable::NoEndpoint));
    table.upsert(EndpointRecord { started_ms: ready.started_ms + 1, ..ready }, now(5_000));
    assert!(choose(&mut table, now(5_001)).is_ok());
}

// An endpoint starts again under the id that it had, just after its entry lapsed. News of the lapse
// comes late, from an entry that kept it for a while. The endpoint would get no requests until it
// writes to the store again.
#[test]
fn remove_spares_an_endpoint_that_is_back() {
    let mut table = table();
    table.replace_all(Revision(1), vec![record(1, "lagoa")], &[], now(0));
    table.remove("i-1", Revision(1));
    assert!(table.is_empty());
    assert!(table.upsert(EndpointRecord { revision: Revision(4), ..record(1, "lagoa") }, now(100)));
    table.remove("i-1", Revision(1));
    assert!(choose(&mut table, now(101)).is_ok());
}

// The list that an entry already knows changes of is told once more, change by change, by an entry that
// reads it late. What has left since must not come back for the moment between two changes.
#[test]
fn put_refuses_what_is_older_than_the_list() {
    let mut table = table();
    table.replace_all(Revision(5), vec![record(1, "lagoa")], &[], now(0));
    let left = EndpointRecord { revision: Revision(3), ..record(2, "serra") };
    assert!(!table.upsert(left, now(1)));
    let newer = EndpointRecord { revision: Revision(7), is_draining: true, ..record(1, "lagoa") };
    assert!(table.upsert(newer, now(2)));
    assert!(!table.upsert(
        EndpointRecord { revision: Revision(6), started_ms: 9, ..record(1, "lagoa") },
        now(3)
    ));
    assert_eq!(choose(&mut table, now(4)), Err(Unavailable::NoEndpoint));
}

// A list of the same revision is taken in again: weights are read anew when the models have changed.
#[test]
fn put_all_takes_a_list_of_the_same_revision() {
    let mut table = table();
    let half = EndpointRecord { weights: Vec::new(), ..record(1, "lagoa") };
    assert!(table.replace_all(Revision(5), vec![half], &[], now(0)).is_some());
    assert!(choose(&mut table, now(1)).is_err());
    assert!(table.replace_all(Revision(5), vec![record(1, "lagoa")], &[], now(2)).is_some());
    assert!(choose(&mut table, now(3)).is_ok());
    assert_eq!(table.replace_all(Revision(4), Vec::new(), &[], now(4)), None);
    assert!(choose(&mut table, now(5)).is_ok());
    let gone = table.replace_all(Revision(6), Vec::new(), &[], now(6));
    assert_eq!(gone, Some(vec!["i-1".into()]));
}

// Two entries tell of the zones that are out of service, the one that knows less later.
#[test]
fn set_evacuated_keeps_what_is_newer() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let lagoa = HashSet::from([ZoneName::new("lagoa")]);
    assert!(table.set_evacuated(lagoa, Revision(5)));
    assert!(!table.set_evacuated(HashSet::new(), Revision(4)));
    assert_eq!(choose(&mut table, now(1)), Err(Unavailable::NoEndpoint));
    assert!(table.set_evacuated(HashSet::new(), Revision(6)));
    assert!(choose(&mut table, now(2)).is_ok());
}

/// The process that follows `n` at its address, under an id of its own.
fn restarted(n: u8, zone: &str) -> EndpointRecord {
    let weights = Vec::new();
    EndpointRecord { id: format!("i-{n}-again").into(), started_ms: 20, weights, ..record(n, zone) }
}

// Guards against requests to engines that lost power: the list shows the old process for seconds.
#[test]
fn choose_avoids_a_process_that_another_has_followed() {
    let mut table = table();
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(0));
    let later = LoadReport { started_ms: 20, ..report(0) };
    table.apply_report(address(1), &later, now(0), ROUND_TRIP, DRAW, now(10));
    assert_eq!(choose(&mut table, now(11)), Err(Unavailable::NoEndpoint));
}

// Guards against a restarted engine that serves again and gets nothing until the old entry lapses.
#[test]
fn choose_finds_the_process_that_followed_while_both_are_listed() {
    let mut table = table();
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(0));
    table.upsert(restarted(1, "lagoa"), now(5));
    assert_eq!(choose(&mut table, now(6)), Err(Unavailable::NoEndpoint));
    let loaded = LoadReport { started_ms: 20, ..report(0) };
    table.apply_report(address(1), &loaded, now(10), ROUND_TRIP, DRAW, now(10));
    assert_eq!(chosen_id(&mut table, now(11)), "i-1-again");
    // Late news of the old process change nothing.
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(20));
    assert_eq!(chosen_id(&mut table, now(21)), "i-1-again");
    table.remove("i-1", Revision(1));
    assert_eq!(chosen_id(&mut table, now(31)), "i-1-again");
}

// Guards against entries of the list that come in the other order.
#[test]
fn put_does_not_prefer_an_old_process_that_is_listed_late() {
    let mut table = table();
    table
        .upsert(EndpointRecord { weights: vec![("m".into(), 1)], ..restarted(1, "lagoa") }, now(0));
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(5));
    assert_eq!(chosen_id(&mut table, now(6)), "i-1-again");
}

// Guards against repeated requests to an endpoint whose address another process has.
#[test]
fn misdirected_spares_an_endpoint_until_the_list_has_changed() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    let key = choose(&mut table, now(1)).expect("an endpoint");
    table.record_misdirected(key, now(2));
    assert_eq!(chosen_id(&mut table, now(400)), "i-2");
    assert_eq!(chosen_id(&mut table, now(800)), "i-1");
}
