//! Carries out what the swarm decides: pulls chunks, checks them, stages them, serves them to peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Manifest;
use mastichaven_core::Time;
use mastichaven_core::direct::caches::Caches;
use mastichaven_core::direct::replication::ChunkAsk;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::rollout::Progress;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::manifest::Chunk;
use mastichaven_core::swarm::BUSY_QUEUE;
use mastichaven_core::swarm::Bitmap;
use mastichaven_core::swarm::End;
use mastichaven_core::swarm::PARK;
use mastichaven_core::swarm::Pace;
use mastichaven_core::swarm::PeerId;
use mastichaven_core::swarm::PeerPlace;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::Swarm;
use mastichaven_core::swarm::To;
use mastichaven_core::swarm::Way;
use mastichaven_core::swarm::What;
use mastichaven_core::swarm::topology::key_of;
use mastichaven_platform::origin as origin_paths;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use super::chunk_cache;
use super::link;
use super::link::LinkError;
use super::metrics::Metrics;
use super::origin;
use super::origin::OriginError;
use super::peers;
use super::peers::PIECES_IN;
use super::peers::PIECES_OUT;
use super::peers::PeerAsk;
use super::peers::PeerError;
use super::peers::PeerTold;
use super::staging;
use super::staging::Staging;
use super::staging::StagingError;
use super::staging::sha256;
use crate::clock::BootClock;

/// How often the swarm decides while chunks are missing and nothing else wakes it.
const STEP: Duration = Duration::from_millis(40);

/// How long a chunk in hand waits for an endpoint that is starting.
const ENDPOINT_STARTS_WITHIN: Duration = Duration::from_secs(3);

/// Chunks under way at once. What fills the link is bounded by pieces; more chunks than pieces keep it
/// busy while some peers are slow. Two at a time from the origin keep its link busy.
const PACE: Pace = Pace { alone: 10, beside_requests: 8, a_peer: 2, from_origin: 2 };

/// Longest wait before an origin that failed is asked again. While it is away no host may have the version, and
/// none may answer once the older one has passed its bound.
const ORIGIN_RETRY_LONGEST: Duration = Duration::from_millis(250);

/// Share of a version's chunks near from which on it is still finished when a newer one is named. What
/// is near comes from peers, also while the origin is down: then the newer version cannot come, and
/// without the older one no endpoint may answer once the one before that has passed its bound. What is
/// known of peers lags by some 250 ms, in which a third of a version may come, so a third near is enough.
const KEPT_SHARE: f64 = 0.35;

/// Questions of peers answered at once.
const MAX_ASKS: usize = 64;

/// Names a version of a model among agents.
pub fn version_digest(model: &str, version: u64) -> Digest {
    Digest::of(format!("{model}@{version}").as_bytes())
}

/// A version that is pulled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The model.
    pub model: SmolStr,
    /// Its version.
    pub version: u64,
    /// Names it among agents.
    pub digest: Digest,
}

#[derive(Clone, Debug, Default)]
struct Chunks {
    chunk_len: u32,
    digests: Vec<Digest>,
    have: Vec<bool>,
}

impl Chunks {
    fn index_of(&self, digest: Digest) -> Option<usize> {
        self.digests.iter().position(|found| *found == digest)
    }

    fn missing(&self) -> usize {
        self.have.iter().filter(|have| !**have).count()
    }
}

/// A version on its way. The endpoint has room for one version; the chunks of a newer one wait in
/// memory until that is loaded or given up.
#[derive(Clone, Debug)]
struct Pull {
    target: Target,
    chunks: Option<Chunks>,
    waiting: BTreeMap<usize, Bytes>,
    /// The entries that know which chunks to pull.
    told: HashSet<IpAddr>,
    began: Time,
}

impl Pull {
    fn new(target: Target, now: Time) -> Pull {
        Pull { target, chunks: None, waiting: BTreeMap::new(), told: HashSet::new(), began: now }
    }

