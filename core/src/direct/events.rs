//! Cuts a stream of events into whole events and remembers the id of the last one passed on.
//!
//! An endpoint may break off in the middle of an event. Only whole events are passed on, so that
//! another endpoint can continue after the last id and the caller sees each event once.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Bytes of one event at most; a longer one breaks the stream off, as it would fill the memory.
pub const MAX_EVENT_LEN: usize = 256 << 10;

/// Result of adding bytes.
pub type Result<T> = std::result::Result<T, EventTooLong>;

/// An event is longer than [`MAX_EVENT_LEN`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub struct EventCutter {
    buf: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventCutter {
    /// Adds bytes and gives the whole events that they complete, `None` if there is none yet.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>> {
        let from = self.buf.len().saturating_sub(3);
        self.buf.extend_from_slice(bytes);
        let Some(end) = scan_last_end(&self.buf[from..]) else {
            return if self.buf.len() > MAX_EVENT_LEN { Err(EventTooLong) } else { Ok(None) };
        };
        let events = self.buf.split_to(from + end).freeze();
        if let Some(id) = scan_last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(Some(events))
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Whether no part of an event waits for its rest.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Drops the begun event of a run that broke off; the next run sends it again.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }
}

/// Index behind the last blank line of `bytes`.
fn scan_last_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// The value of the last `id:` line.
fn scan_last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    for line in lines {
        if let Some(value) = line.strip_prefix(b"id:") {
            return std::str::from_utf8(value).ok().map(|text| SmolStr::new(text.trim()));
        }
    }
    None
}
