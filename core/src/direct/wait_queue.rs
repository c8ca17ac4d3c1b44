//! Order of the calls that wait for a place at an endpoint of one service.
//!
//! Waiters are ordered by level, then by the latest time at which they can still be answered in
//! time, then by arrival. A freed place is offered to them in this order.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::time::Time;

/// Position of a waiter in the order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitKey {
    level: u8,
    in_time_until: Time,
    arrival: u64,
}

/// The waiters of one service, each with a handle of type `T`.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiters: BTreeMap<WaitKey, T>,
    arrivals: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> WaitQueue<T> {
        WaitQueue { waiters: BTreeMap::new(), arrivals: 0 }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a waiter that can be answered in time if it gets a place until `in_time_until`.
    pub fn insert(&mut self, level: u8, in_time_until: Time, waiter: T) -> WaitKey {
        let key = WaitKey { level, in_time_until, arrival: self.arrivals };
        self.arrivals += 1;
        self.waiters.insert(key, waiter);
        key
    }

    /// Removes a waiter; `None` if it has been removed before.
    pub fn remove(&mut self, key: WaitKey) -> Option<T> {
        self.waiters.remove(&key)
    }

    /// Whether a call of `level` that arrives now must let a waiter go first.
    pub fn precedes(&self, level: u8) -> bool {
        self.first().is_some_and(|(first, _)| first.level <= level)
    }

    /// The waiter to which a freed place is offered first.
    pub fn first(&self) -> Option<(WaitKey, &T)> {
        self.waiters.first_key_value().map(|(key, waiter)| (*key, waiter))
    }

    /// The waiter to which a place is offered that the one at `key` could not use. That one may
    /// have been removed.
    pub fn next_after(&self, key: WaitKey) -> Option<(WaitKey, &T)> {
        let mut later = self.waiters.range((Bound::Excluded(key), Bound::Unbounded));
        later.next().map(|(key, waiter)| (*key, waiter))
    }
}
