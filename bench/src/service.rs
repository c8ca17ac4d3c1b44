//! Service while things are taken away on purpose: a zone leaves and returns, and every entry and
//! agent is restarted in turn. Callers keep asking; the balancer is played by asking `/ready`.

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

/// Callers that ask side by side.
const CALLERS: usize = 16;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Seconds a caller waits for an answer.
const TIMEOUT_SECONDS: u64 = 20;

/// How often the balancer asks each entry whether it is ready.
const BALANCER_POLL: Duration = Duration::from_millis(100);

/// What an entry serves on after it has reported not ready, in milliseconds.
const NOTICE_MS: u64 = 500;

/// One request in this many is a booking, which may not be repeated.
const BOOKING_EVERY: usize = 4;

/// Waits of the experiment itself.
const LIMIT: Duration = Duration::from_secs(60);

/// Bytes of the model.
const MODEL_LEN: usize = 512 << 10;

/// The zone that leaves.
const ZONE: &str = "serra";

/// Service in one second.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// Seconds since the callers began.
    pub second: u64,
    /// Requests that ended in it.
    pub ended: u64,
    /// Share of them with a whole answer.
    pub answered_share: f64,
    /// 99th percentile to the end of an answer, in milliseconds.
    pub p99_ms: f64,
}

/// What callers saw.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// Requests that ended.
    pub ended: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused, by numbered code.
    pub refused: BTreeMap<u16, u64>,
    /// Requests whose connection or answer was cut off.
    pub cut_off: u64,
    /// Bookings that ran more than once.
    pub ran_twice: usize,
    /// Attempts sent to agents for each request; not known where entries restart.
    pub attempts_per_request: Option<f64>,
    /// Service second by second.
    pub seconds: Vec<Second>,
}

/// A zone leaves and returns.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneReport {
    /// Seconds from the acceptance to the last work begun in the zone; 0 when none began after it.
    pub last_work_after: f64,
    /// Seconds from the acceptance of its return to its first work.
    pub first_work_after: f64,
    /// Engines given more than they bear, all together. Must be 0.
    pub fell_over: u64,
    /// What callers saw.
    pub callers: Seen,
}

/// Everything is restarted in turn.
#[derive(Clone, Debug, Serialize)]
pub struct RestartReport {
    /// Processes restarted.
    pub restarted: usize,
    /// Engines given more than they bear, all together. Must be 0.
    pub fell_over: u64,
    /// What callers saw.
    pub callers: Seen,
}

struct Answered {
    at: Duration,
    took: Duration,
    end: End,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Whole,
    Refused(u16),
    CutOff,
}

struct Callers {
    begun: Instant,
    over: AtomicBool,
    next: AtomicUsize,
    entries: RwLock<Vec<SocketAddr>>,
    ended: Mutex<Vec<Answered>>,
}

impl Callers {
    fn new() -> Callers {
        Callers {
            begun: Instant::now(),
            over: AtomicBool::new(false),
            next: AtomicUsize::new(0),
            entries: RwLock::default(),
            ended: Mutex::default(),
        }
    }

    /// Keeps asking until the experiment is over.
    fn ask_on(&self) {
        while !self.over.load(Ordering::Acquire) {
            let n = self.next.fetch_add(1, Ordering::Relaxed);
            let to = {
                let entries = self.entries.read().expect("no holder of this lock panics");
                entries[n % entries.len()]
            };
            let begun = Instant::now();
            let end = ask(to, n);
            let answered = Answered { at: self.begun.elapsed(), took: begun.elapsed(), end };
            self.ended.lock().expect("no holder of this lock panics").push(answered);
            thread::sleep(PAUSE);
        }
    }

    /// Sends callers only to entries that say they are ready, as the platform's balancer does.
    fn balance(&self, known: &Mutex<BTreeMap<HostName, (SocketAddr, SocketAddr)>>) {
        while !self.over.load(Ordering::Acquire) {
            self.look(known);
            thread::sleep(BALANCER_POLL);
        }
    }

