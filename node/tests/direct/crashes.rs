use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_node::direct::connection::ConnectionError;
use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Run;
use mastichaven_standins::direct::site::ENDPOINTS;
use mastichaven_standins::direct::store::StoreFault;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Response;
use super::fixture::Site;
use super::fixture::send_to;
use super::fixture::send_with_parts;
use super::fixture::until;

/// Part of a body that crashes the endpoint that runs it.
const CRASH_MARKER: &str = "crash";

/// Body of the response to a request that is refused as it crashes endpoints.
const REFUSAL: &str = "request crashes endpoints";

/// Part of a prompt that crashes each endpoint that begins to write an answer on it.
const CRASH_PART: &str = "d00d";

/// Part that most prompts begin with.
const FIRST_PART: &str = "f1";

/// Number of crashes after which a part is known to be their cause.
const KNOWN_PART_CRASHES: usize = 5;

/// Number of crashes after which a request is known to be their cause.
const KNOWN_CRASHES: usize = 3;

/// Time after that crash within which all entries must know.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of attempts that may still reach endpoints later.
const ALLOWED_ATTEMPTS: usize = 3;

/// Time that a crashed endpoint takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(200);

/// An endpoint that starts again on its address after each crash.
struct Restarting {
    endpoint: FakeEndpoint,
    id: String,
    past_runs: Vec<Run>,
    crashes: Vec<Instant>,
    is_close_delimited: bool,
}

impl Restarting {
    fn start(site: &Site, n: usize, service: &str, version: Option<u64>) -> Restarting {
        let id = format!("i-{n}");
        let endpoint = site.start_endpoint(&id, service, version);
        endpoint.crash_on(CRASH_MARKER);
        endpoint.crash_on_part(CRASH_PART);
        Restarting {
            endpoint,
            id,
            past_runs: Vec::new(),
            crashes: Vec::new(),
            is_close_delimited: false,
        }
    }

    fn restart_if_crashed(&mut self, site: &Site, service: &str, version: Option<u64>) {
        let Some(crashed_at) = self.endpoint.crashed_at() else {
            return;
        };
        if crashed_at.elapsed() < RESTART_TIME {
            return;
        }
        self.crashes.push(crashed_at);
        self.past_runs.extend(self.endpoint.runs());
        site.store.delete(ENDPOINTS, &self.id);
        let address = self.endpoint.address().to_string();
        self.id = format!("{}+", self.id);
        self.endpoint = FakeEndpoint::start(&address, &self.id, version).expect("starts again");
        self.endpoint.crash_on(CRASH_MARKER);
        self.endpoint.crash_on_part(CRASH_PART);
        self.endpoint.set_close_delimited(self.is_close_delimited);
        site.list_endpoint(&self.id, service, &self.endpoint, "ready");
    }

    fn runs(&self) -> Vec<Run> {
        [self.past_runs.clone(), self.endpoint.runs()].concat()
    }

    fn crashes(&self) -> Vec<Instant> {
        self.crashes.iter().copied().chain(self.endpoint.crashed_at()).collect()
    }
}

/// When a request was sent, and its response.
type Sent = (Instant, Result<Response, ConnectionError>);

/// A site whose endpoints crash on some requests, with two entries, and agents where it runs a model.
struct CrashSite {
    site: Site,
    service: &'static str,
    version: Option<u64>,
    endpoints: Vec<Restarting>,
    entries: Vec<Entry>,
    _agents: Vec<Program>,
}

impl CrashSite {
    fn start(test: &str, service: &'static str) -> CrashSite {
        let site = Site::start();
        let version = (service == "writer").then_some(1);
        let endpoints: Vec<Restarting> =
            (0..4).map(|n| Restarting::start(&site, n, service, version)).collect();
        let agents = endpoints
            .iter()
            .filter(|_| version.is_some())
            .map(|slot| site.start_agent(&format!("{test}-agent-{}", slot.id), &slot.endpoint));
        let agents: Vec<Program> = agents.collect();
        let entries: Vec<Entry> =
            (0..2).map(|n| site.start_entry(&format!("{test}-entry-{n}"))).collect();
        let site = CrashSite { site, service, version, endpoints, entries, _agents: agents };
        until("the entries know all endpoints", || {
            site.entries.iter().all(|entry| site.knows_endpoints(entry))
        });
        site
    }

    fn knows_endpoints(&self, entry: &Entry) -> bool {
        let dump = entry.dump();
        let all = dump["endpoints"].as_array().cloned().unwrap_or_default();
        let hears_agent = |id: &str| {
            let endpoint = all.iter().find(|endpoint| endpoint["id"] == id);
            endpoint.is_some_and(|endpoint| {
                self.version.is_none() || endpoint["report_age_ms"].is_u64()
            })
        };
        self.endpoints.iter().all(|slot| hears_agent(&slot.id))
    }

