//! At most once across resends: the claim that a non-idempotent request holds on its key.
//!
//! The claim is one object on the platform, changed by conditional writes only. It names the agent
//! life and the attempt that may run the request, so whoever finds it can ask that agent what
//! became of it, or void it. A claim moves on to another attempt only after the one it names is
//! proved not to run. [`ClaimRun`] is the whole procedure as a state machine: it says what to
//! [`Do`] next, the caller does it and reports the [`Event`].

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
use crate::run::VoidReply;
use crate::run::WholeAnswer;
use crate::time::Time;

/// Bytes of the longest idempotency key taken.
pub const MAX_KEY_LEN: usize = 256;

/// Bytes of the largest answer kept in a claim; for a larger one the claim says that it ran.
pub const MAX_ANSWER_LEN: usize = 256 << 10;

/// Pause before a failed call to the platform or a look at a running request is repeated.
const PAUSE: Duration = Duration::from_millis(50);

/// How long the platform or the agent may stay out of reach before the caller is told so.
pub const PATIENCE: Duration = Duration::from_secs(3);

/// Looks for the owner's own note of an answer that the agent no longer keeps.
const ANSWER_LOOKS: u32 = 3;

/// Key prefix of all claims.
pub const PREFIX: &str = "claim/";

/// Hexadecimal digits that spread claims over prefixes, so that a sweep reads one at a time.
pub const SHARD_DIGITS: usize = 3;

/// The platform's key of the claim on `key`, which is scoped to customer and service.
pub fn object_key(customer: &CustomerName, service: &ServiceName, key: &str) -> String {
    let scope = format!("{}\n{}\n{key}", customer.as_str(), service.as_str());
    let hex = Digest::of(scope.as_bytes()).to_hex();
    format!("{PREFIX}{}/{hex}", &hex[..SHARD_DIGITS])
}

/// The attempt a claim stands for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Dispatch {
    /// The agent that may run it.
    pub agent: HostName,
    /// Where peers reach that agent.
    pub address: SocketAddr,
    /// The life of the agent that may run it.
    pub incarnation: Incarnation,
    /// The attempt.
    pub request: RequestId,
}

/// How far the request is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// This attempt may run, be running, or have run.
    Pending(Dispatch),
    /// It ran, and this is its answer.
    Done(WholeAnswer),
    /// It ran, and its answer is too large to be kept.
    DoneUnkept,
    /// It may have run; nobody can tell any more.
    Unknown,
    /// Nothing ran, and the caller was told so. A later sending may claim it anew; one that was
    /// under way at that time must not run, or it would make a lie of what was told.
    Released,
}

/// A claim as it lies on the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Digest of the method, path and body it was made for.
    pub body: Digest,
    /// How far the request is.
    pub state: ClaimState,
    /// The revision at which it was last given up, for sendings that were under way then.
    pub released: Option<Revision>,
}

impl Claim {
    /// The object's bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("claims always encode")
    }

    /// Reads an object's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Claim, Code> {
        postcard::from_bytes(bytes).map_err(|_| Code::BadMessage)
    }
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Do {
    /// Read the claim.
    Read,
    /// Write the claim if the object is as expected.
    Write(Claim, Expect),
    /// Send the request to the agent that the claim names.
    Dispatch,
    /// Ask this agent life what became of this attempt, voiding it if it has not started.
    AskAgent(Dispatch),
    /// Let this much time pass.
    Wait(Duration),
    /// Give the caller this answer.
    Answer(WholeAnswer),
    /// Refuse with this code.
    Refuse(Code),
}

/// What came of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The write took effect.
    Written(Revision),
    /// Somebody else changed the claim first.
    Conflict,
    /// The answer to the write was lost: it may have taken effect.
    Lost,
    /// The platform cannot be reached; nothing was written.
    Down,
    /// The claim as read; `None` when there is none.
    Found(Option<(Revision, Claim)>),
    /// What the agent says; `None` when it cannot be reached.
    Agent(Option<VoidReply>),
    /// The pause is over.
    Waited,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Reading,
    Writing(Expect),
    /// The attempt named by the claim is the caller's own and may be sent.
    Owned,
    Asking(Revision, Dispatch),
    Releasing(Revision),
    /// What the caller is told is settled; the write is for later resends.
    Settling(Claim, Do),
}

/// One request's way through its claim.
#[derive(Clone, Debug)]
pub struct ClaimRun {
    body: Digest,
    mine: Dispatch,
    deadline: Time,
    /// Rises with each sign of the platform or the agent.
    give_up: Time,
    phase: Phase,
    revision: Option<Revision>,
    /// Why the claim is given up, once its attempt is proved not to run.
    released: Option<Code>,
    /// The claim was given up with nothing run.
    not_run: bool,
    /// The revision at which the claim was last given up.
    last_released: Option<Revision>,
    /// What the first read found: nothing, or a claim at this revision.
    first_seen: Option<Option<Revision>>,
    running: bool,
    /// The attempt was handed to the transport; it is never handed over again.
    sent: bool,
    looks: u32,
}