    fn look(&self, known: &Mutex<BTreeMap<HostName, (SocketAddr, SocketAddr)>>) {
        let known = known.lock().expect("no holder of this lock panics").clone();
        let is_ready = |operators: &SocketAddr| {
            let request = minreq::get(format!("http://{operators}/ready")).with_timeout(1);
            request.send().is_ok_and(|response| response.status_code == 200)
        };
        let ready: Vec<SocketAddr> = known
            .values()
            .filter(|(_, operators)| is_ready(operators))
            .map(|(callers, _)| *callers)
            .collect();
        if !ready.is_empty() {
            *self.entries.write().expect("no holder of this lock panics") = ready;
        }
    }

    fn seen(&self, fleet: &Fleet, attempts: Option<f64>) -> Result<Seen> {
        let ended = self.ended.lock().expect("no holder of this lock panics");
        let count = |end| ended.iter().filter(|answered| answered.end == end).count() as u64;
        Ok(Seen {
            ended: ended.len() as u64,
            answered: count(End::Whole),
            refused: by_code(&ended),
            cut_off: count(End::CutOff),
            ran_twice: fleet.plain.runs().values().filter(|runs| **runs > 1).count(),
            attempts_per_request: attempts.map(|sent| sent / ended.len().max(1) as f64),
            seconds: by_second(&ended)?,
        })
    }
}

fn by_code(ended: &[Answered]) -> BTreeMap<u16, u64> {
    let mut codes = BTreeMap::new();
    for answered in ended {
        if let End::Refused(code) = answered.end {
            *codes.entry(code).or_default() += 1;
        }
    }
    codes
}

fn by_second(ended: &[Answered]) -> Result<Vec<Second>> {
    let last = ended.iter().map(|answered| answered.at.as_secs()).max().unwrap_or(0);
    let mut seconds = Vec::new();
    for second in 0..=last {
        let mut millis = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let (mut all, mut whole) = (0, 0);
        for answered in ended.iter().filter(|answered| answered.at.as_secs() == second) {
            all += 1;
            whole += u64::from(answered.end == End::Whole);
            let _ = millis.record(answered.took.as_micros() as u64);
        }
        seconds.push(Second {
            second,
            ended: all,
            answered_share: if all == 0 { 0.0 } else { whole as f64 / all as f64 },
            p99_ms: millis.value_at_quantile(0.99) as f64 / 1_000.0,
        });
    }
    Ok(seconds)
}

fn ask(to: SocketAddr, n: usize) -> End {
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
        .with_timeout(TIMEOUT_SECONDS);
    if is_booking {
        request = request.with_header("idempotency-key", format!("pen-{n}"));
    }
    let Ok(response) = request.send() else {
        return End::CutOff;
    };
    let text = response.as_str().unwrap_or_default();
    match response.header("mastichaven-code") {
        Some("100") if is_booking || text.ends_with("data: [DONE]\n\n") => End::Whole,
        Some("100") | None => End::CutOff,
        Some(code) => code.parse().map_or(End::CutOff, End::Refused),
    }
}

/// The attempts that the entries' counters show so far.
fn attempts(fleet: &Fleet) -> f64 {
    let sent = |entry: &mastichaven_node::entry::Entry| {
        let address = entry.operators_addr();
        let dump = minreq::get(format!("http://{address}/dump")).with_timeout(5).send().ok()?;
        let dump: serde_json::Value = serde_json::from_slice(dump.as_bytes()).ok()?;
        dump["counts"]["attempts.sent"].as_f64()
    };
    fleet.entries.values().filter_map(sent).sum()
}

fn start() -> Result<(Fleet, Config)> {
    let layout = Layout {
        entries: 2,
        plain_agents: 3,
        entry_settings: format!("notice_ms = {NOTICE_MS}\n"),
        ..Layout::default()
    };
    let fleet = Fleet::start(&layout)?;
    fleet.serve_model(MODEL_LEN, LIMIT)?;
    let manifest = fleet.origin.put(&random_weights(1, MODEL_LEN), CHUNK_LEN);
    let mut config = fleet.configuration(&manifest)?;
    for customer in config.customer.values_mut() {
        (customer.requests_per_second, customer.concurrent) = (1e6, 10_000);
    }
    fleet.publish(&config)?;
    // Far longer than a change takes to be in force everywhere.
    thread::sleep(Duration::from_secs(3));
    Ok((fleet, config))
}

type Known = Mutex<BTreeMap<HostName, (SocketAddr, SocketAddr)>>;

