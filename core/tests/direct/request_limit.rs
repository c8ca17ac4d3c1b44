use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::request_limit::LimitStatement;
use mastichaven_core::direct::request_limit::RequestLimit;
use mastichaven_core::direct::request_limit::Schedule;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Window over which an endpoint must not get more than one and a half times its limit and
/// [`LIMIT_SLACK`].
const LIMIT_WINDOW_MS: u64 = 4_000;
const LIMIT_SLACK: f64 = 5.0;

/// Number of entries that one without any count assumes.
const ASSUMED_ENTRIES: u32 = 400;

/// The agent's clock at the start of a simulation.
const CLOCK_MS: u64 = 5_000_000;

/// Seeds of each case.
const SEEDS: u64 = 3;

/// Length of a simulation, and its step.
const SIMULATION_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

fn now(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn statement(per_second: Option<f64>, ms: u64) -> LimitStatement {
    LimitStatement { per_second, at: now(ms) }
}

fn allowed(per_second: f64) -> usize {
    (per_second * LIMIT_WINDOW_MS as f64 / 1_000.0 * 1.5 + LIMIT_SLACK) as usize
}

/// An agent that sends its schedule to each entry.
#[derive(Clone, Copy, Debug)]
struct SimulatedAgent {
    /// Interval between two reports to an entry, and the longest time that one takes.
    report_interval_ms: u64,
    max_delay_ms: u64,
    /// Millisecond from which the agent sends nothing.
    lost_at_ms: u64,
}

const AGENT: SimulatedAgent =
    SimulatedAgent { report_interval_ms: 200, max_delay_ms: 60, lost_at_ms: u64::MAX };

/// Milliseconds at which entries that always have requests send to an endpoint. `counts` holds the
/// number of entries that each of them assumes without a schedule. One that assumes
/// [`ASSUMED_ENTRIES`] has just started and is not in the schedule.
fn simulate_sends(
    counts: &[u32],
    per_second: f64,
    agent: Option<SimulatedAgent>,
    seed: u64,
) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limits = vec![RequestLimit::default(); counts.len()];
    let scheduled = counts.iter().filter(|count| **count != ASSUMED_ENTRIES).count() as u32;
    for limit in &mut limits {
        limit.apply_own(statement(Some(per_second), 1));
    }
    let mut sent = Vec::new();
    for ms in (1..SIMULATION_MS).step_by(STEP_MS as usize) {
        for (n, limit) in limits.iter_mut().enumerate() {
            let is_reported = |agent: &SimulatedAgent| {
                ms < agent.lost_at_ms
                    && (ms + n as u64 * STEP_MS) % agent.report_interval_ms < STEP_MS
            };
            if let Some(agent) = agent.filter(is_reported).filter(|_| counts[n] != ASSUMED_ENTRIES)
            {
                let clock_ms =
                    CLOCK_MS + ms.saturating_sub(rng.random_range(0..agent.max_delay_ms));
                let schedule = Schedule { entries: scheduled, position: n as u32, clock_ms };
                limit.record_schedule(schedule, now(ms));
            }
            if limit.time_to_turn(counts[n], rng.random(), now(ms)).is_zero() {
                limit.record_sent(now(ms));
                sent.push(ms);
            }
        }
    }
    sent
}

fn peak(sent: &[u64]) -> usize {
    let in_window =
        |from: &u64| sent.iter().filter(|at| (*from..from + LIMIT_WINDOW_MS).contains(at)).count();
    sent.iter().map(in_window).max().unwrap_or(0)
}

// Entries that each keep to the whole limit send as many times too much as there are entries. Turns at random
// offsets add up to the limit on average, but those of many entries cluster.
#[test]
fn time_to_turn_holds_limit_for_any_entry_count() {
    for entries in [1, 2, 8, 45, 148, 381] {
        for per_second in [0.0, 0.3, 1.0, 2.2, 20.0, 150.0] {
            for seed in 0..SEEDS {
                let counts = vec![entries; entries as usize];
                let sent = simulate_sends(&counts, per_second, Some(AGENT), seed);
                let most = peak(&sent);
                assert!(
                    most <= allowed(per_second),
                    "{most} requests of {entries} entries in 4 s, limit {per_second}, seed {seed}"
                );
                let mean = sent.len() as f64 / (SIMULATION_MS as f64 / 1_000.0);
                assert!(
                    mean >= per_second * 0.6,
                    "{mean} a second of {entries} entries leave the endpoint idle, limit {per_second}"
                );
            }
        }
    }
}

// The endpoint's agent is not heard, or is lost after a while.
#[test]
fn time_to_turn_holds_limit_without_agent() {
    let lost = SimulatedAgent { lost_at_ms: SIMULATION_MS / 2, ..AGENT };
    for agent in [None, Some(lost)] {
        for entries in [1, 2, 8, 45, 148, 381] {
            for per_second in [0.0, 0.3, 1.0, 2.2, 20.0, 150.0] {
                for seed in 0..SEEDS {
                    let counts = vec![entries; entries as usize];
                    let most = peak(&simulate_sends(&counts, per_second, agent, seed));
                    assert!(
                        most <= allowed(per_second),
                        "{most} requests of {entries} entries in 4 s, limit {per_second}, \
                         {agent:?}, seed {seed}"
                    );
                }
            }
        }
    }
}

