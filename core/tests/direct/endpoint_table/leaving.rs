//! Endpoints that say in their answers that they leave.

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::leaving::LeavingProcesses;
use mastichaven_core::ids::StorePosition;

use super::address;
use super::choose;
use super::chosen_id;
use super::now;
use super::record;
use super::table;

/// Start time of the process that leaves.
const STARTED_MS: u64 = 5;

fn started(revision: u64, started_ms: u64) -> EndpointRecord {
    EndpointRecord { revision: StorePosition::new(0, revision), started_ms, ..record(1, "lagoa") }
}

/// A table whose only endpoint has said that it leaves.
fn table_with_leaving() -> EndpointTable {
    let mut table = table();
    table.upsert(started(1, STARTED_MS), now(0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    assert!(table.record_leaving(key, now(0)));
    assert!(!table.record_leaving(key, now(1)), "it is known");
    table
}

// The store lists an endpoint as ready, removes it and lists it again, after it has said that it leaves.
#[test]
fn record_leaving_outweighs_the_store() {
    let mut table = table_with_leaving();
    assert_eq!(choose(&mut table, now(1)), Err(Unavailable::NoEndpoint));
    table.upsert(started(2, STARTED_MS), now(10));
    assert_eq!(choose(&mut table, now(11)), Err(Unavailable::NoEndpoint));
    table.remove("i-1", StorePosition::new(0, 3), Time::ZERO);
    table.upsert(started(4, STARTED_MS), now(20));
    assert_eq!(choose(&mut table, now(21)), Err(Unavailable::NoEndpoint));
    table.replace_all(StorePosition::new(0, 9), Vec::new(), &[], now(30));
    table.replace_all(StorePosition::new(0, 10), vec![started(10, STARTED_MS)], &[], now(31));
    assert_eq!(choose(&mut table, now(32)), Err(Unavailable::NoEndpoint));
}

// The next process at the address, even under the same id, has not said so.
#[test]
fn record_leaving_ends_with_the_process() {
    let mut table = table_with_leaving();
    table.upsert(started(2, STARTED_MS + 1), now(10));
    assert_eq!(chosen_id(&mut table, now(11)), "i-1");
}

// An entry hears from others that an endpoint leaves before the store lists the endpoint, or without an answer of it.
#[test]
fn record_leaving_process_bars_endpoint() {
    let process = EndpointProcess { address: address(1), started_ms: STARTED_MS };
    let mut before = table();
    assert_eq!(before.record_leaving_process(process, now(0)), None);
    before.upsert(started(1, STARTED_MS), now(1));
    assert_eq!(choose(&mut before, now(2)), Err(Unavailable::NoEndpoint));
    let mut after = table();
    after.upsert(started(1, STARTED_MS), now(0));
    assert_eq!(after.record_leaving_process(process, now(1)), Some("i-1".into()));
    assert_eq!(after.record_leaving_process(process, now(2)), None);
    assert_eq!(choose(&mut after, now(3)), Err(Unavailable::NoEndpoint));
    after.upsert(started(2, STARTED_MS + 1), now(4));
    assert_eq!(after.record_leaving_process(process, now(5)), None, "a late notice of the former");
    assert_eq!(chosen_id(&mut after, now(6)), "i-1");
}

// The former process at an address cannot be told from the present one if the list does not tell their start.
#[test]
fn record_leaving_of_unidentified_process_is_not_remembered() {
    let mut table = table();
    table.upsert(started(1, 0), now(0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    table.record_leaving(key, now(0));
    table.upsert(started(2, 0), now(1));
    assert_eq!(choose(&mut table, now(2)), Err(Unavailable::NoEndpoint), "the same record");
    table.remove("i-1", StorePosition::new(0, 3), Time::ZERO);
    table.upsert(started(4, 0), now(3));
    assert_eq!(chosen_id(&mut table, now(4)), "i-1");
    let process = EndpointProcess { address: address(1), started_ms: 0 };
    assert_eq!(table.record_leaving_process(process, now(5)), None);
    assert_eq!(chosen_id(&mut table, now(6)), "i-1");
}

// The store is away for longer than a process is remembered, and the process goes on to say that it leaves.
#[test]
fn record_leaving_is_renewed() {
    let process = EndpointProcess { address: address(1), started_ms: STARTED_MS };
    let mut leaving = LeavingProcesses::default();
    leaving.record(process, now(0));
    leaving.record(process, now(599_000));
    assert!(leaving.contains(process, now(1_198_000)));
    assert!(!leaving.contains(process, now(1_199_000)));
}
