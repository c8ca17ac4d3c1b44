//! Evidence on what makes endpoints crash.
//!
//! Each trait of each request in progress at a crash becomes a suspect, and a complete answer clears the traits of its
//! request of all crashes before. A crash is attributed to the trait that was in progress at clearly more crashes than
//! any other one there. Crashes count one after the other only: a request must have been sent after the last crash to
//! tell more than it did, as many endpoints that end at the same moment have one cause, whatever they run. A trait that
//! many requests have is in progress at any crash, so this alone is no evidence against it.
//!
//! Traits that were always in progress together cannot be told apart. They are the cause together, so that requests
//! with one of them only are not taken for it.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;
use crate::fingerprint::ProcessKey;
use crate::fingerprint::SHARED_CUSTOMER;
use crate::time::Time;

/// Number of crashes, at least one of them exclusive, that show their cause.
const EXCLUSIVE_CRASHES: usize = 2;

/// Number of crashes one after the other that are attributed to a trait and show that it is the cause. Two can be a
/// coincidence: a request that lost its endpoint is sent again, and its next endpoint may crash for another reason.
const ATTRIBUTED_CRASHES: usize = 3;

/// Number by which the crashes of their cause exceed those of a trait of any other request, so that a lost report of
/// the cause does not shift them to a request that ran concurrently.
const ATTRIBUTION_MARGIN: usize = 2;

/// Number of crashes one after the other that show a cause whatever ran concurrently, in case two causes always run
/// together.
const MAX_CRASHES: usize = 6;

/// Number of attributed crashes of a rare trait of which two one after the other are sufficient.
const RARE_TRAIT_CRASHES: usize = 6;

/// Shares of the other requests in progress at the crashes of a trait from which on it is common, and up to which it is
/// rare, and their minimum number.
const COMMON_SHARE: f64 = 0.2;
const RARE_SHARE: f64 = 0.02;
const MIN_OTHER_REQUESTS: usize = 4;
const MIN_OTHER_REQUESTS_OF_RARE: usize = 50;

/// Number of completions of other suspects after which one with a common trait would have been among them.
const MIN_OTHER_COMPLETIONS: u64 = 20;

/// Maximum number of crashes of one suspect that are recorded.
const MAX_RECORDED_CRASHES: usize = 32;

/// Maximum number of suspects, and of those of one customer; the least suspicious are evicted.
const MAX_SUSPECTS: usize = 4_096;
const MAX_SUSPECTS_OF_CUSTOMER: usize = 256;

/// Maximum number of suspects that requests of several customers have in common.
const MAX_SHARED_SUSPECTS: usize = 2_048;

/// Maximum number of requests remembered of one crash.
const MAX_REQUESTS_OF_CRASH: usize = 64;

/// Maximum number of crashes that are remembered; the oldest are forgotten.
const MAX_RECORDS: usize = 4_096;

/// How long a trait stays a suspect after its last crash.
const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Time for which it is remembered when a trait was cleared, and maximum number of these times. Reports on earlier
/// crashes arrive within it.
const CLEARED_TTL: Duration = Duration::from_secs(5);
const MAX_CLEARED: usize = 4_096;

/// A request that was in progress at a crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestEvidence {
    /// The traits of the request.
    pub traits: Vec<Fingerprint>,
    /// Time from the sending of the request to the crash, in milliseconds.
    pub ran_ms: u32,
}

/// Requests that were in progress at a crash in addition to those that a process reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Concurrent {
    /// Their number is known.
    Count(u32),
    /// Each process that had some reports them here.
    Reported,
    /// Other processes may have had some and do not report them here.
    Unknown,
}

/// What makes endpoints crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cause {
    /// Traits of the requests that do so: those that have all of them.
    pub traits: Vec<Fingerprint>,
    /// When the last of the crashes happened.
    pub last_crash: Time,
    /// Number of the crashes.
    pub crashes: u32,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<ProcessKey>,
    exclusive_crashes: u32,
    last_crash: Time,
    /// Number of completions of other suspects before the first crash.
    completions_before: u64,
}

impl Suspect {
    fn new(last_crash: Time, completions_before: u64) -> Suspect {
        Suspect { crashes: Vec::new(), exclusive_crashes: 0, last_crash, completions_before }
    }

    fn has_expired(&self, now: Time) -> bool {
        now.passed(self.last_crash, SUSPICION_TTL)
    }

