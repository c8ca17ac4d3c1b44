//! Ejection of endpoints that fail requests.

use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint_table::Unavailable;

use super::DRAW;
use super::ROUND_TRIP;
use super::address;
use super::choose;
use super::chosen_id;
use super::now;
use super::record;
use super::report;
use super::table;

// The connections of a failed endpoint hang. Each request sent to it delays its caller by more than
// a second.
#[test]
fn record_failure_ejects_after_lost_answers() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    for at in [0, 10] {
        table.apply_report(address(1), &report(0), now(at), ROUND_TRIP, DRAW, now(at));
        table.apply_report(address(2), &report(10), now(at), ROUND_TRIP, DRAW, now(at));
        let key = choose(&mut table, now(at)).expect("an endpoint");
        table.record_failure(key, true, now(at));
    }
    table.apply_report(address(1), &report(0), now(20), ROUND_TRIP, DRAW, now(20));
    table.apply_report(address(2), &report(10), now(20), ROUND_TRIP, DRAW, now(20));
    assert_eq!(chosen_id(&mut table, now(30)), "i-2");
}

// An endpoint may still be faulty after its ejection. One request shows that as well as many.
#[test]
fn record_failure_allows_one_request_after_ejection() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    let first = choose(&mut table, now(0)).expect("an endpoint");
    table.record_failure(first, true, now(0));
    table.record_failure(first, true, now(0));
    let id = table.get(first).expect("listed").id.to_string();
    table.apply_report(address(1), &report(0), now(2_000), ROUND_TRIP, DRAW, now(2_000));
    table.apply_report(address(2), &report(10), now(2_000), ROUND_TRIP, DRAW, now(2_000));
    assert_eq!(chosen_id(&mut table, now(2_001)), id);
    table.record_sent(first, now(2_001));
    assert_ne!(chosen_id(&mut table, now(2_002)), id);
    table.record_finished(first);
    table.record_success(first);
    assert_eq!(chosen_id(&mut table, now(2_003)), id);
}

// The agent of an endpoint that is about to load cuts off running requests. Ejecting it for that
// would keep it idle for seconds after a load of a third of a second.
#[test]
fn record_failure_ignores_loading_endpoint() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let key = choose(&mut table, now(0)).expect("an endpoint");
    let loading = LoadReport { is_accepting: false, ..report(5) };
    table.apply_report(address(1), &loading, now(10), ROUND_TRIP, DRAW, now(10));
    assert_eq!(choose(&mut table, now(11)), Err(Unavailable::Full));
    for _ in 0..5 {
        table.record_failure(key, true, now(20));
    }
    table.apply_report(address(1), &report(0), now(30), ROUND_TRIP, DRAW, now(30));
    assert_eq!(chosen_id(&mut table, now(31)), "i-1");
}
