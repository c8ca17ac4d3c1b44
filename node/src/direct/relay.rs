//! Bodies of answers on their way to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::mpsc;

/// An answer that broke off: the caller's connection is closed without a proper end, so that the
/// answer does not look whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// Pieces of a stream on their way to a caller that reads slowly; then the endpoint is read slowly,
/// too.
pub const PIECES: usize = 8;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It comes in pieces.
    Pieces(mpsc::Receiver<std::result::Result<Bytes, BrokenOff>>),
}

impl AnswerBody {
    /// A body that is here.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        let bytes = bytes.into();
        AnswerBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces(rx) => {
                rx.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}
