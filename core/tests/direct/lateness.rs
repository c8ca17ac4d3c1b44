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

// Callers that were refused in a burst of several seconds come back during it. Treated as new ones,
// they displace callers that can still be answered in time.
#[test]
fn is_late_detects_retries() {
    let mut longest = LongestDeadline::default();
    assert!(!longest.is_late(secs(6.0), OBJECTIVE, at(1)));
    assert!(!longest.is_late(secs(5.5), OBJECTIVE, at(1)));
    assert!(longest.is_late(secs(4.8), OBJECTIVE, at(2)));
}

// One caller with a far longer timeout than all others must not make them late forever.
#[test]
fn is_late_expires_outlier() {
    let mut longest = LongestDeadline::default();
    assert!(!longest.is_late(secs(60.0), OBJECTIVE, at(1)));
    assert!(longest.is_late(secs(6.0), OBJECTIVE, at(2)));
    assert!(longest.is_late(secs(6.0), OBJECTIVE, at(12)));
    assert!(!longest.is_late(secs(6.0), OBJECTIVE, at(23)));
}

// After a long idle period, callers are not compared with those before it.
#[test]
fn is_late_resets_after_idle_period() {
    let mut longest = LongestDeadline::default();
    assert!(!longest.is_late(secs(60.0), OBJECTIVE, at(1)));
    assert!(!longest.is_late(secs(6.0), OBJECTIVE, at(100)));
}
