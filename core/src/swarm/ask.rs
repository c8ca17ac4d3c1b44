//! Which requests go out: manifests, chunks that this host brings in, chunks of caches and neighbours, polls.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::download::Download;
use super::download::MAX_COPIES;
use super::download::Part;
use super::pace::ORIGIN_TIMEOUT;
use super::pace::POLL_TIMEOUT;
use super::pull::Swarm;
use super::request::Flight;
use super::request::Request;
use super::request::To;
use super::request::What;
use super::topology::MANIFEST_FANOUT;
use super::topology::PeerId;
use super::topology::Source;
use super::topology::Way;
use super::topology::key_of;
use crate::ids::Digest;
use crate::time::Time;

/// Chunks for neighbours that wait on a host's link at most; a host that is this busy is not asked
/// until it tells that it is not. Short queues spread the asks over all links.
pub const BUSY_QUEUE: u32 = 8;

/// Chunks under way from neighbours while this host still brings in chunks from the origin.
const BESIDE_ORIGIN: u32 = 2;

/// Chunks under way from neighbours beside those from caches.
const BESIDE_CACHES: u32 = 3;

/// Chunks awaited from owners in other zones at once.
const MAX_AWAITED: usize = 24;

/// How often a neighbour is asked what it has, unless its chunks told it along the way.
const POLL: Duration = Duration::from_millis(250);

/// Time for neighbours to tell that they have a chunk, before it is taken from the origin: of a version that has
/// just been named, and where this host may have joined late.
pub(super) const NEW_VERSION_POLLS_WITHIN: Duration = Duration::from_millis(100);
const OLD_VERSION_POLLS_WITHIN: Duration = Duration::from_secs(1);

/// How often an owner that others depend on is asked whether it lives.
const WATCH: Duration = Duration::from_secs(1);

/// How long a peer may hold an ask for a chunk that it does not have yet.
pub const PARK: Duration = Duration::from_millis(2_000);

/// Time without progress after which further hosts hold themselves responsible for a chunk.
const STALL: Duration = Duration::from_millis(5_000);

/// Tries for an origin chunk after which a pull that others made before may be repeated.
const REPEAT_AFTER: u32 = 2;

/// Wait before an owner is asked for the same chunk again.
const OWNED_RETRY: Duration = Duration::from_millis(200);

impl Swarm {
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

