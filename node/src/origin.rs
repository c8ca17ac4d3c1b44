//! The origin of weights over HTTP: the one file that knows its paths.
//!
//! `GET /manifests/DIGEST` and `GET /chunks/DIGEST` answer the bytes, 404 when they are not
//! there, 429 while the rate is limited.

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;

/// Result of a call to the origin.
pub type Result<T> = std::result::Result<T, Code>;

/// Seconds one object may take.
const TIMEOUT_SECONDS: u64 = 30;

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
        let response = minreq::get(format!("{}/{kind}/{}", self.base, digest.to_hex()))
            .with_timeout(TIMEOUT_SECONDS)
            .send()
            .map_err(|e| if never_reached(&e) { Code::Unreachable } else { Code::PeerLost })?;
        match response.status_code {
            200 => Ok(Bytes::from(response.into_bytes())),
            429 => Err(Code::OriginBudget),
            _ => Err(Code::NoChunk),
        }
    }
}

/// Whether no byte can have left the origin, so that a paid pull may be tried again for free.
fn never_reached(error: &minreq::Error) -> bool {
    use std::io::ErrorKind;
    match error {
        minreq::Error::AddressNotFound => true,
        minreq::Error::IoError(e) => matches!(
            e.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        ),
        _ => false,
    }
}
