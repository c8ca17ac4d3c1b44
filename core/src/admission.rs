//! Admission at the endpoint: how much work its agent lets in.

use crate::run::Load;

/// Requests a cold endpoint is given at once.
pub const COLD_LIMIT: u32 = 2;

/// Lets work in up to a limit that grows with completed work.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    done_at_limit: u32,
    max: u32,
}

impl Admission {
    /// A cold endpoint that bears at most `max` requests when warm.
    pub fn cold(max: u32) -> Admission {
        Admission { limit: COLD_LIMIT.min(max), running: 0, done_at_limit: 0, max }
    }

    /// Lets one request in, or refuses it.
    pub fn try_enter(&mut self) -> bool {
        let free = self.running < self.limit;
        if free {
            self.running += 1;
        }
        free
    }

    /// One request has ended; the limit doubles once it has completed a full round.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.done_at_limit += 1;
        if self.done_at_limit >= self.limit {
            self.limit = (self.limit * 2).min(self.max);
            self.done_at_limit = 0;
        }
    }

    /// The endpoint has started again: back to cold. Requests in progress still count.
    pub fn restart(&mut self) {
        self.limit = COLD_LIMIT.min(self.max);
        self.done_at_limit = 0;
    }

    /// The load as entries see it.
    pub fn load(&self) -> Load {
        Load { work: self.running, limit: self.limit, requests: self.running }
    }
}
