//! A stand-in of the origin of weights.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::http;
use crate::http::Server;
use crate::record::Record;
use crate::sha256;
use crate::site;

/// The bytes of a piece, the same for each `version` and `index`.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    let mut state = version * 1_000 + index as u64 + 1;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (state >> 33) as u8
    };
    (0..site::PIECE_LEN).map(|_| next()).collect()
}

#[derive(Default)]
struct State {
    spoilt_manifests: u32,
    manifests: u32,
    pieces: u32,
}

/// A running origin.
pub struct Origin {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Origin {
    /// Starts the origin.
    pub fn start(address: &str, record: &Arc<Record>) -> io::Result<Origin> {
        let state = Arc::new(Mutex::new(State::default()));
        let (handler, record) = (state.clone(), record.clone());
        let server = Server::start(address, move |connection| {
            while let Some(head) = http::read_head(&mut connection.reader)? {
                let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
                let version = number("version").unwrap_or(1);
                let writer = &mut connection.writer;
                if head.path().starts_with("/manifest/") {
                    let is_spoilt = {
                        let mut state = handler.lock().expect("no holder panics");
                        state.manifests += 1;
                        let is_spoilt = state.spoilt_manifests > 0;
                        state.spoilt_manifests -= u32::from(is_spoilt);
                        is_spoilt
                    };
                    let how = if is_spoilt { "with one wrong digit" } else { "unchanged" };
                    record.line(&format!("origin sends the manifest of version {version} {how}"));
                    let json = [("content-type", "application/json")];
                    http::respond(writer, 200, &json, manifest(version, is_spoilt).as_bytes())?;
                } else if let Some(index) = number("sample_count") {
                    handler.lock().expect("no holder panics").pieces += 1;
                    http::respond(writer, 200, &[], &piece(version, index as usize))?;
                } else {
                    http::respond(writer, 404, &[], b"")?;
                }
            }
            Ok(())
        })?;
        Ok(Origin { state, server })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Spoils the next `count` manifests.
    pub fn spoil_manifests(&self, count: u32) {
        self.state.lock().expect("no holder panics").spoilt_manifests = count;
    }

    /// Manifests and pieces sent so far.
    pub fn sent(&self) -> (u32, u32) {
        let state = self.state.lock().expect("no holder panics");
        (state.manifests, state.pieces)
    }
}

fn manifest(version: u64, is_spoilt: bool) -> String {
    let mut digests: Vec<String> =
        (0..site::PIECES).map(|index| sha256::hex_digest(&piece(version, index))).collect();
    if is_spoilt {
        let other = if digests[3].starts_with('0') { "1" } else { "0" };
        digests[3].replace_range(0..1, other);
    }
    let digests: Vec<String> = digests.iter().map(|digest| format!("\"{digest}\"")).collect();
    format!(
        "{{\"model\":\"{}\",\"version\":{version},\"chunk_bytes\":{},\"layers\":{},\
         \"digests\":[{}]}}",
        site::MODEL,
        site::PIECE_LEN,
        site::LAYERS,
        digests.join(",")
    )
}