    fn has_crash(&self, process: ProcessKey) -> bool {
        self.crashes.contains(&process)
    }

    fn has_crashes_of(&self, other: &Suspect) -> bool {
        other.crashes.iter().all(|process| self.has_crash(*process))
    }
}

#[derive(Clone, Debug)]
struct RequestRecord {
    traits: Vec<Fingerprint>,
    sent_at: Time,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    requests: Vec<RequestRecord>,
    concurrent: Concurrent,
    crashed_at: Time,
    /// Whether the cause is known, so that the crash speaks against nothing else.
    is_explained: bool,
}

impl CrashRecord {
    fn requests_with(&self, suspect: Fingerprint) -> impl Iterator<Item = &RequestRecord> {
        self.requests.iter().filter(move |request| request.traits.contains(&suspect))
    }
}

/// The crashes known to one process, and the traits that may have caused them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    suspects: HashMap<Fingerprint, Suspect>,
    by_customer: HashMap<u32, usize>,
    records: HashMap<ProcessKey, CrashRecord>,
    cleared: HashMap<Fingerprint, Time>,
    /// Number of times that a suspect was cleared.
    completions: u64,
}

impl CrashEvidence {
    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a crash is recorded.
    pub fn has_crash(&self, process: ProcessKey) -> bool {
        self.records.contains_key(&process)
    }

    /// Whether a trait is a suspect.
    pub fn is_suspect(&self, suspect: Fingerprint, now: Time) -> bool {
        self.suspects.get(&suspect).is_some_and(|suspect| !suspect.has_expired(now))
    }

    /// Adds what one process reports of a crash. Reports of several processes, and repeated ones, are combined.
    /// O(traits), or O(suspects) when full.
    pub fn record(
        &mut self,
        process: ProcessKey,
        requests: &[RequestEvidence],
        concurrent: Concurrent,
        crashed_at: Time,
        now: Time,
    ) {
        if !self.records.contains_key(&process) {
            self.make_room();
        }
        let record = self.records.entry(process).or_insert_with(|| CrashRecord {
            requests: Vec::new(),
            concurrent,
            crashed_at,
            is_explained: false,
        });
        let (crashed_at, is_explained) = (record.crashed_at, record.is_explained);
        let mut new = Vec::new();
        for request in requests {
            let is_known = record.requests.iter().any(|known| known.traits == request.traits);
            if is_known || record.requests.len() >= MAX_REQUESTS_OF_CRASH {
                continue;
            }
            let ran = Duration::from_millis(u64::from(request.ran_ms));
            let sent_at = crashed_at.saturating_sub(ran);
            record.requests.push(RequestRecord { traits: request.traits.clone(), sent_at });
            new.extend_from_slice(&request.traits);
        }
        let is_exclusive = concurrent == Concurrent::Count(0) && requests.len() == 1;
        for suspect in new.into_iter().filter(|_| !is_explained) {
            self.add_crash(suspect, process, is_exclusive, crashed_at, now);
        }
    }

    fn add_crash(
        &mut self,
        suspect: Fingerprint,
        process: ProcessKey,
        is_exclusive: bool,
        crashed_at: Time,
        now: Time,
    ) {
        if self.cleared.get(&suspect).is_some_and(|cleared_at| *cleared_at > crashed_at) {
            return;
        }
        if self.suspects.get(&suspect).is_some_and(|suspect| suspect.has_expired(now)) {
            self.remove(suspect);
        }
        let suspect = self.suspect(suspect, crashed_at);
        suspect.last_crash = suspect.last_crash.max(crashed_at);
        suspect.exclusive_crashes += u32::from(is_exclusive);
        if suspect.crashes.len() < MAX_RECORDED_CRASHES && !suspect.has_crash(process) {
            suspect.crashes.push(process);
        }
    }

    /// Makes a trait a suspect because another process has evidence against it.
    pub fn watch(&mut self, suspect: Fingerprint, now: Time) {
        let suspect = self.suspect(suspect, now);
        suspect.last_crash = suspect.last_crash.max(now);
    }

