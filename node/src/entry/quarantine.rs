//! Quarantine of requests that crash endpoints, shared by reports between the entries. The rules
//! are in [`mastichaven_core::quarantine`].

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mastichaven_core::ids::Digest;
use mastichaven_core::platform::HostRole;
use mastichaven_core::quarantine::Crash;
use mastichaven_core::quarantine::Quarantine;
use mastichaven_core::quarantine::RunPolicy;
use mastichaven_core::wire::RequestBody;
use slog::warn;

use super::Shared;
use super::parse::ParsedRequest;

/// Timeout of a crash report to another entry.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The quarantine as known to this entry.
#[derive(Default)]
pub(super) struct SharedQuarantine {
    suspects: Mutex<Quarantine>,
}

impl SharedQuarantine {
    /// Records a crash that this or another entry observed.
    pub(super) fn record_crash(&self, shared: &Shared, crash: Crash) {
        let mut suspects = self.suspects.lock().expect("no holder of this lock panics");
        suspects.record_crash(crash, shared.clock.now());
    }

    /// Returns how `parsed` may run. The digest is computed only if there are suspects.
    pub(super) fn policy(&self, shared: &Shared, parsed: &ParsedRequest) -> RunPolicy {
        let suspects = self.suspects.lock().expect("no holder of this lock panics");
        if suspects.is_empty() {
            return RunPolicy::Shared;
        }
        let millis = shared.documents.in_force().config.limits.quarantine_ms;
        suspects.policy(
            &[parsed.digest().into()],
            Duration::from_millis(millis),
            shared.clock.now(),
        )
    }

    /// Clears a request that ran exclusively and completed.
    pub(super) fn clear(&self, shared: &Shared, request: Digest) {
        let mut suspects = self.suspects.lock().expect("no holder of this lock panics");
        suspects.clear(&[request.into()], shared.clock.now());
    }
}

/// Records a crash and reports it to all other entries, before the caller can retry the request
/// through one of them.
pub(super) fn report_crash(shared: &Arc<Shared>, crash: Crash) {
    warn!(shared.telemetry.log, "endpoint crashed while running a request";
        "request" => crash.request.to_string(), "beside" => crash.concurrent);
    shared.quarantine.record_crash(shared, crash);
    for member in shared.members().iter() {
        if member.role != HostRole::Entry || member.host == shared.settings.place.host {
            continue;
        }
        let mut call = shared
            .transport
            .call(member.address, &shared.make_request(RequestBody::Suspect(crash)));
        tokio::spawn(async move {
            let _ = tokio::time::timeout(REPORT_TIMEOUT, call.next()).await;
        });
    }
}
