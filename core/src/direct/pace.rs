//! Pace of an endpoint: the factor by which it is slower than its configured rates.
//!
//! An engine that shares its host may run at a fraction of its usual speed for some hundred
//! milliseconds. Requests that begin there meanwhile send their first event too late.

use std::time::Duration;

use crate::time::Time;

/// Age up to which a pace reported by an engine holds. Agents repeat it with each load report, every
/// 100 to 200 ms in their own region and every 400 ms in others.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Age up to which an entry's own observation of an endpoint holds. A slow endpoint gets few requests
/// and so gives few observations.
const OBSERVATION_TTL: Duration = Duration::from_secs(1);

/// Number of latest answers of an endpoint that must all be late for it to count as slow. A single
/// late answer is no rarity.
const LATE_ANSWERS: usize = 3;

/// Multiple of the median of a service's endpoints from which on an answer is late.
const LATE_FACTOR: f64 = 2.0;

/// Number of other endpoints with recent answers from which on a median is taken.
const MIN_COMPARED: usize = 4;

/// Highest pace that is believed. A slower endpoint is avoided as well, and a faulty report has a
/// bounded effect.
const MAX_PACE: f64 = 10.0;

/// Pace above which an endpoint counts as slow.
pub const SLOW_PACE: f64 = 1.5;

/// Ratio of two paces from which on entries are told of a change at once.
const ANNOUNCED_RATIO: f64 = 1.25;

/// Expected time until a first event while the rates of the service are unknown, as a share of the
/// route's latency objective.
const ASSUMED_FIRST_EVENT_SHARE: f64 = 0.25;

/// Share of the retry budget that hedged requests may use, so that the rest is left to requests whose
/// endpoint was lost.
pub const HEDGE_BUDGET_SHARE: f64 = 0.25;

/// Time after a slow endpoint was last seen for which requests are hedged and their work counts. Where
/// no endpoint is ever slow, first events are late because all endpoints are full, and hedges would
/// only add load.
pub(super) const SLOW_TTL: Duration = Duration::from_secs(10);

/// Percentages in a pace of 1, the unit in which paces are sent.
const PERCENT: f64 = 100.0;

/// `pace` within the range of paces that selection uses. An endpoint that is faster than its rates
/// counts as one that keeps to them.
fn bounded(pace: f64) -> f64 {
    if pace.is_finite() { pace.clamp(1.0, MAX_PACE) } else { 1.0 }
}

/// The pace as a whole percentage, for messages.
pub fn to_percent(pace: f64) -> u32 {
    (bounded(pace) * PERCENT).round() as u32
}

/// The pace of a percentage from a message.
pub fn from_percent(percent: u32) -> f64 {
    bounded(f64::from(percent) / PERCENT)
}

/// Pace of an endpoint as an entry knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    reported: Option<(f64, Time)>,
    observed: Option<(f64, Time)>,
    /// Latest answers, the last one first, as time over expected time.
    answers: [Option<(f64, Time)>; LATE_ANSWERS],
}

impl Pace {
    /// Records the pace that the endpoint's agent has reported.
    pub fn record_report(&mut self, pace: f64, now: Time) {
        self.reported = Some((bounded(pace), now));
    }

    /// Records an answer that took `ratio` of its expected time.
    pub fn record_answer(&mut self, ratio: f64, now: Time) {
        self.answers.rotate_right(1);
        self.answers[0] = Some((ratio, now));
    }

    /// The latest recent answer, as time over expected time.
    pub fn last_answer(&self, now: Time) -> Option<f64> {
        let (ratio, at) = self.answers[0]?;
        (!now.passed(at, OBSERVATION_TTL)).then_some(ratio)
    }

