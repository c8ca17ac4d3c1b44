//! Several entries on one port of different addresses, each with its own path to a fake origin.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::direct::pullers::order;
use mastichaven_core::direct::replication::ChunkRequest;
use mastichaven_core::direct::replication::Hello;
use mastichaven_node::direct::endpoint_client::sha256;
use mastichaven_node::direct::publisher;
use mastichaven_node::direct::state::State;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use super::chunk_cache::CHUNKS;
use super::chunk_cache::FakeOrigin;
use super::chunk_cache::OriginBehaviour;
use super::chunk_cache::catalog;
use super::chunk_cache::chunk;
use super::chunk_cache::chunk_request;
use super::chunk_cache::fetch;
use super::chunk_cache::serve_origin;
use super::updates::state_with_agent_port;

/// Time within which a chunk must arrive after a failure that takes 0.5 s to notice, with a margin for a busy machine.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The same if a puller is silent. It is below the time that two silent pullers take one after the other.
const MAX_SILENT_WAIT: Duration = Duration::from_millis(850);

/// An entry with its own path to the origin.
struct Entry {
    address: SocketAddr,
    origin: Rc<FakeOrigin>,
    state: Rc<State>,
}

async fn start_entry(n: u8, port: u16, behaviour: OriginBehaviour) -> Entry {
    let origin = Rc::new(FakeOrigin { behaviour: Cell::new(behaviour), requests: Cell::new(0) });
    let origin_listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let origin_address = origin_listener.local_addr().expect("bound");
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 0, 1, n], port))).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let mut state = state_with_agent_port(address.port());
    state.cfg.ip = address.ip();
    let state = Rc::new(state);
    state.apply(catalog(origin_address));
    spawn_local(serve_origin(origin_listener, origin.clone()));
    spawn_local(publisher::serve(state.clone(), listener));
    Entry { address, origin, state }
}

/// Accepts connections and never replies, as a paused process does.
async fn start_silent(n: u8, port: u16) -> IpAddr {
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 0, 1, n], port))).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    address.ip()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("runtime can be created"), test);
}

/// The chunks whose candidates begin with these pullers, in any order.
fn chunks_of(first: &[IpAddr], pullers: &[IpAddr]) -> Vec<u32> {
    let begins = |n: &u32| {
        let order = order(pullers, sha256(&chunk(*n)));
        order[..first.len()].iter().all(|ip| first.contains(ip))
    };
    (0..CHUNKS).filter(begins).collect()
}

/// Requests a chunk as an agent does until it arrives, and returns how long that took.
async fn fetch_until_present(entry: SocketAddr, n: u32, pullers: Vec<IpAddr>) -> Duration {
    let started_at = Instant::now();
    let Hello::Chunk(request) = chunk_request(n, Vec::new()) else { unreachable!() };
    let digest = request.digest;
    let puller = order(&pullers, digest).first().copied().filter(|ip| *ip != entry.ip());
    let hello = Hello::Chunk(ChunkRequest { puller, pullers, ..request });
    loop {
        match fetch(entry, &hello).await {
            Ok(bytes) => assert_eq!(bytes, chunk(n)),
            Err(_) if started_at.elapsed() < Duration::from_secs(10) => continue,
            Err(reply) => panic!("no chunk {n}: {reply:?}"),
        }
        return started_at.elapsed();
    }
}

async fn fetch_all(entry: SocketAddr, chunks: &[u32], pullers: &[IpAddr]) -> Duration {
    let fetch_one = |n: &u32| spawn_local(fetch_until_present(entry, *n, pullers.to_vec()));
    let tasks: Vec<_> = chunks.iter().map(fetch_one).collect();
    let mut longest = Duration::ZERO;
    for task in tasks {
        longest = longest.max(task.await.expect("no panic"));
    }
    longest
}

