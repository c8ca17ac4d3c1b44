//! Pace of an endpoint: the factor by which it is slower than its configured rates.
//!
//! An engine that shares its host may run at a fraction of its usual speed for some hundred
//! milliseconds. Requests that begin there meanwhile send their first event too late.

use std::time::Duration;

use crate::time::Time;

/// Age up to which a pace reported by an engine holds. Agents repeat it with each load report, every
/// 100 to 200 ms in their own region and every 400 ms in others.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Highest pace that is believed. A slower endpoint is avoided as well, and a faulty report has a
/// bounded effect.
const MAX_PACE: f64 = 10.0;

/// Pace above which an endpoint counts as slow.
pub const SLOW_PACE: f64 = 1.5;

/// Ratio of two paces from which on entries are told of a change at once.
const ANNOUNCED_RATIO: f64 = 1.25;

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
}

impl Pace {
    /// Records the pace that the endpoint's agent has reported.
    pub fn record_report(&mut self, pace: f64, now: Time) {
        self.reported = Some((bounded(pace), now));
    }

    /// The present pace, at least 1. Without a recent report it is 1.
    pub fn factor(&self, now: Time) -> f64 {
        let reported = self.reported.filter(|(_, at)| !now.passed(*at, REPORT_TTL));
        reported.map_or(1.0, |(pace, _)| pace)
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
