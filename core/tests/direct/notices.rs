use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::crash_evidence::Cause;
use mastichaven_core::crash_evidence::Concurrent;
use mastichaven_core::crash_evidence::RequestEvidence;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::notices::Collector;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::notices::NoticeQueue;
use mastichaven_core::direct::notices::time_ago;
use mastichaven_core::fingerprint::Fingerprint;
use mastichaven_core::fingerprint::ProcessKey;
use mastichaven_core::quarantine;
use mastichaven_core::quarantine::CrashReport;
use mastichaven_core::quarantine::Quarantine;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Crashes after which a request is known to be their cause, the time within which all entries must know, and the
/// attempts that may reach endpoints later.
const KNOWN_CRASHES: usize = 3;
const CONTACT_MS: u64 = 3_000;
const ALLOWED_ATTEMPTS: usize = 3;

/// Crashes after which a request is refused whatever ran beside it, and the time in which all entries learn it.
const MAX_CRASHES: usize = 6;
const SPREAD_MS: u64 = 500;

/// Seeds of each case.
const SEEDS: u64 = 5;

/// Length of a simulation, its step, and the interval of load reports.
const SIMULATION_MS: u64 = 8_000;
const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 100;

/// Time from the arrival of the request to the crash of its endpoint.
const CRASH_MS: u64 = 150;

/// Collectors of all regions together, and the probability that a datagram is lost.
const COLLECTORS: usize = 12;
const LOSS: f64 = 0.1;

/// Requests in progress at an endpoint that crashes, the probability with which each one that has lost an endpoint
/// shortly before is among them, and the attempts that are made of it.
const BESIDE: usize = 12;
const SENT_AGAIN: f64 = 0.05;
const MAX_ATTEMPTS: usize = 4;

#[derive(Default)]
struct SimulatedEntry {
    quarantine: Quarantine,
    notices: NoticeQueue,
}

impl SimulatedEntry {
    fn refuses(&self, traits: &[Fingerprint], now: Time) -> bool {
        self.quarantine.remaining(traits, quarantine::DEFAULT_DURATION, now).is_some()
    }

    fn record_crash(
        &mut self,
        process: ProcessKey,
        traits: &[Fingerprint],
        ran_ms: u64,
        now: Time,
    ) {
        let requests = vec![RequestEvidence { traits: traits.to_vec(), ran_ms: ran_ms as u32 }];
        let crash = CrashReport {
            process: Some(process),
            requests: requests.clone(),
            concurrent: Concurrent::Unknown,
            age: Duration::ZERO,
        };
        self.quarantine.record_crash(crash, now);
        self.notices.push(Notice::Crash { process, requests, age_ms: 0 }, now);
    }

    fn record_completion(&mut self, traits: &[Fingerprint], now: Time) {
        let traits = self.quarantine.clear(traits, now);
        if !traits.is_empty() {
            self.notices.push(Notice::Completed { traits, age_ms: 0 }, now);
        }
    }

    fn apply(&mut self, notice: &Notice, now: Time) {
        match notice {
            Notice::Quarantined { traits, crashes, age_ms } => {
                let last_crash = time_ago(now, *age_ms);
                let rule = Cause { traits: traits.clone(), last_crash, crashes: *crashes };
                self.quarantine.impose(rule);
            }
            Notice::Completed { traits, age_ms } => {
                self.quarantine.clear(traits, time_ago(now, *age_ms));
            }
            Notice::Suspected { traits } => {
                traits.iter().for_each(|one| self.quarantine.watch(*one, now));
            }
            _ => {}
        }
    }
}

/// How a simulation ended.
struct Outcome {
    /// Attempts that reached endpoints later than all entries must know.
    late_attempts: usize,
    /// Attempts that reached endpoints later than all entries learn of enough crashes.
    attempts_after_spread: usize,
    /// Whether an entry refuses a request that crashes nothing.
    has_false_refusal: bool,
}

