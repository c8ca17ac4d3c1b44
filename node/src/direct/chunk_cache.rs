//! Chunks of weights that an entry keeps for the agents of its region.
//!
//! A chunk is named by its digest and kept until a newer version is asked for.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::ids::Digest;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

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

/// The chunks of one entry.
#[derive(Debug)]
pub struct ChunkCache {
    slots: RefCell<HashMap<Digest, Slot>>,
    /// The newest version of each model that was asked for, and when that was first.
    newest: RefCell<HashMap<SmolStr, (u64, Time)>>,
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

    fn note_version(&self, req: &ChunkRequest, now: Time) {
        let mut newest = self.newest.borrow_mut();
        let known = newest.get(&req.model).map_or(0, |(version, _)| *version);
        if req.version > known {
            newest.insert(req.model.clone(), (req.version, now));
        }
    }

    /// Whether a chunk is to be fetched still. Once a newer version is asked for, a chunk of an older one is
    /// fetched only if somebody asks again: the link of the origin bears one copy in the time that matters.
    pub(super) fn is_wanted(&self, digest: Digest, now: Time) -> bool {
        let slots = self.slots.borrow();
        let Some(slot) = slots.get(&digest) else {
            return false;
        };
        let newest = self.newest.borrow();
        let is_superseded = newest
            .get(&slot.model)
            .is_some_and(|(version, since)| *version > slot.version && *since >= slot.asked_at);
        !is_superseded && !now.passed(slot.asked_at, WANTED_FOR)
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
