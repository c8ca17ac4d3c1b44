//! Fault injection against a whole fleet, with single faults and pairs of faults.
//!
//! A run takes one fleet through many rounds. Each round injects one or two faults while callers
//! send requests, removes the faults, and waits until the fleet has recovered. The verdict comes
//! from the recorded history alone; the timeouts only end runs that hang.

use std::collections::BTreeMap;
use std::time::Instant;

use mastichaven_proof::Event;
use mastichaven_proof::History;
use mastichaven_proof::Observation;
use mastichaven_proof::Promise;
use mastichaven_proof::Step;
use mastichaven_proof::check_all;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

pub mod caller;
pub mod command;
pub mod recorded_fleet;
pub mod round;
pub mod table;

use recorded_fleet::RecordedFleet;
use table::Pair;

use crate::fleet::Result;

/// A broken promise and the round in which it was broken.
#[derive(Clone, Debug, Serialize)]
pub struct FoundBreach {
    /// Name of the broken [`Promise`].
    pub promise: String,
    /// Faults and seed of the round, enough to run it again.
    pub round: String,
    /// The checker's description of the violation.
    pub detail: String,
    /// Events of the history that led to the breach, in order.
    pub trace: Vec<String>,
}

/// Result of one or more runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Rounds started, including one that got stuck.
    pub rounds: usize,
    /// Events in the recorded histories.
    pub events: usize,
    /// Requests that callers sent, including retries.
    pub calls: usize,
    /// Duration of each round in seconds, by its faults and seed; verdicts do not depend on it.
    pub seconds: BTreeMap<String, f64>,
    /// Number of events examined for each promise; 0 means that the promise was not exercised.
    pub examined: BTreeMap<String, usize>,
    /// Breaches of all promises.
    pub found: Vec<FoundBreach>,
    /// Rounds after which the fleet did not recover, with the reason; each one ended its run.
    pub stuck: Vec<String>,
}

impl Report {
    /// Adds the result of another run to this one.
    pub fn merge(&mut self, other: Report) {
        self.rounds += other.rounds;
        self.events += other.events;
        self.calls += other.calls;
        for (promise, examined) in other.examined {
            *self.examined.entry(promise).or_default() += examined;
        }
        self.seconds.extend(other.seconds);
        self.found.extend(other.found);
        self.stuck.extend(other.stuck);
    }
}

/// A run of one fleet.
pub struct Run {
    /// Result, with the verdicts on `history`.
    pub report: Report,
    /// Events recorded by callers, endpoints and operators.
    pub history: History,
}

/// Runs a round for each of `pairs` in one fleet, with seeds counted up from `seed`.
pub fn run(pairs: &[Pair], seed: u64) -> Result<Run> {
    let mut recorded = RecordedFleet::start()?;
    let mut report = Report::default();
    for (pair, seed) in pairs.iter().zip(seed..) {
        report.rounds += 1;
        let started = Instant::now();
        if let Err(error) = round::run(&mut recorded, *pair, seed) {
            report.stuck.push(format!("{pair:?} seed {seed}: {error}"));
            break;
        }
        report.seconds.insert(format!("{pair:?} {seed}"), started.elapsed().as_secs_f64());
    }
    let history = recorded.recorder.snapshot();
    report.check_history(&history);
    Ok(Run { report, history })
}

impl Report {
    fn check_history(&mut self, history: &History) {
        self.events = history.events().len();
        let is_request =
            |event: &&Event| matches!(event.step, Step::Invoke(mastichaven_proof::Op::Request(_)));
        self.calls = history.events().iter().filter(is_request).count();
        for verdict in check_all(history) {
            let promise = format!("{:?}", verdict.promise);
            *self.examined.entry(promise.clone()).or_default() += verdict.examined;
            for violation in verdict.violations {
                let round = round_label(history, violation.sequence);
                let promise = promise.clone();
                let trace = violation.trace(history).into_iter();
                let trace = trace.map(|event| format!("{event:?}")).collect();
                self.found.push(FoundBreach { promise, round, detail: violation.detail, trace });
            }
        }
    }
}

/// Returns the label of the round during which the event was recorded.
fn round_label(history: &History, sequence: u64) -> String {
    let before = history.events().iter().take_while(|event| event.sequence <= sequence);
    let labels = before.filter_map(|event| match &event.step {
        Step::Seen(Observation::Injected(text)) => Some(text.to_string()),
        _ => None,
    });
    labels.last().unwrap_or_default()
}

/// Shuffles `pairs` with `seed` and splits them into at most `fleets` shares.
pub fn split_pairs(mut pairs: Vec<Pair>, seed: u64, fleets: usize) -> Vec<Vec<Pair>> {
    pairs.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    let share = pairs.len().div_ceil(fleets.max(1)).max(1);
    pairs.chunks(share).map(<[Pair]>::to_vec).collect()
}

/// Runs each share in a fleet of its own, all at the same time, and merges their reports.
pub fn run_all(shares: &[Vec<Pair>], seed: u64) -> Result<Report> {
    let runs: Vec<Result<Run>> = std::thread::scope(|scope| {
        let running: Vec<_> = shares
            .iter()
            .enumerate()
            .map(|(n, share)| scope.spawn(move || run(share, seed + 1_000 * n as u64)))
            .collect();
        let join = |run: std::thread::ScopedJoinHandle<'_, Result<Run>>| {
            run.join().unwrap_or_else(|_| Err("a run panicked".to_owned()))
        };
        running.into_iter().map(join).collect()
    });
    let mut report = Report::default();
    for run in runs {
        report.merge(run?.report);
    }
    Ok(report)
}

/// Returns whether at least one event was examined for every promise.
pub fn covers_all_promises(report: &Report) -> bool {
    Promise::ALL.iter().all(|promise| {
        report.examined.get(&format!("{promise:?}")).is_some_and(|examined| *examined > 0)
    })
}
