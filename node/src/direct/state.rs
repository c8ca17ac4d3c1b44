//! State of an entry on the direct path. Its tasks share it on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint_table::EndpointTable;
use mastichaven_core::direct::freshness::Freshness;
use mastichaven_core::direct::handover::AnswerTime;
use mastichaven_core::direct::lateness::LongestDeadline;
use mastichaven_core::direct::loop_lag::LoopLag;
use mastichaven_core::direct::notices::NoticeQueue;
use mastichaven_core::direct::priority::AdmissionStats;
use mastichaven_core::direct::read_ahead::FullProcesses;
use mastichaven_core::direct::replication::AgeLimits;
use mastichaven_core::direct::replication::Nomination;
use mastichaven_core::direct::retry_after::RefusalCause;
use mastichaven_core::direct::retry_after::ReturnSlice;
use mastichaven_core::direct::retry_after::retry_after;
use mastichaven_core::direct::shares::SharedRetryBudget;
use mastichaven_core::direct::store_clock::StoreClock;
use mastichaven_core::direct::versions::CurrentWeights;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::direct::wait_queue::WaitQueue;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::quarantine::Quarantine;
use mastichaven_platform::objects::Kind;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;

use super::chunk_cache::ChunkCache;
use super::clients::Clients;
use super::crashes::Probes;
use super::followers::Publisher;
use super::metrics::Metrics;
use super::pool::ConnectionPool;
use super::response_body::ReadAhead;
use super::settings::DirectSettings;
use super::store::KnownEra;
use crate::clock::BootClock;

/// Lease on the configuration as a fraction of the key revocation bound. The rest of the bound
/// covers requests that were accepted just before the lease expired and are still on their way to
/// an endpoint.
const LEASE_FRACTION: f64 = 0.88;

/// Maximum number of routes whose longest deadlines and answer times are tracked; they take some hundred KB.
const MAX_TRACKED_ROUTES: usize = 4_096;

/// Store latency that is assumed until the store has responded.
const INITIAL_STORE_LATENCY: Duration = Duration::from_secs(1);

