//! Sends one request to endpoints until one has answered it, within what may be repeated.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Repeat;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::events::EventCutter;
use mastichaven_core::direct::roster::EndpointKey;
use mastichaven_core::direct::roster::Listed;
use mastichaven_core::direct::roster::Need;
use mastichaven_core::direct::roster::Unavailable;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::ids::ServiceName;
use mastichaven_platform::answer;
use mastichaven_platform::answer::Verdict;
use mastichaven_platform::call;
use mastichaven_platform::call::Addition;
use mastichaven_platform::call::CallHead;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::link;
use super::link::Link;
use super::link::LinkError;
use super::pool;
use super::relay::AnswerBody;
use super::relay::BrokenOff;
use super::relay::PIECES;
use super::state::Place;
use super::state::State;

/// Bytes of an answer that is not a stream at most.
const MAX_ANSWER_LEN: usize = 4 << 20;

/// Time for a connection to an endpoint. Round trips take up to 4 ms; a lost first packet comes again
/// after a second, which is later than a second endpoint would answer.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Endpoints that one request is offered to at most, counting those that refused or could not be
/// reached. More tries find nothing that these did not.
const MAX_OFFERS: usize = 4;

/// How long a request waits here for a place, as a part of its objective. Longer waits are better
/// spent by the caller: refused at once, it comes back elsewhere.
const WAIT_PART: f64 = 0.125;

/// Silence after which a stream is continued at another endpoint. Callers leave after 2.4 s; a busy
/// endpoint pauses up to about 0.5 s between events.
const SILENT_STREAM: Duration = Duration::from_millis(1_200);

/// Time to the first event after which another endpoint is tried: an endpoint that queues the request
/// as placement allows starts within 0.5 s.
const FIRST_EVENT_WITHIN: Duration = Duration::from_millis(1_800);

/// Objectives that an idempotent request waits for its first answer.
const PATIENCE_OBJECTIVES: f64 = 2.5;

/// Least time left for which another attempt is worth its place.
const LEAST_LEFT: Duration = Duration::from_millis(60);

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// What its head says.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
    /// The route it takes.
    pub route: Route,
    /// The service it goes to.
    pub service: ServiceName,
    /// The customer that holds its key.
    pub customer: Option<Customer>,
    /// Requests a second that a cold endpoint of the service bears.
    pub cold_per_second: f64,
    /// When its head was read.
    pub arrived: Time,
    /// When its answer has to be there.
    pub deadline: Time,
}

/// Why a request was not answered by an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It has not run and will not: no endpoint can serve it now.
    NoEndpoint,
    /// It has not run and will not: all endpoints are full.
    Full,
    /// It has not run and will not: each endpoint that it was offered to refused it.
    Declined,
    /// It has not run and will not: its time was over before an endpoint took it.
    NotStarted,
    /// It may have run; the endpoint's answer was lost.
    Lost,
    /// It may have run; no answer came in time.
    TimedOut,
}

impl Refusal {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoEndpoint => "no endpoint",
            Refusal::Full => "all endpoints full",
            Refusal::Declined => "declined by endpoints",
            Refusal::NotStarted => "time over before an endpoint took it",
            Refusal::Lost => "answer lost",
            Refusal::TimedOut => "timed out",
        }
    }

    /// The status that callers are sent. 503 promises that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NoEndpoint | Refusal::Full | Refusal::Declined | Refusal::NotStarted => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Lost => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Result of serving a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// What one request has been through.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    tried: Vec<EndpointKey>,
    arrivals: u32,
    may_have_run: bool,
    /// The last endpoint it was sent to.
    pub last: Option<SmolStr>,
}

impl Trail {
    /// Endpoints that it was offered to.
    pub fn offers(&self) -> usize {
        self.tried.len()
    }
}

struct Run {
    listed: Listed,
    link: Link,
    place: Place,
    response: Response<Incoming>,
}

enum Outcome {
    Answering(Box<Run>),
    /// The endpoint ran it and failed: its answer.
    Failed(Response<Bytes>),
    /// Proved not to have run.
    NotRun,
    /// It may have run.
    Lost(LinkError),
}

