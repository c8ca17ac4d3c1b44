//! Admission control and routing: limits per customer, a queue per service, and the choice of
//! endpoints.
//!
//! One lock guards all state; each operation under it is short and bounded.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::Time;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::config::Config;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::limits;
use mastichaven_core::limits::TokenBucket;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::plan::routable_version;
use mastichaven_core::queue::FairQueue;
use mastichaven_core::queue::QueuedItem;
use mastichaven_core::reserve::Reserve;
use mastichaven_core::retry::RetryBudget;
use mastichaven_core::route::AttemptResult;
use mastichaven_core::route::Endpoint;
use mastichaven_core::route::EntrySet;
use mastichaven_core::route::Pool;
use mastichaven_core::run::Load;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use super::Shared;
use super::parse::ParsedRequest;

/// Interval at which the state is updated from the member list. It does not depend on the request
/// rate, so that the cost of a request does not grow with the number of hosts.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a queue checks for capacity that no load report announced.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Value of `Retry-After` when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Weight of one response in the moving average of the time to the response head.
const HEAD_TIME_EWMA_WEIGHT: f64 = 0.05;

/// A rejected request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    /// The reason.
    pub(super) code: Code,
    /// Delay after which the caller should retry.
    pub(super) retry_after: Duration,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Rejection {
        Rejection { code, retry_after: DEFAULT_RETRY_AFTER }
    }
}

/// Identifies a set of interchangeable endpoints: a service, at one version if it serves a model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct BackendKey {
    service: ServiceName,
    version: Option<Digest>,
}

/// The endpoints of a service and the requests queued for them.
#[derive(Default)]
struct Backend {
    pool: Pool,
    queue: FairQueue<Waiter>,
    reserve: Reserve,
    is_polled: bool,
    avg_head_seconds: Option<f64>,
}

struct Waiter {
    prefix: Option<Digest>,
    tried: Vec<HostName>,
    grant: oneshot::Sender<Result<EndpointPermit, Code>>,
}

#[derive(Default)]
struct State {
    backends: HashMap<BackendKey, Backend>,
    versions: HashMap<ModelName, Digest>,
    rate_limiters: HashMap<CustomerName, TokenBucket>,
    in_flight: HashMap<CustomerName, u32>,
    retry_budget: RetryBudget,
    members: Arc<Vec<Member>>,
    entries: Option<EntrySet>,
    refreshed_at: Option<Time>,
    generation: Generation,
}

/// Admits requests and assigns them to endpoints.
#[derive(Default)]
pub(super) struct Router {
    state: Mutex<State>,
}

/// Counts a request towards the concurrency limit of its customer; released when dropped.
pub(super) struct CustomerPermit {
    shared: Arc<Shared>,
    customer: CustomerName,
}

impl Drop for CustomerPermit {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        if let Some(in_flight) = state.in_flight.get_mut(&self.customer) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }
}

/// Permits one attempt at an endpoint; released when dropped.
pub(super) struct EndpointPermit {
    /// The attempt, with the agent that it is sent to.
    pub(super) to: Dispatch,
    shared: Arc<Shared>,
    key: BackendKey,
    customer: CustomerName,
    result: AttemptResult,
    acquired_at: Time,
}

impl EndpointPermit {
    /// The state of the entry that issued it.
    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Records the load that the agent reported with a frame.
    pub(super) fn record_load(&self, load: Load) {
        let now = self.shared.clock.now();
        if let Some(backend) = lock(&self.shared).backends.get_mut(&self.key) {
            backend.pool.record_load(&self.to.agent, load, now);
        }
    }

    /// Records that the agent refused the attempt, as full or closed.
    pub(super) fn record_refusal(&mut self) {
        self.result = AttemptResult::Refused;
        let now = self.shared.clock.now();
        if let Some(backend) = lock(&self.shared).backends.get_mut(&self.key) {
            backend.pool.record_refusal(&self.to.agent, now, &mut rand::rng());
        }
    }

