//! Sends an attempt to an agent and reads the frames of its response.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::ids::Attempt;
use mastichaven_core::ids::Digest;
use mastichaven_core::quarantine::Crash;
use mastichaven_core::quarantine::RunPolicy;
use mastichaven_core::route::AttemptResult;
use mastichaven_core::run::FullResponse;
use mastichaven_core::run::RunFrame;
use mastichaven_core::run::RunRequest;
use mastichaven_core::run::VoidReply;
use mastichaven_core::run::VoidRequest;
use mastichaven_core::stream::FrameContent;
use mastichaven_core::stream::FrameSequencer;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::Shared;
use super::parse::ParsedRequest;
use super::quarantine;
use super::router::EndpointPermit;
use crate::telemetry::Counter;
use crate::transport::Call;

/// Result of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Maximum size in bytes of a response that is buffered in full.
const MAX_FULL_RESPONSE_LEN: usize = 64 << 20;

/// Timeout of a query for the state of an attempt.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Added to the timeouts that the agent applies itself; past that, the agent counts as lost.
const AGENT_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// An attempt that returned no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Failure {
    /// The cause, which also determines the outcome.
    pub(super) code: Code,
}

impl Failure {
    /// Whether it is proved that the attempt did not run.
    pub(super) fn is_not_run(self) -> bool {
        self.code.outcome() == Outcome::NotRun
    }
}

impl From<Code> for Failure {
    fn from(code: Code) -> Failure {
        Failure { code }
    }
}

/// A response whose head has arrived; its body is read frame by frame.
pub(super) struct OpenResponse {
    /// HTTP status of the response.
    pub(super) status: u16,
    /// Value of the `content-type` header.
    pub(super) content_type: SmolStr,
    call: Call,
    sequencer: FrameSequencer,
    frame_timeout: Duration,
    permit: EndpointPermit,
    /// Identifies the request in a crash report.
    request_digest: Digest,
    exclusive: bool,
}

/// Sends one attempt and waits for the head of its response.
pub(super) async fn open(
    shared: &Shared,
    parsed: &ParsedRequest,
    permit: EndpointPermit,
    attempt: Attempt,
    resume_after: u64,
) -> Result<OpenResponse> {
    let limits = shared.documents.in_force().config.limits.clone();
    // A stream that has begun is limited by the pauses between frames, not by its total time.
    let remaining = match resume_after {
        0 => parsed.deadline.since(shared.clock.now()),
        _ => Duration::from_millis(limits.first_byte_ms),
    };
    if remaining.is_zero() {
        return Err(Code::DeadlineBeforeRun.into());
    }
    let mut run = run_request(parsed, &permit.to, attempt, resume_after, remaining);
    run.exclusive = match shared.quarantine.policy(shared, parsed) {
        RunPolicy::Shared => false,
        RunPolicy::Exclusive => true,
        RunPolicy::Refused => return Err(Code::Quarantined.into()),
    };
    let (request_digest, exclusive) = (parsed.digest(), run.exclusive);
    let frame_timeout = Duration::from_millis(limits.between_bytes_ms) + AGENT_TIMEOUT_MARGIN;
    let first_byte = Duration::from_millis(limits.first_byte_ms) + AGENT_TIMEOUT_MARGIN;
    let head_timeout = if parsed.idempotent { remaining.min(first_byte) } else { remaining };
    shared.telemetry.count(Counter::AttemptsSent);
    parsed.unresolved.add();
    let call =
        shared.transport.call(permit.to.address, &shared.make_request(RequestBody::Run(run)));
    let sequencer = FrameSequencer::new(attempt);
    let (status, content_type) = (0, SmolStr::default());
    let mut response = OpenResponse {
        status,
        content_type,
        call,
        sequencer,
        frame_timeout,
        permit,
        request_digest,
        exclusive,
    };
    let head = timeout(head_timeout, response.read_head()).await;
    let head = head.unwrap_or(Err(Code::DeadlineDuringRun.into()));
    let recorded = response.record_failure(head);
    if recorded.is_err_and(Failure::is_not_run) {
        parsed.unresolved.remove();
    }
    recorded.map(|()| response)
}

fn run_request(
    parsed: &ParsedRequest,
    to: &Dispatch,
    attempt: Attempt,
    resume_after: u64,
    remaining: Duration,
) -> RunRequest {
    RunRequest {
        request: to.request,
        attempt,
        service: parsed.service.clone(),
        customer: parsed.customer.clone(),
        version: parsed.version,
        incarnation: Some(to.incarnation),
        work: parsed.work,
        priority: parsed.priority,
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        idempotent: parsed.idempotent,
        exclusive: false,
        keep_response: !parsed.idempotent,
        resume_after,
        method: parsed.method.clone(),
        path: parsed.path.clone(),
        content_type: parsed.content_type.clone(),
        body: parsed.body.clone(),
    }
}

