//! Fetches chunks from pullers, agents and the origin.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::direct::pullers::OriginPath;
use mastichaven_core::direct::pullers::PullerFailure;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::ChunkSender;
use mastichaven_core::direct::replication::Hello;
use mastichaven_platform::origin as origin_paths;
use rand::seq::IndexedRandom;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::direct::chunk_cache::Content;
use crate::direct::endpoint_client::sha256;
use crate::direct::origin;
use crate::direct::origin::OriginError;
use crate::direct::peers;
use crate::direct::peers::ChunkTimeouts;
use crate::direct::peers::PeerReply;
use crate::direct::peers::PeerRequest;
use crate::direct::state::State;
use crate::direct::swarm::version_digest;

/// Timeouts of a request to a puller. A puller replies to an entry within [`super::RELAYED_WAIT_TIMEOUT`] and the round
/// trip between two regions.
const PULLER_TIMEOUTS: ChunkTimeouts = ChunkTimeouts {
    reply: Duration::from_millis(400),
    piece: Duration::from_millis(400),
    transfer: Duration::from_secs(2),
};

/// Timeouts of a request whose reply does not wait. A puller that takes over waits this long for those before it,
/// which are in the same region, if they are silent. Together with [`PULLER_TIMEOUTS`] and the way between two regions,
/// a chunk is taken over within 0.5 s.
const IMMEDIATE_TIMEOUTS: ChunkTimeouts =
    ChunkTimeouts { reply: Duration::from_millis(60), ..PULLER_TIMEOUTS };

/// Time without a reply from a puller after which the entry finds out which others are silent too, and the timeout of
/// that. Together they are shorter than the timeout of the reply: the other silent ones are then known when the next
/// puller is chosen, so that several that fail at once cost no more time than one. Where the reply does not wait, the
/// others are asked at once.
const SURVEY_DELAY: Duration = Duration::from_millis(250);
const SURVEY_TIMEOUT: Duration = Duration::from_millis(120);
const IMMEDIATE_SURVEY_TIMEOUT: Duration = Duration::from_millis(45);

/// Timeouts of a request to an agent.
const HOLDER_TIMEOUTS: ChunkTimeouts = ChunkTimeouts {
    reply: Duration::from_millis(300),
    piece: Duration::from_millis(1_000),
    transfer: Duration::from_secs(2),
};

/// Interval at which a request that waits for its turn at the origin, or for data from it, checks the path.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a source did not provide a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SourceError {
    /// It is fetching the chunk.
    Pending,
    /// It does not have the chunk or cannot provide it.
    Failed,
    /// What it sent does not match the digest.
    Corrupt,
    /// The chunk is no longer wanted.
    Unwanted,
}

