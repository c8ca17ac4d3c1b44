//! One request from its head to the end of its answer.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::ids::Attempt;
use mastichaven_core::ids::HostName;
use mastichaven_core::run::FullResponse;
use mastichaven_core::run::VoidReply;
use tokio::time::timeout;

use super::Shared;
use super::answer;
use super::claims;
use super::dispatch;
use super::dispatch::Failure;
use super::dispatch::Opened;
use super::parse;
use super::parse::Parsed;
use super::parse::Sent;
use super::router;
use super::router::Admitted;
use super::router::Lease;
use super::router::Refused;
use crate::callers::AnswerBody;

/// Failed attempts of one request at most; refused ones cost a turn in the queue instead.
const MAX_FAILED: u32 = 3;

/// Refusals of one request at most, in case that no endpoint ever says where there is room.
const MAX_REFUSED: u32 = 32;

/// Pause before an attempt that is still running is asked for again.
const RUNNING_PAUSE: Duration = Duration::from_millis(50);

/// A second attempt is hedged when no head has come after this many times the usual.
const HEDGE_AFTER: u32 = 4;

/// The soonest that a second attempt is hedged.
const HEDGE_SOONEST: Duration = Duration::from_millis(100);

/// What a sending is given past its deadline to say itself why it ended.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);

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
    after: Duration,
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Refusal {
        let Refused { code, after } = refused;
        Refusal { code, outcome: code.outcome(), after }
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal::from(Refused::from(code))
    }
}

/// Answers one request.
pub(crate) async fn serve(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    let in_progress = InProgress::begin(shared);
    let result = run(shared, req, in_progress).await;
    result.unwrap_or_else(|refusal| answer::refuse(refusal.code, refusal.outcome, refusal.after))
}

async fn run(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    in_progress: InProgress,
) -> Result<Response<AnswerBody>, Refusal> {
    let now = shared.clock.now();
    let keyed = parse::is_keyed(&req);
    let early = |refused| refused_early(keyed, refused);
    let parsed = parse::parse(shared, req, now).await.map_err(|code| early(code.into()))?;
    if shared.is_stopping() {
        return Err(early(Code::Stopping.into()));
    }
    let admitted = router::admit(shared, &parsed).map_err(early)?;
    let held = Held { _in_progress: in_progress, _admitted: admitted };
    if parsed.idempotent {
        let sent = parsed.sent.clone();
        return repeatable(shared, parsed, held).await.map_err(|e| refused_late(&sent, e.into()));
    }
    // A caller that leaves must not stop this half-way: its resend asks what came of it.
    let _watch = parsed.caller.watch();
    let shared = shared.clone();
    let left = parsed.deadline.since(shared.clock.now()) + DEADLINE_SLACK;
    let task = tokio::spawn(async move {
        let result = unrepeatable(&shared, &parsed).await;
        drop(held);
        result
    });
    // A platform or an agent that hangs must not keep the caller past its deadline. The task goes
    // on, so that a resend finds out what came of this sending.
    let ended = timeout(left, task).await.map_err(|_| Code::DeadlineDuringRun)?;
    let whole = ended.unwrap_or(Err(Code::EndpointLost.into()))?;
    Ok(answer::whole(whole)?)
}

/// A refusal before the key's claim is known proves only that this sending did not run: an
/// earlier one under the same key may have, so `not-run` must not be said of the request. That
/// holds, too, for an entry that cannot read it yet because its configuration is old or missing.
fn refused_early(keyed: bool, refused: Refused) -> Refusal {
    let mut refusal = Refusal::from(refused);
    if keyed && refusal.outcome == Outcome::NotRun {
        refusal.outcome = Outcome::Unknown;
    }
    refusal
}

/// A refusal after some attempts: it stands for all of them only when each is proved not to have
/// run.
fn refused_late(sent: &Sent, mut refusal: Refusal) -> Refusal {
    if sent.may_have_run() && refusal.outcome == Outcome::NotRun {
        refusal.outcome = Outcome::Unknown;
    }
    refusal
}

async fn unrepeatable(shared: &Arc<Shared>, parsed: &Parsed) -> Result<FullResponse, Refusal> {
    let Some(key) = &parsed.key else {
        return Ok(once(shared, parsed).await?);
    };
    let claimed = claims::serve(shared, parsed, key).await;
    claimed.result.map_err(|refused| match claimed.not_run || refused.code == Code::KeyReused {
        true => Refusal::from(refused),
        false => refused_early(true, refused),
    })
}

