//! Load: real entries and agents before stand-in engines, against the usual ways of balancing.

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

use caller::Answer;
use caller::ask;
pub use entry_cost::EntryCost;

/// Bytes of the model.
const MODEL_LEN: usize = 256 << 10;

/// Tokens of one answer, on average.
const TOKENS: u64 = 16;

/// How far answers differ from that. Were all equally long, those that began together would end
/// together, and the places of all engines would come free in waves that no real load has.
const SPREAD: u64 = 8;

/// Tokens of answer `n`.
fn tokens_of(n: u64) -> u64 {
    TOKENS - SPREAD + n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (2 * SPREAD + 1)
}

/// Key of the small customer.
const SMALL_KEY: &str = "small-key";

/// How the engines of this experiment behave: four zones' worth of small ones would do the same.
const PROFILE: EngineProfile = EngineProfile {
    warm_limit: 8,
    cold_limit: 2,
    warm_after: 6,
    first_token: Duration::from_millis(60),
    per_block: Duration::from_millis(1),
    per_token: Duration::from_millis(10),
    cache_blocks: 512,
    checks_fence: true,
};

/// How long a step may take before the experiment is given up.
const STEP_LIMIT: Duration = Duration::from_secs(30);

/// Attempts that a baseline makes for one request, as its clients would.
const BASELINE_ATTEMPTS: usize = 3;

/// Pause of a baseline's client after a refusal.
const BASELINE_PAUSE: Duration = Duration::from_millis(20);

/// What a caller waits at most.
const DEADLINE: Duration = Duration::from_secs(6);

/// How requests are balanced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Through entries and agents.
    Mastichaven,
    /// To an engine drawn at random.
    Random,
    /// To the engines in turn, each of three balancers for itself.
    RoundRobin,
    /// To the engine with the fewest requests in progress as one of three balancers sees it.
    LeastOutstanding,
}

/// What stands between balancers and engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// Entries and agents.
    Mastichaven,
    /// Nothing: three attempts, and engines fall over.
    None,
    /// The same admission at each engine that our agents have when all goes well; what it refuses
    /// is balanced again after `BASELINE_PAUSE` until the deadline.
    Admission,
}

/// Figures of one run of requests.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    /// How they were balanced.
    pub policy: Policy,
    /// What guarded the engines.
    pub guard: Guard,
    /// Requests offered a second.
    pub offered_per_second: f64,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers a second while requests were offered.
    pub goodput_per_second: f64,
    /// Requests refused with `not-run`.
    pub refused: u64,
    /// Requests that ended otherwise.
    pub failed: u64,
    /// First tokens: median, 95th and 99th percentile in milliseconds. A request without a whole
    /// answer counts with the deadline, unless it was refused.
    pub first_token_ms: [f64; 3],
    /// Attempts that reached an engine, a request.
    pub attempts_per_request: f64,
    /// Times that an engine was given more than it bears, and fell over.
    pub fell_over: u64,
}

/// All figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests a second that the engines bear when all are warm.
    pub capacity_per_second: f64,
    /// At 90% of the capacity with a tenth of the engines fresh.
    pub fresh: Vec<RunFigures>,
    /// p99 first token through the system, over that of the best baseline.
    pub p99_over_best_baseline: f64,
    /// At twice the capacity.
    pub overload: RunFigures,
    /// Goodput at twice the capacity, over the capacity.
    pub overload_goodput: f64,
    /// A small customer alone.
    pub small_alone: RunFigures,
    /// The small customer while a large one floods.
    pub small_in_flood: RunFigures,
    /// Its p99 in the flood over its p99 alone.
    pub flood_ratio: f64,
    /// What the entry itself costs.
    pub entry_cost: EntryCost,
}

impl Report {
    /// The goals that were missed.
    pub fn missed(&self) -> Vec<String> {
        let ours = &self.fresh[0];
        let checks = [
            (self.p99_over_best_baseline <= 0.67, "p99 first token is not a third below the best"),
            (ours.fell_over + self.overload.fell_over == 0, "an engine got more than it bears"),
            (self.overload_goodput >= 0.95, "goodput at twice the capacity is below 95%"),
            (self.flood_ratio <= 1.5, "the small customer's p99 in a flood is above 1.5 of alone"),
        ];
        checks.iter().filter(|(met, _)| !met).map(|(_, text)| (*text).to_owned()).collect()
    }
}

