//! State of one version that is being downloaded: missing chunks, their holders and their sources.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::bitmap::Bitmap;
use super::status::Arrivals;
use super::status::DownloadStatus;
use super::topology::PeerId;
use super::topology::Source;
use super::topology::key_of;
use crate::ids::Digest;
use crate::manifest::Manifest;
use crate::time::Time;

/// Requests in flight for one chunk; the second is sent only when the first is late.
pub(super) const MAX_PARALLEL_REQUESTS: u8 = 2;

/// The same for an overdue chunk: two owners may be slow while a neighbour has the chunk by now.
const MAX_PARALLEL_REQUESTS_OVERDUE: u8 = 3;

/// Delay before a chunk is requested from a cache again after a failure; doubles with each further
/// failure up to the maximum. A cache that refuses at once would otherwise be asked without a pause.
const INITIAL_CACHE_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_CACHE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after which failures of requests to caches are forgotten.
const CACHE_FAILURE_TTL: Duration = Duration::from_secs(2);

/// Missing chunks that are compared for one request.
const MAX_COMPARED_CHUNKS: usize = 64;

/// Load difference up to which peers count as equally busy, so that rarity decides.
const LOAD_TOLERANCE: u32 = 2;

/// Share of the chunks, held here or offered by neighbours, at which the deadline for the rest is
/// set. Each chunk has up to three owners, so with a fifth of all links slow half of the chunks
/// arrive in time.
const INITIAL_SHARE: f64 = 0.4;

/// Time for the rest relative to the initial share: 0.6 / 0.4 at the same pace.
const REST_TIME_FACTOR: f64 = 1.5;

/// Minimum time for the rest. Requests, polls and the path through another zone take about 0.5 s
/// for a version of any size.
const MIN_REST_TIME: Duration = Duration::from_secs(1);

/// Requests for a chunk to caches that have failed recently.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CacheFailures {
    count: u32,
    last: Time,
}

