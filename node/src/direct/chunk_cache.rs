//! Chunks of weights that an entry hands out to the agents of its region.
//!
//! An agent names the chunk by its digest and says from whom the entry is to take it. The entry takes it
//! once, however many ask, checks it, and keeps the chunks of the newest version that it was asked for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::replication::ChunkAsk;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::ids::Digest;
use mastichaven_platform::origin as origin_paths;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::origin;
use super::origin::OriginError;
use super::peers;
use super::peers::PeerTold;
use super::staging::sha256;
use super::state::State;

/// How long an ask waits for a chunk that is on its way.
const WAIT: Duration = Duration::from_millis(500);

/// Time for the first answer to an ask, which may wait that long.
pub const REPLY_WITHIN: Duration = Duration::from_millis(900);

/// Time for a chunk from the entry that pulls it, once it has begun to come.
const PULLER_WITHIN: Duration = Duration::from_secs(2);

/// Pause after a source that did not bring the chunk.
const FETCH_RETRY: Duration = Duration::from_millis(100);

/// How long a chunk that cannot be had is tried for after somebody has asked for it last.
const WANTED_FOR: Duration = Duration::from_millis(1_500);

/// Chunks that one entry takes from the origin at once; a few entries together keep its link busy.
const FROM_ORIGIN: usize = 2;

/// Pieces under way to agents at once. Each waits on the agent's narrow link; with fewer of them this host's
/// link would be idle, with more the events of streams would wait behind them.
const PIECES_OUT: usize = 32;

/// Pieces under way from other entries at once.
const PIECES_IN: usize = 16;

/// Chunks kept or on their way at most. An entry hands out one of as many chunks as its region has entries.
const MAX_CHUNKS: usize = 256;

#[derive(Clone, Debug)]
enum Content {
    Awaited,
    Here(Bytes),
    /// The source does not have it and will not.
    Absent,
}

#[derive(Clone, Debug)]
struct Slot {
    version: u64,
    asked_at: Time,
    content: Content,
}

/// The chunks of one entry.
#[derive(Debug)]
pub struct ChunkCache {
    slots: RefCell<HashMap<Digest, Slot>>,
    changed: Notify,
    out: Semaphore,
    intake: Semaphore,
    from_origin: Semaphore,
}

impl Default for ChunkCache {
    fn default() -> ChunkCache {
        ChunkCache {
            slots: RefCell::default(),
            changed: Notify::new(),
            out: Semaphore::new(PIECES_OUT),
            intake: Semaphore::new(PIECES_IN),
            from_origin: Semaphore::new(FROM_ORIGIN),
        }
    }
}

impl ChunkCache {
    /// Chunks that are here.
    pub fn len(&self) -> usize {
        let slots = self.slots.borrow();
        slots.values().filter(|slot| matches!(slot.content, Content::Here(_))).count()
    }

    /// Whether no chunk is here.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn content(&self, digest: Digest) -> Option<Content> {
        self.slots.borrow().get(&digest).map(|slot| slot.content.clone())
    }

    /// Notes an ask; says whether the chunk is to be fetched for it. `None` if there is no room.
    fn note_ask(&self, ask: &ChunkAsk, now: Time) -> Option<bool> {
        let mut slots = self.slots.borrow_mut();
        if let Some(slot) = slots.get_mut(&ask.digest) {
            slot.asked_at = now;
            return Some(false);
        }
        if slots.len() >= MAX_CHUNKS {
            return None;
        }
        // Older versions have had their time: hosts that still lack chunks of them ask each other.
        slots.retain(|_, slot| slot.version >= ask.version || !is_idle(slot, now));
        let slot = Slot { version: ask.version, asked_at: now, content: Content::Awaited };
        slots.insert(ask.digest, slot);
        Some(true)
    }

    fn is_wanted(&self, digest: Digest, now: Time) -> bool {
        let slots = self.slots.borrow();
        slots.get(&digest).is_some_and(|slot| !now.passed(slot.asked_at, WANTED_FOR))
    }

    fn set(&self, digest: Digest, content: Content) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(&digest) {
            slot.content = content;
        }
        self.changed.notify_waiters();
    }

    fn forget(&self, digest: Digest) {
        self.slots.borrow_mut().remove(&digest);
        self.changed.notify_waiters();
    }
}

fn is_idle(slot: &Slot, now: Time) -> bool {
    !matches!(slot.content, Content::Awaited) && now.passed(slot.asked_at, WANTED_FOR)
}

/// Answers the ask for a chunk on `stream`.
pub async fn serve(
    state: &Rc<State>,
    stream: &mut TcpStream,
    ask: ChunkAsk,
) -> std::io::Result<()> {
    match find(state, &ask).await {
        Ok(chunk) => {
            state.metrics.count("chunks_handed_out");
            peers::send_pieces(stream, &chunk, &state.chunks.out).await
        }
        Err(told) => peers::write(stream, &told).await,
    }
}