    /// Records the time to the response head, which has just arrived.
    pub(super) fn record_head(&self) {
        let seconds = self.shared.clock.now().since(self.acquired_at).as_secs_f64();
        if let Some(backend) = lock(&self.shared).backends.get_mut(&self.key) {
            let old = backend.avg_head_seconds.unwrap_or(seconds);
            backend.avg_head_seconds = Some(old + (seconds - old) * HEAD_TIME_EWMA_WEIGHT);
        }
    }

    /// Sets the result that is reported to routing when the permit is dropped.
    pub(super) fn set_result(&mut self, result: AttemptResult) {
        self.result = result;
    }

    /// Records why the attempt returned no complete response. A refusal proves that the agent is
    /// healthy; a failure, or an agent that cannot be reached, counts towards ejection.
    pub(super) fn record_failure(&mut self, code: Code) {
        if code == Code::Quarantined {
            return;
        }
        let is_healthy = code.outcome() == Outcome::NotRun && code != Code::Unreachable;
        if is_healthy {
            self.record_refusal();
        } else {
            self.result = AttemptResult::Failed;
        }
    }
}

impl Drop for EndpointPermit {
    fn drop(&mut self) {
        let limit = self.shared.documents.in_force().config.limits.eject_share;
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared);
        if let Some(backend) = state.backends.get_mut(&self.key) {
            backend.pool.record_result(&self.to.agent, self.result, limit, now);
            backend.reserve.release(&self.customer);
        }
        let unclaimed = grant_queued(&self.shared, &mut state, &self.key, now);
        drop(state);
        drop(unclaimed);
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.router.state.lock().expect("no holder of this lock panics")
}

/// Admits a request if it is within the rate and concurrency limits of its customer.
pub(super) fn admit(
    shared: &Arc<Shared>,
    parsed: &ParsedRequest,
) -> Result<CustomerPermit, Rejection> {
    let in_force = shared.documents.in_force();
    let customer = in_force.config.customer.get(&parsed.customer).ok_or(Code::UnknownCustomer)?;
    let now = shared.clock.now();
    let mut state = lock(shared);
    refresh_state(shared, &mut state, now);
    let entry_count = state.entries.as_ref().map_or(1, EntrySet::len);
    let concurrent = limits::concurrency_share(customer.concurrent, entry_count);
    if state.in_flight.get(&parsed.customer).is_some_and(|in_flight| *in_flight >= concurrent) {
        return Err(Code::CustomerLimit.into());
    }
    let per_second = limits::rate_share(customer.requests_per_second, entry_count);
    let rate_limiter =
        state.rate_limiters.entry(parsed.customer.clone()).or_insert_with(|| TokenBucket::new(now));
    rate_limiter
        .try_take(per_second, now)
        .map_err(|retry_after| Rejection { code: Code::CustomerLimit, retry_after })?;
    *state.in_flight.entry(parsed.customer.clone()).or_default() += 1;
    state.retry_budget.deposit(in_force.config.limits.retry_share);
    Ok(CustomerPermit { shared: shared.clone(), customer: parsed.customer.clone() })
}

/// Withdraws one retry from the retry budget; false if the budget is exhausted.
pub(super) fn try_withdraw_retry(shared: &Shared) -> bool {
    lock(shared).retry_budget.try_withdraw()
}

/// Returns the average time to the response head; `None` before the first response.
pub(super) fn average_head_time(shared: &Shared, parsed: &ParsedRequest) -> Option<Duration> {
    let seconds = lock(shared).backends.get(&backend_key(parsed))?.avg_head_seconds?;
    Some(Duration::from_secs_f64(seconds))
}

