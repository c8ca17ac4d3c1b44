//! Splits a byte stream into complete server-sent events and tracks the id of the last one.
//!
//! A connection to an endpoint may fail in the middle of an event. Only complete events are forwarded, so that
//! another endpoint can resume after the last id and the caller receives each event exactly once.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Maximum size of an event in bytes. A longer event aborts the stream, which bounds memory use.
pub const MAX_EVENT_LEN: usize = 256 << 10;

/// Result of splitting a stream.
pub type Result<T> = std::result::Result<T, EventTooLong>;

/// An event is longer than [`MAX_EVENT_LEN`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Buffers bytes until they form complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<SmolStr>,
    has_events: bool,
}

impl EventSplitter {
    /// Splits a stream that continues after the event `last_id`.
    pub fn resumed_after(last_id: SmolStr) -> EventSplitter {
        EventSplitter { buf: BytesMut::new(), last_id: Some(last_id), has_events: true }
    }

    /// Adds bytes and returns the events that they complete; `None` if there is no complete event yet.
    ///
    /// Fails if the incomplete event is longer than [`MAX_EVENT_LEN`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>> {
        let from = self.buf.len().saturating_sub(3);
        self.buf.extend_from_slice(bytes);
        let Some(end) = scan_last_end(&self.buf[from..]) else {
            return if self.buf.len() > MAX_EVENT_LEN { Err(EventTooLong) } else { Ok(None) };
        };
        let events = self.buf.split_to(from + end).freeze();
        self.has_events = true;
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(Some(events))
    }

    /// Id of the last complete event that had one; `None` if there was none.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Whether there was a complete event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards the incomplete event of an interrupted attempt; the next attempt sends it again.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }
}

/// Index after the last blank line of `bytes`.
fn scan_last_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Splits complete events into single ones, each with its blank line.
pub fn split(events: &Bytes) -> impl Iterator<Item = Bytes> + '_ {
    let mut rest = events.clone();
    std::iter::from_fn(move || {
        let len = scan_first_end(&rest).unwrap_or(rest.len());
        (len > 0).then(|| rest.split_to(len))
    })
}

/// Index after the first blank line of `bytes`.
fn scan_first_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.into_iter().chain(crlf).min()
}

/// The value of the last `id:` line.
pub fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    for line in lines {
        if let Some(value) = line.strip_prefix(b"id:") {
            return std::str::from_utf8(value).ok().map(|text| SmolStr::new(text.trim()));
        }
    }
    None
}
