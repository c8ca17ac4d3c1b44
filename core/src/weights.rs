//! Messages by which processes exchange weights.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::swarm::Bitmap;

/// Milliseconds that a peer holds a request for data that it does not have yet, at most.
pub const MAX_LONG_POLL_MS: u16 = 5_000;

/// A request to an agent for weights.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WeightsRequest {
    /// The bytes of a manifest.
    Manifest {
        /// Digest of the manifest.
        version: Digest,
        /// Milliseconds to hold the request while the agent lacks the manifest; 0 for an immediate
        /// answer.
        long_poll_ms: u16,
    },
    /// The bytes of a chunk.
    Chunk {
        /// Digest of the chunk.
        digest: Digest,
        /// A version that contains the chunk. The answer reports which of its chunks the agent has.
        version: Digest,
        /// Milliseconds to hold the request while the agent lacks the chunk; 0 for an immediate
        /// answer.
        long_poll_ms: u16,
    },
    /// Which chunks of a version the agent has.
    Have(Digest),
}

/// The chunks of a version that a host has, and the load of its link.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Have {
    /// Its chunks in manifest order.
    pub chunks: Bitmap,
    /// Chunks queued on its link.
    pub queue_len: u32,
}

/// Answer to a [`WeightsRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WeightsReply {
    /// The requested bytes. The receiver checks them against the digest.
    Bytes {
        /// Content of the manifest or the chunk.
        bytes: Bytes,
        /// The chunks of the version that the agent has, unless this is large compared with the
        /// bytes.
        have: Option<Have>,
    },
    /// The chunks of the version that the agent has.
    Have(Have),
    /// The agent does not have them.
    Absent,
}
