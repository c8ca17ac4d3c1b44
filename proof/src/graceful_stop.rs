//! Checks that a planned stop cuts off no request in flight.

use std::collections::BTreeMap;

use mastichaven_core::ids::HostName;

use crate::history::Answer;
use crate::history::History;
use crate::history::Observation;
use crate::history::Op;
use crate::history::Process;
use crate::history::Return;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// Sequence numbers of the order to stop and of the end of the process. `to` is `u64::MAX` if the
/// process did not end.
struct StopInterval {
    from: u64,
    to: u64,
}

/// Checks that an endpoint completes its running requests before its agent ends, and that no call
/// through a stopping entry is cut.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::GracefulStop);
    let stops = stop_intervals(history);
    check_agents(history, &stops, &mut verdict);
    check_entries(history, &stops, &mut verdict);
    verdict
}

fn stop_intervals(history: &History) -> BTreeMap<&HostName, Vec<StopInterval>> {
    let mut stops: BTreeMap<&HostName, Vec<StopInterval>> = BTreeMap::new();
    for event in history.events() {
        match &event.step {
            Step::Invoke(Op::Stop(host)) => {
                let stop = StopInterval { from: event.sequence, to: u64::MAX };
                stops.entry(host).or_default().push(stop);
            }
            Step::Return(Return::Stopped(host)) => {
                if let Some(stop) = stops.get_mut(host).and_then(|stops| stops.last_mut()) {
                    stop.to = event.sequence;
                }
            }
            _ => {}
        }
    }
    stops
}

fn check_agents(
    history: &History,
    stops: &BTreeMap<&HostName, Vec<StopInterval>>,
    verdict: &mut Verdict,
) {
    let mut running: BTreeMap<(&HostName, &str), u64> = BTreeMap::new();
    for event in history.events() {
        let Process::Host(host) = &event.process else {
            continue;
        };
        match &event.step {
            Step::Seen(Observation::Began { work, .. }) => {
                running.insert((host, work), event.sequence);
            }
            Step::Seen(Observation::Ended { work, whole }) => {
                let began = running.remove(&(host, work.as_str()));
                let stopping = stops.get(host).into_iter().flatten();
                let overlaps = |stop: &StopInterval| began.is_some_and(|began| began < stop.to);
                for stop in stopping.filter(|stop| overlaps(stop) && event.sequence > stop.from) {
                    let completed = *whole && event.sequence < stop.to;
                    verdict.examine(event.sequence, completed, || {
                        format!("{work} was cut off on {host}")
                    });
                }
            }
            Step::Seen(Observation::Lost) => running.retain(|(lost, _), _| *lost != host),
            _ => {}
        }
    }
    for ((host, work), began) in running {
        let stopping = stops.get(host).into_iter().flatten();
        for _ in stopping.filter(|stop| began < stop.to && stop.to != u64::MAX) {
            verdict.examine(began, false, || format!("{work} never ended on {host}"));
        }
    }
}

/// Checks that no call whose entry stops while the call is in flight is cut, unless one of the
/// endpoints that ran it was lost.
///
/// A call that no endpoint began and that received no byte is allowed: its connection may have
/// waited in the accept backlog of the operating system until the entry closed the port.
fn check_entries(
    history: &History,
    stops: &BTreeMap<&HostName, Vec<StopInterval>>,
    verdict: &mut Verdict,
) {
    let hosts_by_work = hosts_by_work(history);
    let losses = endpoint_losses(history);
    for call in history.calls().values() {
        let (at, answer) = match call.returned {
            Some((at, answer)) => (at, Some(answer)),
            None => (u64::MAX, None),
        };
        let hosts = hosts_by_work.get(call.request.work.as_str()).map_or(&[][..], Vec::as_slice);
        let is_in_flight = |stop: &&StopInterval| call.invoked < stop.to && stop.from < at;
        let affects_call = |(sequence, host): &(u64, &HostName)| {
            (call.invoked..at).contains(sequence) && hosts.contains(host)
        };
        let stopping = stops.get(&call.request.entry).into_iter().flatten();
        if stopping.filter(is_in_flight).count() == 0 || losses.iter().any(affects_call) {
            continue;
        }
        let allowed = match answer {
            None => false,
            Some(Answer::Cut { answering }) => !answering && hosts.is_empty(),
            Some(_) => true,
        };
        verdict.examine(call.invoked, allowed, || {
            format!("{:?} was cut off by the stop of {}", call.request.call, call.request.entry)
        });
    }
}

/// The hosts whose endpoints began each `work`.
fn hosts_by_work(history: &History) -> BTreeMap<&str, Vec<&HostName>> {
    let mut works: BTreeMap<&str, Vec<&HostName>> = BTreeMap::new();
    for event in history.events() {
        if let (Step::Seen(Observation::Began { work, .. }), Process::Host(host)) =
            (&event.step, &event.process)
        {
            works.entry(work.as_str()).or_default().push(host);
        }
    }
    works
}

/// The sequence number and host of each loss of an endpoint.
fn endpoint_losses(history: &History) -> Vec<(u64, &HostName)> {
    let losses = history.events().iter().filter_map(|event| match (&event.step, &event.process) {
        (Step::Seen(Observation::Lost), Process::Host(host)) => Some((event.sequence, host)),
        _ => None,
    });
    losses.collect()
}
