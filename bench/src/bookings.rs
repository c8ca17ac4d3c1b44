//! Resends non-idempotent bookings under injected faults and checks the responses against the run
//! counts of the plain service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

/// Number of concurrent callers.
const CALLERS: usize = 24;

/// Deadline that a caller sends to the entry.
const DEADLINE_MS: u64 = 4_000;

/// Client timeout; shorter than [`DEADLINE_MS`], so that some callers disconnect while their
/// booking runs.
const CALL_TIMEOUT_SECONDS: u64 = 2;

/// Maximum number of requests for one keyed booking.
const MAX_SENDS: usize = 40;

const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Bookings whose number is a multiple of this have no idempotency key and are sent once.
const UNKEYED_INTERVAL: usize = 8;

/// Options of the experiment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of distinct bookings to send.
    pub bookings: usize,
    /// Seed of the faults and of the callers' random choices.
    pub seed: u64,
    /// Whether faults are injected.
    pub faults: bool,
}

/// Result of the experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Bookings with a final response.
    pub answered: usize,
    /// Bookings whose last response was `ran`.
    pub ran: usize,
    /// Bookings whose last response was `not-run`.
    pub not_run: usize,
    /// Bookings whose last response was `unknown`.
    pub unknown: usize,
    /// Bookings without a key that got no response, because their entry crashed.
    pub entry_died: usize,
    /// Requests sent for all bookings, resends included.
    pub sendings: usize,
    /// Faults injected.
    pub faults: usize,
    /// Bookings that ran more than once. Must be 0.
    pub ran_twice: usize,
    /// Bookings that ran although their last response was `not-run`. Must be 0.
    pub not_run_but_ran: usize,
    /// Bookings that did not run although their last response was `ran`. Must be 0.
    pub ran_but_did_not: usize,
    /// Bookings whose successful responses differ in their bodies. Must be 0.
    pub answers_differ: usize,
    /// Keyed bookings without any response after all resends. Must be 0.
    pub unanswered: usize,
    /// Platform reads per booking above the idle rate: those for claims in a run without faults,
    /// those of the whole fleet in a run with faults.
    pub platform_reads_per_booking: f64,
    /// Platform writes per booking above the idle rate.
    pub platform_writes_per_booking: f64,
    /// Median and 99th percentile of the response time in milliseconds. Requests without a response
    /// are left out.
    pub answer_ms: [f64; 2],
    /// Duration of the run in seconds.
    pub seconds: f64,
}

impl Report {
    /// Whether all counts that must be 0 are 0.
    pub fn is_clean(&self) -> bool {
        let violations = [
            self.ran_twice,
            self.not_run_but_ran,
            self.ran_but_did_not,
            self.answers_differ,
            self.unanswered,
        ];
        violations.iter().sum::<usize>() == 0
    }
}

/// Responses to the requests of one booking.
#[derive(Debug, Default)]
struct BookingResult {
    is_keyed: bool,
    sends: usize,
    last_outcome: Option<String>,
    /// Bodies of the responses with outcome `ran`.
    bodies: Vec<String>,
}

struct Experiment {
    fleet: RwLock<Fleet>,
    options: Options,
    next_booking: AtomicUsize,
    callers_done: AtomicBool,
    results: Mutex<HashMap<String, BookingResult>>,
    response_us: Mutex<hdrhistogram::Histogram<u64>>,
}

