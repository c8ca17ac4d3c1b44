//! Versions that an agent downloads, and which of their chunks are present.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::IpAddr;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::ids::Digest;
use smol_str::SmolStr;

/// A version to download.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the model.
    pub model: SmolStr,
    /// Version number, as announced by the platform.
    pub version: u64,
    /// Identifier of the version in requests between agents; see `version_digest`.
    pub digest: Digest,
}

/// The chunks of a version, by index, and which of them are present.
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

/// The download of a version. The endpoint can stage one version; the chunks of a newer one are buffered in
/// memory until the staged one is loaded or abandoned.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    pub(super) target: Target,
    /// `None` until the manifest has been received.
    pub(super) chunks: Option<Chunks>,
    /// Chunks that are not staged yet, by index.
    pub(super) buffered: BTreeMap<usize, Bytes>,
    /// The pullers to which the list of chunks to prefetch has been sent.
    pub(super) prefetch_pullers: HashSet<IpAddr>,
    pub(super) started_at: Time,
}

impl Pull {
    pub(super) fn new(target: Target, now: Time) -> Pull {
        Pull {
            target,
            chunks: None,
            buffered: BTreeMap::new(),
            prefetch_pullers: HashSet::new(),
            started_at: now,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.chunks.as_ref().is_some_and(|chunks| chunks.missing() == 0)
    }
}
