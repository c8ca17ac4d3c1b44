//! Fetches manifests and chunks from the origin, entries and peers.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Manifest;
use mastichaven_core::direct::load_orders::StagingWrites;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::MAX_HOLDERS;
use mastichaven_core::ids::Digest;
use mastichaven_core::manifest::Chunk;
use mastichaven_core::swarm::Destination;
use mastichaven_core::swarm::PeerId;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::RequestKind;
use mastichaven_core::swarm::RequestOutcome;
use mastichaven_core::swarm::topology::key_of;
use mastichaven_platform::origin as origin_paths;

use super::STEP_INTERVAL;
use super::SwarmDriver;
use super::pulls::Pull;
use super::pulls::Target;
use crate::direct::chunk_server;
use crate::direct::connection::ConnectionError;
use crate::direct::endpoint_client;
use crate::direct::endpoint_client::EndpointCallError;
use crate::direct::endpoint_client::sha256;
use crate::direct::origin;
use crate::direct::origin::OriginError;
use crate::direct::peers;
use crate::direct::peers::PeerError;
use crate::direct::peers::PeerReply;
use crate::direct::peers::PeerRequest;

/// Time for which staging a received chunk is retried while the endpoint is starting.
const ENDPOINT_START_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of chunks that a request names for its puller to fetch next; more do not fit into a request.
const MAX_PREFETCHED: usize = 1_500;

impl SwarmDriver {
    /// Executes a request of the swarm and passes the outcome to it.
    pub(super) async fn execute(self: Rc<Self>, request: Request) {
        let outcome = match (request.destination, request.kind) {
            (Destination::Origin, RequestKind::Manifest) => {
                self.fetch_manifest_from_origin(&request).await
            }
            (Destination::Origin, RequestKind::Chunk { digest, .. }) => {
                self.fetch_chunk_from_origin(&request, digest).await
            }
            (Destination::Origin, RequestKind::Have) => RequestOutcome::Absent,
            (Destination::Peer(id), _) => self.request_from_peer(id, &request).await,
            (Destination::Cache, RequestKind::Chunk { digest, .. }) => {
                self.fetch_chunk_from_cache(&request, digest).await
            }
            (Destination::Cache, RequestKind::Manifest | RequestKind::Have) => {
                RequestOutcome::Absent
            }
        };
        self.swarm.borrow_mut().finish(request.flight, outcome, self.clock.now());
        self.changed.notify_waiters();
    }

    async fn fetch_from_origin(&self, path: &str) -> std::result::Result<Bytes, RequestOutcome> {
        let Some(address) = self.origin.get() else {
            return Err(RequestOutcome::Deferred);
        };
        match origin::fetch(address, path).await {
            Ok(bytes) => {
                self.metrics.add("origin_bytes", bytes.len() as u64);
                Ok(bytes)
            }
            Err(OriginError::Unreachable) => Err(RequestOutcome::Unreachable),
            Err(OriginError::NoReply) => Err(RequestOutcome::TimedOut),
            Err(OriginError::Refused(status)) => {
                slog::info!(self.log, "origin refused request"; "path" => path, "status" => status);
                Err(RequestOutcome::Absent)
            }
        }
    }

    async fn fetch_manifest_from_origin(&self, request: &Request) -> RequestOutcome {
        let Some(target) = self.target_of(request.version) else {
            return RequestOutcome::Deferred;
        };
        let path = origin_paths::manifest_path(&target.model, target.version);
        match self.fetch_from_origin(&path).await {
            Ok(body) => match origin_paths::parse_manifest(&body, target.version) {
                Some(found) => self.receive_manifest(&target, found.chunk_len, found.digests).await,
                None => RequestOutcome::Corrupt,
            },
            Err(outcome) => outcome,
        }
    }

