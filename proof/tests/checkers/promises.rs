use mastichaven_core::Code;
use mastichaven_core::ids::Generation;
use mastichaven_proof::Answer;
use mastichaven_proof::Observation;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Promise;

use crate::history_builder::HistoryBuilder;
use crate::history_builder::booking_answer;
use crate::history_builder::coded_answer;
use crate::history_builder::streamed_answer;
use crate::history_builder::version;
use crate::history_builder::weights;

/// A valid history that exercises every promise passes all checkers.
#[test]
fn check_all_valid_history() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.complete_lookup("draft");
    builder.complete_booking("pen-7", 1);
    let refused = builder.send_request("pen-8", false);
    builder.return_answer(refused, coded_answer(Code::Shed));
    builder.accept_config("zone b out", 2);
    for name in ["a", "e"] {
        builder.observe(name, Observation::InForce(Generation(2)));
    }
    builder.observe("e", Observation::Settled(Generation(2)));
    builder.observe("e", Observation::ZoneClosed("zone-b".into()));
    builder.complete_lookup("while b is out");
    let running = builder.send_request("last", true);
    builder.begin_request("a", "last", 1);
    builder.begin_stop("a");
    builder.observe("a", Observation::HostClosed("a".into()));
    builder.end_request("a", "last");
    builder.return_answer(running, streamed_answer("last", &[0, 1, 2], &["old"]));
    builder.end_stop("a");
    let late = builder.send_request("late", true);
    builder.begin_request("c", "late", 1);
    builder.end_request("c", "late");
    builder.return_answer(late, streamed_answer("late", &[0, 1, 2], &["old"]));
    for promise in Promise::ALL {
        builder.assert_holds(promise);
    }
}

/// An engine is ordered to load while a chunk is missing, so it answers from partial weights and
/// reports no error.
#[test]
fn check_whole_weights_partial_load() {
    let builder = HistoryBuilder::with_fleet();
    builder.observe(
        "a",
        Observation::Loaded { version: version("new"), weights: weights("half of new") },
    );
    assert_eq!(builder.violations(Promise::WholeWeights).len(), 1);
}

/// A stream is resumed on an engine with another version, so one answer mixes the output of two
/// versions.
#[test]
fn check_whole_weights_mixed_versions() {
    let mut builder = HistoryBuilder::with_fleet();
    let call = builder.send_request("draft", true);
    builder.return_answer(call, streamed_answer("draft", &[0, 1, 2], &["old", "new"]));
    assert_eq!(builder.violations(Promise::WholeWeights).len(), 1);
}

/// Two entries each send two requests to a cold engine with a capacity of two. The engine crashes
/// with all four in flight.
#[test]
fn check_bearable_load_over_capacity() {
    let builder = HistoryBuilder::with_fleet();
    builder.begin_request("a", "first", 1);
    builder.begin_request("a", "second", 2);
    assert_eq!(builder.violations(Promise::BearableLoad), [""; 0]);
    builder.begin_request("a", "third", 3);
    assert_eq!(builder.violations(Promise::BearableLoad).len(), 1);
}

/// An engine turns cold without reporting it. The first request over its capacity is unavoidable; an
/// agent that does not react to it crashes the engine again and again.
#[test]
fn check_bearable_load_turned_cold() {
    let builder = HistoryBuilder::with_fleet();
    builder.observe("a", Observation::TurnedCold);
    builder.begin_request("a", "first", 3);
    assert_eq!(builder.violations(Promise::BearableLoad), [""; 0]);
    builder.begin_request("a", "second", 3);
    assert_eq!(builder.violations(Promise::BearableLoad).len(), 1);
}

/// An entry with a stale configuration still sends requests to a zone that operators are about to
/// switch off, and those requests are lost.
#[test]
fn check_zone_out_new_request() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.send_request("sent before", true);
    builder.observe("e", Observation::ZoneClosed("zone-b".into()));
    builder.begin_request("b", "sent before", 1);
    assert_eq!(builder.violations(Promise::ZoneOut), [""; 0]);
    builder.send_request("sent after", true);
    builder.begin_request("b", "sent after", 1);
    assert_eq!(builder.violations(Promise::ZoneOut).len(), 1);
    builder.recorder.record_invocation(Process::Operator(0), Op::Reopen("zone-b".into()));
    builder.send_request("sent on return", true);
    builder.begin_request("b", "sent on return", 1);
    assert_eq!(builder.violations(Promise::ZoneOut).len(), 1);
}

/// Two answers on one connection are swapped, so a caller gets the result of another request.
#[test]
fn check_whole_answers_other_subject() {
    let mut builder = HistoryBuilder::with_fleet();
    let call = builder.send_request("draft", true);
    builder.return_answer(call, streamed_answer("another draft", &[0, 1, 2], &["old"]));
    assert_eq!(builder.violations(Promise::WholeAnswers).len(), 1);
}

