//! Which requests can no longer be answered in time, so that they yield to those that can.
//!
//! When all endpoints are full a request is refused, and its caller comes back a second later. Its
//! objective has passed by then. Were it served like any other, it would take the place of one that can
//! still be in time; that one is refused, comes back late as well, and soon most of what is served is late.
//! With late ones yielding, more are answered in time and no more are refused in the end.
//!
//! Callers do not say that they come back. They say how long they still wait, and those of one route wait
//! about equally long at first, so one that waits much shorter has used up the rest.

use std::time::Duration;

use crate::time::Time;

/// Objectives that a caller has used up for certain before it counts as late. Callers of one route differ
/// in their patience by about two objectives.
const LATE_AFTER_OBJECTIVES: u32 = 2;

/// How long the longest wait of a route is remembered: for one to two of these spans.
const WINDOW: Duration = Duration::from_secs(10);

/// The longest time that callers of one route were still willing to wait, of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestDeadline {
    window_start: Time,
    previous: Duration,
    current: Duration,
}

impl LongestDeadline {
    /// Takes in a caller that still waits for `left`; says whether it is late for `objective`.
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
