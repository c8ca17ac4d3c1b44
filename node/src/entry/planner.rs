//! Writes the plan of each model by conditional updates, while this entry holds the planner lease.
//!
//! A plan is read from the platform, changed, and written on the condition that its revision is
//! unchanged. The write fails if the planner was paused in between, or if two planners act on the
//! lease at the same time. If the reply to a write is lost, the next read shows whether it took
//! effect.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::config::Config;
use mastichaven_core::config::Placement;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::ZoneName;
use mastichaven_core::lease::LeaseTiming;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::placement::Autoscaler;
use mastichaven_core::placement::EngineHost;
use mastichaven_core::placement::Goal;
use mastichaven_core::placement::next_plan;
use mastichaven_core::plan::Plan;
use mastichaven_core::plan::plan_key;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use slog::info;

use super::Shared;
use crate::lease_keeper::LeaseKeeper;
use crate::lease_keeper::PLANNER_LEASE_KEY;

/// Interval at which the plans are recomputed.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);

/// Time to load a version after which a host counts as failed and the plan uses another one.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Time after acquiring the lease during which a plan is left unchanged if less than half of its
/// hosts are listed as members. The member list may still be incomplete, and moving every replica
/// would be worse than waiting.
const MEMBERS_SYNC_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an unresponsive host keeps its replicas. Without it, one lost probe on a busy network
/// would move a replica, with an unload and a reload, and the next probe would move it again.
const HOST_GRACE_PERIOD: Duration = Duration::from_secs(10);

struct Planner<'a> {
    shared: &'a Shared,
    lease: LeaseKeeper,
    lease_held_since: Option<Time>,
    autoscalers: HashMap<ModelName, Autoscaler>,
    loading_since: HashMap<(HostName, Digest), Time>,
    last_seen: HashMap<HostName, (Time, EngineHost)>,
}

/// Runs the planner until the entry stops, then releases the lease.
pub(super) fn run(shared: &Shared) {
    let host = shared.settings.place.host.clone();
    let timing = LeaseTiming::default();
    let lease = LeaseKeeper::new(PLANNER_LEASE_KEY, host, shared.incarnation, timing, shared.clock);
    let mut planner = Planner {
        shared,
        lease,
        lease_held_since: None,
        autoscalers: HashMap::new(),
        loading_since: HashMap::new(),
        last_seen: HashMap::new(),
    };
    while !shared.is_over() {
        planner.renew();
        if shared.control.is_settled() {
            planner.plan_all();
        }
        thread::sleep(PLAN_INTERVAL);
    }
    planner.lease.release(&shared.platform);
}

