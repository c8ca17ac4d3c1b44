//! Placement: computes the next plan of a model from the last plan, the configuration and the live
//! hosts.
//!
//! A plan changes as little as possible: hosts stay where they may, and each step of a rollout
//! switches only some of the replicas. Limits on what a step may remove count only replicas that
//! are ready now, so that the last ready replica of the serving version stays.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::config::Placement;
use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::ModelName;
use crate::ids::ZoneName;
use crate::plan::Plan;
use crate::plan::Replica;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// Divisor of the number of replicas that gives the size of a batch in rollout and scaling.
const BATCH_DIVISOR: usize = 4;

/// Maximum number of candidates in a plan.
const MAX_CANDIDATES: usize = 256;

/// Difference in replicas between two zones at which one replica is moved.
const ZONE_REBALANCE_SKEW: usize = 2;

/// Load, as a share of the admitted work, from which replicas are added.
pub const SCALE_UP_LOAD: f64 = 0.8;

/// Load up to which replicas are removed. The gap to [`SCALE_UP_LOAD`] and the longer delay prevent
/// oscillation, because removing a replica raises the load of the others.
pub const SCALE_DOWN_LOAD: f64 = 0.3;

/// How long the load must be high before replicas are added.
pub const SCALE_UP_DELAY: Duration = Duration::from_secs(2);

/// How long the load must be low before a replica is removed.
pub const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);

/// A live host with an engine that may hold a replica: its availability zone is in service and
/// allowed, and it is not leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineHost {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Memory of its engine in MiB; 0 if unknown.
    pub memory_mib: u64,
    /// The version of this model that its engine answers from now, if any.
    pub ready: Option<Digest>,
}

/// Inputs of a plan besides the last plan and the live hosts.
#[derive(Clone, Debug)]
pub struct Goal<'a> {
    /// Name of the model.
    pub model: &'a ModelName,
    /// The configured version.
    pub version: Digest,
    /// Memory that one replica needs, in MiB.
    pub memory_mib: u64,
    /// Zones, pins and exclusions of the model.
    pub placement: &'a Placement,
    /// Target number of replicas, within the bounds of the placement.
    pub replicas: usize,
    /// Hosts whose engines did not load the configured version in time.
    pub failed: &'a BTreeSet<HostName>,
    /// Hosts in the plans of other models.
    pub reserved: &'a BTreeSet<HostName>,
}

impl Goal<'_> {
    fn allows(&self, engine: &EngineHost) -> bool {
        let placement = self.placement;
        let zone = placement.zones.is_empty() || placement.zones.contains(&engine.zone);
        let memory = engine.memory_mib == 0 || engine.memory_mib >= self.memory_mib;
        zone && memory
            && !placement.exclude.contains(&engine.host)
            && !self.reserved.contains(&engine.host)
    }

    /// Order in which unused hosts of a zone are chosen, the same for every planner.
    fn score(&self, host: &HostName) -> u64 {
        key_of(Digest::of(format!("{host}/{}", self.model).as_bytes()))
    }
}

/// Computes the next plan. `None` if no host may hold the model.
pub fn next_plan(old: Option<&Plan>, goal: &Goal, engines: &[EngineHost]) -> Option<Plan> {
    let usable: Vec<&EngineHost> = engines.iter().filter(|engine| goal.allows(engine)).collect();
    let chosen = choose_hosts(old, goal, &usable);
    if chosen.is_empty() {
        return None;
    }
    let (serving, loading, replicas) = choose_versions(old, goal, &usable, &chosen);
    Some(Plan {
        model: goal.model.clone(),
        serving,
        loading,
        candidates: candidates(goal, &usable, &replicas),
        replicas,
    })
}