/// Asks a puller. With `sender` [`ChunkSender::Entry`] it may wait, otherwise it replies at once.
pub(super) async fn fetch_from_puller(
    state: &State,
    puller: IpAddr,
    others: &[IpAddr],
    sender: ChunkSender,
    req: &ChunkRequest,
) -> Result<Bytes, SourceError> {
    let (timeouts, survey_delay, survey_timeout) = match sender {
        ChunkSender::Agent | ChunkSender::Entry => (PULLER_TIMEOUTS, SURVEY_DELAY, SURVEY_TIMEOUT),
        ChunkSender::Puller | ChunkSender::Observer => {
            (IMMEDIATE_TIMEOUTS, Duration::ZERO, IMMEDIATE_SURVEY_TIMEOUT)
        }
    };
    let next = if sender == ChunkSender::Entry { req.next.clone() } else { Vec::new() };
    let holders = state.chunks.holders(req.digest);
    let hello = Hello::Chunk(ChunkRequest { puller: None, next, holders, sender, ..req.clone() });
    let address = SocketAddr::new(puller, state.cfg.agent_port);
    let slots = &state.chunks.download_slots;
    let fetch = peers::fetch_chunk_with_timeouts(address, &hello, timeouts, slots);
    let survey = async {
        sleep(survey_delay).await;
        survey(state, others, survey_timeout, req).await;
        std::future::pending::<()>().await;
    };
    let result = tokio::select! {
        result = fetch => result,
        () = survey => return Err(SourceError::Failed),
    };
    match result {
        Ok(Ok(bytes)) if sha256(&bytes) == req.digest => {
            state.chunks.pullers.borrow_mut().record_success(puller);
            Ok(bytes)
        }
        Ok(Ok(_)) => {
            state.metrics.count("chunks_corrupt");
            Err(SourceError::Corrupt)
        }
        Ok(Err(PeerReply::NotYet)) => {
            state.chunks.pullers.borrow_mut().record_success(puller);
            Err(SourceError::Pending)
        }
        Ok(Err(PeerReply::OriginFailing)) => {
            record_failure(state, puller, PullerFailure::OriginFailing, "origin failing");
            Err(SourceError::Failed)
        }
        Ok(Err(_)) => Err(SourceError::Failed),
        Err(e) => {
            slog::info!(state.log, "chunk request failed"; "entry" => address.to_string(),
                "version" => req.version, "error" => e.as_str());
            record_failure(state, puller, PullerFailure::NoReply, e.as_str());
            Err(SourceError::Failed)
        }
    }
}

/// Records a failure of a puller, which is then skipped.
fn record_failure(state: &State, puller: IpAddr, failure: PullerFailure, error: &str) {
    let (now, path) = (state.now(), state.chunks.origin_path.get());
    let mut pullers = state.chunks.pullers.borrow_mut();
    if !pullers.is_skipped(puller, &path, now) {
        state.metrics.count("pullers_skipped");
        slog::info!(state.log, "puller skipped"; "entry" => puller.to_string(), "error" => error);
    }
    pullers.record_failure(puller, failure, now);
}

/// Finds out which pullers are silent.
async fn survey(state: &State, pullers: &[IpAddr], time_limit: Duration, req: &ChunkRequest) {
    let ask = async |puller: IpAddr| {
        let hello = observer_request(req);
        let address = SocketAddr::new(puller, state.cfg.agent_port);
        let request = peers::request::<PeerReply>(address, &hello, time_limit);
        if !matches!(timeout(time_limit, request).await, Ok(Ok(_))) {
            record_failure(state, puller, PullerFailure::NoReply, "silent");
        }
    };
    // There are at most three others.
    let (first, second, third) = (pullers.first(), pullers.get(1), pullers.get(2));
    let ask_optional = async |puller: Option<&IpAddr>| {
        if let Some(puller) = puller {
            ask(*puller).await;
        }
    };
    tokio::join!(ask_optional(first), ask_optional(second), ask_optional(third));
}

fn observer_request(req: &ChunkRequest) -> Hello {
    let sender = ChunkSender::Observer;
    Hello::Chunk(ChunkRequest { puller: None, next: Vec::new(), sender, ..req.clone() })
}

