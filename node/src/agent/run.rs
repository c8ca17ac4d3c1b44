//! Runs requests on the endpoint: checks the gate, admits them, and forwards the response in
//! frames.

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
use crate::endpoint::EndpointConnection;
use crate::endpoint::EndpointResponse;
use crate::transport::ReplySink;

/// Maximum number of requests queued for the thread; more are refused as busy.
pub(super) const JOB_QUEUE_LEN: usize = 256;

/// Interval at which the thread checks whether the agent has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How often an exclusive request checks whether the endpoint is idle.
const EXCLUSIVE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long an exclusive request may wait for an idle endpoint, which admits no others meanwhile.
const EXCLUSIVE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the response to a request that is not idempotent. It is much longer than the deadline
/// of the caller, so that the outcome can be reported to a retry with the same idempotency key.
const NON_IDEMPOTENT_TIMEOUT: Duration = Duration::from_secs(600);

/// A received request, and the sink of its response frames.
pub(super) struct Job {
    req: RunRequest,
    replies: ReplySink,
}

/// Queues `req` for the thread, or refuses it as busy if the queue is full.
pub(super) fn enqueue(shared: &Shared, req: RunRequest, replies: ReplySink) {
    if let Err(error) = shared.jobs.try_send(Job { req, replies }) {
        let refused = RunFrame::Refused { code: Code::Busy, load: load(shared) };
        let _ = error.into_inner().replies.send(reply(shared, refused));
    }
}

/// Runs queued requests, each in its own task, until the agent stops.
pub(super) fn run(shared: &Arc<Shared>, jobs: &flume::Receiver<Job>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime can be created");
    runtime.block_on(async {
        while !shared.is_over() {
            if let Ok(Ok(job)) = timeout(STOP_POLL_INTERVAL, jobs.recv_async()).await {
                tokio::spawn(serve(shared.clone(), job));
            }
        }
    });
}

/// How an attempt ended.
struct AttemptEnd {
    /// Last frame of the response.
    frame: RunFrame,
    /// Final state of the attempt, which later void requests are answered with.
    state: VoidReply,
    request_end: RequestEnd,
}

async fn serve(shared: Arc<Shared>, job: Job) {
    let Job { req, replies } = job;
    shared.in_flight.fetch_add(1, Ordering::AcqRel);
    if let Err(code) = run_attempt(&shared, &req, &replies).await {
        shared.telemetry.attempted(code);
        let frame = RunFrame::Refused { code, load: load(&shared) };
        let _ = replies.send_async(reply(&shared, frame)).await;
    }
    shared.in_flight.fetch_sub(1, Ordering::AcqRel);
}

/// Runs `req`. An error proves that it did not run.
async fn run_attempt(
    shared: &Arc<Shared>,
    req: &RunRequest,
    replies: &ReplySink,
) -> Result<(), Code> {
    check_admissible(shared, req)?;
    let start = expected_start(shared, req)?;
    let mut admitted = admit(shared, req).await?;
    lock(&shared.attempts).start(req.request)?;
    let connection = match connect(shared, start).await {
        Ok(connection) => connection,
        Err(code) => {
            lock(&shared.attempts).finish(req.request, VoidReply::Voided);
            return Err(code);
        }
    };
    let end = forward(shared, req, start, connection, replies).await;
    shared.telemetry.attempted(match &end.frame {
        RunFrame::Failed { code, .. } => *code,
        _ => Code::Ok,
    });
    lock(&shared.attempts).finish(req.request, end.state);
    admitted.release(end.request_end);
    let frame = match end.frame {
        RunFrame::End { attempt, frames, .. } => {
            RunFrame::End { attempt, frames, load: load(shared) }
        }
        frame => frame,
    };
    let _ = replies.send_async(reply(shared, frame)).await;
    Ok(())
}

/// Checks that the agent may run `req`, apart from the state of the endpoint.
fn check_admissible(shared: &Shared, req: &RunRequest) -> Result<(), Code> {
    let in_force = shared.documents.in_force();
    let zone = in_force.config.zone.get(&shared.settings.place.zone);
    if shared.is_leaving() || zone.is_some_and(|zone| zone.state == ZoneState::Out) {
        return Err(Code::EndpointClosed);
    }
    // The request may have been voided at another incarnation, of which this one has no record.
    if req.incarnation != Some(shared.incarnation) {
        return Err(Code::EndpointClosed);
    }
    lock(&shared.attempts).check_start(req.request)?;
    if let Some(Service::Plain { concurrent, .. }) = in_force.config.service.get(&req.service) {
        lock(&shared.admission).set_max(*concurrent);
    }
    Ok(())
}

fn expected_start(shared: &Shared, req: &RunRequest) -> Result<StartId, Code> {
    let serving = lock(&shared.serving);
    gate::check_serving(&serving, &req.service, req.version).map(|source| source.start())
}