/// Sends all bookings and checks their responses.
pub fn run(options: Options) -> Result<Report> {
    let layout = Layout { entries: 2, engines: 0, plain_agents: 3, ..Layout::default() };
    let fleet = Fleet::start(&layout)?;
    fleet.publish(&configuration()?)?;
    let warm = wait_until(Duration::from_secs(20), || {
        fleet.entries.values().all(|entry| send(entry.callers_addr(), "warm", None).is_ok())
    });
    warm.ok_or("not every entry responded in time")?;
    let idle = idle_call_rates(&fleet);
    let before = fleet.platform.calls();
    let experiment = Experiment {
        fleet: RwLock::new(fleet),
        options,
        next_booking: AtomicUsize::new(0),
        callers_done: AtomicBool::new(false),
        results: Mutex::default(),
        response_us: Mutex::new(hdrhistogram::Histogram::new(3).map_err(|e| e.to_string())?),
    };
    let started = Instant::now();
    let faults = thread::scope(|scope| {
        let faults = scope.spawn(|| experiment.inject_faults());
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                scope.spawn({
                    let e = &experiment;
                    move || e.run_caller(n)
                })
            })
            .collect();
        for caller in callers {
            let _ = caller.join();
        }
        experiment.callers_done.store(true, Ordering::Release);
        faults.join().unwrap_or_default()
    });
    let mut report =
        Report { faults, seconds: started.elapsed().as_secs_f64(), ..Report::default() };
    let fleet = experiment.fleet.into_inner().map_err(|e| e.to_string())?;
    let calls = fleet.platform.calls();
    let per_booking = |after: u64, before: u64, idle: f64| {
        ((after - before) as f64 - idle * report.seconds).max(0.0) / options.bookings as f64
    };
    let reads = per_booking(calls.reads, before.reads, idle[0]);
    let writes = per_booking(calls.writes, before.writes, idle[1]);
    report.platform_reads_per_booking = reads;
    report.platform_writes_per_booking = writes;
    // A request whose caller disconnected may still be in flight at the service.
    thread::sleep(Duration::from_millis(500));
    let results = experiment.results.into_inner().map_err(|e| e.to_string())?;
    check_results(&mut report, &results, &fleet.plain.runs());
    let response_us = experiment.response_us.into_inner().map_err(|e| e.to_string())?;
    report.answer_ms = [0.5, 0.99].map(|q| response_us.value_at_quantile(q) as f64 / 1_000.0);
    fleet.stop();
    Ok(report)
}

/// Platform reads and writes per second of the fleet without any booking.
fn idle_call_rates(fleet: &Fleet) -> [f64; 2] {
    let (started, before) = (Instant::now(), fleet.platform.calls());
    thread::sleep(Duration::from_secs(1));
    let (after, seconds) = (fleet.platform.calls(), started.elapsed().as_secs_f64());
    [(after.reads - before.reads) as f64 / seconds, (after.writes - before.writes) as f64 / seconds]
}

fn check_results(
    report: &mut Report,
    results: &HashMap<String, BookingResult>,
    runs: &HashMap<String, u32>,
) {
    for (booking, result) in results {
        let runs = runs.get(booking).copied().unwrap_or(0);
        report.sendings += result.sends;
        report.ran_twice += usize::from(runs > 1);
        let differ = result.bodies.windows(2).any(|pair| pair[0] != pair[1]);
        report.answers_differ += usize::from(differ);
        match result.last_outcome.as_deref() {
            Some("ran") => {
                report.ran += 1;
                report.ran_but_did_not += usize::from(runs == 0);
            }
            Some("not-run") => {
                report.not_run += 1;
                report.not_run_but_ran += usize::from(runs > 0);
            }
            Some(_) => report.unknown += 1,
            None if result.is_keyed => report.unanswered += 1,
            None => report.entry_died += 1,
        }
        report.answered += usize::from(result.last_outcome.is_some());
    }
}

struct BookingResponse {
    outcome: String,
    status: u16,
    body: String,
}

fn send(to: SocketAddr, booking: &str, key: Option<&str>) -> Result<BookingResponse> {
    let mut request = minreq::post(format!("http://{to}/book"))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("mastichaven-deadline-ms", DEADLINE_MS.to_string())
        .with_body(booking)
        .with_timeout(CALL_TIMEOUT_SECONDS);
    if let Some(key) = key {
        request = request.with_header("idempotency-key", key);
    }
    let response = request.send().map_err(|e| e.to_string())?;
    let header = |name| response.header(name).unwrap_or_default();
    Ok(BookingResponse {
        outcome: header("mastichaven-outcome").to_owned(),
        status: response.status_code,
        body: response.as_str().map_err(|e| e.to_string())?.to_owned(),
    })
}

