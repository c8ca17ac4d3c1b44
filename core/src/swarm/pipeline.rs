//! Limits on the number of requests in flight and on the time for their answers.

use std::time::Duration;

/// Chunk requests in flight to all neighbours, and to one neighbour.
const PIPELINE: u32 = 5;
const PIPELINE_PER_PEER: u32 = 2;

/// Chunk requests in flight to neighbours while requests of callers use this host's link.
const PIPELINE_SHARED_LINK: u32 = 2;

/// Requests in flight to the origin.
const MAX_FROM_ORIGIN: usize = 2;

/// Timeout of a poll.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a chunk or a manifest from the origin.
pub(super) const ORIGIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout of a chunk is a multiple of the usual chunk time, within these bounds.
const CHUNK_TIMEOUT_FACTOR: u32 = 6;
const MIN_CHUNK_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// Multiple of the usual chunk time after which a chunk is late and requested from a second peer.
const LATE_FACTOR: u32 = 3;

/// Requests in flight at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineLimits {
    /// To all neighbours, while nothing else uses this host's link.
    pub exclusive_link: u32,
    /// To all neighbours, while requests of callers also use the link.
    pub shared_link: u32,
    /// To one neighbour.
    pub per_peer: u32,
    /// To the origin.
    pub from_origin: usize,
}

impl Default for PipelineLimits {
    fn default() -> Self {
        PipelineLimits {
            exclusive_link: PIPELINE,
            shared_link: PIPELINE_SHARED_LINK,
            per_peer: PIPELINE_PER_PEER,
            from_origin: MAX_FROM_ORIGIN,
        }
    }
}

/// Moving average of the time from the request to the arrival of a chunk.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkTime(Duration);

impl Default for ChunkTime {
    fn default() -> ChunkTime {
        ChunkTime(MIN_CHUNK_TIMEOUT / LATE_FACTOR)
    }
}

impl ChunkTime {
    /// Adds a chunk that arrived after `took`.
    pub(super) fn record(&mut self, took: Duration) {
        self.0 = (self.0 * 7 + took) / 8;
    }

    /// Time after which a chunk counts as late.
    pub(super) fn late_after(self) -> Duration {
        self.0 * LATE_FACTOR
    }

    /// Time after which a request for a chunk has failed.
    pub(super) fn timeout(self) -> Duration {
        (self.0 * CHUNK_TIMEOUT_FACTOR).clamp(MIN_CHUNK_TIMEOUT, MAX_CHUNK_TIMEOUT)
    }
}
