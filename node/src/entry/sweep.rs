//! Deletes claims that have expired, a shard at a time.
//!
//! Any entry may take a step; a conditional write of the sweep's object decides whose it is. Only
//! the few that rank highest try, so that the calls do not grow with the fleet.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::Result;
use mastichaven_core::sweep;
use mastichaven_core::sweep::Step;
use mastichaven_core::sweep::Sweep;

use super::Shared;

/// How often the thread looks whether the entry has ended.
const POLL: Duration = Duration::from_millis(200);

/// Entries that try.
const SWEEPERS: usize = 3;

/// Claims that one step deletes at most, so that it takes a small part of the platform's writes.
const MAX_DELETES: usize = 100;

/// Runs until the entry ends.
pub(super) fn run(shared: &Shared) {
    let mut waited = Duration::ZERO;
    while !shared.is_over() {
        thread::sleep(POLL);
        waited += POLL;
        if waited >= Duration::from_secs(sweep::STEP_SECONDS) {
            waited = Duration::ZERO;
            if is_sweeper(shared) {
                // A step that fails is taken by whoever tries next.
                let _ = step(shared);
            }
        }
    }
}

fn is_sweeper(shared: &Shared) -> bool {
    let rank = |host: &HostName| Digest::of(host.as_str().as_bytes());
    let own = rank(&shared.settings.place.host);
    let members = shared.members();
    let entries = members.iter().filter(|m| m.role == HostRole::Entry && !m.leaving);
    entries.filter(|entry| rank(&entry.host) > own).count() < SWEEPERS
}

fn step(shared: &Shared) -> Result<()> {
    let platform = &shared.platform;
    let found = platform.get(sweep::KEY)?;
    let revision = found.as_ref().map(|object| object.revision);
    let mut sweep: Sweep =
        found.and_then(|object| serde_json::from_slice(&object.value).ok()).unwrap_or_default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs());
    if !sweep.is_due(now) {
        return Ok(());
    }
    let keep = shared.documents.in_force().config.limits.claim_seconds;
    let step = sweep.step(now, revision.unwrap_or(Revision(0)), keep);
    let value = Bytes::from(serde_json::to_vec(&sweep).expect("a sweep always encodes"));
    platform.put(sweep::KEY, value, revision.map_or(Expect::Absent, Expect::At))?;
    step.map_or(Ok(()), |step| delete_expired(shared, &step))
}

fn delete_expired(shared: &Shared, step: &Step) -> Result<()> {
    let listed = shared.platform.list(&step.prefix)?;
    let expired = listed.into_iter().filter(|(_, revision)| *revision < step.below);
    for (key, revision) in expired.take(MAX_DELETES) {
        // A claim that was written since then is not deleted.
        let _ = shared.platform.delete(&key, revision);
    }
    Ok(())
}