/// Fetches a chunk from an agent that a request named, or from the agent of an endpoint that has loaded the version. A
/// version that is already in use then need not be transferred from the origin again after a zone has lost power or
/// this entry has restarted.
pub(super) async fn fetch_from_holder(state: &State, req: &ChunkRequest) -> Option<Bytes> {
    let address = state.chunks.take_holder(req.digest).or_else(|| {
        let holders = state.endpoints.borrow().holders(&req.model, req.version, state.now());
        let holder = state.with_rng(|rng| holders.choose(rng).copied())?;
        Some(SocketAddr::new(holder.ip(), state.cfg.agent_port))
    })?;
    let version = version_digest(&req.model, req.version);
    let request = PeerRequest::Chunk { version, digest: req.digest, may_wait: false };
    let slots = &state.chunks.download_slots;
    let result = peers::fetch_chunk_with_timeouts(address, &request, HOLDER_TIMEOUTS, slots).await;
    match result {
        Ok(Ok(bytes)) if sha256(&bytes) == req.digest => {
            state.metrics.count("chunks_from_peers");
            Some(bytes)
        }
        // The host has loaded another version or is busy; other sources are asked.
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

fn origin_address(state: &State) -> Option<SocketAddr> {
    state.catalog.borrow().as_ref().and_then(|c| Some(c.origin()?.address))
}

pub(super) async fn fetch_from_origin(
    state: &Rc<State>,
    req: &ChunkRequest,
) -> Result<Content, SourceError> {
    let Some(address) = origin_address(state) else {
        sleep(PATH_CHECK_INTERVAL).await;
        return Err(SourceError::Failed);
    };
    let chunks = &state.chunks;
    let place = chunks.queue_for_origin(req);
    while !place.try_start(state.now()) {
        if chunks.is_abandoned(req.digest) {
            return Err(SourceError::Unwanted);
        }
        if chunks.origin_path.get().is_failing(state.now()) {
            return Err(SourceError::Failed);
        }
        // A timeout means that the path is checked again.
        let _ = timeout(PATH_CHECK_INTERVAL, chunks.changed.notified()).await;
    }
    let path = origin_paths::chunk_path(&req.model, req.version, req.index as usize);
    chunks.update_origin_path(|path| path.begin(state.now()));
    let on_progress = || chunks.update_origin_path(|path| path.record_progress(state.now()));
    let result = tokio::select! {
        result = origin::fetch_with_progress(address, &path, on_progress) => result,
        () = until_stalled(state) => Err(OriginError::NoReply),
    };
    let has_response = matches!(result, Ok(_) | Err(OriginError::Refused(_)));
    chunks.update_origin_path(|path| path.finish(has_response, state.now()));
    record_origin_outcome(state, &path, req.version, result.as_ref().err().copied());
    match result {
        Ok(bytes) => {
            state.metrics.count("chunks_from_origin");
            state.metrics.add("origin_bytes", bytes.len() as u64);
            if sha256(&bytes) == req.digest {
                return Ok(Content::Available(bytes));
            }
            state.metrics.count("chunks_corrupt");
            Err(SourceError::Corrupt)
        }
        Err(OriginError::Refused(_)) => Ok(Content::Absent),
        Err(OriginError::Unreachable | OriginError::NoReply) => Err(SourceError::Failed),
    }
}

/// Waits until the requests to the origin have received nothing for too long.
async fn until_stalled(state: &State) {
    while !state.chunks.origin_path.get().is_stalled(state.now()) {
        sleep(PATH_CHECK_INTERVAL).await;
    }
}

fn record_origin_outcome(state: &State, path: &str, version: u64, error: Option<OriginError>) {
    match error {
        None => {
            if state.chunks.is_origin_failing.replace(false) {
                slog::info!(state.log, "origin recovered"; "version" => version);
            }
        }
        Some(e) => {
            state.metrics.count("origin_failures");
            if !state.chunks.is_origin_failing.replace(true) {
                slog::warn!(state.log, "origin request failed"; "path" => path, "error" => e.as_str());
            }
        }
    }
}

/// Finds out whether the origin can be reached, unless that was done within `interval`.
pub(super) async fn probe_origin(state: &State, req: &ChunkRequest, interval: Duration) {
    let Some(address) = origin_address(state) else { return };
    let chunks = &state.chunks;
    let try_probe = |path: &mut OriginPath| path.try_probe(interval, state.now());
    if !chunks.update_origin_path(try_probe) {
        return;
    }
    let path = origin_paths::manifest_path(&req.model, req.version);
    let has_response = origin::probe(address, &path).await;
    chunks.update_origin_path(|path| path.finish_probe(has_response, state.now()));
    let error = (!has_response).then_some(OriginError::NoReply);
    record_origin_outcome(state, &path, req.version, error);
    chunks.changed.notify_waiters();
}
