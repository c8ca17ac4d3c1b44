//! Compares entries and agents in front of stand-in engines with common load balancing policies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::admission::Admission;
use mastichaven_core::admission::Permit;
use mastichaven_core::admission::RequestEnd;
use mastichaven_core::ids::Digest;
use mastichaven_node::accepted_config;
use mastichaven_node::documents::Documents;
use mastichaven_node::http_store::HttpStore;
use mastichaven_standins::EngineProfile;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

mod caller;
mod entry_cost;

use caller::CallResult;
use caller::send_request;
pub use entry_cost::EntryCost;

const MODEL_BYTES: usize = 256 << 10;

/// Mean number of tokens of a response.
const MEAN_TOKENS: u64 = 16;

/// Maximum deviation of a response from the mean. If all responses had the same length, those that
/// started together would end together, and the capacity of all engines would become free in waves
/// that real load does not have.
const MAX_TOKENS_DEVIATION: u64 = 8;

/// Number of tokens of the response to request `n`.
fn response_tokens(n: u64) -> u64 {
    MEAN_TOKENS - MAX_TOKENS_DEVIATION
        + n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (2 * MAX_TOKENS_DEVIATION + 1)
}

/// API key of the small customer.
const SMALL_KEY: &str = "small-key";

/// Limits and timings of the engines. Small engines in four zones would give the same results.
const ENGINE_PROFILE: EngineProfile = EngineProfile {
    warm_limit: 8,
    cold_limit: 2,
    warm_after: 6,
    first_token: Duration::from_millis(60),
    per_block: Duration::from_millis(1),
    per_token: Duration::from_millis(10),
    cache_blocks: 512,
    checks_fence: true,
};

/// Timeout of one step, after which the experiment fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum attempts at one request under a baseline policy; its clients would make them.
const BASELINE_ATTEMPTS: usize = 3;

/// Delay of a baseline client after a refusal by admission control.
const BASELINE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(6);

/// Load balancing policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Requests go through entries and agents.
    Mastichaven,
    /// Each attempt goes to an engine drawn at random.
    Random,
    /// Attempts go to the engines in turn; each of three balancers has a position of its own.
    RoundRobin,
    /// Each attempt goes to the engine with the fewest requests in flight from the same one of
    /// three balancers.
    LeastOutstanding,
}

/// Protection of the engines against overload.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// Entries and agents with their own admission control.
    Mastichaven,
    /// No protection: clients make up to three attempts, and overloaded engines fail.
    None,
    /// At each engine the admission control that agents apply when nothing fails. A refused request
    /// is balanced again after `BASELINE_RETRY_DELAY` until its deadline.
    Admission,
}

/// Figures of one run at a fixed request rate.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    /// Load balancing policy of the run.
    pub policy: Policy,
    /// Protection of the engines in the run.
    pub guard: Guard,
    /// Mean rate of requests offered per second.
    pub offered_per_second: f64,
    /// Requests sent, without the retries of baseline clients.
    pub sent: u64,
    /// Requests with a complete response.
    pub whole: u64,
    /// Complete responses per second while requests were offered, without the first second.
    pub goodput_per_second: f64,
    /// Requests refused with outcome `not-run`.
    pub refused: u64,
    /// Requests that were not refused but got no complete response.
    pub failed: u64,
    /// Median, 95th and 99th percentile of the time to the first token in milliseconds. A request
    /// without a complete response counts with the deadline; a refused one is left out.
    pub first_token_ms: [f64; 3],
    /// Attempts that reached an engine per request that was not refused.
    pub attempts_per_request: f64,
    /// Times that an engine failed because its concurrency limit was exceeded.
    pub fell_over: u64,
}

/// Figures of all runs.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests per second that the engines can serve when all are warm.
    pub capacity_per_second: f64,
    /// Runs at 90% of the capacity with a tenth of the engines freshly started, one for each policy
    /// and guard; the first is the run through entries and agents.
    pub fresh: Vec<RunFigures>,
    /// p99 of the time to the first token through entries and agents, divided by that of the best
    /// baseline.
    pub p99_over_best_baseline: f64,
    /// Run at twice the capacity through entries and agents.
    pub overload: RunFigures,
    /// Goodput at twice the capacity, divided by the capacity.
    pub overload_goodput: f64,
    /// Run of the small customer without other load.
    pub small_alone: RunFigures,
    /// Run of the small customer while the large one offers twice the capacity.
    pub small_in_flood: RunFigures,
    /// p99 of the small customer during the flood, divided by its p99 alone.
    pub flood_ratio: f64,
    /// Latency and processor cost that the entry adds.
    pub entry_cost: EntryCost,
}

