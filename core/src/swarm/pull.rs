//! Decides which requests for weights go out now.
//!
//! The caller carries out each [`Request`], checks what comes against its digest, and reports how it
//! ended. Nothing here waits, sends or stores.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::bitmap::Bitmap;
use super::download::Download;
use super::download::Part;
use super::peers::Fault;
use super::peers::Peers;
use super::topology::MANIFEST_FANOUT;
use super::topology::PeerId;
use super::topology::PeerPlace;
use super::topology::Source;
use super::topology::Topology;
use super::topology::Way;
use super::topology::key_of;
use crate::arena::Arena;
use crate::arena::Key;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::manifest::Manifest;
use crate::time::Time;

/// Neighbours a host exchanges chunks with; bounds its messages whatever the fleet's size.
pub const MAX_NEIGHBOURS: usize = 12;

/// Chunks asked of neighbours at once, and of one neighbour at once.
const PIPELINE: u32 = 5;
const PIPELINE_A_PEER: u32 = 2;

/// Chunks for neighbours that wait on a host's link at most; a host that is this busy is not asked
/// until it tells that it is not. Short queues spread the asks over all links.
pub const BUSY_QUEUE: u32 = 8;

/// Chunks under way while live requests run on this host's link.
const PIPELINE_BESIDE_REQUESTS: u32 = 2;

/// Chunks awaited from owners in other zones at once, and pulled from the origin at once.
const MAX_AWAITED: usize = 24;
const MAX_FROM_ORIGIN: usize = 2;

/// How often a neighbour is asked what it has, unless its chunks told it along the way.
const POLL: Duration = Duration::from_millis(250);

/// How often an owner that others depend on is asked whether it lives.
const WATCH: Duration = Duration::from_secs(1);

/// How long answers may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a peer may hold an ask for a chunk that it does not have yet.
pub const PARK: Duration = Duration::from_millis(2_000);

/// Chunk timeouts: a multiple of the usual time, within bounds.
const CHUNK_TIMEOUT_TIMES: u32 = 6;
const CHUNK_TIMEOUT_LEAST: Duration = Duration::from_millis(1_500);
const CHUNK_TIMEOUT_MOST: Duration = Duration::from_secs(20);

/// A chunk is late, and asked of somebody else too, after this many usual times.
const LATE_TIMES: u32 = 3;

/// Time without progress after which further hosts hold themselves responsible for a chunk.
const STALL: Duration = Duration::from_millis(5_000);

/// First and longest wait after the origin or its budget refused. A spent budget stays spent for
/// long, and each try costs the platform two reads.
const ORIGIN_RETRY: Duration = Duration::from_millis(500);
const ORIGIN_RETRY_LONGEST: Duration = Duration::from_secs(16);

/// Tries for an origin chunk after which a pull that others made before may be repeated.
const REPEAT_AFTER: u32 = 2;

/// Wait before an owner is asked for the same chunk again.
const OWNED_RETRY: Duration = Duration::from_millis(200);

/// Versions on their way at once; more wait.
pub const MAX_DOWNLOADS: usize = 8;

/// Names a request under way.
pub type FlightKey = Key<Flight>;

/// Who is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum To {
    /// The origin; the caller pays from the budget first.
    Origin,
    /// A peer.
    Peer(PeerId),
}

/// What is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum What {
    /// The manifest of the request's version.
    Manifest,
    /// A chunk of it.
    Chunk {
        /// Its digest.
        digest: Digest,
        /// Its length.
        len: u32,
        /// Whether the peer may hold the ask until it has the chunk.
        park: bool,
        /// Whether the origin may be asked although the chunk was pulled from it before.
        repeat: bool,
    },
    /// What the peer has of it.
    Have,
}

/// A request to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Names it in [`Swarm::end`].
    pub flight: FlightKey,
    /// Who is asked.
    pub to: To,
    /// The version it is for.
    pub version: Digest,
    /// What is asked.
    pub what: What,
    /// After this it has failed.
    pub timeout: Duration,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The manifest came and matches its digest.
    Manifest(Manifest),
    /// The chunk came, matches its digest and is stored.
    Stored,
    /// The bytes do not match the digest.
    Corrupt,
    /// The peer does not have it.
    Absent,
    /// The peer is up and told what it has; see [`Swarm::heard`].
    Told,
    /// The peer is busy.
    Busy,
    /// No answer in time.
    Silent,
    /// The peer cannot be reached.
    Unreachable,
    /// The chunk was pulled from the origin before: some host has it or is about to.
    PulledBefore,
    /// This host has no room or the budget is spent; nobody else is to blame.
    NotNow,
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    to: To,
    version: Digest,
    what: What,
    started: Time,
    deadline: Time,
}

