//! Fetches the weights that the plan wants: from peers of the plan, or from the origin.

use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::plan::Plan;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::weights::WeightsAsk;
use mastichaven_core::weights::WeightsReply;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::ReplyBody;

use super::Shared;
use super::TICK;

/// How long a peer may take over one chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    while !shared.is_over() {
        if let Some((_, _, plan)) = shared.wanted() {
            for version in plan.versions() {
                let _ = pull(shared, &plan, version);
            }
        }
        thread::sleep(TICK);
    }
}

fn pull(shared: &Shared, plan: &Plan, version: Digest) -> Result<(), Code> {
    let lock = || shared.store.lock().expect("no holder of this lock panics");
    if lock().is_complete(version) {
        return Ok(());
    }
    let known = lock().manifests.get(&version).cloned();
    let manifest: Manifest = match known {
        Some(manifest) => manifest,
        None => shared.origin.manifest(version)?,
    };
    lock().manifests.insert(version, manifest.clone());
    let hosts = shared.platform.hosts().map_err(|e| e.code())?;
    for chunk in &manifest.chunks {
        if lock().chunks.contains_key(&chunk.digest) {
            continue;
        }
        if let Some(bytes) = fetch(shared, plan, &hosts, chunk.digest) {
            lock().chunks.insert(chunk.digest, bytes);
        }
    }
    Ok(())
}

/// The hosts of the plan in the order in which they answer for `chunk`: highest score first.
fn owners(plan: &Plan, chunk: Digest) -> Vec<HostName> {
    let mut hosts = plan.replicas.iter().map(|replica| replica.host.clone()).collect::<Vec<_>>();
    hosts.sort_by_key(|host| Digest::of(&[host.as_str().as_bytes(), &chunk.0].concat()));
    hosts
}

fn fetch(shared: &Shared, plan: &Plan, hosts: &[ListedHost], chunk: Digest) -> Option<Bytes> {
    let owners = owners(plan, chunk);
    if owners.first() == Some(&shared.settings.place.host) {
        return shared.origin.chunk(chunk).ok();
    }
    owners.iter().take(3).find_map(|owner| {
        let listed = hosts.iter().find(|listed| listed.name == *owner)?;
        let ask = shared.ask(AskBody::Weights(WeightsAsk::Chunk(chunk)));
        let reply = shared.transport.ask_one(listed.address, &ask, CHUNK_TIMEOUT).ok()?;
        match reply.body {
            ReplyBody::Weights(WeightsReply::Bytes(bytes)) if Digest::of(&bytes) == chunk => {
                Some(bytes)
            }
            _ => None,
        }
    })
}
