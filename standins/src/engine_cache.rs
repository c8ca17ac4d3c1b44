//! A bounded LRU prefix cache that publishes its changes as events.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::ids::Digest;
use serde::Serialize;

/// Bytes of prompt text in one block of the cache.
pub(crate) const BLOCK_LEN: usize = 64;

/// Number of events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// A published change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Sequence number from 1; a gap means that events were lost.
    sequence: u64,
    /// Digest of the prompt up to the end of the block, in hexadecimal.
    block: String,
    /// Whether the block was inserted; it was evicted otherwise.
    added: bool,
    #[serde(skip)]
    published_at: Instant,
}

/// Events after a sequence number that are old enough to be published.
#[derive(Debug, Serialize)]
pub(crate) struct CacheEvents {
    /// Sequence number after which the next query continues.
    next: u64,
    events: Vec<CacheEvent>,
}

/// Prompt blocks that need not be recomputed.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Blocks, least recently used first.
    blocks: VecDeque<Digest>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    /// Number of subsequent events that are lost.
    pub(crate) lose_events: u32,
}

impl PrefixCache {
    /// Inserts the blocks of a prompt and returns the length of its cached prefix in blocks.
    /// Takes O(blocks of the prompt × blocks of the cache); both are small.
    pub(crate) fn insert_prompt(&mut self, prompt: &str, limit: usize, now: Instant) -> usize {
        let mut hits = 0;
        let mut has_missed = false;
        for end in (BLOCK_LEN..=prompt.len()).step_by(BLOCK_LEN) {
            let block = Digest::of(&prompt.as_bytes()[..end]);
            match self.blocks.iter().position(|old| *old == block) {
                Some(index) => {
                    self.blocks.remove(index);
                    hits += usize::from(!has_missed);
                }
                None => {
                    has_missed = true;
                    self.publish(block, true, now);
                }
            }
            self.blocks.push_back(block);
        }
        while self.blocks.len() > limit {
            if let Some(block) = self.blocks.pop_front() {
                self.publish(block, false, now);
            }
        }
        hits
    }

    /// Clears the cache as a restart of the engine does; sequence numbers start again at 1.
    pub(crate) fn clear(&mut self) {
        *self = PrefixCache::default();
    }

    fn publish(&mut self, block: Digest, added: bool, now: Instant) {
        self.sequence += 1;
        if self.lose_events > 0 {
            self.lose_events -= 1;
            return;
        }
        let event =
            CacheEvent { sequence: self.sequence, block: block.to_hex(), added, published_at: now };
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration, now: Instant) -> CacheEvents {
        let is_shown = |event: &&CacheEvent| {
            event.sequence > after && now.saturating_duration_since(event.published_at) >= lag
        };
        let events: Vec<CacheEvent> = self.events.iter().filter(is_shown).cloned().collect();
        CacheEvents { next: events.last().map_or(after, |event| event.sequence), events }
    }
}