impl ClaimRun {
    /// Starts in the name of `mine`, with a read: it shows a resend its answer at once, and tells
    /// what was there before this sending. A request that runs is waited for
    /// until `deadline`; a platform or agent out of reach for [`PATIENCE`].
    pub fn start(body: Digest, mine: Dispatch, deadline: Time, now: Time) -> (ClaimRun, Do) {
        let run = ClaimRun {
            body,
            mine,
            deadline,
            give_up: now + PATIENCE,
            phase: Phase::Reading,
            revision: None,
            released: None,
            not_run: false,
            last_released: None,
            first_seen: None,
            running: false,
            sent: false,
            looks: 0,
        };
        (run, Do::Read)
    }

    /// The attempt this run claims for.
    pub fn mine(&self) -> &Dispatch {
        &self.mine
    }

    /// Whether it is proved that nothing ran under the key.
    ///
    /// Only an attempt that held the claim until it gave it up proves that, to itself and to the
    /// sendings under way beside it. Nothing else does: an earlier sending may have run.
    pub fn is_not_run(&self) -> bool {
        self.not_run
    }

    /// The next thing to do.
    pub fn step(&mut self, event: Event, now: Time) -> Do {
        if self.is_progress(&event) {
            self.give_up = now + PATIENCE;
        }
        match (self.phase.clone(), event) {
            (Phase::Writing(_), Event::Written(revision)) => self.own(revision),
            (Phase::Writing(_), Event::Down) => self.pause(now),
            (Phase::Writing(expect), Event::Waited) => self.write_mine(expect),
            (Phase::Writing(_), _) => self.read(),
            (Phase::Reading, Event::Found(found)) => self.found(found),
            (Phase::Reading, Event::Waited) => Do::Read,
            (Phase::Reading, _) => self.pause(now),
            (Phase::Asking(revision, dispatch), Event::Agent(reply)) => {
                self.told(revision, dispatch, reply, now)
            }
            (Phase::Asking(..), _) => self.read(),
            (Phase::Releasing(_), Event::Written(_)) => self.refuse_not_run(),
            (Phase::Releasing(_), Event::Down) => self.pause(now),
            (Phase::Releasing(revision), Event::Waited) => self.write_released(revision),
            (Phase::Releasing(_), _) => self.read(),
            (Phase::Settling(claim, then), event) => self.settle(claim, then, event, now),
            (Phase::Owned, _) => Do::Dispatch,
        }
    }

    /// Whether something new was learned. A claim that is read again and stands as it stood is
    /// none: while its agent is out of reach, it would be read and asked for without an end.
    fn is_progress(&self, event: &Event) -> bool {
        match event {
            Event::Lost | Event::Down | Event::Waited | Event::Agent(None) => false,
            Event::Found(Some((revision, _))) => self.revision != Some(*revision),
            _ => true,
        }
    }

    /// The named attempt is proved not to run: claims for another one.
    pub fn move_to(&mut self, mine: Dispatch) -> Do {
        self.mine = mine;
        self.sent = false;
        self.released = None;
        match self.revision {
            Some(revision) => self.write_mine(Expect::At(revision)),
            None => self.read(),
        }
    }

    /// The request ran; notes its answer for resends.
    pub fn finish(&mut self, answer: WholeAnswer, now: Time) -> Do {
        self.give_up = now + PATIENCE;
        let state = if answer.body.len() > MAX_ANSWER_LEN {
            ClaimState::DoneUnkept
        } else {
            ClaimState::Done(answer.clone())
        };
        self.settle_as(state, Do::Answer(answer))
    }

    /// Contact with the named agent was lost after the request was sent: asks what became of it.
    pub fn lost(&mut self, now: Time) -> Do {
        self.give_up = now + PATIENCE;
        self.sent = true;
        match self.revision {
            Some(revision) => {
                self.phase = Phase::Asking(revision, self.mine.clone());
                Do::AskAgent(self.mine.clone())
            }
            None => self.read(),
        }
    }

    /// The named attempt is proved not to run, and no other is made.
    pub fn release(&mut self, code: Code) -> Do {
        self.released = Some(code);
        match self.revision {
            Some(revision) => self.write_released(revision),
            None => self.read(),
        }
    }

    fn write_released(&mut self, revision: Revision) -> Do {
        self.phase = Phase::Releasing(revision);
        let claim = self.claim(ClaimState::Released);
        Do::Write(claim, Expect::At(revision))
    }

    fn refuse_not_run(&mut self) -> Do {
        self.not_run = true;
        Do::Refuse(self.released.unwrap_or(Code::Voided))
    }

