use std::collections::HashMap;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::claim::Claim;
use mastichaven_core::claim::ClaimRun;
use mastichaven_core::claim::ClaimState;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::claim::Do;
use mastichaven_core::claim::Event;
use mastichaven_core::claim::PATIENCE;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Expect;
use mastichaven_core::record::Record;
use mastichaven_core::run::VoidReply;
use mastichaven_core::run::WholeAnswer;
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

fn answer() -> WholeAnswer {
    WholeAnswer { status: 200, content_type: "text/plain".into(), body: Bytes::from("booked") }
}

fn pending(dispatch: Dispatch) -> Claim {
    Claim { body: body(), state: ClaimState::Pending(dispatch), released: None }
}

fn at(run: &mut ClaimRun, event: Event) -> Do {
    run.step(event, Time::ZERO)
}

// The platform takes the claim and its answer is lost. Read back, it proves to be the entry's own;
// were it taken for somebody else's, the booking would wait for an owner that nobody is.
#[test]
fn start_answer_lost() {
    let (mut run, _) = ClaimRun::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    let claimed = Do::Write(pending(dispatch(1, 1)), Expect::Absent);
    assert_eq!(at(&mut run, Event::Found(None)), claimed);
    assert_eq!(at(&mut run, Event::Lost), Do::Read);
    let mine = Event::Found(Some((Revision(5), pending(dispatch(1, 1)))));
    assert_eq!(at(&mut run, mine.clone()), Do::Dispatch);
    assert_eq!(run.lost(Time::ZERO), Do::AskAgent(dispatch(1, 1)));
    assert!(matches!(at(&mut run, Event::Agent(Some(VoidReply::Running))), Do::Wait(_)));
    assert_eq!(at(&mut run, Event::Waited), Do::Read);
    assert_eq!(at(&mut run, mine), Do::AskAgent(dispatch(1, 1)), "it is never sent twice");
}

// The platform is down for longer than the entry waits. A first sending and a resend look alike
// then, so the caller is not told that the booking did not run.
#[test]
fn start_platform_down() {
    let (mut run, first) = ClaimRun::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    assert_eq!(first, Do::Read);
    assert!(matches!(at(&mut run, Event::Down), Do::Wait(_)));
    let late = Time::ZERO + PATIENCE;
    assert_eq!(run.step(Event::Down, late), Do::Refuse(Code::ClaimUnavailable));
}

#[test]
fn found_other_body() {
    let (mut run, _) = ClaimRun::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    let other =
        Claim { body: Digest::of(b"pen 8"), state: ClaimState::Done(answer()), released: None };
    let found = at(&mut run, Event::Found(Some((Revision(5), other))));
    assert_eq!(found, Do::Refuse(Code::KeyReused));
}

// The owner died after its claim. The agent that the claim names has ended too: nobody can tell
// whether the booking ran, and it never runs again under this key.
#[test]
fn found_owner_and_agent_gone() {
    let (mut run, _) = ClaimRun::start(body(), dispatch(2, 9), DEADLINE, Time::ZERO);
    at(&mut run, Event::Found(Some((Revision(5), pending(dispatch(1, 1))))));
    let noted = at(&mut run, Event::Agent(Some(VoidReply::Unknown)));
    let unknown = Claim { body: body(), state: ClaimState::Unknown, released: None };
    assert_eq!(noted, Do::Write(unknown, Expect::At(Revision(5))));
    assert_eq!(at(&mut run, Event::Written(Revision(6))), Do::Refuse(Code::KeyUnknown));
    assert!(!run.is_not_run());
}

// The owner died before it sent the booking. The resend voids the old attempt and takes the claim
// over, at the revision it read: a second resend that does the same loses the race and waits.
#[test]
fn found_owner_gone_before_sending() {
    let (mut run, _) = ClaimRun::start(body(), dispatch(2, 9), DEADLINE, Time::ZERO);
    at(&mut run, Event::Found(Some((Revision(5), pending(dispatch(1, 1))))));
    let taken = at(&mut run, Event::Agent(Some(VoidReply::Voided)));
    assert_eq!(taken, Do::Write(pending(dispatch(2, 9)), Expect::At(Revision(5))));
    assert_eq!(at(&mut run, Event::Conflict), Do::Read);
}

// A caller that waits in vain sends its booking again, and is told by the second sending that it
// did not run. The first one comes to life after that: it must not run.
#[test]
fn found_released_by_a_sending_beside_it() {
    let (mut first, _) = ClaimRun::start(body(), dispatch(1, 1), DEADLINE, Time::ZERO);
    at(&mut first, Event::Found(None));
    assert_eq!(at(&mut first, Event::Conflict), Do::Read);
    let released = Claim { body: body(), state: ClaimState::Released, released: None };
    let found = Event::Found(Some((Revision(6), released)));
    assert!(matches!(at(&mut first, found.clone()), Do::Refuse(code) if code == Code::Voided));
    assert!(first.is_not_run());
    let (mut later, _) = ClaimRun::start(body(), dispatch(1, 2), DEADLINE, Time::ZERO);
    let anew = Claim { released: Some(Revision(6)), ..pending(dispatch(1, 2)) };
    let taken = Do::Write(anew, Expect::At(Revision(6)));
    assert_eq!(at(&mut later, found), taken);
}

/// A platform, agents and sendings of one booking whose steps are interleaved at random.
struct World {
    rng: ChaCha8Rng,
    object: Option<(u64, Claim)>,
    revision: u64,
    /// The revision at which the claim was last given up.
    released: u64,
    agents: Vec<(Incarnation, Record)>,
    runs: u32,
    serial: u64,
    now: Time,
}

