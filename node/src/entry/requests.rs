//! Handles one request of a caller, from its head to the end of the response.

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
use super::claims;
use super::dispatch;
use super::dispatch::Failure;
use super::dispatch::OpenResponse;
use super::parse;
use super::parse::ParsedRequest;
use super::parse::UnresolvedAttempts;
use super::response;
use super::router;
use super::router::CustomerPermit;
use super::router::EndpointPermit;
use super::router::Rejection;
use crate::callers::ResponseBody;

/// Maximum number of failed attempts of one request. Refused attempts count separately, as they
/// only send the request back to the queue.
const MAX_FAILURES: u32 = 3;

/// Maximum number of refused attempts of one request, for the case that load reports never show
/// which endpoint has capacity.
const MAX_REFUSALS: u32 = 32;

/// Interval between queries for an attempt that is still running.
const RUNNING_QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// A hedged attempt is sent after this multiple of the average time to the response head.
const HEDGE_HEAD_TIME_MULTIPLE: u32 = 4;

/// Minimum delay of a hedged attempt.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Time past the deadline in which the task of a request can still return its own, more precise
/// error.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// Counts a caller's request as in flight until dropped, so that the count stays correct when the caller
/// disconnects.
pub(super) struct CallerRequestGuard(Arc<Shared>);

impl CallerRequestGuard {
    fn begin(shared: &Arc<Shared>) -> CallerRequestGuard {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        CallerRequestGuard(shared.clone())
    }
}

impl Drop for CallerRequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An error response to the caller, with the outcome of the request as far as it is known.
struct ErrorReply {
    code: Code,
    outcome: Outcome,
    retry_after: Duration,
}

impl From<Rejection> for ErrorReply {
    fn from(rejection: Rejection) -> ErrorReply {
        let Rejection { code, retry_after } = rejection;
        ErrorReply { code, outcome: code.outcome(), retry_after }
    }
}

impl From<Code> for ErrorReply {
    fn from(code: Code) -> ErrorReply {
        ErrorReply::from(Rejection::from(code))
    }
}

