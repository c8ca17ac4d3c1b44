//! One version on its way to this host: what is missing, who has it, where it comes from.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::bitmap::Bitmap;
use super::topology::PeerId;
use super::topology::Source;
use super::topology::key_of;
use crate::ids::Digest;
use crate::manifest::Manifest;
use crate::time::Time;

/// Asks for one chunk under way at once; the second only when the first is late.
pub(super) const MAX_COPIES: u8 = 2;

/// The same for an overdue chunk: two owners may be slow, and a neighbour may have it by now.
const MAX_COPIES_OVERDUE: u8 = 3;

/// Failures of caches after which a chunk is left to the swarm.
pub(super) const CACHE_FAILURES: u8 = 3;

/// Missing chunks on offer that are compared for one request.
const CANDIDATES: usize = 64;

/// Loads this close count as equal, so that rarity decides between them.
const LOAD_STEP: u32 = 2;

/// Part of a version's chunks, here or on offer near, from which on the time for the rest is counted.
/// Chunks come through up to three owners, so with a fifth of all links slow half of them come in time.
const FIRST_PART: f64 = 0.4;

/// Time for the rest, in times of the first part: at the same pace it takes 0.6 / 0.4.
const REST_TIMES: f64 = 1.5;

/// Least time that the rest may take. Asks, polls and the way through another zone take some 0.5 s
/// whatever the size of a version.
const REST_LEAST: Duration = Duration::from_secs(1);

/// One chunk of a version.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) digest: Digest,
    pub(super) len: u32,
    pub(super) key: u64,
    pub(super) source: Source,
    pub(super) flights: u8,
    pub(super) asked_at: Time,
    /// When its owner was last asked.
    pub(super) owner_asked_at: Option<Time>,
    /// How often it was asked for as a chunk that comes from the origin.
    pub(super) origin_tries: u32,
    pub(super) holders: u16,
    /// How often a cache that was asked for it failed.
    pub(super) cache_failures: u8,
    /// Whether the same bytes stand earlier in the version; that place alone is asked for.
    pub(super) is_repeat: bool,
    /// Whether it should be near by now and no neighbour sends it, so that others than its owner
    /// bring it in, too.
    pub(super) is_overdue: bool,
}

/// The state of one version.
#[derive(Clone, Debug)]
pub(super) struct Download {
    pub(super) version: Digest,
    pub(super) manifest_flights: u8,
    pub(super) parts: Vec<Part>,
    pub(super) has_manifest: bool,
    index: HashMap<Digest, Vec<u32>>,
    pub(super) have: Bitmap,
    pub(super) missing: usize,
    pub(super) maps: BTreeMap<PeerId, Bitmap>,
    /// Missing chunks whose source is not the neighbours, in an order common to all hosts.
    pub(super) owned: Vec<u32>,
    /// All chunks in an order common to all hosts, in which caches are asked for them.
    pub(super) cache_order: Vec<u32>,
    pub(super) watch: BTreeSet<PeerId>,
    pub(super) worked_out_at: Option<(u64, usize, usize)>,
    pub(super) progress_at: Time,
    pub(super) opened_at: Time,
    /// Whether this host has held no version before, so that others may have had this one for long.
    pub(super) is_newcomer: bool,
    /// When [`FIRST_PART`] of the chunks was here or on offer near.
    first_part_at: Option<Time>,
}

