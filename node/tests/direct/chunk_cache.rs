//! The chunk server of an entry, with a fake origin.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::direct::catalog::CallerLimits;
use mastichaven_core::direct::catalog::CatalogParts;
use mastichaven_core::direct::catalog::Origin;
use mastichaven_core::direct::catalog::Service;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::Update;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use mastichaven_node::direct::endpoint_client::sha256;
use mastichaven_node::direct::peers;
use mastichaven_node::direct::peers::PeerReply;
use mastichaven_node::direct::peers::PeerRequest;
use mastichaven_node::direct::publisher;
use mastichaven_node::direct::state::State;
use mastichaven_platform::origin::chunk_path;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::updates::endpoint_record;
use super::updates::state_with_agent_port;

const CHUNKS: u32 = 16;
const CHUNK_LEN: usize = 32 << 10;
const TIMEOUT: Duration = Duration::from_secs(2);

fn chunk(n: u32) -> Vec<u8> {
    vec![n as u8; CHUNK_LEN]
}

/// A chunk of version 3.
fn newer_chunk(n: u32) -> Vec<u8> {
    chunk(CHUNKS + n)
}

/// Behaviour of the fake origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OriginBehaviour {
    Correct,
    /// The first response has one wrong byte; later ones are correct.
    CorruptOnce,
    /// The transfer of all chunks takes longer than `REQUEST_TTL` of the cache.
    Slow,
    /// Connections are closed without a response.
    Down,
}

struct FakeOrigin {
    behaviour: Cell<OriginBehaviour>,
    requests: Cell<u32>,
}

async fn serve_origin(listener: TcpListener, origin: Rc<FakeOrigin>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        let origin = origin.clone();
        // The test checks the result at the entry, so errors are ignored.
        spawn_local(async move { drop(respond(stream, &origin).await) });
    }
}

async fn respond(mut stream: TcpStream, origin: &FakeOrigin) -> std::io::Result<()> {
    if origin.behaviour.get() == OriginBehaviour::Down {
        return Ok(());
    }
    let mut head = [0; 1_024];
    let len = stream.read(&mut head).await?;
    let head = String::from_utf8_lossy(&head[..len]).into_owned();
    let is_requested = |n: &u32| head.contains(&chunk_path("m", 2, *n as usize));
    let is_newer_requested = |n: &u32| head.contains(&chunk_path("m", 3, *n as usize));
    let older = (0..CHUNKS).find(is_requested).map(chunk);
    let newer = (0..CHUNKS).find(is_newer_requested).map(newer_chunk);
    let mut body = older.or(newer).expect("a known chunk");
    origin.requests.set(origin.requests.get() + 1);
    if origin.behaviour.get() == OriginBehaviour::CorruptOnce {
        body[7] ^= 1;
        origin.behaviour.set(OriginBehaviour::Correct);
    }
    // The link has low bandwidth, so requests of many agents arrive during the transfer of the chunk.
    let transfer_ms = if origin.behaviour.get() == OriginBehaviour::Slow { 300 } else { 30 };
    sleep(Duration::from_millis(transfer_ms)).await;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await
}

fn catalog(origin: SocketAddr) -> Update {
    let origin = Origin { address: origin, zone: ZoneName::new("zone-a") };
    let service = Service {
        name: ServiceName::new("registry"),
        cold_per_second: 0.0,
        model: None,
        origin: Some(origin),
    };
    let limits = CallerLimits {
        max_head_len: 1,
        max_body_len: 1,
        head_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
    };
    Update::Config(Box::new(CatalogParts {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        customers: Vec::new(),
        limits,
        rates: Vec::new(),
    }))
}

fn chunk_request(n: u32, next: Vec<(u32, Digest)>) -> Hello {
    let digest = sha256(&chunk(n));
    Hello::Chunk(ChunkRequest {
        model: "m".into(),
        version: 2,
        index: n,
        digest,
        puller: None,
        next,
        holders: Vec::new(),
    })
}