    /// Applies the manifest of a version after verifying which of its chunks are already staged.
    async fn receive_manifest(
        &self,
        target: &Target,
        chunk_len: u32,
        digests: Vec<Digest>,
    ) -> RequestOutcome {
        let staged = match self.endpoint_client.staged_indices(&target.model).await {
            Ok(staged) if self.is_staged(target.digest) => staged,
            Ok(_) => Vec::new(),
            Err(e) => {
                slog::warn!(self.log, "listing staged chunks failed"; "error" => e.as_str());
                Vec::new()
            }
        };
        let mut have = vec![false; digests.len()];
        for index in staged.into_iter().filter(|index| *index < digests.len()) {
            have[index] = self
                .endpoint_client
                .staged_chunk(&target.model, index, digests[index])
                .await
                .is_ok();
        }
        if self.target_of(target.digest).is_none() {
            return RequestOutcome::Deferred;
        }
        let present = have.iter().filter(|have| **have).count();
        slog::info!(self.log, "manifest received"; "version" => target.version,
            "chunks" => digests.len(), "staged" => present);
        let chunks = digests.iter().map(|digest| Chunk { digest: *digest, len: chunk_len });
        let manifest = Manifest { chunks: chunks.collect() };
        self.apply_manifest(target, chunk_len, digests, have);
        RequestOutcome::Manifest(manifest)
    }

    async fn fetch_chunk_from_origin(&self, request: &Request, digest: Digest) -> RequestOutcome {
        let Some((target, index)) = self.locate_chunk(request.version, digest) else {
            return RequestOutcome::Deferred;
        };
        let path = origin_paths::chunk_path(&target.model, target.version, index);
        match self.fetch_from_origin(&path).await {
            Ok(bytes) => {
                self.metrics.count("chunks_from_origin");
                self.store_chunk(&target, index, digest, bytes).await
            }
            Err(outcome) => outcome,
        }
    }

    async fn fetch_chunk_from_cache(&self, request: &Request, digest: Digest) -> RequestOutcome {
        let Some((target, index)) = self.locate_chunk(request.version, digest) else {
            return RequestOutcome::Deferred;
        };
        let Some(route) = self.caches.borrow().route(digest, self.clock.now()) else {
            self.update_cache_availability();
            return RequestOutcome::Unreachable;
        };
        let next = self.prefetch_list(request.version, digest);
        let has_prefetch_list = !next.is_empty();
        let hello = Hello::Chunk(ChunkRequest {
            model: target.model.clone(),
            version: target.version,
            index: index as u32,
            digest,
            puller: route.puller,
            next,
            holders: self.holders_of(request.version, digest),
        });
        let entry = route.entry;
        let address = SocketAddr::new(entry, self.cache_port);
        let reply_timeout = chunk_server::FIRST_REPLY_TIMEOUT;
        let (transfer_timeout, download_slots) = (request.timeout, &self.download_slots);
        match peers::fetch_chunk(address, &hello, reply_timeout, transfer_timeout, download_slots)
            .await
        {
            Ok(Ok(bytes)) => {
                self.metrics.count("chunks_from_entries");
                let outcome = self.store_chunk(&target, index, digest, bytes).await;
                if outcome == RequestOutcome::Corrupt {
                    self.record_chunk_failure(entry, digest);
                }
                outcome
            }
            Ok(Err(reply)) => {
                if matches!(reply, PeerReply::Absent | PeerReply::Busy) {
                    self.record_chunk_failure(entry, digest);
                }
                outcome_of(Ok(reply))
            }
            Err(e) => {
                slog::info!(self.log, "chunk request failed"; "entry" => address.to_string(),
                    "version" => target.version, "error" => e.as_str());
                self.caches.borrow_mut().record_failure(entry, self.clock.now());
                self.update_cache_availability();
                if has_prefetch_list {
                    self.forget_prefetch_list(request.version, digest);
                }
                outcome_of(Err(e))
            }
        }
    }

    fn record_chunk_failure(&self, entry: IpAddr, digest: Digest) {
        self.caches.borrow_mut().record_chunk_failure(entry, digest, self.clock.now());
    }

