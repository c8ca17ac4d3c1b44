//! Calls with which an entry that follows nobody looks whether the store answers it.

use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_platform::objects::Kind;
use rand::RngExt;

use crate::direct::state::State;
use crate::direct::store::StoreClient;

/// First and longest pause between the probes with which an entry that follows nobody looks whether the store
/// answers it. The longest one grows with the fleet, as one entry that finds the store is enough for all.
const PROBE_FIRST: Duration = Duration::from_millis(100);
const PROBE_LONGEST: Duration = Duration::from_millis(700);
const ENTRIES_WITH_SHORT_PAUSE: u32 = 16;

/// Calls that show whether the store answers this entry.
pub(super) struct Probes {
    client: StoreClient,
    pause: Duration,
    next: Time,
}

impl Probes {
    /// Probes of which the first is due at once.
    pub(super) fn new(state: &State) -> Probes {
        Probes {
            client: StoreClient::new(state.cfg.store, state.metrics.clone()),
            pause: PROBE_FIRST,
            next: Time::ZERO,
        }
    }

    /// Whether a probe was due and the store has answered it.
    pub(super) async fn is_answered(&mut self, state: &State) -> bool {
        if state.now() < self.next {
            return false;
        }
        // Few objects, if any, so the answer is short.
        let is_answered = self.client.list(Kind::Evacuations, false).await.is_ok();
        let entries = state.endpoints.borrow().entries();
        let longest = PROBE_LONGEST * entries.div_ceil(ENTRIES_WITH_SHORT_PAUSE);
        let part = state.with_rng(|rng| rng.random_range(0.5..1.0));
        self.next = state.now() + self.pause.mul_f64(part);
        self.pause = (self.pause * 2).min(longest);
        if !is_answered {
            // What a list shows after this need not have been there for as long as it was not seen.
            state.lost_kinds.borrow_mut().extend(Kind::ALL);
        }
        is_answered
    }
}
