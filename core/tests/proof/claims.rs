use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::Time;
use mastichaven_core::claim::ClaimRun;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::claim::Do;
use mastichaven_core::claim::Event;
use mastichaven_core::claim::PATIENCE;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::ids::Revision;

const DEADLINE: Time = Time::from_millis(1_500);

/// What each call to platform or agent takes.
const CALL: Duration = Duration::from_millis(2);

/// Steps after which a run counts as endless; hours of its time.
const MAX_STEPS: usize = 1_000_000;

fn dispatch() -> Dispatch {
    Dispatch {
        request: RequestId(7),
        agent: "agent-booking-0".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: Incarnation(1),
    }
}

/// Runs a claim whose agent died with the request while the platform is well, and gives the code
/// and the time of the final answer.
fn run_agent_lost() -> Option<(Code, Time)> {
    let mut now = Time::ZERO;
    let (mut run, mut next) = ClaimRun::start(Digest::of(b"body"), dispatch(), DEADLINE, now);
    let mut object = None;
    for revision in 1..MAX_STEPS {
        now = now + CALL;
        next = match next {
            Do::Read => run.step(Event::Found(object.clone()), now),
            Do::Write(claim, _) => {
                let revision = Revision(revision as u64);
                object = Some((revision, claim));
                run.step(Event::Written(revision), now)
            }
            Do::Dispatch => run.lost(now),
            Do::AskAgent(_) => run.step(Event::Agent(None), now),
            Do::Wait(span) => {
                now = now + span;
                run.step(Event::Waited, now)
            }
            Do::Refuse(code) => return Some((code, now)),
            Do::Answer(_) => return None,
        };
    }
    None
}

/// The host of the booking desk dies with a booking, and the platform goes on answering that the
/// claim is pending. Each of its answers was taken for progress, so the entry asked for ever and
/// the member at the telephone never heard what became of the booking.
#[test]
fn step_agent_lost_ends() {
    let (code, ended) = run_agent_lost().expect("the run ends with a refusal");
    assert_eq!(code.outcome(), Outcome::Unknown, "{code}");
    assert!(ended <= DEADLINE + PATIENCE * 2, "{ended:?}");
}
