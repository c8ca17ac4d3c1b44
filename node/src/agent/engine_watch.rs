//! Watches the endpoint, opens and closes the gate, and gives the engine its orders.
//!
//! The gate is the value `Shared::serving`: requests enter only for what stands there. Before an
//! order the gate closes and every request in progress ends; afterwards it opens for what the engine
//! itself reports, whatever it answered.

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

use super::Shared;
use super::TICK;
use crate::engine::LoadOrder;
use crate::engine::scan_version;
use crate::settings::EndpointSettings;
use crate::telemetry::Counter;
use crate::telemetry::Timer;

/// How long another replica may take to say that it is ready.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the end of a read may be noticed after the engine has answered.
const READ_GRACE: Duration = Duration::from_secs(2);

/// How often that is looked for.
const READ_POLL: Duration = Duration::from_millis(5);

struct Watch<'a> {
    shared: &'a Shared,
    backoff: Backoff,
    /// A version that the engine claims to have loaded without having read all its bytes.
    distrusted: Option<(StartId, Digest)>,
}

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    let mut watch = Watch { shared, backoff: Backoff::default(), distrusted: None };
    while !shared.is_over() {
        let serving = watch.look();
        set(shared, serving);
        if matches!(shared.settings.endpoint, EndpointSettings::Engine { .. }) {
            watch.order();
        }
        thread::sleep(TICK);
    }
}

