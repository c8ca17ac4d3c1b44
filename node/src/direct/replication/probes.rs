//! Probes with which an entry without a parent checks whether the store answers it.

use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_platform::objects::Kind;
use rand::RngExt;

use crate::direct::state::State;
use crate::direct::store::StoreClient;

/// Initial and maximum delay between probes. The maximum applies to up to [`ENTRIES_PER_MAX_DELAY`]
/// entries and grows with their number, as one entry that reaches the store is enough for all.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(100);
const MAX_PROBE_DELAY: Duration = Duration::from_millis(700);
const ENTRIES_PER_MAX_DELAY: u32 = 16;

/// Sends probes to the store with exponential backoff.
pub(super) struct StoreProbe {
    client: StoreClient,
    delay: Duration,
    next_at: Time,
}

impl StoreProbe {
    /// Creates a probe that is due immediately.
    pub(super) fn new(state: &State) -> StoreProbe {
        StoreProbe {
            client: StoreClient::new(
                state.cfg.store,
                state.metrics.clone(),
                state.known_era.clone(),
            ),
            delay: INITIAL_PROBE_DELAY,
            next_at: Time::ZERO,
        }
    }

    /// Sends a probe if one is due. Returns whether the store answered it.
    pub(super) async fn run_if_due(&mut self, state: &State) -> bool {
        if state.now() < self.next_at {
            return false;
        }
        // There are few evacuations, so the response is short.
        let is_answered = self.client.list(Kind::Evacuations, false).await.is_ok();
        let entries = state.endpoints.borrow().entries();
        let max_delay = MAX_PROBE_DELAY * entries.div_ceil(ENTRIES_PER_MAX_DELAY);
        let jitter = state.with_rng(|rng| rng.random_range(0.5..1.0));
        self.next_at = state.now() + self.delay.mul_f64(jitter);
        self.delay = (self.delay * 2).min(max_delay);
        if !is_answered {
            // Versions that the next list shows may be as new as the end of the outage; they must
            // not be dated to the last successful read.
            state.failing_kinds.borrow_mut().extend(Kind::ALL);
        }
        is_answered
    }
}
