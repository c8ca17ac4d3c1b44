//! Answers what peers ask of an agent.

use std::sync::Arc;
use std::time::Duration;

use mastichaven_core::run::VoidReply;
use mastichaven_core::run::VoidRequest;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;

use super::Shared;
use super::run;
use crate::transport::Incoming;

/// How often the thread looks whether the agent has ended.
const POLL: Duration = Duration::from_millis(200);

/// Serves the ring until the agent ends.
pub(super) fn serve(shared: &Arc<Shared>, asks: &flume::Receiver<Incoming>) {
    while !shared.is_over() {
        if let Ok(incoming) = asks.recv_timeout(POLL) {
            answer(shared, incoming);
        }
    }
}

fn answer(shared: &Arc<Shared>, incoming: Incoming) {
    match incoming.ask.body {
        AskBody::Weights(_) => return shared.weights.serve(incoming),
        AskBody::Members(_) | AskBody::Spread(_) => return shared.control.take(incoming),
        AskBody::Run(_) | AskBody::Void(_) | AskBody::Relay(_) | AskBody::Suspect(_) => {}
    }
    let Incoming { ask, replies, .. } = incoming;
    let body = match ask.body {
        AskBody::Run(ask) => return run::offer(shared, ask, replies),
        AskBody::Void(ask) => ReplyBody::Void(void(shared, &ask)),
        AskBody::Weights(_)
        | AskBody::Members(_)
        | AskBody::Spread(_)
        | AskBody::Relay(_)
        | AskBody::Suspect(_) => ReplyBody::Refused(mastichaven_core::Code::WrongRole),
    };
    let generation = shared.documents.in_force().generation;
    let _ = replies.send(Reply { generation, body });
}

/// A request that has not started in this life is marked, so that its late frames are refused.
fn void(shared: &Shared, ask: &VoidRequest) -> VoidReply {
    if ask.incarnation != shared.incarnation {
        return VoidReply::Unknown;
    }
    shared.attempts.lock().expect("no holder of this lock panics").void(ask.request)
}
