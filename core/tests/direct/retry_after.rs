use std::time::Duration;

use mastichaven_core::direct::retry_after::RefusalCause;
use mastichaven_core::direct::retry_after::retry_after;

const LEFT: Duration = Duration::from_secs(6);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Times for callers that are refused together.
fn times(cause: RefusalCause) -> Vec<Duration> {
    (0..100).map(|n| retry_after(cause, LEFT, f64::from(n) / 100.0)).collect()
}

// Guards against callers that return while weights are still on their way, and are refused once more.
#[test]
fn retry_after_waits_for_the_first_endpoint_that_loads() {
    let all = times(RefusalCause::NoEndpoint { ready_in: Some(ms(1_400)) });
    assert!(all.iter().all(|time| *time >= ms(1_400)), "{:?}", all.iter().min());
    assert!(all.iter().all(|time| *time <= ms(2_400)), "{:?}", all.iter().max());
}

// Guards against callers that return while every endpoint is still cold, and are refused once more.
#[test]
fn retry_after_waits_for_the_first_endpoint_that_is_warm() {
    let all = times(RefusalCause::Warming { warm_in: ms(1_700) });
    assert!(all.iter().all(|time| (ms(1_700)..=ms(2_700)).contains(time)), "{all:?}");
}

// Guards against a wave of all callers of a blackout at the moment at which the first endpoint is back.
#[test]
fn retry_after_spreads_callers() {
    let causes = [
        RefusalCause::Starting,
        RefusalCause::NoLease { is_held_in_region: false },
        RefusalCause::Full,
        RefusalCause::Warming { warm_in: ms(1_200) },
        RefusalCause::NoEndpoint { ready_in: None },
        RefusalCause::NoEndpoint { ready_in: Some(ms(500)) },
    ];
    for cause in causes {
        let mut all = times(cause);
        all.sort();
        all.dedup();
        let span = all[all.len() - 1].saturating_sub(all[0]);
        assert!(all.len() > 50 && span >= ms(400), "{cause:?}: {span:?}");
    }
}

// Guards against a long wait for what the entry next door could answer at once.
#[test]
fn retry_after_is_short_where_another_entry_has_a_lease() {
    let near = times(RefusalCause::NoLease { is_held_in_region: true });
    let nobody = times(RefusalCause::NoLease { is_held_in_region: false });
    assert!(near.iter().max() < nobody.iter().min());
}
