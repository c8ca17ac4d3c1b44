//! One attempt at one endpoint: the connection, the request as the endpoint is sent it, and what the
//! head of the answer proves.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::versions::Versions;
use mastichaven_platform::answer;
use mastichaven_platform::answer::Verdict;
use mastichaven_platform::call;
use mastichaven_platform::call::Addition;
use tokio::time::timeout;

use super::call::Call;
use super::call::Trail;
use super::link;
use super::link::Link;
use super::link::LinkError;
use super::pool;
use super::state::InFlightGuard;
use super::state::State;

/// Bytes of an answer that is not a stream at most.
pub(super) const MAX_ANSWER_LEN: usize = 4 << 20;

/// Time for a connection to an endpoint. A lost first packet comes again after a second, which is later than
/// a second endpoint would answer.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Time for the rest of a refusal or failure, whose head is here already.
const REST_WITHIN: Duration = Duration::from_millis(400);

/// Time to the first event after which another endpoint is tried. One that queues the request as placement
/// allows starts well within it.
pub(super) const FIRST_EVENT_WITHIN: Duration = Duration::from_millis(1_800);

/// Objectives that an idempotent request waits for its first answer.
const PATIENCE_OBJECTIVES: f64 = 2.5;

/// An answer that has begun.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) listed: EndpointRecord,
    pub(super) link: Link,
    pub(super) place: InFlightGuard,
    pub(super) response: Response<Incoming>,
}

/// How an attempt at one endpoint ended.
pub(super) enum Outcome {
    /// The endpoint answers with success.
    Answering(Box<Run>),
    /// The endpoint ran it and failed: its answer.
    Failed(Response<Bytes>),
    /// Proved not to have run.
    NotRun,
    /// It may have run.
    Lost(LinkError),
}

/// Sends the request to one endpoint and judges the head of its answer.
pub(super) async fn attempt(
    state: &Rc<State>,
    call: &Call,
    endpoint: EndpointKey,
    trail: &mut Trail,
    resume_after: Option<&str>,
) -> Outcome {
    let Some(listed) = state.endpoints.borrow().get(endpoint).cloned() else {
        return Outcome::NotRun;
    };
    trail.tried.push(endpoint);
    trail.last = Some(listed.id.clone());
    let place = InFlightGuard::acquire(state, endpoint);
    let kept = state.pool.take(listed.address, &listed.id, state.now());
    let is_kept = kept.is_some();
    let mut link = match kept {
        Some(link) => link,
        None => {
            state.metrics.count("connections");
            let began = state.now();
            let opened = Link::open(listed.address, CONNECT_WITHIN).await;
            trail.steps.connect += state.now().since(began);
            match opened {
                Ok(link) => link,
                Err(e) => {
                    note_failure(state, call, &listed, endpoint, e, "connect");
                    return Outcome::NotRun;
                }
            }
        }
    };
    // The endpoint table may have changed while the connection was made.
    if !state.endpoints.borrow().is_routable(endpoint) {
        return Outcome::NotRun;
    }
    if !is_kept && !link.ready().await {
        return Outcome::NotRun;
    }
    let now = state.now();
    let left = call.deadline.since(now);
    let req = endpoint_request(state, call, &listed, left, resume_after, now);
    trail.arrivals += 1;
    if trail.arrivals == 1 {
        state.with_retry_budget(&call.service, |budget| budget.record_first_attempt(now));
    }
    let patience = match call.route.retry_policy {
        RetryPolicy::Idempotent => call.route.objective.mul_f64(PATIENCE_OBJECTIVES),
        RetryPolicy::Resumable => FIRST_EVENT_WITHIN,
        RetryPolicy::AtMostOnce => left,
    };
    let sent = timeout(left.min(patience), link.send(req)).await;
    let response = match sent.unwrap_or(Err(LinkError::TimedOut)) {
        Ok(response) => response,
        Err(LinkError::NotSent) => {
            trail.arrivals -= 1;
            return Outcome::NotRun;
        }
        Err(e) => {
            trail.may_have_run = true;
            note_failure(state, call, &listed, endpoint, e, "head");
            return Outcome::Lost(e);
        }
    };
    let id = call.head.id.as_deref();
    match answer::judge(response.status(), response.headers(), id) {
        Verdict::Success => Outcome::Answering(Box::new(Run { listed, link, place, response })),
        Verdict::NotRun => {
            state.endpoints.borrow_mut().record_refusal(endpoint, state.now());
            state.metrics.count("endpoint_refusals");
            keep_after(state, &listed, link, response).await;
            Outcome::NotRun
        }
        Verdict::Misdirected => {
            state.endpoints.borrow_mut().record_misdirected(endpoint, state.now());
            state.metrics.count("endpoint_misdirected");
            Outcome::NotRun
        }
        Verdict::Failed => {
            trail.may_have_run = true;
            state.metrics.count("endpoint_failures");
            state.endpoints.borrow_mut().record_failure(endpoint, false, state.now());
            failed_answer(state, &listed, link, response).await
        }
        Verdict::Foreign => {
            trail.may_have_run = true;
            note_failure(state, call, &listed, endpoint, LinkError::Broken, "foreign answer");
            Outcome::Lost(LinkError::Broken)
        }
    }
}

