//! Selection of an endpoint for a request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint::MAX_QUEUED_REQUESTS;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::request_limit::LimitStatement;
use mastichaven_core::direct::request_limit::Schedule;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::StorePosition;
use mastichaven_core::ids::ZoneName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::DRAW;
use super::ROUND_TRIP;
use super::SLOTS;
use super::address;
use super::choose;
use super::choose_and_send;
use super::choose_for;
use super::choose_with;
use super::chosen_id;
use super::now;
use super::record;
use super::report;
use super::report_shared_by;
use super::rng;
use super::table;

#[test]
fn choose_prefers_low_load_then_own_zone() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    table.apply_report(address(1), &report(6), now(0), ROUND_TRIP, DRAW, now(0));
    table.apply_report(address(2), &report(6), now(0), ROUND_TRIP, DRAW, now(0));
    assert_eq!(chosen_id(&mut table, now(1)), "i-1");
    table.apply_report(address(1), &report(15), now(2), ROUND_TRIP, DRAW, now(2));
    assert_eq!(chosen_id(&mut table, now(3)), "i-2");
}

// An engine becomes free after loading a version. Eight entries that each see it as the least
// loaded one send it a burst of prompts, and all its streams pause while it reads them.
#[test]
fn choose_limits_requests_to_newly_free_engine() {
    let mut rng = rng();
    let mut to_free = 0;
    for _ in 0..8 {
        let mut table = table();
        table.set_entries(8);
        for n in 1..=8 {
            table.upsert(record(n, "lagoa"), now(0));
            let running = if n == 1 { 0 } else { 10 };
            table.apply_report(
                address(n),
                &report_shared_by(8, running),
                now(0),
                ROUND_TRIP,
                DRAW,
                now(0),
            );
        }
        for ms in [10, 40, 70, 100] {
            let key = choose_with(&mut table, now(ms), &mut rng).expect("an endpoint");
            table.record_sent(key, now(ms));
            to_free += u32::from(table.get(key).expect("listed").id == "i-1");
        }
    }
    // More than the equal share of 4, since it is free, and less than one prompt per 8 ms.
    assert!((5..=12).contains(&to_free), "{to_free} of 32 requests within 0.1 s");
}

// Requests sent since the last report are not in it. If an entry doesn't count them, its whole
// burst goes to the endpoint that was least loaded before.
#[test]
fn choose_counts_requests_sent_since_report() {
    let mut table = table();
    for n in 1..=4 {
        table.upsert(record(n, "lagoa"), now(0));
        table.apply_report(address(n), &report(4), now(0), ROUND_TRIP, DRAW, now(0));
    }
    let mut rng = rng();
    let mut sent: HashMap<String, u32> = HashMap::new();
    for _ in 0..32 {
        let key = choose_with(&mut table, now(10), &mut rng).expect("an endpoint");
        table.record_sent(key, now(10));
        *sent.entry(table.get(key).expect("listed").id.to_string()).or_default() += 1;
    }
    assert!(sent.values().all(|count| (6..=10).contains(count)), "{sent:?}");
}

// A burst fills all endpoints. A request that waits behind more than a few others is late anyway,
// so refusing it at once is better for its caller.
#[test]
fn choose_returns_full_when_queues_are_full() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.apply_report(
        address(1),
        &report(SLOTS + MAX_QUEUED_REQUESTS),
        now(0),
        ROUND_TRIP,
        DRAW,
        now(0),
    );
    assert_eq!(choose(&mut table, now(1)), Err(Unavailable::Full));
    table.apply_report(address(1), &report(SLOTS), now(2), ROUND_TRIP, DRAW, now(2));
    assert!(choose(&mut table, now(3)).is_ok());
}

// A request sent to a draining endpoint or an evacuated zone is cut off when the endpoint stops.
#[test]
fn choose_avoids_draining_endpoints_and_evacuated_zones() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(EndpointRecord { is_draining: true, ..record(2, "serra") }, now(0));
    assert_eq!(chosen_id(&mut table, now(1)), "i-1");
    table.set_evacuated(
        HashSet::from([ZoneName::new("lagoa")]),
        StorePosition::new(0, 2),
        Time::ZERO,
    );
    assert_eq!(choose(&mut table, now(2)), Err(Unavailable::NoEndpoint));
    table.set_evacuated(HashSet::new(), StorePosition::new(0, 3), Time::ZERO);
    assert_eq!(chosen_id(&mut table, now(3)), "i-1");
}

