//! Which entry hands out which chunk of a version.
//!
//! An endpoint's host has a narrow link, and if hosts exchange chunks only among themselves, each chunk
//! crosses two of those for every copy. Entries have wide links that are mostly idle. So for each chunk
//! one entry of a region, named by rendezvous hashing, hands it to all hosts of the region. A few entries of
//! the origin's region pull the version from the origin, and all others take it from them. The swarm among
//! hosts goes on beside it and takes over what no entry can bring.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::ids::Digest;
use crate::swarm::topology::key_of;
use crate::swarm::topology::mix;
use crate::time::Time;

/// Entries that pull from the origin. Its link is narrow: were each chunk pulled by another entry, dozens of
/// downloads would share it and all end at the same late moment.
pub const PULLERS: usize = 4;

/// How long an entry that failed is passed over.
const FAILED_FOR: Duration = Duration::from_secs(3);

/// From whom a host takes a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheRoute {
    /// The entry of its region.
    pub entry: IpAddr,
    /// The entry that pulls it from the origin; `None` if the first one does that itself.
    pub puller: Option<IpAddr>,
}

/// The entries that hand out chunks, as one agent knows them.
#[derive(Clone, Debug, Default)]
pub struct Caches {
    near: Vec<IpAddr>,
    pullers: Vec<IpAddr>,
    failed: HashMap<IpAddr, Time>,
}

impl Caches {
    /// Takes in the entries of the agent's region, and those of the origin's.
    pub fn set(&mut self, near: Vec<IpAddr>, mut beside_origin: Vec<IpAddr>) {
        self.failed.retain(|ip, _| near.contains(ip));
        self.near = near;
        beside_origin.sort_unstable_by_key(|ip| (hash_of(*ip), *ip));
        beside_origin.truncate(PULLERS);
        self.pullers = beside_origin;
    }

    /// An entry did not answer, or not with the chunk.
    pub fn failed(&mut self, entry: IpAddr, now: Time) {
        self.failed.insert(entry, now);
    }

    /// Whether any entry may be asked.
    pub fn are_available(&self, now: Time) -> bool {
        self.near.iter().any(|entry| self.is_sound(*entry, now))
    }

    /// Where the chunk of this digest comes from. O(entries).
    pub fn route(&self, digest: Digest, now: Time) -> Option<CacheRoute> {
        let sound = self.near.iter().copied().filter(|entry| self.is_sound(*entry, now));
        let entry = owner(sound, digest)?;
        Some(CacheRoute { entry, puller: self.puller(digest).filter(|puller| *puller != entry) })
    }

    /// The entry that pulls the chunk of this digest from the origin. O(1).
    pub fn puller(&self, digest: Digest) -> Option<IpAddr> {
        owner(self.pullers.iter().copied(), digest)
    }

    fn is_sound(&self, entry: IpAddr, now: Time) -> bool {
        self.failed.get(&entry).is_none_or(|at| now.passed(*at, FAILED_FOR))
    }
}

/// The entry with the lowest hash for a chunk: all who know the same entries name the same one, and few
/// chunks change hands when one comes or goes.
fn owner(entries: impl Iterator<Item = IpAddr>, digest: Digest) -> Option<IpAddr> {
    entries.min_by_key(|ip| (mix(hash_of(*ip) ^ key_of(digest)), *ip))
}

fn hash_of(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => mix(u64::from(ip.to_bits())),
        IpAddr::V6(ip) => mix(key_of(Digest::of(&ip.octets()))),
    }
}
