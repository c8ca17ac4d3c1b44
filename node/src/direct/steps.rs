//! Breakdown of a request's latency, up to the head of its response or its first event.

use std::time::Duration;

/// Time that one request spent in each step, summed over its attempts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepTimes {
    /// Reading the request, including its body.
    pub read: Duration,
    /// Choosing endpoints, including the wait for a free place.
    pub place: Duration,
    /// Opening connections.
    pub connect: Duration,
    /// Attempts without a usable response, excluding `connect`.
    pub lost: Duration,
    /// The successful attempt, excluding `connect`.
    pub run: Duration,
}

impl StepTimes {
    /// Steps in the order in which they happen, each with the name of its histogram.
    pub fn with_metric_names(&self) -> [(&'static str, Duration); 5] {
        [
            ("step_read", self.read),
            ("step_place", self.place),
            ("step_connect", self.connect),
            ("step_lost", self.lost),
            ("step_run", self.run),
        ]
    }
}