fn known(fleet: &Fleet) -> Known {
    let address = |(host, entry): (&HostName, &mastichaven_node::entry::Entry)| {
        (host.clone(), (entry.callers_addr(), entry.operators_addr()))
    };
    Mutex::new(fleet.entries.iter().map(address).collect())
}

/// Runs `change` while callers keep asking.
fn under_load<T>(
    fleet: &mut Fleet,
    change: impl FnOnce(&mut Fleet, &Known) -> Result<T>,
) -> Result<(T, Callers)> {
    let known = known(fleet);
    let callers = Callers::new();
    callers.look(&known);
    let result = thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| callers.ask_on());
        }
        scope.spawn(|| callers.balance(&known));
        let result = change(fleet, &known);
        callers.over.store(true, Ordering::Release);
        result
    })?;
    Ok((result, callers))
}

fn fell_over(fleet: &Fleet) -> u64 {
    fleet.engines.values().map(|engine| engine.counts().fell_over).sum()
}

fn begun_in(fleet: &Fleet, zone: &str) -> u64 {
    let of_zone = fleet.engines.iter().filter(|(host, _)| fleet.zone_of(host) == Some(zone));
    of_zone.map(|(_, engine)| engine.counts().begun).sum()
}

/// Takes a zone out and brings it back under load.
pub fn zone() -> Result<ZoneReport> {
    let (mut fleet, mut config) = start()?;
    let before = attempts(&fleet);
    let (times, callers) = under_load(&mut fleet, |fleet, _| {
        thread::sleep(Duration::from_secs(3));
        set_zone(fleet, &mut config, ZoneState::Out)?;
        let accepted = Instant::now();
        let (mut last, mut begun) = (0.0, begun_in(fleet, ZONE));
        while accepted.elapsed() < Duration::from_secs(6) {
            let now = begun_in(fleet, ZONE);
            if now != begun {
                (last, begun) = (accepted.elapsed().as_secs_f64(), now);
            }
            thread::sleep(Duration::from_millis(10));
        }
        set_zone(fleet, &mut config, ZoneState::In)?;
        let first = wait_until(LIMIT, || begun_in(fleet, ZONE) > begun);
        let first = first.ok_or("the zone got no work after its return")?;
        thread::sleep(Duration::from_secs(4));
        Ok((last, first.as_secs_f64()))
    })?;
    let sent = attempts(&fleet) - before;
    let report = ZoneReport {
        last_work_after: times.0,
        first_work_after: times.1,
        fell_over: fell_over(&fleet),
        callers: callers.seen(&fleet, Some(sent))?,
    };
    fleet.stop();
    Ok(report)
}

fn set_zone(fleet: &Fleet, config: &mut Config, state: ZoneState) -> Result<()> {
    config.zone.get_mut(&ZONE.into()).ok_or("no such zone")?.state = state;
    fleet.publish(config)
}

/// Restarts every entry and every agent in turn under load.
pub fn restart() -> Result<RestartReport> {
    let (mut fleet, _) = start()?;
    let hosts: Vec<HostName> = fleet.entries.keys().chain(fleet.agents.keys()).cloned().collect();
    let ((), callers) = under_load(&mut fleet, |fleet, known| {
        thread::sleep(Duration::from_secs(1));
        for host in &hosts {
            fleet.stop_host(host);
            fleet.start_host(host)?;
            fleet.publish_hosts();
            if let Some(entry) = fleet.entries.get(host) {
                let addresses = (entry.callers_addr(), entry.operators_addr());
                known.lock().expect("no holder panics").insert(host.clone(), addresses);
            }
            wait_until(LIMIT, || is_back(fleet, host)).ok_or(format!("{host} is not back"))?;
        }
        Ok(())
    })?;
    let report = RestartReport {
        restarted: hosts.len(),
        fell_over: fell_over(&fleet),
        callers: callers.seen(&fleet, None)?,
    };
    fleet.stop();
    Ok(report)
}

fn is_back(fleet: &Fleet, host: &HostName) -> bool {
    let entry = fleet.entries.get(host).map(|entry| entry.operators_addr());
    let agent = fleet.agents.get(host).map(|agent| agent.operators_addr());
    entry.or(agent).is_some_and(|operators| {
        let request = minreq::get(format!("http://{operators}/ready")).with_timeout(1);
        request.send().is_ok_and(|response| response.status_code == 200)
    })
}
