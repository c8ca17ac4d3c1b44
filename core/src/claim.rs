//! At-most-once execution of non-idempotent requests across client retries, by a claim on the
//! idempotency key.
//!
//! A claim is one object on the platform, changed only by conditional writes. It names the agent
//! incarnation and the attempt that may run the request, so another entry that reads it can ask
//! that agent for the attempt's state, or void the attempt. A claim is reassigned to another
//! attempt only after the named one is proved not to run. [`ClaimMachine`] is the protocol as a
//! state machine: it returns the next [`Action`], and the caller performs it and reports the
//! resulting [`Event`].

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::ids::CustomerName;
use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::platform::Expect;
use crate::run::FullResponse;
use crate::run::VoidReply;
use crate::time::Time;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_LEN: usize = 256;

/// Largest response body stored in a claim, in bytes. For a larger one the claim records only that
/// the request ran.
pub const MAX_STORED_RESPONSE_LEN: usize = 256 << 10;

/// Delay before a failed platform call or a query for a running request is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the platform or the agent may be unreachable before the request is refused.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a claim is read again for the response written by its owner, when the agent no longer
/// holds the response.
const MAX_RESPONSE_READS: u32 = 3;

/// Object key prefix of all claims.
pub const PREFIX: &str = "claim/";

/// Hexadecimal digits of the shard in an object key. Shards let a sweep list a part of the claims
/// at a time.
pub const SHARD_DIGITS: usize = 3;

/// The object key of the claim on `key`; the same key of another customer or service is a different
/// claim.
pub fn object_key(customer: &CustomerName, service: &ServiceName, key: &str) -> String {
    let scope = format!("{}\n{}\n{key}", customer.as_str(), service.as_str());
    let hex = Digest::of(scope.as_bytes()).to_hex();
    format!("{PREFIX}{}/{hex}", &hex[..SHARD_DIGITS])
}

/// An attempt and the agent it is assigned to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Dispatch {
    /// Host of the agent that may run the request.
    pub agent: HostName,
    /// Peer address of that agent.
    pub address: SocketAddr,
    /// Incarnation of the agent; a later incarnation must not run the attempt.
    pub incarnation: Incarnation,
    /// Id of the attempt, unique over all entries.
    pub request: RequestId,
}

/// How far the request is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// The attempt may be about to run, running or finished.
    Pending(Dispatch),
    /// The request ran and returned this response.
    Done(FullResponse),
    /// The request ran, but its response is larger than [`MAX_STORED_RESPONSE_LEN`] or was lost.
    DoneNotStored,
    /// The request may have run, and no process can determine it any more.
    Unknown,
    /// Nothing ran, and the caller was told so. A later submission may claim the key again. A
    /// submission that was in progress at that time must not run, as the outcome `not-run` would
    /// become false.
    Released,
}

/// A claim as stored on the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Digest of the method, path and body of the claimed request, to detect reuse of the key for
    /// another request.
    pub body: Digest,
    /// How far the request is.
    pub state: ClaimState,
    /// Revision of the latest release, for submissions that were in progress then; `None` if never
    /// released.
    pub released: Option<Revision>,
}

impl Claim {
    /// Encodes the claim as the platform object's value.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("claims always encode")
    }

    /// Decodes a platform object's value; fails with [`Code::BadMessage`].
    pub fn decode(bytes: &[u8]) -> Result<Claim, Code> {
        postcard::from_bytes(bytes).map_err(|_| Code::BadMessage)
    }
}

/// The next step that the caller of [`ClaimMachine`] performs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the claim.
    Read,
    /// Write the claim, on the condition that the object is in the expected state.
    Write(Claim, Expect),
    /// Send the request to the agent of the claimed attempt.
    Dispatch,
    /// Ask the agent for the state of the attempt, voiding it if it has not started.
    QueryAgent(Dispatch),
    /// Wait for this duration.
    Wait(Duration),
    /// Return this response to the caller.
    Respond(FullResponse),
    /// Refuse the request with this code.
    Refuse(Code),
}

