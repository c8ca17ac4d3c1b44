//! Checks that a planned stop cuts off no request in progress.

use std::collections::BTreeMap;

use mastichaven_core::ids::HostName;

use crate::history::Answer;
use crate::history::History;
use crate::history::Op;
use crate::history::Process;
use crate::history::Return;
use crate::history::Seen;
use crate::history::Step;
use crate::promise::Promise;
use crate::promise::Verdict;

/// From the order to stop to the end of the process.
struct Stop {
    from: u64,
    to: u64,
}

/// What an endpoint has begun is finished whole before its agent ends, and no call through a
/// stopping entry is cut.
pub(crate) fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new(Promise::GracefulStop);
    let stops = stops(history);
    check_agents(history, &stops, &mut verdict);
    check_entries(history, &stops, &mut verdict);
    verdict
}

fn stops(history: &History) -> BTreeMap<&HostName, Vec<Stop>> {
    let mut stops: BTreeMap<&HostName, Vec<Stop>> = BTreeMap::new();
    for event in history.events() {
        match &event.step {
            Step::Invoke(Op::Stop(host)) => {
                let stop = Stop { from: event.sequence, to: u64::MAX };
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

fn check_agents(history: &History, stops: &BTreeMap<&HostName, Vec<Stop>>, verdict: &mut Verdict) {
    let mut running: BTreeMap<(&HostName, &str), u64> = BTreeMap::new();
    for event in history.events() {
        let Process::Host(host) = &event.process else {
            continue;
        };
        match &event.step {
            Step::Seen(Seen::Began { work, .. }) => {
                running.insert((host, work), event.sequence);
            }
            Step::Seen(Seen::Ended { work, whole }) => {
                let began = running.remove(&(host, work.as_str()));
                let stopping = stops.get(host).into_iter().flatten();
                let over = |stop: &Stop| began.is_some_and(|began| began < stop.to);
                for stop in stopping.filter(|stop| over(stop) && event.sequence > stop.from) {
                    let kept = *whole && event.sequence < stop.to;
                    verdict.examine(event.sequence, kept, || format!("{work} was cut on {host}"));
                }
            }
            Step::Seen(Seen::Lost) => running.retain(|(lost, _), _| *lost != host),
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

/// A call that its entry had taken when it was told to stop, or took after, gets its whole answer.
/// One that no endpoint began and that got no byte may have found the port closed: whether the
/// entry had taken it cannot be told from a connection that waited in the system's backlog.
fn check_entries(history: &History, stops: &BTreeMap<&HostName, Vec<Stop>>, verdict: &mut Verdict) {
    let began = hosts_by_work(history);
    let lost = lost(history);
    for call in history.calls().values() {
        let (at, answer) = match call.returned {
            Some((at, answer)) => (at, Some(answer)),
            None => (u64::MAX, None),
        };
        let hosts = began.get(call.request.work.as_str()).map_or(&[][..], Vec::as_slice);
        let under_way = |stop: &&Stop| call.invoked < stop.to && stop.from < at;
        let failed = |(sequence, host): &(u64, &HostName)| {
            (call.invoked..at).contains(sequence) && hosts.contains(host)
        };
        let stopping = stops.get(&call.request.entry).into_iter().flatten();
        if stopping.filter(under_way).count() == 0 || lost.iter().any(failed) {
            continue;
        }
        let kept = match answer {
            None => false,
            Some(Answer::Cut { answering }) => !answering && hosts.is_empty(),
            Some(_) => true,
        };
        verdict.examine(call.invoked, kept, || {
            format!("{:?} was cut by the stop of {}", call.request.call, call.request.entry)
        });
    }
}

/// Where endpoints took up each work.
fn hosts_by_work(history: &History) -> BTreeMap<&str, Vec<&HostName>> {
    let mut works: BTreeMap<&str, Vec<&HostName>> = BTreeMap::new();
    for event in history.events() {
        if let (Step::Seen(Seen::Began { work, .. }), Process::Host(host)) =
            (&event.step, &event.process)
        {
            works.entry(work.as_str()).or_default().push(host);
        }
    }
    works
}

/// When which endpoint was lost.
fn lost(history: &History) -> Vec<(u64, &HostName)> {
    let lost = history.events().iter().filter_map(|event| match (&event.step, &event.process) {
        (Step::Seen(Seen::Lost), Process::Host(host)) => Some((event.sequence, host)),
        _ => None,
    });
    lost.collect()
}
