//! How many chunks are under way at once, and how long answers may take.

use std::time::Duration;

/// Chunks asked of neighbours at once, and of one neighbour at once.
const PIPELINE: u32 = 5;
const PIPELINE_PER_PEER: u32 = 2;

/// Chunks under way while live requests run on this host's link.
const PIPELINE_SHARED_LINK: u32 = 2;

/// Chunks pulled from the origin at once.
const MAX_FROM_ORIGIN: usize = 2;

/// Time for an answer to a poll.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for a chunk or a manifest from the origin.
pub(super) const ORIGIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Chunk timeouts: a multiple of the usual time, within bounds.
const CHUNK_TIMEOUT_FACTOR: u32 = 6;
const MIN_CHUNK_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// A chunk is late, and asked of somebody else too, after this many usual times.
const LATE_FACTOR: u32 = 3;

/// Chunks under way at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineLimits {
    /// From neighbours, while nothing else uses this host's link.
    pub exclusive_link: u32,
    /// From neighbours, while live requests use it, too.
    pub shared_link: u32,
    /// From one neighbour.
    pub per_peer: u32,
    /// From the origin.
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

/// The time that a chunk usually takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkTime(Duration);

impl Default for ChunkTime {
    fn default() -> ChunkTime {
        ChunkTime(MIN_CHUNK_TIMEOUT / LATE_FACTOR)
    }
}

impl ChunkTime {
    /// A chunk has come after `took`.
    pub(super) fn record(&mut self, took: Duration) {
        self.0 = (self.0 * 7 + took) / 8;
    }

    /// After this a chunk is late.
    pub(super) fn late_after(self) -> Duration {
        self.0 * LATE_FACTOR
    }

    /// After this it no longer counts as under way.
    pub(super) fn timeout(self) -> Duration {
        (self.0 * CHUNK_TIMEOUT_FACTOR).clamp(MIN_CHUNK_TIMEOUT, MAX_CHUNK_TIMEOUT)
    }
}