/// The result of an [`Action`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The write took effect.
    Written(Revision),
    /// The object was not in the expected state; nothing was written.
    Conflict,
    /// The result of the write is unknown: it may have taken effect.
    WriteUnknown,
    /// The platform is unreachable; nothing was read or written.
    Unavailable,
    /// The claim and its revision; `None` when the object does not exist.
    Found(Option<(Revision, Claim)>),
    /// The agent's reply; `None` when it is unreachable.
    AgentReply(Option<VoidReply>),
    /// The requested wait has elapsed.
    Waited,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Reading,
    Writing(Expect),
    /// The claim names this machine's attempt, which may be sent.
    Owned,
    Querying(Revision, Dispatch),
    Releasing(Revision),
    /// The result for the caller is final; the write stores it for later retries.
    WritingFinal(Claim, Action),
}

/// The claim protocol for one submission of a request.
#[derive(Clone, Debug)]
pub struct ClaimMachine {
    body: Digest,
    attempt: Dispatch,
    deadline: Time,
    /// Extended by [`UNREACHABLE_TIMEOUT`] with each sign of progress from the platform or the
    /// agent.
    unreachable_deadline: Time,
    phase: Phase,
    revision: Option<Revision>,
    /// The code to refuse with once the claim is released; set when its attempt is proved not to
    /// run.
    release_code: Option<Code>,
    /// The claim was released with nothing run.
    not_run: bool,
    /// Revision of the latest release of the claim.
    last_release: Option<Revision>,
    /// Result of the first read: the revision of the claim, or that there was none.
    first_read: Option<Option<Revision>>,
    is_running: bool,
    /// The attempt was passed to the transport, which happens at most once.
    is_sent: bool,
    response_reads: u32,
}

impl ClaimMachine {
    /// Starts the protocol for `attempt` with a read: it finds the response stored for an earlier
    /// submission, and records which revision existed before this one. A running request is awaited
    /// until `deadline`; an unreachable platform or agent for [`UNREACHABLE_TIMEOUT`].
    pub fn start(
        body: Digest,
        attempt: Dispatch,
        deadline: Time,
        now: Time,
    ) -> (ClaimMachine, Action) {
        let run = ClaimMachine {
            body,
            attempt,
            deadline,
            unreachable_deadline: now + UNREACHABLE_TIMEOUT,
            phase: Phase::Reading,
            revision: None,
            release_code: None,
            not_run: false,
            last_release: None,
            first_read: None,
            is_running: false,
            is_sent: false,
            response_reads: 0,
        };
        (run, Action::Read)
    }

    /// The attempt that is claimed for, as last set by [`ClaimMachine::reassign`].
    pub fn attempt(&self) -> &Dispatch {
        &self.attempt
    }

    /// Whether it is proved that nothing ran under the key.
    ///
    /// Only an attempt that held the claim until it released it proves this, for itself and for the
    /// submissions in progress at the time. Any other submission cannot tell whether an earlier one
    /// ran.
    pub fn is_not_run(&self) -> bool {
        self.not_run
    }

    /// Processes the result of the last action and returns the next action.
    pub fn step(&mut self, event: Event, now: Time) -> Action {
        if self.is_progress(&event) {
            self.unreachable_deadline = now + UNREACHABLE_TIMEOUT;
        }
        match (self.phase.clone(), event) {
            (Phase::Writing(_), Event::Written(revision)) => self.dispatch_at(revision),
            (Phase::Writing(_), Event::Unavailable) => self.wait_or_refuse(now),
            (Phase::Writing(expect), Event::Waited) => self.write_pending(expect),
            (Phase::Writing(_), _) => self.read(),
            (Phase::Reading, Event::Found(found)) => self.on_claim_read(found),
            (Phase::Reading, Event::Waited) => Action::Read,
            (Phase::Reading, _) => self.wait_or_refuse(now),
            (Phase::Querying(revision, dispatch), Event::AgentReply(reply)) => {
                self.on_agent_reply(revision, dispatch, reply, now)
            }
            (Phase::Querying(..), _) => self.read(),
            (Phase::Releasing(_), Event::Written(_)) => self.refuse_not_run(),
            (Phase::Releasing(_), Event::Unavailable) => self.wait_or_refuse(now),
            (Phase::Releasing(revision), Event::Waited) => self.write_released(revision),
            (Phase::Releasing(_), _) => self.read(),
            (Phase::WritingFinal(claim, then), event) => {
                self.on_final_write(claim, then, event, now)
            }
            (Phase::Owned, _) => Action::Dispatch,
        }
    }