impl Report {
    /// Descriptions of the goals that were missed; empty if all were met.
    pub fn missed(&self) -> Vec<String> {
        let through_entries = &self.fresh[0];
        let checks = [
            (
                self.p99_over_best_baseline <= 0.67,
                "p99 of the first token is not a third below the best baseline",
            ),
            (
                through_entries.fell_over + self.overload.fell_over == 0,
                "the concurrency limit of an engine was exceeded",
            ),
            (self.overload_goodput >= 0.95, "goodput at twice the capacity is below 95%"),
            (
                self.flood_ratio <= 1.5,
                "the small customer's p99 in a flood is more than 1.5 times its p99 alone",
            ),
        ];
        checks.iter().filter(|(met, _)| !met).map(|(_, text)| (*text).to_owned()).collect()
    }
}

/// Runs the whole experiment; `seconds` is the length of each run at a fixed request rate.
pub fn run(seconds: u64) -> Result<Report> {
    let duration = Duration::from_secs(seconds);
    let zones = vec![("lagoa", "sul")];
    let layout =
        Layout { zones, entries: 3, engines: 12, profile: ENGINE_PROFILE, ..Layout::default() };
    let fleet = Fleet::start(&layout)?;
    fleet.serve_model(MODEL_BYTES, STEP_TIMEOUT)?;
    publish_customers(&fleet)?;
    let nominal_service = ENGINE_PROFILE.first_token
        + ENGINE_PROFILE.per_token * u32::try_from(MEAN_TOKENS).unwrap_or(0);
    let warm_limits = fleet.engines.len() as f64 * f64::from(ENGINE_PROFILE.warm_limit);
    let capacity = warm_limits / min_service_seconds(&fleet)?.max(nominal_service.as_secs_f64());

    let mut fresh = Vec::new();
    let baselines = [Policy::Random, Policy::RoundRobin, Policy::LeastOutstanding];
    let guarded = baselines.map(|policy| (policy, Guard::Admission));
    let unguarded = baselines.map(|policy| (policy, Guard::None));
    let through_entries = [(Policy::Mastichaven, Guard::Mastichaven)];
    for (policy, guard) in through_entries.into_iter().chain(guarded).chain(unguarded) {
        warm_up(&fleet)?;
        restart_tenth(&fleet)?;
        fresh.push(offer_requests(&fleet, policy, guard, capacity * 0.9, duration, CUSTOMER_KEY)?);
    }
    let best_p99 = fresh[1..].iter().map(|run| run.first_token_ms[2]).fold(f64::INFINITY, f64::min);
    let p99_over_best_baseline = fresh[0].first_token_ms[2] / best_p99;

    warm_up(&fleet)?;
    let overload = offer_requests(
        &fleet,
        Policy::Mastichaven,
        Guard::Mastichaven,
        capacity * 2.0,
        duration,
        CUSTOMER_KEY,
    )?;
    let overload_goodput = overload.goodput_per_second / capacity;

    warm_up(&fleet)?;
    let small_alone =
        offer_requests(&fleet, Policy::Mastichaven, Guard::Mastichaven, 10.0, duration, SMALL_KEY)?;
    let small_in_flood = std::thread::scope(|scope| {
        let flood = scope.spawn(|| {
            offer_requests(
                &fleet,
                Policy::Mastichaven,
                Guard::Mastichaven,
                capacity * 2.0,
                duration + Duration::from_secs(1),
                CUSTOMER_KEY,
            )
        });
        std::thread::sleep(Duration::from_millis(500));
        let small = offer_requests(
            &fleet,
            Policy::Mastichaven,
            Guard::Mastichaven,
            10.0,
            duration,
            SMALL_KEY,
        );
        let _ = flood.join();
        small
    })?;
    let flood_ratio = small_in_flood.first_token_ms[2] / small_alone.first_token_ms[2];
    std::thread::sleep(Duration::from_secs(1));
    let entry_cost = entry_cost::measure(&fleet)?;
    fleet.stop();
    Ok(Report {
        capacity_per_second: capacity,
        fresh,
        p99_over_best_baseline,
        overload,
        overload_goodput,
        small_alone,
        small_in_flood,
        flood_ratio,
        entry_cost,
    })
}