impl Download {
    pub(super) fn new(version: Digest, is_newcomer: bool, now: Time) -> Download {
        Download {
            version,
            manifest_flights: 0,
            parts: Vec::new(),
            has_manifest: false,
            index: HashMap::new(),
            have: Bitmap::default(),
            missing: 0,
            maps: BTreeMap::new(),
            owned: Vec::new(),
            cache_order: Vec::new(),
            watch: BTreeSet::new(),
            worked_out_at: None,
            progress_at: now,
            opened_at: now,
            is_newcomer,
            first_part_at: None,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.has_manifest && self.missing == 0
    }

    /// Takes the manifest in; `is_here` says which chunks the store already has.
    pub(super) fn open(
        &mut self,
        manifest: &Manifest,
        is_here: impl Fn(Digest) -> bool,
        now: Time,
    ) {
        if self.has_manifest {
            return;
        }
        self.has_manifest = true;
        self.opened_at = now;
        self.have = Bitmap::zeros(manifest.chunks.len());
        self.progress_at = now;
        for (n, chunk) in manifest.chunks.iter().enumerate() {
            let places = self.index.entry(chunk.digest).or_default();
            let is_repeat = !places.is_empty();
            places.push(n as u32);
            self.parts.push(Part {
                digest: chunk.digest,
                len: chunk.len,
                key: key_of(chunk.digest),
                source: Source::Neighbours,
                flights: 0,
                asked_at: Time::ZERO,
                owner_asked_at: None,
                origin_tries: 0,
                holders: 0,
                cache_failures: 0,
                is_repeat,
                is_overdue: false,
            });
            if is_here(chunk.digest) {
                self.have.set(n);
            }
        }
        self.missing = self.parts.len() - self.have.count();
        self.cache_order = (0..self.parts.len() as u32).collect();
        self.cache_order.sort_unstable_by_key(|index| self.parts[*index as usize].key);
        let maps: Vec<Bitmap> = self.maps.values().cloned().collect();
        for map in maps {
            self.count_holders(&map, 1);
        }
    }

    /// A chunk is in the store now. O(its places in the version).
    pub(super) fn stored(&mut self, digest: Digest, now: Time) {
        let places = self.index.get(&digest).cloned().unwrap_or_default();
        for n in places {
            if self.have.set(n as usize) {
                self.missing -= 1;
                self.progress_at = now;
            }
        }
    }

    /// The first place of a chunk in the version; requests count there.
    pub(super) fn part_of(&self, digest: Digest) -> Option<usize> {
        self.index.get(&digest).and_then(|places| places.first()).map(|n| *n as usize)
    }

    fn count_holders(&mut self, map: &Bitmap, by: i32) {
        for (n, part) in self.parts.iter_mut().enumerate() {
            if map.get(n) {
                part.holders = part.holders.saturating_add_signed(by as i16);
            }
        }
    }

    /// A neighbour told what it has. Says whether it may be believed so far. O(chunks).
    pub(super) fn merge_map(&mut self, peer: PeerId, map: Bitmap) -> bool {
        if self.has_manifest && !map.fits(self.parts.len()) {
            return false;
        }
        if let Some(old) = self.maps.insert(peer, map.clone()) {
            self.count_holders(&old, -1);
        }
        self.count_holders(&map, 1);
        true
    }

    pub(super) fn forget(&mut self, peer: PeerId) {
        if let Some(old) = self.maps.remove(&peer) {
            self.count_holders(&old, -1);
        }
    }

    /// The chunk to ask for next and the peer to ask: among [`CANDIDATES`] missing chunks from a
    /// random place on, first the one whose holder's link is least busy, then the rarest.
    ///
    /// Strictly rarest first was measured and left: the whole zone asks the one owner of a new chunk
    /// at once, and its link queues while others idle. `load` is `None` for peers not to be asked.
    /// O(chunks) when little is on offer, O([`CANDIDATES`] × neighbours) else.
    pub(super) fn choose(
        &self,
        random: u64,
        load: &dyn Fn(PeerId) -> Option<u32>,
        may_ask: &dyn Fn(&Part) -> bool,
    ) -> Option<(usize, PeerId)> {
        let len = self.parts.len();
        let start = random as usize % len.max(1);
        let mut best: Option<((bool, u32, u16), usize, PeerId)> = None;
        let mut seen = 0;
        for n in (start..len).chain(0..start) {
            let part = &self.parts[n];
            let copies = if part.is_overdue { MAX_COPIES_OVERDUE } else { MAX_COPIES };
            let free = part.flights < copies && may_ask(part);
            if self.have.get(n) || part.is_repeat || part.holders == 0 || !free {
                continue;
            }
            let loads = self.offers(n).filter_map(|id| Some((load(id)?, id)));
            let Some((load, peer)) = loads.min_by_key(|(load, id)| (*load, id.0 ^ random as u32))
            else {
                continue;
            };
            let rank = (part.flights > 0, load / LOAD_STEP, part.holders);
            if best.is_none_or(|(found, _, _)| rank < found) {
                best = Some((rank, n, peer));
            }
            seen += 1;
            if seen == CANDIDATES {
                break;
            }
        }
        best.map(|(_, n, peer)| (n, peer))
    }

    /// The first `most` missing chunks that are to be asked of caches. O(chunks).
    pub(super) fn wanted_of_caches(&self, most: usize) -> Vec<usize> {
        let order = self.cache_order.iter().map(|index| *index as usize);
        let is_wanted = |index: &usize| {
            let part = &self.parts[*index];
            !self.have.get(*index) && !part.is_repeat && part.cache_failures < CACHE_FAILURES
        };
        order.filter(is_wanted).take(most).collect()
    }

    /// Whether any neighbour has all of it. O(neighbours).
    pub(super) fn is_whole_near(&self) -> bool {
        self.maps.values().any(|map| map.count() == self.parts.len())
    }

    /// The share of chunks that are here or on offer near. O(chunks).
    pub(super) fn near_share(&self) -> f64 {
        let is_near = |n: &usize| self.have.get(*n) || self.parts[*n].holders > 0;
        let near = (0..self.parts.len()).filter(is_near).count();
        near as f64 / self.parts.len().max(1) as f64
    }

    /// Periods by which what is still missing near is overdue. A period follows from the time that the
    /// first part took, so it fits models and links of any size.
    pub(super) fn overdue(&mut self, now: Time) -> usize {
        if self.first_part_at.is_none() && self.near_share() >= FIRST_PART {
            self.first_part_at = Some(now);
        }
        let Some(first_part_at) = self.first_part_at else {
            return 0;
        };
        let period = first_part_at.since(self.opened_at).mul_f64(REST_TIMES).max(REST_LEAST);
        (now.since(first_part_at).as_micros() / period.as_micros()) as usize
    }

    pub(super) fn offers(&self, n: usize) -> impl Iterator<Item = PeerId> + '_ {
        self.maps.iter().filter(move |(_, map)| map.get(n)).map(|(id, _)| *id)
    }
}
