use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Run;
use mastichaven_standins::direct::site;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::is_within;
use super::fixture::until;

/// Time within which an endpoint must be free of a request after its caller has disconnected.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Callers that leave while an entry is frozen, on connections opened before and during that.
const FROZEN_CALLERS: usize = 8;

/// Requests until one of them takes the intended way through the endpoints.
const MAX_TRIES: usize = 30;

/// Sends a request as a caller that is still connected.
fn send(entry: &Entry, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry.callers).unwrap();
    let head = site::caller_head(path, id, "key-1", 0);
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

fn run_of(endpoint: &FakeEndpoint, id: &str) -> Option<Run> {
    endpoint.runs().into_iter().find(|run| run.id == id)
}

// A stream breaks off and is resumed at an endpoint that does not answer. Its caller disconnects meanwhile, which
// must cancel the resumption.
#[test]
fn disconnect_during_resumption_cancels_request() {
    let site = Site::start();
    let first = site.start_endpoint("i-1", "writer", Some(1));
    let second = site.start_endpoint("i-2", "writer", Some(1));
    let entry = site.start_entry("left-resuming");
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    first.set_fault(EndpointFault::CutAfter(3));
    second.set_fault(EndpointFault::Unresponsive);
    let resumed = (0..MAX_TRIES).find_map(|n| {
        let id = format!("s{n}");
        let stream = send(&entry, "/stream/a", &id);
        until("it runs at the second", || run_of(&second, &id).is_some());
        let is_resumed = run_of(&second, &id)?.resumed_after.is_some();
        is_resumed.then_some((id, stream))
    });
    let (id, stream) = resumed.expect("a stream is resumed");
    let left_at = Instant::now();
    drop(stream);
    assert!(
        is_within(CANCEL_TIMEOUT, || run_of(&second, &id).is_some_and(|run| run.is_abandoned)),
        "still running {:?} after the caller left",
        left_at.elapsed()
    );
}

// Guards against a caller of a stream that waits in vain until it gives up without an answer, after which its request
// runs at endpoints that only then notice.
#[test]
fn stream_without_first_event_is_answered_before_its_caller_gives_up() {
    let site = Site::start();
    let endpoints = ["i-1", "i-2"].map(|id| site.start_endpoint(id, "writer", Some(1)));
    let entry = site.start_entry("no-event");
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Unresponsive));
    let sent_at = Instant::now();
    let response = entry.send_request("/stream/a", "a", "key-1").unwrap();
    assert!(sent_at.elapsed() < site::STREAM_PATIENCE, "{:?}", sent_at.elapsed());
    assert_eq!(response.status, 504, "{response:?}");
    let is_cancelled =
        |endpoint: &FakeEndpoint| run_of(endpoint, "a").is_some_and(|run| run.is_abandoned);
    assert!(is_within(CANCEL_TIMEOUT, || endpoints.iter().all(is_cancelled)));
}

// Guards against requests that an entry which was frozen takes up after their callers have left.
#[test]
fn frozen_entry_drops_requests_of_callers_that_left() {
    let site = Site::start();
    let desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("frozen");
    until("served", || entry.send_request("/lookup/a", "a", "key-1").unwrap().status == 200);
    let connected: Vec<TcpStream> =
        (0..FROZEN_CALLERS).map(|_| TcpStream::connect(entry.callers).unwrap()).collect();
    // Lets the entry accept them.
    thread::sleep(CANCEL_TIMEOUT);
    entry.program.signal("STOP");
    for (n, mut stream) in connected.into_iter().enumerate() {
        let head = site::caller_head("/booking/a", &format!("left-{n}"), "key-1", 0);
        stream.write_all(head.as_bytes()).unwrap();
    }
    for n in 0..FROZEN_CALLERS {
        drop(send(&entry, "/booking/a", &format!("new-{n}")));
    }
    let waiting = send(&entry, "/booking/a", "waiting");
    entry.program.signal("CONT");
    until("who waits is served", || run_of(&desk, "waiting").is_some());
    thread::sleep(CANCEL_TIMEOUT);
    drop(waiting);
    let run_in_vain = desk.runs().into_iter().filter(|run| run.path == "/booking/a").count() - 1;
    assert_eq!(run_in_vain, 0, "requests of callers that have left");
}
