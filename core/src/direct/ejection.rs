//! Whether an endpoint is well, as its requests' outcomes show it.
//!
//! Probes say little: an endpoint may answer them well and fail requests. So an endpoint that fails
//! several requests in a row rests for a growing time, and comes back with one request at a time.

use std::time::Duration;

use crate::time::Time;

/// Answers lost in a row after which an endpoint rests, and failures that it signed itself: some of
/// those are the request's own.
const LOSSES_TO_EJECT: u32 = 2;
const FAILURES_TO_EJECT: u32 = 3;

/// First and longest rest. After it one request at a time goes there until one is answered, so that
/// a link that takes seconds does not swallow a share of all requests again and again.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(1_500);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);

/// What the outcomes of an endpoint's requests say of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    consecutive_failures: u32,
    consecutive_losses: u32,
    ejection_time: Duration,
    ejected_until: Time,
}

impl Ejection {
    /// A request failed, without an answer if `is_lost`.
    pub(super) fn record_failure(&mut self, is_lost: bool, now: Time) {
        self.consecutive_failures += 1;
        self.consecutive_losses += u32::from(is_lost);
        let is_over_threshold = self.consecutive_losses >= LOSSES_TO_EJECT
            || self.consecutive_failures >= FAILURES_TO_EJECT;
        // Requests that were under way together fail together; they are one reason to rest.
        if (is_over_threshold || !self.ejection_time.is_zero()) && now >= self.ejected_until {
            self.ejection_time =
                (self.ejection_time * 2).clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
            self.ejected_until = now + self.ejection_time;
        }
    }

    /// Whether it rests now.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Whether a request may go there, when `own` of this entry are there already.
    pub(super) fn is_available(&self, in_flight: u32, now: Time) -> bool {
        self.ejection_time.is_zero() || (now >= self.ejected_until && in_flight == 0)
    }
}
