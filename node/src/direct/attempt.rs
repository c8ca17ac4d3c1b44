//! One attempt of a request at one endpoint: obtains a connection, sends the request and classifies
//! the head of the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::priority::PriorityClass;
use mastichaven_platform::answer;
use mastichaven_platform::answer::AnswerKind;
use mastichaven_platform::call;
use mastichaven_platform::call::AddedHeaders;
use tokio::time::timeout;

use super::begin_limits::WeightsBasis;
use super::call::Call;
use super::call::CallHistory;
use super::connection;
use super::connection::ConnectionError;
use super::connection::HttpConnection;
use super::crashes::LostAttempt;
use super::crashes::record_lost_attempt;
use super::hedge::until_hedged;
use super::in_flight::InFlightGuard;
use super::pool;
use super::request_body::OutgoingBody;
use super::selection::until_replaceable;
use super::state::State;

/// Largest body of a response that is not a stream, in bytes.
pub(super) const MAX_RESPONSE_LEN: usize = 4 << 20;

/// Timeout of connecting to an endpoint. A lost SYN is retransmitted after one second; by then
/// another endpoint would have answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of reading the body of a refusal or an error response after its head.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(400);

/// Urgency of resumed streams, whose callers have received a part already.
const RESUMPTION_URGENCY: u8 = 0;

/// Time without a first event after which another endpoint is looked for. Endpoints whose queues are as
/// short as selection allows send the first event well within it.
pub(super) const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Endpoints are told their time in whole units of this.
const DEADLINE_STEP: Duration = Duration::from_millis(1);

/// Time after the deadline told to an endpoint within which its proof that the request has not run arrives. Only
/// then is the attempt cancelled.
const EXPIRY_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Time without a response head after which another endpoint is looked for, for idempotent requests, as a multiple of
/// the route's latency objective.
const RESPONSE_PATIENCE_OBJECTIVES: f64 = 2.5;

/// When an endpoint stops its work because it was told a deadline before the caller's, if it was.
#[derive(Clone, Copy, Debug)]
pub(super) struct EarlyStop(Option<Time>);

impl EarlyStop {
    fn new(time_limit: Duration, remaining: Duration, now: Time) -> EarlyStop {
        EarlyStop(
            (time_limit < remaining).then(|| (now + time_limit).saturating_sub(DEADLINE_STEP)),
        )
    }

    /// When the endpoint stops; `None` if it has been told the caller's deadline.
    pub(super) fn at(self) -> Option<Time> {
        self.0
    }

    /// Whether the endpoint may have stopped by `now`.
    pub(super) fn has_passed(self, now: Time) -> bool {
        self.0.is_some_and(|stops_at| now >= stops_at)
    }
}

/// A successful response whose body has yet to be read.
#[derive(Debug)]
pub(super) struct AttemptResponse {
    pub(super) record: EndpointRecord,
    pub(super) connection: HttpConnection,
    pub(super) place: InFlightGuard,
    /// When the request was sent.
    pub(super) sent_at: Time,
    pub(super) response: Response<Incoming>,
    /// When the endpoint stops, if that is before the caller's deadline.
    pub(super) stop: EarlyStop,
    /// When the first event must have arrived, as the endpoint's weights may not serve any more from then on; `None`
    /// if they are the newest, or once the first event is awaited.
    begin_by: Option<Time>,
}

impl AttemptResponse {
    /// This attempt, once its response is lost.
    pub(super) fn as_lost(&self) -> LostAttempt<'_> {
        LostAttempt { record: &self.record, endpoint: self.place.endpoint, sent_at: self.sent_at }
    }

    /// The time limit of the next event, `limit` unless that is the first one and must arrive earlier.
    pub(super) fn take_first_event_limit(&mut self, limit: Duration, now: Time) -> Duration {
        self.begin_by.take().map_or(limit, |begin_by| begin_by.since(now).min(limit))
    }
}

/// How an attempt at one endpoint ended.
pub(super) enum AttemptOutcome {
    /// The endpoint has begun a successful response.
    Responding(Box<AttemptResponse>),
    /// The endpoint ran the request and answered with this error response.
    Failed(Response<Bytes>),
    /// The request has provably not run.
    NotRun,
    /// The request may have run, but there is no valid response.
    Lost(ConnectionError),
}