fn endpoint_request(
    state: &State,
    call: &Call,
    listed: &EndpointRecord,
    left: Duration,
    resume_after: Option<&str>,
    now: Time,
) -> Request<Full<Bytes>> {
    // While an older version may still answer, any that the endpoint holds is welcome.
    let version = call.head.model.as_deref().and_then(|model| {
        let newest = state.versions.borrow().get(model).map(Versions::newest)?;
        (state.oldest_allowed_version(model, now) == newest).then_some(newest)
    });
    let resume_after = resume_after.or(call.head.resumes_after.as_deref());
    let addition = Addition {
        deadline: Some(left),
        endpoint: &listed.id,
        customer: call.customer.as_ref().map(|customer| &customer.name),
        version,
        urgency: None,
        resume_after,
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.headers_mut() = call::endpoint_headers(&call.headers, &addition);
    req
}

/// Counts and logs an attempt that brought no usable answer.
pub(super) fn note_failure(
    state: &State,
    call: &Call,
    listed: &EndpointRecord,
    endpoint: EndpointKey,
    e: LinkError,
    at: &'static str,
) {
    state.endpoints.borrow_mut().record_failure(endpoint, true, state.now());
    state.metrics.count("endpoint_losses");
    slog::info!(state.log, "attempt failed";
        "id" => call.head.id.as_deref().unwrap_or_default(),
        "endpoint" => listed.id.as_str(), "at" => at, "error" => e.as_str(),
        "left_ms" => call.deadline.since(state.now()).as_millis() as u64);
}

/// Reads the short rest of an answer, so that its connection can be used again.
async fn keep_after(
    state: &State,
    listed: &EndpointRecord,
    mut link: Link,
    response: Response<Incoming>,
) {
    let span = pool::idle_span(response.headers());
    let rest = timeout(REST_WITHIN, link::whole(response.into_body(), MAX_ANSWER_LEN)).await;
    if matches!(rest, Ok(Ok(_))) && link.ready().await {
        state.pool.put(listed.address, &listed.id, link, span, state.now());
    }
}

async fn failed_answer(
    state: &State,
    listed: &EndpointRecord,
    mut link: Link,
    response: Response<Incoming>,
) -> Outcome {
    let span = pool::idle_span(response.headers());
    let (head, body) = response.into_parts();
    let body = timeout(REST_WITHIN, link::whole(body, MAX_ANSWER_LEN)).await;
    match body.unwrap_or(Err(LinkError::TimedOut)) {
        Ok(body) => {
            if link.ready().await {
                state.pool.put(listed.address, &listed.id, link, span, state.now());
            }
            Outcome::Failed(Response::from_parts(head, body))
        }
        Err(e) => Outcome::Lost(e),
    }
}
