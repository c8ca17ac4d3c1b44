//! Which claims have expired, told without reading them.
//!
//! The platform numbers all its writes in one order. A mark notes the number at a time; a claim
//! whose last write is below a mark that is older than claims are kept has expired. Claims are
//! spread over shards by their digest, and each step lists one shard.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;
use crate::ids::Revision;

/// The object that the entries share the sweep through.
pub const KEY: &str = "sweep/claims";

/// Seconds between two steps of the whole fleet.
pub const STEP_SECONDS: u64 = 10;

/// Seconds between two marks.
const MARK_SECONDS: u64 = 900;

/// Marks kept at most.
const MAX_MARKS: usize = 1_024;

/// Shards of claims.
const SHARDS: u32 = 1 << (4 * claim::SHARD_DIGITS);

/// The platform's number at a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Mark {
    unix_seconds: u64,
    revision: Revision,
}

/// How far the sweep is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sweep {
    marks: Vec<Mark>,
    next_shard: u32,
    stepped: u64,
}

/// What a step deletes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Prefix of the claims to list.
    pub prefix: String,
    /// Claims last written below this are deleted, each only at its listed revision.
    pub below: Revision,
}

impl Sweep {
    /// Whether a step is due. A clock that was set back makes it late, never early.
    pub fn is_due(&self, unix_seconds: u64) -> bool {
        unix_seconds >= self.stepped + STEP_SECONDS
    }

    /// Takes the next step. `revision` is a number that the platform has given out by now, and
    /// claims are kept for `keep_seconds`. `None` while nothing can have expired.
    pub fn step(
        &mut self,
        unix_seconds: u64,
        revision: Revision,
        keep_seconds: u64,
    ) -> Option<Step> {
        self.stepped = unix_seconds;
        let last = self.marks.last().map_or(0, |mark| mark.unix_seconds);
        if unix_seconds >= last + MARK_SECONDS {
            self.marks.push(Mark { unix_seconds, revision });
        }
        let expired = |mark: &&Mark| mark.unix_seconds + keep_seconds <= unix_seconds;
        let below = self.marks.iter().rev().find(expired)?.revision;
        self.marks.retain(|mark| mark.revision >= below);
        let excess = self.marks.len().saturating_sub(MAX_MARKS);
        self.marks.drain(..excess);
        let shard = self.next_shard % SHARDS;
        self.next_shard = (shard + 1) % SHARDS;
        let prefix = format!("{}{shard:0width$x}/", claim::PREFIX, width = claim::SHARD_DIGITS);
        Some(Step { prefix, below })
    }
}