/// Hosts of the next plan: those of the old one that may stay, pinned hosts, then hosts of the
/// zones with fewest replicas.
fn choose_hosts<'a>(
    old: Option<&Plan>,
    goal: &Goal,
    usable: &[&'a EngineHost],
) -> Vec<&'a EngineHost> {
    let pinned = |engine: &EngineHost| goal.placement.pin.contains(&engine.host);
    let in_old_plan =
        |engine: &EngineHost| old.is_some_and(|plan| plan.version_for(&engine.host).is_some());
    let mut chosen: Vec<&EngineHost> =
        usable.iter().copied().filter(|engine| in_old_plan(engine) || pinned(engine)).collect();
    let wanted = goal.replicas.max(chosen.iter().filter(|engine| pinned(engine)).count());
    while chosen.len() < wanted {
        let Some(engine) = best_spare(goal, usable, &chosen) else {
            break;
        };
        chosen.push(engine);
    }
    if chosen.len() == wanted
        && let Some(engine) = best_spare(goal, usable, &chosen)
    {
        // One more in a zone that is short of replicas; the loop below removes one from the fullest
        // zone.
        let counts = count_zones(&chosen);
        let highest = counts.values().copied().max().unwrap_or(0);
        if counts.get(&engine.zone).copied().unwrap_or(0) + ZONE_REBALANCE_SKEW <= highest {
            chosen.push(engine);
        }
    }
    while chosen.len() > wanted {
        let counts = count_zones(&chosen);
        let place = chosen.iter().enumerate().filter(|(_, engine)| !pinned(engine)).max_by_key(
            |(_, engine)| {
                (counts[&engine.zone], engine.ready != Some(goal.version), goal.score(&engine.host))
            },
        );
        let Some((n, _)) = place else {
            break;
        };
        chosen.remove(n);
    }
    chosen.sort_by(|a, b| a.host.cmp(&b.host));
    chosen
}

fn count_zones(chosen: &[&EngineHost]) -> BTreeMap<ZoneName, usize> {
    let mut counts = BTreeMap::new();
    for engine in chosen {
        *counts.entry(engine.zone.clone()).or_default() += 1;
    }
    counts
}

/// The best unused host: in the zone with fewest replicas, and not one that failed to load.
fn best_spare<'a>(
    goal: &Goal,
    usable: &[&'a EngineHost],
    chosen: &[&EngineHost],
) -> Option<&'a EngineHost> {
    let counts = count_zones(chosen);
    let spare = usable.iter().copied().filter(|engine| {
        !goal.failed.contains(&engine.host) && !chosen.iter().any(|c| c.host == engine.host)
    });
    spare.min_by_key(|engine| {
        (counts.get(&engine.zone).copied().unwrap_or(0), goal.score(&engine.host))
    })
}

fn candidates(goal: &Goal, usable: &[&EngineHost], replicas: &[Replica]) -> Vec<HostName> {
    let mut spare: Vec<HostName> = usable
        .iter()
        .map(|engine| &engine.host)
        .filter(|host| !replicas.iter().any(|replica| replica.host == **host))
        .cloned()
        .collect();
    spare.sort_by_key(|host| goal.score(host));
    spare.truncate(MAX_CANDIDATES);
    spare
}

/// The serving version, the version that is rolled out, and the version of each host.
fn choose_versions(
    old: Option<&Plan>,
    goal: &Goal,
    usable: &[&EngineHost],
    chosen: &[&EngineHost],
) -> (Digest, Option<Digest>, Vec<Replica>) {
    let target = goal.version;
    let all_at_target = || {
        let replica = |engine: &&EngineHost| Replica { host: engine.host.clone(), version: target };
        (target, None, chosen.iter().map(replica).collect())
    };
    let ready = |version: Digest| chosen.iter().filter(move |s| s.ready == Some(version)).count();
    let serving = old.map_or(target, |plan| plan.serving);
    let live_old = usable.iter().any(|engine| engine.ready == Some(serving));
    let enough = ready(target) >= chosen.len().div_ceil(2);
    if serving == target || enough || (!live_old && ready(target) > 0) {
        return all_at_target();
    }
    let mut replicas: Vec<Replica> = chosen
        .iter()
        .map(|engine| {
            let old_version = old.and_then(|plan| plan.version_for(&engine.host));
            // A host that is new to the plan may still answer from the serving version of an
            // earlier plan. If the other hosts died, it can be the only one that does.
            let is_spare = old_version.is_none() && engine.ready != Some(serving);
            let switched = old_version == Some(target) || is_spare || engine.ready == Some(target);
            Replica { host: engine.host.clone(), version: if switched { target } else { serving } }
        })
        .collect();
    switch_batch(goal, serving, chosen, &mut replicas);
    if replicas.iter().all(|replica| replica.version == serving) {
        // No replica may be switched: one more host loads the new version beside the last ready
        // one.
        if let Some(engine) = best_spare(goal, usable, chosen) {
            replicas.push(Replica { host: engine.host.clone(), version: target });
            replicas.sort_by(|a, b| a.host.cmp(&b.host));
        }
    }
    (serving, Some(target), replicas)
}

