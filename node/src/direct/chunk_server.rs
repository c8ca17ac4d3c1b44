//! Serves chunks of weights to the agents of an entry's region.
//!
//! A request contains the digest of the chunk, the entries that may pull it from the origin and agents that have it.
//! The requested entry fetches each chunk once regardless of the number of requests, verifies it and caches it.

mod sources;

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::direct::pullers;
use mastichaven_core::direct::pullers::Search;
use mastichaven_core::direct::pullers::Step;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::ChunkSender;
use mastichaven_core::ids::Digest;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use self::sources::SourceError;
use super::chunk_cache::Content;
use super::chunk_cache::Outlook;
use super::peers;
use super::peers::PeerReply;
use super::state::State;

/// Maximum time for which a request of an agent waits for a pending chunk.
const CHUNK_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a request of an entry waits for a pending chunk. Together with the round trip between two
/// regions, it is well below the time after which that entry takes this one for silent.
const RELAYED_WAIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of the first reply to a request, longer than the time for which the server may hold the request.
pub const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before a puller that is fetching a chunk, and replies at once, is asked for it again.
const PENDING_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before a chunk that arrived damaged is fetched again, doubled each time up to the maximum. If the origin's
/// copy is damaged, each attempt costs as much as a chunk that is needed.
const CORRUPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_CORRUPT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Interval at which a chunk whose sources fail looks for a source again.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which an agent that has the chunk is asked for it.
const HOLDER_INTERVAL: Duration = Duration::from_millis(500);

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
            if req.sender != ChunkSender::Observer {
                state.metrics.count("chunks_handed_out");
            }
            peers::send_pieces(stream, &chunk, &state.chunks.upload_slots).await
        }
        Err(reply) => peers::write(stream, &reply).await,
    }
}

async fn wait_for_chunk(state: &Rc<State>, req: &ChunkRequest) -> Result<Bytes, PeerReply> {
    let wait_timeout = match req.sender {
        ChunkSender::Agent => CHUNK_WAIT_TIMEOUT,
        ChunkSender::Entry => RELAYED_WAIT_TIMEOUT,
        ChunkSender::Puller | ChunkSender::Observer => Duration::ZERO,
    };
    let deadline = Instant::now() + wait_timeout;
    if req.sender != ChunkSender::Observer {
        if !ensure_fetch(state, req) {
            return Err(PeerReply::Busy);
        }
        prefetch(state, req);
    }
    loop {
        let changed = state.chunks.changed.notified();
        match state.chunks.content(req.digest) {
            Some(Content::Available(bytes)) => return Ok(bytes),
            Some(Content::Absent) => return Err(PeerReply::Absent),
            None if req.sender == ChunkSender::Observer => return Err(PeerReply::Absent),
            Some(Content::Pending) | None => {}
        }
        // The observer may be the one for which this entry waits.
        let is_waiting = state.chunks.outlook(req.digest) == Outlook::Coming;
        if req.sender == ChunkSender::Observer && is_waiting {
            return Err(PeerReply::Absent);
        }
        if req.sender != ChunkSender::Agent && is_failing(state, req) {
            return Err(PeerReply::OriginFailing);
        }
        if wait_timeout.is_zero() || timeout_at(deadline, changed).await.is_err() {
            return Err(PeerReply::NotYet);
        }
    }
}

/// Whether no source can provide a pending chunk at the moment. A later puller must not be told to wait for a chunk for
/// which this entry waits for a later puller: they would wait for each other.
fn is_failing(state: &State, req: &ChunkRequest) -> bool {
    match state.chunks.outlook(req.digest) {
        Outlook::ComingFromLater => req.sender == ChunkSender::Puller,
        Outlook::Failing => true,
        Outlook::Unknown => state.chunks.origin_path.get().is_failing(state.now()),
        Outlook::Coming => false,
    }
}

