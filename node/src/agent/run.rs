//! Runs requests on the endpoint: the gate, admission, and the answer's frames.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::admission::Permit;
use mastichaven_core::admission::RequestEnd;
use mastichaven_core::claim;
use mastichaven_core::config::Service;
use mastichaven_core::config::ZoneState;
use mastichaven_core::gate;
use mastichaven_core::gate::ExpectedSource;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::Serving;
use mastichaven_core::run::FullResponse;
use mastichaven_core::run::RunFrame;
use mastichaven_core::run::RunRequest;
use mastichaven_core::run::VoidReply;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use tokio::time::timeout;

use super::Shared;
use crate::endpoint;
use crate::endpoint::Answer;
use crate::endpoint::Line;
use crate::transport::ReplySink;

/// Requests waiting for the thread; more are refused as busy.
pub(super) const JOB_RING: usize = 256;

/// How often the thread looks whether the agent has ended.
const POLL: Duration = Duration::from_millis(200);

/// How often a suspect looks whether the endpoint is empty.
const ALONE_POLL: Duration = Duration::from_millis(5);

/// How long a suspect keeps the endpoint from others while it waits.
const ALONE_WAIT: Duration = Duration::from_secs(2);

/// How long the answer of a call that may not be repeated is waited for, so that what became of it
/// can be told to a resend; its caller's own deadline has long been answered for by then.
const UNREPEATABLE_WAIT: Duration = Duration::from_secs(600);

/// A request that arrived, and where its frames go.
pub(super) struct Job {
    ask: RunRequest,
    replies: ReplySink,
}

/// Hands `ask` to the thread, or refuses it when the ring is full.
pub(super) fn offer(shared: &Shared, ask: RunRequest, replies: ReplySink) {
    if let Err(error) = shared.runs.try_send(Job { ask, replies }) {
        let refused = RunFrame::Refused { code: Code::Busy, load: load(shared) };
        let _ = error.into_inner().replies.send(reply(shared, refused));
    }
}

/// Serves the ring until the agent ends.
pub(super) fn run(shared: &Arc<Shared>, jobs: &flume::Receiver<Job>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system gives a runtime");
    runtime.block_on(async {
        while !shared.is_over() {
            if let Ok(Ok(job)) = timeout(POLL, jobs.recv_async()).await {
                tokio::spawn(serve(shared.clone(), job));
            }
        }
    });
}

/// How an attempt ended.
struct Ended {
    /// The last frame.
    frame: RunFrame,
    /// What a void of it is told from now on.
    record: VoidReply,
    left: RequestEnd,
}

async fn serve(shared: Arc<Shared>, job: Job) {
    let Job { ask, replies } = job;
    shared.running.fetch_add(1, Ordering::AcqRel);
    if let Err(code) = run_one(&shared, &ask, &replies).await {
        shared.telemetry.attempted(code);
        let frame = RunFrame::Refused { code, load: load(&shared) };
        let _ = replies.send_async(reply(&shared, frame)).await;
    }
    shared.running.fetch_sub(1, Ordering::AcqRel);
}

/// Runs `ask`; an error proves that it did not run.
async fn run_one(shared: &Arc<Shared>, ask: &RunRequest, replies: &ReplySink) -> Result<(), Code> {
    check(shared, ask)?;
    let start = open_for(shared, ask)?;
    let mut entered = enter(shared, ask).await?;
    lock(&shared.attempts).start(ask.request)?;
    let line = match open_line(shared, start).await {
        Ok(line) => line,
        Err(code) => {
            lock(&shared.attempts).finish(ask.request, VoidReply::Voided);
            return Err(code);
        }
    };
    let ended = forward(shared, ask, start, line, replies).await;
    shared.telemetry.attempted(match &ended.frame {
        RunFrame::Failed { code, .. } => *code,
        _ => Code::Ok,
    });
    lock(&shared.attempts).finish(ask.request, ended.record);
    entered.leave(ended.left);
    let frame = match ended.frame {
        RunFrame::End { attempt, frames, .. } => {
            RunFrame::End { attempt, frames, load: load(shared) }
        }
        frame => frame,
    };
    let _ = replies.send_async(reply(shared, frame)).await;
    Ok(())
}

/// Checks everything but the endpoint itself.
fn check(shared: &Shared, ask: &RunRequest) -> Result<(), Code> {
    let in_force = shared.documents.in_force();
    let zone = in_force.config.zone.get(&shared.settings.place.zone);
    if shared.is_leaving() || zone.is_some_and(|zone| zone.state == ZoneState::Out) {
        return Err(Code::EndpointClosed);
    }
    // Another life of this agent remembers nothing of what this attempt's void was told.
    if ask.incarnation != Some(shared.incarnation) {
        return Err(Code::EndpointClosed);
    }
    lock(&shared.attempts).check_start(ask.request)?;
    if let Some(Service::Plain { concurrent, .. }) = in_force.config.service.get(&ask.service) {
        lock(&shared.admission).set_max(*concurrent);
    }
    Ok(())
}

