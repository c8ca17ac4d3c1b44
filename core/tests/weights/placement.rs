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

/// Makes engines load what the plan says, except that hosts in `broken` do not load the new
/// version.
fn apply_plan(plan: &Plan, engines: &mut [EngineHost], broken: &[&str]) {
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
    assert_eq!(
        fixture.next(Some(&plan), OLD, &engines),
        Some(plan),
        "a plan that satisfies the goal does not change"
    );
}

// A zone leaves and returns. A replica that moves without need transfers weights over slow links
// again, at the time of the highest load.
#[test]
fn next_plan_moves_few_replicas_when_zone_leaves_and_returns() {
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
        assert!(moved <= 1, "each step moves at most one replica");
        plan = next;
    }
    assert_eq!(zones_of(&plan, &all).values().min(), Some(&2));
}

// A version that no engine can load is published. If the rollout went on, one replica after the
// other would leave the working version until callers found none.
#[test]
fn rollout_of_unloadable_version_stops_after_one_batch() {
    let mut fixture = Fixture::new(8);
    let mut engines = engines(&[("lagoa", 4), ("serra", 4)]);
    let names: Vec<String> = engines.iter().map(|engine| engine.host.to_string()).collect();
    let broken: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut plan = fixture.next(None, OLD, &engines).unwrap();
    apply_plan(&plan, &mut engines, &[]);
    for _ in 0..20 {
        plan = fixture.next(Some(&plan), NEW, &engines).unwrap();
        apply_plan(&plan, &mut engines, &broken);
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

// The only replica changes its version. Switching it first would be an outage.
#[test]
fn rollout_of_single_replica_adds_second_first() {
    let fixture = Fixture::new(1);
    let mut engines = engines(&[("lagoa", 2)]);
    let first = fixture.next(None, OLD, &engines).unwrap();
    apply_plan(&first, &mut engines, &[]);
    let second = fixture.next(Some(&first), NEW, &engines).unwrap();
    assert_eq!((second.serving, second.replicas.len()), (OLD, 2));
    apply_plan(&second, &mut engines, &[]);
    let mut plan = second;
    for _ in 0..3 {
        plan = fixture.next(Some(&plan), NEW, &engines).unwrap();
        apply_plan(&plan, &mut engines, &[]);
    }
    assert_eq!((plan.serving, plan.loading, plan.replicas.len()), (NEW, None, 1));
    assert_eq!(plan.replicas[0].version, NEW);
}

/// Rolls a version out while, at each step, the next of `deaths` (index of the first dead host,
/// number of dead hosts) is dead.
fn check_rollout(replicas: u32, deaths: &[(usize, usize)]) {
    let fixture = Fixture::new(replicas);
    let mut engines = engines(&[("lagoa", 5), ("serra", 5), ("litoral", 4)]);
    let mut plan = fixture.next(None, OLD, &engines).unwrap();
    apply_plan(&plan, &mut engines, &[]);
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
        // Hosts that are ready and still would be after all engines followed the plan.
        let after = live
            .iter()
            .filter(|engine| engine.ready == Some(next.serving))
            .filter(|engine| next.version_for(&engine.host).is_none_or(|v| v == next.serving))
            .count();
        assert!(before == 0 || after > 0, "{plan:#?} to {next:#?} with {live:#?}");
        plan = next;
        apply_plan(&plan, &mut engines, &[]);
        done = plan.serving == NEW && plan.loading.is_none();
    }
    assert!(done, "{plan:?}");
}

// The replicas of a small model die one after the other during a rollout, and only hosts that held
// it before still answer. Callers find no endpoint if the plan switches those too.
#[test]
fn rollout_with_deaths_between_steps() {
    for deaths in [[(11, 3), (3, 1), (8, 3)], [(0, 1), (12, 2), (8, 3)]] {
        check_rollout(3, &deaths);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]
    // Hosts die and return at any step of a rollout. Following the plan must never remove the last
    // live replica of the serving version.
    #[test]
    fn rollout_keeps_ready_replica_at_each_step(
        replicas in 2u32..12,
        deaths in proptest::collection::vec((0usize..14, 1usize..4), 0..12),
    ) {
        check_rollout(replicas, &deaths);
    }
}

// The platform is down for long and a host dies. The candidates of its zone must agree without
// communication on the one that takes over: two would waste a host, none would leave the zone
// short.
#[test]
fn takeover_version_matches_each_dead_replica_with_one_candidate() {
    let fixture = Fixture::new(4);
    let engines = engines(&[("lagoa", 5), ("serra", 5)]);
    let plan = fixture.next(None, OLD, &engines).unwrap();
    let in_lagoa = |host: &HostName| host.as_str().starts_with("lagoa");
    let replica = plan.replicas.iter().find(|r| in_lagoa(&r.host)).unwrap().host.clone();
    let first = plan.candidates.iter().find(|host| in_lagoa(host)).unwrap().clone();
    let takeovers = |dead: &[HostName]| -> Vec<HostName> {
        let live = plan.candidates.iter().filter(|host| in_lagoa(host) && !dead.contains(host));
        live.filter(|me| {
            takeover_version(&plan, me, in_lagoa, |host| dead.contains(host)).is_some()
        })
        .cloned()
        .collect()
    };
    assert!(takeovers(&[]).is_empty());
    assert_eq!(takeovers(std::slice::from_ref(&replica)), std::slice::from_ref(&first));
    let second = takeovers(&[replica, first.clone()]);
    assert!(second.len() == 1 && second[0] != first);
}

#[test]
fn target_replicas_follows_load_with_hysteresis() {
    let placement = placement(4);
    let mut scaler = Autoscaler::default();
    let mut replicas = 4;
    let mut at = |seconds: u64, load: f64| {
        replicas =
            scaler.target_replicas(replicas, &placement, load, Time::from_millis(seconds * 1_000));
        replicas
    };
    assert_eq!(at(0, 0.9), 4, "a short peak adds no replica");
    assert_eq!(at(3, 0.9), 5);
    assert_eq!(at(4, 0.5), 5, "no change between the thresholds");
    for second in 5..60 {
        at(second, 1.0);
    }
    assert_eq!(at(60, 1.0), 8, "at most the configured maximum");
    assert_eq!(at(61, 0.1), 8);
    assert_eq!(at(100, 0.1), 8, "a short pause removes no replica");
    assert_eq!(at(122, 0.1), 7);
    assert_eq!(at(130, 0.9), 7);
}
