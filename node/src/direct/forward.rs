//! Sends one request to endpoints until one has answered it, within what may be repeated.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_platform::answer;
use tokio::time::timeout;

use super::attempt::MAX_ANSWER_LEN;
use super::attempt::Outcome;
use super::attempt::Run;
use super::attempt::attempt;
use super::attempt::note_failure;
use super::call::Call;
use super::call::Refusal;
use super::call::Result;
use super::call::Trail;
use super::link;
use super::link::LinkError;
use super::placement::next_endpoint;
use super::pool;
use super::relay::AnswerBody;
use super::state::State;
use super::stream::begin_stream;

/// Answers `call` from an endpoint.
pub async fn serve(
    state: &Rc<State>,
    call: Rc<Call>,
    trail: &mut Trail,
) -> Result<Response<AnswerBody>> {
    let mut failed: Option<Response<Bytes>> = None;
    trail.steps.read = call.read_for;
    loop {
        let began = state.now();
        let next = next_endpoint(state, &call, trail).await;
        trail.steps.place += state.now().since(began);
        let endpoint = match next {
            Ok(endpoint) => endpoint,
            Err(refusal) => return failed.map_or(Err(refusal), |answer| Ok(pass_on(answer))),
        };
        let attempted = Attempted::begin(state, trail);
        match attempt(state, &call, endpoint, trail, None).await {
            Outcome::Answering(run) if call.route.is_stream => {
                match begin_stream(state, &call, *run, trail).await {
                    Ok(response) => {
                        trail.steps.run = attempted.spent(state, trail);
                        return Ok(response);
                    }
                    Err(_) if call.route.retry_policy == RetryPolicy::Resumable => {}
                    Err(e) => return Err(lost(e)),
                }
            }
            Outcome::Answering(run) => match read_whole(state, &call, *run).await {
                Ok(response) => {
                    trail.steps.run = attempted.spent(state, trail);
                    return Ok(response);
                }
                Err(_) if call.route.retry_policy == RetryPolicy::Idempotent => {}
                Err(e) => return Err(lost(e)),
            },
            Outcome::Failed(answer) if call.route.retry_policy == RetryPolicy::AtMostOnce => {
                return Ok(pass_on(answer));
            }
            Outcome::Failed(answer) => failed = Some(answer),
            Outcome::NotRun => {}
            Outcome::Lost(e) if call.route.retry_policy == RetryPolicy::AtMostOnce => {
                return Err(lost(e));
            }
            Outcome::Lost(_) => {}
        }
        trail.steps.lost += attempted.spent(state, trail);
    }
}

/// The start of an attempt, to tell what it took beside its connection.
#[derive(Clone, Copy, Debug)]
struct Attempted {
    at: Time,
    connected: Duration,
}

impl Attempted {
    fn begin(state: &State, trail: &Trail) -> Attempted {
        Attempted { at: state.now(), connected: trail.steps.connect }
    }

    fn spent(self, state: &State, trail: &Trail) -> Duration {
        let connecting = trail.steps.connect.saturating_sub(self.connected);
        state.now().since(self.at).saturating_sub(connecting)
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
    state.endpoints.borrow_mut().record_success(place.endpoint);
    drop(place);
    if link.ready().await {
        state.pool.put(listed.address, &listed.id, link, span, state.now());
    }
    Ok(pass_on(Response::from_parts(head, body)))
}
