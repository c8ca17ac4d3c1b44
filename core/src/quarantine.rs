//! Quarantine of requests that crash every endpoint that runs them and are sent again, or resemble each other.
//!
//! Which trait of requests makes endpoints crash is decided in [`crate::crash_evidence`], from what is known of the
//! requests in progress:
//!
//! - Where an agent is the only way to its endpoint, suspects run exclusively. A request that
//!   crashes an endpoint again, now exclusively, is quarantined.
//! - Where entries send requests to endpoints directly, they report to a collector which ones
//!   were in progress.
//!
//! So a chain of crashes ends soon, and requests that only ran concurrently are not refused.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::crash_evidence::Cause;
use crate::crash_evidence::Concurrent;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::RequestEvidence;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::ProcessKey;
use crate::ids::Digest;
use crate::time::Time;

/// How long a request is refused after its last crash where the configuration does not say.
pub const DEFAULT_DURATION: Duration = Duration::from_secs(600);

/// Maximum number of rules; the one with the oldest crash is evicted.
const MAX_RULES: usize = 1_024;

/// Time in which all processes report a crash. Until then the reports on its cause may still be missing, and it counts
/// for no trait.
const REPORTING_TIME: Duration = Duration::from_millis(150);

/// Report of a crash, sent between entries that reach endpoints through agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Digest of a request that was in progress.
    pub request: Digest,
    /// Number of other requests in progress on the endpoint.
    pub concurrent: u32,
}

/// What one process reports of the crash of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The process that ended; `None` if it is unknown, so that each report counts as another crash.
    pub process: Option<ProcessKey>,
    /// Requests that were in progress.
    pub requests: Vec<RequestEvidence>,
    /// What is known of other requests in progress.
    pub concurrent: Concurrent,
    /// Time since the crash.
    pub age: Duration,
}

impl From<Crash> for CrashReport {
    fn from(crash: Crash) -> CrashReport {
        let requests = vec![RequestEvidence { traits: vec![crash.request.into()], ran_ms: 0 }];
        let concurrent = Concurrent::Count(crash.concurrent);
        CrashReport { process: None, requests, concurrent, age: Duration::ZERO }
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

/// A crash that some processes may not have reported yet.
#[derive(Debug)]
struct PendingCrash {
    process: ProcessKey,
    requests: Vec<RequestEvidence>,
    crashed_at: Time,
    reported_at: Time,
}

/// The rules and the suspects known to one process.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: CrashEvidence,
    /// What is refused: requests with all traits of a rule.
    rules: Vec<Cause>,
    /// Crashes that some processes may not have reported yet.
    pending: Vec<PendingCrash>,
    unnamed_crashes: u64,
}

fn applies_to(rule: &Cause, traits: &[Fingerprint]) -> bool {
    rule.traits.iter().all(|one| traits.contains(one))
}

impl Quarantine {
    /// Whether there are neither rules nor suspects; the caller can skip computing fingerprints then.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty() && self.evidence.is_empty()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.evidence.len()
    }

    /// Returns how a request with `traits` may run; the quarantine ends `duration` after the last crash.
    pub fn policy(&self, traits: &[Fingerprint], duration: Duration, now: Time) -> RunPolicy {
        if self.rule_for(traits, duration, now).is_some() {
            return RunPolicy::Refused;
        }
        let is_suspected = self.rules.iter().any(|rule| applies_to(rule, traits))
            || traits.iter().any(|one| self.evidence.is_suspect(*one, now));
        if is_suspected { RunPolicy::Exclusive } else { RunPolicy::Shared }
    }

    /// The rule by which requests with `traits` are refused; `None` if they are not.
    pub fn rule_for(
        &self,
        traits: &[Fingerprint],
        duration: Duration,
        now: Time,
    ) -> Option<&Cause> {
        self.in_force(duration, now).find(|rule| applies_to(rule, traits))
    }

    /// Time until requests with `traits` are no longer refused; `None` if they are not.
    pub fn remaining(
        &self,
        traits: &[Fingerprint],
        duration: Duration,
        now: Time,
    ) -> Option<Duration> {
        let rule = self.rule_for(traits, duration, now)?;
        Some((rule.last_crash + duration).since(now))
    }

