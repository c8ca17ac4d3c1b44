//! Tells the weight threads which versions the plans want here, and which hosts take part; stands
//! in for a dead replica of its zone while no planner does.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::ZoneName;
use mastichaven_core::members::Member;
use mastichaven_core::members::MembersRequest;
use mastichaven_core::members::Serving;
use mastichaven_core::placement::takeover_version;
use mastichaven_core::plan::Plan;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::wire::RequestBody;

use super::Shared;
use super::TICK;
use crate::weights::PeerAddress;
use crate::weights::WantedVersions;

/// How long a fresh agent waits until it knows at least half of the plan's hosts. Members come to
/// be known one after the other: an agent that starts with few of them would hold itself
/// responsible for every chunk and spend the origin budget on chunks that others pull, too.
const LIST_PATIENCE: Duration = Duration::from_secs(10);

/// How often the agent looks whether it is to stand in.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// How often a candidate probes the replicas of its zone.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a replica must be silent, with the plan unchanged, before a candidate stands in: the
/// planner, if there is one, is quicker.
const SILENT_FOR: Duration = Duration::from_secs(20);

/// Only the first candidates of a zone probe, so that a large zone is not flooded.
const PROBING_CANDIDATES: usize = 4;

/// What a candidate remembers of the replicas it probes.
#[derive(Default)]
struct Probes {
    revision: u64,
    unchanged_since: Time,
    probed_at: Option<Time>,
    last_contact: HashMap<HostName, Time>,
}

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    let mut probes = HashMap::new();
    let mut zones = HashMap::new();
    let mut looked_at: Option<Time> = None;
    let started = shared.clock.now();
    while !shared.is_over() {
        let listed: Vec<ListedHost> = shared.control.members().iter().map(listed_of).collect();
        let now = shared.clock.now();
        if looked_at.is_none_or(|at| now.passed(at, LOOK_INTERVAL)) {
            looked_at = Some(now);
            remember_zones(shared, &listed, &mut zones);
            look_for_dead(shared, &zones, &mut probes);
        }
        step(shared, &listed, started);
        thread::sleep(TICK);
    }
}

fn step(shared: &Shared, listed: &[ListedHost], started: Time) {
    let Some((_, _, plan)) = shared.wanted() else {
        return;
    };
    let takes_part = |host: &HostName| plan.version_for(host).is_some();
    let peers: Vec<PeerAddress> = listed
        .iter()
        .filter(|h| h.role == HostRole::Agent && takes_part(&h.name))
        .map(peer_of)
        .collect();
    let few = peers.len() * 2 < plan.replicas.len();
    if few && !shared.clock.now().passed(started, LIST_PATIENCE) {
        return;
    }
    shared.weights.set_peers(peers);
    let mut versions: Vec<Digest> = plan.versions().collect();
    versions.extend(loaded(shared).filter(|version| !versions.contains(version)));
    let origin_copies = shared.documents.in_force().config.limits.origin_copies;
    shared.weights.set_wanted(WantedVersions { versions, origin_copies });
    shared.weights.set_link_shared(shared.running.load(Ordering::Acquire) > 0);
}

fn peer_of(listed: &ListedHost) -> PeerAddress {
    let location = PeerLocation {
        host: listed.name.clone(),
        zone: listed.zone.clone(),
        region: listed.region.clone(),
    };
    PeerAddress { location, address: listed.address }
}

/// The place of a member; a pull does not need more of it.
fn listed_of(member: &Member) -> ListedHost {
    ListedHost {
        name: member.host.clone(),
        role: member.role,
        zone: member.zone.clone(),
        region: member.region.clone(),
        address: member.address,
        leaving: member.leaving,
    }
}

/// The version the engine answers from now. Its chunks stay, so that a rollback needs no link.
fn loaded(shared: &Shared) -> Option<Digest> {
    match &*shared.serving.lock().expect("no holder of this lock panics") {
        Serving::Model { version, .. } => Some(*version),
        Serving::Nothing | Serving::Plain { .. } => None,
    }
}

