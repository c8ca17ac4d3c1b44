//! Carries out what the swarm decides: pulls chunks, checks them, stages them, serves them to peers.

mod pulls;
mod serving;
mod sources;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Manifest;
use mastichaven_core::direct::caches::Caches;
use mastichaven_core::direct::rollout::DownloadProgress;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::manifest::Chunk;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::PipelineLimits;
use mastichaven_core::swarm::Strategy;
use mastichaven_core::swarm::Swarm;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

use self::pulls::Chunks;
use self::pulls::Pull;
pub use self::pulls::Target;
use super::metrics::Metrics;
use super::peers::MAX_INCOMING_PIECES;
use super::peers::MAX_OUTGOING_PIECES;
use super::staging::Staging;
use crate::clock::BootClock;

/// How often the swarm decides while chunks are missing and nothing else wakes it.
const STEP: Duration = Duration::from_millis(40);

/// Chunks under way at once. What fills the link is bounded by pieces; more chunks than pieces keep it
/// busy while some peers are slow. Two at a time from the origin keep its link busy.
const PACE: PipelineLimits =
    PipelineLimits { exclusive_link: 10, shared_link: 8, per_peer: 2, from_origin: 2 };

/// Longest wait before an origin that failed is asked again. While it is away no host may have the version, and
/// none may answer once the older one has passed its bound.
const ORIGIN_RETRY_LONGEST: Duration = Duration::from_millis(250);

/// Share of a version's chunks near from which on it is still finished when a newer one is named. What
/// is near comes from peers, also while the origin is down: then the newer version cannot come, and
/// without the older one no endpoint may answer once the one before that has passed its bound. What is
/// known of peers lags, and much of a version may come meanwhile, so a part of it is enough.
pub(super) const KEPT_SHARE: f64 = 0.35;

/// Names a version of a model among agents.
pub fn version_digest(model: &str, version: u64) -> Digest {
    Digest::of(format!("{model}@{version}").as_bytes())
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
        me: &PeerLocation,
        clock: BootClock,
        log: slog::Logger,
        metrics: Rc<Metrics>,
        staging: Rc<Staging>,
        cache_port: u16,
    ) -> SwarmHost {
        let mut swarm = Swarm::new(me, Strategy::Swarm);
        swarm.set_max_origin_retry_delay(ORIGIN_RETRY_LONGEST);
        swarm.set_pipeline_limits(PACE);
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
            link_turn: Semaphore::new(MAX_OUTGOING_PIECES),
            intake: Semaphore::new(MAX_INCOMING_PIECES),
            changed: Notify::new(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Takes in the agents that take part, this one among them.
    pub fn set_peers(
        &self,
        places: &[(PeerLocation, SocketAddr)],
        origin_region: Option<&RegionName>,
    ) {
        let peers: Vec<PeerLocation> = places.iter().map(|(place, _)| place.clone()).collect();
        self.swarm.borrow_mut().set_peers(&peers, origin_region);
        let addresses = places.iter().map(|(place, address)| (place.host.clone(), *address));
        *self.addresses.borrow_mut() = addresses.collect();
    }

    /// Takes in the entries that hand out chunks: those of this region, and those of the origin's.
    pub fn set_caches(&self, near: Vec<IpAddr>, beside_origin: Vec<IpAddr>) {
        self.caches.borrow_mut().set(near, beside_origin);
        self.follow_caches();
    }

    /// Updates whether the swarm may ask caches.
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
        let share = |pull: &Pull| self.swarm.borrow().available_share(pull.target.digest);
        pulls.retain(|pull| !is_held(pull) && share(pull) >= KEPT_SHARE);
        pulls.push(Pull::new(target, self.clock.now()));
        drop(pulls);
        self.follow_pulls();
    }

    /// Tells the swarm which versions are wanted now.
    fn follow_pulls(&self) {
        let pulls = self.pulls.borrow();
        let wanted: Vec<Digest> = pulls.iter().map(|pull| pull.target.digest).collect();
        self.swarm.borrow_mut().set_wanted_versions(&wanted, self.clock.now());
        self.changed.notify_waiters();
    }

    /// Whether live requests run on this host's link.
    pub fn set_beside_requests(&self, beside: bool) {
        self.swarm.borrow_mut().set_link_shared(beside);
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
    pub fn progress(&self) -> Option<DownloadProgress> {
        let pulls = self.pulls.borrow();
        let pull = pulls.last()?;
        let chunks = pull.chunks.as_ref()?;
        let elapsed = self.clock.now().since(pull.began);
        Some(DownloadProgress { chunks: chunks.have.len(), missing: chunks.missing(), elapsed })
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
            self.swarm.borrow_mut().set_wanted_versions(&others, self.clock.now());
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
        self.swarm.borrow_mut().set_manifest_for(target.digest, &manifest, is_here, now);
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
}
