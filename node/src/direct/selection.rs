//! Selection of the endpoint for the next attempt of a request.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
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

/// Time before the deadline from which on no retry is started, as it could hardly finish and would
/// occupy a place.
const MIN_RETRY_TIME: Duration = Duration::from_millis(60);

/// The error of a request for which no further endpoint is tried; `error_if_untried` if it was sent
/// to none.
fn final_error(history: &CallHistory, error_if_untried: CallError) -> CallError {
    if history.may_have_run {
        CallError::Lost
    } else if history.tried_count() > 0 {
        CallError::Declined
    } else {
        error_if_untried
    }
}

/// Chooses the endpoint for the next attempt. Waits up to [`MAX_WAIT_OBJECTIVES`] for a free place,
/// and charges retries to the retry budget of the service.
pub(super) async fn next_endpoint(
    state: &Rc<State>,
    call: &Call,
    history: &CallHistory,
) -> Result<EndpointKey> {
    let now = state.now();
    if now >= call.deadline {
        return Err(final_error(history, CallError::Expired));
    }
    if history.tried_count() > 0 {
        let has_attempts_left = history.sent_count < call.route.max_attempts;
        let has_time_left = call.deadline.since(now) >= MIN_RETRY_TIME;
        if !has_attempts_left || !has_time_left || history.tried_count() >= MAX_ENDPOINTS_TRIED {
            return Err(final_error(history, CallError::Declined));
        }
    }
    let wait_until = call.received_at + call.route.objective.mul_f64(MAX_WAIT_OBJECTIVES);
    let endpoint = loop {
        let now = state.now();
        if let Some(ends_in) = state.quarantine_remaining(call) {
            return Err(if history.may_have_run {
                CallError::Lost
            } else {
                CallError::Quarantined { ends_in }
            });
        }
        match choose_endpoint(state, call, history, now) {
            Ok(endpoint) => break endpoint,
            Err(Unavailable::NoEndpoint) => {
                return Err(final_error(history, CallError::NoEndpoint));
            }
            Err(Unavailable::Full) if now >= wait_until => {
                return Err(final_error(history, CallError::Full));
            }
            Err(Unavailable::Warming) if now >= wait_until => {
                return Err(final_error(history, CallError::Warming));
            }
            // No endpoint with a free place takes a request before then.
            Err(Unavailable::Limited { opens_in }) if now + opens_in > wait_until => {
                return Err(final_error(history, CallError::Limited { opens_in }));
            }
            Err(Unavailable::Paused { ends_in }) if now + ends_in > wait_until => {
                return Err(final_error(history, CallError::Paused { ends_in }));
            }
            Err(
                Unavailable::Limited { opens_in: duration }
                | Unavailable::Paused { ends_in: duration },
            ) => {
                let _ = timeout(duration, state.capacity_freed.notified()).await;
            }
            Err(Unavailable::Full | Unavailable::Warming) => {
                let _ = timeout(wait_until.since(now), state.capacity_freed.notified()).await;
            }
        }
    };
    let now = state.now();
    if history.sent_count > 0 {
        let entries = state.endpoints.borrow().entries();
        if !state.with_retry_budget(&call.service, |budget| budget.try_spend(entries, now)) {
            state.metrics.count("retries_over_budget");
            return Err(final_error(history, CallError::Declined));
        }
        state.metrics.count("retries");
    }
    Ok(endpoint)
}

fn choose_endpoint(
    state: &Rc<State>,
    call: &Call,
    history: &CallHistory,
    now: Time,
) -> std::result::Result<EndpointKey, Unavailable> {
    let oldest_version =
        call.head.model.as_deref().map(|model| (model, state.oldest_allowed_version(model, now)));
    let customer_regions = call.customer.as_ref().map(|c| c.allowed_regions.as_slice());
    let requirements = Requirements {
        service: &call.service,
        model: oldest_version,
        regions: [&call.route.allowed_regions, customer_regions.unwrap_or_default()],
        tried: &history.tried,
        cold_per_second: call.cold_per_second,
        is_late: call.is_late,
    };
    let mut endpoints = state.endpoints.borrow_mut();
    state.with_rng(|rng| endpoints.choose(&requirements, now, rng))
}