    fn restart_crashed(&mut self) {
        for slot in &mut self.endpoints {
            slot.restart_if_crashed(&self.site, self.service, self.version);
        }
    }

    fn path(&self) -> &'static str {
        if self.version.is_some() { "/stream/a" } else { "/lookup/a" }
    }

    /// Sends a request through the entry `n`; fails if its stream is interrupted.
    fn try_send(&self, n: usize, id: &str, body: &str) -> Result<Response, ConnectionError> {
        let entry = &self.entries[n % self.entries.len()];
        entry.send_body(self.path(), id, "key-1", body)
    }

    fn send(&self, n: usize, id: &str, body: &str) -> Response {
        self.try_send(n, id, body).expect("a response")
    }

    /// Times of all crashes, earliest first.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<Instant> =
            self.endpoints.iter().flat_map(Restarting::crashes).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Number of attempts with `body` that reached endpoints after `from`.
    fn attempts(&self, body: &str, from: Instant) -> usize {
        let runs = self.endpoints.iter().flat_map(Restarting::runs);
        runs.filter(|run| run.body == body.as_bytes() && run.arrived_at > from).count()
    }

    /// When the crash number `count` began that a request with `body` caused.
    fn first_crash_of(&self, body: &str, count: usize) -> Instant {
        let runs = self.endpoints.iter().flat_map(Restarting::runs);
        let mut runs: Vec<Instant> =
            runs.filter(|run| run.body == body.as_bytes()).map(|run| run.arrived_at).collect();
        runs.sort_unstable();
        runs[count - 1]
    }

    /// For `duration`, sends copies of a request that crashes endpoints through all entries in turn, and another
    /// request after each of them. Returns the responses to both, with the times at which they were sent.
    fn send_copies(&mut self, duration: Duration) -> [Vec<Sent>; 2] {
        let started_at = Instant::now();
        let (mut copies, mut others) = (Vec::new(), Vec::new());
        for n in 0.. {
            if started_at.elapsed() >= duration {
                break;
            }
            self.restart_crashed();
            copies.push((Instant::now(), self.try_send(n, &format!("c{n}"), CRASH_MARKER)));
            others
                .push((Instant::now(), self.try_send(n, &format!("o{n}"), &format!("other {n}"))));
            thread::sleep(Duration::from_millis(30));
        }
        [copies, others]
    }
}

/// Responses to requests that share a part which crashes endpoints, and to others.
struct PartResponses {
    crashing: Vec<Sent>,
    others: Vec<Sent>,
}

impl CrashSite {
    fn set_close_delimited(&mut self) {
        for slot in &mut self.endpoints {
            slot.is_close_delimited = true;
            slot.endpoint.set_close_delimited(true);
        }
    }

    /// For `duration`, sends requests whose prompts share one part that crashes endpoints, no two alike, through
    /// all entries in turn. Other callers send requests with the same key and first part meanwhile.
    fn send_parts(&mut self, duration: Duration) -> PartResponses {
        let entries: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.callers).collect();
        let send = |n: usize, id: &str, parts: &str| {
            let entry = entries[n % entries.len()];
            send_with_parts(entry, "/stream/a", id, "key-1", parts, &format!("body of {id}"))
        };
        let is_over = AtomicBool::new(false);
        let call = |caller: usize| {
            let mut responses = Vec::new();
            for n in (0..).take_while(|_| !is_over.load(Ordering::Acquire)) {
                let id = format!("o{caller}-{n}");
                let parts = format!("{FIRST_PART}:800,{:x}:40,{caller}a{n:x}:9", n % 5);
                responses.push((Instant::now(), send(caller + n, &id, &parts)));
                thread::sleep(Duration::from_millis(20));
            }
            responses
        };
        let started_at = Instant::now();
        let mut crashing = Vec::new();
        thread::scope(|scope| {
            let call = &call;
            let callers: Vec<_> = (0..3).map(|caller| scope.spawn(move || call(caller))).collect();
            for n in (0..).take_while(|_| started_at.elapsed() < duration) {
                self.restart_crashed();
                let id = format!("p{n}");
                let parts = format!("{FIRST_PART}:800,{CRASH_PART}:40,b{n:x}:9");
                crashing.push((Instant::now(), send(n, &id, &parts)));
                thread::sleep(Duration::from_millis(60));
            }
            is_over.store(true, Ordering::Release);
            let others = callers.into_iter().flat_map(|caller| caller.join().expect("no panic"));
            PartResponses { crashing, others: others.collect() }
        })
    }

    /// Sends requests with the crashing part and others for twice the contact time after the last crash that may
    /// happen, and asserts that the former are refused from then on and the latter answered.
    fn assert_part_is_refused(&mut self) {
        let PartResponses { crashing, others } = self.send_parts(CONTACT_TIME * 2);
        let crashes = self.crashes();
        let known_by = crashes[crashes.len().min(KNOWN_PART_CRASHES) - 1] + CONTACT_TIME;
        let runs = self.endpoints.iter().flat_map(Restarting::runs);
        let late = runs.filter(|run| run.id.starts_with('p') && run.arrived_at > known_by);
        let late = late.count();
        assert!(late <= ALLOWED_ATTEMPTS, "{late} attempts, {} crashes", crashes.len());
        let refused = crashing.iter().filter(|(sent_at, _)| *sent_at > known_by);
        assert!(refused.clone().count() > 10);
        for (_, response) in refused {
            assert_refused(response.as_ref().expect("a response"));
        }
        for (sent_at, response) in others {
            let is_answered = response.as_ref().is_ok_and(|response| response.status == 200);
            assert!(sent_at < known_by || is_answered, "{response:?}");
        }
    }
}