/// Answers `call` from an endpoint.
pub async fn serve(
    state: &Rc<State>,
    call: Rc<Call>,
    trail: &mut Trail,
) -> Result<Response<AnswerBody>> {
    let mut failed: Option<Response<Bytes>> = None;
    loop {
        let endpoint = match next_endpoint(state, &call, trail).await {
            Ok(endpoint) => endpoint,
            Err(refusal) => return failed.map_or(Err(refusal), |answer| Ok(pass_on(answer))),
        };
        match attempt(state, &call, endpoint, trail, None).await {
            Outcome::Answering(run) if call.route.is_stream => {
                match begin_stream(state, &call, *run, trail).await {
                    Ok(response) => return Ok(response),
                    Err(_) if call.route.repeat == Repeat::Resumable => {}
                    Err(e) => return Err(lost(e)),
                }
            }
            Outcome::Answering(run) => match read_whole(state, &call, *run).await {
                Ok(response) => return Ok(response),
                Err(_) if call.route.repeat == Repeat::Idempotent => {}
                Err(e) => return Err(lost(e)),
            },
            Outcome::Failed(answer) if call.route.repeat == Repeat::Once => {
                return Ok(pass_on(answer));
            }
            Outcome::Failed(answer) => failed = Some(answer),
            Outcome::NotRun => {}
            Outcome::Lost(e) if call.route.repeat == Repeat::Once => return Err(lost(e)),
            Outcome::Lost(_) => {}
        }
    }
}

fn lost(e: LinkError) -> Refusal {
    if e == LinkError::TimedOut { Refusal::TimedOut } else { Refusal::Lost }
}

fn pass_on(answer: Response<Bytes>) -> Response<AnswerBody> {
    let (mut head, body) = answer.into_parts();
    head.headers = answer::caller_headers(head.headers);
    Response::from_parts(head, AnswerBody::whole(body))
}

/// The refusal once no further endpoint is tried.
fn give_up(trail: &Trail, unsent: Refusal) -> Refusal {
    if trail.may_have_run {
        Refusal::Lost
    } else if trail.offers() > 0 {
        Refusal::Declined
    } else {
        unsent
    }
}

/// The endpoint to try next, or why there is none. Waits a short while for a place.
async fn next_endpoint(state: &Rc<State>, call: &Call, trail: &Trail) -> Result<EndpointKey> {
    let now = state.now();
    if trail.offers() > 0 {
        let runs_left = trail.arrivals < call.route.max_attempts;
        let time_left = call.deadline.since(now) >= LEAST_LEFT;
        if !runs_left || !time_left || trail.offers() >= MAX_OFFERS {
            return Err(give_up(trail, Refusal::Declined));
        }
    }
    let wait_until = call.arrived + call.route.objective.mul_f64(WAIT_PART);
    let endpoint = loop {
        let now = state.now();
        match choose(state, call, trail, now) {
            Ok(endpoint) => break endpoint,
            Err(Unavailable::None) => return Err(give_up(trail, Refusal::NoEndpoint)),
            Err(Unavailable::Full) if now >= wait_until => {
                return Err(give_up(trail, Refusal::Full));
            }
            Err(Unavailable::Full) => {
                let _ = timeout(wait_until.since(now), state.freed.notified()).await;
            }
        }
    };
    let now = state.now();
    if trail.arrivals > 0 {
        let entries = state.roster.borrow().entries();
        if !state.with_budget(&call.service, |budget| budget.spend(entries, now)) {
            state.metrics.count("retries_over_budget");
            return Err(give_up(trail, Refusal::Declined));
        }
        state.metrics.count("retries");
    }
    Ok(endpoint)
}

fn choose(
    state: &Rc<State>,
    call: &Call,
    trail: &Trail,
    now: Time,
) -> std::result::Result<EndpointKey, Unavailable> {
    let oldest = call.head.model.as_deref().map(|model| (model, state.oldest_weights(model, now)));
    let customer_regions = call.customer.as_ref().map(|c| c.regions.as_slice());
    let need = Need {
        service: &call.service,
        model: oldest,
        regions: [&call.route.regions, customer_regions.unwrap_or_default()],
        tried: &trail.tried,
        cold_per_second: call.cold_per_second,
    };
    let mut roster = state.roster.borrow_mut();
    state.with_rng(|rng| roster.choose(&need, now, rng))
}

