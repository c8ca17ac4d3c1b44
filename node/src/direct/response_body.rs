//! Response bodies sent to callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use mastichaven_core::direct::read_ahead::ReadAheadBudget;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::metrics::Metrics;

/// Interval at which a stream that waits for its caller looks whether other streams have freed a part of the budget.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest chunk that is handed to the server, which buffers several of them for each caller.
const MAX_CHUNK_LEN: usize = 4 << 10;

/// Error of a response body that cannot be completed. It makes the server close the caller's
/// connection without ending the body, so that the caller sees a truncated response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseAborted;

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response aborted")
    }
}

impl std::error::Error for ResponseAborted {}

/// What is read ahead from endpoints for all callers of an entry.
#[derive(Debug)]
pub struct ReadAhead {
    budget: RefCell<ReadAheadBudget>,
    metrics: Rc<Metrics>,
}

impl ReadAhead {
    /// A budget for a process that may use `memory` bytes.
    pub fn new(memory: usize, metrics: Rc<Metrics>) -> Rc<ReadAhead> {
        Rc::new(ReadAhead { budget: RefCell::new(ReadAheadBudget::new(memory)), metrics })
    }

    /// Bytes that callers have not taken.
    pub fn buffered(&self) -> usize {
        self.budget.borrow().buffered()
    }

    /// Creates a body of a stream and its sender.
    pub fn start_body(self: &Rc<ReadAhead>) -> (BodySender, ResponseBody) {
        let shared = Rc::new(Shared {
            pending: RefCell::default(),
            taken: Notify::new(),
            closed: Notify::new(),
            read_ahead: self.clone(),
        });
        let sender = BodySender { shared: shared.clone(), is_slow: Cell::new(false) };
        (sender, ResponseBody::Streamed(StreamedBody(shared)))
    }
}

/// What the sender of a body has sent and the server has not taken.
#[derive(Debug, Default)]
struct Pending {
    bytes: Bytes,
    /// How the body ends after `bytes`; `None` until then.
    end: Option<std::result::Result<(), ResponseAborted>>,
    is_closed: bool,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct Shared {
    pending: RefCell<Pending>,
    /// Notified when `pending` is taken.
    taken: Notify,
    /// Notified when the body is dropped.
    closed: Notify,
    read_ahead: Rc<ReadAhead>,
}

impl Shared {
    /// Takes at most `max_len` bytes. A part of the buffer is copied, as it would keep all of it in memory.
    fn take(&self, max_len: usize) -> Bytes {
        let held = &mut self.pending.borrow_mut().bytes;
        let bytes = if held.len() <= max_len {
            mem::take(held)
        } else {
            let part = Bytes::copy_from_slice(&held[..max_len]);
            held.advance(max_len);
            part
        };
        self.read_ahead.budget.borrow_mut().remove(bytes.len());
        self.taken.notify_one();
        bytes
    }

    fn end(&self, end: std::result::Result<(), ResponseAborted>) {
        let mut pending = self.pending.borrow_mut();
        pending.end.get_or_insert(end);
        if let Some(waker) = pending.waker.take() {
            waker.wake();
        }
    }
}

/// Sends the chunks of a streamed body. Dropping it ends the body.
#[derive(Debug)]
pub struct BodySender {
    shared: Rc<Shared>,
    is_slow: Cell<bool>,
}

impl BodySender {
    /// Sends a chunk once the limits admit it. Chunks that are not taken are joined.
    pub async fn send(&self, chunk: Bytes) {
        let Shared { pending, taken, read_ahead, .. } = &*self.shared;
        loop {
            let held = pending.borrow().bytes.len();
            if read_ahead.budget.borrow().admits(held, chunk.len()) {
                break;
            }
            if !self.is_slow.replace(true) {
                read_ahead.metrics.count("slow_readers");
            }
            let _ = timeout(RECHECK_INTERVAL, taken.notified()).await;
        }
        let mut pending = pending.borrow_mut();
        // The caller has disconnected.
        if pending.is_closed {
            return;
        }
        let ahead = ReadAheadBudget::bytes_ahead(pending.bytes.len(), chunk.len());
        if ahead > 0 {
            read_ahead.metrics.add("read_ahead_bytes", ahead as u64);
        }
        read_ahead.budget.borrow_mut().add(chunk.len());
        pending.bytes = join(mem::take(&mut pending.bytes), chunk);
        if let Some(waker) = pending.waker.take() {
            waker.wake();
        }
    }

    /// Ends the body without completing it.
    pub fn abort(&self) {
        self.shared.end(Err(ResponseAborted));
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        while !self.shared.pending.borrow().is_closed {
            self.shared.closed.notified().await;
        }
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.shared.end(Ok(()));
    }
}

fn join(held: Bytes, chunk: Bytes) -> Bytes {
    if held.is_empty() {
        return chunk;
    }
    let mut joined = held.try_into_mut().unwrap_or_else(|held| BytesMut::from(&held[..]));
    joined.extend_from_slice(&chunk);
    joined.freeze()
}

/// A body that is sent as it arrives from an endpoint.
#[derive(Debug)]
pub struct StreamedBody(Rc<Shared>);

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.0.pending.borrow_mut().is_closed = true;
        self.0.take(usize::MAX);
        self.0.closed.notify_one();
    }
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body in memory; `None` once it is sent or if it is empty.
    Whole(Option<Bytes>),
    /// A body that arrives in chunks.
    Streamed(StreamedBody),
}

impl ResponseBody {
    /// A body with known content.
    pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
        let bytes = bytes.into();
        ResponseBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed(StreamedBody(shared)) => {
                let bytes = shared.take(MAX_CHUNK_LEN);
                if !bytes.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let mut pending = shared.pending.borrow_mut();
                match pending.end {
                    Some(end) => Poll::Ready(end.err().map(Err)),
                    None => {
                        pending.waker = Some(cx.waker().clone());
                        Poll::Pending
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}
