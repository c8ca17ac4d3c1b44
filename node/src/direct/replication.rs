//! The replication tree: which entry this one follows, and when it asks the store instead.
//!
//! A follower sends pings, 8 bytes that hold its own clock. Its parent sends all that it knows, then
//! updates, and answers pings in the same order, so that a pong proves that everything before it has
//! arrived. When pongs stay away or tell of old knowledge, the follower tries the root, then asks the store
//! itself. An entry that has just started asks the seeds of its settings first.

use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::MAX_PARENT_DEPTH;
use mastichaven_core::direct::replication::Message;
use mastichaven_core::direct::replication::Named;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::replication::Update;
use mastichaven_platform::objects::Kind;
use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;
use tokio::time::timeout;

use super::link;
use super::peers;
use super::state::State;
use super::store::StoreClient;

/// How often a follower pings. The bound for endpoints that leave, 2 s, has to hold the age at which a
/// parent is left (1.3 s), a ping and a list from the store.
const PING_EVERY: Duration = Duration::from_millis(150);

/// Time without a message after which a parent is left: five pings.
const SILENT_AFTER: Duration = Duration::from_millis(750);

/// Time for a connection to a parent.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Pause between tries to follow of an entry that asks the store, and of one that neither does nor follows;
/// drawn from half to all of it.
const RETRY_EVERY: Duration = Duration::from_millis(1_500);
const REJOIN_EVERY: Duration = Duration::from_millis(400);

/// Time in which a successor of a lost parent is expected to have asked the store, and the pause between tries
/// to follow it.
const SUCCEEDS_WITHIN: Duration = Duration::from_millis(250);
const SUCCESSOR_EVERY: Duration = Duration::from_millis(60);

/// First and longest pause between the probes with which an entry that follows nobody looks whether the store
/// answers it. The longest one grows with the fleet, as one entry that finds the store is enough for all.
const PROBE_FIRST: Duration = Duration::from_millis(100);
const PROBE_LONGEST: Duration = Duration::from_millis(700);
const ENTRIES_WITH_SHORT_PAUSE: u32 = 16;

/// How long an entry that has started looks for a seed to follow before it asks the store, and the pause
/// between its tries.
const JOIN_WITHIN: Duration = Duration::from_millis(1_500);
const JOIN_EVERY: Duration = Duration::from_millis(100);

/// How often a follower looks whether what it knows is too old.
const AGE_EVERY: Duration = Duration::from_millis(40);

/// How often a follower looks whether agents name another parent, and for how many times in a row they
/// have to name the same one.
const COMPARE_EVERY: Duration = Duration::from_millis(500);
const COMPARISONS: u32 = 4;

/// Time for which agents have to name no other root before an entry that others follow steps down for it.
///
/// While roots change, agents disagree for a moment. If the one that is followed went with the last report,
/// its followers would be too far from the store, ask it themselves, and be named in turn.
const ROOT_STEADY: Duration = Duration::from_millis(1_000);

/// Result of following or serving.
pub type Result<T> = std::result::Result<T, ReplicationError>;

/// Why a follower left its parent, or could not follow it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicationError {
    /// No connection, or it broke off.
    Broken,
    /// Nothing came in time.
    Silent,
    /// What it knows is too old.
    Old,
    /// It stops, or it is too far from the store.
    NotAvailable,
    /// Agents name another one.
    Moved,
    /// There is none.
    NoParent,
}

impl ReplicationError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicationError::Broken => "broken",
            ReplicationError::Silent => "silent",
            ReplicationError::Old => "old",
            ReplicationError::NotAvailable => "not available",
            ReplicationError::Moved => "moved",
            ReplicationError::NoParent => "no parent",
        }
    }
}

impl From<io::Error> for ReplicationError {
    fn from(_: io::Error) -> ReplicationError {
        ReplicationError::Broken
    }
}

