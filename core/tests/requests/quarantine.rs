use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::quarantine::Crash;
use mastichaven_core::quarantine::Quarantine;
use mastichaven_core::quarantine::Verdict;

const SPAN: Duration = Duration::from_secs(60);

// One request crashes each engine that runs it, and its caller sends it again and again. Those
// that ran beside it when it first did so look just as guilty.
#[test]
fn verdict_ends_the_crashes_and_spares_the_innocent() {
    let (guilty, innocent) = (Digest::of(b"poison"), Digest::of(b"rota draft"));
    let mut quarantine = Quarantine::default();
    for request in [guilty, innocent] {
        quarantine.crashed(Crash { request, beside: 1 }, Time::ZERO);
        assert_eq!(quarantine.verdict(request, SPAN, Time::ZERO), Verdict::Alone);
    }
    quarantine.came_through(innocent);
    quarantine.crashed(Crash { request: guilty, beside: 0 }, Time::ZERO);
    assert_eq!(quarantine.verdict(innocent, SPAN, Time::ZERO), Verdict::Free);
    assert_eq!(quarantine.verdict(guilty, SPAN, Time::ZERO), Verdict::Refused);
    let later = Time::ZERO + SPAN;
    assert_eq!(quarantine.verdict(guilty, SPAN, later), Verdict::Alone, "it may try again, alone");
}

// An innocent request has the bad luck to run beside two that crash their engines.
#[test]
fn verdict_never_refuses_what_has_not_crashed_alone() {
    let request = Digest::of(b"rota draft");
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.crashed(Crash { request, beside: 3 }, Time::ZERO);
    }
    assert_eq!(quarantine.verdict(request, SPAN, Time::ZERO), Verdict::Alone);
}
