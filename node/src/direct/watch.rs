//! Reads the store: one task per kind of object lists the kind, then watches it.
//!
//! A list returns a snapshot and a watch returns changes; `StoreWatcher::apply_objects` and
//! `StoreWatcher::apply_changes` apply them. After a failure the task waits for a jittered
//! exponential backoff and then sends a watch that returns at once, which also renews the lease on
//! the configuration.

mod apply;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::store_clock::LastRead;
use mastichaven_core::ids::StorePosition;
use mastichaven_platform::objects::Kind;
use mastichaven_platform::objects::Object;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::state::State;
use super::store::StoreClient;
use super::store::StoreError;

/// Timeouts of watches without a change. A watch of the configuration renews the lease from the
/// moment it was sent, so a longer timeout leaves less of the lease when the store fails.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(900);
const EVACUATIONS_WATCH_TIMEOUT: Duration = Duration::from_millis(2_400);
const WEIGHTS_WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Delay between a change and the next watch, so that simultaneous changes cost one call. Endpoints
/// report draining well before they stop, and agents report load directly, so neither depends on a
/// short delay.
fn coalescing_delay(kind: Kind) -> Duration {
    match kind {
        Kind::Endpoints => Duration::from_millis(120),
        Kind::Config | Kind::Evacuations | Kind::Weights => Duration::from_millis(20),
    }
}

/// Minimum timeout of a watch. A watch after a change gets what the previous one left of its
/// timeout: the age of the state counts from when the last answered watch was sent.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(50);

/// Timeout of the watch after a failure. It returns at once and shows whether the store is
/// available again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1);

/// Bounds of the delay between lists of a configuration that keeps changing. Within them, the delay
/// equals the duration of the list, which leaves half of the link to other traffic.
const MIN_CATCH_UP_DELAY: Duration = Duration::from_millis(20);
const MAX_CATCH_UP_DELAY: Duration = Duration::from_millis(400);

/// Initial and maximum backoff after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(80);
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Time after a store outage in which an endpoint may be missing from the list only because it
/// could not renew its record. Such endpoints are kept for a while, in which a live one returns.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(3_000);

/// Lists and watches one kind of object.
pub struct StoreWatcher {
    state: Rc<State>,
    client: StoreClient,
    kind: Kind,
    outage_grace_until: Option<Time>,
    /// Whether configurations change faster than a watch can deliver them.
    is_behind: bool,
    backoff: Duration,
    evacuated: HashSet<SmolStr>,
}

impl StoreWatcher {
    /// Creates a watcher of `kind`.
    pub fn new(state: Rc<State>, kind: Kind) -> StoreWatcher {
        StoreWatcher {
            client: StoreClient::new(
                state.cfg.store,
                state.metrics.clone(),
                state.known_era.clone(),
            ),
            state,
            kind,
            outage_grace_until: None,
            is_behind: false,
            backoff: INITIAL_BACKOFF,
            evacuated: HashSet::new(),
        }
    }

    /// Reads the store whenever this entry has no parent, until the process ends.
    pub async fn run(mut self) {
        // The configuration says whether an endpoint is an engine and how many layers its model
        // has. Without it, an engine that holds half of its layers would count as complete.
        while self.kind == Kind::Endpoints && self.state.catalog.borrow().is_none() {
            self.state.config_applied.notified().await;
        }
        loop {
            self.state.until_reading_store().await;
            let sent_at = self.state.now();
            match self.client.list(self.kind, false).await {
                Ok(_) if self.state.is_following.get() => {}
                Ok((objects, revision)) => {
                    self.apply_list(&objects, revision, sent_at);
                    if self.is_behind {
                        let elapsed = self.state.now().since(sent_at);
                        sleep(elapsed.clamp(MIN_CATCH_UP_DELAY, MAX_CATCH_UP_DELAY)).await;
                    } else {
                        self.watch_from(revision).await;
                    }
                }
                Err(e) => self.handle_failure(e).await,
            }
        }
    }

    /// Applies a list that was requested at `sent_at` and includes all changes up to `as_of`.
    fn apply_list(&mut self, objects: &[Object], as_of: StorePosition, sent_at: Time) {
        let now = self.state.now();
        self.record_read(as_of, sent_at, now);
        let last_read = self.last_read();
        let before = self.state.config_version();
        self.record_success(sent_at);
        self.apply_objects(objects, as_of, last_read);
        self.state.record_endpoints_freshness();
        self.is_behind &= self.state.config_version() != before;
    }

