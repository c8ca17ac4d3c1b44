//! Whether an endpoint is well, as its requests' outcomes show it.
//!
//! Probes say little: an endpoint may answer them well and fail requests. So an endpoint that fails
//! several requests in a row rests for a growing time, and comes back with one request at a time.

use std::time::Duration;

use crate::time::Time;

/// Answers lost in a row after which an endpoint rests, and failures that it signed itself: some of
/// those are the request's own.
const LOSSES_TO_REST: u32 = 2;
const FAILURES_TO_REST: u32 = 3;

/// First and longest rest. After it one request at a time goes there until one is answered, so that
/// a link that takes seconds does not swallow a share of all requests again and again.
const REST_FIRST: Duration = Duration::from_millis(1_500);
const REST_LONGEST: Duration = Duration::from_secs(8);

/// What the outcomes of an endpoint's requests say of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    losses: u32,
    rest: Duration,
    rests_until: Time,
}

impl Health {
    /// A request failed, without an answer if `is_lost`.
    pub(super) fn failed(&mut self, is_lost: bool, now: Time) {
        self.failures += 1;
        self.losses += u32::from(is_lost);
        let is_bad = self.losses >= LOSSES_TO_REST || self.failures >= FAILURES_TO_REST;
        // Requests that were under way together fail together; they are one reason to rest.
        if (is_bad || !self.rest.is_zero()) && now >= self.rests_until {
            self.rest = (self.rest * 2).clamp(REST_FIRST, REST_LONGEST);
            self.rests_until = now + self.rest;
        }
    }

    /// Whether it rests now.
    pub(super) fn rests(&self, now: Time) -> bool {
        self.rests_until > now
    }

    /// Whether a request may go there, when `own` of this entry are there already.
    pub(super) fn takes(&self, own: u32, now: Time) -> bool {
        self.rest.is_zero() || (now >= self.rests_until && own == 0)
    }
}
