//! Handles the requests of other processes to the agent.

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

/// Interval at which the thread checks whether the agent has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Handles queued requests until the agent stops.
pub(super) fn serve(shared: &Arc<Shared>, requests: &flume::Receiver<Incoming>) {
    while !shared.is_over() {
        if let Ok(incoming) = requests.recv_timeout(STOP_POLL_INTERVAL) {
            handle(shared, incoming);
        }
    }
}

fn handle(shared: &Arc<Shared>, incoming: Incoming) {
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
        RequestBody::Run(req) => return run::enqueue(shared, req, replies),
        RequestBody::Void(req) => ReplyBody::Void(void(shared, &req)),
        RequestBody::Weights(_)
        | RequestBody::Members(_)
        | RequestBody::Spread(_)
        | RequestBody::Relay(_)
        | RequestBody::Suspect(_) => ReplyBody::Refused(mastichaven_core::Code::WrongRole),
    };
    let generation = shared.documents.in_force().generation;
    let _ = replies.send(Reply { generation, body });
}

/// Returns the state of an attempt. One that has not started in this incarnation is voided, so that
/// it is refused if it arrives later.
fn void(shared: &Shared, req: &VoidRequest) -> VoidReply {
    if req.incarnation != shared.incarnation {
        return VoidReply::Unknown;
    }
    shared.attempts.lock().expect("no holder of this lock panics").void(req.request)
}
