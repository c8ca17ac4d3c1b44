//! Rates and concurrency of customers, shared by the entries without coordination.
//!
//! Each entry allows its customers `limit / live entries`, with some slack for uneven balancing.
//! Over the fleet that is at most [`SLACK`] times the limit while every entry sees all others, and
//! at most [`SLACK`] times the limit on each side of a partition.

use std::time::Duration;

use crate::time::Time;

/// How much more than its even share an entry allows.
pub const SLACK: f64 = 1.2;

/// Seconds of its rate a customer may save up for a burst.
const BURST_SECONDS: f64 = 1.0;

/// Requests a second, with bursts.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    tokens: f64,
    at: Time,
}

impl Rate {
    /// A rate that nobody has used yet.
    pub fn new(now: Time) -> Rate {
        Rate { tokens: f64::INFINITY, at: now }
    }

    /// Takes one request of `per_second`, or says how long until there is one.
    pub fn take(&mut self, per_second: f64, now: Time) -> Result<(), Duration> {
        let per_second = per_second.max(f64::MIN_POSITIVE);
        let burst = (per_second * BURST_SECONDS).max(1.0);
        let gained = now.since(self.at).as_secs_f64() * per_second;
        self.tokens = (self.tokens + gained).min(burst);
        self.at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(((1.0 - self.tokens) / per_second).min(3_600.0)))
    }
}

/// The share of a fleet-wide limit that one of `entries` entries allows.
pub fn share(limit: f64, entries: usize) -> f64 {
    match entries {
        0 | 1 => limit,
        entries => limit / entries as f64 * SLACK,
    }
}

/// The share of a fleet-wide number of requests in progress; at least one.
pub fn share_of_count(limit: u32, entries: usize) -> u32 {
    (share(f64::from(limit), entries).ceil() as u32).clamp(1, limit.max(1))
}
