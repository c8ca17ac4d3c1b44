//! Requests that crash each endpoint that runs them, and whose callers send them again.
//!
//! A request is known by the digest of its body. Whoever was running when an endpoint crashed is a
//! suspect, and suspects run alone from then on: one that comes through is cleared, one that
//! crashes an endpoint again, and now alone, is quarantined. So an endless chain of crashes ends at
//! the second one of the culprit, and no innocent request that ran beside it is refused.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::time::Time;

/// Crashes of one request, one of them alone, that quarantine it.
const MAX_CRASHES: u32 = 2;

/// Suspects remembered at most; the oldest make room.
const MAX_SUSPECTS: usize = 4_096;

/// How long a suspicion lasts that nothing adds to.
const SUSPECT_FOR: Duration = Duration::from_secs(600);

/// A crash, as entries tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Digest of the request that was running.
    pub request: Digest,
    /// How many others were running beside it.
    pub beside: u32,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Beside others.
    Free,
    /// Only while its endpoint runs nothing else.
    Alone,
    /// Not at all for now.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    alone: u32,
    seen: Time,
}

/// The suspects that one entry knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_request: HashMap<Digest, Suspect>,
}

impl Quarantine {
    /// Whether nobody is suspected, which spares the caller to compute a digest.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// How `request` may run, when quarantine lasts for `span`.
    pub fn verdict(&self, request: Digest, span: Duration, now: Time) -> Verdict {
        let Some(suspect) = self.by_request.get(&request) else {
            return Verdict::Free;
        };
        let is_guilty = suspect.crashes >= MAX_CRASHES && suspect.alone > 0;
        match is_guilty {
            true if !now.passed(suspect.seen, span) => Verdict::Refused,
            false if now.passed(suspect.seen, SUSPECT_FOR) => Verdict::Free,
            _ => Verdict::Alone,
        }
    }

    /// Notes a crash. O(1), and O(suspects) when full.
    pub fn crashed(&mut self, crash: Crash, now: Time) {
        if self.by_request.len() >= MAX_SUSPECTS {
            let oldest = self.by_request.iter().min_by_key(|(_, suspect)| suspect.seen);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.by_request.remove(&oldest);
            }
        }
        let suspect = self.by_request.entry(crash.request).or_insert(Suspect {
            crashes: 0,
            alone: 0,
            seen: now,
        });
        suspect.crashes += 1;
        suspect.alone += u32::from(crash.beside == 0);
        suspect.seen = now;
    }

    /// A suspect came through alone: it is cleared.
    pub fn came_through(&mut self, request: Digest) {
        self.by_request.remove(&request);
    }
}
