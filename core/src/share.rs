//! Fair use of one endpoint by the entries that send to it.
//!
//! An entry whose request ends learns first that there is room and would fill it again at once; an
//! entry that has nothing in progress would find the endpoint full each time it asks, and starve.
//! So the agent remembers who was refused, and keeps those above their even share out until the
//! refused have theirs.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// How long a refused entry is waited for; an entry that still wants to comes back sooner.
const WANTS_FOR: Duration = Duration::from_millis(300);

/// Entries remembered at most; further ones are treated as if they had nothing in progress.
const MAX_ENTRIES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    running: u32,
    wants_until: Time,
}

/// What each entry has in progress at one endpoint, and which were refused.
#[derive(Debug, Default)]
pub struct Shares {
    by_entry: HashMap<u64, Use>,
}

impl Shares {
    /// Whether `entry` may use one more of `limit` places. O(entries).
    pub fn may_enter(&self, entry: u64, limit: u32, now: Time) -> bool {
        let active = |used: &&Use| used.running > 0 || used.wants_until > now;
        let active = self.by_entry.values().filter(active).count().max(1);
        let share = limit.div_ceil(active as u32);
        let own = self.by_entry.get(&entry).map_or(0, |used| used.running);
        let is_waited_for = |(other, used): (&u64, &Use)| {
            *other != entry && used.wants_until > now && used.running < share
        };
        own < share || !self.by_entry.iter().any(is_waited_for)
    }

    /// `entry` was refused for want of room.
    pub fn refused(&mut self, entry: u64, now: Time) {
        self.entry(entry, now).wants_until = now + WANTS_FOR;
    }

    /// A request of `entry` has entered.
    pub fn entered(&mut self, entry: u64, now: Time) {
        let used = self.entry(entry, now);
        used.running += 1;
        used.wants_until = now;
    }

    /// A request of `entry` has left.
    pub fn left(&mut self, entry: u64) {
        if let Some(used) = self.by_entry.get_mut(&entry) {
            used.running = used.running.saturating_sub(1);
        }
    }

    fn entry(&mut self, entry: u64, now: Time) -> &mut Use {
        if self.by_entry.len() >= MAX_ENTRIES && !self.by_entry.contains_key(&entry) {
            self.by_entry.retain(|_, used| used.running > 0 || used.wants_until > now);
        }
        self.by_entry.entry(entry).or_default()
    }
}
