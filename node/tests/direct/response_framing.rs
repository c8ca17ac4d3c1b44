use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;

use super::fixture::Entry;
use super::fixture::Response;
use super::fixture::Site;
use super::fixture::send_with_parts;
use super::fixture::until;

const EVENTS: &str = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n\
                      id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n";

/// Part of a prompt that crashes an endpoint after the first event of its answer.
const CRASH_PART: &str = "d00d";

/// Requests until one of them begins at the intended endpoint.
const MAX_TRIES: usize = 30;

/// Two endpoints of `service` whose answers end with their connections, and an entry that knows them.
fn start_close_delimited(name: &str, service: &str) -> (Site, [FakeEndpoint; 2], Entry) {
    let site = Site::start();
    let version = (service == "writer").then_some(1);
    let endpoints = ["i-1", "i-2"].map(|id| site.start_endpoint(id, service, version));
    endpoints.iter().for_each(|endpoint| endpoint.set_close_delimited(true));
    let entry = site.start_entry(name);
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    (site, endpoints, entry)
}

fn assert_events(response: Response) {
    assert_eq!((response.status, response.body.as_str()), (200, EVENTS));
}

#[test]
fn close_delimited_answers_are_whole() {
    let (_site, _endpoints, entry) = start_close_delimited("whole", "writer");
    for n in 0..5 {
        assert_events(entry.send_request("/stream/a", &format!("s{n}"), "key-1").expect("whole"));
    }
    let (_site, _endpoints, entry) = start_close_delimited("whole-desk", "desk");
    for n in 0..5 {
        let id = format!("l{n}");
        let response = entry.send_request("/lookup/a", &id, "key-1").expect("whole");
        assert!(response.body.starts_with(&format!("answer to {id} by")), "{response:?}");
    }
}

/// Sends streams until one of them begins at the first endpoint, which breaks it off, and asserts that each is whole.
fn assert_resumed(name: &str, fault: EndpointFault) {
    let (_site, [first, other], entry) = start_close_delimited(name, "writer");
    first.set_fault(fault);
    let is_begun = (0..MAX_TRIES).any(|n| {
        let id = format!("s{n}");
        assert_events(entry.send_request("/stream/a", &id, "key-1").expect("whole"));
        first.runs().iter().any(|run| run.id == id)
    });
    assert!(is_begun);
    assert!(other.runs().iter().any(|run| run.resumed_after.is_some()));
}

// The connection ends in order inside an event, and nothing else marks the end of the stream.
#[test]
fn close_delimited_stream_that_ends_inside_event_is_resumed() {
    assert_resumed("inside", EndpointFault::CutAfter(3));
}

// The endpoint crashes after a whole event, which looks like the end of a stream that ends with its connection.
#[test]
fn close_delimited_stream_cut_by_crash_is_resumed() {
    let (_site, [first, other], entry) = start_close_delimited("crash", "writer");
    first.crash_on_part(CRASH_PART);
    for n in 0..MAX_TRIES {
        let parts = format!("{CRASH_PART}:40,{n:x}:9");
        let id = format!("s{n}");
        let response = send_with_parts(entry.callers, "/stream/a", &id, "key-1", &parts, "");
        assert_events(response.expect("whole"));
        if first.crashed_at().is_some() {
            break;
        }
    }
    assert!(first.crashed_at().is_some());
    assert!(other.runs().iter().any(|run| run.resumed_after == Some(0)));
}
