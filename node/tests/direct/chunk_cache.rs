//! An entry that hands out chunks, against an origin that the test plays.

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
use mastichaven_node::direct::peers;
use mastichaven_node::direct::peers::PeerReply;
use mastichaven_node::direct::peers::PeerRequest;
use mastichaven_node::direct::publisher;
use mastichaven_node::direct::staging::sha256;
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
const WITHIN: Duration = Duration::from_secs(2);

fn chunk(n: u32) -> Vec<u8> {
    vec![n as u8; CHUNK_LEN]
}

/// A chunk of version 3.
fn newer_chunk(n: u32) -> Vec<u8> {
    chunk(CHUNKS + n)
}

/// How the origin answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Manner {
    Honest,
    /// The first answer has a wrong byte.
    CorruptAtFirst,
    /// All chunks together take longer than a request is remembered.
    Slow,
    /// It is away.
    Away,
}

struct PlayedOrigin {
    manner: Cell<Manner>,
    asked: Cell<u32>,
}

async fn serve_origin(listener: TcpListener, origin: Rc<PlayedOrigin>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        let origin = origin.clone();
        // How the exchange ended shows at the entry.
        spawn_local(async move { drop(answer(stream, &origin).await) });
    }
}

async fn answer(mut stream: TcpStream, origin: &PlayedOrigin) -> std::io::Result<()> {
    if origin.manner.get() == Manner::Away {
        return Ok(());
    }
    let mut head = [0; 1_024];
    let len = stream.read(&mut head).await?;
    let head = String::from_utf8_lossy(&head[..len]).into_owned();
    let is_asked = |n: &u32| head.contains(&chunk_path("m", 2, *n as usize));
    let is_asked_newer = |n: &u32| head.contains(&chunk_path("m", 3, *n as usize));
    let older = (0..CHUNKS).find(is_asked).map(chunk);
    let newer = (0..CHUNKS).find(is_asked_newer).map(newer_chunk);
    let mut body = older.or(newer).expect("a chunk");
    origin.asked.set(origin.asked.get() + 1);
    if origin.manner.get() == Manner::CorruptAtFirst {
        body[7] ^= 1;
        origin.manner.set(Manner::Honest);
    }
    // The link is narrow: asks of many agents come while the chunk is on its way.
    let takes_ms = if origin.manner.get() == Manner::Slow { 300 } else { 30 };
    sleep(Duration::from_millis(takes_ms)).await;
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
        head_timeout: WITHIN,
        idle_timeout: WITHIN,
    };
    Update::Config(Box::new(CatalogParts {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        customers: Vec::new(),
        limits,
    }))
}

fn ask(n: u32, next: Vec<(u32, Digest)>) -> Hello {
    let digest = sha256(&chunk(n));
    Hello::Chunk(ChunkRequest {
        model: "m".into(),
        version: 2,
        index: n,
        digest,
        puller: None,
        next,
    })
}

fn ask_newer(n: u32) -> Hello {
    let Hello::Chunk(older) = ask(n, Vec::new()) else { unreachable!() };
    Hello::Chunk(ChunkRequest { version: 3, digest: sha256(&newer_chunk(n)), ..older })
}

async fn take(entry: SocketAddr, hello: &Hello) -> Result<Vec<u8>, PeerReply> {
    let intake = Semaphore::new(8);
    let taken = peers::fetch_chunk(entry, hello, WITHIN, WITHIN, &intake).await;
    taken.expect("an answer").map(|bytes| bytes.to_vec())
}

/// Runs `test` against an entry, whose address it is given, and an origin of this manner.
fn with_entry<F: Future<Output = ()>>(
    manner: Manner,
    test: impl FnOnce(SocketAddr, Rc<PlayedOrigin>, Rc<State>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let played = Rc::new(PlayedOrigin { manner: Cell::new(manner), asked: Cell::new(0) });
        let origin_listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let origin = origin_listener.local_addr().expect("bound");
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let entry = listener.local_addr().expect("bound");
        let state = Rc::new(state_with_agent_port(entry.port()));
        state.apply(catalog(origin));
        spawn_local(serve_origin(origin_listener, played.clone()));
        spawn_local(publisher::serve(state.clone(), listener));
        test(entry, played, state).await;
    });
}

// Guards against a version that leaves the origin once for each host.
#[test]
fn chunk_is_pulled_once_however_many_ask() {
    with_entry(Manner::Honest, |entry, origin, _| async move {
        let asks: Vec<_> = (0..20)
            .map(|_| spawn_local(async move { take(entry, &ask(3, Vec::new())).await }))
            .collect();
        for one in asks {
            assert_eq!(one.await.expect("no panic"), Ok(chunk(3)));
        }
        assert_eq!(origin.asked.get(), 1);
    });
}

// Guards against wrong bytes that one entry hands to all hosts of a region.
#[test]
fn chunk_that_does_not_match_is_pulled_again() {
    with_entry(Manner::CorruptAtFirst, |entry, origin, _| async move {
        assert_eq!(take(entry, &ask(5, Vec::new())).await, Ok(chunk(5)));
        assert_eq!(origin.asked.get(), 2);
    });
}

