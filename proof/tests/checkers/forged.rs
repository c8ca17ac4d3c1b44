use mastichaven_core::Code;
use mastichaven_core::ids::Generation;
use mastichaven_proof::Answer;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Promise;
use mastichaven_proof::Seen;

use crate::forge::Forge;
use crate::forge::booked;
use crate::forge::coded;
use crate::forge::streamed;
use crate::forge::version;
use crate::forge::weights;

/// Does everything right once, so that every promise has something to be kept by.
#[test]
fn check_all_sound_history() {
    let mut f = Forge::fleet();
    f.lookup("draft");
    f.booking("pen-7", 1);
    let refused = f.send("pen-8", false);
    f.answer(refused, coded(Code::Shed));
    f.accept("zone b out", 2);
    for name in ["a", "e"] {
        f.at(name, Seen::InForce(Generation(2)));
    }
    f.at("e", Seen::Settled(Generation(2)));
    f.at("e", Seen::ZoneClosed("zone-b".into()));
    f.lookup("while b is out");
    let running = f.send("last", true);
    f.begin("a", "last", 1);
    f.stop("a");
    f.at("a", Seen::HostClosed("a".into()));
    f.end("a", "last");
    f.answer(running, streamed("last", &[0, 1, 2], &["old"]));
    f.stopped("a");
    let late = f.send("late", true);
    f.begin("c", "late", 1);
    f.end("c", "late");
    f.answer(late, streamed("late", &[0, 1, 2], &["old"]));
    for promise in Promise::ALL {
        f.assert_kept(promise);
    }
}

/// An engine is told to load while a chunk is still missing. A crew reads a rota drafted from half
/// a model and nothing tells them.
#[test]
fn check_whole_weights_partial_load() {
    let f = Forge::fleet();
    f.at("a", Seen::Loaded { version: version("new"), weights: weights("half of new") });
    assert_eq!(f.breaches(Promise::WholeWeights).len(), 1);
}

/// An engine switches version in the middle of a stream that is resumed elsewhere. The reader sees
/// two models' words in one answer.
#[test]
fn check_whole_weights_mixed_answer() {
    let mut f = Forge::fleet();
    let call = f.send("draft", true);
    f.answer(call, streamed("draft", &[0, 1, 2], &["old", "new"]));
    assert_eq!(f.breaches(Promise::WholeWeights).len(), 1);
}

/// Two entries each believe that they may send two requests to a cold engine that bears two. It
/// falls over with all four.
#[test]
fn check_bearable_load_one_too_many() {
    let f = Forge::fleet();
    f.begin("a", "first", 1);
    f.begin("a", "second", 2);
    assert_eq!(f.breaches(Promise::BearableLoad), [""; 0]);
    f.begin("a", "third", 3);
    assert_eq!(f.breaches(Promise::BearableLoad).len(), 1);
}

/// An engine forgets its warmth and tells nobody. The first request too many cannot be helped; an
/// agent that learns nothing from it lets the engine fall over again and again.
#[test]
fn check_bearable_load_turned_cold() {
    let f = Forge::fleet();
    f.at("a", Seen::TurnedCold);
    f.begin("a", "first", 3);
    assert_eq!(f.breaches(Promise::BearableLoad), [""; 0]);
    f.begin("a", "second", 3);
    assert_eq!(f.breaches(Promise::BearableLoad).len(), 1);
}

/// An entry with an old configuration goes on sending to a zone that operators are about to
/// switch off. The caller's request dies with the zone's power.
#[test]
fn check_zone_out_new_work() {
    let mut f = Forge::fleet();
    f.send("sent before", true);
    f.at("e", Seen::ZoneClosed("zone-b".into()));
    f.begin("b", "sent before", 1);
    assert_eq!(f.breaches(Promise::ZoneOut), [""; 0]);
    f.send("sent after", true);
    f.begin("b", "sent after", 1);
    assert_eq!(f.breaches(Promise::ZoneOut).len(), 1);
    f.recorder.invoke(Process::Operator(0), Op::Reopen("zone-b".into()));
    f.send("sent on return", true);
    f.begin("b", "sent on return", 1);
    assert_eq!(f.breaches(Promise::ZoneOut).len(), 1);
}

/// Two answers on one connection change places. A park ranger reads the darkness summary of
/// another park.
#[test]
fn check_whole_answers_crossed() {
    let mut f = Forge::fleet();
    let call = f.send("draft", true);
    f.answer(call, streamed("another draft", &[0, 1, 2], &["old"]));
    assert_eq!(f.breaches(Promise::WholeAnswers).len(), 1);
}