/// Raises the limits of the fleet's customer and adds a small customer with the same weight.
fn publish_customers(fleet: &Fleet) -> Result<()> {
    let store = HttpStore::new(fleet.platform.base());
    let documents = Documents::default();
    accepted_config::apply_latest(&store, &documents).map_err(|e| format!("{e:?}"))?;
    let mut config = Config::clone(&documents.in_force().config);
    let large = config.customer.get_mut(&"coop".into()).ok_or("no customer")?;
    large.requests_per_second = 1e6;
    large.concurrent = 1_000_000;
    let mut small = large.clone();
    small.key_digest = Digest::of(SMALL_KEY.as_bytes()).to_hex().into();
    config.customer.insert("small".into(), small);
    config.limits.queue_len = 512;
    fleet.publish(&config)?;
    let accepted = wait_until(STEP_TIMEOUT, || {
        (0..fleet.entries.len()).all(|n| {
            let result = send_one(fleet.callers_addr(n), SMALL_KEY);
            result.is_ok_and(|result| result.is_whole)
        })
    });
    accepted.map(drop).ok_or_else(|| "not every entry served the small customer in time".to_owned())
}

fn send_one(to: SocketAddr, key: &'static str) -> Result<CallResult> {
    let runtime = caller::runtime()?;
    Ok(runtime.block_on(send_request(to, key, 1, MEAN_TOKENS, DEADLINE)))
}

/// Returns the shortest of five times, in seconds, that one request takes on an idle fleet.
fn min_service_seconds(fleet: &Fleet) -> Result<f64> {
    let mut seconds: Vec<f64> = (0..5)
        .map(|n| {
            let started = Instant::now();
            send_one(fleet.callers_addr(n), CUSTOMER_KEY).map(|_| started.elapsed().as_secs_f64())
        })
        .collect::<Result<_>>()?;
    seconds.sort_by(f64::total_cmp);
    Ok(seconds[0])
}

/// Sends requests at the full warm concurrency until 90% of a round get a first token within three
/// times its nominal time, and for at least a second.
fn warm_up(fleet: &Fleet) -> Result<()> {
    let runtime = caller::runtime()?;
    let started = Instant::now();
    loop {
        let warm_limits = fleet.engines.len() as u32 * ENGINE_PROFILE.warm_limit;
        let addresses: Vec<SocketAddr> =
            (0..fleet.entries.len()).map(|n| fleet.callers_addr(n)).collect();
        let fast = runtime.block_on(async {
            let tasks: Vec<_> = (0..warm_limits as usize)
                .map(|n| {
                    tokio::spawn(send_request(
                        addresses[n % addresses.len()],
                        CUSTOMER_KEY,
                        n as u64,
                        MEAN_TOKENS,
                        DEADLINE,
                    ))
                })
                .collect();
            let mut fast = 0;
            for task in tasks {
                let result = task.await.unwrap_or_default();
                fast += u32::from(
                    result.is_whole && result.first_token < ENGINE_PROFILE.first_token * 3,
                );
            }
            fast
        });
        if fast >= warm_limits * 9 / 10 && started.elapsed() > Duration::from_secs(1) {
            return Ok(());
        }
        if started.elapsed() > STEP_TIMEOUT {
            return Err(format!(
                "engines are not warm: {fast} of {warm_limits} responses were fast"
            ));
        }
    }
}

/// Restarts a tenth of the engines and waits until they have loaded the model.
fn restart_tenth(fleet: &Fleet) -> Result<()> {
    let count = fleet.engines.len().div_ceil(10);
    let fresh: Vec<_> = fleet.engines.values().take(count).collect();
    fresh.iter().for_each(|engine| engine.crash());
    let loaded = || fresh.iter().all(|engine| engine.weights().is_some());
    wait_until(STEP_TIMEOUT, loaded)
        .map(drop)
        .ok_or_else(|| "a restarted engine did not load the model in time".to_owned())
}

