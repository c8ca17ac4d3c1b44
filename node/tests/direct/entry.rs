use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::site;
use mastichaven_standins::direct::store::StoreFault;
use serde_json::json;

use super::fixture::Site;
use super::fixture::WAIT_TIMEOUT;
use super::fixture::is_within;
use super::fixture::until;

const EVENTS: &str = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n\
                      id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n";

/// Time within which a configuration must be in force on all entries.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of a padded configuration and rate of a link that carries ten of them per second.
const CONFIG_PADDING: usize = 200_000;
const LINK_BYTES_PER_S: f64 = 2_000_000.0;

/// Time after which a draining endpoint must get no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of a padded endpoint record and rate of a link on which its transfer takes 3 s.
const RECORD_PADDING: usize = 300_000;
const SLOW_LINK_BYTES_PER_S: f64 = 100_000.0;

#[test]
fn request_returns_complete_response() {
    let site = Site::start();
    let writer = site.start_endpoint("i-w", "writer", Some(1));
    let desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("whole");
    until("endpoints known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    let stream = entry.send_request("/stream/a", "s1", "key-1").unwrap();
    assert_eq!((stream.status, stream.body.as_str()), (200, EVENTS));
    let booking = entry.send_request("/booking/a?x=1", "b1", "key-2").unwrap();
    assert_eq!((booking.status, booking.body.as_str()), (200, "answer to b1 by i-d"));
    assert_eq!(booking.stamp.as_deref(), Some("stamp-of-i-d"));
    let run = &desk.runs()[0];
    assert_eq!((run.id.as_str(), run.body.as_slice()), ("b1", &b"the body"[..]));
    assert_eq!(run.customer.as_deref(), Some("crews"));
    assert!(run.deadline_ms.is_some_and(|ms| ms <= 3_000));
    assert_eq!(writer.runs().len(), 1);
}

#[test]
fn request_with_unknown_route_or_key_is_rejected() {
    let site = Site::start();
    let desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("unknown");
    assert_eq!(entry.send_request("/nowhere/", "a", "key-1").unwrap().status, 404);
    assert_eq!(entry.send_request("/lookup/a", "b", "no-key").unwrap().status, 401);
    assert!(desk.runs().is_empty());
}

// The operator revokes a key. Every entry must soon refuse callers with that key, and an older
// configuration must never replace a newer one.
#[test]
fn config_update_revokes_key() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("revoked");
    until("served", || entry.send_request("/lookup/a", "a", "key-2").unwrap().status == 200);
    site.configure(5, &["key-1"], true);
    let is_refused = || entry.send_request("/lookup/a", "b", "key-2").unwrap().status == 401;
    assert!(is_within(Duration::from_secs(2), is_refused));
    site.configure(3, &["key-1", "key-2"], true);
    thread::sleep(Duration::from_millis(300));
    assert!(is_refused());
    assert_eq!(entry.send_request("/lookup/a", "c", "key-1").unwrap().status, 200);
}

// An entry is cut off from the store and cannot know whether a key was revoked. After the
// revocation limit it must refuse requests with a status that promises that they have not run, and
// fail its readiness check.
#[test]
fn request_without_config_lease_is_refused() {
    let site = Site::start();
    let desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("stale");
    until("served", || entry.send_request("/lookup/a", "a", "key-1").unwrap().status == 200);
    site.store.set_fault(StoreFault::Silent);
    thread::sleep(Duration::from_secs(5));
    assert!(!entry.is_ready());
    let before = desk.runs().len();
    let refused = entry.send_request("/lookup/a", "b", "key-1").unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some_and(|seconds| seconds > 0.0));
    assert_eq!(desk.runs().len(), before);
    site.store.set_fault(StoreFault::None);
    until("served again", || entry.send_request("/lookup/a", "c", "key-1").unwrap().status == 200);
    assert!(entry.is_ready());
}

// The store compacts its history while endpoints come and go. An entry that only continued its
// watch would miss these changes.
#[test]
fn watch_relists_after_compaction() {
    let site = Site::start();
    let _first = site.start_endpoint("i-1", "desk", None);
    let entry = site.start_entry("compacted");
    site.store.compact();
    site.store.delete("servers", "i-1");
    let _second = site.start_endpoint("i-2", "desk", None);
    until("the second answers", || {
        entry
            .send_request("/lookup/a", "a", "key-1")
            .is_ok_and(|answer| answer.body.ends_with("by i-2"))
    });
}