async fn admit(shared: &Arc<Shared>, req: &RunRequest) -> Result<AdmittedRequest, Code> {
    let permit = if req.exclusive {
        admit_exclusive(shared, req).await?
    } else {
        admit_shared(shared, req)?
    };
    let entry = req.request.sender();
    lock(&shared.shares).acquire(entry, shared.clock.now());
    Ok(AdmittedRequest { shared: shared.clone(), entry, permit: Some(permit) })
}

fn admit_shared(shared: &Shared, req: &RunRequest) -> Result<Permit, Code> {
    let (entry, now) = (req.request.sender(), shared.clock.now());
    let mut shares = lock(&shared.shares);
    let mut admission = lock(&shared.admission);
    let may_acquire = shares.may_acquire(entry, admission.load().limit, now);
    let permit = if may_acquire { admission.try_acquire(req.work) } else { None };
    if permit.is_none() {
        shares.record_refusal(entry, now);
    }
    permit.ok_or(Code::EndpointFull)
}

async fn admit_exclusive(shared: &Shared, req: &RunRequest) -> Result<Permit, Code> {
    if !lock(&shared.admission).reserve_exclusive() {
        return Err(Code::EndpointFull);
    }
    let started = Instant::now();
    while started.elapsed() < EXCLUSIVE_WAIT_TIMEOUT {
        if let Some(permit) = lock(&shared.admission).try_acquire_exclusive(req.work) {
            return Ok(permit);
        }
        tokio::time::sleep(EXCLUSIVE_POLL_INTERVAL).await;
    }
    lock(&shared.admission).cancel_exclusive();
    Err(Code::EndpointFull)
}

/// An admitted request. Its permit is released on drop.
struct AdmittedRequest {
    shared: Arc<Shared>,
    entry: u64,
    permit: Option<Permit>,
}

impl AdmittedRequest {
    fn release(&mut self, request_end: RequestEnd) {
        if let Some(permit) = self.permit.take() {
            lock(&self.shared.shares).release(self.entry);
            lock(&self.shared.admission).release(permit, request_end);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.release(RequestEnd::Aborted);
    }
}

/// Connects to the endpoint, after it has confirmed its start id `start` recently enough.
async fn connect(shared: &Shared, start: StartId) -> Result<EndpointConnection, Code> {
    while lock(&shared.admission).needs_confirmation() {
        match endpoint::fetch_start_id(shared.engine.base()).await {
            Ok(found) if found == start => lock(&shared.admission).confirm(),
            _ => {
                close_gate(shared, start);
                return Err(Code::EndpointClosed);
            }
        }
    }
    lock(&shared.admission).record_sent();
    match endpoint::connect(shared.engine.base()).await {
        Ok(connection) => Ok(connection),
        Err(code) => {
            close_gate(shared, start);
            Err(code)
        }
    }
}

/// Closes the gate because the endpoint process with the start id `start` has ended. It opens when
/// the engine watch finds a new process, which starts cold.
fn close_gate(shared: &Shared, start: StartId) {
    let mut serving = lock(&shared.serving);
    let serving_start = match &*serving {
        Serving::Model { start, .. } | Serving::Plain { start, .. } => Some(*start),
        Serving::Nothing => None,
    };
    if serving_start == Some(start) {
        *serving = Serving::Nothing;
        lock(&shared.admission).restart();
    }
}

async fn forward(
    shared: &Arc<Shared>,
    req: &RunRequest,
    start: StartId,
    connection: EndpointConnection,
    replies: &ReplySink,
) -> AttemptEnd {
    let begun = Instant::now();
    let sent = replies.send_async(reply(shared, RunFrame::Started { start })).await;
    if sent.is_err() && req.idempotent {
        return end_early(shared, req, Code::CallerLeft, start).await;
    }
    let response = tokio::select! {
        response = with_timeout(first_byte_timeout(shared, req), connection.send(req)) => response,
        () = replies.closed(), if req.idempotent => Err(Code::CallerLeft),
    };
    let response = response.and_then(|response| check_response(req, start, response));
    match response {
        Ok(response) => {
            if response.start == Some(start) {
                lock(&shared.admission).confirm();
            }
            let mut forwarder =
                ResponseForwarder { shared, req, start, replies, first_byte: begun.elapsed() };
            forwarder.run(response).await
        }
        Err(code) => end_early(shared, req, code, start).await,
    }
}

/// Checks the response headers against the gate. If the engine has restarted or switched versions
/// since the request passed the gate, the response comes from other weights.
fn check_response(
    req: &RunRequest,
    start: StartId,
    response: EndpointResponse,
) -> Result<EndpointResponse, Code> {
    ExpectedSource::new(start, req.version)
        .check_response(response.start, response.version)
        .map(|()| response)
}

/// Forwards a response from the endpoint to the entry.
struct ResponseForwarder<'a> {
    shared: &'a Arc<Shared>,
    req: &'a RunRequest,
    start: StartId,
    replies: &'a ReplySink,
    first_byte: Duration,
}

