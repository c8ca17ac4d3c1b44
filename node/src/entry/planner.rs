//! Writes the plan of each model by conditional update.

use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::config::Config;
use mastichaven_core::config::Placement;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::plan::Plan;
use mastichaven_core::plan::Replica;
use mastichaven_core::plan::plan_key;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use slog::info;

use super::Shared;

/// How often the planner looks.
const INTERVAL: Duration = Duration::from_millis(300);

/// Runs until the entry ends.
pub(super) fn run(shared: &Shared) {
    while !shared.is_over() {
        if !shared.control.is_settled() {
            thread::sleep(INTERVAL);
            continue;
        }
        let in_force = shared.documents.in_force();
        let members = shared.members();
        for placement in in_force.config.placement.values() {
            if let Some(plan) = make(&in_force.config, placement, &members) {
                write(shared, &plan);
            }
        }
        thread::sleep(INTERVAL);
    }
}

fn make(config: &Config, placement: &Placement, members: &[Member]) -> Option<Plan> {
    let model = config.model.get(&placement.model)?;
    let version = Digest::from_hex(&config.version.get(&model.serve)?.manifest)?;
    let allowed = |member: &&Member| {
        let zone_in = config.zone.get(&member.zone).is_some_and(|z| z.state == ZoneState::In);
        let zone_named = placement.zones.is_empty() || placement.zones.contains(&member.zone);
        member.endpoint == EndpointKind::Engine && zone_in && zone_named && !member.leaving
    };
    let mut hosts: Vec<HostName> =
        members.iter().filter(allowed).map(|member| member.host.clone()).collect();
    hosts.sort_by_key(|h| Digest::of(format!("{h}/{}", placement.model).as_bytes()));
    let spare = hosts.split_off(hosts.len().min(placement.replicas as usize));
    if hosts.is_empty() {
        return None;
    }
    let replicas = hosts.into_iter().map(|host| Replica { host, version }).collect();
    let model = placement.model.clone();
    Some(Plan { model, serving: version, loading: None, replicas, candidates: spare })
}

fn write(shared: &Shared, plan: &Plan) {
    let key = plan_key(&plan.model);
    let Ok(old) = shared.platform.get(&key) else {
        return;
    };
    let value = Bytes::from(serde_json::to_vec(plan).expect("a plan always encodes"));
    let expect = match &old {
        Some(object) if object.value == value => return,
        Some(object) => Expect::At(object.revision),
        None => Expect::Absent,
    };
    if let Ok(revision) = shared.platform.put(&key, value, expect) {
        info!(shared.telemetry.log, "plan written"; "key" => key, "revision" => revision.0);
    }
}