/// Sends the request to `endpoint` and classifies the head of the response. `resume_after` is the
/// id of the last event relayed when a stream is resumed.
pub(super) async fn send_to_endpoint(
    state: &Rc<State>,
    call: &Call,
    endpoint: EndpointKey,
    history: &mut CallHistory,
    resume_after: Option<&str>,
) -> AttemptOutcome {
    let Some(record) = state.endpoints.borrow().get(endpoint).cloned() else {
        return AttemptOutcome::NotRun;
    };
    history.tried.push(endpoint);
    history.sent_at = None;
    history.last_endpoint = Some(record.id.clone());
    record_expectation(state, call, endpoint, history);
    let place = InFlightGuard::acquire(state, endpoint, call.work);
    let pooled = state.pool.take(record.address, &record.id, state.now());
    let is_pooled = pooled.is_some();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => {
            state.metrics.count("connections");
            let connect_started = state.now();
            let opened = HttpConnection::open(record.address, CONNECT_TIMEOUT).await;
            history.steps.connect += state.now().since(connect_started);
            match opened {
                Ok(connection) => connection,
                Err(e) => {
                    record_failed_attempt(state, call, &record, endpoint, e, "connect");
                    return AttemptOutcome::NotRun;
                }
            }
        }
    };
    // The endpoint table may have changed while the connection was opened.
    if !state.endpoints.borrow().accepts_requests(endpoint, state.now()) {
        return AttemptOutcome::NotRun;
    }
    if !is_pooled && !connection.ready().await {
        return AttemptOutcome::NotRun;
    }
    let now = state.now();
    let remaining = call.deadline.since(now);
    let basis = state.weights_basis(call, &record, now);
    // Endpoints need not obey a cancellation, but they stop at the deadline that they are told.
    let time_limit = basis.begin_by.map_or(remaining, |by| by.since(now).min(remaining));
    if time_limit.is_zero() {
        return AttemptOutcome::NotRun;
    }
    let urgency = urgency(call, history, resume_after.is_some());
    let req = build_endpoint_request(call, &record, &basis, time_limit, urgency, resume_after);
    history.sent_count += 1;
    history.sent_at = Some(now);
    if history.sent_count == 1 {
        state.with_retry_budget(&call.service, |budget| budget.record_first_attempt(now));
    }
    let patience = match call.route.retry_policy {
        RetryPolicy::Idempotent => call.route.objective.mul_f64(RESPONSE_PATIENCE_OBJECTIVES),
        RetryPolicy::Resumable => FIRST_EVENT_TIMEOUT,
        RetryPolicy::AtMostOnce => remaining,
    };
    let wait_limit = (time_limit + EXPIRY_GRACE_PERIOD).min(remaining);
    let sent = tokio::select! {
        sent = timeout(wait_limit, connection.send(req)) => {
            sent.unwrap_or(Err(ConnectionError::TimedOut))
        }
        () = until_replaceable(state, call, history, patience),
            if call.route.retry_policy != RetryPolicy::AtMostOnce =>
        {
            Err(ConnectionError::TimedOut)
        }
        () = until_hedged(state, call, history, endpoint, now) => {
            history.record_lost_response(call);
            return AttemptOutcome::Lost(ConnectionError::TimedOut);
        }
        // The endpoint may not have begun to run it.
        () = state.until_quarantined(call) => {
            history.record_lost_response(call);
            return AttemptOutcome::Lost(ConnectionError::Broken);
        }
    };
    let response = match sent {
        Ok(response) => response,
        Err(ConnectionError::NotSent) => {
            history.sent_count -= 1;
            return AttemptOutcome::NotRun;
        }
        Err(e) => {
            history.record_lost_response(call);
            let attempt = LostAttempt { record: &record, endpoint, sent_at: now };
            record_lost_attempt(state, call, attempt, e, "head").await;
            return AttemptOutcome::Lost(e);
        }
    };
    let id = call.head.id.as_deref();
    let kind = answer::classify(response.status(), response.headers(), id);
    let head = (response.status(), response.headers());
    state.apply_statements(&record, endpoint, kind, head, now);
    match kind {
        AnswerKind::Success => AttemptOutcome::Responding(Box::new(AttemptResponse {
            record,
            connection,
            place,
            sent_at: now,
            response,
            stop: EarlyStop::new(time_limit, remaining, now),
            begin_by: basis.begin_by.map(|by| by + EXPIRY_GRACE_PERIOD),
        })),
        AnswerKind::NotRun => {
            state.endpoints.borrow_mut().record_refusal(endpoint, state.now());
            state.metrics.count("endpoint_refusals");
            log_refused_attempt(state, call, &record, endpoint, "not run", response.status());
            recycle_connection(state, &record, connection, response).await;
            AttemptOutcome::NotRun
        }
        AnswerKind::Misdirected => {
            state.endpoints.borrow_mut().record_misdirected(endpoint, state.now());
            state.metrics.count("endpoint_misdirected");
            log_refused_attempt(state, call, &record, endpoint, "misdirected", response.status());
            AttemptOutcome::NotRun
        }
        AnswerKind::Failed => {
            history.may_have_run = true;
            state.metrics.count("endpoint_failures");
            state.endpoints.borrow_mut().record_failure(endpoint, false, state.now());
            read_error_response(state, &record, connection, response).await
        }
        AnswerKind::Foreign => {
            history.record_lost_response(call);
            record_failed_attempt(
                state,
                call,
                &record,
                endpoint,
                ConnectionError::Broken,
                "foreign answer",
            );
            AttemptOutcome::Lost(ConnectionError::Broken)
        }
    }
}