    /// The rules in force.
    pub fn in_force(&self, duration: Duration, now: Time) -> impl Iterator<Item = &Cause> + '_ {
        self.rules.iter().filter(move |rule| !now.passed(rule.last_crash, duration))
    }

    /// Records what is known of a crash. The reports of several processes on one crash are combined.
    /// O(traits of the report), or O(suspects) when full.
    pub fn record_crash(&mut self, crash: impl Into<CrashReport>, now: Time) {
        let CrashReport { process, requests, concurrent, age } = crash.into();
        let process = process.unwrap_or_else(|| self.unnamed_process());
        let crashed_at = now.saturating_sub(age);
        if concurrent != Concurrent::Reported {
            self.add_evidence(process, &requests, concurrent, crashed_at, now);
            self.evaluate_crash(process);
        } else if self.evidence.has_crash(process) {
            self.add_evidence(process, &requests, concurrent, crashed_at, now);
        } else if let Some(known) = self.pending.iter_mut().find(|known| known.process == process) {
            known.requests.extend(requests);
        } else {
            self.pending.push(PendingCrash { process, requests, crashed_at, reported_at: now });
        }
    }

    /// Quarantines the causes of crashes that all processes have had time to report. Returns whether there are
    /// new ones.
    pub fn evaluate(&mut self, now: Time) -> bool {
        let is_complete =
            |pending: &mut PendingCrash| now.passed(pending.reported_at, REPORTING_TIME);
        let complete: Vec<PendingCrash> = self.pending.extract_if(.., is_complete).collect();
        let mut has_new = false;
        for PendingCrash { process, requests, crashed_at, .. } in complete {
            self.add_evidence(process, &requests, Concurrent::Reported, crashed_at, now);
            has_new |= self.evaluate_crash(process);
        }
        has_new
    }

    fn add_evidence(
        &mut self,
        process: ProcessKey,
        requests: &[RequestEvidence],
        concurrent: Concurrent,
        crashed_at: Time,
        now: Time,
    ) {
        self.evidence.record(process, requests, concurrent, crashed_at, now);
        for rule in &mut self.rules {
            if requests.iter().any(|request| applies_to(rule, &request.traits)) {
                rule.last_crash = rule.last_crash.max(crashed_at);
                self.evidence.explain_by(&rule.traits);
            }
        }
    }

    fn evaluate_crash(&mut self, process: ProcessKey) -> bool {
        let causes = self.evidence.causes(process);
        causes.into_iter().fold(false, |has_new, cause| {
            self.evidence.explain_by(&cause.traits);
            self.impose(cause) || has_new
        })
    }

    /// Refuses requests with all traits of `rule`, which this or another process has found. Returns whether they were
    /// not refused before.
    pub fn impose(&mut self, rule: Cause) -> bool {
        let wider = self.rules.iter_mut().find(|known| applies_to(known, &rule.traits));
        if let Some(known) = wider {
            known.last_crash = known.last_crash.max(rule.last_crash);
            known.crashes = known.crashes.max(rule.crashes);
            return false;
        }
        self.rules.retain(|known| !applies_to(&rule, &known.traits));
        if self.rules.len() >= MAX_RULES {
            let oldest = (0..self.rules.len()).min_by_key(|n| self.rules[*n].last_crash);
            oldest.into_iter().for_each(|n| drop(self.rules.swap_remove(n)));
        }
        self.rules.push(rule);
        true
    }

    /// Makes a trait a suspect because another process has evidence against it.
    pub fn watch(&mut self, suspect: Fingerprint, now: Time) {
        self.evidence.watch(suspect, now);
    }

    /// Clears the traits of a request that completed at `completed_at`, of the crashes before. Returns those that were
    /// suspects or part of a rule.
    pub fn clear(&mut self, traits: &[Fingerprint], completed_at: Time) -> Vec<Fingerprint> {
        let mut cleared: Vec<Fingerprint> = Vec::new();
        for one in traits {
            let is_pending = self.pending.iter().any(|pending| {
                let mut all = pending.requests.iter().flat_map(|request| &request.traits);
                pending.crashed_at <= completed_at && all.any(|other| other == one)
            });
            let mut is_cleared = self.evidence.clear(*one, completed_at);
            if is_pending {
                self.evidence.remember_cleared(*one, completed_at);
                is_cleared = true;
            }
            for rule in self.rules.iter_mut().filter(|rule| rule.last_crash <= completed_at) {
                let count = rule.traits.len();
                rule.traits.retain(|other| other != one);
                is_cleared |= rule.traits.len() < count;
            }
            cleared.extend(is_cleared.then_some(*one));
        }
        self.rules.retain(|rule| !rule.traits.is_empty());
        cleared
    }

    /// Traits that others have to watch: suspects of several crashes within `window` that no rule names, the most
    /// suspicious first, at most `max`.
    pub fn repeated_suspects(&self, window: Duration, max: usize, now: Time) -> Vec<Fingerprint> {
        let mut suspects = self.evidence.repeated_suspects(window, max, now);
        suspects.retain(|one| !self.rules.iter().any(|rule| rule.traits.contains(one)));
        suspects
    }

    fn unnamed_process(&mut self) -> ProcessKey {
        self.unnamed_crashes += 1;
        ProcessKey::new("unnamed", self.unnamed_crashes)
    }
}
