//! Passes the wanted versions and the peers to the weight threads, and takes over for a dead
//! replica of the zone while no planner replaces it.

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

use super::POLL_INTERVAL;
use super::Shared;
use crate::weights::PeerAddress;
use crate::weights::WantedVersions;

/// How long a new agent waits until at least half of the plan's hosts are members. Members are
/// discovered one by one, and an agent with few of them would consider itself the owner of every
/// chunk and spend the origin budget on chunks that others pull as well.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the agent checks whether it must take over for a replica.
const TAKEOVER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How often a candidate probes the replicas in its zone.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Timeout of one round of probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a replica must not answer, with an unchanged plan, before a candidate takes over. It is
/// longer than a planner needs to replace the replica.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of candidates per zone that probe, so that a large zone is not flooded with probes.
const MAX_PROBING_CANDIDATES: usize = 4;

/// Results of the probes of one model's replicas.
#[derive(Default)]
struct ProbeState {
    revision: u64,
    unchanged_since: Time,
    probed_at: Option<Time>,
    last_contact: HashMap<HostName, Time>,
}

/// Runs until the agent stops.
pub(super) fn run(shared: &Shared) {
    let mut probe_state = HashMap::new();
    let mut zones = HashMap::new();
    let mut checked_at: Option<Time> = None;
    let started = shared.clock.now();
    while !shared.is_over() {
        let listed: Vec<ListedHost> = shared.control.members().iter().map(to_listed_host).collect();
        let now = shared.clock.now();
        if checked_at.is_none_or(|at| now.passed(at, TAKEOVER_CHECK_INTERVAL)) {
            checked_at = Some(now);
            update_zones(shared, &listed, &mut zones);
            update_takeover(shared, &zones, &mut probe_state);
        }
        update_weights(shared, &listed, started);
        thread::sleep(POLL_INTERVAL);
    }
}

fn update_weights(shared: &Shared, listed: &[ListedHost], started: Time) {
    let Some((_, _, plan)) = shared.wanted_plan() else {
        return;
    };
    let is_replica = |host: &HostName| plan.version_for(host).is_some();
    let peers: Vec<PeerAddress> = listed
        .iter()
        .filter(|h| h.role == HostRole::Agent && is_replica(&h.name))
        .map(to_peer_address)
        .collect();
    let knows_few = peers.len() * 2 < plan.replicas.len();
    if knows_few && !shared.clock.now().passed(started, PEER_DISCOVERY_TIMEOUT) {
        return;
    }
    shared.weights.set_peers(peers);
    let mut versions: Vec<Digest> = plan.versions().collect();
    versions.extend(loaded_version(shared).filter(|version| !versions.contains(version)));
    let origin_copies = shared.documents.in_force().config.limits.origin_copies;
    shared.weights.set_wanted(WantedVersions { versions, origin_copies });
    shared.weights.set_link_shared(shared.in_flight.load(Ordering::Acquire) > 0);
}

fn to_peer_address(listed: &ListedHost) -> PeerAddress {
    let location = PeerLocation {
        host: listed.name.clone(),
        zone: listed.zone.clone(),
        region: listed.region.clone(),
    };
    PeerAddress { location, address: listed.address }
}

/// Reduces a member to its location and role.
fn to_listed_host(member: &Member) -> ListedHost {
    ListedHost {
        name: member.host.clone(),
        role: member.role,
        zone: member.zone.clone(),
        region: member.region.clone(),
        address: member.address,
        leaving: member.leaving,
    }
}

/// The version that the engine currently serves. Its chunks stay stored, so that a rollback needs
/// no download.
fn loaded_version(shared: &Shared) -> Option<Digest> {
    match &*shared.serving.lock().expect("no holder of this lock panics") {
        Serving::Model { version, .. } => Some(*version),
        Serving::Nothing | Serving::Plain { .. } => None,
    }
}