impl State {
    /// What this entry offers to those that may follow it; `None` if it may not be followed.
    ///
    /// An entry that the store turns away must not be named to the others. They would all ask the store
    /// for themselves until it is back, and it would follow nobody and refuse its callers.
    pub fn offer(&self) -> Option<Offer> {
        let may_be_followed =
            self.is_sound() && self.age_limits().are_young(&self.ages(), Duration::ZERO);
        let followers = self.publisher.len() as u32;
        let store_ms = self.store_time.get().as_millis() as u16;
        may_be_followed.then(|| Offer { followers, depth: self.depth(), store_ms })
    }

    /// Whether this entry goes on serving those that follow it.
    pub fn may_be_followed(&self) -> bool {
        !self.is_stopping.get() && self.depth() <= MAX_PARENT_DEPTH
    }

    /// Whether others may begin to follow this entry: what it asks the store is answered.
    pub fn is_sound(&self) -> bool {
        self.may_be_followed() && (self.is_following.get() || self.lost_kinds.borrow().is_empty())
    }

    /// Distance from the store: 0 if this entry asks it.
    pub fn depth(&self) -> u8 {
        let parent = self.parent.get().filter(|_| self.is_following.get());
        parent.map_or(0, |(_, depth)| depth)
    }

    /// Whether this entry asks the store itself.
    pub fn is_direct(&self) -> bool {
        !self.is_following.get() && !self.is_joining.get()
    }

    /// Waits until this entry has to ask the store itself.
    pub async fn until_direct(&self) {
        while !self.is_direct() {
            self.unfollowed.notified().await;
        }
    }

    /// The entry that this one is to follow: its region's relay, or the root if it is the relay itself.
    fn named_parent(&self) -> Option<IpAddr> {
        let me = self.cfg.ip;
        let relay = self.named(self.relay.get())?;
        if relay != me {
            Some(relay)
        } else {
            self.named(self.root.get()).filter(|root| *root != me)
        }
    }

    /// The entry that agents name, if this one may go by that.
    fn named(&self, named: Named) -> Option<IpAddr> {
        if self.is_followed_root() {
            return named.steady(ROOT_STEADY, self.now());
        }
        named.last()
    }

    /// Whether this entry asks the store and others follow it.
    fn is_followed_root(&self) -> bool {
        self.is_direct() && !self.publisher.is_empty()
    }

    /// Whether this entry asks the store if its parent is lost.
    fn is_successor(&self) -> bool {
        self.successors.borrow().contains(&self.cfg.ip)
    }

    /// The next entry to try that is none of `tried`.
    fn next_parent(&self, tried: &[IpAddr]) -> Option<IpAddr> {
        let has_lost = self.is_following.get();
        if has_lost && self.is_successor() {
            return None;
        }
        let successors = self.successors.borrow();
        let successors = successors.iter().copied().filter(|_| has_lost);
        let last = self.parent.get().map(|(parent, _)| parent);
        let last = last.filter(|_| !self.is_followed_root());
        let all = [self.named_parent(), self.named(self.root.get()), last];
        let mut others = successors.chain(all.into_iter().flatten());
        others.find(|ip| *ip != self.cfg.ip && !tried.contains(ip))
    }

    fn begin_following(&self, parent: IpAddr) {
        self.is_joining.set(false);
        self.lost_kinds.borrow_mut().clear();
        if !self.is_following.replace(true) {
            slog::info!(self.log, "following"; "parent" => parent.to_string());
        }
    }

    fn unfollow(&self, e: ReplicationError) {
        let was_joining = self.is_joining.replace(false);
        if self.is_following.replace(false) {
            slog::warn!(self.log, "parent lost"; "error" => e.as_str(),
                "config_age_ms" => self.freshness.borrow().age(self.now()).map_or(-1, |age| age.as_millis() as i64));
            self.metrics.count("parents_lost");
        } else if !was_joining {
            return;
        }
        self.unfollowed.notify_waiters();
    }
}

