use super::crowd::Message;
use super::crowd::Target;
use super::fixture::Resources;

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
