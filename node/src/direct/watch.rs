//! Follows the store: a task for each kind of object lists it, then watches it.
//!
//! A list is a state and a watch a stream of changes; both end in `StoreWatcher::take_all` or
//! `StoreWatcher::take_changes`. Failures are answered with a short, growing and random pause, and with
//! a watch that returns at once, as it also renews the lease on the configuration.

mod taking;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::Revision;
use mastichaven_platform::objects::Kind;
use mastichaven_platform::objects::Object;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::state::State;
use super::store::StoreClient;
use super::store::StoreError;

/// Longest waits of watches. That of the configuration renews the lease on it from the moment it was sent, so a
/// longer wait leaves less of the lease whenever the store goes away.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
const EVACUATIONS_WAIT: Duration = Duration::from_millis(2_400);
const WEIGHTS_WAIT: Duration = Duration::from_millis(4_000);

/// Pause after changes before the next watch, so that changes that come together cost one call.
/// Endpoints report draining well before they stop, and agents tell of their load on their own.
fn gather_for(kind: Kind) -> Duration {
    match kind {
        Kind::Endpoints => Duration::from_millis(120),
        Kind::Config | Kind::Evacuations | Kind::Weights => Duration::from_millis(20),
    }
}

/// Shortest wait of a watch. One that follows a change waits for what the one before has left of its time:
/// what is known is only as young as the moment at which the last answered watch was sent.
const WAIT_SHORTEST: Duration = Duration::from_millis(50);

/// Wait of a watch right after a failure: it returns at once and tells whether the store is back.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Pause between lists of a configuration that keeps changing: as long as the list took, so that half of the
/// link is left to others, within these bounds.
const CATCH_UP_SHORTEST: Duration = Duration::from_millis(20);
const CATCH_UP_LONGEST: Duration = Duration::from_millis(400);

/// First and longest pause after a failure.
const PAUSE_FIRST: Duration = Duration::from_millis(80);
const PAUSE_LONGEST: Duration = Duration::from_millis(700);

/// Endpoints that vanish from the list this soon after the store was in trouble may only have been
/// unable to renew their entry. They are kept for a while, in which a live one is back.
const LAPSE_AFTER_TROUBLE: Duration = Duration::from_millis(3_000);
/// Follows one kind of object.
pub struct StoreWatcher {
    state: Rc<State>,
    client: StoreClient,
    kind: Kind,
    trouble_until: Option<Time>,
    /// Whether versions of the configuration come faster than they can be watched.
    is_behind: bool,
    pause: Duration,
    evacuated: HashSet<SmolStr>,
}

impl StoreWatcher {
    /// A follower of `kind`.
    pub fn new(state: Rc<State>, kind: Kind) -> StoreWatcher {
        StoreWatcher {
            client: StoreClient::new(state.cfg.store, state.metrics.clone()),
            state,
            kind,
            trouble_until: None,
            is_behind: false,
            pause: PAUSE_FIRST,
            evacuated: HashSet::new(),
        }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        // Whether an endpoint is an engine, and how many layers make its weights whole, stands in the
        // configuration. Read without it, one that holds half of its layers would pass for whole.
        while self.kind == Kind::Endpoints && self.state.catalog.borrow().is_none() {
            self.state.configured.notified().await;
        }
        loop {
            self.state.until_direct().await;
            let sent = self.state.now();
            match self.client.list(self.kind, false).await {
                Ok(_) if self.state.is_following.get() => {}
                Ok((objects, revision)) => {
                    self.take_list(&objects, revision, sent);
                    if self.is_behind {
                        let took = self.state.now().since(sent);
                        sleep(took.clamp(CATCH_UP_SHORTEST, CATCH_UP_LONGEST)).await;
                    } else {
                        self.watch_from(revision).await;
                    }
                }
                Err(e) => self.failed(e).await,
            }
        }
    }

    /// Takes in a list that was asked for at `sent` and holds all changes up to `as_of`.
    fn take_list(&mut self, objects: &[Object], as_of: Revision, sent: Time) {
        let unseen_for = self.unseen_for(sent);
        let before = self.state.config_version();
        self.answered(sent);
        self.take_all(objects, as_of, unseen_for);
        self.state.note_list();
        self.is_behind &= self.state.config_version() != before;
    }

    /// How long what a list shows may have been there unseen; `None` for the first list in this life.
    ///
    /// A version of weights counts from its naming. Were one that a later list shows to count as old,
    /// older ones would be barred at once, and after each outage of the store callers would be refused
    /// for want of weights. While the store is away no time counts.
    fn unseen_for(&self, sent: Time) -> Option<Duration> {
        let seen = self.state.confirmed.borrow().get(&self.kind).copied()?;
        Some(if self.is_lost() { Duration::ZERO } else { sent.since(seen) })
    }

