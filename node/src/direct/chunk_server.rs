//! Serves chunks of weights to the agents of an entry's region.
//!
//! A request contains the digest of the chunk and the entry that pulls it from the origin. The requested entry
//! fetches each chunk once regardless of the number of requests, verifies it and caches it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::Hello;
use mastichaven_platform::origin as origin_paths;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::chunk_cache::Content;
use super::endpoint_client::sha256;
use super::origin;
use super::origin::OriginError;
use super::peers;
use super::peers::PeerReply;
use super::peers::PeerRequest;
use super::state::State;
use super::swarm::version_digest;

/// Maximum time for which a request waits for a pending chunk.
const CHUNK_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the first reply to a request, longer than the time for which the server may hold the request.
pub const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of the transfer of a chunk from another host, after the first reply.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a failed fetch is retried.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Replies to a chunk request on `stream` with the chunk or the reason why there is none.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn serve(
    state: &Rc<State>,
    stream: &mut TcpStream,
    req: ChunkRequest,
) -> std::io::Result<()> {
    match wait_for_chunk(state, &req).await {
        Ok(chunk) => {
            state.metrics.count("chunks_handed_out");
            peers::send_pieces(stream, &chunk, &state.chunks.upload_slots).await
        }
        Err(reply) => peers::write(stream, &reply).await,
    }
}

async fn wait_for_chunk(state: &Rc<State>, req: &ChunkRequest) -> Result<Bytes, PeerReply> {
    let deadline = Instant::now() + CHUNK_WAIT_TIMEOUT;
    if !ensure_fetch(state, req) {
        return Err(PeerReply::Busy);
    }
    if req.puller.is_none() {
        for (index, digest) in &req.next {
            let (index, digest) = (*index, *digest);
            let (next, holders) = (Vec::new(), Vec::new());
            ensure_fetch(state, &ChunkRequest { index, digest, next, holders, ..req.clone() });
        }
    }
    loop {
        match state.chunks.content(req.digest) {
            Some(Content::Available(bytes)) => return Ok(bytes),
            Some(Content::Absent) => return Err(PeerReply::Absent),
            Some(Content::Pending) | None => {}
        }
        if timeout_at(deadline, state.chunks.changed.notified()).await.is_err() {
            return Err(PeerReply::NotYet);
        }
    }
}

/// Records a request and starts fetching the chunk unless it is available or pending. Returns false if the
/// cache is full.
fn ensure_fetch(state: &Rc<State>, req: &ChunkRequest) -> bool {
    let is_new = state.chunks.record_request(req, state.now());
    if is_new == Some(true) {
        spawn_local(fetch(state.clone(), req.clone()));
    }
    is_new.is_some()
}

/// Fetches a chunk from its sources, with retries while it is requested.
async fn fetch(state: Rc<State>, req: ChunkRequest) {
    while state.chunks.is_wanted(req.digest, state.now()) {
        match fetch_once(&state, &req).await {
            Ok(content) => return state.chunks.set_content(req.digest, content),
            Err(ChunkFetchError::Deferred) => {}
            Err(ChunkFetchError::Failed) => sleep(FETCH_RETRY_DELAY).await,
        }
    }
    state.chunks.remove(req.digest);
}

/// Why a chunk was not fetched.
enum ChunkFetchError {
    /// The puller does not have it yet, or it is abandoned in favour of a newer version.
    Deferred,
    Failed,
}

async fn fetch_once(state: &State, req: &ChunkRequest) -> Result<Content, ChunkFetchError> {
    if let Some(puller) = req.puller {
        match fetch_from_puller(state, puller, req).await {
            Ok(bytes) => return verify(state, req, bytes),
            Err(ChunkFetchError::Deferred) => return Err(ChunkFetchError::Deferred),
            // If the puller fails, the chunk is fetched from the origin instead.
            Err(ChunkFetchError::Failed) => {}
        }
    } else if let Some(bytes) = fetch_from_host(state, req).await {
        return verify(state, req, bytes);
    }
    fetch_from_origin(state, req).await
}