/// Runs it all; `seconds` is the length of each run of requests.
pub fn run(seconds: u64) -> Result<Report> {
    let span = Duration::from_secs(seconds);
    let zones = vec![("lagoa", "sul")];
    let layout = Layout { zones, entries: 3, engines: 12, profile: PROFILE, ..Layout::default() };
    let fleet = Fleet::start(&layout)?;
    fleet.serve_model(MODEL_LEN, STEP_LIMIT)?;
    publish_customers(&fleet)?;
    let service = PROFILE.first_token + PROFILE.per_token * u32::try_from(TOKENS).unwrap_or(0);
    let warm = fleet.engines.len() as f64 * f64::from(PROFILE.warm_limit);
    let capacity = warm / measured_service(&fleet)?.max(service.as_secs_f64());

    let mut fresh = Vec::new();
    let baselines = [Policy::Random, Policy::RoundRobin, Policy::LeastOutstanding];
    let guarded = baselines.map(|policy| (policy, Guard::Admission));
    let bare = baselines.map(|policy| (policy, Guard::None));
    let ours = [(Policy::Mastichaven, Guard::Mastichaven)];
    for (policy, guard) in ours.into_iter().chain(guarded).chain(bare) {
        warm_up(&fleet)?;
        make_fresh(&fleet)?;
        fresh.push(offer(&fleet, policy, guard, capacity * 0.9, span, CUSTOMER_KEY)?);
    }
    let best = fresh[1..].iter().map(|run| run.first_token_ms[2]).fold(f64::INFINITY, f64::min);
    let p99_over_best_baseline = fresh[0].first_token_ms[2] / best;

    warm_up(&fleet)?;
    let overload =
        offer(&fleet, Policy::Mastichaven, Guard::Mastichaven, capacity * 2.0, span, CUSTOMER_KEY)?;
    let overload_goodput = overload.goodput_per_second / capacity;

    warm_up(&fleet)?;
    let small_alone =
        offer(&fleet, Policy::Mastichaven, Guard::Mastichaven, 10.0, span, SMALL_KEY)?;
    let small_in_flood = std::thread::scope(|scope| {
        let flood = scope.spawn(|| {
            offer(
                &fleet,
                Policy::Mastichaven,
                Guard::Mastichaven,
                capacity * 2.0,
                span + Duration::from_secs(1),
                CUSTOMER_KEY,
            )
        });
        std::thread::sleep(Duration::from_millis(500));
        let small = offer(&fleet, Policy::Mastichaven, Guard::Mastichaven, 10.0, span, SMALL_KEY);
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

/// Gives the fleet's customer all it may ask for, and adds a small one of the same weight.
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
    let known = wait_until(STEP_LIMIT, || {
        (0..fleet.entries.len()).all(|n| {
            let answer = call_unary(fleet.callers_addr(n), SMALL_KEY);
            answer.is_ok_and(|answer| answer.is_whole)
        })
    });
    known.map(drop).ok_or_else(|| "the small customer is not known in time".to_owned())
}

fn call_unary(to: SocketAddr, key: &'static str) -> Result<Answer> {
    let runtime = caller::runtime()?;
    Ok(runtime.block_on(ask(to, key, 1, TOKENS, DEADLINE)))
}

/// Seconds that one request takes an idle engine.
fn measured_service(fleet: &Fleet) -> Result<f64> {
    let mut seconds: Vec<f64> = (0..5)
        .map(|n| {
            let begun = Instant::now();
            call_unary(fleet.callers_addr(n), CUSTOMER_KEY).map(|_| begun.elapsed().as_secs_f64())
        })
        .collect::<Result<_>>()?;
    seconds.sort_by(f64::total_cmp);
    Ok(seconds[0])
}

/// Sends work until every engine has been seen with all that a warm one bears.
fn warm_up(fleet: &Fleet) -> Result<()> {
    let runtime = caller::runtime()?;
    let begun = Instant::now();
    loop {
        let full = fleet.engines.len() as u32 * PROFILE.warm_limit;
        let addresses: Vec<SocketAddr> =
            (0..fleet.entries.len()).map(|n| fleet.callers_addr(n)).collect();
        let whole = runtime.block_on(async {
            let tasks: Vec<_> = (0..full as usize)
                .map(|n| {
                    tokio::spawn(ask(
                        addresses[n % addresses.len()],
                        CUSTOMER_KEY,
                        n as u64,
                        TOKENS,
                        DEADLINE,
                    ))
                })
                .collect();
            let mut fast = 0;
            for task in tasks {
                let answer = task.await.unwrap_or_default();
                fast += u32::from(answer.is_whole && answer.first_token < PROFILE.first_token * 3);
            }
            fast
        });
        if whole >= full * 9 / 10 && begun.elapsed() > Duration::from_secs(1) {
            return Ok(());
        }
        if begun.elapsed() > STEP_LIMIT {
            return Err(format!("the engines are not warm: {whole} of {full}"));
        }
    }
}

/// Starts a tenth of the engines again, and waits until they have the model.
fn make_fresh(fleet: &Fleet) -> Result<()> {
    let count = fleet.engines.len().div_ceil(10);
    let fresh: Vec<_> = fleet.engines.values().take(count).collect();
    fresh.iter().for_each(|engine| engine.crash());
    let loaded = || fresh.iter().all(|engine| engine.weights().is_some());
    wait_until(STEP_LIMIT, loaded).map(drop).ok_or_else(|| "a fresh engine did not load".to_owned())
}

/// Balancers outside the system; each of several sees only what it sent itself.
struct Baseline {
    engines: Vec<SocketAddr>,
    views: Vec<Mutex<View>>,
    places: Option<Vec<Mutex<Admission>>>,
}

#[derive(Default)]
struct View {
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
        let view = || Mutex::new(View { next: 0, outstanding: vec![0; engines.len()] });
        let views = (0..fleet.entries.len()).map(|_| view()).collect();
        let places = (guard == Guard::Admission)
            .then(|| (0..engines.len()).map(|n| Mutex::new(admission(fleet, n))).collect());
        Ok(Baseline { engines, views, places })
    }

    /// A place at an engine: `None` when it is refused.
    fn enter(&self, index: usize) -> Option<Option<Permit>> {
        let Some(places) = &self.places else {
            return Some(None);
        };
        let place = places[index].lock().expect("no holder panics").try_acquire(1);
        place.map(Some)
    }

    fn leave(&self, index: usize, place: Option<Permit>, answer: &Answer) {
        if let (Some(places), Some(place)) = (&self.places, place) {
            let left = if answer.is_whole {
                RequestEnd::Complete(answer.first_token)
            } else {
                RequestEnd::Aborted
            };
            places[index].lock().expect("no holder panics").release(place, left);
        }
    }

    fn choose(&self, policy: Policy, balancer: usize, rng: &mut ChaCha8Rng) -> usize {
        let mut view = self.views[balancer].lock().expect("no holder panics");
        let index = match policy {
            Policy::RoundRobin => {
                view.next += 1;
                view.next % self.engines.len()
            }
            Policy::LeastOutstanding => {
                let least = view.outstanding.iter().min().copied().unwrap_or(0);
                let open: Vec<usize> =
                    (0..self.engines.len()).filter(|n| view.outstanding[*n] == least).collect();
                open[rng.random_range(0..open.len())]
            }
            Policy::Random | Policy::Mastichaven => rng.random_range(0..self.engines.len()),
        };
        view.outstanding[index] += 1;
        index
    }

    fn ended(&self, balancer: usize, index: usize) {
        self.views[balancer].lock().expect("no holder panics").outstanding[index] -= 1;
    }
}

async fn ask_baseline(
    baseline: Arc<Baseline>,
    policy: Policy,
    n: u64,
    mut rng: ChaCha8Rng,
) -> Answer {
    let balancer = n as usize % baseline.views.len();
    let begun = Instant::now();
    let mut answer = Answer::default();
    let mut attempt = 0;
    while attempt < BASELINE_ATTEMPTS && begun.elapsed() < DEADLINE {
        let index = baseline.choose(policy, balancer, &mut rng);
        let Some(place) = baseline.enter(index) else {
            baseline.ended(balancer, index);
            tokio::time::sleep(BASELINE_PAUSE).await;
            continue;
        };
        attempt += 1;
        answer = ask(baseline.engines[index], CUSTOMER_KEY, n, tokens_of(n), DEADLINE).await;
        baseline.ended(balancer, index);
        baseline.leave(index, place, &answer);
        answer.attempts = attempt as u32;
        if answer.is_whole {
            answer.first_token += begun.elapsed().saturating_sub(answer.took);
            break;
        }
    }
    answer
}

/// Admission of engine `n`: the tenth that was just started is cold, the others are warm.
fn admission(fleet: &Fleet, n: usize) -> Admission {
    let mut admission = Admission::cold(PROFILE.warm_limit);
    let is_warm = n >= fleet.engines.len().div_ceil(10);
    let first_token = RequestEnd::Complete(PROFILE.first_token);
    for _ in 0..if is_warm { 100 } else { 0 } {
        if let Some(place) = admission.try_acquire(1) {
            admission.release(place, first_token);
        }
    }
    admission
}

/// Offers requests at random times, `per_second` on average, for as long as `span`.
fn offer(
    fleet: &Fleet,
    policy: Policy,
    guard: Guard,
    per_second: f64,
    span: Duration,
    key: &'static str,
) -> Result<RunFigures> {
    let runtime = caller::runtime()?;
    let counts = || -> (u64, u64) {
        let all = fleet.engines.values().map(|engine| engine.counts());
        all.fold((0, 0), |(fell, done), c| (fell + c.fell_over, done + c.completed))
    };
    let before = counts();
    let entries: Vec<SocketAddr> =
        (0..fleet.entries.len()).map(|n| fleet.callers_addr(n)).collect();
    let baseline = Arc::new(Baseline::new(fleet, guard)?);
    let answers = runtime.block_on(async {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let begun = Instant::now();
        let mut at = Duration::ZERO;
        let mut tasks = Vec::new();
        let mut n = 0;
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
            at += Duration::from_secs_f64(gap);
            if at > span {
                break;
            }
            tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
            n += 1;
            tasks.push(match policy {
                Policy::Mastichaven => {
                    let entry = entries[rng.random_range(0..entries.len())];
                    tokio::spawn(ask(entry, key, n, tokens_of(n), DEADLINE))
                }
                _ => {
                    let rng = ChaCha8Rng::seed_from_u64(n);
                    tokio::spawn(ask_baseline(baseline.clone(), policy, n, rng))
                }
            });
        }
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await.unwrap_or_default());
        }
        (answers, begun)
    });
    let (answers, begun) = answers;
    let mut figures = figures(policy, per_second, span, begun, &answers, before, counts())?;
    figures.guard = guard;
    Ok(figures)
}