impl ResponseForwarder<'_> {
    async fn run(&mut self, mut response: EndpointResponse) -> AttemptEnd {
        let head = RunFrame::Head {
            attempt: self.req.attempt,
            status: response.status,
            content_type: response.content_type.clone(),
            version: response.version,
        };
        let mut caller_left = self.send(head).await.is_err();
        let mut stored = BytesMut::new();
        let mut frames = 0;
        loop {
            if caller_left && self.req.idempotent {
                return end_early(self.shared, self.req, Code::CallerLeft, self.start).await;
            }
            let next = tokio::select! {
                next = next_bytes(idle_timeout(self.shared, self.req), &mut response) => next,
                () = self.replies.closed(), if self.req.idempotent => Some(Err(Code::CallerLeft)),
            };
            let bytes = match next {
                None => return self.complete(&response, stored.freeze(), frames),
                Some(Ok(bytes)) => bytes,
                Some(Err(code)) => return end_early(self.shared, self.req, code, self.start).await,
            };
            if self.req.keep_response && stored.len() <= claim::MAX_STORED_RESPONSE_LEN {
                stored.extend_from_slice(&bytes);
            }
            caller_left = caller_left || self.send_data(frames, bytes).await.is_err();
            frames += 1;
        }
    }

    async fn send(&self, frame: RunFrame) -> Result<(), Code> {
        self.replies.send_async(reply(self.shared, frame)).await
    }

    async fn send_data(&self, sequence: u32, bytes: Bytes) -> Result<(), Code> {
        self.send(RunFrame::Data { attempt: self.req.attempt, sequence, bytes }).await
    }

    fn complete(&self, response: &EndpointResponse, stored: Bytes, frames: u32) -> AttemptEnd {
        let is_stored = self.req.keep_response && stored.len() <= claim::MAX_STORED_RESPONSE_LEN;
        let stored = is_stored.then(|| FullResponse {
            status: response.status,
            content_type: response.content_type.clone(),
            body: stored,
        });
        AttemptEnd {
            frame: RunFrame::End { attempt: self.req.attempt, frames, load: Default::default() },
            state: VoidReply::Ran(stored),
            request_end: RequestEnd::Complete(self.first_byte),
        }
    }
}

/// Ends an attempt without a complete response: cancels it if the caller left or a timeout expired,
/// otherwise checks whether the endpoint process has ended.
async fn end_early(
    shared: &Arc<Shared>,
    req: &RunRequest,
    code: Code,
    start: StartId,
) -> AttemptEnd {
    let mut concurrent = load(shared).requests.saturating_sub(1);
    let mut crashed = false;
    if code == Code::CallerLeft || code == Code::DeadlineDuringRun {
        endpoint::cancel(shared.engine.base(), req).await;
    } else {
        let found = endpoint::fetch_start_id(shared.engine.base()).await;
        crashed = match found {
            Ok(found) => found != start,
            Err(code) => code == Code::EndpointClosed,
        };
        if found != Ok(start) {
            close_gate(shared, start);
        }
        if crashed {
            concurrent = max_concurrent_at_crash(shared, start, concurrent);
        }
    }
    let state = match code.outcome() {
        Outcome::NotRun => VoidReply::Voided,
        Outcome::Ran | Outcome::Unknown => VoidReply::Unknown,
    };
    let frame = RunFrame::Failed { attempt: req.attempt, code, crashed, concurrent };
    AttemptEnd { frame, state, request_end: RequestEnd::Aborted }
}

/// Number of other requests in progress when the endpoint process `start` ended. The requests that
/// fail with it are released one by one, so the last of them would seem to have run alone. This
/// returns the highest number seen for the process.
fn max_concurrent_at_crash(shared: &Shared, start: StartId, concurrent: u32) -> u32 {
    let mut previous = lock(&shared.last_crash);
    let max_concurrent = if previous.0 == start { previous.1.max(concurrent) } else { concurrent };
    *previous = (start, max_concurrent);
    max_concurrent
}

fn first_byte_timeout(shared: &Shared, req: &RunRequest) -> Duration {
    if !req.idempotent {
        return NON_IDEMPOTENT_TIMEOUT;
    }
    let limits = &shared.documents.in_force().config.limits;
    Duration::from_millis(limits.first_byte_ms.min(req.deadline_ms))
}

fn idle_timeout(shared: &Shared, req: &RunRequest) -> Duration {
    if !req.idempotent {
        return NON_IDEMPOTENT_TIMEOUT;
    }
    Duration::from_millis(shared.documents.in_force().config.limits.between_bytes_ms)
}

async fn with_timeout<T>(
    limit: Duration,
    run: impl Future<Output = Result<T, Code>>,
) -> Result<T, Code> {
    timeout(limit, run).await.unwrap_or(Err(Code::DeadlineDuringRun))
}

async fn next_bytes(
    limit: Duration,
    response: &mut EndpointResponse,
) -> Option<Result<Bytes, Code>> {
    timeout(limit, response.next()).await.unwrap_or(Some(Err(Code::DeadlineDuringRun)))
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
