//! Lease that limits how long an entry may use its configuration without confirmation by the store.
//!
//! A key that an operator revokes must stop working on every entry within a bound, even on one that is
//! partitioned from the store. An entry therefore uses its configuration only while it holds a lease, which each
//! confirmed read of the store renews. The lease starts when the confirmed read was *sent*, because the store
//! may accept a change right after it has answered the read.

use std::time::Duration;

use crate::time::Time;

/// A lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<Time>,
}

impl Freshness {
    /// Creates a lease that expires `bound` after the last confirmed read was sent.
    pub fn new(bound: Duration) -> Freshness {
        Freshness { bound, confirmed: None }
    }

    /// Renews the lease after the store has answered a read sent at `sent`. An older read never shortens it.
    pub fn confirm(&mut self, sent: Time) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Whether the lease is valid at `now`, so that the configuration may be used.
    pub fn is_valid(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < self.bound)
    }

    /// Time since the last confirmed read was sent; `None` before the first.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }
}
