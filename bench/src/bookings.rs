//! Bookings that may not be repeated, sent again and again while everything fails. The plain
//! service's own count of runs is the judge.

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

/// Callers that book side by side.
const CALLERS: usize = 24;

/// Milliseconds a caller waits for an answer, as it tells the entry.
const DEADLINE_MS: u64 = 4_000;

/// Seconds after which a caller hangs up; short, so that some leave while their booking runs.
const HANG_UP_SECONDS: u64 = 2;

/// Sendings of one keyed booking at most.
const MAX_SENDINGS: usize = 40;

/// Pause before a booking is sent again.
const PAUSE: Duration = Duration::from_millis(100);

/// Every booking whose number divides by this is sent without a key, and once only.
const UNKEYED: usize = 8;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Bookings.
    pub bookings: usize,
    /// Seed of the faults and of the callers' choices.
    pub seed: u64,
    /// Whether anything fails.
    pub faults: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Bookings with a final answer.
    pub answered: usize,
    /// Bookings told `ran`.
    pub ran: usize,
    /// Bookings told `not-run` last.
    pub not_run: usize,
    /// Bookings told `unknown` last.
    pub unknown: usize,
    /// Bookings without a key whose entry died; nobody is left to answer them.
    pub entry_died: usize,
    /// Sendings of all bookings.
    pub sendings: usize,
    /// Faults induced.
    pub faults: usize,
    /// Bookings that ran more than once. Must be 0.
    pub ran_twice: usize,
    /// Bookings told `not-run` last that ran. Must be 0.
    pub not_run_but_ran: usize,
    /// Bookings told `ran` that did not. Must be 0.
    pub ran_but_did_not: usize,
    /// Bookings whose sendings got differing answers. Must be 0.
    pub answers_differ: usize,
    /// Keyed bookings without any answer after all sendings. Must be 0.
    pub unanswered: usize,
    /// Platform reads a booking for claims, without faults; with faults of the whole fleet.
    pub platform_reads_per_booking: f64,
    /// Platform writes a booking.
    pub platform_writes_per_booking: f64,
    /// Median and 99th percentile of a sending that was answered, in milliseconds.
    pub answer_ms: [f64; 2],
    /// Seconds it took.
    pub seconds: f64,
}

impl Report {
    /// Whether nothing broke a promise.
    pub fn is_clean(&self) -> bool {
        let broken = [
            self.ran_twice,
            self.not_run_but_ran,
            self.ran_but_did_not,
            self.answers_differ,
            self.unanswered,
        ];
        broken.iter().sum::<usize>() == 0
    }
}

/// What one booking was told.
#[derive(Debug, Default)]
struct Told {
    keyed: bool,
    sendings: usize,
    last: Option<String>,
    answers: Vec<String>,
}

struct Experiment {
    fleet: RwLock<Fleet>,
    plan: Plan,
    next: AtomicUsize,
    over: AtomicBool,
    told: Mutex<HashMap<String, Told>>,
    millis: Mutex<hdrhistogram::Histogram<u64>>,
}

/// Runs the bookings.
pub fn run(plan: Plan) -> Result<Report> {
    let layout = Layout { entries: 2, engines: 0, plain_agents: 3, ..Layout::default() };
    let fleet = Fleet::start(&layout)?;
    fleet.publish(&configuration()?)?;
    let warm = wait_until(Duration::from_secs(20), || {
        fleet.entries.values().all(|entry| send(entry.callers_addr(), "warm", None).is_ok())
    });
    warm.ok_or("no entry answers")?;
    let idle = idle_calls(&fleet);
    let before = fleet.platform.calls();
    let experiment = Experiment {
        fleet: RwLock::new(fleet),
        plan,
        next: AtomicUsize::new(0),
        over: AtomicBool::new(false),
        told: Mutex::default(),
        millis: Mutex::new(hdrhistogram::Histogram::new(3).map_err(|e| e.to_string())?),
    };
    let begun = Instant::now();
    let faults = thread::scope(|scope| {
        let faults = scope.spawn(|| experiment.break_things());
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                scope.spawn({
                    let e = &experiment;
                    move || e.call(n)
                })
            })
            .collect();
        for caller in callers {
            let _ = caller.join();
        }
        experiment.over.store(true, Ordering::Release);
        faults.join().unwrap_or_default()
    });
    let mut report = Report { faults, seconds: begun.elapsed().as_secs_f64(), ..Report::default() };
    let fleet = experiment.fleet.into_inner().map_err(|e| e.to_string())?;
    let calls = fleet.platform.calls();
    let per = |after: u64, before: u64, idle: f64| {
        ((after - before) as f64 - idle * report.seconds).max(0.0) / plan.bookings as f64
    };
    let reads = per(calls.reads, before.reads, idle[0]);
    let writes = per(calls.writes, before.writes, idle[1]);
    report.platform_reads_per_booking = reads;
    report.platform_writes_per_booking = writes;
    // A call that was cut off may still be under way at the service.
    thread::sleep(Duration::from_millis(500));
    let told = experiment.told.into_inner().map_err(|e| e.to_string())?;
    judge(&mut report, &told, &fleet.plain.runs());
    let millis = experiment.millis.into_inner().map_err(|e| e.to_string())?;
    report.answer_ms = [0.5, 0.99].map(|q| millis.value_at_quantile(q) as f64 / 1_000.0);
    fleet.stop();
    Ok(report)
}

