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
use crate::hostile::Hostile;
use crate::hostile::Manner;

/// Answers tried by `calls_any_answer`.
const ANSWERS: usize = 300;

fn endless() -> Hostile {
    Hostile::start(Manner::Endless(b"HTTP/1.1 200 OK\r\netag: 1\r\n\r\n".to_vec()))
}

/// The platform, the origin or an engine answers without an end. A process that reads on until its
/// host's memory is gone takes every caller's request there with it.
#[test]
fn calls_endless_answer() {
    let server = endless();
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

/// The platform's connection breaks in the middle of an object. Half a claim or half a
/// configuration that is taken for the whole would be acted on and nobody would notice.
#[test]
fn get_truncated_object() {
    let answer = b"HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: 1000\r\n\r\n{\"zone\":{}}";
    let server = Hostile::start(Manner::Bytes(answer.to_vec()));
    let store = HttpStore::new(&server.base);
    assert_eq!(store.get("config/accepted"), Err(PlatformError::Unknown));
}

/// Something else listens where the platform, the origin or the engine should, and answers
/// anything: no HTTP, half a head, other types. Each call ends with one of its numbered errors.
#[test]
fn calls_any_answer() {
    for seed in 0..ANSWERS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        let server = Hostile::start(Manner::Bytes(any_answer(&mut rng)));
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

fn any_answer(rng: &mut ChaCha8Rng) -> Vec<u8> {
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
    let mut answer = HEADS[rng.random_range(0..HEADS.len())].to_vec();
    answer.extend(BODIES[rng.random_range(0..BODIES.len())]);
    let noise = rng.random_range(0..200);
    answer.extend((0..noise).map(|_| rng.random::<u8>()));
    answer.truncate(rng.random_range(0..=answer.len()));
    answer
}
