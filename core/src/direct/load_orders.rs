//! Load orders of an agent to its endpoint, and whether the loaded weights come from verified chunks.
//!
//! An endpoint loads the chunks that are staged when it accepts an order. An order without a response may be
//! accepted seconds later, when the agent has staged chunks of another version. Therefore each order is valid
//! only for the number of orders that the endpoint has begun so far, the staged chunks are not replaced while
//! an order is outstanding, and weights whose chunks are not known to have been verified serve no requests.

use std::time::Duration;

use crate::time::Time;

/// Time after which an order without a response no longer keeps the staged chunks. Without a limit, an endpoint
/// whose staged version can no longer be completed would never receive a newer one.
const MAX_DOUBT: Duration = Duration::from_secs(20);

/// State of an endpoint that decides which orders it accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderState {
    /// Start time of the process, in milliseconds of the Unix epoch.
    pub started_ms: u64,
    /// Number of orders begun since the start.
    pub orders: u64,
}

/// Chunks that an agent has written to the current process of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StagingWrites {
    has_any: bool,
    in_flight: u32,
    has_unconfirmed: bool,
}

impl StagingWrites {
    /// Records that a write is sent.
    pub fn begin(&mut self) {
        self.has_any = true;
        self.in_flight += 1;
    }

    /// Records the end of a write; without a response the endpoint may still store the chunk.
    pub fn finish(&mut self, has_response: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.has_unconfirmed |= !has_response;
    }

    /// Whether there was any write.
    pub fn has_any(&self) -> bool {
        self.has_any
    }

    /// Whether the endpoint may still store a chunk that was written before.
    pub fn may_change_staged(&self) -> bool {
        self.in_flight > 0 || self.has_unconfirmed
    }
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The endpoint accepted the order and has begun to load the staged chunks.
    Accepted,
    /// The order began no load: it was not sent, was rejected, or the version is loaded already.
    NotBegun,
    /// There was no response: the endpoint may have accepted the order or may still do so.
    Unknown,
}

/// Result of verifying the staged chunks of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verification {
    /// All chunks match their digests.
    Valid,
    /// Some chunks do not match and have to be staged again.
    Corrupt,
    /// The version is not staged, or the endpoint did not answer.
    Unavailable,
}

/// Whether the loaded weights come from verified chunks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Provenance {
    #[default]
    Verified,
    /// The staged chunks are still those that were loaded and have to be verified again.
    Unconfirmed,
    /// Other chunks may have been staged when the endpoint accepted the order.
    Unknown,
}

/// An order that the endpoint may still accept.
#[derive(Clone, Copy, Debug)]
struct OutstandingOrder {
    /// Number of begun orders for which the order is valid.
    expected: u64,
    /// Whether its result is awaited.
    is_in_flight: bool,
    /// When it was first sent without a response; `None` if it never was.
    in_doubt_since: Option<Time>,
    /// Whether the staged chunks were found corrupt since then, and are staged again.
    is_staging_corrupt: bool,
}

/// The orders of an agent to its endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadOrders {
    state: Option<OrderState>,
    outstanding: Option<OutstandingOrder>,
    /// Number of begun orders that are accounted for.
    accounted: u64,
    /// Whether this agent has staged chunks at the process.
    has_staged: bool,
    provenance: Provenance,
}

impl LoadOrders {
    /// Applies a report of the endpoint. `has_staged` tells whether this agent has staged chunks at the process.
    /// Returns whether the process has replaced another one, at which the agent has staged nothing yet.
    pub fn observe(&mut self, state: OrderState, has_staged: bool) -> bool {
        let last = self.state.replace(state);
        let is_replaced = last.is_some_and(|last| last.started_ms != state.started_ms);
        if last.is_none() || is_replaced {
            // A new process has received none of the orders that were sent to the previous one.
            let accounted = state.orders;
            *self = LoadOrders { state: self.state, accounted, ..LoadOrders::default() };
        }
        self.has_staged = has_staged && !is_replaced;
        self.account_for_orders();
        is_replaced
    }

