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
    let place = |region: u32, n: u32| PeerLocation {
        host: format!("host-{region}-{n}").as_str().into(),
        zone: format!("zone-{region}").as_str().into(),
        region: format!("region-{region}").as_str().into(),
    };
    (0..regions * hosts).map(|n| (PeerId(n), place(n / hosts, n % hosts))).collect()
}

/// The hosts that take each chunk from the origin while `dead` is down.
fn pullers(peers: &[(PeerId, PeerLocation)], dead: Option<PeerId>) -> BTreeMap<u8, Vec<PeerId>> {
    let is_live = |id: PeerId| Some(id) != dead;
    let origin = RegionName::new("region-0");
    let mut found: BTreeMap<u8, Vec<PeerId>> = BTreeMap::new();
    for (me, _) in peers.iter().filter(|(id, _)| is_live(*id)) {
        let topology = Topology::new(*me, peers, Some(&origin));
        for chunk in 0..CHUNKS {
            let key = key_of(Digest::of(&[chunk]));
            if topology.source(Strategy::Swarm, key, &is_live, 0) == Source::Origin {
                found.entry(chunk).or_default().push(*me);
            }
        }
    }
    found
}

fn distinct(found: &BTreeMap<u8, Vec<PeerId>>) -> BTreeSet<PeerId> {
    found.values().flatten().copied().collect()
}

// Each host of a large zone pulls a chunk or two, and all of them end late together.
#[test]
fn source_lets_few_hosts_pull_from_the_origin() {
    let found = pullers(&fleet(3, 47), None);
    assert_eq!(found.len(), usize::from(CHUNKS));
    assert!(found.values().all(|hosts| hosts.len() == 1));
    assert!(distinct(&found).len() <= ORIGIN_PULLERS);
}

// One of the few hosts is down, and its chunks stay at the origin.
#[test]
fn source_replaces_a_host_that_pulled_from_the_origin() {
    let peers = fleet(3, 47);
    let down = distinct(&pullers(&peers, None)).first().copied();
    let found = pullers(&peers, down);
    assert_eq!(found.len(), usize::from(CHUNKS));
    assert!(found.values().all(|hosts| hosts.len() == 1));
    assert!(down.is_some_and(|down| !distinct(&found).contains(&down)));
}
