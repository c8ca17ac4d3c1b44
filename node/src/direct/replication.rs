//! The replication tree: which entry this one follows, and when it asks the store instead.
//!
//! A follower sends pings, 8 bytes that hold its own clock. Its parent sends all that it knows, then
//! updates, and answers pings in the same order, so that a pong proves that everything before it has
//! arrived. When pongs stay away or tell of old knowledge, the follower tries the root, then asks the store
//! itself. An entry that has just started asks the seeds of its settings first.

mod parent;
mod probes;

use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::direct::replication::MAX_PARENT_DEPTH;
use mastichaven_core::direct::replication::Nomination;
use mastichaven_core::direct::replication::Offer;
use rand::RngExt;
use tokio::time::sleep;

use self::parent::try_follow;
use self::probes::Probes;
use super::state::State;

/// Pause between tries to follow of an entry that asks the store, and of one that neither does nor follows;
/// drawn from half to all of it.
const RETRY_EVERY: Duration = Duration::from_millis(1_500);
const REJOIN_EVERY: Duration = Duration::from_millis(400);

/// Time in which a successor of a lost parent is expected to have asked the store, and the pause between tries
/// to follow it.
const SUCCEEDS_WITHIN: Duration = Duration::from_millis(250);
const SUCCESSOR_EVERY: Duration = Duration::from_millis(60);

/// How long an entry that has started looks for a seed to follow before it asks the store, and the pause
/// between its tries.
const JOIN_WITHIN: Duration = Duration::from_millis(1_500);
const JOIN_EVERY: Duration = Duration::from_millis(100);

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
            self.is_sound() && self.age_limits().are_fresh(&self.ages(), Duration::ZERO);
        let followers = self.publisher.len() as u32;
        let store_latency_ms = self.store_time.get().as_millis() as u16;
        may_be_followed.then(|| Offer { followers, depth: self.depth(), store_latency_ms })
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
    fn named(&self, named: Nomination) -> Option<IpAddr> {
        if self.is_followed_root() {
            return named.stable_for(ROOT_STEADY, self.now());
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