    /// Addresses of neighbours that have a chunk.
    fn holders_of(&self, version: Digest, digest: Digest) -> Vec<SocketAddr> {
        let swarm = self.swarm.borrow();
        let addresses = self.addresses.borrow();
        let holders = swarm.holders(version, digest, MAX_HOLDERS).into_iter();
        holders.filter_map(|id| addresses.get(&swarm.location(id).host).copied()).collect()
    }

    /// Has the list of chunks to prefetch sent to the puller of a chunk again, as it may not have arrived.
    fn forget_prefetch_list(&self, version: Digest, digest: Digest) {
        let puller = self.caches.borrow().puller(digest);
        if let Some(puller) = puller {
            self.with_pull(version, |pull| pull.prefetch_pullers.remove(&puller));
        }
    }

    /// The other missing chunks that the puller of this chunk is assigned; empty except for the first request
    /// that goes through this puller.
    ///
    /// The puller prefetches them at the speed of the origin, however slow this host is. Otherwise the origin
    /// might become unavailable before all chunks of the version have been requested.
    fn prefetch_list(&self, version: Digest, digest: Digest) -> Vec<(u32, Digest)> {
        let puller = self.caches.borrow().puller(digest);
        let Some(puller) = puller.filter(|ip| {
            self.with_pull(version, |pull| pull.prefetch_pullers.insert(*ip)) == Some(true)
        }) else {
            return Vec::new();
        };
        let chunks = self.chunks_of(version).unwrap_or_default();
        let caches = self.caches.borrow();
        let is_same_puller = |(index, other): &(usize, &Digest)| {
            !chunks.have[*index] && **other != digest && caches.puller(**other) == Some(puller)
        };
        let next = chunks.digests.iter().enumerate().filter(is_same_puller);
        let mut next: Vec<(u32, Digest)> =
            next.map(|(index, digest)| (index as u32, *digest)).collect();
        next.sort_unstable_by_key(|(_, digest)| key_of(*digest));
        next.truncate(MAX_PREFETCHED);
        next
    }

    /// The version and the index of a chunk; `None` if the version is not wanted or its manifest is missing.
    pub(super) fn locate_chunk(&self, version: Digest, digest: Digest) -> Option<(Target, usize)> {
        let index_of = |pull: &mut Pull| {
            let index = pull.chunks.as_ref()?.index_of(digest)?;
            Some((pull.target.clone(), index))
        };
        self.with_pull(version, index_of).flatten()
    }

    async fn store_chunk(
        &self,
        target: &Target,
        index: usize,
        digest: Digest,
        bytes: Bytes,
    ) -> RequestOutcome {
        if sha256(&bytes) != digest {
            self.metrics.count("chunks_corrupt");
            return RequestOutcome::Corrupt;
        }
        if self.is_staged(target.digest) {
            if let Err(e) = self.stage_when_up(target, index, bytes).await {
                slog::warn!(self.log, "chunk staging failed"; "index" => index, "error" => e.as_str());
                return RequestOutcome::Deferred;
            }
        } else {
            self.with_pull(target.digest, |pull| pull.buffered.insert(index, bytes));
        }
        let now = self.clock.now();
        let mark_present = |pull: &mut Pull| {
            let Some(chunks) = &mut pull.chunks else {
                return;
            };
            let is_new = !std::mem::replace(&mut chunks.have[index], true);
            if is_new && chunks.missing() == 0 {
                slog::info!(self.log, "download complete"; "version" => target.version,
                    "took_ms" => now.since(pull.started_at).as_millis() as u64);
            }
        };
        match self.with_pull(target.digest, mark_present) {
            Some(()) => RequestOutcome::Stored,
            None => RequestOutcome::Deferred,
        }
    }