// Eight entries share a limit when two more start, which do not know how many there are yet.
#[test]
fn time_to_turn_holds_limit_beside_new_entries() {
    for agent in [None, Some(AGENT)] {
        for per_second in [1.0, 2.2, 20.0] {
            for seed in 0..SEEDS {
                let counts = [8, 8, 8, 8, 8, 8, 8, 8, ASSUMED_ENTRIES, ASSUMED_ENTRIES];
                let most = peak(&simulate_sends(&counts, per_second, agent, seed));
                assert!(
                    most <= allowed(per_second),
                    "{most} in 4 s, limit {per_second}, seed {seed}"
                );
            }
        }
    }
}

// Half of the entries lose contact to the others, and all keep the count that they had.
#[test]
fn time_to_turn_does_not_depend_on_contact() {
    let mut limit = RequestLimit::default();
    limit.apply_own(statement(Some(1.0), 0));
    assert_eq!(limit.time_to_turn(8, 0.5, now(0)), Duration::from_secs(8));
    assert_eq!(limit.time_to_turn(8, 0.1, now(1_000)), Duration::from_secs(7));
}

// The endpoint's agent lets each entry send in its own slots.
#[test]
fn time_to_turn_follows_recent_schedule() {
    let mut limit = RequestLimit::default();
    limit.apply_own(statement(Some(1.0), 0));
    let schedule = Schedule { entries: 8, position: 2, clock_ms: 0 };
    limit.record_schedule(schedule, now(0));
    assert_eq!(limit.time_to_turn(8, 0.5, now(500)), Duration::from_secs(2));
    limit.record_schedule(Schedule { clock_ms: 2_600, ..schedule }, now(2_600));
    assert!(limit.time_to_turn(8, 0.5, now(2_600)).is_zero());
    limit.record_sent(now(2_600));
    assert_eq!(limit.time_to_turn(8, 0.5, now(2_600)), Duration::from_millis(9_900));
    // A schedule that is over a second old no longer counts.
    assert_eq!(limit.time_to_turn(8, 0.5, now(4_000)), Duration::from_secs(8));
}

#[test]
fn time_to_turn_is_zero_without_limit() {
    let mut limit = RequestLimit::default();
    assert!(limit.time_to_turn(8, 0.9, now(0)).is_zero());
    limit.apply_own(statement(None, 10));
    assert!(limit.time_to_turn(8, 0.9, now(20)).is_zero());
    limit.apply_own(statement(Some(f64::MAX), 30));
    assert!(limit.time_to_turn(8, 0.9, now(40)).is_zero());
}

// Answers overtake each other: one to a request that was sent before the limit was named arrives
// after it and must not end it.
#[test]
fn answer_to_earlier_request_does_not_end_limit() {
    let mut limit = RequestLimit::default();
    assert!(limit.apply_own(LimitStatement::of_answer(Some(2.0), now(100), now(200))));
    assert!(!limit.apply_own(LimitStatement::of_answer(None, now(150), now(300))));
    assert_eq!(limit.per_second(), Some(2.0));
    assert!(limit.apply_own(LimitStatement::of_answer(None, now(250), now(400))));
    assert_eq!(limit.per_second(), None);
}

// An entry that has not been answered for long must not bring back a limit that has ended.
#[test]
fn latest_statement_holds_whoever_learned_it() {
    let mut limit = RequestLimit::default();
    assert!(limit.apply_relayed(statement(Some(1.5), 100)));
    assert_eq!(limit.per_second(), Some(1.5));
    assert!(limit.apply_own(statement(None, 200)));
    assert!(!limit.apply_relayed(statement(Some(1.5), 150)));
    assert_eq!(limit.per_second(), None);
    assert!(limit.apply_relayed(statement(Some(3.0), 300)));
    assert_eq!(limit.per_second(), Some(3.0));
}

#[test]
fn relayed_statements_are_not_sent_back() {
    let mut limit = RequestLimit::default();
    limit.apply_relayed(statement(Some(1.0), 100));
    assert_eq!(limit.to_relay(), None);
    limit.apply_own(statement(None, 200));
    assert_eq!(limit.to_relay(), Some(statement(None, 200)));
}

#[test]
fn endpoints_without_limit_are_not_relayed() {
    let mut limit = RequestLimit::default();
    limit.apply_own(statement(None, 200));
    assert_eq!(limit.to_relay(), None);
    limit.apply_own(statement(Some(1.0), 300));
    assert_eq!(limit.to_relay(), Some(statement(Some(1.0), 300)));
}
