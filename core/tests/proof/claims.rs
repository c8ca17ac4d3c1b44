use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::Time;
use mastichaven_core::claim::Action;
use mastichaven_core::claim::ClaimMachine;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::claim::Event;
use mastichaven_core::claim::UNREACHABLE_TIMEOUT;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::ids::Revision;

const DEADLINE: Time = Time::from_millis(1_500);

/// Duration of each call to the platform or an agent.
const CALL_DURATION: Duration = Duration::from_millis(2);

/// Steps after which a run counts as endless; equivalent to hours of simulated time.
const MAX_STEPS: usize = 1_000_000;

fn dispatch() -> Dispatch {
    Dispatch {
        request: RequestId(7),
        agent: "agent-booking-0".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: Incarnation(1),
    }
}

/// Runs the claim protocol with a request whose agent died, on a healthy platform, and returns the
/// final code and its time.
fn run_with_agent_lost() -> Option<(Code, Time)> {
    let mut now = Time::ZERO;
    let (mut run, mut next) = ClaimMachine::start(Digest::of(b"body"), dispatch(), DEADLINE, now);
    let mut object = None;
    for revision in 1..MAX_STEPS {
        now = now + CALL_DURATION;
        next = match next {
            Action::Read => run.step(Event::Found(object.clone()), now),
            Action::Write(claim, _) => {
                let revision = Revision(revision as u64);
                object = Some((revision, claim));
                run.step(Event::Written(revision), now)
            }
            Action::Dispatch => run.contact_lost(now),
            Action::QueryAgent(_) => run.step(Event::AgentReply(None), now),
            Action::Wait(span) => {
                now = now + span;
                run.step(Event::Waited, now)
            }
            Action::Refuse(code) => return Some((code, now)),
            Action::Respond(_) => return None,
        };
    }
    None
}

/// The agent dies with a booking while the platform still returns the claim as pending. Each of
/// those reads counted as progress, so the entry repeated its query forever and the caller never
/// got an outcome.
#[test]
fn step_agent_lost() {
    let (code, ended) = run_with_agent_lost().expect("the run ends with a refusal");
    assert_eq!(code.outcome(), Outcome::Unknown, "{code}");
    assert!(ended <= DEADLINE + UNREACHABLE_TIMEOUT * 2, "{ended:?}");
}