/// Urgency that the endpoint is told; `None` if it treats the request like any other.
fn urgency(call: &Call, history: &CallHistory, is_resumption: bool) -> Option<u8> {
    if is_resumption {
        return Some(RESUMPTION_URGENCY);
    }
    let level = if history.is_exempt { 0 } else { call.class.level };
    PriorityClass { level, ..call.class }.urgency()
}

/// Records what is expected of the attempt that is about to be made.
fn record_expectation(
    state: &State,
    call: &Call,
    endpoint: EndpointKey,
    history: &mut CallHistory,
) {
    let now = state.now();
    let endpoints = state.endpoints.borrow();
    let expected = |work| endpoints.expected_first_event(endpoint, &work, now);
    history.expected_first = call.work.and_then(expected);
    history.pace = Some(endpoints.pace(endpoint, now));
}

fn build_endpoint_request(
    call: &Call,
    record: &EndpointRecord,
    basis: &WeightsBasis,
    time_limit: Duration,
    urgency: Option<u8>,
    resume_after: Option<&str>,
) -> Request<OutgoingBody> {
    let resume_after = resume_after.or(call.head.resumes_after.as_deref());
    let addition = AddedHeaders {
        deadline: Some(time_limit),
        endpoint: &record.id,
        customer: call.customer.as_ref().map(|customer| &customer.name),
        version: basis.expected_version(),
        urgency,
        resume_after,
    };
    let mut req = Request::new(call.body.to_outgoing());
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.headers_mut() = call::endpoint_headers(&call.headers, &addition);
    req
}

/// Records an attempt without a valid response in the endpoint table, the metrics and the log. `at`
/// is the stage at which it failed.
pub(super) fn record_failed_attempt(
    state: &State,
    call: &Call,
    record: &EndpointRecord,
    endpoint: EndpointKey,
    e: ConnectionError,
    at: &'static str,
) {
    state.endpoints.borrow_mut().record_failure(endpoint, true, state.now());
    log_failed_attempt(state, call, record, endpoint, e, at);
}

/// Counts and logs an attempt without a valid response.
pub(super) fn log_failed_attempt(
    state: &State,
    call: &Call,
    record: &EndpointRecord,
    endpoint: EndpointKey,
    e: ConnectionError,
    at: &'static str,
) {
    state.metrics.count("endpoint_losses");
    let basis = state.weights_basis(call, record, state.now());
    slog::info!(state.log, "attempt failed";
        "id" => call.head.id.as_deref().unwrap_or_default(),
        "endpoint" => record.id.as_str(), "at" => at, "error" => e.as_str(),
        "report_age_ms" => state.report_age_ms(endpoint),
        "weights" => basis.version, "outdated_ms" => basis.outdated_ms(),
        "uncertainty_ms" => basis.uncertainty.as_millis() as u64,
        "left_ms" => call.deadline.since(state.now()).as_millis() as u64);
}

/// Logs an attempt that the endpoint refused, with the load that this entry took it to have.
fn log_refused_attempt(
    state: &State,
    call: &Call,
    record: &EndpointRecord,
    endpoint: EndpointKey,
    reason: &'static str,
    status: StatusCode,
) {
    slog::info!(state.log, "attempt refused";
        "id" => call.head.id.as_deref().unwrap_or_default(),
        "endpoint" => record.id.as_str(), "reason" => reason, "status" => status.as_u16(),
        "own" => state.endpoints.borrow().in_flight(endpoint),
        "report_age_ms" => state.report_age_ms(endpoint),
        "weights" => state.weights_basis(call, record, state.now()).version);
}

/// Reads the rest of a response that is discarded, and returns its connection to the pool.
async fn recycle_connection(
    state: &State,
    record: &EndpointRecord,
    mut connection: HttpConnection,
    response: Response<Incoming>,
) {
    let keep_alive = pool::parse_keep_alive(response.headers());
    let drained = timeout(
        ERROR_BODY_TIMEOUT,
        connection::collect_body(response.into_body(), MAX_RESPONSE_LEN),
    )
    .await;
    if matches!(drained, Ok(Ok(_))) && connection.ready().await {
        state.pool.put(record.address, &record.id, connection, keep_alive, state.now());
    }
}

/// Reads the body of an error response and returns its connection to the pool.
async fn read_error_response(
    state: &State,
    record: &EndpointRecord,
    mut connection: HttpConnection,
    response: Response<Incoming>,
) -> AttemptOutcome {
    let keep_alive = pool::parse_keep_alive(response.headers());
    let (head, body) = response.into_parts();
    let body = timeout(ERROR_BODY_TIMEOUT, connection::collect_body(body, MAX_RESPONSE_LEN)).await;
    match body.unwrap_or(Err(ConnectionError::TimedOut)) {
        Ok(body) => {
            if connection.ready().await {
                state.pool.put(record.address, &record.id, connection, keep_alive, state.now());
            }
            AttemptOutcome::Failed(Response::from_parts(head, body))
        }
        Err(e) => AttemptOutcome::Lost(e),
    }
}
