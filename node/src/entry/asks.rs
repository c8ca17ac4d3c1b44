//! Answers what peers ask of an entry.

use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;

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
    match incoming.ask.body {
        AskBody::Members(_) | AskBody::Spread(_) => shared.control.take(incoming),
        AskBody::Relay(ask) => shared.claims.relay(ask, incoming.replies),
        AskBody::Suspect(crash) => {
            shared.suspects.told(shared, crash);
            let generation = shared.documents.generation();
            let _ = incoming.replies.send(Reply { generation, body: ReplyBody::Ack });
        }
        AskBody::Run(_) | AskBody::Void(_) | AskBody::Weights(_) => {
            let generation = shared.documents.generation();
            let body = ReplyBody::Refused(Code::WrongRole);
            let _ = incoming.replies.send(Reply { generation, body });
        }
    }
}
