//! Sends one request to endpoints until one has answered it, within what may be repeated.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Customer;
use mastichaven_core::direct::catalog::Repeat;
use mastichaven_core::direct::catalog::Route;
use mastichaven_core::direct::roster::EndpointKey;
use mastichaven_core::direct::roster::Need;
use mastichaven_core::direct::roster::Unavailable;
use mastichaven_core::ids::ServiceName;
use mastichaven_platform::answer;
use mastichaven_platform::call::CallHead;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::attempt::MAX_ANSWER_LEN;
use super::attempt::Outcome;
use super::attempt::Run;
use super::attempt::attempt;
use super::attempt::note_failure;
use super::link;
use super::link::LinkError;
use super::pool;
use super::relay::AnswerBody;
use super::state::State;
use super::stream::begin_stream;

/// Endpoints that one request is offered to at most, counting those that refused or could not be
/// reached. More tries find nothing that these did not.
const MAX_OFFERS: usize = 4;

/// How long a request waits here for a place, as a part of its objective. Longer waits are better
/// spent by the caller: refused at once, it comes back elsewhere.
const WAIT_PART: f64 = 0.125;

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
    /// Whether it came back too late to be answered in time.
    pub is_late: bool,
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
    pub(super) tried: Vec<EndpointKey>,
    pub(super) arrivals: u32,
    pub(super) may_have_run: bool,
    /// The last endpoint it was sent to.
    pub last: Option<SmolStr>,
}

impl Trail {
    /// Endpoints that it was offered to.
    pub fn offers(&self) -> usize {
        self.tried.len()
    }
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
pub(super) async fn next_endpoint(
    state: &Rc<State>,
    call: &Call,
    trail: &Trail,
) -> Result<EndpointKey> {
    let now = state.now();
    if now >= call.deadline {
        return Err(give_up(trail, Refusal::NotStarted));
    }
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
        is_late: call.is_late,
    };
    let mut roster = state.roster.borrow_mut();
    state.with_rng(|rng| roster.choose(&need, now, rng))
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
