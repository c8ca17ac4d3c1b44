//! The monotonic clock of a process.

use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

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

/// What the boot-time clock shows when a process starts. Other processes tell it of things that
/// happened before; were such moments cut off at its start, a version of weights named long ago would
/// count as new, and requests would begin on older ones past their bound.
const BEFORE_START: Duration = Duration::from_secs(3_600);

/// Reads the clock that goes on while the host is suspended.
///
/// The monotonic clock stands still meanwhile: a lease that it measures would still seem valid after
/// seconds of suspension in which a key was taken away.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// A clock that starts now.
    pub fn start() -> BootClock {
        BootClock { start: since_boot() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        let passed = BEFORE_START + since_boot().saturating_sub(self.start);
        Time::from_micros(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX))
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0))
}
