use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::quarantine::Crash;
use mastichaven_core::quarantine::Quarantine;
use mastichaven_core::quarantine::RunPolicy;

const SPAN: Duration = Duration::from_secs(60);

// A request crashes each engine that runs it and is retried repeatedly. At its first crash another
// request was in progress and becomes a suspect as well.
#[test]
fn policy_after_shared_and_exclusive_crash() {
    let (culprit, innocent) = (Digest::of(b"poison"), Digest::of(b"rota draft"));
    let mut quarantine = Quarantine::default();
    for request in [culprit, innocent] {
        quarantine.record_crash(Crash { request, concurrent: 1 }, Time::ZERO);
        assert_eq!(quarantine.policy(request, SPAN, Time::ZERO), RunPolicy::Exclusive);
    }
    quarantine.clear(innocent);
    quarantine.record_crash(Crash { request: culprit, concurrent: 0 }, Time::ZERO);
    assert_eq!(quarantine.policy(innocent, SPAN, Time::ZERO), RunPolicy::Shared);
    assert_eq!(quarantine.policy(culprit, SPAN, Time::ZERO), RunPolicy::Refused);
    let later = Time::ZERO + SPAN;
    assert_eq!(
        quarantine.policy(culprit, SPAN, later),
        RunPolicy::Exclusive,
        "it may run exclusively after the quarantine"
    );
}

// A request was in progress during several crashes caused by others.
#[test]
fn policy_after_shared_crashes_only() {
    let request = Digest::of(b"rota draft");
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.record_crash(Crash { request, concurrent: 3 }, Time::ZERO);
    }
    assert_eq!(quarantine.policy(request, SPAN, Time::ZERO), RunPolicy::Exclusive);
}
