use std::collections::HashMap;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::attempts::AttemptTable;
use mastichaven_core::claim::Action;
use mastichaven_core::claim::Claim;
use mastichaven_core::claim::ClaimMachine;
use mastichaven_core::claim::ClaimState;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::claim::Event;
use mastichaven_core::claim::UNREACHABLE_TIMEOUT;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Expect;
use mastichaven_core::run::FullResponse;
use mastichaven_core::run::VoidReply;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

const DEADLINE: Time = Time::from_millis(60_000);

fn dispatch(agent: u64, serial: u64) -> Dispatch {
    Dispatch {
        agent: format!("agent-{agent}").as_str().into(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(agent),
        request: RequestId::new(Incarnation(1), serial),
    }
}

fn body() -> Digest {
    Digest::of(b"pen 7, thursday")
}

fn response() -> FullResponse {
    FullResponse { status: 200, content_type: "text/plain".into(), body: Bytes::from("booked") }
}

fn pending(dispatch: Dispatch) -> Claim {
    Claim { body: body(), state: ClaimState::Pending(dispatch), released: None }
}

fn at(run: &mut ClaimMachine, event: Event) -> Action {
    run.step(event, Time::ZERO)
}

// The write of the claim takes effect but its result is lost. The claim read back is the own one;
// taken for that of another entry, the booking would wait for an owner that does not exist.
#[test]
fn step_write_result_lost() {
    let (mut run, _) = ClaimMachine::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    let claimed = Action::Write(pending(dispatch(1, 1)), Expect::Absent);
    assert_eq!(at(&mut run, Event::Found(None)), claimed);
    assert_eq!(at(&mut run, Event::WriteUnknown), Action::Read);
    let own_claim = Event::Found(Some((Revision(5), pending(dispatch(1, 1)))));
    assert_eq!(at(&mut run, own_claim.clone()), Action::Dispatch);
    assert_eq!(run.contact_lost(Time::ZERO), Action::QueryAgent(dispatch(1, 1)));
    assert!(matches!(at(&mut run, Event::AgentReply(Some(VoidReply::Running))), Action::Wait(_)));
    assert_eq!(at(&mut run, Event::Waited), Action::Read);
    assert_eq!(
        at(&mut run, own_claim),
        Action::QueryAgent(dispatch(1, 1)),
        "an attempt is sent at most once"
    );
}

// The platform is unavailable for longer than [`UNREACHABLE_TIMEOUT`]. A first submission cannot be
// told from a retry then, so the caller must not get the outcome `not-run`.
#[test]
fn step_platform_unavailable() {
    let (mut run, first) = ClaimMachine::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    assert_eq!(first, Action::Read);
    assert!(matches!(at(&mut run, Event::Unavailable), Action::Wait(_)));
    let late = Time::ZERO + UNREACHABLE_TIMEOUT;
    assert_eq!(run.step(Event::Unavailable, late), Action::Refuse(Code::ClaimUnavailable));
}

#[test]
fn step_key_reused_for_other_body() {
    let (mut run, _) = ClaimMachine::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    let other =
        Claim { body: Digest::of(b"pen 8"), state: ClaimState::Done(response()), released: None };
    let found = at(&mut run, Event::Found(Some((Revision(5), other))));
    assert_eq!(found, Action::Refuse(Code::KeyReused));
}

// The owner of the claim and the agent named by it are both dead: the outcome is unknown, and the
// booking never runs again under this key.
#[test]
fn step_owner_and_agent_dead() {
    let (mut run, _) = ClaimMachine::start(body(), dispatch(2, 9), DEADLINE, Time::ZERO);
    at(&mut run, Event::Found(Some((Revision(5), pending(dispatch(1, 1))))));
    let noted = at(&mut run, Event::AgentReply(Some(VoidReply::Unknown)));
    let unknown = Claim { body: body(), state: ClaimState::Unknown, released: None };
    assert_eq!(noted, Action::Write(unknown, Expect::At(Revision(5))));
    assert_eq!(at(&mut run, Event::Written(Revision(6))), Action::Refuse(Code::KeyUnknown));
    assert!(!run.is_not_run());
}

// The owner died before it sent the booking. A retry voids the old attempt and takes the claim over
// at the revision it read, so a concurrent retry that does the same fails its conditional write.
#[test]
fn step_owner_dead_before_dispatch() {
    let (mut run, _) = ClaimMachine::start(body(), dispatch(2, 9), DEADLINE, Time::ZERO);
    at(&mut run, Event::Found(Some((Revision(5), pending(dispatch(1, 1))))));
    let taken = at(&mut run, Event::AgentReply(Some(VoidReply::Voided)));
    assert_eq!(taken, Action::Write(pending(dispatch(2, 9)), Expect::At(Revision(5))));
    assert_eq!(at(&mut run, Event::Conflict), Action::Read);
}

// A caller times out and submits its booking again, and the second submission returns `not-run`.
// The first one resumes after that: it must not run.
#[test]
fn step_released_by_concurrent_submission() {
    let (mut first, _) = ClaimMachine::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    at(&mut first, Event::Found(None));
    assert_eq!(at(&mut first, Event::Conflict), Action::Read);
    let released = Claim { body: body(), state: ClaimState::Released, released: None };
    let found = Event::Found(Some((Revision(6), released)));
    assert!(matches!(at(&mut first, found.clone()), Action::Refuse(code) if code == Code::Voided));
    assert!(first.is_not_run());
    let (mut later, _) = ClaimMachine::start(body(), dispatch(1, 2), DEADLINE, Time::ZERO);
    let anew = Claim { released: Some(Revision(6)), ..pending(dispatch(1, 2)) };
    let taken = Action::Write(anew, Expect::At(Revision(6)));
    assert_eq!(at(&mut later, found), taken);
}

/// A platform, agents and submissions of one booking whose steps are interleaved at random.
struct Simulation {
    rng: ChaCha8Rng,
    object: Option<(u64, Claim)>,
    revision: u64,
    /// Revision of the latest release of the claim.
    released: u64,
    agents: Vec<(Incarnation, AttemptTable)>,
    runs: u32,
    serial: u64,
    now: Time,
}

struct Submission {
    run: ClaimMachine,
    next: Action,
    /// The platform's revision when it first read the claim; from then on it is in progress.
    first_read: Option<u64>,
    /// Another submission returned `not-run` while this one was in progress.
    must_not_run: bool,
}

enum Ending {
    Response,
    Refused(bool),
    EntryDied,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let agents = (0..3).map(|n| (Incarnation(n), AttemptTable::with_capacity(8))).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Simulation {
            rng,
            object: None,
            revision: 0,
            released: 0,
            agents,
            runs: 0,
            serial: 0,
            now: Time::ZERO,
        }
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    fn target(&mut self) -> Dispatch {
        let agent = self.rng.next_u32() as usize % self.agents.len();
        self.serial += 1;
        let mut target = dispatch(agent as u64, self.serial);
        target.incarnation = self.agents[agent].0;
        target
    }

    fn agent(&mut self, to: &Dispatch) -> Option<&mut AttemptTable> {
        let mut agents = self.agents.iter_mut();
        agents.find(|(incarnation, _)| *incarnation == to.incarnation).map(|(_, table)| table)
    }

    fn write(&mut self, claim: Claim, expect: Expect) -> Event {
        if self.happens(10) {
            return Event::Unavailable;
        }
        let present = self.object.as_ref().map(|(revision, _)| Revision(*revision));
        let wanted = match expect {
            Expect::Absent => None,
            Expect::At(revision) => Some(revision),
        };
        if present != wanted {
            return Event::Conflict;
        }
        self.revision += 1;
        if claim.state == ClaimState::Released {
            self.released = self.revision;
        }
        self.object = Some((self.revision, claim));
        if self.happens(15) { Event::WriteUnknown } else { Event::Written(Revision(self.revision)) }
    }

    fn send(&mut self, submission: &mut Submission) -> Action {
        let to = submission.run.attempt().clone();
        let (lost_before, refuses, lost_after) =
            (self.happens(15), self.happens(20), self.happens(25));
        let started = !lost_before
            && !refuses
            && self.agent(&to).is_some_and(|table| table.start(to.request).is_ok());
        if started {
            assert!(!submission.must_not_run, "ran after another submission returned not-run");
            self.runs += 1;
            let table = self.agent(&to).expect("the attempt started on this agent");
            table.finish(to.request, VoidReply::Ran(Some(response())));
        }
        if lost_before || (started && lost_after) {
            return submission.run.contact_lost(self.now);
        }
        if started {
            return submission.run.finish(response(), self.now);
        }
        let next = self.target();
        if self.happens(30) {
            submission.run.release(Code::EndpointFull)
        } else {
            submission.run.reassign(next)
        }
    }

    fn step(&mut self, submission: &mut Submission) -> Option<Ending> {
        if self.happens(3) {
            return Some(Ending::EntryDied);
        }
        if self.happens(2) {
            let agent = self.rng.next_u32() as usize % self.agents.len();
            let incarnation = Incarnation(self.agents[agent].0.0 + 100);
            self.agents[agent] = (incarnation, AttemptTable::with_capacity(8));
        }
        let event = match submission.next.clone() {
            Action::Respond(_) => return Some(Ending::Response),
            Action::Refuse(Code::Voided) if !submission.run.is_not_run() => {
                let next = self.target();
                let gives_up = self.happens(30);
                let run = &mut submission.run;
                submission.next =
                    if gives_up { run.release(Code::Voided) } else { run.reassign(next) };
                return None;
            }
            Action::Refuse(_) => return Some(Ending::Refused(submission.run.is_not_run())),
            Action::Dispatch => {
                submission.next = self.send(submission);
                return None;
            }
            Action::Read if self.happens(10) => Event::Unavailable,
            Action::Read => {
                Event::Found(self.object.clone().map(|(r, claim)| (Revision(r), claim)))
            }
            Action::Write(claim, expect) => self.write(claim, expect),
            Action::QueryAgent(_) if self.happens(15) => Event::AgentReply(None),
            Action::QueryAgent(to) => {
                let reply = self.agent(&to).map(|table| table.void(to.request));
                Event::AgentReply(Some(reply.unwrap_or(VoidReply::Unknown)))
            }
            Action::Wait(span) => {
                self.now = self.now + span;
                Event::Waited
            }
        };
        if matches!(event, Event::Found(_)) {
            submission.first_read.get_or_insert(self.revision);
        }
        submission.next = submission.run.step(event, self.now);
        None
    }
}

// One booking is submitted repeatedly through several entries while entries die between any two
// steps, agents restart, writes fail or lose their results, and messages are lost before or after
// the booking ran. The booking runs at most once. The outcome `not-run` is returned only if the
// booking has not run, and no submission in progress at that time runs it later.
#[test]
fn step_random_faults() {
    let mut outcomes = HashMap::new();
    for seed in 0..4_000 {
        let mut simulation = Simulation::new(seed);
        let mut submissions: Vec<Submission> = Vec::new();
        let mut sent = 0;
        while sent < 4 || !submissions.is_empty() {
            if sent < 4 && (submissions.is_empty() || simulation.happens(10)) {
                let target = simulation.target();
                let (run, next) = ClaimMachine::start(body(), target, DEADLINE, simulation.now);
                submissions.push(Submission { run, next, first_read: None, must_not_run: false });
                sent += 1;
            }
            let chosen = simulation.rng.next_u32() as usize % submissions.len();
            let mut submission = submissions.swap_remove(chosen);
            let was_not_run = submission.run.is_not_run();
            let ending = simulation.step(&mut submission);
            if submission.run.is_not_run() && !was_not_run {
                assert_eq!(
                    simulation.runs, 0,
                    "seed {seed}: not-run returned for a booking that ran"
                );
                for other in &mut submissions {
                    other.must_not_run |=
                        other.first_read.is_some_and(|at| at < simulation.released);
                }
            }
            match ending {
                None => submissions.push(submission),
                Some(Ending::Response) => *outcomes.entry("answer").or_insert(0) += 1,
                Some(Ending::EntryDied) => {}
                Some(Ending::Refused(not_run)) => {
                    *outcomes.entry(if not_run { "not-run" } else { "unknown" }).or_insert(0) += 1;
                }
            }
        }
        assert!(simulation.runs <= 1, "seed {seed}: the booking ran {} times", simulation.runs);
    }
    assert!(outcomes["answer"] > 5_000 && outcomes["not-run"] > 100, "{outcomes:?}");
}
