//! Placement: from the last plan, the configuration and the live hosts to the next plan.
//!
//! A plan changes as little as possible: hosts that may stay do, and each step of a rollout orders
//! only a part of the replicas to switch. What a step may take away is counted against replicas
//! that are ready now, so that the last ready replica of the serving version stays.

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

/// Of the replicas of a model, this part switches to a new version at once.
const BATCH_DIVISOR: usize = 4;

/// Candidates named in a plan at most.
const MAX_CANDIDATES: usize = 256;

/// Zones may differ by this many replicas before one is moved.
const ZONE_REBALANCE_SKEW: usize = 2;

/// Load, as a share of the admitted work, above which replicas are added.
pub const SCALE_UP_LOAD: f64 = 0.8;

/// Load below which replicas are taken away again. The gap to [`SCALE_UP_LOAD`] and the longer wait
/// keep the count from swinging: fewer replicas raise the load of the rest.
pub const SCALE_DOWN_LOAD: f64 = 0.3;

/// How long the load must be high before replicas are added.
pub const SCALE_UP_DELAY: Duration = Duration::from_secs(2);

/// How long the load must be low before one replica is taken away.
pub const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);

/// A live engine host that may hold a replica: its zone is in and allowed, it is not leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineHost {
    /// The host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Memory of its engine, in MiB; 0 when it does not say.
    pub memory_mib: u64,
    /// The version its engine answers from now, if it is of this model.
    pub ready: Option<Digest>,
}

/// What a plan is made for.
#[derive(Clone, Debug)]
pub struct Goal<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The configured version.
    pub version: Digest,
    /// Memory one replica needs, in MiB.
    pub memory_mib: u64,
    /// Where it may run.
    pub placement: &'a Placement,
    /// Replicas wanted now, within the placement's bounds.
    pub replicas: usize,
    /// Hosts whose engines did not load the configured version in time.
    pub failed: &'a BTreeSet<HostName>,
    /// Hosts of other models' plans.
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

    /// Order in which spare hosts of one zone are taken: the same at each planner.
    fn score(&self, host: &HostName) -> u64 {
        key_of(Digest::of(format!("{host}/{}", self.model).as_bytes()))
    }
}

/// The next plan. `None` when no host may hold the model.
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

/// Hosts of the next plan: those of the old one that may stay, pins, then the emptiest zones.
fn choose_hosts<'a>(
    old: Option<&Plan>,
    goal: &Goal,
    usable: &[&'a EngineHost],
) -> Vec<&'a EngineHost> {
    let pinned = |engine: &EngineHost| goal.placement.pin.contains(&engine.host);
    let was =
        |engine: &EngineHost| old.is_some_and(|plan| plan.version_for(&engine.host).is_some());
    let mut chosen: Vec<&EngineHost> =
        usable.iter().copied().filter(|engine| was(engine) || pinned(engine)).collect();
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
        // One more where a whole zone is short; the fullest zone gives one up below.
        let counts = count_zones(&chosen);
        let max = counts.values().copied().max().unwrap_or(0);
        if counts.get(&engine.zone).copied().unwrap_or(0) + ZONE_REBALANCE_SKEW <= max {
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

/// The best spare host: of the zone with fewest replicas, and not one that failed to load.
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

/// Which version answers, which is rolled out, and what each host is to hold.
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
            let was = old.and_then(|plan| plan.version_for(&engine.host));
            // A host new to the plan may still answer from an earlier turn; where the holders
            // have died it can be the last that does.
            let is_spare = was.is_none() && engine.ready != Some(serving);
            let switched = was == Some(target) || is_spare || engine.ready == Some(target);
            Replica { host: engine.host.clone(), version: if switched { target } else { serving } }
        })
        .collect();
    switch_batch(goal, serving, chosen, &mut replicas);
    if replicas.iter().all(|replica| replica.version == serving) {
        // Nobody may be taken: one more host loads the new version beside the last ready one.
        if let Some(engine) = best_spare(goal, usable, chosen) {
            replicas.push(Replica { host: engine.host.clone(), version: target });
            replicas.sort_by(|a, b| a.host.cmp(&b.host));
        }
    }
    (serving, Some(target), replicas)
}

/// Orders the next part of the replicas to switch, if the ones before have.
///
/// Hosts that failed to load the new version count against the batch for good: a version that does
/// not load stops after one batch instead of taking replica after replica out of service.
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

/// The version a candidate loads by itself while no planner can be reached.
///
/// The replicas of a zone that are dead are matched in order with the zone's live candidates, so
/// that each candidate comes to the same answer without asking the others. `is_dead` must mean
/// silent for long, with the plan unchanged meanwhile: a planner that lives has replaced the host.
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

/// How many replicas a model gets, from how loaded those it has are.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Autoscaler {
    high_since: Option<Time>,
    low_since: Option<Time>,
}

impl Autoscaler {
    /// The replicas wanted now, from `current` ones at `load`, the share of admitted work in use.
    pub fn target_replicas(
        &mut self,
        current: usize,
        placement: &Placement,
        load: f64,
        now: Time,
    ) -> usize {
        let min = placement.replicas as usize;
        let max = placement.max_replicas.map_or(min, |max| (max as usize).max(min));
        let current = current.clamp(min, max);
        let since = |was: Option<Time>, holds: bool| holds.then(|| was.unwrap_or(now));
        self.high_since = since(self.high_since, load >= SCALE_UP_LOAD);
        self.low_since = since(self.low_since, load <= SCALE_DOWN_LOAD);
        if self.high_since.is_some_and(|at| now.passed(at, SCALE_UP_DELAY)) {
            self.high_since = None;
            return (current + current.div_ceil(BATCH_DIVISOR)).min(max);
        }
        if self.low_since.is_some_and(|at| now.passed(at, SCALE_DOWN_DELAY)) {
            self.low_since = None;
            return current.saturating_sub(1).max(min);
        }
        current
    }
}
