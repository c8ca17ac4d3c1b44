//! Checks that a zone that is out and a host that is leaving get no new work.
//!
//! "After a few seconds" becomes an order of events: from the moment at which the whole fleet was
//! seen to know it, no request that is sent later may begin there. How long the fleet takes to know
//! is a figure of the bench.

use std::collections::BTreeMap;

use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ZoneName;

use crate::history::History;
use crate::history::Op;
use crate::history::Process;
use crate::history::Seen;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Checks zones that operators have taken out.
pub(crate) fn check_zones(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::ZoneOut);
    let mut closed: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    let sent = sent_at(history);
    for event in history.events() {
        match &event.step {
            Step::Seen(Seen::ZoneClosed(zone)) => {
                closed.insert(zone, event.sequence);
            }
            Step::Invoke(Op::Reopen(zone)) => {
                closed.remove(zone);
            }
            Step::Seen(Seen::Began { work, zone, .. }) if !closed.is_empty() => {
                let allowed = may_begin(&sent, work, closed.get(zone));
                verdict.examine(event.sequence, allowed, || format!("{work} began in {zone}"));
            }
            _ => {}
        }
    }
    verdict
}

/// Checks hosts that are leaving.
pub(crate) fn check_hosts(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::Leaving);
    let mut closed: BTreeMap<&HostName, u64> = BTreeMap::new();
    let sent = sent_at(history);
    for event in history.events() {
        match (&event.step, &event.process) {
            (Step::Seen(Seen::HostClosed(host)), _) => {
                closed.insert(host, event.sequence);
            }
            (Step::Seen(Seen::Started), Process::Host(host)) => {
                closed.remove(host);
            }
            (Step::Seen(Seen::Began { work, .. }), Process::Host(host)) if !closed.is_empty() => {
                let allowed = may_begin(&sent, work, closed.get(host));
                verdict.examine(event.sequence, allowed, || format!("{work} began on {host}"));
            }
            _ => {}
        }
    }
    verdict
}

/// The first sending of each work. A work that was first sent earlier may still be on its way, and
/// a resend cannot be told from it.
fn sent_at(history: &History) -> BTreeMap<&str, u64> {
    let works = history.calls_by_work();
    works.into_iter().map(|(work, calls)| (work, calls[0].invoked)).collect()
}

fn may_begin(sent: &BTreeMap<&str, u64>, work: &str, closed: Option<&u64>) -> bool {
    match (closed, sent.get(work)) {
        (None, _) => true,
        (Some(closed), Some(sent)) => sent < closed,
        (Some(_), None) => false,
    }
}
