use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::crash_evidence::Concurrent;
use mastichaven_core::crash_evidence::RequestEvidence;
use mastichaven_core::fingerprint::Fingerprint;
use mastichaven_core::fingerprint::ProcessKey;
use mastichaven_core::ids::Digest;
use mastichaven_core::quarantine::Crash;
use mastichaven_core::quarantine::CrashReport;
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
        assert_eq!(quarantine.policy(&[request.into()], SPAN, Time::ZERO), RunPolicy::Exclusive);
    }
    quarantine.clear(&[innocent.into()], Time::ZERO);
    quarantine.record_crash(Crash { request: culprit, concurrent: 0 }, Time::ZERO);
    assert_eq!(quarantine.policy(&[innocent.into()], SPAN, Time::ZERO), RunPolicy::Shared);
    assert_eq!(quarantine.policy(&[culprit.into()], SPAN, Time::ZERO), RunPolicy::Refused);
    let later = Time::ZERO + SPAN;
    assert_eq!(
        quarantine.policy(&[culprit.into()], SPAN, later),
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
    assert_eq!(quarantine.policy(&[request.into()], SPAN, Time::ZERO), RunPolicy::Exclusive);
}

fn fingerprint(customer: &str, body: &str) -> Fingerprint {
    Fingerprint::new(customer, &[body.as_bytes()])
}

/// A crash of the endpoint `process` while `requests` of one entry were in progress.
fn crash(process: &str, requests: &[Fingerprint]) -> CrashReport {
    let traits: Vec<Vec<Fingerprint>> = requests.iter().map(|request| vec![*request]).collect();
    crash_of(process, &traits)
}

/// A crash of the endpoint `process` while requests with these traits were in progress, sent since the last crash.
fn crash_of(process: &str, requests: &[Vec<Fingerprint>]) -> CrashReport {
    let process = Some(ProcessKey::new(process, 0));
    let evidence =
        |traits: &Vec<Fingerprint>| RequestEvidence { traits: traits.clone(), ran_ms: 0 };
    let requests = requests.iter().map(evidence).collect();
    CrashReport { process, requests, concurrent: Concurrent::Reported, age: Duration::ZERO }
}

/// Whether a request is refused once all processes have reported the crashes.
fn is_refused(quarantine: &mut Quarantine, request: Fingerprint) -> bool {
    let now = Time::ZERO + REPORTING_TIME;
    quarantine.evaluate(now);
    quarantine.policy(&[request], SPAN, now) == RunPolicy::Refused
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
        assert!(!quarantine.clear(&[request], Time::ZERO).is_empty());
    }
    assert_eq!(quarantine.policy(&[request], SPAN, Time::ZERO), RunPolicy::Shared);
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
        let evidence = CrashReport { concurrent, ..crash(&process.to_string(), &[request]) };
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

/// Whether requests with `traits` are refused at `now`.
fn refuses(quarantine: &Quarantine, traits: &[Fingerprint], now: Time) -> bool {
    quarantine.policy(traits, SPAN, now) == RunPolicy::Refused
}

/// The traits of the request number `n` with `parts` in its prompt, a part of its own last.
fn request_with(n: u32, parts: &[&str]) -> Vec<Fingerprint> {
    let own = n.to_string();
    let ids = parts.iter().copied().chain([own.as_str()]);
    let parts = ids.map(|id| Fingerprint::of_prompt_part("m", id));
    [fingerprint("crews", &own)].into_iter().chain(parts).collect()
}

/// Time between two crashes that are not at the same moment.
const INTERVAL: Duration = Duration::from_millis(300);

// No two requests that crash endpoints are alike. Each crash also ends requests with the same first part.
#[test]
fn policy_of_part_that_crashes_endpoints() {
    let mut quarantine = Quarantine::default();
    let mut now = Time::ZERO;
    for n in 0..4 {
        now = now + INTERVAL;
        let beside =
            [request_with(100 + n, &["first", "a"]), request_with(200 + n, &["first", "b"])];
        let requests = [vec![request_with(n, &["first", "deadly"])], beside.to_vec()].concat();
        quarantine.record_crash(crash_of(&n.to_string(), &requests), now);
        quarantine.evaluate(now + REPORTING_TIME);
        for part in ["a", "b"] {
            quarantine.clear(&request_with(300 + n, &["first", part]), now + REPORTING_TIME);
        }
    }
    assert!(refuses(&quarantine, &request_with(400, &["first", "deadly"]), now));
    assert!(refuses(&quarantine, &request_with(401, &["other first", "deadly"]), now));
    for part in ["a", "b", "new"] {
        assert!(!refuses(&quarantine, &request_with(402, &["first", part]), now), "{part}");
    }
}

// Whether the request or a part of its prompt is the cause is not known while the same request is sent again.
#[test]
fn policy_of_request_that_crashes_endpoints_spares_its_parts() {
    let mut quarantine = Quarantine::default();
    let request = request_with(0, &["first", "middle"]);
    let mut now = Time::ZERO;
    for n in 0..3 {
        now = now + INTERVAL;
        quarantine.record_crash(crash_of(&n.to_string(), std::slice::from_ref(&request)), now);
        quarantine.evaluate(now + REPORTING_TIME);
    }
    assert!(refuses(&quarantine, &request, now));
    assert!(!refuses(&quarantine, &request_with(1, &["first", "middle"]), now));
}

