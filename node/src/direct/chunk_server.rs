//! Hands out chunks of weights to the agents of an entry's region.
//!
//! An agent names the chunk by its digest and says which entry pulls it from the origin. The entry that is
//! asked takes it once, however many ask, checks it and keeps it.

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
use super::origin;
use super::origin::OriginError;
use super::peers;
use super::peers::PeerReply;
use super::peers::PeerRequest;
use super::staging::sha256;
use super::state::State;
use super::swarm::version_digest;

/// How long a request waits for a chunk that is on its way.
const WAIT: Duration = Duration::from_millis(500);

/// Time for the first reply to a request, which may wait that long.
pub const REPLY_WITHIN: Duration = Duration::from_millis(900);

/// Time for a chunk from the entry that pulls it, once it has begun to come.
const PULLER_WITHIN: Duration = Duration::from_secs(2);

/// Pause after a source that did not bring the chunk.
const FETCH_RETRY: Duration = Duration::from_millis(100);

/// Answers the request for a chunk on `stream`.
pub async fn serve(
    state: &Rc<State>,
    stream: &mut TcpStream,
    req: ChunkRequest,
) -> std::io::Result<()> {
    match find(state, &req).await {
        Ok(chunk) => {
            state.metrics.count("chunks_handed_out");
            peers::send_pieces(stream, &chunk, &state.chunks.out).await
        }
        Err(reply) => peers::write(stream, &reply).await,
    }
}

async fn find(state: &Rc<State>, req: &ChunkRequest) -> Result<Bytes, PeerReply> {
    let until = Instant::now() + WAIT;
    if !begin(state, req) {
        return Err(PeerReply::Busy);
    }
    if req.puller.is_none() {
        for (index, digest) in &req.next {
            let (index, digest) = (*index, *digest);
            begin(state, &ChunkRequest { index, digest, next: Vec::new(), ..req.clone() });
        }
    }
    loop {
        match state.chunks.content(req.digest) {
            Some(Content::Here(bytes)) => return Ok(bytes),
            Some(Content::Absent) => return Err(PeerReply::Absent),
            Some(Content::Awaited) | None => {}
        }
        if timeout_at(until, state.chunks.changed.notified()).await.is_err() {
            return Err(PeerReply::NotYet);
        }
    }
}

/// Notes a request and fetches the chunk unless it is here or on its way. False if there is no room for it.
fn begin(state: &Rc<State>, req: &ChunkRequest) -> bool {
    let is_new = state.chunks.note_request(req, state.now());
    if is_new == Some(true) {
        spawn_local(fetch(state.clone(), req.clone()));
    }
    is_new.is_some()
}

/// Takes a chunk from its source, as long as somebody asks for it.
async fn fetch(state: Rc<State>, req: ChunkRequest) {
    while state.chunks.is_wanted(req.digest, state.now()) {
        match fetch_once(&state, &req).await {
            Ok(content) => return state.chunks.set(req.digest, content),
            Err(NotFetched::Later) => {}
            Err(NotFetched::Failed) => sleep(FETCH_RETRY).await,
        }
    }
    state.chunks.forget(req.digest);
}

/// Why a chunk did not come.
enum NotFetched {
    /// The puller waits for it, or it is left for a newer version.
    Later,
    Failed,
}

async fn fetch_once(state: &State, req: &ChunkRequest) -> Result<Content, NotFetched> {
    if let Some(puller) = req.puller {
        match fetch_from_puller(state, puller, req).await {
            Ok(bytes) => return check(state, req, bytes),
            Err(NotFetched::Later) => return Err(NotFetched::Later),
            // A puller that is lost must not hold the chunk back.
            Err(NotFetched::Failed) => {}
        }
    } else if let Some(bytes) = fetch_from_holder(state, req).await {
        return check(state, req, bytes);
    }
    fetch_from_origin(state, req).await
}

/// The chunk, if it matches its digest.
fn check(state: &State, req: &ChunkRequest, bytes: Bytes) -> Result<Content, NotFetched> {
    if sha256(&bytes) == req.digest {
        return Ok(Content::Here(bytes));
    }
    state.metrics.count("chunks_corrupt");
    Err(NotFetched::Failed)
}

async fn fetch_from_puller(
    state: &State,
    puller: IpAddr,
    req: &ChunkRequest,
) -> Result<Bytes, NotFetched> {
    let address = SocketAddr::new(puller, state.cfg.agent_port);
    let hello = Hello::Chunk(ChunkRequest { puller: None, ..req.clone() });
    let intake = &state.chunks.intake;
    match peers::fetch_chunk(address, &hello, REPLY_WITHIN, PULLER_WITHIN, intake).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(PeerReply::NotYet)) => Err(NotFetched::Later),
        Ok(Err(_)) => Err(NotFetched::Failed),
        Err(e) => {
            slog::info!(state.log, "chunk not received"; "entry" => address.to_string(),
                "version" => req.version, "error" => e.as_str());
            Err(NotFetched::Failed)
        }
    }
}

/// Takes a chunk from a host whose endpoint has loaded the version: one that has been in use for long need
/// not leave the origin once more for a zone that has lost power.
async fn fetch_from_holder(state: &State, req: &ChunkRequest) -> Option<Bytes> {
    let holders = state.endpoints.borrow().holders(&req.model, req.version, state.now());
    let holder = state.with_rng(|rng| holders.choose(rng).copied())?;
    let address = SocketAddr::new(holder.ip(), state.cfg.agent_port);
    let version = version_digest(&req.model, req.version);
    let request = PeerRequest::Chunk { version, digest: req.digest, may_wait: false };
    let intake = &state.chunks.intake;
    let taken = peers::fetch_chunk(address, &request, REPLY_WITHIN, PULLER_WITHIN, intake).await;
    match taken {
        Ok(Ok(bytes)) if sha256(&bytes) == req.digest => {
            state.metrics.count("chunks_from_peers");
            Some(bytes)
        }
        // It holds another version by now, or is busy; the origin has the chunk.
        Ok(Err(PeerReply::Absent | PeerReply::Busy | PeerReply::NotYet)) => None,
        Ok(_) => {
            state.metrics.count("chunks_corrupt");
            None
        }
        Err(e) => {
            slog::info!(state.log, "chunk not received"; "entry" => address.to_string(),
                "version" => req.version, "error" => e.as_str());
            None
        }
    }
}

async fn fetch_from_origin(state: &State, req: &ChunkRequest) -> Result<Content, NotFetched> {
    let address = state.catalog.borrow().as_ref().and_then(|c| Some(c.origin()?.address));
    let address = address.ok_or(NotFetched::Failed)?;
    let _turn = state.chunks.from_origin.acquire().await.map_err(|_| NotFetched::Failed)?;
    if state.chunks.is_left(req.digest) {
        return Err(NotFetched::Later);
    }
    let path = origin_paths::chunk_path(&req.model, req.version, req.index as usize);
    match origin::fetch(address, &path).await {
        Ok(bytes) => {
            state.metrics.count("chunks_from_origin");
            state.metrics.add("origin_bytes", bytes.len() as u64);
            if state.chunks.is_origin_lost.replace(false) {
                slog::info!(state.log, "origin regained"; "version" => req.version);
            }
            check(state, req, bytes)
        }
        Err(e) => {
            state.metrics.count("origin_failures");
            if !state.chunks.is_origin_lost.replace(true) {
                slog::warn!(state.log, "origin lost"; "path" => path, "error" => e.as_str());
            }
            match e {
                OriginError::Refused(_) => Ok(Content::Absent),
                OriginError::Unreachable | OriginError::Silent => Err(NotFetched::Failed),
            }
        }
    }
}
