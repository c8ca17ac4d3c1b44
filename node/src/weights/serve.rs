//! The thread that answers requests of peers for weights, in order and at the rate of the link.

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

/// Maximum number of replies queued for the link; further requests are refused as busy.
const MAX_QUEUED_REPLIES: usize = 64;

/// Maximum number of requests that wait for their chunk; more are answered as absent.
const MAX_LONG_POLLS: usize = 2_048;

/// Maximum time that the thread waits for an event.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// A bitmap is sent with a chunk only if the chunk is at least this many times larger.
const MIN_CHUNK_TO_BITMAP_RATIO: usize = 32;

/// Size of a message without its payload in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// An input of the thread.
pub(super) enum Event {
    /// A request from a peer.
    Request(Box<Incoming>),
    /// The chunk or manifest with this digest was stored.
    Stored(Digest),
}

/// A requested chunk or manifest, and the version that it belongs to.
#[derive(Clone, Copy)]
struct RequestedObject {
    digest: Digest,
    version: Digest,
    is_manifest: bool,
}

struct LongPoll {
    object: RequestedObject,
    to: HostName,
    sink: ReplySink,
    expires_at: Time,
}

struct QueuedReply {
    due: Time,
    sequence: u64,
    object: RequestedObject,
    sink: ReplySink,
}

impl PartialEq for QueuedReply {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for QueuedReply {}

impl PartialOrd for QueuedReply {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedReply {
    /// Reversed, because [`BinaryHeap`] pops the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

/// Answers requests of peers from the store.
pub(super) struct Server {
    store: Arc<Store>,
    link: Arc<dyn Link>,
    clock: Clock,
    send_queue: BinaryHeap<QueuedReply>,
    long_polls: Vec<LongPoll>,
    /// Requests whose answer a simulated link lost. Dropping the sink would end the stream, which
    /// the peer would see as a refusal instead of a timeout.
    unanswered: Vec<ReplySink>,
    sequence: u64,
}

impl Server {
    pub(super) fn new(store: Arc<Store>, link: Arc<dyn Link>, clock: Clock) -> Server {
        Server {
            store,
            link,
            clock,
            send_queue: BinaryHeap::new(),
            long_polls: Vec::new(),
            unanswered: Vec::new(),
            sequence: 0,
        }
    }

