//! Updates of the table from the store.

use std::collections::HashSet;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::ids::StorePosition;
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

// An endpoint that lost power holds no weights, but the list shows them for a while. Requests sent
// to it because of the list are refused.
#[test]
fn upsert_keeps_weights_of_fresh_report() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let empty = LoadReport { weights: Vec::new(), ..report(0) };
    table.apply_report(address(1), &empty, now(0), ROUND_TRIP, DRAW, now(0));
    table.upsert(record(1, "lagoa"), now(100));
    assert_eq!(choose(&mut table, now(101)), Err(Unavailable::NoEndpoint));
    // Without fresh reports the list is used.
    table.upsert(record(1, "lagoa"), now(2_000));
    assert!(choose(&mut table, now(2_001)).is_ok());
}

// An address moves to an endpoint of another service. The old record must not be used with it.
#[test]
fn upsert_replaces_endpoint_with_new_address() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let before = choose(&mut table, now(0)).expect("an endpoint");
    table.upsert(EndpointRecord { address: address(9), ..record(1, "lagoa") }, now(1));
    assert!(table.get(before).is_none());
    assert_eq!(table.len(), 1);
}

// An entry reads that an endpoint is draining, then follows another entry that was cut off from the
// store before and still has the endpoint as ready. Requests sent there are cut off when the
// endpoint stops within two seconds.
#[test]
fn upsert_keeps_draining_state() {
    let mut table = table();
    let ready = record(1, "lagoa");
    let draining = EndpointRecord { is_draining: true, ..ready.clone() };
    table.upsert(draining, now(0));
    table.upsert(ready.clone(), now(300));
    assert_eq!(choose(&mut table, now(301)), Err(Unavailable::NoEndpoint));
    table.upsert(EndpointRecord { started_ms: ready.started_ms + 1, ..ready }, now(5_000));
    assert!(choose(&mut table, now(5_001)).is_ok());
}

// An endpoint restarts under its old id just after its record lapsed, and another entry reports the
// lapse late. If that removes the new record, the endpoint gets no requests until it next writes to
// the store.
#[test]
fn remove_keeps_endpoint_with_newer_record() {
    let mut table = table();
    table.replace_all(StorePosition::new(0, 1), vec![record(1, "lagoa")], &[], now(0));
    table.remove("i-1", StorePosition::new(0, 1), Time::ZERO);
    assert!(table.is_empty());
    assert!(table.upsert(
        EndpointRecord { revision: StorePosition::new(0, 4), ..record(1, "lagoa") },
        now(100)
    ));
    table.remove("i-1", StorePosition::new(0, 1), Time::ZERO);
    assert!(choose(&mut table, now(101)).is_ok());
}

// A follower that has a list gets the changes up to it once more from an entry that reads them
// late. An endpoint that was removed since must not reappear until its removal is repeated.
#[test]
fn upsert_rejects_record_older_than_list() {
    let mut table = table();
    table.replace_all(StorePosition::new(0, 5), vec![record(1, "lagoa")], &[], now(0));
    let left = EndpointRecord { revision: StorePosition::new(0, 3), ..record(2, "serra") };
    assert!(!table.upsert(left, now(1)));
    let newer = EndpointRecord {
        revision: StorePosition::new(0, 7),
        is_draining: true,
        ..record(1, "lagoa")
    };
    assert!(table.upsert(newer, now(2)));
    assert!(!table.upsert(
        EndpointRecord { revision: StorePosition::new(0, 6), started_ms: 9, ..record(1, "lagoa") },
        now(3)
    ));
    assert_eq!(choose(&mut table, now(4)), Err(Unavailable::NoEndpoint));
}

// A list of the same revision is applied again: weights are parsed anew when the models have
// changed.
#[test]
fn replace_all_accepts_list_of_same_revision() {
    let mut table = table();
    let half = EndpointRecord { weights: Vec::new(), ..record(1, "lagoa") };
    assert!(table.replace_all(StorePosition::new(0, 5), vec![half], &[], now(0)).is_some());
    assert!(choose(&mut table, now(1)).is_err());
    assert!(
        table
            .replace_all(StorePosition::new(0, 5), vec![record(1, "lagoa")], &[], now(2))
            .is_some()
    );
    assert!(choose(&mut table, now(3)).is_ok());
    assert_eq!(table.replace_all(StorePosition::new(0, 4), Vec::new(), &[], now(4)), None);
    assert!(choose(&mut table, now(5)).is_ok());
    let gone = table.replace_all(StorePosition::new(0, 6), Vec::new(), &[], now(6));
    assert_eq!(gone, Some(vec!["i-1".into()]));
}

