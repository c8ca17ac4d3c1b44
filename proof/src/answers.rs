//! Checks what callers were told against what endpoints did.

use mastichaven_core::Outcome;
use todc_utils::Action;

use crate::history::Answer;
use crate::history::Call;
use crate::history::History;
use crate::linear::BookingOp;
use crate::linear::BookingRegister;
use crate::linear::is_linearizable;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Every call returns, and an answer that says `ran` is whole and the caller's own.
pub(crate) fn check_whole(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::WholeAnswers);
    for call in history.calls().values() {
        let (at, fault) = match call.returned {
            None => (call.invoked, Some("has no answer")),
            Some((at, answer)) => (at, fault_of(call, answer)),
        };
        verdict.examine(at, fault.is_none(), || {
            format!("{:?} {}", call.request.call, fault.unwrap_or_default())
        });
    }
    verdict
}

fn fault_of(call: &Call<'_>, answer: &Answer) -> Option<&'static str> {
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
        Some(wanted) if !parts.iter().copied().eq(0..wanted) => {
            Some("got parts with a gap, a repetition or an early end")
        }
        _ => None,
    }
}

/// Whatever began can be put down to a call that was not told `not-run`.
///
/// `not-run` speaks of one call: a resend that is told so says nothing of an earlier call under
/// the same key.
pub(crate) fn check_not_run(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::NotRunIsTrue);
    let began = history.began_by_work();
    for (work, calls) in history.calls_by_work() {
        let told = calls.iter().filter(|call| call.is_told_not_run()).count();
        if told == 0 {
            continue;
        }
        let began = began.get(work).map_or(&[][..], Vec::as_slice);
        let cause =
            |at: &u64| calls.iter().any(|call| !call.is_told_not_run() && call.invoked < *at);
        let causeless = began.iter().find(|at| !cause(at));
        let at = causeless.copied().unwrap_or_default();
        verdict.examine(at, causeless.is_none(), || {
            format!("{work} began, yet its {told} calls were told that it did not run")
        });
    }
    verdict
}

/// No non-idempotent work begins twice, and all its callers see the result of the one run.
pub(crate) fn check_at_most_once(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::AtMostOnce);
    let began = history.began_by_work();
    for (work, calls) in history.calls_by_work() {
        if calls.iter().any(|call| call.request.idempotent) {
            continue;
        }
        let began = began.get(work).map_or(&[][..], Vec::as_slice);
        let at = began.last().copied().unwrap_or_default();
        verdict.examine(at, began.len() <= 1, || format!("{work} began {} times", began.len()));
        let one_result = is_linearizable::<BookingRegister>(actions(&calls));
        verdict.examine(at, one_result, || format!("callers of {work} got different results"));
    }
    verdict
}

/// The calls of one work as a history of a register that is written at most once. Calls without a
/// known outcome are left out: they may or may not have taken effect, and the weaker order that is
/// promised for them is that they take effect at most once, which the count of runs checks.
fn actions(calls: &[Call<'_>]) -> Vec<(usize, Action<BookingOp>)> {
    let mut ends = Vec::new();
    for (process, call) in calls.iter().enumerate() {
        let Some((at, Answer::Final { outcome, result, .. })) = call.returned else {
            continue;
        };
        let op = match (outcome, result) {
            (Outcome::Ran, Some(result)) => BookingOp::Ran(*result),
            (Outcome::NotRun, _) => BookingOp::NotRun,
            _ => continue,
        };
        ends.push((call.invoked, process, Action::Call(op)));
        ends.push((at, process, Action::Response(op)));
    }
    ends.sort_by_key(|(at, ..)| *at);
    ends.into_iter().map(|(_, process, action)| (process, action)).collect()
}
