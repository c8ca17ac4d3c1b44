//! One entry's share of limits that hold for all entries together.
//!
//! Entries do not coordinate before each request. Each keeps to a share computed from the number of
//! entries that agents have counted, and the shares add up to less than the limit as long as no
//! entry uses a count of less than half of them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Fraction of a limit that the shares add up to. The rest covers entries that are not counted yet.
const USED_SHARE: f64 = 0.6;

/// Limit on retries, as a ratio of first attempts within a sliding window.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    first_attempts: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// A budget of `ratio` retries per first attempt, plus `slack` retries per window for all
    /// entries together.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> SharedRetryBudget {
        SharedRetryBudget {
            ratio,
            slack,
            window,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Time) {
        drop_expired(&mut self.first_attempts, now, self.window);
        self.first_attempts.push_back(now);
    }

    /// Whether this entry's share among `entries` has a retry left for a request that may use `usable` of it, from 0
    /// to 1.
    pub fn has_left(&mut self, usable: f64, entries: u32, now: Time) -> bool {
        drop_expired(&mut self.first_attempts, now, self.window);
        drop_expired(&mut self.retries, now, self.window);
        let slack = self.slack / f64::from(entries.max(1));
        let allowed = (self.ratio * self.first_attempts.len() as f64 + slack) * USED_SHARE * usable;
        ((self.retries.len() + 1) as f64) <= allowed
    }

    /// Takes one retry from the budget and returns true if [`SharedRetryBudget::has_left`] one.
    pub fn try_spend(&mut self, usable: f64, entries: u32, now: Time) -> bool {
        let is_allowed = self.has_left(usable, entries, now);
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

/// Fraction of an endpoint's rate that the turns of all entries add up to. The rate may be exceeded
/// by half at least; the rest covers entries that are not counted yet.
pub(super) const RATE_SHARE: f64 = 0.8;

/// Requests that a cold endpoint bears in one second, as a multiple of its rate and a number beyond that.
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Standard deviations by which the number of turns at random offsets in one second stays below what a cold endpoint
/// bears.
const CLUSTER_DEVIATIONS: f64 = 5.0;

/// Time for which a turn stays usable if turns are more than [`MAX_KEPT_TURN_PERIOD`] apart. All
/// entries would use saved turns at once, as soon as the last unlimited endpoint is gone.
const TURN_TTL: Duration = Duration::from_millis(200);
/// Longest period at which one turn may be saved. Such short periods mean few entries, and one saved turn of each
/// stays within the limit.
const MAX_KEPT_TURN_PERIOD: Duration = Duration::from_secs(1);

/// Paces the requests of this entry to an endpoint that takes a limited rate.
///
/// A cold endpoint crashes under more than a few requests per second from all entries together, and
/// one in need names the rate that it takes. With more entries than requests a share is less than
/// one, and if every entry rounded it up, together they would send one request each. Shares are
/// therefore spread over time: with `n` entries and a rate `r`, an entry's turn comes once in
/// `n / r` seconds. Entries need not agree on an order, since each draws the offset of its own turns
/// at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnPacer {
    /// Reference time of the next turn, and its distance from there in periods.
    next_turn: Option<(Time, f64)>,
}

impl TurnPacer {
    /// Whether a request may be sent now to a cold endpoint that can handle `per_second` requests
    /// from all `entries`. `draw` from 0 to 1 sets the offset of the first turn.
    pub fn may_send(&mut self, per_second: f64, entries: u32, draw: f64, now: Time) -> bool {
        // With at least one turn a second each, entries take turns evenly, whatever their offsets.
        let is_even = per_second * RATE_SHARE >= f64::from(entries);
        let rate =
            if is_even { per_second } else { max_clustered_rate(per_second).min(per_second) };
        self.time_to_turn(rate, entries, draw, now).is_zero()
    }

