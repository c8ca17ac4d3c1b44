use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::shares::EntryCount;
use mastichaven_core::direct::shares::SharedRetryBudget;
use mastichaven_core::direct::shares::TurnPacer;
use proptest::prop_assert;
use proptest::proptest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 104.0;

proptest! {
    // Endpoints fail many requests at once, and every entry retries as many as it may. Without
    // shares, the entries together send an overloaded service more retries than the limit.
    #[test]
    fn try_spend_keeps_entries_within_limit(
        entries in 1u32..60,
        requests in proptest::collection::vec((0usize..60, 0u64..20_000), 1..1_500),
    ) {
        let mut budgets =
            vec![SharedRetryBudget::new(RATIO, SLACK, WINDOW); entries as usize];
        let mut times: Vec<(u64, usize)> =
            requests.iter().map(|(entry, at)| (*at, entry % entries as usize)).collect();
        times.sort_unstable();
        let mut retry_times = Vec::new();
        for (at, entry) in &times {
            let now = Time::from_millis(*at);
            budgets[*entry].record_first_attempt(now);
            for _ in 0..3 {
                if budgets[*entry].try_spend(1.0, entries, now) {
                    retry_times.push(*at);
                }
            }
        }
        for from in &retry_times {
            let window = *from..*from + 10_000;
            let retries = retry_times.iter().filter(|at| window.contains(at)).count();
            // The limit counts the requests of this window and of the previous one.
            let first_attempts = times.iter().filter(|(at, _)| at + 10_000 >= *from && *at < from + 10_000);
            let limit = RATIO * first_attempts.count() as f64 + SLACK;
            prop_assert!(retries as f64 <= limit, "{retries} retries, limit {limit}");
        }
    }
}

// Guards against interrupted streams that are lost because retries of new requests have used up the budget.
#[test]
fn try_spend_leaves_rest_to_requests_that_may_use_all() {
    let mut budget = SharedRetryBudget::new(RATIO, SLACK, WINDOW);
    let now = Time::from_millis(1);
    let mut spend = |usable| (0..1_000).filter(|_| budget.try_spend(usable, 1, now)).count();
    let (half, rest) = (spend(0.5), spend(1.0));
    assert!(half > 0 && rest.abs_diff(half) <= 1, "{half} and {rest}");
}

// A cold endpoint that gets its full rate from each of eight entries crashes.
#[test]
fn may_send_divides_cold_rate_among_entries() {
    let sent = simulate_sends(8, 36.0, 1, |_| true);
    let in_second = sent.iter().filter(|at| **at < 1_000).count();
    assert!((24..=36).contains(&in_second), "{in_second} requests in the first second");
}

/// Milliseconds at which `entries` that all see the same cold endpoint send to it within 20 s, if
/// they have requests whenever `wants` returns true.
fn simulate_sends(
    entries: u32,
    per_second: f64,
    seed: u64,
    wants: impl Fn(u64) -> bool,
) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pacers = vec![TurnPacer::default(); entries as usize];
    let mut sent = Vec::new();
    for ms in (0..20_000).filter(|ms| wants(*ms)) {
        let now = Time::from_millis(ms);
        for pacer in &mut pacers {
            if pacer.may_send(per_second, entries, rng.random(), now) {
                pacer.record_sent(now);
                sent.push(ms);
            }
        }
    }
    sent
}

fn max_per_second(sent: &[u64]) -> usize {
    let within = |from: &u64| sent.iter().filter(|at| (*from..*from + 1_000).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Limit of requests in one second to a cold endpoint with a rate of 14 per second: the rate plus
/// half of it plus five.
const MAX_COLD_PER_SECOND: usize = 26;

// All endpoints of a zone restart. If each of 40 entries rounds its share up to one request per
// second, the cold endpoints crash and callers wait for them a second time.
#[test]
fn may_send_holds_limit_for_any_entry_count() {
    for entries in [1, 6, 40, 148, 381] {
        for seed in 0..5 {
            let sent = simulate_sends(entries, 14.0, seed, |_| true);
            let most = max_per_second(&sent);
            assert!(
                most <= MAX_COLD_PER_SECOND,
                "{most} requests in one second from {entries} entries, seed {seed}"
            );
            let mean = sent.len() as f64 / 20.0;
            assert!(
                mean >= 7.0,
                "{mean} requests per second from {entries} entries leave the endpoint idle"
            );
        }
    }
}

// No entry sends to a cold endpoint while others have free places. Then the last of those is lost,
// and all entries turn to the cold one at the same moment.
#[test]
fn may_send_does_not_accumulate_turns() {
    for entries in [1, 6, 40, 148, 381] {
        for seed in 0..5 {
            let sent = simulate_sends(entries, 14.0, seed, |ms| ms % 5_000 >= 4_000);
            let most = max_per_second(&sent);
            assert!(
                most <= MAX_COLD_PER_SECOND,
                "{most} requests in one second from {entries} entries, seed {seed}"
            );
        }
    }
}

// All entries and agents restart at once. An entry without any count must not assume that it is the
// only one.
#[test]
fn for_limits_assumes_many_entries_before_first_count() {
    let mut count = EntryCount::default();
    let now = Time::from_millis;
    assert!(count.for_limits() >= 381);
    count.record_count(40, now(600));
    assert_eq!(count.for_limits(), 40);
}

// Agents restart one after the other and count few entries at first.
#[test]
fn for_limits_uses_highest_recent_count() {
    let mut count = EntryCount::default();
    let now = Time::from_millis;
    count.record_count(40, now(0));
    count.record_count(2, now(1_500));
    assert_eq!(count.for_limits(), 40);
    count.record_count(3, now(2_100));
    assert_eq!(count.for_limits(), 3);
}

// Entries draw the offsets of their turns independently, so that those of hundreds of entries cluster now and then.
#[test]
fn may_send_holds_limit_for_clustered_turns() {
    let always = simulate_sends(381, 14.0, 54, |_| true);
    let in_bursts = simulate_sends(381, 14.0, 42, |ms| ms % 5_000 >= 4_000);
    for most in [max_per_second(&always), max_per_second(&in_bursts)] {
        assert!(most <= MAX_COLD_PER_SECOND, "{most} requests in one second from 381 entries");
    }
}
