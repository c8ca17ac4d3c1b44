//! Selects the chunks that are requested from caches.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::host::Swarm;
use super::request::Destination;
use super::request::Request;
use super::request::RequestOutcome;
use super::schedule::LONG_POLL_TIMEOUT;
use super::schedule::NEW_VERSION_POLL_DELAY;
use crate::time::Time;

/// Requests in flight to caches: enough to keep the link busy while some wait for the cache to
/// receive their chunk.
const PIPELINE_FROM_CACHES: usize = 5;

/// Of these, requests for versions older than one that could use them. Chunks of an older version
/// may be unavailable for as long as the origin is, and would hold up the newer one.
const PIPELINE_FOR_OLDER: usize = 1;

/// Time after the announcement of a newer version for which an older one goes first if it is nearly
/// complete here. It then takes less than that, and caches keep its chunks about as long. If the
/// origin goes away meanwhile, the host has that version.
const FINISH_FIRST_TIME: Duration = Duration::from_secs(1);

/// One in this many chunks of a version that is nearly complete may be missing.
const NEARLY_COMPLETE_DIVISOR: usize = 2;

/// Missing chunks from which the next one is drawn at random. All hosts request the same chunks at
/// about the same time, in the order in which caches pull them from the origin, but not all the
/// same chunk at once.
const CACHE_WINDOW: usize = 8;

/// The same with chunks whose next request is delayed after a failure. The limit keeps hosts from
/// asking for all chunks in turn when caches refuse each of them at once.
const MAX_CACHE_WINDOW: usize = 16;

/// Time without an answer from any cache after which chunks are pulled from other zones and, if no
/// neighbour has them, from the origin. Without it, hosts pulled chunks that caches were about to
/// get, and versions left the origin several times.
const CACHE_SILENCE: Duration = Duration::from_secs(2);

/// Whether caches exist, and since when none has answered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CacheAvailability {
    /// Whether this host is to use caches at all.
    are_used: bool,
    are_available: bool,
    /// When caches became unavailable, or the first request without an answer was sent.
    silent_since: Option<Time>,
}

impl CacheAvailability {
    pub(super) fn set(&mut self, are_available: bool) {
        self.are_used = true;
        self.are_available = are_available;
    }

    /// Records the time if no cache is available.
    pub(super) fn observe(&mut self, now: Time) {
        if !self.are_available {
            self.record_request(now);
        }
    }

    fn record_request(&mut self, now: Time) {
        self.silent_since.get_or_insert(now);
    }

    pub(super) fn record_outcome(&mut self, outcome: &RequestOutcome) {
        if !matches!(outcome, RequestOutcome::TimedOut | RequestOutcome::Unreachable) {
            self.silent_since = None;
        }
    }
}

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
        let mut in_flight = self.count_cache_flights(n);
        let limit = self.cache_pipeline(n, now);
        while in_flight < limit {
            let download = &self.downloads[n];
            let wanted = download.cache_candidates(MAX_CACHE_WINDOW).into_iter();
            let is_due = |index: &usize| download.chunks[*index].cache_failures.allow_request(now);
            let due = wanted.filter(is_due).take(CACHE_WINDOW);
            let free: Vec<usize> =
                due.filter(|index| download.chunks[*index].flights == 0).collect();
            if free.is_empty() {
                return;
            }
            let index = free[rng.random_range(0..free.len())];
            let timeout = LONG_POLL_TIMEOUT + self.chunk_time.timeout();
            self.caches.record_request(now);
            self.request_chunk(n, index, Destination::Cache, true, timeout, now, requests);
            in_flight += 1;
        }
    }

    fn count_cache_flights(&self, n: usize) -> usize {
        let version = self.downloads[n].version;
        self.count_flights(|flight| {
            flight.destination == Destination::Cache && flight.version == version
        })
    }

    /// Requests for a version that may be in flight to caches. Those in flight for other versions
    /// are not deducted, so that requests for an older version, which may wait long for their
    /// answers, do not delay a newer one.
    fn cache_pipeline(&self, n: usize, now: Time) -> usize {
        let requests_any = |n: usize| self.downloads[n].missing > 0 && self.uses_caches(n, now);
        let goes_first = |n: usize| requests_any(n) && self.finishes_first(n, now);
        let is_older = (n + 1..self.downloads.len()).any(requests_any);
        if (is_older && !goes_first(n)) || (0..n).any(goes_first) {
            PIPELINE_FOR_OLDER
        } else if is_older || (0..n).any(requests_any) {
            PIPELINE_FROM_CACHES - PIPELINE_FOR_OLDER
        } else {
            PIPELINE_FROM_CACHES
        }
    }

    /// Whether an older version is so nearly complete that it goes before the newest, which was
    /// announced just now.
    fn finishes_first(&self, n: usize, now: Time) -> bool {
        let (older, newest) = (&self.downloads[n], &self.downloads[self.downloads.len() - 1]);
        older.missing * NEARLY_COMPLETE_DIVISOR <= older.chunks.len()
            && !now.passed(newest.manifest_at, FINISH_FIRST_TIME)
    }

    /// Whether chunks of a version are requested from caches. A new host takes a version that a
    /// neighbour holds completely from its neighbours: chunks that the caches lack would leave the
    /// origin once more.
    pub(super) fn uses_caches(&self, n: usize, now: Time) -> bool {
        let download = &self.downloads[n];
        if !self.caches.are_available || !download.has_manifest {
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

    /// Whether the chunks of a version come from caches, so that this host need not pull those that
    /// it owns.
    pub(super) fn is_cached(&self, n: usize, now: Time) -> bool {
        self.caches.are_available && !self.are_caches_silent(n, now)
    }

    /// Whether this host may pull chunks of a version from the origin.
    pub(super) fn may_use_origin(&self, n: usize, now: Time) -> bool {
        !self.caches.are_used || self.are_caches_silent(n, now)
    }

    /// Whether no cache has answered for [`CACHE_SILENCE`] since the download began.
    fn are_caches_silent(&self, n: usize, now: Time) -> bool {
        let silent_since = self.caches.silent_since;
        let since = silent_since.map(|since| since.max(self.downloads[n].manifest_at));
        since.is_some_and(|since| now.passed(since, CACHE_SILENCE))
    }
}
