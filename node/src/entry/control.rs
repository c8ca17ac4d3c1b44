//! Keeps an entry's documents and members up to date.

use std::thread;
use std::time::Duration;

use mastichaven_core::members::Member;
use mastichaven_core::members::MembersAsk;
use mastichaven_core::members::MembersReply;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::spread::Doc;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::ReplyBody;
use slog::info;

use super::Shared;
use crate::accepted;

/// How often the entry looks.
const INTERVAL: Duration = Duration::from_millis(300);

/// How long a member may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Runs until the entry ends.
pub(super) fn run(shared: &Shared) {
    while !shared.is_over() {
        let before = shared.documents.in_force().generation;
        read_documents(shared);
        let after = shared.documents.in_force().generation;
        if before != after {
            info!(shared.telemetry.log, "configuration in force"; "generation" => after.0);
        }
        probe_members(shared);
        thread::sleep(INTERVAL);
    }
}

fn read_documents(shared: &Shared) {
    let _ = accepted::take_in(&shared.platform, &shared.documents);
    let Ok(plans) = shared.platform.list("spread/plan/") else {
        return;
    };
    for (key, _) in plans {
        read_document(shared, &key);
    }
}

fn read_document(shared: &Shared, key: &str) {
    if let Ok(Some(object)) = shared.platform.get(key) {
        let doc = Doc { key: key.into(), revision: object.revision.0, bytes: object.value };
        let _ = shared.documents.offer(doc);
    }
}

fn probe_members(shared: &Shared) {
    let Ok(hosts) = shared.platform.hosts() else {
        return;
    };
    let probes: Vec<_> = hosts
        .iter()
        .map(|listed: &ListedHost| {
            let ask = shared.ask(AskBody::Members(MembersAsk::Probe));
            shared.transport.call(listed.address, &ask)
        })
        .collect();
    let members: Vec<Member> = probes
        .into_iter()
        .filter_map(|mut call| match call.next_timeout(TIMEOUT) {
            Some(Ok(reply)) => match reply.body {
                ReplyBody::Members(MembersReply::Me(member)) => Some(member),
                _ => None,
            },
            _ => None,
        })
        .collect();
    *shared.members.write().expect("no holder of this lock panics") = members;
}