/// Several balancers without entries and agents; each of them sees only the requests it sent.
struct Baseline {
    engines: Vec<SocketAddr>,
    balancers: Vec<Mutex<BalancerState>>,
    admissions: Option<Vec<Mutex<Admission>>>,
}

#[derive(Default)]
struct BalancerState {
    next: usize,
    outstanding: Vec<u32>,
}

impl Baseline {
    fn new(fleet: &Fleet, guard: Guard) -> Result<Baseline> {
        let address = |engine: &mastichaven_standins::Engine| {
            engine.base().trim_start_matches("http://").parse().map_err(|_| "no address".to_owned())
        };
        let engines: Vec<SocketAddr> =
            fleet.engines.values().map(address).collect::<Result<_>>()?;
        let new_balancer =
            || Mutex::new(BalancerState { next: 0, outstanding: vec![0; engines.len()] });
        let balancers = (0..fleet.entries.len()).map(|_| new_balancer()).collect();
        let admissions = (guard == Guard::Admission)
            .then(|| (0..engines.len()).map(|n| Mutex::new(admission(fleet, n))).collect());
        Ok(Baseline { engines, balancers, admissions })
    }

    /// Asks the admission control of an engine for a permit: `None` when it refuses, `Some(None)`
    /// when there is no admission control.
    fn try_acquire(&self, index: usize) -> Option<Option<Permit>> {
        let Some(admissions) = &self.admissions else {
            return Some(None);
        };
        let permit = admissions[index].lock().expect("no holder panics").try_acquire(1);
        permit.map(Some)
    }

    fn release(&self, index: usize, permit: Option<Permit>, result: &CallResult) {
        if let (Some(admissions), Some(permit)) = (&self.admissions, permit) {
            let end = if result.is_whole {
                RequestEnd::Complete(result.first_token)
            } else {
                RequestEnd::Aborted
            };
            admissions[index].lock().expect("no holder panics").release(permit, end);
        }
    }

    fn pick_engine(&self, policy: Policy, balancer: usize, rng: &mut ChaCha8Rng) -> usize {
        let mut state = self.balancers[balancer].lock().expect("no holder panics");
        let index = match policy {
            Policy::RoundRobin => {
                state.next += 1;
                state.next % self.engines.len()
            }
            Policy::LeastOutstanding => {
                let fewest = state.outstanding.iter().min().copied().unwrap_or(0);
                let candidates: Vec<usize> =
                    (0..self.engines.len()).filter(|n| state.outstanding[*n] == fewest).collect();
                candidates[rng.random_range(0..candidates.len())]
            }
            Policy::Random | Policy::Mastichaven => rng.random_range(0..self.engines.len()),
        };
        state.outstanding[index] += 1;
        index
    }

    fn record_end(&self, balancer: usize, index: usize) {
        self.balancers[balancer].lock().expect("no holder panics").outstanding[index] -= 1;
    }
}

async fn send_through_baseline(
    baseline: Arc<Baseline>,
    policy: Policy,
    n: u64,
    mut rng: ChaCha8Rng,
) -> CallResult {
    let balancer = n as usize % baseline.balancers.len();
    let started = Instant::now();
    let mut result = CallResult::default();
    let mut attempt = 0;
    while attempt < BASELINE_ATTEMPTS && started.elapsed() < DEADLINE {
        let index = baseline.pick_engine(policy, balancer, &mut rng);
        let Some(permit) = baseline.try_acquire(index) else {
            baseline.record_end(balancer, index);
            tokio::time::sleep(BASELINE_RETRY_DELAY).await;
            continue;
        };
        attempt += 1;
        result =
            send_request(baseline.engines[index], CUSTOMER_KEY, n, response_tokens(n), DEADLINE)
                .await;
        baseline.record_end(balancer, index);
        baseline.release(index, permit, &result);
        result.attempts = attempt as u32;
        if result.is_whole {
            result.first_token += started.elapsed().saturating_sub(result.took);
            break;
        }
    }
    result
}

