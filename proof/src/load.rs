//! Checks that no endpoint has more work than it bears.

use std::collections::BTreeSet;

use crate::history::History;
use crate::history::Process;
use crate::history::Seen;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Each request that an endpoint takes up finds room.
///
/// An endpoint that turns cold unasked gives no sign of it. The first request over its new limit
/// is what shows it, so that one is allowed; the next is not.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::BearableLoad);
    let mut cold: BTreeSet<&Process> = BTreeSet::new();
    for event in history.events() {
        match &event.step {
            Step::Seen(Seen::TurnedCold) => {
                cold.insert(&event.process);
            }
            Step::Seen(Seen::Began { work, running, bears, .. }) => {
                let borne = running <= bears || cold.remove(&event.process);
                verdict.examine(event.sequence, borne, || {
                    format!("{:?} bears {bears} and got {work} as number {running}", event.process)
                });
            }
            _ => {}
        }
    }
    verdict
}
