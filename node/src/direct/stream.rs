//! Relays event streams to callers and resumes interrupted ones at another endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::events::EventSplitter;
use mastichaven_platform::answer;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::attempt::AttemptOutcome;
use super::attempt::AttemptResponse;
use super::attempt::FIRST_EVENT_TIMEOUT;
use super::attempt::send_to_endpoint;
use super::call::Call;
use super::call::CallHistory;
use super::connection::ConnectionError;
use super::crashes::record_lost_attempt;
use super::pool;
use super::response_body::ResponseAborted;
use super::response_body::ResponseBody;
use super::response_body::STREAM_CHANNEL_CAPACITY;
use super::selection::next_endpoint;
use super::state::State;

/// Result of reading from a stream.
pub type Result<T> = std::result::Result<T, ConnectionError>;

/// Time without an event after which a stream is resumed at another endpoint. It is longer than the
/// pauses between events of a busy endpoint, and short enough that callers have not yet given up.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Waits for the first event and spawns a task that relays the stream. Before the first event a
/// failure can still be retried at another endpoint, as the caller has received nothing.
pub(super) async fn start_stream(
    state: &Rc<State>,
    call: &Rc<Call>,
    mut response: AttemptResponse,
    history: &mut CallHistory,
) -> Result<Response<ResponseBody>> {
    let mut head = Response::new(());
    *head.status_mut() = response.response.status();
    *head.headers_mut() = answer::caller_headers(response.response.headers().clone());
    let mut splitter = EventSplitter::default();
    let first_event_timeout = match call.route.retry_policy {
        RetryPolicy::Resumable => FIRST_EVENT_TIMEOUT,
        RetryPolicy::Idempotent | RetryPolicy::AtMostOnce => call.deadline.since(state.now()),
    };
    let time_limit = first_event_timeout.min(call.deadline.since(state.now()));
    let time_limit = response.take_first_event_limit(time_limit, state.now());
    let first = timeout(time_limit, read_events(&mut response, &mut splitter));
    let first = tokio::select! {
        first = first => first.unwrap_or(Err(ConnectionError::TimedOut)),
        () = state.until_quarantined(call) => {
            history.record_lost_response(call);
            return Err(ConnectionError::Broken);
        }
    };
    let first = match first {
        Ok(first) => first,
        Err(e) => {
            history.record_lost_response(call);
            record_lost_attempt(
                state,
                call,
                &response.record,
                response.place.endpoint,
                e,
                "first event",
            )
            .await;
            return Err(e);
        }
    };
    state.metrics.time("first_event", state.now().since(call.received_at));
    let (tx, rx) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
    let Some(first) = first else {
        return Ok(head.map(|()| ResponseBody::full(Bytes::new())));
    };
    let _ = tx.try_send(Ok(first));
    let history = history.clone();
    tokio::task::spawn_local(relay_stream(
        state.clone(),
        call.clone(),
        response,
        splitter,
        history,
        tx,
    ));
    Ok(head.map(|()| ResponseBody::Streamed(rx)))
}

/// Reads the next complete events; `None` at the end of the stream.
async fn read_events(
    response: &mut AttemptResponse,
    splitter: &mut EventSplitter,
) -> Result<Option<Bytes>> {
    loop {
        let Some(frame) = response.response.body_mut().frame().await else {
            // A stream that ends inside an event is truncated.
            return if splitter.is_at_boundary() { Ok(None) } else { Err(ConnectionError::Broken) };
        };
        let frame = frame.map_err(|_| ConnectionError::Broken)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if let Some(events) = splitter.push(&bytes).map_err(|_| ConnectionError::Broken)? {
            return Ok(Some(events));
        }
    }
}

type BodySender = mpsc::Sender<std::result::Result<Bytes, ResponseAborted>>;

/// Relays a stream until it ends or its caller disconnects.
async fn relay_stream(
    state: Rc<State>,
    call: Rc<Call>,
    response: AttemptResponse,
    splitter: EventSplitter,
    history: CallHistory,
    tx: BodySender,
) {
    tokio::select! {
        () = relay_and_resume(&state, &call, response, splitter, history, &tx) => {}
        () = tx.closed() => {
            state.metrics.count("callers_left");
            slog::info!(state.log, "caller disconnected during the stream";
                "id" => call.head.id.as_deref().unwrap_or_default());
        }
    }
}

