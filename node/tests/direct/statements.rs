use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::store::StoreFault;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::until;

/// Time after an endpoint has asked for a pause within which requests may still be on their way to it, and the
/// number of later ones that may reach it.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
const ALLOWED_REQUESTS: usize = 2;

/// Starts two endpoints of the service `desk`, and an entry that knows both.
fn start_pair(name: &str) -> (Site, [FakeEndpoint; 2], Entry) {
    let site = Site::start();
    let endpoints =
        [site.start_endpoint("i-1", "desk", None), site.start_endpoint("i-2", "desk", None)];
    let entry = site.start_entry(name);
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    (site, endpoints, entry)
}

/// Sends lookups through `entry` until `endpoint` has answered one.
fn send_until_answered(entry: &Entry, endpoint: &FakeEndpoint) {
    let count = endpoint.runs().len();
    let mut sent = 0;
    until("the endpoint answers", || {
        sent += 1;
        let _ = entry.send_request("/lookup/a", &format!("first{sent}"), "key-1");
        endpoint.runs().len() > count
    });
}

/// Sends lookups through `entry`, and asserts that all are answered and none reaches `endpoint`.
fn assert_avoids(entry: &Entry, endpoint: &FakeEndpoint) {
    let count = endpoint.runs().len();
    for n in 0..20 {
        let response = entry.send_request("/lookup/a", &format!("l{n}"), "key-1").unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(endpoint.runs().len(), count, "requests reached the endpoint");
}

// The store is away while an endpoint leaves and says so in its answers, and lists it as ready afterwards.
#[test]
fn endpoint_that_says_it_leaves_gets_no_requests() {
    let (site, [leaving, _other], entry) = start_pair("leaving");
    site.store.set_fault(StoreFault::Silent);
    leaving.set_leaving(true);
    send_until_answered(&entry, &leaving);
    assert_avoids(&entry, &leaving);
    site.store.set_fault(StoreFault::None);
    site.list_endpoint("i-1", "desk", &leaving, "ready");
    until("the entry is ready", || entry.is_ready());
    thread::sleep(Duration::from_secs(1));
    assert_avoids(&entry, &leaving);
}

// The next process at the address of an endpoint that has left is another one, even under the same id.
#[test]
fn endpoint_that_starts_after_another_has_left_gets_requests() {
    let (site, [leaving, other], entry) = start_pair("left");
    leaving.set_leaving(true);
    send_until_answered(&entry, &leaving);
    let address = leaving.address().to_string();
    drop(leaving);
    let next = FakeEndpoint::start(&address, "i-1", None).expect("starts again");
    site.list_endpoint("i-1", "desk", &next, "ready");
    other.set_fault(EndpointFault::Full);
    send_until_answered(&entry, &next);
}

fn is_draining(entry: &Entry, id: &str) -> bool {
    let dump = entry.dump();
    let all = dump["endpoints"].as_array().cloned().unwrap_or_default();
    all.iter().any(|endpoint| endpoint["id"] == id && endpoint["draining"] == true)
}

// A plain service has no agent. Entries that get no answer of its endpoint must still hear that it leaves, with the
// store away.
#[test]
fn leaving_reaches_entries_without_answers() {
    let (site, [leaving, _other], entry) = start_pair("leaving-relay");
    let engine = site.start_endpoint("i-engine", "writer", Some(1));
    let _agent = site.start_agent("leaving-agent", &engine);
    let second = site.start_entry("leaving-relay-2");
    until("both entries hear the agent", || {
        [&entry, &second].iter().all(|entry| {
            let dump = entry.dump();
            let all = dump["endpoints"].as_array().cloned().unwrap_or_default();
            all.iter().any(|endpoint| endpoint["report_age_ms"].is_u64())
        })
    });
    site.store.set_fault(StoreFault::Silent);
    leaving.set_leaving(true);
    send_until_answered(&entry, &leaving);
    until("the other entry knows it", || is_draining(&second, "i-1"));
    assert_avoids(&second, &leaving);
}

// An engine that gets no requests says to its agent that it leaves.
#[test]
fn leaving_engine_is_known_from_its_agent() {
    let site = Site::start();
    let engine = site.start_endpoint("i-engine", "writer", Some(1));
    let agent = site.start_agent("leaving-engine", &engine);
    let entry = site.start_entry("leaving-engine-entry");
    until("the entry hears the agent", || entry.dump()["endpoints"][0]["report_age_ms"].is_u64());
    engine.set_leaving(true);
    until("the entry knows that it leaves", || is_draining(&entry, "i-engine"));
    let response = entry.send_request("/stream/a", "s", "key-1").unwrap();
    assert_eq!((response.status, response.body.as_str()), (503, "no endpoint"));
    until("the agent has logged it", || agent.log().contains("endpoint says that it leaves"));
    assert!(engine.runs().is_empty());
}

// A stream that has begun goes on, and no other request follows it.
#[test]
fn stream_of_leaving_endpoint_is_completed() {
    let site = Site::start();
    let engine = site.start_endpoint("i-engine", "writer", Some(1));
    let entry = site.start_entry("leaving-stream");
    until("the engine is known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(1));
    engine.set_leaving(true);
    let response = entry.send_request("/stream/a", "s1", "key-1").unwrap();
    assert_eq!(response.status, 200);
    assert!(response.body.ends_with("data: 5\n\n"), "{}", response.body);
    assert_eq!(entry.send_request("/stream/a", "s2", "key-1").unwrap().status, 503);
    assert_eq!(engine.runs().len(), 1);
}

// Refusals and errors say that an endpoint leaves as well as answers with success do.
#[test]
fn endpoint_that_fails_says_that_it_leaves() {
    for fault in [EndpointFault::Full, EndpointFault::Failing] {
        let (_site, [leaving, _other], entry) = start_pair(&format!("leaving-{fault:?}"));
        leaving.set_fault(fault);
        leaving.set_leaving(true);
        until("the entry knows that it leaves", || {
            let _ = entry.send_request("/lookup/a", "l", "key-1");
            is_draining(&entry, "i-1")
        });
        leaving.set_fault(EndpointFault::None);
        assert_avoids(&entry, &leaving);
    }
}

/// Number of requests that reached `endpoint` while it paused for `pause` after it had first turned one away.
fn requests_during_pause(endpoint: &FakeEndpoint, pause: Duration) -> usize {
    let refused_at = endpoint.refused_at();
    let first = *refused_at.first().expect("the endpoint has turned a request away");
    let counted = first + PAUSE_GRACE..first + pause;
    refused_at.iter().filter(|at| counted.contains(*at)).count()
}

// An endpoint turns requests away and wants nothing for two seconds. Callers must be answered by the other one.
#[test]
fn endpoint_that_asks_for_pause_gets_no_requests() {
    let (_site, [pausing, other], entry) = start_pair("pause");
    pausing.set_pause(Some("2"));
    let started_at = Instant::now();
    let mut refused = 0;
    while started_at.elapsed() < Duration::from_secs(3) {
        let response = entry.send_request("/lookup/a", "l", "key-1").unwrap();
        refused += usize::from(response.status != 200);
        thread::sleep(Duration::from_millis(20));
    }
    let count = requests_during_pause(&pausing, Duration::from_secs(2));
    assert!(count <= ALLOWED_REQUESTS, "{count} requests, {refused} callers refused");
    assert_eq!(refused, 0);
    pausing.set_pause(None);
    other.set_pause(Some("2"));
    send_until_answered(&entry, &pausing);
}

// The only endpoint pauses. Callers must be refused at once and told when it serves again; other entries, which it has
// not asked, send to it.
#[test]
fn callers_are_refused_while_all_endpoints_pause() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-1", "desk", None);
    let entries = ["pause-1", "pause-2"].map(|name| site.start_entry(name));
    until("both entries know it", || {
        entries.iter().all(|entry| entry.dump()["endpoints"].as_array().map(Vec::len) == Some(1))
    });
    endpoint.set_pause(Some("3.5"));
    for n in 0..10 {
        let sent_at = Instant::now();
        let response = entries[0].send_request("/lookup/a", &format!("p{n}"), "key-1").unwrap();
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.retry_after.is_some_and(|delay| delay > 2.5), "{response:?}");
        assert!(n == 0 || response.body == "all endpoints pausing", "{response:?}");
        assert!(sent_at.elapsed() < Duration::from_secs(1));
    }
    assert_eq!(endpoint.refused_at().len(), 1);
    endpoint.set_pause(None);
    assert_eq!(entries[1].send_request("/lookup/a", "other", "key-1").unwrap().status, 200);
}

// A pause that cannot be understood must not put the endpoint out of use.
#[test]
fn pause_that_cannot_be_parsed_is_ignored() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-1", "desk", None);
    let entry = site.start_entry("pause-garbage");
    until("the entry knows it", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(1));
    for pause in ["soon", "-5", "Thu, 01 Jan 2099 00:00:00 GMT GMT"] {
        endpoint.set_pause(Some(pause));
        assert_eq!(entry.send_request("/lookup/a", "l", "key-1").unwrap().status, 503);
        endpoint.set_pause(None);
        until("the endpoint answers", || {
            entry.send_request("/lookup/a", "l", "key-1").unwrap().status == 200
        });
    }
}
