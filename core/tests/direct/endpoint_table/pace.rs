//! Endpoints that are slower than usual for a while.

use std::collections::VecDeque;
use std::time::Duration;

use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::work::EngineRates;
use mastichaven_core::direct::work::RequestWork;
use mastichaven_core::direct::work::Work;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::DRAW;
use super::ROUND_TRIP;
use super::address;
use super::choose_with;
use super::choose_work;
use super::chosen_id;
use super::now;
use super::record;
use super::report;
use super::report_shared_by;
use super::rng;
use super::table;
use super::table_on;

const SLOW: f64 = 2.5;

fn table_with_loads(loads: &[u32]) -> EndpointTable {
    let mut table = table();
    for (n, running) in (1..).zip(loads) {
        table.upsert(record(n, "lagoa"), now(0));
        table.apply_report(address(n), &report(*running), now(0), ROUND_TRIP, DRAW, now(0));
    }
    table
}

// A request that begins on a slow engine sends its first event too late, although others have room.
#[test]
fn apply_pace_diverts_requests_unless_others_are_fuller() {
    let mut table = table_with_loads(&[3, 6]);
    assert_eq!(chosen_id(&mut table, now(1)), "i-1");
    table.apply_pace(address(1), 0, SLOW, now(2));
    assert_eq!(chosen_id(&mut table, now(3)), "i-2");
    assert!(table.has_avoided_slow());
    table.apply_report(address(2), &report(15), now(4), ROUND_TRIP, DRAW, now(4));
    assert_eq!(chosen_id(&mut table, now(5)), "i-1");
    assert!(!table.has_avoided_slow());
}

// With two random candidates among all, both may be slow although most engines are not.
#[test]
fn apply_pace_diverts_requests_from_most_of_the_fleet() {
    let mut table = table_with_loads(&[4; 10]);
    (1..=8).for_each(|n| table.apply_pace(address(n), 0, SLOW, now(1)));
    let mut rng = rng();
    for _ in 0..200 {
        let key = choose_with(&mut table, now(2), &mut rng).expect("an endpoint");
        assert!(table.pace(key, now(2)) < SLOW);
    }
}

// An agent falls silent while its engine is slow, or another process follows at its address. The pace must not keep
// requests away from then on.
#[test]
fn apply_pace_ages_out_and_holds_for_one_process() {
    let mut table = table_with_loads(&[3, 6]);
    table.apply_pace(address(1), 0, SLOW, now(10));
    table.apply_report(address(1), &report(3), now(300), ROUND_TRIP, DRAW, now(300));
    table.apply_report(address(2), &report(6), now(300), ROUND_TRIP, DRAW, now(300));
    assert_eq!(chosen_id(&mut table, now(500)), "i-2");
    assert_eq!(chosen_id(&mut table, now(511)), "i-1");
    let started = |started_ms| LoadReport { started_ms, ..report(3) };
    table.apply_report(address(1), &started(5), now(520), ROUND_TRIP, DRAW, now(520));
    let mut other = table_with_loads(&[]);
    let later = EndpointRecord { started_ms: 6, ..record(1, "lagoa") };
    other.upsert(later, now(0));
    other.apply_pace(address(1), 5, SLOW, now(1));
    let key = choose_with(&mut other, now(2), &mut rng()).expect("an endpoint");
    assert!((other.pace(key, now(2)) - 1.0).abs() < f64::EPSILON);
}

// A pace of 1, or one under it, must not change any decision.
#[test]
fn apply_pace_of_one_changes_no_choice() {
    let loads: Vec<u32> = (0..45).map(|n| n * 7 % 15).collect();
    let mut without = table_with_loads(&loads);
    let mut with = table_with_loads(&loads);
    for n in 1..=45 {
        with.apply_pace(address(n), 0, if n % 2 == 0 { 1.0 } else { 0.7 }, now(1));
    }
    let (mut rng_without, mut rng_with) = (rng(), rng());
    for ms in 1..300 {
        let chosen = choose_with(&mut without, now(ms), &mut rng_without);
        assert_eq!(chosen, choose_with(&mut with, now(ms), &mut rng_with));
        if let Ok(key) = chosen {
            without.record_sent(key, now(ms));
            with.record_sent(key, now(ms));
        }
    }
}

