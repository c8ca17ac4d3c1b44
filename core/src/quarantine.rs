//! Quarantine of requests that crash every endpoint that runs them and are retried by their
//! callers.
//!
//! A request is identified by the digest of its body. Every request in progress when an endpoint
//! crashes becomes a suspect, and suspects run exclusively from then on. A suspect that completes
//! is cleared; one that crashes an endpoint again, now exclusively, is quarantined. So a chain of
//! crashes ends at the second crash of the culprit, and requests that only ran at the same time are
//! never refused.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::time::Time;

/// Number of crashes, at least one of them exclusive, that quarantine a request.
const QUARANTINE_CRASHES: u32 = 2;

/// Maximum number of suspects; the oldest is evicted.
const MAX_SUSPECTS: usize = 4_096;

/// How long a request stays a suspect after its last crash.
const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Length of the digest in a [`Fingerprint`], in bytes.
const FINGERPRINT_LEN: usize = 16;

/// Purpose of the keys of fingerprints, which keeps them apart from other digests.
const FINGERPRINT_CONTEXT: &str = "mastichaven request fingerprint";

/// Identifies a request across the attempts of its caller.
///
/// The digest is keyed with the customer, so that nobody can make a request that is taken for one of another customer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    customer: u32,
    request: [u8; FINGERPRINT_LEN],
}

impl Fingerprint {
    /// The fingerprint of a request that consists of `parts`, sent by `customer`; anonymous callers share the
    /// empty name.
    pub fn new(customer: &str, parts: &[&[u8]]) -> Fingerprint {
        let key = blake3::derive_key(FINGERPRINT_CONTEXT, customer.as_bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
        }
        let mut request = [0; FINGERPRINT_LEN];
        request.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_LEN]);
        let [a, b, c, d, ..] = key;
        Fingerprint { customer: u32::from_le_bytes([a, b, c, d]), request }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.request.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Report of a crash, sent between entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Digest of a request that was in progress.
    pub request: Digest,
    /// Number of other requests in progress on the endpoint.
    pub concurrent: u32,
}

/// Restriction on how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPolicy {
    /// Together with other requests.
    Shared,
    /// Only on an endpoint that runs no other request.
    Exclusive,
    /// Not at all until the quarantine ends.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    exclusive_crashes: u32,
    last_crash: Time,
}

/// The suspects known to one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_request: HashMap<Digest, Suspect>,
}

impl Quarantine {
    /// Whether there are no suspects; the caller can skip computing a digest then.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns how `request` may run; the quarantine ends `duration` after the last crash.
    pub fn policy(&self, request: Digest, duration: Duration, now: Time) -> RunPolicy {
        let Some(suspect) = self.by_request.get(&request) else {
            return RunPolicy::Shared;
        };
        let is_culprit = suspect.crashes >= QUARANTINE_CRASHES && suspect.exclusive_crashes > 0;
        match is_culprit {
            true if !now.passed(suspect.last_crash, duration) => RunPolicy::Refused,
            false if now.passed(suspect.last_crash, SUSPICION_TTL) => RunPolicy::Shared,
            _ => RunPolicy::Exclusive,
        }
    }

    /// Records a crash. O(1), or O(suspects) when full.
    pub fn record_crash(&mut self, crash: Crash, now: Time) {
        if self.by_request.len() >= MAX_SUSPECTS {
            let oldest = self.by_request.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.by_request.remove(&oldest);
            }
        }
        let suspect = self.by_request.entry(crash.request).or_insert(Suspect {
            crashes: 0,
            exclusive_crashes: 0,
            last_crash: now,
        });
        suspect.crashes += 1;
        suspect.exclusive_crashes += u32::from(crash.concurrent == 0);
        suspect.last_crash = now;
    }

    /// Clears a suspect that completed exclusively.
    pub fn clear(&mut self, request: Digest) {
        self.by_request.remove(&request);
    }
}