struct Sending {
    run: ClaimRun,
    next: Do,
    /// The platform's revision when it first read the claim; from then on it is under way.
    under_way: Option<u64>,
    /// Another sending was told `not-run` while this one was under way.
    barred: bool,
}

enum Told {
    Answer,
    Refused(bool),
    Died,
}

impl World {
    fn new(seed: u64) -> World {
        let agents = (0..3).map(|n| (Incarnation(n), Record::with_capacity(8))).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        World {
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

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    fn target(&mut self) -> Dispatch {
        let agent = self.rng.next_u32() as usize % self.agents.len();
        self.serial += 1;
        let mut target = dispatch(agent as u64, self.serial);
        target.incarnation = self.agents[agent].0;
        target
    }

    fn agent(&mut self, to: &Dispatch) -> Option<&mut Record> {
        let mut agents = self.agents.iter_mut();
        agents.find(|(incarnation, _)| *incarnation == to.incarnation).map(|(_, record)| record)
    }

    fn write(&mut self, claim: Claim, expect: Expect) -> Event {
        if self.chance(10) {
            return Event::Down;
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
        if self.chance(15) { Event::Lost } else { Event::Written(Revision(self.revision)) }
    }

    fn send(&mut self, sending: &mut Sending) -> Do {
        let to = sending.run.mine().clone();
        let (lost_before, refuses, lost_after) =
            (self.chance(15), self.chance(20), self.chance(25));
        let started = !lost_before
            && !refuses
            && self.agent(&to).is_some_and(|record| record.start(to.request).is_ok());
        if started {
            assert!(!sending.barred, "it runs although another sending was told not-run");
            self.runs += 1;
            let record = self.agent(&to).expect("it just started there");
            record.finish(to.request, VoidReply::Ran(Some(answer())));
        }
        if lost_before || (started && lost_after) {
            return sending.run.lost(self.now);
        }
        if started {
            return sending.run.finish(answer(), self.now);
        }
        let next = self.target();
        if self.chance(30) {
            sending.run.release(Code::EndpointFull)
        } else {
            sending.run.move_to(next)
        }
    }

    fn step(&mut self, sending: &mut Sending) -> Option<Told> {
        if self.chance(3) {
            return Some(Told::Died);
        }
        if self.chance(2) {
            let agent = self.rng.next_u32() as usize % self.agents.len();
            let incarnation = Incarnation(self.agents[agent].0.0 + 100);
            self.agents[agent] = (incarnation, Record::with_capacity(8));
        }
        let event = match sending.next.clone() {
            Do::Answer(_) => return Some(Told::Answer),
            Do::Refuse(Code::Voided) if !sending.run.is_not_run() => {
                let next = self.target();
                let gives_up = self.chance(30);
                let run = &mut sending.run;
                sending.next = if gives_up { run.release(Code::Voided) } else { run.move_to(next) };
                return None;
            }
            Do::Refuse(_) => return Some(Told::Refused(sending.run.is_not_run())),
            Do::Dispatch => {
                sending.next = self.send(sending);
                return None;
            }
            Do::Read if self.chance(10) => Event::Down,
            Do::Read => Event::Found(self.object.clone().map(|(r, claim)| (Revision(r), claim))),
            Do::Write(claim, expect) => self.write(claim, expect),
            Do::AskAgent(_) if self.chance(15) => Event::Agent(None),
            Do::AskAgent(to) => {
                let reply = self.agent(&to).map(|record| record.void(to.request));
                Event::Agent(Some(reply.unwrap_or(VoidReply::Unknown)))
            }
            Do::Wait(span) => {
                self.now = self.now + span;
                Event::Waited
            }
        };
        if matches!(event, Event::Found(_)) {
            sending.under_way.get_or_insert(self.revision);
        }
        sending.next = sending.run.step(event, self.now);
        None
    }
}

// Callers send the same booking again and again through several entries while entries die between
// any two steps, agents restart, writes fail or lose their answers, and messages are lost before
// or after the booking ran. The booking runs once at most. Whoever is told `not-run` is told so of
// a booking that has not run, and that no sending then under way will run.
#[test]
fn step_under_all_faults() {
    let mut answered = HashMap::new();
    for seed in 0..4_000 {
        let mut world = World::new(seed);
        let mut sendings: Vec<Sending> = Vec::new();
        let mut sent = 0;
        while sent < 4 || !sendings.is_empty() {
            if sent < 4 && (sendings.is_empty() || world.chance(10)) {
                let target = world.target();
                let (run, next) = ClaimRun::start(body(), target, DEADLINE, world.now);
                sendings.push(Sending { run, next, under_way: None, barred: false });
                sent += 1;
            }
            let chosen = world.rng.next_u32() as usize % sendings.len();
            let mut sending = sendings.swap_remove(chosen);
            let was_not_run = sending.run.is_not_run();
            let told = world.step(&mut sending);
            if sending.run.is_not_run() && !was_not_run {
                assert_eq!(world.runs, 0, "seed {seed}: not-run is said of a booking that ran");
                for beside in &mut sendings {
                    beside.barred |= beside.under_way.is_some_and(|at| at < world.released);
                }
            }
            match told {
                None => sendings.push(sending),
                Some(Told::Answer) => *answered.entry("answer").or_insert(0) += 1,
                Some(Told::Died) => {}
                Some(Told::Refused(not_run)) => {
                    *answered.entry(if not_run { "not-run" } else { "unknown" }).or_insert(0) += 1;
                }
            }
        }
        assert!(world.runs <= 1, "seed {seed}: the booking ran {} times", world.runs);
    }
    assert!(answered["answer"] > 5_000 && answered["not-run"] > 100, "{answered:?}");
}