/// Returns the version of a model that new requests are routed to.
pub(super) fn serving_version(shared: &Shared, name: &ModelName) -> Result<Digest, Code> {
    let in_force = shared.documents.in_force();
    let mut state = lock(shared);
    refresh_state(shared, &mut state, shared.clock.now());
    if let Some(version) = state.versions.get(name) {
        return Ok(*version);
    }
    let model = in_force.config.model.get(name).ok_or(Code::NoRoute)?;
    let version = in_force.config.version.get(&model.serve).ok_or(Code::NoRoute)?;
    let configured = Digest::from_hex(&version.manifest).ok_or(Code::NoRoute)?;
    let plan = shared.documents.plan(name).map(|(_, plan)| plan);
    let is_ready = |version_digest: Digest| {
        state.members.iter().any(|member| !member.leaving && serves_version(member, version_digest))
    };
    let version = routable_version(plan.as_ref(), configured, is_ready);
    state.versions.insert(name.clone(), version);
    Ok(version)
}

fn serves_version(member: &Member, version_digest: Digest) -> bool {
    matches!(&member.serving, Serving::Model { version, .. } if *version == version_digest)
}

fn backend_key(parsed: &ParsedRequest) -> BackendKey {
    BackendKey { service: parsed.service.clone(), version: parsed.version }
}

/// Waits in the queue for a permit. The hosts in `tried` are avoided while others have capacity. A
/// retry is queued before the other requests of its customer.
pub(super) async fn acquire(
    shared: &Arc<Shared>,
    parsed: &ParsedRequest,
    tried: &[HostName],
    is_retry: bool,
) -> Result<EndpointPermit, Rejection> {
    let key = backend_key(parsed);
    let rx = match enqueue(shared, parsed, &key, tried, is_retry)? {
        Acquisition::Immediate(to) => return Ok(new_permit(shared, key, &parsed.customer, to)),
        Acquisition::Queued(rx) => rx,
    };
    let remaining = parsed.deadline.since(shared.clock.now());
    match tokio::time::timeout(remaining, rx).await {
        Ok(Ok(granted)) => Ok(granted?),
        Ok(Err(_)) => {
            Err(Rejection { code: Code::Shed, retry_after: expected_wait(shared, parsed) })
        }
        Err(_) => Err(Code::DeadlineBeforeRun.into()),
    }
}

/// Returns a permit for a hedged attempt without waiting. `None` if requests are queued, no
/// endpoint outside `tried` has capacity, or the retry budget is exhausted.
pub(super) fn try_acquire(
    shared: &Arc<Shared>,
    parsed: &ParsedRequest,
    tried: &[HostName],
) -> Option<EndpointPermit> {
    let key = backend_key(parsed);
    let now = shared.clock.now();
    let mut state = lock(shared);
    let State { backends, retry_budget, .. } = &mut *state;
    let backend = backends.get_mut(&key)?;
    if !backend.queue.is_empty() || !backend.pool.has_capacity(now) || !retry_budget.try_withdraw()
    {
        return None;
    }
    let endpoint = backend.pool.pick(parsed.prefix, tried, now, &mut rand::rng())?.clone();
    let to = new_dispatch(shared, endpoint);
    backend.reserve.acquire(&parsed.customer);
    drop(state);
    Some(new_permit(shared, key, &parsed.customer, to))
}

fn new_permit(
    shared: &Arc<Shared>,
    key: BackendKey,
    customer: &CustomerName,
    to: Dispatch,
) -> EndpointPermit {
    let customer = customer.clone();
    EndpointPermit {
        to,
        shared: shared.clone(),
        key,
        customer,
        result: AttemptResult::Inconclusive,
        acquired_at: shared.clock.now(),
    }
}

fn expected_wait(shared: &Shared, parsed: &ParsedRequest) -> Duration {
    let state = lock(shared);
    let backend = state.backends.get(&backend_key(parsed));
    backend.map_or(DEFAULT_RETRY_AFTER, |backend| backend.queue.expected_wait(&parsed.customer))
}

