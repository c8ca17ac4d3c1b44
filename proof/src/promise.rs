//! The promises to callers and operators, and the verdicts of their checkers.

use crate::answers;
use crate::drain;
use crate::generations;
use crate::graceful_stop;
use crate::history::Event;
use crate::history::History;
use crate::history::Observation;
use crate::history::Step;
use crate::load;
use crate::weights;

/// A property that every history must satisfy.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// Every answer comes from the complete weights of one version.
    WholeWeights,
    /// An endpoint never runs more requests than its capacity.
    BearableLoad,
    /// A zone taken out of service gets no new requests once the whole fleet has applied it.
    ZoneOut,
    /// Every call returns, with the complete answer to its own request if that succeeded.
    WholeAnswers,
    /// A call answered `not-run` did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving host gets no new requests once it no longer reports itself ready.
    Leaving,
    /// A planned stop cuts off no request in flight.
    GracefulStop,
    /// An accepted configuration takes effect in every process and never reverts.
    Configuration,
}

impl Promise {
    /// All promises, in the order in which they are checked.
    pub const ALL: [Promise; 9] = [
        Promise::WholeWeights,
        Promise::BearableLoad,
        Promise::ZoneOut,
        Promise::WholeAnswers,
        Promise::NotRunIsTrue,
        Promise::AtMostOnce,
        Promise::Leaving,
        Promise::GracefulStop,
        Promise::Configuration,
    ];
}

/// One violation of a promise in a history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Sequence number of the event that violates the promise.
    pub sequence: u64,
    /// Description of the violation, for readers of the report.
    pub detail: String,
}

impl Violation {
    /// The events that led to the violation: all events of the same `work`, and each endpoint loss
    /// and fault injection between the first and the last of them.
    pub fn trace<'a>(&self, history: &'a History) -> Vec<&'a Event> {
        let events = history.events();
        let is_violating = |event: &&Event| event.sequence == self.sequence;
        let work = events.iter().find(is_violating).and_then(|event| event.work(events));
        let Some(work) = work else {
            return events.iter().filter(is_violating).collect();
        };
        let related: Vec<u64> = events
            .iter()
            .filter(|event| event.work(events).as_ref() == Some(&work))
            .map(|event| event.sequence)
            .collect();
        let (first, last) = (related[0], related[related.len() - 1]);
        let is_fault_between = |event: &Event| {
            (first..=last).contains(&event.sequence)
                && matches!(event.step, Step::Seen(Observation::Lost | Observation::Injected(_)))
        };
        events.iter().filter(|e| related.contains(&e.sequence) || is_fault_between(e)).collect()
    }
}

/// The result of checking one promise against a history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The promise that was checked.
    pub promise: Promise,
    /// Number of checks made. A verdict of 0 checks proves nothing, so tests of runs require some.
    pub examined: usize,
    /// The checks that failed, in the order in which the checker made them.
    pub violations: Vec<Violation>,
}

impl Verdict {
    pub(crate) fn new(promise: Promise) -> Verdict {
        Verdict { promise, examined: 0, violations: Vec::new() }
    }

    /// Counts one check, and adds a violation at event `sequence` if `holds` is false.
    pub(crate) fn examine(&mut self, sequence: u64, holds: bool, detail: impl FnOnce() -> String) {
        self.examined += 1;
        if !holds {
            self.violations.push(Violation { sequence, detail: detail() });
        }
    }
}

/// Checks one promise against `history`.
pub fn check(promise: Promise, history: &History) -> Verdict {
    match promise {
        Promise::WholeWeights => weights::check(history),
        Promise::BearableLoad => load::check(history),
        Promise::ZoneOut => drain::check_zones(history),
        Promise::WholeAnswers => answers::check_whole_answers(history),
        Promise::NotRunIsTrue => answers::check_not_run(history),
        Promise::AtMostOnce => answers::check_at_most_once(history),
        Promise::Leaving => drain::check_hosts(history),
        Promise::GracefulStop => graceful_stop::check(history),
        Promise::Configuration => generations::check(history),
    }
}

/// Checks every promise against `history`, in the order of [`Promise::ALL`].
pub fn check_all(history: &History) -> Vec<Verdict> {
    Promise::ALL.iter().map(|promise| check(*promise, history)).collect()
}
