use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::shares::ColdStartPacer;
use mastichaven_core::direct::shares::EntryCount;
use mastichaven_core::direct::shares::SharedRetryBudget;
use proptest::prop_assert;
use proptest::proptest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 104.0;

proptest! {
    // Endpoints fail many requests at once and every entry repeats what it may. Without shares the
    // entries together would send an overloaded service more repeats than its bound.
    #[test]
    fn spend_keeps_all_entries_under_the_bound(
        entries in 1u32..60,
        requests in proptest::collection::vec((0usize..60, 0u64..20_000), 1..1_500),
    ) {
        let mut budgets =
            vec![SharedRetryBudget::new(RATIO, SLACK, WINDOW); entries as usize];
        let mut times: Vec<(u64, usize)> =
            requests.iter().map(|(entry, at)| (*at, entry % entries as usize)).collect();
        times.sort_unstable();
        let mut spent = Vec::new();
        for (at, entry) in &times {
            let now = Time::from_millis(*at);
            budgets[*entry].record_first_attempt(now);
            for _ in 0..3 {
                if budgets[*entry].try_spend(entries, now) {
                    spent.push(*at);
                }
            }
        }
        for from in &spent {
            let window = *from..*from + 10_000;
            let repeats = spent.iter().filter(|at| window.contains(at)).count();
            // The bound counts the requests of the window or of the one before it.
            let firsts = times.iter().filter(|(at, _)| at + 10_000 >= *from && *at < from + 10_000);
            let bound = RATIO * firsts.count() as f64 + SLACK;
            prop_assert!(repeats as f64 <= bound, "{repeats} repeats, bound {bound}");
        }
    }
}

// A cold endpoint that gets its bound from each of eight entries falls over.
#[test]
fn may_send_shares_the_bound_of_a_cold_endpoint() {
    let sent = sends(8, 36.0, 1, |_| true);
    let in_second = sent.iter().filter(|at| **at < 1_000).count();
    assert!((24..=36).contains(&in_second), "{in_second} in a second");
}

/// Milliseconds at which `entries` that all see the same cold endpoint send to it within 20 s, whenever
/// `wants` says that they have something to send.
fn sends(entries: u32, per_second: f64, seed: u64, wants: impl Fn(u64) -> bool) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pacers = vec![ColdStartPacer::default(); entries as usize];
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

fn most_in_a_second(sent: &[u64]) -> usize {
    let within = |from: &u64| sent.iter().filter(|at| (*from..*from + 1_000).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Requests that a cold endpoint of 14 a second may get in one second: half as many more and five.
const COLD_BOUND: usize = 26;

// All endpoints of a zone start again. Each of 40 entries sends the cold ones the one request a second
// that its share is rounded up to, the endpoints fall over, and callers wait for them a second time.
#[test]
fn may_send_keeps_the_bound_at_any_number_of_entries() {
    for entries in [1, 6, 40, 148, 381] {
        for seed in 0..5 {
            let sent = sends(entries, 14.0, seed, |_| true);
            let most = most_in_a_second(&sent);
            assert!(most <= COLD_BOUND, "{most} in a second from {entries} entries, seed {seed}");
            let mean = sent.len() as f64 / 20.0;
            assert!(mean >= 7.0, "{mean} a second from {entries} entries leave the endpoint idle");
        }
    }
}

// Nobody sends to a cold endpoint while others have room. Then the last of those is lost, and every
// entry turns to the cold one in the same moment.
#[test]
fn may_send_does_not_save_turns_up() {
    for entries in [1, 6, 40, 148, 381] {
        for seed in 0..5 {
            let sent = sends(entries, 14.0, seed, |ms| ms % 5_000 >= 4_000);
            let most = most_in_a_second(&sent);
            assert!(most <= COLD_BOUND, "{most} in a second from {entries} entries, seed {seed}");
        }
    }
}

// All entries and agents start again at once. An entry that hears no count yet must not take itself for
// the only one.
#[test]
fn for_bounds_takes_many_entries_until_an_agent_has_counted() {
    let mut count = EntryCount::default();
    let now = Time::from_millis;
    assert!(count.for_limits() >= 381);
    count.record_count(40, now(600));
    assert_eq!(count.for_limits(), 40);
}

// The agents are restarted one after the other and count few entries at first.
#[test]
fn for_bounds_goes_by_the_highest_count_of_late() {
    let mut count = EntryCount::default();
    let now = Time::from_millis;
    count.record_count(40, now(0));
    count.record_count(2, now(1_500));
    assert_eq!(count.for_limits(), 40);
    count.record_count(3, now(2_100));
    assert_eq!(count.for_limits(), 3);
}
