//! Streams of events on their way to a caller, and their continuation at another endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use mastichaven_core::direct::catalog::RetryPolicy;
use mastichaven_core::direct::events::EventSplitter;
use mastichaven_platform::answer;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::attempt::FIRST_EVENT_WITHIN;
use super::attempt::Outcome;
use super::attempt::Run;
use super::attempt::attempt;
use super::attempt::note_failure;
use super::call::Call;
use super::call::Trail;
use super::link::LinkError;
use super::placement::next_endpoint;
use super::pool;
use super::relay::AnswerBody;
use super::relay::BrokenOff;
use super::relay::PIECES;
use super::state::State;

/// Result of passing on a part of a stream.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Silence after which a stream is continued at another endpoint: longer than a busy endpoint pauses between
/// events, and in time before callers leave.
const SILENT_STREAM: Duration = Duration::from_millis(1_200);

/// Waits for the first event, then passes the stream on from a task of its own. Until then a failure
/// can still become an attempt at another endpoint.
pub(super) async fn begin_stream(
    state: &Rc<State>,
    call: &Rc<Call>,
    mut run: Run,
    trail: &mut Trail,
) -> Result<Response<AnswerBody>> {
    let mut head = Response::new(());
    *head.status_mut() = run.response.status();
    *head.headers_mut() = answer::caller_headers(run.response.headers().clone());
    let mut cutter = EventSplitter::default();
    let patience = match call.route.retry_policy {
        RetryPolicy::Resumable => FIRST_EVENT_WITHIN,
        RetryPolicy::Idempotent | RetryPolicy::AtMostOnce => call.deadline.since(state.now()),
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
async fn next_events(run: &mut Run, cutter: &mut EventSplitter) -> Result<Option<Bytes>> {
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
    mut cutter: EventSplitter,
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
    cutter: &mut EventSplitter,
    tx: &PieceSender,
) -> StreamEnd {
    loop {
        let left = call.deadline.since(state.now());
        let silence =
            if call.route.retry_policy == RetryPolicy::Resumable { SILENT_STREAM } else { left };
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
    state.endpoints.borrow_mut().record_success(place.endpoint);
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
    cutter: &mut EventSplitter,
    trail: &mut Trail,
) -> Option<Run> {
    if call.route.retry_policy != RetryPolicy::Resumable {
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
