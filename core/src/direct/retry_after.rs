//! When a refused caller is asked to come back.
//!
//! A caller that returns too early is refused once more, and most return once only. So the answer follows
//! from why it was refused and from what is known of when that ends, and is spread at random: callers
//! that are refused together must not return together.

use std::ops::Range;
use std::time::Duration;

/// Seconds after which another entry or endpoint may serve the caller at once.
const SHORT_DELAY_S: Range<f64> = 0.15..0.45;

/// The same while all endpoints are full. Whoever is refused then is late when it returns. Most bursts last
/// for a second or more: callers that return as soon as above come back into the same burst.
const FULL_DELAY_S: Range<f64> = 1.0..1.9;

/// The same of an entry that has just started. It is sent callers only while most entries of its zone start,
/// and endpoints have to be found and may have to load.
const STARTING_DELAY_S: Range<f64> = 0.8..1.8;

/// Seconds over which callers return from the moment at which the first endpoint serves again: the others
/// follow it.
const RETURN_SPREAD_S: f64 = 1.0;

/// Part of a caller's time after which it returns when nobody may serve it and it is not known for how long.
/// Weights are loaded, a zone is cut off, endpoints start again: that lasts seconds, and callers wait for up
/// to a third of their time.
const UNKNOWN_DELAY_SHARE: Range<f64> = 0.25..0.33;

/// Why a caller was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The entry has just started.
    Starting,
    /// The entry's lease on its configuration has lapsed.
    NoLease {
        /// Whether another entry of its region still has one.
        is_held_in_region: bool,
    },
    /// All endpoints are full.
    Full,
    /// The endpoints that have room have just started and bear no more yet.
    Warming {
        /// Time until the first of them bears what it can.
        warm_in: Duration,
    },
    /// No endpoint may serve it.
    NoEndpoint {
        /// Time until the first one does, if that is known.
        ready_in: Option<Duration>,
    },
    /// Whatever else has kept this entry from serving it.
    Other,
}

/// The time after which a caller with `left` of its time is asked to come back; `draw` from 0 to 1 spreads it.
pub fn retry_after(cause: RefusalCause, remaining: Duration, draw: f64) -> Duration {
    let sample = |range: &Range<f64>| range.start + (range.end - range.start) * draw;
    let short = sample(&SHORT_DELAY_S);
    let unknown = || short.max(remaining.as_secs_f64() * sample(&UNKNOWN_DELAY_SHARE));
    let seconds = match cause {
        RefusalCause::Starting => sample(&STARTING_DELAY_S),
        RefusalCause::Full => sample(&FULL_DELAY_S),
        RefusalCause::Warming { warm_in } => warm_in.as_secs_f64() + RETURN_SPREAD_S * draw,
        RefusalCause::NoLease { is_held_in_region: true } | RefusalCause::Other => short,
        RefusalCause::NoLease { is_held_in_region: false }
        | RefusalCause::NoEndpoint { ready_in: None } => unknown(),
        RefusalCause::NoEndpoint { ready_in: Some(ready_in) } => {
            ready_in.as_secs_f64() + RETURN_SPREAD_S * draw
        }
    };
    Duration::from_secs_f64(seconds)
}