#[test]
fn list_reads_all_pages() {
    let site = Site::start();
    site.store.set_page_len(2);
    let endpoints: Vec<_> =
        (0..5).map(|n| site.start_endpoint(&format!("i-{n}"), "desk", None)).collect();
    let entry = site.start_entry("pages");
    let count = endpoints.len();
    until("all are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(count));
}

// Other programs may write endpoint records. A malformed record must not keep the others from being
// used.
#[test]
fn watch_skips_malformed_records() {
    let site = Site::start();
    site.store.put("servers", "i-0", json!({"service": 7, "address": "nowhere"}));
    site.store.put("servers", "i-1", json!("bytes"));
    let _desk = site.start_endpoint("i-2", "desk", None);
    let entry = site.start_entry("malformed");
    until("served", || entry.send_request("/lookup/a", "a", "key-1").unwrap().status == 200);
}

// An endpoint is about to stop. New requests sent to it would be cut off.
#[test]
fn draining_endpoint_gets_no_requests() {
    let site = Site::start();
    let leaving = site.start_endpoint("i-1", "desk", None);
    let _other = site.start_endpoint("i-2", "desk", None);
    let entry = site.start_entry("draining");
    until("both are known", || entry.dump()["endpoints"].as_array().map(Vec::len) == Some(2));
    site.list_endpoint("i-1", "desk", &leaving, "draining");
    thread::sleep(Duration::from_secs(2));
    let before = leaving.runs().len();
    for n in 0..20 {
        assert_eq!(entry.send_request("/lookup/a", &format!("a{n}"), "key-1").unwrap().status, 200);
    }
    assert_eq!(leaving.runs().len(), before);
}

// An availability zone is evacuated and later restored.
#[test]
fn evacuated_zone_gets_no_requests_until_restored() {
    let site = Site::start();
    let desk = site.start_endpoint("i-1", "desk", None);
    let entry = site.start_entry("evacuated");
    until("served", || entry.send_request("/lookup/a", "a", "key-1").unwrap().status == 200);
    site.store.put("evacuations", "zone-a", json!({}));
    until("refused", || entry.send_request("/lookup/a", "b", "key-1").unwrap().status == 503);
    let before = desk.runs().len();
    assert_eq!(entry.send_request("/booking/a", "c", "key-1").unwrap().status, 503);
    assert_eq!(desk.runs().len(), before);
    site.store.delete("evacuations", "zone-a");
    until("served again", || entry.send_request("/lookup/a", "d", "key-1").unwrap().status == 200);
}

// A caller disconnects while its request runs. Unless the entry cancels the request, it occupies a
// slot of the endpoint to no use.
#[test]
fn caller_disconnect_cancels_request() {
    let site = Site::start();
    let writer = site.start_endpoint("i-w", "writer", Some(1));
    let entry = site.start_entry("left");
    until("served", || entry.send_request("/stream/a", "a", "key-1").unwrap().status == 200);
    writer.set_fault(EndpointFault::Unresponsive);
    let mut stream = TcpStream::connect(entry.callers).unwrap();
    let head = site::caller_head("/stream/a", "gone", "key-1", 0);
    stream.write_all(head.as_bytes()).unwrap();
    until("it runs", || writer.runs().iter().any(|run| run.id == "gone"));
    let left = Instant::now();
    drop(stream);
    let is_ended = || writer.runs().iter().any(|run| run.id == "gone" && run.is_abandoned);
    assert!(is_within(WAIT_TIMEOUT, is_ended));
    assert!(left.elapsed() < Duration::from_millis(1_500), "{:?}", left.elapsed());
}

// Bodies over the limit would exhaust the entry's memory.
#[test]
fn request_with_oversized_body_is_rejected() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("long");
    let mut stream = TcpStream::connect(entry.callers).unwrap();
    let head = site::caller_head("/booking/a", "long", "key-1", 70_000);
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = [0; 64];
    let len = stream.read(&mut answer).unwrap();
    assert!(answer[..len].starts_with(b"HTTP/1.1 413"), "{:?}", String::from_utf8_lossy(&answer));
}

// After a restart an entry may read the endpoint list before the configuration, which gives the
// number of layers of a model. An endpoint with half of the layers would answer from partial
// weights, and engines would be taken for plain services, which report no load.
#[test]
fn endpoints_listed_before_config_are_checked_against_it() {
    let site = Site::start_unconfigured();
    let writer = site.start_endpoint("i-w", "writer", Some(1));
    site.store.put(site::ENDPOINTS, "i-w", writer.half_loaded_record("writer", "zone-a"));
    let entry = site.spawn_entry("early");
    thread::sleep(Duration::from_millis(600));
    site.configure(1, &["key-1"], true);
    until("the entry is ready", || entry.is_ready());
    assert_eq!(entry.send_request("/stream/a", "a", "key-1").unwrap().status, 503);
    assert!(writer.runs().is_empty());
    site.list_endpoint("i-w", "writer", &writer, "ready");
    until("served", || entry.send_request("/stream/a", "b", "key-1").unwrap().status == 200);
}

// Large configurations are published faster than the entry's link transfers them. A watch returns
// every version since the last one, so each response is larger than the one before. The lag reached
// 2 s between two responses of a watch whose store had refused the entry, and callers got 404 for
// routes that had been added seconds before.
#[test]
fn watch_catches_up_with_frequent_config_updates() {
    let site = Site::start();
    let entry = site.start_entry("storm");
    site.store.set_bandwidth(LINK_BYTES_PER_S);
    let last = 80;
    for version in 2..=last {
        site.configure_padded(version, &["key-1"], CONFIG_PADDING);
        thread::sleep(Duration::from_millis(20));
    }
    assert!(is_within(CONFIG_TIMEOUT, || entry.dump()["config"] == last));
}

// An entry starts while its link is full, as when hundreds start at once, and the transfer of its
// endpoint list takes seconds. An endpoint starts to drain meanwhile. The entry took the age of the
// list from its arrival, used it as current, and sent callers to an endpoint that was about to
// stop. That this happened among hundreds of entries is suspected, not confirmed.
#[test]
fn stale_endpoint_list_is_not_used() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-d", "desk", None);
    site.list_padded_endpoint("i-d", &endpoint, "ready", RECORD_PADDING);
    site.store.set_bandwidth(SLOW_LINK_BYTES_PER_S);
    let entry = site.spawn_entry("slow-link");
    thread::sleep(Duration::from_millis(1_500));
    site.list_padded_endpoint("i-d", &endpoint, "draining", RECORD_PADDING);
    thread::sleep(DRAIN_TIMEOUT);
    let is_sent =
        || entry.send_request("/lookup/a", "a", "key-1").is_ok_and(|answer| answer.status == 200);
    assert!(!is_within(Duration::from_secs(3), is_sent));
}