/// Creates the admission control of engine `n`: cold for the tenth that was just restarted, warm
/// for the others.
fn admission(fleet: &Fleet, n: usize) -> Admission {
    let mut admission = Admission::cold(ENGINE_PROFILE.warm_limit);
    let is_warm = n >= fleet.engines.len().div_ceil(10);
    let first_token = RequestEnd::Complete(ENGINE_PROFILE.first_token);
    for _ in 0..if is_warm { 100 } else { 0 } {
        if let Some(permit) = admission.try_acquire(1) {
            admission.release(permit, first_token);
        }
    }
    admission
}

/// Offers requests with exponentially distributed gaps, `per_second` on average, for `duration`.
fn offer_requests(
    fleet: &Fleet,
    policy: Policy,
    guard: Guard,
    per_second: f64,
    duration: Duration,
    key: &'static str,
) -> Result<RunFigures> {
    let runtime = caller::runtime()?;
    let engine_counts = || -> (u64, u64) {
        let counts = fleet.engines.values().map(|engine| engine.counts());
        counts.fold((0, 0), |(fell_over, completed), c| {
            (fell_over + c.fell_over, completed + c.completed)
        })
    };
    let before = engine_counts();
    let entries: Vec<SocketAddr> =
        (0..fleet.entries.len()).map(|n| fleet.callers_addr(n)).collect();
    let baseline = Arc::new(Baseline::new(fleet, guard)?);
    let results = runtime.block_on(async {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let started = Instant::now();
        let mut at = Duration::ZERO;
        let mut tasks = Vec::new();
        let mut n = 0;
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
            at += Duration::from_secs_f64(gap);
            if at > duration {
                break;
            }
            tokio::time::sleep(at.saturating_sub(started.elapsed())).await;
            n += 1;
            tasks.push(match policy {
                Policy::Mastichaven => {
                    let entry = entries[rng.random_range(0..entries.len())];
                    tokio::spawn(send_request(entry, key, n, response_tokens(n), DEADLINE))
                }
                _ => {
                    let rng = ChaCha8Rng::seed_from_u64(n);
                    tokio::spawn(send_through_baseline(baseline.clone(), policy, n, rng))
                }
            });
        }
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await.unwrap_or_default());
        }
        (results, started)
    });
    let (results, started) = results;
    let mut figures =
        figures(policy, per_second, duration, started, &results, before, engine_counts())?;
    figures.guard = guard;
    Ok(figures)
}

fn figures(
    policy: Policy,
    per_second: f64,
    duration: Duration,
    started: Instant,
    results: &[CallResult],
    before: (u64, u64),
    after: (u64, u64),
) -> Result<RunFigures> {
    let mut first_token_us = hdrhistogram::Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for result in results.iter().filter(|result| !result.is_refused) {
        let first_token = if result.is_whole { result.first_token } else { DEADLINE };
        let _ = first_token_us.record(first_token.as_micros() as u64);
    }
    let complete: Vec<_> = results.iter().filter(|result| result.is_whole).collect();
    // Goodput excludes the first second, in which the load builds up, and responses after the end.
    let ramp_up = Duration::from_secs(1);
    let in_time = |result: &&&CallResult| {
        let at = result.ended.map_or(Duration::MAX, |at| at.saturating_duration_since(started));
        at >= ramp_up && at <= duration
    };
    let goodput =
        complete.iter().filter(in_time).count() as f64 / (duration - ramp_up).as_secs_f64();
    let refused = results.iter().filter(|result| result.is_refused).count() as u64;
    let baseline_attempts: u64 = results.iter().map(|a| u64::from(a.attempts)).sum();
    let attempts = match policy {
        Policy::Mastichaven => after.1 - before.1 + after.0 - before.0,
        _ => baseline_attempts,
    };
    let served = (results.len() as u64 - refused).max(1);
    Ok(RunFigures {
        policy,
        guard: Guard::None,
        offered_per_second: per_second,
        sent: results.len() as u64,
        whole: complete.len() as u64,
        goodput_per_second: goodput,
        refused,
        failed: results.len() as u64 - complete.len() as u64 - refused,
        first_token_ms: [0.5, 0.95, 0.99]
            .map(|q| first_token_us.value_at_quantile(q) as f64 / 1_000.0),
        attempts_per_request: attempts as f64 / served as f64,
        fell_over: after.0 - before.0,
    })
}