/// Sends a request that crashes endpoints `copies_per_second` times through random ones of `entry_count` entries,
/// beside others that lose their endpoints to it.
fn simulate(entry_count: usize, copies_per_second: f64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let culprit = Fingerprint::new("crews", &[b"culprit"]);
    let mut entries: Vec<SimulatedEntry> = Vec::new();
    entries.resize_with(entry_count, SimulatedEntry::default);
    let mut collectors: Vec<Collector> = Vec::new();
    collectors.resize_with(COLLECTORS, Collector::default);
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut attempts = Vec::new();
    let mut crashes: Vec<u64> = Vec::new();
    let mut innocents: Vec<(Fingerprint, usize)> = Vec::new();
    for ms in (0..SIMULATION_MS).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        if rng.random::<f64>() < copies_per_second * STEP_MS as f64 / 1_000.0 {
            let entry = rng.random_range(0..entry_count);
            if !entries[entry].refuses(&[culprit], now) {
                attempts.push(ms);
                running.push((ms + CRASH_MS, entry));
            }
        }
        for (_, entry) in running.extract_if(.., |(at, _)| *at <= ms) {
            crashes.push(ms);
            let process = ProcessKey::new(&format!("i-{}", crashes.len()), 0);
            entries[entry].record_crash(process, &[culprit], CRASH_MS, now);
            for _ in 0..BESIDE {
                let recent = innocents.len().saturating_sub(2 * BESIDE);
                let mut sent_again = (recent..innocents.len())
                    .filter(|n| innocents[*n].1 < MAX_ATTEMPTS && rng.random::<f64>() < SENT_AGAIN);
                let n = sent_again.next().unwrap_or_else(|| {
                    let request = Fingerprint::new("crews", &[&innocents.len().to_le_bytes()]);
                    innocents.push((request, 0));
                    innocents.len() - 1
                });
                innocents[n].1 += 1;
                let entry = rng.random_range(0..entry_count);
                entries[entry].record_crash(process, &[innocents[n].0], CRASH_MS, now);
            }
        }
        for entry in &mut entries {
            let batch = entry.notices.next_batch(now);
            for collector in &mut collectors {
                for notice in batch.iter().filter(|_| rng.random::<f64>() >= LOSS) {
                    collector.apply(notice.clone(), now);
                }
            }
            entry.notices.record_sent(batch.len());
        }
        if ms % REPORT_MS == 0 {
            let next_report = |collector: &mut Collector| {
                collector.evaluate(now);
                collector.next_report(false, now)
            };
            let reports: Vec<Vec<Notice>> = collectors.iter_mut().map(next_report).collect();
            for entry in &mut entries {
                for report in reports.iter().filter(|_| rng.random::<f64>() >= LOSS) {
                    report.iter().for_each(|notice| entry.apply(notice, now));
                }
            }
        }
    }
    let attempts_after = |crash: usize, delay_ms: u64| {
        let from = crashes.get(crash - 1).map_or(u64::MAX, |at| at + delay_ms);
        attempts.iter().filter(|at| **at > from).count()
    };
    let end = Time::from_millis(SIMULATION_MS);
    Outcome {
        late_attempts: attempts_after(KNOWN_CRASHES, CONTACT_MS),
        attempts_after_spread: attempts_after(MAX_CRASHES, SPREAD_MS),
        has_false_refusal: entries
            .iter()
            .any(|entry| innocents.iter().any(|(request, _)| entry.refuses(&[*request], end))),
    }
}

// Each of hundreds of entries sees one crash at most, and none of them knows that the others have seen more.
#[test]
fn crashes_seen_by_different_entries_are_combined() {
    for entry_count in [1, 8, 45, 381] {
        for copies_per_second in [2.0, 20.0] {
            for seed in 0..SEEDS {
                let outcome = simulate(entry_count, copies_per_second, seed);
                let case = format!("{entry_count} entries, {copies_per_second}/s, seed {seed}");
                assert!(outcome.late_attempts <= ALLOWED_ATTEMPTS, "{case}");
                assert!(!outcome.has_false_refusal, "{case}");
                assert_eq!(outcome.attempts_after_spread, 0, "{case}");
            }
        }
    }
}

