//! Which endpoint a request is offered to next, if any.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint_table::Requirements;
use mastichaven_core::direct::endpoint_table::Unavailable;
use tokio::time::timeout;

use super::call::Call;
use super::call::Refusal;
use super::call::Result;
use super::call::Trail;
use super::state::State;

/// Endpoints that one request is offered to at most, counting those that refused or could not be
/// reached. More tries find nothing that these did not.
const MAX_OFFERS: usize = 4;

/// How long a request waits here for a place, as a part of its objective. Longer waits are better
/// spent by the caller: refused at once, it comes back elsewhere.
const WAIT_PART: f64 = 0.125;

/// Least time left for which another attempt is worth its place.
const LEAST_LEFT: Duration = Duration::from_millis(60);

/// The refusal once no further endpoint is tried.
fn give_up(trail: &Trail, unsent: Refusal) -> Refusal {
    if trail.may_have_run {
        Refusal::Lost
    } else if trail.offers() > 0 {
        Refusal::Declined
    } else {
        unsent
    }
}

/// The endpoint to try next, or why there is none. Waits a short while for a place.
pub(super) async fn next_endpoint(
    state: &Rc<State>,
    call: &Call,
    trail: &Trail,
) -> Result<EndpointKey> {
    let now = state.now();
    if now >= call.deadline {
        return Err(give_up(trail, Refusal::NotStarted));
    }
    if trail.offers() > 0 {
        let runs_left = trail.arrivals < call.route.max_attempts;
        let time_left = call.deadline.since(now) >= LEAST_LEFT;
        if !runs_left || !time_left || trail.offers() >= MAX_OFFERS {
            return Err(give_up(trail, Refusal::Declined));
        }
    }
    let wait_until = call.arrived + call.route.objective.mul_f64(WAIT_PART);
    let endpoint = loop {
        let now = state.now();
        match choose(state, call, trail, now) {
            Ok(endpoint) => break endpoint,
            Err(Unavailable::NoEndpoint) => return Err(give_up(trail, Refusal::NoEndpoint)),
            Err(Unavailable::Full) if now >= wait_until => {
                return Err(give_up(trail, Refusal::Full));
            }
            Err(Unavailable::Warming) if now >= wait_until => {
                return Err(give_up(trail, Refusal::Warming));
            }
            Err(Unavailable::Full | Unavailable::Warming) => {
                let _ = timeout(wait_until.since(now), state.capacity_freed.notified()).await;
            }
        }
    };
    let now = state.now();
    if trail.arrivals > 0 {
        let entries = state.endpoints.borrow().entries();
        if !state.with_retry_budget(&call.service, |budget| budget.try_spend(entries, now)) {
            state.metrics.count("retries_over_budget");
            return Err(give_up(trail, Refusal::Declined));
        }
        state.metrics.count("retries");
    }
    Ok(endpoint)
}

fn choose(
    state: &Rc<State>,
    call: &Call,
    trail: &Trail,
    now: Time,
) -> std::result::Result<EndpointKey, Unavailable> {
    let oldest =
        call.head.model.as_deref().map(|model| (model, state.oldest_allowed_version(model, now)));
    let customer_regions = call.customer.as_ref().map(|c| c.allowed_regions.as_slice());
    let requirements = Requirements {
        service: &call.service,
        model: oldest,
        regions: [&call.route.allowed_regions, customer_regions.unwrap_or_default()],
        tried: &trail.tried,
        cold_per_second: call.cold_per_second,
        is_late: call.is_late,
    };
    let mut endpoints = state.endpoints.borrow_mut();
    state.with_rng(|rng| endpoints.choose(&requirements, now, rng))
}
