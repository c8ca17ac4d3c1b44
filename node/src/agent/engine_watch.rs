//! Polls the health of the endpoint, opens and closes the gate, and sends orders to the engine.
//!
//! The gate is `Shared::serving`: only requests for the version or service in it are admitted.
//! Before an order the gate is closed and the requests in progress are drained. Afterwards it opens
//! for the version that the engine itself reports, whatever it answered to the order.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::MembersReply;
use mastichaven_core::members::MembersRequest;
use mastichaven_core::members::Serving;
use mastichaven_core::orders::Backoff;
use mastichaven_core::orders::Fence;
use mastichaven_core::orders::Reported;
use mastichaven_core::orders::Verified;
use mastichaven_core::orders::Wanted;
use mastichaven_core::orders::may_release;
use mastichaven_core::plan::Plan;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use slog::info;
use slog::warn;

use super::POLL_INTERVAL;
use super::Shared;
use crate::engine::LoadOrder;
use crate::engine::parse_version;
use crate::settings::EndpointSettings;
use crate::telemetry::Counter;
use crate::telemetry::Timer;

/// Timeout of a readiness probe to another replica.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after the response of the engine the end of its read may be recorded.
const READ_END_TIMEOUT: Duration = Duration::from_secs(2);

/// How often the record of completed reads is checked in that time.
const READ_END_POLL_INTERVAL: Duration = Duration::from_millis(5);

struct EngineWatch<'a> {
    shared: &'a Shared,
    backoff: Backoff,
    /// A version that the engine process reports as loaded without having read all its bytes.
    partial_load: Option<(StartId, Digest)>,
}

/// Runs until the agent stops.
pub(super) fn run(shared: &Shared) {
    let mut watch = EngineWatch { shared, backoff: Backoff::default(), partial_load: None };
    while !shared.is_over() {
        let serving = watch.read_serving();
        set_serving(shared, serving);
        if matches!(shared.settings.endpoint, EndpointSettings::Engine { .. }) {
            watch.reconcile();
        }
        thread::sleep(POLL_INTERVAL);
    }
}

