//! Idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use mastichaven_core::Time;
use smol_str::SmolStr;

use super::link::Link;

/// How long a connection may be idle and still be used, if the endpoint does not say. A request that
/// meets the endpoint's close may or may not have run.
const USUAL_IDLE: Duration = Duration::from_secs(4);

/// Margin before the end that an endpoint announces for its idle connections.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// Idle connections kept for one endpoint: as many as it has slots, on the usual ones.
const MAX_IDLE: usize = 16;

#[derive(Debug)]
struct Idle {
    link: Link,
    until: Time,
}

/// Idle connections by the incarnation they lead to.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<(SocketAddr, SmolStr), Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection that may still be used. The one used last comes first, so that the others
    /// age out.
    pub fn take(&self, address: SocketAddr, id: &SmolStr, now: Time) -> Option<Link> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&(address, id.clone()))?;
        while let Some(found) = idle.pop() {
            if found.until > now && found.link.is_ready() {
                return Some(found.link);
            }
        }
        None
    }

    /// Keeps a connection on which an answer has ended.
    pub fn put(&self, address: SocketAddr, id: &SmolStr, link: Link, span: Duration, now: Time) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry((address, id.clone())).or_default();
        if idle.len() < MAX_IDLE && !span.is_zero() {
            idle.push(Idle { link, until: now + span });
        }
    }

    /// Drops what has aged out.
    pub fn sweep(&self, now: Time) {
        let mut all = self.idle.borrow_mut();
        all.retain(|_, idle| {
            idle.retain(|idle| idle.until > now && idle.link.is_ready());
            !idle.is_empty()
        });
    }
}

/// How long a connection may be idle after an answer with these headers; zero if not at all.
pub fn idle_span(headers: &HeaderMap) -> Duration {
    let value = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = value("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    if closes {
        return Duration::ZERO;
    }
    let announced = value("keep-alive").and_then(|text| {
        let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        part.trim().parse::<u64>().ok()
    });
    match announced {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => USUAL_IDLE,
    }
}
