//! Owners of chunks by rendezvous hashing over the live hosts.
//!
//! Each chunk imposes an order on the regions, on the zones of each region and on the hosts of each
//! zone. The first host of a zone owns the chunk there. An owner pulls the chunk from another
//! owner: in the first zone of the first region from the origin, in the first zone of each other
//! region from the region before it, and in all other zones from the first zone of the region. The
//! chain of regions ensures that no link of a region carries two copies outward. Hosts that do not
//! own the chunk get it inside their zone.

use std::collections::BTreeMap;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::RegionName;
use crate::ids::ZoneName;

/// Children of a host in the trees that distribute manifests.
pub const MANIFEST_FANOUT: usize = 4;

/// Stall periods after which an owner without a working source pulls from the origin.
pub const ORIGIN_FALLBACK_PERIODS: usize = 3;

/// Hosts of a zone that pull chunks from the origin. If any host could, dozens of downloads would
/// share the origin's link and all finish late at the same time, while the links between the hosts
/// stay idle.
pub const ORIGIN_PULLERS: usize = 4;

/// Identifies a host for the lifetime of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerId(pub u32);

/// Zone and region of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerLocation {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
}

/// How a version is distributed. Hosts use [`Strategy::Swarm`]; the others are baselines for
/// benchmarks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// Every host pulls all chunks from the origin.
    Origin,
    /// One chain of all hosts, sorted by region and zone.
    Chain,
    /// For each chunk a tree of this fan-out inside each zone.
    Trees(usize),
    /// Owners bring a chunk into each zone, where neighbours exchange it.
    #[default]
    Swarm,
}

/// Where a host gets a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The origin.
    Origin,
    /// A host that has the chunk or will have it soon.
    Peer(PeerId),
    /// Any neighbour that offers the chunk.
    Neighbours,
}

#[derive(Clone, Debug)]
struct Zone {
    hash: u64,
    region: usize,
    members: Vec<PeerId>,
}

/// All members by zone and region, as seen by one host.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    me: u32,
    hosts: BTreeMap<PeerId, u64>,
    local_zone: usize,
    zones: Vec<Zone>,
    regions: Vec<u64>,
    origin_region: Option<usize>,
    chain: Vec<PeerId>,
}

/// Finalizer of splitmix64: a bijection that spreads the bits of `x`.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The first eight bytes of a digest as a little-endian number.
pub fn key_of(digest: Digest) -> u64 {
    u64::from_le_bytes(digest.0[..8].try_into().expect("a digest has 32 bytes"))
}

fn hash_name(name: &str) -> u64 {
    key_of(Digest::of(name.as_bytes()))
}

impl Topology {
    /// Builds the topology of `peers`, which include this host, `me`. O(n log n).
    pub fn new(
        me: PeerId,
        peers: &[(PeerId, PeerLocation)],
        origin_region: Option<&RegionName>,
    ) -> Topology {
        let mut sorted: Vec<&(PeerId, PeerLocation)> = peers.iter().collect();
        sorted.sort_by(|(_, a), (_, b)| {
            (&a.region, &a.zone, &a.host).cmp(&(&b.region, &b.zone, &b.host))
        });
        let mut topology = Topology { me: me.0, ..Topology::default() };
        let mut regions: Vec<&RegionName> = Vec::new();
        let mut zones: Vec<&ZoneName> = Vec::new();
        for (id, location) in sorted {
            if regions.last() != Some(&&location.region) {
                regions.push(&location.region);
                topology.regions.push(hash_name(location.region.as_str()));
            }
            let region = regions.len() - 1;
            if zones.last() != Some(&&location.zone)
                || topology.zones.last().is_none_or(|z| z.region != region)
            {
                zones.push(&location.zone);
                let hash = hash_name(location.zone.as_str());
                topology.zones.push(Zone { hash, region, members: Vec::new() });
            }
            let zone = zones.len() - 1;
            topology.zones[zone].members.push(*id);
            topology.hosts.insert(*id, hash_name(location.host.as_str()));
            topology.chain.push(*id);
            if *id == me {
                topology.local_zone = zone;
            }
        }
        topology.origin_region =
            origin_region.and_then(|name| regions.iter().position(|region| *region == name));
        topology
    }

