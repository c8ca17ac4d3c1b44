//! From whom a host takes a chunk that no neighbour has: pure rendezvous hashing over live hosts.
//!
//! For each chunk the regions stand in an order, in each region its zones, in each zone its hosts.
//! The first host of a zone is the zone's owner of the chunk. Owners take it from the owner before
//! them: the first region's first zone from the origin, each other region's first zone from the
//! region before it (a chain, so that no region link carries two copies outward), and the further
//! zones of a region from its first zone. All other hosts take it inside their zone.

use std::collections::BTreeMap;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::RegionName;
use crate::ids::ZoneName;

/// Children of a host in the trees that carry manifests.
pub const MANIFEST_FANOUT: usize = 4;

/// Stall periods after which an owner without a working source turns to the origin itself.
pub const ORIGIN_FALLBACK_PERIODS: usize = 3;

/// Hosts of a zone that take chunks from the origin. Were each chunk taken by another host, dozens of
/// downloads would share the origin's link and all end at the same late moment, while the links between the
/// hosts are idle.
pub const ORIGIN_PULLERS: usize = 4;

/// A host known to the swarm; stays the same while the process lives.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerId(pub u32);

/// Where a host stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerLocation {
    /// The host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// How a version travels. Products use [`Strategy::Swarm`]; the others are there to be measured against.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// Every host takes everything from the origin.
    Origin,
    /// One chain of all hosts, sorted by region and zone.
    Chain,
    /// For each chunk a tree of this fan-out inside each zone.
    Trees(usize),
    /// Owners carry a chunk into a zone, neighbours exchange it there.
    #[default]
    Swarm,
}

/// Where a chunk comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The origin.
    Origin,
    /// This host, which has it or gets it soon.
    Peer(PeerId),
    /// Whichever neighbour has it.
    Neighbours,
}

#[derive(Clone, Debug)]
struct Zone {
    hash: u64,
    region: usize,
    members: Vec<PeerId>,
}

/// All hosts that take part, by zone and region.
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

/// Spreads the bits of `x` (the finalizer of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The first eight bytes of a digest as a number.
pub fn key_of(digest: Digest) -> u64 {
    u64::from_le_bytes(digest.0[..8].try_into().expect("a digest has 32 bytes"))
}

fn hash_name(name: &str) -> u64 {
    key_of(Digest::of(name.as_bytes()))
}

impl Topology {
    /// The topology of `peers` as `me`, one of them, sees it. O(n log n).
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

    /// All other hosts.
    pub fn other_hosts(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.chain.iter().copied().filter(|id| id.0 != self.me)
    }

    /// The hosts that share a zone with `peer`, itself included.
    pub fn zone_members(&self, peer: PeerId) -> &[PeerId] {
        let zone = self.zones.iter().find(|zone| zone.members.contains(&peer));
        zone.map(|zone| zone.members.as_slice()).unwrap_or_default()
    }

    /// A fixed random number for the pair of this host and `peer`.
    pub fn affinity(&self, peer: PeerId) -> u64 {
        let hash = |id| self.hosts.get(&id).copied().unwrap_or_default();
        mix(hash(PeerId(self.me)).rotate_left(17) ^ hash(peer))
    }

    /// The live hosts of a zone in the order in which they answer for `key`. O(z log z).
    fn order(&self, zone: usize, key: u64, is_live: &dyn Fn(PeerId) -> bool) -> Vec<PeerId> {
        let live = |id: &PeerId| id.0 == self.me || is_live(*id);
        let members = self.zones[zone].members.iter().copied().filter(live);
        let mut scored: Vec<(u64, PeerId)> =
            members.map(|id| (mix(self.hosts[&id] ^ key), id)).collect();
        scored.sort_unstable();
        scored.into_iter().map(|(_, id)| id).collect()
    }

    /// The `skip`-th live owner of a zone, or the last if it has fewer. O(z).
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

    /// Whether the chunk of `key` comes into a zone from the origin.
    fn pulls_from_origin(&self, zone: usize, key: u64, is_live: &dyn Fn(PeerId) -> bool) -> bool {
        let region = self.zones[zone].region;
        self.first_zone(region, key, is_live) == Some(zone)
            && self.upstream_zone(region, key, is_live).is_none()
    }

    /// Where this host takes the chunk of `key` from.
    ///
    /// `skip` counts the stall periods without progress: with each, one more host of the zone holds
    /// itself responsible and sources further down the order are asked, so that an owner that lives
    /// but lies cannot hold a chunk back. O(hosts of the zones involved).
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

    /// The owner of `key` in another live zone; `turn` goes round the zones.
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

    /// The owner of `key` in this host's zone, if this host is the next one after it.
    ///
    /// Only the next one watches an owner, so a silent owner costs one probe and not one a host.
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

    /// The first live zone of a region for `key`.
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

    /// Where the owner of `key` in this host's zone takes it from.
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

    /// The first zone of the region that `region` takes `key` from; `None` is the origin.
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