/// Follows another entry whenever there is one, until the process ends.
///
/// An entry that has lost its parent asks the store itself only once a probe has been answered. While the store
/// is away, hundreds of entries would else list all kinds again and again.
pub async fn follow(state: Rc<State>) {
    join(&state).await;
    let mut probes = Probes::new(&state);
    let mut lost_at = None;
    loop {
        let (ended, has_followed) = follow_named(&state).await;
        let now = state.now();
        if has_followed {
            lost_at = Some(now);
            probes = Probes::new(&state);
        }
        let is_grace = lost_at.is_some_and(|at| !now.passed(at, SUCCEEDS_WITHIN));
        let pause = if state.is_direct() {
            RETRY_EVERY
        } else if is_grace && !state.is_successor() {
            SUCCESSOR_EVERY
        } else {
            if probes.is_answered(&state).await {
                state.unfollow(ended);
            }
            state.successors.borrow_mut().clear();
            REJOIN_EVERY
        };
        let part = state.with_rng(|rng| rng.random_range(0.5..1.0));
        sleep(pause.mul_f64(part)).await;
    }
}

/// Calls that show whether the store answers this entry.
struct Probes {
    client: StoreClient,
    pause: Duration,
    next: Time,
}

impl Probes {
    fn new(state: &State) -> Probes {
        Probes {
            client: StoreClient::new(state.cfg.store, state.metrics.clone()),
            pause: PROBE_FIRST,
            next: Time::ZERO,
        }
    }

    /// Whether a probe was due and the store has answered it.
    async fn is_answered(&mut self, state: &State) -> bool {
        if state.now() < self.next {
            return false;
        }
        // Few objects, if any, so the answer is short.
        let is_answered = self.client.list(Kind::Evacuations, false).await.is_ok();
        let entries = state.roster.borrow().entries();
        let longest = PROBE_LONGEST * entries.div_ceil(ENTRIES_WITH_SHORT_PAUSE);
        let part = state.with_rng(|rng| rng.random_range(0.5..1.0));
        self.next = state.now() + self.pause.mul_f64(part);
        self.pause = (self.pause * 2).min(longest);
        if !is_answered {
            // What a list shows after this need not have been there for as long as it was not seen.
            state.lost_kinds.borrow_mut().extend(Kind::ALL);
        }
        is_answered
    }
}

/// Follows one of the seeds after the start, until it is lost or none can be followed in time. A seed itself
/// asks the store at once.
async fn join(state: &Rc<State>) {
    let seeds: Vec<IpAddr> = state.cfg.seeds.iter().map(SocketAddr::ip).collect();
    if seeds.is_empty() || seeds.contains(&state.cfg.ip) {
        return state.unfollow(ReplicationError::NoParent);
    }
    let first = state.with_rng(|rng| rng.random_range(0..seeds.len()));
    let began = state.now();
    for seed in seeds.iter().cycle().skip(first) {
        follow_one(state, *seed, &Cell::new(false)).await;
        if state.is_following.get() || state.now().passed(began, JOIN_WITHIN) {
            return;
        }
        sleep(JOIN_EVERY).await;
    }
}

/// Follows those that agents name, one after the other as they are lost, until there is none. Tells why the
/// last one was left and whether any was followed.
async fn follow_named(state: &Rc<State>) -> (ReplicationError, bool) {
    let mut ended = ReplicationError::NoParent;
    let mut has_followed = false;
    let mut tried = Vec::new();
    while let Some(parent) = state.next_parent(&tried) {
        let is_proven = Cell::new(false);
        ended = follow_one(state, parent, &is_proven).await;
        has_followed |= is_proven.get();
        if ended == ReplicationError::Moved {
            tried.clear();
        } else {
            tried.push(parent);
        }
    }
    (ended, has_followed)
}

/// Follows `parent` until it is lost or another one is named; tells why it ended.
///
/// Sets `is_proven` once the parent has shown that its knowledge is fresh.
async fn follow_one(state: &Rc<State>, parent: IpAddr, is_proven: &Cell<bool>) -> ReplicationError {
    match try_follow(state, parent, is_proven).await {
        Ok(()) => {
            state.successors.borrow_mut().clear();
            ReplicationError::Moved
        }
        Err(e) => e,
    }
}

