//! Quarantine of requests that crash every endpoint that runs them and are retried by their
//! callers.
//!
//! Every request in progress when an endpoint crashes becomes a suspect, and one that completes is
//! cleared, so only the cause of the crashes remains one. How it is distinguished from requests
//! that ran concurrently depends on what is known of these:
//!
//! - Where an agent is the only way to its endpoint, suspects run exclusively. A request that
//!   crashes an endpoint again, now exclusively, is quarantined.
//! - Where entries send requests to endpoints directly, they report to a collector which ones
//!   were in progress. A crash is attributed to the request that was in progress at clearly more
//!   crashes than any other one there, and three such crashes quarantine it.
//!
//! So a chain of crashes ends soon, and requests that only ran concurrently are not refused.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// How long a request is refused after its last crash where the configuration does not say.
pub const DEFAULT_DURATION: Duration = Duration::from_secs(600);

/// Number of crashes, at least one of them exclusive, that quarantine a request.
const EXCLUSIVE_QUARANTINE_CRASHES: usize = 2;

/// Number of crashes attributed to a request that quarantine it. Two can be a coincidence: a request that lost its
/// endpoint is sent again, and its next endpoint may crash for another reason.
const ATTRIBUTED_QUARANTINE_CRASHES: usize = 3;

/// Number by which the crashes of their cause exceed those of any other request, so that a lost
/// report of the cause does not shift them to a request that ran concurrently.
const ATTRIBUTION_MARGIN: usize = 2;

/// Number of crashes that quarantine a request whatever ran concurrently, in case two causes always
/// run together.
const MAX_CRASHES: usize = 6;

/// Maximum number of crashes of one request that are recorded. Those that it causes until all
/// processes refuse it are among them, so that they are not attributed to others.
const MAX_RECORDED_CRASHES: usize = 32;

/// Maximum number of suspects, and of those of one customer; the least suspicious are evicted.
const MAX_SUSPECTS: usize = 4_096;
const MAX_SUSPECTS_OF_CUSTOMER: usize = 256;

/// Maximum number of requests remembered of one crash.
const MAX_REQUESTS_OF_CRASH: usize = 64;

/// Time in which all processes report a crash. Until then the request with the most crashes may
/// still be missing.
const REPORTING_TIME: Duration = Duration::from_millis(150);

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

impl From<Digest> for Fingerprint {
    /// The fingerprint of a request whose customer is unknown.
    fn from(digest: Digest) -> Fingerprint {
        let mut request = [0; FINGERPRINT_LEN];
        request.copy_from_slice(&digest.0[..FINGERPRINT_LEN]);
        let [.., a, b, c, d] = digest.0;
        Fingerprint { customer: u32::from_le_bytes([a, b, c, d]), request }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.request.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies a process of an endpoint, which ends at most once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProcessKey(u64);

impl ProcessKey {
    /// Key of the process of the endpoint `id` that started at `started_ms`.
    pub fn new(id: &str, started_ms: u64) -> ProcessKey {
        ProcessKey(key_of(Digest::of(format!("{id} {started_ms}").as_bytes())))
    }
}

/// Report of a crash, sent between entries that reach endpoints through agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Digest of a request that was in progress.
    pub request: Digest,
    /// Number of other requests in progress on the endpoint.
    pub concurrent: u32,
}

/// What one process knows of the crash of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// The process that ended; `None` if it is unknown, so that each report counts as another crash.
    pub process: Option<ProcessKey>,
    /// Requests that were in progress.
    pub requests: Vec<Fingerprint>,
    /// What is known of other requests in progress.
    pub concurrent: Concurrent,
}

/// Requests that were in progress at a crash in addition to those of the evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Concurrent {
    /// Their number is known.
    Count(u32),
    /// Each process that had some reports them here.
    Reported,
    /// Other processes may have had some and do not report them here.
    Unknown,
}

impl From<Crash> for CrashEvidence {
    fn from(crash: Crash) -> CrashEvidence {
        let requests = vec![crash.request.into()];
        CrashEvidence { process: None, requests, concurrent: Concurrent::Count(crash.concurrent) }
    }
}

/// Restriction on how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPolicy {
    /// Together with other requests.
    Shared,
    /// Only on an endpoint that runs no other request, where that can be arranged.
    Exclusive,
    /// Not at all until the quarantine ends.
    Refused,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<ProcessKey>,
    exclusive_crashes: u32,
    last_crash: Time,
    is_culprit: bool,
}

impl Suspect {
    fn new(last_crash: Time) -> Suspect {
        Suspect { crashes: Vec::new(), exclusive_crashes: 0, last_crash, is_culprit: false }
    }

