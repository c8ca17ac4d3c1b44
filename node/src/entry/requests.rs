//! One request from its head to the end of its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::run::VoidReply;
use mastichaven_core::run::WholeAnswer;

use super::Shared;
use super::answer;
use super::claims;
use super::dispatch;
use super::dispatch::Failure;
use super::dispatch::Opened;
use super::dispatch::Tries;
use super::parse;
use super::parse::Parsed;
use crate::callers::AnswerBody;

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// Pause before an attempt that is still running is asked for again.
const RUNNING_PAUSE: Duration = Duration::from_millis(50);

/// What `Retry-After` says when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Keeps count of requests in progress, also when the caller leaves.
pub(super) struct InProgress(Arc<Shared>);

impl InProgress {
    fn begin(shared: &Arc<Shared>) -> InProgress {
        shared.running.fetch_add(1, Ordering::AcqRel);
        InProgress(shared.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A refusal and what is known of the request.
struct Refusal {
    code: Code,
    outcome: Outcome,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal { code, outcome: code.outcome() }
    }
}

/// Answers one request.
pub(crate) async fn serve(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    let in_progress = InProgress::begin(shared);
    let result = run(shared, req, in_progress).await;
    result.unwrap_or_else(|refusal| answer::refuse(refusal.code, refusal.outcome, RETRY_AFTER))
}

async fn run(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    in_progress: InProgress,
) -> Result<Response<AnswerBody>, Refusal> {
    let now = shared.clock.now();
    let parsed = parse::parse(shared, req, now).await?;
    if shared.is_stopping() {
        return Err(refused_early(&parsed, Code::Stopping));
    }
    if parsed.idempotent {
        return Ok(repeatable(shared, parsed, in_progress).await?);
    }
    // A caller that leaves must not stop this half-way: its resend asks what came of it.
    let _watch = parsed.caller.watch();
    let shared = shared.clone();
    let task = tokio::spawn(async move {
        let result = unrepeatable(&shared, &parsed).await;
        drop(in_progress);
        result
    });
    let whole = task.await.unwrap_or(Err(Code::EndpointLost.into()))?;
    Ok(answer::whole(whole)?)
}

/// A refusal before the key's claim is known proves only that this sending did not run: an
/// earlier one under the same key may have, so `not-run` must not be said of the request.
fn refused_early(parsed: &Parsed, code: Code) -> Refusal {
    let hides_earlier = parsed.key.is_some() && code.outcome() == Outcome::NotRun;
    let outcome = if hides_earlier { Outcome::Unknown } else { code.outcome() };
    Refusal { code, outcome }
}

async fn unrepeatable(shared: &Shared, parsed: &Parsed) -> Result<WholeAnswer, Refusal> {
    let Some(key) = &parsed.key else {
        return Ok(once(shared, parsed).await?);
    };
    let claimed = claims::serve(shared, parsed, key).await;
    claimed.result.map_err(|code| match claimed.not_run || code == Code::KeyReused {
        true => Refusal::from(code),
        false => refused_early(parsed, code),
    })
}

/// Runs a request without a key: it is sent again only after the earlier attempt is proved not to
/// run.
async fn once(shared: &Shared, parsed: &Parsed) -> Result<WholeAnswer, Code> {
    let mut tries = Tries::default();
    let mut last = Code::NoEndpoint;
    while tries.count() < MAX_ATTEMPTS {
        let Ok(to) = dispatch::choose(shared, parsed, &mut tries) else {
            return Err(last);
        };
        let failure = match dispatch::run_whole(shared, parsed, &to, tries.next()).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        last = failure.code;
        if !failure.is_not_run() {
            match find_out(shared, parsed, &to).await {
                VoidReply::Voided => last = Code::Voided,
                VoidReply::Ran(Some(answer)) => return Ok(answer),
                VoidReply::Ran(None) => return Err(Code::AnswerNotKept),
                VoidReply::Running => return Err(Code::DeadlineDuringRun),
                VoidReply::Unknown => return Err(failure.code),
            }
        }
    }
    Err(last)
}

/// Asks what became of an attempt until it has ended, the deadline has passed, or the agent cannot
/// tell.
async fn find_out(
    shared: &Shared,
    parsed: &Parsed,
    to: &mastichaven_core::claim::Dispatch,
) -> VoidReply {
    loop {
        match dispatch::void(shared, to).await {
            Some(VoidReply::Running) if shared.clock.now() < parsed.deadline => {
                tokio::time::sleep(RUNNING_PAUSE).await;
            }
            Some(reply) => return reply,
            None => return VoidReply::Unknown,
        }
    }
}

/// The attempts of one repeatable request.
#[derive(Debug, Default)]
pub(super) struct Journey {
    tries: Tries,
}

impl Journey {
    /// Opens an answer that goes on after `tokens`, on the first endpoint that gives one.
    pub(super) async fn open(
        &mut self,
        shared: &Shared,
        parsed: &mut Parsed,
        tokens: u64,
    ) -> Result<Opened, Code> {
        let mut last = Code::NoEndpoint;
        while self.tries.count() < MAX_ATTEMPTS {
            if tokens == 0 {
                parse::refresh_version(shared, parsed)?;
            }
            let Ok(to) = dispatch::choose(shared, parsed, &mut self.tries) else {
                return Err(last);
            };
            let attempt = self.tries.next();
            match dispatch::open(shared, parsed, &to, attempt, tokens).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => last = failure.code,
            }
        }
        Err(last)
    }
}

async fn repeatable(
    shared: &Arc<Shared>,
    mut parsed: Parsed,
    in_progress: InProgress,
) -> Result<Response<AnswerBody>, Code> {
    let mut journey = Journey::default();
    loop {
        let opened = journey.open(shared, &mut parsed, 0).await?;
        if opened.is_stream() {
            return answer::stream(shared, parsed, opened, journey, in_progress);
        }
        match opened.gather().await {
            Ok(whole) => return answer::whole(whole),
            Err(Failure { code }) if journey.tries.count() >= MAX_ATTEMPTS => return Err(code),
            Err(_) => {}
        }
    }
}
