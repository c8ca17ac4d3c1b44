//! Handles requests of callers: validates and authenticates them, reads their bodies and forwards
//! them.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use mastichaven_core::Time;
use mastichaven_core::code::Code;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::retry_after::RefusalCause;
use mastichaven_core::direct::work::RequestWork;
use mastichaven_core::direct::work::Work;
use mastichaven_platform::call;
use mastichaven_platform::call::CallHead;
use rand::RngExt;
use tokio::task::yield_now;

use super::body_reader::read_body;
use super::call::Call;
use super::call::CallError;
use super::call::CallHistory;
use super::clients::Client;
use super::forward;
use super::rejection::RejectionReason;
use super::response_body::ResponseBody;
use super::state::State;
use crate::entry::response::CODE_HEADER;
use crate::entry::response::OUTCOME_HEADER;

/// Deadline of requests that give none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Time before a caller abandons a stream at which it is answered that no event has come: the way of the answer, over
/// a busy host. Without an answer the caller would not know whether its request may have run.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// One in this many successful responses is logged, at random. Every refusal and failure is logged.
const SUCCESSES_PER_LOG_LINE: u64 = 32;

/// Handles one request of a caller.
pub async fn handle_request(
    state: Rc<State>,
    client: Rc<Client>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let received_at = state.now();
    let head = call::parse_call(req.headers());
    state.metrics.count("requests");
    // Lets the connection notice that the caller has disconnected. After a freeze of this host, requests and the
    // disconnects behind them arrive together.
    yield_now().await;
    let path = req.uri().path().to_owned();
    let has_body = !req.body().is_end_stream();
    let mut response = match admit(&state, &client, &head, req, received_at).await {
        Ok(call) => forward_call(&state, Rc::new(call)).await,
        Err(rejection) => {
            let (service, class) = state.class_of(&head, &path).unwrap_or_default();
            let history = CallHistory { class, ..CallHistory::default() };
            let (status, reason) = (rejection.status(), rejection.as_str());
            if status == StatusCode::SERVICE_UNAVAILABLE {
                state.count_refusal(class);
            }
            log_request_end(&state, &head, received_at, status, reason, &history);
            let remaining = head.deadline.unwrap_or(DEFAULT_DEADLINE);
            let slice = state.return_slice(&service, class);
            let retry_after = state.retry_after(rejection.refusal_cause(&state), remaining, slice);
            let mut response = error_response(status, reason, retry_after);
            if rejection == RejectionReason::OutOfMemory {
                add_code(&mut response, Code::Shed);
            }
            if has_body {
                client.leave_body_unread();
            } else {
                client.finish_body();
            }
            response
        }
    };
    // A longer head that a new configuration allows needs a new connection.
    let allows_longer_head = state
        .catalog
        .borrow()
        .as_ref()
        .is_some_and(|catalog| catalog.limits().max_head_len > client.max_head_len());
    if state.is_stopping.get() || client.has_unread_body.get() || allows_longer_head {
        // Makes the caller reconnect, to another entry, for its next request.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Validates a request and reads its body.
async fn admit(
    state: &State,
    client: &Client,
    head: &CallHead,
    req: Request<Incoming>,
    received_at: Time,
) -> Result<Call, RejectionReason> {
    client.begin_request().map_err(|_| RejectionReason::OutOfMemory)?;
    if !state.is_synced() {
        return Err(RejectionReason::Starting);
    }
    if !state.freshness.borrow().is_valid(received_at) {
        return Err(RejectionReason::StaleConfig);
    }
    let catalog = state.catalog.borrow().clone().ok_or(RejectionReason::Starting)?;
    let route =
        catalog.route(&head.host, req.uri().path()).ok_or(RejectionReason::UnknownRoute)?.clone();
    let customer = authenticate(&catalog, &route, head)?;
    let draw = state.with_rng(|rng| rng.random::<f64>());
    let service = route.pick_service(draw).ok_or(RejectionReason::UnknownRoute)?.clone();
    let class = catalog.priority_class(&service, &route, customer.as_ref());
    let cold_per_second = catalog.service(&service).map_or(0.0, |s| s.cold_per_second);
    let rates = catalog.rates(&service);
    let limits = catalog.limits();
    let (parts, body) = req.into_parts();
    let body = read_body(client, body, limits.max_body_len, limits.head_timeout).await?;
    let time_limit = head.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let respond_within = route
        .event_patience
        .map(|patience| patience.saturating_sub(RESPONSE_MARGIN))
        .filter(|respond_within| *respond_within < time_limit);
    let is_late = state.is_late(&route, time_limit, received_at);
    let work = rates.map(|rates| RequestWork {
        rates,
        work: Work::expected(
            head.prompt_tokens,
            head.max_answer_tokens,
            head.hinted_answer_tokens,
            rates.usual,
        ),
        in_time_until: received_at + route.objective,
    });
    Ok(Call {
        head: head.clone(),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        service,
        customer,
        class,
        cold_per_second,
        is_late,
        work,
        received_at,
        read_time: state.now().since(received_at),
        deadline: received_at + time_limit,
        respond_by: respond_within.map(|limit| received_at + limit),
        cached_traits: OnceCell::new(),
    })
}

/// Finds the customer of the request's key. Without a valid key, a request is accepted if the route
/// allows anonymous callers or no customers are configured.
fn authenticate(
    catalog: &Catalog,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Customer>, RejectionReason> {
    let customer = head.key.as_deref().and_then(|key| catalog.customer(key));
    if customer.is_none() && catalog.has_customers() && !route.allows_anonymous {
        return Err(RejectionReason::UnknownKey);
    }
    Ok(customer.cloned())
}

/// A call without a response yet. If it is dropped before it has ended, the caller has disconnected.
struct PendingCall {
    state: Rc<State>,
    call: Rc<Call>,
    history: CallHistory,
    has_ended: bool,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.has_ended {
            log_caller_disconnect(&self.state, &self.call, &self.history);
        }
    }
}

async fn forward_call(state: &Rc<State>, call: Rc<Call>) -> Response<ResponseBody> {
    let mut pending = PendingCall {
        state: state.clone(),
        call: call.clone(),
        history: CallHistory { class: call.class, ..CallHistory::default() },
        has_ended: false,
    };
    state.record_request(&call);
    let served = forward::serve_in_time(state, call.clone(), &mut pending.history).await;
    pending.has_ended = true;
    let history = &pending.history;
    match served {
        Ok(response) => {
            state.metrics.time("head", state.now().since(call.received_at));
            for (name, duration) in history.steps.with_metric_names() {
                state.metrics.time(name, duration);
            }
            let status = response.status();
            log_request_end(state, &call.head, call.received_at, status, "answered", history);
            response
        }
        Err(e) => {
            if let CallError::Quarantined { ends_in } = e {
                state.log_quarantined(&call, ends_in);
            }
            log_request_end(state, &call.head, call.received_at, e.status(), e.as_str(), history);
            let remaining = call.deadline.since(state.now());
            let cause = refusal_cause_of(state, e, &call);
            let slice = state.return_slice(&call.service, call.class);
            let retry_after = state.retry_after(cause, remaining, slice);
            if e.status() == StatusCode::SERVICE_UNAVAILABLE {
                state.count_refusal(call.class);
            }
            let mut response = error_response(e.status(), e.as_str(), retry_after);
            if matches!(e, CallError::Quarantined { .. }) {
                add_code(&mut response, Code::Quarantined);
            }
            response
        }
    }
}

fn refusal_cause_of(state: &State, e: CallError, call: &Call) -> RefusalCause {
    match e {
        CallError::Full => RefusalCause::Full,
        CallError::Warming => {
            let warm_in = state.endpoints.borrow().warm_in(&call.service, state.now());
            RefusalCause::Warming { warm_in }
        }
        CallError::Limited { opens_in } => RefusalCause::Limited { opens_in },
        CallError::Paused { ends_in } => RefusalCause::Paused { ends_in },
        CallError::Quarantined { ends_in } => RefusalCause::Quarantined { ends_in },
        CallError::NoEndpoint => {
            let ready_in = state.endpoints.borrow().ready_in(&call.service, state.now());
            RefusalCause::NoEndpoint { ready_in }
        }
        CallError::Declined => {
            let ends_in = state.endpoints.borrow().pause_ends_in(&call.service, state.now());
            ends_in.map_or(RefusalCause::Other, |ends_in| RefusalCause::Paused { ends_in })
        }
        CallError::Expired | CallError::Lost | CallError::TimedOut => RefusalCause::Other,
    }
}

/// A response of the entry itself; one with status 503 has a `Retry-After` header.
fn error_response(
    status: StatusCode,
    reason: &'static str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    let value = HeaderValue::from_str(&format!("{:.2}", retry_after.as_secs_f64()));
    if let Some(value) = value.ok().filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Adds the headers that tell a caller the code and whether the request has run.
fn add_code(response: &mut Response<ResponseBody>, code: Code) {
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(code.outcome().as_str()));
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
}

/// Name of the counter for responses with this status and reason.
fn response_counter(status: StatusCode, reason: &str) -> &'static str {
    match status.as_u16() {
        200..=299 => "answered",
        503 if reason == CallError::Full.as_str() => "refused_full",
        503 if reason == CallError::Warming.as_str() => "refused_warming",
        503 if reason == CallError::Limited { opens_in: Duration::ZERO }.as_str() => {
            "refused_limited"
        }
        503 if reason == CallError::Paused { ends_in: Duration::ZERO }.as_str() => "refused_paused",
        503 if reason == CallError::Quarantined { ends_in: Duration::ZERO }.as_str() => {
            "refused_quarantined"
        }
        503 if reason == CallError::NoEndpoint.as_str() => "refused_no_endpoint",
        503 if reason == RejectionReason::OutOfMemory.as_str() => "refused_memory",
        503 => "refused_other",
        502 => "failed_lost",
        504 => "failed_timeout",
        400..=499 => "refused_caller",
        _ => "failed_endpoint",
    }
}

fn log_request_end(
    state: &State,
    head: &CallHead,
    received_at: Time,
    status: StatusCode,
    reason: &'static str,
    history: &CallHistory,
) {
    let now = state.now();
    state.metrics.count(response_counter(status, reason));
    let is_sampled = state.with_rng(|rng| rng.random_range(0..SUCCESSES_PER_LOG_LINE)) == 0;
    if status.is_success() {
        if !is_sampled {
            return;
        }
        log_request_steps(state, head, history);
    }
    let age = state.freshness.borrow().age(now).map_or(-1, |age| age.as_millis() as i64);
    let version = state.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version());
    slog::info!(state.log, "request ended";
        "id" => head.id.as_deref().unwrap_or_default(),
        "status" => status.as_u16(), "reason" => reason,
        "took_ms" => now.since(received_at).as_millis() as u64,
        "offers" => history.tried_count(),
        "endpoint" => history.last_endpoint.as_deref().unwrap_or_default(),
        "expected_first_ms" => history.expected_first.map_or(-1, |time| time.as_millis() as i64),
        "pace" => history.pace.unwrap_or(1.0),
        "no_retry" => history.no_retry, "level" => history.class.level,
        "levels" => history.class.levels, "config" => version, "config_age_ms" => age);
}

