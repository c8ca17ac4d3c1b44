//! Selects the requests to send: manifests, owned chunks and chunks from neighbours.

use std::cmp::Reverse;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::download::ChunkState;
use super::download::MAX_PARALLEL_REQUESTS;
use super::host::Swarm;
use super::pipeline::ORIGIN_TIMEOUT;
use super::pipeline::POLL_TIMEOUT;
use super::request::Destination;
use super::request::Flight;
use super::request::Request;
use super::request::RequestKind;
use super::topology::MANIFEST_FANOUT;
use super::topology::PeerId;
use super::topology::Source;
use super::topology::Strategy;
use super::topology::key_of;
use crate::ids::Digest;
use crate::time::Time;

/// Chunks queued on the link of a host at most. A host with this many is not asked for chunks until
/// it reports fewer: short queues spread the requests over all links.
pub const BUSY_QUEUE: u32 = 8;

/// Chunk requests in flight to neighbours while this host still pulls chunks from the origin.
const PIPELINE_WITH_ORIGIN: u32 = 2;

/// Chunk requests in flight to neighbours while caches are in use.
const PIPELINE_WITH_CACHES: u32 = 3;

/// Long polls in flight above which none is sent to an owner in another zone.
const MAX_LONG_POLLS: usize = 24;

/// How long the answers of neighbours are awaited before a chunk is pulled from the origin: for a
/// version that was just published, and for one that they may have had for long.
pub(super) const NEW_VERSION_POLL_DELAY: Duration = Duration::from_millis(100);
const OLD_VERSION_POLL_DELAY: Duration = Duration::from_secs(1);

/// Interval between liveness probes of an owner that other hosts depend on, and between retries of
/// a chunk that only demoted peers offer.
pub(super) const OWNER_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a peer may hold a request for a chunk that it does not have yet.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time without progress after which one more host of the zone acts as owner of a chunk.
const STALL_PERIOD: Duration = Duration::from_millis(5_000);

/// Attempts for an origin chunk after which it may be pulled from the origin a second time.
const MAX_ATTEMPTS_BEFORE_REPEAT: u32 = 2;

