//! The origin of weights over HTTP: the one file that knows its paths.
//!
//! `GET /manifests/DIGEST` and `GET /chunks/DIGEST` answer the bytes, 404 when they are not
//! there, 429 while the rate is limited.

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::wire;

use crate::fetch::FetchError;
use crate::fetch::fetch;

/// Result of a call to the origin.
pub type Result<T> = std::result::Result<T, Code>;

/// Seconds one object may take.
const TIMEOUT_SECONDS: u64 = 30;

/// Bytes of a manifest or a chunk at most: peers pass both on as one message.
const MAX_OBJECT_LEN: usize = wire::MAX_MESSAGE_LEN;

/// The origin at an address.
#[derive(Clone, Debug)]
pub struct Origin {
    base: String,
}

impl Origin {
    /// The origin at `base`, such as `http://127.0.0.1:7100`.
    pub fn new(base: impl Into<String>) -> Origin {
        Origin { base: base.into() }
    }

    /// Reads a manifest and checks it.
    pub fn manifest(&self, digest: Digest) -> Result<Manifest> {
        let bytes = self.get("manifests", digest)?;
        Manifest::decode(&bytes, digest)
    }

    /// Reads a chunk and checks it.
    pub fn chunk(&self, digest: Digest) -> Result<Bytes> {
        let bytes = self.get("chunks", digest)?;
        if Digest::of(&bytes) == digest { Ok(bytes) } else { Err(Code::CorruptChunk) }
    }

    fn get(&self, kind: &str, digest: Digest) -> Result<Bytes> {
        let request = minreq::get(format!("{}/{kind}/{}", self.base, digest.to_hex()))
            .with_timeout(TIMEOUT_SECONDS);
        let fetched = fetch(request, MAX_OBJECT_LEN).map_err(|e| match e {
            // No byte left the origin: a paid pull may be tried again for free.
            FetchError::Refused => Code::Unreachable,
            FetchError::Broken | FetchError::TooLong => Code::PeerLost,
        })?;
        match fetched.status {
            200 => Ok(Bytes::from(fetched.body)),
            429 => Err(Code::OriginBudget),
            _ => Err(Code::NoChunk),
        }
    }
}
