//! Checks that accepted configurations come into force everywhere and never revert.

use std::collections::BTreeMap;

use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use todc_utils::Action;

use crate::history::History;
use crate::history::Op;
use crate::history::Process;
use crate::history::Return;
use crate::history::Seen;
use crate::history::Step;
use crate::linear::GenerationObject;
use crate::linear::GenerationOp;
use crate::linear::is_linearizable;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Generations rise in each process, name one content each, and the last one settles.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::Configuration);
    check_processes(history, &mut verdict);
    check_settled(history, &mut verdict);
    let published = published(history);
    if !published.is_empty() {
        let linear = is_linearizable::<GenerationObject>(published);
        verdict.examine(0, linear, || "the accepted generation is not linearizable".to_owned());
    }
    verdict
}

fn check_processes(history: &History, verdict: &mut Verdict) {
    let mut in_force: BTreeMap<&Process, Generation> = BTreeMap::new();
    let mut contents: BTreeMap<Generation, Digest> = BTreeMap::new();
    for event in history.events() {
        match &event.step {
            Step::Seen(Seen::Started) => {
                in_force.remove(&event.process);
            }
            Step::Seen(Seen::InForce(generation)) => {
                let before = in_force.insert(&event.process, *generation);
                let rises = before.is_none_or(|before| before <= *generation);
                verdict.examine(event.sequence, rises, || {
                    format!("{:?} went back from {before:?} to {generation}", event.process)
                });
            }
            Step::Return(Return::Accepted { content, generation }) => {
                let same = *contents.entry(*generation).or_insert(*content) == *content;
                verdict.examine(event.sequence, same, || {
                    format!("generation {generation} names two configurations")
                });
            }
            _ => {}
        }
    }
}

/// The highest accepted generation was seen in force everywhere before the run ended.
fn check_settled(history: &History, verdict: &mut Verdict) {
    let mut highest = None;
    let mut settled = Generation(0);
    for event in history.events() {
        match &event.step {
            Step::Return(Return::Accepted { generation, .. }) => {
                highest = highest.max(Some((*generation, event.sequence)));
            }
            Step::Seen(Seen::Settled(generation)) => settled = settled.max(*generation),
            _ => {}
        }
    }
    if let Some((generation, at)) = highest {
        verdict.examine(at, settled >= generation, || {
            format!("generation {generation} was accepted and never in force everywhere")
        });
    }
}

/// The operations on the platform's accepted generation, as a history for the library's checker.
///
/// A publisher whose answer was lost is left out: the reads say whether it took effect, and a read
/// of an unnamed generation counts as its write.
pub fn published(history: &History) -> Vec<(usize, Action<GenerationOp>)> {
    let mut actions = Vec::new();
    let mut open: BTreeMap<&Process, usize> = BTreeMap::new();
    let mut operations = 0;
    for event in history.events() {
        let op = match &event.step {
            Step::Invoke(Op::Publish(_) | Op::ReadAccepted) => {
                open.insert(&event.process, operations);
                actions.push((operations, None));
                operations += 1;
                continue;
            }
            Step::Return(Return::Accepted { generation, .. }) => GenerationOp::Write(*generation),
            Step::Return(Return::Held(generation)) => GenerationOp::Read(*generation),
            _ => continue,
        };
        if let Some(operation) = open.remove(&event.process) {
            actions.push((operation, Some(op)));
        }
    }
    with_calls(&actions)
}

/// Gives each call the operation that its return names, and drops calls that never returned.
fn with_calls(actions: &[(usize, Option<GenerationOp>)]) -> Vec<(usize, Action<GenerationOp>)> {
    let returned: BTreeMap<usize, GenerationOp> =
        actions.iter().filter_map(|(process, op)| op.map(|op| (*process, op))).collect();
    let mut whole = Vec::new();
    for (process, op) in actions {
        match (op, returned.get(process)) {
            (Some(op), _) => whole.push((*process, Action::Response(*op))),
            (None, Some(op)) => whole.push((*process, Action::Call(*op))),
            (None, None) => {}
        }
    }
    whole
}
