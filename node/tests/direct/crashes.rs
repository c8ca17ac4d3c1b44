use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Run;
use mastichaven_standins::direct::site::ENDPOINTS;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Response;
use super::fixture::Site;
use super::fixture::until;

/// Part of a body that crashes the endpoint that runs it.
const CRASH_MARKER: &str = "crash";

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
}

impl Restarting {
    fn start(site: &Site, n: usize, service: &str, version: Option<u64>) -> Restarting {
        let id = format!("i-{n}");
        let endpoint = site.start_endpoint(&id, service, version);
        endpoint.crash_on(CRASH_MARKER);
        Restarting { endpoint, id, past_runs: Vec::new(), crashes: Vec::new() }
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
        site.list_endpoint(&self.id, service, &self.endpoint, "ready");
    }

    fn runs(&self) -> Vec<Run> {
        [self.past_runs.clone(), self.endpoint.runs()].concat()
    }

    fn crashes(&self) -> Vec<Instant> {
        self.crashes.iter().copied().chain(self.endpoint.crashed_at()).collect()
    }
}

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

    /// Sends a request through the entry `n`.
    fn send(&self, n: usize, id: &str, body: &str) -> Response {
        let entry = &self.entries[n % self.entries.len()];
        entry.send_body(self.path(), id, "key-1", body).expect("a response")
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

    /// For `duration`, sends copies of a request that crashes endpoints through all entries in turn, and another
    /// request after each of them. Returns the responses to both, with the times at which they were sent.
    fn send_copies(&mut self, duration: Duration) -> [Vec<(Instant, Response)>; 2] {
        let started_at = Instant::now();
        let (mut copies, mut others) = (Vec::new(), Vec::new());
        for n in 0.. {
            if started_at.elapsed() >= duration {
                break;
            }
            self.restart_crashed();
            copies.push((Instant::now(), self.send(n, &format!("c{n}"), CRASH_MARKER)));
            others.push((Instant::now(), self.send(n, &format!("o{n}"), &format!("other {n}"))));
            thread::sleep(Duration::from_millis(30));
        }
        [copies, others]
    }
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
        assert_eq!(response.status, 503, "{response:?}");
    }
    for (sent_at, response) in others {
        assert!(sent_at < known_by || response.status == 200, "{response:?}");
    }
}