fn quarantined(notices: &[Notice]) -> Vec<Fingerprint> {
    let requests = notices.iter().filter_map(|notice| match notice {
        Notice::Quarantined { traits, .. } => Some(traits[0]),
        _ => None,
    });
    requests.collect()
}

// An entry that starts late, or was cut off, hears of a quarantine that began long ago.
#[test]
fn next_report_repeats_old_quarantines() {
    let mut collector = Collector::default();
    let requests: Vec<Fingerprint> =
        (0..100_u32).map(|n| Fingerprint::new("crews", &[&n.to_le_bytes()])).collect();
    for request in &requests {
        for crash in 0..3 {
            let process = ProcessKey::new(&request.to_string(), crash);
            let requests = vec![RequestEvidence { traits: vec![*request], ran_ms: 0 }];
            collector.apply(Notice::Crash { process, requests, age_ms: 0 }, Time::ZERO);
        }
    }
    let now = Time::ZERO + Duration::from_secs(60);
    assert!(collector.evaluate(now));
    let mut heard: Vec<Fingerprint> = Vec::new();
    for second in 0..20 {
        let report = collector.next_report(false, now + Duration::from_secs(second));
        assert!(report.len() <= 8, "{}", report.len());
        heard.extend(quarantined(&report));
    }
    heard.sort_unstable();
    heard.dedup();
    assert_eq!(heard.len(), requests.len());
    assert!(collector.next_report(false, now + Duration::from_millis(19_100)).is_empty());
    let to_new_reader = collector.next_report(true, now + Duration::from_millis(19_200));
    assert_eq!(to_new_reader.len(), requests.len());
    let later = Time::ZERO + quarantine::DEFAULT_DURATION;
    assert!(collector.next_report(true, later).is_empty());
}

#[test]
fn push_combines_crashes_of_one_process() {
    let requests = [b"a", b"b"].map(|body| {
        let traits = vec![Fingerprint::new("crews", &[body.as_slice()])];
        RequestEvidence { traits, ran_ms: 5 }
    });
    let process = ProcessKey::new("i-1", 0);
    let mut queue = NoticeQueue::default();
    for request in requests.clone() {
        queue.push(Notice::Crash { process, requests: vec![request], age_ms: 0 }, Time::ZERO);
    }
    let combined = Notice::Crash { process, requests: requests.to_vec(), age_ms: 0 };
    assert_eq!(queue.next_batch(Time::ZERO), [combined]);
    for _ in 0..2 {
        queue.record_sent(1);
        assert!(!queue.is_empty(), "it is sent again");
    }
    queue.record_sent(1);
    assert!(queue.is_empty());
}

// An endpoint leaves while the store is away, and an entry starts.
#[test]
fn next_report_repeats_leaving_endpoints() {
    let process = EndpointProcess { address: "10.0.0.1:80".parse().unwrap(), started_ms: 5 };
    let mut collector = Collector::default();
    collector.apply(Notice::Leaving(process), Time::ZERO);
    assert!(collector.evaluate(Time::ZERO), "the entries must hear of it at once");
    collector.apply(Notice::Leaving(process), Time::ZERO);
    assert!(!collector.evaluate(Time::ZERO));
    let report_after = |collector: &mut Collector, seconds: u64| {
        collector.next_report(false, Time::ZERO + Duration::from_secs(seconds))
    };
    assert_eq!(report_after(&mut collector, 1), [Notice::Leaving(process)]);
    assert_eq!(report_after(&mut collector, 30), [Notice::Leaving(process)]);
    assert!(report_after(&mut collector, 60).is_empty());
}

