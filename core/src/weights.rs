//! What processes say to each other about weights.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;

/// Asks an agent for weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WeightsAsk {
    /// The bytes of a manifest.
    Manifest(Digest),
    /// The bytes of a chunk.
    Chunk(Digest),
}

/// Answers a [`WeightsAsk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WeightsReply {
    /// The bytes asked for; the receiver checks them against the digest.
    Bytes(Bytes),
    /// They are not here.
    Absent,
}
