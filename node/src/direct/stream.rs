//! Relays event streams to callers, and resumes them at another endpoint when theirs is lost, silent or about to stop.

mod handover;

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::events::EventSplitter;
use mastichaven_core::direct::read_ahead::ReadPauses;
use mastichaven_platform::answer;
use tokio::time::timeout;

use super::attempt::AttemptOutcome;
use super::attempt::AttemptResponse;
use super::attempt::FIRST_EVENT_TIMEOUT;
use super::attempt::log_failed_attempt;
use super::attempt::send_to_endpoint;
use super::call::Call;
use super::call::CallHistory;
use super::connection;
use super::connection::ConnectionError;
use super::crashes::LostAttempt;
use super::crashes::record_lost_attempt;
use super::hedge::until_hedged;
use super::pool;
use super::response_body::BodySender;
use super::response_body::ResponseBody;
use super::selection::next_endpoint;
use super::selection::record_answer_time;
use super::selection::until_replaceable;
use super::state::State;

/// Result of reading from a stream.
pub type Result<T> = std::result::Result<T, ConnectionError>;

/// Time without an event after which another endpoint is looked for. It is longer than the pauses between
/// events of a busy endpoint, and short enough that callers have not yet given up.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A stream from one endpoint.
struct EndpointStream {
    response: AttemptResponse,
    splitter: EventSplitter,
}

impl EndpointStream {
    /// Whether the stream may be whole: it does not end inside an event, nor before the first one if nothing but the
    /// end of its connection marks its end.
    fn is_at_end(&self) -> bool {
        let is_close_delimited = connection::is_close_delimited(&self.response.response);
        self.splitter.is_at_boundary() && (self.splitter.has_events() || !is_close_delimited)
    }

    /// Reads the next complete events; `None` at the end of the stream. Cancelling it loses nothing.
    async fn read_events(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.response.response.body_mut().frame().await else {
                let is_whole = self.is_at_end() && !self.response.is_cut().await;
                return if is_whole { Ok(None) } else { Err(ConnectionError::Broken) };
            };
            let frame = frame.map_err(|_| ConnectionError::Broken)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let events = self.splitter.push(&bytes).map_err(|_| ConnectionError::Broken)?;
            if events.is_some() {
                return Ok(events);
            }
        }
    }
}

/// Waits for the first event and spawns a task that relays the stream. Before the first event a
/// failure can still be retried at another endpoint, as the caller has received nothing.
pub(super) async fn start_stream(
    state: &Rc<State>,
    call: &Rc<Call>,
    response: AttemptResponse,
    history: &mut CallHistory,
) -> Result<Response<ResponseBody>> {
    let mut head = Response::new(());
    *head.status_mut() = response.response.status();
    *head.headers_mut() = answer::caller_headers(response.response.headers().clone());
    let mut stream = EndpointStream { response, splitter: EventSplitter::default() };
    let first = read_first_events(state, call, &mut stream, history).await?;
    state.metrics.time("first_event", state.now().since(call.received_at));
    let Some(first) = first else {
        return Ok(head.map(|()| ResponseBody::full(Bytes::new())));
    };
    let (tx, body) = state.read_ahead.start_body();
    tx.send(first).await;
    tokio::task::spawn_local(relay_stream(
        state.clone(),
        call.clone(),
        stream,
        history.clone(),
        tx,
    ));
    Ok(head.map(|()| body))
}

/// Reads the first events of an attempt; `None` if the stream ends without one. A silent endpoint is given up once
/// another one can take the request.
async fn read_first_events(
    state: &Rc<State>,
    call: &Call,
    stream: &mut EndpointStream,
    history: &mut CallHistory,
) -> Result<Option<Bytes>> {
    let is_resumable = call.route.retry_policy == RetryPolicy::Resumable;
    let now = state.now();
    let time_limit = stream.response.take_first_event_limit(call.deadline.since(now), now);
    let (endpoint, sent_at) = (stream.response.place.endpoint, stream.response.sent_at);
    let first = tokio::select! {
        first = timeout(time_limit, stream.read_events()) => {
            first.unwrap_or(Err(ConnectionError::TimedOut))
        }
        () = until_replaceable(state, call, history, FIRST_EVENT_TIMEOUT), if is_resumable => {
            Err(ConnectionError::TimedOut)
        }
        () = until_hedged(state, call, history, endpoint, sent_at) => {
            history.record_lost_response(call);
            return Err(ConnectionError::TimedOut);
        }
        () = state.until_quarantined(call) => {
            history.record_lost_response(call);
            return Err(ConnectionError::Broken);
        }
    };
    if matches!(first, Ok(Some(_))) {
        record_answer_time(state, call, history.usual_first(), endpoint, sent_at);
    }
    match &first {
        Ok(events) => state.check_answering_version(call, &stream.response, events.as_ref()),
        Err(e) => {
            history.record_lost_response(call);
            record_lost_attempt(state, call, stream.response.as_lost(), *e, "first event").await;
        }
    }
    first
}