/// Platform reads and writes a second that the fleet makes without any booking.
fn idle_calls(fleet: &Fleet) -> [f64; 2] {
    let (begun, before) = (Instant::now(), fleet.platform.calls());
    thread::sleep(Duration::from_secs(1));
    let (after, seconds) = (fleet.platform.calls(), begun.elapsed().as_secs_f64());
    [(after.reads - before.reads) as f64 / seconds, (after.writes - before.writes) as f64 / seconds]
}

fn judge(report: &mut Report, told: &HashMap<String, Told>, runs: &HashMap<String, u32>) {
    for (booking, told) in told {
        let runs = runs.get(booking).copied().unwrap_or(0);
        report.sendings += told.sendings;
        report.ran_twice += usize::from(runs > 1);
        let differ = told.answers.windows(2).any(|pair| pair[0] != pair[1]);
        report.answers_differ += usize::from(differ);
        match told.last.as_deref() {
            Some("ran") => {
                report.ran += 1;
                report.ran_but_did_not += usize::from(runs == 0);
            }
            Some("not-run") => {
                report.not_run += 1;
                report.not_run_but_ran += usize::from(runs > 0);
            }
            Some(_) => report.unknown += 1,
            None if told.keyed => report.unanswered += 1,
            None => report.entry_died += 1,
        }
        report.answered += usize::from(told.last.is_some());
    }
}

/// An answer to one sending.
struct Answered {
    outcome: String,
    status: u16,
    body: String,
}

fn send(to: SocketAddr, booking: &str, key: Option<&str>) -> Result<Answered> {
    let mut request = minreq::post(format!("http://{to}/book"))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("mastichaven-deadline-ms", DEADLINE_MS.to_string())
        .with_body(booking)
        .with_timeout(HANG_UP_SECONDS);
    if let Some(key) = key {
        request = request.with_header("idempotency-key", key);
    }
    let response = request.send().map_err(|e| e.to_string())?;
    let header = |name| response.header(name).unwrap_or_default();
    Ok(Answered {
        outcome: header("mastichaven-outcome").to_owned(),
        status: response.status_code,
        body: response.as_str().map_err(|e| e.to_string())?.to_owned(),
    })
}

impl Experiment {
    fn call(&self, caller: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed ^ (caller as u64 + 1));
        loop {
            let n = self.next.fetch_add(1, Ordering::Relaxed);
            if n >= self.plan.bookings {
                return;
            }
            let booking = format!("pen-{n}");
            let told = self.book(&booking, !n.is_multiple_of(UNKEYED), &mut rng);
            self.told.lock().expect("no holder of this lock panics").insert(booking, told);
        }
    }

    fn book(&self, booking: &str, keyed: bool, rng: &mut ChaCha8Rng) -> Told {
        let mut told = Told { keyed, ..Told::default() };
        // One more sending after a final answer shows that a resend gets the same one.
        let mut resend_after_answer = keyed && rng.random_bool(0.1);
        while told.sendings < MAX_SENDINGS {
            let to =
                self.fleet.read().expect("no holder panics").callers_addr(rng.random_range(0..64));
            let begun = Instant::now();
            let answered = send(to, booking, keyed.then_some(booking));
            told.sendings += 1;
            if let Ok(answered) = answered {
                let micros = begun.elapsed().as_micros() as u64;
                let _ = self.millis.lock().expect("no holder panics").record(micros);
                let is_ran = answered.outcome == "ran" && answered.status == 200;
                told.last = Some(answered.outcome);
                if is_ran {
                    told.answers.push(answered.body);
                    if !std::mem::take(&mut resend_after_answer) {
                        return told;
                    }
                    continue;
                }
            }
            if !keyed {
                return told;
            }
            let gives_up = told.last.is_some() && rng.random_bool(0.1);
            if gives_up {
                return told;
            }
            thread::sleep(PAUSE);
        }
        told
    }

    /// Breaks one thing after the other, and mends it, until the callers are done.
    fn break_things(&self) -> usize {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let mut faults = 0;
        while self.plan.faults && !self.over.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(rng.random_range(50..250)));
            self.break_one(&mut rng);
            faults += 1;
        }
        let fleet = self.fleet.read().expect("no holder panics");
        fleet.platform.set_faults(|faults| *faults = Default::default());
        faults
    }

    fn break_one(&self, rng: &mut ChaCha8Rng) {
        let pause = Duration::from_millis(rng.random_range(100..1_500));
        let read = || self.fleet.read().expect("no holder panics");
        match rng.random_range(0..8) {
            0 => read().plain.set_faults(|faults| faults.crash_before_run = 3),
            1 => read().plain.set_faults(|faults| faults.crash_after_run = 3),
            2 => read().plain.set_delay(Duration::from_millis(rng.random_range(0..40))),
            3 => read().platform.set_faults(|faults| faults.lose_answers = 5),
            4 => {
                read().platform.set_faults(|faults| faults.down = true);
                thread::sleep(pause);
                read().platform.set_faults(|faults| faults.down = false);
            }
            5 => {
                read().cut_from_platform("serra", true);
                thread::sleep(pause);
                read().cut_from_platform("serra", false);
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
            eprintln!("{host} does not start again: {error}");
        }
        fleet.list();
    }
}

/// The configuration that bookings run under.
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