/// A table of eight endpoints of a plain service, each of which has answered thrice in `ratio` of the expected time,
/// the first one in `first_ratios`. Returns it with the key of the first one.
fn table_with_answers(ratio: f64, first_ratios: [f64; 3]) -> (EndpointTable, EndpointKey) {
    let mut table = table();
    let mut keys = Vec::new();
    for n in 1..=8 {
        let plain = EndpointRecord { is_engine: false, ..record(n, "lagoa") };
        table.upsert(plain, now(0));
        // The new one has the least load, so it is chosen whenever it is one of the two candidates.
        for other in 1..=n {
            let load = report(if other == n { 0 } else { 9 });
            table.apply_report(address(other), &load, now(0), ROUND_TRIP, DRAW, now(0));
        }
        let mut rng = rng();
        let is_new = |key: &EndpointKey| !keys.contains(key);
        let mut drawn = (0..200).map(|_| choose_with(&mut table, now(1), &mut rng));
        let key = drawn.find_map(|key| key.ok().filter(is_new)).expect("drawn soon");
        keys.push(key);
    }
    for (n, first_ratio) in first_ratios.into_iter().enumerate() {
        let at = now(10 * n as u64);
        keys[1..].iter().for_each(|key| table.record_answer_time(*key, ratio, at));
        table.record_answer_time(keys[0], first_ratio, at);
    }
    (table, keys[0])
}

// An endpoint without an agent is slow, or an agent reports no pace: only the entry's own answers show it.
#[test]
fn record_answer_time_shows_a_slow_endpoint_for_a_second() {
    let (mut table, slow) = table_with_answers(0.2, [0.7, 0.5, 0.6]);
    assert!((table.pace(slow, now(20)) - 2.5).abs() < 1e-9, "the lowest over the median");
    assert!(table.is_pace_in_force(now(20)));
    assert!((table.pace(slow, now(1_021)) - 1.0).abs() < f64::EPSILON, "it has aged out");
    table.record_answer_time(slow, 0.2, now(30));
    assert!((table.pace(slow, now(30)) - 1.0).abs() < f64::EPSILON, "an answer came in time");
}

// A later report of the engine's agent is right about a period that has ended, and an answer that began before a slow
// period says nothing about it.
#[test]
fn record_answer_time_yields_to_reports() {
    let (mut table, slow) = table_with_answers(0.2, [0.7, 0.5, 0.6]);
    let address = table.get(slow).expect("listed").address;
    table.apply_pace(address, 0, 1.0, now(40));
    assert!((table.pace(slow, now(40)) - 1.0).abs() < f64::EPSILON);
    table.apply_pace(address, 0, SLOW, now(50));
    table.record_answer_time(slow, 0.2, now(51));
    assert!((table.pace(slow, now(51)) - SLOW).abs() < f64::EPSILON);
}

// All endpoints are late under overload, or a single answer is: none of them is slower than the others, and requests
// must be spread as before.
#[test]
fn record_answer_time_ignores_common_and_single_delays() {
    for (ratio, first_ratios) in [(3.0, [3.5, 3.1, 4.0]), (0.2, [0.2, 5.0, 5.0])] {
        let (table, key) = table_with_answers(ratio, first_ratios);
        assert!((table.pace(key, now(20)) - 1.0).abs() < f64::EPSILON);
        assert!(!table.is_pace_in_force(now(20)));
    }
}

const RATES: EngineRates = EngineRates {
    step_ms: 8.0,
    per_seq_ms: 0.5,
    context_per_k: 0.2,
    read_per_s: 10_000.0,
    pairs_per_m: 2.0,
    chunk: 512,
    stride: 4,
    usual: Work { prompt: 500, answer: 80 },
};

fn work(prompt: u32, in_time_until_ms: u64) -> Option<RequestWork> {
    let work = Work::expected(prompt, 0, None, RATES.usual);
    Some(RequestWork { rates: RATES, work, in_time_until: now(in_time_until_ms) })
}

/// A table with `loads` in which another engine, which is full, is slow.
fn table_with_pace_in_force(loads: &[u32]) -> EndpointTable {
    let mut table = table_with_loads(loads);
    let full = LoadReport { is_accepting: false, ..report(0) };
    table.upsert(record(99, "lagoa"), now(0));
    table.apply_report(address(99), &full, now(0), ROUND_TRIP, DRAW, now(0));
    table.apply_pace(address(99), 0, SLOW, now(0));
    table
}

