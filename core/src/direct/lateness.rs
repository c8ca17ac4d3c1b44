//! Detects requests that can no longer be answered in time, so that they yield to those that can.
//!
//! When all endpoints are full a request is refused, and its caller retries a second later, when
//! its latency objective has passed. Served like any other, the retry would take the place of a
//! request that can still be in time; that one is refused and comes back late as well, until most
//! of the requests served are late. When late requests yield, more are answered in time, and in the
//! end no more are refused.
//!
//! Callers do not mark retries, but they state how long they still wait. Callers of one route start
//! with about the same time, so a caller with much less has used up the difference.

use std::time::Duration;

use crate::time::Time;

/// Latency objectives that a caller must have used up to count as late. The time that callers of
/// one route allow differs by about two objectives.
const LATE_AFTER_OBJECTIVES: u32 = 2;

/// Length of a window. The maximum covers the current and the previous window, so it is kept for
/// one to two of them.
const WINDOW: Duration = Duration::from_secs(10);

/// Maximum of the recent remaining times of one route's callers, over two windows.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestDeadline {
    window_start: Time,
    previous: Duration,
    current: Duration,
}

impl LongestDeadline {
    /// Records a caller with `remaining` time and returns whether it is late for `objective`.
    pub fn is_late(&mut self, remaining: Duration, objective: Duration, now: Time) -> bool {
        if now.passed(self.window_start, WINDOW) {
            let is_recent = !now.passed(self.window_start, WINDOW * 2);
            self.previous = if is_recent { self.current } else { Duration::ZERO };
            self.current = Duration::ZERO;
            self.window_start = now;
        }
        self.current = self.current.max(remaining);
        let longest = self.current.max(self.previous);
        longest.saturating_sub(remaining) > objective * LATE_AFTER_OBJECTIVES
    }
}
