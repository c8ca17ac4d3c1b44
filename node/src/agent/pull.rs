//! Tells the weight threads which versions the plans want here, and which hosts take part.

use std::thread;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::members::Member;
use mastichaven_core::platform::HostRole;
use mastichaven_core::swarm::PeerPlace;

use super::Shared;
use super::TICK;
use crate::weights::PeerAddress;
use crate::weights::Wanted;

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    while !shared.is_over() {
        step(shared);
        thread::sleep(TICK);
    }
}

fn step(shared: &Shared) {
    let Some((_, _, plan)) = shared.wanted() else {
        return;
    };
    let takes_part = |host: &HostName| plan.version_for(host).is_some();
    let members = shared.control.members();
    let peers = members.iter().filter(|h| h.role == HostRole::Agent && takes_part(&h.host));
    shared.weights.set_peers(peers.map(peer_of).collect());
    let mut versions: Vec<Digest> = plan.versions().collect();
    versions.extend(loaded(shared).filter(|version| !versions.contains(version)));
    let origin_copies = shared.documents.in_force().config.limits.origin_copies;
    shared.weights.want(Wanted { versions, origin_copies });
    shared
        .weights
        .set_beside_requests(shared.running.load(std::sync::atomic::Ordering::Acquire) > 0);
}

fn peer_of(member: &Member) -> PeerAddress {
    let place = PeerPlace {
        host: member.host.clone(),
        zone: member.zone.clone(),
        region: member.region.clone(),
    };
    PeerAddress { place, address: member.address }
}

/// The version the engine answers from now. Its chunks stay, so that a rollback needs no link.
fn loaded(shared: &Shared) -> Option<Digest> {
    use mastichaven_core::members::Serving;
    match &*shared.serving.lock().expect("no holder of this lock panics") {
        Serving::Model { version, .. } => Some(*version),
        Serving::Nothing | Serving::Plain { .. } => None,
    }
}
