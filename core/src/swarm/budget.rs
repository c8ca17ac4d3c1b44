//! Hard limit on the bytes pulled from the origin for one version.
//!
//! Ownership by rendezvous hashing keeps the origin near one copy while the agents agree on the
//! live hosts. When they do not (a partitioned zone, a stale host list), each side may own the same
//! chunk, and the version would cross the origin's link many times. So every pull is first recorded
//! on the platform by a conditional update. No agent depends on another's view for that, and while
//! the platform is unavailable nothing is granted: chunks then come from peers only.
//!
//! A single byte counter is not enough: repeated pulls of some chunks could exhaust it before
//! others were pulled once, and the distribution never finished. So the first pull of each chunk
//! has its own bit and is always granted; only repeats share a counter for the copies beyond the
//! first.

use serde::Deserialize;
use serde::Serialize;

use super::bitmap::Bitmap;
use crate::ids::Digest;

/// Objects over which the first pulls of one version are spread, because hundreds of owners start
/// within one second.
pub const SHARDS: usize = 16;

/// The chunks of a shard whose first pull was granted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FirstPulls {
    taken: Bitmap,
}

impl FirstPulls {
    /// Grants the first pull of chunk `index` of the manifest; false if it was already granted.
    pub fn grant(&mut self, index: usize) -> bool {
        self.taken.set(index / SHARDS)
    }
}

/// Bytes granted for repeated pulls of a whole version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Repeats {
    bytes: u64,
}

impl Repeats {
    /// Grants `len` bytes unless the sum of all repeats would exceed `limit` bytes.
    pub fn grant(&mut self, len: u64, limit: u64) -> bool {
        let granted = self.bytes.saturating_add(len) <= limit;
        if granted {
            self.bytes += len;
        }
        granted
    }
}

/// Bytes that repeats may use for a version of `version_len` bytes when `copies` copies may leave
/// the origin in total.
pub fn repeats_limit(version_len: u64, copies: f64) -> u64 {
    (version_len as f64 * (copies - 1.0).max(0.0)) as u64
}

/// Platform key of the shard that records the first pull of chunk `index`.
pub fn first_pulls_key(manifest: Digest, index: usize) -> String {
    format!("origin-budget/{}/first/{}", manifest.to_hex(), index % SHARDS)
}

/// Platform key of the counter of repeated pulls.
pub fn repeats_key(manifest: Digest) -> String {
    format!("origin-budget/{}/repeats", manifest.to_hex())
}