/// Records the zones of the hosts in the plans. A dead host is removed from the members, and
/// without its zone a candidate would never consider it dead.
fn update_zones(shared: &Shared, listed: &[ListedHost], zones: &mut HashMap<HostName, ZoneName>) {
    let in_force = shared.documents.in_force();
    let plans: Vec<Plan> =
        in_force.config.model.keys().filter_map(|m| Some(shared.documents.plan(m)?.1)).collect();
    let hosts = |plan: &Plan| -> HashSet<HostName> {
        let replicas = plan.replicas.iter().map(|replica| &replica.host);
        replicas.chain(&plan.candidates).cloned().collect()
    };
    let hosts_in_plans: HashSet<HostName> = plans.iter().flat_map(hosts).collect();
    zones.retain(|host, _| hosts_in_plans.contains(host));
    for host in listed.iter().filter(|host| hosts_in_plans.contains(&host.name)) {
        zones.insert(host.name.clone(), host.zone.clone());
    }
}

/// Chooses the version to serve for a dead replica, if any. While the platform or every planner is
/// unreachable, plans do not change and a dead replica would not be replaced. So the candidates of
/// its zone probe the replicas and take over in the order of the plan.
fn update_takeover(
    shared: &Shared,
    zones: &HashMap<HostName, ZoneName>,
    probe_state: &mut HashMap<ModelName, ProbeState>,
) {
    let in_force = shared.documents.in_force();
    let mut takeover = None;
    for model in in_force.config.model.keys() {
        let Some((revision, plan)) = shared.documents.plan(model) else {
            continue;
        };
        let probe_state = probe_state.entry(model.clone()).or_default();
        if let Some(version) = version_to_take_over(shared, zones, &plan, revision, probe_state) {
            takeover = Some((model.clone(), version));
        }
    }
    *shared.takeover.lock().expect("no holder of this lock panics") = takeover;
}

fn version_to_take_over(
    shared: &Shared,
    zones: &HashMap<HostName, ZoneName>,
    plan: &Plan,
    revision: u64,
    probe_state: &mut ProbeState,
) -> Option<Digest> {
    let now = shared.clock.now();
    let place = &shared.settings.place;
    if probe_state.revision != revision {
        *probe_state = ProbeState { revision, unchanged_since: now, ..ProbeState::default() };
    }
    let in_my_zone = |host: &HostName| zones.get(host) == Some(&place.zone);
    let mut first =
        plan.candidates.iter().filter(|host| in_my_zone(host)).take(MAX_PROBING_CANDIDATES);
    if !first.any(|host| *host == place.host) {
        return None;
    }
    if probe_state.probed_at.is_none_or(|at| now.passed(at, PROBE_INTERVAL)) {
        probe_state.probed_at = Some(now);
        probe(shared, plan, &in_my_zone, probe_state);
    }
    if !now.passed(probe_state.unchanged_since, TAKEOVER_TIMEOUT) {
        return None;
    }
    let last_contact = |host: &HostName| probe_state.last_contact.get(host).copied();
    let is_dead = |host: &HostName| {
        now.passed(last_contact(host).unwrap_or(probe_state.unchanged_since), TAKEOVER_TIMEOUT)
    };
    takeover_version(plan, &place.host, in_my_zone, is_dead)
}

fn probe(
    shared: &Shared,
    plan: &Plan,
    in_my_zone: &dyn Fn(&HostName) -> bool,
    probe_state: &mut ProbeState,
) {
    let replicas = plan.replicas.iter().map(|replica| &replica.host);
    let probing_candidates =
        plan.candidates.iter().filter(|host| in_my_zone(host)).take(MAX_PROBING_CANDIDATES);
    let hosts = replicas.filter(|host| in_my_zone(host)).chain(probing_candidates);
    let probe = shared.make_request(RequestBody::Members(MembersRequest::Probe));
    let calls: Vec<_> = hosts
        .filter(|host| **host != shared.settings.place.host)
        .filter_map(|host| Some((host, shared.transport.call(shared.address_of(host)?, &probe))))
        .collect();
    let deadline = shared.clock.now() + PROBE_TIMEOUT;
    for (host, mut call) in calls {
        let left = deadline.since(shared.clock.now());
        if matches!(call.next_timeout(left), Some(Ok(_))) {
            probe_state.last_contact.insert(host.clone(), shared.clock.now());
        }
    }
}
