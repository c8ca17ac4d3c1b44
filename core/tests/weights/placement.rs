use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mastichaven_core::Time;
use mastichaven_core::config::Placement;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ModelName;
use mastichaven_core::placement::Autoscaler;
use mastichaven_core::placement::EngineHost;
use mastichaven_core::placement::Goal;
use mastichaven_core::placement::next_plan;
use mastichaven_core::placement::takeover_version;
use mastichaven_core::plan::Plan;
use proptest::prelude::ProptestConfig;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;

const OLD: Digest = Digest([1; 32]);
const NEW: Digest = Digest([2; 32]);

fn placement(replicas: u32) -> Placement {
    Placement {
        model: "rota".into(),
        replicas,
        max_replicas: Some(replicas * 2),
        zones: Vec::new(),
        pin: Vec::new(),
        exclude: Vec::new(),
    }
}

fn engines(zones: &[(&str, usize)]) -> Vec<EngineHost> {
    let of_zone = |(zone, count): &(&str, usize)| {
        let zone = (*zone).to_owned();
        (0..*count).map(move |n| EngineHost {
            host: HostName::new(format!("{zone}-{n}")),
            zone: zone.as_str().into(),
            memory_mib: 0,
            ready: None,
        })
    };
    zones.iter().flat_map(of_zone).collect()
}

struct Fixture {
    placement: Placement,
    model: ModelName,
    failed: BTreeSet<HostName>,
    reserved: BTreeSet<HostName>,
}

impl Fixture {
    fn new(replicas: u32) -> Fixture {
        Fixture {
            placement: placement(replicas),
            model: "rota".into(),
            failed: BTreeSet::new(),
            reserved: BTreeSet::new(),
        }
    }

    fn next(&self, old: Option<&Plan>, version: Digest, engines: &[EngineHost]) -> Option<Plan> {
        let goal = Goal {
            model: &self.model,
            version,
            memory_mib: 100,
            placement: &self.placement,
            replicas: self.placement.replicas as usize,
            failed: &self.failed,
            reserved: &self.reserved,
        };
        next_plan(old, &goal, engines)
    }
}

fn zones_of(plan: &Plan, engines: &[EngineHost]) -> BTreeMap<String, usize> {
    let mut zones = BTreeMap::new();
    for replica in &plan.replicas {
        let engine = engines.iter().find(|engine| engine.host == replica.host).unwrap();
        *zones.entry(engine.zone.to_string()).or_default() += 1;
    }
    zones
}

/// Engines do what the plan says, but for hosts in `broken`.
fn obey(plan: &Plan, engines: &mut [EngineHost], broken: &[&str]) {
    for engine in engines {
        if let Some(version) = plan.version_for(&engine.host)
            && !(version == NEW && broken.contains(&engine.host.as_str()))
        {
            engine.ready = Some(version);
        }
    }
}

#[test]
fn next_plan_spreads_over_zones_within_limits() {
    let mut fixture = Fixture::new(6);
    fixture.placement.pin = vec!["serra-0".into()];
    fixture.placement.exclude = vec!["lagoa-0".into()];
    fixture.reserved.insert("lagoa-1".into());
    let mut engines = engines(&[("lagoa", 6), ("serra", 6), ("litoral", 6)]);
    engines[2].memory_mib = 50;
    let plan = fixture.next(None, OLD, &engines).unwrap();
    assert!(zones_of(&plan, &engines).values().all(|count| *count == 2), "{plan:?}");
    assert!(plan.version_for(&"serra-0".into()).is_some());
    for host in ["lagoa-0", "lagoa-1", "lagoa-2"] {
        let host = HostName::new(host);
        assert!(plan.version_for(&host).is_none() && !plan.candidates.contains(&host), "{host}");
    }
    assert_eq!(fixture.next(Some(&plan), OLD, &engines), Some(plan), "nothing moves without need");
}