/// Logs that a caller has disconnected before it got a response.
fn log_caller_disconnect(state: &State, call: &Call, history: &CallHistory) {
    let now = state.now();
    state.metrics.count("callers_left_waiting");
    let sent_ms = history.sent_at.map_or(-1, |sent_at| now.since(sent_at).as_millis() as i64);
    let report_age_ms = history.tried.last().map_or(-1, |endpoint| state.report_age_ms(*endpoint));
    slog::info!(state.log, "caller disconnected before the response";
        "id" => call.head.id.as_deref().unwrap_or_default(),
        "took_ms" => now.since(call.received_at).as_millis() as u64,
        "offers" => history.tried_count(),
        "endpoint" => history.last_endpoint.as_deref().unwrap_or_default(),
        "sent_ms" => sent_ms, "report_age_ms" => report_age_ms);
}

/// Logs the time that a successful request spent in each step.
fn log_request_steps(state: &State, head: &CallHead, history: &CallHistory) {
    let micros = |duration: Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let steps = &history.steps;
    slog::info!(state.log, "request steps";
        "id" => head.id.as_deref().unwrap_or_default(),
        "read_us" => micros(steps.read), "place_us" => micros(steps.place),
        "connect_us" => micros(steps.connect), "lost_us" => micros(steps.lost),
        "run_us" => micros(steps.run));
}
