//! Where the time of a request goes between its head and the head of its answer, or its first event.

use std::time::Duration;

/// Time of each step of one request, summed over its attempts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepTimes {
    /// Until its body was read.
    pub read: Duration,
    /// Waiting for endpoints with room.
    pub place: Duration,
    /// Making connections.
    pub connect: Duration,
    /// Attempts that brought no usable answer, their connections left out.
    pub lost: Duration,
    /// The attempt that was answered, its connection left out.
    pub run: Duration,
}

impl StepTimes {
    /// The steps in the order in which a request takes them, with their names in logs and metrics.
    pub fn named(&self) -> [(&'static str, Duration); 5] {
        [
            ("step_read", self.read),
            ("step_place", self.place),
            ("step_connect", self.connect),
            ("step_lost", self.lost),
            ("step_run", self.run),
        ]
    }
}