    fn is_complete(&self) -> bool {
        self.chunks.as_ref().is_some_and(|chunks| chunks.missing() == 0)
    }
}

/// The swarm of one agent with its sockets.
#[derive(Debug)]
pub struct SwarmHost {
    clock: BootClock,
    log: slog::Logger,
    metrics: Rc<Metrics>,
    staging: Rc<Staging>,
    swarm: RefCell<Swarm>,
    addresses: RefCell<HashMap<HostName, SocketAddr>>,
    /// The entries that hand out chunks, and the port at which they do.
    caches: RefCell<Caches>,
    cache_port: u16,
    origin: Cell<Option<SocketAddr>>,
    /// The version that is staged, then perhaps a newer one that waits in memory.
    pulls: RefCell<Vec<Pull>>,
    sending: Cell<u32>,
    link_turn: Semaphore,
    intake: Semaphore,
    changed: Notify,
    rng: RefCell<SmallRng>,
}

impl SwarmHost {
    /// The swarm of the agent at `me`.
    pub fn new(
        me: &PeerPlace,
        clock: BootClock,
        log: slog::Logger,
        metrics: Rc<Metrics>,
        staging: Rc<Staging>,
        cache_port: u16,
    ) -> SwarmHost {
        let mut swarm = Swarm::new(me, Way::Swarm);
        swarm.set_origin_retry(ORIGIN_RETRY_LONGEST);
        swarm.set_pace(PACE);
        SwarmHost {
            clock,
            log,
            metrics,
            staging,
            swarm: RefCell::new(swarm),
            addresses: RefCell::default(),
            caches: RefCell::default(),
            cache_port,
            origin: Cell::new(None),
            pulls: RefCell::default(),
            sending: Cell::new(0),
            link_turn: Semaphore::new(PIECES_OUT),
            intake: Semaphore::new(PIECES_IN),
            changed: Notify::new(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Takes in the agents that take part, this one among them.
    pub fn set_peers(
        &self,
        places: &[(PeerPlace, SocketAddr)],
        origin_region: Option<&RegionName>,
    ) {
        let peers: Vec<PeerPlace> = places.iter().map(|(place, _)| place.clone()).collect();
        self.swarm.borrow_mut().set_peers(&peers, origin_region);
        let addresses = places.iter().map(|(place, address)| (place.host.clone(), *address));
        *self.addresses.borrow_mut() = addresses.collect();
    }

    /// Takes in the entries that hand out chunks: those of this region, and those of the origin's.
    pub fn set_caches(&self, near: Vec<IpAddr>, beside_origin: Vec<IpAddr>) {
        self.caches.borrow_mut().set(near, beside_origin);
        self.follow_caches();
    }

    /// Tells the swarm whether any cache may be asked.
    fn follow_caches(&self) {
        let are_available = self.caches.borrow().are_available(self.clock.now());
        self.swarm.borrow_mut().set_caches(are_available);
    }

    /// Where weights come from.
    pub fn set_origin(&self, origin: Option<SocketAddr>) {
        self.origin.set(origin);
    }

    /// The version that this host is to have. The one before it goes on beside it only if most of it is
    /// near and `held`, what the endpoint has loaded, is older.
    pub fn want(&self, model: &SmolStr, version: u64, held: Option<u64>) {
        let digest = version_digest(model, version);
        let target = Target { model: model.clone(), version, digest };
        let mut pulls = self.pulls.borrow_mut();
        if pulls.iter().any(|pull| pull.target == target) {
            return;
        }
        pulls.truncate(1);
        let is_held = |pull: &Pull| held.is_some_and(|held| held >= pull.target.version);
        let share = |pull: &Pull| self.swarm.borrow().near_share(pull.target.digest);
        pulls.retain(|pull| !is_held(pull) && share(pull) >= KEPT_SHARE);
        pulls.push(Pull::new(target, self.clock.now()));
        drop(pulls);
        self.follow_pulls();
    }

    /// Tells the swarm which versions are wanted now.
    fn follow_pulls(&self) {
        let pulls = self.pulls.borrow();
        let wanted: Vec<Digest> = pulls.iter().map(|pull| pull.target.digest).collect();
        self.swarm.borrow_mut().want(&wanted, self.clock.now());
        self.changed.notify_waiters();
    }

    /// Whether live requests run on this host's link.
    pub fn set_beside_requests(&self, beside: bool) {
        self.swarm.borrow_mut().set_beside_requests(beside);
    }

    /// Whether the newest version is here as a whole.
    pub fn is_complete(&self) -> bool {
        self.pulls.borrow().last().is_some_and(Pull::is_complete)
    }

    /// The version that is staged whole.
    pub fn loadable(&self) -> Option<Target> {
        let pulls = self.pulls.borrow();
        let staged = pulls.first().filter(|pull| pull.is_complete() && pull.waiting.is_empty())?;
        Some(staged.target.clone())
    }

    /// How much of the newest version is here; `None` before its digests are.
    pub fn progress(&self) -> Option<Progress> {
        let pulls = self.pulls.borrow();
        let pull = pulls.last()?;
        let chunks = pull.chunks.as_ref()?;
        let elapsed = self.clock.now().since(pull.began);
        Some(Progress { chunks: chunks.have.len(), missing: chunks.missing(), elapsed })
    }

    /// Whether a newer version waits in memory, and all of it is here.
    pub fn is_newer_complete(&self) -> bool {
        let pulls = self.pulls.borrow();
        pulls.len() > 1 && pulls.last().is_some_and(Pull::is_complete)
    }

    /// The older version is loaded or given up: the chunks of the newer one are staged now.
    pub async fn drop_older(&self) {
        let digest = {
            let mut pulls = self.pulls.borrow_mut();
            if pulls.len() < 2 {
                return;
            }
            pulls.remove(0);
            pulls[0].target.digest
        };
        self.follow_pulls();
        while let Some((target, index, bytes)) = self.next_waiting(digest) {
            if let Err(e) = self.stage(&target, index, bytes).await {
                // The check before the load finds it missing and pulls it again.
                slog::warn!(self.log, "chunk not staged"; "index" => index, "error" => e.as_str());
            }
            self.with_pull(digest, |pull| pull.waiting.remove(&index));
        }
    }

    fn next_waiting(&self, digest: Digest) -> Option<(Target, usize, Bytes)> {
        let pulls = self.pulls.borrow();
        let pull = pulls.first().filter(|pull| pull.target.digest == digest)?;
        let (index, bytes) = pull.waiting.first_key_value()?;
        Some((pull.target.clone(), *index, bytes.clone()))
    }

    fn with_pull<T>(&self, digest: Digest, f: impl FnOnce(&mut Pull) -> T) -> Option<T> {
        let mut pulls = self.pulls.borrow_mut();
        pulls.iter_mut().find(|pull| pull.target.digest == digest).map(f)
    }

    fn target_of(&self, digest: Digest) -> Option<Target> {
        self.with_pull(digest, |pull| pull.target.clone())
    }

    fn chunks_of(&self, digest: Digest) -> Option<Chunks> {
        self.with_pull(digest, |pull| pull.chunks.clone()).flatten()
    }

    /// Whether the chunks of a version go to the endpoint and do not wait in memory.
    fn is_staged(&self, digest: Digest) -> bool {
        self.pulls.borrow().first().is_some_and(|pull| pull.target.digest == digest)
    }

    /// Reads all staged chunks of a version again, as they turn bad while they lie there. Bad ones
    /// are pulled anew; says whether all are good.
    pub async fn check_staged(&self, target: &Target) -> bool {
        let chunks = self.chunks_of(target.digest).filter(|_| self.is_staged(target.digest));
        let Some(chunks) = chunks else {
            return false;
        };
        let mut have = vec![false; chunks.digests.len()];
        for (index, digest) in chunks.digests.iter().enumerate() {
            have[index] = self.staging.chunk(&target.model, index, *digest).await.is_ok();
        }
        let bad = have.iter().filter(|have| !**have).count();
        if bad == 0 {
            return true;
        }
        slog::warn!(self.log, "staged chunks are bad"; "version" => target.version, "bad" => bad);
        self.metrics.add("chunks_rotten", bad as u64);
        if self.is_staged(target.digest) {
            let others: Vec<Digest> = {
                let pulls = self.pulls.borrow();
                let all = pulls.iter().map(|pull| pull.target.digest);
                all.filter(|digest| *digest != target.digest).collect()
            };
            // The swarm believes that it has them all; it starts this version anew.
            self.swarm.borrow_mut().want(&others, self.clock.now());
            self.follow_pulls();
            self.open(target, chunks.chunk_len, chunks.digests, have);
        }
        false
    }

    fn open(&self, target: &Target, chunk_len: u32, digests: Vec<Digest>, have: Vec<bool>) {
        let chunks = digests.iter().map(|digest| Chunk { digest: *digest, len: chunk_len });
        let manifest = Manifest { chunks: chunks.collect() };
        let here: HashMap<Digest, bool> =
            digests.iter().copied().zip(have.iter().copied()).collect();
        let is_here = |digest| here.get(&digest).copied().unwrap_or(false);
        let now = self.clock.now();
        self.swarm.borrow_mut().open_as(target.digest, &manifest, is_here, now);
        let chunks = Chunks { chunk_len, digests, have };
        self.with_pull(target.digest, |pull| pull.chunks = Some(chunks));
        self.changed.notify_waiters();
    }

    /// Pulls what is missing until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            let requests = {
                let mut rng = self.rng.borrow_mut();
                self.swarm.borrow_mut().step(self.clock.now(), &mut *rng)
            };
            for request in requests {
                spawn_local(self.clone().carry_out(request));
            }
            let is_idle = self.pulls.borrow().iter().all(Pull::is_complete);
            let wait = if is_idle { Duration::from_secs(1) } else { STEP };
            let _ = timeout(wait, self.changed.notified()).await;
        }
    }

