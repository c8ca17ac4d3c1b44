//! Deletes expired claims, one shard at a time.
//!
//! Any entry may take a step; a conditional write to the object with the state of the sweep decides
//! which entry does. Only the entries of the highest rank try, so that the number of platform calls
//! does not grow with the number of entries.

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

/// Interval at which the thread checks whether the entry has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of entries that attempt the steps.
const MAX_SWEEPERS: usize = 3;

/// Maximum number of claims deleted per step, to use only a small part of the platform's writes.
const MAX_DELETES_PER_STEP: usize = 100;

/// Runs the sweep until the entry stops.
pub(super) fn run(shared: &Shared) {
    let mut elapsed = Duration::ZERO;
    while !shared.is_over() {
        thread::sleep(STOP_POLL_INTERVAL);
        elapsed += STOP_POLL_INTERVAL;
        if elapsed >= Duration::from_secs(sweep::STEP_SECONDS) {
            elapsed = Duration::ZERO;
            if is_sweeper(shared) {
                // A failed step is retried by the next entry that tries.
                let _ = run_step(shared);
            }
        }
    }
}

fn is_sweeper(shared: &Shared) -> bool {
    let rank = |host: &HostName| Digest::of(host.as_str().as_bytes());
    let own = rank(&shared.settings.place.host);
    let members = shared.members();
    let entries = members.iter().filter(|m| m.role == HostRole::Entry && !m.leaving);
    entries.filter(|entry| rank(&entry.host) > own).count() < MAX_SWEEPERS
}

fn run_step(shared: &Shared) -> Result<()> {
    let platform = &shared.platform;
    let found = platform.get(sweep::KEY)?;
    let revision = found.as_ref().map(|object| object.revision);
    let mut sweep: Sweep =
        found.and_then(|object| serde_json::from_slice(&object.value).ok()).unwrap_or_default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs());
    if !sweep.is_due(now) {
        return Ok(());
    }
    let retention_seconds = shared.documents.in_force().config.limits.claim_seconds;
    let step = sweep.step(now, revision.unwrap_or(Revision(0)), retention_seconds);
    let value = Bytes::from(serde_json::to_vec(&sweep).expect("a sweep always encodes"));
    platform.put(sweep::KEY, value, revision.map_or(Expect::Absent, Expect::At))?;
    step.map_or(Ok(()), |step| delete_expired(shared, &step))
}

fn delete_expired(shared: &Shared, step: &Step) -> Result<()> {
    let listed = shared.platform.list(&step.prefix)?;
    let expired = listed.into_iter().filter(|(_, revision)| *revision < step.below);
    for (key, revision) in expired.take(MAX_DELETES_PER_STEP) {
        // Fails if the claim was written after it was listed.
        let _ = shared.platform.delete(&key, revision);
    }
    Ok(())
}