/// Relays events until the stream ends, and resumes it at another endpoint when it is interrupted.
async fn relay_and_resume(
    state: &Rc<State>,
    call: &Call,
    mut response: AttemptResponse,
    mut splitter: EventSplitter,
    mut history: CallHistory,
    tx: &BodySender,
) {
    let mut last_event_at = state.now();
    loop {
        let relayed =
            relay_events(state, call, &mut response, &mut splitter, &mut last_event_at, tx).await;
        let silence = state.now().since(last_event_at);
        let error = match relayed {
            Ok(()) => {
                state.record_completion(call);
                return finish_response(state, response).await;
            }
            Err(e) => {
                let endpoint = response.place.endpoint;
                record_lost_attempt(state, call, &response.record, endpoint, e, "stream").await;
                e
            }
        };
        drop(response);
        history.retry_until = Some(call.abandoned_at(last_event_at));
        match resume_stream(state, call, &mut splitter, &mut history).await {
            Some(next) => response = next,
            None => {
                slog::warn!(state.log, "stream interrupted";
                    "id" => call.head.id.as_deref().unwrap_or_default(),
                    "route" => call.route.name.as_str(), "offers" => history.tried_count(),
                    "endpoint" => history.last_endpoint.as_deref().unwrap_or_default(),
                    "error" => error.as_str(), "silent_ms" => silence.as_millis() as u64,
                    "no_retry" => history.no_retry,
                    "left_ms" => call.deadline.since(state.now()).as_millis() as u64);
                state.metrics.count("streams_broken_off");
                let _ = tx.send(Err(ResponseAborted)).await;
                return;
            }
        }
    }
}

/// Relays events until the stream from one endpoint ends.
async fn relay_events(
    state: &State,
    call: &Call,
    response: &mut AttemptResponse,
    splitter: &mut EventSplitter,
    last_event_at: &mut Time,
    tx: &BodySender,
) -> Result<()> {
    loop {
        let remaining = call.deadline.since(state.now());
        let idle_timeout = if call.route.retry_policy == RetryPolicy::Resumable {
            STREAM_IDLE_TIMEOUT
        } else {
            remaining
        };
        let time_limit = response.take_first_event_limit(idle_timeout.min(remaining), state.now());
        let events = timeout(time_limit, read_events(response, splitter)).await;
        match events.unwrap_or(Err(ConnectionError::TimedOut))? {
            // A failed send means that the caller has disconnected, which cancels this task.
            Some(events) => {
                *last_event_at = state.now();
                drop(tx.send(Ok(events)).await);
            }
            None => return Ok(()),
        }
    }
}

async fn finish_response(state: &State, response: AttemptResponse) {
    let AttemptResponse { record, mut connection, place, response, .. } = response;
    state.endpoints.borrow_mut().record_success(place.endpoint);
    drop(place);
    let keep_alive = pool::parse_keep_alive(response.headers());
    drop(response);
    if connection.ready().await {
        state.pool.put(record.address, &record.id, connection, keep_alive, state.now());
    }
}

/// Resumes an interrupted stream at another endpoint, after the last event relayed; `None` if the
/// route doesn't allow it, no event had an id, or no endpoint accepts it.
async fn resume_stream(
    state: &Rc<State>,
    call: &Call,
    splitter: &mut EventSplitter,
    history: &mut CallHistory,
) -> Option<AttemptResponse> {
    if call.route.retry_policy != RetryPolicy::Resumable {
        history.no_retry = "route not resumable";
        return None;
    }
    splitter.drop_partial();
    let Some(last_id) = splitter.last_id().cloned() else {
        history.no_retry = "events without ids";
        return None;
    };
    loop {
        let endpoint = next_endpoint(state, call, history).await.ok()?;
        if let AttemptOutcome::Responding(response) =
            send_to_endpoint(state, call, endpoint, history, Some(last_id.as_str())).await
        {
            state.metrics.count("streams_resumed");
            return Some(*response);
        }
    }
}