// An endpoint with an older version than allowed, or with none, answers from wrong weights.
#[test]
fn choose_requires_model_version() {
    let mut table = table();
    table.upsert(EndpointRecord { weights: Vec::new(), ..record(1, "lagoa") }, now(0));
    assert_eq!(choose(&mut table, now(1)), Err(Unavailable::NoEndpoint));
    // The agent reports the weights before the list shows them.
    table.apply_report(address(1), &report(0), now(2), ROUND_TRIP, DRAW, now(2));
    assert!(choose(&mut table, now(3)).is_ok());
}

// The link of an endpoint is congested by weights or by the network. Requests reach the endpoint
// seconds later, when their callers have left, and are processed in vain.
#[test]
fn choose_avoids_high_round_trip() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "litoral"), now(0));
    table.apply_report(address(1), &report(0), now(0), Duration::from_millis(400), DRAW, now(0));
    table.apply_report(address(2), &report(12), now(0), ROUND_TRIP, DRAW, now(0));
    assert_eq!(chosen_id(&mut table, now(1)), "i-2");
}

// Report requests queue behind seconds of other traffic on the way to an agent. Its reports still
// arrive at once, but answer old requests.
#[test]
fn choose_avoids_agent_answering_old_requests() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "litoral"), now(0));
    table.apply_report(address(1), &report(0), now(0), ROUND_TRIP, DRAW, now(1_000));
    table.apply_report(address(2), &report(12), now(900), ROUND_TRIP, DRAW, now(1_000));
    assert_eq!(chosen_id(&mut table, now(1_001)), "i-2");
}

// All agents stop at once while their endpoints keep running. The missing reports must not lead to
// refusals.
#[test]
fn choose_uses_endpoints_without_fresh_reports() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.upsert(record(2, "serra"), now(0));
    table.apply_report(address(1), &report(0), now(0), ROUND_TRIP, DRAW, now(0));
    table.apply_report(address(2), &report(0), now(0), ROUND_TRIP, DRAW, now(0));
    assert!(choose(&mut table, now(5_000)).is_ok());
}

// Under lasting overload all endpoints are full, and all entries see each free place at the same
// moment. If each used it, the queue would be as long as there are entries, first events would miss
// the objective, and callers would wait for late answers.
#[test]
fn choose_shares_last_place_among_entries() {
    let entries = 8;
    let mut sent = 0;
    let reports = 200;
    for n in 0..reports {
        for entry in 0..entries {
            let mut table = table();
            table.set_entries(entries);
            table.upsert(record(1, "lagoa"), now(0));
            let draw = f64::from((n * 7 + entry * 25) % 200) / 200.0;
            let one_place_free = report_shared_by(entries, SLOTS + MAX_QUEUED_REQUESTS - 1);
            table.apply_report(address(1), &one_place_free, now(0), ROUND_TRIP, draw, now(0));
            while let Ok(key) = choose(&mut table, now(1)) {
                table.record_sent(key, now(1));
                sent += 1;
            }
        }
    }
    let per_report = f64::from(sent) / f64::from(reports);
    assert!((1.0..=3.1).contains(&per_report), "{per_report} requests for one place");
}

// Forty entries get the same reports, and one of thirty engines has become nearly free. If all
// entries prefer it until its next report, its prompts queue and their callers wait past their
// objective.
#[test]
fn choose_spreads_entries_over_engines() {
    const ROUNDS: u32 = 200;
    const ENTRIES: u32 = 40;
    // Prompts that an engine can read within the objective of 400 ms if they arrive at once;
    // reading one takes up to 60 ms.
    const MAX_TIMELY_PROMPTS: u32 = 6;
    let mut rng = rng();
    let mut late = 0;
    for _ in 0..ROUNDS {
        let counts = count_requests_per_engine(ENTRIES, 30, &mut rng);
        late += counts.values().map(|count| count.saturating_sub(MAX_TIMELY_PROMPTS)).sum::<u32>();
    }
    // The target is a first token in time for 95 % of the requests.
    assert!(late * 20 <= ROUNDS * ENTRIES, "{late} of {} late", ROUNDS * ENTRIES);
}

