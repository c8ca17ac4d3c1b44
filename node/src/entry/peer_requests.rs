//! Handles requests from peers to an entry.

use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;

use super::Shared;
use crate::transport::Incoming;

/// Interval at which the thread checks whether the entry has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Handles queued requests until the entry stops.
pub(super) fn serve(shared: &Shared, requests: &flume::Receiver<Incoming>) {
    while !shared.is_over() {
        if let Ok(incoming) = requests.recv_timeout(STOP_POLL_INTERVAL) {
            handle(shared, incoming);
        }
    }
}

fn handle(shared: &Shared, incoming: Incoming) {
    match incoming.request.body {
        RequestBody::Members(_) | RequestBody::Spread(_) => shared.control.handle(incoming),
        RequestBody::Relay(request) => shared.claims.relay(request, incoming.replies),
        RequestBody::Suspect(crash) => {
            shared.quarantine.record_crash(shared, crash);
            let generation = shared.documents.generation();
            let _ = incoming.replies.send(Reply { generation, body: ReplyBody::Ack });
        }
        RequestBody::Run(_) | RequestBody::Void(_) | RequestBody::Weights(_) => {
            let generation = shared.documents.generation();
            let body = ReplyBody::Refused(Code::WrongRole);
            let _ = incoming.replies.send(Reply { generation, body });
        }
    }
}