    async fn carry_out(self: Rc<Self>, request: Request) {
        let end = match (request.to, request.what) {
            (To::Origin, What::Manifest) => self.manifest_from_origin(&request).await,
            (To::Origin, What::Chunk { digest, .. }) => {
                self.chunk_from_origin(&request, digest).await
            }
            (To::Origin, What::Have) => End::Absent,
            (To::Peer(id), _) => self.ask_peer(id, &request).await,
            (To::Cache, What::Chunk { digest, .. }) => {
                self.chunk_from_cache(&request, digest).await
            }
            (To::Cache, What::Manifest | What::Have) => End::Absent,
        };
        self.swarm.borrow_mut().end(request.flight, end, self.clock.now());
        self.changed.notify_waiters();
    }

    async fn ask_origin(&self, path: &str) -> std::result::Result<Bytes, End> {
        let Some(address) = self.origin.get() else {
            return Err(End::NotNow);
        };
        match origin::fetch(address, path).await {
            Ok(bytes) => {
                self.metrics.add("origin_bytes", bytes.len() as u64);
                Ok(bytes)
            }
            Err(OriginError::Unreachable) => Err(End::Unreachable),
            Err(OriginError::Silent) => Err(End::Silent),
            Err(OriginError::Refused(status)) => {
                slog::info!(self.log, "origin refused"; "path" => path, "status" => status);
                Err(End::Absent)
            }
        }
    }