fn figures(
    policy: Policy,
    per_second: f64,
    span: Duration,
    begun: Instant,
    answers: &[Answer],
    before: (u64, u64),
    after: (u64, u64),
) -> Result<RunFigures> {
    let mut millis = hdrhistogram::Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for answer in answers.iter().filter(|answer| !answer.is_refused) {
        let first = if answer.is_whole { answer.first_token } else { DEADLINE };
        let _ = millis.record(first.as_micros() as u64);
    }
    let whole: Vec<_> = answers.iter().filter(|answer| answer.is_whole).collect();
    // The first second fills the pipe and answers after the end are not goodput.
    let settled = Duration::from_secs(1);
    let in_time = |answer: &&&Answer| {
        let at = answer.ended.map_or(Duration::MAX, |at| at.saturating_duration_since(begun));
        at >= settled && at <= span
    };
    let goodput = whole.iter().filter(in_time).count() as f64 / (span - settled).as_secs_f64();
    let refused = answers.iter().filter(|answer| answer.is_refused).count() as u64;
    let baseline_attempts: u64 = answers.iter().map(|a| u64::from(a.attempts)).sum();
    let attempts = match policy {
        Policy::Mastichaven => after.1 - before.1 + after.0 - before.0,
        _ => baseline_attempts,
    };
    let served = (answers.len() as u64 - refused).max(1);
    Ok(RunFigures {
        policy,
        guard: Guard::None,
        offered_per_second: per_second,
        sent: answers.len() as u64,
        whole: whole.len() as u64,
        goodput_per_second: goodput,
        refused,
        failed: answers.len() as u64 - whole.len() as u64 - refused,
        first_token_ms: [0.5, 0.95, 0.99].map(|q| millis.value_at_quantile(q) as f64 / 1_000.0),
        attempts_per_request: attempts as f64 / served as f64,
        fell_over: after.0 - before.0,
    })
}
