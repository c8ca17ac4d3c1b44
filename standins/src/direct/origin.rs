//! A fake weights origin that generates manifests and chunks from the version number.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::serve;
use crate::serve::Req;
use crate::serve::Server;

/// Number of chunks of a version.
pub const CHUNKS: usize = 16;

/// Length of a chunk in bytes.
pub const CHUNK_LEN: usize = 4_096;

/// Generates the bytes of a chunk, the same for each `version` and `index`.
pub fn chunk(version: u64, index: usize) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(version * 1_000 + index as u64);
    (0..CHUNK_LEN).map(|_| rng.random()).collect()
}

/// The SHA-256 digest of `bytes` in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug, Default)]
struct Shared {
    down: AtomicBool,
    corrupting: AtomicBool,
    chunks_sent: AtomicU64,
}

/// A running fake origin; dropping it stops it.
#[derive(Debug)]
pub struct FakeOrigin {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeOrigin {
    /// Starts the origin on `address`.
    pub fn start(address: &str) -> io::Result<FakeOrigin> {
        let shared = Arc::new(Shared::default());
        let handler_state = shared.clone();
        let server = serve::start(address, move |req| answer(&handler_state, req))?;
        Ok(FakeOrigin { shared, server })
    }

    /// Address on which the origin listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// While `down`, connections are closed without an answer.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Release);
    }

    /// While `corrupting`, chunks are sent with a wrong byte.
    pub fn set_corrupting(&self, corrupting: bool) {
        self.shared.corrupting.store(corrupting, Ordering::Release);
    }

    /// Number of chunks sent so far.
    pub fn chunks_sent(&self) -> u64 {
        self.shared.chunks_sent.load(Ordering::Acquire)
    }
}

fn answer(shared: &Shared, req: Req) {
    if shared.down.load(Ordering::Acquire) {
        return;
    }
    let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok());
    let version = number("version").unwrap_or(1);
    if req.path.starts_with("/manifest/") {
        let digests: Vec<String> =
            (0..CHUNKS).map(|index| digest(&chunk(version, index))).collect();
        return req.respond_json(&json!({
            "model": "m", "version": version, "chunk_bytes": CHUNK_LEN, "layers": 4,
            "digests": digests
        }));
    }
    let Some(index) = number("sample_count").filter(|_| req.path.starts_with("/piece/")) else {
        return req.respond(404, &[], "");
    };
    shared.chunks_sent.fetch_add(1, Ordering::AcqRel);
    let mut bytes = chunk(version, index as usize);
    if shared.corrupting.load(Ordering::Acquire) {
        bytes[0] ^= 1;
    }
    req.respond(200, &[], bytes);
}
