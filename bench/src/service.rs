//! Measures the service under load while a zone is taken out and brought back, and while all
//! entries and agents are restarted in turn. The callers' load balancer is modeled by polling
//! `/ready`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use mastichaven_core::Config;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::HostName;
use mastichaven_standins::origin::random_weights;
use serde::Serialize;

use crate::fleet::CHUNK_LEN;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

/// Number of concurrent callers.
const CALLERS: usize = 16;

/// Delay of a caller between two requests.
const REQUEST_DELAY: Duration = Duration::from_millis(10);

const REQUEST_TIMEOUT_SECONDS: u64 = 20;

/// How often the load balancer polls `/ready` of each entry.
const BALANCER_POLL: Duration = Duration::from_millis(100);

/// How long an entry keeps serving after it has reported that it is not ready.
const NOTICE_MS: u64 = 500;

/// One request in this many is a non-idempotent booking.
const BOOKING_EVERY: usize = 4;

/// Timeout of one step, after which the experiment fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

const MODEL_BYTES: usize = 512 << 10;

/// The zone that is taken out.
const REMOVED_ZONE: &str = "serra";

/// Figures of one second.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// Seconds since the callers started.
    pub second: u64,
    /// Requests that ended in this second.
    pub ended: u64,
    /// Share of these requests with a complete response; 0 when none ended.
    pub answered_share: f64,
    /// 99th percentile of the time to the end of a request in milliseconds, failed ones included.
    pub p99_ms: f64,
}

/// Figures of all callers together.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// Requests that ended, with or without a response.
    pub ended: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests refused, by value of the `mastichaven-code` header.
    pub refused: BTreeMap<u16, u64>,
    /// Requests that failed without a code or whose response was incomplete.
    pub cut_off: u64,
    /// Bookings that ran more than once.
    pub ran_twice: usize,
    /// Attempts sent to agents per request; `None` when entries restart, which resets their
    /// counters.
    pub attempts_per_request: Option<f64>,
    /// Figures of each second since the callers started.
    pub seconds: Vec<Second>,
}

/// Figures of a run in which a zone is taken out and brought back.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneReport {
    /// Seconds from the publication of the zone's removal to the last request begun in it; 0 when
    /// none began after the publication.
    pub last_work_after: f64,
    /// Seconds from the publication of the zone's return to its first request.
    pub first_work_after: f64,
    /// Times that any engine's concurrency limit was exceeded. Must be 0.
    pub fell_over: u64,
    /// Figures of all callers together.
    pub callers: Seen,
}

/// Figures of a run in which all entries and agents are restarted in turn.
#[derive(Clone, Debug, Serialize)]
pub struct RestartReport {
    /// Number of processes restarted.
    pub restarted: usize,
    /// Times that any engine's concurrency limit was exceeded. Must be 0.
    pub fell_over: u64,
    /// Figures of all callers together.
    pub callers: Seen,
}

struct CallResult {
    /// Time from the start of the callers to the end of the request.
    ended_after: Duration,
    took: Duration,
    end: CallEnd,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallEnd {
    Complete,
    Refused(u16),
    CutOff,
}

struct Callers {
    started: Instant,
    is_stopped: AtomicBool,
    next_request: AtomicUsize,
    ready_entries: RwLock<Vec<SocketAddr>>,
    results: Mutex<Vec<CallResult>>,
}

impl Callers {
    fn new() -> Callers {
        Callers {
            started: Instant::now(),
            is_stopped: AtomicBool::new(false),
            next_request: AtomicUsize::new(0),
            ready_entries: RwLock::default(),
            results: Mutex::default(),
        }
    }

    /// Sends requests one after the other until the callers are stopped.
    fn send_requests(&self) {
        while !self.is_stopped.load(Ordering::Acquire) {
            let n = self.next_request.fetch_add(1, Ordering::Relaxed);
            let to = {
                let entries = self.ready_entries.read().expect("no holder of this lock panics");
                entries[n % entries.len()]
            };
            let started = Instant::now();
            let end = send_request(to, n);
            let result =
                CallResult { ended_after: self.started.elapsed(), took: started.elapsed(), end };
            self.results.lock().expect("no holder of this lock panics").push(result);
            thread::sleep(REQUEST_DELAY);
        }
    }

    /// Routes callers only to entries that report ready, as the platform's load balancer does.
    fn balance(&self, entries: &Mutex<BTreeMap<HostName, (SocketAddr, SocketAddr)>>) {
        while !self.is_stopped.load(Ordering::Acquire) {
            self.poll_ready(entries);
            thread::sleep(BALANCER_POLL);
        }
    }