/// Starts fetching the other chunks of a request whose first available puller is this entry.
fn prefetch(state: &Rc<State>, req: &ChunkRequest) {
    if req.puller.is_some() {
        return;
    }
    for (index, digest) in &req.next {
        let (index, digest) = (*index, *digest);
        let (next, holders) = (Vec::new(), Vec::new());
        let req = ChunkRequest { index, digest, next, holders, ..req.clone() };
        let (pullers, path) = (state.chunks.pullers.borrow(), state.chunks.origin_path.get());
        let is_first = new_search(state, &req).is_first(&pullers, &path, state.now());
        drop(pullers);
        // A full cache refuses the chunk; it is fetched once it is requested.
        if is_first && !ensure_fetch(state, &req) {
            return;
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

fn new_search(state: &State, req: &ChunkRequest) -> Search {
    let candidates: Vec<IpAddr> = match req.pullers.as_slice() {
        [] => req.puller.into_iter().collect(),
        pullers => pullers.to_vec(),
    };
    let order = pullers::order(&candidates, req.digest);
    let is_relayed = req.sender != ChunkSender::Agent;
    Search::new(order, state.cfg.ip, region_rank(state, req.digest), is_relayed)
}

fn region_rank(state: &State, digest: Digest) -> u32 {
    let mut regions: Vec<_> = state.cfg.regions.values().collect();
    regions.sort_unstable();
    regions.dedup();
    let own = state.cfg.region();
    let region = regions.iter().position(|region| **region == own).unwrap_or_default();
    pullers::region_rank(region, regions.len(), digest)
}

/// Fetches a chunk from its sources, with retries while it is requested.
async fn fetch(state: Rc<State>, req: ChunkRequest) {
    let chunks = &state.chunks;
    let mut search = new_search(&state, &req);
    let mut holder_asked_at = None;
    let mut corrupt_delay = CORRUPT_RETRY_DELAY;
    while chunks.is_wanted(req.digest, state.now()) {
        search.set_relayed(chunks.is_relayed(req.digest));
        if holder_asked_at.is_none_or(|at| state.now().passed(at, HOLDER_INTERVAL)) {
            holder_asked_at = Some(state.now());
            if let Some(bytes) = sources::fetch_from_holder(&state, &req).await {
                return chunks.set_content(req.digest, Content::Available(bytes));
            }
        }
        match fetch_once(&state, &req, &mut search).await {
            Ok(content) => return chunks.set_content(req.digest, content),
            Err(SourceError::Corrupt) => {
                // Another path may deliver it intact.
                chunks.set_outlook(req.digest, Outlook::Failing);
                sleep(corrupt_delay).await;
                corrupt_delay = (corrupt_delay * 2).min(MAX_CORRUPT_RETRY_DELAY);
            }
            Err(SourceError::Pending) => search.restart(),
            Err(SourceError::Failed | SourceError::Unwanted) => {}
        }
    }
    chunks.remove(req.digest);
}

/// Fetches a chunk from the pullers after this one, which may have taken over while this entry was down. Returns `None`
/// if none of them has or requests it.
///
/// # Errors
///
/// Returns [`SourceError::Pending`] if one of them requests it from the origin.
async fn fetch_from_later(
    state: &State,
    req: &ChunkRequest,
    search: &Search,
) -> Result<Option<Bytes>, SourceError> {
    for puller in search.later() {
        let (now, path) = (state.now(), state.chunks.origin_path.get());
        if state.chunks.pullers.borrow().is_skipped(*puller, &path, now) {
            continue;
        }
        match sources::fetch_from_puller(state, *puller, &[], ChunkSender::Observer, req).await {
            Ok(bytes) => return Ok(Some(bytes)),
            Err(SourceError::Pending) => {
                state.chunks.set_outlook(req.digest, Outlook::ComingFromLater);
                sleep(PENDING_RETRY_DELAY).await;
                return Err(SourceError::Pending);
            }
            Err(SourceError::Failed | SourceError::Corrupt | SourceError::Unwanted) => {}
        }
    }
    Ok(None)
}

/// Takes the next step of a search.
async fn fetch_once(
    state: &Rc<State>,
    req: &ChunkRequest,
    search: &mut Search,
) -> Result<Content, SourceError> {
    let (now, path) = (state.now(), state.chunks.origin_path.get());
    let step = search.step(&state.chunks.pullers.borrow(), &path, now);
    match step {
        Step::Ask(puller) => {
            let is_earlier = search.follows(puller);
            let sender = if is_earlier { ChunkSender::Puller } else { ChunkSender::Entry };
            let others = search.others_after(puller, &state.chunks.pullers.borrow(), &path, now);
            let result = sources::fetch_from_puller(state, puller, &others, sender, req).await;
            if result == Err(SourceError::Pending) {
                let is_later = search.own_position().is_some() && !is_earlier;
                let outlook = if is_later { Outlook::ComingFromLater } else { Outlook::Coming };
                state.chunks.set_outlook(req.digest, outlook);
                if is_earlier {
                    sleep(PENDING_RETRY_DELAY).await;
                }
            }
            Ok(Content::Available(result?))
        }
        Step::Origin => {
            state.chunks.set_outlook(req.digest, Outlook::Unknown);
            if state.chunks.has_just_started(now)
                && let Some(bytes) = fetch_from_later(state, req, search).await?
            {
                return Ok(Content::Available(bytes));
            }
            if search.own_position() != Some(0) {
                state.metrics.count("puller_takeovers");
                slog::info!(state.log, "chunk taken over"; "version" => req.version,
                    "index" => req.index,
                    "position" => search.own_position().map_or(-1, |position| position as i64));
            }
            let result = sources::fetch_from_origin(state, req).await;
            if result.as_ref().err() == Some(&SourceError::Failed) {
                state.chunks.set_outlook(req.digest, Outlook::Failing);
            }
            result
        }
        Step::Probe(interval) => {
            state.chunks.set_outlook(req.digest, Outlook::Failing);
            sources::probe_origin(state, req, interval).await;
            sleep(PROBE_CHECK_INTERVAL).await;
            Err(SourceError::Failed)
        }
        Step::Wait(delay) => {
            if path.is_failing(now) {
                state.chunks.set_outlook(req.digest, Outlook::Failing);
            }
            sleep(delay).await;
            Err(SourceError::Failed)
        }
    }
}