/// State shared by all tasks of an entry.
#[derive(Debug)]
pub struct State {
    /// Settings of this process.
    pub cfg: DirectSettings,
    /// Clock for all decisions. It also advances while the host is suspended.
    pub clock: BootClock,
    /// Logger of the process.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// Connections of callers.
    pub callers: Rc<Clients>,
    /// The current configuration; `None` until the first one is applied.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Notified when a configuration is applied.
    pub config_applied: Notify,
    /// Whether the models of services have changed since the endpoints were listed, so that the
    /// endpoints must be listed again.
    pub must_relist_endpoints: Cell<bool>,
    /// Endpoints that requests may be sent to.
    pub endpoints: RefCell<EndpointTable>,
    /// Ids of endpoints that are kept though the store no longer lists them, with the time at which
    /// they were dropped from the list.
    pub lapsed: RefCell<HashMap<SmolStr, Time>>,
    /// Whether the endpoint list has been fresh at least once since the start.
    has_had_fresh_endpoints: Cell<bool>,
    /// Lease on the configuration.
    pub freshness: RefCell<Freshness>,
    /// Announced versions of each model.
    pub versions: RefCell<HashMap<SmolStr, Versions>>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Events read ahead for callers that read slowly.
    pub read_ahead: Rc<ReadAhead>,
    /// Recent probes of endpoints whose connections broke.
    pub probes: Probes,
    /// Endpoints that have reported their memory full.
    pub full_processes: RefCell<FullProcesses>,
    /// Requests that may be the cause of crashes of endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// Notified when a request is quarantined.
    pub request_quarantined: Notify,
    /// Notices to the collectors that wait to be sent.
    pub notices: RefCell<NoticeQueue>,
    /// Notified when a notice is added to `notices`.
    pub notices_due: Notify,
    /// Notified when an endpoint may accept another request. Calls of services with levels wait in
    /// `wait_queues` instead.
    pub(super) capacity_freed: Notify,
    /// Calls that wait for a place, for each service with levels.
    pub(super) wait_queues: RefCell<HashMap<ServiceName, WaitQueue<Rc<Notify>>>>,
    /// Recent requests and admissions of each service with levels.
    pub(super) admissions: RefCell<HashMap<ServiceName, AdmissionStats>>,
    /// Notified when agents must learn of a new version or request limit at once.
    pub requests_due: Notify,
    /// Whether the process is shutting down.
    pub is_stopping: Cell<bool>,
    /// Time of the latest confirmed read of each kind: when it was sent or, for a watch that ended
    /// without a change, when it completed.
    pub confirmed_at: RefCell<HashMap<Kind, Time>>,
    /// Relay of the region, which its other entries follow, as nominated by agents.
    pub relay: Cell<Nomination>,
    /// Whether agents of the region report a relay other than this entry, so that a neighbour has
    /// fresh state.
    pub has_fresh_neighbour: Cell<bool>,
    /// Root, the entry that watches the store for all regions, as nominated by agents.
    pub root: Cell<Nomination>,
    /// The entry that this one follows or followed last, and the depth of this entry below it.
    pub parent: Cell<Option<(IpAddr, u8)>>,
    /// Followers of the parent that watch the store themselves if the parent is lost.
    pub successors: RefCell<Vec<IpAddr>>,
    /// Whether this entry receives its state from a parent.
    pub is_following: Cell<bool>,
    /// Whether this entry has just started and is still looking for a parent.
    pub is_joining: Cell<bool>,
    /// Kinds of objects whose last read from the store failed.
    pub failing_kinds: RefCell<HashSet<Kind>>,
    /// How late tasks of this entry run.
    pub loop_lag: RefCell<LoopLag>,
    /// Positions of the store in recent reads of this entry.
    pub store_clock: RefCell<StoreClock>,
    /// Latest known era of the store.
    pub known_era: Rc<KnownEra>,
    /// Minimum latency of the store so far.
    pub min_store_latency: Cell<Duration>,
    /// Notified when this entry must read the store itself.
    pub detached: Notify,
    /// The entries that follow this one.
    pub publisher: Publisher,
    /// Cached chunks of weights for the agents of the region.
    pub chunks: ChunkCache,
    pub(super) unknown_headers: RefCell<HashSet<SmolStr>>,
    longest_deadlines: RefCell<HashMap<SmolStr, LongestDeadline>>,
    answer_times: RefCell<HashMap<SmolStr, AnswerTime>>,
    retry_budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    rng: RefCell<SmallRng>,
}

