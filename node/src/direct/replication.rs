//! Replication tree: selects the entry to follow and falls back to the store without one.
//!
//! A follower sends pings, 8 bytes with a timestamp of its own clock. Its parent sends a snapshot,
//! then updates, and answers pings in the same order, so a pong proves that everything sent before
//! it has arrived. When pongs are missing or report stale state, the follower tries the root, then
//! reads the store itself. An entry that has just started tries the seeds from its settings first.

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
use self::probes::StoreProbe;
use super::state::State;

/// Maximum delay between attempts to find a parent, for an entry that reads the store and for one
/// that has neither a parent nor the store. The actual delay is random, at least half of it.
const STORE_READER_RETRY_DELAY: Duration = Duration::from_millis(1_500);
const DETACHED_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time for a successor of a lost parent to start reading the store, and maximum delay between
/// attempts to follow it.
const SUCCESSION_TIMEOUT: Duration = Duration::from_millis(250);
const SUCCESSION_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time for which an entry that has just started tries its seeds before it reads the store, and the
/// delay between its attempts.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which agents must nominate the same other root before a root with followers yields to
/// it.
///
/// Agents disagree briefly while the root changes. If the current root followed the latest report,
/// its followers would be too deep in the tree, read the store themselves, and be nominated in
/// turn.
const MIN_NOMINATION_AGE: Duration = Duration::from_millis(1_000);

/// Result of following a parent or serving a follower.
pub type Result<T> = std::result::Result<T, ReplicationError>;

/// Why a follower left its parent, or could not follow it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicationError {
    /// The connection failed or was closed.
    Disconnected,
    /// No message arrived in time.
    TimedOut,
    /// The state of the parent is too old.
    Stale,
    /// The parent accepts no followers: it is shutting down, too deep in the tree, cannot read the
    /// store, or follows this entry.
    NotAvailable,
    /// Agents nominate another parent.
    OtherNominated,
    /// There is no candidate.
    NoParent,
}

impl ReplicationError {
    /// Name of the error in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicationError::Disconnected => "broken",
            ReplicationError::TimedOut => "silent",
            ReplicationError::Stale => "old",
            ReplicationError::NotAvailable => "not available",
            ReplicationError::OtherNominated => "moved",
            ReplicationError::NoParent => "no parent",
        }
    }
}

impl From<io::Error> for ReplicationError {
    fn from(_: io::Error) -> ReplicationError {
        ReplicationError::Disconnected
    }
}

impl State {
    /// State to advertise to potential followers; `None` if this entry accepts no followers.
    ///
    /// An entry that cannot read the store must not be nominated. All others would read the store
    /// themselves until it can again, and the entry itself would follow nobody and refuse its
    /// callers.
    pub fn offer(&self) -> Option<Offer> {
        let is_available =
            self.accepts_followers() && self.age_limits().are_fresh(&self.ages(), Duration::ZERO);
        let followers = self.publisher.len() as u32;
        let store_latency_ms = self.min_store_latency.get().as_millis() as u16;
        is_available.then(|| Offer { followers, depth: self.depth(), store_latency_ms })
    }

    /// Whether this entry continues to serve its followers.
    pub fn keeps_followers(&self) -> bool {
        !self.is_stopping.get() && self.depth() <= MAX_PARENT_DEPTH
    }

    /// Whether this entry accepts new followers: it is a follower itself, or the store answers its
    /// reads.
    pub fn accepts_followers(&self) -> bool {
        self.keeps_followers()
            && (self.is_following.get() || self.failing_kinds.borrow().is_empty())
    }

    /// Number of hops between this entry and the store; 0 if it reads the store itself.
    pub fn depth(&self) -> u8 {
        let parent = self.parent.get().filter(|_| self.is_following.get());
        parent.map_or(0, |(_, depth)| depth)
    }

    /// Whether this entry reads the store itself.
    pub fn reads_store(&self) -> bool {
        !self.is_following.get() && !self.is_joining.get()
    }

    /// Waits until this entry must read the store itself.
    pub async fn until_reading_store(&self) {
        while !self.reads_store() {
            self.detached.notified().await;
        }
    }

    /// The nominated parent of this entry: the relay of its region, or the root if this entry is
    /// the relay.
    fn nominated_parent(&self) -> Option<IpAddr> {
        let me = self.cfg.ip;
        let relay = self.nominee(self.relay.get())?;
        if relay != me {
            Some(relay)
        } else {
            self.nominee(self.root.get()).filter(|root| *root != me)
        }
    }

    /// The nominated entry. If this entry is a root with followers, only once the nomination is
    /// stable.
    fn nominee(&self, nomination: Nomination) -> Option<IpAddr> {
        if self.is_followed_root() {
            return nomination.stable_for(MIN_NOMINATION_AGE, self.now());
        }
        nomination.last()
    }

