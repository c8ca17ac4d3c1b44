use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::quarantine::Concurrent;
use mastichaven_core::quarantine::Crash;
use mastichaven_core::quarantine::CrashEvidence;
use mastichaven_core::quarantine::Fingerprint;
use mastichaven_core::quarantine::ProcessKey;
use mastichaven_core::quarantine::Quarantine;
use mastichaven_core::quarantine::RunPolicy;

const SPAN: Duration = Duration::from_secs(60);

/// Time in which all processes report a crash.
const REPORTING_TIME: Duration = Duration::from_millis(150);

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

fn fingerprint(customer: &str, body: &str) -> Fingerprint {
    Fingerprint::new(customer, &[body.as_bytes()])
}

/// A crash of the endpoint `process` while `requests` of one entry were in progress.
fn crash(process: &str, requests: &[Fingerprint]) -> CrashEvidence {
    let process = Some(ProcessKey::new(process, 0));
    CrashEvidence { process, requests: requests.to_vec(), concurrent: Concurrent::Reported }
}

/// Whether a request is refused once all processes have reported the crashes.
fn is_refused(quarantine: &mut Quarantine, request: Fingerprint) -> bool {
    let now = Time::ZERO + REPORTING_TIME;
    quarantine.evaluate(now);
    quarantine.policy(request, SPAN, now) == RunPolicy::Refused
}

// Requests that ran concurrently with the cause of a crash are sent again, and one of them meets the cause again.
#[test]
fn policy_attributes_crashes_to_request_with_most_of_them() {
    let [culprit, unlucky, other] =
        ["culprit", "unlucky", "other"].map(|body| fingerprint("crews", body));
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(crash("a", &[culprit, unlucky, other]), Time::ZERO);
    quarantine.record_crash(crash("b", &[culprit, unlucky]), Time::ZERO);
    assert!(!is_refused(&mut quarantine, culprit), "two crashes are no evidence");
    quarantine.record_crash(crash("c", &[culprit]), Time::ZERO);
    quarantine.record_crash(crash("d", &[culprit]), Time::ZERO);
    assert!(is_refused(&mut quarantine, culprit));
    quarantine.record_crash(crash("e", &[culprit, unlucky]), Time::ZERO);
    assert!(!is_refused(&mut quarantine, unlucky));
    assert!(!is_refused(&mut quarantine, other));
}

// Entries that each saw one crash know together that a request has caused three.
#[test]
fn policy_counts_each_crash_once() {
    let [culprit, other] = ["culprit", "other"].map(|body| fingerprint("crews", body));
    let mut quarantine = Quarantine::default();
    for _ in 0..3 {
        quarantine.record_crash(crash("a", &[culprit]), Time::ZERO);
    }
    assert!(!is_refused(&mut quarantine, culprit), "one crash, reported three times");
    quarantine.record_crash(crash("b", &[other]), Time::ZERO);
    quarantine.record_crash(crash("b", &[culprit]), Time::ZERO);
    quarantine.record_crash(crash("c", &[culprit]), Time::ZERO);
    assert!(is_refused(&mut quarantine, culprit));
    assert!(!is_refused(&mut quarantine, other));
}

// A zone loses power under hundreds of requests, and each of them loses one endpoint.
#[test]
fn policy_after_many_endpoints_crash_at_once() {
    let mut quarantine = Quarantine::default();
    let requests: Vec<Fingerprint> =
        (0..160).map(|n| fingerprint("crews", &n.to_string())).collect();
    for (n, requests) in requests.chunks(16).enumerate() {
        quarantine.record_crash(crash(&n.to_string(), requests), Time::ZERO);
    }
    assert!(requests.iter().all(|request| !is_refused(&mut quarantine, *request)));
}

// Callers send the same lookup all the time, and some of them lose their endpoint now and then.
#[test]
fn policy_of_request_that_completes_between_crashes() {
    let request = fingerprint("crews", "lookup");
    let mut quarantine = Quarantine::default();
    for process in ["a", "b", "c", "d"] {
        quarantine.record_crash(crash(process, &[request]), Time::ZERO);
        assert!(quarantine.clear(request));
    }
    assert_eq!(quarantine.policy(request, SPAN, Time::ZERO), RunPolicy::Shared);
    assert!(quarantine.is_empty());
}