    /// Whether `event` is progress. An unchanged claim is not: while its agent is unreachable, the
    /// loop of reading the claim and querying the agent would never end.
    fn is_progress(&self, event: &Event) -> bool {
        match event {
            Event::WriteUnknown | Event::Unavailable | Event::Waited | Event::AgentReply(None) => {
                false
            }
            Event::Found(Some((revision, _))) => self.revision != Some(*revision),
            _ => true,
        }
    }

    /// Reassigns the claim to `attempt`, after the attempt named so far is proved not to run.
    pub fn reassign(&mut self, attempt: Dispatch) -> Action {
        self.attempt = attempt;
        self.is_sent = false;
        self.release_code = None;
        match self.revision {
            Some(revision) => self.write_pending(Expect::At(revision)),
            None => self.read(),
        }
    }

    /// Records the response of the request, for later submissions with the same key.
    pub fn finish(&mut self, response: FullResponse, now: Time) -> Action {
        self.unreachable_deadline = now + UNREACHABLE_TIMEOUT;
        let state = if response.body.len() > MAX_STORED_RESPONSE_LEN {
            ClaimState::DoneNotStored
        } else {
            ClaimState::Done(response.clone())
        };
        self.write_final(state, Action::Respond(response))
    }

    /// Handles the loss of the agent after the request was sent: queries the state of the attempt.
    pub fn contact_lost(&mut self, now: Time) -> Action {
        self.unreachable_deadline = now + UNREACHABLE_TIMEOUT;
        self.is_sent = true;
        match self.revision {
            Some(revision) => {
                self.phase = Phase::Querying(revision, self.attempt.clone());
                Action::QueryAgent(self.attempt.clone())
            }
            None => self.read(),
        }
    }

    /// Releases the claim, after its attempt is proved not to run and no other is made. The caller
    /// is refused with `code`.
    pub fn release(&mut self, code: Code) -> Action {
        self.release_code = Some(code);
        match self.revision {
            Some(revision) => self.write_released(revision),
            None => self.read(),
        }
    }

    fn write_released(&mut self, revision: Revision) -> Action {
        self.phase = Phase::Releasing(revision);
        let claim = self.claim(ClaimState::Released);
        Action::Write(claim, Expect::At(revision))
    }

    fn refuse_not_run(&mut self) -> Action {
        self.not_run = true;
        Action::Refuse(self.release_code.unwrap_or(Code::Voided))
    }

    fn dispatch_at(&mut self, revision: Revision) -> Action {
        self.revision = Some(revision);
        self.phase = Phase::Owned;
        Action::Dispatch
    }

    fn write_pending(&mut self, expect: Expect) -> Action {
        self.phase = Phase::Writing(expect);
        Action::Write(self.claim(ClaimState::Pending(self.attempt.clone())), expect)
    }

    fn claim(&self, state: ClaimState) -> Claim {
        Claim { body: self.body, state, released: self.last_release }
    }

    /// Whether the claim was released after this submission first read it. The submission must not
    /// run then, as another caller was told that nothing had run.
    fn is_released_since_first_read(&self) -> bool {
        match (self.last_release, self.first_read) {
            (Some(released), Some(first)) => first.is_none_or(|first| first < released),
            _ => false,
        }
    }

    fn read(&mut self) -> Action {
        self.phase = Phase::Reading;
        Action::Read
    }

    fn wait_or_refuse(&self, now: Time) -> Action {
        if now < if self.is_running { self.deadline } else { self.unreachable_deadline } {
            return Action::Wait(RETRY_DELAY);
        }
        let code = if self.is_running { Code::KeyInProgress } else { Code::ClaimUnavailable };
        Action::Refuse(code)
    }

