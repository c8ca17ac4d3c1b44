//! The monotonic clock of a process.

use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the monotonic clock as [`Time`] since this value was created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose origin is the present.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Microseconds since the origin of this clock.
    pub fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

/// Reading of a new [`BootClock`]. Other processes report events from before its start. If these
/// times were clamped to the start, a version of weights announced long ago would count as new, and
/// requests would begin on older versions after their limit.
const INITIAL_TIME: Duration = Duration::from_secs(3_600);

/// Reads the boot-time clock, which also advances while the host is suspended.
///
/// The monotonic clock stops during suspension: a lease measured by it would still appear valid after
/// a suspension in which a key was revoked.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Creates a clock whose origin is the present.
    pub fn start() -> BootClock {
        BootClock { start: since_boot() }
    }

    /// Microseconds since the origin of this clock.
    pub fn now(&self) -> Time {
        let elapsed_time = INITIAL_TIME + since_boot().saturating_sub(self.start);
        Time::from_micros(u64::try_from(elapsed_time.as_micros()).unwrap_or(u64::MAX))
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0))
}