    /// Watches from `revision` on until its history is gone.
    ///
    /// A watch tells each version of the configuration since its revision. After an outage, or while one of
    /// a megabyte is under way and others follow, the answers hold more and more of them, and callers are
    /// told for seconds that a new route does not exist. A list holds the newest one only, so it is used
    /// until it shows nothing new.
    async fn watch_from(&mut self, mut revision: Revision) {
        let mut probe = false;
        let mut left = self.longest_wait();
        loop {
            if self.kind == Kind::Endpoints && self.state.are_models_new.take() {
                return;
            }
            if self.state.is_following.get() {
                return;
            }
            let wait = if probe { PROBE_WAIT } else { left };
            let sent = self.state.now();
            match self.client.watch(self.kind, revision, wait).await {
                // What another entry tells by now is newer.
                Ok(_) if self.state.is_following.get() => return,
                Ok(told) => {
                    probe = false;
                    revision = revision.max(told.revision);
                    let count = told.changes.len();
                    self.answered(sent);
                    left = self.longest_wait();
                    if count > 0 {
                        let took = self.state.now().since(sent);
                        left = left.saturating_sub(took).max(WAIT_SHORTEST);
                    } else {
                        self.confirm_unchanged(sent, wait);
                        self.note_store_time(sent + wait);
                    }
                    self.take_changes(told.changes, revision);
                    if count > 1 && self.kind == Kind::Config {
                        self.is_behind = true;
                        return;
                    }
                    if count > 0 {
                        sleep(gather_for(self.kind)).await;
                    }
                }
                Err(StoreError::Compacted) => {
                    slog::info!(self.state.log, "store history gone, listing again";
                        "kind" => self.kind.as_str(), "revision" => revision.0);
                    return;
                }
                Err(e) => {
                    self.failed(e).await;
                    if self.kind == Kind::Config {
                        self.is_behind = true;
                        return;
                    }
                    probe = true;
                }
            }
        }
    }

    /// How long a watch waits for a change.
    fn longest_wait(&self) -> Duration {
        match self.kind {
            Kind::Config => CONFIG_WAIT,
            Kind::Endpoints => self.state.age_limits().endpoints_watch_timeout(),
            Kind::Evacuations => EVACUATIONS_WAIT,
            Kind::Weights => WEIGHTS_WAIT,
        }
    }

    /// Whether the store did not answer this entry last.
    fn is_lost(&self) -> bool {
        self.state.lost_kinds.borrow().contains(&self.kind)
    }

    fn answered(&mut self, sent: Time) {
        self.pause = PAUSE_FIRST;
        let was_lost = self.state.lost_kinds.borrow_mut().remove(&self.kind);
        self.state.confirmed.borrow_mut().insert(self.kind, sent);
        if self.kind == Kind::Config {
            self.state.freshness.borrow_mut().confirm(sent);
        }
        if was_lost {
            let now = self.state.now();
            self.trouble_until = Some(now + LAPSE_AFTER_TROUBLE);
            slog::info!(self.state.log, "store regained"; "kind" => self.kind.as_str());
        }
    }

    /// A watch of `wait` ended without a change, so the store looked for one until the end of it. That
    /// is how old the knowledge is; only the lease on keys goes by the moment of sending.
    fn confirm_unchanged(&self, sent: Time, wait: Duration) {
        if self.kind != Kind::Config {
            let seen = (sent + wait).min(self.state.now());
            self.state.confirmed.borrow_mut().insert(self.kind, seen);
        }
    }

    /// The store sent an answer at `due`.
    fn note_store_time(&self, due: Time) {
        let took = self.state.now().since(due);
        self.state.store_time.set(self.state.store_time.get().min(took));
    }

    async fn failed(&mut self, e: StoreError) {
        self.state.metrics.count("store_failures");
        if self.state.lost_kinds.borrow_mut().insert(self.kind) {
            let age = self.state.freshness.borrow().age(self.state.now());
            slog::warn!(self.state.log, "store lost"; "kind" => self.kind.as_str(),
                "error" => e.as_str(),
                "config_age_ms" => age.map_or(-1, |age| age.as_millis() as i64));
        }
        let part = self.state.with_rng(|rng| rng.random_range(0.5..1.0));
        sleep(self.pause.mul_f64(part)).await;
        self.pause = (self.pause * 2).min(PAUSE_LONGEST);
    }
}
