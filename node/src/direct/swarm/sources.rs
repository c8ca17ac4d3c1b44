//! Takes manifests and chunks from the origin, from entries and from peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Manifest;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::ids::Digest;
use mastichaven_core::manifest::Chunk;
use mastichaven_core::swarm::Destination;
use mastichaven_core::swarm::PeerId;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::RequestKind;
use mastichaven_core::swarm::RequestOutcome;
use mastichaven_core::swarm::topology::key_of;
use mastichaven_platform::origin as origin_paths;

use super::STEP;
use super::SwarmHost;
use super::pulls::Pull;
use super::pulls::Target;
use crate::direct::chunk_server;
use crate::direct::connection::ConnectionError;
use crate::direct::origin;
use crate::direct::origin::OriginError;
use crate::direct::peers;
use crate::direct::peers::PeerError;
use crate::direct::peers::PeerReply;
use crate::direct::peers::PeerRequest;
use crate::direct::staging;
use crate::direct::staging::StagingError;
use crate::direct::staging::sha256;

/// How long a chunk in hand waits for an endpoint that is starting.
const ENDPOINT_STARTS_WITHIN: Duration = Duration::from_secs(3);

impl SwarmHost {
    /// Carries out one request of the swarm and tells it how that ended.
    pub(super) async fn carry_out(self: Rc<Self>, request: Request) {
        let end = match (request.destination, request.kind) {
            (Destination::Origin, RequestKind::Manifest) => {
                self.manifest_from_origin(&request).await
            }
            (Destination::Origin, RequestKind::Chunk { digest, .. }) => {
                self.chunk_from_origin(&request, digest).await
            }
            (Destination::Origin, RequestKind::Have) => RequestOutcome::Absent,
            (Destination::Peer(id), _) => self.ask_peer(id, &request).await,
            (Destination::Cache, RequestKind::Chunk { digest, .. }) => {
                self.chunk_from_cache(&request, digest).await
            }
            (Destination::Cache, RequestKind::Manifest | RequestKind::Have) => {
                RequestOutcome::Absent
            }
        };
        self.swarm.borrow_mut().finish(request.flight, end, self.clock.now());
        self.changed.notify_waiters();
    }

    async fn ask_origin(&self, path: &str) -> std::result::Result<Bytes, RequestOutcome> {
        let Some(address) = self.origin.get() else {
            return Err(RequestOutcome::Deferred);
        };
        match origin::fetch(address, path).await {
            Ok(bytes) => {
                self.metrics.add("origin_bytes", bytes.len() as u64);
                Ok(bytes)
            }
            Err(OriginError::Unreachable) => Err(RequestOutcome::Unreachable),
            Err(OriginError::Silent) => Err(RequestOutcome::TimedOut),
            Err(OriginError::Refused(status)) => {
                slog::info!(self.log, "origin refused"; "path" => path, "status" => status);
                Err(RequestOutcome::Absent)
            }
        }
    }

    async fn manifest_from_origin(&self, request: &Request) -> RequestOutcome {
        let Some(target) = self.target_of(request.version) else {
            return RequestOutcome::Deferred;
        };
        let path = origin_paths::manifest_path(&target.model, target.version);
        match self.ask_origin(&path).await {
            Ok(body) => match origin_paths::parse_manifest(&body, target.version) {
                Some(found) => self.take_manifest(&target, found.chunk_len, found.digests).await,
                None => RequestOutcome::Corrupt,
            },
            Err(end) => end,
        }
    }

