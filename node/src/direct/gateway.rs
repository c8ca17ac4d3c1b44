//! Where callers come in: reads a request, decides whether it may pass, and answers it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::retry_after::RefusalCause;
use mastichaven_platform::call;
use mastichaven_platform::call::CallHead;
use rand::RngExt;
use tokio::time::timeout;

use super::call::Call;
use super::call::Refusal;
use super::call::Trail;
use super::forward;
use super::relay::AnswerBody;
use super::state::State;

/// Deadline of a caller that names none.
const USUAL_DEADLINE: Duration = Duration::from_secs(10);

/// Every how many answers one is logged. Refusals and failures are logged each.
const LOG_EVERY: u64 = 32;

/// Why a request does not pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Barred {
    /// The configuration is too old to act on.
    Stale,
    /// The entry has just started and does not know yet all that decides where requests go.
    Starting,
    UnknownRoute,
    UnknownKey,
    BodyTooLong,
    BodyTooSlow,
    BodyBroken,
}

impl Barred {
    fn status(self) -> StatusCode {
        match self {
            Barred::Stale | Barred::Starting => StatusCode::SERVICE_UNAVAILABLE,
            Barred::UnknownRoute => StatusCode::NOT_FOUND,
            Barred::UnknownKey => StatusCode::UNAUTHORIZED,
            Barred::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Barred::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Barred::BodyBroken => StatusCode::BAD_REQUEST,
        }
    }

    fn cause(self, state: &State) -> RefusalCause {
        match self {
            Barred::Starting => RefusalCause::Starting,
            Barred::Stale => {
                RefusalCause::NoLease { is_held_in_region: state.has_fresh_neighbour.get() }
            }
            Barred::UnknownRoute
            | Barred::UnknownKey
            | Barred::BodyTooLong
            | Barred::BodyTooSlow
            | Barred::BodyBroken => RefusalCause::Other,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Barred::Stale => "configuration too old",
            Barred::Starting => "not all known yet",
            Barred::UnknownRoute => "unknown route",
            Barred::UnknownKey => "unknown key",
            Barred::BodyTooLong => "body too long",
            Barred::BodyTooSlow => "body too slow",
            Barred::BodyBroken => "body broken",
        }
    }
}

