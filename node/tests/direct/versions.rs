use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Queue;
use mastichaven_standins::direct::store::StoreFault;
use serde_json::json;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::until;
use super::version_history::VersionHistory;

/// Time after the announcement of a version within which requests may begin on an older one.
const WEIGHTS_BOUND: Duration = Duration::from_secs(3);

/// A bound that is longer than the longest watch of the store.
const LONG_WEIGHTS_BOUND: Duration = Duration::from_secs(8);

/// Time after the announcement at which entries still send requests to the older version.
const SEND_DELAY: Duration = Duration::from_millis(1_600);

// Guards against a request that waits at an endpoint with an older version of the weights until the version's bound
// has passed, and then begins. It must be cancelled in time and answered from the newer version.
#[test]
fn request_that_has_not_begun_leaves_older_version_at_its_bound() {
    let site = Site::start();
    let older = site.start_endpoint("i-1", "writer", Some(1));
    let entry = site.start_entry("version-bound");
    until("served", || {
        entry.send_request("/stream/a", "a", "key-1").is_ok_and(|a| a.status == 200)
    });
    older.set_fault(EndpointFault::Unresponsive);
    site.store.put("versions", "m", json!({"model": "m", "version": 2}));
    let announced_at = Instant::now();
    thread::sleep(SEND_DELAY);
    let (response, _newer) = thread::scope(|scope| {
        let response = scope.spawn(|| entry.send_request("/stream/a", "b", "key-1"));
        until("it waits at the older version", || older.runs().iter().any(|run| run.id == "b"));
        assert!(announced_at.elapsed() < WEIGHTS_BOUND);
        let newer = site.start_endpoint("i-2", "writer", Some(2));
        until("it is cancelled", || {
            older.runs().iter().any(|run| run.id == "b" && run.is_abandoned)
        });
        let cancelled_after = announced_at.elapsed();
        assert!(cancelled_after < WEIGHTS_BOUND, "{cancelled_after:?}");
        (response.join().expect("no panic").unwrap(), newer)
    });
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.stamp.as_deref(), Some("stamp-of-i-2"));
}

/// Time before the bound in which requests are sent, and time for which they wait in the queue of an endpoint.
const LAST_REQUESTS: Duration = Duration::from_millis(1_100);
const QUEUE_WAIT: Duration = Duration::from_millis(1_300);

/// Time for which an entry is stopped now and then, as when it gets no processor time.
const ENTRY_DELAY: Duration = Duration::from_millis(500);

/// Time from the end of a limit to the bound, less the way of the request to the endpoint.
const MARGIN: Duration = Duration::from_millis(200);

/// Time after the first request at which its entry is stopped.
const STOP_DELAY: Duration = Duration::from_millis(600);

/// An entry before an endpoint with version 1, whose successor has been announced.
struct OutdatedSite {
    site: Site,
    endpoint: FakeEndpoint,
    entry: Entry,
    history: VersionHistory,
}

impl OutdatedSite {
    /// Waits until the entry serves, and announces version 2.
    fn start(name: &str, site: Site) -> OutdatedSite {
        OutdatedSite::start_with(name, site, |_| {})
    }

    /// Calls `f` between.
    fn start_with(name: &str, site: Site, f: impl FnOnce(&Site)) -> OutdatedSite {
        let endpoint = site.start_endpoint("i-1", "writer", Some(1));
        let entry = site.start_entry(name);
        until("served", || {
            entry.send_request("/stream/a", "a", "key-1").is_ok_and(|a| a.status == 200)
        });
        f(&site);
        let mut history = VersionHistory::default();
        history.announce(&site, 2);
        OutdatedSite { site, endpoint, entry, history }
    }

    /// Sends requests in the time before the bound, calls `f` meanwhile, and checks that none of them begins after it.
    /// Returns whether the endpoint received any.
    fn check_begins(&self, f: impl FnOnce()) -> bool {
        thread::sleep((WEIGHTS_BOUND - LAST_REQUESTS).saturating_sub(self.history.age()));
        thread::scope(|scope| {
            scope.spawn(|| {
                for m in 0.. {
                    if self.history.age() >= WEIGHTS_BOUND {
                        break;
                    }
                    // Some are refused, as no endpoint may serve them any more.
                    let id = format!("b{m}");
                    scope.spawn(move || self.entry.send_request("/stream/a", &id, "key-1"));
                    thread::sleep(Duration::from_millis(50));
                }
            });
            f();
        });
        // An endpoint may begin what its callers have given up.
        thread::sleep(QUEUE_WAIT);
        let late = self.history.late_begins(WEIGHTS_BOUND, [&self.endpoint]);
        assert!(late.is_empty(), "{late:?}");
        self.endpoint.runs().iter().any(|run| run.id.starts_with('b'))
    }
}

// Guards against requests that begin on an older version after its bound at an endpoint that runs what it has in its
// queue also when the caller has disconnected.
#[test]
fn request_does_not_begin_after_version_bound_at_endpoint_that_ignores_disconnects() {
    let site = OutdatedSite::start("kept", Site::start());
    site.endpoint.set_queue(Queue { wait: QUEUE_WAIT, keeps_abandoned: true, ..Queue::default() });
    assert!(site.check_begins(|| {}));
}