    fn poll_ready(&self, entries: &Mutex<BTreeMap<HostName, (SocketAddr, SocketAddr)>>) {
        let entries = entries.lock().expect("no holder of this lock panics").clone();
        let is_ready = |operators: &SocketAddr| {
            let request = minreq::get(format!("http://{operators}/ready")).with_timeout(1);
            request.send().is_ok_and(|response| response.status_code == 200)
        };
        let ready: Vec<SocketAddr> = entries
            .values()
            .filter(|(_, operators)| is_ready(operators))
            .map(|(callers, _)| *callers)
            .collect();
        if !ready.is_empty() {
            *self.ready_entries.write().expect("no holder of this lock panics") = ready;
        }
    }

    fn figures(&self, fleet: &Fleet, attempts: Option<f64>) -> Result<Seen> {
        let results = self.results.lock().expect("no holder of this lock panics");
        let count = |end| results.iter().filter(|result| result.end == end).count() as u64;
        Ok(Seen {
            ended: results.len() as u64,
            answered: count(CallEnd::Complete),
            refused: refusals_by_code(&results),
            cut_off: count(CallEnd::CutOff),
            ran_twice: fleet.plain.runs().values().filter(|runs| **runs > 1).count(),
            attempts_per_request: attempts.map(|sent| sent / results.len().max(1) as f64),
            seconds: figures_by_second(&results)?,
        })
    }
}

fn refusals_by_code(results: &[CallResult]) -> BTreeMap<u16, u64> {
    let mut codes = BTreeMap::new();
    for result in results {
        if let CallEnd::Refused(code) = result.end {
            *codes.entry(code).or_default() += 1;
        }
    }
    codes
}

fn figures_by_second(results: &[CallResult]) -> Result<Vec<Second>> {
    let last = results.iter().map(|result| result.ended_after.as_secs()).max().unwrap_or(0);
    let mut seconds = Vec::new();
    for second in 0..=last {
        let mut durations_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let (mut ended, mut complete) = (0, 0);
        for result in results.iter().filter(|result| result.ended_after.as_secs() == second) {
            ended += 1;
            complete += u64::from(result.end == CallEnd::Complete);
            let _ = durations_us.record(result.took.as_micros() as u64);
        }
        seconds.push(Second {
            second,
            ended,
            answered_share: if ended == 0 { 0.0 } else { complete as f64 / ended as f64 },
            p99_ms: durations_us.value_at_quantile(0.99) as f64 / 1_000.0,
        });
    }
    Ok(seconds)
}

fn send_request(to: SocketAddr, n: usize) -> CallEnd {
    let is_booking = n.is_multiple_of(BOOKING_EVERY);
    let path = if is_booking { "/book" } else { "/v1/chat/completions" };
    let body = if is_booking {
        format!("pen-{n}")
    } else {
        format!(
            r#"{{"model":"rota","stream":true,"max_tokens":8,"messages":[{{"role":"user","content":"draft {n}"}}]}}"#
        )
    };
    let mut request = minreq::post(format!("http://{to}{path}"))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("content-type", "application/json")
        .with_body(body)
        .with_timeout(REQUEST_TIMEOUT_SECONDS);
    if is_booking {
        request = request.with_header("idempotency-key", format!("pen-{n}"));
    }
    let Ok(response) = request.send() else {
        return CallEnd::CutOff;
    };
    let text = response.as_str().unwrap_or_default();
    match response.header("mastichaven-code") {
        Some("100") if is_booking || text.ends_with("data: [DONE]\n\n") => CallEnd::Complete,
        Some("100") | None => CallEnd::CutOff,
        Some(code) => code.parse().map_or(CallEnd::CutOff, CallEnd::Refused),
    }
}

/// Sum of the entries' counters of attempts sent.
fn attempts_sent(fleet: &Fleet) -> f64 {
    let sent = |entry: &mastichaven_node::entry::Entry| {
        let address = entry.operators_addr();
        let dump = minreq::get(format!("http://{address}/dump")).with_timeout(5).send().ok()?;
        let dump: serde_json::Value = serde_json::from_slice(dump.as_bytes()).ok()?;
        dump["counts"]["attempts.sent"].as_f64()
    };
    fleet.entries.values().filter_map(sent).sum()
}

fn start_fleet() -> Result<(Fleet, Config)> {
    let layout = Layout {
        entries: 2,
        plain_agents: 3,
        entry_settings: format!("notice_ms = {NOTICE_MS}\n"),
        ..Layout::default()
    };
    let fleet = Fleet::start(&layout)?;
    fleet.serve_model(MODEL_BYTES, STEP_TIMEOUT)?;
    let manifest = fleet.origin.put(&random_weights(1, MODEL_BYTES), CHUNK_LEN);
    let mut config = fleet.configuration(&manifest)?;
    for customer in config.customer.values_mut() {
        (customer.requests_per_second, customer.concurrent) = (1e6, 10_000);
    }
    fleet.publish(&config)?;
    // Far longer than a configuration change takes to reach all hosts.
    thread::sleep(Duration::from_secs(3));
    Ok((fleet, config))
}

/// Addresses of each entry for callers and for operators.
type EntryAddresses = Mutex<BTreeMap<HostName, (SocketAddr, SocketAddr)>>;

fn entry_addresses(fleet: &Fleet) -> EntryAddresses {
    let address = |(host, entry): (&HostName, &mastichaven_node::entry::Entry)| {
        (host.clone(), (entry.callers_addr(), entry.operators_addr()))
    };
    Mutex::new(fleet.entries.iter().map(address).collect())
}

/// Runs `change` while callers send requests.
fn under_load<T>(
    fleet: &mut Fleet,
    change: impl FnOnce(&mut Fleet, &EntryAddresses) -> Result<T>,
) -> Result<(T, Callers)> {
    let entries = entry_addresses(fleet);
    let callers = Callers::new();
    callers.poll_ready(&entries);
    let result = thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| callers.send_requests());
        }
        scope.spawn(|| callers.balance(&entries));
        let result = change(fleet, &entries);
        callers.is_stopped.store(true, Ordering::Release);
        result
    })?;
    Ok((result, callers))
}