async fn try_follow(state: &Rc<State>, parent: IpAddr, is_proven: &Cell<bool>) -> Result<()> {
    let asked = state.now();
    let address = SocketAddr::new(parent, state.cfg.agent_port);
    let connected = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
    let mut stream = connected.map_err(|_| ReplicationError::Silent)??;
    link::prepare(&stream)?;
    let hello = Hello::Follow { ip: state.cfg.ip, config: state.config_version() };
    peers::write(&mut stream, &hello).await?;
    let (mut read, write) = stream.into_split();
    tokio::select! {
        ended = send_pings(state, write) => ended,
        ended = receive(state, &mut read, parent, asked, is_proven) => ended,
        () = until_old(state, is_proven) => Err(ReplicationError::Old),
        () = until_another_is_named(state, parent) => Ok(()),
    }
}

async fn send_pings(state: &State, mut write: OwnedWriteHalf) -> Result<()> {
    loop {
        write.write_u64(state.now().as_micros()).await?;
        sleep(PING_EVERY).await;
    }
}

/// Waits until what a follower knows of the endpoints is too old to go on with its parent, which is proven to be
/// fresh at first.
async fn until_old(state: &State, is_proven: &Cell<bool>) {
    loop {
        sleep(AGE_EVERY).await;
        let limit = state.age_limits().leaves_at(state.depth(), state.is_successor());
        let age = state.ages().endpoints;
        if is_proven.get() && age.is_none_or(|age| age >= limit) {
            return;
        }
    }
}

/// Waits until agents have named another parent for a while.
async fn until_another_is_named(state: &State, parent: IpAddr) {
    let mut last = None;
    let mut count = 0;
    while count < COMPARISONS {
        sleep(COMPARE_EVERY).await;
        let named = state.named_parent().filter(|named| *named != parent);
        count = if named.is_some() && named == last { count + 1 } else { 0 };
        last = named;
    }
}

/// Applies updates. Those before the first pong wait for it: only then are they known to be fresh.
///
/// What comes after the pong that answers what was asked at `asked` was sent after that moment.
async fn receive(
    state: &State,
    read: &mut OwnedReadHalf,
    parent: IpAddr,
    mut asked: Time,
    is_proven: &Cell<bool>,
) -> Result<()> {
    let mut early = Vec::new();
    loop {
        let message: Message = timeout(SILENT_AFTER, peers::read(read))
            .await
            .map_err(|_| ReplicationError::Silent)??;
        match message {
            Message::Update(update) => {
                let update = aged(update, state.now().since(asked));
                if is_proven.get() {
                    state.apply(update);
                } else {
                    early.push(update);
                }
            }
            Message::NotAvailable => return Err(ReplicationError::NotAvailable),
            Message::Pong { asked_us, ages, depth, successors } => {
                asked = Time::from_micros(asked_us);
                if !state.age_limits().are_young(&ages, state.now().since(asked)) {
                    return Err(ReplicationError::Old);
                }
                if depth > MAX_PARENT_DEPTH {
                    return Err(ReplicationError::NotAvailable);
                }
                if !is_proven.get() && !state.age_limits().may_join(&ages, state.now().since(asked))
                {
                    return Err(ReplicationError::Old);
                }
                state.parent.set(Some((parent, depth + 1)));
                *state.successors.borrow_mut() = successors;
                if !is_proven.get() {
                    state.begin_following(parent);
                    early.drain(..).for_each(|update| state.apply(update));
                }
                state.confirm(asked, &ages);
                is_proven.set(true);
            }
        }
    }
}

/// An update that may have been under way for `span`.
///
/// Where a version of weights was dated to when a late update of it came, requests would go to the older
/// one past its bound.
fn aged(update: Update, span: Duration) -> Update {
    match update {
        Update::Weights { model, version, ago: Some(ago) } => {
            Update::Weights { model, version, ago: Some(ago + span) }
        }
        other => other,
    }
}
