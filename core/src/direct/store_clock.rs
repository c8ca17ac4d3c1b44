//! Dates changes of the store by its positions: a change that a read does not include was made after that read.

use std::collections::VecDeque;

use crate::ids::StorePosition;
use crate::time::Time;

/// Maximum number of reads that are kept. Changes are heard within a few reads of any kind.
const MAX_READS: usize = 64;

/// Positions of the store in recent reads, of all kinds of objects.
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    reads: VecDeque<(StorePosition, Time)>,
}

impl StoreClock {
    /// Records that the store was at `as_of` at some moment not before `at`.
    pub fn record_read(&mut self, as_of: StorePosition, at: Time) {
        if self.reads.len() >= MAX_READS {
            self.reads.pop_front();
        }
        self.reads.push_back((as_of, at));
    }

    /// A moment at which the change at `position` had not been made; `None` if no read shows one.
    pub fn before(&self, position: StorePosition) -> Option<Time> {
        let earlier = self.reads.iter().filter(|(as_of, _)| *as_of < position);
        earlier.map(|(_, at)| *at).max()
    }
}