// Two requests that both crash endpoints always run together, so that neither has more crashes.
#[test]
fn policy_of_culprits_that_always_run_together() {
    let both = ["a", "b"].map(|body| fingerprint("crews", body));
    let mut quarantine = Quarantine::default();
    for process in 0..6 {
        assert!(!both.iter().any(|request| is_refused(&mut quarantine, *request)));
        quarantine.record_crash(crash(&process.to_string(), &both), Time::ZERO);
    }
    assert!(both.iter().all(|request| is_refused(&mut quarantine, *request)));
}

// A customer sends thousands of requests that crash endpoints. What is known of others must stay.
#[test]
fn record_crash_evicts_suspects_of_same_customer() {
    let victim = fingerprint("crews", "seldom");
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(crash("a", &[victim]), Time::ZERO);
    quarantine.record_crash(crash("b", &[victim]), Time::ZERO);
    for n in 0..10_000 {
        let request = fingerprint("flooder", &n.to_string());
        quarantine.record_crash(crash(&format!("f{n}"), &[request]), Time::ZERO);
    }
    assert!(quarantine.len() <= 257, "{}", quarantine.len());
    quarantine.record_crash(crash("c", &[victim]), Time::ZERO);
    assert!(is_refused(&mut quarantine, victim));
}

#[test]
fn fingerprint_depends_on_customer_and_parts() {
    let base = Fingerprint::new("crews", &[b"/a", b"body"]);
    assert_eq!(base, Fingerprint::new("crews", &[b"/a", b"body"]));
    assert_ne!(base, Fingerprint::new("desk", &[b"/a", b"body"]));
    assert_ne!(base, Fingerprint::new("crews", &[b"/ab", b"ody"]));
}

// The entry of a request that only ran concurrently with the cause of three crashes reports the third one first.
#[test]
fn evaluate_waits_until_all_have_reported_a_crash() {
    let [culprit, unlucky] = ["culprit", "unlucky"].map(|body| fingerprint("crews", body));
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(crash("a", &[culprit, unlucky]), Time::ZERO);
    quarantine.record_crash(crash("b", &[culprit, unlucky]), Time::ZERO);
    quarantine.record_crash(crash("c", &[unlucky]), Time::ZERO);
    assert!(!quarantine.evaluate(Time::ZERO + REPORTING_TIME / 2));
    quarantine.record_crash(crash("c", &[culprit]), Time::ZERO + REPORTING_TIME / 2);
    assert!(!is_refused(&mut quarantine, unlucky));
    quarantine.record_crash(crash("d", &[culprit]), Time::ZERO);
    quarantine.record_crash(crash("e", &[culprit]), Time::ZERO);
    assert!(is_refused(&mut quarantine, culprit));
    assert!(!is_refused(&mut quarantine, unlucky));
}

// An entry does not know what other entries had in progress, so few crashes are no evidence.
#[test]
fn policy_of_entry_without_reports_of_others() {
    let request = fingerprint("crews", "lookup");
    let mut quarantine = Quarantine::default();
    for process in 0..6 {
        assert!(!is_refused(&mut quarantine, request));
        let concurrent = Concurrent::Unknown;
        let evidence = CrashEvidence { concurrent, ..crash(&process.to_string(), &[request]) };
        quarantine.record_crash(evidence, Time::ZERO);
    }
    assert!(is_refused(&mut quarantine, request));
}

// A report of the cause is lost, beside a request that was in progress at the same three crashes.
#[test]
fn evaluate_without_some_reports_of_the_cause() {
    let [culprit, unlucky] = ["culprit", "unlucky"].map(|body| fingerprint("crews", body));
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(crash("a", &[culprit, unlucky]), Time::ZERO);
    quarantine.record_crash(crash("b", &[culprit, unlucky]), Time::ZERO);
    quarantine.record_crash(crash("c", &[unlucky]), Time::ZERO);
    assert!(!is_refused(&mut quarantine, unlucky));
}
