//! Admission control of an endpoint by its agent.
//!
//! Only the agent can bound the load of its endpoint exactly, as all requests pass through it. A
//! new endpoint is cold: it gets [`COLD_LIMIT`] requests at a time until it has completed
//! [`WARM_UP_REQUESTS`]. Then the limit doubles after each full round, as long as the latency to
//! the first byte stays at its baseline.

use std::time::Duration;

use crate::run::Load;

/// Concurrent requests of a cold endpoint.
pub const COLD_LIMIT: u32 = 2;

/// Requests that a cold endpoint completes before its limit first grows.
pub const WARM_UP_REQUESTS: u32 = 8;

/// Ratio of recent to baseline first-byte latency above which the limit decreases.
const SLOW_FACTOR: f64 = 2.0;

/// Ratio of recent to baseline first-byte latency above which the endpoint counts as cold again.
const COLD_FACTOR: f64 = 5.0;

/// Latencies below this are never slow: timers and scheduling alone vary by as much.
const LATENCY_FLOOR_SECONDS: f64 = 0.050;

/// Factor on the limit after a slow round.
const DECREASE_FACTOR: f64 = 0.85;

/// Maximum work in progress, as a multiple of the average work of as many requests as the limit.
const WORK_HEADROOM: f64 = 2.0;

/// Maximum share of the work budget that one request counts for, so that a huge request excludes
/// other huge ones but not average ones.
const MAX_WORK_SHARE: f64 = 0.25;

/// Weight of one request in the moving average of the recent latency.
const RECENT_WEIGHT: f64 = 0.2;

/// Weight of one request in the moving averages of the baseline, which follow slowly.
const BASELINE_WEIGHT: f64 = 0.02;

/// Permit of an admitted request, returned with [`Admission::release`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use = "a permit that is not released reduces the capacity for good"]
pub struct Permit {
    epoch: u64,
    work: u32,
    exclusive: bool,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// With a complete response, whose first byte took this long.
    Complete(Duration),
    /// Without a complete response; not counted against the endpoint.
    Aborted,
}

/// Admits requests up to a limit that adapts to the observed latency of the endpoint.
#[derive(Clone, Debug)]
pub struct Admission {
    max: u32,
    limit: f64,
    in_flight: u32,
    work: u64,
    /// Moving average of the work of a request; zero until one has completed.
    average_work: f64,
    /// Number of resets to cold; completions from an earlier epoch do not warm up the endpoint.
    epoch: u64,
    completed: u32,
    round_completed: u32,
    baseline: Option<f64>,
    recent: Option<f64>,
    sent_unconfirmed: u32,
    exclusive: bool,
}

impl Admission {
    /// Creates the state of a cold endpoint that handles at most `max` requests when warm.
    pub fn cold(max: u32) -> Admission {
        Admission {
            max: max.max(1),
            limit: f64::from(COLD_LIMIT.min(max.max(1))),
            in_flight: 0,
            work: 0,
            average_work: 0.0,
            epoch: 0,
            completed: 0,
            round_completed: 0,
            baseline: None,
            recent: None,
            sent_unconfirmed: 0,
            exclusive: false,
        }
    }

    /// Changes the maximum limit of the warm endpoint.
    pub fn set_max(&mut self, max: u32) {
        self.max = max.max(1);
        self.limit = self.limit.min(f64::from(self.max));
    }

    /// Admits a request of `work` units; `None` if it does not fit. O(1).
    ///
    /// The number of requests is the usual bound. The work is the bound when a few requests are
    /// much larger than average. An idle endpoint always admits one request.
    pub fn try_acquire(&mut self, work: u32) -> Option<Permit> {
        let budget = self.limit * self.average_work * WORK_HEADROOM;
        let work = if budget > 0.0 { work.min((budget * MAX_WORK_SHARE) as u32) } else { work };
        let fits =
            self.in_flight == 0 || budget == 0.0 || (self.work + u64::from(work)) as f64 <= budget;
        if self.exclusive || self.in_flight >= self.limit as u32 || !fits {
            return None;
        }
        Some(self.acquire(work, false))
    }

