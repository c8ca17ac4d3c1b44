//! Endpoints that ask an entry for a pause.

use std::time::Duration;

use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::request_limit::LimitStatement;
use mastichaven_core::ids::ServiceName;

use super::DRAW;
use super::ROUND_TRIP;
use super::address;
use super::choose;
use super::chosen_id;
use super::now;
use super::record;
use super::report;
use super::table;

const PAUSE: Duration = Duration::from_secs(3);

fn pause_chosen(table: &mut EndpointTable, pause: Duration, ms: u64) -> bool {
    let key = choose(table, now(ms)).expect("an endpoint");
    table.record_pause(key, pause, 0.0, now(ms))
}

// A report shows an endpoint without load that turns all requests away.
#[test]
fn choose_avoids_pausing_endpoint() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    let id = table.get(key).expect("listed").id.to_string();
    assert!(table.record_pause(key, PAUSE, 0.0, now(0)));
    for ms in [1, 1_000, 2_999] {
        for n in [1, 2] {
            table.apply_report(address(n), &report(0), now(ms), ROUND_TRIP, DRAW, now(ms));
        }
        assert_ne!(chosen_id(&mut table, now(ms)), id);
        assert!(!table.accepts_requests(key, now(ms)));
    }
    assert!(table.accepts_requests(key, now(3_000)));
}

// A request finds all endpoints pausing. It must not wait, and its caller must learn when to return.
#[test]
fn choose_while_all_endpoints_pause() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    assert!(pause_chosen(&mut table, PAUSE, 0));
    let service = ServiceName::new("redator");
    assert_eq!(table.pause_ends_in(&service, now(0)), None);
    assert!(pause_chosen(&mut table, PAUSE * 2, 0));
    let ends_in = Duration::from_secs(2);
    assert_eq!(choose(&mut table, now(1_000)), Err(Unavailable::Paused { ends_in }));
    assert_eq!(table.pause_ends_in(&service, now(1_000)), Some(ends_in));
}

// Answers on other connections name a shorter pause, or arrive late.
#[test]
fn record_pause_keeps_the_one_that_ends_last() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    assert!(table.record_pause(key, PAUSE, 0.0, now(0)));
    assert!(!table.record_pause(key, PAUSE / 3, 0.0, now(100)));
    assert!(!table.accepts_requests(key, now(2_999)));
    assert!(!table.record_pause(key, PAUSE, 0.0, now(2_000)));
    assert!(!table.accepts_requests(key, now(4_999)));
    assert!(table.accepts_requests(key, now(5_000)));
    assert!(table.record_pause(key, PAUSE, 0.0, now(6_000)), "the next pause");
}

// All entries are asked for a pause at the same moment. They must not return at the same moment.
#[test]
fn record_pause_spreads_returns() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    table.record_pause(key, PAUSE, 1.0, now(0));
    assert!(!table.accepts_requests(key, now(3_700)));
    assert!(table.accepts_requests(key, now(3_750)));
}

// One endpoint pauses and the other has named a limit. The caller may return when the first of them opens.
#[test]
fn choose_between_pause_and_request_limit() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    assert!(pause_chosen(&mut table, Duration::from_secs(2), 0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    let limit = LimitStatement { per_second: Some(0.0), at: now(0) };
    assert!(table.apply_limit(key, limit));
    assert_eq!(
        choose(&mut table, now(1_000)),
        Err(Unavailable::Paused { ends_in: Duration::from_secs(1) })
    );
}