fn open_for(shared: &Shared, ask: &RunRequest) -> Result<StartId, Code> {
    let serving = lock(&shared.serving);
    gate::check_serving(&serving, &ask.service, ask.version).map(|source| source.start())
}

async fn enter(shared: &Arc<Shared>, ask: &RunRequest) -> Result<Entered, Code> {
    let place =
        if ask.exclusive { enter_alone(shared, ask).await? } else { enter_beside(shared, ask)? };
    let entry = ask.request.sender();
    lock(&shared.shares).acquire(entry, shared.clock.now());
    Ok(Entered { shared: shared.clone(), entry, place: Some(place) })
}

fn enter_beside(shared: &Shared, ask: &RunRequest) -> Result<Permit, Code> {
    let (entry, now) = (ask.request.sender(), shared.clock.now());
    let mut shares = lock(&shared.shares);
    let mut admission = lock(&shared.admission);
    let has_share = shares.may_acquire(entry, admission.load().limit, now);
    let place = if has_share { admission.try_acquire(ask.work) } else { None };
    if place.is_none() {
        shares.record_refusal(entry, now);
    }
    place.ok_or(Code::EndpointFull)
}

async fn enter_alone(shared: &Shared, ask: &RunRequest) -> Result<Permit, Code> {
    if !lock(&shared.admission).reserve_exclusive() {
        return Err(Code::EndpointFull);
    }
    let started = Instant::now();
    while started.elapsed() < ALONE_WAIT {
        if let Some(place) = lock(&shared.admission).try_acquire_exclusive(ask.work) {
            return Ok(place);
        }
        tokio::time::sleep(ALONE_POLL).await;
    }
    lock(&shared.admission).cancel_exclusive();
    Err(Code::EndpointFull)
}

/// A place at the endpoint, given back when dropped.
struct Entered {
    shared: Arc<Shared>,
    entry: u64,
    place: Option<Permit>,
}

impl Entered {
    fn leave(&mut self, left: RequestEnd) {
        if let Some(place) = self.place.take() {
            lock(&self.shared.shares).release(self.entry);
            lock(&self.shared.admission).release(place, left);
        }
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.leave(RequestEnd::Aborted);
    }
}

/// Opens a connection after the endpoint has shown a recent sign of the life `start`.
async fn open_line(shared: &Shared, start: StartId) -> Result<Line, Code> {
    while lock(&shared.admission).needs_confirmation() {
        match endpoint::start_id(shared.engine.base()).await {
            Ok(found) if found == start => lock(&shared.admission).confirm(),
            _ => {
                close_gate(shared, start);
                return Err(Code::EndpointClosed);
            }
        }
    }
    lock(&shared.admission).record_sent();
    match endpoint::open(shared.engine.base()).await {
        Ok(line) => Ok(line),
        Err(code) => {
            close_gate(shared, start);
            Err(code)
        }
    }
}

/// The life `start` is over: nothing is sent until the watch has seen a new one, which is cold.
fn close_gate(shared: &Shared, start: StartId) {
    let mut serving = lock(&shared.serving);
    let known = match &*serving {
        Serving::Model { start, .. } | Serving::Plain { start, .. } => Some(*start),
        Serving::Nothing => None,
    };
    if known == Some(start) {
        *serving = Serving::Nothing;
        lock(&shared.admission).restart();
    }
}

async fn forward(
    shared: &Arc<Shared>,
    ask: &RunRequest,
    start: StartId,
    line: Line,
    replies: &ReplySink,
) -> Ended {
    let begun = Instant::now();
    let sent = replies.send_async(reply(shared, RunFrame::Started { start })).await;
    if sent.is_err() && ask.idempotent {
        return cut(shared, ask, Code::CallerLeft, start).await;
    }
    let answer = tokio::select! {
        answer = within(first_byte_limit(shared, ask), line.run(ask)) => answer,
        () = replies.closed(), if ask.idempotent => Err(Code::CallerLeft),
    };
    let answer = answer.and_then(|answer| check_answer(ask, start, answer));
    match answer {
        Ok(answer) => {
            if answer.start == Some(start) {
                lock(&shared.admission).confirm();
            }
            let mut passing = Passing { shared, ask, start, replies, first_byte: begun.elapsed() };
            passing.pass(answer).await
        }
        Err(code) => cut(shared, ask, code, start).await,
    }
}

/// An engine that restarted or switched between the gate and the answer says so in its headers;
/// without this check the caller would read an answer from other weights.
fn check_answer(ask: &RunRequest, start: StartId, answer: Answer) -> Result<Answer, Code> {
    ExpectedSource::new(start, ask.version)
        .check_response(answer.start, answer.version)
        .map(|()| answer)
}

/// An answer on its way from the endpoint to the entry.
struct Passing<'a> {
    shared: &'a Arc<Shared>,
    ask: &'a RunRequest,
    start: StartId,
    replies: &'a ReplySink,
    first_byte: Duration,
}

