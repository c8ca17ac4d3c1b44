//! Streams on weights whose bound comes before their deadline: which weights new requests prefer, when another endpoint
//! is looked for, and where the answer of that endpoint continues the first one.
//!
//! An endpoint with older weights is told the bound on them as its deadline, as it need not obey a cancellation, and
//! stops there, also in the middle of an answer that has begun in time. The other endpoint is asked to resume after the
//! last event relayed at that moment. The first one goes on meanwhile, so the other repeats some of its events.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use super::events;
use super::versions::VersionLimits;
use super::versions::Versions;
use crate::time::Time;

/// Time before the stop of an endpoint from which on another one is looked for. It covers the wait for a place and the
/// time until a first event.
pub const HANDOVER_LEAD: Duration = Duration::from_millis(600);

/// Least time between the stop of an endpoint and the caller's deadline. With less, the other endpoint would hardly
/// send more than the first one.
const MIN_GAIN: Duration = Duration::from_millis(300);

/// Assumed time of an answer before any has been complete.
const INITIAL_ANSWER_TIME: Duration = Duration::from_secs(2);

/// Weight of a new answer in the mean of the answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.125;

/// Result of comparing the events of two endpoints.
pub type Result<T> = std::result::Result<T, EventsDiffer>;

/// Two endpoints have sent different ids for the same part of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventsDiffer;

/// Usual time of the complete answers of a route: their exponentially weighted mean.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime(Duration);

impl Default for AnswerTime {
    fn default() -> AnswerTime {
        AnswerTime(INITIAL_ANSWER_TIME)
    }
}

impl AnswerTime {
    /// Records the time of a complete answer.
    pub fn record(&mut self, took: Duration) {
        self.0 = self.0.mul_f64(1.0 - ANSWER_TIME_WEIGHT) + took.mul_f64(ANSWER_TIME_WEIGHT);
    }

    /// When an answer that begins at `now` is expected to end, at most at `deadline`.
    pub fn expected_end(self, now: Time, deadline: Time) -> Time {
        (now + self.0).min(deadline)
    }
}

/// The oldest version of a model without a bound before `time`. The newest one has none.
pub fn oldest_without_bound_before(versions: &Versions, limits: &VersionLimits, time: Time) -> u64 {
    let has_no_bound =
        |version: &u64| versions.begin_by(*version, limits).is_none_or(|begin_by| begin_by >= time);
    let mut announced = versions.announcements().map(|(version, _)| version);
    announced.find(has_no_bound).unwrap_or_else(|| versions.newest())
}

/// From when on another endpoint is looked for if that of a stream stops at `stops_at`; `None` if that is not early
/// enough before the caller's `deadline` to make a difference.
pub fn search_start(stops_at: Time, deadline: Time) -> Option<Time> {
    (stops_at + MIN_GAIN <= deadline).then(|| stops_at.saturating_sub(HANDOVER_LEAD))
}

/// Compares the events of two endpoints that both continue an answer, so that each is relayed once.
#[derive(Clone, Debug)]
pub struct Overlap {
    last_id: SmolStr,
    /// Ids of the events that the first endpoint has sent and the other one has yet to repeat.
    to_repeat: VecDeque<SmolStr>,
    repeated: usize,
}

impl Overlap {
    /// Both continue after the event `last_id`.
    pub fn new(last_id: SmolStr) -> Overlap {
        Overlap { last_id, to_repeat: VecDeque::new(), repeated: 0 }
    }

    /// Returns the id after which the other endpoint is asked to resume now.
    pub fn begin(&mut self) -> SmolStr {
        self.to_repeat.clear();
        self.repeated = 0;
        self.last_id.clone()
    }

    /// Records events of the first endpoint that are relayed.
    pub fn record_relayed(&mut self, relayed: &Bytes) {
        for id in events::split(relayed).filter_map(|event| events::last_id(&event)) {
            self.to_repeat.push_back(id.clone());
            self.last_id = id;
        }
    }

    /// Whether the other endpoint has repeated all that was relayed.
    pub fn is_repeated(&self) -> bool {
        self.to_repeat.is_empty()
    }

    /// Number of events that the other endpoint has repeated.
    pub fn repeated(&self) -> usize {
        self.repeated
    }

    /// Removes from events of the other endpoint those that repeat what was relayed. Returns the rest, or `None` if
    /// there is none yet.
    pub fn skip_repeated(&mut self, sent: &Bytes) -> Result<Option<Bytes>> {
        let mut at = 0;
        for event in events::split(sent) {
            let Some(expected) = self.to_repeat.front() else {
                return Ok(Some(sent.slice(at..)));
            };
            at += event.len();
            let Some(id) = events::last_id(&event) else {
                continue;
            };
            if id != *expected {
                return Err(EventsDiffer);
            }
            self.to_repeat.pop_front();
            self.repeated += 1;
        }
        Ok(None)
    }
}