// A zone goes out and comes back. Replicas that move more than they must drag weights over thin
// links a second time while the burst is on.
#[test]
fn next_plan_moves_little_when_zone_leaves_and_returns() {
    let fixture = Fixture::new(6);
    let all = engines(&[("lagoa", 6), ("serra", 6), ("litoral", 6)]);
    let first = fixture.next(None, OLD, &all).unwrap();
    let without: Vec<EngineHost> =
        all.iter().filter(|s| s.zone != "serra".into()).cloned().collect();
    let second = fixture.next(Some(&first), OLD, &without).unwrap();
    let stayed = first.replicas.iter().filter(|r| second.replicas.contains(r)).count();
    assert_eq!((second.replicas.len(), stayed), (6, 4));
    let mut plan = second;
    for _ in 0..4 {
        let next = fixture.next(Some(&plan), OLD, &all).unwrap();
        let moved = next.replicas.iter().filter(|r| !plan.replicas.contains(r)).count();
        assert!(moved <= 1, "one step moves one replica");
        plan = next;
    }
    assert_eq!(zones_of(&plan, &all).values().min(), Some(&2));
}

// A version that no engine can load is published. If the plan went on, replica after replica would
// leave the version that works, until callers found none.
#[test]
fn rollout_of_broken_version_stops_after_one_batch() {
    let mut fixture = Fixture::new(8);
    let mut engines = engines(&[("lagoa", 4), ("serra", 4)]);
    let names: Vec<String> = engines.iter().map(|engine| engine.host.to_string()).collect();
    let broken: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut plan = fixture.next(None, OLD, &engines).unwrap();
    obey(&plan, &mut engines, &[]);
    for _ in 0..20 {
        plan = fixture.next(Some(&plan), NEW, &engines).unwrap();
        obey(&plan, &mut engines, &broken);
        fixture.failed = plan
            .replicas
            .iter()
            .filter(|replica| replica.version == NEW)
            .map(|replica| replica.host.clone())
            .collect();
    }
    assert_eq!(plan.serving, OLD);
    assert_eq!(plan.replicas.iter().filter(|replica| replica.version == OLD).count(), 6);
    let back = fixture.next(Some(&plan), OLD, &engines).unwrap();
    assert!(back.loading.is_none() && back.replicas.iter().all(|r| r.version == OLD));
}

// The only replica is to change its version. Taking it away first would be an outage.
#[test]
fn rollout_of_single_replica_adds_one_first() {
    let fixture = Fixture::new(1);
    let mut engines = engines(&[("lagoa", 2)]);
    let first = fixture.next(None, OLD, &engines).unwrap();
    obey(&first, &mut engines, &[]);
    let second = fixture.next(Some(&first), NEW, &engines).unwrap();
    assert_eq!((second.serving, second.replicas.len()), (OLD, 2));
    obey(&second, &mut engines, &[]);
    let mut plan = second;
    for _ in 0..3 {
        plan = fixture.next(Some(&plan), NEW, &engines).unwrap();
        obey(&plan, &mut engines, &[]);
    }
    assert_eq!((plan.serving, plan.loading, plan.replicas.len()), (NEW, None, 1));
    assert_eq!(plan.replicas[0].version, NEW);
}

