//! This host's part in the distribution of weights: a state machine without I/O.
//!
//! [`Swarm::step`] returns the requests to send. The caller sends each [`Request`], checks the
//! answer against its digest, stores it, and reports the outcome to [`Swarm::finish`].

use std::time::Duration;

use rand::Rng;

use super::bitmap::Bitmap;
use super::caches::CacheAvailability;
use super::download::Download;
use super::peers::Fault;
use super::peers::Peers;
use super::pipeline::ChunkTime;
use super::pipeline::POLL_TIMEOUT;
use super::pipeline::PipelineLimits;
use super::request::Counts;
use super::request::Destination;
use super::request::Flight;
use super::request::FlightKey;
use super::request::Request;
use super::request::RequestKind;
use super::request::RequestOutcome;
use super::status::DownloadStatus;
use super::topology::PeerId;
use super::topology::PeerLocation;
use super::topology::Strategy;
use super::topology::Topology;
use crate::arena::Arena;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::manifest::Manifest;
use crate::time::Time;

/// Neighbours that a host exchanges chunks with. Bounds its messages independently of the number of
/// hosts.
pub const MAX_NEIGHBOURS: usize = 12;

/// Delay after the origin or its budget refused a request; doubles up to the maximum. An exhausted
/// budget stays exhausted for long, and each attempt costs two reads on the platform.
const INITIAL_ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_ORIGIN_RETRY_DELAY: Duration = Duration::from_secs(16);

/// Versions that are downloaded at once; further ones wait.
pub const MAX_DOWNLOADS: usize = 8;

/// Downloads of this host and its view of the other hosts.
#[derive(Debug)]
pub struct Swarm {
    pub(super) strategy: Strategy,
    pub(super) me: PeerId,
    pub(super) topology: Topology,
    pub(super) peers: Peers,
    pub(super) neighbours: Vec<PeerId>,
    pub(super) downloads: Vec<Download>,
    pub(super) flights: Arena<Flight>,
    pub(super) chunk_time: ChunkTime,
    pub(super) origin_retry_at: Time,
    pub(super) origin_retry_delay: Duration,
    max_origin_retry_delay: Duration,
    pub(super) is_link_shared: bool,
    pub(super) caches: CacheAvailability,
    /// Whether any version has ever been complete on this host.
    has_completed_version: bool,
    pub(super) pipeline: PipelineLimits,
    pub(super) counts: Counts,
}

impl Swarm {
    /// Creates the state of host `me` without peers; [`Swarm::set_peers`] adds them.
    pub fn new(me: &PeerLocation, strategy: Strategy) -> Swarm {
        let mut peers = Peers::default();
        let ids = peers.set(std::slice::from_ref(me));
        let id = ids[0].0;
        Swarm {
            strategy,
            me: id,
            topology: Topology::new(id, &ids, None),
            peers,
            neighbours: Vec::new(),
            downloads: Vec::new(),
            flights: Arena::new(),
            chunk_time: ChunkTime::default(),
            origin_retry_at: Time::ZERO,
            origin_retry_delay: INITIAL_ORIGIN_RETRY_DELAY,
            max_origin_retry_delay: MAX_ORIGIN_RETRY_DELAY,
            is_link_shared: false,
            caches: CacheAvailability::default(),
            has_completed_version: false,
            pipeline: PipelineLimits::default(),
            counts: Counts::default(),
        }
    }

    /// Sets the limits on requests in flight.
    pub fn set_pipeline_limits(&mut self, pipeline: PipelineLimits) {
        self.pipeline = pipeline;
    }

    /// Sets the maximum delay before the origin is asked again. Where no budget guards the origin,
    /// an attempt is cheap, and a delay that outlasts an outage delays the version on every host.
    pub fn set_max_origin_retry_delay(&mut self, longest: Duration) {
        self.max_origin_retry_delay = longest;
        self.origin_retry_delay = self.origin_retry_delay.min(longest);
    }

    /// Sets the current members, including this host, and chooses its neighbours among them.
    pub fn set_peers(&mut self, locations: &[PeerLocation], origin_region: Option<&RegionName>) {
        let ids = self.peers.set(locations);
        self.topology = Topology::new(self.me, &ids, origin_region);
        let mut nearest: Vec<PeerId> = self.topology.zone_peers().collect();
        nearest.sort_by_key(|id| self.topology.affinity(*id));
        nearest.truncate(MAX_NEIGHBOURS);
        self.neighbours = nearest;
        for download in &mut self.downloads {
            let gone: Vec<PeerId> = download
                .availability
                .keys()
                .copied()
                .filter(|id| !self.neighbours.contains(id))
                .collect();
            for id in gone {
                download.remove_peer(id);
            }
        }
    }

    /// Zone and region of a peer.
    pub fn location(&self, id: PeerId) -> &PeerLocation {
        &self.peers.get(id).location
    }

