//! Answers what peers ask of an entry.

use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::members::MembersAsk;
use mastichaven_core::members::MembersReply;
use mastichaven_core::spread::SpreadAsk;
use mastichaven_core::spread::SpreadReply;
use mastichaven_core::spread::Survey;
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
    let body = match incoming.ask.body {
        AskBody::Suspect(crash) => {
            shared.suspects.told(shared, crash);
            ReplyBody::Noted
        }
        AskBody::Relay(ask) => return shared.claims.relay(ask, incoming.replies),
        AskBody::Members(MembersAsk::Probe) => {
            ReplyBody::Members(MembersReply::Me(shared.member()))
        }
        AskBody::Spread(ask) => ReplyBody::Spread(spread(shared, &ask)),
        AskBody::Run(_) | AskBody::Void(_) | AskBody::Weights(_) => {
            ReplyBody::Refused(Code::WrongRole)
        }
    };
    let generation = shared.documents.in_force().generation;
    let _ = incoming.replies.send(Reply { generation, body });
}

fn spread(shared: &Shared, ask: &SpreadAsk) -> SpreadReply {
    match ask {
        SpreadAsk::Above { generation, docs } => {
            SpreadReply::Update(shared.documents.above(*generation, docs))
        }
        SpreadAsk::Parts(digests) => SpreadReply::Parts(shared.documents.parts(digests)),
        SpreadAsk::Push(_) => SpreadReply::Done,
        SpreadAsk::Survey => SpreadReply::Survey(Survey::of(shared.documents.generation())),
    }
}
