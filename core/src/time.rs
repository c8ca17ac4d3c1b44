//! Time as the deciding functions see it: a monotonic instant given as an argument.
//!
//! No function of this crate reads a clock. The callers in `mastichaven-node` take the monotonic
//! clock once and pass the same [`Time`] to every decision of one step, so that a clock step of
//! the host cannot lengthen or shorten a lease, and so that tests choose the time themselves.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A monotonic instant, in microseconds since an arbitrary start of the process.
///
/// Instants of two processes are not comparable; messages carry durations instead.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// An instant `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// An instant `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time passed since `earlier`, zero if `earlier` is in fact later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whether at least `span` has passed since `earlier`.
    pub fn passed(self, earlier: Time, span: Duration) -> bool {
        self.since(earlier) >= span
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}