// Guards against requests that begin on an older version after its bound because their entry gets no processor time
// when it should cancel them.
#[test]
fn request_does_not_begin_after_version_bound_while_entry_is_stopped() {
    let site = OutdatedSite::start("stopped", Site::start());
    site.endpoint.set_queue(Queue { wait: QUEUE_WAIT, ..Queue::default() });
    let was_received = site.check_begins(|| {
        thread::sleep(STOP_DELAY);
        site.entry.program.signal("STOP");
        thread::sleep(LAST_REQUESTS);
        site.entry.program.signal("CONT");
    });
    assert!(was_received);
}

// Guards against requests that begin on an older version after its bound because the entry heard of the newer one
// long after the store had acknowledged it.
#[test]
fn request_does_not_begin_after_version_bound_when_store_tells_it_late() {
    let site = Site::start();
    site.store.set_latency(Duration::from_millis(600));
    let site = OutdatedSite::start("late", site);
    site.endpoint.set_queue(Queue { wait: QUEUE_WAIT, ..Queue::default() });
    // All of them may be refused.
    site.check_begins(|| {});
}

// Guards against a limit that ends at the endpoint after the bound, as its entry had no processor time between the
// decision and the sending.
#[test]
fn limit_at_older_version_covers_delays_of_entry() {
    let site = OutdatedSite::start("delayed", Site::start());
    site.entry.program.signal("STOP");
    thread::sleep(ENTRY_DELAY);
    site.entry.program.signal("CONT");
    let response = site.entry.send_request("/stream/a", "b", "key-1").expect("a response");
    assert_eq!(response.status, 200, "{response:?}");
    let (margin_ms, request) =
        site.history.least_margin(WEIGHTS_BOUND, [&site.endpoint]).expect("a margin");
    assert!(margin_ms >= (ENTRY_DELAY + MARGIN).as_millis() as i64, "{margin_ms} ms: {request}");
}

// Guards against half an answer that looks whole: the endpoint stops at the version's bound, and nothing but the end of
// its connection marks the end of the answer.
#[test]
fn close_delimited_stream_that_stops_at_version_bound_is_resumed() {
    let site = OutdatedSite::start("unframed", Site::start());
    site.endpoint.set_close_delimited(true);
    site.endpoint.set_queue(Queue { slowdown: 20, ..Queue::default() });
    thread::sleep((WEIGHTS_BOUND - LAST_REQUESTS).saturating_sub(site.history.age()));
    let response = thread::scope(|scope| {
        let response = scope.spawn(|| site.entry.send_request("/stream/a", "b", "key-1"));
        until("it begins", || site.endpoint.runs().iter().any(|run| run.id == "b"));
        let _newer = site.site.start_endpoint("i-2", "writer", Some(2));
        response.join().expect("no panic").expect("a whole answer")
    });
    assert_eq!(response.body.matches("data: ").count(), 6, "{response:?}");
}

// Guards against requests without a limit in time at an endpoint that holds an older version than it reports.
#[test]
fn request_expects_newest_version_at_endpoint_that_reports_it() {
    let site = OutdatedSite::start("unreported", Site::start());
    let newer = site.site.start_endpoint("i-2", "writer", Some(2));
    let _agent = site.site.start_agent("unreported-agent", &newer);
    let is_answered_by_newer = |id: &str| {
        let response = site.entry.send_request("/stream/a", id, "key-1");
        response.is_ok_and(|response| response.stamp.as_deref() == Some("stamp-of-i-2"))
    };
    until("the newer version serves", || is_answered_by_newer("c"));
    site.endpoint.set_fault(EndpointFault::Full);
    newer.load_unreported(1);
    for m in 0..20 {
        let _ = site.entry.send_request("/stream/a", &format!("d{m}"), "key-1");
    }
    let began_on_older =
        newer.runs().iter().any(|run| run.begun.is_some_and(|begin| begin.version == Some(1)));
    assert!(!began_on_older);
}

// Guards against an entry that dates a version by its own start and sends requests to older ones, though the version was
// announced long ago and no other entry can tell.
#[test]
fn entry_that_starts_alone_does_not_use_older_version() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-1", "writer", Some(1));
    let mut history = VersionHistory::default();
    history.announce(&site, 2);
    thread::sleep(WEIGHTS_BOUND);
    let entry = site.start_entry("alone");
    let _ = entry.send_request("/stream/a", "a", "key-1");
    let late = history.late_begins(WEIGHTS_BOUND, [&endpoint]);
    assert!(late.is_empty(), "{late:?}");
}

// Guards against a version that is dated by the end of a watch that was lost, though other reads of the store show that
// it was announced long before.
#[test]
fn lost_watch_does_not_make_version_look_younger() {
    let mut site = Site::start();
    site.weights_bound = LONG_WEIGHTS_BOUND;
    let site = OutdatedSite::start_with("lost-watch", site, |site| {
        site.store.set_fault(StoreFault::SilentOnVersions);
    });
    until("the watch is given up", || site.entry.program.log().contains("store lost"));
    site.site.store.set_fault(StoreFault::None);
    until("it is known", || site.entry.dump()["weights"]["m"] == 2);
    let left = LONG_WEIGHTS_BOUND.saturating_sub(site.history.age());
    assert!(left > QUEUE_WAIT, "known after {:?}", site.history.age());
    thread::sleep(left - LAST_REQUESTS);
    site.endpoint.set_queue(Queue { wait: QUEUE_WAIT, keeps_abandoned: true, ..Queue::default() });
    let _ = site.entry.send_request("/stream/a", "b", "key-1");
    thread::sleep(QUEUE_WAIT);
    let late = site.history.late_begins(LONG_WEIGHTS_BOUND, [&site.endpoint]);
    assert!(late.is_empty(), "{late:?}");
}
