use std::net::SocketAddr;

use super::crowd::Message;
use super::crowd::Target;
use super::crowd::filler;
use super::fixture::METRICS_PORT;
use super::fixture::Resources;
use super::fixture::until;

const RESOURCES: Resources = Resources { descriptors: 500, memory_mb: 64 };

/// Clients that connect and send nothing: more than the process may have descriptors.
const SILENT_CLIENTS: usize = 600;

fn silence() -> Message {
    Message::whole(Vec::new())
}

// Guards against silent connections that keep all others out.
#[test]
fn silent_connections_are_bounded_callers() {
    let mut target = Target::start("silent-callers", RESOURCES);
    target.assert_withstands(target.entry.callers, SILENT_CLIENTS, &silence());
}

// Guards against silent connections to the readiness check that use up all descriptors.
#[test]
fn silent_connections_are_bounded_readiness() {
    let mut target = Target::start("silent-readiness", RESOURCES);
    target.assert_withstands(target.entry.ready, SILENT_CLIENTS, &silence());
    until("the entry is ready", || target.entry.is_ready());
}

// Guards against silent connections to the metrics that use up all descriptors.
#[test]
fn silent_connections_are_bounded_metrics() {
    let mut target = Target::start("silent-metrics", RESOURCES);
    let at = SocketAddr::new(target.entry.ready.ip(), METRICS_PORT);
    target.assert_withstands(at, SILENT_CLIENTS, &silence());
}

// Guards against heads without an end to the readiness check.
#[test]
fn heads_without_end_are_bounded_readiness() {
    let mut target = Target::start("heads-readiness", RESOURCES);
    let message = Message::whole(vec!["GET /".into(), filler(380_000)]);
    target.assert_withstands(target.entry.ready, SILENT_CLIENTS, &message);
    until("the entry is ready", || target.entry.is_ready());
}
