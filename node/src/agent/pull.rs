//! Tells the weight threads which versions the plans want here, and which hosts take part.

use std::thread;
use std::time::Duration;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::swarm::PeerPlace;

use super::Shared;
use super::TICK;
use crate::weights::PeerAddress;
use crate::weights::Wanted;

/// How often the platform's host list is read.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    let mut read_at = None;
    let mut listed = Vec::new();
    while !shared.is_over() {
        let now = shared.clock.now();
        if read_at.is_none_or(|at| now.passed(at, HOSTS_INTERVAL))
            && let Ok(hosts) = shared.platform.hosts()
        {
            listed = hosts;
            read_at = Some(now);
        }
        step(shared, &listed);
        thread::sleep(TICK);
    }
}

fn step(shared: &Shared, listed: &[ListedHost]) {
    let Some((_, _, plan)) = shared.wanted() else {
        return;
    };
    let takes_part = |host: &HostName| plan.version_for(host).is_some();
    let peers = listed.iter().filter(|h| h.role == HostRole::Agent && takes_part(&h.name));
    shared.weights.set_peers(peers.map(peer_of).collect());
    let mut versions: Vec<Digest> = plan.versions().collect();
    versions.extend(loaded(shared).filter(|version| !versions.contains(version)));
    let origin_copies = shared.documents.in_force().config.limits.origin_copies;
    shared.weights.want(Wanted { versions, origin_copies });
    shared
        .weights
        .set_beside_requests(shared.running.load(std::sync::atomic::Ordering::Acquire) > 0);
}

fn peer_of(listed: &ListedHost) -> PeerAddress {
    let place = PeerPlace {
        host: listed.name.clone(),
        zone: listed.zone.clone(),
        region: listed.region.clone(),
    };
    PeerAddress { place, address: listed.address }
}

/// The version the engine answers from now. Its chunks stay, so that a rollback needs no link.
fn loaded(shared: &Shared) -> Option<Digest> {
    use mastichaven_core::members::Serving;
    match &*shared.serving.lock().expect("no holder of this lock panics") {
        Serving::Model { version, .. } => Some(*version),
        Serving::Nothing | Serving::Plain { .. } => None,
    }
}
