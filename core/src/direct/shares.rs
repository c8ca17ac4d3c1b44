//! One entry's share of bounds that hold over all entries together.
//!
//! Entries do not ask each other before each request. Each keeps to a share of the bound, worked out
//! from the number of entries it knows, so that the shares add up to less than the bound as long as
//! no entry knows of fewer than half of them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The part of a bound that the shares add up to. The rest covers entries that are not known yet.
const USED_PART: f64 = 0.6;

/// Attempts beyond the first of each request, over a sliding window.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    firsts: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RepeatBudget {
    /// A budget of `ratio` repeats a first attempt, plus `slack` for all entries together.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> RepeatBudget {
        RepeatBudget { ratio, slack, window, firsts: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// A request made its first attempt.
    pub fn first(&mut self, now: Time) {
        drop_older(&mut self.firsts, now, self.window);
        self.firsts.push_back(now);
    }

    /// Takes one repeat, if this entry's share among `entries` has one left.
    pub fn spend(&mut self, entries: u32, now: Time) -> bool {
        drop_older(&mut self.firsts, now, self.window);
        drop_older(&mut self.repeats, now, self.window);
        let slack = self.slack / f64::from(entries.max(1));
        let allowed = (self.ratio * self.firsts.len() as f64 + slack) * USED_PART;
        let may = ((self.repeats.len() + 1) as f64) <= allowed;
        if may {
            self.repeats.push_back(now);
        }
        may
    }
}

/// Requests that this entry sent to a cold endpoint within the last second.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    sent: VecDeque<Time>,
}

/// The span over which a cold endpoint's bound counts.
const COLD_WINDOW: Duration = Duration::from_secs(1);

impl ColdSends {
    /// Whether one more may be sent to an endpoint that bears `per_second` from `entries`.
    ///
    /// A share below one request a second still lets one through, as the bound has room for it.
    pub fn may_send(&mut self, per_second: f64, entries: u32, now: Time) -> bool {
        drop_older(&mut self.sent, now, COLD_WINDOW);
        let share = per_second / f64::from(entries.max(1));
        (self.sent.len() as f64) < share.max(1.0).floor()
    }

    /// One was sent.
    pub fn sent(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

/// Requests that this entry sent to an endpoint lately.
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    sent: VecDeque<Time>,
}

impl RecentSends {
    /// How many within `window`.
    pub fn count(&mut self, window: Duration, now: Time) -> usize {
        drop_older(&mut self.sent, now, window);
        self.sent.len()
    }

    /// One was sent.
    pub fn sent(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

fn drop_older(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.passed(*at, window)) {
        times.pop_front();
    }
}