    /// Time until a request may be sent; zero if it may be sent now. The arguments are those of
    /// [`TurnPacer::may_send`].
    pub fn time_to_turn(
        &mut self,
        per_second: f64,
        entries: u32,
        draw: f64,
        now: Time,
    ) -> Duration {
        let period = Duration::from_secs_f64(f64::from(entries.max(1)) / (per_second * RATE_SHARE));
        let (from, distance) = *self.next_turn.get_or_insert((now, draw));
        let opens_at = from + period.mul_f64(distance);
        if now < opens_at {
            return opens_at.since(now);
        }
        let skipped = now.since(opens_at).div_duration_f64(period).floor();
        let opens_at = opens_at + period.mul_f64(skipped);
        self.next_turn = Some((opens_at, 0.0));
        if period <= MAX_KEPT_TURN_PERIOD || !now.passed(opens_at, TURN_TTL) {
            return Duration::ZERO;
        }
        (opens_at + period).since(now)
    }

    /// Records a sent request, which uses the turn.
    pub fn record_sent(&mut self, now: Time) {
        let from = self.next_turn.map_or(now, |(opens_at, _)| opens_at);
        self.next_turn = Some((from, 1.0));
    }
}

/// The highest rate at which turns at random offsets may come to a cold endpoint that can handle `per_second`, so that
/// clusters of them stay within what it bears in one second.
///
/// When all entries turn to the endpoint at once, they also use the turns of the last [`TURN_TTL`]. The number of turns
/// in that time and one second is about Poisson distributed, so its variance equals its mean `m`. This solves
/// `m + CLUSTER_DEVIATIONS * sqrt(m) = limit` for `m`.
fn max_clustered_rate(per_second: f64) -> f64 {
    let limit = per_second * COLD_OVERSHOOT + COLD_SLACK;
    let root = (CLUSTER_DEVIATIONS.powi(2) + 4.0 * limit).sqrt() - CLUSTER_DEVIATIONS;
    let turns = (root / 2.0).powi(2);
    // `time_to_turn` uses only this share of the rate.
    turns / (1.0 + TURN_TTL.as_secs_f64()) / RATE_SHARE
}

/// Number of entries assumed before any agent has counted them: as many as the largest fleet has.
const ASSUMED_ENTRIES: u32 = 400;

/// Time for which a count outweighs later, lower ones, since agents that have just started count few
/// entries at first.
const COUNT_WINDOW: Duration = Duration::from_millis(2_000);

/// Number of entries that share the limits, from the counts of agents.
#[derive(Clone, Debug, Default)]
pub struct EntryCount {
    /// Counts that no later count reaches, oldest and highest first.
    counts: VecDeque<(Time, u32)>,
}

impl EntryCount {
    /// Records the count of an agent that has listened long enough to count all entries.
    pub fn record_count(&mut self, entries: u32, now: Time) {
        while self.counts.back().is_some_and(|(_, count)| *count <= entries) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, entries));
        while self.counts.len() > 1 && now.passed(self.counts[0].0, COUNT_WINDOW) {
            self.counts.pop_front();
        }
    }

    /// Highest recent count; `None` before the first one.
    pub fn recent_max(&self) -> Option<u32> {
        self.counts.front().map(|(_, count)| *count)
    }

    /// Number of entries among which a limit that must hold is divided.
    pub fn for_limits(&self) -> u32 {
        self.recent_max().unwrap_or(ASSUMED_ENTRIES).max(1)
    }
}

/// Times of this entry's recent requests to an endpoint.
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    sent: VecDeque<(Time, f64)>,
}

impl RecentSends {
    /// Total weight of the requests within `window`; older ones are dropped.
    pub fn total(&mut self, window: Duration, now: Time) -> f64 {
        while self.sent.front().is_some_and(|(at, _)| now.passed(*at, window)) {
            self.sent.pop_front();
        }
        self.sent.iter().map(|(_, weight)| weight).sum()
    }

    /// Records a request, whose weight is 1 if its prompt is a usual one.
    pub fn record_sent(&mut self, weight: f64, now: Time) {
        self.sent.push_back((now, weight));
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.passed(*at, window)) {
        times.pop_front();
    }
}