// Two long prompts at one engine delay the first event of each other and of all requests beside them.
#[test]
fn choose_keeps_long_prompts_apart() {
    let mut table = table_with_pace_in_force(&[2, 9]);
    let mut rng = rng();
    let mut choose = |table: &mut EndpointTable, prompt, ms| {
        let key = choose_work(table, false, work(prompt, ms + 2_000), now(ms), &mut rng);
        let key = key.expect("an endpoint");
        (key, table.get(key).expect("listed").id.to_string())
    };
    let (key, id) = choose(&mut table, 3_900, 1);
    assert_eq!(id, "i-1");
    table.record_work_sent(key, work(3_900, 2_000), now(1));
    assert_eq!(choose(&mut table, 3_900, 10).1, "i-2");
    assert_eq!(choose(&mut table, 3_900, 390).1, "i-2");
    let full = LoadReport { is_accepting: false, ..report(0) };
    table.apply_report(address(2), &full, now(391), ROUND_TRIP, DRAW, now(391));
    assert_eq!(choose(&mut table, 3_900, 392).1, "i-1", "no other has room");
}

// The engine with the better score is somewhat slower, so that the first event of a long prompt comes after the
// objective there.
#[test]
fn choose_avoids_late_first_event() {
    let mut table = table_with_pace_in_force(&[3, 9]);
    table.apply_pace(address(1), 0, 1.4, now(0));
    let mut rng = rng();
    let mut choose = |prompt, objective_ms| {
        let work = work(prompt, objective_ms);
        let key = choose_work(&mut table, false, work, now(1), &mut rng).expect("an endpoint");
        table.get(key).expect("listed").id.to_string()
    };
    assert_eq!(choose(3_900, 2_000), "i-1");
    assert_eq!(choose(3_900, 620), "i-2");
    assert_eq!(choose(3_900, 100), "i-1", "late at both");
    assert_eq!(choose(500, 620), "i-1");
}

// Prompts of different lengths must not change decisions where no engine is slow.
#[test]
fn work_changes_no_choice_without_slow_endpoints() {
    let loads: Vec<u32> = (0..45).map(|n| n * 7 % 15).collect();
    let (mut without, mut with) = (table_with_loads(&loads), table_with_loads(&loads));
    // While one is slow, equal prompts must change none either.
    let (mut slow_without, mut slow_with) =
        (table_with_pace_in_force(&loads), table_with_pace_in_force(&loads));
    let mut rngs = [rng(), rng(), rng(), rng()];
    for ms in 1..300 {
        let length = 50 + (ms as u32 * 37) % 3_900;
        let long = work(length, ms + 400);
        let usual = work(500, ms + 5_000);
        let [a, b, c, d] = &mut rngs;
        let chosen = choose_work(&mut without, false, None, now(ms), a);
        assert_eq!(chosen, choose_work(&mut with, false, long, now(ms), b));
        let beside_slow = choose_work(&mut slow_without, false, None, now(ms), c);
        assert_eq!(beside_slow, choose_work(&mut slow_with, false, usual, now(ms), d));
        if let (Ok(key), Ok(beside_slow)) = (chosen, beside_slow) {
            without.record_sent(key, now(ms));
            with.record_work_sent(key, long, now(ms));
            slow_without.record_sent(beside_slow, now(ms));
            slow_with.record_work_sent(beside_slow, usual, now(ms));
        }
    }
}

/// Deployment B: engines that are 2.5 times slower in 15 of 100 periods of 600 ms, and entries whose reports are 50 to
/// 200 ms old.
struct Fleet {
    rng: ChaCha8Rng,
    entries: Vec<EndpointTable>,
    /// Offset of the first slow period of each engine.
    offsets: Vec<u64>,
    /// Work that remains of each request of an engine in milliseconds, with its entry and key.
    engines: Vec<Vec<(f64, usize, EndpointKey)>>,
    /// Loads and paces of the last steps.
    history: VecDeque<Vec<(u32, f64)>>,
}

/// How the requests of a run were spread.
struct Spread {
    /// Share that started on a slow engine.
    on_slow: f64,
    /// Highest load of an engine over the mean, on average over time.
    peak: f64,
}

impl Fleet {
    const ENGINES: usize = 45;
    const ENTRIES: usize = 44;
    const STEP_MS: u64 = 10;
    const SLOW_MS: u64 = 600;
    const CYCLE_MS: u64 = 4_000;
    /// Requests per second, and the time that an engine takes for one at a pace of 1: half of all slots are in use.
    const PER_SECOND: f64 = 280.0;
    const WORK_MS: f64 = 1_000.0;

    fn new() -> Fleet {
        let mut rng = rng();
        let offsets = (0..Fleet::ENGINES).map(|_| rng.random_range(0..Fleet::CYCLE_MS)).collect();
        let entries = (0..Fleet::ENTRIES).map(|n| {
            let mut table = table_on(&format!("entry-{n}"));
            table.set_entries(Fleet::ENTRIES as u32);
            for n in 1..=Fleet::ENGINES {
                let slots = 12;
                let engine = record(n as u8, "lagoa");
                table.upsert(EndpointRecord { slots, ..engine }, now(0));
            }
            table
        });
        let entries = entries.collect();
        let engines = vec![Vec::new(); Fleet::ENGINES];
        Fleet { rng, entries, offsets, engines, history: VecDeque::new() }
    }