/// Asserts that a response tells that the request is refused as it crashes endpoints.
fn assert_refused(response: &Response) {
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.body, REFUSAL);
    assert_eq!(response.code.as_deref(), Some("114"));
    assert_eq!(response.outcome.as_deref(), Some("not-run"));
    assert!(response.retry_after.is_some_and(|delay| delay > 500.0), "{response:?}");
}

// A caller repeats a request that crashes each endpoint that runs it. All entries must refuse it soon after the
// third crash, and other callers must be answered again.
#[test]
fn request_that_crashes_endpoints_is_refused() {
    let mut site = CrashSite::start("crash", "writer");
    let [copies, others] = site.send_copies(CONTACT_TIME * 2);
    let crashes = site.crashes();
    let known_by = crashes[KNOWN_CRASHES - 1] + CONTACT_TIME;
    let late = site.attempts(CRASH_MARKER, known_by);
    assert!(late <= ALLOWED_ATTEMPTS, "{late} attempts, {} crashes", crashes.len());
    let refused = copies.iter().filter(|(sent_at, _)| *sent_at > known_by);
    assert!(refused.clone().count() > 10);
    for (_, response) in refused {
        assert_refused(response.as_ref().expect("a response"));
    }
    for (sent_at, response) in others {
        let is_answered = response.as_ref().is_ok_and(|response| response.status == 200);
        assert!(sent_at < known_by || is_answered, "{response:?}");
    }
}

/// Sends requests through `entries` from `caller_count` threads while `run` runs, each up to `attempts` times until it
/// is answered. Half of the callers send the same request all the time. Returns the number of responses by which one
/// was refused since it crashes endpoints.
fn count_refused_while(
    entries: &[SocketAddr],
    caller_count: usize,
    attempts: usize,
    run: impl FnOnce(),
) -> usize {
    let is_over = AtomicBool::new(false);
    let call = |caller: usize| {
        let mut refused = 0;
        for n in (0..).take_while(|_| !is_over.load(Ordering::Acquire)) {
            let body = if caller.is_multiple_of(2) { "same".to_owned() } else { n.to_string() };
            for attempt in 0..attempts {
                let entry = entries[(n + attempt) % entries.len()];
                let id = format!("b{caller}-{n}-{attempt}");
                match send_to(entry, "/stream/a", &id, "key-1", &body) {
                    Ok(response) if response.status == 200 => break,
                    Ok(response) => refused += usize::from(response.body == REFUSAL),
                    Err(_) => {}
                }
            }
        }
        refused
    };
    thread::scope(|scope| {
        let call = &call;
        let callers: Vec<_> =
            (0..caller_count).map(|caller| scope.spawn(move || call(caller))).collect();
        run();
        is_over.store(true, Ordering::Release);
        callers.into_iter().map(|caller| caller.join().expect("no panic")).sum()
    })
}

// Callers send requests concurrently with one that crashes endpoints, some of them the same one all the time. They lose
// their endpoints with it and must not be refused for that.
#[test]
fn requests_beside_crashes_are_not_refused() {
    let mut site = CrashSite::start("beside", "writer");
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.callers).collect();
    let refused = count_refused_while(&entries, 6, 1, || drop(site.send_copies(CONTACT_TIME)));
    assert!(site.crashes().len() >= KNOWN_CRASHES);
    assert_eq!(refused, 0);
    assert_refused(&site.send(0, "last", CRASH_MARKER));
}