fn newer_chunk_request(n: u32) -> Hello {
    let Hello::Chunk(older) = chunk_request(n, Vec::new()) else { unreachable!() };
    Hello::Chunk(ChunkRequest { version: 3, digest: sha256(&newer_chunk(n)), ..older })
}

async fn fetch(entry: SocketAddr, hello: &Hello) -> Result<Vec<u8>, PeerReply> {
    let download_slots = Semaphore::new(8);
    let result = peers::fetch_chunk(entry, hello, TIMEOUT, TIMEOUT, &download_slots).await;
    result.expect("a reply").map(|bytes| bytes.to_vec())
}

/// Runs `test` with the address of an entry, a fake origin of this behaviour and the entry's state.
fn with_entry<F: Future<Output = ()>>(
    behaviour: OriginBehaviour,
    test: impl FnOnce(SocketAddr, Rc<FakeOrigin>, Rc<State>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("runtime can be created"), async {
        let fake_origin =
            Rc::new(FakeOrigin { behaviour: Cell::new(behaviour), requests: Cell::new(0) });
        let origin_listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let origin = origin_listener.local_addr().expect("bound");
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let entry = listener.local_addr().expect("bound");
        let state = Rc::new(state_with_agent_port(entry.port()));
        state.apply(catalog(origin));
        spawn_local(serve_origin(origin_listener, fake_origin.clone()));
        spawn_local(publisher::serve(state.clone(), listener));
        test(entry, fake_origin, state).await;
    });
}

// Guards against one transfer from the origin per host.
#[test]
fn serve_fetches_chunk_once_for_concurrent_requests() {
    with_entry(OriginBehaviour::Correct, |entry, origin, _| async move {
        let tasks: Vec<_> = (0..20)
            .map(|_| spawn_local(async move { fetch(entry, &chunk_request(3, Vec::new())).await }))
            .collect();
        for task in tasks {
            assert_eq!(task.await.expect("no panic"), Ok(chunk(3)));
        }
        assert_eq!(origin.requests.get(), 1);
    });
}

// Guards against an entry that serves a corrupt chunk to all hosts of its region.
#[test]
fn serve_fetches_corrupt_chunk_again() {
    with_entry(OriginBehaviour::CorruptOnce, |entry, origin, _| async move {
        assert_eq!(fetch(entry, &chunk_request(5, Vec::new())).await, Ok(chunk(5)));
        assert_eq!(origin.requests.get(), 2);
    });
}

// Guards against chunks that have not been fetched by any host at the start of an origin outage.
#[test]
fn serve_prefetches_next_chunks() {
    with_entry(OriginBehaviour::Correct, |entry, origin, state| async move {
        let next = (1..8).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(fetch(entry, &chunk_request(0, next)).await, Ok(chunk(0)));
        sleep(Duration::from_millis(500)).await;
        assert_eq!((origin.requests.get(), state.chunks.len()), (8, 8));
        origin.behaviour.set(OriginBehaviour::Down);
        assert_eq!(fetch(entry, &chunk_request(6, Vec::new())).await, Ok(chunk(6)));
    });
}

// Guards against a version whose chunks queue behind the remaining ones of its predecessor, which are no longer
// needed.
#[test]
fn serve_abandons_older_version_on_request_for_newer() {
    with_entry(OriginBehaviour::Correct, |entry, origin, _| async move {
        let next = (1..CHUNKS).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(fetch(entry, &chunk_request(0, next)).await, Ok(chunk(0)));
        assert_eq!(fetch(entry, &newer_chunk_request(0)).await, Ok(newer_chunk(0)));
        sleep(Duration::from_millis(600)).await;
        assert!(origin.requests.get() <= 6, "{} requests for both versions", origin.requests.get());
        // A host that still downloads the older version requests the chunk again.
        assert_eq!(fetch(entry, &chunk_request(15, Vec::new())).await, Ok(chunk(15)));
    });
}

