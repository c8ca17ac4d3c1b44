//! Selection of the endpoint for the next attempt of a request.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
use mastichaven_core::direct::priority::Admission;
use tokio::time::sleep;
use tokio::time::timeout;

use super::admission::RECHECK_INTERVAL;
use super::admission::Waiter;
use super::call::Call;
use super::call::CallError;
use super::call::CallHistory;
use super::call::Result;
use super::state::State;

/// Endpoints that a request is sent to at most, including those that refuse it or cannot be
/// reached. More tries than this don't find an endpoint that accepts the request.
const MAX_ENDPOINTS_TRIED: usize = 4;

/// Longest wait for a free place, as a fraction of the route's latency objective. A caller gains
/// more from an early refusal, after which it retries at another entry, than from a longer wait.
const MAX_WAIT_OBJECTIVES: f64 = 0.125;

/// Share of the retry budget that streams without an event may use, so that the rest is left to those whose callers
/// have received a part.
const FIRST_EVENT_BUDGET_SHARE: f64 = 0.6;

/// The same for calls of the highest of several levels. Half of the objective is left for the way to the first event,
/// which takes up to 0.31 s at the 99th percentile.
const HIGHEST_LEVEL_WAIT_OBJECTIVES: f64 = 0.5;

/// Time before the deadline from which on no retry is started, as it could hardly finish and would
/// occupy a place.
const MIN_RETRY_TIME: Duration = Duration::from_millis(60);

/// Chooses the endpoint for the next attempt. Waits for a free place up to [`MAX_WAIT_OBJECTIVES`], or until
/// [`CallHistory::retry_until`] if a response has been lost, and charges retries to the retry budget of the service.
///
/// Calls of a service with levels wait in the order of [`WaitQueue`](mastichaven_core::direct::wait_queue::WaitQueue),
/// and those of the highest level up to [`HIGHEST_LEVEL_WAIT_OBJECTIVES`].
pub(super) async fn next_endpoint(
    state: &Rc<State>,
    call: &Call,
    history: &mut CallHistory,
) -> Result<EndpointKey> {
    let now = state.now();
    if now >= call.deadline {
        return Err(history.stop_retrying("deadline passed", CallError::Expired));
    }
    let mut waiter: Option<Waiter> = None;
    let endpoint = loop {
        let now = state.now();
        let admission = state.admission(call, history, now);
        let wait_until = wait_until(call, history, &admission);
        if let Some(reason) = retry_obstacle(call, history, now) {
            return Err(history.stop_retrying(reason, CallError::Declined));
        }
        if let Some(ends_in) = state.quarantine_remaining(call) {
            let e = CallError::Quarantined { ends_in };
            let stopped = stop(history, e);
            return Err(if stopped == CallError::Lost { stopped } else { e });
        }
        if call.class.has_levels()
            && waiter.is_none()
            && now < wait_until
            && state.must_queue(call, admission.level)
        {
            state.record_wait(call, history, &admission, now);
            let waiting = waiter.insert(Waiter::join(state, call, admission.level));
            state.notify_first_waiters();
            waiting.wait(wait_until.since(now)).await;
            continue;
        }
        match choose_endpoint(state, call, history, &admission, now) {
            Ok(endpoint) => {
                state.record_admission(call, history, &admission, now);
                break endpoint;
            }
            Err(Unavailable::NoEndpoint) => {
                return Err(stop(history, CallError::NoEndpoint));
            }
            Err(Unavailable::Full) if now >= wait_until => {
                return Err(stop(history, CallError::Full));
            }
            Err(Unavailable::Warming) if now >= wait_until => {
                state.record_turn_refusal(call, now);
                return Err(stop(history, CallError::Warming));
            }
            // No endpoint with a free place takes a request before then.
            Err(Unavailable::Limited { opens_in }) if now + opens_in > wait_until => {
                return Err(stop(history, CallError::Limited { opens_in }));
            }
            Err(Unavailable::Paused { ends_in }) if now + ends_in > wait_until => {
                return Err(stop(history, CallError::Paused { ends_in }));
            }
            Err(
                Unavailable::Limited { opens_in: duration }
                | Unavailable::Paused { ends_in: duration },
            ) => wait_for_place(state, call, history, &mut waiter, &admission, duration).await,
            Err(Unavailable::Full | Unavailable::Warming) => {
                let remaining = wait_until.since(now);
                let has_turn = call.class.has_levels();
                let wait = if has_turn { remaining } else { remaining.min(RECHECK_INTERVAL) };
                wait_for_place(state, call, history, &mut waiter, &admission, wait).await;
            }
        }
    };
    if state.endpoints.borrow().has_avoided_slow() {
        state.metrics.count("slow_endpoints_avoided");
    }
    drop(waiter);
    let now = state.now();
    if history.sent_count > 0 {
        let entries = state.endpoints.borrow().entries();
        let usable = usable_budget(call, history);
        if !state.with_retry_budget(&call.service, |budget| budget.try_spend(usable, entries, now))
        {
            state.metrics.count("retries_over_budget");
            return Err(history.stop_retrying("retry budget used up", CallError::Declined));
        }
        state.metrics.count("retries");
    }
    Ok(endpoint)
}

/// Until when a call waits for a free place.
fn wait_until(call: &Call, history: &CallHistory, admission: &Admission) -> Time {
    if let Some(retry_until) = history.retry_until {
        return retry_until.min(call.deadline);
    }
    // A late call cannot be answered in time any more.
    let is_highest = call.class.has_levels() && admission.level == 0 && !call.is_late;
    let objectives = if is_highest { HIGHEST_LEVEL_WAIT_OBJECTIVES } else { MAX_WAIT_OBJECTIVES };
    call.received_at + call.route.objective.mul_f64(objectives)
}