impl State {
    /// Creates the state of an entry that has not read anything yet. `entries` is the assumed
    /// number of entries until agents have counted them.
    pub fn new(cfg: DirectSettings, log: Logger, entries: u32) -> State {
        let mut endpoints = EndpointTable::new(cfg.host.clone(), cfg.zone.clone(), cfg.regions());
        endpoints.set_entries(entries);
        let lease = Duration::from_millis(cfg.bounds.key_revocation_ms).mul_f64(LEASE_FRACTION);
        let metrics = Rc::<Metrics>::default();
        let clock = BootClock::start();
        let limits = cfg.limits.of_callers();
        let callers = Clients::new("callers", limits, clock, log.clone(), metrics.clone());
        State {
            clock,
            log,
            callers,
            read_ahead: ReadAhead::new(cfg.limits.memory_mb << 20, metrics.clone()),
            metrics,
            catalog: RefCell::default(),
            config_applied: Notify::new(),
            must_relist_endpoints: Cell::new(false),
            endpoints: RefCell::new(endpoints),
            lapsed: RefCell::default(),
            has_had_fresh_endpoints: Cell::new(false),
            freshness: RefCell::new(Freshness::new(lease)),
            versions: RefCell::default(),
            pool: ConnectionPool::default(),
            probes: Probes::default(),
            full_processes: RefCell::default(),
            quarantine: RefCell::default(),
            request_quarantined: Notify::new(),
            notices: RefCell::default(),
            notices_due: Notify::new(),
            capacity_freed: Notify::new(),
            wait_queues: RefCell::default(),
            admissions: RefCell::default(),
            requests_due: Notify::new(),
            is_stopping: Cell::new(false),
            confirmed_at: RefCell::default(),
            relay: Cell::default(),
            has_fresh_neighbour: Cell::new(false),
            root: Cell::default(),
            parent: Cell::new(None),
            successors: RefCell::default(),
            is_following: Cell::new(false),
            is_joining: Cell::new(true),
            failing_kinds: RefCell::default(),
            loop_lag: RefCell::default(),
            store_clock: RefCell::default(),
            known_era: Rc::default(),
            min_store_latency: Cell::new(INITIAL_STORE_LATENCY),
            detached: Notify::new(),
            publisher: Publisher::default(),
            chunks: ChunkCache::default(),
            unknown_headers: RefCell::default(),
            longest_deadlines: RefCell::default(),
            answer_times: RefCell::default(),
            retry_budgets: RefCell::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            cfg,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Runs `f` with the random number generator.
    pub fn with_rng<T>(&self, f: impl FnOnce(&mut SmallRng) -> T) -> T {
        f(&mut self.rng.borrow_mut())
    }

    /// Whether this entry accepts new connections: all state that routing needs is present, the
    /// lease is valid, and the process is not shutting down.
    pub fn is_ready(&self, now: Time) -> bool {
        !self.is_stopping.get() && self.is_synced() && self.freshness.borrow().is_valid(now)
    }

    /// Whether each kind of object has been received since the start, and a fresh endpoint list
    /// among them.
    ///
    /// An entry that lacks a kind has no versions of weights or no zones out of service, and would
    /// send requests to what all other entries exclude. Over a saturated link an endpoint list
    /// takes seconds to arrive and then shows endpoints that have left meanwhile.
    pub fn is_synced(&self) -> bool {
        let confirmed_at = self.confirmed_at.borrow();
        self.has_had_fresh_endpoints.get()
            && self.catalog.borrow().is_some()
            && Kind::ALL.iter().all(|kind| confirmed_at.contains_key(kind))
    }

    /// Maximum ages of the endpoint list.
    pub fn age_limits(&self) -> AgeLimits {
        self.cfg.bounds.age_limits()
    }

    /// Records whether the endpoint list is fresh after it has been received or confirmed.
    pub fn record_endpoints_freshness(&self) {
        if self.age_limits().has_fresh_endpoints(&self.ages()) {
            self.has_had_fresh_endpoints.set(true);
        }
    }

    /// Whether this entry is in the region of the origin of weights.
    pub fn is_in_origin_region(&self) -> bool {
        let catalog = self.catalog.borrow();
        let origin = catalog.as_ref().and_then(|catalog| catalog.origin());
        origin.is_some_and(|origin| self.cfg.regions.get(&origin.zone) == Some(&self.cfg.region()))
    }

    /// The oldest version of `model` that may still serve requests.
    pub fn oldest_allowed_version(&self, model: &str, now: Time) -> u64 {
        let versions = self.versions.borrow();
        versions
            .get(model)
            .map_or(0, |versions| versions.oldest_allowed(&self.version_limits(), now))
    }

    /// Version of the current configuration; `None` before the first one.
    pub fn config_version(&self) -> Option<u64> {
        self.catalog.borrow().as_ref().map(|catalog| catalog.version())
    }

    /// The newest announced version of each model.
    pub fn newest_versions(&self) -> Vec<(SmolStr, u64)> {
        let versions = self.versions.borrow();
        versions.iter().map(|(model, versions)| (model.clone(), versions.newest())).collect()
    }

    /// The range of versions of each model that this entry accepts.
    pub fn current_weights(&self) -> Vec<CurrentWeights> {
        let now = self.now();
        let current = |(model, newest): (SmolStr, u64)| {
            let oldest = self.oldest_allowed_version(&model, now);
            CurrentWeights { model, newest, oldest }
        };
        self.newest_versions().into_iter().map(current).collect()
    }

    /// State of the entry as JSON, with ages, for operators.
    pub fn dump(&self, now: Time) -> Value {
        let weights: HashMap<SmolStr, u64> = self.newest_versions().into_iter().collect();
        json!({
            "host": self.cfg.host.as_str(),
            "ready": self.is_ready(now),
            "config": self.config_version(),
            "config_age_ms": self.freshness.borrow().age(now).map(|age| age.as_millis() as u64),
            "entries": self.endpoints.borrow().entries(),
            "relay": self.relay.get().last(),
            "root": self.root.get().last(),
            "follows": self.is_following.get(),
            "parent": self.parent.get().map(|(ip, _)| ip),
            "depth": self.depth(),
            "followers": self.publisher.len(),
            "chunks": self.chunks.len(),
            "caller_connections": self.callers.connections(),
            "caller_bytes": self.callers.used(),
            "read_ahead_bytes": self.read_ahead.buffered(),
            "loop_lag_ms": self.loop_lag.borrow().max().as_millis() as u64,
            "weights": weights,
            "suspects": self.quarantine.borrow().len(),
            "endpoints": self.endpoints.borrow().dump(now),
        })
    }

    /// Age of the latest load report on an endpoint in milliseconds, for log lines; -1 if there is none.
    pub(super) fn report_age_ms(&self, endpoint: EndpointKey) -> i64 {
        let age = self.endpoints.borrow().report_age(endpoint, self.now());
        age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }

    /// Delay after which a refused caller with `left` of its deadline is asked to retry, within the
    /// `slice` of its level.
    pub fn retry_after(&self, cause: RefusalCause, left: Duration, slice: ReturnSlice) -> Duration {
        retry_after(cause, left, slice.map(self.with_rng(|rng| rng.random())))
    }

    /// Offers a freed place to a call that waits for one.
    pub(super) fn notify_capacity_freed(&self) {
        self.capacity_freed.notify_one();
        self.notify_first_waiters();
    }

    /// Lets all waiting calls look for a place.
    pub(super) fn notify_capacity_changed(&self) {
        self.capacity_freed.notify_waiters();
        self.notify_first_waiters();
    }

    /// Wakes the first waiter of each service with levels. It wakes the next one in turn.
    pub(super) fn notify_first_waiters(&self) {
        let wait_queues = self.wait_queues.borrow();
        let first = wait_queues.values().filter_map(WaitQueue::first);
        first.for_each(|(_, waiter)| waiter.notify_one());
    }

    /// Whether a caller of `route` with `left` until its deadline can no longer be answered within
    /// the route's latency objective.
    pub fn is_late(&self, route: &Route, left: Duration, now: Time) -> bool {
        let mut deadlines = self.longest_deadlines.borrow_mut();
        if deadlines.len() >= MAX_TRACKED_ROUTES && !deadlines.contains_key(&route.name) {
            deadlines.clear();
        }
        deadlines.entry(route.name.clone()).or_default().is_late(left, route.objective, now)
    }

    /// Usual time of the answers of `route`.
    pub fn answer_time(&self, route: &Route) -> AnswerTime {
        self.answer_times.borrow().get(&route.name).copied().unwrap_or_default()
    }

    /// Records how long a complete answer of `route` took.
    pub fn record_answer_time(&self, route: &Route, took: Duration) {
        let mut answer_times = self.answer_times.borrow_mut();
        if answer_times.len() >= MAX_TRACKED_ROUTES && !answer_times.contains_key(&route.name) {
            answer_times.clear();
        }
        answer_times.entry(route.name.clone()).or_default().record(took);
    }

    /// Runs `f` with the retry budget of a service.
    pub fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            let bounds = &self.cfg.bounds;
            let window = Duration::from_secs_f64(bounds.repeat_window_s);
            SharedRetryBudget::new(bounds.repeat_ratio, bounds.repeat_slack, window)
        });
        f(budget)
    }
}
