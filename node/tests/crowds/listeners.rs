use std::net::SocketAddr;

use mastichaven_node::direct::peers::MAX_MESSAGE_LEN;

use super::crowd::MISSING_LEN;
use super::crowd::Message;
use super::crowd::Target;
use super::crowd::assert_program_withstands;
use super::crowd::filler;
use super::fixture::AGENT_PORT;
use super::fixture::Entry;
use super::fixture::METRICS_PORT;
use super::fixture::Resources;
use super::fixture::until;

const RESOURCES: Resources = Resources { descriptors: 500, memory_mb: 64 };

/// Clients that connect and send nothing: more than the process may have descriptors.
const SILENT_CLIENTS: usize = 600;

/// Clients that send messages of the length that agents and entries may send to each other.
const LARGE_CLIENTS: usize = 60;

fn silence() -> Message {
    Message::whole(Vec::new())
}

/// Address on which an entry accepts other entries and agents.
fn peers_of(entry: &Entry) -> SocketAddr {
    SocketAddr::new(entry.callers.ip(), AGENT_PORT)
}

/// A message to an agent or entry without its end.
fn large_message() -> Message {
    let len = MAX_MESSAGE_LEN as usize;
    let parts = vec![MAX_MESSAGE_LEN.to_be_bytes().to_vec().into(), filler(len - MISSING_LEN)];
    Message::without_end(parts, filler(MISSING_LEN))
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

// Guards against silent connections to the port for other entries and agents that use up all descriptors.
#[test]
fn silent_connections_are_bounded_peers() {
    let mut target = Target::start("silent-peers", RESOURCES);
    target.assert_withstands(peers_of(&target.entry), SILENT_CLIENTS, &silence());
}

// Guards against heads without an end to the readiness check.
#[test]
fn heads_without_end_are_bounded_readiness() {
    let mut target = Target::start("heads-readiness", RESOURCES);
    let message = Message::whole(vec!["GET /".into(), filler(380_000)]);
    target.assert_withstands(target.entry.ready, SILENT_CLIENTS, &message);
    until("the entry is ready", || target.entry.is_ready());
}

// Guards against first messages of followers and agents that are much longer than any of them.
#[test]
fn large_messages_are_bounded_entry() {
    let mut target = Target::start("large-messages", RESOURCES);
    target.assert_withstands(peers_of(&target.entry), LARGE_CLIENTS, &large_message());
}

// Guards against clients of an agent that use up its memory or descriptors.
#[test]
fn agent_is_bounded() {
    let target = Target::start("agent-bounded", RESOURCES);
    let mut agent = target.site.start_agent("agent-bounded-agent", &target.endpoint);
    let ip = target.endpoint.address().ip();
    let metrics = format!("http://{ip}:{METRICS_PORT}/metrics");
    let is_served = || minreq::get(&metrics).with_timeout(2).send().is_ok();
    until("the agent runs", is_served);
    let crowds = [
        (AGENT_PORT, LARGE_CLIENTS, large_message()),
        (AGENT_PORT, SILENT_CLIENTS, silence()),
        (METRICS_PORT, SILENT_CLIENTS, silence()),
    ];
    for (port, clients, message) in crowds {
        let at = SocketAddr::new(ip, port);
        assert_program_withstands(&mut agent, at, RESOURCES, clients, &message);
        until("the agent serves its metrics", is_served);
    }
}
