//! Selection of expired claims without reading them.
//!
//! Platform revisions rise with every write to any object. A mark records the revision at a time. A
//! claim whose revision is below that of a mark older than the retention time has expired. Claims
//! are sharded by their digest, and each step lists one shard.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;
use crate::ids::Revision;

/// Key of the object that holds the state of the sweep, shared by the entries.
pub const KEY: &str = "sweep/claims";

/// Minimum number of seconds between two steps, over all entries.
pub const STEP_SECONDS: u64 = 10;

/// Minimum number of seconds between two marks.
const MARK_SECONDS: u64 = 900;

/// Maximum number of marks; the oldest are dropped.
const MAX_MARKS: usize = 1_024;

/// Number of shards of claims.
const SHARDS: u32 = 1 << (4 * claim::SHARD_DIGITS);

/// The platform revision at a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Mark {
    unix_seconds: u64,
    revision: Revision,
}

/// State of the sweep, stored on the platform as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sweep {
    marks: Vec<Mark>,
    next_shard: u32,
    stepped: u64,
}

/// The claims that a step deletes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// Key prefix of the shard to list.
    pub prefix: String,
    /// Claims with a lower revision are deleted, each by a conditional delete at its listed
    /// revision.
    pub below: Revision,
}

impl Sweep {
    /// Whether a step is due. If the clock was set back, the step is late, never early.
    pub fn is_due(&self, unix_seconds: u64) -> bool {
        unix_seconds >= self.stepped + STEP_SECONDS
    }

    /// Returns the next step, or `None` while no claim can have expired. `revision` is one that the
    /// platform has already assigned; claims are kept for `retention_seconds`.
    pub fn step(
        &mut self,
        unix_seconds: u64,
        revision: Revision,
        retention_seconds: u64,
    ) -> Option<Step> {
        self.stepped = unix_seconds;
        let last = self.marks.last().map_or(0, |mark| mark.unix_seconds);
        if unix_seconds >= last + MARK_SECONDS {
            self.marks.push(Mark { unix_seconds, revision });
        }
        let expired = |mark: &&Mark| mark.unix_seconds + retention_seconds <= unix_seconds;
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
