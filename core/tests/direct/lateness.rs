use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::lateness::LongestDeadline;

const OBJECTIVE: Duration = Duration::from_millis(400);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn at(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

// A burst lasts for seconds, and callers that were refused come back in it. Taken for new ones, they
// push out callers that could still be answered in time.
#[test]
fn is_late_knows_callers_that_come_back() {
    let mut longest = LongestDeadline::default();
    assert!(!longest.is_late(secs(6.0), OBJECTIVE, at(1)));
    assert!(!longest.is_late(secs(5.5), OBJECTIVE, at(1)));
    assert!(longest.is_late(secs(4.8), OBJECTIVE, at(2)));
}

// One caller with far more patience than all others must not make these late for ever.
#[test]
fn is_late_forgets_an_unusual_caller() {
    let mut longest = LongestDeadline::default();
    assert!(!longest.is_late(secs(60.0), OBJECTIVE, at(1)));
    assert!(longest.is_late(secs(6.0), OBJECTIVE, at(2)));
    assert!(longest.is_late(secs(6.0), OBJECTIVE, at(12)));
    assert!(!longest.is_late(secs(6.0), OBJECTIVE, at(23)));
}

// After a quiet night the first callers are compared with nothing that is long gone.
#[test]
fn is_late_starts_anew_after_a_pause() {
    let mut longest = LongestDeadline::default();
    assert!(!longest.is_late(secs(60.0), OBJECTIVE, at(1)));
    assert!(!longest.is_late(secs(6.0), OBJECTIVE, at(100)));
}
