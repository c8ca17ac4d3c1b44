//! Writes the plan of each model, under the planner's lease, by conditional update.
//!
//! The plan is read from the platform, changed and written back at the revision read. A planner
//! that was paused in between, or one of two that both believe to hold the lease, finds another
//! revision there and writes nothing. A lost answer is resolved by the next reading.

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

/// How often the planner looks.
const INTERVAL: Duration = Duration::from_millis(300);

/// How long an engine may take to load a version before the plan moves on to another host.
const LOAD_PATIENCE: Duration = Duration::from_secs(120);

/// A planner that sees less than half of a plan's hosts waits this long after it got the lease:
/// its own view may still be filling, and moving every replica would be worse than waiting.
const VIEW_PATIENCE: Duration = Duration::from_secs(10);

/// A host that stopped answering keeps its place for this long. One lost probe on a busy network
/// would else move its replica: unload, reload, and the same again at the next probe.
const HOST_PATIENCE: Duration = Duration::from_secs(10);

struct Planner<'a> {
    shared: &'a Shared,
    lease: LeaseKeeper,
    held_since: Option<Time>,
    scalers: HashMap<ModelName, Autoscaler>,
    loading_since: HashMap<(HostName, Digest), Time>,
    seen: HashMap<HostName, (Time, EngineHost)>,
}

/// Runs until the entry ends, then gives the lease up.
pub(super) fn run(shared: &Shared) {
    let host = shared.settings.place.host.clone();
    let timing = LeaseTiming::default();
    let lease = LeaseKeeper::new(PLANNER_LEASE_KEY, host, shared.incarnation, timing, shared.clock);
    let mut planner = Planner {
        shared,
        lease,
        held_since: None,
        scalers: HashMap::new(),
        loading_since: HashMap::new(),
        seen: HashMap::new(),
    };
    while !shared.is_over() {
        planner.renew();
        if shared.control.is_settled() {
            planner.plan_all();
        }
        thread::sleep(INTERVAL);
    }
    planner.lease.release(&shared.platform);
}

impl Planner<'_> {
    fn renew(&mut self) {
        self.lease.tick(&self.shared.platform);
        let now = self.shared.clock.now();
        let held = self.lease.token().is_some();
        if held && self.held_since.is_none() {
            info!(self.shared.telemetry.log, "this entry is the planner");
        }
        self.held_since = held.then(|| self.held_since.unwrap_or(now));
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
        let Some(version) = version_of(config, placement) else {
            return;
        };
        let key = plan_key(&placement.model);
        let Ok(object) = self.shared.platform.get(&key) else {
            return;
        };
        let old: Option<Plan> =
            object.as_ref().and_then(|object| serde_json::from_slice(&object.value).ok());
        let now = self.shared.clock.now();
        if old.as_ref().is_some_and(|old| self.sees_too_little(old, members, now)) {
            return;
        }
        let mut seats = seats(config, &placement.model, members);
        self.add_recent(&mut seats, config, members, now);
        let failed = self.failed(old.as_ref(), version, &seats, now);
        let taken = self.taken(config, &placement.model);
        let current = old.as_ref().map_or(0, |plan| plan.replicas.len());
        let scaler = self.scalers.entry(placement.model.clone()).or_default();
        let goal = Goal {
            model: &placement.model,
            version,
            memory_mib: config.model.get(&placement.model).map_or(0, |model| model.memory_mib),
            placement,
            replicas: scaler.target_replicas(
                current,
                placement,
                load_of(members, &placement.model),
                now,
            ),
            failed: &failed,
            reserved: &taken,
        };
        let Some(plan) = next_plan(old.as_ref(), &goal, &seats) else {
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

    fn sees_too_little(&self, old: &Plan, members: &[Member], now: Time) -> bool {
        let seen = old.replicas.iter().filter(|r| members.iter().any(|m| m.host == r.host)).count();
        let fresh = self.held_since.is_none_or(|since| !now.passed(since, VIEW_PATIENCE));
        fresh && seen * 2 < old.replicas.len()
    }

    /// Adds hosts that were seen a moment ago, as not ready. Those that said that they leave, or
    /// whose zone is out, are gone at once.
    fn add_recent(
        &mut self,
        seats: &mut Vec<EngineHost>,
        config: &Config,
        members: &[Member],
        now: Time,
    ) {
        for seat in seats.iter() {
            let remembered = EngineHost { ready: None, ..seat.clone() };
            self.seen.insert(seat.host.clone(), (now, remembered));
        }
        self.seen.retain(|host, (at, seat)| {
            let here = seats.iter().any(|seat| seat.host == *host);
            let said_no = members.iter().any(|member| member.host == *host);
            here || (!said_no && zone_in(config, &seat.zone) && !now.passed(*at, HOST_PATIENCE))
        });
        let silent = self.seen.values().filter(|(at, _)| *at != now).map(|(_, seat)| seat.clone());
        seats.extend(silent.collect::<Vec<_>>());
    }

    /// Hosts that were ordered to load `version` long ago and do not answer from it.
    fn failed(
        &mut self,
        old: Option<&Plan>,
        version: Digest,
        seats: &[EngineHost],
        now: Time,
    ) -> BTreeSet<HostName> {
        let ordered =
            |host: &HostName| old.and_then(|plan| plan.version_for(host)) == Some(version);
        let mut failed = BTreeSet::new();
        for seat in seats {
            let key = (seat.host.clone(), version);
            if seat.ready == Some(version) {
                self.loading_since.remove(&key);
            } else if ordered(&seat.host) || self.loading_since.contains_key(&key) {
                let since = *self.loading_since.entry(key).or_insert(now);
                if now.passed(since, LOAD_PATIENCE) {
                    failed.insert(seat.host.clone());
                }
            }
        }
        failed
    }

    /// Hosts that the plans of other models hold: an engine holds one model.
    fn taken(&self, config: &Config, model: &ModelName) -> BTreeSet<HostName> {
        let others = config.placement.values().map(|p| &p.model).filter(|other| *other != model);
        let plans = others.filter_map(|other| self.shared.documents.plan(other));
        plans.flat_map(|(_, plan)| plan.replicas).map(|replica| replica.host).collect()
    }
}

fn version_of(config: &Config, placement: &Placement) -> Option<Digest> {
    let model = config.model.get(&placement.model)?;
    Digest::from_hex(&config.version.get(&model.serve)?.manifest)
}

fn zone_in(config: &Config, zone: &ZoneName) -> bool {
    config.zone.get(zone).is_some_and(|zone| zone.state == ZoneState::In)
}

fn seats(config: &Config, model: &ModelName, members: &[Member]) -> Vec<EngineHost> {
    members
        .iter()
        .filter(|member| member.endpoint == EndpointKind::Engine && !member.leaving)
        .filter(|member| zone_in(config, &member.zone))
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

/// The share of admitted work in use over the ready replicas of a model; 1 when the queues press.
fn load_of(members: &[Member], model: &ModelName) -> f64 {
    let ready = members.iter().filter(|member| ready_version(member, model).is_some());
    let (work, limit) = ready.fold((0u64, 0u64), |(work, limit), member| {
        (work + u64::from(member.load.work), limit + u64::from(member.load.limit))
    });
    if limit == 0 { 0.0 } else { work as f64 / limit as f64 }
}
