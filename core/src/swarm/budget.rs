//! The hard bound on bytes pulled from the origin for one version.
//!
//! Ownership by rendezvous keeps the origin near one copy while the agents' views agree. When they
//! do not (a zone cut in two, a lagging host list), each side may hold itself responsible for the
//! same chunk, and the origin's link would carry the version many times over. So every origin byte
//! is paid for beforehand from a counter object on the platform, changed by conditional update. No
//! agent needs another's view for that, and without the platform nothing is granted: chunks then
//! come from peers only. The counter is split into [`SHARDS`] objects, as hundreds of owners take
//! their part in the same second.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;

/// Objects that share the budget of one version.
pub const SHARDS: u64 = 16;

/// One shard of the budget as stored on the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spent {
    /// Bytes granted from this shard so far.
    pub bytes: u64,
}

impl Spent {
    /// Grants up to `wanted` bytes, at least `least`, while the shard stays within `limit`.
    ///
    /// Gives the new value to write and the bytes it grants. `None` when not even `least` is left.
    pub fn grant(self, wanted: u64, least: u64, limit: u64) -> Option<(Spent, u64)> {
        let left = limit.saturating_sub(self.bytes);
        let granted = wanted.min(left);
        (granted >= least && granted > 0)
            .then_some((Spent { bytes: self.bytes + granted }, granted))
    }
}

/// The bytes one shard may grant for a version of `version_len` bytes at `copies` copies in all.
pub fn shard_limit(version_len: u64, copies: f64) -> u64 {
    let total = version_len as f64 * copies.max(0.0);
    (total / SHARDS as f64) as u64
}

/// The key of a shard on the platform.
pub fn shard_key(manifest: Digest, shard: u64) -> String {
    format!("origin-budget/{}/{}", manifest.to_hex(), shard % SHARDS)
}
