//! Watches the endpoint, orders the engine to load what the plan wants, and opens the gate.

use std::thread;
use std::time::Instant;

use mastichaven_core::ids::StartId;
use mastichaven_core::members::Serving;
use slog::info;
use slog::warn;

use super::Shared;
use super::TICK;
use crate::engine::Fence;
use crate::engine::LoadOrder;
use crate::engine::scan_version;
use crate::settings::EndpointSettings;
use crate::telemetry::Counter;
use crate::telemetry::Timer;

/// Runs until the agent ends.
pub(super) fn run(shared: &Shared) {
    while !shared.is_over() {
        let serving = look(shared);
        set(shared, serving);
        order(shared);
        thread::sleep(TICK);
    }
}

fn look(shared: &Shared) -> Serving {
    let Ok(health) = shared.engine.health() else {
        return Serving::Nothing;
    };
    match &shared.settings.endpoint {
        EndpointSettings::Plain { service, .. } => {
            Serving::Plain { service: service.clone(), start: health.start_id }
        }
        EndpointSettings::Engine { .. } => match health.loaded {
            Some(loaded) => match scan_version(&loaded.version) {
                Some(version) => {
                    Serving::Model { model: loaded.model, version, start: health.start_id }
                }
                None => Serving::Nothing,
            },
            None => Serving::Nothing,
        },
    }
}

fn start_of(serving: &Serving) -> Option<StartId> {
    match serving {
        Serving::Nothing => None,
        Serving::Model { start, .. } | Serving::Plain { start, .. } => Some(*start),
    }
}

fn set(shared: &Shared, serving: Serving) {
    let mut old = shared.serving.lock().expect("no holder of this lock panics");
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

fn order(shared: &Shared) {
    let EndpointSettings::Engine { .. } = shared.settings.endpoint else {
        return;
    };
    let Some((model, revision, plan)) = shared.wanted() else {
        return;
    };
    let Some(wanted) = plan.version_for(&shared.settings.place.host) else {
        return;
    };
    let serving = shared.serving.lock().expect("no holder of this lock panics").clone();
    if matches!(&serving, Serving::Model { version, .. } if *version == wanted) {
        return;
    }
    if !shared.store.is_complete(wanted) {
        return;
    }
    let version = wanted.to_hex();
    let base = shared.weights_base.lock().expect("no holder of this lock panics").clone();
    let order = LoadOrder {
        model,
        source: format!("{base}{version}"),
        version: version.into(),
        fence: Fence { plan: revision, incarnation: shared.incarnation },
    };
    let begun = Instant::now();
    shared.telemetry.count(Counter::Orders);
    let result = shared.engine.load(&order);
    shared.telemetry.time(Timer::Load, begun.elapsed());
    if let Err(code) = result {
        shared.telemetry.count(Counter::OrdersFailed);
        warn!(shared.telemetry.log, "engine did not load"; "code" => code.number());
    }
}
