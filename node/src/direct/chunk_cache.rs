//! Chunks of weights that an entry keeps for the agents of its region.
//!
//! A chunk is named by its digest and kept until a newer version is asked for.

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

/// How long a chunk that cannot be had is tried for after somebody has asked for it last.
const WANTED_FOR: Duration = Duration::from_millis(1_500);

/// Chunks that one entry takes from the origin at once; a few entries together keep its link busy.
const FROM_ORIGIN: usize = 2;

/// Pieces under way to agents at once. Each waits on the agent's narrow link; with fewer of them this host's
/// link would be idle, with more the events of streams would wait behind them.
const PIECES_OUT: usize = 32;

/// Pieces under way from other entries at once.
const PIECES_IN: usize = 16;

/// Chunks kept or on their way at most. An entry hands out one of as many chunks as its region has entries.
const MAX_CHUNKS: usize = 256;

#[derive(Clone, Debug)]
pub(super) enum Content {
    Awaited,
    Here(Bytes),
    /// The source does not have it and will not.
    Absent,
}

#[derive(Clone, Debug)]
struct Slot {
    model: SmolStr,
    version: u64,
    asked_at: Time,
    content: Content,
}

/// The newest version of a model that was asked for.
#[derive(Clone, Debug)]
struct Newest {
    version: u64,
    /// When it was asked for first.
    since: Time,
    /// Older versions that had hardly begun to come then.
    left: HashSet<u64>,
}

impl Newest {
    /// Whether a chunk is of an older version that is left, and nobody has asked for it since.
    fn leaves(&self, slot: &Slot) -> bool {
        self.left.contains(&slot.version) && self.since >= slot.asked_at
    }
}

/// The chunks of one entry.
#[derive(Debug)]
pub struct ChunkCache {
    slots: RefCell<HashMap<Digest, Slot>>,
    newest: RefCell<HashMap<SmolStr, Newest>>,
    pub(super) changed: Notify,
    pub(super) out: Semaphore,
    pub(super) intake: Semaphore,
    pub(super) from_origin: Semaphore,
    /// Whether the last call to the origin failed.
    pub(super) is_origin_lost: Cell<bool>,
}

impl Default for ChunkCache {
    fn default() -> ChunkCache {
        ChunkCache {
            slots: RefCell::default(),
            newest: RefCell::default(),
            changed: Notify::new(),
            out: Semaphore::new(PIECES_OUT),
            intake: Semaphore::new(PIECES_IN),
            from_origin: Semaphore::new(FROM_ORIGIN),
            is_origin_lost: Cell::new(false),
        }
    }
}

impl ChunkCache {
    /// Chunks that are here.
    pub fn len(&self) -> usize {
        let slots = self.slots.borrow();
        slots.values().filter(|slot| matches!(slot.content, Content::Here(_))).count()
    }

    /// Whether no chunk is here.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn content(&self, digest: Digest) -> Option<Content> {
        self.slots.borrow().get(&digest).map(|slot| slot.content.clone())
    }

    /// Notes a request; says whether the chunk is to be fetched for it. `None` if there is no room.
    pub(super) fn note_request(&self, req: &ChunkRequest, now: Time) -> Option<bool> {
        self.note_version(req, now);
        let mut slots = self.slots.borrow_mut();
        if let Some(slot) = slots.get_mut(&req.digest) {
            slot.asked_at = now;
            return Some(false);
        }
        if slots.len() >= MAX_CHUNKS {
            return None;
        }
        // Older versions have had their time: hosts that still lack chunks of them ask each other.
        let is_current = |slot: &Slot| slot.model != req.model || slot.version >= req.version;
        slots.retain(|_, slot| is_current(slot) || !is_idle(slot, now));
        let slot = Slot {
            model: req.model.clone(),
            version: req.version,
            asked_at: now,
            content: Content::Awaited,
        };
        slots.insert(req.digest, slot);
        Some(true)
    }

    /// Notes that a version is asked for, and which older ones are left for it.
    fn note_version(&self, req: &ChunkRequest, now: Time) {
        let mut newest = self.newest.borrow_mut();
        if newest.get(&req.model).is_some_and(|newest| newest.version >= req.version) {
            return;
        }
        let slots = self.slots.borrow();
        let older = slots.values().filter(|slot| slot.model == req.model);
        let left = older
            .map(|slot| slot.version)
            .filter(|one| share_here(&slots, req, *one) < MIN_FRACTION_TO_FINISH);
        let left = left.collect();
        newest.insert(req.model.clone(), Newest { version: req.version, since: now, left });
    }

    /// Whether to try once more for a chunk that could not be had.
    pub(super) fn is_wanted(&self, digest: Digest, now: Time) -> bool {
        let slots = self.slots.borrow();
        let is_recent = |slot: &Slot| !now.passed(slot.asked_at, WANTED_FOR);
        slots.get(&digest).is_some_and(is_recent) && !self.is_left(digest)
    }

    /// Whether a chunk is left for a newer version. Once that is asked for, a chunk of an older one that has
    /// hardly begun to come is fetched only if somebody asks again: both versions would share the
    /// link of the origin.
    pub(super) fn is_left(&self, digest: Digest) -> bool {
        let slots = self.slots.borrow();
        let newest = self.newest.borrow();
        slots
            .get(&digest)
            .is_some_and(|slot| newest.get(&slot.model).is_some_and(|newest| newest.leaves(slot)))
    }

    pub(super) fn set(&self, digest: Digest, content: Content) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(&digest) {
            slot.content = content;
        }
        self.changed.notify_waiters();
    }

    pub(super) fn forget(&self, digest: Digest) {
        self.slots.borrow_mut().remove(&digest);
        self.changed.notify_waiters();
    }
}

fn is_idle(slot: &Slot, now: Time) -> bool {
    !matches!(slot.content, Content::Awaited) && now.passed(slot.asked_at, WANTED_FOR)
}

/// Part of the chunks of `version`, among those asked for, that is here.
fn share_here(slots: &HashMap<Digest, Slot>, req: &ChunkRequest, version: u64) -> f64 {
    let is_same = |one: &&Slot| one.model == req.model && one.version == version;
    let all = slots.values().filter(is_same).count();
    let is_here = |one: &&Slot| matches!(one.content, Content::Here(_));
    let here = slots.values().filter(is_same).filter(is_here).count();
    here as f64 / all as f64
}
