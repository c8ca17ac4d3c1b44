//! The thread that answers peers: chunks leave in order, as fast as the link may.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::swarm::BUSY_QUEUE;
use mastichaven_core::weights::Have;
use mastichaven_core::weights::MAX_LONG_POLL_MS;
use mastichaven_core::weights::WeightsReply;
use mastichaven_core::weights::WeightsRequest;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;

use super::link::Link;
use super::store::Store;
use crate::clock::Clock;
use crate::transport::Incoming;
use crate::transport::ReplySink;

/// Chunks waiting for the link at most; more are refused as busy.
const MAX_QUEUED: usize = 64;

/// Asks held until their chunk comes at most; more are answered as absent.
const MAX_PARKED: usize = 2_048;

/// How long the thread sleeps at most.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);

/// A have-map goes along with a chunk if it is this much smaller.
const MAP_SHARE: usize = 32;

/// Bytes of a message without its payload.
const MESSAGE_LEN: usize = 64;

/// What the thread is told.
pub(super) enum Event {
    /// A peer asks.
    Ask(Box<Incoming>),
    /// A chunk or manifest has been stored.
    Stored(Digest),
}

/// An ask for bytes: the digest of the chunk or manifest, and the version.
#[derive(Clone, Copy)]
struct Wanted {
    digest: Digest,
    version: Digest,
    is_manifest: bool,
}

struct Parked {
    wanted: Wanted,
    to: HostName,
    sink: ReplySink,
    until: Time,
}

struct Queued {
    due: Time,
    number: u64,
    wanted: Wanted,
    sink: ReplySink,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.number) == (other.due, other.number)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    /// The earliest comes out of the heap first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}

/// Answers peers.
pub(super) struct Server {
    store: Arc<Store>,
    link: Arc<dyn Link>,
    clock: Clock,
    queued: BinaryHeap<Queued>,
    parked: Vec<Parked>,
    /// Asks whose answer got lost on a link; kept so that the peer sees silence and no refusal.
    lost: Vec<ReplySink>,
    number: u64,
}

impl Server {
    pub(super) fn new(store: Arc<Store>, link: Arc<dyn Link>, clock: Clock) -> Server {
        Server {
            store,
            link,
            clock,
            queued: BinaryHeap::new(),
            parked: Vec::new(),
            lost: Vec::new(),
            number: 0,
        }
    }