/// Returns the chunk if it matches its digest.
fn verify(state: &State, req: &ChunkRequest, bytes: Bytes) -> Result<Content, ChunkFetchError> {
    if sha256(&bytes) == req.digest {
        return Ok(Content::Available(bytes));
    }
    state.metrics.count("chunks_corrupt");
    Err(ChunkFetchError::Failed)
}

async fn fetch_from_puller(
    state: &State,
    puller: IpAddr,
    req: &ChunkRequest,
) -> Result<Bytes, ChunkFetchError> {
    let address = SocketAddr::new(puller, state.cfg.agent_port);
    let hello = Hello::Chunk(ChunkRequest { puller: None, ..req.clone() });
    let slots = &state.chunks.download_slots;
    match peers::fetch_chunk(address, &hello, FIRST_REPLY_TIMEOUT, TRANSFER_TIMEOUT, slots).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(PeerReply::NotYet)) => Err(ChunkFetchError::Deferred),
        Ok(Err(_)) => Err(ChunkFetchError::Failed),
        Err(e) => {
            slog::info!(state.log, "chunk request failed"; "entry" => address.to_string(),
                "version" => req.version, "error" => e.as_str());
            Err(ChunkFetchError::Failed)
        }
    }
}

/// Fetches a chunk from a host whose endpoint has loaded the version, or from one that the request names as its
/// holder. A version that hosts have need not be transferred from the origin again after a zone has lost power or
/// this entry has restarted.
async fn fetch_from_host(state: &State, req: &ChunkRequest) -> Option<Bytes> {
    let holders = state.endpoints.borrow().holders(&req.model, req.version, state.now());
    let loaded = state.with_rng(|rng| holders.choose(rng).copied());
    let staged = || state.with_rng(|rng| req.holders.choose(rng).copied());
    let address = match loaded {
        Some(holder) => SocketAddr::new(holder.ip(), state.cfg.agent_port),
        None => staged()?,
    };
    let version = version_digest(&req.model, req.version);
    let request = PeerRequest::Chunk { version, digest: req.digest, may_wait: false };
    let slots = &state.chunks.download_slots;
    let result =
        peers::fetch_chunk(address, &request, FIRST_REPLY_TIMEOUT, TRANSFER_TIMEOUT, slots).await;
    match result {
        Ok(Ok(bytes)) if sha256(&bytes) == req.digest => {
            state.metrics.count("chunks_from_peers");
            Some(bytes)
        }
        // The host has loaded another version or is busy; the chunk is fetched from the origin.
        Ok(Err(PeerReply::Absent | PeerReply::Busy | PeerReply::NotYet)) => None,
        Ok(_) => {
            state.metrics.count("chunks_corrupt");
            None
        }
        Err(e) => {
            slog::info!(state.log, "chunk request failed"; "entry" => address.to_string(),
                "version" => req.version, "error" => e.as_str());
            None
        }
    }
}

async fn fetch_from_origin(state: &State, req: &ChunkRequest) -> Result<Content, ChunkFetchError> {
    let address = state.catalog.borrow().as_ref().and_then(|c| Some(c.origin()?.address));
    let address = address.ok_or(ChunkFetchError::Failed)?;
    let _permit = state.chunks.origin_slots.acquire().await.map_err(|_| ChunkFetchError::Failed)?;
    if state.chunks.is_abandoned(req.digest) {
        return Err(ChunkFetchError::Deferred);
    }
    let path = origin_paths::chunk_path(&req.model, req.version, req.index as usize);
    match origin::fetch(address, &path).await {
        Ok(bytes) => {
            state.metrics.count("chunks_from_origin");
            state.metrics.add("origin_bytes", bytes.len() as u64);
            if state.chunks.is_origin_failing.replace(false) {
                slog::info!(state.log, "origin recovered"; "version" => req.version);
            }
            verify(state, req, bytes)
        }
        Err(e) => {
            state.metrics.count("origin_failures");
            if !state.chunks.is_origin_failing.replace(true) {
                slog::warn!(state.log, "origin request failed"; "path" => path, "error" => e.as_str());
            }
            match e {
                OriginError::Refused(_) => Ok(Content::Absent),
                OriginError::Unreachable | OriginError::NoReply => Err(ChunkFetchError::Failed),
            }
        }
    }
}
