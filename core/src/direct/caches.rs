//! Assignment of a version's chunks to the entries that cache and serve them.
//!
//! Hosts of endpoints have low bandwidth, and an exchange of chunks among hosts uses two of these links per
//! copy. Entries have high bandwidth that is mostly idle. Rendezvous hashing therefore assigns each chunk to one
//! entry per region, which serves it to all hosts of the region. A few entries of the origin's region pull the
//! version from the origin, and all other entries fetch it from them. The swarm among hosts runs in parallel
//! and transfers chunks that no entry can provide.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::ids::Digest;
use crate::swarm::topology::key_of;
use crate::swarm::topology::mix;
use crate::time::Time;

/// Maximum number of entries that pull from the origin. With a different entry for each chunk, dozens of
/// downloads would share the origin's low bandwidth and all complete late.
pub const MAX_PULLERS: usize = 4;

/// Time for which an entry is skipped after a failure. Longer ones may overlap for all entries of a region when
/// they are restarted in turn, and hosts then pull from the origin.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);

/// The entries through which a host fetches a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheRoute {
    /// The entry of the host's region that serves the chunk.
    pub entry: IpAddr,
    /// The entry that pulls the chunk from the origin; `None` if `entry` pulls it itself.
    pub puller: Option<IpAddr>,
}

/// The entries that serve chunks, as seen by one agent.
#[derive(Clone, Debug, Default)]
pub struct Caches {
    regional: Vec<IpAddr>,
    pullers: Vec<IpAddr>,
    failed: HashMap<IpAddr, Time>,
    /// Entries that answered a request for a chunk without a good one.
    failed_chunks: HashMap<(IpAddr, Digest), Time>,
}

impl Caches {
    /// Replaces the entries of the agent's region and those of the origin's region.
    pub fn set(&mut self, regional: Vec<IpAddr>, mut in_origin_region: Vec<IpAddr>) {
        self.failed.retain(|ip, _| regional.contains(ip));
        self.regional = regional;
        in_origin_region.sort_unstable_by_key(|ip| (hash_of(*ip), *ip));
        in_origin_region.truncate(MAX_PULLERS);
        self.pullers = in_origin_region;
    }

    /// Records that an entry did not respond. It is skipped for all chunks.
    pub fn record_failure(&mut self, entry: IpAddr, now: Time) {
        self.failed.insert(entry, now);
    }

    /// Records that an entry responded without a chunk, or with a damaged one. Other entries are preferred for this
    /// chunk. O(recorded failures).
    pub fn record_chunk_failure(&mut self, entry: IpAddr, digest: Digest, now: Time) {
        self.failed_chunks.retain(|_, at| !now.passed(*at, FAILURE_COOLDOWN));
        self.failed_chunks.insert((entry, digest), now);
    }

    /// Whether any entry of the region is available.
    pub fn are_available(&self, now: Time) -> bool {
        self.regional.iter().any(|entry| self.is_available(*entry, now))
    }

    /// The route of the chunk with this digest; `None` if no entry of the region is available. O(entries).
    pub fn route(&self, digest: Digest, now: Time) -> Option<CacheRoute> {
        let available =
            || self.regional.iter().copied().filter(|entry| self.is_available(*entry, now));
        let has_not_failed = |entry: &IpAddr| !self.has_failed_chunk(*entry, digest, now);
        let entry = owner(available().filter(has_not_failed), digest)
            .or_else(|| owner(available(), digest))?;
        Some(CacheRoute { entry, puller: self.puller(digest).filter(|puller| *puller != entry) })
    }

    /// The entry that pulls the chunk with this digest from the origin; `None` if the origin's region has no
    /// entries. O(1).
    pub fn puller(&self, digest: Digest) -> Option<IpAddr> {
        owner(self.pullers.iter().copied(), digest)
    }

    fn has_failed_chunk(&self, entry: IpAddr, digest: Digest, now: Time) -> bool {
        let failed_at = self.failed_chunks.get(&(entry, digest));
        failed_at.is_some_and(|at| !now.passed(*at, FAILURE_COOLDOWN))
    }

    fn is_available(&self, entry: IpAddr, now: Time) -> bool {
        self.failed.get(&entry).is_none_or(|at| now.passed(*at, FAILURE_COOLDOWN))
    }
}

/// Selects the entry with the lowest hash for a chunk (rendezvous hashing). Processes with the same set of
/// entries select the same one, and few chunks are reassigned when an entry is added or removed.
fn owner(entries: impl Iterator<Item = IpAddr>, digest: Digest) -> Option<IpAddr> {
    entries.min_by_key(|ip| rank(*ip, digest))
}

fn rank(ip: IpAddr, digest: Digest) -> (u64, IpAddr) {
    (mix(hash_of(ip) ^ key_of(digest)), ip)
}

fn hash_of(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => mix(u64::from(ip.to_bits())),
        IpAddr::V6(ip) => mix(key_of(Digest::of(&ip.octets()))),
    }
}
