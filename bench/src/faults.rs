//! Faults alone and in pairs against a whole fleet; the history of each run is checked.
//!
//! A run is one fleet that goes through many rounds. Each round lets callers work while one or two
//! faults come about, mends them, and waits until the fleet is whole again. The verdict comes from
//! the history alone; the waits only end runs that hang.

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
pub mod round;
pub mod table;
pub mod world;

use table::Pair;
use world::World;

use crate::fleet::Result;

/// One breach, with the round it happened in.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    /// The promise.
    pub promise: String,
    /// The round's faults and seed.
    pub round: String,
    /// What is wrong.
    pub detail: String,
    /// The events that tell how it came about.
    pub trace: Vec<String>,
}

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Rounds run.
    pub rounds: usize,
    /// Events recorded.
    pub events: usize,
    /// Calls sent.
    pub calls: usize,
    /// Seconds that each round took; no verdict comes from them.
    pub seconds: BTreeMap<String, f64>,
    /// Events examined for each promise.
    pub examined: BTreeMap<String, usize>,
    /// Broken promises.
    pub found: Vec<Found>,
    /// Rounds after which the fleet did not become whole; the run ends there.
    pub stuck: Vec<String>,
}

impl Report {
    /// Adds what another run came to.
    pub fn add(&mut self, other: Report) {
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

/// A run's report and history.
pub struct Run {
    /// What it came to.
    pub report: Report,
    /// All that was recorded.
    pub history: History,
}

/// Runs `pairs` one after the other in one fleet.
pub fn run(pairs: &[Pair], seed: u64) -> Result<Run> {
    let mut world = World::start()?;
    let mut report = Report::default();
    for (pair, seed) in pairs.iter().zip(seed..) {
        report.rounds += 1;
        let started = Instant::now();
        if let Err(why) = round::run(&mut world, *pair, seed) {
            report.stuck.push(format!("{pair:?} seed {seed}: {why}"));
            break;
        }
        report.seconds.insert(format!("{pair:?} {seed}"), started.elapsed().as_secs_f64());
    }
    let history = world.recorder.snapshot();
    report.judge(&history);
    Ok(Run { report, history })
}

impl Report {
    fn judge(&mut self, history: &History) {
        self.events = history.events().len();
        let is_call =
            |event: &&Event| matches!(event.step, Step::Invoke(mastichaven_proof::Op::Request(_)));
        self.calls = history.events().iter().filter(is_call).count();
        for verdict in check_all(history) {
            let promise = format!("{:?}", verdict.promise);
            *self.examined.entry(promise.clone()).or_default() += verdict.examined;
            for violation in verdict.violations {
                let round = round_at(history, violation.sequence);
                let promise = promise.clone();
                let trace = violation.trace(history).into_iter();
                let trace = trace.map(|event| format!("{event:?}")).collect();
                self.found.push(Found { promise, round, detail: violation.detail, trace });
            }
        }
    }
}

/// The round that an event belongs to.
fn round_at(history: &History, sequence: u64) -> String {
    let before = history.events().iter().take_while(|event| event.sequence <= sequence);
    let marks = before.filter_map(|event| match &event.step {
        Step::Seen(Observation::Injected(text)) => Some(text.to_string()),
        _ => None,
    });
    marks.last().unwrap_or_default()
}

/// `pairs` in an order that follows from `seed`, dealt out to `fleets`.
pub fn deal(mut pairs: Vec<Pair>, seed: u64, fleets: usize) -> Vec<Vec<Pair>> {
    pairs.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    let share = pairs.len().div_ceil(fleets.max(1)).max(1);
    pairs.chunks(share).map(<[Pair]>::to_vec).collect()
}

/// Runs the hands that were dealt, each in a fleet of its own, at the same time.
pub fn run_all(hands: &[Vec<Pair>], seed: u64) -> Result<Report> {
    let runs: Vec<Result<Run>> = std::thread::scope(|scope| {
        let running: Vec<_> = hands
            .iter()
            .enumerate()
            .map(|(n, hand)| scope.spawn(move || run(hand, seed + 1_000 * n as u64)))
            .collect();
        let join = |run: std::thread::ScopedJoinHandle<'_, Result<Run>>| {
            run.join().unwrap_or_else(|_| Err("a run panicked".to_owned()))
        };
        running.into_iter().map(join).collect()
    });
    let mut report = Report::default();
    for run in runs {
        report.add(run?.report);
    }
    Ok(report)
}

/// Whether each promise had something that could have broken it.
pub fn is_covered(report: &Report) -> bool {
    Promise::ALL.iter().all(|promise| {
        report.examined.get(&format!("{promise:?}")).is_some_and(|examined| *examined > 0)
    })
}