    /// Compares the latest answers with those of the other endpoints of the service. Returns whether
    /// the endpoint is slow.
    pub fn compare(&mut self, mut others: Vec<f64>, now: Time) -> bool {
        let pace = self.answers_over_median(&mut others, now).filter(|pace| *pace > LATE_FACTOR);
        // An answer in time ends an observation, but not a report: it may have begun before the slow
        // period.
        self.observed = pace.map(|pace| (bounded(pace), now));
        pace.is_some()
    }

    /// The lowest of the latest answers over the median of `others`; `None` if either is unknown.
    fn answers_over_median(&self, others: &mut [f64], now: Time) -> Option<f64> {
        if others.len() < MIN_COMPARED {
            return None;
        }
        let recent = |answer: &Option<(f64, Time)>| {
            answer.filter(|(_, at)| !now.passed(*at, OBSERVATION_TTL)).map(|(ratio, _)| ratio)
        };
        let answers = self.answers.iter().map(recent).collect::<Option<Vec<f64>>>()?;
        let lowest = answers.into_iter().min_by(f64::total_cmp)?;
        let middle = others.len() / 2;
        let (_, median, _) = others.select_nth_unstable_by(middle, f64::total_cmp);
        Some(lowest / *median)
    }

    /// The present pace, at least 1. Without a recent report or observation it is 1.
    pub fn factor(&self, now: Time) -> f64 {
        let reported = self.reported.filter(|(_, at)| !now.passed(*at, REPORT_TTL));
        let observed = self.observed.filter(|(_, at)| !now.passed(*at, OBSERVATION_TTL));
        let latest = reported.into_iter().chain(observed).max_by_key(|(_, at)| *at);
        latest.map_or(1.0, |(pace, _)| pace)
    }
}

/// The pace that an agent reports to entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceReporter {
    /// The latest pace and the one that entries were last told at once.
    current: Option<(f64, f64)>,
    has_been_slow: bool,
}

impl PaceReporter {
    /// Records the pace of the engine's latest report; `None` if the engine reports none. Returns
    /// whether entries must be told at once.
    pub fn record(&mut self, pace: Option<f64>) -> bool {
        let pace = bounded(pace.unwrap_or(1.0));
        let announced = self.current.map_or(1.0, |(_, announced)| announced);
        let is_changed = pace.max(announced) > pace.min(announced) * ANNOUNCED_RATIO;
        self.current = Some((pace, if is_changed { pace } else { announced }));
        self.has_been_slow |= pace > 1.0;
        is_changed
    }

    /// The pace to be sent with each load report, in percent. `None` while the engine has never been
    /// slow, so that its reports are as short as before.
    pub fn percent(&self) -> Option<u32> {
        let (pace, _) = self.current.filter(|_| self.has_been_slow)?;
        Some(to_percent(pace))
    }
}

/// Expected time until a first event of a route with `objective` while the service's rates are
/// unknown.
pub fn assumed_first_event(objective: Duration) -> Duration {
    objective.mul_f64(ASSUMED_FIRST_EVENT_SHARE)
}

/// A stream without a first event.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStream {
    /// When its request was received.
    pub received_at: Time,
    /// Latency objective of its route.
    pub objective: Duration,
    /// When it was sent to its endpoint.
    pub sent_at: Time,
    /// Time after which its first event is expected from an endpoint with a pace of 1.
    pub usual_first: Duration,
}

impl WaitingStream {
    /// The latest time at which a request that is sent to another endpoint can still have its first
    /// event in time.
    pub fn hedge_by(&self) -> Time {
        self.received_at + self.objective.saturating_sub(self.usual_first)
    }

    /// Whether the request is better sent to another endpoint: its own is so slow that the first event
    /// is expected after the objective, and the other one, which is not slow, can still be in time.
    pub fn should_be_hedged(&self, pace: f64, pace_elsewhere: f64, now: Time) -> bool {
        let expected_at = self.sent_at + self.usual_first.mul_f64(pace);
        pace > SLOW_PACE
            && expected_at > self.received_at + self.objective
            && pace_elsewhere <= SLOW_PACE
            && now <= self.hedge_by()
    }
}