/// A resumed stream repeats a token, skips one or ends early without an error. The caller cannot
/// detect that the text is not what the model generated.
#[test]
fn check_whole_answers_wrong_parts() {
    for parts in [&[0, 1, 1, 2][..], &[0, 2], &[0, 1], &[]] {
        let mut builder = HistoryBuilder::with_fleet();
        let call = builder.send_request("draft", true);
        builder.return_answer(call, streamed_answer("draft", parts, &["old"]));
        assert_eq!(builder.violations(Promise::WholeAnswers).len(), 1, "{parts:?}");
    }
}

/// An entry drops a request when its agent crashes, so the caller never gets an answer.
#[test]
fn check_whole_answers_no_return() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.send_request("report", true);
    assert_eq!(builder.violations(Promise::WholeAnswers).len(), 1);
}

/// An entry infers `not-run` from a timeout while the request is still in flight. A caller who trusts
/// the answer books by other means, and the booking is made twice.
#[test]
fn check_not_run_began_later() {
    let mut builder = HistoryBuilder::with_fleet();
    let call = builder.send_request("pen-7", false);
    builder.return_answer(call, coded_answer(Code::Shed));
    assert_eq!(builder.violations(Promise::NotRunIsTrue), [""; 0]);
    builder.begin_request("a", "pen-7", 1);
    assert_eq!(builder.violations(Promise::NotRunIsTrue).len(), 1);
}

/// A call is answered `not-run`, and a resend under the same key runs. This is the intended use of
/// `not-run` and no violation.
#[test]
fn check_not_run_resend_ran() {
    let mut builder = HistoryBuilder::with_fleet();
    let call = builder.send_request("pen-7", false);
    builder.return_answer(call, coded_answer(Code::Shed));
    builder.complete_booking("pen-7", 1);
    builder.assert_holds(Promise::NotRunIsTrue);
    builder.assert_holds(Promise::AtMostOnce);
}

/// The answer to a booking is lost, and an entry retries the booking on another endpoint. The booking
/// is billed twice.
#[test]
fn check_at_most_once_second_run() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.complete_booking("pen-7", 1);
    builder.begin_request("c", "pen-7", 1);
    assert_eq!(builder.violations(Promise::AtMostOnce).len(), 1);
}

/// A resend is answered with the result of another booking, although nothing ran twice. A caller who
/// cancels by that result cancels another booking.
#[test]
fn check_at_most_once_different_results() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.complete_booking("pen-7", 1);
    let resent = builder.send_request("pen-7", false);
    builder.return_answer(resent, booking_answer("pen-7", 2));
    assert_eq!(builder.violations(Promise::AtMostOnce).len(), 1);
}

/// An agent that is shutting down still admits a request from a slow entry. The request runs on a host
/// that is about to be removed.
#[test]
fn check_leaving_new_request() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.begin_stop("a");
    builder.observe("a", Observation::HostClosed("a".into()));
    builder.send_request("draft", true);
    builder.begin_request("a", "draft", 1);
    assert_eq!(builder.violations(Promise::Leaving).len(), 1);
}

/// An agent ends while its engine is still streaming, so a planned update truncates the answer.
#[test]
fn check_graceful_stop_cut_at_agent() {
    let mut builder = HistoryBuilder::with_fleet();
    builder.send_request("draft", true);
    builder.begin_request("a", "draft", 1);
    builder.begin_stop("a");
    builder.end_stop("a");
    assert_eq!(builder.violations(Promise::GracefulStop).len(), 1);
}

/// An entry closes a connection in the middle of an answer. A call after the port is closed is not
/// taken, which is no violation.
#[test]
fn check_graceful_stop_cut_at_entry() {
    let mut builder = HistoryBuilder::with_fleet();
    let call = builder.send_request("draft", true);
    builder.begin_stop("e");
    builder.return_answer(call, Answer::Cut { answering: true });
    builder.end_stop("e");
    assert_eq!(builder.violations(Promise::GracefulStop).len(), 1);
    let late = builder.send_request("sent when the port is closed", true);
    builder.return_answer(late, Answer::NotTaken);
    assert_eq!(builder.violations(Promise::GracefulStop).len(), 1);
}

/// A process adopts an older generation from a peer that was partitioned, so limits that operators
/// raised are lowered again for some callers.
#[test]
fn check_configuration_reverts() {
    let builder = HistoryBuilder::with_fleet();
    builder.accept_config("second", 2);
    builder.observe("a", Observation::InForce(Generation(2)));
    builder.observe("a", Observation::Settled(Generation(2)));
    builder.observe("a", Observation::InForce(Generation(1)));
    assert_eq!(builder.violations(Promise::Configuration).len(), 1);
}

/// One process never receives an accepted configuration.
#[test]
fn check_configuration_never_settles() {
    let builder = HistoryBuilder::with_fleet();
    builder.accept_config("second", 2);
    assert_eq!(builder.violations(Promise::Configuration).len(), 1);
}

/// Two concurrent publish operations both return generation 2, so the content of one is lost without
/// an error.
#[test]
fn check_configuration_two_contents() {
    let builder = HistoryBuilder::with_fleet();
    builder.accept_config("mine", 2);
    builder.accept_config("theirs", 2);
    builder.observe("a", Observation::Settled(Generation(2)));
    assert_eq!(builder.violations(Promise::Configuration).len(), 1);
}