impl OpenResponse {
    async fn read_head(&mut self) -> Result<()> {
        loop {
            match self.next_frame().await? {
                RunFrame::Started { .. } => {}
                RunFrame::Head { status, content_type, .. } => {
                    self.status = status;
                    self.content_type = content_type;
                    self.permit.record_head();
                    return Ok(());
                }
                frame => {
                    if self.sequencer.accept(frame)? != FrameContent::Dropped {
                        return Err(Code::Truncated.into());
                    }
                }
            }
        }
    }

    async fn next_frame(&mut self) -> Result<RunFrame> {
        let frame = read_frame(&mut self.call).await?;
        match &frame {
            RunFrame::Refused { load, .. } => {
                self.permit.record_load(*load);
                self.permit.record_refusal();
            }
            RunFrame::End { load, .. } => self.permit.record_load(*load),
            RunFrame::Failed { crashed: true, concurrent, .. } => {
                let crash = Crash { request: self.request_digest, concurrent: *concurrent };
                quarantine::report_crash(self.permit.shared(), crash);
            }
            _ => {}
        }
        Ok(frame)
    }

    /// Records a failure with the permit, so that routing takes it into account.
    fn record_failure<T>(&mut self, result: Result<T>) -> Result<T> {
        if let Err(failure) = &result {
            self.permit.record_failure(failure.code);
        }
        result
    }

    /// Whether the response is an event stream, which is forwarded as it arrives.
    pub(super) fn is_stream(&self) -> bool {
        self.content_type.starts_with("text/event-stream")
    }

    /// Returns the next bytes of the body; `None` when the response is complete.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>> {
        let next = self.next_bytes().await;
        self.record_failure(next)
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = timeout(self.frame_timeout, self.next_frame())
                .await
                .unwrap_or(Err(Code::DeadlineDuringRun.into()))?;
            match self.sequencer.accept(frame)? {
                FrameContent::Bytes(bytes) => return Ok(Some(bytes)),
                FrameContent::End => {
                    self.permit.set_result(AttemptResult::Answered);
                    if self.exclusive {
                        let shared = self.permit.shared();
                        shared.quarantine.clear(shared, self.request_digest);
                    }
                    return Ok(None);
                }
                FrameContent::Dropped => {}
            }
        }
    }

    /// Reads the full response, so that its status is sent to the caller only when the body is
    /// complete.
    pub(super) async fn read_full(mut self) -> Result<FullResponse> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if body.len() + bytes.len() > MAX_FULL_RESPONSE_LEN {
                return Err(Code::Truncated.into());
            }
            body.extend_from_slice(&bytes);
        }
        Ok(FullResponse {
            status: self.status,
            content_type: self.content_type,
            body: body.freeze(),
        })
    }
}

async fn read_frame(call: &mut Call) -> Result<RunFrame> {
    match call.next().await {
        Some(Ok(reply)) => match reply.body {
            ReplyBody::Run(frame) => Ok(frame),
            ReplyBody::Refused(code) => Err(code.into()),
            // A reply of another type proves nothing about this attempt.
            _ => Err(Code::PeerLost.into()),
        },
        Some(Err(code)) => Err(code.into()),
        None => Err(Code::PeerLost.into()),
    }
}

/// Sends one attempt and reads its full response.
pub(super) async fn run_to_completion(
    shared: &Shared,
    parsed: &ParsedRequest,
    permit: EndpointPermit,
    attempt: Attempt,
) -> Result<FullResponse> {
    open(shared, parsed, permit, attempt, 0).await?.read_full().await
}

/// Queries the agent incarnation that an attempt was sent to for the state of the attempt. An
/// attempt that has not started is voided. Returns `None` if the agent cannot be reached.
pub(super) async fn query_attempt(shared: &Shared, to: &Dispatch) -> Option<VoidReply> {
    let query = VoidRequest { request: to.request, incarnation: to.incarnation };
    let mut call =
        shared.transport.call(to.address, &shared.make_request(RequestBody::Void(query)));
    match timeout(QUERY_TIMEOUT, call.next()).await {
        Ok(Some(Ok(reply))) => match reply.body {
            ReplyBody::Void(reply) => Some(reply),
            _ => None,
        },
        _ => None,
    }
}
