//! One entry of a region watches the store, the others of the region follow it over a connection.
//!
//! A follower sends pings, 8 bytes that hold its own clock. The watcher sends all that it knows, then
//! updates, and answers pings in the same order, so that a pong proves that everything before it has
//! arrived. When pongs stay away or tell of old knowledge, the follower asks the store itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::replication::Message;
use mastichaven_core::direct::replication::Update;
use rand::RngExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::link;
use super::peers;
use super::state::State;

/// Messages that wait for one follower at most; one that is further behind connects again. A zone with
/// a hundred endpoints that all change twice fits.
const MAX_WAITING: usize = 512;

/// Followers of one entry at most: those of the largest region, and some that come back.
const MAX_FOLLOWERS: usize = 256;

/// How often a follower pings. The bound for endpoints that leave, 2 s, has to hold the age at which a
/// watcher is left (1.3 s), a ping and a list from the store.
const PING_EVERY: Duration = Duration::from_millis(250);

/// Time without a message after which a watcher is left: three pings.
const SILENT_AFTER: Duration = Duration::from_millis(750);

/// Time for a connection to a watcher.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Pause between tries to follow, drawn from half to all of it.
const RETRY_EVERY: Duration = Duration::from_millis(1_500);

/// Result of following or serving.
pub type Result<T> = std::result::Result<T, ReplicationError>;

/// Why a follower left its watcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicationError {
    /// No connection, or it broke off.
    Broken,
    /// Nothing came in time.
    Silent,
    /// What it knows is too old.
    Old,
    /// It does not watch the store itself.
    NotWatching,
}

impl ReplicationError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicationError::Broken => "broken",
            ReplicationError::Silent => "silent",
            ReplicationError::Old => "old",
            ReplicationError::NotWatching => "not watching",
        }
    }
}

impl From<io::Error> for ReplicationError {
    fn from(_: io::Error) -> ReplicationError {
        ReplicationError::Broken
    }
}

#[derive(Clone, Debug)]
struct Frame {
    bytes: Bytes,
    is_config: bool,
}

/// What waits to be sent to one follower.
#[derive(Debug, Default)]
struct Outbox {
    waiting: RefCell<VecDeque<Frame>>,
    is_behind: Cell<bool>,
    added: Notify,
}

impl Outbox {
    /// A configuration takes the place of one that still waits: in a quick succession only the newest
    /// matters, and each may hold thousands of routes. It stays in that place, as a pong behind it
    /// promises it.
    fn push(&self, frame: Frame) {
        let mut waiting = self.waiting.borrow_mut();
        let older = waiting.iter().position(|other| frame.is_config && other.is_config);
        match older {
            Some(n) => waiting[n] = frame,
            None if waiting.len() < MAX_WAITING => waiting.push_back(frame),
            None => self.is_behind.set(true),
        }
        self.added.notify_one();
    }

    /// A message that could not be encoded counts as one too many: a pong must not promise it.
    fn take(&self, frame: &io::Result<Frame>) {
        match frame {
            Ok(frame) => self.push(frame.clone()),
            Err(_) => self.is_behind.set(true),
        }
    }

    fn take_all(&self) -> Vec<Frame> {
        self.waiting.borrow_mut().drain(..).collect()
    }
}

/// The entries that follow this one.
#[derive(Debug, Default)]
pub struct Publisher {
    followers: RefCell<Vec<Rc<Outbox>>>,
}

impl Publisher {
    /// Sends an update to all followers.
    pub fn publish(&self, update: &Update) {
        let followers = self.followers.borrow();
        if followers.is_empty() {
            return;
        }
        let frame = frame_of(&Message::Update(update.clone()));
        followers.iter().for_each(|follower| follower.take(&frame));
    }

    /// Entries that follow this one.
    pub fn len(&self) -> usize {
        self.followers.borrow().len()
    }

    /// Whether no entry follows this one.
    pub fn is_empty(&self) -> bool {
        self.followers.borrow().is_empty()
    }
}

fn frame_of(told: &Message) -> io::Result<Frame> {
    let is_config = matches!(told, Message::Update(Update::Config(_)));
    Ok(Frame { bytes: peers::frame(told)?.into(), is_config })
}

impl State {
    /// Entries that follow this one; `None` if it may not be followed.
    ///
    /// An entry that the store turns away must not be named to the others. They would all ask the store
    /// for themselves until it is back, and it would follow nobody and refuse its callers.
    pub fn followers(&self) -> Option<u32> {
        let may_be_followed = self.is_watching() && self.ages().are_young(Duration::ZERO);
        may_be_followed.then(|| self.publisher.len() as u32)
    }