async fn find(state: &Rc<State>, ask: &ChunkAsk) -> Result<Bytes, PeerTold> {
    let until = Instant::now() + WAIT;
    if !begin(state, ask) {
        return Err(PeerTold::Busy);
    }
    if ask.puller.is_none() {
        for (index, digest) in &ask.next {
            let (index, digest) = (*index, *digest);
            begin(state, &ChunkAsk { index, digest, next: Vec::new(), ..ask.clone() });
        }
    }
    loop {
        match state.chunks.content(ask.digest) {
            Some(Content::Here(bytes)) => return Ok(bytes),
            Some(Content::Absent) => return Err(PeerTold::Absent),
            Some(Content::Awaited) | None => {}
        }
        if timeout_at(until, state.chunks.changed.notified()).await.is_err() {
            return Err(PeerTold::NotYet);
        }
    }
}

/// Notes an ask and fetches the chunk unless it is here or on its way. False if there is no room for it.
fn begin(state: &Rc<State>, ask: &ChunkAsk) -> bool {
    let is_new = state.chunks.note_ask(ask, state.now());
    if is_new == Some(true) {
        spawn_local(fetch(state.clone(), ask.clone()));
    }
    is_new.is_some()
}

/// Takes a chunk from its source, as long as somebody asks for it.
async fn fetch(state: Rc<State>, ask: ChunkAsk) {
    while state.chunks.is_wanted(ask.digest, state.now()) {
        match fetch_once(&state, &ask).await {
            Ok(content) => return state.chunks.set(ask.digest, content),
            Err(NotFetched::Later) => {}
            Err(NotFetched::Failed) => sleep(FETCH_RETRY).await,
        }
    }
    state.chunks.forget(ask.digest);
}

/// Why a chunk did not come.
enum NotFetched {
    /// The puller waits for it.
    Later,
    Failed,
}

async fn fetch_once(state: &State, ask: &ChunkAsk) -> Result<Content, NotFetched> {
    let fetched = match ask.puller {
        Some(puller) => match fetch_from_puller(state, puller, ask).await {
            Ok(bytes) => Ok(bytes),
            Err(NotFetched::Later) => return Err(NotFetched::Later),
            // A puller that is lost must not hold the chunk back.
            Err(NotFetched::Failed) => fetch_from_origin(state, ask).await,
        },
        None => fetch_from_origin(state, ask).await,
    };
    match fetched {
        Ok(bytes) if sha256(&bytes) == ask.digest => Ok(Content::Here(bytes)),
        Ok(_) => {
            state.metrics.count("chunks_corrupt");
            Err(NotFetched::Failed)
        }
        Err(OriginError::Refused(_)) => Ok(Content::Absent),
        Err(OriginError::Unreachable | OriginError::Silent) => Err(NotFetched::Failed),
    }
}

async fn fetch_from_puller(
    state: &State,
    puller: IpAddr,
    ask: &ChunkAsk,
) -> Result<Bytes, NotFetched> {
    let address = SocketAddr::new(puller, state.cfg.agent_port);
    let hello = Hello::Chunk(ChunkAsk { puller: None, ..ask.clone() });
    let intake = &state.chunks.intake;
    match peers::take_chunk(address, &hello, REPLY_WITHIN, PULLER_WITHIN, intake).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(PeerTold::NotYet)) => Err(NotFetched::Later),
        Ok(Err(_)) => Err(NotFetched::Failed),
        Err(e) => {
            slog::info!(state.log, "chunk not received"; "entry" => address.to_string(),
                "version" => ask.version, "error" => e.as_str());
            Err(NotFetched::Failed)
        }
    }
}

async fn fetch_from_origin(state: &State, ask: &ChunkAsk) -> origin::Result<Bytes> {
    let address = state.catalog.borrow().as_ref().and_then(|c| Some(c.origin()?.address));
    let address = address.ok_or(OriginError::Unreachable)?;
    let Ok(_turn) = state.chunks.from_origin.acquire().await else {
        return Err(OriginError::Unreachable);
    };
    let path = origin_paths::chunk_path(&ask.model, ask.version, ask.index as usize);
    let fetched = origin::fetch(address, &path).await;
    match &fetched {
        Ok(bytes) => {
            state.metrics.count("chunks_from_origin");
            state.metrics.add("origin_bytes", bytes.len() as u64);
        }
        Err(e) => slog::info!(state.log, "origin did not bring a chunk"; "path" => path,
            "error" => e.as_str()),
    }
    fetched
}
