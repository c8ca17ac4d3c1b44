//! Keeps the agent's documents up to date, from the entries of its zone.

use std::thread;
use std::time::Duration;

use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::spread::SpreadAsk;
use mastichaven_core::spread::SpreadReply;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::ReplyBody;

use super::Shared;

/// How often the agent asks.
const INTERVAL: Duration = Duration::from_millis(300);

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    while !shared.is_over() {
        step(shared);
        thread::sleep(INTERVAL);
    }
}

fn step(shared: &Shared) {
    let Ok(hosts) = shared.platform.hosts() else {
        return;
    };
    let zone = &shared.settings.place.zone;
    let near = |listed: &&mastichaven_core::platform::ListedHost| {
        listed.role == HostRole::Entry && listed.zone == *zone
    };
    for listed in hosts.iter().filter(near) {
        let generation = shared.documents.generation();
        let above = SpreadAsk::Above { generation, docs: shared.documents.revisions() };
        let ask = shared.ask(AskBody::Spread(above));
        let Ok(reply) = shared.transport.ask_one(listed.address, &ask, TIMEOUT) else {
            continue;
        };
        if let ReplyBody::Spread(SpreadReply::Update(update)) = reply.body {
            if let Some(delta) = &update.delta {
                let _ = shared.documents.offer_config(delta, &update.parts);
            }
            for doc in update.docs {
                let _ = shared.documents.offer(doc);
            }
            return;
        }
    }
}