    /// Starts an order, before the staged chunks are verified. Returns the number of begun orders for which it
    /// is valid; `None` while the endpoint's state is unknown.
    pub fn begin(&mut self) -> Option<u64> {
        let expected = self.state?.orders;
        let doubtful = self.outstanding.filter(|order| order.in_doubt_since.is_some());
        self.outstanding = Some(OutstandingOrder {
            expected,
            is_in_flight: true,
            in_doubt_since: doubtful.and_then(|order| order.in_doubt_since),
            is_staging_corrupt: doubtful.is_some_and(|order| order.is_staging_corrupt),
        });
        Some(expected)
    }

    /// Records that the staged chunks were found corrupt, so that they are staged again. If an order in doubt
    /// takes effect, a verification after it cannot tell what was loaded.
    pub fn record_corrupt_staging(&mut self) {
        if let Some(order) = &mut self.outstanding {
            order.is_staging_corrupt |= order.in_doubt_since.is_some();
        }
    }

    /// Records the result of the started order. `is_confirmed` tells whether the verification of the staged
    /// chunks also holds for the moment at which the endpoint accepted the order.
    pub fn record_outcome(&mut self, outcome: OrderOutcome, is_confirmed: bool, now: Time) {
        let Some(order) = self.outstanding.as_mut() else {
            return;
        };
        order.is_in_flight = false;
        match outcome {
            OrderOutcome::Accepted => {
                self.accounted = order.expected + 1;
                self.provenance =
                    if is_confirmed { Provenance::Verified } else { Provenance::Unconfirmed };
                self.outstanding = None;
            }
            OrderOutcome::NotBegun if order.in_doubt_since.is_some() => {}
            OrderOutcome::NotBegun => self.outstanding = None,
            OrderOutcome::Unknown => order.in_doubt_since = order.in_doubt_since.or(Some(now)),
        }
        self.account_for_orders();
    }

    /// Stops waiting for an order that has been without a response for 20 s. If it takes effect after all,
    /// the loaded weights are not taken as verified. Returns whether there was one.
    pub fn abandon_overdue(&mut self, now: Time) -> bool {
        let is_overdue = self.outstanding.is_some_and(|order| {
            !order.is_in_flight && order.in_doubt_since.is_some_and(|at| now.passed(at, MAX_DOUBT))
        });
        if is_overdue {
            self.outstanding = None;
        }
        is_overdue
    }

    /// Attributes newly begun orders to the outstanding order of this agent or to another sender.
    fn account_for_orders(&mut self) {
        let Some(state) = self.state.filter(|state| state.orders > self.accounted) else {
            return;
        };
        if self.outstanding.is_some_and(|order| order.is_in_flight) {
            return;
        }
        let own = self.outstanding.take().filter(|order| order.expected + 1 == state.orders);
        self.accounted = state.orders;
        match own {
            Some(order) if order.is_staging_corrupt => self.provenance = Provenance::Unknown,
            Some(_) => self.provenance = Provenance::Unconfirmed,
            None if self.has_staged => self.provenance = Provenance::Unknown,
            None => {}
        }
    }

    /// Records whether the chunks that the endpoint has loaded were found valid after it accepted the order.
    pub fn record_verification(&mut self, is_valid: bool) {
        if self.provenance == Provenance::Unconfirmed {
            self.provenance = if is_valid { Provenance::Verified } else { Provenance::Unknown };
        }
    }

    /// Whether the staged chunks have to be verified again because the endpoint has loaded them.
    pub fn needs_verification(&self) -> bool {
        self.provenance == Provenance::Unconfirmed
    }

    /// Whether chunks of another version may be staged.
    pub fn may_replace_staged(&self) -> bool {
        self.outstanding.is_none() && !self.needs_verification()
    }

    /// Whether the loaded weights come from verified chunks and may serve requests.
    pub fn may_serve(&self) -> bool {
        self.provenance == Provenance::Verified
    }
}
