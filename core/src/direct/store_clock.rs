//! Dates changes of the store by its positions: a change that a read does not include was made after that read, and one
//! that it includes before its answer.

use std::collections::VecDeque;
use std::time::Duration;

use super::versions::Announcement;
use crate::ids::StorePosition;
use crate::time::Time;

/// Maximum number of reads that are kept. Changes are heard within a few reads of any kind.
const MAX_READS: usize = 64;

/// Time without a read of any kind from which on the store counts as away if reads fail. Watches of the configuration end
/// earlier.
const MIN_OUTAGE: Duration = Duration::from_millis(2_000);

/// A read of the store, which was at `as_of` at some moment from `earliest` to `answered_at`.
#[derive(Clone, Copy, Debug)]
struct Read {
    as_of: StorePosition,
    earliest: Time,
    answered_at: Time,
}

/// What is known of a kind of object before an answer is applied.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LastRead {
    /// When all changes up to then were known, from the store or a parent; `None` if nothing has been read yet.
    pub confirmed_at: Option<Time>,
    /// Whether the last read failed.
    pub has_failed: bool,
}

/// Positions of the store in recent reads, of all kinds of objects.
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    reads: VecDeque<Read>,
}

impl StoreClock {
    /// Records that the store was at `as_of` at some moment from `earliest` to `answered_at`.
    pub fn record_read(&mut self, as_of: StorePosition, earliest: Time, answered_at: Time) {
        if self.reads.len() >= MAX_READS {
            self.reads.pop_front();
        }
        self.reads.push_back(Read { as_of, earliest, answered_at });
    }

    /// When the change at `position`, which is read at `now`, was made; `None` if no moment without it is known.
    ///
    /// The time of an outage does not count: a change that was made in one is dated to its end. Otherwise, all older
    /// versions of weights would have expired after it, and callers would be refused for lack of weights.
    pub fn date(
        &self,
        position: StorePosition,
        last_read: LastRead,
        now: Time,
    ) -> Option<Announcement> {
        let without = self.reads.iter().filter(|read| read.as_of < position);
        let earliest = without.map(|read| read.earliest).max().max(last_read.confirmed_at)?;
        let with = self.reads.iter().filter(|read| read.as_of >= position);
        let latest = with.map(|read| read.answered_at).min().map_or(now, |at| at.min(now));
        let is_outage = last_read.has_failed && latest.passed(earliest, MIN_OUTAGE);
        Some(Announcement::between(if is_outage { latest } else { earliest }, latest))
    }
}