// Guards against an older version that remains incomplete because the origin becomes unavailable before the
// newer version has been downloaded.
#[test]
fn serve_completes_older_version_if_mostly_available() {
    with_entry(OriginBehaviour::Correct, |entry, _, state| async move {
        let next = (1..CHUNKS).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(fetch(entry, &chunk_request(0, next)).await, Ok(chunk(0)));
        while state.chunks.len() < CHUNKS as usize / 2 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(fetch(entry, &newer_chunk_request(0)).await, Ok(newer_chunk(0)));
        sleep(Duration::from_millis(600)).await;
        assert_eq!(state.chunks.len(), CHUNKS as usize + 1);
    });
}

// Guards against a version that lacks its last chunks in an origin outage: the puller dropped their requests
// while they were queued for the origin.
#[test]
fn serve_prefetches_queued_chunks_beyond_request_ttl() {
    with_entry(OriginBehaviour::Slow, |entry, _, state| async move {
        let next = (1..CHUNKS).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(fetch(entry, &chunk_request(0, next)).await, Ok(chunk(0)));
        sleep(Duration::from_millis(3_500)).await;
        assert_eq!(state.chunks.len(), CHUNKS as usize);
    });
}

// Guards against hosts that consider an entry failed while it waits for the origin.
#[test]
fn serve_replies_not_yet_during_origin_outage() {
    with_entry(OriginBehaviour::Down, |entry, origin, _| async move {
        assert_eq!(fetch(entry, &chunk_request(1, Vec::new())).await, Err(PeerReply::NotYet));
        origin.behaviour.set(OriginBehaviour::Correct);
        assert_eq!(fetch(entry, &chunk_request(1, Vec::new())).await, Ok(chunk(1)));
    });
}

// Guards against a chunk that is delayed by the failure of its puller.
#[test]
fn serve_falls_back_to_origin_on_puller_failure() {
    with_entry(OriginBehaviour::Correct, |entry, _, _| async move {
        let Hello::Chunk(request) = chunk_request(2, Vec::new()) else { unreachable!() };
        let failed_puller = Some([127, 0, 0, 99].into());
        assert_eq!(
            fetch(entry, &Hello::Chunk(ChunkRequest { puller: failed_puller, ..request })).await,
            Ok(chunk(2))
        );
    });
}

/// Serves chunks like the agent of an endpoint that has loaded the version.
async fn serve_loaded_host(listener: TcpListener) {
    let upload_slots = Semaphore::new(8);
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let Ok(PeerRequest::Chunk { digest, .. }) = peers::read(&mut stream).await else { return };
        let chunk_data = (0..CHUNKS).map(chunk).find(|chunk_data| sha256(chunk_data) == digest);
        let _ = peers::send_pieces(&mut stream, &chunk_data.expect("a known chunk"), &upload_slots)
            .await;
    }
}

fn report() -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        is_accepting: true,
        weights: vec![("m".into(), 2)],
        ready_in: None,
        started_ms: 1,
        entries: 1,
        readers: 1,
        is_count_complete: true,
        relay: None,
        root: None,
    }
}

// Guards against another transfer of a loaded version from the origin after a zone has lost power.
#[test]
fn serve_fetches_chunk_of_loaded_version_from_host() {
    with_entry(OriginBehaviour::Correct, |entry, origin, state| async move {
        let host = SocketAddr::from(([127, 0, 0, 7], entry.port()));
        spawn_local(serve_loaded_host(TcpListener::bind(host).await.expect("a free port")));
        let engine = SocketAddr::new(host.ip(), 9);
        let now = state.now();
        let listed = EndpointRecord { address: engine, is_engine: true, ..endpoint_record("i-1") };
        state.apply(Update::EndpointPut(Box::new(listed)));
        state.endpoints.borrow_mut().apply_report(engine, &report(), now, Duration::ZERO, 0.5, now);
        assert_eq!(fetch(entry, &chunk_request(4, Vec::new())).await, Ok(chunk(4)));
        assert_eq!(origin.requests.get(), 0);
    });
}