    /// Sets the versions to download, of which later ones have priority; those beyond
    /// [`MAX_DOWNLOADS`] are ignored. The state of all other versions is dropped. Their stored
    /// chunks are up to the store.
    pub fn set_wanted_versions(&mut self, versions: &[Digest], now: Time) {
        self.downloads.retain(|download| versions.contains(&download.version));
        for version in versions.iter().take(MAX_DOWNLOADS) {
            if !self.downloads.iter().any(|download| download.version == *version) {
                self.downloads.push(Download::new(*version, !self.has_completed_version, now));
            }
        }
        let priority_of =
            |download: &Download| versions.iter().position(|v| *v == download.version);
        self.downloads.sort_by_key(priority_of);
    }

    /// Sets the manifest of a version, which has to be wanted. `is_stored` tells which of its
    /// chunks the store has.
    pub fn set_manifest(
        &mut self,
        manifest: &Manifest,
        is_stored: impl Fn(Digest) -> bool,
        now: Time,
    ) {
        self.set_manifest_for(manifest.digest(), manifest, is_stored, now);
    }

    /// Like [`Swarm::set_manifest`], for a version that is not named by the digest of its manifest.
    pub fn set_manifest_for(
        &mut self,
        version: Digest,
        manifest: &Manifest,
        is_stored: impl Fn(Digest) -> bool,
        now: Time,
    ) {
        if let Some(download) = self.downloads.iter_mut().find(|d| d.version == version) {
            download.set_manifest(manifest, is_stored, now);
        }
    }

    /// Whether all chunks of a version are stored. False for a version that is not wanted.
    pub fn is_complete(&self, version: Digest) -> bool {
        self.downloads.iter().any(|d| d.version == version && d.is_complete())
    }

    /// Progress of the download of a version; `None` if it is not wanted or its manifest is missing.
    pub fn status(&self, version: Digest, now: Time) -> Option<DownloadStatus> {
        let download = self.downloads.iter().find(|d| d.version == version && d.has_manifest);
        download.map(|download| download.status(now))
    }

    /// Up to `most` live neighbours that have a chunk, those with the shortest queue first.
    pub fn holders(&self, version: Digest, digest: Digest, most: usize) -> Vec<PeerId> {
        let download = self.downloads.iter().find(|d| d.version == version);
        let Some((download, index)) = download.and_then(|d| Some((d, d.first_index_of(digest)?)))
        else {
            return Vec::new();
        };
        let offering = download.peers_offering(index).filter(|id| self.peers.may_own(*id));
        let mut holders: Vec<PeerId> = offering.collect();
        holders.sort_by_key(|id| (self.peers.get(*id).queue, self.topology.affinity(*id)));
        holders.truncate(most);
        holders
    }

    /// Missing chunks of all versions.
    pub fn missing(&self) -> usize {
        self.downloads.iter().map(|download| download.missing).sum()
    }

    /// Sets whether requests of callers use this host's link, which limits the chunk requests in
    /// flight.
    pub fn set_link_shared(&mut self, is_shared: bool) {
        self.is_link_shared = is_shared;
    }

    /// Sets whether any cache is available. Chunks are then not pulled from other zones, and never
    /// from the origin before caches have been silent for some time.
    pub fn set_caches(&mut self, are_available: bool) {
        self.caches.set(are_available);
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Neighbours that are down or demoted, each with whether it is live, for the state dump.
    pub fn degraded_neighbours(&self) -> impl Iterator<Item = (&PeerLocation, bool)> + '_ {
        let neighbours = self.neighbours.iter().map(|id| self.peers.get(*id));
        neighbours
            .filter(|peer| !peer.is_live() || peer.is_demoted())
            .map(|peer| (&peer.location, peer.is_live()))
    }

    /// Records an answer of a peer with its chunks of a version and the number of chunks queued on
    /// its link. Only bitmaps of neighbours are kept.
    pub fn record_availability(
        &mut self,
        id: PeerId,
        version: Digest,
        map: Bitmap,
        queue: u32,
        now: Time,
    ) {
        self.peers.record_contact(id, now);
        self.peers.get_mut(id).queue = queue;
        if !self.neighbours.contains(&id) {
            return;
        }
        let Some(download) = self.downloads.iter_mut().find(|d| d.version == version) else {
            return;
        };
        if !download.set_availability(id, map) {
            self.peers.record_failure(id, Fault::BadData, now);
        }
    }

    /// Returns the requests to send now. Call it after every [`Swarm::finish`] and at least every
    /// 50 ms.
    pub fn step<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Request> {
        let mut requests = Vec::new();
        self.expire_overdue_flights(now);
        self.caches.observe(now);
        for n in (0..self.downloads.len()).rev() {
            if self.downloads[n].is_complete() {
                self.has_completed_version = true;
                continue;
            }
            if !self.downloads[n].has_manifest {
                self.request_manifest(n, now, &mut requests);
                continue;
            }
            self.assign_sources(n, now);
            self.request_from_caches(n, now, rng, &mut requests);
            self.request_owned_chunks(n, now, &mut requests);
            self.poll_peers(n, now, &mut requests);
        }
        self.request_from_neighbours(now, rng, &mut requests);
        requests
    }

