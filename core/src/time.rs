//! Monotonic time, passed to each decision as an argument.
//!
//! No function of this crate reads a clock. Callers in `mastichaven-node` read the monotonic clock
//! once per step and pass the same [`Time`] to every decision of that step. A wall clock step of
//! the host so cannot lengthen or shorten a lease, and tests control the time.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A monotonic instant, in microseconds since an arbitrary origin within the process.
///
/// Instants of different processes are not comparable, so messages carry durations.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);

    /// Returns the instant `micros` microseconds after [`Time::ZERO`].
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Returns the instant `millis` milliseconds after [`Time::ZERO`].
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since [`Time::ZERO`].
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since [`Time::ZERO`].
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Duration from `earlier` to this instant; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant `span` before this one, but not before [`Time::ZERO`].
    pub fn saturating_sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }

    /// Whether at least `span` has elapsed since `earlier`.
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