impl Passing<'_> {
    async fn pass(&mut self, mut answer: Answer) -> Ended {
        let head = RunFrame::Head {
            attempt: self.ask.attempt,
            status: answer.status,
            content_type: answer.content_type.clone(),
            version: answer.version,
        };
        let mut left = self.send(head).await.is_err();
        let mut kept = BytesMut::new();
        let mut frames = 0;
        loop {
            if left && self.ask.idempotent {
                return cut(self.shared, self.ask, Code::CallerLeft, self.start).await;
            }
            let next = tokio::select! {
                next = within_next(between_bytes_limit(self.shared, self.ask), &mut answer) => next,
                () = self.replies.closed(), if self.ask.idempotent => Some(Err(Code::CallerLeft)),
            };
            let bytes = match next {
                None => return self.whole(&answer, kept.freeze(), frames),
                Some(Ok(bytes)) => bytes,
                Some(Err(code)) => return cut(self.shared, self.ask, code, self.start).await,
            };
            if self.ask.keep_response && kept.len() <= claim::MAX_STORED_RESPONSE_LEN {
                kept.extend_from_slice(&bytes);
            }
            left = left || self.send_data(frames, bytes).await.is_err();
            frames += 1;
        }
    }

    async fn send(&self, frame: RunFrame) -> Result<(), Code> {
        self.replies.send_async(reply(self.shared, frame)).await
    }

    async fn send_data(&self, sequence: u32, bytes: Bytes) -> Result<(), Code> {
        self.send(RunFrame::Data { attempt: self.ask.attempt, sequence, bytes }).await
    }

    fn whole(&self, answer: &Answer, kept: Bytes, frames: u32) -> Ended {
        let keeps = self.ask.keep_response && kept.len() <= claim::MAX_STORED_RESPONSE_LEN;
        let kept = keeps.then(|| FullResponse {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: kept,
        });
        Ended {
            frame: RunFrame::End { attempt: self.ask.attempt, frames, load: Default::default() },
            record: VoidReply::Ran(kept),
            left: RequestEnd::Complete(self.first_byte),
        }
    }
}

/// An attempt that ended without a whole answer: finds out whether its endpoint still lives.
async fn cut(shared: &Arc<Shared>, ask: &RunRequest, code: Code, start: StartId) -> Ended {
    let mut beside = load(shared).requests.saturating_sub(1);
    let mut crashed = false;
    if code == Code::CallerLeft || code == Code::DeadlineDuringRun {
        endpoint::cancel(shared.engine.base(), ask).await;
    } else {
        let found = endpoint::start_id(shared.engine.base()).await;
        crashed = match found {
            Ok(found) => found != start,
            Err(code) => code == Code::EndpointClosed,
        };
        if found != Ok(start) {
            close_gate(shared, start);
        }
        if crashed {
            beside = most_beside(shared, start, beside);
        }
    }
    let record = match code.outcome() {
        Outcome::NotRun => VoidReply::Voided,
        Outcome::Ran | Outcome::Unknown => VoidReply::Unknown,
    };
    let frame = RunFrame::Failed { attempt: ask.attempt, code, crashed, concurrent: beside };
    Ended { frame, record, left: RequestEnd::Aborted }
}

/// How many ran beside a request when the life `start` ended. Those that it took with it leave one
/// by one, so the last of them would look as if it had run alone.
fn most_beside(shared: &Shared, start: StartId, beside: u32) -> u32 {
    let mut last = lock(&shared.last_crash);
    let most = if last.0 == start { last.1.max(beside) } else { beside };
    *last = (start, most);
    most
}

fn first_byte_limit(shared: &Shared, ask: &RunRequest) -> Duration {
    if !ask.idempotent {
        return UNREPEATABLE_WAIT;
    }
    let limits = &shared.documents.in_force().config.limits;
    Duration::from_millis(limits.first_byte_ms.min(ask.deadline_ms))
}

fn between_bytes_limit(shared: &Shared, ask: &RunRequest) -> Duration {
    if !ask.idempotent {
        return UNREPEATABLE_WAIT;
    }
    Duration::from_millis(shared.documents.in_force().config.limits.between_bytes_ms)
}

async fn within<T>(limit: Duration, run: impl Future<Output = Result<T, Code>>) -> Result<T, Code> {
    timeout(limit, run).await.unwrap_or(Err(Code::DeadlineDuringRun))
}

async fn within_next(limit: Duration, answer: &mut Answer) -> Option<Result<Bytes, Code>> {
    timeout(limit, answer.next()).await.unwrap_or(Some(Err(Code::DeadlineDuringRun)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

fn load(shared: &Shared) -> mastichaven_core::run::Load {
    lock(&shared.admission).load()
}

fn reply(shared: &Shared, frame: RunFrame) -> Reply {
    Reply { generation: shared.documents.in_force().generation, body: ReplyBody::Run(frame) }
}