/// Sends the request to one endpoint and judges the head of its answer.
async fn attempt(
    state: &Rc<State>,
    call: &Call,
    endpoint: EndpointKey,
    trail: &mut Trail,
    resume_after: Option<&str>,
) -> Outcome {
    let Some(listed) = state.roster.borrow().get(endpoint).cloned() else {
        return Outcome::NotRun;
    };
    trail.tried.push(endpoint);
    trail.last = Some(listed.id.clone());
    let place = Place::take(state, endpoint);
    let kept = state.pool.take(listed.address, &listed.id, state.now());
    let is_kept = kept.is_some();
    let mut link = match kept {
        Some(link) => link,
        None => {
            state.metrics.count("connections");
            match Link::open(listed.address, CONNECT_WITHIN).await {
                Ok(link) => link,
                Err(e) => {
                    note_failure(state, call, &listed, endpoint, e, "connect");
                    return Outcome::NotRun;
                }
            }
        }
    };
    // The roster may have changed while the connection was made.
    if !state.roster.borrow().is_open(endpoint) {
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
        state.with_budget(&call.service, |budget| budget.first(now));
    }
    let patience = match call.route.repeat {
        Repeat::Idempotent => call.route.objective.mul_f64(PATIENCE_OBJECTIVES),
        Repeat::Resumable => FIRST_EVENT_WITHIN,
        Repeat::Once => left,
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
            state.roster.borrow_mut().refused(endpoint, state.now());
            state.metrics.count("endpoint_refusals");
            keep_after(state, &listed, link, response).await;
            Outcome::NotRun
        }
        Verdict::Misdirected => {
            state.metrics.count("endpoint_misdirected");
            Outcome::NotRun
        }
        Verdict::Failed => {
            trail.may_have_run = true;
            state.metrics.count("endpoint_failures");
            state.roster.borrow_mut().failed(endpoint, false, state.now());
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
    listed: &Listed,
    left: Duration,
    resume_after: Option<&str>,
    now: Time,
) -> Request<Full<Bytes>> {
    // While an older version may still answer, any that the endpoint holds is welcome.
    let version = call.head.model.as_deref().and_then(|model| {
        let newest = state.versions.borrow().get(model).map(Versions::newest)?;
        (state.oldest_weights(model, now) == newest).then_some(newest)
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

fn note_failure(
    state: &State,
    call: &Call,
    listed: &Listed,
    endpoint: EndpointKey,
    e: LinkError,
    at: &'static str,
) {
    state.roster.borrow_mut().failed(endpoint, true, state.now());
    state.metrics.count("endpoint_losses");
    slog::info!(state.log, "attempt failed";
        "id" => call.head.id.as_deref().unwrap_or_default(),
        "endpoint" => listed.id.as_str(), "at" => at, "error" => e.as_str(),
        "left_ms" => call.deadline.since(state.now()).as_millis() as u64);
}

/// Reads the short rest of an answer, so that its connection can be used again.
async fn keep_after(state: &State, listed: &Listed, mut link: Link, response: Response<Incoming>) {
    let span = pool::idle_span(response.headers());
    let rest = timeout(CONNECT_WITHIN, link::whole(response.into_body(), MAX_ANSWER_LEN)).await;
    if matches!(rest, Ok(Ok(_))) && link.ready().await {
        state.pool.put(listed.address, &listed.id, link, span, state.now());
    }
}

async fn failed_answer(
    state: &State,
    listed: &Listed,
    mut link: Link,
    response: Response<Incoming>,
) -> Outcome {
    let span = pool::idle_span(response.headers());
    let (head, body) = response.into_parts();
    let body = timeout(CONNECT_WITHIN, link::whole(body, MAX_ANSWER_LEN)).await;
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

/// Reads an answer that is not a stream. Only a whole one is passed on.
async fn read_whole(
    state: &State,
    call: &Call,
    run: Run,
) -> std::result::Result<Response<AnswerBody>, LinkError> {
    let Run { listed, mut link, place, response } = run;
    let span = pool::idle_span(response.headers());
    let (head, body) = response.into_parts();
    let left = call.deadline.since(state.now());
    let body = timeout(left, link::whole(body, MAX_ANSWER_LEN)).await;
    let body = match body.unwrap_or(Err(LinkError::TimedOut)) {
        Ok(body) => body,
        Err(e) => {
            note_failure(state, call, &listed, place.endpoint, e, "body");
            return Err(e);
        }
    };
    state.roster.borrow_mut().succeeded(place.endpoint);
    drop(place);
    if link.ready().await {
        state.pool.put(listed.address, &listed.id, link, span, state.now());
    }
    Ok(pass_on(Response::from_parts(head, body)))
}

/// Waits for the first event, then passes the stream on from a task of its own. Until then a failure
/// can still become an attempt at another endpoint.
async fn begin_stream(
    state: &Rc<State>,
    call: &Rc<Call>,
    mut run: Run,
    trail: &mut Trail,
) -> std::result::Result<Response<AnswerBody>, LinkError> {
    let mut head = Response::new(());
    *head.status_mut() = run.response.status();
    *head.headers_mut() = answer::caller_headers(run.response.headers().clone());
    let mut cutter = EventCutter::default();
    let patience = match call.route.repeat {
        Repeat::Resumable => FIRST_EVENT_WITHIN,
        Repeat::Idempotent | Repeat::Once => call.deadline.since(state.now()),
    };
    let wait = patience.min(call.deadline.since(state.now()));
    let first = timeout(wait, next_events(&mut run, &mut cutter)).await;
    let first = match first.unwrap_or(Err(LinkError::TimedOut)) {
        Ok(first) => first,
        Err(e) => {
            trail.may_have_run = true;
            note_failure(state, call, &run.listed, run.place.endpoint, e, "first event");
            return Err(e);
        }
    };
    state.metrics.time("first_event", state.now().since(call.arrived));
    let (tx, rx) = mpsc::channel(PIECES);
    let Some(first) = first else {
        return Ok(head.map(|()| AnswerBody::whole(Bytes::new())));
    };
    let _ = tx.try_send(Ok(first));
    let trail = trail.clone();
    tokio::task::spawn_local(pass_stream(state.clone(), call.clone(), run, cutter, trail, tx));
    Ok(head.map(|()| AnswerBody::Pieces(rx)))
}

/// The next whole events, `None` at the proper end of the stream.
async fn next_events(
    run: &mut Run,
    cutter: &mut EventCutter,
) -> std::result::Result<Option<Bytes>, LinkError> {
    loop {
        let Some(frame) = run.response.body_mut().frame().await else {
            // An end inside an event is no end.
            return if cutter.is_at_boundary() { Ok(None) } else { Err(LinkError::Broken) };
        };
        let frame = frame.map_err(|_| LinkError::Broken)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if let Some(events) = cutter.push(&bytes).map_err(|_| LinkError::Broken)? {
            return Ok(Some(events));
        }
    }
}

type PieceSender = mpsc::Sender<std::result::Result<Bytes, BrokenOff>>;

/// How one run of a stream ended.
enum StreamEnd {
    Whole,
    CallerLeft,
    Broken(LinkError),
}

/// Passes events on until the stream ends, going on at another endpoint where it breaks off.
async fn pass_stream(
    state: Rc<State>,
    call: Rc<Call>,
    mut run: Run,
    mut cutter: EventCutter,
    mut trail: Trail,
    tx: PieceSender,
) {
    loop {
        let end = pass_run(&state, &call, &mut run, &mut cutter, &tx).await;
        match end {
            StreamEnd::Whole => return end_run(&state, run).await,
            StreamEnd::CallerLeft => {
                state.metrics.count("callers_left");
                return;
            }
            StreamEnd::Broken(e) => {
                note_failure(&state, &call, &run.listed, run.place.endpoint, e, "stream");
            }
        }
        drop(run);
        match resume(&state, &call, &mut cutter, &mut trail).await {
            Some(next) => run = next,
            None => {
                slog::warn!(state.log, "stream broken off";
                    "id" => call.head.id.as_deref().unwrap_or_default(),
                    "route" => call.route.name.as_str(), "offers" => trail.offers(),
                    "left_ms" => call.deadline.since(state.now()).as_millis() as u64);
                state.metrics.count("streams_broken_off");
                let _ = tx.send(Err(BrokenOff)).await;
                return;
            }
        }
    }
}

async fn pass_run(
    state: &State,
    call: &Call,
    run: &mut Run,
    cutter: &mut EventCutter,
    tx: &PieceSender,
) -> StreamEnd {
    loop {
        let left = call.deadline.since(state.now());
        let silence = if call.route.repeat == Repeat::Resumable { SILENT_STREAM } else { left };
        let events = tokio::select! {
            events = timeout(silence.min(left), next_events(run, cutter)) => events,
            () = tx.closed() => return StreamEnd::CallerLeft,
        };
        match events.unwrap_or(Err(LinkError::TimedOut)) {
            Ok(Some(events)) => {
                if tx.send(Ok(events)).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
            Ok(None) => return StreamEnd::Whole,
            Err(e) => return StreamEnd::Broken(e),
        }
    }
}

async fn end_run(state: &State, run: Run) {
    let Run { listed, mut link, place, response } = run;
    state.roster.borrow_mut().succeeded(place.endpoint);
    drop(place);
    let span = pool::idle_span(response.headers());
    drop(response);
    if link.ready().await {
        state.pool.put(listed.address, &listed.id, link, span, state.now());
    }
}

/// Starts another run of a broken stream after the last event that was passed on.
async fn resume(
    state: &Rc<State>,
    call: &Call,
    cutter: &mut EventCutter,
    trail: &mut Trail,
) -> Option<Run> {
    if call.route.repeat != Repeat::Resumable {
        return None;
    }
    cutter.drop_partial();
    let last = cutter.last_id()?.clone();
    loop {
        let endpoint = next_endpoint(state, call, trail).await.ok()?;
        if let Outcome::Answering(run) =
            attempt(state, call, endpoint, trail, Some(last.as_str())).await
        {
            state.metrics.count("streams_resumed");
            return Some(*run);
        }
    }
}
