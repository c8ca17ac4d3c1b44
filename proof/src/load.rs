//! Checks that no endpoint runs more requests than its capacity.

use std::collections::BTreeSet;

use crate::history::History;
use crate::history::Observation;
use crate::history::Process;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Checks that each request begins within the capacity of its endpoint.
///
/// An endpoint that turns cold by itself does not report it. Only the first request over the new
/// capacity reveals it, so that one is allowed and the next is not.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::BearableLoad);
    let mut cold: BTreeSet<&Process> = BTreeSet::new();
    for event in history.events() {
        match &event.step {
            Step::Seen(Observation::TurnedCold) => {
                cold.insert(&event.process);
            }
            Step::Seen(Observation::Began { work, running, bears, .. }) => {
                let within_capacity = running <= bears || cold.remove(&event.process);
                verdict.examine(event.sequence, within_capacity, || {
                    format!(
                        "{:?} has capacity {bears} and began {work} as request {running}",
                        event.process
                    )
                });
            }
            _ => {}
        }
    }
    verdict
}