impl CacheFailures {
    pub(super) fn record(&mut self, now: Time) {
        if now.passed(self.last, CACHE_FAILURE_TTL) {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.last = now;
    }

    /// Whether the next request is due.
    pub(super) fn allow_request(self, now: Time) -> bool {
        let factor = 1 << self.count.saturating_sub(1).min(8);
        let delay = (INITIAL_CACHE_RETRY_DELAY * factor).min(MAX_CACHE_RETRY_DELAY);
        self.count == 0 || now.passed(self.last, delay)
    }
}

/// Download state of one chunk.
#[derive(Clone, Debug)]
pub(super) struct ChunkState {
    pub(super) digest: Digest,
    pub(super) len: u32,
    pub(super) key: u64,
    pub(super) source: Source,
    pub(super) flights: u8,
    pub(super) requested_at: Time,
    /// When the chunk was last requested as one that this host owns.
    pub(super) owner_requested_at: Option<Time>,
    /// Requests sent while the origin was the source of the chunk.
    pub(super) origin_attempts: u32,
    pub(super) holders: u16,
    pub(super) cache_failures: CacheFailures,
    /// Whether an earlier chunk of the version has the same digest. Only the first one is
    /// requested.
    pub(super) is_duplicate: bool,
    /// Whether its deadline has passed and no neighbour sends it, so that further hosts pull it
    /// too.
    pub(super) is_overdue: bool,
}

/// Download state of one version.
#[derive(Clone, Debug)]
pub(super) struct Download {
    pub(super) version: Digest,
    pub(super) manifest_flights: u8,
    pub(super) chunks: Vec<ChunkState>,
    pub(super) has_manifest: bool,
    index: HashMap<Digest, Vec<u32>>,
    pub(super) have: Bitmap,
    pub(super) missing: usize,
    pub(super) availability: BTreeMap<PeerId, Bitmap>,
    /// Missing chunks that this host pulls from the origin or another zone, in an order that all
    /// hosts share.
    pub(super) owned: Vec<u32>,
    /// All chunks in the order in which they are requested from caches, which all hosts share.
    pub(super) cache_order: Vec<u32>,
    pub(super) watched_owners: BTreeSet<PeerId>,
    pub(super) assigned_for: Option<(u64, usize, usize)>,
    pub(super) progress_at: Time,
    pub(super) manifest_at: Time,
    /// Whether this host has held no version before, so that others may have had this one for long.
    pub(super) is_first_version: bool,
    /// When [`INITIAL_SHARE`] was reached.
    initial_share_at: Option<Time>,
    arrivals: Arrivals,
    /// When a neighbour was last asked for its bitmap of this version.
    pub(super) polled_at: BTreeMap<PeerId, Time>,
}

impl Download {
    pub(super) fn new(version: Digest, is_first_version: bool, now: Time) -> Download {
        Download {
            version,
            manifest_flights: 0,
            chunks: Vec::new(),
            has_manifest: false,
            index: HashMap::new(),
            have: Bitmap::default(),
            missing: 0,
            availability: BTreeMap::new(),
            owned: Vec::new(),
            cache_order: Vec::new(),
            watched_owners: BTreeSet::new(),
            assigned_for: None,
            progress_at: now,
            manifest_at: now,
            is_first_version,
            initial_share_at: None,
            arrivals: Arrivals::default(),
            polled_at: BTreeMap::new(),
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.has_manifest && self.missing == 0
    }

    /// Creates the state of each chunk. `is_stored` tells which chunks the store already has.
    pub(super) fn set_manifest(
        &mut self,
        manifest: &Manifest,
        is_stored: impl Fn(Digest) -> bool,
        now: Time,
    ) {
        if self.has_manifest {
            return;
        }
        self.has_manifest = true;
        self.manifest_at = now;
        self.have = Bitmap::zeros(manifest.chunks.len());
        self.progress_at = now;
        for (n, chunk) in manifest.chunks.iter().enumerate() {
            let locations = self.index.entry(chunk.digest).or_default();
            let is_duplicate = !locations.is_empty();
            locations.push(n as u32);
            self.chunks.push(ChunkState {
                digest: chunk.digest,
                len: chunk.len,
                key: key_of(chunk.digest),
                source: Source::Neighbours,
                flights: 0,
                requested_at: Time::ZERO,
                owner_requested_at: None,
                origin_attempts: 0,
                holders: 0,
                cache_failures: CacheFailures::default(),
                is_duplicate,
                is_overdue: false,
            });
            if is_stored(chunk.digest) {
                self.have.set(n);
            }
        }
        self.missing = self.chunks.len() - self.have.count();
        self.cache_order = (0..self.chunks.len() as u32).collect();
        self.cache_order.sort_unstable_by_key(|index| self.chunks[*index as usize].key);
        let availability: Vec<Bitmap> = self.availability.values().cloned().collect();
        for map in availability {
            self.adjust_holders(&map, 1);
        }
    }

    /// Marks a chunk as stored. O(its occurrences in the version).
    pub(super) fn mark_stored(&mut self, digest: Digest, now: Time) {
        let locations = self.index.get(&digest).cloned().unwrap_or_default();
        for n in locations {
            if self.have.set(n as usize) {
                self.missing -= 1;
                self.progress_at = now;
                self.arrivals.record(now);
            }
        }
    }

    /// Index of the first occurrence of a chunk, where its requests are counted.
    pub(super) fn first_index_of(&self, digest: Digest) -> Option<usize> {
        self.index.get(&digest).and_then(|locations| locations.first()).map(|n| *n as usize)
    }

    fn adjust_holders(&mut self, map: &Bitmap, by: i32) {
        for (n, chunk) in self.chunks.iter_mut().enumerate() {
            if map.get(n) {
                chunk.holders = chunk.holders.saturating_add_signed(by as i16);
            }
        }
    }

    /// Replaces the bitmap of a neighbour. Returns false, and ignores it, if it is too long for the
    /// version. O(chunks).
    pub(super) fn set_availability(&mut self, peer: PeerId, map: Bitmap) -> bool {
        if self.has_manifest && !map.fits(self.chunks.len()) {
            return false;
        }
        if let Some(old) = self.availability.insert(peer, map.clone()) {
            self.adjust_holders(&old, -1);
        }
        self.adjust_holders(&map, 1);
        true
    }

    pub(super) fn remove_peer(&mut self, peer: PeerId) {
        if let Some(old) = self.availability.remove(&peer) {
            self.adjust_holders(&old, -1);
        }
    }

    /// The next chunk to request and the peer to ask. Compares [`MAX_COMPARED_CHUNKS`] missing
    /// chunks from a random index on and prefers the holder with the least busy link, then the
    /// rarest chunk.
    ///
    /// Strictly rarest first is slower: the whole zone asks the only owner of a new chunk at once,
    /// and its link queues while others idle. `load` is `None` for peers that must not be asked.
    /// O(chunks) when few chunks are offered, O([`MAX_COMPARED_CHUNKS`] × neighbours) otherwise.
    pub(super) fn choose_chunk(
        &self,
        random: u64,
        load: &dyn Fn(PeerId) -> Option<u32>,
        may_ask: &dyn Fn(&ChunkState) -> bool,
    ) -> Option<(usize, PeerId)> {
        let len = self.chunks.len();
        let start = random as usize % len.max(1);
        let mut best: Option<((bool, u32, u16), usize, PeerId)> = None;
        let mut seen = 0;
        for n in (start..len).chain(0..start) {
            let chunk = &self.chunks[n];
            let max_flights = if chunk.is_overdue {
                MAX_PARALLEL_REQUESTS_OVERDUE
            } else {
                MAX_PARALLEL_REQUESTS
            };
            let free = chunk.flights < max_flights && may_ask(chunk);
            if self.have.get(n) || chunk.is_duplicate || chunk.holders == 0 || !free {
                continue;
            }
            let loads = self.peers_offering(n).filter_map(|id| Some((load(id)?, id)));
            let Some((load, peer)) = loads.min_by_key(|(load, id)| (*load, id.0 ^ random as u32))
            else {
                continue;
            };
            let rank = (chunk.flights > 0, load / LOAD_TOLERANCE, chunk.holders);
            if best.is_none_or(|(found, _, _)| rank < found) {
                best = Some((rank, n, peer));
            }
            seen += 1;
            if seen == MAX_COMPARED_CHUNKS {
                break;
            }
        }
        best.map(|(_, n, peer)| (n, peer))
    }

    /// The first `most` missing chunks in the order of caches. O(chunks).
    pub(super) fn cache_candidates(&self, most: usize) -> Vec<usize> {
        let order = self.cache_order.iter().map(|index| *index as usize);
        let is_wanted = |index: &usize| {
            let chunk = &self.chunks[*index];
            !self.have.get(*index) && !chunk.is_duplicate
        };
        order.filter(is_wanted).take(most).collect()
    }

    /// Whether any neighbour has the complete version. O(neighbours).
    pub(super) fn has_complete_neighbour(&self) -> bool {
        self.availability.values().any(|map| map.count() == self.chunks.len())
    }

    /// Number of chunks that are held here or offered by a neighbour. O(chunks).
    fn available(&self) -> usize {
        let is_near = |n: &usize| self.have.get(*n) || self.chunks[*n].holders > 0;
        (0..self.chunks.len()).filter(is_near).count()
    }

    fn available_share(&self) -> f64 {
        self.available() as f64 / self.chunks.len().max(1) as f64
    }

    pub(super) fn status(&self, now: Time) -> DownloadStatus {
        DownloadStatus {
            chunks: self.chunks.len(),
            missing: self.missing,
            available: self.available(),
            arrivals_per_s: self.arrivals.per_second(self.manifest_at, now),
        }
    }

    /// Number of periods by which the rest of the version is overdue. The period follows from the
    /// time that [`INITIAL_SHARE`] took, so it suits models and links of any size.
    pub(super) fn overdue_periods(&mut self, now: Time) -> usize {
        if self.initial_share_at.is_none() && self.available_share() >= INITIAL_SHARE {
            self.initial_share_at = Some(now);
        }
        let Some(initial_share_at) = self.initial_share_at else {
            return 0;
        };
        let period =
            initial_share_at.since(self.manifest_at).mul_f64(REST_TIME_FACTOR).max(MIN_REST_TIME);
        (now.since(initial_share_at).as_micros() / period.as_micros()) as usize
    }

    pub(super) fn peers_offering(&self, n: usize) -> impl Iterator<Item = PeerId> + '_ {
        self.availability.iter().filter(move |(_, map)| map.get(n)).map(|(id, _)| *id)
    }
}
