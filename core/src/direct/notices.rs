//! Notices by which entries and agents share what a single entry has seen of an endpoint or a request.
//!
//! An entry sends them to the collectors, a few agents of each region that all entries choose alike, together with
//! its report requests. Each collector combines the notices of all entries and repeats the outcome in its load
//! reports, which all entries of its region receive. The number of messages thus does not grow with the number of
//! endpoints, and an entry that starts or was cut off hears of everything that still holds.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::leaving::EndpointProcess;
use super::leaving::LeavingProcesses;
use crate::quarantine;
use crate::quarantine::Concurrent;
use crate::quarantine::CrashEvidence;
use crate::quarantine::Fingerprint;
use crate::quarantine::ProcessKey;
use crate::quarantine::Quarantine;
use crate::time::Time;

/// Number of times that a notice is sent, as datagrams may be lost.
const SENDS: u32 = 3;

/// Maximum number of notices that wait; the oldest is dropped.
const MAX_QUEUED: usize = 256;

/// Maximum number of requests in one notice, which bounds its length.
const MAX_REQUESTS: usize = 16;

/// Time for which a notice is news, so that it is in every report. Older ones that still hold are repeated in turn.
const NEWS_TTL: Duration = Duration::from_secs(2);

/// Interval at which some of the older notices that still hold are repeated, and their number.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_REPEATED: usize = 8;

/// Time for which it is repeated that an endpoint leaves. Within it the endpoint has ended, or entries that start learn it
/// from the store.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Maximum number of completed requests that are reported.
const MAX_COMPLETED: usize = 64;

/// A message about an endpoint or a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Notice {
    /// Sent by entries: an endpoint crashed while it had requests of the sender in progress.
    Crash {
        /// The process that ended.
        process: ProcessKey,
        /// Requests of the sender that were in progress.
        requests: Vec<Fingerprint>,
    },
    /// Sent by agents: a request is refused since it crashes endpoints.
    Quarantined {
        /// The request.
        request: Fingerprint,
        /// Time since its last crash, in milliseconds.
        age_ms: u32,
    },
    /// A suspected request has completed.
    Completed {
        /// The request.
        request: Fingerprint,
    },
    /// An endpoint has said that it is about to stop.
    Leaving(EndpointProcess),
}

#[derive(Clone, Debug)]
struct Queued {
    notice: Notice,
    sends_left: u32,
}

/// Notices of an entry that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct NoticeQueue {
    queue: VecDeque<Queued>,
}

impl NoticeQueue {
    /// Adds a notice. Crashes of one process that wait to be sent are combined.
    pub fn push(&mut self, notice: Notice) {
        if let Notice::Crash { process, requests } = &notice
            && let Some(waiting) = self.waiting_crash(*process)
            && waiting.len() + requests.len() <= MAX_REQUESTS
        {
            waiting.extend(requests);
            return;
        }
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_front();
        }
        self.queue.push_back(Queued { notice, sends_left: SENDS });
    }

    fn waiting_crash(&mut self, process: ProcessKey) -> Option<&mut Vec<Fingerprint>> {
        let mut unsent = self.queue.iter_mut().filter(|queued| queued.sends_left == SENDS);
        unsent.find_map(|queued| match &mut queued.notice {
            Notice::Crash { process: other, requests } if *other == process => Some(requests),
            _ => None,
        })
    }

    /// Whether no notice waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The notices to be sent next, those that were sent least often first.
    pub fn next_batch(&self) -> impl Iterator<Item = &Notice> {
        let mut batch: Vec<&Queued> = self.queue.iter().collect();
        batch.sort_by_key(|queued| SENDS - queued.sends_left);
        batch.into_iter().map(|queued| &queued.notice)
    }

    /// Records that the first `count` notices of the batch were sent.
    pub fn record_sent(&mut self, count: usize) {
        let mut batch: Vec<&mut Queued> = self.queue.iter_mut().collect();
        batch.sort_by_key(|queued| SENDS - queued.sends_left);
        for queued in batch.into_iter().take(count) {
            queued.sends_left -= 1;
        }
        self.queue.retain(|queued| queued.sends_left > 0);
    }
}

/// Combines the notices of all entries at one agent.
#[derive(Debug, Default)]
pub struct Collector {
    quarantine: Quarantine,
    completed: VecDeque<(Fingerprint, Time)>,
    leaving: LeavingProcesses,
    has_new_leaving: bool,
    turn: usize,
    repeated_at: Option<Time>,
}

impl Collector {
    /// Applies a notice of an entry.
    pub fn apply(&mut self, notice: Notice, now: Time) {
        match notice {
            Notice::Crash { process, requests } => {
                let concurrent = Concurrent::Reported;
                let crash = CrashEvidence { process: Some(process), requests, concurrent };
                self.quarantine.record_crash(crash, now);
            }
            Notice::Completed { request } => {
                if self.quarantine.clear(request) {
                    self.completed.push_front((request, now));
                    self.completed.truncate(MAX_COMPLETED);
                }
            }
            Notice::Leaving(process) => {
                self.has_new_leaving |= !self.leaving.contains(process, now);
                self.leaving.record(process, now);
            }
            Notice::Quarantined { .. } => {}
        }
    }

    /// Whether a process has said that it is about to stop.
    pub fn is_leaving(&self, process: EndpointProcess, now: Time) -> bool {
        self.leaving.contains(process, now)
    }

    /// Evaluates the notices of the entries. Returns whether the entries must hear of the outcome at once.
    pub fn evaluate(&mut self, now: Time) -> bool {
        let has_new_leaving = std::mem::take(&mut self.has_new_leaving);
        self.quarantine.evaluate(now) || has_new_leaving
    }

    fn quarantined(&self, now: Time) -> impl Iterator<Item = (Fingerprint, Duration)> + '_ {
        self.quarantine.quarantined(quarantine::DEFAULT_DURATION, now)
    }

    /// The notices for the next report: news and, at intervals, some of those that still hold, in turn. With
    /// `has_new_reader`, all that hold.
    pub fn next_report(&mut self, has_new_reader: bool, now: Time) -> Vec<Notice> {
        self.completed.retain(|(_, at)| !now.passed(*at, NEWS_TTL));
        let completed = self.completed.iter().map(|(request, _)| *request);
        let completed = completed.map(|request| Notice::Completed { request });
        let quarantined = self.quarantined(now).map(|(request, age)| {
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            (age, Notice::Quarantined { request, age_ms })
        });
        let leaving = self.leaving.recent(LEAVING_TTL, now);
        let leaving = leaving.map(|(process, age)| (age, Notice::Leaving(process)));
        let mut all: Vec<(Duration, Notice)> = quarantined.chain(leaving).collect();
        all.sort_unstable_by_key(|(age, _)| *age);
        let news = all.partition_point(|(age, _)| *age < NEWS_TTL);
        let older = &mut all[news..];
        if !older.is_empty() {
            older.rotate_left(self.turn % older.len());
        }
        let is_due = self.repeated_at.is_none_or(|at| now.passed(at, REPEAT_INTERVAL));
        let repeated = match (has_new_reader, is_due) {
            (true, _) => older.len(),
            (false, true) => older.len().min(MAX_REPEATED),
            (false, false) => 0,
        };
        if is_due {
            self.repeated_at = Some(now);
            self.turn = self.turn.wrapping_add(MAX_REPEATED);
        }
        let others = all.into_iter().take(news + repeated).map(|(_, notice)| notice);
        completed.chain(others).collect()
    }
}
