//! How fast weights may leave this host.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::ids::HostName;

/// Share of the link that weights may fill while live requests run on it.
pub const SHARE_BESIDE_REQUESTS: f64 = 0.5;

/// When bytes towards a host have left.
pub trait Link: Send + Sync {
    /// Queues `len` bytes towards `to` and gives the time at which they have left; `None` if they
    /// get lost, which only a link of a test does.
    fn reserve(&self, to: &HostName, len: usize, now: Time) -> Option<Time>;

    /// Whether a short message towards `to` arrives. It does not wait behind chunks: the bucket
    /// keeps their queue in this process, and polls that waited in it would make a busy host look
    /// dead.
    fn passes(&self, _to: &HostName, _len: usize) -> bool {
        true
    }

    /// The bytes of a chunk as they arrive; a link of a test damages some.
    fn carry(&self, bytes: Bytes) -> Bytes {
        bytes
    }

    /// Whether live requests run on this host's link.
    fn set_beside_requests(&self, beside: bool);
}

/// A token bucket of this host's outgoing rate, without a burst.
#[derive(Debug)]
pub struct Uplink {
    bytes_per_second: Option<f64>,
    beside_requests: AtomicBool,
    free_at: Mutex<Time>,
}

impl Uplink {
    /// An uplink of this rate; unlimited when `None`.
    pub fn new(bytes_per_second: Option<u64>) -> Uplink {
        Uplink {
            bytes_per_second: bytes_per_second.map(|rate| rate.max(1) as f64),
            beside_requests: AtomicBool::new(false),
            free_at: Mutex::default(),
        }
    }
}

impl Link for Uplink {
    fn reserve(&self, _: &HostName, len: usize, now: Time) -> Option<Time> {
        let Some(rate) = self.bytes_per_second else {
            return Some(now);
        };
        let beside = self.beside_requests.load(Ordering::Acquire);
        let rate = if beside { rate * SHARE_BESIDE_REQUESTS } else { rate };
        let mut free_at = self.free_at.lock().expect("no holder of this lock panics");
        *free_at = (*free_at).max(now) + Duration::from_secs_f64(len as f64 / rate);
        Some(*free_at)
    }

    fn set_beside_requests(&self, beside: bool) {
        self.beside_requests.store(beside, Ordering::Release);
    }
}