    async fn manifest_from_origin(&self, request: &Request) -> End {
        let Some(target) = self.target_of(request.version) else {
            return End::NotNow;
        };
        let path = origin_paths::manifest_path(&target.model, target.version);
        match self.ask_origin(&path).await {
            Ok(body) => match origin_paths::scan_manifest(&body, target.version) {
                Some(found) => self.take_manifest(&target, found.chunk_len, found.digests).await,
                None => End::Corrupt,
            },
            Err(end) => end,
        }
    }

    /// Takes a version's digests in, after a look at which of its chunks are staged already.
    async fn take_manifest(&self, target: &Target, chunk_len: u32, digests: Vec<Digest>) -> End {
        let staged = match self.staging.staged(&target.model).await {
            Ok(staged) if self.is_staged(target.digest) => staged,
            Ok(_) => Vec::new(),
            Err(e) => {
                slog::warn!(self.log, "staged chunks not listed"; "error" => e.as_str());
                Vec::new()
            }
        };
        let mut have = vec![false; digests.len()];
        for index in staged.into_iter().filter(|index| *index < digests.len()) {
            have[index] = self.staging.chunk(&target.model, index, digests[index]).await.is_ok();
        }
        if self.target_of(target.digest).is_none() {
            return End::NotNow;
        }
        let here = have.iter().filter(|have| **have).count();
        slog::info!(self.log, "digests known"; "version" => target.version,
            "chunks" => digests.len(), "staged" => here);
        let chunks = digests.iter().map(|digest| Chunk { digest: *digest, len: chunk_len });
        let manifest = Manifest { chunks: chunks.collect() };
        self.open(target, chunk_len, digests, have);
        End::Manifest(manifest)
    }