    fn on_claim_read(&mut self, found: Option<(Revision, Claim)>) -> Action {
        let seen = found.as_ref().map(|(revision, _)| *revision);
        self.first_read.get_or_insert(seen);
        let Some((revision, claim)) = found else {
            return match self.release_code {
                Some(_) => self.refuse_not_run(),
                None => self.write_pending(Expect::Absent),
            };
        };
        if claim.body != self.body {
            return Action::Refuse(Code::KeyReused);
        }
        self.revision = Some(revision);
        self.last_release = match claim.state {
            ClaimState::Released => Some(revision),
            _ => claim.released,
        };
        match claim.state {
            ClaimState::Pending(dispatch)
                if dispatch == self.attempt && self.release_code.is_some() =>
            {
                self.write_released(revision)
            }
            ClaimState::Pending(dispatch) if dispatch == self.attempt && !self.is_sent => {
                self.dispatch_at(revision)
            }
            ClaimState::Pending(dispatch) => {
                self.release_code = None;
                self.phase = Phase::Querying(revision, dispatch.clone());
                Action::QueryAgent(dispatch)
            }
            ClaimState::Done(response) => Action::Respond(response),
            ClaimState::DoneNotStored => Action::Refuse(Code::AnswerNotKept),
            ClaimState::Unknown => Action::Refuse(Code::KeyUnknown),
            ClaimState::Released if self.is_released_since_first_read() => self.refuse_not_run(),
            ClaimState::Released => self.write_pending(Expect::At(revision)),
        }
    }

    fn on_agent_reply(
        &mut self,
        revision: Revision,
        dispatch: Dispatch,
        reply: Option<VoidReply>,
        now: Time,
    ) -> Action {
        self.is_running = reply == Some(VoidReply::Running);
        match reply {
            Some(VoidReply::Voided) if dispatch.request == self.attempt.request => {
                Action::Refuse(Code::Voided)
            }
            Some(VoidReply::Voided) if self.is_released_since_first_read() => {
                Action::Refuse(Code::KeyInProgress)
            }
            Some(VoidReply::Voided) => self.write_pending(Expect::At(revision)),
            Some(VoidReply::Ran(Some(response))) => self.finish(response, now),
            Some(VoidReply::Ran(None)) if self.response_reads >= MAX_RESPONSE_READS => {
                self.write_final(ClaimState::DoneNotStored, Action::Refuse(Code::AnswerNotKept))
            }
            Some(VoidReply::Ran(None)) => {
                self.response_reads += 1;
                self.phase = Phase::Reading;
                Action::Wait(RETRY_DELAY)
            }
            Some(VoidReply::Unknown) => {
                self.write_final(ClaimState::Unknown, Action::Refuse(Code::KeyUnknown))
            }
            // An unreachable agent may still run the attempt, so the claim stays unchanged.
            None if now >= self.unreachable_deadline => Action::Refuse(Code::KeyUnknown),
            Some(VoidReply::Running) | None => {
                self.phase = Phase::Reading;
                self.wait_or_refuse(now)
            }
        }
    }

    fn write_final(&mut self, state: ClaimState, then: Action) -> Action {
        let claim = self.claim(state);
        let Some(revision) = self.revision else {
            return then;
        };
        self.phase = Phase::WritingFinal(claim.clone(), then);
        Action::Write(claim, Expect::At(revision))
    }

    /// If this write fails, a later submission has to query the agent; the request never runs
    /// twice.
    fn on_final_write(&mut self, claim: Claim, then: Action, event: Event, now: Time) -> Action {
        match event {
            Event::Unavailable if now < self.unreachable_deadline => Action::Wait(RETRY_DELAY),
            Event::Waited => match self.revision {
                Some(revision) => Action::Write(claim, Expect::At(revision)),
                None => then,
            },
            // Another submission may have stored the response that this one lacks.
            Event::Conflict if matches!(then, Action::Refuse(_)) => self.read(),
            _ => then,
        }
    }
}
