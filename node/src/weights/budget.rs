//! Pays for origin bytes from the counters on the platform.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::swarm::budget::SHARDS;
use mastichaven_core::swarm::budget::Spent;
use mastichaven_core::swarm::budget::shard_key;
use mastichaven_core::swarm::budget::shard_limit;

/// Result of paying.
pub type Result<T> = std::result::Result<T, Code>;

/// A grant is one chunk or this share of a version, whichever is more: few writes for a large
/// version, and little left unused at owners that need no more.
const GRANTS_A_VERSION: u64 = 2_048;

/// Conditional writes that may lose against others before the payment waits for a later try.
const MAX_CONFLICTS: u32 = 8;

/// What a host was granted and has not used.
pub struct OriginBudget {
    platform: Arc<dyn ObjectStore>,
    first_shard: u64,
    left: HashMap<Digest, u64>,
}

impl OriginBudget {
    /// A budget kept on `platform`; hosts start at different shards by `seed`.
    pub fn new(platform: Arc<dyn ObjectStore>, seed: u64) -> OriginBudget {
        OriginBudget { platform, first_shard: seed, left: HashMap::new() }
    }

    /// Pays for `len` bytes of a version of `version_len` bytes.
    ///
    /// [`Code::OriginBudget`] when nothing is left; the platform's code while it cannot be reached.
    pub fn pay(&mut self, version: Digest, version_len: u64, copies: f64, len: u64) -> Result<()> {
        let left = self.left.entry(version).or_default();
        if *left < len {
            let wanted = len.max(version_len / GRANTS_A_VERSION);
            let limit = shard_limit(version_len, copies);
            *left += take(&*self.platform, version, self.first_shard, wanted, len, limit)?;
        }
        *left -= len;
        Ok(())
    }
}

fn take(
    platform: &dyn ObjectStore,
    version: Digest,
    first_shard: u64,
    wanted: u64,
    least: u64,
    limit: u64,
) -> Result<u64> {
    let mut conflicts = 0;
    let mut shard = 0;
    while shard < SHARDS {
        let key = shard_key(version, first_shard.wrapping_add(shard));
        let old = platform.get(&key).map_err(PlatformError::code)?;
        let expect = old.as_ref().map_or(Expect::Absent, |object| Expect::At(object.revision));
        let spent = match &old {
            Some(object) => serde_json::from_slice(&object.value).map_err(|_| Code::BadMessage)?,
            None => Spent::default(),
        };
        let Some((new, granted)) = spent.grant(wanted, least, limit) else {
            shard += 1;
            continue;
        };
        let value = Bytes::from(serde_json::to_vec(&new).expect("a counter always encodes"));
        match platform.put(&key, value, expect) {
            Ok(_) => return Ok(granted),
            Err(PlatformError::Conflict) if conflicts < MAX_CONFLICTS => conflicts += 1,
            // A lost answer may have taken effect: the grant then counts as spent and is not used,
            // so that the bound holds; the next try reads the counter anew.
            Err(e) => return Err(e.code()),
        }
    }
    Err(Code::OriginBudget)
}
