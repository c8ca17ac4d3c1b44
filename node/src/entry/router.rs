//! Turns and endpoints: limits of customers, the queue of each service, and who goes where.
//!
//! One lock guards it all; every step under it is short and bounded.

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
use super::parse::Parsed;

/// How old an entry's picture of the members may be. It is rebuilt this often however many
/// requests come, so that the cost of a request does not grow with the fleet.
const FRESH_FOR: Duration = Duration::from_millis(100);

/// How often a queue looks for room that nobody reported.
const TICK: Duration = Duration::from_millis(20);

/// `Retry-After` when nothing better is known.
const USUAL_AFTER: Duration = Duration::from_secs(1);

/// Weight of one answer in the running average of the time to the head.
const RECENT: f64 = 0.05;

/// A refusal, and when the caller should come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    /// Why.
    pub(super) code: Code,
    /// When to come back.
    pub(super) after: Duration,
}

impl From<Code> for Refused {
    fn from(code: Code) -> Refused {
        Refused { code, after: USUAL_AFTER }
    }
}

/// What endpoints can answer for one another: a service at one version.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct LineKey {
    service: ServiceName,
    version: Option<Digest>,
}

/// The endpoints of a service and who waits for them.
#[derive(Default)]
struct Line {
    pool: Pool,
    queue: FairQueue<Waiter>,
    reserve: Reserve,
    is_ticking: bool,
    head_seconds: Option<f64>,
}

struct Waiter {
    prefix: Option<Digest>,
    tried: Vec<HostName>,
    grant: oneshot::Sender<Result<Lease, Code>>,
}

#[derive(Default)]
struct State {
    lines: HashMap<LineKey, Line>,
    versions: HashMap<ModelName, Digest>,
    rates: HashMap<CustomerName, TokenBucket>,
    running: HashMap<CustomerName, u32>,
    budget: RetryBudget,
    members: Arc<Vec<Member>>,
    entries: Option<EntrySet>,
    refreshed: Option<Time>,
    generation: Generation,
}

/// Decides who goes where and when.
#[derive(Default)]
pub(super) struct Router {
    state: Mutex<State>,
}

/// The place of a request within its customer's limits; given back when dropped.
pub(super) struct Admitted {
    shared: Arc<Shared>,
    customer: CustomerName,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        if let Some(running) = state.running.get_mut(&self.customer) {
            *running = running.saturating_sub(1);
        }
    }
}

/// An endpoint that a request may be sent to once; given back when dropped.
pub(super) struct Lease {
    /// The attempt it stands for.
    pub(super) to: Dispatch,
    shared: Arc<Shared>,
    key: LineKey,
    customer: CustomerName,
    ended: AttemptResult,
    since: Time,
}

impl Lease {
    /// The entry it belongs to.
    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Notes the load that the agent reported.
    pub(super) fn report(&self, load: Load) {
        let now = self.shared.clock.now();
        if let Some(line) = lock(&self.shared).lines.get_mut(&self.key) {
            line.pool.record_load(&self.to.agent, load, now);
        }
    }

    /// Notes that the agent had no room or was closed.
    pub(super) fn refused(&mut self) {
        self.ended = AttemptResult::Refused;
        let now = self.shared.clock.now();
        if let Some(line) = lock(&self.shared).lines.get_mut(&self.key) {
            line.pool.record_refusal(&self.to.agent, now, &mut rand::rng());
        }
    }

    /// Notes that the head of the answer is here.
    pub(super) fn head(&self) {
        let seconds = self.shared.clock.now().since(self.since).as_secs_f64();
        if let Some(line) = lock(&self.shared).lines.get_mut(&self.key) {
            let old = line.head_seconds.unwrap_or(seconds);
            line.head_seconds = Some(old + (seconds - old) * RECENT);
        }
    }

    /// Notes how the attempt ended, before the lease is dropped.
    pub(super) fn set_ended(&mut self, ended: AttemptResult) {
        self.ended = ended;
    }

