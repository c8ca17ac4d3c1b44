//! What processes say to each other about weights.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::swarm::Bitmap;

/// Milliseconds a peer holds an ask for a chunk that it does not have yet, at most.
pub const MAX_LONG_POLL_MS: u16 = 5_000;

/// Asks an agent for weights.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WeightsRequest {
    /// The bytes of a manifest.
    Manifest {
        /// Its digest.
        version: Digest,
        /// Milliseconds to hold the ask if it is not here yet.
        long_poll_ms: u16,
    },
    /// The bytes of a chunk.
    Chunk {
        /// Its digest.
        digest: Digest,
        /// A version that it belongs to; the answer tells what else of it is here.
        version: Digest,
        /// Milliseconds to hold the ask if it is not here yet.
        long_poll_ms: u16,
    },
    /// What is here of a version.
    Have(Digest),
}

/// What a host has of a version, and how busy its link is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Have {
    /// Its chunks, in manifest order.
    pub chunks: Bitmap,
    /// Chunks waiting on its link.
    pub queue_len: u32,
}

/// Answers a [`WeightsRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WeightsReply {
    /// The bytes asked for; the receiver checks them against the digest.
    Bytes {
        /// The bytes.
        bytes: Bytes,
        /// What else is here of the version, when that is small beside the bytes.
        have: Option<Have>,
    },
    /// What is here of the version.
    Have(Have),
    /// They are not here.
    Absent,
}
