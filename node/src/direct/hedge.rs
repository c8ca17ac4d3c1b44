//! Gives up a stream without a first event at a slow endpoint while it can still be in time at another one.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::pace;
use mastichaven_core::direct::pace::HEDGE_BUDGET_SHARE;
use mastichaven_core::direct::pace::WaitingStream;
use tokio::time::sleep;

use super::call::Call;
use super::call::CallHistory;
use super::selection::choose_endpoint;
use super::selection::has_retry_budget;
use super::selection::retry_obstacle;
use super::state::State;

/// Interval at which a stream is considered again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the stream that was sent to `endpoint` at `sent_at` is to be given up, or forever. Only resumable streams
/// are, as others may run once.
pub(super) async fn until_hedged(
    state: &Rc<State>,
    call: &Call,
    history: &CallHistory,
    endpoint: EndpointKey,
    sent_at: Time,
) {
    let is_hedgeable = call.route.is_stream
        && call.route.retry_policy == RetryPolicy::Resumable
        && !history.is_resumption
        && !call.is_late;
    if !is_hedgeable {
        return pending().await;
    }
    let assumed = pace::assumed_first_event(call.route.objective);
    let stream = WaitingStream {
        received_at: call.received_at,
        objective: call.route.objective,
        sent_at,
        usual_first: history.usual_first().unwrap_or(assumed),
    };
    while state.now() <= stream.hedge_by() {
        let now = state.now();
        let pace = state.endpoints.borrow().pace(endpoint, now);
        let is_slow = pace > pace::SLOW_PACE;
        let elsewhere = is_slow.then(|| pace_elsewhere(state, call, history, now)).flatten();
        if elsewhere.is_some_and(|elsewhere| stream.should_be_hedged(pace, elsewhere, now)) {
            if !has_retry_budget(state, call, HEDGE_BUDGET_SHARE, now) {
                state.metrics.count("hedges_over_budget");
                break;
            }
            state.metrics.count("hedges");
            slog::info!(state.log, "stream hedged";
                "id" => call.head.id.as_deref().unwrap_or_default(),
                "endpoint" => history.last_endpoint.as_deref().unwrap_or_default(),
                "pace" => pace, "waited_ms" => now.since(sent_at).as_millis() as u64);
            return;
        }
        sleep(RECHECK_INTERVAL).await;
    }
    pending().await
}

/// Pace of the endpoint to which the request could be sent now; `None` if it may not be sent to another one.
fn pace_elsewhere(state: &Rc<State>, call: &Call, history: &CallHistory, now: Time) -> Option<f64> {
    let may_be_sent = state.endpoints.borrow().is_pace_in_force(now)
        && retry_obstacle(call, history, now).is_none()
        && state.quarantine_remaining(call).is_none();
    let admission = state.admission(call, history, now);
    let other =
        may_be_sent.then(|| choose_endpoint(state, call, history, &admission, now))?.ok()?;
    Some(state.endpoints.borrow().pace(other, now))
}