impl EngineWatch<'_> {
    fn read_serving(&self) -> Serving {
        let Ok(health) = self.shared.engine.health() else {
            return Serving::Nothing;
        };
        let start = health.start_id;
        if let EndpointSettings::Plain { service, .. } = &self.shared.settings.endpoint {
            return Serving::Plain { service: service.clone(), start };
        }
        let loaded = health.loaded.and_then(|l| Some((l.model, parse_version(&l.version)?)));
        match loaded {
            Some((_, version)) if self.partial_load == Some((start, version)) => Serving::Nothing,
            Some((model, version)) => Serving::Model { model, version, start },
            None => Serving::Nothing,
        }
    }

    fn reconcile(&mut self) {
        let loaded = match &*lock_serving(self.shared) {
            Serving::Model { model, version, .. } => Some((model.clone(), *version)),
            Serving::Nothing | Serving::Plain { .. } => None,
        };
        match self.shared.wanted_plan() {
            Some((model, revision, plan)) => {
                if let Some(version) = self.shared.wanted_version(&plan) {
                    self.load(&model, version, revision, loaded);
                }
            }
            None => {
                if let Some((model, version)) = loaded {
                    self.unload(&model, version);
                }
            }
        }
    }

    fn load(
        &mut self,
        model: &ModelName,
        version: Digest,
        revision: u64,
        loaded: Option<(ModelName, Digest)>,
    ) {
        if loaded.as_ref().is_some_and(|(_, loaded)| *loaded == version)
            || !self.backoff.allows(version, self.shared.clock.now())
        {
            return;
        }
        let wanted = Wanted::new(version, revision, self.shared.incarnation);
        let Ok(verified) = wanted.verify(self.shared.store.is_complete(version)) else {
            return;
        };
        let release = loaded.is_none_or(|(model, old)| self.may_release(&model, old));
        if release {
            self.drain_and_load(verified, release, model);
        }
    }

    /// Drains the engine, orders it to load, and checks what it reports afterwards.
    fn drain_and_load(&mut self, verified: Verified, release: bool, model: &ModelName) {
        let shared = self.shared;
        set_serving(shared, Serving::Nothing);
        self.wait_until_idle();
        let Ok(drained) = verified.drain(release, shared.in_flight.load(Ordering::Acquire)) else {
            return;
        };
        let (version, fence, ordered) = drained.order();
        let reads_before = shared.store.complete_reads(version);
        let result = self.send_load(model, version, fence);
        let reported = self.read_reported();
        let confirmed = ordered.confirm(reported);
        match confirmed {
            Ok(_) if self.was_read_completely(version, reads_before) => self.partial_load = None,
            Ok(start) => {
                // The connection broke during the load and the engine took the partial weights for
                // complete ones. No request may run on it until it has loaded them again.
                self.partial_load = Some((start, version));
                let _ = shared.engine.unload(fence);
            }
            Err(_) => {}
        }
        let is_loaded = confirmed.is_ok_and(|start| self.partial_load != Some((start, version)));
        if is_loaded {
            self.backoff.record_success();
            self.partial_load = None;
            return;
        }
        self.backoff.record_failure(version, shared.clock.now());
        shared.telemetry.count(Counter::OrdersFailed);
        let code = result.err().or(confirmed.err()).unwrap_or(Code::OrderIgnored);
        warn!(shared.telemetry.log, "engine failed to load"; "code" => code.number());
    }

    /// Whether the weights were read to their end again after the count of such reads was `before`.
    /// The engine may answer before the thread that sends the weights has recorded the last byte.
    fn was_read_completely(&self, version: Digest, before: u64) -> bool {
        let begun = Instant::now();
        while self.shared.store.complete_reads(version) == before {
            if begun.elapsed() > READ_END_TIMEOUT || self.shared.is_over() {
                return false;
            }
            thread::sleep(READ_END_POLL_INTERVAL);
        }
        true
    }

    fn wait_until_idle(&self) {
        while self.shared.in_flight.load(Ordering::Acquire) > 0 && !self.shared.is_over() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send_load(&self, model: &ModelName, version: Digest, fence: Fence) -> Result<(), Code> {
        let shared = self.shared;
        let prefix = shared.weights_url.lock().expect("no holder of this lock panics").clone();
        let text = version.to_hex();
        let order = LoadOrder {
            model: model.clone(),
            source: format!("{prefix}{text}"),
            version: text.into(),
            fence,
        };
        let begun = Instant::now();
        shared.telemetry.count(Counter::Orders);
        let result = shared.engine.load(&order);
        shared.telemetry.time(Timer::Load, begun.elapsed());
        result
    }

    fn read_reported(&self) -> Option<Reported> {
        let health = self.shared.engine.health().ok()?;
        let version = health.loaded.and_then(|loaded| parse_version(&loaded.version));
        Some(Reported { start: health.start_id, version })
    }

    /// Unloads a version of a model whose plan no longer has a replica on this host.
    fn unload(&mut self, model: &ModelName, version: Digest) {
        let shared = self.shared;
        let Some((revision, _)) = shared.documents.plan(model) else {
            return;
        };
        if !self.may_release(model, version) || !self.backoff.allows(version, shared.clock.now()) {
            return;
        }
        set_serving(shared, Serving::Nothing);
        self.wait_until_idle();
        shared.telemetry.count(Counter::Orders);
        let fence = Fence { plan: revision, incarnation: shared.incarnation };
        let _ = shared.engine.unload(fence);
        if self.read_reported().is_none_or(|reported| reported.version.is_some()) {
            self.backoff.record_failure(version, shared.clock.now());
            shared.telemetry.count(Counter::OrdersFailed);
            warn!(shared.telemetry.log, "engine failed to unload"; "version" => version.to_string());
        }
    }

    fn may_release(&self, model: &ModelName, old: Digest) -> bool {
        let shared = self.shared;
        let plan: Option<Plan> = shared.documents.plan(model).map(|(_, plan)| plan);
        let is_ready = |host: &HostName| {
            let Some(address) = shared.address_of(host) else {
                return false;
            };
            let probe = shared.make_request(RequestBody::Members(MembersRequest::Probe));
            let reply = shared.transport.call_unary(address, &probe, PROBE_TIMEOUT);
            matches!(
                reply.map(|reply| reply.body),
                Ok(ReplyBody::Members(MembersReply::Member(member)))
                    if !member.leaving
                    && matches!(&member.serving, Serving::Model { version, .. } if *version == old)
            )
        };
        may_release(plan.as_ref(), &shared.settings.place.host, old, is_ready)
    }
}

fn lock_serving(shared: &Shared) -> std::sync::MutexGuard<'_, Serving> {
    shared.serving.lock().expect("no holder of this lock panics")
}

fn start_id_of(serving: &Serving) -> Option<StartId> {
    match serving {
        Serving::Nothing => None,
        Serving::Model { start, .. } | Serving::Plain { start, .. } => Some(*start),
    }
}

fn set_serving(shared: &Shared, serving: Serving) {
    let mut old = lock_serving(shared);
    if *old == serving {
        return;
    }
    if start_id_of(&serving).is_some() && start_id_of(&old) != start_id_of(&serving) {
        shared.telemetry.count(Counter::EndpointStarts);
    }
    match (&*old, &serving) {
        (Serving::Nothing, _) => shared.telemetry.count(Counter::GateOpened),
        (_, Serving::Nothing) => shared.telemetry.count(Counter::GateClosed),
        _ => {}
    }
    if start_id_of(&old) != start_id_of(&serving) {
        shared.admission.lock().expect("no holder of this lock panics").restart();
    }
    info!(shared.telemetry.log, "endpoint state changed"; "serving" => format!("{serving:?}"));
    *old = serving;
}