    /// Runs until all senders of events are dropped.
    pub(super) fn run(mut self, events: &flume::Receiver<Event>) {
        loop {
            let now = self.clock.now();
            self.send_due(now);
            let due = self.send_queue.peek().map(|queued| queued.due.since(now));
            let sleep = due.unwrap_or(MAX_SLEEP).min(MAX_SLEEP);
            match events.recv_timeout(sleep) {
                Ok(Event::Request(incoming)) => self.handle_request(*incoming),
                Ok(Event::Stored(digest)) => self.answer_long_polls(digest),
                Err(flume::RecvTimeoutError::Timeout) => self.expire_long_polls(),
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_request(&mut self, incoming: Incoming) {
        let Incoming { peer, request, replies } = incoming;
        let RequestBody::Weights(request) = request.body else {
            return;
        };
        let (object, long_poll_ms) = match request {
            WeightsRequest::Have(version) => {
                let reply = WeightsReply::Have(self.have(version));
                return self.send_immediately(&peer.host, reply, replies);
            }
            WeightsRequest::Manifest { version, long_poll_ms } => {
                (RequestedObject { digest: version, version, is_manifest: true }, long_poll_ms)
            }
            WeightsRequest::Chunk { digest, version, long_poll_ms } => {
                (RequestedObject { digest, version, is_manifest: false }, long_poll_ms)
            }
        };
        if self.is_stored(object) {
            if long_poll_ms == 0 && self.send_queue.len() >= BUSY_QUEUE as usize {
                return refuse_busy(&replies);
            }
            return self.queue_reply(&peer.host, object, replies);
        }
        if long_poll_ms == 0 || self.long_polls.len() >= MAX_LONG_POLLS {
            return self.send_immediately(&peer.host, WeightsReply::Absent, replies);
        }
        let expires_at =
            self.clock.now() + Duration::from_millis(u64::from(long_poll_ms.min(MAX_LONG_POLL_MS)));
        self.long_polls.push(LongPoll { object, to: peer.host, sink: replies, expires_at });
    }

    fn is_stored(&self, object: RequestedObject) -> bool {
        if object.is_manifest {
            self.store.manifest(object.version).is_some()
        } else {
            self.store.has(object.digest)
        }
    }

    fn object_len(&self, object: RequestedObject) -> usize {
        let manifest = self.store.manifest(object.version);
        if object.is_manifest {
            return manifest.map_or(0, |manifest| manifest.encode().len());
        }
        self.store.chunk(object.digest).map_or(0, |bytes| bytes.len())
    }

    fn have(&self, version: Digest) -> Have {
        let chunks = self.store.have(version).unwrap_or_default();
        Have { chunks, queue_len: self.send_queue.len() as u32 }
    }

    fn queue_reply(&mut self, to: &HostName, object: RequestedObject, sink: ReplySink) {
        if sink.is_cancelled() {
            return;
        }
        if self.send_queue.len() >= MAX_QUEUED_REPLIES {
            return refuse_busy(&sink);
        }
        let len = self.object_len(object) + MESSAGE_OVERHEAD_BYTES;
        let Some(due) = self.link.reserve(to, len, self.clock.now()) else {
            return self.unanswered.push(sink);
        };
        self.sequence += 1;
        self.send_queue.push(QueuedReply { due, sequence: self.sequence, object, sink });
    }

    fn send_immediately(&mut self, to: &HostName, reply: WeightsReply, sink: ReplySink) {
        let len = MESSAGE_OVERHEAD_BYTES
            + if let WeightsReply::Have(have) = &reply { have.chunks.wire_len() } else { 0 };
        if self.link.delivers(to, len) {
            send(&sink, ReplyBody::Weights(reply));
        } else {
            self.unanswered.push(sink);
        }
    }

    fn send_due(&mut self, now: Time) {
        while self.send_queue.peek().is_some_and(|queued| queued.due <= now) {
            let Some(queued) = self.send_queue.pop() else {
                return;
            };
            send(&queued.sink, ReplyBody::Weights(self.read_object(queued.object)));
        }
    }

    fn read_object(&self, object: RequestedObject) -> WeightsReply {
        if object.is_manifest {
            let manifest = self.store.manifest(object.version);
            return manifest.map_or(WeightsReply::Absent, |manifest| WeightsReply::Bytes {
                bytes: manifest.encode().into(),
                have: None,
            });
        }
        let Some(bytes) = self.store.chunk(object.digest) else {
            return WeightsReply::Absent;
        };
        let have = self.have(object.version);
        let is_small = have.chunks.wire_len() * MIN_CHUNK_TO_BITMAP_RATIO <= bytes.len();
        WeightsReply::Bytes { bytes: self.link.transmit(bytes), have: is_small.then_some(have) }
    }

    fn answer_long_polls(&mut self, digest: Digest) {
        let mut n = 0;
        while n < self.long_polls.len() {
            if self.long_polls[n].object.digest == digest {
                let LongPoll { object, to, sink, .. } = self.long_polls.swap_remove(n);
                self.queue_reply(&to, object, sink);
            } else {
                n += 1;
            }
        }
    }

    fn expire_long_polls(&mut self) {
        let now = self.clock.now();
        self.unanswered.retain(|sink| !sink.is_cancelled());
        let long_polls = std::mem::take(&mut self.long_polls);
        for long_poll in long_polls {
            if long_poll.sink.is_cancelled() {
                continue;
            }
            if now < long_poll.expires_at {
                self.long_polls.push(long_poll);
            } else {
                self.send_immediately(&long_poll.to, WeightsReply::Absent, long_poll.sink);
            }
        }
    }
}

fn send(sink: &ReplySink, body: ReplyBody) {
    let _ = sink.send(Reply { generation: Default::default(), body });
}

/// Refuses a request because the queue is full.
pub(super) fn refuse_busy(sink: &ReplySink) {
    send(sink, ReplyBody::Refused(Code::Busy));
}