// Callers send a request all the time, and endpoints that run it crash now and then for another reason. Reports repeat
// for a while that it has completed, also after the next crash.
#[test]
fn repeated_completion_does_not_hide_later_ones() {
    let request = Fingerprint::new("crews", &[b"lookup"]);
    let mut entry = SimulatedEntry::default();
    let mut collector = Collector::default();
    for crash in 0..8 {
        let crashed_at = Time::ZERO + Duration::from_millis(600 * crash);
        entry.record_crash(ProcessKey::new("i-1", crash), &[request], 0, crashed_at);
        let send = |entry: &mut SimulatedEntry, collector: &mut Collector, at| {
            let sent = entry.notices.next_batch(at);
            (0..3).for_each(|_| entry.notices.record_sent(sent.len()));
            sent.into_iter().for_each(|notice| collector.apply(notice, at));
        };
        send(&mut entry, &mut collector, crashed_at);
        let reported_at = crashed_at + Duration::from_millis(100);
        collector.evaluate(reported_at);
        let report = collector.next_report(false, reported_at);
        report.iter().for_each(|notice| entry.apply(notice, reported_at));
        let completed_at = crashed_at + Duration::from_millis(120);
        entry.record_completion(&[request], completed_at);
        send(&mut entry, &mut collector, completed_at);
        let later = crashed_at + Duration::from_millis(400);
        collector.evaluate(later);
        assert_eq!(quarantined(&collector.next_report(false, later)), [], "crash {crash}");
    }
}

/// Endpoints of a simulation with prompts, sound requests a second, the time that each runs, and the time that an
/// endpoint is away after a crash.
const ENDPOINTS: usize = 40;
const SOUND_PER_SECOND: f64 = 150.0;
const RUN_MS: u64 = 900;
const RESTART_MS: u64 = 3_000;

/// Parts in the middle of prompts, of which some are in most prompts and some in few.
const MIDDLE_PARTS: f64 = 60.0;

/// Times at which a part of the endpoints ends whatever they run, and one in how many.
const MASS_CRASHES_MS: [u64; 3] = [2_000, 2_400, 5_000];
const MASS_CRASH_SHARE: usize = 5;

/// Crashes after which a part is known to be their cause.
const KNOWN_PART_CRASHES: usize = 5;

/// A request in progress in a simulation with prompts.
#[derive(Clone)]
struct Running {
    traits: Vec<Fingerprint>,
    is_deadly: bool,
    entry: usize,
    endpoint: usize,
    sent_ms: u64,
}

struct PartOutcome {
    late_attempts: usize,
    crashes: usize,
    refused_sound: usize,
}

