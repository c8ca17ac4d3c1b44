//! Manifests: the list of chunks that make up one version of a model.

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::ids::Digest;

/// Result of decoding a manifest.
pub type Result<T> = std::result::Result<T, Code>;

/// Maximum length of a chunk in bytes.
pub const MAX_CHUNK_BYTES: u32 = 4 << 20;

/// Maximum number of chunks of a version.
pub const MAX_CHUNKS: usize = 1 << 20;

/// One chunk of a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// Digest of the chunk's bytes.
    pub digest: Digest,
    /// Length in bytes, from 1 to [`MAX_CHUNK_BYTES`].
    pub len: u32,
}

/// The chunks of a version. The digest of the encoded manifest names the version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The chunks in the order in which they make up the weights.
    pub chunks: Vec<Chunk>,
}

impl Manifest {
    /// Splits `weights` into chunks of `chunk_len` bytes; the last one may be shorter.
    pub fn from_weights(weights: &[u8], chunk_len: u32) -> Manifest {
        let chunks = weights
            .chunks(chunk_len.clamp(1, MAX_CHUNK_BYTES) as usize)
            .map(|bytes| Chunk { digest: Digest::of(bytes), len: bytes.len() as u32 })
            .collect();
        Manifest { chunks }
    }

    /// Bytes of all chunks.
    pub fn len(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.len)).sum()
    }

    /// Whether the version has no chunk.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// The encoded form, from which [`Manifest::digest`] is computed.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a manifest always encodes")
    }

    /// The digest that names this version.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    /// Decodes a manifest after checking it against the digest that names it.
    pub fn decode(bytes: &[u8], expected: Digest) -> Result<Manifest> {
        if Digest::of(bytes) != expected {
            return Err(Code::BadManifest);
        }
        let manifest: Manifest = postcard::from_bytes(bytes).map_err(|_| Code::BadManifest)?;
        let too_long = |chunk: &Chunk| chunk.len == 0 || chunk.len > MAX_CHUNK_BYTES;
        if manifest.chunks.len() > MAX_CHUNKS || manifest.chunks.iter().any(too_long) {
            return Err(Code::BadManifest);
        }
        Ok(manifest)
    }
}