/// Waits until capacity may be available, at most for `limit`. A call of a service with levels waits for its turn as
/// `waiter`.
async fn wait_for_place(
    state: &Rc<State>,
    call: &Call,
    history: &CallHistory,
    waiter: &mut Option<Waiter>,
    admission: &Admission,
    limit: Duration,
) {
    if !call.class.has_levels() {
        let _ = timeout(limit, state.capacity_freed.notified()).await;
        return;
    }
    match waiter {
        Some(waiter) => waiter.pass_on(),
        None => state.record_wait(call, history, admission, state.now()),
    }
    waiter.get_or_insert_with(|| Waiter::join(state, call, admission.level)).wait(limit).await;
}

/// Waits until an attempt has been silent for `patience` and another endpoint can take its request, or forever. An
/// endpoint that is given up before may be the only one that would have answered.
pub(super) async fn until_replaceable(
    state: &Rc<State>,
    call: &Call,
    history: &CallHistory,
    patience: Duration,
) {
    sleep(patience).await;
    let is_replaceable = |now| {
        retry_obstacle(call, history, now).is_none()
            && state.quarantine_remaining(call).is_none()
            && has_retry_budget(state, call, usable_budget(call, history), now)
            && choose_endpoint(state, call, history, &state.admission(call, history, now), now)
                .is_ok()
    };
    while !is_replaceable(state.now()) {
        sleep(RECHECK_INTERVAL).await;
    }
}

/// Whether the retry budget has one left for a request that may use `usable` of it.
pub(super) fn has_retry_budget(state: &State, call: &Call, usable: f64, now: Time) -> bool {
    let entries = state.endpoints.borrow().entries();
    state.with_retry_budget(&call.service, |budget| budget.has_left(usable, entries, now))
}

/// Why a request that was sent to an endpoint may not be sent to another one; `None` if it may.
pub(super) fn retry_obstacle(
    call: &Call,
    history: &CallHistory,
    now: Time,
) -> Option<&'static str> {
    if history.tried_count() == 0 {
        None
    } else if history.sent_count >= call.route.max_attempts {
        Some("no attempts left")
    } else if call.deadline.since(now) < MIN_RETRY_TIME {
        Some("no time left")
    } else if history.tried_count() >= MAX_ENDPOINTS_TRIED {
        Some("too many endpoints tried")
    } else {
        None
    }
}

/// The error of a request for which no endpoint can be chosen because of `e`.
fn stop(history: &mut CallHistory, e: CallError) -> CallError {
    history.stop_retrying(e.as_str(), e)
}

pub(super) fn choose_endpoint(
    state: &Rc<State>,
    call: &Call,
    history: &CallHistory,
    admission: &Admission,
    now: Time,
) -> std::result::Result<EndpointKey, Unavailable> {
    let oldest_version = call.head.model.as_deref().map(|model| {
        let until = history.weights_until.map(|time| state.oldest_version_until(model, time));
        (model, state.oldest_allowed_version(model, now).max(until.unwrap_or(0)))
    });
    let customer_regions = call.customer.as_ref().map(|c| c.allowed_regions.as_slice());
    let requirements = Requirements {
        service: &call.service,
        model: oldest_version,
        regions: [&call.route.allowed_regions, customer_regions.unwrap_or_default()],
        tried: &history.tried,
        cold_per_second: call.cold_per_second,
        is_late: call.is_late,
        reservation: admission.reservation,
        yields_turns: admission.yields_turns,
        work: call.work,
    };
    if let Some(endpoint) = choose_lasting(state, call, &requirements, now) {
        return Ok(endpoint);
    }
    let mut endpoints = state.endpoints.borrow_mut();
    state.with_rng(|rng| endpoints.choose(&requirements, now, rng))
}

/// Chooses an endpoint that would begin the request at once, on weights that have no bound before the expected end of
/// the answer; `None` if there is none, or if all weights that meet the requirements are such.
fn choose_lasting(
    state: &State,
    call: &Call,
    requirements: &Requirements<'_>,
    now: Time,
) -> Option<EndpointKey> {
    let (model, oldest) = requirements.model?;
    let expected_end = state.answer_time(&call.route).expected_end(now, call.deadline);
    let lasting = state.oldest_version_until(model, expected_end);
    if lasting <= oldest {
        return None;
    }
    let requirements = Requirements { model: Some((model, lasting)), ..*requirements };
    let mut endpoints = state.endpoints.borrow_mut();
    let endpoint = state.with_rng(|rng| endpoints.choose(&requirements, now, rng)).ok()?;
    endpoints
        .has_free_slot(endpoint, call.is_late, requirements.reservation, now)
        .then_some(endpoint)
}

/// Records how long an endpoint has taken to answer a request that was sent to it at `sent_at`, over the time that was
/// expected, or over the route's latency objective if nothing was.
pub(super) fn record_answer_time(
    state: &State,
    call: &Call,
    expected: Option<Duration>,
    endpoint: EndpointKey,
    sent_at: Time,
) {
    let now = state.now();
    let expected = expected.unwrap_or(call.route.objective);
    if !expected.is_zero() {
        let ratio = now.since(sent_at).div_duration_f64(expected);
        state.endpoints.borrow_mut().record_answer_time(endpoint, ratio, now);
    }
}

/// Share of the retry budget that the request may use.
fn usable_budget(call: &Call, history: &CallHistory) -> f64 {
    let may_be_resumed = call.route.retry_policy == RetryPolicy::Resumable;
    if may_be_resumed && !history.is_resumption { FIRST_EVENT_BUDGET_SHARE } else { 1.0 }
}
