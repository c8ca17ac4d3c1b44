//! Limits on the requests per second that endpoints in need take from all entries together.

use std::time::Duration;

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

/// The request limit of one endpoint as an entry knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    latest: Option<LimitStatement>,
}

impl RequestLimit {
    /// Applies a statement unless a later one is known. Returns whether the limit has changed.
    pub fn apply(&mut self, statement: LimitStatement) -> bool {
        if self.latest.is_some_and(|latest| latest.at >= statement.at) {
            return false;
        }
        let last = self.per_second();
        self.latest = Some(statement);
        self.per_second() != last
    }

    /// Requests per second that the endpoint takes from all entries; `None` without a limit.
    pub fn per_second(&self) -> Option<f64> {
        self.latest?.per_second
    }
}
