//! Performs the I/O of [`Swarm`]: downloads chunks, verifies and stages them, and serves them to peers.

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
use mastichaven_core::direct::load_orders::StagingWrites;
use mastichaven_core::direct::load_orders::Verification;
use mastichaven_core::direct::rollout::DownloadProgress;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::manifest::Chunk;
use mastichaven_core::swarm::DownloadStatus;
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
use super::endpoint_client::EndpointCallError;
use super::endpoint_client::EndpointClient;
use super::metrics::Metrics;
use super::peers::MAX_INCOMING_PIECES;
use super::peers::MAX_OUTGOING_PIECES;
use crate::clock::BootClock;

/// Interval between scheduling steps while chunks are missing and no event triggers one.
const STEP_INTERVAL: Duration = Duration::from_millis(40);

/// Limits of the chunk requests in flight. The number of pieces in flight bounds the load of the link; a larger
/// number of chunks keeps the link busy while some peers are slow. Two concurrent requests are enough to keep
/// the origin's link busy.
const PIPELINE_LIMITS: PipelineLimits =
    PipelineLimits { exclusive_link: 10, shared_link: 8, per_peer: 2, from_origin: 2 };

/// Maximum delay before a failed origin is retried. During an origin outage there may be no host with the
/// newest version, and no host may respond once the older one exceeds its age bound.
const MAX_ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Minimum fraction of a version's chunks available from peers at which its download continues after a newer
/// version is announced. Such chunks can be fetched while the origin is down. In that case the newer version
/// cannot be downloaded, and without the older one no endpoint may respond once the version that it serves
/// exceeds its age bound. The known availability lags and much of a version may arrive in the meantime, so a
/// fraction is sufficient.
pub(super) const MIN_FRACTION_TO_FINISH: f64 = 0.35;

/// Identifier of a version of a model in requests between agents.
pub fn version_digest(model: &str, version: u64) -> Digest {
    Digest::of(format!("{model}@{version}").as_bytes())
}

/// The swarm state of one agent, the downloads in progress and the addresses of its sources.
#[derive(Debug)]
pub struct SwarmDriver {
    clock: BootClock,
    log: slog::Logger,
    metrics: Rc<Metrics>,
    endpoint_client: Rc<EndpointClient>,
    swarm: RefCell<Swarm>,
    addresses: RefCell<HashMap<HostName, SocketAddr>>,
    /// The entries that serve chunks; they listen on `cache_port`.
    caches: RefCell<Caches>,
    cache_port: u16,
    origin: Cell<Option<SocketAddr>>,
    /// The version that is being staged, followed by a newer one that is buffered in memory, if there is one.
    pulls: RefCell<Vec<Pull>>,
    /// Whether the chunks of the staged version must not be replaced by those of another one.
    is_staging_locked: Cell<bool>,
    staging_writes: Cell<StagingWrites>,
    uploads: Cell<u32>,
    upload_slots: Semaphore,
    download_slots: Semaphore,
    changed: Notify,
    rng: RefCell<SmallRng>,
}

