//! Bodies of requests: how they are buffered while they arrive, and how they are sent on.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

use super::clients::Charge;

/// Length of the first segment of a body of unknown length, and the maximum length of a segment, in bytes.
const FIRST_SEGMENT_LEN: usize = 4 << 10;
const MAX_SEGMENT_LEN: usize = 64 << 10;

/// A body that arrives.
///
/// Its bytes are copied into segments: a buffer of the connection that holds a few bytes of a body could not be freed
/// before the body. Segments need not be moved when more bytes arrive.
#[derive(Debug, Default)]
pub(super) struct SegmentedBuf {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
}

impl SegmentedBuf {
    /// Bytes received.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Bytes that can be appended before another segment is needed.
    fn room(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    /// Length of the next segment for a body that `expected` further bytes are declared of.
    pub(super) fn next_segment_len(&self, expected: Option<usize>) -> usize {
        let grown = (self.last.capacity() * 2).max(FIRST_SEGMENT_LEN);
        expected.filter(|expected| *expected > 0).unwrap_or(grown).min(MAX_SEGMENT_LEN)
    }

    /// Adds an empty segment of `len` bytes.
    pub(super) fn add_segment(&mut self, len: usize) {
        let last = std::mem::replace(&mut self.last, BytesMut::with_capacity(len));
        if !last.is_empty() {
            self.full.push(last.freeze());
        }
    }

    /// Moves bytes from `bytes` into the last segment until it is full.
    pub(super) fn append(&mut self, bytes: &mut Bytes) {
        let part = bytes.split_to(bytes.len().min(self.room()));
        self.len += part.len();
        self.last.extend_from_slice(&part);
    }

    /// The complete body.
    pub(super) fn finish(mut self, charge: Option<Charge>) -> RequestBody {
        self.add_segment(0);
        RequestBody { segments: self.full, _charge: charge }
    }
}

/// A complete body of a request, kept for further attempts.
#[derive(Debug, Default)]
pub struct RequestBody {
    segments: Vec<Bytes>,
    _charge: Option<Charge>,
}

impl RequestBody {
    /// Its bytes, in parts.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(AsRef::as_ref)
    }

    /// A body to send on.
    pub fn to_outgoing(&self) -> OutgoingBody {
        OutgoingBody { segments: self.segments.iter().cloned().collect() }
    }
}

/// The body of a request to an endpoint, the store or an origin.
#[derive(Debug, Default)]
pub struct OutgoingBody {
    segments: VecDeque<Bytes>,
}

impl From<Bytes> for OutgoingBody {
    fn from(bytes: Bytes) -> OutgoingBody {
        OutgoingBody { segments: Some(bytes).filter(Buf::has_remaining).into_iter().collect() }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.segments.pop_front().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.segments.iter().map(|segment| segment.len() as u64).sum())
    }
}