/// Returns the state of all services, their endpoints and queues, for the dump.
pub(super) fn dump(shared: &Shared) -> Value {
    let now = shared.clock.now();
    let state = lock(shared);
    let backend = |(key, backend): (&BackendKey, &Backend)| {
        json!({
            "service": key.service,
            "version": key.version.map(Digest::to_hex),
            "endpoints": backend.pool.len(),
            "places": backend.pool.total_slots(),
            "places_free": backend.pool.free_slots(now),
            "in_progress": backend.pool.in_flight(),
            "waiting": backend.queue.len(),
            "usual_head_ms": backend.avg_head_seconds.map(|seconds| seconds * 1_000.0),
        })
    };
    Value::Array(state.backends.iter().map(backend).collect())
}

enum Acquisition {
    Immediate(Dispatch),
    Queued(oneshot::Receiver<Result<EndpointPermit, Code>>),
}

fn enqueue(
    shared: &Arc<Shared>,
    parsed: &ParsedRequest,
    key: &BackendKey,
    tried: &[HostName],
    is_retry: bool,
) -> Result<Acquisition, Rejection> {
    let in_force = shared.documents.in_force();
    let now = shared.clock.now();
    let mut state = lock(shared);
    refresh_state(shared, &mut state, now);
    if !state.backends.contains_key(key) {
        let mut backend = Backend::default();
        if let Some(entries) = &state.entries {
            refresh_backend(&mut backend, &state.members, entries, &in_force.config, key, now);
        }
        state.backends.insert(key.clone(), backend);
    }
    let entry_count = state.entries.as_ref().map_or(1, EntrySet::len);
    let backend = state.backends.get_mut(key).expect("inserted above if it was missing");
    if backend.pool.is_empty() {
        return Err(Code::NoEndpoint.into());
    }
    backend.reserve.record_request(&parsed.customer, now);
    if backend.queue.is_empty()
        && may_acquire(backend, &parsed.customer, entry_count, now)
        && let Some(to) = pick_endpoint(shared, &mut backend.pool, parsed.prefix, tried, now)
    {
        backend.reserve.acquire(&parsed.customer);
        return Ok(Acquisition::Immediate(to));
    }
    let wait = backend.queue.expected_wait(&parsed.customer);
    if !is_retry && wait > parsed.deadline.since(now) {
        return Err(Rejection { code: Code::Shed, retry_after: wait });
    }
    let (grant, rx) = oneshot::channel();
    let queued = QueuedItem {
        item: Waiter { prefix: parsed.prefix, tried: tried.to_vec(), grant },
        customer: parsed.customer.clone(),
        work: parsed.work,
        priority: parsed.priority,
        deadline: parsed.deadline,
    };
    let weight = in_force.config.customer.get(&parsed.customer).map_or(1, |c| c.weight);
    let max = usize::try_from(in_force.config.limits.queue_len).unwrap_or(usize::MAX);
    // A request that is shed is notified by the drop of its sender.
    drop(backend.queue.push(queued, weight, is_retry, max));
    if !std::mem::replace(&mut backend.is_polled, true) {
        tokio::spawn(poll_queue(shared.clone(), key.clone()));
    }
    Ok(Acquisition::Queued(rx))
}

async fn poll_queue(shared: Arc<Shared>, key: BackendKey) {
    loop {
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
        let now = shared.clock.now();
        let mut state = lock(&shared);
        refresh_state(&shared, &mut state, now);
        let unclaimed = grant_queued(&shared, &mut state, &key, now);
        let Some(backend) = state.backends.get_mut(&key) else {
            return;
        };
        if backend.pool.is_empty() {
            // The zone was taken out of service or the last endpoint left: reject queued requests
            // at once instead of at their deadlines.
            let mut expired = Vec::new();
            while let Some(queued) = backend.queue.pop(now, &mut expired) {
                let _ = queued.item.grant.send(Err(Code::NoEndpoint));
            }
        }
        let is_done = backend.queue.is_empty();
        backend.is_polled = !is_done;
        drop(state);
        drop(unclaimed);
        if is_done {
            return;
        }
    }
}

