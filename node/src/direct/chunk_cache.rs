//! Cache of weight chunks that an entry serves to the agents of its region.
//!
//! Chunks are keyed by digest. Chunks of older versions are evicted when a newer version is requested.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::ids::Digest;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use super::swarm::MIN_FRACTION_TO_FINISH;

/// Time after the last request for a chunk during which a failed download of it is retried.
const REQUEST_TTL: Duration = Duration::from_millis(1_500);

/// Maximum number of concurrent requests of one entry to the origin; a few entries together saturate its link.
const MAX_ORIGIN_REQUESTS: usize = 2;

/// Maximum number of pieces in flight to agents. Agents have low bandwidth, so with fewer pieces this host's
/// link would be idle; with more, the events of streams would queue behind them.
const MAX_OUTGOING_PIECES: usize = 32;

/// Maximum number of pieces in flight from other entries.
const MAX_INCOMING_PIECES: usize = 16;

/// Maximum number of cached and pending chunks. Each entry serves a 1/n share of a version's chunks, where n is
/// the number of entries in its region.
const MAX_CHUNKS: usize = 256;

/// State of a chunk in the cache.
#[derive(Clone, Debug)]
pub(super) enum Content {
    Pending,
    Available(Bytes),
    /// The origin refused the request for the chunk; it is not retried.
    Absent,
}

#[derive(Clone, Debug)]
struct Slot {
    model: SmolStr,
    version: u64,
    requested_at: Time,
    content: Content,
}

/// The newest requested version of a model.
#[derive(Clone, Debug)]
struct NewestVersion {
    version: u64,
    /// Time of the first request for the version.
    first_requested_at: Time,
    /// Older versions of which only a small fraction was available at that time.
    abandoned: HashSet<u64>,
}

impl NewestVersion {
    /// Whether a chunk belongs to an abandoned version and has not been requested since.
    fn abandons(&self, slot: &Slot) -> bool {
        self.abandoned.contains(&slot.version) && self.first_requested_at >= slot.requested_at
    }
}

/// The chunks that one entry caches or downloads.
#[derive(Debug)]
pub struct ChunkCache {
    slots: RefCell<HashMap<Digest, Slot>>,
    newest: RefCell<HashMap<SmolStr, NewestVersion>>,
    pub(super) changed: Notify,
    pub(super) upload_slots: Semaphore,
    pub(super) download_slots: Semaphore,
    pub(super) origin_slots: Semaphore,
    /// Whether the last request to the origin failed.
    pub(super) is_origin_failing: Cell<bool>,
}

impl Default for ChunkCache {
    fn default() -> ChunkCache {
        ChunkCache {
            slots: RefCell::default(),
            newest: RefCell::default(),
            changed: Notify::new(),
            upload_slots: Semaphore::new(MAX_OUTGOING_PIECES),
            download_slots: Semaphore::new(MAX_INCOMING_PIECES),
            origin_slots: Semaphore::new(MAX_ORIGIN_REQUESTS),
            is_origin_failing: Cell::new(false),
        }
    }
}

impl ChunkCache {
    /// Number of available chunks; pending ones are not counted.
    pub fn len(&self) -> usize {
        let slots = self.slots.borrow();
        slots.values().filter(|slot| matches!(slot.content, Content::Available(_))).count()
    }

    /// Whether no chunk is available.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn content(&self, digest: Digest) -> Option<Content> {
        self.slots.borrow().get(&digest).map(|slot| slot.content.clone())
    }

    /// Records a request and returns whether the chunk has to be fetched; `None` if the cache is full.
    pub(super) fn record_request(&self, req: &ChunkRequest, now: Time) -> Option<bool> {
        self.record_version(req, now);
        let mut slots = self.slots.borrow_mut();
        if let Some(slot) = slots.get_mut(&req.digest) {
            slot.requested_at = now;
            return Some(false);
        }
        if slots.len() >= MAX_CHUNKS {
            return None;
        }
        // Idle chunks of older versions are evicted; hosts that still lack them request them from each other.
        let is_current = |slot: &Slot| slot.model != req.model || slot.version >= req.version;
        slots.retain(|_, slot| is_current(slot) || !is_idle(slot, now));
        let slot = Slot {
            model: req.model.clone(),
            version: req.version,
            requested_at: now,
            content: Content::Pending,
        };
        slots.insert(req.digest, slot);
        Some(true)
    }

    /// Records the newest requested version and which older versions are abandoned in favour of it.
    fn record_version(&self, req: &ChunkRequest, now: Time) {
        let mut newest = self.newest.borrow_mut();
        if newest.get(&req.model).is_some_and(|newest| newest.version >= req.version) {
            return;
        }
        let slots = self.slots.borrow();
        let older = slots.values().filter(|slot| slot.model == req.model);
        let abandoned = older
            .map(|slot| slot.version)
            .filter(|version| available_fraction(&slots, req, *version) < MIN_FRACTION_TO_FINISH);
        let abandoned = abandoned.collect();
        newest.insert(
            req.model.clone(),
            NewestVersion { version: req.version, first_requested_at: now, abandoned },
        );
    }

    /// Whether to continue fetching a chunk: it has been requested recently and is not abandoned.
    pub(super) fn is_wanted(&self, digest: Digest, now: Time) -> bool {
        let slots = self.slots.borrow();
        let is_recent = |slot: &Slot| !now.passed(slot.requested_at, REQUEST_TTL);
        slots.get(&digest).is_some_and(is_recent) && !self.is_abandoned(digest)
    }

    /// Whether the download of a chunk is abandoned in favour of a newer version. Once a newer version has been
    /// requested, the chunks of an older one with few available chunks are fetched only on another request.
    /// Otherwise both versions would compete for the origin's link.
    pub(super) fn is_abandoned(&self, digest: Digest) -> bool {
        let slots = self.slots.borrow();
        let newest = self.newest.borrow();
        slots
            .get(&digest)
            .is_some_and(|slot| newest.get(&slot.model).is_some_and(|newest| newest.abandons(slot)))
    }

    pub(super) fn set_content(&self, digest: Digest, content: Content) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(&digest) {
            slot.content = content;
        }
        self.changed.notify_waiters();
    }

    pub(super) fn remove(&self, digest: Digest) {
        self.slots.borrow_mut().remove(&digest);
        self.changed.notify_waiters();
    }
}

fn is_idle(slot: &Slot, now: Time) -> bool {
    !matches!(slot.content, Content::Pending) && now.passed(slot.requested_at, REQUEST_TTL)
}

/// Fraction of the requested chunks of `version` that are available.
fn available_fraction(slots: &HashMap<Digest, Slot>, req: &ChunkRequest, version: u64) -> f64 {
    let is_same = |slot: &&Slot| slot.model == req.model && slot.version == version;
    let all = slots.values().filter(is_same).count();
    let is_available = |slot: &&Slot| matches!(slot.content, Content::Available(_));
    let available = slots.values().filter(is_same).filter(is_available).count();
    available as f64 / all as f64
}