/// Relays a stream until it ends or its caller disconnects.
async fn relay_stream(
    state: Rc<State>,
    call: Rc<Call>,
    stream: EndpointStream,
    history: CallHistory,
    tx: BodySender,
) {
    let last_event_at = Cell::new(state.now());
    let relay = Relay {
        state: &state,
        call: &call,
        last_event_at: &last_event_at,
        history,
        pauses: Cell::default(),
        loss_reason: Cell::new("endpoint silent"),
    };
    tokio::select! {
        () = relay.run(stream, &tx) => {}
        () = tx.closed() => {
            state.metrics.count("callers_left");
            slog::info!(state.log, "caller disconnected during the stream";
                "id" => call.head.id.as_deref().unwrap_or_default(),
                "silent_ms" => state.now().since(last_event_at.get()).as_millis() as u64);
        }
    }
}

/// A stream that is being relayed to its caller.
struct Relay<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    /// When the last event was relayed.
    last_event_at: &'a Cell<Time>,
    history: CallHistory,
    /// Pauses in reading from the endpoint.
    pauses: Cell<ReadPauses>,
    /// Why the endpoint was lost, for the log.
    loss_reason: Cell<&'static str>,
}

impl Relay<'_> {
    /// Relays events until the stream ends or cannot be continued.
    async fn run(mut self, mut stream: EndpointStream, tx: &BodySender) {
        loop {
            match self.next_events(stream, tx).await {
                Ok((next, Some(events))) => {
                    stream = next;
                    self.relay(events, tx).await;
                }
                Ok((next, None)) => {
                    self.state.record_completion(self.call);
                    return finish_response(self.state, next.response).await;
                }
                Err(e) => {
                    self.log_interruption(e);
                    return tx.abort();
                }
            }
        }
    }

    async fn relay(&self, events: Bytes, tx: &BodySender) {
        let relayed_at = self.state.now();
        self.last_event_at.set(relayed_at);
        tx.send(events).await;
        let now = self.state.now();
        let mut pauses = self.pauses.get();
        pauses.record(now.since(relayed_at), now);
        self.pauses.set(pauses);
    }

    /// Records that the endpoint of the stream was lost, and finds out whether it has crashed. The end of an answer that
    /// was left unread for its caller says nothing about the endpoint or the request.
    async fn record_loss(&self, response: &AttemptResponse, e: ConnectionError) {
        let now = self.state.now();
        let attempt = response.as_lost();
        let is_unread = e == ConnectionError::Broken && self.pauses.get().explain_loss(now);
        self.loss_reason.set(if is_unread {
            "caller reads slowly"
        } else if response.stop.has_passed(now) {
            "bound on weights"
        } else if e == ConnectionError::TimedOut {
            "endpoint silent"
        } else {
            "endpoint lost"
        });
        self.pauses.set(ReadPauses::default());
        if is_unread {
            let LostAttempt { record, endpoint, .. } = attempt;
            log_failed_attempt(self.state, self.call, record, endpoint, e, "stream");
        } else {
            record_lost_attempt(self.state, self.call, attempt, e, "stream").await;
        }
    }

    fn log_interruption(&self, e: ConnectionError) {
        let now = self.state.now();
        slog::warn!(self.state.log, "stream interrupted";
            "id" => self.call.head.id.as_deref().unwrap_or_default(),
            "route" => self.call.route.name.as_str(), "offers" => self.history.tried_count(),
            "endpoint" => self.history.last_endpoint.as_deref().unwrap_or_default(),
            "error" => e.as_str(), "reason" => self.loss_reason.get(),
            "silent_ms" => now.since(self.last_event_at.get()).as_millis() as u64,
            "no_retry" => self.history.no_retry,
            "left_ms" => self.call.deadline.since(now).as_millis() as u64);
        self.state.metrics.count("streams_broken_off");
    }

    /// Reads the next events, `None` at the end of the stream, from `stream` or from the one that replaces it. While the
    /// endpoint of `stream` is about to stop, its events are relayed here.
    async fn next_events(
        &mut self,
        mut stream: EndpointStream,
        tx: &BodySender,
    ) -> Result<(EndpointStream, Option<Bytes>)> {
        let remaining = self.call.deadline.since(self.state.now());
        let idle_timeout = match self.call.route.retry_policy {
            RetryPolicy::Resumable => STREAM_IDLE_TIMEOUT.min(remaining),
            RetryPolicy::Idempotent | RetryPolicy::AtMostOnce => remaining,
        };
        let until_handover = self.time_to_handover(&stream);
        let time_limit = until_handover.map_or(idle_timeout, |time| time.min(idle_timeout));
        if time_limit.is_zero() && until_handover.is_some() {
            return Box::pin(self.hand_over(stream, tx)).await;
        }
        match timeout(time_limit, stream.read_events()).await {
            Ok(Ok(events)) => Ok((stream, events)),
            Ok(Err(e)) => self.replace_lost(stream, e).await,
            Err(_) if time_limit < idle_timeout => Box::pin(self.hand_over(stream, tx)).await,
            Err(_) if idle_timeout < remaining => self.replace_silent(stream).await,
            Err(_) => self.replace_lost(stream, ConnectionError::TimedOut).await,
        }
    }

    /// Resumes a stream whose endpoint was lost.
    async fn replace_lost(
        &mut self,
        stream: EndpointStream,
        e: ConnectionError,
    ) -> Result<(EndpointStream, Option<Bytes>)> {
        let EndpointStream { response, splitter } = stream;
        self.record_loss(&response, e).await;
        drop(response);
        self.resume(splitter).await.ok_or(e)
    }

    /// Looks for another endpoint while that of `stream` is silent, and keeps the stream until the other one has sent
    /// events. If there is none, the endpoint has until the caller gives up.
    async fn replace_silent(
        &mut self,
        mut stream: EndpointStream,
    ) -> Result<(EndpointStream, Option<Bytes>)> {
        let state = self.state;
        let call = self.call;
        let endpoint = stream.response.place.endpoint;
        state.metrics.count("streams_silent");
        state.endpoints.borrow_mut().record_failure(endpoint, true, state.now());
        let record = stream.response.record.clone();
        let sent_at = stream.response.sent_at;
        let splitter = stream.splitter.clone();
        let resumed = {
            let mut resumption = pin!(self.resume(splitter));
            tokio::select! {
                biased;
                read = stream.read_events() => match read {
                    Ok(events) => {
                        state.metrics.count("streams_continued");
                        return Ok((stream, events));
                    }
                    Err(e) => {
                        let attempt = LostAttempt { record: &record, endpoint, sent_at };
                        let recorded = record_lost_attempt(state, call, attempt, e, "stream");
                        return tokio::join!(recorded, resumption).1.ok_or(e);
                    }
                },
                resumed = &mut resumption => resumed,
            }
        };
        if let Some(resumed) = resumed {
            let e = ConnectionError::TimedOut;
            log_failed_attempt(state, call, &record, endpoint, e, "stream");
            return Ok(resumed);
        }
        let remaining = call.deadline.since(state.now());
        match timeout(remaining, stream.read_events()).await {
            Ok(Ok(events)) => {
                state.metrics.count("streams_continued");
                Ok((stream, events))
            }
            Ok(Err(e)) => self.replace_lost(stream, e).await,
            Err(_) => {
                let e = ConnectionError::TimedOut;
                log_failed_attempt(state, call, &record, endpoint, e, "stream");
                Err(e)
            }
        }
    }

    /// Resumes the stream at another endpoint, after the last event relayed, and reads its next events; `None` if the
    /// route doesn't allow it, no event had an id, or no endpoint takes it before the caller gives up.
    async fn resume(
        &mut self,
        mut splitter: EventSplitter,
    ) -> Option<(EndpointStream, Option<Bytes>)> {
        let (state, call, history) = (self.state, self.call, &mut self.history);
        if call.route.retry_policy != RetryPolicy::Resumable {
            history.no_retry = "route not resumable";
            return None;
        }
        splitter.drop_partial();
        let Some(last_id) = splitter.last_id().cloned() else {
            history.no_retry = "events without ids";
            return None;
        };
        history.no_retry = "";
        history.is_resumption = true;
        history.retry_until = Some(call.abandoned_at(self.last_event_at.get()));
        loop {
            let endpoint = next_endpoint(state, call, history).await.ok()?;
            let outcome =
                send_to_endpoint(state, call, endpoint, history, Some(last_id.as_str())).await;
            let AttemptOutcome::Responding(response) = outcome else {
                continue;
            };
            let mut stream = EndpointStream { response: *response, splitter: splitter.clone() };
            if let Ok(events) = read_first_events(state, call, &mut stream, history).await {
                state.metrics.count("streams_resumed");
                return Some((stream, events));
            }
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
