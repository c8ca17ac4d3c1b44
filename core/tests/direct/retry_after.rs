use std::time::Duration;

use mastichaven_core::direct::retry_after::RefusalCause;
use mastichaven_core::direct::retry_after::ReturnSlice;
use mastichaven_core::direct::retry_after::retry_after;

const REMAINING: Duration = Duration::from_secs(6);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Delays of callers that are refused together.
fn delays(cause: RefusalCause) -> Vec<Duration> {
    (0..100).map(|n| retry_after(cause, REMAINING, f64::from(n) / 100.0)).collect()
}

// Callers that return while weights are still loading are refused again.
#[test]
fn retry_after_waits_for_loading_endpoint() {
    let all = delays(RefusalCause::NoEndpoint { ready_in: Some(ms(1_400)) });
    assert!(all.iter().all(|delay| *delay >= ms(1_400)), "{:?}", all.iter().min());
    assert!(all.iter().all(|delay| *delay <= ms(2_400)), "{:?}", all.iter().max());
}

// Callers that return while every endpoint is still cold are refused again.
#[test]
fn retry_after_waits_for_warm_endpoint() {
    let all = delays(RefusalCause::Warming { warm_in: ms(1_700) });
    assert!(all.iter().all(|delay| (ms(1_700)..=ms(2_700)).contains(delay)), "{all:?}");
}

// Callers that return before the entry's next turn are refused again.
#[test]
fn retry_after_waits_for_turn_at_limited_endpoint() {
    let all = delays(RefusalCause::Limited { opens_in: ms(1_700) });
    assert!(all.iter().all(|delay| (ms(1_700)..=ms(2_700)).contains(delay)), "{all:?}");
}

// Callers that return before an endpoint's pause has ended are refused again, and all at once when it ends.
#[test]
fn retry_after_waits_for_end_of_pause() {
    let all = delays(RefusalCause::Paused { ends_in: ms(1_700) });
    assert!(all.iter().all(|delay| (ms(1_700)..=ms(2_700)).contains(delay)), "{all:?}");
    assert!(all.iter().max() > all.iter().min());
}

// A caller that returns before the end of a quarantine is refused again.
#[test]
fn retry_after_names_end_of_quarantine() {
    let all = delays(RefusalCause::Quarantined { ends_in: ms(600_000) });
    assert!(all.iter().all(|delay| *delay == ms(600_000)), "{all:?}");
}

// All callers of an outage would return at once when the first endpoint is back.
#[test]
fn retry_after_spreads_callers() {
    let causes = [
        RefusalCause::Starting,
        RefusalCause::NoLease { is_held_in_region: false },
        RefusalCause::Full,
        RefusalCause::Warming { warm_in: ms(1_200) },
        RefusalCause::Limited { opens_in: ms(1_200) },
        RefusalCause::NoEndpoint { ready_in: None },
        RefusalCause::NoEndpoint { ready_in: Some(ms(500)) },
    ];
    for cause in causes {
        let mut all = delays(cause);
        all.sort();
        all.dedup();
        let span = all[all.len() - 1].saturating_sub(all[0]);
        assert!(all.len() > 50 && span >= ms(400), "{cause:?}: {span:?}");
    }
}

// While all callers are refused, the few places that return go to those of low levels.
#[test]
fn retry_after_of_higher_levels_ends_first() {
    let causes = [
        RefusalCause::Starting,
        RefusalCause::Full,
        RefusalCause::Warming { warm_in: ms(1_200) },
        RefusalCause::NoEndpoint { ready_in: None },
        RefusalCause::NoEndpoint { ready_in: Some(ms(500)) },
    ];
    for cause in causes {
        let delays_in = |slice: ReturnSlice| {
            let delay = |n| retry_after(cause, REMAINING, slice.map(f64::from(n) / 100.0));
            (0..100).map(delay).collect::<Vec<Duration>>()
        };
        let high = delays_in(ReturnSlice { start: 0.0, width: 0.25 });
        let low = delays_in(ReturnSlice { start: 0.25, width: 0.75 });
        assert!(high.iter().max() <= low.iter().min(), "{cause:?}");
        let whole = delays(cause);
        assert!(high.iter().chain(&low).all(|delay| *delay >= whole[0]), "{cause:?}");
        assert!(low.iter().max() <= Some(&(whole[99] + ms(20))), "{cause:?}");
    }
}

// Callers would wait long for what another entry of the region can answer at once.
#[test]
fn retry_after_is_shorter_with_lease_in_region() {
    let near = delays(RefusalCause::NoLease { is_held_in_region: true });
    let none = delays(RefusalCause::NoLease { is_held_in_region: false });
    assert!(near.iter().max() < none.iter().min());
}
