//! Decides which requests for weights go out now.
//!
//! The caller carries out each [`Request`], checks what comes against its digest, and reports how it
//! ended. Nothing here waits, sends or stores.

use std::time::Duration;

use rand::Rng;

use super::bitmap::Bitmap;
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
use super::topology::PeerId;
use super::topology::PeerLocation;
use super::topology::Strategy;
use super::topology::Topology;
use crate::arena::Arena;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::manifest::Manifest;
use crate::time::Time;

/// Neighbours a host exchanges chunks with; bounds its messages whatever the fleet's size.
pub const MAX_NEIGHBOURS: usize = 12;

/// First and longest wait after the origin or its budget refused. A spent budget stays spent for
/// long, and each try costs the platform two reads.
const INITIAL_ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_ORIGIN_RETRY_DELAY: Duration = Duration::from_secs(16);

/// Versions on their way at once; more wait.
pub const MAX_DOWNLOADS: usize = 8;

/// This host's part in the swarm.
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
    /// Whether caches hand out chunks.
    pub(super) has_caches: bool,
    /// Whether any version has been here as a whole.
    has_completed_version: bool,
    pub(super) pipeline: PipelineLimits,
    pub(super) counts: Counts,
}

impl Swarm {
    /// A swarm of one; peers come with [`Swarm::set_peers`].
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
            has_caches: false,
            has_completed_version: false,
            pipeline: PipelineLimits::default(),
            counts: Counts::default(),
        }
    }

    /// Sets how many chunks are under way at once.
    pub fn set_pipeline_limits(&mut self, pipeline: PipelineLimits) {
        self.pipeline = pipeline;
    }

    /// Sets the longest wait before the origin is asked again. Where no budget guards the origin, a
    /// try costs little, and a wait that outlives an outage costs every host the version.
    pub fn set_max_origin_retry_delay(&mut self, longest: Duration) {
        self.max_origin_retry_delay = longest;
        self.origin_retry_delay = self.origin_retry_delay.min(longest);
    }

    /// Takes in the hosts that take part, this one among them.
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

    /// Where a peer stands.
    pub fn location(&self, id: PeerId) -> &PeerLocation {
        &self.peers.get(id).location
    }

    /// The versions that this host is to have. Others are dropped at once with all their state;
    /// what the store keeps of their chunks is the store's to decide.
    pub fn set_wanted_versions(&mut self, versions: &[Digest], now: Time) {
        self.downloads.retain(|download| versions.contains(&download.version));
        for version in versions.iter().take(MAX_DOWNLOADS) {
            if !self.downloads.iter().any(|download| download.version == *version) {
                self.downloads.push(Download::new(*version, !self.has_completed_version, now));
            }
        }
    }

    /// The manifest of a version is here; `is_here` says which of its chunks are, too.
    pub fn set_manifest(
        &mut self,
        manifest: &Manifest,
        is_stored: impl Fn(Digest) -> bool,
        now: Time,
    ) {
        self.set_manifest_for(manifest.digest(), manifest, is_stored, now);
    }

    /// Like [`Swarm::set_manifest`], where something else than the manifest's digest names the version.
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

    /// Whether all of a version is here.
    pub fn is_complete(&self, version: Digest) -> bool {
        self.downloads.iter().any(|d| d.version == version && d.is_complete())
    }

    /// The share of a version's chunks that are here or on offer near: those that need neither the
    /// origin nor another zone any more.
    pub fn available_share(&self, version: Digest) -> f64 {
        let download = self.downloads.iter().find(|d| d.version == version && d.has_manifest);
        download.map_or(0.0, Download::available_share)
    }

    /// Chunks still missing of all versions.
    pub fn missing(&self) -> usize {
        self.downloads.iter().map(|download| download.missing).sum()
    }

    /// Whether live requests run on this host's link, which weights then leave room for.
    pub fn set_link_shared(&mut self, is_shared: bool) {
        self.is_link_shared = is_shared;
    }

    /// Whether caches hand out chunks. What they bring is not taken from the origin or other zones.
    pub fn set_caches(&mut self, has_caches: bool) {
        self.has_caches = has_caches;
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Peers that are down or demoted, for the state dump.
    pub fn degraded_neighbours(&self) -> impl Iterator<Item = (&PeerLocation, bool)> + '_ {
        let neighbours = self.neighbours.iter().map(|id| self.peers.get(*id));
        neighbours
            .filter(|peer| !peer.is_live() || peer.is_demoted())
            .map(|peer| (&peer.location, peer.is_live()))
    }

    /// A peer told what it has of a version and how many chunks wait on its link.
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

    /// The requests to send now. Call it after every [`Swarm::finish`] and at least every 50 ms.
    pub fn step<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Request> {
        let mut requests = Vec::new();
        self.expire_overdue_flights(now);
        for n in 0..self.downloads.len() {
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

    /// Requests whose executor never reported back must not hold their place for ever.
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

    /// A request has ended. Unknown keys, of versions dropped meanwhile, are ignored.
    pub fn finish(&mut self, key: FlightKey, outcome: RequestOutcome, now: Time) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        if let Destination::Peer(id) = flight.destination {
            self.record_peer_outcome(id, &flight, &outcome, now);
        } else if flight.destination == Destination::Cache {
            // Whoever carries the requests out keeps from a cache that failed.
        } else if outcome == RequestOutcome::AlreadyPulled {
            // The chunk's next try goes to a peer; other chunks need not wait.
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
                        chunk.cache_failures += 1;
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

    /// A chunk is in the store; every version that shares it has it now.
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
        // A late chunk proves a slow link, not a dead host; polls judge that.
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
