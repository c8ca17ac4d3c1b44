//! Which chunks are asked of caches.

use rand::Rng;
use rand::RngExt;

use super::ask::NEW_VERSION_POLLS_WITHIN;
use super::ask::PARK;
use super::download::CACHE_FAILURES;
use super::download::Part;
use super::pull::Swarm;
use super::request::Request;
use super::request::To;
use crate::time::Time;

/// Chunks under way from caches at once: enough to keep the link busy while each waits for its next piece.
const FROM_CACHES: usize = 5;

/// Missing chunks among which one is drawn to be asked of a cache. All hosts ask for the same ones at about
/// the same time, in the order in which they come from the origin, but not all for the same one at once.
const CACHE_WINDOW: usize = 8;

impl Swarm {
    /// Asks caches for the next missing chunks.
    pub(super) fn ask_caches<R: Rng>(
        &mut self,
        n: usize,
        now: Time,
        rng: &mut R,
        requests: &mut Vec<Request>,
    ) {
        if !self.uses_caches(n, now) {
            return;
        }
        let mut under_way = self.count_flights(|flight| flight.to == To::Cache);
        while under_way < FROM_CACHES {
            let candidates = self.downloads[n].wanted_of_caches(CACHE_WINDOW);
            let free: Vec<usize> = candidates
                .into_iter()
                .filter(|index| self.downloads[n].parts[*index].flights == 0)
                .collect();
            if free.is_empty() {
                return;
            }
            let index = free[rng.random_range(0..free.len())];
            let timeout = PARK + self.usual.timeout();
            self.ask_chunk(n, index, To::Cache, true, timeout, now, requests);
            under_way += 1;
        }
    }

    /// Whether chunks of a version are asked of caches. A host that is new takes a version that its
    /// neighbours have had for long from them: what caches lack would come from the origin once more.
    pub(super) fn uses_caches(&self, n: usize, now: Time) -> bool {
        let download = &self.downloads[n];
        if !self.has_caches || !download.has_manifest {
            return false;
        }
        if !download.is_newcomer {
            return true;
        }
        !download.is_whole_near()
            && (self.have_answered_polls(n)
                || now.passed(download.opened_at, NEW_VERSION_POLLS_WITHIN))
    }

    /// Whether all live neighbours have answered a poll for a version.
    pub(super) fn have_answered_polls(&self, n: usize) -> bool {
        let near = self.neighbours.iter().filter(|id| self.peers.is_live(**id)).count();
        near == self.neighbours.len() && self.downloads[n].maps.len() >= near
    }

    /// Whether a chunk comes from a cache and need not be brought in by this host.
    pub(super) fn is_cached(&self, part: &Part) -> bool {
        self.has_caches && part.cache_failures < CACHE_FAILURES
    }
}
