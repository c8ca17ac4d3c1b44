//! Checks that no endpoint has more work than it bears.

use crate::history::History;
use crate::history::Seen;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Each request that an endpoint takes up finds room.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::BearableLoad);
    for event in history.events() {
        if let Step::Seen(Seen::Began { work, running, bears, .. }) = &event.step {
            verdict.examine(event.sequence, running <= bears, || {
                format!("{:?} bears {bears} and got {work} as number {running}", event.process)
            });
        }
    }
    verdict
}
