use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::shares::ColdSends;
use mastichaven_core::direct::shares::RepeatBudget;
use proptest::prop_assert;
use proptest::proptest;

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
            vec![RepeatBudget::new(RATIO, SLACK, WINDOW); entries as usize];
        let mut times: Vec<(u64, usize)> =
            requests.iter().map(|(entry, at)| (*at, entry % entries as usize)).collect();
        times.sort_unstable();
        let mut spent = Vec::new();
        for (at, entry) in &times {
            let now = Time::from_millis(*at);
            budgets[*entry].first(now);
            for _ in 0..3 {
                if budgets[*entry].spend(entries, now) {
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
    let entries = 8;
    let mut sends = vec![ColdSends::default(); entries];
    let mut sent = 0;
    for ms in 0..1_000 {
        for share in &mut sends {
            let now = Time::from_millis(ms);
            if share.may_send(36.0, entries as u32, now) {
                share.sent(now);
                sent += 1;
            }
        }
    }
    assert!((24..=36).contains(&sent), "{sent} in a second");
}
