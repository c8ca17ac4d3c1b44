//! Checks the answers that callers received against the runs at endpoints.

use mastichaven_core::Outcome;
use todc_utils::Action;

use crate::history::Answer;
use crate::history::Call;
use crate::history::History;
use crate::linearizability::BookingOp;
use crate::linearizability::BookingRegister;
use crate::linearizability::is_linearizable;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Checks that every call returns, and that an answer with code `Ok` is complete and belongs to the
/// caller's own request.
pub(crate) fn check_whole_answers(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::WholeAnswers);
    for call in history.calls().values() {
        let (at, defect) = match call.returned {
            None => (call.invoked, Some("has no answer")),
            Some((at, answer)) => (at, answer_defect(call, answer)),
        };
        verdict.examine(at, defect.is_none(), || {
            format!("{:?} {}", call.request.call, defect.unwrap_or_default())
        });
    }
    verdict
}

fn answer_defect(call: &Call<'_>, answer: &Answer) -> Option<&'static str> {
    let Answer::Final { outcome: Outcome::Ran, about, parts, code, .. } = answer else {
        return None;
    };
    if *code != mastichaven_core::Code::Ok.number() {
        return None;
    }
    if about.as_ref() != Some(&call.request.about) {
        return Some("was answered with the result of another request");
    }
    match call.request.parts {
        Some(expected) if !parts.iter().copied().eq(0..expected) => {
            Some("received parts with a gap, a repetition or an early end")
        }
        _ => None,
    }
}

/// Checks that each run can be attributed to an earlier call that may have run.
///
/// `not-run` applies to one call: if a resend is answered `not-run`, an earlier call under the same
/// key may still have run.
pub(crate) fn check_not_run(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::NotRunIsTrue);
    let began = history.began_events_by_work();
    for (work, calls) in history.calls_by_work() {
        let not_run = calls.iter().filter(|call| call.is_confirmed_not_run()).count();
        if not_run == 0 {
            continue;
        }
        let began = began.get(work).map_or(&[][..], Vec::as_slice);
        let has_cause =
            |at: &u64| calls.iter().any(|call| !call.is_confirmed_not_run() && call.invoked < *at);
        let unexplained = began.iter().find(|at| !has_cause(at));
        let at = unexplained.copied().unwrap_or_default();
        verdict.examine(at, unexplained.is_none(), || {
            format!("{work} began without a call that may have run it; {not_run} calls did not run")
        });
    }
    verdict
}

/// Checks that no non-idempotent request begins twice, and that all its calls return the result of
/// that one run.
pub(crate) fn check_at_most_once(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::AtMostOnce);
    let began = history.began_events_by_work();
    for (work, calls) in history.calls_by_work() {
        if calls.iter().any(|call| call.request.idempotent) {
            continue;
        }
        let began = began.get(work).map_or(&[][..], Vec::as_slice);
        let at = began.last().copied().unwrap_or_default();
        verdict.examine(at, began.len() <= 1, || format!("{work} began {} times", began.len()));
        let same_result = is_linearizable::<BookingRegister>(booking_actions(&calls));
        verdict.examine(at, same_result, || format!("calls of {work} returned different results"));
    }
    verdict
}

/// Converts the calls of one `work` to a history of [`BookingRegister`].
///
/// Calls without a known outcome are left out because they may or may not have taken effect. They
/// are only promised to take effect at most once, which the number of runs shows.
fn booking_actions(calls: &[Call<'_>]) -> Vec<(usize, Action<BookingOp>)> {
    let mut actions = Vec::new();
    for (process, call) in calls.iter().enumerate() {
        let Some((at, Answer::Final { outcome, result, .. })) = call.returned else {
            continue;
        };
        let op = match (outcome, result) {
            (Outcome::Ran, Some(result)) => BookingOp::Ran(*result),
            (Outcome::NotRun, _) => BookingOp::NotRun,
            _ => continue,
        };
        actions.push((call.invoked, process, Action::Call(op)));
        actions.push((at, process, Action::Response(op)));
    }
    actions.sort_by_key(|(at, ..)| *at);
    actions.into_iter().map(|(_, process, action)| (process, action)).collect()
}