/// Returns the response to one request; errors become responses too.
pub(crate) async fn serve(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<ResponseBody> {
    let in_flight = CallerRequestGuard::begin(shared);
    let result = run(shared, req, in_flight).await;
    result.unwrap_or_else(|error| response::error(error.code, error.outcome, error.retry_after))
}

async fn run(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    in_flight: CallerRequestGuard,
) -> Result<Response<ResponseBody>, ErrorReply> {
    let now = shared.clock.now();
    let has_key = parse::has_idempotency_key(&req);
    let early_error = |rejection| error_before_claim(has_key, rejection);
    let parsed = parse::parse(shared, req, now).await.map_err(|code| early_error(code.into()))?;
    if shared.is_stopping() {
        return Err(early_error(Code::Stopping.into()));
    }
    let customer_permit = router::admit(shared, &parsed).map_err(early_error)?;
    let guard = RequestGuard { _in_flight: in_flight, _customer_permit: customer_permit };
    if parsed.idempotent {
        let unresolved = parsed.unresolved.clone();
        return run_idempotent(shared, parsed, guard)
            .await
            .map_err(|e| error_after_attempts(&unresolved, e.into()));
    }
    // Runs to its end when the caller disconnects, because a retry with the same key queries the
    // result.
    let _wait_guard = parsed.caller.wait_guard();
    let shared = shared.clone();
    let remaining = parsed.deadline.since(shared.clock.now()) + DEADLINE_MARGIN;
    let task = tokio::spawn(async move {
        let result = run_non_idempotent(&shared, &parsed).await;
        drop(guard);
        result
    });
    // A platform or agent that hangs must not delay the caller past its deadline. The task goes on,
    // so that a retry finds the result of this request.
    let ended = timeout(remaining, task).await.map_err(|_| Code::DeadlineDuringRun)?;
    let full = ended.unwrap_or(Err(Code::EndpointLost.into()))?;
    Ok(response::full(full)?)
}

/// Converts a rejection from before the claim of the key was read. It proves only that this
/// submission did not run. An earlier one with the same key may have run, so the outcome must not
/// be `not-run`. This also applies when the entry cannot process the request because its
/// configuration is stale or missing.
fn error_before_claim(has_key: bool, rejection: Rejection) -> ErrorReply {
    let mut error = ErrorReply::from(rejection);
    if has_key && error.outcome == Outcome::NotRun {
        error.outcome = Outcome::Unknown;
    }
    error
}

/// Adjusts the error after some attempts: the outcome is `not-run` only if every attempt is proved
/// not to have run.
fn error_after_attempts(unresolved: &UnresolvedAttempts, mut error: ErrorReply) -> ErrorReply {
    if unresolved.may_have_run() && error.outcome == Outcome::NotRun {
        error.outcome = Outcome::Unknown;
    }
    error
}

async fn run_non_idempotent(
    shared: &Arc<Shared>,
    parsed: &ParsedRequest,
) -> Result<FullResponse, ErrorReply> {
    let Some(key) = &parsed.key else {
        return Ok(run_without_key(shared, parsed).await?);
    };
    let claimed = claims::serve(shared, parsed, key).await;
    claimed.result.map_err(|rejection| match claimed.not_run || rejection.code == Code::KeyReused {
        true => ErrorReply::from(rejection),
        false => error_before_claim(true, rejection),
    })
}

/// Runs a non-idempotent request without a key. It is retried only after the previous attempt is
/// proved not to have run.
async fn run_without_key(
    shared: &Arc<Shared>,
    parsed: &ParsedRequest,
) -> Result<FullResponse, Rejection> {
    let mut history = AttemptHistory::default();
    loop {
        let permit = history.next(shared, parsed).await?;
        let to = permit.to.clone();
        let attempt = history.attempt();
        let failure = match dispatch::run_to_completion(shared, parsed, permit, attempt).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        if failure.is_not_run() {
            history.record_failure(shared, failure.code)?;
            continue;
        }
        match query_until_ended(shared, parsed, &to).await {
            VoidReply::Voided => history.record_failure(shared, Code::Voided)?,
            VoidReply::Ran(Some(response)) => return Ok(response),
            VoidReply::Ran(None) => return Err(Code::AnswerNotKept.into()),
            VoidReply::Running => return Err(Code::DeadlineDuringRun.into()),
            VoidReply::Unknown => return Err(failure.code.into()),
        }
    }
}

/// Queries the state of an attempt until it has ended, the deadline has passed, or the agent cannot
/// determine it.
async fn query_until_ended(
    shared: &Shared,
    parsed: &ParsedRequest,
    to: &mastichaven_core::claim::Dispatch,
) -> VoidReply {
    loop {
        match dispatch::query_attempt(shared, to).await {
            Some(VoidReply::Running) if shared.clock.now() < parsed.deadline => {
                tokio::time::sleep(RUNNING_QUERY_INTERVAL).await;
            }
            Some(reply) => return reply,
            None => return VoidReply::Unknown,
        }
    }
}

/// Counts and permits that a request holds until its response has ended.
pub(super) struct RequestGuard {
    _in_flight: CallerRequestGuard,
    _customer_permit: CustomerPermit,
}

/// Record of the attempts of one request.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    tried: Vec<HostName>,
    attempts: u32,
    failures: u32,
    refusals: u32,
}

impl AttemptHistory {
    /// Waits for a permit for the next attempt.
    async fn next(
        &mut self,
        shared: &Arc<Shared>,
        parsed: &ParsedRequest,
    ) -> Result<EndpointPermit, Rejection> {
        let is_retry = self.attempts > 0;
        let permit = router::acquire(shared, parsed, &self.tried, is_retry).await?;
        self.attempts += 1;
        self.tried.push(permit.to.agent.clone());
        Ok(permit)
    }

    fn attempt(&self) -> Attempt {
        Attempt(self.attempts)
    }

