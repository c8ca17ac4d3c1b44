//! The origin of weights: digests and chunks of versions that it makes from their number.

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
use crate::serve::Running;

/// Chunks of a version.
pub const CHUNKS: usize = 16;

/// Bytes of a chunk.
pub const CHUNK_LEN: usize = 4_096;

/// The bytes of a chunk of a version.
pub fn chunk(version: u64, index: usize) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(version * 1_000 + index as u64);
    (0..CHUNK_LEN).map(|_| rng.random()).collect()
}

/// The SHA-256 of some bytes in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug, Default)]
struct Shared {
    down: AtomicBool,
    garbled: AtomicBool,
    chunks_sent: AtomicU64,
}

/// A running origin.
#[derive(Debug)]
pub struct ServedOrigin {
    shared: Arc<Shared>,
    running: Running,
}

impl ServedOrigin {
    /// Starts it on `address`.
    pub fn start(address: &str) -> io::Result<ServedOrigin> {
        let shared = Arc::new(Shared::default());
        let answering = shared.clone();
        let running = serve::start(address, move |req| answer(&answering, req))?;
        Ok(ServedOrigin { shared, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// While down it cuts every connection.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Release);
    }

    /// While set, the chunks it sends are wrong.
    pub fn set_garbled(&self, garbled: bool) {
        self.shared.garbled.store(garbled, Ordering::Release);
    }

    /// Chunks sent so far.
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
    if shared.garbled.load(Ordering::Acquire) {
        bytes[0] ^= 1;
    }
    req.respond(200, &[], bytes);
}