    /// Watches changes after `revision` until a list is needed.
    ///
    /// A watch returns each version of the configuration since its revision. After an outage, or
    /// when others follow while one of a megabyte is in transit, its responses hold more and more
    /// versions, and callers are told for seconds that a new route does not exist. A list returns
    /// only the newest version, so lists are used until they show no change.
    async fn watch_from(&mut self, mut revision: StorePosition) {
        let mut is_probe = false;
        let mut watch_timeout = self.max_watch_timeout();
        loop {
            if self.kind == Kind::Endpoints && self.state.must_relist_endpoints.take() {
                return;
            }
            if self.state.is_following.get() {
                return;
            }
            let timeout = if is_probe { PROBE_TIMEOUT } else { watch_timeout };
            let sent_at = self.state.now();
            match self.client.watch(self.kind, revision, timeout).await {
                // The parent has sent newer state by now.
                Ok(_) if self.state.is_following.get() => return,
                Ok(response) => {
                    is_probe = false;
                    revision = revision.max(response.revision);
                    let count = response.changes.len();
                    let last_read = self.last_read();
                    self.record_success(sent_at);
                    watch_timeout = self.max_watch_timeout();
                    if count > 0 {
                        let elapsed = self.state.now().since(sent_at);
                        watch_timeout =
                            watch_timeout.saturating_sub(elapsed).max(MIN_WATCH_TIMEOUT);
                    } else {
                        self.confirm_unchanged(sent_at, timeout);
                        self.record_store_latency(sent_at + timeout);
                    }
                    let now = self.state.now();
                    let earliest = if count > 0 { sent_at } else { (sent_at + timeout).min(now) };
                    self.record_read(response.revision, earliest, now);
                    self.apply_changes(response.changes, revision, last_read);
                    if count > 1 && self.kind == Kind::Config {
                        self.is_behind = true;
                        return;
                    }
                    if count > 0 {
                        sleep(coalescing_delay(self.kind)).await;
                    }
                }
                Err(StoreError::Compacted) => {
                    slog::info!(self.state.log, "watch history compacted; listing again";
                        "kind" => self.kind.as_str(), "revision" => revision.to_string());
                    return;
                }
                Err(e) => {
                    self.handle_failure(e).await;
                    if self.kind == Kind::Config {
                        self.is_behind = true;
                        return;
                    }
                    is_probe = true;
                }
            }
        }
    }

    /// Longest time for which a watch waits for a change.
    fn max_watch_timeout(&self) -> Duration {
        match self.kind {
            Kind::Config => CONFIG_WATCH_TIMEOUT,
            Kind::Endpoints => self.state.age_limits().endpoints_watch_timeout(),
            Kind::Evacuations => EVACUATIONS_WATCH_TIMEOUT,
            Kind::Weights => WEIGHTS_WATCH_TIMEOUT,
        }
    }

    /// Records that the store was at `as_of` at some moment from `earliest` to `answered_at`.
    fn record_read(&self, as_of: StorePosition, earliest: Time, answered_at: Time) {
        self.state.store_clock.borrow_mut().record_read(as_of, earliest, answered_at);
    }

    fn last_read(&self) -> LastRead {
        LastRead {
            confirmed_at: self.state.confirmed_at.borrow().get(&self.kind).copied(),
            has_failed: self.state.failing_kinds.borrow().contains(&self.kind),
        }
    }

    fn record_success(&mut self, sent_at: Time) {
        self.backoff = INITIAL_BACKOFF;
        let was_failing = self.state.failing_kinds.borrow_mut().remove(&self.kind);
        self.state.confirmed_at.borrow_mut().insert(self.kind, sent_at);
        if self.kind == Kind::Config {
            self.state.freshness.borrow_mut().confirm(sent_at);
        }
        if was_failing {
            let now = self.state.now();
            self.outage_grace_until = Some(now + OUTAGE_GRACE_PERIOD);
            slog::info!(self.state.log, "store regained"; "kind" => self.kind.as_str());
        }
    }

    /// Records that a watch sent at `sent_at` ended without a change after `timeout`. The store
    /// looked for changes until then, so the state is confirmed as of that time. Only the lease on
    /// the configuration counts from `sent_at`.
    fn confirm_unchanged(&self, sent_at: Time, timeout: Duration) {
        if self.kind != Kind::Config {
            let confirmed_at = (sent_at + timeout).min(self.state.now());
            self.state.confirmed_at.borrow_mut().insert(self.kind, confirmed_at);
        }
    }

    /// Records the latency of a response that the store sent at `due`.
    fn record_store_latency(&self, due: Time) {
        let elapsed = self.state.now().since(due);
        self.state.min_store_latency.set(self.state.min_store_latency.get().min(elapsed));
    }

    async fn handle_failure(&mut self, e: StoreError) {
        self.state.metrics.count("store_failures");
        if self.state.failing_kinds.borrow_mut().insert(self.kind) {
            let age = self.state.freshness.borrow().age(self.state.now());
            slog::warn!(self.state.log, "store lost"; "kind" => self.kind.as_str(),
                "error" => e.as_str(),
                "config_age_ms" => age.map_or(-1, |age| age.as_millis() as i64));
        }
        let jitter = self.state.with_rng(|rng| rng.random_range(0.5..1.0));
        sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
