//! Fair sharing of one endpoint among the entries that send to it.
//!
//! The entry whose request ends is the first to know of free capacity and would use it again at
//! once. An entry with no request in progress would find the endpoint full each time and starve. So
//! the agent records refused entries, and refuses entries above their even share until those have
//! theirs.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// How long capacity is held for a refused entry; an entry with waiting requests retries sooner.
const REFUSAL_TTL: Duration = Duration::from_millis(300);

/// Maximum number of entries tracked; idle ones are dropped beyond it.
const MAX_ENTRIES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct EntryUsage {
    in_flight: u32,
    waiting_until: Time,
}

/// Requests in progress at one endpoint by entry, and which entries were refused.
#[derive(Debug, Default)]
pub struct EntryShares {
    by_entry: HashMap<u64, EntryUsage>,
}

impl EntryShares {
    /// Whether `entry` may start one more of `limit` requests. O(entries).
    pub fn may_acquire(&self, entry: u64, limit: u32, now: Time) -> bool {
        let active = |usage: &&EntryUsage| usage.in_flight > 0 || usage.waiting_until > now;
        let active = self.by_entry.values().filter(active).count().max(1);
        let share = limit.div_ceil(active as u32);
        let own = self.by_entry.get(&entry).map_or(0, |usage| usage.in_flight);
        let is_waiting_below_share = |(other, usage): (&u64, &EntryUsage)| {
            *other != entry && usage.waiting_until > now && usage.in_flight < share
        };
        own < share || !self.by_entry.iter().any(is_waiting_below_share)
    }

    /// Records that `entry` was refused because the endpoint was full.
    pub fn record_refusal(&mut self, entry: u64, now: Time) {
        self.usage_of(entry, now).waiting_until = now + REFUSAL_TTL;
    }

    /// Records that a request of `entry` was admitted.
    pub fn acquire(&mut self, entry: u64, now: Time) {
        let usage = self.usage_of(entry, now);
        usage.in_flight += 1;
        usage.waiting_until = now;
    }

    /// Records that a request of `entry` ended.
    pub fn release(&mut self, entry: u64) {
        if let Some(usage) = self.by_entry.get_mut(&entry) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    fn usage_of(&mut self, entry: u64, now: Time) -> &mut EntryUsage {
        if self.by_entry.len() >= MAX_ENTRIES && !self.by_entry.contains_key(&entry) {
            self.by_entry.retain(|_, usage| usage.in_flight > 0 || usage.waiting_until > now);
        }
        self.by_entry.entry(entry).or_default()
    }
}
