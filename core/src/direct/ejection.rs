//! Outlier ejection: takes an endpoint out of rotation after several failed requests in a row.
//!
//! Active probes are a weak signal, since an endpoint may answer them and still fail requests. An
//! ejected endpoint returns after a delay that doubles with each further failure, and then gets one
//! request at a time until one succeeds.

use std::time::Duration;

use crate::time::Time;

/// Lost answers in a row after which an endpoint is ejected.
const LOSSES_TO_EJECT: u32 = 2;
/// The same for failures of any kind. It is higher, as some errors that the endpoint itself returns are
/// the fault of the request.
const FAILURES_TO_EJECT: u32 = 3;

/// Shortest ejection. Afterwards the endpoint gets one request at a time until one is answered, so
/// that a link that takes seconds does not delay a share of all requests again and again.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(1_500);
/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);

/// Recent failures of an endpoint and its ejection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    consecutive_failures: u32,
    consecutive_losses: u32,
    ejection_time: Duration,
    ejected_until: Time,
}

impl Ejection {
    /// Records a failed request; `is_lost` if no answer came.
    pub(super) fn record_failure(&mut self, is_lost: bool, now: Time) {
        self.consecutive_failures += 1;
        self.consecutive_losses += u32::from(is_lost);
        let is_over_threshold = self.consecutive_losses >= LOSSES_TO_EJECT
            || self.consecutive_failures >= FAILURES_TO_EJECT;
        // Requests that were in flight together fail together, so they count as one reason to
        // eject.
        if (is_over_threshold || !self.ejection_time.is_zero()) && now >= self.ejected_until {
            self.ejection_time =
                (self.ejection_time * 2).clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
            self.ejected_until = now + self.ejection_time;
        }
    }

    /// Whether the endpoint is ejected now.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Whether a request may be sent, given the number of this entry's requests that are already
    /// `in_flight`.
    pub(super) fn is_available(&self, in_flight: u32, now: Time) -> bool {
        self.ejection_time.is_zero() || (now >= self.ejected_until && in_flight == 0)
    }
}
