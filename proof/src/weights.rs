//! Checks that each answer comes from the complete weights of one version.

use std::collections::BTreeMap;

use mastichaven_core::Outcome;
use mastichaven_core::ids::Digest;

use crate::history::Answer;
use crate::history::History;
use crate::history::Observation;
use crate::history::Return;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Checks that engines load exactly the weights of the ordered version, and that each streamed answer
/// names one defined version.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::WholeWeights);
    let mut defined: BTreeMap<Digest, Digest> = BTreeMap::new();
    for event in history.events() {
        match &event.step {
            Step::Seen(Observation::Defined { version, weights }) => {
                defined.insert(*version, *weights);
            }
            Step::Seen(Observation::Loaded { version, weights }) => {
                let complete = defined.get(version) == Some(weights);
                verdict.examine(event.sequence, complete, || {
                    format!(
                        "{:?} loaded bytes that differ from the weights of {version}",
                        event.process
                    )
                });
            }
            Step::Return(Return::Answer { call, answer }) => {
                let Answer::Final { outcome: Outcome::Ran, parts, versions, .. } = answer else {
                    continue;
                };
                if parts.is_empty() {
                    continue;
                }
                let single_version = versions.len() == 1 && defined.contains_key(&versions[0]);
                verdict.examine(event.sequence, single_version, || {
                    format!("{call:?} was answered from versions {versions:?}")
                });
            }
            _ => {}
        }
    }
    verdict
}
