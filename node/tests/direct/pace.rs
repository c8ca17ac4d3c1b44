//! Engines that are slow for a while.

use std::time::Duration;
use std::time::Instant;

use mastichaven_core::direct::notices::Notice;
use mastichaven_node::direct::load_reports::Attachments;
use mastichaven_node::direct::load_reports::MAX_DATAGRAM_LEN;
use mastichaven_node::direct::load_reports::append_report_attachments;
use mastichaven_node::direct::load_reports::decode;
use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Site;
use super::fixture::until;

const SLOW: f64 = 2.5;

/// A pace at which a stream is expected after the objective of the fixture's route.
const VERY_SLOW: f64 = 8.0;

/// Time after the start of a request at which its engine turns slow.
const TURNS_SLOW_AFTER: Duration = Duration::from_millis(20);

/// Time within which a hedged stream is answered: less than that after which any silent endpoint is given up.
const HEDGED_WITHIN: Duration = Duration::from_millis(1_500);

/// Starts two engines with their agents and an entry that hears both.
fn start_pair(test: &str) -> (Site, [FakeEndpoint; 2], [Program; 2], Entry) {
    let site = Site::start();
    let engines = [
        site.start_endpoint("i-1", "writer", Some(1)),
        site.start_endpoint("i-2", "writer", Some(1)),
    ];
    let agents = [
        site.start_agent(&format!("{test}-agent-1"), &engines[0]),
        site.start_agent(&format!("{test}-agent-2"), &engines[1]),
    ];
    let entry = site.start_entry(&format!("{test}-entry"));
    until("the entry hears both agents", || {
        let all = entry.dump()["endpoints"].as_array().cloned().unwrap_or_default();
        all.iter().filter(|endpoint| endpoint["report_age_ms"].is_u64()).count() == 2
    });
    (site, engines, agents, entry)
}

/// Highest pace of an endpoint that the entry knows of.
fn known_pace(entry: &Entry) -> f64 {
    let all = entry.dump()["endpoints"].as_array().cloned().unwrap_or_default();
    all.iter().filter_map(|endpoint| endpoint["pace"].as_f64()).fold(0.0, f64::max)
}

// An agent falls silent while its engine is slow, and the entry never hears that the period is over.
#[test]
fn pace_of_a_silent_agent_ages_out() {
    let (_site, engines, agents, entry) = start_pair("silent");
    engines[0].set_pace(Some(SLOW));
    until("the entry knows that the engine is slow", || known_pace(&entry) >= SLOW);
    let runs = engines[0].runs().len();
    for n in 0..6 {
        let response = entry.send_request("/stream/a", &format!("s{n}"), "key-1").unwrap();
        assert_eq!(response.status, 200);
    }
    assert_eq!(engines[0].runs().len(), runs, "the other engine is free");
    agents[0].signal("STOP");
    until("the pace counts as 1", || known_pace(&entry) < SLOW);
    agents[0].signal("CONT");
    until("it is reported again", || known_pace(&entry) >= SLOW);
    engines[0].set_pace(Some(1.0));
    until("it is over", || known_pace(&entry) < SLOW);
}

// An engine turns slow just after it has been sent a stream. The stream must go elsewhere while it can still be in
// time, not only once the engine counts as silent.
#[test]
fn stream_at_an_engine_that_turns_slow_is_hedged() {
    let (_site, engines, _agents, entry) = start_pair("hedged");
    engines[0].set_fault(EndpointFault::Unresponsive);
    let mut late = 0;
    for n in 0..12 {
        engines[0].set_pace(Some(1.0));
        until("the engine is not slow", || known_pace(&entry) < SLOW);
        let took = std::thread::scope(|scope| {
            let sent = scope.spawn(|| {
                let started_at = Instant::now();
                let response = entry.send_request("/stream/a", &format!("s{n}"), "key-1").unwrap();
                assert_eq!(response.status, 200);
                started_at.elapsed()
            });
            std::thread::sleep(TURNS_SLOW_AFTER);
            engines[0].set_pace(Some(VERY_SLOW));
            sent.join().unwrap()
        });
        late += usize::from(took >= HEDGED_WITHIN);
    }
    // On a busy machine the entry may be delayed past the time at which a hedge is still of use.
    let hedged = entry.program.log().matches("stream hedged").count();
    assert!(hedged > late, "{hedged} hedged, {late} late");
}

// The pace is the last attachment. Notices that fill a datagram must leave room for it, since entries act on it within
// a tenth of a second.
#[test]
fn pace_fits_into_full_datagrams() {
    let notices = vec![Notice::Suspected { traits: Vec::new() }; 2 * MAX_DATAGRAM_LEN];
    let pace = Notice::Pace { started_ms: 1_775_536_092_000, percent: 250 };
    let msg = postcard::to_stdvec(&7_u8).unwrap();
    let bytes = append_report_attachments(msg, None, &notices, Some(&pace)).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_LEN);
    let (_, Attachments { limit, notices }): (u8, Attachments) = decode(&bytes).unwrap();
    assert_eq!(limit, None);
    assert_eq!(notices.last(), Some(&pace));
    let without = append_report_attachments(vec![7], None, &[], None).unwrap();
    assert_eq!(without, [7], "as before");
}