impl Watch<'_> {
    fn look(&self) -> Serving {
        let Ok(health) = self.shared.engine.health() else {
            return Serving::Nothing;
        };
        let start = health.start_id;
        if let EndpointSettings::Plain { service, .. } = &self.shared.settings.endpoint {
            return Serving::Plain { service: service.clone(), start };
        }
        let loaded = health.loaded.and_then(|l| Some((l.model, scan_version(&l.version)?)));
        match loaded {
            Some((_, version)) if self.distrusted == Some((start, version)) => Serving::Nothing,
            Some((model, version)) => Serving::Model { model, version, start },
            None => Serving::Nothing,
        }
    }

    fn order(&mut self) {
        let held = match &*lock_serving(self.shared) {
            Serving::Model { model, version, .. } => Some((model.clone(), *version)),
            Serving::Nothing | Serving::Plain { .. } => None,
        };
        match self.shared.wanted() {
            Some((model, revision, plan)) => {
                if let Some(version) = self.shared.wanted_version(&plan) {
                    self.load(&model, version, revision, held);
                }
            }
            None => {
                if let Some((model, version)) = held {
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
        held: Option<(ModelName, Digest)>,
    ) {
        if held.as_ref().is_some_and(|(_, held)| *held == version)
            || !self.backoff.allows(version, self.shared.clock.now())
        {
            return;
        }
        let wanted = Wanted::new(version, revision, self.shared.incarnation);
        let Ok(verified) = wanted.verify(self.shared.store.is_complete(version)) else {
            return;
        };
        let release = held.is_none_or(|(model, held)| self.may_release(&model, held));
        if release {
            self.carry_out(verified, release, model);
        }
    }

    /// Drains, orders, and reads back.
    fn carry_out(&mut self, verified: Verified, release: bool, model: &ModelName) {
        let shared = self.shared;
        set(shared, Serving::Nothing);
        self.wait_until_idle();
        let Ok(drained) = verified.drain(release, shared.running.load(Ordering::Acquire)) else {
            return;
        };
        let (version, fence, ordered) = drained.order();
        let reads_before = shared.store.complete_reads(version);
        let result = self.send_load(model, version, fence);
        let reported = self.reported();
        let confirmed = ordered.confirm(reported);
        match confirmed {
            Ok(_) if self.was_read_whole(version, reads_before) => self.distrusted = None,
            Ok(start) => {
                // The connection broke half way and the engine took what it had for the whole: it
                // would answer from partial weights. Nothing may run until it has loaded them again.
                self.distrusted = Some((start, version));
                let _ = shared.engine.unload(fence);
            }
            Err(_) => {}
        }
        let trusted = confirmed.is_ok_and(|start| self.distrusted != Some((start, version)));
        if trusted {
            self.backoff.record_success();
            self.distrusted = None;
            return;
        }
        self.backoff.record_failure(version, shared.clock.now());
        shared.telemetry.count(Counter::OrdersFailed);
        let code = result.err().or(confirmed.err()).unwrap_or(Code::OrderIgnored);
        warn!(shared.telemetry.log, "engine did not load"; "code" => code.number());
    }

    /// Whether the weights have been read to their end since there were `before` such reads. The
    /// engine may answer before the thread that sends them has noticed that it sent the last byte.
    fn was_read_whole(&self, version: Digest, before: u64) -> bool {
        let begun = Instant::now();
        while self.shared.store.complete_reads(version) == before {
            if begun.elapsed() > READ_GRACE || self.shared.is_over() {
                return false;
            }
            thread::sleep(READ_POLL);
        }
        true
    }

    fn wait_until_idle(&self) {
        while self.shared.running.load(Ordering::Acquire) > 0 && !self.shared.is_over() {
            thread::sleep(TICK);
        }
    }

    fn send_load(&self, model: &ModelName, version: Digest, fence: Fence) -> Result<(), Code> {
        let shared = self.shared;
        let base = shared.weights_base.lock().expect("no holder of this lock panics").clone();
        let text = version.to_hex();
        let order = LoadOrder {
            model: model.clone(),
            source: format!("{base}{text}"),
            version: text.into(),
            fence,
        };
        let begun = Instant::now();
        shared.telemetry.count(Counter::Orders);
        let result = shared.engine.load(&order);
        shared.telemetry.time(Timer::Load, begun.elapsed());
        result
    }

    fn reported(&self) -> Option<Reported> {
        let health = self.shared.engine.health().ok()?;
        let version = health.loaded.and_then(|loaded| scan_version(&loaded.version));
        Some(Reported { start: health.start_id, version })
    }

    /// The plan has no replica here any more.
    fn unload(&mut self, model: &ModelName, version: Digest) {
        let shared = self.shared;
        let Some((revision, _)) = shared.documents.plan(model) else {
            return;
        };
        if !self.may_release(model, version) || !self.backoff.allows(version, shared.clock.now()) {
            return;
        }
        set(shared, Serving::Nothing);
        self.wait_until_idle();
        shared.telemetry.count(Counter::Orders);
        let fence = Fence { plan: revision, incarnation: shared.incarnation };
        let _ = shared.engine.unload(fence);
        if self.reported().is_none_or(|reported| reported.version.is_some()) {
            self.backoff.record_failure(version, shared.clock.now());
            shared.telemetry.count(Counter::OrdersFailed);
            warn!(shared.telemetry.log, "engine did not unload"; "version" => version.to_string());
        }
    }

    fn may_release(&self, model: &ModelName, held: Digest) -> bool {
        let shared = self.shared;
        let plan: Option<Plan> = shared.documents.plan(model).map(|(_, plan)| plan);
        let is_ready = |host: &HostName| {
            let Some(address) = shared.address_of(host) else {
                return false;
            };
            let ask = shared.ask(RequestBody::Members(MembersRequest::Probe));
            let reply = shared.transport.call_unary(address, &ask, PROBE_TIMEOUT);
            matches!(
                reply.map(|reply| reply.body),
                Ok(ReplyBody::Members(MembersReply::Member(member)))
                    if !member.leaving
                    && matches!(&member.serving, Serving::Model { version, .. } if *version == held)
            )
        };
        may_release(plan.as_ref(), &shared.settings.place.host, held, is_ready)
    }
}

fn lock_serving(shared: &Shared) -> std::sync::MutexGuard<'_, Serving> {
    shared.serving.lock().expect("no holder of this lock panics")
}

fn start_of(serving: &Serving) -> Option<StartId> {
    match serving {
        Serving::Nothing => None,
        Serving::Model { start, .. } | Serving::Plain { start, .. } => Some(*start),
    }
}

fn set(shared: &Shared, serving: Serving) {
    let mut old = lock_serving(shared);
    if *old == serving {
        return;
    }
    if start_of(&serving).is_some() && start_of(&old) != start_of(&serving) {
        shared.telemetry.count(Counter::EndpointStarts);
    }
    match (&*old, &serving) {
        (Serving::Nothing, _) => shared.telemetry.count(Counter::GateOpened),
        (_, Serving::Nothing) => shared.telemetry.count(Counter::GateClosed),
        _ => {}
    }
    if start_of(&old) != start_of(&serving) {
        shared.admission.lock().expect("no holder of this lock panics").restart();
    }
    info!(shared.telemetry.log, "endpoint changed"; "serving" => format!("{serving:?}"));
    *old = serving;
}