/// Answers one request of a caller.
pub async fn answer(state: Rc<State>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = state.now();
    let head = call::scan_call(req.headers());
    state.metrics.count("requests");
    let mut response = match pass(&state, &head, req, arrived).await {
        Ok(call) => forward_call(&state, Rc::new(call)).await,
        Err(barred) => {
            log_end(&state, &head, arrived, barred.status(), barred.as_str(), &Trail::default());
            let left = head.deadline.unwrap_or(USUAL_DEADLINE);
            refuse(barred.status(), barred.as_str(), state.retry_after(barred.cause(&state), left))
        }
    };
    if state.is_stopping.get() {
        // The next request of this caller belongs on another entry.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Checks a request and reads its body.
async fn pass(
    state: &State,
    head: &CallHead,
    req: Request<Incoming>,
    arrived: Time,
) -> Result<Call, Barred> {
    if !state.is_synced() {
        return Err(Barred::Starting);
    }
    if !state.freshness.borrow().is_valid(arrived) {
        return Err(Barred::Stale);
    }
    let catalog = state.catalog.borrow().clone().ok_or(Barred::Starting)?;
    let route = catalog.route(&head.host, req.uri().path()).ok_or(Barred::UnknownRoute)?.clone();
    let customer = customer_of(&catalog, &route, head)?;
    let draw = state.with_rng(|rng| rng.random::<f64>());
    let service = route.pick_service(draw).ok_or(Barred::UnknownRoute)?.clone();
    let cold_per_second = catalog.service(&service).map_or(0.0, |s| s.cold_per_second);
    let limits = catalog.limits();
    let (parts, body) = req.into_parts();
    let body = read_body(body, limits.max_body_len, limits.head_timeout).await?;
    let allowed = head.deadline.unwrap_or(USUAL_DEADLINE).min(route.timeout);
    let is_late = state.is_late(&route, allowed, arrived);
    Ok(Call {
        head: head.clone(),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        service,
        customer,
        cold_per_second,
        is_late,
        arrived,
        read_for: state.now().since(arrived),
        deadline: arrived + allowed,
    })
}

fn customer_of(
    catalog: &Catalog,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Customer>, Barred> {
    let customer = head.key.as_deref().and_then(|key| catalog.customer(key));
    if customer.is_none() && catalog.has_customers() && !route.allows_anonymous {
        return Err(Barred::UnknownKey);
    }
    Ok(customer.cloned())
}

async fn read_body(body: Incoming, max_len: usize, within: Duration) -> Result<Bytes, Barred> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_len as u64 {
        return Err(Barred::BodyTooLong);
    }
    match timeout(within, Limited::new(body, max_len).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Barred::BodyTooLong),
        Ok(Err(_)) => Err(Barred::BodyBroken),
        Err(_) => Err(Barred::BodyTooSlow),
    }
}

async fn forward_call(state: &Rc<State>, call: Rc<Call>) -> Response<AnswerBody> {
    let mut trail = Trail::default();
    match forward::serve(state, call.clone(), &mut trail).await {
        Ok(response) => {
            state.metrics.time("head", state.now().since(call.arrived));
            for (name, span) in trail.steps.named() {
                state.metrics.time(name, span);
            }
            let status = response.status();
            log_end(state, &call.head, call.arrived, status, "answered", &trail);
            response
        }
        Err(refusal) => {
            log_end(state, &call.head, call.arrived, refusal.status(), refusal.as_str(), &trail);
            let left = call.deadline.since(state.now());
            let cause = cause_of(state, refusal, &call);
            refuse(refusal.status(), refusal.as_str(), state.retry_after(cause, left))
        }
    }
}

fn cause_of(state: &State, refusal: Refusal, call: &Call) -> RefusalCause {
    match refusal {
        Refusal::Full => RefusalCause::Full,
        Refusal::Warming => {
            let warm_in = state.endpoints.borrow().warm_in(&call.service, state.now());
            RefusalCause::Warming { warm_in }
        }
        Refusal::NoEndpoint => {
            let ready_in = state.endpoints.borrow().ready_in(&call.service, state.now());
            RefusalCause::NoEndpoint { ready_in }
        }
        Refusal::Declined | Refusal::NotStarted | Refusal::Lost | Refusal::TimedOut => {
            RefusalCause::Other
        }
    }
}

/// An answer of this entry's own. 503 always names a time to come back.
fn refuse(status: StatusCode, reason: &'static str, retry_after: Duration) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    let value = HeaderValue::from_str(&format!("{:.2}", retry_after.as_secs_f64()));
    if let Some(value) = value.ok().filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// The counter of answers of a kind.
fn counter(status: StatusCode, reason: &str) -> &'static str {
    match status.as_u16() {
        200..=299 => "answered",
        503 if reason == Refusal::Full.as_str() => "refused_full",
        503 if reason == Refusal::Warming.as_str() => "refused_warming",
        503 if reason == Refusal::NoEndpoint.as_str() => "refused_no_endpoint",
        503 => "refused_other",
        502 => "failed_lost",
        504 => "failed_timeout",
        400..=499 => "refused_caller",
        _ => "failed_endpoint",
    }
}

fn log_end(
    state: &State,
    head: &CallHead,
    arrived: Time,
    status: StatusCode,
    reason: &'static str,
    trail: &Trail,
) {
    let now = state.now();
    state.metrics.count(counter(status, reason));
    let is_sampled = state.with_rng(|rng| rng.random_range(0..LOG_EVERY)) == 0;
    if status.is_success() {
        if !is_sampled {
            return;
        }
        log_steps(state, head, trail);
    }
    let age = state.freshness.borrow().age(now).map_or(-1, |age| age.as_millis() as i64);
    let version = state.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version());
    slog::info!(state.log, "request ended";
        "id" => head.id.as_deref().unwrap_or_default(),
        "status" => status.as_u16(), "reason" => reason,
        "took_ms" => now.since(arrived).as_millis() as u64,
        "offers" => trail.offers(),
        "endpoint" => trail.last.as_deref().unwrap_or_default(),
        "config" => version, "config_age_ms" => age);
}

/// Logs where the time of an answered request went.
fn log_steps(state: &State, head: &CallHead, trail: &Trail) {
    let us = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    let steps = &trail.steps;
    slog::info!(state.log, "request steps";
        "id" => head.id.as_deref().unwrap_or_default(),
        "read_us" => us(steps.read), "place_us" => us(steps.place),
        "connect_us" => us(steps.connect), "lost_us" => us(steps.lost),
        "run_us" => us(steps.run));
}
