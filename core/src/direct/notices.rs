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
use crate::crash_evidence::Concurrent;
use crate::crash_evidence::RequestEvidence;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::ProcessKey;
use crate::quarantine;
use crate::quarantine::CrashReport;
use crate::quarantine::Quarantine;
use crate::time::Time;

/// Number of times that a notice is sent, as datagrams may be lost.
const SENDS: u32 = 3;

/// Maximum number of notices that wait; the oldest is dropped.
const MAX_QUEUED: usize = 256;

/// Maximum number of traits in one notice, which bounds its length: it must fit into a datagram. A request has no more.
pub const MAX_TRAITS: usize = 26;

/// Time for which a notice is news, so that it is in every report. Older ones that still hold are repeated in turn.
const NEWS_TTL: Duration = Duration::from_secs(2);

/// Interval at which some of the older notices that still hold are repeated, and their number.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_REPEATED: usize = 8;

/// Time for which it is repeated that an endpoint leaves. Within it the endpoint has ended, or entries that start learn it
/// from the store.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Maximum number of completed traits that are reported, and of suspects that entries watch.
const MAX_COMPLETED: usize = 24;
const MAX_WATCHED: usize = 8;

/// A message about an endpoint or a request. The order of the variants is that of the wire format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Notice {
    /// Sent by entries of earlier releases instead of [`Notice::Crash`]; not applied.
    OldCrash {
        /// The process that ended.
        process: ProcessKey,
        /// Requests of the sender that were in progress.
        requests: Vec<Fingerprint>,
    },
    /// Sent by agents of earlier releases instead of [`Notice::Quarantined`]; not applied.
    OldQuarantined {
        /// The request.
        request: Fingerprint,
        /// Time since its last crash, in milliseconds.
        age_ms: u32,
    },
    /// Sent by earlier releases instead of [`Notice::Completed`]; not applied.
    OldCompleted {
        /// The request.
        request: Fingerprint,
    },
    /// An endpoint has said that it is about to stop.
    Leaving(EndpointProcess),
    /// Sent by entries: an endpoint crashed while it had requests of the sender in progress.
    Crash {
        /// The process that ended.
        process: ProcessKey,
        /// Requests of the sender that were in progress.
        requests: Vec<RequestEvidence>,
        /// Time since the crash, in milliseconds.
        age_ms: u32,
    },
    /// Sent by agents: requests with all of these traits are refused since they crash endpoints.
    Quarantined {
        /// The traits.
        traits: Vec<Fingerprint>,
        /// Number of their crashes.
        crashes: u32,
        /// Time since the last of them, in milliseconds.
        age_ms: u32,
    },
    /// A request with these suspected traits has completed.
    Completed {
        /// The traits.
        traits: Vec<Fingerprint>,
        /// Time since then, in milliseconds.
        age_ms: u32,
    },
    /// Sent by agents: several endpoints have crashed while running requests with one of these traits, so all entries
    /// must tell when such a request completes.
    Suspected {
        /// The traits.
        traits: Vec<Fingerprint>,
    },
    /// Sent by agents, last in the datagram: the pace of the endpoint beside the sender.
    Pace {
        /// Start time of the endpoint's process, in milliseconds of the Unix epoch.
        started_ms: u64,
        /// The factor by which it is slower than its configured rates, in percent.
        percent: u32,
    },
    /// Sent by agents: an endpoint reports that its memory is almost full. Last in a datagram, as earlier releases read
    /// no further.
    MemoryFull(EndpointProcess),
}

fn as_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The time `age_ms` ago.
pub fn time_ago(now: Time, age_ms: u32) -> Time {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}

impl Notice {
    /// This notice, `elapsed` later.
    fn aged_by(&self, elapsed: Duration) -> Notice {
        let mut notice = self.clone();
        match &mut notice {
            Notice::Crash { age_ms, .. }
            | Notice::Quarantined { age_ms, .. }
            | Notice::Completed { age_ms, .. } => {
                *age_ms = age_ms.saturating_add(as_millis(elapsed));
            }
            Notice::OldCrash { .. }
            | Notice::OldQuarantined { .. }
            | Notice::OldCompleted { .. }
            | Notice::Leaving(_)
            | Notice::MemoryFull(_)
            | Notice::Suspected { .. }
            | Notice::Pace { .. } => {}
        }
        notice
    }
}

