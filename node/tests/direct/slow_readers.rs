use std::future::poll_fn;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use mastichaven_node::direct::metrics::Metrics;
use mastichaven_node::direct::response_body::BodySender;
use mastichaven_node::direct::response_body::ReadAhead;
use mastichaven_node::direct::response_body::ResponseAborted;
use mastichaven_node::direct::response_body::ResponseBody;
use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::site;
use tokio::time::timeout;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::WAIT_TIMEOUT;
use super::fixture::until;

const KIB: usize = 1 << 10;

/// Time in which a send that is not held back ends.
const SEND_TIME: Duration = Duration::from_millis(200);

/// Time for which a caller reads nothing, and after which an endpoint cuts off what is not read.
const UNREAD_TIME: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(1);

/// Length of an event with which a stream of six fills most of what is read ahead.
const EVENT_LEN: usize = 10 * KIB;

async fn is_sent(sender: &BodySender, len: usize) -> bool {
    timeout(SEND_TIME, sender.send(Bytes::from(vec![b'.'; len]))).await.is_ok()
}

/// Takes `len` bytes from a body, which arrive in chunks that bound what the server buffers.
async fn take(body: &mut ResponseBody, len: usize) {
    let mut taken = 0;
    while taken < len {
        let chunk = next_chunk(body).await.expect("no end").expect("not aborted");
        assert!(chunk <= 4 * KIB, "{chunk}");
        taken += chunk;
    }
    assert_eq!(taken, len);
}

async fn next_chunk(body: &mut ResponseBody) -> Option<Result<usize, ResponseAborted>> {
    let frame = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await?;
    Some(frame.map(|frame| frame.data_ref().map_or(0, Bytes::len)))
}

// Guards against endpoints that wait for a caller that reads slowly, and against callers that fill the entry's memory.
#[tokio::test]
async fn body_reads_ahead_up_to_limit_of_stream() {
    let metrics = Rc::<Metrics>::default();
    let read_ahead = ReadAhead::new(160 * KIB * KIB, metrics.clone());
    let (sender, mut body) = read_ahead.start_body();
    for _ in 0..64 {
        assert!(is_sent(&sender, KIB).await);
    }
    assert!(!is_sent(&sender, 1).await);
    assert_eq!(read_ahead.buffered(), 64 * KIB);
    take(&mut body, 64 * KIB).await;
    assert!(is_sent(&sender, KIB).await);
    sender.abort();
    assert_eq!(next_chunk(&mut body).await, Some(Ok(KIB)));
    assert_eq!(next_chunk(&mut body).await, Some(Err(ResponseAborted)));
    let text = metrics.to_text();
    assert!(text.contains("mastichaven_slow_readers_total 1\n"), "{text}");
    assert!(text.contains("mastichaven_read_ahead_bytes_total 61440\n"), "{text}");
}

// Guards against streams that stand still because slow callers of others have used up the budget, and against a budget
// that is not returned by callers that leave.
#[tokio::test]
async fn body_goes_on_when_budget_is_used_up() {
    let read_ahead = ReadAhead::new(1_000 * KIB, Rc::default());
    let (slow, body) = read_ahead.start_body();
    let (other, _body) = read_ahead.start_body();
    assert!(is_sent(&slow, 64 * KIB).await);
    assert!(is_sent(&other, 36 * KIB).await);
    let (last, mut last_body) = read_ahead.start_body();
    for _ in 0..3 {
        assert!(is_sent(&last, 4 * KIB).await);
        assert!(!is_sent(&last, KIB).await);
        assert_eq!(next_chunk(&mut last_body).await, Some(Ok(4 * KIB)));
    }
    drop(body);
    timeout(SEND_TIME, slow.closed()).await.expect("its caller has left");
    assert!(is_sent(&last, 8 * KIB).await);
    assert!(is_sent(&last, 8 * KIB).await);
    drop(last);
    take(&mut last_body, 16 * KIB).await;
    assert_eq!(next_chunk(&mut last_body).await, None);
}

// Guards against answers that are cut off, or lose events, because their caller does not read for a while.
#[test]
fn stream_is_whole_for_caller_that_reads_late() {
    let site = Site::start();
    let writer = site.start_endpoint("i-1", "writer", Some(1));
    writer.set_fault(EndpointFault::CutUnread { len: EVENT_LEN, patience: PATIENCE });
    let entry = site.start_entry("reads-late");
    until("the endpoint is known", || {
        entry.dump()["endpoints"].as_array().is_some_and(|endpoints| !endpoints.is_empty())
    });
    let mut caller = TcpStream::connect(entry.callers).expect("connected");
    let head = site::caller_head("/stream/a", "a", "key-1", 0);
    let head = head.replacen("\r\n", "\r\nconnection: close\r\n", 1);
    caller.write_all(head.as_bytes()).expect("sent");
    thread::sleep(UNREAD_TIME);
    let runs = writer.runs();
    assert!(runs.len() == 1 && !runs[0].is_abandoned, "{runs:?}");
    caller.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let mut response = String::new();
    caller.read_to_string(&mut response).expect("read");
    for event in 0..6 {
        let events = response.matches(&format!("\ndata: {event}\n\n")).count();
        assert_eq!(events, 1, "event {event}");
    }
    assert!(response.ends_with("0\r\n\r\n"));
    assert_eq!(entry.dump()["read_ahead_bytes"], 0);
}

/// Part of a body that crashes the endpoint that runs it.
const CRASH_MARKER: &str = "crash";

/// Sends a request at which the endpoint `id` ends while it uses `memory` of 1,000 units, and returns the new lines of
/// the entry's log.
fn log_of_end(site: &Site, entry: &Entry, id: &str, memory: u64) -> String {
    let endpoint = site.start_endpoint(id, "writer", Some(1));
    endpoint.crash_on(CRASH_MARKER);
    endpoint.set_memory_used(memory);
    let _agent = site.start_agent(id, &endpoint);
    let hears_agent = || {
        let endpoints = entry.dump()["endpoints"].as_array().cloned().unwrap_or_default();
        endpoints.iter().any(|one| one["id"] == id && one["report_age_ms"].is_u64())
    };
    until("the agent reports", hears_agent);
    // The report after the first one tells what the endpoint uses, too.
    thread::sleep(SEND_TIME);
    let before = entry.program.log().len();
    let response = entry.send_body("/stream/a", id, "key-1", CRASH_MARKER).expect("a response");
    assert_eq!(response.status, 502);
    assert!(endpoint.crashed_at().is_some());
    let new_lines = || entry.program.log()[before..].to_owned();
    until("it is logged", || new_lines().contains("request ended"));
    site.store.delete(site::ENDPOINTS, id);
    new_lines()
}

// Guards against requests that are suspected as their endpoint has ended, though all its requests had filled its memory.
#[test]
fn end_of_endpoint_with_full_memory_is_no_crash() {
    let site = Site::start();
    let entry = site.start_entry("memory");
    let crashed = "endpoint crashed while running a request";
    assert!(!log_of_end(&site, &entry, "i-full", 980).contains(crashed));
    assert!(log_of_end(&site, &entry, "i-half", 500).contains(crashed));
}
