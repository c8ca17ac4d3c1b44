//! What the entries know of requests that crash endpoints, and how they tell each other.

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
use super::parse::Parsed;

/// How long another entry may take to note a crash.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// The suspects this entry knows.
#[derive(Default)]
pub(super) struct Suspects {
    quarantine: Mutex<Quarantine>,
}

impl Suspects {
    /// Notes a crash that another entry tells of.
    pub(super) fn told(&self, shared: &Shared, crash: Crash) {
        let mut quarantine = self.quarantine.lock().expect("no holder of this lock panics");
        quarantine.record_crash(crash, shared.clock.now());
    }

    /// How `parsed` may run.
    pub(super) fn verdict(&self, shared: &Shared, parsed: &Parsed) -> RunPolicy {
        let quarantine = self.quarantine.lock().expect("no holder of this lock panics");
        if quarantine.is_empty() {
            return RunPolicy::Shared;
        }
        let millis = shared.documents.in_force().config.limits.quarantine_ms;
        quarantine.policy(parsed.digest(), Duration::from_millis(millis), shared.clock.now())
    }

    /// A request that ran alone has ended whole.
    pub(super) fn came_through(&self, request: Digest) {
        self.quarantine.lock().expect("no holder of this lock panics").clear(request);
    }
}

/// Notes that `request` was running when its endpoint crashed, and tells all other entries before
/// its caller can send it through one of them again.
pub(super) fn crashed(shared: &Arc<Shared>, crash: Crash) {
    warn!(shared.telemetry.log, "endpoint crashed under a request";
        "request" => crash.request.to_string(), "beside" => crash.concurrent);
    shared.suspects.told(shared, crash);
    for member in shared.members().iter() {
        if member.role != HostRole::Entry || member.host == shared.settings.place.host {
            continue;
        }
        let mut call =
            shared.transport.call(member.address, &shared.ask(RequestBody::Suspect(crash)));
        tokio::spawn(async move {
            let _ = tokio::time::timeout(TELL_TIMEOUT, call.next()).await;
        });
    }
}
