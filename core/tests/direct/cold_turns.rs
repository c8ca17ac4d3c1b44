use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::cold_turns::ColdTurns;
use mastichaven_core::direct::request_limit::Schedule;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Interval at which entries that always have a request try to send it, in milliseconds.
const TRY_INTERVAL_MS: u64 = 10;

/// Interval at which the agent sends its schedule, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 20_000;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

/// Requests that a cold endpoint bears in one second by the rule for cold endpoints.
fn bearable(per_second: f64) -> usize {
    (per_second * 1.5 + 5.0) as usize
}

/// Times in milliseconds at which `readers` of `entries` send to a cold endpoint whose agent starts anew at each of
/// `agent_starts_ms`. `hears` tells whether an entry gets the schedule sent at a time.
fn sends(
    per_second: f64,
    (readers, entries): (u32, u32),
    agent_starts_ms: &[u64],
    seed: u64,
    hears: impl Fn(u32, u64) -> bool,
) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut turns = vec![ColdTurns::default(); readers as usize];
    let mut sent = Vec::new();
    for ms in (0..RUN_MS).step_by(TRY_INTERVAL_MS as usize) {
        for (n, turns) in turns.iter_mut().enumerate() {
            let n = n as u32;
            let started = agent_starts_ms.iter().rev().find(|started| **started <= ms);
            if let Some(started) = started.filter(|_| ms.is_multiple_of(REPORT_INTERVAL_MS))
                && hears(n, ms)
            {
                let schedule = Schedule { entries: readers, position: n, clock_ms: ms - started };
                turns.record_schedule(schedule, at(ms));
            }
            if turns.may_send(per_second, entries, rng.random(), at(ms)) {
                turns.record_sent(at(ms));
                sent.push(ms);
            }
        }
    }
    sent
}

fn most_in_a_second(sent: &[u64]) -> usize {
    let count_from =
        |from: &u64| sent.iter().filter(|ms| (*from..from + 1_000).contains(ms)).count();
    sent.iter().map(count_from).max().unwrap_or(0)
}

// Guards against a fleet that uses less than half of what cold endpoints bear after a loss of power.
#[test]
fn may_send_with_schedule_uses_most_of_the_rate() {
    for (per_second, readers, entries) in [(18.0, 24, 39), (26.0, 27, 44), (14.0, 200, 381)] {
        let sent = sends(per_second, (readers, entries), &[0], 7, |_, _| true);
        let rate = sent.len() as f64 / Duration::from_millis(RUN_MS).as_secs_f64();
        assert!(rate >= per_second * 0.7, "{rate} of {per_second}");
        assert!(most_in_a_second(&sent) <= bearable(per_second));
    }
}

// Guards against crashes of cold endpoints while some entries have no schedule, and while the agent restarts.
#[test]
fn may_send_with_lost_schedules_and_restarted_agents_stays_within_bound() {
    for seed in 0..20 {
        for (per_second, readers, entries) in [(18.0, 24, 39), (26.0, 27, 44), (14.0, 24, 38)] {
            let cut = |n: u32, ms: u64| !n.is_multiple_of(3) || !(4_000..9_000).contains(&ms);
            let agent_starts = [0, 6_030, 6_510, 12_000];
            let sent = sends(per_second, (readers, entries), &agent_starts, seed, cut);
            let most = most_in_a_second(&sent);
            assert!(most <= bearable(per_second), "seed {seed}: {most} at {per_second}");
        }
    }
}

// Guards against a schedule that is kept after its agent has fallen silent.
#[test]
fn may_send_with_outdated_schedule_takes_turns_of_all_entries() {
    let mut with_schedule = ColdTurns::default();
    with_schedule.record_schedule(Schedule { entries: 24, position: 3, clock_ms: 0 }, at(0));
    let mut without = ColdTurns::default();
    for ms in (1_100..6_000).step_by(20) {
        let sends = |turns: &mut ColdTurns| {
            let may_send = turns.may_send(18.0, 39, 0.5, at(ms));
            if may_send {
                turns.record_sent(at(ms));
            }
            may_send
        };
        assert_eq!(sends(&mut with_schedule), sends(&mut without), "{ms} ms");
    }
}
