//! Forwards a request to endpoints, with retries as the route's retry policy and the retry budget
//! allow.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_platform::answer;
use tokio::time::timeout;

use super::attempt::AttemptOutcome;
use super::attempt::AttemptResponse;
use super::attempt::MAX_RESPONSE_LEN;
use super::attempt::send_to_endpoint;
use super::call::Call;
use super::call::CallError;
use super::call::CallHistory;
use super::call::Result;
use super::connection;
use super::connection::ConnectionError;
use super::crashes::LostAttempt;
use super::crashes::record_lost_attempt;
use super::pool;
use super::response_body::ResponseBody;
use super::selection::next_endpoint;
use super::selection::record_answer_time;
use super::state::State;
use super::stream::start_stream;

/// Forwards `call` to endpoints, and cancels its attempt when the caller is about to abandon it.
pub async fn serve_in_time(
    state: &Rc<State>,
    call: Rc<Call>,
    history: &mut CallHistory,
) -> Result<Response<ResponseBody>> {
    let Some(respond_by) = call.respond_by else {
        return serve(state, call, history).await;
    };
    let remaining = respond_by.since(state.now());
    let served = timeout(remaining, serve(state, call, history)).await;
    served.unwrap_or_else(|_| {
        let may_have_run = history.may_have_run || history.sent_at.is_some();
        Err(if may_have_run { CallError::TimedOut } else { CallError::Expired })
    })
}

/// Forwards `call` until an endpoint answers or no further attempt is allowed. If an endpoint has
/// answered with an error status by then, that response is returned in place of a [`CallError`].
async fn serve(
    state: &Rc<State>,
    call: Rc<Call>,
    history: &mut CallHistory,
) -> Result<Response<ResponseBody>> {
    let mut failed_response: Option<Response<Bytes>> = None;
    history.steps.read = call.read_time;
    loop {
        let selection_started = state.now();
        let chosen = next_endpoint(state, &call, history).await;
        history.steps.place += state.now().since(selection_started);
        let endpoint = match chosen {
            Ok(endpoint) => endpoint,
            Err(e) => {
                return failed_response.map_or(Err(e), |response| Ok(relay_response(response)));
            }
        };
        let timer = AttemptTimer::start(state, history);
        match send_to_endpoint(state, &call, endpoint, history, None).await {
            AttemptOutcome::Responding(response) if call.route.is_stream => {
                match start_stream(state, &call, *response, history).await {
                    Ok(response) => {
                        history.steps.run = timer.elapsed_without_connect(state, history);
                        return Ok(response);
                    }
                    Err(_) if call.route.retry_policy == RetryPolicy::Resumable => {}
                    Err(e) => return Err(call_error(e)),
                }
            }
            AttemptOutcome::Responding(response) => {
                match read_response(state, &call, *response).await {
                    Ok(response) => {
                        history.steps.run = timer.elapsed_without_connect(state, history);
                        return Ok(response);
                    }
                    Err(_) if call.route.retry_policy == RetryPolicy::Idempotent => {
                        history.record_lost_response(&call);
                    }
                    Err(e) => return Err(call_error(e)),
                }
            }
            AttemptOutcome::Failed(response)
                if call.route.retry_policy == RetryPolicy::AtMostOnce =>
            {
                return Ok(relay_response(response));
            }
            AttemptOutcome::Failed(response) => failed_response = Some(response),
            AttemptOutcome::NotRun => history.sent_at = None,
            AttemptOutcome::Lost(e) if call.route.retry_policy == RetryPolicy::AtMostOnce => {
                return Err(call_error(e));
            }
            AttemptOutcome::Lost(_) => {}
        }
        history.steps.lost += timer.elapsed_without_connect(state, history);
    }
}

/// Measures the time of an attempt without the time spent on connecting.
#[derive(Clone, Copy, Debug)]
struct AttemptTimer {
    started_at: Time,
    connect_before: Duration,
}

impl AttemptTimer {
    fn start(state: &State, history: &CallHistory) -> AttemptTimer {
        AttemptTimer { started_at: state.now(), connect_before: history.steps.connect }
    }

    fn elapsed_without_connect(self, state: &State, history: &CallHistory) -> Duration {
        let connecting = history.steps.connect.saturating_sub(self.connect_before);
        state.now().since(self.started_at).saturating_sub(connecting)
    }
}

fn call_error(e: ConnectionError) -> CallError {
    if e == ConnectionError::TimedOut { CallError::TimedOut } else { CallError::Lost }
}

fn relay_response(response: Response<Bytes>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    head.headers = answer::caller_headers(head.headers);
    Response::from_parts(head, ResponseBody::full(body))
}

/// Reads the body of a response that is not a stream. Only complete responses are relayed.
async fn read_response(
    state: &State,
    call: &Call,
    response: AttemptResponse,
) -> std::result::Result<Response<ResponseBody>, ConnectionError> {
    state.check_answering_version(call, &response, None);
    let AttemptResponse { record, mut connection, place, sent_at, stop, response, .. } = response;
    let keep_alive = pool::parse_keep_alive(response.headers());
    let is_close_delimited = connection::is_close_delimited(&response);
    let (head, body) = response.into_parts();
    let remaining = call.deadline.since(state.now());
    let collected = timeout(remaining, connection::collect_body(body, MAX_RESPONSE_LEN)).await;
    let mut body = collected.unwrap_or(Err(ConnectionError::TimedOut));
    // The process may have ended in the middle of the body.
    if is_close_delimited
        && body.is_ok()
        && (stop.has_passed(state.now()) || state.probes.has_ended(&record, state.now()).await)
    {
        body = Err(ConnectionError::Broken);
    }
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            let attempt = LostAttempt { record: &record, endpoint: place.endpoint, sent_at };
            record_lost_attempt(state, call, attempt, e, "body").await;
            return Err(e);
        }
    };
    state.endpoints.borrow_mut().record_success(place.endpoint);
    if !record.is_engine {
        record_answer_time(state, call, None, place.endpoint, sent_at);
    }
    state.record_completion(call);
    drop(place);
    if connection.ready().await {
        state.pool.put(record.address, &record.id, connection, keep_alive, state.now());
    }
    Ok(relay_response(Response::from_parts(head, body)))
}