    async fn chunk_from_origin(&self, request: &Request, digest: Digest) -> End {
        let Some((target, index)) = self.place_of(request.version, digest) else {
            return End::NotNow;
        };
        let path = origin_paths::chunk_path(&target.model, target.version, index);
        match self.ask_origin(&path).await {
            Ok(bytes) => {
                self.metrics.count("chunks_from_origin");
                self.take_chunk(&target, index, digest, bytes).await
            }
            Err(end) => end,
        }
    }

    async fn chunk_from_cache(&self, request: &Request, digest: Digest) -> End {
        let Some((target, index)) = self.place_of(request.version, digest) else {
            return End::NotNow;
        };
        let Some(route) = self.caches.borrow().route(digest, self.clock.now()) else {
            self.follow_caches();
            return End::Unreachable;
        };
        let hello = Hello::Chunk(ChunkAsk {
            model: target.model.clone(),
            version: target.version,
            index: index as u32,
            digest,
            puller: route.puller,
            next: self.pulled_next(request.version, digest),
        });
        let address = SocketAddr::new(route.entry, self.cache_port);
        let reply_within = chunk_cache::REPLY_WITHIN;
        let (within, intake) = (request.timeout, &self.intake);
        match peers::take_chunk(address, &hello, reply_within, within, intake).await {
            Ok(Ok(bytes)) => {
                self.metrics.count("chunks_from_entries");
                self.take_chunk(&target, index, digest, bytes).await
            }
            Ok(Err(told)) => end_of(Ok(told)),
            Err(e) => {
                slog::info!(self.log, "chunk not received"; "entry" => address.to_string(),
                    "version" => target.version, "error" => e.as_str());
                self.caches.borrow_mut().failed(route.entry, self.clock.now());
                self.follow_caches();
                end_of(Err(e))
            }
        }
    }

    /// The other missing chunks that come through the same puller, for the first ask through it.
    ///
    /// The puller takes them as fast as the origin sends, however slow this host is: the origin may be gone
    /// before all of the version was asked for.
    fn pulled_next(&self, version: Digest, digest: Digest) -> Vec<(u32, Digest)> {
        let puller = self.caches.borrow().puller(digest);
        let Some(puller) =
            puller.filter(|ip| self.with_pull(version, |pull| pull.told.insert(*ip)) == Some(true))
        else {
            return Vec::new();
        };
        let chunks = self.chunks_of(version).unwrap_or_default();
        let caches = self.caches.borrow();
        let is_next = |(index, other): &(usize, &Digest)| {
            !chunks.have[*index] && **other != digest && caches.puller(**other) == Some(puller)
        };
        let next = chunks.digests.iter().enumerate().filter(is_next);
        let mut next: Vec<(u32, Digest)> =
            next.map(|(index, digest)| (index as u32, *digest)).collect();
        next.sort_unstable_by_key(|(_, digest)| key_of(*digest));
        next
    }