/// Notes where the hosts of the plans stand. A dead host drops out of the members, and a candidate
/// that then no longer knew its zone would never count it as dead.
fn remember_zones(shared: &Shared, listed: &[ListedHost], zones: &mut HashMap<HostName, ZoneName>) {
    let in_force = shared.documents.in_force();
    let plans: Vec<Plan> =
        in_force.config.model.keys().filter_map(|m| Some(shared.documents.plan(m)?.1)).collect();
    let hosts = |plan: &Plan| -> HashSet<HostName> {
        let replicas = plan.replicas.iter().map(|replica| &replica.host);
        replicas.chain(&plan.candidates).cloned().collect()
    };
    let named: HashSet<HostName> = plans.iter().flat_map(hosts).collect();
    zones.retain(|host, _| named.contains(host));
    for host in listed.iter().filter(|host| named.contains(&host.name)) {
        zones.insert(host.name.clone(), host.zone.clone());
    }
}

/// While the platform or every planner is out of reach, the plan stands, and a dead replica would
/// stay missing for as long. So the candidates of its zone watch the replicas and step in in the
/// plan's order.
fn look_for_dead(
    shared: &Shared,
    zones: &HashMap<HostName, ZoneName>,
    probes: &mut HashMap<ModelName, Probes>,
) {
    let in_force = shared.documents.in_force();
    let mut standing_in = None;
    for model in in_force.config.model.keys() {
        let Some((revision, plan)) = shared.documents.plan(model) else {
            continue;
        };
        let probes = probes.entry(model.clone()).or_default();
        if let Some(version) = stand_in_for(shared, zones, &plan, revision, probes) {
            standing_in = Some((model.clone(), version));
        }
    }
    *shared.standing_in.lock().expect("no holder of this lock panics") = standing_in;
}

fn stand_in_for(
    shared: &Shared,
    zones: &HashMap<HostName, ZoneName>,
    plan: &Plan,
    revision: u64,
    probes: &mut Probes,
) -> Option<Digest> {
    let now = shared.clock.now();
    let place = &shared.settings.place;
    if probes.revision != revision {
        *probes = Probes { revision, unchanged_since: now, ..Probes::default() };
    }
    let in_my_zone = |host: &HostName| zones.get(host) == Some(&place.zone);
    let mut first = plan.candidates.iter().filter(|host| in_my_zone(host)).take(PROBING_CANDIDATES);
    if !first.any(|host| *host == place.host) {
        return None;
    }
    if probes.probed_at.is_none_or(|at| now.passed(at, PROBE_INTERVAL)) {
        probes.probed_at = Some(now);
        probe(shared, plan, &in_my_zone, probes);
    }
    if !now.passed(probes.unchanged_since, SILENT_FOR) {
        return None;
    }
    let heard = |host: &HostName| probes.last_contact.get(host).copied();
    let is_dead =
        |host: &HostName| now.passed(heard(host).unwrap_or(probes.unchanged_since), SILENT_FOR);
    takeover_version(plan, &place.host, in_my_zone, is_dead)
}

fn probe(
    shared: &Shared,
    plan: &Plan,
    in_my_zone: &dyn Fn(&HostName) -> bool,
    probes: &mut Probes,
) {
    let replicas = plan.replicas.iter().map(|replica| &replica.host);
    let rivals = plan.candidates.iter().filter(|host| in_my_zone(host)).take(PROBING_CANDIDATES);
    let hosts = replicas.filter(|host| in_my_zone(host)).chain(rivals);
    let ask = shared.ask(RequestBody::Members(MembersRequest::Probe));
    let calls: Vec<_> = hosts
        .filter(|host| **host != shared.settings.place.host)
        .filter_map(|host| Some((host, shared.transport.call(shared.address_of(host)?, &ask))))
        .collect();
    let deadline = shared.clock.now() + PROBE_TIMEOUT;
    for (host, mut call) in calls {
        let left = deadline.since(shared.clock.now());
        if matches!(call.next_timeout(left), Some(Ok(_))) {
            probes.last_contact.insert(host.clone(), shared.clock.now());
        }
    }
}