impl Planner<'_> {
    fn renew(&mut self) {
        self.lease.tick(&self.shared.platform);
        let now = self.shared.clock.now();
        let is_held = self.lease.token().is_some();
        if is_held && self.lease_held_since.is_none() {
            info!(self.shared.telemetry.log, "acquired the planner lease");
        }
        self.lease_held_since = is_held.then(|| self.lease_held_since.unwrap_or(now));
    }

    fn plan_all(&mut self) {
        let in_force = self.shared.documents.in_force();
        let members = self.shared.members();
        for placement in in_force.config.placement.values() {
            if self.lease.token().is_some() {
                self.plan_one(&in_force.config, placement, &members);
            }
        }
    }

    fn plan_one(&mut self, config: &Config, placement: &Placement, members: &[Member]) {
        let Some(version) = configured_version(config, placement) else {
            return;
        };
        let key = plan_key(&placement.model);
        let Ok(object) = self.shared.platform.get(&key) else {
            return;
        };
        let old: Option<Plan> =
            object.as_ref().and_then(|object| serde_json::from_slice(&object.value).ok());
        let now = self.shared.clock.now();
        if old.as_ref().is_some_and(|old| self.is_member_list_incomplete(old, members, now)) {
            return;
        }
        let mut hosts = engine_hosts(config, &placement.model, members);
        self.add_recently_seen(&mut hosts, config, members, now);
        let failed = self.find_failed_hosts(old.as_ref(), version, &hosts, now);
        let reserved = self.reserved_hosts(config, &placement.model);
        let current = old.as_ref().map_or(0, |plan| plan.replicas.len());
        let autoscaler = self.autoscalers.entry(placement.model.clone()).or_default();
        let goal = Goal {
            model: &placement.model,
            version,
            memory_mib: config.model.get(&placement.model).map_or(0, |model| model.memory_mib),
            placement,
            replicas: autoscaler.target_replicas(
                current,
                placement,
                utilization(members, &placement.model),
                now,
            ),
            failed: &failed,
            reserved: &reserved,
        };
        let Some(plan) = next_plan(old.as_ref(), &goal, &hosts) else {
            return;
        };
        if old.as_ref() == Some(&plan) || self.lease.token().is_none() {
            return;
        }
        let expect = object.map_or(Expect::Absent, |object| Expect::At(object.revision));
        let value = Bytes::from(serde_json::to_vec(&plan).expect("a plan always encodes"));
        if let Ok(revision) = self.shared.platform.put(&key, value, expect) {
            info!(self.shared.telemetry.log, "plan written";
                "key" => key, "revision" => revision.0, "serving" => plan.serving.to_string(),
                "loading" => plan.loading.map(|v| v.to_string()), "replicas" => plan.replicas.len());
        }
    }

    fn is_member_list_incomplete(&self, old: &Plan, members: &[Member], now: Time) -> bool {
        let listed =
            old.replicas.iter().filter(|r| members.iter().any(|m| m.host == r.host)).count();
        let is_recent =
            self.lease_held_since.is_none_or(|since| !now.passed(since, MEMBERS_SYNC_TIMEOUT));
        is_recent && listed * 2 < old.replicas.len()
    }

    /// Adds hosts that were seen within the grace period, as not ready. Hosts that announced that
    /// they are leaving, or whose zone is out of service, are removed at once.
    fn add_recently_seen(
        &mut self,
        hosts: &mut Vec<EngineHost>,
        config: &Config,
        members: &[Member],
        now: Time,
    ) {
        for engine in hosts.iter() {
            let not_ready = EngineHost { ready: None, ..engine.clone() };
            self.last_seen.insert(engine.host.clone(), (now, not_ready));
        }
        self.last_seen.retain(|host, (at, engine)| {
            let is_current = hosts.iter().any(|engine| engine.host == *host);
            let is_member = members.iter().any(|member| member.host == *host);
            is_current
                || (!is_member
                    && is_zone_in(config, &engine.zone)
                    && !now.passed(*at, HOST_GRACE_PERIOD))
        });
        let unresponsive =
            self.last_seen.values().filter(|(at, _)| *at != now).map(|(_, engine)| engine.clone());
        hosts.extend(unresponsive.collect::<Vec<_>>());
    }

    /// Returns the hosts that did not load `version` within [`LOAD_TIMEOUT`].
    fn find_failed_hosts(
        &mut self,
        old: Option<&Plan>,
        version: Digest,
        hosts: &[EngineHost],
        now: Time,
    ) -> BTreeSet<HostName> {
        let is_assigned =
            |host: &HostName| old.and_then(|plan| plan.version_for(host)) == Some(version);
        let mut failed = BTreeSet::new();
        for engine in hosts {
            let key = (engine.host.clone(), version);
            if engine.ready == Some(version) {
                self.loading_since.remove(&key);
            } else if is_assigned(&engine.host) || self.loading_since.contains_key(&key) {
                let since = *self.loading_since.entry(key).or_insert(now);
                if now.passed(since, LOAD_TIMEOUT) {
                    failed.insert(engine.host.clone());
                }
            }
        }
        failed
    }

    /// Returns the hosts in the plans of other models, as an engine holds only one model.
    fn reserved_hosts(&self, config: &Config, model: &ModelName) -> BTreeSet<HostName> {
        let others = config.placement.values().map(|p| &p.model).filter(|other| *other != model);
        let plans = others.filter_map(|other| self.shared.documents.plan(other));
        plans.flat_map(|(_, plan)| plan.replicas).map(|replica| replica.host).collect()
    }
}

fn configured_version(config: &Config, placement: &Placement) -> Option<Digest> {
    let model = config.model.get(&placement.model)?;
    Digest::from_hex(&config.version.get(&model.serve)?.manifest)
}

fn is_zone_in(config: &Config, zone: &ZoneName) -> bool {
    config.zone.get(zone).is_some_and(|zone| zone.state == ZoneState::In)
}

fn engine_hosts(config: &Config, model: &ModelName, members: &[Member]) -> Vec<EngineHost> {
    members
        .iter()
        .filter(|member| member.endpoint == EndpointKind::Engine && !member.leaving)
        .filter(|member| is_zone_in(config, &member.zone))
        .map(|member| EngineHost {
            host: member.host.clone(),
            zone: member.zone.clone(),
            memory_mib: member.memory_mib,
            ready: ready_version(member, model),
        })
        .collect()
}

fn ready_version(member: &Member, model: &ModelName) -> Option<Digest> {
    match &member.serving {
        Serving::Model { model: served, version, .. } if served == model => Some(*version),
        _ => None,
    }
}

/// Returns the work in progress as a share of the admitted work, over the ready replicas of a
/// model: 1 when all of it is in use and requests queue, 0 without a ready replica.
fn utilization(members: &[Member], model: &ModelName) -> f64 {
    let ready = members.iter().filter(|member| ready_version(member, model).is_some());
    let (work, limit) = ready.fold((0u64, 0u64), |(work, limit), member| {
        (work + u64::from(member.load.work), limit + u64::from(member.load.limit))
    });
    if limit == 0 { 0.0 } else { work as f64 / limit as f64 }
}
