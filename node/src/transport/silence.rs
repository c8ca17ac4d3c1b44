//! Connections that fall silent for good while new ones to the same peer would work.
//!
//! Something between the two ends has lost track of the connection; neither end is told, and an
//! ask on it would wait for the idle timeout. While asks are outstanding, a connection that should
//! have heard from its peer and has not is suspected: a new one is opened beside it, and only when
//! that one answers is the old one closed. A peer that answers on neither is not reachable, which
//! is no reason to close anything.

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

/// How often a connection with outstanding asks is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// An ask must be acknowledged by now; many times the longest round trip between regions.
const ACK_WITHIN: Duration = Duration::from_millis(500);

/// Keep-alives are answered at least this often, on a connection that works.
const HEARD_WITHIN: Duration = Duration::from_millis(1_300);

/// The asks of one connection.
#[derive(Debug)]
pub(super) struct Asks {
    since: Instant,
    outstanding: AtomicU32,
    /// Milliseconds from `since` to the last ask sent.
    last_sent: AtomicU64,
    /// Datagrams that had been received then.
    heard_then: AtomicU64,
    begun: Notify,
}

impl Default for Asks {
    fn default() -> Self {
        Asks {
            since: Instant::now(),
            outstanding: AtomicU32::new(0),
            last_sent: AtomicU64::new(0),
            heard_then: AtomicU64::new(0),
            begun: Notify::new(),
        }
    }
}

impl Asks {
    /// An ask is about to be sent on `connection`; it is outstanding until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>, connection: &Connection) -> Outstanding {
        let millis = u64::try_from(self.since.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.heard_then.store(connection.stats().udp_rx.datagrams, Ordering::Release);
        self.last_sent.store(millis, Ordering::Release);
        self.outstanding.fetch_add(1, Ordering::AcqRel);
        self.begun.notify_one();
        Outstanding(self.clone())
    }

    fn last_sent(&self) -> Instant {
        self.since + Duration::from_millis(self.last_sent.load(Ordering::Acquire))
    }

    async fn any(&self) {
        while self.outstanding.load(Ordering::Acquire) == 0 {
            self.begun.notified().await;
        }
    }
}

/// An ask that waits for replies.
pub(super) struct Outstanding(Arc<Asks>);

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What was last heard on a connection.
struct Heard {
    datagrams: u64,
    at: Instant,
}

impl Heard {
    fn look(&mut self, connection: &Connection) {
        let datagrams = connection.stats().udp_rx.datagrams;
        if datagrams != self.datagrams {
            *self = Heard { datagrams, at: Instant::now() };
        }
    }

    fn is_suspect(&self, asks: &Asks) -> bool {
        let unheard = self.datagrams == asks.heard_then.load(Ordering::Acquire);
        let unacknowledged = unheard && asks.last_sent().elapsed() > ACK_WITHIN;
        unacknowledged || self.at.elapsed() > HEARD_WITHIN
    }
}

/// Watches one connection until it is closed.
pub(super) async fn watch(
    endpoint: Endpoint,
    pool: Pool,
    to: SocketAddr,
    connection: Connection,
    asks: Arc<Asks>,
) {
    let mut heard = Heard { datagrams: 0, at: Instant::now() };
    loop {
        tokio::select! {
            () = asks.any() => {}
            _ = connection.closed() => return,
        }
        tokio::time::sleep(LOOK).await;
        heard.look(&connection);
        if connection.close_reason().is_some() {
            return;
        }
        if heard.is_suspect(&asks) {
            let before = heard.datagrams;
            let Some(new) = open_beside(&endpoint, to).await else {
                continue;
            };
            heard.look(&connection);
            if heard.datagrams == before {
                pool.replace(&endpoint, to, new);
                connection.close(0u8.into(), b"silent");
                return;
            }
            new.close(0u8.into(), b"not needed");
        }
    }
}

async fn open_beside(endpoint: &Endpoint, to: SocketAddr) -> Option<Connection> {
    let connecting = endpoint.connect(to, PEER_NAME).ok()?;
    tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
}