// Endpoints close connections without a response, again and again, but their processes live.
#[test]
fn request_that_loses_responses_is_not_refused() {
    let site = CrashSite::start("reset", "desk");
    let set_fault = |fault| site.endpoints.iter().for_each(|slot| slot.endpoint.set_fault(fault));
    set_fault(EndpointFault::LostAnswer);
    for n in 0..10 {
        assert_eq!(site.send(n, &format!("r{n}"), "the body").status, 502);
    }
    set_fault(EndpointFault::None);
    until("the request is answered again", || site.send(0, "after", "the body").status == 200);
    let logs: String = site.entries.iter().map(|entry| entry.program.log()).collect();
    assert!(!logs.contains("endpoint crashed"), "{logs}");
}

// An entry that starts after the crashes has seen none of them.
#[test]
fn quarantine_reaches_entry_that_starts_later() {
    let mut site = CrashSite::start("late", "writer");
    site.send_copies(CONTACT_TIME);
    let crashes = site.crashes().len();
    assert!(crashes >= KNOWN_CRASHES);
    site.entries = vec![site.site.start_entry("late-entry-new")];
    until("the entry knows the quarantine", || {
        site.restart_crashed();
        site.entries[0].program.log().contains("request quarantined")
    });
    for n in 0..5 {
        assert_refused(&site.send(0, &format!("new{n}"), CRASH_MARKER));
    }
    assert_eq!(site.crashes().len(), crashes);
}

// The hosts of a plain service have no agents. Its crashes are told through agents of another service.
#[test]
fn crashes_of_plain_service_are_shared() {
    let mut site = CrashSite::start("plain", "desk");
    let engine = site.site.start_endpoint("i-engine", "writer", Some(1));
    let _agent = site.site.start_agent("plain-agent", &engine);
    until("the entries hear the agent", || {
        site.entries.iter().all(|entry| {
            let dump = entry.dump();
            let all = dump["endpoints"].as_array().cloned().unwrap_or_default();
            all.iter().any(|endpoint| endpoint["report_age_ms"].is_u64())
        })
    });
    site.send_copies(CONTACT_TIME);
    for n in 0..2 {
        assert_refused(&site.send(n, &format!("last{n}"), CRASH_MARKER));
    }
    let hears_agent = |entry: &Entry| entry.program.log().contains(r#""from":"agent""#);
    assert!(site.entries.iter().any(hears_agent));
}

// Requests that crash endpoints are never alike and share only one part of their prompts. They must be refused soon after
// the fifth crash, and requests with the same key and first part answered.
#[test]
fn part_that_crashes_endpoints_is_refused() {
    CrashSite::start("part", "writer").assert_part_is_refused();
}

// Answers end with their connections, so that a crash after a whole event looks like the end of an answer.
#[test]
fn part_that_crashes_endpoints_is_refused_close_delimited() {
    let mut site = CrashSite::start("unframed", "writer");
    site.set_close_delimited();
    site.assert_part_is_refused();
}

/// Interval at which a quarter of the endpoints crash whatever they run, and number of these crashes.
const RANDOM_CRASH_INTERVAL: Duration = Duration::from_millis(1_000);
const RANDOM_CRASHES: usize = 6;

// The store is silent, endpoints crash for another reason, an entry is killed and started, and callers repeat at once
// what has failed. The request that crashes endpoints is refused all the same, and no other one.
#[test]
fn quarantine_holds_through_restarts_and_other_crashes() {
    let mut site = CrashSite::start("all", "writer");
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.callers).collect();
    let refused = count_refused_while(&entries, 4, 4, || {
        for n in 0..RANDOM_CRASHES {
            site.send_copies(RANDOM_CRASH_INTERVAL);
            site.endpoints[n % 4].endpoint.crash();
            match n {
                1 => site.site.store.set_fault(StoreFault::Silent),
                3 => site.site.store.set_fault(StoreFault::None),
                4 => {
                    let mut killed = site.entries.remove(0);
                    killed.program.signal("KILL");
                    killed.program.wait();
                    site.entries.push(site.site.start_entry("all-entry-again"));
                }
                _ => {}
            }
        }
    });
    assert_eq!(refused, 0);
    until("the entry that was restarted knows the quarantine", || {
        site.restart_crashed();
        site.entries[1].program.log().contains("request quarantined")
    });
    let first_run = site.first_crash_of(CRASH_MARKER, KNOWN_CRASHES);
    let late = site.attempts(CRASH_MARKER, first_run + CONTACT_TIME);
    assert!(late <= ALLOWED_ATTEMPTS, "{late} attempts");
    for n in 0..2 {
        assert_refused(&site.send(n, &format!("last{n}"), CRASH_MARKER));
    }
}