// Guards against chunks that wait for a puller that accepts connections and stays silent, and for two such pullers one
// after the other.
#[test]
fn serve_takes_over_from_silent_pullers() {
    run(async {
        let asker = start_entry(1, 0, OriginBehaviour::Correct).await;
        let port = asker.address.port();
        let silent = [start_silent(2, port).await, start_silent(3, port).await];
        let third = start_entry(4, port, OriginBehaviour::Correct).await;
        let fourth = start_entry(5, port, OriginBehaviour::Correct).await;
        let pullers = [silent[0], silent[1], third.address.ip(), fourth.address.ip()];
        let n = *chunks_of(&silent, &pullers).first().expect("a chunk with both silent first");
        let took = fetch_all(asker.address, &[n], &pullers).await;
        println!("one chunk after {took:?}");
        assert!(took < MAX_SILENT_WAIT, "{took:?}");
        let all: Vec<u32> = (0..CHUNKS).collect();
        let took = fetch_all(asker.address, &all, &pullers).await;
        println!("all chunks after {took:?}");
        let requests = [&asker, &third, &fourth].map(|entry| entry.origin.requests.get());
        assert_eq!((requests[0], requests.iter().sum()), (0, CHUNKS), "{requests:?}");
    });
}

// Guards against chunks that wait behind a transfer that has stalled: the puller's path to the origin fails after it
// has begun.
#[test]
fn serve_takes_over_if_path_of_puller_stalls() {
    run(async {
        let asker = start_entry(11, 0, OriginBehaviour::Correct).await;
        let port = asker.address.port();
        let stalled = start_entry(12, port, OriginBehaviour::StalledMidway).await;
        let second = start_entry(13, port, OriginBehaviour::Correct).await;
        let pullers = [stalled.address.ip(), second.address.ip()];
        let chunks = chunks_of(&pullers[..1], &pullers);
        assert!(chunks.len() > 2, "more than the stalled requests: {chunks:?}");
        let took = fetch_all(asker.address, &chunks, &pullers).await;
        println!("{} chunks after {took:?}", chunks.len());
        assert!(took < MAX_WAIT + Duration::from_millis(600), "{took:?}");
        assert_eq!(second.origin.requests.get() as usize, chunks.len());
        assert_eq!(asker.origin.requests.get(), 0);
        // An agent that asks the stalled puller itself gets the chunks from the second one.
        let took = fetch_all(stalled.address, &chunks, &pullers).await;
        assert!(took < MAX_WAIT, "{took:?}");
        assert_eq!(second.origin.requests.get() as usize, chunks.len());
    });
}

// Guards against entries that notice late that the origin is back, or that all pull the same chunks then.
#[test]
fn serve_pulls_once_after_origin_outage() {
    run(async {
        let asker = start_entry(21, 0, OriginBehaviour::Down).await;
        let port = asker.address.port();
        let first = start_entry(22, port, OriginBehaviour::Down).await;
        let second = start_entry(23, port, OriginBehaviour::Down).await;
        let pullers = [first.address.ip(), second.address.ip()];
        let entries = [&asker, &first, &second];
        let origins = entries.map(|entry| entry.origin.clone());
        let back_after = Duration::from_millis(2_200);
        spawn_local(async move {
            sleep(back_after).await;
            origins.iter().for_each(|origin| origin.behaviour.set(OriginBehaviour::Correct));
        });
        let all: Vec<u32> = (0..CHUNKS).collect();
        let took = fetch_all(asker.address, &all, &pullers).await;
        let requests = entries.map(|entry| entry.origin.requests.get());
        println!("all chunks {:?} after the origin, requests {requests:?}", took - back_after);
        assert!(took < back_after + MAX_WAIT, "{took:?}");
        assert!(requests.iter().sum::<u32>() <= CHUNKS + CHUNKS * 3 / 10, "{requests:?}");
        assert_eq!(entries.map(|entry| entry.state.chunks.len())[0], CHUNKS as usize);
    });
}

// Guards against chunks that leave the origin again because their first puller has restarted with an empty cache.
#[test]
fn serve_asks_later_puller_after_restart() {
    run(async {
        let asker = start_entry(31, 0, OriginBehaviour::Correct).await;
        let port = asker.address.port();
        let restarted = start_entry(32, port, OriginBehaviour::Correct).await;
        let second = start_entry(33, port, OriginBehaviour::Correct).await;
        let pullers = [restarted.address.ip(), second.address.ip()];
        let chunks = chunks_of(&pullers[..1], &pullers);
        fetch_all(second.address, &chunks, &[]).await;
        fetch_all(asker.address, &chunks, &pullers).await;
        let requests = [&asker, &restarted, &second].map(|entry| entry.origin.requests.get());
        assert_eq!(requests, [0, 0, chunks.len() as u32]);
    });
}
