use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::RegionName;
use mastichaven_core::swarm::PeerId;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::Strategy;
use mastichaven_core::swarm::topology::ORIGIN_PULLERS;
use mastichaven_core::swarm::topology::Source;
use mastichaven_core::swarm::topology::Topology;
use mastichaven_core::swarm::topology::key_of;

const CHUNKS: u8 = 64;

fn fleet(regions: u32, hosts: u32) -> Vec<(PeerId, PeerLocation)> {
    let location = |region: u32, n: u32| PeerLocation {
        host: format!("host-{region}-{n}").as_str().into(),
        zone: format!("zone-{region}").as_str().into(),
        region: format!("region-{region}").as_str().into(),
    };
    (0..regions * hosts).map(|n| (PeerId(n), location(n / hosts, n % hosts))).collect()
}

/// The hosts that pull each chunk from the origin while `dead` is down.
fn origin_pulls(
    peers: &[(PeerId, PeerLocation)],
    dead: Option<PeerId>,
) -> BTreeMap<u8, Vec<PeerId>> {
    let is_live = |id: PeerId| Some(id) != dead;
    let origin = RegionName::new("region-0");
    let mut pulls: BTreeMap<u8, Vec<PeerId>> = BTreeMap::new();
    for (me, _) in peers.iter().filter(|(id, _)| is_live(*id)) {
        let topology = Topology::new(*me, peers, Some(&origin));
        for chunk in 0..CHUNKS {
            let key = key_of(Digest::of(&[chunk]));
            if topology.source(Strategy::Swarm, key, &is_live, 0) == Source::Origin {
                pulls.entry(chunk).or_default().push(*me);
            }
        }
    }
    pulls
}

fn pulling_hosts(pulls: &BTreeMap<u8, Vec<PeerId>>) -> BTreeSet<PeerId> {
    pulls.values().flatten().copied().collect()
}

// Guards against a large zone where each host pulls a few chunks, so that all finish late.
#[test]
fn source_limits_hosts_that_pull_from_origin() {
    let pulls = origin_pulls(&fleet(3, 47), None);
    assert_eq!(pulls.len(), usize::from(CHUNKS));
    assert!(pulls.values().all(|hosts| hosts.len() == 1));
    assert!(pulling_hosts(&pulls).len() <= ORIGIN_PULLERS);
}

// Guards against chunks that stay at the origin because a host that should pull them is down.
#[test]
fn source_replaces_dead_origin_puller() {
    let peers = fleet(3, 47);
    let down = pulling_hosts(&origin_pulls(&peers, None)).first().copied();
    let pulls = origin_pulls(&peers, down);
    assert_eq!(pulls.len(), usize::from(CHUNKS));
    assert!(pulls.values().all(|hosts| hosts.len() == 1));
    assert!(down.is_some_and(|down| !pulling_hosts(&pulls).contains(&down)));
}