    /// Clears a trait of the crashes before `completed_at`, when a request with it completed. Returns whether it was a
    /// suspect because of them.
    pub fn clear(&mut self, suspect: Fingerprint, completed_at: Time) -> bool {
        let Some(record) = self.suspects.get_mut(&suspect) else {
            return false;
        };
        let records = &self.records;
        let is_later = |process: &ProcessKey| {
            records.get(process).is_some_and(|r| r.crashed_at > completed_at)
        };
        let count = record.crashes.len();
        record.crashes.retain(is_later);
        let is_cleared = record.crashes.is_empty() && record.last_crash <= completed_at;
        let has_cleared = is_cleared || record.crashes.len() < count;
        self.completions += u64::from(has_cleared);
        record.completions_before = self.completions;
        if is_cleared {
            self.remove(suspect);
        }
        if has_cleared {
            self.remember_cleared(suspect, completed_at);
        }
        has_cleared
    }

    /// Records that a trait was cleared of the crashes before `completed_at`, also of those that are not recorded yet.
    pub fn remember_cleared(&mut self, suspect: Fingerprint, completed_at: Time) {
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.retain(|_, cleared_at| !completed_at.passed(*cleared_at, CLEARED_TTL));
        }
        if self.cleared.len() < MAX_CLEARED {
            let cleared_at = self.cleared.entry(suspect).or_insert(completed_at);
            *cleared_at = completed_at.max(*cleared_at);
        }
    }

    /// The causes that a crash shows, with all others before it.
    pub fn causes(&self, process: ProcessKey) -> Vec<Cause> {
        let Some(record) = self.records.get(&process) else {
            return Vec::new();
        };
        let mut found: Vec<Cause> = Vec::new();
        for candidate in record.requests.iter().flat_map(|request| &request.traits) {
            let Some(suspect) = self.suspects.get(candidate) else {
                continue;
            };
            let is_found = found.iter().any(|cause| cause.traits.contains(candidate));
            if !is_found && suspect.has_crash(process) && self.is_cause(*candidate, suspect) {
                found.push(Cause {
                    traits: self.indistinguishable_from(*candidate, suspect),
                    last_crash: suspect.last_crash,
                    crashes: suspect.crashes.len() as u32,
                });
            }
        }
        found
    }

    /// Whether the crashes of a suspect show that it caused them.
    fn is_cause(&self, candidate: Fingerprint, suspect: &Suspect) -> bool {
        let records = || suspect.crashes.iter().filter_map(|process| self.records.get(process));
        let count = suspect.crashes.len();
        if suspect.exclusive_crashes > 0 && count >= EXCLUSIVE_CRASHES {
            return true;
        }
        // Where the number of other requests is known, only exclusive crashes are evidence.
        if records().any(|record| matches!(record.concurrent, Concurrent::Count(_))) {
            return false;
        }
        if count < ATTRIBUTED_CRASHES || self.is_explained(candidate, suspect) {
            return false;
        }
        let share = self.share_of(candidate, suspect, MIN_OTHER_REQUESTS);
        let may_be_common = share.map_or(candidate.customer() == SHARED_CUSTOMER, is_common);
        if successive(candidate, records()) >= MAX_CRASHES {
            // While nothing completes at all, endpoints may crash whatever they run.
            let completions = self.completions - suspect.completions_before;
            return !may_be_common || completions >= MIN_OTHER_COMPLETIONS;
        }
        if share.is_some_and(is_common) {
            return false;
        }
        let attributed: Vec<&CrashRecord> =
            records().filter(|record| self.is_attributed(record, candidate, suspect)).collect();
        let successive = successive(candidate, attributed.iter().copied());
        let is_rare = self
            .share_of(candidate, suspect, MIN_OTHER_REQUESTS_OF_RARE)
            .is_some_and(|share| share <= RARE_SHARE);
        successive >= ATTRIBUTED_CRASHES
            || successive > 1 && attributed.len() >= RARE_TRAIT_CRASHES && is_rare
    }

    /// Whether a crash is attributed to a suspect: all requests that were in progress are known, those without it have
    /// traits with clearly fewer crashes, and those with it no trait with other crashes as well.
    fn is_attributed(
        &self,
        record: &CrashRecord,
        candidate: Fingerprint,
        suspect: &Suspect,
    ) -> bool {
        let count = suspect.crashes.len();
        let is_weaker = |request: &RequestRecord| {
            let is_carrier = request.traits.contains(&candidate);
            request.traits.iter().all(|one| {
                let Some(other) = self.suspects.get(one) else {
                    return true;
                };
                let is_clearly_weaker = other.crashes.len() + ATTRIBUTION_MARGIN <= count;
                is_clearly_weaker
                    || is_carrier && suspect.has_crashes_of(other)
                    || self.is_common(*one, other)
            })
        };
        record.concurrent == Concurrent::Reported && record.requests.iter().all(is_weaker)
    }

    /// Whether so many requests have a trait that it is in progress at any crash.
    fn is_common(&self, candidate: Fingerprint, suspect: &Suspect) -> bool {
        self.share_of(candidate, suspect, MIN_OTHER_REQUESTS).is_some_and(is_common)
    }

    /// Share of the requests at the crashes of a trait that have it, without the one at each of them that may be the
    /// cause; `None` if there are fewer than `min` others.
    fn share_of(&self, candidate: Fingerprint, suspect: &Suspect, min: usize) -> Option<f64> {
        let records = || suspect.crashes.iter().filter_map(|process| self.records.get(process));
        let carriers =
            records().map(|record| record.requests_with(candidate).count().saturating_sub(1));
        let others = records().map(|record| record.requests.len().saturating_sub(1));
        let (carriers, others) = (carriers.sum::<usize>(), others.sum::<usize>());
        (others >= min).then_some(carriers as f64 / others as f64)
    }

    /// Whether another suspect explains the crashes of this one: it was in progress at all of them and at more, or only
    /// some of the requests with this trait had it, and those are all that did.
    fn is_explained(&self, candidate: Fingerprint, suspect: &Suspect) -> bool {
        let Some(record) = suspect.crashes.first().and_then(|first| self.records.get(first)) else {
            return false;
        };
        let records = || suspect.crashes.iter().filter_map(|process| self.records.get(process));
        let is_more_specific = |other: Fingerprint| {
            let carries = |request: &&RequestRecord| request.traits.contains(&candidate);
            let has_other = |request: &RequestRecord| request.traits.contains(&other);
            records()
                .flat_map(|record| record.requests_with(other))
                .all(|request| carries(&request))
                && !records().flat_map(|record| record.requests_with(candidate)).all(has_other)
        };
        let mut others = record.requests.iter().flat_map(|request| &request.traits);
        others.any(|one| {
            let Some(other) = self.suspects.get(one).filter(|_| *one != candidate) else {
                return false;
            };
            let has_more = other.crashes.len() > suspect.crashes.len();
            other.has_crashes_of(suspect)
                && (has_more && !self.is_common(*one, other) || is_more_specific(*one))
        })
    }

    /// The traits that the requests with `candidate` had in common at all of its crashes and that were in progress at
    /// no other crash, `candidate` included.
    fn indistinguishable_from(
        &self,
        candidate: Fingerprint,
        suspect: &Suspect,
    ) -> Vec<Fingerprint> {
        let records = || suspect.crashes.iter().filter_map(|process| self.records.get(process));
        let mut carriers = records().flat_map(|record| record.requests_with(candidate));
        let Some(first) = carriers.next() else {
            return vec![candidate];
        };
        let is_common = |other: &Fingerprint| {
            let known = self.suspects.get(other);
            known.is_some_and(|known| known.crashes.len() == suspect.crashes.len())
                && records()
                    .flat_map(|record| record.requests_with(candidate))
                    .all(|request| request.traits.contains(other))
        };
        let mut traits: Vec<Fingerprint> = first.traits.iter().copied().filter(is_common).collect();
        traits.sort_unstable();
        traits.dedup();
        traits
    }

    /// Takes the crashes of requests with all of `traits` as explained, so that they count for no other trait.
    pub fn explain_by(&mut self, traits: &[Fingerprint]) {
        let is_carrier =
            |request: &RequestRecord| traits.iter().all(|one| request.traits.contains(one));
        let explained = self
            .records
            .iter_mut()
            .filter(|(_, record)| !record.is_explained && record.requests.iter().any(is_carrier));
        let mut others: Vec<(Fingerprint, ProcessKey)> = Vec::new();
        for (process, record) in explained {
            record.is_explained = true;
            let all = record.requests.iter().flat_map(|request| &request.traits);
            others.extend(
                all.filter(|other| !traits.contains(other)).map(|other| (*other, *process)),
            );
        }
        for (other, process) in others {
            if let Some(suspect) = self.suspects.get_mut(&other) {
                suspect.crashes.retain(|known| *known != process);
                if suspect.crashes.is_empty() {
                    self.remove(other);
                }
            }
        }
    }

    /// Suspects with two crashes or more, one after the other and the last one within `window`: the ones with the most
    /// crashes first, at most `max`.
    pub fn repeated_suspects(&self, window: Duration, max: usize, now: Time) -> Vec<Fingerprint> {
        let is_repeated = |(candidate, suspect): &(&Fingerprint, &Suspect)| {
            let records = suspect.crashes.iter().filter_map(|process| self.records.get(process));
            suspect.crashes.len() > 1
                && !now.passed(suspect.last_crash, window)
                && successive(**candidate, records) > 1
        };
        let mut repeated: Vec<(&Fingerprint, &Suspect)> =
            self.suspects.iter().filter(is_repeated).collect();
        repeated.sort_unstable_by_key(|(one, suspect)| (Reverse(suspect.crashes.len()), **one));
        repeated.into_iter().take(max).map(|(suspect, _)| *suspect).collect()
    }

    /// The suspect `suspect`, which is added if it is new. A customer with too many suspects loses one of its own, so
    /// that nobody can displace those of others.
    fn suspect(&mut self, suspect: Fingerprint, now: Time) -> &mut Suspect {
        if !self.suspects.contains_key(&suspect) {
            let customer = suspect.customer();
            let own = self.by_customer.get(&customer).copied().unwrap_or(0);
            let max = if customer == SHARED_CUSTOMER {
                MAX_SHARED_SUSPECTS
            } else {
                MAX_SUSPECTS_OF_CUSTOMER
            };
            if own >= max {
                self.evict(Some(customer));
            } else if self.suspects.len() >= MAX_SUSPECTS {
                self.evict(None);
            }
            *self.by_customer.entry(customer).or_default() += 1;
        }
        let completions = self.completions;
        self.suspects.entry(suspect).or_insert_with(|| Suspect::new(now, completions))
    }

    /// Evicts the least suspicious trait of `customer`, or of all customers.
    fn evict(&mut self, customer: Option<u32>) {
        let candidates = self
            .suspects
            .iter()
            .filter(|(one, _)| customer.is_none_or(|customer| one.customer() == customer));
        let least = candidates.min_by_key(|(_, one)| (one.crashes.len(), one.last_crash));
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.remove(suspect);
        }
    }

    fn remove(&mut self, suspect: Fingerprint) {
        if self.suspects.remove(&suspect).is_none() {
            return;
        }
        if let Some(count) = self.by_customer.get_mut(&suspect.customer()) {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(&suspect.customer());
            }
        }
    }

    /// Forgets crashes if there are too many: those of no suspect first, then the older half. O(n log n).
    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let referenced: HashSet<ProcessKey> =
            self.suspects.values().flat_map(|suspect| suspect.crashes.iter().copied()).collect();
        self.records.retain(|process, _| referenced.contains(process));
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let mut oldest: Vec<(Time, ProcessKey)> =
            self.records.iter().map(|(process, record)| (record.crashed_at, *process)).collect();
        oldest.sort_unstable();
        for (_, process) in &oldest[..oldest.len() / 2] {
            self.records.remove(process);
        }
        let records = &self.records;
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|process| records.contains_key(process));
        }
        let is_left =
            |(one, suspect): (&Fingerprint, &Suspect)| suspect.crashes.is_empty().then_some(*one);
        let left: Vec<Fingerprint> = self.suspects.iter().filter_map(is_left).collect();
        left.into_iter().for_each(|suspect| self.remove(suspect));
    }
}

fn is_common(share: f64) -> bool {
    share >= COMMON_SHARE
}

/// Number of the crashes that happened one after the other: a request with the trait was sent after the one before.
fn successive<'a>(suspect: Fingerprint, records: impl Iterator<Item = &'a CrashRecord>) -> usize {
    let mut times: Vec<(Time, Time)> = records
        .filter_map(|record| {
            let sent_at = record.requests_with(suspect).map(|request| request.sent_at).max()?;
            Some((record.crashed_at, sent_at))
        })
        .collect();
    times.sort_unstable();
    let mut last: Option<Time> = None;
    let mut count = 0;
    for (crashed_at, sent_at) in times {
        if last.is_none_or(|last| sent_at >= last) {
            count += 1;
            last = Some(crashed_at);
        }
    }
    count
}