    /// Notes why the attempt gave no whole answer. An agent that refuses is sound, and has said so
    /// already; one out of reach is not.
    pub(super) fn note_failure(&mut self, code: Code) {
        if code == Code::Quarantined {
            return;
        }
        let is_sound = code.outcome() == Outcome::NotRun && code != Code::Unreachable;
        if is_sound {
            self.refused();
        } else {
            self.ended = AttemptResult::Failed;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let limit = self.shared.documents.in_force().config.limits.eject_share;
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared);
        if let Some(line) = state.lines.get_mut(&self.key) {
            line.pool.record_result(&self.to.agent, self.ended, limit, now);
            line.reserve.release(&self.customer);
        }
        let unused = pump(&self.shared, &mut state, &self.key, now);
        drop(state);
        drop(unused);
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.router.state.lock().expect("no holder of this lock panics")
}

/// Takes a request in within its customer's limits.
pub(super) fn admit(shared: &Arc<Shared>, parsed: &Parsed) -> Result<Admitted, Refused> {
    let in_force = shared.documents.in_force();
    let customer = in_force.config.customer.get(&parsed.customer).ok_or(Code::UnknownCustomer)?;
    let now = shared.clock.now();
    let mut state = lock(shared);
    refresh(shared, &mut state, now);
    let entries = state.entries.as_ref().map_or(1, EntrySet::len);
    let concurrent = limits::concurrency_share(customer.concurrent, entries);
    if state.running.get(&parsed.customer).is_some_and(|running| *running >= concurrent) {
        return Err(Code::CustomerLimit.into());
    }
    let per_second = limits::rate_share(customer.requests_per_second, entries);
    let rate = state.rates.entry(parsed.customer.clone()).or_insert_with(|| TokenBucket::new(now));
    rate.try_take(per_second, now).map_err(|after| Refused { code: Code::CustomerLimit, after })?;
    *state.running.entry(parsed.customer.clone()).or_default() += 1;
    state.budget.deposit(in_force.config.limits.retry_share);
    Ok(Admitted { shared: shared.clone(), customer: parsed.customer.clone() })
}

/// Takes one further attempt from the retry budget.
pub(super) fn may_retry(shared: &Shared) -> bool {
    lock(shared).budget.try_withdraw()
}

/// The time after which an attempt without a head is unusually slow; `None` while nothing is
/// known.
pub(super) fn usual_head(shared: &Shared, parsed: &Parsed) -> Option<Duration> {
    let seconds = lock(shared).lines.get(&key_of(parsed))?.head_seconds?;
    Some(Duration::from_secs_f64(seconds))
}

/// The version of a model that is answered from.
pub(super) fn version_of(shared: &Shared, name: &ModelName) -> Result<Digest, Code> {
    let in_force = shared.documents.in_force();
    let mut state = lock(shared);
    refresh(shared, &mut state, shared.clock.now());
    if let Some(version) = state.versions.get(name) {
        return Ok(*version);
    }
    let model = in_force.config.model.get(name).ok_or(Code::NoRoute)?;
    let version = in_force.config.version.get(&model.serve).ok_or(Code::NoRoute)?;
    let configured = Digest::from_hex(&version.manifest).ok_or(Code::NoRoute)?;
    let plan = shared.documents.plan(name).map(|(_, plan)| plan);
    let is_ready = |wanted: Digest| {
        state.members.iter().any(|member| !member.leaving && serves_version(member, wanted))
    };
    let version = routable_version(plan.as_ref(), configured, is_ready);
    state.versions.insert(name.clone(), version);
    Ok(version)
}

fn serves_version(member: &Member, wanted: Digest) -> bool {
    matches!(&member.serving, Serving::Model { version, .. } if *version == wanted)
}

fn key_of(parsed: &Parsed) -> LineKey {
    LineKey { service: parsed.service.clone(), version: parsed.version }
}

/// Waits for the request's turn and an endpoint. `tried` are avoided while others have room;
/// `again` puts a request that was here before in front of its customer's others.
pub(super) async fn acquire(
    shared: &Arc<Shared>,
    parsed: &Parsed,
    tried: &[HostName],
    again: bool,
) -> Result<Lease, Refused> {
    let key = key_of(parsed);
    let rx = match enqueue(shared, parsed, &key, tried, again)? {
        Turn::Now(to) => return Ok(lease(shared, key, &parsed.customer, to)),
        Turn::Later(rx) => rx,
    };
    let left = parsed.deadline.since(shared.clock.now());
    match tokio::time::timeout(left, rx).await {
        Ok(Ok(granted)) => Ok(granted?),
        Ok(Err(_)) => Err(Refused { code: Code::Shed, after: expected_wait(shared, parsed) }),
        Err(_) => Err(Code::DeadlineBeforeRun.into()),
    }
}

/// An endpoint with room for a hedged attempt, within the retry budget and only while nobody
/// waits; never one of `tried`.
pub(super) fn acquire_now(
    shared: &Arc<Shared>,
    parsed: &Parsed,
    tried: &[HostName],
) -> Option<Lease> {
    let key = key_of(parsed);
    let now = shared.clock.now();
    let mut state = lock(shared);
    let State { lines, budget, .. } = &mut *state;
    let line = lines.get_mut(&key)?;
    if !line.queue.is_empty() || !line.pool.has_capacity(now) || !budget.try_withdraw() {
        return None;
    }
    let endpoint = line.pool.pick(parsed.prefix, tried, now, &mut rand::rng())?.clone();
    let to = dispatch_to(shared, endpoint);
    line.reserve.acquire(&parsed.customer);
    drop(state);
    Some(lease(shared, key, &parsed.customer, to))
}

fn lease(shared: &Arc<Shared>, key: LineKey, customer: &CustomerName, to: Dispatch) -> Lease {
    let customer = customer.clone();
    Lease {
        to,
        shared: shared.clone(),
        key,
        customer,
        ended: AttemptResult::Inconclusive,
        since: shared.clock.now(),
    }
}

fn expected_wait(shared: &Shared, parsed: &Parsed) -> Duration {
    let state = lock(shared);
    let line = state.lines.get(&key_of(parsed));
    line.map_or(USUAL_AFTER, |line| line.queue.expected_wait(&parsed.customer))
}

/// Services with their endpoints and queues, for the dump.
pub(super) fn dump(shared: &Shared) -> Value {
    let now = shared.clock.now();
    let state = lock(shared);
    let line = |(key, line): (&LineKey, &Line)| {
        json!({
            "service": key.service,
            "version": key.version.map(Digest::to_hex),
            "endpoints": line.pool.len(),
            "places": line.pool.total_slots(),
            "places_free": line.pool.free_slots(now),
            "in_progress": line.pool.in_flight(),
            "waiting": line.queue.len(),
            "usual_head_ms": line.head_seconds.map(|seconds| seconds * 1_000.0),
        })
    };
    Value::Array(state.lines.iter().map(line).collect())
}

enum Turn {
    Now(Dispatch),
    Later(oneshot::Receiver<Result<Lease, Code>>),
}

fn enqueue(
    shared: &Arc<Shared>,
    parsed: &Parsed,
    key: &LineKey,
    tried: &[HostName],
    again: bool,
) -> Result<Turn, Refused> {
    let in_force = shared.documents.in_force();
    let now = shared.clock.now();
    let mut state = lock(shared);
    refresh(shared, &mut state, now);
    if !state.lines.contains_key(key) {
        let mut line = Line::default();
        if let Some(entries) = &state.entries {
            refresh_line(&mut line, &state.members, entries, &in_force.config, key, now);
        }
        state.lines.insert(key.clone(), line);
    }
    let entries = state.entries.as_ref().map_or(1, EntrySet::len);
    let line = state.lines.get_mut(key).expect("it was just put there");
    if line.pool.is_empty() {
        return Err(Code::NoEndpoint.into());
    }
    line.reserve.record_request(&parsed.customer, now);
    if line.queue.is_empty()
        && may_take(line, &parsed.customer, entries, now)
        && let Some(to) = pick(shared, &mut line.pool, parsed.prefix, tried, now)
    {
        line.reserve.acquire(&parsed.customer);
        return Ok(Turn::Now(to));
    }
    let wait = line.queue.expected_wait(&parsed.customer);
    if !again && wait > parsed.deadline.since(now) {
        return Err(Refused { code: Code::Shed, after: wait });
    }
    let (grant, rx) = oneshot::channel();
    let waiting = QueuedItem {
        item: Waiter { prefix: parsed.prefix, tried: tried.to_vec(), grant },
        customer: parsed.customer.clone(),
        work: parsed.work,
        priority: parsed.priority,
        deadline: parsed.deadline,
    };
    let weight = in_force.config.customer.get(&parsed.customer).map_or(1, |c| c.weight);
    let max = usize::try_from(in_force.config.limits.queue_len).unwrap_or(usize::MAX);
    // What is shed learns of it by its dropped grant.
    drop(line.queue.push(waiting, weight, again, max));
    if !std::mem::replace(&mut line.is_ticking, true) {
        tokio::spawn(tick(shared.clone(), key.clone()));
    }
    Ok(Turn::Later(rx))
}

async fn tick(shared: Arc<Shared>, key: LineKey) {
    loop {
        tokio::time::sleep(TICK).await;
        let now = shared.clock.now();
        let mut state = lock(&shared);
        refresh(&shared, &mut state, now);
        let unused = pump(&shared, &mut state, &key, now);
        let Some(line) = state.lines.get_mut(&key) else {
            return;
        };
        if line.pool.is_empty() {
            // Zone out or the last endpoint gone: those that wait are told at once.
            let mut late = Vec::new();
            while let Some(waiting) = line.queue.pop(now, &mut late) {
                let _ = waiting.item.grant.send(Err(Code::NoEndpoint));
            }
        }
        let is_over = line.queue.is_empty();
        line.is_ticking = !is_over;
        drop(state);
        drop(unused);
        if is_over {
            return;
        }
    }
}

fn may_take(line: &Line, customer: &CustomerName, entries: usize, now: Time) -> bool {
    let (free, places) = (line.pool.free_slots(now), line.pool.total_slots());
    line.reserve.may_acquire(customer, free, places, entries, now)
}

/// Gives those that wait their turns while there is room. Leases that nobody took are given back
/// to be dropped without the lock, which their drop takes.
fn pump(shared: &Arc<Shared>, state: &mut State, key: &LineKey, now: Time) -> Vec<Lease> {
    let mut unused = Vec::new();
    let entries = state.entries.as_ref().map_or(1, EntrySet::len);
    let Some(line) = state.lines.get_mut(key) else {
        return unused;
    };
    let mut late = Vec::new();
    while line.pool.has_capacity(now)
        && line.queue.next_customer().is_some_and(|next| may_take(line, next, entries, now))
    {
        let Some(waiting) = line.queue.pop(now, &mut late) else {
            break;
        };
        let Waiter { prefix, tried, grant } = waiting.item;
        if grant.is_closed() {
            continue;
        }
        let Some(to) = pick(shared, &mut line.pool, prefix, &tried, now) else {
            break;
        };
        line.reserve.acquire(&waiting.customer);
        let granted = lease(shared, key.clone(), &waiting.customer, to);
        if let Err(Ok(lease)) = grant.send(Ok(granted)) {
            unused.push(lease);
        }
    }
    unused
}

fn pick(
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
    Some(dispatch_to(shared, host))
}

fn dispatch_to(shared: &Shared, endpoint: Endpoint) -> Dispatch {
    Dispatch {
        agent: endpoint.host,
        address: endpoint.address,
        incarnation: endpoint.incarnation,
        request: shared.next_request(),
    }
}

fn refresh(shared: &Shared, state: &mut State, now: Time) {
    let in_force = shared.documents.in_force();
    let is_fresh = state.refreshed.is_some_and(|at| !now.passed(at, FRESH_FOR));
    if is_fresh && state.generation == in_force.generation {
        return;
    }
    state.refreshed = Some(now);
    state.generation = in_force.generation;
    state.versions.clear();
    state.members = shared.members();
    let place = &shared.settings.place;
    let entries = EntrySet::new(&state.members, &place.host, &place.zone);
    let members = state.members.clone();
    for (key, line) in &mut state.lines {
        refresh_line(line, &members, &entries, &in_force.config, key, now);
    }
    state.entries = Some(entries);
    state.lines.retain(|_, line| !line.pool.is_empty() || !line.queue.is_empty());
}

fn refresh_line(
    line: &mut Line,
    members: &[Member],
    entries: &EntrySet,
    config: &Config,
    key: &LineKey,
    now: Time,
) {
    let serves = |member: &Member| match (&member.serving, key.version) {
        (Serving::Model { version, .. }, Some(wanted)) => *version == wanted,
        (Serving::Plain { service, .. }, None) => *service == key.service,
        _ => false,
    };
    let zone_in = |member: &Member| {
        config.zone.get(&member.zone).is_some_and(|zone| zone.state == ZoneState::In)
    };
    let open: Vec<&Member> = members
        .iter()
        .filter(|member| !member.leaving && serves(member) && zone_in(member))
        .collect();
    line.pool.refresh(&open, entries, now);
}
