use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::gate;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::Serving;
use mastichaven_core::orders::Backoff;
use mastichaven_core::orders::Reported;
use mastichaven_core::orders::Wanted;
use mastichaven_core::orders::may_release;
use mastichaven_core::plan::Plan;
use mastichaven_core::plan::Replica;
use mastichaven_core::plan::routable_version;

fn digest(n: u8) -> Digest {
    Digest([n; 32])
}

fn plan(serving: u8, replicas: &[(&str, u8)]) -> Plan {
    let replica = |(host, version): &(&str, u8)| Replica {
        host: HostName::new(host),
        version: digest(*version),
    };
    Plan {
        model: "rota".into(),
        serving: digest(serving),
        loading: Some(digest(2)),
        replicas: replicas.iter().map(replica).collect(),
        candidates: Vec::new(),
    }
}

// An engine accepts an order and ignores it, or its answer is lost after the order took effect. If
// the agent trusted the answer, callers would get the old weights under the name of the new
// version.
#[test]
fn confirm_compares_reported_version() {
    let ordered = || {
        let wanted = Wanted::new(digest(2), 7, Incarnation(1));
        let drained = wanted.verify(true).unwrap().drain(true, 0).unwrap();
        drained.order().2
    };
    let reports = |version| Some(Reported { start: StartId(3), version });
    assert_eq!(ordered().confirm(reports(Some(digest(2)))), Ok(StartId(3)));
    assert_eq!(ordered().confirm(reports(Some(digest(1)))), Err(Code::OrderIgnored));
    assert_eq!(ordered().confirm(reports(None)), Err(Code::OrderIgnored));
    assert_eq!(ordered().confirm(None), Err(Code::OrderIgnored));
}

// The plan changes while chunks are missing or requests run. An engine that reloads then would
// answer from partial weights or change weights during an answer.
#[test]
fn drain_requires_complete_weights_and_idle_engine() {
    let wanted = Wanted::new(digest(2), 7, Incarnation(1));
    assert!(wanted.verify(false).is_err());
    let verified = wanted.verify(true).unwrap();
    assert!(verified.drain(true, 1).is_err());
    assert!(verified.drain(false, 0).is_err());
    assert!(verified.drain(true, 0).is_ok());
}

// During a rollout, the replica that keeps the serving version dies just before another one
// switches. If that one switched, callers would find no replica of the serving version.
#[test]
fn may_release_keeps_last_ready_replica() {
    let plan = plan(1, &[("a", 2), ("b", 2), ("c", 1)]);
    let may = |ready: &[&str]| {
        may_release(Some(&plan), &"a".into(), digest(1), |host| ready.contains(&host.as_str()))
    };
    assert!(may(&["b", "c"]));
    assert!(!may(&["b"]), "b also switches and does not count");
    assert!(!may(&[]));
    let switched = Plan { serving: digest(2), ..plan.clone() };
    assert!(may_release(Some(&switched), &"a".into(), digest(1), |_| false));
    assert!(!may_release(None, &"a".into(), digest(1), |_| true), "no release without a plan");
}

// An engine cannot load a version. Without a growing delay it would drain and fail repeatedly
// instead of serving what it has loaded. Another version must not be delayed by that.
#[test]
fn backoff_grows_per_version() {
    let mut backoff = Backoff::default();
    let mut now = Time::from_millis(1_000);
    let mut waits = Vec::new();
    for _ in 0..9 {
        backoff.record_failure(digest(2), now);
        assert!(backoff.allows(digest(3), now));
        let start = now;
        while !backoff.allows(digest(2), now) {
            now = now + std::time::Duration::from_millis(100);
        }
        waits.push(now.since(start).as_millis());
    }
    assert!(waits.is_sorted() && waits[0] == 500 && waits[8] == 60_000, "{waits:?}");
}

// The engine restarts or is switched between the check of the gate and its answer. The caller would
// get a complete answer from other weights than requested.
#[test]
fn gate_rejects_answer_after_restart_or_switch() {
    let serving = Serving::Model { model: "rota".into(), version: digest(1), start: StartId(1) };
    let service = "rota".into();
    assert_eq!(gate::check_serving(&serving, &service, Some(digest(2))), Err(Code::WrongVersion));
    assert_eq!(gate::check_serving(&Serving::Nothing, &service, None), Err(Code::EndpointClosed));
    let source = gate::check_serving(&serving, &service, Some(digest(1))).unwrap();
    assert_eq!(source.check_response(Some(StartId(1)), Some(digest(1))), Ok(()));
    for (start, version) in [(2, 1), (1, 2)] {
        let answer = source.check_response(Some(StartId(start)), Some(digest(version)));
        assert_eq!(answer, Err(Code::EndpointLost));
    }
    assert_eq!(
        source.check_response(None, None),
        Err(Code::EndpointLost),
        "an engine that reports neither start nor version"
    );
}

// The configured version changes. Entries that followed the configuration at once would find no
// replica of it for minutes; entries that only followed the plan would fail when the last replica
// of the old version dies during the rollout.
#[test]
fn routable_version_is_ready() {
    let plan = plan(1, &[("a", 2), ("b", 1)]);
    let choose = |ready: &'static [u8]| {
        routable_version(Some(&plan), digest(2), move |v| ready.contains(&v.0[0]))
    };
    assert_eq!(choose(&[1, 2]), digest(1));
    assert_eq!(choose(&[2]), digest(2));
    assert_eq!(choose(&[]), digest(1));
    assert_eq!(routable_version(None, digest(2), |_| false), digest(2));
}
