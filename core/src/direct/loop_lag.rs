//! How late the tasks of a process run, as its processor is busy or it gets too little of one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Time for which a delay is taken to come again.
const WINDOW: Duration = Duration::from_secs(10);

/// Longest delay that is taken to come again. A longer one means that the process was stopped.
const MAX_LAG: Duration = Duration::from_millis(600);

/// Recent delays of tasks that were due.
#[derive(Clone, Debug, Default)]
pub struct LoopLag {
    /// Each delay is shorter than those before it.
    delays: VecDeque<(Time, Duration)>,
}

impl LoopLag {
    /// Records that a task has run at `now` that was due at `due`.
    pub fn record(&mut self, due: Time, now: Time) {
        let lag = now.since(due).min(MAX_LAG);
        while self.delays.back().is_some_and(|(_, shorter)| *shorter <= lag) {
            self.delays.pop_back();
        }
        self.delays.push_back((now, lag));
        while self.delays.front().is_some_and(|(at, _)| now.passed(*at, WINDOW)) {
            self.delays.pop_front();
        }
    }

    /// The longest recent delay.
    pub fn max(&self) -> Duration {
        self.delays.front().map_or(Duration::ZERO, |(_, lag)| *lag)
    }
}