    /// Runs until nobody can send events any more.
    pub(super) fn run(mut self, events: &flume::Receiver<Event>) {
        loop {
            let now = self.clock.now();
            self.send_due(now);
            let due = self.queued.peek().map(|queued| queued.due.since(now));
            let sleep = due.unwrap_or(LONGEST_SLEEP).min(LONGEST_SLEEP);
            match events.recv_timeout(sleep) {
                Ok(Event::Ask(incoming)) => self.ask(*incoming),
                Ok(Event::Stored(digest)) => self.stored(digest),
                Err(flume::RecvTimeoutError::Timeout) => self.expire(),
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn ask(&mut self, incoming: Incoming) {
        let Incoming { peer, request, replies } = incoming;
        let RequestBody::Weights(ask) = request.body else {
            return;
        };
        let (wanted, long_poll_ms) = match ask {
            WeightsRequest::Have(version) => {
                let reply = WeightsReply::Have(self.have(version));
                return self.send_short(&peer.host, reply, replies);
            }
            WeightsRequest::Manifest { version, long_poll_ms } => {
                (Wanted { digest: version, version, is_manifest: true }, long_poll_ms)
            }
            WeightsRequest::Chunk { digest, version, long_poll_ms } => {
                (Wanted { digest, version, is_manifest: false }, long_poll_ms)
            }
        };
        if self.is_here(wanted) {
            if long_poll_ms == 0 && self.queued.len() >= BUSY_QUEUE as usize {
                return refuse_busy(&replies);
            }
            return self.queue_bytes(&peer.host, wanted, replies);
        }
        if long_poll_ms == 0 || self.parked.len() >= MAX_PARKED {
            return self.send_short(&peer.host, WeightsReply::Absent, replies);
        }
        let until =
            self.clock.now() + Duration::from_millis(u64::from(long_poll_ms.min(MAX_LONG_POLL_MS)));
        self.parked.push(Parked { wanted, to: peer.host, sink: replies, until });
    }

    fn is_here(&self, wanted: Wanted) -> bool {
        if wanted.is_manifest {
            self.store.manifest(wanted.version).is_some()
        } else {
            self.store.has(wanted.digest)
        }
    }

    fn len_of(&self, wanted: Wanted) -> usize {
        let manifest = self.store.manifest(wanted.version);
        if wanted.is_manifest {
            return manifest.map_or(0, |manifest| manifest.encode().len());
        }
        self.store.chunk(wanted.digest).map_or(0, |bytes| bytes.len())
    }

    fn have(&self, version: Digest) -> Have {
        let chunks = self.store.have(version).unwrap_or_default();
        Have { chunks, queue_len: self.queued.len() as u32 }
    }

    fn queue_bytes(&mut self, to: &HostName, wanted: Wanted, sink: ReplySink) {
        if sink.is_cancelled() {
            return;
        }
        if self.queued.len() >= MAX_QUEUED {
            return refuse_busy(&sink);
        }
        let len = self.len_of(wanted) + MESSAGE_LEN;
        let Some(due) = self.link.reserve(to, len, self.clock.now()) else {
            return self.lost.push(sink);
        };
        self.number += 1;
        self.queued.push(Queued { due, number: self.number, wanted, sink });
    }

    fn send_short(&mut self, to: &HostName, reply: WeightsReply, sink: ReplySink) {
        let len = MESSAGE_LEN
            + if let WeightsReply::Have(have) = &reply { have.chunks.wire_len() } else { 0 };
        if self.link.passes(to, len) {
            send(&sink, ReplyBody::Weights(reply));
        } else {
            self.lost.push(sink);
        }
    }

    fn send_due(&mut self, now: Time) {
        while self.queued.peek().is_some_and(|queued| queued.due <= now) {
            let Some(queued) = self.queued.pop() else {
                return;
            };
            send(&queued.sink, ReplyBody::Weights(self.bytes(queued.wanted)));
        }
    }

    fn bytes(&self, wanted: Wanted) -> WeightsReply {
        if wanted.is_manifest {
            let manifest = self.store.manifest(wanted.version);
            return manifest.map_or(WeightsReply::Absent, |manifest| WeightsReply::Bytes {
                bytes: manifest.encode().into(),
                have: None,
            });
        }
        let Some(bytes) = self.store.chunk(wanted.digest) else {
            return WeightsReply::Absent;
        };
        let have = self.have(wanted.version);
        let small = have.chunks.wire_len() * MAP_SHARE <= bytes.len();
        WeightsReply::Bytes { bytes: self.link.carry(bytes), have: small.then_some(have) }
    }

    fn stored(&mut self, digest: Digest) {
        let mut n = 0;
        while n < self.parked.len() {
            if self.parked[n].wanted.digest == digest {
                let Parked { wanted, to, sink, .. } = self.parked.swap_remove(n);
                self.queue_bytes(&to, wanted, sink);
            } else {
                n += 1;
            }
        }
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        self.lost.retain(|sink| !sink.is_cancelled());
        let parked = std::mem::take(&mut self.parked);
        for held in parked {
            if held.sink.is_cancelled() {
                continue;
            }
            if now < held.until {
                self.parked.push(held);
            } else {
                self.send_short(&held.to, WeightsReply::Absent, held.sink);
            }
        }
    }
}

fn send(sink: &ReplySink, body: ReplyBody) {
    let _ = sink.send(Reply { generation: Default::default(), body });
}

/// Tells a peer that this host is busy.
pub(super) fn refuse_busy(sink: &ReplySink) {
    send(sink, ReplyBody::Refused(Code::Busy));
}
