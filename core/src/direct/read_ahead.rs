//! Limits of what an entry reads ahead from endpoints for callers that read slowly, and whether such a caller, or the
//! memory of the endpoint, explains its loss.
//!
//! An endpoint cuts off an answer that is not read for some seconds, and keeps what is unread in its memory. So the
//! entry reads on while it has room, and lets the endpoint wait only then.

use std::collections::HashMap;
use std::time::Duration;

use super::leaving::EndpointProcess;
use crate::time::Time;

/// Bytes that are read ahead for one stream at most: more than most answers have.
const MAX_STREAM_BYTES: usize = 64 << 10;

/// Bytes that are read ahead for all streams together at most, and the same as a share of the memory of the process.
const MAX_TOTAL_BYTES: usize = 16 << 20;
const MAX_MEMORY_FRACTION: f64 = 0.1;

/// Bytes that each stream may buffer though the limits are reached, so that slow callers take nothing from others.
const MIN_STREAM_BYTES: usize = 4 << 10;

/// Time for which an entry must have left an answer unread for the endpoint to be expected to cut it off.
const UNREAD_TIME: Duration = Duration::from_secs(1);

/// Time after the last such pause within which the end of the connection is put down to it. Bytes that arrived before
/// are read first.
const PAUSE_EFFECT_TIME: Duration = Duration::from_secs(3);

/// What is buffered for all streams of an entry.
#[derive(Clone, Copy, Debug)]
pub struct ReadAheadBudget {
    limit: usize,
    buffered: usize,
}

impl ReadAheadBudget {
    /// The budget of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> ReadAheadBudget {
        let limit = (memory as f64 * MAX_MEMORY_FRACTION) as usize;
        ReadAheadBudget { limit: limit.min(MAX_TOTAL_BYTES), buffered: 0 }
    }

    /// Whether `len` bytes may be added to a stream that holds `held`.
    pub fn admits(&self, held: usize, len: usize) -> bool {
        let is_within = held + len <= MAX_STREAM_BYTES && self.buffered + len <= self.limit;
        held == 0 || held + len <= MIN_STREAM_BYTES || is_within
    }

    /// How many of the `len` bytes that are added to a stream with `held` are beyond those that each may buffer.
    pub fn bytes_ahead(held: usize, len: usize) -> usize {
        (held + len).saturating_sub(held.max(MIN_STREAM_BYTES))
    }

    /// Records that bytes are buffered.
    pub fn add(&mut self, len: usize) {
        self.buffered += len;
    }

    /// Records that bytes have left their buffer.
    pub fn remove(&mut self, len: usize) {
        self.buffered = self.buffered.saturating_sub(len);
    }

    /// Bytes buffered for all streams.
    pub fn buffered(&self) -> usize {
        self.buffered
    }
}

/// Share of an endpoint's memory from which on it may end because of all its requests together.
const FULL_MEMORY_FRACTION: f64 = 0.95;

/// Time after such a report within which the end of the endpoint is put down to it. Agents report every 100 ms.
const FULL_MEMORY_TTL: Duration = Duration::from_secs(1);

/// Whether an endpoint that uses `used` of `total` units of memory may end because of all its requests together.
pub fn is_memory_full(used: u64, total: u64) -> bool {
    total > 0 && used as f64 >= total as f64 * FULL_MEMORY_FRACTION
}

/// The processes that have reported their memory full.
#[derive(Clone, Debug, Default)]
pub struct FullProcesses {
    reported_at: HashMap<EndpointProcess, Time>,
}

impl FullProcesses {
    /// Records such a report.
    pub fn record(&mut self, process: EndpointProcess, now: Time) {
        self.reported_at.retain(|_, at| !now.passed(*at, FULL_MEMORY_TTL));
        self.reported_at.insert(process, now);
    }

    /// Whether full memory explains that a process has ended.
    pub fn explain_end(&self, process: EndpointProcess, now: Time) -> bool {
        let reported_at = self.reported_at.get(&process);
        reported_at.is_some_and(|at| !now.passed(*at, FULL_MEMORY_TTL))
    }
}

/// The pauses in reading an answer that are due to its caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadPauses {
    last_long_end: Option<Time>,
}

impl ReadPauses {
    /// Records that the endpoint was not read from for `pause` until `now`.
    pub fn record(&mut self, pause: Duration, now: Time) {
        if pause >= UNREAD_TIME {
            self.last_long_end = Some(now);
        }
    }

    /// Whether the endpoint may have cut off the answer, or ended, because the answer was not read.
    pub fn explain_loss(&self, now: Time) -> bool {
        self.last_long_end.is_some_and(|end| !now.passed(end, PAUSE_EFFECT_TIME))
    }
}