// A part was always in progress together with the cause, until a request with the part alone completes.
#[test]
fn clear_tells_cause_from_part_beside_it() {
    let mut quarantine = Quarantine::default();
    let mut now = Time::ZERO;
    for n in 0..4 {
        now = now + INTERVAL;
        let request = request_with(n, &["deadly", "companion"]);
        quarantine.record_crash(crash_of(&n.to_string(), &[request]), now);
        quarantine.evaluate(now + REPORTING_TIME);
    }
    assert!(refuses(&quarantine, &request_with(5, &["deadly", "companion"]), now));
    assert!(!refuses(&quarantine, &request_with(6, &["companion"]), now), "it may be sound");
    assert!(!refuses(&quarantine, &request_with(7, &["deadly"]), now), "so may this one");
    quarantine.clear(&request_with(6, &["companion"]), now + INTERVAL);
    assert!(refuses(&quarantine, &request_with(8, &["deadly"]), now));
    assert!(!refuses(&quarantine, &request_with(9, &["companion"]), now));
}

// Half of all endpoints end at the same moment, twice, with popular parts on each of them.
#[test]
fn policy_of_popular_part_after_many_endpoints_crash_at_once() {
    let mut quarantine = Quarantine::default();
    for round in 0..2_u32 {
        let now = Time::ZERO + INTERVAL * (round + 1);
        for n in 0..20 {
            let part = ["a", "b", "c"][n as usize % 3];
            let traits = request_with(100 * round + n, &["first", part]);
            let requests = vec![RequestEvidence { traits, ran_ms: 250 }];
            let process = Some(ProcessKey::new(&n.to_string(), u64::from(round)));
            let concurrent = Concurrent::Reported;
            let report = CrashReport { process, requests, concurrent, age: Duration::ZERO };
            quarantine.record_crash(report, now);
        }
        quarantine.evaluate(now + REPORTING_TIME);
    }
    let now = Time::ZERO + INTERVAL * 3;
    for part in ["a", "b", "c"] {
        assert!(!refuses(&quarantine, &request_with(999, &["first", part]), now), "{part}");
    }
}

// Two parts crash endpoints during the same time.
#[test]
fn policy_of_two_parts_that_crash_endpoints() {
    let mut quarantine = Quarantine::default();
    let mut now = Time::ZERO;
    for n in 0..12 {
        now = now + INTERVAL;
        let part = ["one", "two"][n as usize % 2];
        let requests = [request_with(n, &["first", part]), request_with(100 + n, &["first", "a"])];
        quarantine.record_crash(crash_of(&n.to_string(), &requests), now);
        quarantine.evaluate(now + REPORTING_TIME);
        quarantine.clear(&request_with(200 + n, &["first", "a"]), now + REPORTING_TIME);
    }
    for part in ["one", "two"] {
        assert!(refuses(&quarantine, &request_with(999, &["first", part]), now), "{part}");
    }
    assert!(!refuses(&quarantine, &request_with(999, &["first", "a"]), now));
}

// A late report of a crash says nothing about a trait that has completed since.
#[test]
fn record_crash_before_completion_is_ignored() {
    let request = fingerprint("crews", "lookup");
    let mut quarantine = Quarantine::default();
    for n in 0..6_u64 {
        let now = Time::ZERO + INTERVAL * (n as u32 + 1);
        quarantine.record_crash(crash(&format!("{n}"), &[request]), now);
        quarantine.clear(&[request], now + REPORTING_TIME);
        let late =
            CrashReport { age: REPORTING_TIME * 2, ..crash(&format!("late {n}"), &[request]) };
        quarantine.record_crash(late, now + REPORTING_TIME);
    }
    assert!(quarantine.is_empty());
}

// A caller sends prompts with hundreds of parts, one of which crashes endpoints.
#[test]
fn fingerprint_of_many_parts_depends_on_customer() {
    let many = Fingerprint::of_many_parts("crews");
    assert_ne!(many, Fingerprint::of_many_parts("desk"));
    assert_ne!(Fingerprint::of_prompt_part("m", "a"), Fingerprint::of_prompt_part("n", "a"));
    assert_ne!(Fingerprint::of_prompt_part("m", "a"), Fingerprint::of_prompt_part("m", "b"));
}

// After the quarantine requests may run again. One more crash refuses them again.
#[test]
fn policy_after_the_end_of_a_quarantine() {
    let mut quarantine = Quarantine::default();
    let request = request_with(0, &["first"]);
    let mut now = Time::ZERO;
    for n in 0..3 {
        now = now + INTERVAL;
        quarantine.record_crash(crash_of(&n.to_string(), std::slice::from_ref(&request)), now);
        quarantine.evaluate(now + REPORTING_TIME);
    }
    let later = now + SPAN;
    assert!(refuses(&quarantine, &request, now));
    assert!(!refuses(&quarantine, &request, later));
    quarantine.record_crash(crash_of("again", std::slice::from_ref(&request)), later);
    quarantine.evaluate(later + REPORTING_TIME);
    assert!(refuses(&quarantine, &request, later + REPORTING_TIME));
}