    /// Whether this entry asks the store itself, and goes on doing so.
    fn is_watching(&self) -> bool {
        !self.is_following.get() && !self.is_stopping.get()
    }

    /// Waits until this entry has to ask the store itself.
    pub async fn until_direct(&self) {
        while self.is_following.get() {
            self.unfollowed.notified().await;
        }
    }

    fn unfollow(&self, e: ReplicationError) {
        if self.is_following.replace(false) {
            slog::warn!(self.log, "watcher lost"; "error" => e.as_str(),
                "config_age_ms" => self.freshness.borrow().age(self.now()).map_or(-1, |age| age.as_millis() as i64));
            self.metrics.count("watchers_lost");
            self.unfollowed.notify_waiters();
        }
    }
}

/// Serves the entries that follow this one until the process ends.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PING_EVERY).await;
            continue;
        };
        if state.publisher.len() >= MAX_FOLLOWERS {
            continue;
        }
        let state = state.clone();
        spawn_local(async move {
            let follower = Rc::new(Outbox::default());
            // How it ended shows at the follower.
            let _ = serve_follower(&state, stream, &follower).await;
            state.publisher.followers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &follower));
        });
    }
}

async fn serve_follower(state: &State, stream: TcpStream, follower: &Rc<Outbox>) -> Result<()> {
    link::prepare(&stream)?;
    let (mut read, write) = stream.into_split();
    state
        .snapshot()
        .into_iter()
        .for_each(|update| follower.take(&frame_of(&Message::Update(update))));
    state.publisher.followers.borrow_mut().push(follower.clone());
    tokio::select! {
        ended = answer_pings(state, &mut read, follower) => ended,
        ended = send_frames(write, follower) => ended,
    }
}

async fn answer_pings(state: &State, read: &mut OwnedReadHalf, follower: &Outbox) -> Result<()> {
    loop {
        let asked_us = read.read_u64().await?;
        let told = if state.is_watching() {
            Message::Pong { asked_us, ages: state.ages() }
        } else {
            Message::NotWatching
        };
        if follower.is_behind.get() {
            return Err(ReplicationError::Broken);
        }
        follower.take(&frame_of(&told));
    }
}

async fn send_frames(mut write: OwnedWriteHalf, follower: &Outbox) -> Result<()> {
    loop {
        let frames = follower.take_all();
        if frames.is_empty() {
            follower.added.notified().await;
        }
        for frame in frames {
            write.write_all(&frame.bytes).await?;
        }
    }
}

/// Follows the region's watcher whenever there is one, until the process ends.
pub async fn follow(state: Rc<State>) {
    loop {
        let part = state.with_rng(|rng| rng.random_range(0.5..1.0));
        sleep(RETRY_EVERY.mul_f64(part)).await;
        let Some(watcher) = state.watcher.get().filter(|ip| *ip != state.cfg.ip) else {
            continue;
        };
        let address = SocketAddr::new(watcher, state.cfg.agent_port);
        if let Err(e) = follow_one(&state, address).await {
            state.unfollow(e);
        }
    }
}

async fn follow_one(state: &Rc<State>, address: SocketAddr) -> Result<()> {
    let connected = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| ReplicationError::Silent)??;
    link::prepare(&stream)?;
    let (mut read, write) = stream.into_split();
    tokio::select! {
        ended = send_pings(state, write) => ended,
        ended = receive(state, &mut read, address) => ended,
    }
}

async fn send_pings(state: &State, mut write: OwnedWriteHalf) -> Result<()> {
    loop {
        write.write_u64(state.now().as_micros()).await?;
        sleep(PING_EVERY).await;
    }
}

/// Applies updates. Those before the first pong wait for it: only then are they known to be fresh.
async fn receive(state: &State, read: &mut OwnedReadHalf, from: SocketAddr) -> Result<()> {
    let mut early = Vec::new();
    loop {
        let told: Message = timeout(SILENT_AFTER, peers::read(read))
            .await
            .map_err(|_| ReplicationError::Silent)??;
        match told {
            Message::Update(update) if state.is_following.get() => state.apply(update),
            Message::Update(update) => early.push(update),
            Message::NotWatching => return Err(ReplicationError::NotWatching),
            Message::Pong { asked_us, ages } => {
                let asked = Time::from_micros(asked_us);
                if !ages.are_young(state.now().since(asked)) {
                    return Err(ReplicationError::Old);
                }
                if !state.is_following.replace(true) {
                    slog::info!(state.log, "following"; "watcher" => from.to_string());
                    early.drain(..).for_each(|update| state.apply(update));
                }
                state.confirm(asked, &ages);
            }
        }
    }
}
