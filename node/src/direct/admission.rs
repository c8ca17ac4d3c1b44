//! Levels of priority of calls: what an entry records about them, and the order in which they wait
//! for a place.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::priority::Admission;
use mastichaven_core::direct::priority::AdmissionStats;
use mastichaven_core::direct::priority::MAX_LEVELS;
use mastichaven_core::direct::priority::PriorityClass;
use mastichaven_core::direct::retry_after::ReturnSlice;
use mastichaven_core::direct::wait_queue::WaitKey;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::ServiceName;
use mastichaven_platform::call::CallHead;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::call::Call;
use super::call::CallHistory;
use super::state::State;

/// Interval at which the first waiter looks for a place even if none was reported as freed:
/// endpoints also become available as time passes.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Names of the counters of calls that were given a place, by level.
const ADMITTED: [&str; MAX_LEVELS] = [
    "admitted_level_0",
    "admitted_level_1",
    "admitted_level_2",
    "admitted_level_3",
    "admitted_level_4",
    "admitted_level_5",
    "admitted_level_6",
    "admitted_level_7",
];

/// Names of the counters of calls that were refused, by level.
const REFUSED: [&str; MAX_LEVELS] = [
    "refused_level_0",
    "refused_level_1",
    "refused_level_2",
    "refused_level_3",
    "refused_level_4",
    "refused_level_5",
    "refused_level_6",
    "refused_level_7",
];

impl State {
    /// Service and class of a call that was rejected before it was admitted; `None` if they are
    /// unknown.
    pub(super) fn class_of(
        &self,
        head: &CallHead,
        path: &str,
    ) -> Option<(ServiceName, PriorityClass)> {
        let catalog = self.catalog.borrow().clone()?;
        let route = catalog.route(&head.host, path)?;
        let customer = head.key.as_deref().and_then(|key| catalog.customer(key));
        let service = &route.splits.first()?.service;
        Some((service.clone(), catalog.priority_class(service, route, customer)))
    }

    /// Records the arrival of a call.
    pub(super) fn record_request(&self, call: &Call) {
        if call.class.has_levels() {
            let now = self.now();
            self.with_admissions(&call.service, |stats| {
                stats.record_request(call.class, customer_of(call), now);
            });
        }
    }

    /// Records that a call that has just arrived has to wait for a place.
    pub(super) fn record_wait(
        &self,
        call: &Call,
        history: &CallHistory,
        admission: &Admission,
        now: Time,
    ) {
        if call.class.has_levels() && !history.is_admitted {
            self.with_admissions(&call.service, |stats| {
                stats.record_wait(call.class, admission, now);
            });
        }
    }

    /// Records that a call is given a place, and how it was treated.
    pub(super) fn record_admission(
        &self,
        call: &Call,
        history: &mut CallHistory,
        admission: &Admission,
        now: Time,
    ) {
        history.is_exempt = admission.is_exempt;
        if !call.class.has_levels() || std::mem::replace(&mut history.is_admitted, true) {
            return;
        }
        self.metrics.count(ADMITTED[usize::from(call.class.level)]);
        if admission.is_exempt {
            self.metrics.count("floor_admissions");
        }
        self.with_admissions(&call.service, |stats| {
            stats.record_admission(call.class, customer_of(call), now);
        });
    }

    /// Records that a call is refused for lack of turns at cold endpoints.
    pub(super) fn record_turn_refusal(&self, call: &Call, now: Time) {
        if call.class.has_levels() {
            self.with_admissions(&call.service, |stats| stats.record_turn_refusal(call.class, now));
        }
    }

    /// Counts a call that is refused.
    pub(super) fn count_refusal(&self, class: PriorityClass) {
        if class.has_levels() {
            self.metrics.count(REFUSED[usize::from(class.level)]);
        }
    }

    /// How a call is treated at `now`. The next attempt of a stream whose caller has received a part
    /// is treated as one of the highest level.
    pub(super) fn admission(&self, call: &Call, history: &CallHistory, now: Time) -> Admission {
        if !call.class.has_levels() || history.is_resumption {
            return Admission::default();
        }
        self.with_admissions(&call.service, |stats| {
            stats.admission(call.class, customer_of(call), now)
        })
    }

    /// The part of the time in which refused callers return that belongs to a class.
    pub(super) fn return_slice(&self, service: &ServiceName, class: PriorityClass) -> ReturnSlice {
        if !class.has_levels() {
            return ReturnSlice::WHOLE;
        }
        let now = self.now();
        self.with_admissions(service, |stats| stats.return_slice(class, now))
    }

    /// Whether a call of `level` that has just arrived must let a waiter of its service go first.
    pub(super) fn must_queue(&self, call: &Call, level: u8) -> bool {
        let wait_queues = self.wait_queues.borrow();
        wait_queues.get(&call.service).is_some_and(|queue| queue.precedes(level))
    }

    fn with_admissions<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut AdmissionStats) -> T,
    ) -> T {
        f(self.admissions.borrow_mut().entry(service.clone()).or_default())
    }
}

fn customer_of(call: &Call) -> Option<&CustomerName> {
    call.customer.as_ref().map(|customer| &customer.name)
}

/// A call in the wait queue of its service, until it is dropped. Then the next one looks for a place.
pub(super) struct Waiter {
    state: Rc<State>,
    service: ServiceName,
    key: WaitKey,
    offered: Rc<Notify>,
}

impl Waiter {
    /// Adds a call of `level` to the wait queue.
    pub(super) fn join(state: &Rc<State>, call: &Call, level: u8) -> Waiter {
        let offered = Rc::new(Notify::new());
        let in_time_until = call.received_at + call.route.objective;
        let mut wait_queues = state.wait_queues.borrow_mut();
        let queue = wait_queues.entry(call.service.clone()).or_default();
        let key = queue.insert(level, in_time_until, offered.clone());
        drop(wait_queues);
        Waiter { state: state.clone(), service: call.service.clone(), key, offered }
    }

    /// Waits until the call may look for a place, at most for `limit`.
    pub(super) async fn wait(&self, limit: Duration) {
        let limit = if self.is_first() { limit.min(RECHECK_INTERVAL) } else { limit };
        let _ = timeout(limit, self.offered.notified()).await;
    }

    /// Lets the next waiter look for a place after this one has found none.
    pub(super) fn pass_on(&self) {
        let wait_queues = self.state.wait_queues.borrow();
        let next = wait_queues.get(&self.service).and_then(|queue| queue.next_after(self.key));
        if let Some((_, next)) = next {
            next.notify_one();
        }
    }

    fn is_first(&self) -> bool {
        let wait_queues = self.state.wait_queues.borrow();
        let first = wait_queues.get(&self.service).and_then(|queue| queue.first());
        first.is_some_and(|(key, _)| key == self.key)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if let Some(queue) = self.state.wait_queues.borrow_mut().get_mut(&self.service) {
            queue.remove(self.key);
        }
        self.pass_on();
    }
}
