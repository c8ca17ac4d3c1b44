//! Requests in flight to endpoints.

use std::rc::Rc;

use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::work::RequestWork;

use super::state::State;

/// Counts a request as in flight to an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    state: Rc<State>,
    /// The endpoint that the request was sent to.
    pub endpoint: EndpointKey,
}

impl InFlightGuard {
    /// The state of the entry that sent the request.
    pub(super) fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// Counts a new request to `endpoint`.
    pub fn acquire(
        state: &Rc<State>,
        endpoint: EndpointKey,
        work: Option<RequestWork>,
    ) -> InFlightGuard {
        if state.endpoints.borrow_mut().record_work_sent(endpoint, work, state.now()) {
            state.metrics.count("cold_slots_used");
        }
        InFlightGuard { state: state.clone(), endpoint }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.endpoints.borrow_mut().record_finished(self.endpoint);
        self.state.notify_capacity_freed();
    }
}
