//! The monotonic clock of a process.

use std::time::Instant;

use mastichaven_core::Time;

/// Reads the monotonic clock as [`Time`] since the clock was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
