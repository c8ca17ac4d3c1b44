//! Response streams: the order of frames, complete events, and the token count at which a broken
//! stream resumes.

use bytes::Bytes;
use bytes::BytesMut;

use crate::code::Code;
use crate::ids::Attempt;
use crate::run::RunFrame;

/// Maximum size of an event in bytes; a larger one fails the stream.
pub const MAX_EVENT_LEN: usize = 1 << 20;

/// The blank line that ends an event of a `text/event-stream`.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// The event that follows the last token.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Result of processing a frame or a part of a stream.
pub type Result<T> = std::result::Result<T, Code>;

/// Content of an accepted frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameContent {
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The response is complete.
    End,
    /// A duplicate, or a frame of another attempt; ignored.
    Dropped,
}

/// Checks that the frames of one attempt are complete and in order.
#[derive(Clone, Copy, Debug)]
pub struct FrameSequencer {
    attempt: Attempt,
    next: u32,
}

impl FrameSequencer {
    /// Expects the frames of `attempt`, from number 0.
    pub fn new(attempt: Attempt) -> FrameSequencer {
        FrameSequencer { attempt, next: 0 }
    }

    /// Processes a frame. A gap or a wrong frame count at the end fails with [`Code::Truncated`],
    /// as a response without its middle would look complete; a failure frame fails with its code.
    pub fn accept(&mut self, frame: RunFrame) -> Result<FrameContent> {
        match frame {
            RunFrame::Data { attempt, sequence, bytes } => {
                if attempt != self.attempt || sequence < self.next {
                    return Ok(FrameContent::Dropped);
                }
                if sequence > self.next {
                    return Err(Code::Truncated);
                }
                self.next += 1;
                Ok(FrameContent::Bytes(bytes))
            }
            RunFrame::End { attempt, frames, .. } if attempt == self.attempt => {
                if frames == self.next { Ok(FrameContent::End) } else { Err(Code::Truncated) }
            }
            RunFrame::Failed { attempt, code, .. } if attempt == self.attempt => Err(code),
            RunFrame::Refused { code, .. } => Err(code),
            _ => Ok(FrameContent::Dropped),
        }
    }
}

/// Splits a `text/event-stream` into events and counts their tokens.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    tokens: u64,
    done: bool,
}

impl EventSplitter {
    /// Adds bytes and returns the events they complete; `None` if they complete none. An event
    /// larger than [`MAX_EVENT_LEN`] fails with [`Code::Truncated`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>> {
        let from = self.buf.len().saturating_sub(EVENT_DELIMITER.len() - 1);
        self.buf.extend_from_slice(bytes);
        let Some(end) = rfind(&self.buf[from..], EVENT_DELIMITER) else {
            return if self.buf.len() > MAX_EVENT_LEN { Err(Code::Truncated) } else { Ok(None) };
        };
        let events = self.buf.split_to(from + end + EVENT_DELIMITER.len()).freeze();
        for line in events.split(|byte| *byte == b'\n') {
            if line.starts_with(DONE_EVENT) {
                self.done = true;
            } else if line.starts_with(b"data:") {
                self.tokens += 1;
            }
        }
        Ok(Some(events))
    }

    /// Number of tokens in the returned events; a resumed response starts after them.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether the done event was returned and no bytes follow it.
    pub fn is_complete(&self) -> bool {
        self.done && self.buf.is_empty()
    }

    /// Discards the incomplete event of a failed attempt; the next attempt sends it again.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
    }
}

fn rfind(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).rposition(|window| window == needle)
}
