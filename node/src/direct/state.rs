//! What an entry on the direct path knows and shares among its tasks, all on one thread.

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
use mastichaven_core::direct::lateness::LongestDeadline;
use mastichaven_core::direct::replication::AgeLimits;
use mastichaven_core::direct::replication::Nomination;
use mastichaven_core::direct::retry_after::RefusalCause;
use mastichaven_core::direct::retry_after::retry_after;
use mastichaven_core::direct::shares::SharedRetryBudget;
use mastichaven_core::direct::versions::CurrentWeights;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::ids::ServiceName;
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
use super::followers::Publisher;
use super::metrics::Metrics;
use super::pool::ConnectionPool;
use super::settings::DirectSettings;
use crate::clock::BootClock;

/// Part of the revocation bound for which a confirmed read lets the entry act on its keys. The rest
/// is for what was accepted just before the bound and still travels to an endpoint.
const LEASE_PART: f64 = 0.88;

/// Part of the bound on weights after which requests no longer go to an older version. A request
/// begins to run when it leaves the endpoint's queue, which takes long under overload.
const OLD_WEIGHTS_PART: f64 = 0.82;

/// Routes whose callers' waits are remembered at most: some hundred KB.
const MAX_ROUTES_WATCHED: usize = 4_096;

/// Time of the store's answers before the first one.
const STORE_TIME_UNKNOWN: Duration = Duration::from_secs(1);

/// Everything that the tasks of an entry share.
#[derive(Debug)]
pub struct State {
    /// Settings of this process.
    pub cfg: DirectSettings,
    /// The clock of all decisions; it goes on while the host is suspended.
    pub clock: BootClock,
    /// Logger of the process.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// The configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Signals the first configuration.
    pub configured: Notify,
    /// Whether the models of services differ from those with which endpoints were read.
    pub are_models_new: Cell<bool>,
    /// The endpoints.
    pub endpoints: RefCell<EndpointTable>,
    /// Endpoints that are kept though the store no longer lists them, and since when.
    pub lapsed: RefCell<HashMap<SmolStr, Time>>,
    /// Whether a list of endpoints has come in this life that was still young.
    has_young_list: Cell<bool>,
    /// Lease on the configuration.
    pub freshness: RefCell<Freshness>,
    /// Versions of each model.
    pub versions: RefCell<HashMap<SmolStr, Versions>>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Signals that a place at an endpoint has become free.
    pub freed: Notify,
    /// Signals that a new version was named.
    pub named: Notify,
    /// Whether the process is about to stop.
    pub is_stopping: Cell<bool>,
    /// When the read of each kind was sent that the store answered last.
    pub confirmed: RefCell<HashMap<Kind, Time>>,
    /// The entry that the others of the region follow, as agents named it last.
    pub relay: Cell<Nomination>,
    /// Whether agents of the region know another entry of it that may be followed.
    pub has_fresh_neighbour: Cell<bool>,
    /// The entry that watches the store for all regions, as agents named it last.
    pub root: Cell<Nomination>,
    /// The entry that this one follows, and the distance from the store that it has with it.
    pub parent: Cell<Option<(IpAddr, u8)>>,
    /// The entries that ask the store if the parent is lost.
    pub successors: RefCell<Vec<IpAddr>>,
    /// Whether another entry tells this one what the store says.
    pub is_following: Cell<bool>,
    /// Whether this entry has started and still looks for one to follow.
    pub is_joining: Cell<bool>,
    /// Kinds of objects for which the store does not answer this entry.
    pub lost_kinds: RefCell<HashSet<Kind>>,
    /// The shortest time in which the store has answered.
    pub store_time: Cell<Duration>,
    /// Signals that this entry has to ask the store itself.
    pub unfollowed: Notify,
    /// The entries that follow this one.
    pub publisher: Publisher,
    /// Chunks of weights for the agents of the region.
    pub chunks: ChunkCache,
    longest_deadlines: RefCell<HashMap<SmolStr, LongestDeadline>>,
    budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    rng: RefCell<SmallRng>,
}