    /// Whether too much time has passed since its last crash for another one to be more than a
    /// coincidence.
    fn has_expired(&self, now: Time) -> bool {
        !self.is_culprit && now.passed(self.last_crash, SUSPICION_TTL)
    }

    /// The most suspicious ones are the last to be evicted.
    fn rank(&self) -> (bool, usize, Time) {
        (self.is_culprit, self.crashes.len(), self.last_crash)
    }
}

#[derive(Clone, Debug)]
struct CrashRecord {
    requests: Vec<Fingerprint>,
    concurrent: Concurrent,
    reported_at: Time,
}

/// The suspects known to one process.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_request: HashMap<Fingerprint, Suspect>,
    by_customer: HashMap<u32, usize>,
    /// The crashes of the suspects.
    by_process: HashMap<ProcessKey, CrashRecord>,
    /// Crashes that are not evaluated yet.
    pending: Vec<ProcessKey>,
    unnamed_crashes: u64,
}

impl Quarantine {
    /// Whether there are no suspects; the caller can skip computing a fingerprint then.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Number of suspects, quarantined ones included.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns how `request` may run; the quarantine ends `duration` after the last crash.
    pub fn policy(
        &self,
        request: impl Into<Fingerprint>,
        duration: Duration,
        now: Time,
    ) -> RunPolicy {
        let Some(suspect) = self.by_request.get(&request.into()) else {
            return RunPolicy::Shared;
        };
        match suspect.is_culprit {
            true if !now.passed(suspect.last_crash, duration) => RunPolicy::Refused,
            false if suspect.has_expired(now) => RunPolicy::Shared,
            _ => RunPolicy::Exclusive,
        }
    }

    /// Time until the quarantine of `request` ends; `None` if it is not quarantined.
    pub fn remaining(
        &self,
        request: Fingerprint,
        duration: Duration,
        now: Time,
    ) -> Option<Duration> {
        let is_refused = self.policy(request, duration, now) == RunPolicy::Refused;
        let suspect = self.by_request.get(&request).filter(|_| is_refused)?;
        Some((suspect.last_crash + duration).since(now))
    }

