//! Answers what peers ask of an agent.

use std::sync::Arc;
use std::time::Duration;

use mastichaven_core::run::VoidReply;
use mastichaven_core::run::VoidRequest;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;

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
    match incoming.request.body {
        RequestBody::Weights(_) => return shared.weights.serve(incoming),
        RequestBody::Members(_) | RequestBody::Spread(_) => return shared.control.handle(incoming),
        RequestBody::Run(_)
        | RequestBody::Void(_)
        | RequestBody::Relay(_)
        | RequestBody::Suspect(_) => {}
    }
    let Incoming { request, replies, .. } = incoming;
    let body = match request.body {
        RequestBody::Run(ask) => return run::offer(shared, ask, replies),
        RequestBody::Void(ask) => ReplyBody::Void(void(shared, &ask)),
        RequestBody::Weights(_)
        | RequestBody::Members(_)
        | RequestBody::Spread(_)
        | RequestBody::Relay(_)
        | RequestBody::Suspect(_) => ReplyBody::Refused(mastichaven_core::Code::WrongRole),
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
