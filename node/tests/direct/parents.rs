//! Tests that an entry follows a parent, which the test simulates.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::direct::replication::Ages;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::Message;
use mastichaven_core::direct::replication::Nomination;
use mastichaven_node::direct::peers;
use mastichaven_node::direct::replication;
use mastichaven_node::direct::state::State;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::updates::state_with_agent_port;

const PARENT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 9));

/// Answers the pings of one follower like an entry that reads the store, after an initial `delay`.
async fn serve_parent(listener: TcpListener, delay: Duration) -> std::io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let _: Hello = peers::read(&mut stream).await?;
    sleep(delay).await;
    let age = Some(Duration::ZERO);
    let ages = Ages { config: age, endpoints: age, evacuations: age, weights: age };
    loop {
        let request_sent_us = stream.read_u64().await?;
        let pong = Message::Pong { request_sent_us, ages, depth: 0, successors: Vec::new() };
        stream.write_all(&peers::encode(&pong)?).await?;
    }
}

/// Whether an entry that has lost its parent follows one that answers after `delay`.
async fn follows_after(delay: Duration) -> bool {
    let listener = TcpListener::bind((PARENT, 0)).await.expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    let state: Rc<State> = Rc::new(state_with_agent_port(port));
    state.is_joining.set(false);
    state.is_following.set(true);
    state.relay.set(Nomination::default().record(PARENT, state.now()));
    spawn_local(serve_parent(listener, delay));
    spawn_local(replication::follow(state.clone()));
    sleep(delay + Duration::from_millis(200)).await;
    state.parent.get().is_some_and(|(parent, _)| parent == PARENT)
}

fn runs_and_follows(delay: Duration) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("runtime can be created"), follows_after(delay))
}

#[test]
fn follow_selects_nominated_parent() {
    assert!(runs_and_follows(Duration::ZERO));
}

// An entry has lost its parent, and the next one answers late because of a large configuration. The
// entry attributes the age of its own state to the new parent and detaches before the first pong.
#[test]
fn follow_waits_for_late_first_pong() {
    assert!(runs_and_follows(Duration::from_millis(150)));
}