/// Sends one request from each entry at the same time and counts the requests for each engine.
fn count_requests_per_engine(
    entries: u32,
    engines: u8,
    rng: &mut ChaCha8Rng,
) -> HashMap<EndpointKey, u32> {
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for _ in 0..entries {
        let mut table = table();
        table.set_entries(entries);
        for n in 1..=engines {
            table.upsert(record(n, "lagoa"), now(0));
            let running = if n == 1 { 1 } else { 8 };
            table.apply_report(
                address(n),
                &report_shared_by(entries, running),
                now(0),
                ROUND_TRIP,
                rng.random(),
                now(0),
            );
        }
        let key = choose_with(&mut table, now(1), rng).expect("an endpoint");
        *counts.entry(key).or_default() += 1;
    }
    counts
}

// Demand exceeds capacity, and refused callers retry. A free place goes to a request that can still
// be answered in time rather than to a late one.
#[test]
fn choose_reserves_slots_from_late_requests() {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    table.apply_report(address(1), &report(SLOTS - 1), now(0), ROUND_TRIP, DRAW, now(0));
    assert_eq!(choose_for(&mut table, true, now(1), &mut rng()), Err(Unavailable::Full));
    assert!(choose_for(&mut table, false, now(1), &mut rng()).is_ok());
    table.apply_report(address(1), &report(SLOTS / 2), now(2), ROUND_TRIP, DRAW, now(2));
    assert!(choose_for(&mut table, true, now(3), &mut rng()).is_ok());
}

// If refusals for cold endpoints report `Full`, callers return before any endpoint is warm.
#[test]
fn choose_returns_warming_for_cold_endpoints() {
    let mut table = table();
    table.upsert(
        EndpointRecord { cold_remaining: Duration::from_secs(3), ..record(1, "lagoa") },
        now(0),
    );
    let mut rng = rng();
    let refusals: Vec<Unavailable> =
        (0..300).filter_map(|ms| choose_and_send(&mut table, now(ms), &mut rng).err()).collect();
    assert!(!refusals.is_empty());
    assert!(refusals.iter().all(|refusal| *refusal == Unavailable::Warming));
    let service = ServiceName::new("redator");
    assert_eq!(table.warm_in(&service, now(1_000)), Duration::from_secs(2));
    assert_eq!(table.warm_in(&service, now(3_000)), Duration::ZERO);
}

// After a restart of all agents their counts include only some of the entries. If entries used them
// for limits, each would send a cold endpoint the rate that is meant for all of them.
#[test]
fn record_entry_count_ignores_incomplete_count_for_limits() {
    let mut table = table();
    table.upsert(
        EndpointRecord { cold_remaining: Duration::from_secs(3), ..record(1, "lagoa") },
        now(0),
    );
    table.record_entry_count(1, false, now(0));
    let sent = sends_in_one_second(&mut table, 0);
    assert_eq!(table.entries(), 1);
    assert!(sent <= 1, "{sent} in a second");
    table.record_entry_count(1, true, now(1_000));
    assert!(sends_in_one_second(&mut table, 1_000) > 10);
}

/// Counts the requests that the table admits within a second.
fn sends_in_one_second(table: &mut EndpointTable, from_ms: u64) -> u32 {
    let mut rng = rng();
    let mut sent = 0;
    for ms in from_ms..from_ms + 1_000 {
        sent += u32::from(choose_and_send(table, now(ms), &mut rng).is_ok());
    }
    sent
}

#[test]
fn ready_in_returns_earliest_endpoint() {
    let mut table = table();
    let service = ServiceName::new("redator");
    table.upsert(EndpointRecord { weights: Vec::new(), ..record(1, "lagoa") }, now(0));
    table.upsert(EndpointRecord { weights: Vec::new(), ..record(2, "lagoa") }, now(0));
    assert_eq!(table.ready_in(&service, now(1)), None);
    for (n, ms) in [(1, 900), (2, 600)] {
        let ready_in = Some(Duration::from_millis(ms));
        let loading = LoadReport { weights: Vec::new(), ready_in, ..report(0) };
        table.apply_report(address(n), &loading, now(10), ROUND_TRIP, DRAW, now(10));
    }
    assert_eq!(table.ready_in(&service, now(110)), Some(Duration::from_millis(500)));
    // A report that is a second old no longer counts.
    assert_eq!(table.ready_in(&service, now(1_110)), None);
}

