//! Checks that zones taken out of service and leaving hosts get no new requests.
//!
//! The promise is checked by the order of events, not by a time limit: once the zone or host is
//! recorded as closed, no request sent later may begin there. The bench measures how long it takes
//! until the whole fleet has applied the change.

use std::collections::BTreeMap;

use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ZoneName;

use crate::history::History;
use crate::history::Observation;
use crate::history::Op;
use crate::history::Process;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Checks zones that operators have taken out of service.
pub(crate) fn check_zones(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::ZoneOut);
    let mut closed: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    let first_sent = first_sent_by_work(history);
    for event in history.events() {
        match &event.step {
            Step::Seen(Observation::ZoneClosed(zone)) => {
                closed.insert(zone, event.sequence);
            }
            Step::Invoke(Op::Reopen(zone)) => {
                closed.remove(zone);
            }
            Step::Seen(Observation::Began { work, zone, .. }) if !closed.is_empty() => {
                let allowed = may_begin(&first_sent, work, closed.get(zone));
                verdict
                    .examine(event.sequence, allowed, || format!("{work} began in closed {zone}"));
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
    let first_sent = first_sent_by_work(history);
    for event in history.events() {
        match (&event.step, &event.process) {
            (Step::Seen(Observation::HostClosed(host)), _) => {
                closed.insert(host, event.sequence);
            }
            (Step::Seen(Observation::Started), Process::Host(host)) => {
                closed.remove(host);
            }
            (Step::Seen(Observation::Began { work, .. }), Process::Host(host))
                if !closed.is_empty() =>
            {
                let allowed = may_begin(&first_sent, work, closed.get(host));
                verdict
                    .examine(event.sequence, allowed, || format!("{work} began on leaving {host}"));
            }
            _ => {}
        }
    }
    verdict
}

/// The sequence number at which each `work` was first sent.
///
/// A request first sent before the closing may still be in flight, and events at the endpoint do
/// not distinguish it from a resend.
fn first_sent_by_work(history: &History) -> BTreeMap<&str, u64> {
    let works = history.calls_by_work();
    works.into_iter().map(|(work, calls)| (work, calls[0].invoked)).collect()
}

fn may_begin(first_sent: &BTreeMap<&str, u64>, work: &str, closed: Option<&u64>) -> bool {
    match (closed, first_sent.get(work)) {
        (None, _) => true,
        (Some(closed), Some(sent)) => sent < closed,
        (Some(_), None) => false,
    }
}