// Guards against chunks that nobody has pulled yet when the origin goes away.
#[test]
fn next_chunks_are_pulled_before_anybody_asks() {
    with_entry(Manner::Honest, |entry, origin, state| async move {
        let next = (1..8).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(take(entry, &ask(0, next)).await, Ok(chunk(0)));
        sleep(Duration::from_millis(500)).await;
        assert_eq!((origin.asked.get(), state.chunks.len()), (8, 8));
        origin.manner.set(Manner::Away);
        assert_eq!(take(entry, &ask(6, Vec::new())).await, Ok(chunk(6)));
    });
}

// Guards against a version that waits behind the rest of the one before it, which nobody wants any more.
#[test]
fn chunks_of_an_older_version_are_left_once_a_newer_one_is_asked_for() {
    with_entry(Manner::Honest, |entry, origin, _| async move {
        let next = (1..CHUNKS).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(take(entry, &ask(0, next)).await, Ok(chunk(0)));
        assert_eq!(take(entry, &ask_newer(0)).await, Ok(newer_chunk(0)));
        sleep(Duration::from_millis(600)).await;
        assert!(origin.asked.get() <= 6, "{} of both versions", origin.asked.get());
        // A host that goes on with the older version asks again.
        assert_eq!(take(entry, &ask(15, Vec::new())).await, Ok(chunk(15)));
    });
}

// Guards against an older version that lacks a few chunks for good, as the origin goes away before the newer
// one is here.
#[test]
fn chunks_of_an_older_version_that_is_near_are_pulled_to_the_end() {
    with_entry(Manner::Honest, |entry, _, state| async move {
        let next = (1..CHUNKS).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(take(entry, &ask(0, next)).await, Ok(chunk(0)));
        while state.chunks.len() < CHUNKS as usize / 2 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(take(entry, &ask_newer(0)).await, Ok(newer_chunk(0)));
        sleep(Duration::from_millis(600)).await;
        assert_eq!(state.chunks.len(), CHUNKS as usize + 1);
    });
}

// Guards against a version that lacks its last chunks when the origin goes away: the puller forgot them while
// they waited for their turn.
#[test]
fn next_chunks_are_pulled_however_long_it_takes() {
    with_entry(Manner::Slow, |entry, _, state| async move {
        let next = (1..CHUNKS).map(|n| (n, sha256(&chunk(n)))).collect();
        assert_eq!(take(entry, &ask(0, next)).await, Ok(chunk(0)));
        sleep(Duration::from_millis(3_500)).await;
        assert_eq!(state.chunks.len(), CHUNKS as usize);
    });
}

// Guards against hosts that take an entry for lost that waits for the origin.
#[test]
fn chunk_of_an_origin_that_is_away_is_answered_as_not_yet_here() {
    with_entry(Manner::Away, |entry, origin, _| async move {
        assert_eq!(take(entry, &ask(1, Vec::new())).await, Err(PeerReply::NotYet));
        origin.manner.set(Manner::Honest);
        assert_eq!(take(entry, &ask(1, Vec::new())).await, Ok(chunk(1)));
    });
}

// Guards against a chunk that is held back by a puller that is lost.
#[test]
fn chunk_comes_from_the_origin_when_its_puller_is_lost() {
    with_entry(Manner::Honest, |entry, _, _| async move {
        let Hello::Chunk(ask) = ask(2, Vec::new()) else { unreachable!() };
        let lost = Some([127, 0, 0, 99].into());
        assert_eq!(
            take(entry, &Hello::Chunk(ChunkRequest { puller: lost, ..ask })).await,
            Ok(chunk(2))
        );
    });
}

/// Plays the agent of an endpoint that has loaded the version.
async fn serve_holder(listener: TcpListener) {
    let turn = Semaphore::new(8);
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let Ok(PeerRequest::Chunk { digest, .. }) = peers::read(&mut stream).await else { return };
        let held = (0..CHUNKS).map(chunk).find(|held| sha256(held) == digest);
        let _ = peers::send_pieces(&mut stream, &held.expect("a chunk"), &turn).await;
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

// Guards against a version in use that leaves the origin once more for a zone that has lost power.
#[test]
fn chunk_of_a_version_in_use_comes_from_a_host_that_holds_it() {
    with_entry(Manner::Honest, |entry, origin, state| async move {
        let holder = SocketAddr::from(([127, 0, 0, 7], entry.port()));
        spawn_local(serve_holder(TcpListener::bind(holder).await.expect("a free port")));
        let engine = SocketAddr::new(holder.ip(), 9);
        let now = state.now();
        let listed = EndpointRecord { address: engine, is_engine: true, ..endpoint_record("i-1") };
        state.apply(Update::EndpointPut(Box::new(listed)));
        state.endpoints.borrow_mut().apply_report(engine, &report(), now, Duration::ZERO, 0.5, now);
        assert_eq!(take(entry, &ask(4, Vec::new())).await, Ok(chunk(4)));
        assert_eq!(origin.asked.get(), 0);
    });
}
