//! HTTP client of the origin of weights. Only this module uses the paths of its interface.
//!
//! `GET /manifests/DIGEST` and `GET /chunks/DIGEST` return the bytes, 404 if the origin does not
//! have them, or 429 if the rate limit is exceeded.

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::wire;

use crate::fetch::FetchError;
use crate::fetch::fetch;

/// Result of a request to the origin.
pub type Result<T> = std::result::Result<T, Code>;

/// Timeout of the request for one object.
const REQUEST_TIMEOUT_SECONDS: u64 = 30;

/// Maximum size of a manifest or chunk in bytes, because peers send each as one message.
const MAX_OBJECT_LEN: usize = wire::MAX_MESSAGE_LEN;

/// Client of the origin at one base URL.
#[derive(Clone, Debug)]
pub struct Origin {
    base: String,
}

impl Origin {
    /// Creates a client for the origin at the URL `base`, such as `http://127.0.0.1:7100`.
    pub fn new(base: impl Into<String>) -> Origin {
        Origin { base: base.into() }
    }

    /// Fetches a manifest and checks it against its digest.
    pub fn manifest(&self, digest: Digest) -> Result<Manifest> {
        let bytes = self.get("manifests", digest)?;
        Manifest::decode(&bytes, digest)
    }

    /// Fetches a chunk. Fails with [`Code::CorruptChunk`] if it does not match its digest.
    pub fn chunk(&self, digest: Digest) -> Result<Bytes> {
        let bytes = self.get("chunks", digest)?;
        if Digest::of(&bytes) == digest { Ok(bytes) } else { Err(Code::CorruptChunk) }
    }

    fn get(&self, kind: &str, digest: Digest) -> Result<Bytes> {
        let request = minreq::get(format!("{}/{kind}/{}", self.base, digest.to_hex()))
            .with_timeout(REQUEST_TIMEOUT_SECONDS);
        let fetched = fetch(request, MAX_OBJECT_LEN).map_err(|e| match e {
            // No byte left the origin, so a retry is not charged to the origin budget again.
            FetchError::Refused => Code::Unreachable,
            FetchError::Interrupted | FetchError::TooLong => Code::PeerLost,
        })?;
        match fetched.status {
            200 => Ok(Bytes::from(fetched.body)),
            429 => Err(Code::OriginBudget),
            _ => Err(Code::NoChunk),
        }
    }
}