    /// Takes a version's digests in, after a look at which of its chunks are staged already.
    async fn take_manifest(
        &self,
        target: &Target,
        chunk_len: u32,
        digests: Vec<Digest>,
    ) -> RequestOutcome {
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
            return RequestOutcome::Deferred;
        }
        let here = have.iter().filter(|have| **have).count();
        slog::info!(self.log, "digests known"; "version" => target.version,
            "chunks" => digests.len(), "staged" => here);
        let chunks = digests.iter().map(|digest| Chunk { digest: *digest, len: chunk_len });
        let manifest = Manifest { chunks: chunks.collect() };
        self.open(target, chunk_len, digests, have);
        RequestOutcome::Manifest(manifest)
    }

    async fn chunk_from_origin(&self, request: &Request, digest: Digest) -> RequestOutcome {
        let Some((target, index)) = self.place_of(request.version, digest) else {
            return RequestOutcome::Deferred;
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

    async fn chunk_from_cache(&self, request: &Request, digest: Digest) -> RequestOutcome {
        let Some((target, index)) = self.place_of(request.version, digest) else {
            return RequestOutcome::Deferred;
        };
        let Some(route) = self.caches.borrow().route(digest, self.clock.now()) else {
            self.follow_caches();
            return RequestOutcome::Unreachable;
        };
        let hello = Hello::Chunk(ChunkRequest {
            model: target.model.clone(),
            version: target.version,
            index: index as u32,
            digest,
            puller: route.puller,
            next: self.pulled_next(request.version, digest),
        });
        let address = SocketAddr::new(route.entry, self.cache_port);
        let reply_within = chunk_server::REPLY_WITHIN;
        let (within, intake) = (request.timeout, &self.intake);
        match peers::fetch_chunk(address, &hello, reply_within, within, intake).await {
            Ok(Ok(bytes)) => {
                self.metrics.count("chunks_from_entries");
                self.take_chunk(&target, index, digest, bytes).await
            }
            Ok(Err(reply)) => end_of(Ok(reply)),
            Err(e) => {
                slog::info!(self.log, "chunk not received"; "entry" => address.to_string(),
                    "version" => target.version, "error" => e.as_str());
                self.caches.borrow_mut().record_failure(route.entry, self.clock.now());
                self.follow_caches();
                end_of(Err(e))
            }
        }
    }

    /// The other missing chunks that come through the same puller, for the first request through it.
    ///
    /// The puller takes them as fast as the origin sends, however slow this host is: the origin may be gone
    /// before all of the version was asked for.
    fn pulled_next(&self, version: Digest, digest: Digest) -> Vec<(u32, Digest)> {
        let puller = self.caches.borrow().puller(digest);
        let Some(puller) = puller.filter(|ip| {
            self.with_pull(version, |pull| pull.asked_pullers.insert(*ip)) == Some(true)
        }) else {
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
    pub(super) fn place_of(&self, version: Digest, digest: Digest) -> Option<(Target, usize)> {
        let index_of = |pull: &mut Pull| {
            let index = pull.chunks.as_ref()?.index_of(digest)?;
            Some((pull.target.clone(), index))
        };
        self.with_pull(version, index_of).flatten()
    }

    async fn take_chunk(
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
            if let Err(e) = self.stage(target, index, bytes).await {
                slog::warn!(self.log, "chunk not staged"; "index" => index, "error" => e.as_str());
                return RequestOutcome::Deferred;
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
            Some(()) => RequestOutcome::Stored,
            None => RequestOutcome::Deferred,
        }
    }

    /// Stages a chunk, waiting for an endpoint that is not up yet: it starts about a second after its
    /// agent, and the link would carry the chunk twice if it were dropped.
    pub(super) async fn stage(
        &self,
        target: &Target,
        index: usize,
        bytes: Bytes,
    ) -> staging::Result<()> {
        let began = self.clock.now();
        loop {
            let staged = self.staging.stage(&target.model, index, bytes.clone()).await;
            let is_down = staged == Err(StagingError::Link(ConnectionError::NotSent));
            let is_wanted = self.is_staged(target.digest);
            if !is_down || !is_wanted || self.clock.now().passed(began, ENDPOINT_STARTS_WITHIN) {
                return staged;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    async fn ask_peer(&self, id: PeerId, request: &Request) -> RequestOutcome {
        let host = self.swarm.borrow().location(id).host.clone();
        let Some(address) = self.addresses.borrow().get(&host).copied() else {
            return RequestOutcome::Unreachable;
        };
        let version = request.version;
        let req = match request.kind {
            RequestKind::Have => PeerRequest::Have { version },
            RequestKind::Manifest => PeerRequest::Manifest { version },
            RequestKind::Chunk { digest, long_poll, .. } => {
                return self.chunk_from_peer(address, request, digest, long_poll).await;
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
                    Some(target) => self.take_manifest(&target, chunk_len, digests).await,
                    None => RequestOutcome::Deferred,
                }
            }
            (reply, _) => end_of(reply),
        }
    }

    async fn chunk_from_peer(
        &self,
        address: SocketAddr,
        request: &Request,
        digest: Digest,
        park: bool,
    ) -> RequestOutcome {
        let Some((target, index)) = self.place_of(request.version, digest) else {
            return RequestOutcome::Deferred;
        };
        let req = PeerRequest::Chunk { version: request.version, digest, may_wait: park };
        let within = request.timeout;
        match peers::fetch_chunk(address, &req, within, within, &self.intake).await {
            Ok(Ok(bytes)) => {
                self.metrics.count("chunks_from_peers");
                self.take_chunk(&target, index, digest, bytes).await
            }
            Ok(Err(reply)) => end_of(Ok(reply)),
            Err(e) => end_of(Err(e)),
        }
    }
}

/// How a request ended that brought nothing.
fn end_of(reply: peers::Result<PeerReply>) -> RequestOutcome {
    match reply {
        Ok(PeerReply::Busy) => RequestOutcome::Busy,
        Ok(PeerReply::NotYet) => RequestOutcome::Pending,
        Ok(PeerReply::Absent) => RequestOutcome::Absent,
        Ok(PeerReply::Have { .. } | PeerReply::Manifest { .. } | PeerReply::ChunkFollows(_)) => {
            RequestOutcome::Corrupt
        }
        Err(PeerError::Unreachable) => RequestOutcome::Unreachable,
        Err(PeerError::NoReply) => RequestOutcome::TimedOut,
    }
}