    fn own(&mut self, revision: Revision) -> Do {
        self.revision = Some(revision);
        self.phase = Phase::Owned;
        Do::Dispatch
    }

    fn write_mine(&mut self, expect: Expect) -> Do {
        self.phase = Phase::Writing(expect);
        Do::Write(self.claim(ClaimState::Pending(self.mine.clone())), expect)
    }

    fn claim(&self, state: ClaimState) -> Claim {
        Claim { body: self.body, state, released: self.last_released }
    }

    /// Whether the claim was given up after this sending first read it: it must not run then, as
    /// some caller was told that nothing had run.
    fn is_late(&self) -> bool {
        match (self.last_released, self.first_seen) {
            (Some(released), Some(first)) => first.is_none_or(|first| first < released),
            _ => false,
        }
    }

    fn read(&mut self) -> Do {
        self.phase = Phase::Reading;
        Do::Read
    }

    fn pause(&self, now: Time) -> Do {
        if now < if self.running { self.deadline } else { self.give_up } {
            return Do::Wait(PAUSE);
        }
        let code = if self.running { Code::KeyInProgress } else { Code::ClaimUnavailable };
        Do::Refuse(code)
    }

    fn found(&mut self, found: Option<(Revision, Claim)>) -> Do {
        let seen = found.as_ref().map(|(revision, _)| *revision);
        self.first_seen.get_or_insert(seen);
        let Some((revision, claim)) = found else {
            return match self.released {
                Some(_) => self.refuse_not_run(),
                None => self.write_mine(Expect::Absent),
            };
        };
        if claim.body != self.body {
            return Do::Refuse(Code::KeyReused);
        }
        self.revision = Some(revision);
        self.last_released = match claim.state {
            ClaimState::Released => Some(revision),
            _ => claim.released,
        };
        match claim.state {
            ClaimState::Pending(dispatch) if dispatch == self.mine && self.released.is_some() => {
                self.write_released(revision)
            }
            ClaimState::Pending(dispatch) if dispatch == self.mine && !self.sent => {
                self.own(revision)
            }
            ClaimState::Pending(dispatch) => {
                self.released = None;
                self.phase = Phase::Asking(revision, dispatch.clone());
                Do::AskAgent(dispatch)
            }
            ClaimState::Done(answer) => Do::Answer(answer),
            ClaimState::DoneUnkept => Do::Refuse(Code::AnswerNotKept),
            ClaimState::Unknown => Do::Refuse(Code::KeyUnknown),
            ClaimState::Released if self.is_late() => self.refuse_not_run(),
            ClaimState::Released => self.write_mine(Expect::At(revision)),
        }
    }

    fn told(
        &mut self,
        revision: Revision,
        dispatch: Dispatch,
        reply: Option<VoidReply>,
        now: Time,
    ) -> Do {
        self.running = reply == Some(VoidReply::Running);
        match reply {
            Some(VoidReply::Voided) if dispatch.request == self.mine.request => {
                Do::Refuse(Code::Voided)
            }
            Some(VoidReply::Voided) if self.is_late() => Do::Refuse(Code::KeyInProgress),
            Some(VoidReply::Voided) => self.write_mine(Expect::At(revision)),
            Some(VoidReply::Ran(Some(answer))) => self.finish(answer, now),
            Some(VoidReply::Ran(None)) if self.looks >= ANSWER_LOOKS => {
                self.settle_as(ClaimState::DoneUnkept, Do::Refuse(Code::AnswerNotKept))
            }
            Some(VoidReply::Ran(None)) => {
                self.looks += 1;
                self.phase = Phase::Reading;
                Do::Wait(PAUSE)
            }
            Some(VoidReply::Unknown) => {
                self.settle_as(ClaimState::Unknown, Do::Refuse(Code::KeyUnknown))
            }
            // An agent out of reach may run it yet: the claim stays as it is.
            None if now >= self.give_up => Do::Refuse(Code::KeyUnknown),
            Some(VoidReply::Running) | None => {
                self.phase = Phase::Reading;
                self.pause(now)
            }
        }
    }

    fn settle_as(&mut self, state: ClaimState, then: Do) -> Do {
        let claim = self.claim(state);
        let Some(revision) = self.revision else {
            return then;
        };
        self.phase = Phase::Settling(claim.clone(), then);
        Do::Write(claim, Expect::At(revision))
    }

    /// A write that fails here costs a later resend a question to the agent, never a second run.
    fn settle(&mut self, claim: Claim, then: Do, event: Event, now: Time) -> Do {
        match event {
            Event::Down if now < self.give_up => Do::Wait(PAUSE),
            Event::Waited => match self.revision {
                Some(revision) => Do::Write(claim, Expect::At(revision)),
                None => then,
            },
            // Another sending may have settled it with the answer that this one lacks.
            Event::Conflict if matches!(then, Do::Refuse(_)) => self.read(),
            _ => then,
        }
    }
}