/// Rolls a version out while, at each step, the next of `deaths` (first seat, how many) is dead.
fn roll_out(replicas: u32, deaths: &[(usize, usize)]) {
    let fixture = Fixture::new(replicas);
    let mut engines = engines(&[("lagoa", 5), ("serra", 5), ("litoral", 4)]);
    let mut plan = fixture.next(None, OLD, &engines).unwrap();
    obey(&plan, &mut engines, &[]);
    let mut deaths = deaths.iter();
    let mut done = false;
    for _ in 0..60 {
        let dead = deaths.next();
        let live: Vec<EngineHost> = engines
            .iter()
            .enumerate()
            .filter(|(n, _)| dead.is_none_or(|(from, count)| !(*from..from + count).contains(n)))
            .map(|(_, engine)| engine.clone())
            .collect();
        let before = live.iter().filter(|engine| engine.ready == Some(plan.serving)).count();
        let next = fixture.next(Some(&plan), NEW, &live).unwrap();
        // What is ready and would still be after every order of the plan was carried out.
        let after = live
            .iter()
            .filter(|engine| engine.ready == Some(next.serving))
            .filter(|engine| next.version_for(&engine.host).is_none_or(|v| v == next.serving))
            .count();
        assert!(before == 0 || after > 0, "{plan:#?} to {next:#?} with {live:#?}");
        plan = next;
        obey(&plan, &mut engines, &[]);
        done = plan.serving == NEW && plan.loading.is_none();
    }
    assert!(done, "{plan:?}");
}

// The replicas of a small model die one after the other while it is rolled out, and hosts that
// held it before are all that still answer. Callers find no endpoint if the plan takes those, too.
#[test]
fn rollout_when_holders_die_between_steps() {
    for deaths in [[(11, 3), (3, 1), (8, 3)], [(0, 1), (12, 2), (8, 3)]] {
        roll_out(3, &deaths);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]
    // Hosts die and come back at any step of a rollout. Whatever the plan says, following it must
    // not take the last live replica of the serving version.
    #[test]
    fn rollout_keeps_a_ready_replica_at_each_step(
        replicas in 2u32..12,
        deaths in proptest::collection::vec((0usize..14, 1usize..4), 0..12),
    ) {
        roll_out(replicas, &deaths);
    }
}

// The platform is down for long and a host dies. Its zone's candidates must agree, without asking
// anybody, which one of them steps in: two would waste a host, none would leave the zone short.
#[test]
fn stand_in_is_one_live_candidate_a_dead_replica() {
    let fixture = Fixture::new(4);
    let engines = engines(&[("lagoa", 5), ("serra", 5)]);
    let plan = fixture.next(None, OLD, &engines).unwrap();
    let in_lagoa = |host: &HostName| host.as_str().starts_with("lagoa");
    let replica = plan.replicas.iter().find(|r| in_lagoa(&r.host)).unwrap().host.clone();
    let first = plan.candidates.iter().find(|host| in_lagoa(host)).unwrap().clone();
    let who = |dead: &[HostName]| -> Vec<HostName> {
        let live = plan.candidates.iter().filter(|host| in_lagoa(host) && !dead.contains(host));
        live.filter(|me| {
            takeover_version(&plan, me, in_lagoa, |host| dead.contains(host)).is_some()
        })
        .cloned()
        .collect()
    };
    assert!(who(&[]).is_empty());
    assert_eq!(who(std::slice::from_ref(&replica)), std::slice::from_ref(&first));
    let second = who(&[replica, first.clone()]);
    assert!(second.len() == 1 && second[0] != first);
}

#[test]
fn scaler_follows_load_with_hysteresis() {
    let placement = placement(4);
    let mut scaler = Autoscaler::default();
    let mut replicas = 4;
    let mut at = |seconds: u64, load: f64| {
        replicas =
            scaler.target_replicas(replicas, &placement, load, Time::from_millis(seconds * 1_000));
        replicas
    };
    assert_eq!(at(0, 0.9), 4, "a moment's peak adds nothing");
    assert_eq!(at(3, 0.9), 5);
    assert_eq!(at(4, 0.5), 5, "between the bounds nothing changes");
    for second in 5..60 {
        at(second, 1.0);
    }
    assert_eq!(at(60, 1.0), 8, "never above the configured bound");
    assert_eq!(at(61, 0.1), 8);
    assert_eq!(at(100, 0.1), 8, "a pause takes nothing away");
    assert_eq!(at(122, 0.1), 7);
    assert_eq!(at(130, 0.9), 7);
}