/// Runs a request without a key: it is sent again only after the earlier attempt is proved not to
/// run.
async fn once(shared: &Arc<Shared>, parsed: &Parsed) -> Result<FullResponse, Refused> {
    let mut tries = Tries::default();
    loop {
        let lease = tries.next(shared, parsed).await?;
        let to = lease.to.clone();
        let attempt = tries.attempt();
        let failure = match dispatch::run_whole(shared, parsed, lease, attempt).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if failure.is_not_run() {
            tries.note(shared, failure.code)?;
            continue;
        }
        match find_out(shared, parsed, &to).await {
            VoidReply::Voided => tries.note(shared, Code::Voided)?,
            VoidReply::Ran(Some(answer)) => return Ok(answer),
            VoidReply::Ran(None) => return Err(Code::AnswerNotKept.into()),
            VoidReply::Running => return Err(Code::DeadlineDuringRun.into()),
            VoidReply::Unknown => return Err(failure.code.into()),
        }
    }
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

/// What a request holds until its answer has ended.
pub(super) struct Held {
    _in_progress: InProgress,
    _admitted: Admitted,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct Tries {
    hosts: Vec<HostName>,
    attempts: u32,
    failed: u32,
    refused: u32,
}

impl Tries {
    /// Waits for an endpoint for the next attempt.
    async fn next(&mut self, shared: &Arc<Shared>, parsed: &Parsed) -> Result<Lease, Refused> {
        let again = self.attempts > 0;
        let lease = router::acquire(shared, parsed, &self.hosts, again).await?;
        self.attempts += 1;
        self.hosts.push(lease.to.agent.clone());
        Ok(lease)
    }

    fn attempt(&self) -> Attempt {
        Attempt(self.attempts)
    }

    /// Notes that an attempt failed or was refused; an error when no other may follow.
    ///
    /// A refusal cost the endpoint nothing and the request keeps its turn; a failure is repeated
    /// within the retry budget, so that a zone that goes does not multiply the load on the others.
    fn note(&mut self, shared: &Shared, code: Code) -> Result<(), Refused> {
        if matches!(
            code,
            Code::Busy | Code::EndpointClosed | Code::EndpointFull | Code::WrongVersion
        ) {
            self.refused += 1;
            return if self.refused < MAX_REFUSED { Ok(()) } else { Err(code.into()) };
        }
        self.failed += 1;
        if self.failed >= MAX_FAILED || code == Code::Quarantined {
            return Err(code.into());
        }
        if router::may_retry(shared) {
            return Ok(());
        }
        let code = if code.outcome() == Outcome::NotRun { Code::RetryBudget } else { code };
        Err(code.into())
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
        shared: &Arc<Shared>,
        parsed: &mut Parsed,
        tokens: u64,
    ) -> Result<Opened, Refused> {
        loop {
            if tokens == 0 {
                parse::refresh_version(shared, parsed)?;
            }
            let version = parsed.version;
            let lease = match self.tries.next(shared, parsed).await {
                Ok(lease) => lease,
                Err(refused) if refused.code == Code::NoEndpoint && tokens == 0 => {
                    parse::refresh_version(shared, parsed)?;
                    if parsed.version == version {
                        return Err(refused);
                    }
                    continue;
                }
                Err(refused) => return Err(refused),
            };
            match self.open_hedged(shared, parsed, lease, tokens).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => self.tries.note(shared, failure.code)?,
            }
        }
    }

    /// Opens one attempt, and a second one beside it when no head comes in the usual time and the
    /// retry budget allows it. The one whose head comes first goes on; dropping the other cancels
    /// it at its endpoint.
    async fn open_hedged(
        &mut self,
        shared: &Arc<Shared>,
        parsed: &Parsed,
        lease: Lease,
        tokens: u64,
    ) -> Result<Opened, Failure> {
        let attempt = self.tries.attempt();
        let mut first = pin!(dispatch::open(shared, parsed, lease, attempt, tokens));
        let Some(usual) = router::usual_head(shared, parsed) else {
            return first.await;
        };
        let wait = (usual * HEDGE_AFTER).max(HEDGE_SOONEST);
        if let Ok(opened) = timeout(wait, &mut first).await {
            return opened;
        }
        let Some(lease) = router::acquire_now(shared, parsed, &self.tries.hosts) else {
            return first.await;
        };
        self.tries.attempts += 1;
        self.tries.hosts.push(lease.to.agent.clone());
        let attempt = self.tries.attempt();
        let mut second = pin!(dispatch::open(shared, parsed, lease, attempt, tokens));
        tokio::select! {
            opened = &mut first => match opened {
                Ok(opened) => Ok(opened),
                Err(_) => second.await,
            },
            opened = &mut second => match opened {
                Ok(opened) => Ok(opened),
                Err(_) => first.await,
            },
        }
    }
}

async fn repeatable(
    shared: &Arc<Shared>,
    mut parsed: Parsed,
    held: Held,
) -> Result<Response<AnswerBody>, Refused> {
    let mut journey = Journey::default();
    loop {
        let opened = journey.open(shared, &mut parsed, 0).await?;
        if opened.is_stream() {
            return Ok(answer::stream(shared, parsed, opened, journey, held)?);
        }
        match opened.gather().await {
            Ok(whole) => return Ok(answer::whole(whole)?),
            Err(failure) => journey.tries.note(shared, failure.code)?,
        }
    }
}
