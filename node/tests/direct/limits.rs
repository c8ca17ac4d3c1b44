use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Time;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::request_limit::Schedule;
use mastichaven_core::fingerprint::Fingerprint;
use mastichaven_node::direct::load_reports::Attachments;
use mastichaven_node::direct::load_reports::LimitNotice;
use mastichaven_node::direct::load_reports::MAX_DATAGRAM_LEN;
use mastichaven_node::direct::load_reports::ReportMessage;
use mastichaven_node::direct::load_reports::append_attachments;
use mastichaven_node::direct::load_reports::decode;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::endpoint::Run;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Site;
use super::fixture::until;

/// Requests per second that a limited endpoint takes.
const LIMIT: f64 = 1.0;

/// Window over which an endpoint must not get more than one and a half times its limit and
/// [`LIMIT_SLACK`].
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SLACK: f64 = 5.0;

/// Time after an entry has received a limit from which its requests count.
const LEARNING_TIME: Duration = Duration::from_millis(500);

/// Time after which an agent's count of the entries is complete.
const COUNT_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Sends requests to `path` through all entries in turn for `duration`. Returns the number of
/// answers with success, and the shortest delay after which a refused caller may return.
fn send_for(entries: &[&Entry], path: &str, duration: Duration) -> (usize, Option<f64>) {
    let started_at = Instant::now();
    let mut answered = 0;
    let mut shortest: Option<f64> = None;
    for n in 0.. {
        if started_at.elapsed() >= duration {
            break;
        }
        let entry = entries[n % entries.len()];
        let response = entry.send_request(path, &format!("{path}{n}"), "key-1").unwrap();
        match response.status {
            200 => answered += 1,
            503 => {
                let delay = response.retry_after.expect("refusals name a delay");
                shortest = Some(shortest.map_or(delay, |shortest: f64| shortest.min(delay)));
            }
            status => panic!("status {status}: {}", response.body),
        }
        thread::sleep(Duration::from_millis(10));
    }
    (answered, shortest)
}

