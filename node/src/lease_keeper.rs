//! Acquires and renews a lease on the platform by carrying out the steps of [`Lease`].

use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::lease::Lease;
use mastichaven_core::lease::LeaseStep;
use mastichaven_core::lease::LeaseTiming;
use mastichaven_core::lease::LeaseToken;
use mastichaven_core::platform::ObjectStore;

use crate::clock::Clock;

/// Key of the lease of the planner.
pub const PLANNER_LEASE_KEY: &str = "lease/planner";

/// Maximum number of calls to the platform in one tick. A lost answer is resolved by a read, and an
/// expired lease is acquired by a read and a write.
const MAX_STEPS_PER_TICK: u32 = 3;

/// Keeps one lease for one process.
#[derive(Debug)]
pub struct LeaseKeeper {
    key: &'static str,
    lease: Lease,
    clock: Clock,
}

impl LeaseKeeper {
    /// Creates a keeper for the lease object `key`. The first [`LeaseKeeper::tick`] reads it.
    pub fn new(
        key: &'static str,
        host: HostName,
        incarnation: Incarnation,
        timing: LeaseTiming,
        clock: Clock,
    ) -> LeaseKeeper {
        LeaseKeeper { key, lease: Lease::new(host, incarnation, timing), clock }
    }

    /// Reads, acquires or renews the lease if that is due. Call it several times a second; few of
    /// the calls reach the platform.
    pub fn tick(&mut self, store: &dyn ObjectStore) {
        for _ in 0..MAX_STEPS_PER_TICK {
            match self.lease.next_step(self.clock.now()) {
                LeaseStep::Idle => return,
                LeaseStep::Read => {
                    let result = store.get(self.key);
                    let failed = result.is_err();
                    self.lease.on_read(self.clock.now(), result);
                    if failed {
                        return;
                    }
                }
                LeaseStep::Write { value, expect } => {
                    self.lease.on_written(store.put(self.key, value, expect));
                }
            }
        }
    }

    /// Returns the token if the lease is held now. Check it right before each action under the
    /// lease.
    pub fn token(&self) -> Option<LeaseToken> {
        self.lease.token(self.clock.now())
    }

    /// Host of the holder as last read or written; `None` if it is unknown or the lease was
    /// released.
    pub fn holder(&self) -> Option<&HostName> {
        self.lease.holder()
    }

    /// Releases the lease if it is held, so that another process can acquire it at once.
    pub fn release(&mut self, store: &dyn ObjectStore) {
        if let LeaseStep::Write { value, expect } = self.lease.release(self.clock.now()) {
            self.lease.on_written(store.put(self.key, value, expect));
        }
    }
}