    /// Ends requests whose outcome the caller never reported, so that they do not block the
    /// pipeline.
    fn expire_overdue_flights(&mut self, now: Time) {
        let late: Vec<FlightKey> = self
            .flights
            .iter()
            .filter(|(_, flight)| now > flight.deadline + POLL_TIMEOUT)
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.finish(key, RequestOutcome::TimedOut, now);
        }
    }

    /// Reports the outcome of a request. Unknown keys, such as those of expired requests, are
    /// ignored. For a version that is no longer wanted, only the state of the destination and the
    /// counters change.
    pub fn finish(&mut self, key: FlightKey, outcome: RequestOutcome, now: Time) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        if let Destination::Peer(id) = flight.destination {
            self.record_peer_outcome(id, &flight, &outcome, now);
        } else if flight.destination == Destination::Cache {
            // The caller avoids a cache that failed.
            self.caches.record_outcome(&outcome);
        } else if outcome == RequestOutcome::AlreadyPulled {
            // Other chunks may still be pulled at once; this one is requested from a peer next.
        } else if !matches!(outcome, RequestOutcome::Stored | RequestOutcome::Manifest(_)) {
            self.origin_retry_at = now + self.origin_retry_delay;
            self.origin_retry_delay =
                (self.origin_retry_delay * 2).min(self.max_origin_retry_delay);
        } else {
            self.origin_retry_delay = INITIAL_ORIGIN_RETRY_DELAY;
        }
        match outcome {
            RequestOutcome::Corrupt => self.counts.corrupt += 1,
            RequestOutcome::TimedOut | RequestOutcome::Unreachable => self.counts.failed += 1,
            _ => {}
        }
        let Some(download) = self.downloads.iter_mut().find(|d| d.version == flight.version) else {
            return;
        };
        match flight.kind {
            RequestKind::Manifest => {
                download.manifest_flights = download.manifest_flights.saturating_sub(1);
            }
            RequestKind::Chunk { digest, .. } => {
                if let Some(index) = download.first_index_of(digest) {
                    let chunk = &mut download.chunks[index];
                    chunk.flights = chunk.flights.saturating_sub(1);
                    if flight.destination == Destination::Cache
                        && !matches!(outcome, RequestOutcome::Stored | RequestOutcome::Pending)
                    {
                        chunk.cache_failures.record(now);
                    }
                }
                if outcome == RequestOutcome::Absent
                    && let Destination::Peer(id) = flight.destination
                {
                    download.remove_peer(id);
                }
            }
            RequestKind::Have => {}
        }
        if outcome == RequestOutcome::Stored
            && let RequestKind::Chunk { digest, .. } = flight.kind
        {
            self.mark_stored(digest, now);
        }
    }

    /// Marks a chunk as stored in every version that contains it.
    pub fn mark_stored(&mut self, digest: Digest, now: Time) {
        for download in &mut self.downloads {
            download.mark_stored(digest, now);
        }
    }

    fn record_peer_outcome(
        &mut self,
        id: PeerId,
        flight: &Flight,
        outcome: &RequestOutcome,
        now: Time,
    ) {
        let direct = matches!(flight.kind, RequestKind::Chunk { long_poll: false, .. });
        if direct {
            let peer = self.peers.get_mut(id);
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
        let fault = match outcome {
            RequestOutcome::Stored | RequestOutcome::Manifest(_) => {
                self.peers.record_contact(id, now);
                self.peers.record_good_chunk(id);
                if direct {
                    self.chunk_time.record(now.since(flight.started));
                }
                return;
            }
            RequestOutcome::MapReceived
            | RequestOutcome::Deferred
            | RequestOutcome::Pending
            | RequestOutcome::AlreadyPulled => {
                return self.peers.record_contact(id, now);
            }
            RequestOutcome::Absent if !direct => return self.peers.record_contact(id, now),
            RequestOutcome::Absent | RequestOutcome::Corrupt => Fault::BadData,
            RequestOutcome::Busy => Fault::Busy,
            RequestOutcome::TimedOut => Fault::TimedOut,
            RequestOutcome::Unreachable => Fault::Unreachable,
        };
        // A late chunk indicates a slow link, not a dead host; only a poll that times out is a
        // failure.
        let slow_chunk = fault == Fault::TimedOut && flight.kind != RequestKind::Have;
        if slow_chunk {
            let peer = self.peers.get_mut(id);
            peer.queue = peer.queue.saturating_mul(2).max(8);
            return;
        }
        if self.peers.record_failure(id, fault, now) {
            let hosts = self.topology.zone_members(id).to_vec();
            self.peers.mark_zone_down(&hosts, self.me, now);
            for download in &mut self.downloads {
                download.remove_peer(id);
            }
        }
    }
}