/// Counts of what was asked; the state dump shows them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Asks for what a peer has.
    pub polls: u64,
    /// Asks for chunks and manifests.
    pub asks: u64,
    /// Bytes that did not match their digest.
    pub corrupt: u64,
    /// Requests that ran out of time or did not reach the peer.
    pub failed: u64,
    /// Chunks asked of two peers because the first was late.
    pub doubled: u64,
}

/// This host's part in the swarm.
#[derive(Debug)]
pub struct Swarm {
    way: Way,
    me: PeerId,
    topology: Topology,
    peers: Peers,
    neighbours: Vec<PeerId>,
    downloads: Vec<Download>,
    flights: Arena<Flight>,
    usual: Duration,
    origin_from: Time,
    origin_wait: Duration,
    beside_requests: bool,
    counts: Counts,
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
            usual: CHUNK_TIMEOUT_LEAST / LATE_TIMES,
            origin_from: Time::ZERO,
            origin_wait: ORIGIN_RETRY,
            beside_requests: false,
            counts: Counts::default(),
        }
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
                self.downloads.push(Download::new(*version, now));
            }
        }
    }

    /// The manifest of a version is here; `is_here` says which of its chunks are, too.
    pub fn open(&mut self, manifest: &Manifest, is_here: impl Fn(Digest) -> bool, now: Time) {
        let version = manifest.digest();
        if let Some(download) = self.downloads.iter_mut().find(|d| d.version == version) {
            download.open(manifest, is_here, now);
        }
    }

    /// Whether all of a version is here.
    pub fn is_complete(&self, version: Digest) -> bool {
        self.downloads.iter().any(|d| d.version == version && d.is_complete())
    }

    /// Chunks still missing of all versions.
    pub fn missing(&self) -> usize {
        self.downloads.iter().map(|download| download.missing).sum()
    }

    /// Whether live requests run on this host's link, which weights then leave room for.
    pub fn set_beside_requests(&mut self, beside: bool) {
        self.beside_requests = beside;
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
    pub fn heard(&mut self, id: PeerId, version: Digest, map: Bitmap, queue: u32, now: Time) {
        self.peers.heard(id, now);
        self.peers.get_mut(id).queue = queue;
        if !self.neighbours.contains(&id) {
            return;
        }
        let Some(download) = self.downloads.iter_mut().find(|d| d.version == version) else {
            return;
        };
        if !download.heard(id, map) {
            self.peers.failed(id, Fault::Dishonest, now);
        }
    }

    /// The requests to send now. Call it after every [`Swarm::end`] and at least every 50 ms.
    pub fn step<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Request> {
        let mut requests = Vec::new();
        self.give_up_late(now);
        for n in 0..self.downloads.len() {
            if self.downloads[n].is_complete() {
                continue;
            }
            if !self.downloads[n].has_manifest {
                self.ask_manifest(n, now, &mut requests);
                continue;
            }
            self.work_out(n, now);
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

    fn launch(
        &mut self,
        to: To,
        version: Digest,
        what: What,
        timeout: Duration,
        now: Time,
    ) -> Request {
        match what {
            What::Have => self.counts.polls += 1,
            What::Manifest | What::Chunk { .. } => self.counts.asks += 1,
        }
        if let To::Peer(id) = to {
            let peer = self.peers.get_mut(id);
            match what {
                // Chunks asked of a dead host must not put off the poll that proves it dead.
                What::Have => peer.asked_at = Some(now),
                What::Chunk { park: false, .. } => peer.in_flight += 1,
                What::Chunk { .. } | What::Manifest => {}
            }
        }
        let flight = Flight { to, version, what, started: now, deadline: now + timeout };
        Request { flight: self.flights.insert(flight), to, version, what, timeout }
    }

    fn ask_manifest(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        let download = &self.downloads[n];
        let version = download.version;
        if download.manifest_flights > 0 {
            return;
        }
        let way = if self.way == Way::Swarm { Way::Trees(MANIFEST_FANOUT) } else { self.way };
        let skip = self.skip(download.progress_at, now);
        let live = |id: PeerId| self.peers.may_own(id);
        let source = self.topology.source(way, key_of(version), &live, skip);
        let (to, timeout) = match source {
            Source::Peer(id) => (To::Peer(id), PARK + POLL_TIMEOUT),
            Source::Origin if now >= self.origin_from => (To::Origin, ORIGIN_TIMEOUT),
            Source::Origin | Source::Neighbours => return,
        };
        self.downloads[n].manifest_flights += 1;
        requests.push(self.launch(to, version, What::Manifest, timeout, now));
    }

    fn skip(&self, progress_at: Time, now: Time) -> usize {
        (now.since(progress_at).as_micros() / STALL.as_micros()) as usize
    }

    /// Works out again where each missing chunk comes from, if a host went or came.
    fn work_out(&mut self, n: usize, now: Time) {
        let skip = self.skip(self.downloads[n].progress_at, now);
        let at = (self.peers.epoch(), skip);
        if self.downloads[n].worked_out_at == Some(at) {
            return;
        }
        let peers = &self.peers;
        let live = |id: PeerId| peers.may_own(id);
        let download = &mut self.downloads[n];
        download.worked_out_at = Some(at);
        download.owned.clear();
        download.watch.clear();
        for (index, part) in download.parts.iter_mut().enumerate() {
            if download.have.get(index) || part.is_repeat {
                continue;
            }
            part.source = self.topology.source(self.way, part.key, &live, skip);
            match part.source {
                Source::Neighbours => {
                    download.watch.extend(self.topology.watched(part.key, &live));
                }
                Source::Origin => download.owned.push(index as u32),
                Source::Peer(id) => {
                    download.watch.insert(id);
                    download.owned.push(index as u32);
                }
            }
        }
        let parts = &download.parts;
        download.owned.sort_unstable_by_key(|index| parts[*index as usize].key);
    }

    fn count_flights(&self, matches: impl Fn(&Flight) -> bool) -> usize {
        self.flights.iter().filter(|(_, flight)| matches(flight)).count()
    }

    /// Asks owners in other zones, or the origin, for the chunks that this host brings in.
    fn ask_owned(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        let mut from_origin = self.count_flights(|flight| flight.to == To::Origin);
        let mut awaited =
            self.count_flights(|flight| matches!(flight.what, What::Chunk { park: true, .. }));
        let mut owned = std::mem::take(&mut self.downloads[n].owned);
        owned.retain(|index| !self.downloads[n].have.get(*index as usize));
        for index in &owned {
            let part = &self.downloads[n].parts[*index as usize];
            let just_failed = part.owner_asked_at.is_some_and(|at| !now.passed(at, OWNED_RETRY));
            if part.flights > 0 || just_failed {
                continue;
            }
            let to = match self.source_now(n, *index as usize, now) {
                Some(To::Origin) if from_origin < MAX_FROM_ORIGIN && now >= self.origin_from => {
                    from_origin += 1;
                    To::Origin
                }
                Some(To::Peer(id)) if awaited < MAX_AWAITED => {
                    awaited += 1;
                    To::Peer(id)
                }
                _ => continue,
            };
            let part = &mut self.downloads[n].parts[*index as usize];
            part.owner_asked_at = Some(now);
            part.origin_tries += u32::from(part.source == Source::Origin);
            let park = to != To::Origin;
            let timeout = if park { PARK + self.chunk_timeout() } else { ORIGIN_TIMEOUT };
            self.ask_chunk(n, *index as usize, to, park, timeout, now, requests);
        }
        self.downloads[n].owned = owned;
    }

    /// Whom to ask for an owned chunk now; `None` while neighbours offer it or may still do.
    ///
    /// A replica that joins late owns chunks that the whole fleet has long had. So neighbours go
    /// before the origin, and when the origin's budget says that the chunk was pulled before, every
    /// other try goes to another zone's owner.
    fn source_now(&self, n: usize, index: usize, now: Time) -> Option<To> {
        let download = &self.downloads[n];
        let part = &download.parts[index];
        let live = |id: PeerId| self.peers.may_own(id);
        match part.source {
            Source::Neighbours => None,
            Source::Peer(id) => Some(To::Peer(id)),
            Source::Origin if self.way != Way::Swarm => Some(To::Origin),
            Source::Origin if part.holders > 0 && download.offers(index).any(live) => None,
            Source::Origin if part.origin_tries % 2 == 1 => {
                let turn = part.origin_tries as usize / 2;
                let other = self.topology.elsewhere(part.key, &live, turn);
                Some(other.map_or(To::Origin, To::Peer))
            }
            Source::Origin => {
                let near = self.neighbours.iter().filter(|id| self.peers.is_heard(**id)).count();
                let told = download.maps.len() >= near && near == self.neighbours.len();
                (told || now.passed(download.opened_at, WATCH)).then_some(To::Origin)
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one request's fields")]
    fn ask_chunk(
        &mut self,
        n: usize,
        index: usize,
        to: To,
        park: bool,
        timeout: Duration,
        now: Time,
        requests: &mut Vec<Request>,
    ) {
        let part = &mut self.downloads[n].parts[index];
        part.flights += 1;
        part.asked_at = now;
        if part.flights > 1 {
            self.counts.doubled += 1;
        }
        let repeat = part.origin_tries > REPEAT_AFTER;
        let what = What::Chunk { digest: part.digest, len: part.len, park, repeat };
        let version = self.downloads[n].version;
        requests.push(self.launch(to, version, what, timeout, now));
    }

    fn chunk_timeout(&self) -> Duration {
        (self.usual * CHUNK_TIMEOUT_TIMES).clamp(CHUNK_TIMEOUT_LEAST, CHUNK_TIMEOUT_MOST)
    }

    /// Fills the pipeline with the rarest chunks, the version with most missing first, so that
    /// several versions share the link by need.
    fn ask_neighbours<R: Rng>(&mut self, now: Time, rng: &mut R, requests: &mut Vec<Request>) {
        let limit = if self.beside_requests { PIPELINE_BESIDE_REQUESTS } else { PIPELINE };
        let direct = |flight: &Flight| matches!(flight.what, What::Chunk { park: false, .. });
        let mut under_way =
            self.count_flights(|flight| direct(flight) && flight.to != To::Origin) as u32;
        let mut order: Vec<usize> = (0..self.downloads.len()).collect();
        order.sort_by_key(|n| std::cmp::Reverse(self.downloads[*n].missing));
        while under_way < limit {
            let found = order.iter().find_map(|n| Some((*n, self.pick(*n, now, rng)?)));
            let Some((n, (index, peer))) = found else {
                return;
            };
            let timeout = self.chunk_timeout();
            self.ask_chunk(n, index, To::Peer(peer), false, timeout, now, requests);
            under_way += 1;
            order.rotate_left(1);
        }
    }

    /// The next chunk of a version and the neighbour to ask; demoted ones only when no other has it.
    fn pick<R: Rng>(&self, n: usize, now: Time, rng: &mut R) -> Option<(usize, PeerId)> {
        let download = &self.downloads[n];
        if download.missing == 0 {
            return None;
        }
        let load_if = |id: PeerId, demoted: bool| {
            let peer = self.peers.get(id);
            let free =
                peer.is_live() && peer.in_flight < PIPELINE_A_PEER && peer.queue < BUSY_QUEUE;
            (free && (demoted || !peer.is_demoted())).then_some(peer.queue + 2 * peer.in_flight)
        };
        let late = |part: &Part| now.passed(part.asked_at, self.usual * LATE_TIMES);
        let free_or_late = |part: &Part| part.flights == 0 || late(part);
        // A bad peer is asked only when nobody else has the chunk, and now and then: each try costs
        // as much of the link as a good chunk.
        let rested = |part: &Part| part.flights == 0 && now.passed(part.asked_at, WATCH);
        let random: u64 = rng.random();
        download
            .choose(random, &|id| load_if(id, false), &free_or_late)
            .or_else(|| download.choose(random, &|id| load_if(id, true), &rested))
    }

    fn poll(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        if self.way == Way::Origin {
            return;
        }
        let version = self.downloads[n].version;
        let due = |id: &PeerId, every: Duration| {
            let peer = self.peers.get(*id);
            let asked = peer.asked_at.is_some_and(|at| !now.passed(at, every));
            peer.is_live() && !asked && now.passed(peer.heard_at, every)
        };
        let neighbours = if self.way == Way::Swarm { self.neighbours.as_slice() } else { &[] };
        let mut asked: Vec<PeerId> =
            neighbours.iter().copied().filter(|id| due(id, POLL)).collect();
        let watch = &self.downloads[n].watch;
        asked.extend(watch.iter().copied().filter(|id| !neighbours.contains(id) && due(id, WATCH)));
        if let Some(id) = self.retry(now) {
            asked.push(id);
        }
        for id in asked {
            requests.push(self.launch(To::Peer(id), version, What::Have, POLL_TIMEOUT, now));
        }
    }

    /// One peer that is down and due to be tried again.
    fn retry(&mut self, now: Time) -> Option<PeerId> {
        let all: Vec<PeerId> = self.topology.all().collect();
        all.into_iter().find(|id| self.peers.take_retry(*id, now))
    }

    /// A request has ended. Unknown keys, of versions dropped meanwhile, are ignored.
    pub fn end(&mut self, key: FlightKey, end: End, now: Time) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        if let To::Peer(id) = flight.to {
            self.judge_peer(id, &flight, &end, now);
        } else if end == End::PulledBefore {
            // The chunk's next try goes to a peer; other chunks need not wait.
        } else if !matches!(end, End::Stored | End::Manifest(_)) {
            self.origin_from = now + self.origin_wait;
            self.origin_wait = (self.origin_wait * 2).min(ORIGIN_RETRY_LONGEST);
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
                self.peers.heard(id, now);
                self.peers.sent_good(id);
                if direct {
                    self.usual = (self.usual * 7 + now.since(flight.started)) / 8;
                }
                return;
            }
            End::Told | End::NotNow | End::PulledBefore => return self.peers.heard(id, now),
            End::Absent if !direct => return self.peers.heard(id, now),
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