    /// The other hosts of this host's zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = PeerId> + '_ {
        let members = self.zones.get(self.local_zone).map(|zone| zone.members.as_slice());
        members.unwrap_or_default().iter().copied().filter(|id| id.0 != self.me)
    }

    /// All hosts but this one.
    pub fn other_hosts(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.chain.iter().copied().filter(|id| id.0 != self.me)
    }

    /// The hosts of the zone of `peer`, including `peer`; empty if it is no member.
    pub fn zone_members(&self, peer: PeerId) -> &[PeerId] {
        let zone = self.zones.iter().find(|zone| zone.members.contains(&peer));
        zone.map(|zone| zone.members.as_slice()).unwrap_or_default()
    }

    /// Pseudo-random number that is constant for the pair of this host and `peer`.
    pub fn affinity(&self, peer: PeerId) -> u64 {
        let hash = |id| self.hosts.get(&id).copied().unwrap_or_default();
        mix(hash(PeerId(self.me)).rotate_left(17) ^ hash(peer))
    }

    /// The live hosts of a zone in the order in which they own `key`. O(z log z).
    fn order(&self, zone: usize, key: u64, is_live: &dyn Fn(PeerId) -> bool) -> Vec<PeerId> {
        let live = |id: &PeerId| id.0 == self.me || is_live(*id);
        let members = self.zones[zone].members.iter().copied().filter(live);
        let mut scored: Vec<(u64, PeerId)> =
            members.map(|id| (mix(self.hosts[&id] ^ key), id)).collect();
        scored.sort_unstable();
        scored.into_iter().map(|(_, id)| id).collect()
    }

    /// The `skip`-th live owner of a zone, or the last one if there are fewer. O(z) for the first.
    fn owner(
        &self,
        zone: usize,
        key: u64,
        is_live: &dyn Fn(PeerId) -> bool,
        skip: usize,
    ) -> Option<PeerId> {
        if skip > 0 {
            let order = self.order(zone, key, is_live);
            return order.get(skip.min(order.len().saturating_sub(1))).copied();
        }
        let live = |id: &PeerId| id.0 == self.me || is_live(*id);
        let members = self.zones[zone].members.iter().copied().filter(live);
        if self.pulls_from_origin(zone, key, is_live) {
            let mut pullers: Vec<PeerId> = members.collect();
            pullers.sort_unstable_by_key(|id| mix(self.hosts[id]));
            pullers.truncate(ORIGIN_PULLERS);
            return pullers.into_iter().min_by_key(|id| mix(self.hosts[id] ^ key));
        }
        members.min_by_key(|id| mix(self.hosts[id] ^ key))
    }

    /// Whether the chunk of `key` enters a zone directly from the origin.
    fn pulls_from_origin(&self, zone: usize, key: u64, is_live: &dyn Fn(PeerId) -> bool) -> bool {
        let region = self.zones[zone].region;
        self.first_zone(region, key, is_live) == Some(zone)
            && self.upstream_zone(region, key, is_live).is_none()
    }

    /// Where this host gets the chunk of `key`.
    ///
    /// `skip` is the number of stall periods without progress. With each one, one more host of the
    /// zone acts as an owner and the sources are those further down the order, so that a live but
    /// faulty owner cannot withhold a chunk. O(hosts of the zones involved).
    pub fn source(
        &self,
        strategy: Strategy,
        key: u64,
        is_live: &dyn Fn(PeerId) -> bool,
        skip: usize,
    ) -> Source {
        match strategy {
            Strategy::Origin => Source::Origin,
            Strategy::Chain => self.chain_predecessor(is_live),
            Strategy::Trees(fanout) => {
                let order = self.order(self.local_zone, key, is_live);
                let rank = order.iter().position(|id| id.0 == self.me).unwrap_or(0);
                if rank == 0 {
                    self.owner_source(key, is_live, skip)
                } else {
                    Source::Peer(order[(rank - 1) / fanout.max(1)])
                }
            }
            Strategy::Swarm if self.is_owner(key, is_live, skip) => {
                self.owner_source(key, is_live, skip)
            }
            Strategy::Swarm => Source::Neighbours,
        }
    }

    /// The owner of `key` in another zone with live hosts; `turn` rotates through these zones.
    pub fn owner_in_other_zone(
        &self,
        key: u64,
        is_live: &dyn Fn(PeerId) -> bool,
        turn: usize,
    ) -> Option<PeerId> {
        let mut zones: Vec<usize> = (0..self.zones.len())
            .filter(|zone| *zone != self.local_zone && self.has_live(*zone, is_live))
            .collect();
        zones.sort_by_key(|zone| mix(self.zones[*zone].hash ^ key));
        let zone = zones.get(turn % zones.len().max(1))?;
        self.owner(*zone, key, is_live, 0)
    }

    fn is_owner(&self, key: u64, is_live: &dyn Fn(PeerId) -> bool, skip: usize) -> bool {
        if skip == 0 {
            return self.owner(self.local_zone, key, is_live, 0) == Some(PeerId(self.me));
        }
        let order = self.order(self.local_zone, key, is_live);
        order.iter().take(skip + 1).any(|id| id.0 == self.me)
    }

    /// The owner of `key` in this host's zone, if this host is next in the order after it.
    ///
    /// Only the next host probes the owner, so a silent owner is probed once and not by each host.
    pub fn owner_to_watch(&self, key: u64, is_live: &dyn Fn(PeerId) -> bool) -> Option<PeerId> {
        let owner = self.owner(self.local_zone, key, is_live, 0)?;
        let next = self.owner(self.local_zone, key, &|id| id != owner && is_live(id), 0)?;
        (owner.0 != self.me && next.0 == self.me).then_some(owner)
    }

    fn chain_predecessor(&self, is_live: &dyn Fn(PeerId) -> bool) -> Source {
        let before = self.chain.iter().take_while(|id| id.0 != self.me);
        before.copied().filter(|id| is_live(*id)).last().map_or(Source::Origin, Source::Peer)
    }

    fn has_live(&self, zone: usize, is_live: &dyn Fn(PeerId) -> bool) -> bool {
        zone == self.local_zone || self.zones[zone].members.iter().any(|id| is_live(*id))
    }

    /// The first zone of a region for `key` that has live hosts.
    fn first_zone(
        &self,
        region: usize,
        key: u64,
        is_live: &dyn Fn(PeerId) -> bool,
    ) -> Option<usize> {
        let zones = (0..self.zones.len()).filter(|zone| self.zones[*zone].region == region);
        zones
            .filter(|zone| self.has_live(*zone, is_live))
            .min_by_key(|zone| mix(self.zones[*zone].hash ^ key))
    }

    /// Where the owner of `key` in this host's zone gets the chunk.
    fn owner_source(&self, key: u64, is_live: &dyn Fn(PeerId) -> bool, skip: usize) -> Source {
        if skip >= ORIGIN_FALLBACK_PERIODS {
            return Source::Origin;
        }
        let region = self.zones[self.local_zone].region;
        let first = self.first_zone(region, key, is_live).unwrap_or(self.local_zone);
        let zone = if first != self.local_zone {
            Some(first)
        } else {
            self.upstream_zone(region, key, is_live)
        };
        let owner = zone.and_then(|zone| self.owner(zone, key, is_live, skip));
        owner.map_or(Source::Origin, Source::Peer)
    }

    /// The first zone of the region that `region` gets `key` from; `None` for the origin.
    fn upstream_zone(
        &self,
        region: usize,
        key: u64,
        is_live: &dyn Fn(PeerId) -> bool,
    ) -> Option<usize> {
        let location = |r: usize| (Some(r) != self.origin_region, mix(self.regions[r] ^ key));
        let first_zones = (0..self.regions.len())
            .filter(|r| location(*r) < location(region))
            .filter_map(|r| Some((location(r), self.first_zone(r, key, is_live)?)));
        first_zones.max().map(|(_, zone)| zone)
    }
}