    /// Whether this entry reads the store and has followers.
    fn is_followed_root(&self) -> bool {
        self.reads_store() && !self.publisher.is_empty()
    }

    /// Whether this entry reads the store itself if its parent is lost.
    fn is_successor(&self) -> bool {
        self.successors.borrow().contains(&self.cfg.ip)
    }

    /// The next candidate for a parent that is not in `tried`.
    fn next_parent(&self, tried: &[IpAddr]) -> Option<IpAddr> {
        let has_lost = self.is_following.get();
        if has_lost && self.is_successor() {
            return None;
        }
        let successors = self.successors.borrow();
        let successors = successors.iter().copied().filter(|_| has_lost);
        let last = self.parent.get().map(|(parent, _)| parent);
        let last = last.filter(|_| !self.is_followed_root());
        let all = [self.nominated_parent(), self.nominee(self.root.get()), last];
        let mut others = successors.chain(all.into_iter().flatten());
        others.find(|ip| *ip != self.cfg.ip && !tried.contains(ip))
    }

    fn begin_following(&self, parent: IpAddr) {
        self.is_joining.set(false);
        self.failing_kinds.borrow_mut().clear();
        if !self.is_following.replace(true) {
            slog::info!(self.log, "following"; "parent" => parent.to_string());
        }
    }

    fn detach(&self, e: ReplicationError) {
        let was_joining = self.is_joining.replace(false);
        if self.is_following.replace(false) {
            slog::warn!(self.log, "parent lost"; "error" => e.as_str(),
                "config_age_ms" => self.freshness.borrow().age(self.now()).map_or(-1, |age| age.as_millis() as i64));
            self.metrics.count("parents_lost");
        } else if !was_joining {
            return;
        }
        self.detached.notify_waiters();
    }
}

/// Follows another entry whenever there is a candidate, until the process ends.
///
/// An entry that has lost its parent reads the store only after a probe has succeeded. Otherwise
/// hundreds of entries would list all kinds repeatedly during a store outage.
pub async fn follow(state: Rc<State>) {
    join(&state).await;
    let mut probe = StoreProbe::new(&state);
    let mut lost_at = None;
    loop {
        let (reason, has_followed) = follow_nominated(&state).await;
        let now = state.now();
        if has_followed {
            lost_at = Some(now);
            probe = StoreProbe::new(&state);
        }
        let is_in_succession = lost_at.is_some_and(|at| !now.passed(at, SUCCESSION_TIMEOUT));
        let pause = if state.reads_store() {
            STORE_READER_RETRY_DELAY
        } else if is_in_succession && !state.is_successor() {
            SUCCESSION_RETRY_DELAY
        } else {
            if probe.run_if_due(&state).await {
                state.detach(reason);
            }
            state.successors.borrow_mut().clear();
            DETACHED_RETRY_DELAY
        };
        let jitter = state.with_rng(|rng| rng.random_range(0.5..1.0));
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Follows a seed after the start, until it is lost or no seed can be followed within
/// [`JOIN_TIMEOUT`]. An entry that is a seed itself reads the store immediately.
async fn join(state: &Rc<State>) {
    let seeds: Vec<IpAddr> = state.cfg.seeds.iter().map(SocketAddr::ip).collect();
    if seeds.is_empty() || seeds.contains(&state.cfg.ip) {
        return state.detach(ReplicationError::NoParent);
    }
    let first = state.with_rng(|rng| rng.random_range(0..seeds.len()));
    let started_at = state.now();
    for seed in seeds.iter().cycle().skip(first) {
        follow_one(state, *seed, &Cell::new(false)).await;
        if state.is_following.get() || state.now().passed(started_at, JOIN_TIMEOUT) {
            return;
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
}

/// Follows nominated entries one after the other until there is no untried candidate. Returns why
/// the last one was left and whether any was followed.
async fn follow_nominated(state: &Rc<State>) -> (ReplicationError, bool) {
    let mut reason = ReplicationError::NoParent;
    let mut has_followed = false;
    let mut tried = Vec::new();
    while let Some(parent) = state.next_parent(&tried) {
        let is_established = Cell::new(false);
        reason = follow_one(state, parent, &is_established).await;
        has_followed |= is_established.get();
        if reason == ReplicationError::OtherNominated {
            tried.clear();
        } else {
            tried.push(parent);
        }
    }
    (reason, has_followed)
}

/// Follows `parent` until it is lost or another one is nominated, and returns the reason.
///
/// Sets `is_established` once the parent has proven that its state is fresh.
async fn follow_one(
    state: &Rc<State>,
    parent: IpAddr,
    is_established: &Cell<bool>,
) -> ReplicationError {
    match try_follow(state, parent, is_established).await {
        Ok(()) => {
            state.successors.borrow_mut().clear();
            ReplicationError::OtherNominated
        }
        Err(e) => e,
    }
}
