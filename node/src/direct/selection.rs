//! Selection of the endpoint for the next attempt of a request.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
use tokio::time::sleep;
use tokio::time::timeout;

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

/// Interval at which a waiting request looks for a place even if none was reported as freed: endpoints also become
/// available as time passes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the deadline from which on no retry is started, as it could hardly finish and would
/// occupy a place.
const MIN_RETRY_TIME: Duration = Duration::from_millis(60);

/// Chooses the endpoint for the next attempt. Waits for a free place up to [`MAX_WAIT_OBJECTIVES`], or until
/// [`CallHistory::retry_until`] if a response has been lost, and charges retries to the retry budget of the service.
pub(super) async fn next_endpoint(
    state: &Rc<State>,
    call: &Call,
    history: &mut CallHistory,
) -> Result<EndpointKey> {
    let now = state.now();
    if now >= call.deadline {
        return Err(history.stop_retrying("deadline passed", CallError::Expired));
    }
    let wait_until = match history.retry_until {
        Some(retry_until) => retry_until.min(call.deadline),
        None => call.received_at + call.route.objective.mul_f64(MAX_WAIT_OBJECTIVES),
    };
    let endpoint = loop {
        let now = state.now();
        if let Some(reason) = retry_obstacle(call, history, now) {
            return Err(history.stop_retrying(reason, CallError::Declined));
        }
        if let Some(ends_in) = state.quarantine_remaining(call) {
            let e = CallError::Quarantined { ends_in };
            let stopped = stop(history, e);
            return Err(if stopped == CallError::Lost { stopped } else { e });
        }
        match choose_endpoint(state, call, history, now) {
            Ok(endpoint) => break endpoint,
            Err(Unavailable::NoEndpoint) => {
                return Err(stop(history, CallError::NoEndpoint));
            }
            Err(Unavailable::Full) if now >= wait_until => {
                return Err(stop(history, CallError::Full));
            }
            Err(Unavailable::Warming) if now >= wait_until => {
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
            ) => {
                let _ = timeout(duration, state.capacity_freed.notified()).await;
            }
            Err(Unavailable::Full | Unavailable::Warming) => {
                let wait = wait_until.since(now).min(RECHECK_INTERVAL);
                let _ = timeout(wait, state.capacity_freed.notified()).await;
            }
        }
    };
    if state.endpoints.borrow().has_avoided_slow() {
        state.metrics.count("slow_endpoints_avoided");
    }
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
            && choose_endpoint(state, call, history, now).is_ok()
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
    endpoints.has_free_slot(endpoint, call.is_late, now).then_some(endpoint)
}

/// Share of the retry budget that the request may use.
fn usable_budget(call: &Call, history: &CallHistory) -> f64 {
    let may_be_resumed = call.route.retry_policy == RetryPolicy::Resumable;
    if may_be_resumed && !history.is_resumption { FIRST_EVENT_BUDGET_SHARE } else { 1.0 }
}
