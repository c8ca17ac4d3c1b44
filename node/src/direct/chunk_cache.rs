//! Cache of weight chunks that an entry serves to the agents of its region.
//!
//! Chunks are keyed by digest. Chunks of older versions are evicted when a newer version is requested. Requests to the
//! origin are limited and ordered here.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::pullers::OriginPath;
use mastichaven_core::direct::pullers::OriginQueue;
use mastichaven_core::direct::pullers::OriginTicket;
use mastichaven_core::direct::pullers::Pullers;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::ChunkSender;
use mastichaven_core::direct::replication::MAX_HOLDERS;
use mastichaven_core::ids::Digest;
use mastichaven_core::swarm::topology::key_of;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use super::swarm::MIN_FRACTION_TO_FINISH;

/// Fraction of an older version's requested chunks that must be available here for it to go before a newer one at
/// the origin.
const MIN_FRACTION_TO_FINISH_FIRST: f64 = 2.0 / 3.0;

/// Time after the last request for a chunk during which a failed download of it is retried.
const REQUEST_TTL: Duration = Duration::from_millis(1_500);

/// Time after the first request to a process during which chunks that it lacks may have been fetched before it
/// started, so that others have them. A version takes some 3 s from the origin, and longer after an outage.
const START_DURATION: Duration = Duration::from_secs(10);

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

/// What is known about a pending chunk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Outlook {
    #[default]
    Unknown,
    /// A puller is fetching it; for a puller, one before it.
    Coming,
    /// A puller after this one is fetching it.
    ComingFromLater,
    /// No source can provide it at the moment.
    Failing,
}

#[derive(Clone, Debug)]
struct Slot {
    model: SmolStr,
    version: u64,
    requested_at: Time,
    content: Content,
    outlook: Outlook,
    /// Agents that have the chunk, from the last request that named any.
    holders: Vec<SocketAddr>,
    /// Whether only entries have requested the chunk.
    is_relayed: bool,
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
    first_requested_at: Cell<Option<Time>>,
    pub(super) changed: Notify,
    pub(super) upload_slots: Semaphore,
    pub(super) download_slots: Semaphore,
    pub(super) pullers: RefCell<Pullers>,
    pub(super) origin_path: Cell<OriginPath>,
    origin_queue: RefCell<OriginQueue>,
    last_ticket_id: Cell<u64>,
    /// Whether the last request to the origin failed, for log lines.
    pub(super) is_origin_failing: Cell<bool>,
}

impl Default for ChunkCache {
    fn default() -> ChunkCache {
        ChunkCache {
            slots: RefCell::default(),
            newest: RefCell::default(),
            first_requested_at: Cell::new(None),
            changed: Notify::new(),
            upload_slots: Semaphore::new(MAX_OUTGOING_PIECES),
            download_slots: Semaphore::new(MAX_INCOMING_PIECES),
            pullers: RefCell::default(),
            origin_path: Cell::default(),
            origin_queue: RefCell::default(),
            last_ticket_id: Cell::new(0),
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

    /// Whether the process may have started in the middle of a download.
    pub(super) fn has_just_started(&self, now: Time) -> bool {
        self.first_requested_at.get().is_none_or(|at| !now.passed(at, START_DURATION))
    }

    pub(super) fn content(&self, digest: Digest) -> Option<Content> {
        self.slots.borrow().get(&digest).map(|slot| slot.content.clone())
    }

    /// Records a request and returns whether the chunk has to be fetched; `None` if the cache is full.
    pub(super) fn record_request(&self, req: &ChunkRequest, now: Time) -> Option<bool> {
        self.record_version(req, now);
        self.first_requested_at.set(self.first_requested_at.get().or(Some(now)));
        let mut slots = self.slots.borrow_mut();
        let is_relayed = req.sender != ChunkSender::Agent;
        let holders = req.holders.iter().take(MAX_HOLDERS).copied().collect();
        if let Some(slot) = slots.get_mut(&req.digest) {
            slot.requested_at = now;
            slot.is_relayed &= is_relayed;
            if !req.holders.is_empty() {
                slot.holders = holders;
            }
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
            outlook: Outlook::Unknown,
            holders,
            is_relayed,
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
        let previous = newest.get(&req.model).map(|newest| newest.version);
        if let Some(previous) = previous
            && available_fraction(&slots, req, previous) >= MIN_FRACTION_TO_FINISH_FIRST
        {
            self.origin_queue.borrow_mut().finish_first(model_key(&req.model), previous, now);
        }
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

    pub(super) fn outlook(&self, digest: Digest) -> Outlook {
        self.slots.borrow().get(&digest).map(|slot| slot.outlook).unwrap_or_default()
    }

    pub(super) fn set_outlook(&self, digest: Digest, outlook: Outlook) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(&digest) {
            slot.outlook = outlook;
        }
        self.changed.notify_waiters();
    }

    /// Whether only entries have requested the chunk.
    pub(super) fn is_relayed(&self, digest: Digest) -> bool {
        self.slots.borrow().get(&digest).is_some_and(|slot| slot.is_relayed)
    }

    /// Removes and returns an agent that is known to have the chunk.
    pub(super) fn take_holder(&self, digest: Digest) -> Option<SocketAddr> {
        self.slots.borrow_mut().get_mut(&digest)?.holders.pop()
    }

    /// The agents that are known to have the chunk.
    pub(super) fn holders(&self, digest: Digest) -> Vec<SocketAddr> {
        self.slots.borrow().get(&digest).map(|slot| slot.holders.clone()).unwrap_or_default()
    }

    pub(super) fn update_origin_path<T>(&self, update: impl FnOnce(&mut OriginPath) -> T) -> T {
        let mut path = self.origin_path.get();
        let result = update(&mut path);
        self.origin_path.set(path);
        result
    }

    /// Queues a chunk for a request to the origin.
    pub(super) fn queue_for_origin(&self, req: &ChunkRequest) -> OriginPlace<'_> {
        self.last_ticket_id.set(self.last_ticket_id.get() + 1);
        let ticket = OriginTicket {
            model: model_key(&req.model),
            version: req.version,
            id: self.last_ticket_id.get(),
        };
        self.origin_queue.borrow_mut().push(ticket);
        OriginPlace { cache: self, ticket }
    }

    pub(super) fn remove(&self, digest: Digest) {
        self.slots.borrow_mut().remove(&digest);
        self.changed.notify_waiters();
    }
}

/// Place of a chunk in the queue for the origin, and then among the requests in flight, until it is dropped.
pub(super) struct OriginPlace<'a> {
    cache: &'a ChunkCache,
    ticket: OriginTicket,
}

impl OriginPlace<'_> {
    /// Whether the request may be sent now.
    pub(super) fn try_start(&self, now: Time) -> bool {
        self.cache.origin_queue.borrow_mut().try_start(self.ticket, MAX_ORIGIN_REQUESTS, now)
    }
}

impl Drop for OriginPlace<'_> {
    fn drop(&mut self) {
        self.cache.origin_queue.borrow_mut().remove(self.ticket);
        self.cache.changed.notify_waiters();
    }
}

/// Identifies a model in the queue for the origin.
fn model_key(model: &SmolStr) -> u64 {
    key_of(Digest::of(model.as_bytes()))
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
