//! Delays after which refused callers are asked to return (`Retry-After`).
//!
//! A caller that returns too early is refused once more, and most callers return only once. The
//! delay therefore depends on the cause of the refusal and on what is known of its end. It is
//! spread at random, so that callers refused together do not return together.

use std::ops::Range;
use std::time::Duration;

/// Delay in seconds where another entry or endpoint may serve the caller at once.
const SHORT_DELAY_S: Range<f64> = 0.15..0.45;

/// Delay in seconds while all endpoints are full. A caller refused then is late when it returns.
/// Most bursts last a second or longer, so callers that return after [`SHORT_DELAY_S`] would meet
/// the same burst.
const FULL_DELAY_S: Range<f64> = 1.0..1.9;

/// Delay in seconds from an entry that has just started. Such an entry is sent callers only while
/// most entries of its zone are starting, and then endpoints have yet to be discovered and may have
/// to load.
const STARTING_DELAY_S: Range<f64> = 0.8..1.8;

/// Seconds over which callers are spread from the moment at which the first endpoint serves again;
/// the other endpoints follow it.
const RETURN_SPREAD_S: f64 = 1.0;

/// Fraction of a caller's remaining time after which it returns when no endpoint may serve it and
/// the end of that is unknown. Loading weights, a zone that is cut off and restarts of endpoints
/// take seconds, so callers wait for up to a third of their time.
const UNKNOWN_DELAY_SHARE: Range<f64> = 0.25..0.33;

/// Why a caller was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The entry has just started.
    Starting,
    /// The entry's lease on its configuration has expired.
    NoLease {
        /// Whether another entry of its region still holds a lease.
        is_held_in_region: bool,
    },
    /// All endpoints are full.
    Full,
    /// The endpoints with free places have just started, and their request rate is used up.
    Warming {
        /// Time until the first of them is warm.
        warm_in: Duration,
    },
    /// This entry's share of the request limits of all endpoints is used up.
    Limited {
        /// Time until its next turn at one of them.
        opens_in: Duration,
    },
    /// All endpoints have asked this entry for a pause.
    Paused {
        /// Time until the first of them may be sent a request.
        ends_in: Duration,
    },
    /// The request crashes endpoints.
    Quarantined {
        /// Time until it may be sent to them again.
        ends_in: Duration,
    },
    /// No endpoint may serve the request.
    NoEndpoint {
        /// Time until the first one may; `None` if unknown.
        ready_in: Option<Duration>,
    },
    /// Any other cause.
    Other,
}

/// The part of the time in which refused callers return that belongs to one level of priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnSlice {
    /// Start, as a fraction of the whole time.
    pub start: f64,
    /// Length, as a fraction of the whole time.
    pub width: f64,
}

impl ReturnSlice {
    /// The whole time.
    pub const WHOLE: ReturnSlice = ReturnSlice { start: 0.0, width: 1.0 };

    /// Maps a draw from 0 to 1 to the slice.
    pub fn map(self, draw: f64) -> f64 {
        self.start + self.width * draw
    }
}

/// Delay after which a caller with `remaining` time is asked to return; `draw` from 0 to 1 spreads
/// it.
pub fn retry_after(cause: RefusalCause, remaining: Duration, draw: f64) -> Duration {
    let sample = |range: &Range<f64>| range.start + (range.end - range.start) * draw;
    let short = sample(&SHORT_DELAY_S);
    let unknown = || short.max(remaining.as_secs_f64() * sample(&UNKNOWN_DELAY_SHARE));
    let seconds = match cause {
        RefusalCause::Starting => sample(&STARTING_DELAY_S),
        RefusalCause::Full => sample(&FULL_DELAY_S),
        RefusalCause::Warming { warm_in: wait }
        | RefusalCause::Limited { opens_in: wait }
        | RefusalCause::Paused { ends_in: wait } => wait.as_secs_f64() + RETURN_SPREAD_S * draw,
        RefusalCause::Quarantined { ends_in } => ends_in.as_secs_f64(),
        RefusalCause::NoLease { is_held_in_region: true } | RefusalCause::Other => short,
        RefusalCause::NoLease { is_held_in_region: false }
        | RefusalCause::NoEndpoint { ready_in: None } => unknown(),
        RefusalCause::NoEndpoint { ready_in: Some(ready_in) } => {
            ready_in.as_secs_f64() + RETURN_SPREAD_S * draw
        }
    };
    Duration::from_secs_f64(seconds)
}
