use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::notices::Collector;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::notices::NoticeQueue;
use mastichaven_core::quarantine;
use mastichaven_core::quarantine::Concurrent;
use mastichaven_core::quarantine::CrashEvidence;
use mastichaven_core::quarantine::Fingerprint;
use mastichaven_core::quarantine::ProcessKey;
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
    fn refuses(&self, request: Fingerprint, now: Time) -> bool {
        self.quarantine.remaining(request, quarantine::DEFAULT_DURATION, now).is_some()
    }

    fn record_crash(&mut self, process: ProcessKey, request: Fingerprint, now: Time) {
        let requests = vec![request];
        let crash =
            CrashEvidence { process: Some(process), requests, concurrent: Concurrent::Unknown };
        self.quarantine.record_crash(crash, now);
        self.notices.push(Notice::Crash { process, requests: vec![request] });
    }

    fn apply(&mut self, notice: &Notice) {
        match notice {
            Notice::Quarantined { request, .. } => self.quarantine.impose(*request, Time::ZERO),
            Notice::Completed { request } => drop(self.quarantine.clear(*request)),
            Notice::Crash { .. } | Notice::Leaving(_) => {}
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
            if !entries[entry].refuses(culprit, now) {
                attempts.push(ms);
                running.push((ms + CRASH_MS, entry));
            }
        }
        for (_, entry) in running.extract_if(.., |(at, _)| *at <= ms) {
            crashes.push(ms);
            let process = ProcessKey::new(&format!("i-{}", crashes.len()), 0);
            entries[entry].record_crash(process, culprit, now);
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
                entries[entry].record_crash(process, innocents[n].0, now);
            }
        }
        for entry in &mut entries {
            let batch: Vec<Notice> = entry.notices.next_batch().cloned().collect();
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
                    report.iter().for_each(|notice| entry.apply(notice));
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
            .any(|entry| innocents.iter().any(|(request, _)| entry.refuses(*request, end))),
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
        Notice::Quarantined { request, .. } => Some(*request),
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
            collector.apply(Notice::Crash { process, requests: vec![*request] }, Time::ZERO);
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
    let requests = [b"a", b"b"].map(|body| Fingerprint::new("crews", &[body.as_slice()]));
    let process = ProcessKey::new("i-1", 0);
    let mut queue = NoticeQueue::default();
    for request in requests {
        queue.push(Notice::Crash { process, requests: vec![request] });
    }
    let combined = Notice::Crash { process, requests: requests.to_vec() };
    assert_eq!(queue.next_batch().collect::<Vec<_>>(), vec![&combined]);
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
        entry.record_crash(ProcessKey::new("i-1", crash), request, crashed_at);
        let sent: Vec<Notice> = entry.notices.next_batch().cloned().collect();
        (0..3).for_each(|_| entry.notices.record_sent(sent.len()));
        sent.into_iter().for_each(|notice| collector.apply(notice, crashed_at));
        let reported_at = crashed_at + Duration::from_millis(100);
        collector.evaluate(reported_at);
        let report = collector.next_report(false, reported_at);
        report.iter().for_each(|notice| entry.apply(notice));
        let completed_at = crashed_at + Duration::from_millis(120);
        if entry.quarantine.clear(request) {
            collector.apply(Notice::Completed { request }, completed_at);
        }
        let later = crashed_at + Duration::from_millis(400);
        collector.evaluate(later);
        assert_eq!(quarantined(&collector.next_report(false, later)), [], "crash {crash}");
    }
}
