//! Response bodies sent to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::mpsc;

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

/// Chunks of a stream buffered for a caller that reads slowly. A full buffer applies backpressure
/// to the endpoint.
pub const STREAM_CHANNEL_CAPACITY: usize = 8;

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body in memory; `None` once it is sent or if it is empty.
    Whole(Option<Bytes>),
    /// A body received in chunks from a channel.
    Streamed(mpsc::Receiver<std::result::Result<Bytes, ResponseAborted>>),
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
            ResponseBody::Streamed(rx) => {
                rx.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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
