//! Rate and concurrency limits of customers, divided among the entries without coordination.
//!
//! Each entry enforces `limit / live entries`, times [`SLACK`] for uneven load balancing. Over the
//! fleet this admits at most [`SLACK`] times the limit while every entry sees all others, and at
//! most [`SLACK`] times the limit on each side of a network partition.

use std::time::Duration;

use crate::time::Time;

/// Ratio of the limit enforced by an entry to its even share.
pub const SLACK: f64 = 1.2;

/// Capacity of a token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket, in requests.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Time) -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, refilled_at: now }
    }

    /// Takes a token from the bucket, refilled with `per_second` tokens a second. The error is the
    /// time until a token is available, at most an hour.
    pub fn try_take(&mut self, per_second: f64, now: Time) -> Result<(), Duration> {
        let per_second = per_second.max(f64::MIN_POSITIVE);
        let burst = (per_second * BURST_SECONDS).max(1.0);
        let refill = now.since(self.refilled_at).as_secs_f64() * per_second;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(((1.0 - self.tokens) / per_second).min(3_600.0)))
    }
}

/// One entry's share of a fleet-wide rate limit, with `entries` live entries.
pub fn rate_share(limit: f64, entries: usize) -> f64 {
    match entries {
        0 | 1 => limit,
        entries => limit / entries as f64 * SLACK,
    }
}

/// One entry's share of a fleet-wide limit on concurrent requests; at least one.
pub fn concurrency_share(limit: u32, entries: usize) -> u32 {
    (rate_share(f64::from(limit), entries).ceil() as u32).clamp(1, limit.max(1))
}
