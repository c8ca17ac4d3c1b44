//! One entry's share of bounds that hold over all entries together.
//!
//! Entries do not ask each other before each request. Each keeps to a share of the bound, worked out
//! from the number of entries it knows, so that the shares add up to less than the bound as long as
//! no entry knows of fewer than half of them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The part of a bound that the shares add up to. The rest covers entries that are not known yet.
const USED_SHARE: f64 = 0.6;

/// Attempts beyond the first of each request, over a sliding window.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    first_attempts: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// A budget of `ratio` repeats a first attempt, plus `slack` for all entries together.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> SharedRetryBudget {
        SharedRetryBudget {
            ratio,
            slack,
            window,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// A request made its first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        drop_expired(&mut self.first_attempts, now, self.window);
        self.first_attempts.push_back(now);
    }

    /// Takes one repeat, if this entry's share among `entries` has one left.
    pub fn try_spend(&mut self, entries: u32, now: Time) -> bool {
        drop_expired(&mut self.first_attempts, now, self.window);
        drop_expired(&mut self.retries, now, self.window);
        let slack = self.slack / f64::from(entries.max(1));
        let allowed = (self.ratio * self.first_attempts.len() as f64 + slack) * USED_SHARE;
        let is_allowed = ((self.retries.len() + 1) as f64) <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

/// Part of a cold endpoint's rate that the turns of all entries add up to. The bound itself lies at one
/// and a half times the rate and more; the rest is for entries that are not counted yet.
const COLD_RATE_SHARE: f64 = 0.8;

/// How long a turn may be used once it has come, if turns are more than a second apart. Turns that were
/// kept would be used together, by all entries at once, as soon as the last endpoint that is not cold is
/// gone. Where turns come more often there are few entries, and one kept turn each is within the bound.
const TURN_TTL: Duration = Duration::from_millis(200);
const MAX_KEPT_TURN_PERIOD: Duration = Duration::from_secs(1);

/// When this entry may send to a cold endpoint.
///
/// An endpoint that has just started falls over under more than a few requests a second from all
/// entries together. With more entries than requests a share is less than one, and if each rounded it
/// up to one, all together would send one for each entry. So shares are dealt in time: an entry's
/// turn comes once in as many seconds as there are entries for each request a second. Entries need not
/// agree whose turn it is, as each draws where in that span its own turns lie.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStartPacer {
    /// The moment from which the next turn is counted, and its distance from there in periods.
    next_turn: Option<(Time, f64)>,
}

impl ColdStartPacer {
    /// Whether a request may be sent now to an endpoint that bears `per_second` from `entries`. `draw`
    /// from 0 to 1 places the first turn.
    pub fn may_send(&mut self, per_second: f64, entries: u32, draw: f64, now: Time) -> bool {
        let period =
            Duration::from_secs_f64(f64::from(entries.max(1)) / (per_second * COLD_RATE_SHARE));
        let (from, distance) = *self.next_turn.get_or_insert((now, draw));
        let opens_at = from + period.mul_f64(distance);
        if now < opens_at {
            return false;
        }
        let skipped = now.since(opens_at).div_duration_f64(period).floor();
        let opens_at = opens_at + period.mul_f64(skipped);
        self.next_turn = Some((opens_at, 0.0));
        period <= MAX_KEPT_TURN_PERIOD || !now.passed(opens_at, TURN_TTL)
    }

    /// A request was sent: the turn is used.
    pub fn record_sent(&mut self, now: Time) {
        let from = self.next_turn.map_or(now, |(opens_at, _)| opens_at);
        self.next_turn = Some((from, 1.0));
    }
}

/// Entries that share a bound, as long as nobody has counted them: as many as the largest fleet has.
const ASSUMED_ENTRIES: u32 = 400;

/// How long a count is believed. The highest one of this span holds: agents that have just started
/// count few entries at first.
const COUNT_WINDOW: Duration = Duration::from_millis(2_000);

/// How many entries share the bounds, from the counts that agents tell.
#[derive(Clone, Debug, Default)]
pub struct EntryCount {
    /// Counts that no later one reaches, oldest and highest first.
    counts: VecDeque<(Time, u32)>,
}

impl EntryCount {
    /// An agent that has listened long enough has counted `entries`.
    pub fn record_count(&mut self, entries: u32, now: Time) {
        while self.counts.back().is_some_and(|(_, count)| *count <= entries) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, entries));
        while self.counts.len() > 1 && now.passed(self.counts[0].0, COUNT_WINDOW) {
            self.counts.pop_front();
        }
    }

    /// The highest count that is still believed, `None` before the first.
    pub fn recent_max(&self) -> Option<u32> {
        self.counts.front().map(|(_, count)| *count)
    }

    /// Entries that a bound which must hold is shared among.
    pub fn for_limits(&self) -> u32 {
        self.recent_max().unwrap_or(ASSUMED_ENTRIES).max(1)
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
        drop_expired(&mut self.sent, now, window);
        self.sent.len()
    }

    /// One was sent.
    pub fn record_sent(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.passed(*at, window)) {
        times.pop_front();
    }
}
