//! Limits on the requests per second that endpoints in need take from all entries together.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::shares::RATE_SHARE;
use super::shares::TurnPacer;
use crate::time::Time;

/// What an answer of an endpoint says about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests per second that the endpoint takes; `None` if it names no limit.
    pub per_second: Option<f64>,
    /// Time to which the statement refers. Of two statements the later one holds.
    pub at: Time,
}

impl LimitStatement {
    /// The statement of an answer that arrived at `answered_at` to a request sent at `sent_at`.
    ///
    /// Answers on different connections overtake each other. One without a limit ends an earlier
    /// limit only if its request was sent after that limit had arrived.
    pub fn of_answer(per_second: Option<f64>, sent_at: Time, answered_at: Time) -> LimitStatement {
        let at = if per_second.is_some() { answered_at } else { sent_at };
        LimitStatement { per_second, at }
    }

    /// Time since the statement.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.at)
    }
}

/// Rate assumed for an endpoint that takes no requests at all, in requests per second. An endpoint
/// that is never asked could not say that its limit has ended.
const MIN_RATE: f64 = 0.05;

/// Rate from which a limit never binds, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Fraction of a limit that the slots of an agent's schedule add up to.
const SLOT_SHARE: f64 = 0.8;

/// Fraction of a limit that turns at random offsets add up to. Those of many entries may cluster.
const RANDOM_SHARE: f64 = 0.5;

/// Requests per second and entry from which an entry takes turns at a random offset although it has a
/// schedule: with at least one turn a second, clusters stay small against the limit.
const MIN_EVEN_RATE: f64 = 1.0;

/// Minimum time for which a slot may be used.
const MIN_SLOT_TTL: Duration = Duration::from_millis(200);

/// Age up to which an agent's schedule is used. Agents send it several times a second.
const SCHEDULE_TTL: Duration = Duration::from_secs(1);

/// The place of one entry in the schedule in which an endpoint's agent lets entries take turns.
///
/// The agent's clock is divided into slots of equal length, which go to the entries in rotation.
/// Offsets that entries draw by themselves would cluster now and then.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Number of entries that share the limit.
    pub entries: u32,
    /// Position of this entry among them, starting at 0.
    pub position: u32,
    /// The agent's clock in milliseconds.
    pub clock_ms: u64,
}

impl Schedule {
    /// Time until this entry's next unused slot of `slot_len`, and the number of that slot. The time
    /// is zero while the slot may be used. `elapsed` is the age of the schedule.
    pub(super) fn next_slot(
        &self,
        slot_len: Duration,
        elapsed: Duration,
        last_used: Option<u64>,
    ) -> (Duration, u64) {
        let entries = u64::from(self.entries.max(1));
        let clock = Duration::from_millis(self.clock_ms) + elapsed;
        let current = clock.div_duration_f64(slot_len) as u64;
        let position = u64::from(self.position) % entries;
        let since_own = (current % entries + entries - position) % entries;
        let start_of = |slot: u64| slot_len.mul_f64(slot as f64);
        if let Some(own) = current.checked_sub(since_own) {
            let is_open = clock.saturating_sub(start_of(own)) < slot_len.max(MIN_SLOT_TTL);
            if is_open && last_used != Some(own) {
                return (Duration::ZERO, own);
            }
        }
        let next = current + entries - since_own;
        (start_of(next).saturating_sub(clock), next)
    }
}

/// The request limit of one endpoint, and the turns of this entry while there is one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    /// From this entry's latest answer of the endpoint.
    own: Option<LimitStatement>,
    /// From the endpoint's agent, which relays the statements of all entries.
    relayed: Option<LimitStatement>,
    /// The agent's schedule, and when it arrived.
    schedule: Option<(Schedule, Time)>,
    /// The last slot of the schedule in which a request was sent.
    last_used_slot: Option<u64>,
    /// Turns without a schedule.
    pacer: TurnPacer,
}