    /// The quarantined requests, each with the time since its last crash.
    pub fn quarantined(
        &self,
        duration: Duration,
        now: Time,
    ) -> impl Iterator<Item = (Fingerprint, Duration)> + '_ {
        let culprits = self.by_request.iter().filter(move |(_, suspect)| {
            suspect.is_culprit && !now.passed(suspect.last_crash, duration)
        });
        culprits.map(move |(request, suspect)| (*request, now.since(suspect.last_crash)))
    }

    /// Records what is known of a crash. The reports of several processes on one crash are combined.
    /// O(requests of the crash), or O(suspects) when full.
    pub fn record_crash(&mut self, crash: impl Into<CrashEvidence>, now: Time) {
        let crash = crash.into();
        let process = crash.process.unwrap_or_else(|| self.unnamed_process());
        for request in &crash.requests {
            self.record_request(process, *request, &crash, now);
        }
        if crash.concurrent == Concurrent::Reported {
            if !self.pending.contains(&process) {
                self.pending.push(process);
            }
        } else {
            self.evaluate_crash(process);
        }
    }

    /// Quarantines the causes of crashes that all processes have had time to report. Returns whether there are
    /// new ones.
    pub fn evaluate(&mut self, now: Time) -> bool {
        let by_process = &self.by_process;
        let is_complete = |process: &mut ProcessKey| {
            let record = by_process.get(process);
            record.is_none_or(|record| now.passed(record.reported_at, REPORTING_TIME))
        };
        let complete: Vec<ProcessKey> = self.pending.extract_if(.., is_complete).collect();
        complete.into_iter().fold(false, |has_new, process| self.evaluate_crash(process) | has_new)
    }

    fn evaluate_crash(&mut self, process: ProcessKey) -> bool {
        let Some(record) = self.by_process.get(&process) else {
            return false;
        };
        let culprits: Vec<Fingerprint> =
            record.requests.iter().copied().filter(|request| self.is_culprit(*request)).collect();
        let mut has_new = false;
        for request in culprits {
            if let Some(suspect) = self.by_request.get_mut(&request) {
                has_new |= !suspect.is_culprit;
                suspect.is_culprit = true;
            }
        }
        has_new
    }

    /// Applies the quarantine of a request that another process has established, with the time of
    /// its last crash.
    pub fn impose(&mut self, request: Fingerprint, last_crash: Time) {
        let suspect = self.suspect(request, last_crash);
        suspect.is_culprit = true;
        suspect.last_crash = suspect.last_crash.max(last_crash);
    }

    /// Clears a request that completed. Returns whether it was a suspect.
    pub fn clear(&mut self, request: impl Into<Fingerprint>) -> bool {
        self.remove(request.into()).is_some()
    }

    fn unnamed_process(&mut self) -> ProcessKey {
        self.unnamed_crashes += 1;
        ProcessKey::new("unnamed", self.unnamed_crashes)
    }

    fn record_request(
        &mut self,
        process: ProcessKey,
        request: Fingerprint,
        crash: &CrashEvidence,
        now: Time,
    ) {
        let known = self.by_process.get(&process).map(|record| record.requests.as_slice());
        let known = known.unwrap_or_default();
        if known.contains(&request) || known.len() >= MAX_REQUESTS_OF_CRASH {
            return;
        }
        let is_exclusive = crash.concurrent == Concurrent::Count(0) && crash.requests.len() == 1;
        if self.by_request.get(&request).is_some_and(|suspect| suspect.has_expired(now)) {
            self.remove(request);
        }
        let suspect = self.suspect(request, now);
        suspect.last_crash = now;
        suspect.exclusive_crashes += u32::from(is_exclusive);
        if suspect.crashes.len() < MAX_RECORDED_CRASHES {
            suspect.crashes.push(process);
            let concurrent = crash.concurrent;
            let record = self.by_process.entry(process).or_insert_with(|| CrashRecord {
                requests: Vec::new(),
                concurrent,
                reported_at: now,
            });
            record.requests.push(request);
        }
    }

    /// Whether the crashes of a request show that it caused them.
    fn is_culprit(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.by_request.get(&request) else {
            return false;
        };
        let count = suspect.crashes.len();
        let records = || suspect.crashes.iter().filter_map(|process| self.by_process.get(process));
        let attributed = records().filter(|record| self.is_attributed(record, request, count));
        // Where the number of other requests is known, only exclusive crashes are evidence.
        let is_counted = records().any(|record| matches!(record.concurrent, Concurrent::Count(_)));
        suspect.exclusive_crashes > 0 && count >= EXCLUSIVE_QUARANTINE_CRASHES
            || attributed.count() >= ATTRIBUTED_QUARANTINE_CRASHES
            || count >= MAX_CRASHES && !is_counted
    }

    /// Whether a crash is attributed to a request with `count` crashes: all requests that were in
    /// progress are known, and the others have clearly fewer.
    fn is_attributed(&self, record: &CrashRecord, request: Fingerprint, count: usize) -> bool {
        let mut others = record.requests.iter().filter(|other| **other != request);
        record.concurrent == Concurrent::Reported
            && others.all(|other| self.crashes_of(*other) + ATTRIBUTION_MARGIN <= count)
    }

    fn crashes_of(&self, request: Fingerprint) -> usize {
        self.by_request.get(&request).map_or(0, |suspect| suspect.crashes.len())
    }

    /// The suspect `request`, which is added if it is new. A customer with too many suspects loses
    /// one of its own, so that nobody can displace those of others.
    fn suspect(&mut self, request: Fingerprint, now: Time) -> &mut Suspect {
        if !self.by_request.contains_key(&request) {
            let own = self.by_customer.get(&request.customer).copied().unwrap_or(0);
            if own >= MAX_SUSPECTS_OF_CUSTOMER {
                self.evict_suspect(Some(request.customer));
            } else if self.by_request.len() >= MAX_SUSPECTS {
                self.evict_suspect(None);
            }
            *self.by_customer.entry(request.customer).or_default() += 1;
        }
        self.by_request.entry(request).or_insert_with(|| Suspect::new(now))
    }

    /// Evicts the least suspicious request of `customer`, or of all customers.
    fn evict_suspect(&mut self, customer: Option<u32>) {
        let candidates = self
            .by_request
            .iter()
            .filter(|(request, _)| customer.is_none_or(|customer| request.customer == customer));
        let least = candidates.min_by_key(|(_, suspect)| suspect.rank());
        if let Some(request) = least.map(|(request, _)| *request) {
            self.remove(request);
        }
    }

    fn remove(&mut self, request: Fingerprint) -> Option<Suspect> {
        let suspect = self.by_request.remove(&request)?;
        for process in &suspect.crashes {
            if let Some(record) = self.by_process.get_mut(process) {
                record.requests.retain(|other| *other != request);
                if record.requests.is_empty() {
                    self.by_process.remove(process);
                }
            }
        }
        if let Some(count) = self.by_customer.get_mut(&request.customer) {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(&request.customer);
            }
        }
        Some(suspect)
    }
}