    /// Records a failed or refused attempt. Returns an error if no further attempt is allowed.
    ///
    /// A refusal costs the endpoint nothing, and the request keeps its position in the queue.
    /// Retries of failures are limited by the retry budget, so that the loss of a zone does not
    /// multiply the load on the others.
    fn record_failure(&mut self, shared: &Shared, code: Code) -> Result<(), Rejection> {
        if matches!(
            code,
            Code::Busy | Code::EndpointClosed | Code::EndpointFull | Code::WrongVersion
        ) {
            self.refusals += 1;
            return if self.refusals < MAX_REFUSALS { Ok(()) } else { Err(code.into()) };
        }
        self.failures += 1;
        if self.failures >= MAX_FAILURES || code == Code::Quarantined {
            return Err(code.into());
        }
        if router::try_withdraw_retry(shared) {
            return Ok(());
        }
        let code = if code.outcome() == Outcome::NotRun { Code::RetryBudget } else { code };
        Err(code.into())
    }
}

/// A request that may run more than once, with its attempts.
#[derive(Debug, Default)]
pub(super) struct RetryableRequest {
    history: AttemptHistory,
}

impl RetryableRequest {
    /// Opens a response that continues after `received_tokens` tokens, retrying on other endpoints.
    pub(super) async fn open(
        &mut self,
        shared: &Arc<Shared>,
        parsed: &mut ParsedRequest,
        received_tokens: u64,
    ) -> Result<OpenResponse, Rejection> {
        loop {
            if received_tokens == 0 {
                parse::refresh_version(shared, parsed)?;
            }
            let version = parsed.version;
            let permit = match self.history.next(shared, parsed).await {
                Ok(permit) => permit,
                Err(rejection) if rejection.code == Code::NoEndpoint && received_tokens == 0 => {
                    parse::refresh_version(shared, parsed)?;
                    if parsed.version == version {
                        return Err(rejection);
                    }
                    continue;
                }
                Err(rejection) => return Err(rejection),
            };
            match self.open_hedged(shared, parsed, permit, received_tokens).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => self.history.record_failure(shared, failure.code)?,
            }
        }
    }

    /// Opens one attempt. If its head takes much longer than the average and the retry budget
    /// allows it, opens a hedged second attempt. The attempt whose head arrives first continues;
    /// dropping the other one cancels it at its endpoint.
    async fn open_hedged(
        &mut self,
        shared: &Arc<Shared>,
        parsed: &ParsedRequest,
        permit: EndpointPermit,
        received_tokens: u64,
    ) -> Result<OpenResponse, Failure> {
        let attempt = self.history.attempt();
        let mut first = pin!(dispatch::open(shared, parsed, permit, attempt, received_tokens));
        let Some(average) = router::average_head_time(shared, parsed) else {
            return first.await;
        };
        let hedge_delay = (average * HEDGE_HEAD_TIME_MULTIPLE).max(MIN_HEDGE_DELAY);
        if let Ok(opened) = timeout(hedge_delay, &mut first).await {
            return opened;
        }
        let Some(permit) = router::try_acquire(shared, parsed, &self.history.tried) else {
            return first.await;
        };
        self.history.attempts += 1;
        self.history.tried.push(permit.to.agent.clone());
        let attempt = self.history.attempt();
        let mut second = pin!(dispatch::open(shared, parsed, permit, attempt, received_tokens));
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

async fn run_idempotent(
    shared: &Arc<Shared>,
    mut parsed: ParsedRequest,
    guard: RequestGuard,
) -> Result<Response<ResponseBody>, Rejection> {
    let mut retryable = RetryableRequest::default();
    loop {
        let opened = retryable.open(shared, &mut parsed, 0).await?;
        if opened.is_stream() {
            return Ok(response::stream(shared, parsed, opened, retryable, guard)?);
        }
        match opened.read_full().await {
            Ok(full) => return Ok(response::full(full)?),
            Err(failure) => retryable.history.record_failure(shared, failure.code)?,
        }
    }
}