/// Sends requests that share a part which crashes endpoints, no two alike, beside sound ones through random entries.
fn simulate_parts(entry_count: usize, deadly_per_second: f64, seed: u64) -> PartOutcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let part = |id: &str| Fingerprint::of_prompt_part("m", id);
    let mut entries: Vec<SimulatedEntry> = Vec::new();
    entries.resize_with(entry_count, SimulatedEntry::default);
    let mut collectors: Vec<Collector> = Vec::new();
    collectors.resize_with(COLLECTORS, Collector::default);
    let mut running: Vec<Running> = Vec::new();
    let mut back_at = [0; ENDPOINTS];
    let (mut crashes, mut attempts): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    let (mut count, mut processes, mut refused_sound) = (0_u64, 0_u64, 0);
    for ms in (0..SIMULATION_MS).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        let mut waiting: Vec<(Vec<Fingerprint>, bool)> = Vec::new();
        for (rate, is_deadly) in [(SOUND_PER_SECOND, false), (deadly_per_second, true)] {
            let mut expected = rate * STEP_MS as f64 / 1_000.0;
            while rng.random::<f64>() < expected {
                expected -= 1.0;
                count += 1;
                let middle = (rng.random::<f64>().powi(2) * MIDDLE_PARTS) as u64;
                let middle = if is_deadly { "deadly".to_owned() } else { middle.to_string() };
                let own = format!("own {count}");
                let request = Fingerprint::new("crews", &[own.as_bytes()]);
                waiting.push((vec![request, part("first"), part(&middle), part(&own)], is_deadly));
            }
        }
        let mut crashed: Vec<usize> = Vec::new();
        for request in running.extract_if(.., |request| {
            let run_ms = if request.is_deadly { CRASH_MS } else { RUN_MS };
            ms >= request.sent_ms + run_ms
        }) {
            if request.is_deadly {
                crashed.push(request.endpoint);
                crashes.push(ms);
                let ran_ms = ms - request.sent_ms;
                let process = ProcessKey::new(&request.endpoint.to_string(), processes);
                entries[request.entry].record_crash(process, &request.traits, ran_ms, now);
            } else {
                entries[request.entry].record_completion(&request.traits, now);
            }
        }
        if MASS_CRASHES_MS.contains(&ms) {
            crashed.extend((0..ENDPOINTS).filter(|n| n % MASS_CRASH_SHARE == 0));
        }
        for endpoint in crashed {
            back_at[endpoint] = ms + RESTART_MS;
            let process = ProcessKey::new(&endpoint.to_string(), processes);
            for lost in running.extract_if(.., |request| request.endpoint == endpoint) {
                let ran_ms = ms - lost.sent_ms;
                entries[lost.entry].record_crash(process, &lost.traits, ran_ms, now);
                waiting.push((lost.traits, lost.is_deadly));
            }
        }
        processes += 1;
        for (traits, is_deadly) in waiting {
            let entry = rng.random_range(0..entry_count);
            if entries[entry].refuses(&traits, now) {
                refused_sound += usize::from(!is_deadly);
                continue;
            }
            let alive: Vec<usize> = (0..ENDPOINTS).filter(|n| back_at[*n] <= ms).collect();
            if !alive.is_empty() {
                let endpoint = alive[rng.random_range(0..alive.len())];
                attempts.extend(is_deadly.then_some(ms));
                running.push(Running { traits, is_deadly, entry, endpoint, sent_ms: ms });
            }
        }
        for entry in &mut entries {
            let batch = entry.notices.next_batch(now);
            for collector in &mut collectors {
                for notice in batch.iter().filter(|_| rng.random::<f64>() >= LOSS) {
                    collector.apply(notice.clone(), now);
                }
            }
            entry.notices.record_sent(batch.len());
        }
        if ms % REPORT_MS == 0 {
            for collector in &mut collectors {
                collector.evaluate(now);
                let report = collector.next_report(false, now);
                for entry in &mut entries {
                    if rng.random::<f64>() >= LOSS {
                        report.iter().for_each(|notice| entry.apply(notice, now));
                    }
                }
            }
        }
    }
    let known_at = crashes.iter().take(KNOWN_PART_CRASHES).next_back();
    let late = |at: &&u64| known_at.is_some_and(|known_at| **at > known_at + CONTACT_MS);
    PartOutcome {
        late_attempts: attempts.iter().filter(late).count(),
        crashes: crashes.len(),
        refused_sound,
    }
}

// No two requests that crash endpoints are alike, other endpoints crash at the same time, and datagrams are lost.
#[test]
fn crashes_of_a_part_seen_by_different_entries_are_combined() {
    for entry_count in [1, 8, 45, 381] {
        for deadly_per_second in [0.0, 2.0, 20.0] {
            for seed in 0..SEEDS {
                let outcome = simulate_parts(entry_count, deadly_per_second, seed);
                let case = format!(
                    "{entry_count} entries, {deadly_per_second}/s, seed {seed}, {} crashes",
                    outcome.crashes
                );
                println!(
                    "{case}, {} late, {} refused",
                    outcome.late_attempts, outcome.refused_sound
                );
                assert!(outcome.late_attempts <= ALLOWED_ATTEMPTS, "{case}");
                assert_eq!(outcome.refused_sound, 0, "{case}");
            }
        }
    }
}

// The first part of all prompts, or another popular one, is refused beside the part that crashes endpoints.
#[test]
fn popular_part_is_not_refused_on_seed_5008() {
    assert_eq!(simulate_parts(8, 20.0, 5_008).refused_sound, 0);
}

// Copies of a request that crashes endpoints reach more of them later than all entries must know.
#[test]
fn copies_are_refused_in_time_on_seed_5014() {
    assert!(simulate(45, 2.0, 5_014).late_attempts <= ALLOWED_ATTEMPTS);
}