impl SwarmDriver {
    /// Creates the driver of the agent at `me`; `cache_port` is the port at which entries serve chunks.
    pub fn new(
        me: &PeerLocation,
        clock: BootClock,
        log: slog::Logger,
        metrics: Rc<Metrics>,
        endpoint_client: Rc<EndpointClient>,
        cache_port: u16,
    ) -> SwarmDriver {
        let mut swarm = Swarm::new(me, Strategy::Swarm);
        swarm.set_max_origin_retry_delay(MAX_ORIGIN_RETRY_DELAY);
        swarm.set_pipeline_limits(PIPELINE_LIMITS);
        swarm.set_caches(false);
        SwarmDriver {
            clock,
            log,
            metrics,
            endpoint_client,
            swarm: RefCell::new(swarm),
            addresses: RefCell::default(),
            caches: RefCell::default(),
            cache_port,
            origin: Cell::new(None),
            pulls: RefCell::default(),
            is_staging_locked: Cell::new(false),
            staging_writes: Cell::default(),
            uploads: Cell::new(0),
            upload_slots: Semaphore::new(MAX_OUTGOING_PIECES),
            download_slots: Semaphore::new(MAX_INCOMING_PIECES),
            changed: Notify::new(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Replaces the participating agents, including this one, and the origin's region, if it is known.
    pub fn set_peers(
        &self,
        locations: &[(PeerLocation, SocketAddr)],
        origin_region: Option<&RegionName>,
    ) {
        let peers: Vec<PeerLocation> =
            locations.iter().map(|(location, _)| location.clone()).collect();
        self.swarm.borrow_mut().set_peers(&peers, origin_region);
        let addresses =
            locations.iter().map(|(location, address)| (location.host.clone(), *address));
        *self.addresses.borrow_mut() = addresses.collect();
    }

    /// Replaces the entries that serve chunks: those of this region and those of the origin's region.
    pub fn set_caches(&self, regional: Vec<IpAddr>, in_origin_region: Vec<IpAddr>) {
        self.caches.borrow_mut().set(regional, in_origin_region);
        self.update_cache_availability();
    }

    /// Updates whether the swarm may send requests to entries.
    fn update_cache_availability(&self) {
        let are_available = self.caches.borrow().are_available(self.clock.now());
        self.swarm.borrow_mut().set_caches(are_available);
    }

    /// Sets the address of the origin; `None` until the setup is known.
    pub fn set_origin(&self, origin: Option<SocketAddr>) {
        self.origin.set(origin);
    }

    /// Sets whether the staged version must be kept, as the endpoint may still load it.
    pub fn set_staging_locked(&self, is_locked: bool) {
        self.is_staging_locked.set(is_locked);
    }

    /// Chunks that were written to the current process of the endpoint.
    pub fn staging_writes(&self) -> StagingWrites {
        self.staging_writes.get()
    }

    /// Resets [`SwarmDriver::staging_writes`] when the endpoint's process is a new one.
    pub fn reset_staging_writes(&self) {
        self.staging_writes.set(StagingWrites::default());
    }

    /// Sets the version to download. The version that is being staged is kept while staging is locked.
    /// Otherwise its download continues only if it is newer than `held`, the version that the endpoint has
    /// loaded, until [`SwarmDriver::drop_older_version`].
    pub fn set_wanted_version(&self, model: &SmolStr, version: u64, held: Option<u64>) {
        let digest = version_digest(model, version);
        let target = Target { model: model.clone(), version, digest };
        let mut pulls = self.pulls.borrow_mut();
        if pulls.iter().any(|pull| pull.target == target) {
            return;
        }
        pulls.truncate(1);
        let is_superseded = |pull: &Pull| held.is_some_and(|held| held >= pull.target.version);
        if !self.is_staging_locked.get() {
            pulls.retain(|pull| !is_superseded(pull));
        }
        pulls.push(Pull::new(target, self.clock.now()));
        drop(pulls);
        self.update_wanted_versions();
    }

    /// Passes the wanted versions to the swarm.
    fn update_wanted_versions(&self) {
        let pulls = self.pulls.borrow();
        let wanted: Vec<Digest> = pulls.iter().map(|pull| pull.target.digest).collect();
        self.swarm.borrow_mut().set_wanted_versions(&wanted, self.clock.now());
        self.changed.notify_waiters();
    }

    /// Sets whether requests of callers use this host's link, which limits the chunk requests in flight.
    pub fn set_link_shared(&self, is_shared: bool) {
        self.swarm.borrow_mut().set_link_shared(is_shared);
    }

    /// Whether all chunks of the newest version are present.
    pub fn is_complete(&self) -> bool {
        self.pulls.borrow().last().is_some_and(Pull::is_complete)
    }

    /// The version of which all chunks are staged; `None` if there is none.
    pub fn loadable_version(&self) -> Option<Target> {
        let pulls = self.pulls.borrow();
        let staged = pulls.first().filter(|pull| pull.is_complete() && pull.buffered.is_empty())?;
        Some(staged.target.clone())
    }

    /// Download progress of the newest version; `None` until its manifest has been received.
    pub fn progress(&self) -> Option<DownloadProgress> {
        let pulls = self.pulls.borrow();
        let pull = pulls.last()?;
        let chunks = pull.chunks.as_ref()?;
        let elapsed = self.clock.now().since(pull.started_at);
        Some(DownloadProgress { chunks: chunks.have.len(), missing: chunks.missing(), elapsed })
    }

    /// The older of two versions, unless staging is locked.
    pub fn older_version(&self) -> Option<Target> {
        let pulls = self.pulls.borrow();
        let older = pulls.first().filter(|_| pulls.len() > 1 && !self.is_staging_locked.get())?;
        Some(older.target.clone())
    }

    /// The newest version, whether or not its manifest has been received.
    pub fn newest_version(&self) -> Option<Target> {
        self.pulls.borrow().last().map(|pull| pull.target.clone())
    }

    /// The download of a version; `None` if it is not wanted or its manifest has not been received.
    pub fn download_status(&self, target: &Target) -> Option<DownloadStatus> {
        self.swarm.borrow().status(target.digest, self.clock.now())
    }

    /// Whether a newer version is completely buffered in memory.
    pub fn is_newer_complete(&self) -> bool {
        let pulls = self.pulls.borrow();
        pulls.len() > 1 && pulls.last().is_some_and(Pull::is_complete)
    }

    /// Drops the older of two versions, once it is loaded or abandoned, and stages the chunks of the newer one.
    /// Has no effect while staging is locked.
    pub async fn drop_older_version(&self) {
        let digest = {
            let mut pulls = self.pulls.borrow_mut();
            if pulls.len() < 2 || self.is_staging_locked.get() {
                return;
            }
            pulls.remove(0);
            pulls[0].target.digest
        };
        self.update_wanted_versions();
        while let Some((target, index, bytes)) = self.next_buffered(digest) {
            if let Err(e) = self.stage_when_up(&target, index, bytes).await {
                // The verification before the load detects the missing chunk and requests it again.
                slog::warn!(self.log, "chunk staging failed"; "index" => index, "error" => e.as_str());
            }
            self.with_pull(digest, |pull| pull.buffered.remove(&index));
        }
    }

    fn next_buffered(&self, digest: Digest) -> Option<(Target, usize, Bytes)> {
        let pulls = self.pulls.borrow();
        let pull = pulls.first().filter(|pull| pull.target.digest == digest)?;
        let (index, bytes) = pull.buffered.first_key_value()?;
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

    /// Whether the chunks of a version are staged at the endpoint rather than buffered in memory.
    fn is_staged(&self, digest: Digest) -> bool {
        self.pulls.borrow().first().is_some_and(|pull| pull.target.digest == digest)
    }

    /// Verifies all staged chunks of a version against their digests, as chunks may become corrupt after they
    /// are staged. Corrupt chunks are requested again.
    pub async fn verify_staged(&self, target: &Target) -> Verification {
        let Some(chunks) = self.chunks_of(target.digest) else {
            return Verification::Unavailable;
        };
        let Some(have) = self.valid_staged(target).await else {
            return Verification::Unavailable;
        };
        let corrupt = have.iter().filter(|have| !**have).count();
        if corrupt == 0 {
            return Verification::Valid;
        }
        slog::warn!(self.log, "staged chunks are corrupt"; "version" => target.version, "bad" => corrupt);
        self.metrics.add("chunks_rotten", corrupt as u64);
        if self.is_staged(target.digest) {
            let others: Vec<Digest> = {
                let pulls = self.pulls.borrow();
                let all = pulls.iter().map(|pull| pull.target.digest);
                all.filter(|digest| *digest != target.digest).collect()
            };
            // The swarm has all chunks marked as present, so its state of this version is reset.
            self.swarm.borrow_mut().set_wanted_versions(&others, self.clock.now());
            self.update_wanted_versions();
            self.apply_manifest(target, chunks.chunk_len, chunks.digests, have);
        }
        Verification::Corrupt
    }

    /// Verifies all staged chunks of a version without requesting corrupt ones again.
    pub async fn check_staged(&self, target: &Target) -> Verification {
        match self.valid_staged(target).await {
            None => Verification::Unavailable,
            Some(valid) if valid.iter().all(|is_valid| *is_valid) => Verification::Valid,
            Some(_) => Verification::Corrupt,
        }
    }

    /// Which staged chunks of a version match their digests; `None` if the version is not staged or the endpoint
    /// does not answer.
    async fn valid_staged(&self, target: &Target) -> Option<Vec<bool>> {
        let chunks = self.chunks_of(target.digest).filter(|_| self.is_staged(target.digest))?;
        let mut valid = vec![false; chunks.digests.len()];
        for (index, digest) in chunks.digests.iter().enumerate() {
            match self.endpoint_client.staged_chunk(&target.model, index, *digest).await {
                Ok(_) => valid[index] = true,
                Err(EndpointCallError::Link(e)) => {
                    slog::info!(self.log, "reading staged chunks failed"; "index" => index,
                        "error" => e.as_str());
                    return None;
                }
                Err(_) => {}
            }
        }
        Some(valid)
    }

    fn apply_manifest(
        &self,
        target: &Target,
        chunk_len: u32,
        digests: Vec<Digest>,
        have: Vec<bool>,
    ) {
        let chunks = digests.iter().map(|digest| Chunk { digest: *digest, len: chunk_len });
        let manifest = Manifest { chunks: chunks.collect() };
        let present: HashMap<Digest, bool> =
            digests.iter().copied().zip(have.iter().copied()).collect();
        let is_present = |digest| present.get(&digest).copied().unwrap_or(false);
        let now = self.clock.now();
        self.swarm.borrow_mut().set_manifest_for(target.digest, &manifest, is_present, now);
        let chunks = Chunks { chunk_len, digests, have };
        self.with_pull(target.digest, |pull| pull.chunks = Some(chunks));
        self.changed.notify_waiters();
    }

    /// Requests missing chunks; runs until the process exits.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.update_cache_availability();
            let requests = {
                let mut rng = self.rng.borrow_mut();
                self.swarm.borrow_mut().step(self.clock.now(), &mut *rng)
            };
            for request in requests {
                spawn_local(self.clone().execute(request));
            }
            let is_idle = self.pulls.borrow().iter().all(Pull::is_complete);
            let wait = if is_idle { Duration::from_secs(1) } else { STEP_INTERVAL };
            let _ = timeout(wait, self.changed.notified()).await;
        }
    }
}
