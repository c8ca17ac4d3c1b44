//! Replaces connections that stop receiving while new ones to the same peer would work.
//!
//! A middlebox may drop its state of a connection without notice to either end; a request on it
//! would wait for the idle timeout. While requests are in flight, a connection that misses an
//! expected packet is suspected and a second one is opened. The old one is closed only when the
//! second completes its handshake. If neither works, the peer is unreachable and nothing is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::Notify;

use super::CONNECT_TIMEOUT;
use super::Pool;
use crate::tls::PEER_NAME;

/// How often a connection with requests in flight is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for the peer to acknowledge a request; many times the longest round trip between regions.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// On a working connection, keep-alives are acknowledged at least this often.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Requests in flight on one connection.
#[derive(Debug)]
pub(super) struct RequestsInFlight {
    created_at: Instant,
    count: AtomicU32,
    /// Milliseconds from `created_at` to the last request sent.
    last_sent: AtomicU64,
    /// Datagrams received before the last request was sent.
    datagrams_before_send: AtomicU64,
    added: Notify,
}

impl Default for RequestsInFlight {
    fn default() -> Self {
        RequestsInFlight {
            created_at: Instant::now(),
            count: AtomicU32::new(0),
            last_sent: AtomicU64::new(0),
            datagrams_before_send: AtomicU64::new(0),
            added: Notify::new(),
        }
    }
}

impl RequestsInFlight {
    /// Records a request that is about to be sent on `connection`; it is in flight until the guard
    /// is dropped.
    pub(super) fn begin(self: &Arc<Self>, connection: &Connection) -> PeerRequestGuard {
        let millis = u64::try_from(self.created_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.datagrams_before_send.store(connection.stats().udp_rx.datagrams, Ordering::Release);
        self.last_sent.store(millis, Ordering::Release);
        self.count.fetch_add(1, Ordering::AcqRel);
        self.added.notify_one();
        PeerRequestGuard(self.clone())
    }

    fn last_sent(&self) -> Instant {
        self.created_at + Duration::from_millis(self.last_sent.load(Ordering::Acquire))
    }

    async fn wait_for_request(&self) {
        while self.count.load(Ordering::Acquire) == 0 {
            self.added.notified().await;
        }
    }
}

/// Counts one request to a peer as in flight until dropped.
pub(super) struct PeerRequestGuard(Arc<RequestsInFlight>);

impl Drop for PeerRequestGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Datagrams received on a connection, and when the count last changed.
struct Received {
    datagrams: u64,
    changed_at: Instant,
}

impl Received {
    fn update(&mut self, connection: &Connection) {
        let datagrams = connection.stats().udp_rx.datagrams;
        if datagrams != self.datagrams {
            *self = Received { datagrams, changed_at: Instant::now() };
        }
    }

    fn is_suspect(&self, in_flight: &RequestsInFlight) -> bool {
        let nothing_received =
            self.datagrams == in_flight.datagrams_before_send.load(Ordering::Acquire);
        let unacknowledged = nothing_received && in_flight.last_sent().elapsed() > ACK_TIMEOUT;
        unacknowledged || self.changed_at.elapsed() > RECEIVE_TIMEOUT
    }
}

/// Monitors one connection until it is closed, and replaces it if it stops receiving.
pub(super) async fn run(
    endpoint: Endpoint,
    pool: Pool,
    to: SocketAddr,
    connection: Connection,
    in_flight: Arc<RequestsInFlight>,
) {
    let mut received = Received { datagrams: 0, changed_at: Instant::now() };
    loop {
        tokio::select! {
            () = in_flight.wait_for_request() => {}
            _ = connection.closed() => return,
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        received.update(&connection);
        if connection.close_reason().is_some() {
            return;
        }
        if received.is_suspect(&in_flight) {
            let previous = received.datagrams;
            let Some(new) = open_second(&endpoint, to).await else {
                continue;
            };
            received.update(&connection);
            if received.datagrams == previous {
                pool.replace(&endpoint, to, new);
                connection.close(0u8.into(), b"silent");
                return;
            }
            new.close(0u8.into(), b"not needed");
        }
    }
}

async fn open_second(endpoint: &Endpoint, to: SocketAddr) -> Option<Connection> {
    let connecting = endpoint.connect(to, PEER_NAME).ok()?;
    tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
}
