//! The nine promises, and what a checker says of each.

use crate::answers;
use crate::closed;
use crate::generations;
use crate::history::Event;
use crate::history::History;
use crate::history::Seen;
use crate::history::Step;
use crate::load;
use crate::stops;
use crate::weights;

/// What must always hold.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// Nobody is answered from partial or mixed weights.
    WholeWeights,
    /// An endpoint never has more work than it can bear.
    BearableLoad,
    /// A zone that is out gets no new work once that is known.
    ZoneOut,
    /// Every caller gets the whole answer to its own request.
    WholeAnswers,
    /// What a caller is told did not run, did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work once that is known.
    Leaving,
    /// A planned stop cuts off no request in progress.
    GracefulStop,
    /// An accepted configuration comes into force everywhere and never reverts.
    Configuration,
}

impl Promise {
    /// Every promise.
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

/// A promise that a history breaks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// The event that breaks it.
    pub sequence: u64,
    /// What is wrong, for people.
    pub detail: String,
}

impl Breach {
    /// The events that tell how it came about: all that name the same work, and every loss of an
    /// endpoint and every fault between them.
    pub fn trace<'a>(&self, history: &'a History) -> Vec<&'a Event> {
        let events = history.events();
        let named = |event: &&Event| event.sequence == self.sequence;
        let work = events.iter().find(named).and_then(|event| event.work(events));
        let Some(work) = work else {
            return events.iter().filter(named).collect();
        };
        let about: Vec<u64> = events
            .iter()
            .filter(|event| event.work(events).as_ref() == Some(&work))
            .map(|event| event.sequence)
            .collect();
        let (first, last) = (about[0], about[about.len() - 1]);
        let between = |event: &Event| {
            (first..=last).contains(&event.sequence)
                && matches!(event.step, Step::Seen(Seen::Lost | Seen::Injected(_)))
        };
        events.iter().filter(|e| about.contains(&e.sequence) || between(e)).collect()
    }
}

/// What a checker says of a history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// What was checked.
    pub promise: Promise,
    /// Events that could have broken it. A verdict over none proves nothing, so tests of runs ask
    /// for some.
    pub examined: usize,
    /// Those that did.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    pub(crate) fn new(promise: Promise) -> Verdict {
        Verdict { promise, examined: 0, breaches: Vec::new() }
    }

    /// Counts one examined event, and a breach if `holds` is false.
    pub(crate) fn examine(&mut self, sequence: u64, holds: bool, detail: impl FnOnce() -> String) {
        self.examined += 1;
        if !holds {
            self.breaches.push(Breach { sequence, detail: detail() });
        }
    }
}

/// Checks one promise.
pub fn check(promise: Promise, history: &History) -> Verdict {
    match promise {
        Promise::WholeWeights => weights::check(history),
        Promise::BearableLoad => load::check(history),
        Promise::ZoneOut => closed::check_zones(history),
        Promise::WholeAnswers => answers::check_whole(history),
        Promise::NotRunIsTrue => answers::check_not_run(history),
        Promise::AtMostOnce => answers::check_at_most_once(history),
        Promise::Leaving => closed::check_hosts(history),
        Promise::GracefulStop => stops::check(history),
        Promise::Configuration => generations::check(history),
    }
}

/// Checks all nine.
pub fn check_all(history: &History) -> Vec<Verdict> {
    Promise::ALL.iter().map(|promise| check(*promise, history)).collect()
}
