use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_node::engine::Engine;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::origin::Origin;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::hostile::ENDLESS_LEN;
use crate::hostile::HostileServer;
use crate::hostile::ResponseKind;

/// Number of responses that `calls_with_malformed_response` tries.
const RESPONSES: usize = 300;

fn start_endless() -> HostileServer {
    HostileServer::start(ResponseKind::Endless(b"HTTP/1.1 200 OK\r\netag: 1\r\n\r\n".to_vec()))
}

/// The platform, the origin or an engine sends an start_endless response. An unbounded reader would exhaust
/// its host's memory and fail all requests there.
#[test]
fn calls_with_endless_response() {
    let server = start_endless();
    let store = HttpStore::new(&server.base);
    let errors = [PlatformError::Malformed, PlatformError::Unknown];
    assert!(errors.contains(&store.get("config/accepted").map(drop).unwrap_err()));
    assert!(errors.contains(&store.list("plan/").map(drop).unwrap_err()));
    assert!(errors.contains(&store.hosts().map(drop).unwrap_err()));
    let origin = Origin::new(&server.base);
    assert!(origin.chunk(Digest::of(b"chunk")).is_err());
    assert!(origin.manifest(Digest::of(b"manifest")).is_err());
    assert!(Engine::new(&server.base).health().is_err());
    assert!(server.sent() < ENDLESS_LEN, "{} bytes were taken", server.sent());
}

/// The platform's connection closes in the middle of an object. Half a claim or half a configuration
/// would be used as if complete, without any sign of it.
#[test]
fn get_truncated_object() {
    let response = b"HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: 1000\r\n\r\n{\"zone\":{}}";
    let server = HostileServer::start(ResponseKind::Bytes(response.to_vec()));
    let store = HttpStore::new(&server.base);
    assert_eq!(store.get("config/accepted"), Err(PlatformError::Unknown));
}

/// Another server listens at the address of the platform, the origin or the engine and sends no HTTP,
/// half a head or other types. Each call must return one of its numbered errors.
#[test]
fn calls_with_malformed_response() {
    for seed in 0..RESPONSES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        let server = HostileServer::start(ResponseKind::Bytes(malformed_response(&mut rng)));
        let store = HttpStore::new(&server.base);
        let _ = store.get("config/accepted").map_err(|e| e.code().number());
        let _ = store.list("plan/").map_err(|e| e.code().number());
        let _ = store.hosts().map_err(|e| e.code().number());
        let watched = store.watch("", Revision(0), Duration::from_millis(1));
        let _ = watched.map_err(|e| e.code().number());
        let origin = Origin::new(&server.base);
        assert!(origin.chunk(Digest::of(b"chunk")).is_err(), "seed {seed}");
        assert!(origin.manifest(Digest::of(b"manifest")).is_err(), "seed {seed}");
        let _ = Engine::new(&server.base).health().map_err(Code::number);
    }
}

fn malformed_response(rng: &mut ChaCha8Rng) -> Vec<u8> {
    const HEADS: [&[u8]; 6] = [
        b"",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\netag: 99999999999999999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        b"HTTP/1.1 999999 \xff\xfe\r\ncontent-length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
    ];
    const BODIES: [&[u8]; 5] = [
        b"",
        b"[[\"plan/a\", -1]]",
        b"{\"revision\":1,\"changes\":[{\"key\":\"\xff\"}]}",
        b"{\"start_id\":1e300,\"loaded\":{},\"running\":-1}",
        b"[{\"name\":\"a\",\"role\":\"entry\",\"address\":\"nowhere\"}]",
    ];
    let mut response = HEADS[rng.random_range(0..HEADS.len())].to_vec();
    response.extend(BODIES[rng.random_range(0..BODIES.len())]);
    let noise = rng.random_range(0..200);
    response.extend((0..noise).map(|_| rng.random::<u8>()));
    response.truncate(rng.random_range(0..=response.len()));
    response
}
