//! One attempt: sending it and reading its frames.

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
use super::parse::Parsed;
use super::router::Lease;
use super::suspects;
use crate::telemetry::Counter;
use crate::transport::Call;

/// Result of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Bytes of an answer that is gathered whole, at most.
const MAX_WHOLE_LEN: usize = 64 << 20;

/// How long an agent may take to say what became of an attempt.
const VOID_TIMEOUT: Duration = Duration::from_secs(1);

/// What the agent's own deadlines are given on top, before the agent itself counts as lost.
const AGENT_SLACK: Duration = Duration::from_millis(500);

/// An attempt that gave no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Failure {
    /// What is known of it.
    pub(super) code: Code,
}

impl Failure {
    /// Whether the attempt is proved not to have run.
    pub(super) fn is_not_run(self) -> bool {
        self.code.outcome() == Outcome::NotRun
    }
}

impl From<Code> for Failure {
    fn from(code: Code) -> Failure {
        Failure { code }
    }
}

/// An attempt whose answer has begun.
pub(super) struct Opened {
    /// HTTP status.
    pub(super) status: u16,
    /// Content type.
    pub(super) content_type: SmolStr,
    call: Call,
    order: FrameSequencer,
    patience: Duration,
    lease: Lease,
    /// What the request is known by, should it crash its endpoint.
    request: Digest,
    alone: bool,
}

/// Sends one attempt and waits for the head of its answer.
pub(super) async fn open(
    shared: &Shared,
    parsed: &Parsed,
    lease: Lease,
    attempt: Attempt,
    resume_after: u64,
) -> Result<Opened> {
    let limits = shared.documents.in_force().config.limits.clone();
    // A stream that has begun is bounded by its pauses, not by the time it takes as a whole.
    let left = match resume_after {
        0 => parsed.deadline.since(shared.clock.now()),
        _ => Duration::from_millis(limits.first_byte_ms),
    };
    if left.is_zero() {
        return Err(Code::DeadlineBeforeRun.into());
    }
    let mut ask = run_ask(parsed, &lease.to, attempt, resume_after, left);
    ask.exclusive = match shared.suspects.verdict(shared, parsed) {
        RunPolicy::Shared => false,
        RunPolicy::Exclusive => true,
        RunPolicy::Refused => return Err(Code::Quarantined.into()),
    };
    let (request, alone) = (parsed.digest(), ask.exclusive);
    let patience = Duration::from_millis(limits.between_bytes_ms) + AGENT_SLACK;
    let first_byte = Duration::from_millis(limits.first_byte_ms) + AGENT_SLACK;
    let wait = if parsed.idempotent { left.min(first_byte) } else { left };
    shared.telemetry.count(Counter::AttemptsSent);
    parsed.sent.add();
    let call = shared.transport.call(lease.to.address, &shared.ask(RequestBody::Run(ask)));
    let order = FrameSequencer::new(attempt);
    let (status, content_type) = (0, SmolStr::default());
    let mut opening = Opened { status, content_type, call, order, patience, lease, request, alone };
    let head = timeout(wait, opening.head()).await;
    let head = head.unwrap_or(Err(Code::DeadlineDuringRun.into()));
    let noted = opening.note(head);
    if noted.is_err_and(Failure::is_not_run) {
        parsed.sent.remove();
    }
    noted.map(|()| opening)
}

fn run_ask(
    parsed: &Parsed,
    to: &Dispatch,
    attempt: Attempt,
    resume_after: u64,
    left: Duration,
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
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
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

impl Opened {
    async fn head(&mut self) -> Result<()> {
        loop {
            match self.frame().await? {
                RunFrame::Started { .. } => {}
                RunFrame::Head { status, content_type, .. } => {
                    self.status = status;
                    self.content_type = content_type;
                    self.lease.head();
                    return Ok(());
                }
                frame => {
                    if self.order.accept(frame)? != FrameContent::Dropped {
                        return Err(Code::Truncated.into());
                    }
                }
            }
        }
    }

    async fn frame(&mut self) -> Result<RunFrame> {
        let frame = next_frame(&mut self.call).await?;
        match &frame {
            RunFrame::Refused { load, .. } => {
                self.lease.report(*load);
                self.lease.refused();
            }
            RunFrame::End { load, .. } => self.lease.report(*load),
            RunFrame::Failed { crashed: true, concurrent, .. } => {
                let crash = Crash { request: self.request, concurrent: *concurrent };
                suspects::crashed(self.lease.shared(), crash);
            }
            _ => {}
        }
        Ok(frame)
    }

    /// Tells routing how the attempt went on.
    fn note<T>(&mut self, result: Result<T>) -> Result<T> {
        if let Err(failure) = &result {
            self.lease.note_failure(failure.code);
        }
        result
    }

    /// Whether the answer is a stream of events that is passed on as it comes.
    pub(super) fn is_stream(&self) -> bool {
        self.content_type.starts_with("text/event-stream")
    }

    /// The next bytes; `None` when the answer is whole.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>> {
        let next = self.next_bytes().await;
        self.note(next)
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = timeout(self.patience, self.frame())
                .await
                .unwrap_or(Err(Code::DeadlineDuringRun.into()))?;
            match self.order.accept(frame)? {
                FrameContent::Bytes(bytes) => return Ok(Some(bytes)),
                FrameContent::End => {
                    self.lease.set_ended(AttemptResult::Answered);
                    if self.alone {
                        self.lease.shared().suspects.came_through(self.request);
                    }
                    return Ok(None);
                }
                FrameContent::Dropped => {}
            }
        }
    }

    /// The whole answer, so that its status goes out only when all of it is here.
    pub(super) async fn gather(mut self) -> Result<FullResponse> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if body.len() + bytes.len() > MAX_WHOLE_LEN {
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

async fn next_frame(call: &mut Call) -> Result<RunFrame> {
    match call.next().await {
        Some(Ok(reply)) => match reply.body {
            ReplyBody::Run(frame) => Ok(frame),
            ReplyBody::Refused(code) => Err(code.into()),
            // A reply to something else proves nothing of this attempt.
            _ => Err(Code::PeerLost.into()),
        },
        Some(Err(code)) => Err(code.into()),
        None => Err(Code::PeerLost.into()),
    }
}

/// Sends one attempt and gathers its answer.
pub(super) async fn run_whole(
    shared: &Shared,
    parsed: &Parsed,
    lease: Lease,
    attempt: Attempt,
) -> Result<FullResponse> {
    open(shared, parsed, lease, attempt, 0).await?.gather().await
}

/// Asks the agent life that an attempt went to what became of it; one that has not started never
/// will. `None` when the agent cannot be reached.
pub(super) async fn void(shared: &Shared, to: &Dispatch) -> Option<VoidReply> {
    let ask = VoidRequest { request: to.request, incarnation: to.incarnation };
    let mut call = shared.transport.call(to.address, &shared.ask(RequestBody::Void(ask)));
    match timeout(VOID_TIMEOUT, call.next()).await {
        Ok(Some(Ok(reply))) => match reply.body {
            ReplyBody::Void(reply) => Some(reply),
            _ => None,
        },
        _ => None,
    }
}
