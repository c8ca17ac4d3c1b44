//! Selects the chunks that are requested from caches.

use rand::Rng;
use rand::RngExt;

use super::download::ChunkState;
use super::download::MAX_CACHE_FAILURES;
use super::host::Swarm;
use super::request::Destination;
use super::request::Request;
use super::schedule::LONG_POLL_TIMEOUT;
use super::schedule::NEW_VERSION_POLL_DELAY;
use crate::time::Time;

/// Requests in flight to caches: enough to keep the link busy while some wait for the cache to
/// receive their chunk.
const PIPELINE_FROM_CACHES: usize = 5;

/// Missing chunks from which the next one is drawn at random. All hosts request the same chunks at
/// about the same time, in the order in which caches pull them from the origin, but not all the
/// same chunk at once.
const CACHE_WINDOW: usize = 8;

impl Swarm {
    /// Requests the next missing chunks from caches.
    pub(super) fn request_from_caches<R: Rng>(
        &mut self,
        n: usize,
        now: Time,
        rng: &mut R,
        requests: &mut Vec<Request>,
    ) {
        if !self.uses_caches(n, now) {
            return;
        }
        let mut in_flight = self.count_flights(|flight| flight.destination == Destination::Cache);
        while in_flight < PIPELINE_FROM_CACHES {
            let candidates = self.downloads[n].cache_candidates(CACHE_WINDOW);
            let free: Vec<usize> = candidates
                .into_iter()
                .filter(|index| self.downloads[n].chunks[*index].flights == 0)
                .collect();
            if free.is_empty() {
                return;
            }
            let index = free[rng.random_range(0..free.len())];
            let timeout = LONG_POLL_TIMEOUT + self.chunk_time.timeout();
            self.request_chunk(n, index, Destination::Cache, true, timeout, now, requests);
            in_flight += 1;
        }
    }

    /// Whether chunks of a version are requested from caches. A new host takes a version that a
    /// neighbour holds completely from its neighbours: chunks that the caches lack would leave the
    /// origin once more.
    pub(super) fn uses_caches(&self, n: usize, now: Time) -> bool {
        let download = &self.downloads[n];
        if !self.has_caches || !download.has_manifest {
            return false;
        }
        if !download.is_first_version {
            return true;
        }
        !download.has_complete_neighbour()
            && (self.neighbours_answered_polls(n)
                || now.passed(download.manifest_at, NEW_VERSION_POLL_DELAY))
    }

    /// Whether every neighbour has been reached and as many bitmaps of a version have arrived.
    pub(super) fn neighbours_answered_polls(&self, n: usize) -> bool {
        let near = self.neighbours.iter().filter(|id| self.peers.has_answered(**id)).count();
        near == self.neighbours.len() && self.downloads[n].availability.len() >= near
    }

    /// Whether a chunk comes from a cache, so that this host need not pull it as its owner.
    pub(super) fn is_cached(&self, chunk: &ChunkState) -> bool {
        self.has_caches && chunk.cache_failures < MAX_CACHE_FAILURES
    }
}