fn count_traits(requests: &[RequestEvidence]) -> usize {
    requests.iter().map(|request| request.traits.len()).sum()
}

#[derive(Clone, Debug)]
struct Queued {
    notice: Notice,
    queued_at: Time,
    sends_left: u32,
}

/// Notices of an entry that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct NoticeQueue {
    queue: VecDeque<Queued>,
}

impl NoticeQueue {
    /// Adds a notice. Crashes of one process that wait to be sent are combined.
    pub fn push(&mut self, notice: Notice, now: Time) {
        if let Notice::Crash { process, requests, .. } = &notice
            && let Some(waiting) = self.waiting_crash(*process)
            && count_traits(waiting) + count_traits(requests) <= MAX_TRAITS
        {
            waiting.extend(requests.iter().cloned());
            return;
        }
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_front();
        }
        self.queue.push_back(Queued { notice, queued_at: now, sends_left: SENDS });
    }

    fn waiting_crash(&mut self, process: ProcessKey) -> Option<&mut Vec<RequestEvidence>> {
        let mut unsent = self.queue.iter_mut().rev().filter(|queued| queued.sends_left == SENDS);
        unsent.find_map(|queued| match &mut queued.notice {
            Notice::Crash { process: other, requests, .. } if *other == process => Some(requests),
            _ => None,
        })
    }

    /// Whether no notice waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The notices to be sent next, those that were sent least often first.
    pub fn next_batch(&self, now: Time) -> Vec<Notice> {
        let mut batch: Vec<&Queued> = self.queue.iter().collect();
        batch.sort_by_key(|queued| SENDS - queued.sends_left);
        let aged = |queued: &Queued| queued.notice.aged_by(now.since(queued.queued_at));
        batch.into_iter().map(aged).collect()
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
            Notice::Crash { process, requests, age_ms } => {
                let concurrent = Concurrent::Reported;
                let age = Duration::from_millis(u64::from(age_ms));
                let crash = CrashReport { process: Some(process), requests, concurrent, age };
                self.quarantine.record_crash(crash, now);
            }
            Notice::Completed { traits, age_ms } => {
                let completed_at = time_ago(now, age_ms);
                for cleared in self.quarantine.clear(&traits, completed_at) {
                    self.completed.retain(|(other, _)| *other != cleared);
                    self.completed.push_front((cleared, completed_at));
                    self.completed.truncate(MAX_COMPLETED);
                }
            }
            Notice::Leaving(process) => {
                self.has_new_leaving |= !self.leaving.contains(process, now);
                self.leaving.record(process, now);
            }
            Notice::Quarantined { .. }
            | Notice::MemoryFull(_)
            | Notice::Suspected { .. }
            | Notice::Pace { .. }
            | Notice::OldCrash { .. }
            | Notice::OldQuarantined { .. }
            | Notice::OldCompleted { .. } => {}
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

    /// The notices for the next report, in the order of their importance: news and, at intervals, some of those that
    /// still hold, in turn. With `has_new_reader`, all that hold.
    pub fn next_report(&mut self, has_new_reader: bool, now: Time) -> Vec<Notice> {
        self.completed.retain(|(_, at)| !now.passed(*at, NEWS_TTL));
        let completed = self.completed.iter().map(|(one, at)| Notice::Completed {
            traits: vec![*one],
            age_ms: as_millis(now.since(*at)),
        });
        let watched = self.quarantine.repeated_suspects(NEWS_TTL, MAX_WATCHED, now);
        let watched = (!watched.is_empty()).then_some(Notice::Suspected { traits: watched });
        let rules = self.quarantine.in_force(quarantine::DEFAULT_DURATION, now);
        let quarantined = rules.map(|rule| {
            let age = now.since(rule.last_crash);
            let traits = rule.traits.clone();
            let age_ms = as_millis(age);
            (age, Notice::Quarantined { traits, crashes: rule.crashes, age_ms })
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
        others.chain(watched).chain(completed).collect()
    }
}
