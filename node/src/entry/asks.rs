//! Answers what peers ask of an entry.

use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;

use super::Shared;
use crate::transport::Incoming;

/// How often the thread looks whether the entry has ended.
const POLL: Duration = Duration::from_millis(200);

/// Serves the ring until the entry ends.
pub(super) fn serve(shared: &Shared, asks: &flume::Receiver<Incoming>) {
    while !shared.is_over() {
        if let Ok(incoming) = asks.recv_timeout(POLL) {
            answer(shared, incoming);
        }
    }
}

fn answer(shared: &Shared, incoming: Incoming) {
    match incoming.request.body {
        RequestBody::Members(_) | RequestBody::Spread(_) => shared.control.handle(incoming),
        RequestBody::Relay(ask) => shared.claims.relay(ask, incoming.replies),
        RequestBody::Suspect(crash) => {
            shared.suspects.told(shared, crash);
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