    /// Stops admission so that a suspect request can run exclusively once the endpoint is idle.
    /// Returns false if the endpoint is already reserved.
    pub fn reserve_exclusive(&mut self) -> bool {
        !std::mem::replace(&mut self.exclusive, true)
    }

    /// Admits the request that reserved the endpoint, if the endpoint is idle.
    pub fn try_acquire_exclusive(&mut self, work: u32) -> Option<Permit> {
        (self.exclusive && self.in_flight == 0).then(|| self.acquire(work, true))
    }

    /// Cancels a reservation whose request has stopped waiting.
    pub fn cancel_exclusive(&mut self) {
        self.exclusive = false;
    }

    fn acquire(&mut self, work: u32, exclusive: bool) -> Permit {
        let work = work.max(1);
        self.in_flight += 1;
        self.work += u64::from(work);
        Permit { epoch: self.epoch, work, exclusive }
    }

    /// Returns the permit of a request that has ended.
    pub fn release(&mut self, permit: Permit, end: RequestEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.work = self.work.saturating_sub(u64::from(permit.work));
        if permit.exclusive {
            self.exclusive = false;
        }
        if let (RequestEnd::Complete(first_byte), true) = (end, permit.epoch == self.epoch) {
            self.completed += 1;
            let work = f64::from(permit.work);
            let is_first = self.average_work == 0.0;
            self.average_work =
                if is_first { work } else { average(self.average_work, work, BASELINE_WEIGHT) };
            self.record_first_byte(first_byte.as_secs_f64());
        }
    }

    fn record_first_byte(&mut self, first_byte: f64) {
        let recent = self.recent.map_or(first_byte, |old| average(old, first_byte, RECENT_WEIGHT));
        self.recent = Some(recent);
        let baseline = self.baseline.unwrap_or(first_byte);
        if recent > LATENCY_FLOOR_SECONDS && recent > baseline * COLD_FACTOR {
            return self.reset_to_cold();
        }
        self.baseline =
            Some(baseline.min(first_byte).max(average(baseline, first_byte, BASELINE_WEIGHT)));
        self.round_completed += 1;
        let is_round_complete = self.round_completed >= (self.limit as u32).max(1);
        if !is_round_complete || self.completed < WARM_UP_REQUESTS {
            return;
        }
        self.round_completed = 0;
        let is_slow = recent > LATENCY_FLOOR_SECONDS && recent > baseline * SLOW_FACTOR;
        let cold = f64::from(COLD_LIMIT.min(self.max));
        self.limit = if is_slow { self.limit * DECREASE_FACTOR } else { self.limit * 2.0 };
        self.limit = self.limit.clamp(cold, f64::from(self.max));
    }

    fn reset_to_cold(&mut self) {
        self.limit = f64::from(COLD_LIMIT.min(self.max));
        self.epoch += 1;
        self.completed = 0;
        self.round_completed = 0;
        self.recent = None;
    }

    /// Resets to cold after a restart of the endpoint. Requests in progress still count, as they
    /// hold their permits until they are known to have ended.
    pub fn restart(&mut self) {
        self.reset_to_cold();
        self.baseline = None;
        self.sent_unconfirmed = 0;
    }

    /// Whether the start id of the endpoint must be queried before another request is sent.
    ///
    /// An endpoint that restarts unnoticed would be sent the load of a warm one. At most
    /// [`COLD_LIMIT`] requests are sent between two confirmations of the start id, so a restarted
    /// endpoint gets no more than the cold limit.
    pub fn needs_confirmation(&self) -> bool {
        self.sent_unconfirmed >= COLD_LIMIT.min(self.max)
    }

    /// Records that a request is sent to the endpoint.
    pub fn record_sent(&mut self) {
        self.sent_unconfirmed += 1;
    }

    /// Records that the endpoint reported its known start id.
    pub fn confirm(&mut self) {
        self.sent_unconfirmed = 0;
    }

    /// The load as reported to entries.
    pub fn load(&self) -> Load {
        Load {
            work: u32::try_from(self.work).unwrap_or(u32::MAX),
            limit: if self.exclusive { 0 } else { self.limit as u32 },
            requests: self.in_flight,
        }
    }
}

fn average(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