impl State {
    /// The state of an entry that knows nothing yet.
    pub fn new(cfg: DirectSettings, log: Logger, entries: u32) -> State {
        let mut endpoints = EndpointTable::new(cfg.host.clone(), cfg.zone.clone(), cfg.regions());
        endpoints.set_entries(entries);
        let lease = Duration::from_millis(cfg.bounds.key_revocation_ms).mul_f64(LEASE_PART);
        State {
            clock: BootClock::start(),
            log,
            metrics: Rc::default(),
            catalog: RefCell::default(),
            configured: Notify::new(),
            are_models_new: Cell::new(false),
            endpoints: RefCell::new(endpoints),
            lapsed: RefCell::default(),
            has_young_list: Cell::new(false),
            freshness: RefCell::new(Freshness::new(lease)),
            versions: RefCell::default(),
            pool: ConnectionPool::default(),
            freed: Notify::new(),
            named: Notify::new(),
            is_stopping: Cell::new(false),
            confirmed: RefCell::default(),
            relay: Cell::default(),
            has_fresh_neighbour: Cell::new(false),
            root: Cell::default(),
            parent: Cell::new(None),
            successors: RefCell::default(),
            is_following: Cell::new(false),
            is_joining: Cell::new(true),
            lost_kinds: RefCell::default(),
            store_time: Cell::new(STORE_TIME_UNKNOWN),
            unfollowed: Notify::new(),
            publisher: Publisher::default(),
            chunks: ChunkCache::default(),
            longest_deadlines: RefCell::default(),
            budgets: RefCell::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            cfg,
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Runs `f` with the random source.
    pub fn with_rng<T>(&self, f: impl FnOnce(&mut SmallRng) -> T) -> T {
        f(&mut self.rng.borrow_mut())
    }

    /// Whether new connections are welcome: all that an answer needs is known and fresh.
    pub fn is_ready(&self, now: Time) -> bool {
        !self.is_stopping.get() && self.knows_all() && self.freshness.borrow().is_valid(now)
    }

    /// Whether each kind of object was read or told in this life. An entry that has started and can't read
    /// one yet knows of no version of weights, or of no zone that is out, and would send callers to what
    /// is barred everywhere else. On a full link a list of endpoints is under way for seconds, and shows some
    /// that have left meanwhile.
    pub fn knows_all(&self) -> bool {
        let confirmed = self.confirmed.borrow();
        self.has_young_list.get()
            && self.catalog.borrow().is_some()
            && Kind::ALL.iter().all(|kind| confirmed.contains_key(kind))
    }

    /// How old what is known of the endpoints may be.
    pub fn age_limits(&self) -> AgeLimits {
        self.cfg.bounds.age_limits()
    }

    /// Endpoints were taken in, or confirmed as they are.
    pub fn note_list(&self) {
        if self.age_limits().has_fresh_endpoints(&self.ages()) {
            self.has_young_list.set(true);
        }
    }

    /// Whether this entry is in the region of the origin of weights.
    pub fn is_beside_origin(&self) -> bool {
        let catalog = self.catalog.borrow();
        let origin = catalog.as_ref().and_then(|catalog| catalog.origin());
        origin.is_some_and(|origin| self.cfg.regions.get(&origin.zone) == Some(&self.cfg.region()))
    }

    /// The oldest version of `model` that may still answer.
    pub fn oldest_weights(&self, model: &str, now: Time) -> u64 {
        let bound = Duration::from_millis(self.cfg.bounds.weights_ms).mul_f64(OLD_WEIGHTS_PART);
        let versions = self.versions.borrow();
        versions.get(model).map_or(0, |versions| versions.oldest_allowed(bound, now))
    }

    /// The version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.catalog.borrow().as_ref().map(|catalog| catalog.version())
    }

    /// The newest version of each model.
    pub fn newest_versions(&self) -> Vec<(SmolStr, u64)> {
        let versions = self.versions.borrow();
        versions.iter().map(|(model, versions)| (model.clone(), versions.newest())).collect()
    }

    /// The versions of each model that count now.
    pub fn current_weights(&self) -> Vec<CurrentWeights> {
        let now = self.now();
        let current = |(model, newest): (SmolStr, u64)| {
            let oldest = self.oldest_weights(&model, now);
            CurrentWeights { model, newest, oldest }
        };
        self.newest_versions().into_iter().map(current).collect()
    }

    /// All that is believed now and how old it is, for operators.
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
            "weights": weights,
            "endpoints": self.endpoints.borrow().dump(now),
        })
    }

    /// The time after which a caller with `left` of its time is asked to come back.
    pub fn retry_after(&self, cause: RefusalCause, left: Duration) -> Duration {
        retry_after(cause, left, self.with_rng(|rng| rng.random()))
    }

    /// Whether a caller of `route` that waits for `left` more has come back too late to be in time.
    pub fn is_late(&self, route: &Route, left: Duration, now: Time) -> bool {
        let mut waits = self.longest_deadlines.borrow_mut();
        if waits.len() >= MAX_ROUTES_WATCHED && !waits.contains_key(&route.name) {
            waits.clear();
        }
        waits.entry(route.name.clone()).or_default().is_late(left, route.objective, now)
    }

    /// Runs `f` with the repeat budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let bounds = &self.cfg.bounds;
            let window = Duration::from_secs_f64(bounds.repeat_window_s);
            SharedRetryBudget::new(bounds.repeat_ratio, bounds.repeat_slack, window)
        });
        f(budget)
    }
}

/// A place that a request holds at an endpoint until it is dropped.
#[derive(Debug)]
pub struct Place {
    state: Rc<State>,
    /// The endpoint.
    pub endpoint: EndpointKey,
}

impl Place {
    /// Takes a place at `endpoint`.
    pub fn take(state: &Rc<State>, endpoint: EndpointKey) -> Place {
        state.endpoints.borrow_mut().record_sent(endpoint, state.now());
        Place { state: state.clone(), endpoint }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.state.endpoints.borrow_mut().record_finished(self.endpoint);
        self.state.freed.notify_one();
    }
}
