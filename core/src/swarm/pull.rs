//! Decides which requests for weights go out now.
//!
//! The caller carries out each [`Request`], checks what comes against its digest, and reports how it
//! ended. Nothing here waits, sends or stores.

use std::time::Duration;

use rand::Rng;

use super::bitmap::Bitmap;
use super::download::Download;
use super::pace::POLL_TIMEOUT;
use super::pace::Pace;
use super::pace::UsualTime;
use super::peers::Fault;
use super::peers::Peers;
use super::request::Counts;
use super::request::End;
use super::request::Flight;
use super::request::FlightKey;
use super::request::Request;
use super::request::To;
use super::request::What;
use super::topology::PeerId;
use super::topology::PeerPlace;
use super::topology::Topology;
use super::topology::Way;
use crate::arena::Arena;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::manifest::Manifest;
use crate::time::Time;

/// Neighbours a host exchanges chunks with; bounds its messages whatever the fleet's size.
pub const MAX_NEIGHBOURS: usize = 12;

/// First and longest wait after the origin or its budget refused. A spent budget stays spent for
/// long, and each try costs the platform two reads.
const ORIGIN_RETRY: Duration = Duration::from_millis(500);
const ORIGIN_RETRY_LONGEST: Duration = Duration::from_secs(16);

/// Versions on their way at once; more wait.
pub const MAX_DOWNLOADS: usize = 8;

/// This host's part in the swarm.
#[derive(Debug)]
pub struct Swarm {
    pub(super) way: Way,
    pub(super) me: PeerId,
    pub(super) topology: Topology,
    pub(super) peers: Peers,
    pub(super) neighbours: Vec<PeerId>,
    pub(super) downloads: Vec<Download>,
    pub(super) flights: Arena<Flight>,
    pub(super) usual: UsualTime,
    pub(super) origin_from: Time,
    pub(super) origin_wait: Duration,
    origin_wait_longest: Duration,
    pub(super) beside_requests: bool,
    /// Whether caches hand out chunks.
    pub(super) has_caches: bool,
    /// Whether any version has been here as a whole.
    has_held: bool,
    pub(super) pace: Pace,
    pub(super) counts: Counts,
}

impl Swarm {
    /// A swarm of one; peers come with [`Swarm::set_peers`].
    pub fn new(me: &PeerPlace, way: Way) -> Swarm {
        let mut peers = Peers::default();
        let ids = peers.set(std::slice::from_ref(me));
        let id = ids[0].0;
        Swarm {
            way,
            me: id,
            topology: Topology::new(id, &ids, None),
            peers,
            neighbours: Vec::new(),
            downloads: Vec::new(),
            flights: Arena::new(),
            usual: UsualTime::default(),
            origin_from: Time::ZERO,
            origin_wait: ORIGIN_RETRY,
            origin_wait_longest: ORIGIN_RETRY_LONGEST,
            beside_requests: false,
            has_caches: false,
            has_held: false,
            pace: Pace::default(),
            counts: Counts::default(),
        }
    }

    /// Sets how many chunks are under way at once.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// Sets the longest wait before the origin is asked again. Where no budget guards the origin, a
    /// try costs little, and a wait that outlives an outage costs every host the version.
    pub fn set_origin_retry(&mut self, longest: Duration) {
        self.origin_wait_longest = longest;
        self.origin_wait = self.origin_wait.min(longest);
    }

    /// Takes in the hosts that take part, this one among them.
    pub fn set_peers(&mut self, places: &[PeerPlace], origin_region: Option<&RegionName>) {
        let ids = self.peers.set(places);
        self.topology = Topology::new(self.me, &ids, origin_region);
        let mut near: Vec<PeerId> = self.topology.zone_peers().collect();
        near.sort_by_key(|id| self.topology.affinity(*id));
        near.truncate(MAX_NEIGHBOURS);
        self.neighbours = near;
        for download in &mut self.downloads {
            let gone: Vec<PeerId> =
                download.maps.keys().copied().filter(|id| !self.neighbours.contains(id)).collect();
            for id in gone {
                download.forget(id);
            }
        }
    }

    /// Where a peer stands.
    pub fn place(&self, id: PeerId) -> &PeerPlace {
        &self.peers.get(id).place
    }

    /// The versions that this host is to have. Others are dropped at once with all their state;
    /// what the store keeps of their chunks is the store's to decide.
    pub fn want(&mut self, versions: &[Digest], now: Time) {
        self.downloads.retain(|download| versions.contains(&download.version));
        for version in versions.iter().take(MAX_DOWNLOADS) {
            if !self.downloads.iter().any(|download| download.version == *version) {
                self.downloads.push(Download::new(*version, !self.has_held, now));
            }
        }
    }

    /// The manifest of a version is here; `is_here` says which of its chunks are, too.
    pub fn open(&mut self, manifest: &Manifest, is_here: impl Fn(Digest) -> bool, now: Time) {
        self.open_as(manifest.digest(), manifest, is_here, now);
    }

    /// Like [`Swarm::open`], where something else than the manifest's digest names the version.
    pub fn open_as(
        &mut self,
        version: Digest,
        manifest: &Manifest,
        is_here: impl Fn(Digest) -> bool,
        now: Time,
    ) {
        if let Some(download) = self.downloads.iter_mut().find(|d| d.version == version) {
            download.open(manifest, is_here, now);
        }
    }

    /// Whether all of a version is here.
    pub fn is_complete(&self, version: Digest) -> bool {
        self.downloads.iter().any(|d| d.version == version && d.is_complete())
    }

    /// The share of a version's chunks that are here or on offer near: those that need neither the
    /// origin nor another zone any more.
    pub fn near_share(&self, version: Digest) -> f64 {
        let download = self.downloads.iter().find(|d| d.version == version && d.has_manifest);
        download.map_or(0.0, Download::near_share)
    }