impl RequestLimit {
    /// Applies the statement of an answer unless a later one is known. Returns whether the limit has
    /// changed.
    pub fn apply_own(&mut self, statement: LimitStatement) -> bool {
        self.apply(statement, |limit| &mut limit.own)
    }

    /// Applies a statement that the endpoint's agent relays. Returns whether the limit has changed.
    pub fn apply_relayed(&mut self, statement: LimitStatement) -> bool {
        self.apply(statement, |limit| &mut limit.relayed)
    }

    fn apply(
        &mut self,
        statement: LimitStatement,
        source: impl Fn(&mut RequestLimit) -> &mut Option<LimitStatement>,
    ) -> bool {
        let last = self.per_second();
        let known = source(self);
        if known.is_none_or(|known| known.at < statement.at) {
            *known = Some(statement);
        }
        let limit = self.per_second();
        if last.is_none() {
            // A new limit draws its turns anew.
            self.pacer = TurnPacer::default();
        }
        limit != last
    }

    /// Requests per second that the endpoint takes from all entries; `None` without a limit.
    pub fn per_second(&self) -> Option<f64> {
        let latest = self.own.into_iter().chain(self.relayed).max_by_key(|known| known.at);
        latest?.per_second
    }

    /// The statement to be relayed to the other entries; `None` while none of them needs it. What the
    /// agent relays is not sent back, since each transfer would make it appear later.
    pub fn to_relay(&self) -> Option<LimitStatement> {
        self.own.filter(|own| own.per_second.is_some() || self.relayed.is_some())
    }

    /// Records this entry's place in the schedule of the endpoint's agent.
    pub fn record_schedule(&mut self, schedule: Schedule, now: Time) {
        self.schedule = Some((schedule, now));
    }

    /// Rate that is kept to; `None` if no limit binds.
    fn rate(&self) -> Option<f64> {
        let rate = self.per_second().map(|limit| limit.max(MIN_RATE));
        rate.filter(|rate| *rate < MAX_RATE)
    }

    /// The next slot of a recent schedule; `None` if turns come at a random offset instead.
    fn next_slot(&self, rate: f64, now: Time) -> Option<(Duration, u64)> {
        let (schedule, received_at) =
            self.schedule.filter(|(_, received_at)| !now.passed(*received_at, SCHEDULE_TTL))?;
        let slot_rate = rate * SLOT_SHARE;
        let is_even = slot_rate >= f64::from(schedule.entries) * MIN_EVEN_RATE;
        let slot_len = Duration::from_secs_f64(1.0 / slot_rate);
        let elapsed = now.since(received_at);
        (!is_even).then(|| schedule.next_slot(slot_len, elapsed, self.last_used_slot))
    }

    /// Time until this entry may send a request; zero if it may send now. Without a recent schedule,
    /// `entries` share the limit, and `draw` from 0 to 1 sets the offset of this entry's first turn.
    pub fn time_to_turn(&mut self, entries: u32, draw: f64, now: Time) -> Duration {
        let Some(rate) = self.rate() else {
            return Duration::ZERO;
        };
        if let Some((time_to_slot, _)) = self.next_slot(rate, now) {
            return time_to_slot;
        }
        let schedule = self.schedule.filter(|(_, at)| !now.passed(*at, SCHEDULE_TTL));
        let entries = schedule.map_or(entries, |(schedule, _)| schedule.entries);
        let is_even = rate * SLOT_SHARE >= f64::from(entries) * MIN_EVEN_RATE;
        let share = if is_even { SLOT_SHARE } else { RANDOM_SHARE };
        self.pacer.time_to_turn(rate * share / RATE_SHARE, entries, draw, now)
    }

    /// Records that a request is sent, which uses the turn.
    pub fn record_sent(&mut self, now: Time) {
        let Some(rate) = self.rate() else {
            return;
        };
        match self.next_slot(rate, now) {
            Some((_, slot)) => self.last_used_slot = Some(slot),
            None => self.pacer.record_sent(now),
        }
    }
}
