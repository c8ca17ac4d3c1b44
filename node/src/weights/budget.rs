//! Pays for origin bytes from the objects on the platform.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::swarm::budget::FirstPulls;
use mastichaven_core::swarm::budget::Repeats;
use mastichaven_core::swarm::budget::first_pulls_key;
use mastichaven_core::swarm::budget::repeats_key;
use mastichaven_core::swarm::budget::repeats_limit;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Result of paying.
pub type Result<T> = std::result::Result<T, Code>;

/// Conditional writes that may lose against others before the payment waits for a later try.
const MAX_CONFLICTS: u32 = 16;

/// A chunk to be paid for.
#[derive(Clone, Copy, Debug)]
pub struct Price {
    /// The version.
    pub version: Digest,
    /// Its bytes.
    pub version_len: u64,
    /// Copies of it that may leave the origin, for the whole fleet.
    pub copies: f64,
    /// The chunk's index in the manifest.
    pub index: usize,
    /// Its bytes.
    pub len: u64,
    /// Whether a repeated pull may be paid for.
    pub repeat: bool,
}

/// Pays for one host.
pub struct OriginBudget {
    platform: Arc<dyn ObjectStore>,
    /// Paid for, but the origin could not be reached and no byte left it.
    unused: HashSet<(Digest, usize)>,
}

impl OriginBudget {
    /// A budget kept on `platform`.
    pub fn new(platform: Arc<dyn ObjectStore>) -> OriginBudget {
        OriginBudget { platform, unused: HashSet::new() }
    }

    /// Pays for one pull of a chunk.
    ///
    /// [`Code::PulledBefore`] when this would be a repeat and the price does not allow one;
    /// [`Code::OriginBudget`] when nothing is left; the platform's code while it cannot be reached.
    /// A lost answer may have taken effect: the grant then counts as spent and is not used, so that
    /// the bound holds, and a later try pays again.
    pub fn pay(&mut self, price: &Price) -> Result<()> {
        if self.unused.remove(&(price.version, price.index)) {
            return Ok(());
        }
        let key = first_pulls_key(price.version, price.index);
        if self.change(&key, |first: &mut FirstPulls| first.grant(price.index))? {
            return Ok(());
        }
        if !price.repeat {
            return Err(Code::PulledBefore);
        }
        let limit = repeats_limit(price.version_len, price.copies);
        let key = repeats_key(price.version);
        let granted = self.change(&key, |repeats: &mut Repeats| repeats.grant(price.len, limit))?;
        if granted { Ok(()) } else { Err(Code::OriginBudget) }
    }

    /// The pull did not happen: no byte left the origin. The next try need not pay.
    pub fn give_back(&mut self, price: &Price) {
        self.unused.insert((price.version, price.index));
    }

    /// Changes an object by conditional update; `change` says whether it did.
    fn change<T: Default + DeserializeOwned + Serialize>(
        &self,
        key: &str,
        change: impl Fn(&mut T) -> bool,
    ) -> Result<bool> {
        for _ in 0..MAX_CONFLICTS {
            let old = self.platform.get(key).map_err(PlatformError::code)?;
            let expect = old.as_ref().map_or(Expect::Absent, |object| Expect::At(object.revision));
            let mut value = match &old {
                Some(object) => {
                    serde_json::from_slice(&object.value).map_err(|_| Code::BadMessage)?
                }
                None => T::default(),
            };
            if !change(&mut value) {
                return Ok(false);
            }
            let bytes = Bytes::from(serde_json::to_vec(&value).expect("a budget always encodes"));
            match self.platform.put(key, bytes, expect) {
                Ok(_) => return Ok(true),
                Err(PlatformError::Conflict) => {}
                Err(e) => return Err(e.code()),
            }
        }
        Err(Code::PlatformConflict)
    }
}