/// Switches the next batch of replicas, once the previous batch is ready.
///
/// Hosts that failed to load the new version keep counting against the batch: a rollout of a
/// version that does not load stops after one batch and takes no further replicas out of service.
fn switch_batch(goal: &Goal, serving: Digest, chosen: &[&EngineHost], replicas: &mut [Replica]) {
    let target = goal.version;
    let batch = (chosen.len() / BATCH_DIVISOR).max(1);
    let ready_of = |host: &HostName| {
        chosen.iter().find(|engine| engine.host == *host).and_then(|engine| engine.ready)
    };
    let mut waiting = replicas
        .iter()
        .filter(|r| r.version == target && ready_of(&r.host) != Some(target))
        .count();
    let mut kept = replicas
        .iter()
        .filter(|r| r.version == serving && ready_of(&r.host) == Some(serving))
        .count();
    for replica in replicas.iter_mut().filter(|replica| replica.version == serving) {
        if waiting >= batch {
            return;
        }
        let is_ready = ready_of(&replica.host) == Some(serving);
        if is_ready && kept <= 1 {
            continue;
        }
        replica.version = target;
        waiting += 1;
        kept -= usize::from(is_ready);
    }
}

/// The version that candidate `me` loads on its own while no planner is reachable.
///
/// Each dead replica of a zone is matched in order with a live candidate of that zone, so that all
/// candidates reach the same result without communication. `is_dead` must mean silent for long
/// while the plan did not change: a live planner would have replaced the host.
pub fn takeover_version(
    plan: &Plan,
    me: &HostName,
    in_my_zone: impl Fn(&HostName) -> bool,
    is_dead: impl Fn(&HostName) -> bool,
) -> Option<Digest> {
    let mut dead = plan.replicas.iter().filter(|r| in_my_zone(&r.host) && is_dead(&r.host));
    let live = plan.candidates.iter().filter(|host| in_my_zone(host));
    for candidate in live.filter(|host| *host == me || !is_dead(host)) {
        let replica = dead.next()?;
        if candidate == me {
            return Some(replica.version);
        }
    }
    None
}

/// Number of replicas of a model as a function of their load, with hysteresis.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Autoscaler {
    high_since: Option<Time>,
    low_since: Option<Time>,
}

impl Autoscaler {
    /// The number of replicas to run, given `current` ones at `load`, the share of admitted work in
    /// use.
    pub fn target_replicas(
        &mut self,
        current: usize,
        placement: &Placement,
        load: f64,
        now: Time,
    ) -> usize {
        let lower = placement.replicas as usize;
        let upper = placement.max_replicas.map_or(lower, |upper| (upper as usize).max(lower));
        let current = current.clamp(lower, upper);
        let since = |was: Option<Time>, holds: bool| holds.then(|| was.unwrap_or(now));
        self.high_since = since(self.high_since, load >= SCALE_UP_LOAD);
        self.low_since = since(self.low_since, load <= SCALE_DOWN_LOAD);
        if self.high_since.is_some_and(|at| now.passed(at, SCALE_UP_DELAY)) {
            self.high_since = None;
            return (current + current.div_ceil(BATCH_DIVISOR)).min(upper);
        }
        if self.low_since.is_some_and(|at| now.passed(at, SCALE_DOWN_DELAY)) {
            self.low_since = None;
            return current.saturating_sub(1).max(lower);
        }
        current
    }
}