impl Experiment {
    fn run_caller(&self, caller: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.options.seed ^ (caller as u64 + 1));
        loop {
            let n = self.next_booking.fetch_add(1, Ordering::Relaxed);
            if n >= self.options.bookings {
                return;
            }
            let booking = format!("pen-{n}");
            let result = self.send_booking(&booking, !n.is_multiple_of(UNKEYED_INTERVAL), &mut rng);
            self.results.lock().expect("no holder of this lock panics").insert(booking, result);
        }
    }

    fn send_booking(&self, booking: &str, is_keyed: bool, rng: &mut ChaCha8Rng) -> BookingResult {
        let mut result = BookingResult { is_keyed, ..BookingResult::default() };
        // A resend after a final response checks that it gets the same response.
        let mut resend_after_success = is_keyed && rng.random_bool(0.1);
        while result.sends < MAX_SENDS {
            let to =
                self.fleet.read().expect("no holder panics").callers_addr(rng.random_range(0..64));
            let started = Instant::now();
            let response = send(to, booking, is_keyed.then_some(booking));
            result.sends += 1;
            if let Ok(response) = response {
                let micros = started.elapsed().as_micros() as u64;
                let _ = self.response_us.lock().expect("no holder panics").record(micros);
                let has_run = response.outcome == "ran" && response.status == 200;
                result.last_outcome = Some(response.outcome);
                if has_run {
                    result.bodies.push(response.body);
                    if !std::mem::take(&mut resend_after_success) {
                        return result;
                    }
                    continue;
                }
            }
            if !is_keyed {
                return result;
            }
            let is_abandoned = result.last_outcome.is_some() && rng.random_bool(0.1);
            if is_abandoned {
                return result;
            }
            thread::sleep(RESEND_DELAY);
        }
        result
    }

    /// Injects one fault after the other until the callers are done, then clears the platform
    /// faults. Returns the number of faults.
    fn inject_faults(&self) -> usize {
        let mut rng = ChaCha8Rng::seed_from_u64(self.options.seed);
        let mut faults = 0;
        while self.options.faults && !self.callers_done.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(rng.random_range(50..250)));
            self.inject_fault(&mut rng);
            faults += 1;
        }
        let fleet = self.fleet.read().expect("no holder panics");
        fleet.platform.set_faults(|faults| *faults = Default::default());
        faults
    }

    fn inject_fault(&self, rng: &mut ChaCha8Rng) {
        let outage = Duration::from_millis(rng.random_range(100..1_500));
        let read = || self.fleet.read().expect("no holder panics");
        match rng.random_range(0..8) {
            0 => read().plain.set_faults(|faults| faults.crash_before_run = 3),
            1 => read().plain.set_faults(|faults| faults.crash_after_run = 3),
            2 => read().plain.set_delay(Duration::from_millis(rng.random_range(0..40))),
            3 => read().platform.set_faults(|faults| faults.lose_answers = 5),
            4 => {
                read().platform.set_faults(|faults| faults.down = true);
                thread::sleep(outage);
                read().platform.set_faults(|faults| faults.down = false);
            }
            5 => {
                read().set_zone_partitioned("serra", true);
                thread::sleep(outage);
                read().set_zone_partitioned("serra", false);
            }
            6 => self.restart(&format!("agent-booking-{}", rng.random_range(0..3))),
            _ => {
                let zone = ["lagoa", "serra", "litoral"][rng.random_range(0..3)];
                self.restart(&format!("entry-{zone}-{}", rng.random_range(0..2)));
            }
        }
    }

    fn restart(&self, host: &str) {
        let host = HostName::new(host);
        let mut fleet = self.fleet.write().expect("no holder panics");
        fleet.crash_host(&host);
        if let Err(error) = fleet.start_host(&host) {
            eprintln!("cannot restart {host}: {error}");
        }
        fleet.publish_hosts();
    }
}

/// Three zones in two regions, one customer, and the plain service `booking` routed from `/book`.
pub fn configuration() -> Result<Config> {
    let text = format!(
        r#"
        [zone.lagoa]
        region = "sul"
        [zone.serra]
        region = "sul"
        [zone.litoral]
        region = "costa"
        [customer.coop]
        key_digest = "{key}"
        requests_per_second = 10000.0
        concurrent = 1000
        [service.booking]
        kind = "plain"
        concurrent = 16
        [route.booking]
        path = "/book"
        service = "booking"
        "#,
        key = Digest::of(CUSTOMER_KEY.as_bytes()).to_hex(),
    );
    toml::from_str(&text).map_err(|e| e.to_string())
}