    /// Chunks still missing of all versions.
    pub fn missing(&self) -> usize {
        self.downloads.iter().map(|download| download.missing).sum()
    }

    /// Whether live requests run on this host's link, which weights then leave room for.
    pub fn set_beside_requests(&mut self, beside: bool) {
        self.beside_requests = beside;
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
    pub fn troubled(&self) -> impl Iterator<Item = (&PeerPlace, bool)> + '_ {
        let neighbours = self.neighbours.iter().map(|id| self.peers.get(*id));
        neighbours
            .filter(|peer| !peer.is_live() || peer.is_demoted())
            .map(|peer| (&peer.place, peer.is_live()))
    }

    /// A peer told what it has of a version and how many chunks wait on its link.
    pub fn note_map(&mut self, id: PeerId, version: Digest, map: Bitmap, queue: u32, now: Time) {
        self.peers.note_contact(id, now);
        self.peers.get_mut(id).queue = queue;
        if !self.neighbours.contains(&id) {
            return;
        }
        let Some(download) = self.downloads.iter_mut().find(|d| d.version == version) else {
            return;
        };
        if !download.merge_map(id, map) {
            self.peers.failed(id, Fault::Dishonest, now);
        }
    }

    /// The requests to send now. Call it after every [`Swarm::end`] and at least every 50 ms.
    pub fn step<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Request> {
        let mut requests = Vec::new();
        self.give_up_late(now);
        for n in 0..self.downloads.len() {
            if self.downloads[n].is_complete() {
                self.has_held = true;
                continue;
            }
            if !self.downloads[n].has_manifest {
                self.ask_manifest(n, now, &mut requests);
                continue;
            }
            self.work_out(n, now);
            self.ask_caches(n, now, rng, &mut requests);
            self.ask_owned(n, now, &mut requests);
            self.poll(n, now, &mut requests);
        }
        self.ask_neighbours(now, rng, &mut requests);
        requests
    }

    /// Requests whose executor never reported back must not hold their place for ever.
    fn give_up_late(&mut self, now: Time) {
        let late: Vec<FlightKey> = self
            .flights
            .iter()
            .filter(|(_, flight)| now > flight.deadline + POLL_TIMEOUT)
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.end(key, End::Silent, now);
        }
    }

    /// A request has ended. Unknown keys, of versions dropped meanwhile, are ignored.
    pub fn end(&mut self, key: FlightKey, end: End, now: Time) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        if let To::Peer(id) = flight.to {
            self.judge_peer(id, &flight, &end, now);
        } else if flight.to == To::Cache {
            // Whoever carries the requests out keeps from a cache that failed.
        } else if end == End::PulledBefore {
            // The chunk's next try goes to a peer; other chunks need not wait.
        } else if !matches!(end, End::Stored | End::Manifest(_)) {
            self.origin_from = now + self.origin_wait;
            self.origin_wait = (self.origin_wait * 2).min(self.origin_wait_longest);
        } else {
            self.origin_wait = ORIGIN_RETRY;
        }
        match end {
            End::Corrupt => self.counts.corrupt += 1,
            End::Silent | End::Unreachable => self.counts.failed += 1,
            _ => {}
        }
        let Some(download) = self.downloads.iter_mut().find(|d| d.version == flight.version) else {
            return;
        };
        match flight.what {
            What::Manifest => {
                download.manifest_flights = download.manifest_flights.saturating_sub(1);
            }
            What::Chunk { digest, .. } => {
                if let Some(index) = download.part_of(digest) {
                    let part = &mut download.parts[index];
                    part.flights = part.flights.saturating_sub(1);
                    if flight.to == To::Cache && !matches!(end, End::Stored | End::NotYet) {
                        part.cache_failures += 1;
                    }
                }
                if end == End::Absent
                    && let To::Peer(id) = flight.to
                {
                    download.forget(id);
                }
            }
            What::Have => {}
        }
        if end == End::Stored
            && let What::Chunk { digest, .. } = flight.what
        {
            self.stored(digest, now);
        }
    }

    /// A chunk is in the store; every version that shares it has it now.
    pub fn stored(&mut self, digest: Digest, now: Time) {
        for download in &mut self.downloads {
            download.stored(digest, now);
        }
    }

    fn judge_peer(&mut self, id: PeerId, flight: &Flight, end: &End, now: Time) {
        let direct = matches!(flight.what, What::Chunk { park: false, .. });
        if direct {
            let peer = self.peers.get_mut(id);
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
        let fault = match end {
            End::Stored | End::Manifest(_) => {
                self.peers.note_contact(id, now);
                self.peers.sent_good(id);
                if direct {
                    self.usual.note(now.since(flight.started));
                }
                return;
            }
            End::Told | End::NotNow | End::NotYet | End::PulledBefore => {
                return self.peers.note_contact(id, now);
            }
            End::Absent if !direct => return self.peers.note_contact(id, now),
            End::Absent | End::Corrupt => Fault::Dishonest,
            End::Busy => Fault::Busy,
            End::Silent => Fault::Silent,
            End::Unreachable => Fault::Unreachable,
        };
        // A late chunk proves a slow link, not a dead host; polls judge that.
        let slow_chunk = fault == Fault::Silent && flight.what != What::Have;
        if slow_chunk {
            let peer = self.peers.get_mut(id);
            peer.queue = peer.queue.saturating_mul(2).max(8);
            return;
        }
        if self.peers.failed(id, fault, now) {
            let hosts = self.topology.zone_of(id).to_vec();
            self.peers.fail_zone(&hosts, self.me, now);
            for download in &mut self.downloads {
                download.forget(id);
            }
        }
    }
}
