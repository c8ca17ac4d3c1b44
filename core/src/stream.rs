//! Answers in frames: order, whole events, and the place at which a broken stream resumes.

use bytes::Bytes;
use bytes::BytesMut;

use crate::code::Code;
use crate::ids::Attempt;
use crate::run::RunFrame;

/// Bytes of one event at most; a longer one breaks the stream off.
pub const MAX_EVENT_LEN: usize = 1 << 20;

/// The blank line after an event of a `text/event-stream`.
const EVENT_END: &[u8] = b"\n\n";

/// The event after the last token.
const DONE: &[u8] = b"data: [DONE]";

/// Result of taking a frame.
pub type Result<T> = std::result::Result<T, Code>;

/// What a frame of the expected attempt means.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Taken {
    /// The next bytes.
    Bytes(Bytes),
    /// The answer is whole.
    End,
    /// A frame of another attempt, or one that came twice: dropped.
    Dropped,
}

/// Checks that the frames of one attempt come whole and in order.
#[derive(Clone, Copy, Debug)]
pub struct FrameOrder {
    attempt: Attempt,
    next: u32,
}

impl FrameOrder {
    /// The order of the frames of `attempt`.
    pub fn new(attempt: Attempt) -> FrameOrder {
        FrameOrder { attempt, next: 0 }
    }

    /// Takes one frame. A gap, a failure or a wrong count at the end is an error: without it an
    /// answer that lost its middle would look whole.
    pub fn take(&mut self, frame: RunFrame) -> Result<Taken> {
        match frame {
            RunFrame::Data { attempt, sequence, bytes } => {
                if attempt != self.attempt || sequence < self.next {
                    return Ok(Taken::Dropped);
                }
                if sequence > self.next {
                    return Err(Code::Truncated);
                }
                self.next += 1;
                Ok(Taken::Bytes(bytes))
            }
            RunFrame::End { attempt, frames, .. } if attempt == self.attempt => {
                if frames == self.next { Ok(Taken::End) } else { Err(Code::Truncated) }
            }
            RunFrame::Failed { attempt, code, .. } if attempt == self.attempt => Err(code),
            RunFrame::Refused { code, .. } => Err(code),
            _ => Ok(Taken::Dropped),
        }
    }
}

/// Cuts a `text/event-stream` into whole events and counts the tokens passed on.
#[derive(Debug, Default)]
pub struct EventCutter {
    buf: BytesMut,
    tokens: u64,
    done: bool,
}

impl EventCutter {
    /// Adds bytes and gives the whole events they complete, `None` when there is none yet.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>> {
        let from = self.buf.len().saturating_sub(EVENT_END.len() - 1);
        self.buf.extend_from_slice(bytes);
        let Some(end) = find_last(&self.buf[from..], EVENT_END) else {
            return if self.buf.len() > MAX_EVENT_LEN { Err(Code::Truncated) } else { Ok(None) };
        };
        let events = self.buf.split_to(from + end + EVENT_END.len()).freeze();
        for line in events.split(|byte| *byte == b'\n') {
            if line.starts_with(DONE) {
                self.done = true;
            } else if line.starts_with(b"data:") {
                self.tokens += 1;
            }
        }
        Ok(Some(events))
    }

    /// Tokens in the events given so far; a resumed answer starts after them.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether the last event has passed and nothing follows it.
    pub fn is_whole(&self) -> bool {
        self.done && self.buf.is_empty()
    }

    /// Drops the started event of a broken attempt; the next attempt sends it again.
    pub fn restart_event(&mut self) {
        self.buf.clear();
    }
}

fn find_last(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|window| window == wanted)
}
