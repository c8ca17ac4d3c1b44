//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use mastichaven_core::Time;
use smol_str::SmolStr;

use super::connection::HttpConnection;

/// Time for which an idle connection is reused if the endpoint announces no timeout. If a request
/// is sent while the endpoint closes the connection, it is unknown whether it has run.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time before the announced timeout of an endpoint at which its idle connections are no longer
/// reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_200);

/// Idle connections kept for each endpoint; the usual endpoint has as many slots.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    expires_at: Time,
}

/// Idle connections by the address and id of the endpoint's incarnation.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<(SocketAddr, SmolStr), Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still open, so that surplus connections
    /// expire; `None` if there is none.
    pub fn take(&self, address: SocketAddr, id: &SmolStr, now: Time) -> Option<HttpConnection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&(address, id.clone()))?;
        while let Some(candidate) = idle.pop() {
            if candidate.expires_at > now && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection after a complete response, to be reused for `keep_alive`. It is closed
    /// if the endpoint already has `MAX_IDLE_PER_ENDPOINT` or `keep_alive` is zero.
    pub fn put(
        &self,
        address: SocketAddr,
        id: &SmolStr,
        connection: HttpConnection,
        keep_alive: Duration,
        now: Time,
    ) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry((address, id.clone())).or_default();
        if idle.len() < MAX_IDLE_PER_ENDPOINT && !keep_alive.is_zero() {
            idle.push(IdleConnection { connection, expires_at: now + keep_alive });
        }
    }

    /// Closes connections that have expired or were closed by the endpoint.
    pub fn sweep(&self, now: Time) {
        let mut all = self.idle.borrow_mut();
        all.retain(|_, idle| {
            idle.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
            !idle.is_empty()
        });
    }
}

/// Time for which a connection may be reused after a response with these headers; zero if it must
/// be closed.
pub fn parse_keep_alive(headers: &HeaderMap) -> Duration {
    let value = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let is_closing = value("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    if is_closing {
        return Duration::ZERO;
    }
    let announced = value("keep-alive").and_then(|text| {
        let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        part.trim().parse::<u64>().ok()
    });
    match announced {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    }
}