    /// Where a chunk belongs.
    fn place_of(&self, version: Digest, digest: Digest) -> Option<(Target, usize)> {
        let index_of = |pull: &mut Pull| {
            let index = pull.chunks.as_ref()?.index_of(digest)?;
            Some((pull.target.clone(), index))
        };
        self.with_pull(version, index_of).flatten()
    }

    async fn take_chunk(&self, target: &Target, index: usize, digest: Digest, bytes: Bytes) -> End {
        if sha256(&bytes) != digest {
            self.metrics.count("chunks_corrupt");
            return End::Corrupt;
        }
        if self.is_staged(target.digest) {
            if let Err(e) = self.stage(target, index, bytes).await {
                slog::warn!(self.log, "chunk not staged"; "index" => index, "error" => e.as_str());
                return End::NotNow;
            }
        } else {
            self.with_pull(target.digest, |pull| pull.waiting.insert(index, bytes));
        }
        let now = self.clock.now();
        let has_chunk = |pull: &mut Pull| {
            let Some(chunks) = &mut pull.chunks else {
                return;
            };
            let is_new = !std::mem::replace(&mut chunks.have[index], true);
            if is_new && chunks.missing() == 0 {
                slog::info!(self.log, "weights here"; "version" => target.version,
                    "took_ms" => now.since(pull.began).as_millis() as u64);
            }
        };
        match self.with_pull(target.digest, has_chunk) {
            Some(()) => End::Stored,
            None => End::NotNow,
        }
    }

    /// Stages a chunk, waiting for an endpoint that is not up yet: it starts about a second after its
    /// agent, and the link would carry the chunk twice if it were dropped.
    async fn stage(&self, target: &Target, index: usize, bytes: Bytes) -> staging::Result<()> {
        let began = self.clock.now();
        loop {
            let staged = self.staging.stage(&target.model, index, bytes.clone()).await;
            let is_down = staged == Err(StagingError::Link(LinkError::NotSent));
            let is_wanted = self.is_staged(target.digest);
            if !is_down || !is_wanted || self.clock.now().passed(began, ENDPOINT_STARTS_WITHIN) {
                return staged;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    async fn ask_peer(&self, id: PeerId, request: &Request) -> End {
        let host = self.swarm.borrow().place(id).host.clone();
        let Some(address) = self.addresses.borrow().get(&host).copied() else {
            return End::Unreachable;
        };
        let version = request.version;
        let ask = match request.what {
            What::Have => PeerAsk::Have { version },
            What::Manifest => PeerAsk::Manifest { version },
            What::Chunk { digest, park, .. } => {
                return self.chunk_from_peer(address, request, digest, park).await;
            }
        };
        match (peers::ask(address, &ask, request.timeout).await, request.what) {
            (Ok(PeerTold::Have { map, queue }), What::Have) => {
                let now = self.clock.now();
                self.swarm.borrow_mut().heard(id, version, map, queue, now);
                End::Told
            }
            (Ok(PeerTold::Manifest { chunk_len, digests }), What::Manifest) => {
                match self.target_of(request.version) {
                    Some(target) => self.take_manifest(&target, chunk_len, digests).await,
                    None => End::NotNow,
                }
            }
            (told, _) => end_of(told),
        }
    }

    async fn chunk_from_peer(
        &self,
        address: SocketAddr,
        request: &Request,
        digest: Digest,
        park: bool,
    ) -> End {
        let Some((target, index)) = self.place_of(request.version, digest) else {
            return End::NotNow;
        };
        let ask = PeerAsk::Chunk { version: request.version, digest, park };
        let within = request.timeout;
        match peers::take_chunk(address, &ask, within, within, &self.intake).await {
            Ok(Ok(bytes)) => {
                self.metrics.count("chunks_from_peers");
                self.take_chunk(&target, index, digest, bytes).await
            }
            Ok(Err(told)) => end_of(Ok(told)),
            Err(e) => end_of(Err(e)),
        }
    }

    /// Answers peers until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let asks = Rc::new(Cell::new(0));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(STEP).await;
                continue;
            };
            if asks.get() >= MAX_ASKS {
                continue;
            }
            asks.set(asks.get() + 1);
            let (host, asks) = (self.clone(), asks.clone());
            spawn_local(async move {
                // A peer that goes away in the middle asks somebody else.
                let _ = timeout(PARK * 4, host.serve_peer(stream)).await;
                asks.set(asks.get() - 1);
            });
        }
    }

