//! Checks that accepted configurations take effect in every process and never revert.

use std::collections::BTreeMap;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use todc_utils::Action;

use crate::history::History;
use crate::history::Observation;
use crate::history::Op;
use crate::history::Process;
use crate::history::Return;
use crate::history::Step;
use crate::linearizability::GenerationObject;
use crate::linearizability::GenerationOp;
use crate::linearizability::is_linearizable;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Checks that generations never decrease in a process, that each has one content, that the highest
/// one settles, and that the accepted generation is linearizable.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::Configuration);
    check_processes(history, &mut verdict);
    check_settled(history, &mut verdict);
    let actions = generation_actions(history);
    if !actions.is_empty() {
        let linearizable = is_linearizable::<GenerationObject>(actions);
        verdict
            .examine(0, linearizable, || "the accepted generation is not linearizable".to_owned());
    }
    verdict
}

fn check_processes(history: &History, verdict: &mut Verdict) {
    let mut in_force: BTreeMap<&Process, Generation> = BTreeMap::new();
    let mut contents: BTreeMap<Generation, Digest> = BTreeMap::new();
    for event in history.events() {
        match &event.step {
            Step::Seen(Observation::Started) => {
                in_force.remove(&event.process);
            }
            Step::Seen(Observation::InForce(generation)) => {
                let previous = in_force.insert(&event.process, *generation);
                let monotonic = previous.is_none_or(|previous| previous <= *generation);
                verdict.examine(event.sequence, monotonic, || {
                    format!("{:?} reverted from {previous:?} to {generation}", event.process)
                });
            }
            Step::Return(Return::Accepted { content, generation }) => {
                let same_content = *contents.entry(*generation).or_insert(*content) == *content;
                verdict.examine(event.sequence, same_content, || {
                    format!("generation {generation} was accepted for two configurations")
                });
            }
            _ => {}
        }
    }
}

/// Checks that the highest accepted generation settled before the run ended.
fn check_settled(history: &History, verdict: &mut Verdict) {
    let mut highest = None;
    let mut settled = Generation(0);
    for event in history.events() {
        match &event.step {
            Step::Return(Return::Accepted { generation, .. }) => {
                highest = highest.max(Some((*generation, event.sequence)));
            }
            Step::Seen(Observation::Settled(generation)) => settled = settled.max(*generation),
            _ => {}
        }
    }
    if let Some((generation, at)) = highest {
        verdict.examine(at, settled >= generation, || {
            format!("generation {generation} was accepted but never in force everywhere")
        });
    }
}

/// The operations on the platform's accepted generation, as input of [`is_linearizable`].
///
/// A publish operation whose answer was lost is left out: reads show whether it took effect, and
/// [`GenerationObject`] allows a read to return a generation that no known write accepted.
pub fn generation_actions(history: &History) -> Vec<(usize, Action<GenerationOp>)> {
    let mut actions = Vec::new();
    let mut pending: BTreeMap<&Process, usize> = BTreeMap::new();
    let mut next_operation = 0;
    for event in history.events() {
        let op = match &event.step {
            Step::Invoke(Op::Publish(_) | Op::ReadAccepted) => {
                pending.insert(&event.process, next_operation);
                actions.push((next_operation, None));
                next_operation += 1;
                continue;
            }
            Step::Return(Return::Accepted { generation, .. }) => GenerationOp::Write(*generation),
            Step::Return(Return::Held(generation)) => GenerationOp::Read(*generation),
            _ => continue,
        };
        if let Some(operation) = pending.remove(&event.process) {
            actions.push((operation, Some(op)));
        }
    }
    fill_in_calls(&actions)
}

/// Sets the operation of each call from its return, and drops calls that never returned.
fn fill_in_calls(actions: &[(usize, Option<GenerationOp>)]) -> Vec<(usize, Action<GenerationOp>)> {
    let returned: BTreeMap<usize, GenerationOp> =
        actions.iter().filter_map(|(operation, op)| op.map(|op| (*operation, op))).collect();
    let mut completed = Vec::new();
    for (operation, op) in actions {
        match (op, returned.get(operation)) {
            (Some(op), _) => completed.push((*operation, Action::Response(*op))),
            (None, Some(op)) => completed.push((*operation, Action::Call(*op))),
            (None, None) => {}
        }
    }
    completed
}
