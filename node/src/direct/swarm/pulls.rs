//! Versions on their way to one agent, and which of their chunks are here.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::IpAddr;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use smol_str::SmolStr;

/// A version that is pulled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The model.
    pub model: SmolStr,
    /// Its version.
    pub version: u64,
    /// Names it among agents.
    pub digest: Digest,
}

/// Which chunks of a version are here.
#[derive(Clone, Debug, Default)]
pub(super) struct Chunks {
    pub(super) chunk_len: u32,
    pub(super) digests: Vec<Digest>,
    pub(super) have: Vec<bool>,
}

impl Chunks {
    pub(super) fn index_of(&self, digest: Digest) -> Option<usize> {
        self.digests.iter().position(|found| *found == digest)
    }

    pub(super) fn missing(&self) -> usize {
        self.have.iter().filter(|have| !**have).count()
    }
}

/// A version on its way. The endpoint has room for one version; the chunks of a newer one wait in
/// memory until that is loaded or given up.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    pub(super) target: Target,
    pub(super) chunks: Option<Chunks>,
    pub(super) waiting: BTreeMap<usize, Bytes>,
    /// The pullers that have the list of chunks to pull.
    pub(super) asked_pullers: HashSet<IpAddr>,
    pub(super) began: Time,
}

impl Pull {
    pub(super) fn new(target: Target, now: Time) -> Pull {
        Pull {
            target,
            chunks: None,
            waiting: BTreeMap::new(),
            asked_pullers: HashSet::new(),
            began: now,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.chunks.as_ref().is_some_and(|chunks| chunks.missing() == 0)
    }
}