/// A table with the endpoints 1 and 2, where 1 takes one request per second from `readers` entries.
fn table_with_limit(readers: u32) -> (EndpointTable, EndpointKey) {
    let mut table = table();
    table.upsert(record(1, "lagoa"), now(0));
    let limited = choose(&mut table, now(0)).unwrap();
    table.upsert(record(2, "lagoa"), now(0));
    for n in [1, 2] {
        let report = report_shared_by(readers, 0);
        table.apply_report(address(n), &report, now(0), ROUND_TRIP, DRAW, now(0));
    }
    let statement = LimitStatement { per_second: Some(1.0), at: now(0) };
    let schedule = Schedule { entries: readers, position: readers - 1, clock_ms: 0 };
    let changed = table.apply_relayed_limit(address(1), 0, statement, Some(schedule), now(0));
    assert_eq!(changed, Some("i-1".into()));
    (table, limited)
}

// An endpoint that has named a limit is the least loaded one, as it gets few requests.
#[test]
fn choose_skips_endpoint_whose_limit_is_used_up() {
    let (mut table, limited) = table_with_limit(8);
    let mut rng = rng();
    let mut sent_to_limited = 0;
    for ms in 1..300 {
        table.apply_report(address(2), &report(0), now(ms), ROUND_TRIP, DRAW, now(ms));
        let chosen = choose_with(&mut table, now(ms), &mut rng).unwrap();
        table.record_sent(chosen, now(ms));
        table.record_finished(chosen);
        sent_to_limited += u32::from(chosen == limited);
    }
    assert!(sent_to_limited <= 1, "{sent_to_limited} requests in 0.3 s");
}

// A request that no endpoint takes within its limit must be refused with the time of the next turn, rather than wait.
#[test]
fn choose_returns_time_of_turn_if_all_are_limited() {
    let (mut table, limited) = table_with_limit(8);
    table.remove("i-2", StorePosition::new(0, 1), Time::ZERO);
    let mut rng = rng();
    let Err(Unavailable::Limited { opens_in }) = choose_with(&mut table, now(1), &mut rng) else {
        panic!("the endpoint is chosen although its limit is used up");
    };
    let turn = now(1) + opens_in;
    assert!(opens_in <= Duration::from_secs(10), "{opens_in:?}");
    let report = report_shared_by(8, 0);
    table.apply_report(address(1), &report, turn, ROUND_TRIP, DRAW, turn);
    let statement = LimitStatement { per_second: Some(1.0), at: now(0) };
    let clock_ms = turn.since(now(0)).as_millis() as u64;
    let schedule = Schedule { entries: 8, position: 7, clock_ms };
    table.apply_relayed_limit(address(1), 0, statement, Some(schedule), turn);
    assert_eq!(choose_with(&mut table, turn, &mut rng), Ok(limited));
    table.record_sent(limited, turn);
    assert!(matches!(choose_with(&mut table, turn, &mut rng), Err(Unavailable::Limited { .. })));
}

// The limit of an endpoint ended with its process. Its successor at the address has named none.
#[test]
fn relayed_limit_of_other_process_is_ignored() {
    let mut table = table();
    table.upsert(EndpointRecord { started_ms: 20, ..record(1, "lagoa") }, now(0));
    let statement = LimitStatement { per_second: Some(1.0), at: now(5) };
    assert_eq!(table.apply_relayed_limit(address(1), 10, statement, None, now(6)), None);
    assert_eq!(
        table.apply_relayed_limit(address(1), 20, statement, None, now(6)),
        Some("i-1".into())
    );
    assert_eq!(table.apply_relayed_limit(address(1), 20, statement, None, now(6)), None);
    assert_eq!(table.limits_to_relay().count(), 0);
}
