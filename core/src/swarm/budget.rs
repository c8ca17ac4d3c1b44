//! The hard bound on bytes pulled from the origin for one version.
//!
//! Ownership by rendezvous keeps the origin near one copy while the agents' views agree. When they
//! do not (a zone cut in two, a lagging host list), each side may hold itself responsible for the
//! same chunk, and the origin's link would carry the version many times over. So every origin byte
//! is paid for beforehand on the platform by conditional update. No agent needs another's view for
//! that, and without the platform nothing is granted: chunks then come from peers only.
//!
//! A plain byte counter was tried first: repeated pulls of some chunks could use it up before other
//! chunks were pulled once, and the push never ended. So the first pull of each chunk has its own
//! bit, always granted, and only repeats share a counter of the copies beyond the first.

use serde::Deserialize;
use serde::Serialize;

use super::bitmap::Bitmap;
use crate::ids::Digest;

/// Objects that share the first pulls of one version, as hundreds of owners start in one second.
pub const SHARDS: usize = 16;

/// Which chunks of a shard have been pulled once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FirstPulls {
    taken: Bitmap,
}

impl FirstPulls {
    /// Grants the first pull of chunk `index` of the manifest; false if it was granted before.
    pub fn grant(&mut self, index: usize) -> bool {
        self.taken.set(index / SHARDS)
    }
}

/// Bytes granted for pulls after the first, for the whole version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Repeats {
    bytes: u64,
}

impl Repeats {
    /// Grants `len` bytes while all repeats stay within `limit`.
    pub fn grant(&mut self, len: u64, limit: u64) -> bool {
        let granted = self.bytes.saturating_add(len) <= limit;
        if granted {
            self.bytes += len;
        }
        granted
    }
}

/// The bytes that repeats may cost for a version of `version_len` bytes at `copies` copies in all.
pub fn repeats_limit(version_len: u64, copies: f64) -> u64 {
    (version_len as f64 * (copies - 1.0).max(0.0)) as u64
}

/// The key of the shard with the first pull of chunk `index`.
pub fn first_pulls_key(manifest: Digest, index: usize) -> String {
    format!("origin-budget/{}/first/{}", manifest.to_hex(), index % SHARDS)
}

/// The key of the counter of repeats.
pub fn repeats_key(manifest: Digest) -> String {
    format!("origin-budget/{}/repeats", manifest.to_hex())
}
