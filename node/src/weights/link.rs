//! Rate limit of the weights that this host sends.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::ids::HostName;

/// Fraction of the link rate that weights may use while requests of callers use the link.
pub const SHARED_LINK_FRACTION: f64 = 0.5;

/// The network link of a host, which delays outgoing weights. Simulations replace it.
pub trait Link: Send + Sync {
    /// Reserves the link for `len` bytes to `to` and returns the time at which they are sent.
    /// `None` if they are lost, which happens only on simulated links.
    fn reserve(&self, to: &HostName, len: usize, now: Time) -> Option<Time>;

    /// Whether a short message to `to` is delivered; a simulated link loses some. Short messages
    /// bypass the rate limit: polls that waited behind queued chunks would make a busy host appear
    /// dead.
    fn delivers(&self, _to: &HostName, _len: usize) -> bool {
        true
    }

    /// The bytes of a chunk as the peer receives them; a simulated link corrupts some.
    fn transmit(&self, bytes: Bytes) -> Bytes {
        bytes
    }

    /// Sets whether requests of callers use this link as well.
    fn set_link_shared(&self, is_shared: bool);
}

/// A token bucket without burst for the outgoing rate of this host.
#[derive(Debug)]
pub struct Uplink {
    bytes_per_second: Option<f64>,
    is_shared: AtomicBool,
    idle_at: Mutex<Time>,
}

impl Uplink {
    /// Creates an idle uplink; `None` for no limit.
    pub fn new(bytes_per_second: Option<u64>) -> Uplink {
        Uplink {
            bytes_per_second: bytes_per_second.map(|rate| rate.max(1) as f64),
            is_shared: AtomicBool::new(false),
            idle_at: Mutex::default(),
        }
    }
}

impl Link for Uplink {
    fn reserve(&self, _: &HostName, len: usize, now: Time) -> Option<Time> {
        let Some(rate) = self.bytes_per_second else {
            return Some(now);
        };
        let is_shared = self.is_shared.load(Ordering::Acquire);
        let rate = if is_shared { rate * SHARED_LINK_FRACTION } else { rate };
        let mut idle_at = self.idle_at.lock().expect("no holder of this lock panics");
        *idle_at = (*idle_at).max(now) + Duration::from_secs_f64(len as f64 / rate);
        Some(*idle_at)
    }

    fn set_link_shared(&self, is_shared: bool) {
        self.is_shared.store(is_shared, Ordering::Release);
    }
}
