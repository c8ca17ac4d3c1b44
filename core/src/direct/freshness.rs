//! How old the knowledge of an entry is.
//!
//! A key that an operator takes away must stop working on every entry within a bound, also on one
//! that is cut off and hears nothing of it. So an entry acts on its configuration only while it can
//! prove that the store confirmed it recently: a lease. The lease runs from the moment the confirmed
//! read was *sent*, as a change may be accepted right after the store answered it.

use std::time::Duration;

use crate::time::Time;

/// Lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<Time>,
}

impl Freshness {
    /// A lease that lapses `bound` after the last confirmed read was sent.
    pub fn new(bound: Duration) -> Freshness {
        Freshness { bound, confirmed: None }
    }

    /// The store answered a read that was sent at `sent`. Older reads never shorten the lease.
    pub fn confirm(&mut self, sent: Time) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Whether the configuration may be acted on at `now`.
    pub fn holds(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < self.bound)
    }

    /// Age of the last confirmed read.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }
}