/// A resumed stream repeats a token, loses one, or ends early with a clean end. The reader cannot
/// tell that the text is not what the model wrote.
#[test]
fn check_whole_answers_parts() {
    for parts in [&[0, 1, 1, 2][..], &[0, 2], &[0, 1], &[]] {
        let mut f = Forge::fleet();
        let call = f.send("draft", true);
        f.answer(call, streamed("draft", parts, &["old"]));
        assert_eq!(f.breaches(Promise::WholeAnswers).len(), 1, "{parts:?}");
    }
}

/// The entry forgets a request when its agent dies. The report vanishes until the nets clog.
#[test]
fn check_whole_answers_none() {
    let mut f = Forge::fleet();
    f.send("report", true);
    assert_eq!(f.breaches(Promise::WholeAnswers).len(), 1);
}

/// A refusal is guessed from a timeout while the frames are still on their way. The dispatcher
/// books again by telephone, and two crews go out.
#[test]
fn check_not_run_ran_after_all() {
    let mut f = Forge::fleet();
    let call = f.send("pen-7", false);
    f.answer(call, coded(Code::Shed));
    assert_eq!(f.breaches(Promise::NotRunIsTrue), [""; 0]);
    f.begin("a", "pen-7", 1);
    assert_eq!(f.breaches(Promise::NotRunIsTrue).len(), 1);
}

/// A caller is told `not-run` and sends again under the same key; the second call runs. That is
/// what `not-run` is for, and no breach.
#[test]
fn check_not_run_resent() {
    let mut f = Forge::fleet();
    let call = f.send("pen-7", false);
    f.answer(call, coded(Code::Shed));
    f.booking("pen-7", 1);
    f.assert_kept(Promise::NotRunIsTrue);
    f.assert_kept(Promise::AtMostOnce);
}

/// The answer to a booking is lost and an entry repeats it on another endpoint. The member is
/// billed twice.
#[test]
fn check_at_most_once_twice() {
    let mut f = Forge::fleet();
    f.booking("pen-7", 1);
    f.begin("c", "pen-7", 1);
    assert_eq!(f.breaches(Promise::AtMostOnce).len(), 1);
}

/// A resend is answered with the result of another booking, though nothing ran twice. The caller
/// cancels somebody else's crew.
#[test]
fn check_at_most_once_other_result() {
    let mut f = Forge::fleet();
    f.booking("pen-7", 1);
    let resent = f.send("pen-7", false);
    f.answer(resent, booked("pen-7", 2));
    assert_eq!(f.breaches(Promise::AtMostOnce).len(), 1);
}

/// An agent that is shutting down still admits what a slow entry sends. The request is on a host
/// that is about to be taken away.
#[test]
fn check_leaving_new_work() {
    let mut f = Forge::fleet();
    f.stop("a");
    f.at("a", Seen::HostClosed("a".into()));
    f.send("draft", true);
    f.begin("a", "draft", 1);
    assert_eq!(f.breaches(Promise::Leaving).len(), 1);
}

/// An agent ends while its engine still writes. The caller's stream stops in mid-sentence during
/// an update that nobody called a fault.
#[test]
fn check_graceful_stop_cut_at_agent() {
    let mut f = Forge::fleet();
    f.send("draft", true);
    f.begin("a", "draft", 1);
    f.stop("a");
    f.stopped("a");
    assert_eq!(f.breaches(Promise::GracefulStop).len(), 1);
}

/// An entry closes its port with a caller's answer half written.
#[test]
fn check_graceful_stop_cut_at_entry() {
    let mut f = Forge::fleet();
    let call = f.send("draft", true);
    f.stop("e");
    f.answer(call, Answer::Cut { answering: true });
    f.stopped("e");
    assert_eq!(f.breaches(Promise::GracefulStop).len(), 1);
    let late = f.send("sent when the port is closed", true);
    f.answer(late, Answer::NotTaken);
    assert_eq!(f.breaches(Promise::GracefulStop).len(), 1);
}

/// A process takes an older generation from a peer that was cut off. Limits that operators raised
/// come down again for some callers.
#[test]
fn check_configuration_reverts() {
    let f = Forge::fleet();
    f.accept("second", 2);
    f.at("a", Seen::InForce(Generation(2)));
    f.at("a", Seen::Settled(Generation(2)));
    f.at("a", Seen::InForce(Generation(1)));
    assert_eq!(f.breaches(Promise::Configuration).len(), 1);
}

/// One process never hears of a configuration that was accepted.
#[test]
fn check_configuration_never_settles() {
    let f = Forge::fleet();
    f.accept("second", 2);
    assert_eq!(f.breaches(Promise::Configuration).len(), 1);
}

/// Two racing operators are both told that they wrote generation 2. One of the two folders is lost
/// without a word.
#[test]
fn check_configuration_two_contents() {
    let f = Forge::fleet();
    f.accept("mine", 2);
    f.accept("theirs", 2);
    f.at("a", Seen::Settled(Generation(2)));
    assert_eq!(f.breaches(Promise::Configuration).len(), 1);
}
