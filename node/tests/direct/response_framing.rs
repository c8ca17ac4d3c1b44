use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::babbler::Babble;
use mastichaven_standins::direct::babbler::Babbler;
use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::site;

use super::fixture::Entry;
use super::fixture::Response;
use super::fixture::Site;
use super::fixture::allocate_ip;
use super::fixture::send_with_parts;
use super::fixture::until;

const EVENTS: &str = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n\
                      id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n";

/// Part of a prompt that crashes an endpoint after the first event of its answer.
const CRASH_PART: &str = "d00d";

/// Requests until one of them begins at the intended endpoint.
const MAX_TRIES: usize = 30;

/// Callers that send requests at the same time, so that all endpoints get some, and requests of each.
const CALLERS: usize = 4;
const REQUESTS: usize = 3;

/// Deadline of the callers, by which each of them must have been answered.
const DEADLINE: Duration = Duration::from_secs(3);

/// Bytes that an entry may take of an answer without end: its limit, and what waits in the sockets of both hosts.
const MAX_BABBLE_LEN: u64 = 24 << 20;

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

// An endpoint sends bytes that are no answer, without end. Callers are answered by another endpoint, and the entry
// neither keeps the bytes nor the connection.
fn assert_babble_is_cut_off(babble: Babble, path: &str) {
    let site = Site::start();
    let service = if path == "/stream/a" { "writer" } else { "desk" };
    let version = (service == "writer").then_some(1);
    let sound = site.start_endpoint("i-1", service, version);
    let address = format!("{}:0", allocate_ip());
    let babbler = Babbler::start(&address, babble).expect("it starts");
    let mut record = sound.record(service, "zone-a", "ready");
    record["address"] = babbler.address().to_string().into();
    site.store.put(site::ENDPOINTS, "i-2", record);
    let entry = site.start_entry("babble");
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    // Few requests fit onto two endpoints without agents; the others are refused and come again.
    let send = |id: String| {
        let is_answered = (0..MAX_TRIES).any(|attempt| {
            let sent_at = Instant::now();
            let id = format!("{id}-{attempt}");
            let response = entry.send_request(path, &id, "key-1").expect("a response");
            assert!(sent_at.elapsed() < DEADLINE, "{:?}", sent_at.elapsed());
            assert!([200, 503].contains(&response.status), "{response:?}");
            response.status == 200
        });
        assert!(is_answered);
    };
    thread::scope(|scope| {
        for n in 0..CALLERS {
            let send = &send;
            scope.spawn(move || (0..REQUESTS).for_each(|m| send(format!("r{n}-{m}"))));
        }
    });
    assert!(babbler.requests() > 0);
    until("the connections are closed", || babbler.open_connections() == 0);
    let received = babbler.bytes() / babbler.requests();
    assert!(received < MAX_BABBLE_LEN, "{received} bytes a request");
}

#[test]
fn endless_bytes_are_cut_off_noise() {
    assert_babble_is_cut_off(Babble::Noise, "/lookup/a");
    assert_babble_is_cut_off(Babble::Noise, "/stream/a");
}

#[test]
fn endless_bytes_are_cut_off_head() {
    assert_babble_is_cut_off(Babble::Head, "/lookup/a");
    assert_babble_is_cut_off(Babble::Head, "/stream/a");
}

#[test]
fn endless_bytes_are_cut_off_interim() {
    assert_babble_is_cut_off(Babble::Interim, "/lookup/a");
    assert_babble_is_cut_off(Babble::Interim, "/stream/a");
}

#[test]
fn endless_bytes_are_cut_off_body() {
    assert_babble_is_cut_off(Babble::Body, "/lookup/a");
    assert_babble_is_cut_off(Babble::Body, "/stream/a");
}