    fn pace(&self, engine: usize, ms: u64) -> f64 {
        let is_slow = (ms + self.offsets[engine]) % Fleet::CYCLE_MS < Fleet::SLOW_MS;
        if is_slow { SLOW } else { 1.0 }
    }

    /// Lets the engines work for one step, and entries learn of finished requests.
    fn work(&mut self, ms: u64) {
        for engine in 0..Fleet::ENGINES {
            let done = Fleet::STEP_MS as f64 / self.pace(engine, ms);
            for request in &mut self.engines[engine] {
                request.0 -= done;
            }
            for (_, entry, key) in self.engines[engine].extract_if(.., |(left, ..)| *left <= 0.0) {
                self.entries[entry].record_finished(key);
            }
        }
    }

    /// Gives each entry the state of 50 ms before, once in 150 ms for each engine.
    fn report(&mut self, ms: u64, sends_pace: bool) {
        let loads = (0..Fleet::ENGINES)
            .map(|engine| (self.engines[engine].len() as u32, self.pace(engine, ms)));
        self.history.push_back(loads.collect());
        if self.history.len() <= 5 {
            return;
        }
        let past = self.history.pop_front().expect("not empty");
        for (n, table) in self.entries.iter_mut().enumerate() {
            for (engine, (load, pace)) in past.iter().enumerate() {
                if (ms / Fleet::STEP_MS + (n * 7 + engine * 4) as u64).is_multiple_of(15) {
                    let report = report_shared_by(Fleet::ENTRIES as u32, *load);
                    let address = address(engine as u8 + 1);
                    let draw = self.rng.random();
                    table.apply_report(address, &report, now(ms), ROUND_TRIP, draw, now(ms));
                    if sends_pace {
                        table.apply_pace(address, 0, *pace, now(ms));
                    }
                }
            }
        }
    }

    fn run(mut self, sends_pace: bool) -> Spread {
        let (mut sent, mut sent_slow, mut due, mut peaks) = (0.0, 0.0, 0.0, Vec::new());
        for ms in (0..24_000).step_by(Fleet::STEP_MS as usize) {
            self.work(ms);
            self.report(ms, sends_pace);
            due += Fleet::PER_SECOND * Duration::from_millis(Fleet::STEP_MS).as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let entry = self.rng.random_range(0..Fleet::ENTRIES);
                let chosen = choose_with(&mut self.entries[entry], now(ms), &mut self.rng);
                let Ok(key) = chosen else {
                    continue;
                };
                self.entries[entry].record_sent(key, now(ms));
                let [.., octet] = match self.entries[entry].get(key).expect("listed").address.ip() {
                    std::net::IpAddr::V4(ip) => ip.octets(),
                    std::net::IpAddr::V6(ip) => panic!("{ip}"),
                };
                let engine = usize::from(octet) - 1;
                self.engines[engine].push((Fleet::WORK_MS, entry, key));
                if ms >= 4_000 {
                    sent += 1.0;
                    sent_slow += f64::from(u8::from(self.pace(engine, ms) > 1.0));
                }
            }
            if ms >= 4_000 {
                let loads = self.engines.iter().map(Vec::len);
                let mean = loads.clone().sum::<usize>() as f64 / Fleet::ENGINES as f64;
                peaks.push(loads.max().unwrap_or(0) as f64 / mean);
            }
        }
        let peak = peaks.iter().sum::<f64>() / peaks.len() as f64;
        Spread { on_slow: sent_slow / sent, peak }
    }
}

// On deployment B a fifth of all streams is late: a seventh starts on slow engines. Sent elsewhere, they must not all
// go to the same fast engines.
#[test]
fn apply_pace_moves_requests_of_a_fleet_off_slow_engines() {
    let before = Fleet::new().run(false);
    let after = Fleet::new().run(true);
    println!("on slow: {:.3}, then {:.3}", before.on_slow, after.on_slow);
    println!("highest load over the mean: {:.2}, then {:.2}", before.peak, after.peak);
    assert!(before.on_slow > 0.1, "{}", before.on_slow);
    assert!(after.on_slow < 0.05, "{}", after.on_slow);
    assert!(after.peak < before.peak * 1.1, "{} {}", before.peak, after.peak);
}