/// Highest number of runs within [`LIMIT_WINDOW`] that arrived after `from`.
fn peak_runs(runs: &[Run], from: Instant) -> usize {
    let counted: Vec<Instant> =
        runs.iter().map(|run| run.arrived_at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        counted.iter().filter(|at| **at >= *start && **at < *start + LIMIT_WINDOW).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

fn allowed_runs() -> usize {
    (LIMIT * LIMIT_WINDOW.as_secs_f64() * 1.5 + LIMIT_SLACK) as usize
}

/// Names the limit, lets each entry receive it, and returns when requests to `endpoint` count.
fn name_limit(endpoint: &FakeEndpoint, entries: &[&Entry], path: &str) -> Instant {
    endpoint.set_request_limit(Some(LIMIT));
    for (n, entry) in entries.iter().enumerate() {
        let count = endpoint.runs().len();
        let mut sent = 0;
        until("the entry has received an answer with the limit", || {
            sent += 1;
            let _ = entry.send_request(path, &format!("first{n}-{sent}"), "key-1");
            endpoint.runs().len() > count || sent > 100
        });
    }
    thread::sleep(LEARNING_TIME);
    Instant::now()
}

// An endpoint in need names the number of requests that it takes from all entries. It must not get more, and
// callers must be answered by the other endpoint.
#[test]
fn requests_over_limit_go_to_another_endpoint() {
    let site = LimitedSite::start("limit");
    let from = name_limit(&site.limited, &site.entries(), "/stream/a");
    let (answered, shortest) = send_for(&site.entries(), "/stream/a", LIMIT_WINDOW * 2);
    assert_eq!(shortest, None);
    assert!(answered > 20, "{answered}");
    site.assert_limit_held(from);
}

/// A site with a limited endpoint and another one, their agents, and two entries that hear both.
struct LimitedSite {
    site: Site,
    limited: FakeEndpoint,
    _other: FakeEndpoint,
    agents: Vec<Program>,
    entries: Vec<Entry>,
}

impl LimitedSite {
    fn start(test: &str) -> LimitedSite {
        let site = Site::start();
        let limited = site.start_endpoint("i-limited", "writer", Some(1));
        let other = site.start_endpoint("i-other", "writer", Some(1));
        let agents = vec![
            site.start_agent(&format!("{test}-agent-a"), &limited),
            site.start_agent(&format!("{test}-agent-b"), &other),
        ];
        let entries: Vec<Entry> =
            (0..2).map(|n| site.start_entry(&format!("{test}-entry-{n}"))).collect();
        let started = LimitedSite { site, limited, _other: other, agents, entries };
        until("both entries receive reports of both agents", || {
            started.entries.iter().all(|entry| hears_agents(entry, 2))
        });
        started
    }

    fn entries(&self) -> Vec<&Entry> {
        self.entries.iter().collect()
    }

    /// Asserts that the limited endpoint has not got more requests since `from` than its limit allows.
    fn assert_limit_held(&self, from: Instant) {
        let peak = peak_runs(&self.limited.runs(), from);
        assert!(peak <= allowed_runs(), "{peak} requests in {LIMIT_WINDOW:?}");
    }
}

fn hears_agents(entry: &Entry, agents: usize) -> bool {
    let dump = entry.dump();
    let all = dump["endpoints"].as_array().cloned().unwrap_or_default();
    all.iter().filter(|endpoint| endpoint["report_age_ms"].is_u64()).count() == agents
}

// Entries are cut off from each other and from the agents. Each must keep to its share of before.
#[test]
fn limit_holds_while_entries_hear_nobody() {
    let mut site = LimitedSite::start("limit-cut");
    until("the entries have a complete count", || {
        site.entries.iter().all(|entry| entry.dump()["entries"] == 2)
    });
    thread::sleep(COUNT_SETTLE_TIME);
    for agent in &mut site.agents {
        agent.signal("KILL");
        agent.wait();
    }
    let from = name_limit(&site.limited, &site.entries(), "/stream/a");
    send_for(&site.entries(), "/stream/a", LIMIT_WINDOW * 2);
    site.assert_limit_held(from);
}

// An entry restarts and knows neither the limit nor the number of entries at first.
#[test]
fn limit_holds_through_restart_of_an_entry() {
    let mut site = LimitedSite::start("limit-restart");
    let from = name_limit(&site.limited, &site.entries(), "/stream/a");
    send_for(&site.entries(), "/stream/a", LIMIT_WINDOW / 2);
    let mut stopped = site.entries.pop().expect("two entries");
    stopped.program.signal("KILL");
    stopped.program.wait();
    site.entries.push(site.site.start_entry("limit-restart-again"));
    send_for(&site.entries(), "/stream/a", LIMIT_WINDOW * 2);
    site.assert_limit_held(from);
}

// The only endpoint has named a limit. Callers beyond it must be refused at once and told when to return.
#[test]
fn requests_over_limit_are_refused_at_once() {
    let site = Site::start();
    let limited = site.start_endpoint("i-limited", "desk", None);
    let entry = site.start_entry("limit-alone");
    until("the endpoint is known", || {
        entry.dump()["endpoints"].as_array().map(Vec::len) == Some(1)
    });
    name_limit(&limited, &[&entry], "/lookup/a");
    let started_at = Instant::now();
    let mut refused = 0;
    for n in 0..20 {
        let response = entry.send_request("/lookup/a", &format!("r{n}"), "key-1").unwrap();
        if response.status == 503 {
            refused += 1;
            assert_eq!(response.body, "all endpoints at their request limit");
            assert!(response.retry_after.is_some_and(|delay| delay > 0.1), "{response:?}");
        }
    }
    assert!(refused >= 18, "{refused}");
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
}

fn known_limit(entry: &Entry) -> Option<f64> {
    entry.dump()["endpoints"][0]["requests_per_second"].as_f64()
}

// An entry that starts, or that gets no answers of the endpoint, must learn of a limit from the agent.
#[test]
fn limit_reaches_entries_without_answers() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-limited", "writer", Some(1));
    let agent = site.start_agent("limit-relay", &endpoint);
    let entry = site.start_entry("limit-first");
    let other = site.start_entry("limit-other");
    until("the agent reports to both entries", || {
        [&entry, &other].iter().all(|entry| entry.dump()["endpoints"][0]["report_age_ms"].is_u64())
    });
    name_limit(&endpoint, &[&entry], "/stream/a");
    until("the other entry knows the limit", || known_limit(&other) == Some(LIMIT));
    let new = site.start_entry("limit-new");
    until("an entry that starts knows the limit", || known_limit(&new) == Some(LIMIT));
    endpoint.set_request_limit(None);
    until("the limit has ended", || {
        let _ = entry.send_request("/stream/a", "after", "key-1");
        [&entry, &other, &new].iter().all(|entry| known_limit(entry).is_none())
    });
    assert!(agent.log().contains("endpoint request limit changed"));
}

// During an upgrade, agents and entries of both releases exchange reports.
#[test]
fn messages_without_limit_are_decoded() {
    let msg = ReportMessage {
        port: 80,
        report: None,
        request_sent_us: 5,
        held_us: 6,
        setup: 7,
        announced: Vec::new(),
    };
    let bytes = postcard::to_stdvec(&msg).unwrap();
    assert_eq!(decode::<ReportMessage>(&bytes), Some((msg.clone(), Attachments::default())));
    let schedule = Some(Schedule { entries: 8, position: 3, clock_ms: 1_200 });
    let limit = LimitNotice { started_ms: 9, per_second: Some(2.2), age_ms: 40, schedule };
    let (extended, _) = append_attachments(bytes, Some(limit), std::iter::empty()).unwrap();
    let attachments = Attachments { limit: Some(limit), notices: Vec::new() };
    assert_eq!(decode::<ReportMessage>(&extended), Some((msg.clone(), attachments)));
    assert_eq!(postcard::from_bytes::<ReportMessage>(&extended), Ok(msg));
}

// Entries and agents of an earlier release read the limit that follows a message, and nothing after it.
#[test]
fn notices_without_limit_are_ignored_by_earlier_releases() {
    let msg = ReportMessage {
        port: 80,
        report: None,
        request_sent_us: 5,
        held_us: 6,
        setup: 7,
        announced: Vec::new(),
    };
    let request = Fingerprint::new("crews", &[b"body"]);
    let notices = vec![Notice::Quarantined { traits: vec![request], crashes: 3, age_ms: 40 }; 100];
    let bytes = postcard::to_stdvec(&msg).unwrap();
    let (extended, count) = append_attachments(bytes, None, notices.iter()).unwrap();
    assert!(extended.len() <= MAX_DATAGRAM_LEN && count > 40, "{count}");
    let attachments = Attachments { limit: None, notices: notices[..count].to_vec() };
    assert_eq!(decode::<ReportMessage>(&extended), Some((msg.clone(), attachments)));
    let (_, rest) = postcard::take_from_bytes::<ReportMessage>(&extended).unwrap();
    let limit: LimitNotice = postcard::from_bytes(rest).unwrap();
    let a_month = Time::ZERO + Duration::from_secs(30 * 24 * 3_600);
    assert_eq!(limit.statement(a_month), None);
}