    /// Stages a chunk, retrying while the endpoint is not up: it starts about a second after its agent, and
    /// a chunk that is dropped would have to be transferred again.
    pub(super) async fn stage_when_up(
        &self,
        target: &Target,
        index: usize,
        bytes: Bytes,
    ) -> endpoint_client::Result<()> {
        let started_at = self.clock.now();
        loop {
            self.update_staging_writes(StagingWrites::begin);
            let staged =
                self.endpoint_client.stage_chunk(&target.model, index, bytes.clone()).await;
            let is_down = staged == Err(EndpointCallError::Link(ConnectionError::NotSent));
            let has_response = is_down || !matches!(staged, Err(EndpointCallError::Link(_)));
            self.update_staging_writes(|writes| writes.finish(has_response));
            let is_wanted = self.is_staged(target.digest);
            if !is_down || !is_wanted || self.clock.now().passed(started_at, ENDPOINT_START_TIMEOUT)
            {
                return staged;
            }
            tokio::time::sleep(STEP_INTERVAL).await;
        }
    }

    fn update_staging_writes(&self, update: impl FnOnce(&mut StagingWrites)) {
        let mut writes = self.staging_writes.get();
        update(&mut writes);
        self.staging_writes.set(writes);
    }

    async fn request_from_peer(&self, id: PeerId, request: &Request) -> RequestOutcome {
        let host = self.swarm.borrow().location(id).host.clone();
        let Some(address) = self.addresses.borrow().get(&host).copied() else {
            return RequestOutcome::Unreachable;
        };
        let version = request.version;
        let req = match request.kind {
            RequestKind::Have => PeerRequest::Have { version },
            RequestKind::Manifest => PeerRequest::Manifest { version },
            RequestKind::Chunk { digest, long_poll, .. } => {
                return self.fetch_chunk_from_peer(address, request, digest, long_poll).await;
            }
        };
        match (peers::request(address, &req, request.timeout).await, request.kind) {
            (Ok(PeerReply::Have { map, queue }), RequestKind::Have) => {
                let now = self.clock.now();
                self.swarm.borrow_mut().record_availability(id, version, map, queue, now);
                RequestOutcome::MapReceived
            }
            (Ok(PeerReply::Manifest { chunk_len, digests }), RequestKind::Manifest) => {
                match self.target_of(request.version) {
                    Some(target) => self.receive_manifest(&target, chunk_len, digests).await,
                    None => RequestOutcome::Deferred,
                }
            }
            (reply, _) => outcome_of(reply),
        }
    }

    async fn fetch_chunk_from_peer(
        &self,
        address: SocketAddr,
        request: &Request,
        digest: Digest,
        may_wait: bool,
    ) -> RequestOutcome {
        let Some((target, index)) = self.locate_chunk(request.version, digest) else {
            return RequestOutcome::Deferred;
        };
        let req = PeerRequest::Chunk { version: request.version, digest, may_wait };
        let timeout = request.timeout;
        match peers::fetch_chunk(address, &req, timeout, timeout, &self.download_slots).await {
            Ok(Ok(bytes)) => {
                self.metrics.count("chunks_from_peers");
                self.store_chunk(&target, index, digest, bytes).await
            }
            Ok(Err(reply)) => outcome_of(Ok(reply)),
            Err(e) => outcome_of(Err(e)),
        }
    }
}

/// Outcome of a request that returned no data.
fn outcome_of(reply: peers::Result<PeerReply>) -> RequestOutcome {
    match reply {
        Ok(PeerReply::Busy) => RequestOutcome::Busy,
        Ok(PeerReply::NotYet) => RequestOutcome::Pending,
        // Sent without a wait, so the next request must be delayed.
        Ok(PeerReply::Absent) => RequestOutcome::Absent,
        Ok(PeerReply::Have { .. } | PeerReply::Manifest { .. } | PeerReply::ChunkFollows(_)) => {
            RequestOutcome::Corrupt
        }
        Err(PeerError::Unreachable) => RequestOutcome::Unreachable,
        Err(PeerError::NoReply) => RequestOutcome::TimedOut,
    }
}