    pub(super) fn ask_manifest(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
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

    /// Works out again where each missing chunk comes from, if a host went or came, and while chunks
    /// are overdue.
    ///
    /// An owner whose link has become slow still answers, so it counts as live, and it makes some
    /// progress, so nothing stalls. Yet all hosts wait for its chunks, and with a tenth of a link a
    /// version came only after the time in which it had to be in use. So an overdue chunk that no
    /// neighbour sends is brought in by the next host in its order, too.
    pub(super) fn work_out(&mut self, n: usize, now: Time) {
        let skip = self.skip(self.downloads[n].progress_at, now);
        let overdue = self.downloads[n].overdue(now);
        let at = (self.peers.epoch(), skip, overdue);
        if overdue == 0 && self.downloads[n].worked_out_at == Some(at) {
            return;
        }
        let stuck: Vec<bool> = (0..self.downloads[n].parts.len())
            .map(|index| overdue > 0 && self.is_stuck(n, index, now))
            .collect();
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
            part.is_overdue = stuck[index];
            let skip = if part.is_overdue { skip.max(overdue) } else { skip };
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

    /// Whether no neighbour that offers a missing chunk sends it in its usual time.
    fn is_stuck(&self, n: usize, index: usize, now: Time) -> bool {
        let download = &self.downloads[n];
        let part = &download.parts[index];
        if download.have.get(index) {
            return false;
        }
        let is_late = part.flights > 0 && now.passed(part.asked_at, self.usual.late_after());
        let sends = |id: PeerId| self.peers.may_own(id) && self.peers.get(id).queue < BUSY_QUEUE;
        is_late || !download.offers(index).any(sends)
    }

    pub(super) fn count_flights(&self, matches: impl Fn(&Flight) -> bool) -> usize {
        self.flights.iter().filter(|(_, flight)| matches(flight)).count()
    }

    /// Asks owners in other zones, or the origin, for the chunks that this host brings in.
    pub(super) fn ask_owned(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        let mut from_origin = self.count_flights(|flight| flight.to == To::Origin);
        let mut awaited =
            self.count_flights(|flight| matches!(flight.what, What::Chunk { park: true, .. }));
        let mut owned = std::mem::take(&mut self.downloads[n].owned);
        owned.retain(|index| !self.downloads[n].have.get(*index as usize));
        for index in &owned {
            let part = &self.downloads[n].parts[*index as usize];
            let just_failed = part.owner_asked_at.is_some_and(|at| !now.passed(at, OWNED_RETRY));
            let copies = if part.is_overdue { MAX_COPIES } else { 1 };
            if part.flights >= copies || just_failed || self.is_cached(part) {
                continue;
            }
            let to = match self.source_now(n, *index as usize, now) {
                Some(To::Origin)
                    if from_origin < self.pace.from_origin && now >= self.origin_from =>
                {
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
            let timeout = if park { PARK + self.usual.timeout() } else { ORIGIN_TIMEOUT };
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
            Source::Origin if part.is_overdue => Some(To::Origin),
            Source::Origin if part.holders > 0 && download.offers(index).any(live) => None,
            Source::Origin if part.origin_tries % 2 == 1 => {
                let turn = part.origin_tries as usize / 2;
                let other = self.topology.elsewhere(part.key, &live, turn);
                Some(other.map_or(To::Origin, To::Peer))
            }
            Source::Origin => {
                let within = if download.is_newcomer {
                    OLD_VERSION_POLLS_WITHIN
                } else {
                    NEW_VERSION_POLLS_WITHIN
                };
                let is_overdue = now.passed(download.opened_at, within);
                (self.have_answered_polls(n) || is_overdue).then_some(To::Origin)
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one request's fields")]
    pub(super) fn ask_chunk(
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

    /// Fills the pipeline with the rarest chunks, the version with most missing first, so that
    /// several versions share the link by need.
    pub(super) fn ask_neighbours<R: Rng>(
        &mut self,
        now: Time,
        rng: &mut R,
        requests: &mut Vec<Request>,
    ) {
        let limit = self.neighbour_limit(now);
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
            let timeout = self.usual.timeout();
            self.ask_chunk(n, index, To::Peer(peer), false, timeout, now, requests);
            under_way += 1;
            order.rotate_left(1);
        }
    }

    /// Chunks from neighbours at once. What this host brings in from the origin exists nowhere else, so
    /// it goes first on the host's link: an origin that crashes then is more often done with.
    fn neighbour_limit(&self, now: Time) -> u32 {
        if (0..self.downloads.len()).any(|n| self.uses_caches(n, now)) {
            return BESIDE_CACHES;
        }
        let is_from_origin = |download: &Download| {
            let mut owned = download.owned.iter().map(|index| *index as usize);
            owned.any(|index| {
                download.parts[index].source == Source::Origin && !download.have.get(index)
            })
        };
        if self.downloads.iter().any(is_from_origin) {
            return BESIDE_ORIGIN.max(self.pace.a_peer);
        }
        if self.beside_requests { self.pace.beside_requests } else { self.pace.alone }
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
                peer.is_live() && peer.in_flight < self.pace.a_peer && peer.queue < BUSY_QUEUE;
            (free && (demoted || !peer.is_demoted())).then_some(peer.queue + 2 * peer.in_flight)
        };
        let late = |part: &Part| now.passed(part.asked_at, self.usual.late_after());
        let free_or_late = |part: &Part| part.flights == 0 || late(part);
        // A bad peer is asked only when nobody else has the chunk, and now and then: each try costs
        // as much of the link as a good chunk.
        let rested = |part: &Part| part.flights == 0 && now.passed(part.asked_at, WATCH);
        let random: u64 = rng.random();
        download
            .choose(random, &|id| load_if(id, false), &free_or_late)
            .or_else(|| download.choose(random, &|id| load_if(id, true), &rested))
    }

    pub(super) fn poll(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        if self.way == Way::Origin {
            return;
        }
        let version = self.downloads[n].version;
        let due = |id: &PeerId, every: Duration| {
            let peer = self.peers.get(*id);
            let asked = peer.asked_at.is_some_and(|at| !now.passed(at, every));
            peer.is_live() && !asked && now.passed(peer.last_contact, every)
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
}