// Two entries send the zones that are out of service, and the older state arrives later.
#[test]
fn set_evacuated_rejects_older_revision() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let lagoa = HashSet::from([ZoneName::new("lagoa")]);
    assert!(table.set_evacuated(lagoa, StorePosition::new(0, 5), Time::ZERO));
    assert!(!table.set_evacuated(HashSet::new(), StorePosition::new(0, 4), Time::ZERO));
    assert_eq!(choose(&mut table, now(1)), Err(Unavailable::NoEndpoint));
    assert!(table.set_evacuated(HashSet::new(), StorePosition::new(0, 6), Time::ZERO));
    assert!(choose(&mut table, now(2)).is_ok());
}

/// Record of the successor of endpoint `n`, at the same address under a new id.
fn successor_record(n: u8, zone: &str) -> EndpointRecord {
    let weights = Vec::new();
    EndpointRecord { id: format!("i-{n}-again").into(), started_ms: 20, weights, ..record(n, zone) }
}

// The list shows an engine that lost power for seconds, and requests are sent to the old process.
#[test]
fn choose_avoids_superseded_process() {
    let mut table = table();
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(0));
    let later = LoadReport { started_ms: 20, ..report(0) };
    table.apply_report(address(1), &later, now(0), ROUND_TRIP, DRAW, now(10));
    assert_eq!(choose(&mut table, now(11)), Err(Unavailable::NoEndpoint));
}

// A restarted engine serves again, but gets no requests until the record of the old process lapses.
#[test]
fn choose_uses_successor_while_both_are_listed() {
    let mut table = table();
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(0));
    table.upsert(successor_record(1, "lagoa"), now(5));
    assert_eq!(choose(&mut table, now(6)), Err(Unavailable::NoEndpoint));
    let loaded = LoadReport { started_ms: 20, ..report(0) };
    table.apply_report(address(1), &loaded, now(10), ROUND_TRIP, DRAW, now(10));
    assert_eq!(chosen_id(&mut table, now(11)), "i-1-again");
    // A late record of the old process changes nothing.
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(20));
    assert_eq!(chosen_id(&mut table, now(21)), "i-1-again");
    table.remove("i-1", StorePosition::new(0, 1), Time::ZERO);
    assert_eq!(chosen_id(&mut table, now(31)), "i-1-again");
}

// The records of a process and its successor may arrive in reverse order.
#[test]
fn upsert_keeps_successor_listed_before_old_process() {
    let mut table = table();
    table.upsert(
        EndpointRecord { weights: vec![("m".into(), 1)], ..successor_record(1, "lagoa") },
        now(0),
    );
    table.upsert(EndpointRecord { started_ms: 10, ..record(1, "lagoa") }, now(5));
    assert_eq!(chosen_id(&mut table, now(6)), "i-1-again");
}

// Another process has the address of an endpoint, and requests to it are misdirected repeatedly.
#[test]
fn record_misdirected_backs_off() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    let key = choose(&mut table, now(1)).expect("an endpoint");
    table.record_misdirected(key, now(2));
    assert_eq!(chosen_id(&mut table, now(400)), "i-2");
    assert_eq!(chosen_id(&mut table, now(800)), "i-1");
}

// A store that comes back from a copy gives its revisions out again.
#[test]
fn position_of_later_era_is_newer() {
    assert!(StorePosition::new(2, 29) > StorePosition::new(1, 52));
    assert!(StorePosition::new(2, 30) > StorePosition::new(2, 29));
    assert!(StorePosition::new(1, 1) > StorePosition::new(0, u64::MAX));
}

// The store comes back from a copy that shows an endpoint which was removed since. It is used again once it has written
// its record anew, or if it is still listed after the time in which the records of ended endpoints expire.
#[test]
fn replace_all_of_later_era_ignores_removed_endpoint() {
    let mut table = table();
    let known = EndpointRecord { started_ms: 7, ..record(1, "lagoa") };
    table.replace_all(StorePosition::new(1, 5), vec![known.clone()], &[], now(0));
    table.remove("i-1", StorePosition::new(1, 9), now(100));
    let listed = EndpointRecord { revision: StorePosition::new(2, 3), ..known };
    let as_of = StorePosition::new(2, 4);
    table.replace_all(as_of, vec![listed.clone()], &[], now(200));
    assert!(table.is_empty());
    assert!(!table.take_relist_due(now(300)));
    let anew = EndpointRecord { revision: StorePosition::new(2, 6), ..listed.clone() };
    assert!(table.upsert(anew, now(400)));
    table.remove("i-1", StorePosition::new(2, 7), now(500));
    assert!(table.take_relist_due(now(20_000)));
    table.replace_all(StorePosition::new(2, 8), vec![listed], &[], now(20_000));
    assert_eq!(table.len(), 1);
}

// An entry that is cut off from the store sends its list of the earlier era.
#[test]
fn replace_all_rejects_list_of_earlier_era() {
    let mut table = table();
    table.replace_all(StorePosition::new(2, 3), vec![record(1, "lagoa")], &[], now(0));
    assert_eq!(table.replace_all(StorePosition::new(1, 50), vec![], &[], now(100)), None);
    assert_eq!(table.len(), 1);
}