    async fn serve_peer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        link::prepare(&stream)?;
        let ask: PeerAsk = peers::read(&mut stream).await?;
        let told = match ask {
            PeerAsk::Have { version } => self.tell_have(version),
            PeerAsk::Manifest { version } => self.tell_manifest(version).await,
            PeerAsk::Chunk { .. } if self.sending.get() >= BUSY_QUEUE => PeerTold::Busy,
            PeerAsk::Chunk { version, digest, park } => {
                match self.find_chunk(version, digest, park).await {
                    Some(chunk) => return self.send_chunk(&mut stream, &chunk).await,
                    None => PeerTold::Absent,
                }
            }
        };
        peers::write(&mut stream, &told).await
    }

    async fn send_chunk(&self, stream: &mut TcpStream, chunk: &Bytes) -> std::io::Result<()> {
        self.sending.set(self.sending.get() + 1);
        let sent = peers::send_pieces(stream, chunk, &self.link_turn).await;
        self.sending.set(self.sending.get() - 1);
        sent
    }

    fn tell_have(&self, version: Digest) -> PeerTold {
        let Some(chunks) = self.chunks_of(version) else {
            return PeerTold::Have { map: Bitmap::default(), queue: 0 };
        };
        let mut map = Bitmap::zeros(chunks.have.len());
        for (index, _) in chunks.have.iter().enumerate().filter(|(_, have)| **have) {
            map.set(index);
        }
        PeerTold::Have { map, queue: self.sending.get() }
    }

    async fn tell_manifest(&self, version: Digest) -> PeerTold {
        let until = Instant::now() + PARK;
        loop {
            if let Some(Chunks { chunk_len, digests, .. }) = self.chunks_of(version) {
                return PeerTold::Manifest { chunk_len, digests };
            }
            if tokio::time::timeout_at(until, self.changed.notified()).await.is_err() {
                return PeerTold::Absent;
            }
        }
    }

    /// A chunk that is staged here, or is within the time that an ask may wait.
    async fn find_chunk(&self, version: Digest, digest: Digest, park: bool) -> Option<Bytes> {
        let until = Instant::now() + PARK;
        loop {
            if let Some((target, index)) = self.place_of(version, digest)
                && self.chunks_of(version).is_some_and(|chunks| chunks.have[index])
            {
                let waiting = |pull: &mut Pull| pull.waiting.get(&index).cloned();
                if let Some(bytes) = self.with_pull(version, waiting).flatten() {
                    return Some(bytes);
                }
                return self.staging.chunk(&target.model, index, digest).await.ok();
            }
            let waited = tokio::time::timeout_at(until, self.changed.notified()).await;
            if !park || waited.is_err() {
                return None;
            }
        }
    }
}

/// How an ask ended that brought nothing.
fn end_of(told: peers::Result<PeerTold>) -> End {
    match told {
        Ok(PeerTold::Busy) => End::Busy,
        Ok(PeerTold::NotYet) => End::NotYet,
        Ok(PeerTold::Absent) => End::Absent,
        Ok(PeerTold::Have { .. } | PeerTold::Manifest { .. } | PeerTold::ChunkFollows(_)) => {
            End::Corrupt
        }
        Err(PeerError::Unreachable) => End::Unreachable,
        Err(PeerError::Silent) => End::Silent,
    }
}