/// Delay before an owner is asked for the same chunk again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Swarm {
    pub(super) fn start_request(
        &mut self,
        destination: Destination,
        version: Digest,
        kind: RequestKind,
        timeout: Duration,
        now: Time,
    ) -> Request {
        match kind {
            RequestKind::Have => self.counts.polls += 1,
            RequestKind::Manifest | RequestKind::Chunk { .. } => self.counts.requests += 1,
        }
        if let Destination::Peer(id) = destination {
            let peer = self.peers.get_mut(id);
            match kind {
                // Chunk requests to a dead host must not delay the poll that detects its death.
                RequestKind::Have => peer.polled_at = Some(now),
                RequestKind::Chunk { long_poll: false, .. } => peer.in_flight += 1,
                RequestKind::Chunk { .. } | RequestKind::Manifest => {}
            }
        }
        let flight = Flight { destination, version, kind, started: now, deadline: now + timeout };
        Request { flight: self.flights.insert(flight), destination, version, kind, timeout }
    }

    pub(super) fn request_manifest(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        let download = &self.downloads[n];
        let version = download.version;
        if download.manifest_flights > 0 {
            return;
        }
        let strategy = if self.strategy == Strategy::Swarm {
            Strategy::Trees(MANIFEST_FANOUT)
        } else {
            self.strategy
        };
        let skip = self.stall_periods(download.progress_at, now);
        let live = |id: PeerId| self.peers.may_own(id);
        let source = self.topology.source(strategy, key_of(version), &live, skip);
        let (destination, timeout) = match source {
            Source::Peer(id) => (Destination::Peer(id), LONG_POLL_TIMEOUT + POLL_TIMEOUT),
            Source::Origin if now >= self.origin_retry_at => (Destination::Origin, ORIGIN_TIMEOUT),
            Source::Origin | Source::Neighbours => return,
        };
        self.downloads[n].manifest_flights += 1;
        requests.push(self.start_request(
            destination,
            version,
            RequestKind::Manifest,
            timeout,
            now,
        ));
    }

    fn stall_periods(&self, progress_at: Time, now: Time) -> usize {
        (now.since(progress_at).as_micros() / STALL_PERIOD.as_micros()) as usize
    }

    /// Assigns a source to each missing chunk again when a host went down or came back, and
    /// whenever chunks are overdue.
    ///
    /// An owner with a slow link still answers, so it counts as live, and it makes some progress,
    /// so no stall is detected. Every other host waits for its chunks: with a tenth of a link, a
    /// version arrived only after the time by which it had to be in use. So the next host in the
    /// order also pulls an overdue chunk that no neighbour sends.
    pub(super) fn assign_sources(&mut self, n: usize, now: Time) {
        let skip = self.stall_periods(self.downloads[n].progress_at, now);
        let overdue_periods = self.downloads[n].overdue_periods(now);
        let at = (self.peers.epoch(), skip, overdue_periods);
        if overdue_periods == 0 && self.downloads[n].assigned_for == Some(at) {
            return;
        }
        let stalled: Vec<bool> = (0..self.downloads[n].chunks.len())
            .map(|index| overdue_periods > 0 && self.is_stalled(n, index, now))
            .collect();
        let peers = &self.peers;
        let live = |id: PeerId| peers.may_own(id);
        let download = &mut self.downloads[n];
        download.assigned_for = Some(at);
        download.owned.clear();
        download.watched_owners.clear();
        for (index, chunk) in download.chunks.iter_mut().enumerate() {
            if download.have.get(index) || chunk.is_duplicate {
                continue;
            }
            chunk.is_overdue = stalled[index];
            let skip = if chunk.is_overdue { skip.max(overdue_periods) } else { skip };
            chunk.source = self.topology.source(self.strategy, chunk.key, &live, skip);
            match chunk.source {
                Source::Neighbours => {
                    download.watched_owners.extend(self.topology.owner_to_watch(chunk.key, &live));
                }
                Source::Origin => download.owned.push(index as u32),
                Source::Peer(id) => {
                    download.watched_owners.insert(id);
                    download.owned.push(index as u32);
                }
            }
        }
        let chunks = &download.chunks;
        download.owned.sort_unstable_by_key(|index| chunks[*index as usize].key);
    }

    /// Whether no neighbour that offers a missing chunk delivers it in the usual time.
    fn is_stalled(&self, n: usize, index: usize, now: Time) -> bool {
        let download = &self.downloads[n];
        let chunk = &download.chunks[index];
        if download.have.get(index) {
            return false;
        }
        let is_late =
            chunk.flights > 0 && now.passed(chunk.requested_at, self.chunk_time.late_after());
        let sends = |id: PeerId| self.peers.may_own(id) && self.peers.get(id).queue < BUSY_QUEUE;
        is_late || !download.peers_offering(index).any(sends)
    }

    pub(super) fn count_flights(&self, matches: impl Fn(&Flight) -> bool) -> usize {
        self.flights.iter().filter(|(_, flight)| matches(flight)).count()
    }

    /// Requests the chunks that this host owns from owners in other zones or from the origin.
    pub(super) fn request_owned_chunks(
        &mut self,
        n: usize,
        now: Time,
        requests: &mut Vec<Request>,
    ) {
        if self.is_cached(n, now) {
            return;
        }
        let mut from_origin =
            self.count_flights(|flight| flight.destination == Destination::Origin);
        let mut long_polls = self.count_flights(|flight| {
            matches!(flight.kind, RequestKind::Chunk { long_poll: true, .. })
        });
        let mut owned = std::mem::take(&mut self.downloads[n].owned);
        owned.retain(|index| !self.downloads[n].have.get(*index as usize));
        for index in &owned {
            let chunk = &self.downloads[n].chunks[*index as usize];
            let recently_requested =
                chunk.owner_requested_at.is_some_and(|at| !now.passed(at, OWNER_RETRY_DELAY));
            let max_flights = if chunk.is_overdue { MAX_PARALLEL_REQUESTS } else { 1 };
            if chunk.flights >= max_flights || recently_requested {
                continue;
            }
            let destination = match self.next_destination(n, *index as usize, now) {
                Some(Destination::Origin)
                    if from_origin < self.pipeline.from_origin && now >= self.origin_retry_at =>
                {
                    from_origin += 1;
                    Destination::Origin
                }
                Some(Destination::Peer(id)) if long_polls < MAX_LONG_POLLS => {
                    long_polls += 1;
                    Destination::Peer(id)
                }
                _ => continue,
            };
            let chunk = &mut self.downloads[n].chunks[*index as usize];
            chunk.owner_requested_at = Some(now);
            chunk.origin_attempts += u32::from(chunk.source == Source::Origin);
            let long_poll = destination != Destination::Origin;
            let timeout = if long_poll {
                LONG_POLL_TIMEOUT + self.chunk_time.timeout()
            } else {
                ORIGIN_TIMEOUT
            };
            self.request_chunk(n, *index as usize, destination, long_poll, timeout, now, requests);
        }
        self.downloads[n].owned = owned;
    }

    /// Where an owned chunk is requested next; `None` while neighbours offer it or may still do.
    ///
    /// A replica that joins late owns chunks that all other hosts already have. So neighbours come
    /// before the origin, and after the budget refused a chunk that was pulled before, every second
    /// attempt goes to the owner in another zone.
    fn next_destination(&self, n: usize, index: usize, now: Time) -> Option<Destination> {
        let download = &self.downloads[n];
        let chunk = &download.chunks[index];
        let live = |id: PeerId| self.peers.may_own(id);
        let is_offered = || chunk.holders > 0 && download.peers_offering(index).any(live);
        match chunk.source {
            Source::Neighbours => None,
            Source::Peer(id) => Some(Destination::Peer(id)),
            Source::Origin if self.strategy != Strategy::Swarm => Some(Destination::Origin),
            // While caches may have the chunk, another zone may have received it from them.
            Source::Origin if !self.may_use_origin(n, now) => {
                let turn = chunk.origin_attempts as usize;
                let other = self.topology.owner_in_other_zone(chunk.key, &live, turn);
                other.filter(|_| !is_offered()).map(Destination::Peer)
            }
            Source::Origin if chunk.is_overdue => Some(Destination::Origin),
            Source::Origin if is_offered() => None,
            Source::Origin if chunk.origin_attempts % 2 == 1 => {
                let turn = chunk.origin_attempts as usize / 2;
                let other = self.topology.owner_in_other_zone(chunk.key, &live, turn);
                Some(other.map_or(Destination::Origin, Destination::Peer))
            }
            Source::Origin => {
                let within = if download.is_first_version {
                    OLD_VERSION_POLL_DELAY
                } else {
                    NEW_VERSION_POLL_DELAY
                };
                let is_overdue = now.passed(download.manifest_at, within);
                (self.neighbours_answered_polls(n) || is_overdue).then_some(Destination::Origin)
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one request's fields")]
    pub(super) fn request_chunk(
        &mut self,
        n: usize,
        index: usize,
        destination: Destination,
        long_poll: bool,
        timeout: Duration,
        now: Time,
        requests: &mut Vec<Request>,
    ) {
        let chunk = &mut self.downloads[n].chunks[index];
        chunk.flights += 1;
        chunk.requested_at = now;
        if chunk.flights > 1 {
            self.counts.duplicated += 1;
        }
        let allow_repeat = chunk.origin_attempts > MAX_ATTEMPTS_BEFORE_REPEAT;
        let kind =
            RequestKind::Chunk { digest: chunk.digest, len: chunk.len, long_poll, allow_repeat };
        let version = self.downloads[n].version;
        requests.push(self.start_request(destination, version, kind, timeout, now));
    }

    /// Fills the pipeline with the rarest chunks. The version with most missing chunks comes first,
    /// so that several versions share the link according to need.
    pub(super) fn request_from_neighbours<R: Rng>(
        &mut self,
        now: Time,
        rng: &mut R,
        requests: &mut Vec<Request>,
    ) {
        let limit = self.neighbour_limit(now);
        let direct =
            |flight: &Flight| matches!(flight.kind, RequestKind::Chunk { long_poll: false, .. });
        let mut in_flight = self
            .count_flights(|flight| direct(flight) && flight.destination != Destination::Origin)
            as u32;
        let mut order: Vec<usize> = (0..self.downloads.len()).collect();
        order.sort_by_key(|n| Reverse(self.downloads[*n].missing));
        while in_flight < limit {
            let found = order.iter().find_map(|n| Some((*n, self.choose_request(*n, now, rng)?)));
            let Some((n, (index, peer))) = found else {
                return;
            };
            let timeout = self.chunk_time.timeout();
            self.request_chunk(n, index, Destination::Peer(peer), false, timeout, now, requests);
            in_flight += 1;
            order.rotate_left(1);
        }
    }

    /// Chunk requests to neighbours in flight at most. A chunk that this host pulls from the origin
    /// may exist nowhere else, so it takes priority on the host's link: then more is saved if the
    /// origin crashes.
    fn neighbour_limit(&self, now: Time) -> u32 {
        let takes_from_caches = |n| self.uses_caches(n, now) && self.is_cached(n, now);
        if (0..self.downloads.len()).any(takes_from_caches) {
            return PIPELINE_WITH_CACHES;
        }
        let is_from_origin = |n: usize| {
            let download = &self.downloads[n];
            if !self.may_use_origin(n, now) {
                return false;
            }
            let mut owned = download.owned.iter().map(|index| *index as usize);
            owned.any(|index| {
                download.chunks[index].source == Source::Origin && !download.have.get(index)
            })
        };
        if (0..self.downloads.len()).any(is_from_origin) {
            return PIPELINE_WITH_ORIGIN.max(self.pipeline.per_peer);
        }
        if self.is_link_shared { self.pipeline.shared_link } else { self.pipeline.exclusive_link }
    }

    /// The next chunk of a version and the neighbour to ask. Demoted peers are a last resort.
    fn choose_request<R: Rng>(&self, n: usize, now: Time, rng: &mut R) -> Option<(usize, PeerId)> {
        let download = &self.downloads[n];
        if download.missing == 0 {
            return None;
        }
        let load_if = |id: PeerId, demoted: bool| {
            let peer = self.peers.get(id);
            let free = peer.is_live()
                && peer.in_flight < self.pipeline.per_peer
                && peer.queue < BUSY_QUEUE;
            (free && (demoted || !peer.is_demoted())).then_some(peer.queue + 2 * peer.in_flight)
        };
        let late =
            |chunk: &ChunkState| now.passed(chunk.requested_at, self.chunk_time.late_after());
        let free_or_late = |chunk: &ChunkState| chunk.flights == 0 || late(chunk);
        // A demoted peer is asked only when no other peer has the chunk, and only at intervals:
        // each bad chunk uses as much of the link as a good one.
        let retry_due = |chunk: &ChunkState| {
            chunk.flights == 0 && now.passed(chunk.requested_at, OWNER_PROBE_INTERVAL)
        };
        let random: u64 = rng.random();
        download
            .choose_chunk(random, &|id| load_if(id, false), &free_or_late)
            .or_else(|| download.choose_chunk(random, &|id| load_if(id, true), &retry_due))
    }
}
