use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::loop_lag::LoopLag;

fn record(lag: &mut LoopLag, due_ms: u64, lag_ms: u64) {
    lag.record(Time::from_millis(due_ms), Time::from_millis(due_ms + lag_ms));
}

#[test]
fn max_is_longest_recent_delay() {
    let mut lag = LoopLag::default();
    assert_eq!(lag.max(), Duration::ZERO);
    for (due_ms, lag_ms) in [(1_000, 20), (2_000, 90), (3_000, 40), (4_000, 5)] {
        record(&mut lag, due_ms, lag_ms);
    }
    assert_eq!(lag.max(), Duration::from_millis(90));
    record(&mut lag, 12_500, 1);
    assert_eq!(lag.max(), Duration::from_millis(40));
    record(&mut lag, 30_000, 1);
    assert_eq!(lag.max(), Duration::from_millis(1));
}

// A process that was stopped for minutes must not refuse older weights for seconds after.
#[test]
fn max_of_stopped_process_is_bounded() {
    let mut lag = LoopLag::default();
    record(&mut lag, 1_000, 60_000);
    assert_eq!(lag.max(), Duration::from_millis(600));
}
