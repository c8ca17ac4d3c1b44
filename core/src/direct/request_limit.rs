//! Limits on the requests per second that endpoints in need take from all entries together.

use std::time::Duration;

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

/// Age up to which an agent's count of the entries that share a limit is used.
const SHARERS_TTL: Duration = Duration::from_secs(1);

/// Rate from which a limit never binds, in requests per second.
const MAX_RATE: f64 = 1e6;

/// The request limit of one endpoint, and the turns of this entry while there is one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    /// From this entry's latest answer of the endpoint.
    own: Option<LimitStatement>,
    /// From the endpoint's agent, which relays the statements of all entries.
    relayed: Option<LimitStatement>,
    /// Entries that share the limit, as counted by the agent, and when the count arrived.
    sharers: Option<(u32, Time)>,
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

    /// Records how many entries share the limit according to the endpoint's agent.
    pub fn record_sharers(&mut self, entries: u32, now: Time) {
        self.sharers = Some((entries, now));
    }

    /// Time until this entry may send a request; zero if it may send now. Without a recent count of
    /// the agent, `entries` share the limit. `draw` from 0 to 1 sets the offset of the first turn.
    pub fn time_to_turn(&mut self, entries: u32, draw: f64, now: Time) -> Duration {
        let rate = self.per_second().map(|limit| limit.max(MIN_RATE));
        let counted = self.sharers.filter(|(_, at)| !now.passed(*at, SHARERS_TTL));
        let entries = counted.map_or(entries, |(sharers, _)| sharers);
        match rate.filter(|rate| *rate < MAX_RATE) {
            Some(rate) => self.pacer.time_to_turn(rate, entries, draw, now),
            None => Duration::ZERO,
        }
    }

    /// Records that a request is sent, which uses the turn.
    pub fn record_sent(&mut self, now: Time) {
        if self.per_second().is_some() {
            self.pacer.record_sent(now);
        }
    }
}
