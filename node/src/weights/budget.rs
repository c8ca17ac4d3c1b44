//! Charges pulls from the origin to the budget of their version, which is stored on the platform.

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

/// Result of a budget operation.
pub type Result<T> = std::result::Result<T, Code>;

/// Conflicting writes after which an update fails with [`Code::PlatformConflict`].
const MAX_CONFLICTS: u32 = 16;

/// A chunk that is to be pulled from the origin.
#[derive(Clone, Copy, Debug)]
pub struct OriginPull {
    /// Manifest digest of its version.
    pub version: Digest,
    /// Size of the version in bytes.
    pub version_len: u64,
    /// Maximum number of copies of the version that leave the origin, over the whole fleet.
    pub max_copies: f64,
    /// Index of the chunk in the manifest.
    pub index: usize,
    /// Size of the chunk in bytes.
    pub len: u64,
    /// Whether the chunk may be pulled again if it was pulled before.
    pub allow_repeat: bool,
}

/// Grants pulls from the origin to one host.
pub struct OriginBudget {
    platform: Arc<dyn ObjectStore>,
    /// Grants whose pull did not happen, as version and chunk index.
    unused_grants: HashSet<(Digest, usize)>,
}

impl OriginBudget {
    /// Uses the budget objects on `platform`.
    pub fn new(platform: Arc<dyn ObjectStore>) -> OriginBudget {
        OriginBudget { platform, unused_grants: HashSet::new() }
    }

    /// Records one pull of a chunk in the budget.
    ///
    /// Fails with [`Code::PulledBefore`] if this is a repeat and `pull` does not allow one, with
    /// [`Code::OriginBudget`] if the budget is exhausted, and with the code of the platform error
    /// while the platform is unavailable. An update whose answer is lost may have taken effect. It
    /// counts as spent and is not used, so the limit holds, and a retry is charged again.
    pub fn grant(&mut self, pull: &OriginPull) -> Result<()> {
        if self.unused_grants.remove(&(pull.version, pull.index)) {
            return Ok(());
        }
        let key = first_pulls_key(pull.version, pull.index);
        if self.update(&key, |first: &mut FirstPulls| first.grant(pull.index))? {
            return Ok(());
        }
        if !pull.allow_repeat {
            return Err(Code::PulledBefore);
        }
        let limit = repeats_limit(pull.version_len, pull.max_copies);
        let key = repeats_key(pull.version);
        let granted = self.update(&key, |repeats: &mut Repeats| repeats.grant(pull.len, limit))?;
        if granted { Ok(()) } else { Err(Code::OriginBudget) }
    }

    /// Returns the grant of a pull that did not happen because no byte left the origin. The next
    /// attempt uses it instead of being charged again.
    pub fn return_grant(&mut self, pull: &OriginPull) {
        self.unused_grants.insert((pull.version, pull.index));
    }

    /// Applies `change` to an object by a conditional update. Returns false, without a write, if
    /// `change` does.
    fn update<T: Default + DeserializeOwned + Serialize>(
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
