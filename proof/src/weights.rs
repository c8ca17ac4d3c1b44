//! Checks that answers come from whole weights of one version.

use std::collections::BTreeMap;

use mastichaven_core::Outcome;
use mastichaven_core::ids::Digest;

use crate::history::Answer;
use crate::history::History;
use crate::history::Return;
use crate::history::Seen;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// An engine reads exactly the bytes its version stands for, and each answer names one version.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::WholeWeights);
    let mut defined: BTreeMap<Digest, Digest> = BTreeMap::new();
    for event in history.events() {
        match &event.step {
            Step::Seen(Seen::Defined { version, weights }) => {
                defined.insert(*version, *weights);
            }
            Step::Seen(Seen::Loaded { version, weights }) => {
                let whole = defined.get(version) == Some(weights);
                verdict.examine(event.sequence, whole, || {
                    format!("{:?} loaded other bytes than {version} stands for", event.process)
                });
            }
            Step::Return(Return::Answer { call, answer }) => {
                let Answer::Final { outcome: Outcome::Ran, parts, versions, .. } = answer else {
                    continue;
                };
                if parts.is_empty() {
                    continue;
                }
                let one = versions.len() == 1 && defined.contains_key(&versions[0]);
                verdict.examine(event.sequence, one, || {
                    format!("{call:?} was answered from versions {versions:?}")
                });
            }
            _ => {}
        }
    }
    verdict
}
