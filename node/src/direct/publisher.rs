//! Serves connections from followers, and from agents that request peers or chunks.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mastichaven_core::direct::client_budget;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::Message;
use mastichaven_core::direct::replication::PeerEndpoint;
use mastichaven_core::direct::replication::PeerList;
use mastichaven_core::ids::ServiceName;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::chunk_server;
use super::connection;
use super::followers::Outbox;
use super::followers::encode_frame;
use super::peers;
use super::replication::ReplicationError;
use super::replication::Result;
use super::state::State;

/// Maximum number of followers: the entries of the largest region and some that reconnect.
const MAX_FOLLOWERS: usize = 256;

/// Timeout for the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for a reply, longer than the time after which the peer that requests it gives it up.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

impl State {
    /// The engines of a service, for an agent whose current list has the id `known_id`.
    fn peer_list(&self, service: &ServiceName, known_id: u64) -> PeerList {
        let endpoints = self.endpoints.borrow();
        let peer = |listed: &EndpointRecord| PeerEndpoint {
            address: listed.address,
            zone: listed.zone.clone(),
        };
        PeerList::new(endpoints.engines_of(service).map(peer).collect(), known_id)
    }
}

/// Accepts connections from followers and agents until the process ends.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(client_budget::max_peers(state.cfg.limits.descriptors)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let permit = permits.clone().try_acquire_owned();
        let Some(permit) = permit.ok().filter(|_| state.publisher.len() < MAX_FOLLOWERS) else {
            state.metrics.count("peers_rejected");
            continue;
        };
        let state = state.clone();
        spawn_local(async move {
            // The peer observes the error itself.
            let _ = serve_one(&state, stream).await;
            drop(permit);
        });
    }
}

async fn serve_one(state: &Rc<State>, mut stream: TcpStream) -> Result<()> {
    connection::set_socket_options(&stream)?;
    let hello = timeout(HELLO_TIMEOUT, peers::read_request(&mut stream)).await;
    match hello.map_err(|_| ReplicationError::TimedOut)?? {
        Hello::Follow { ip, config_version } => {
            let follower = Rc::new(Outbox::new(ip));
            let result = serve_follower(state, stream, &follower, config_version).await;
            state.publisher.followers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &follower));
            result
        }
        Hello::Peers { service, known_id } => {
            if !state.is_synced() {
                return Ok(());
            }
            let list = state.peer_list(&service, known_id);
            let sent = timeout(REPLY_TIMEOUT, peers::write(&mut stream, &list)).await;
            Ok(sent.map_err(|_| ReplicationError::TimedOut)??)
        }
        Hello::Chunk(req) => {
            let sent = timeout(REPLY_TIMEOUT, chunk_server::serve(state, &mut stream, req)).await;
            Ok(sent.map_err(|_| ReplicationError::TimedOut)??)
        }
    }
}

async fn serve_follower(
    state: &State,
    stream: TcpStream,
    follower: &Rc<Outbox>,
    config: Option<u64>,
) -> Result<()> {
    // Two entries that follow each other would each take the other's state as confirmed.
    let is_parent = state.parent.get().is_some_and(|(parent, _)| parent == follower.ip);
    let (mut read, write) = stream.into_split();
    let snapshot = state.snapshot(config);
    snapshot
        .into_iter()
        .for_each(|update| follower.push_encoded(&encode_frame(&Message::Update(update))));
    if !state.accepts_followers() || is_parent && state.is_following.get() {
        follower.push_encoded(&encode_frame(&Message::NotAvailable));
    }
    state.publisher.followers.borrow_mut().push(follower.clone());
    tokio::select! {
        result = answer_pings(state, &mut read, follower) => result,
        result = send_frames(write, follower) => result,
    }
}

async fn answer_pings(state: &State, read: &mut OwnedReadHalf, follower: &Outbox) -> Result<()> {
    loop {
        let request_sent_us = read.read_u64().await?;
        let message = if state.keeps_followers() {
            let successors = state.publisher.successors();
            Message::Pong { request_sent_us, ages: state.ages(), depth: state.depth(), successors }
        } else {
            Message::NotAvailable
        };
        if follower.has_overflowed.get() {
            return Err(ReplicationError::Disconnected);
        }
        follower.push_encoded(&encode_frame(&message));
    }
}

async fn send_frames(mut write: OwnedWriteHalf, follower: &Outbox) -> Result<()> {
    loop {
        let frames = follower.drain();
        if frames.is_empty() {
            follower.frame_added.notified().await;
        }
        for frame in frames {
            write.write_all(&frame.bytes).await?;
        }
    }
}