fn may_acquire(backend: &Backend, customer: &CustomerName, entry_count: usize, now: Time) -> bool {
    let (free, slots) = (backend.pool.free_slots(now), backend.pool.total_slots());
    backend.reserve.may_acquire(customer, free, slots, entry_count, now)
}

/// Grants permits to queued requests while there is capacity. Returns the permits whose requests
/// have ended. The caller drops them after releasing the lock, as their drop acquires it.
fn grant_queued(
    shared: &Arc<Shared>,
    state: &mut State,
    key: &BackendKey,
    now: Time,
) -> Vec<EndpointPermit> {
    let mut unclaimed = Vec::new();
    let entry_count = state.entries.as_ref().map_or(1, EntrySet::len);
    let Some(backend) = state.backends.get_mut(key) else {
        return unclaimed;
    };
    let mut expired = Vec::new();
    while backend.pool.has_capacity(now)
        && backend
            .queue
            .next_customer()
            .is_some_and(|next| may_acquire(backend, next, entry_count, now))
    {
        let Some(queued) = backend.queue.pop(now, &mut expired) else {
            break;
        };
        let Waiter { prefix, tried, grant } = queued.item;
        if grant.is_closed() {
            continue;
        }
        let Some(to) = pick_endpoint(shared, &mut backend.pool, prefix, &tried, now) else {
            break;
        };
        backend.reserve.acquire(&queued.customer);
        let granted = new_permit(shared, key.clone(), &queued.customer, to);
        if let Err(Ok(permit)) = grant.send(Ok(granted)) {
            unclaimed.push(permit);
        }
    }
    unclaimed
}

fn pick_endpoint(
    shared: &Shared,
    pool: &mut Pool,
    prefix: Option<Digest>,
    tried: &[HostName],
    now: Time,
) -> Option<Dispatch> {
    let rng = &mut rand::rng();
    let host = match pool.pick(prefix, tried, now, rng) {
        Some(endpoint) => endpoint.clone(),
        None if tried.is_empty() => return None,
        None => pool.pick(prefix, &[], now, rng)?.clone(),
    };
    Some(new_dispatch(shared, host))
}

fn new_dispatch(shared: &Shared, endpoint: Endpoint) -> Dispatch {
    Dispatch {
        agent: endpoint.host,
        address: endpoint.address,
        incarnation: endpoint.incarnation,
        request: shared.new_request_id(),
    }
}

fn refresh_state(shared: &Shared, state: &mut State, now: Time) {
    let in_force = shared.documents.in_force();
    let is_fresh = state.refreshed_at.is_some_and(|at| !now.passed(at, MEMBERS_REFRESH_INTERVAL));
    if is_fresh && state.generation == in_force.generation {
        return;
    }
    state.refreshed_at = Some(now);
    state.generation = in_force.generation;
    state.versions.clear();
    state.members = shared.members();
    let place = &shared.settings.place;
    let entries = EntrySet::new(&state.members, &place.host, &place.zone);
    let members = state.members.clone();
    for (key, backend) in &mut state.backends {
        refresh_backend(backend, &members, &entries, &in_force.config, key, now);
    }
    state.entries = Some(entries);
    state.backends.retain(|_, backend| !backend.pool.is_empty() || !backend.queue.is_empty());
}

fn refresh_backend(
    backend: &mut Backend,
    members: &[Member],
    entries: &EntrySet,
    config: &Config,
    key: &BackendKey,
    now: Time,
) {
    let serves = |member: &Member| match (&member.serving, key.version) {
        (Serving::Model { version, .. }, Some(version_digest)) => *version == version_digest,
        (Serving::Plain { service, .. }, None) => *service == key.service,
        _ => false,
    };
    let is_zone_in = |member: &Member| {
        config.zone.get(&member.zone).is_some_and(|zone| zone.state == ZoneState::In)
    };
    let candidates: Vec<&Member> = members
        .iter()
        .filter(|member| !member.leaving && serves(member) && is_zone_in(member))
        .collect();
    backend.pool.refresh(&candidates, entries, now);
}
