//! Keeps a lease on the platform: carries out what [`Lease`] decides.

use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::lease::Lease;
use mastichaven_core::lease::LeaseStep;
use mastichaven_core::lease::LeaseTiming;
use mastichaven_core::lease::LeaseToken;
use mastichaven_core::platform::ObjectStore;

use crate::clock::Clock;

/// The object of the planner's lease.
pub const PLANNER_LEASE_KEY: &str = "lease/planner";

/// Calls to the platform in one tick at most: a lost answer needs a read, a takeover a write.
const STEPS_A_TICK: u32 = 3;

/// One process's hold on one lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    key: &'static str,
    lease: Lease,
    clock: Clock,
}

impl LeaseKeeper {
    /// A keeper that has not read the lease yet.
    pub fn new(
        key: &'static str,
        host: HostName,
        incarnation: Incarnation,
        timing: LeaseTiming,
        clock: Clock,
    ) -> LeaseKeeper {
        LeaseKeeper { key, lease: Lease::new(host, incarnation, timing), clock }
    }

    /// Reads, takes or renews the lease if that is due. Call a few times a second; it seldom
    /// calls the platform.
    pub fn tick(&mut self, store: &dyn ObjectStore) {
        for _ in 0..STEPS_A_TICK {
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

    /// The token if the lease is held now; ask right before each act under it.
    pub fn token(&self) -> Option<LeaseToken> {
        self.lease.token(self.clock.now())
    }

    /// Who held the lease when it was last read.
    pub fn holder(&self) -> Option<&HostName> {
        self.lease.holder()
    }

    /// Gives the lease up if it is held.
    pub fn release(&mut self, store: &dyn ObjectStore) {
        if let LeaseStep::Write { value, expect } = self.lease.release(self.clock.now()) {
            self.lease.on_written(store.put(self.key, value, expect));
        }
    }
}
