use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::until;

const EVENTS: &str = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n\
                      id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n";

/// Starts two endpoints of a service, the first with `fault`, and an entry that knows both.
fn start_pair(name: &str, service: &str, fault: EndpointFault) -> (Site, [FakeEndpoint; 2], Entry) {
    let site = Site::start();
    let version = (service == "writer").then_some(1);
    let endpoints = [
        site.start_endpoint("i-1", service, version),
        site.start_endpoint("i-2", service, version),
    ];
    let entry = site.start_entry(name);
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    endpoints[0].set_fault(fault);
    (site, endpoints, entry)
}

fn count_runs(endpoints: &[FakeEndpoint], id: &str) -> usize {
    let runs = endpoints.iter().flat_map(FakeEndpoint::runs);
    runs.filter(|run| run.id == id).count()
}

// An endpoint runs a booking and its response is lost. A retry by the entry would run the booking
// twice, and so would a status that promises that it has not run, as the caller would then retry.
#[test]
fn at_most_once_request_runs_once_after_lost_response() {
    let (_site, endpoints, entry) = start_pair("lost", "desk", EndpointFault::LostAnswer);
    for n in 0..12 {
        let id = format!("b{n}");
        let response = entry.send_request("/booking/a", &id, "key-1").unwrap();
        assert!(matches!(response.status, 200 | 502 | 504), "{response:?}");
        assert_eq!(count_runs(&endpoints, &id), 1);
    }
    assert!(endpoints[0].runs().len() >= 2);
}

// A full endpoint refuses a booking. It has not run, so it may be sent to another endpoint.
#[test]
fn refused_request_runs_at_another_endpoint() {
    let (_site, endpoints, entry) = start_pair("full", "desk", EndpointFault::Full);
    for n in 0..8 {
        let id = format!("b{n}");
        assert_eq!(entry.send_request("/booking/a", &id, "key-1").unwrap().status, 200);
        assert_eq!(count_runs(&endpoints, &id), 1);
    }
    assert!(endpoints[0].runs().is_empty());
}

#[test]
fn request_refused_by_all_endpoints_has_not_run() {
    let (_site, endpoints, entry) = start_pair("all-full", "desk", EndpointFault::Full);
    endpoints[1].set_fault(EndpointFault::Full);
    let response = entry.send_request("/booking/a", "b", "key-1").unwrap();
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert_eq!(count_runs(&endpoints, "b"), 0);
}

// A lookup may run twice, so the entry hides the failure of one endpoint from the caller.
#[test]
fn idempotent_request_is_retried_after_failure() {
    for fault in [EndpointFault::LostAnswer, EndpointFault::Failing, EndpointFault::WrongId] {
        let (_site, _endpoints, entry) = start_pair(&format!("repeat-{fault:?}"), "desk", fault);
        for n in 0..6 {
            let response = entry.send_request("/lookup/a", &format!("l{n}"), "key-1").unwrap();
            assert_eq!(response.body, format!("answer to l{n} by i-2"));
        }
    }
}

// A response that echoes the id of another request must not reach the caller, and does not prove
// whether the caller's own request has run.
#[test]
fn response_with_foreign_id_is_not_relayed() {
    let (_site, endpoints, entry) = start_pair("wrong", "desk", EndpointFault::WrongId);
    for n in 0..8 {
        let id = format!("b{n}");
        let response = entry.send_request("/booking/a", &id, "key-1").unwrap();
        let is_own_response = response.body == format!("answer to {id} by i-2");
        assert!(is_own_response || response.status == 502, "{response:?}");
        assert_eq!(count_runs(&endpoints, &id), 1);
    }
}

// The address was reassigned to another endpoint, which refuses requests for the previous one. The
// entry has to retry at the right endpoint.
#[test]
fn misdirected_request_is_retried_elsewhere() {
    let (_site, endpoints, entry) = start_pair("misdirected", "desk", EndpointFault::Misdirected);
    for n in 0..6 {
        assert_eq!(
            entry.send_request("/booking/a", &format!("b{n}"), "key-1").unwrap().status,
            200
        );
    }
    assert!(endpoints[0].runs().is_empty());
}

// An endpoint crashes during a stream, even in the middle of an event. The caller must receive each
// event once, the remaining ones from another endpoint.
#[test]
fn interrupted_stream_resumes_at_another_endpoint() {
    let (_site, endpoints, entry) = start_pair("resumed", "writer", EndpointFault::CutAfter(3));
    for n in 0..4 {
        let response = entry.send_request("/stream/a", &format!("s{n}"), "key-1").unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, EVENTS));
    }
    let resumed = endpoints[1].runs().into_iter().filter(|run| run.resumed_after == Some(2));
    assert!(resumed.count() >= 1);
}

// An endpoint crashes during a stream that cannot be resumed. The response must not look complete.
#[test]
fn interrupted_stream_without_resumption_is_truncated() {
    let site = Site::start();
    site.configure(2, &["key-1"], false);
    let writer = site.start_endpoint("i-1", "writer", Some(1));
    let entry = site.start_entry("cut");
    until("served", || {
        entry.send_request("/stream/a", "a", "key-1").is_ok_and(|a| a.status == 200)
    });
    writer.set_fault(EndpointFault::CutAfter(3));
    assert!(entry.send_request("/stream/a", "b", "key-1").is_err());
}

// An endpoint stops responding without closing its connections. The entry has to retry the stream
// at another endpoint before the caller gives up.
#[test]
fn stream_without_first_event_is_retried_elsewhere() {
    let (_site, _endpoints, entry) = start_pair("dark", "writer", EndpointFault::Unresponsive);
    for n in 0..3 {
        let response = entry.send_request("/stream/a", &format!("s{n}"), "key-1").unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, EVENTS));
    }
}