fn fell_over(fleet: &Fleet) -> u64 {
    fleet.engines.values().map(|engine| engine.counts().fell_over).sum()
}

fn requests_begun_in(fleet: &Fleet, zone: &str) -> u64 {
    let zone_engines = fleet.engines.iter().filter(|(host, _)| fleet.zone_of(host) == Some(zone));
    zone_engines.map(|(_, engine)| engine.counts().begun).sum()
}

/// Takes a zone out and brings it back under load.
pub fn zone() -> Result<ZoneReport> {
    let (mut fleet, mut config) = start_fleet()?;
    let before = attempts_sent(&fleet);
    let (times, callers) = under_load(&mut fleet, |fleet, _| {
        thread::sleep(Duration::from_secs(3));
        set_zone(fleet, &mut config, ZoneState::Out)?;
        let published = Instant::now();
        let (mut last, mut begun) = (0.0, requests_begun_in(fleet, REMOVED_ZONE));
        while published.elapsed() < Duration::from_secs(6) {
            let now = requests_begun_in(fleet, REMOVED_ZONE);
            if now != begun {
                (last, begun) = (published.elapsed().as_secs_f64(), now);
            }
            thread::sleep(Duration::from_millis(10));
        }
        set_zone(fleet, &mut config, ZoneState::In)?;
        let first = wait_until(STEP_TIMEOUT, || requests_begun_in(fleet, REMOVED_ZONE) > begun);
        let first = first.ok_or("the zone received no request after its return")?;
        thread::sleep(Duration::from_secs(4));
        Ok((last, first.as_secs_f64()))
    })?;
    let sent = attempts_sent(&fleet) - before;
    let report = ZoneReport {
        last_work_after: times.0,
        first_work_after: times.1,
        fell_over: fell_over(&fleet),
        callers: callers.figures(&fleet, Some(sent))?,
    };
    fleet.stop();
    Ok(report)
}

fn set_zone(fleet: &Fleet, config: &mut Config, state: ZoneState) -> Result<()> {
    config.zone.get_mut(&REMOVED_ZONE.into()).ok_or("no such zone")?.state = state;
    fleet.publish(config)
}

/// Restarts every entry and every agent in turn under load.
pub fn restart() -> Result<RestartReport> {
    let (mut fleet, _) = start_fleet()?;
    let hosts: Vec<HostName> = fleet.entries.keys().chain(fleet.agents.keys()).cloned().collect();
    let ((), callers) = under_load(&mut fleet, |fleet, entries| {
        thread::sleep(Duration::from_secs(1));
        for host in &hosts {
            fleet.stop_host(host);
            fleet.start_host(host)?;
            fleet.publish_hosts();
            if let Some(entry) = fleet.entries.get(host) {
                let addresses = (entry.callers_addr(), entry.operators_addr());
                entries.lock().expect("no holder panics").insert(host.clone(), addresses);
            }
            wait_until(STEP_TIMEOUT, || is_ready(fleet, host))
                .ok_or(format!("{host} is not ready in time"))?;
        }
        Ok(())
    })?;
    let report = RestartReport {
        restarted: hosts.len(),
        fell_over: fell_over(&fleet),
        callers: callers.figures(&fleet, None)?,
    };
    fleet.stop();
    Ok(report)
}

fn is_ready(fleet: &Fleet, host: &HostName) -> bool {
    let entry = fleet.entries.get(host).map(|entry| entry.operators_addr());
    let agent = fleet.agents.get(host).map(|agent| agent.operators_addr());
    entry.or(agent).is_some_and(|operators| {
        let request = minreq::get(format!("http://{operators}/ready")).with_timeout(1);
        request.send().is_ok_and(|response| response.status_code == 200)
    })
}
