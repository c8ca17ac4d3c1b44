//! Lease stored as an object on the platform: at most one process holds it at a time.
//!
//! The lease is acquired, renewed and released by conditional updates. Wall clocks are never
//! compared. The holder measures the period from the time it *sent* the write that succeeded and
//! stops [`LeaseTiming::margin`] before the end. An observer measures a whole period from the time
//! it first *read* a revision. With any delay the holder's period starts first and so ends first,
//! as long as the rates of the clocks differ by less than the margin.
//!
//! A process that is paused between [`Lease::token`] and its own write can still write late. Each
//! such write must therefore be a conditional update of an object that was read under the same
//! token, so that a write of the next holder makes the late one fail.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::platform;
use crate::platform::Expect;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::time::Time;

/// Renewals by the holder, and reads by an observer, in one period.
const RENEWALS_PER_PERIOD: u32 = 4;

/// Duration of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// Time without a renewal after which an observer may acquire the lease.
    pub period: Duration,
    /// Time before the end of the period at which the holder stops acting.
    pub margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming { period: Duration::from_secs(6), margin: Duration::from_millis(1_500) }
    }
}

/// Value of the lease object, encoded as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Host of the holder.
    pub host: HostName,
    /// Incarnation of the holder's process; a restarted process is another holder.
    pub incarnation: Incarnation,
    /// Fencing token; incremented with each change of holder.
    pub term: u64,
    /// Incremented with each write of the same holder.
    pub renewal: u64,
    /// Period in milliseconds for which observers wait without a renewal.
    pub period_ms: u64,
    /// Whether the holder released the lease, which lets an observer acquire it at once.
    pub released: bool,
}

/// Proof that the lease is held at the time of [`Lease::token`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseToken {
    /// Fencing token; higher than that of each earlier holder.
    pub term: u64,
    /// End of the time in which the holder may act, on its own clock.
    pub until: Time,
}

/// Next action of the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing is due.
    Idle,
    /// Read the lease object and pass the result to [`Lease::on_read`].
    Read,
    /// Write the lease object and pass the result to [`Lease::on_written`].
    Write {
        /// Encoded [`LeaseRecord`].
        value: Bytes,
        /// Precondition of the write.
        expect: Expect,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Observed {
    record: Option<LeaseRecord>,
    expect: Expect,
    /// Time of the first read of this revision, on the observer's clock.
    first_read: Time,
    last_read: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Held {
    record: LeaseRecord,
    revision: Revision,
    /// Time at which the write was sent, on the holder's clock.
    sent_at: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    record: LeaseRecord,
    sent_at: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Unread,
    Observing(Observed),
    Held(Held),
    /// A write is in flight or its answer was lost; `held` is valid until its own period ends.
    InDoubt {
        pending: Pending,
        held: Option<Held>,
    },
}

/// State of a lease in one process.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    incarnation: Incarnation,
    timing: LeaseTiming,
    highest_term: u64,
    last_observed: Option<Observed>,
    state: State,
}

impl Lease {
    /// Creates the state of a process that has not read the lease object yet.
    pub fn new(host: HostName, incarnation: Incarnation, timing: LeaseTiming) -> Lease {
        Lease {
            host,
            incarnation,
            timing,
            highest_term: 0,
            last_observed: None,
            state: State::Unread,
        }
    }

    /// Returns the action due at `now`. After [`LeaseStep::Write`], the next call must be
    /// [`Lease::on_written`].
    pub fn next_step(&mut self, now: Time) -> LeaseStep {
        match &self.state {
            State::Unread | State::InDoubt { .. } => LeaseStep::Read,
            State::Observing(observed) if self.may_acquire(observed, now) => {
                let (expect, term) = (observed.expect, self.highest_term + 1);
                self.write(now, term, 0, expect, None)
            }
            State::Observing(observed)
                if now.passed(observed.last_read, self.timing.period / RENEWALS_PER_PERIOD) =>
            {
                LeaseStep::Read
            }
            State::Held(held)
                if now.passed(held.sent_at, self.timing.period / RENEWALS_PER_PERIOD) =>
            {
                let held = held.clone();
                let (expect, renewal) = (Expect::At(held.revision), held.record.renewal + 1);
                self.write(now, held.record.term, renewal, expect, Some(held))
            }
            State::Observing(_) | State::Held(_) => LeaseStep::Idle,
        }
    }

    /// Returns the token if the lease is held at `now`. Check it right before each action under the
    /// lease.
    pub fn token(&self, now: Time) -> Option<LeaseToken> {
        let held = match &self.state {
            State::Held(held) | State::InDoubt { held: Some(held), .. } => held,
            _ => return None,
        };
        let until = held.sent_at + self.timing.period.saturating_sub(self.timing.margin);
        (now < until).then_some(LeaseToken { term: held.record.term, until })
    }

    /// Host of the holder as last read or written; `None` if it is unknown or the lease was
    /// released.
    pub fn holder(&self) -> Option<&HostName> {
        let record = match &self.state {
            State::Held(held) | State::InDoubt { held: Some(held), .. } => Some(&held.record),
            State::Observing(observed) => observed.record.as_ref(),
            State::Unread | State::InDoubt { .. } => None,
        };
        record.filter(|record| !record.released).map(|record| &record.host)
    }

    /// Handles the result of a read that ended at `now`.
    pub fn on_read(&mut self, now: Time, result: platform::Result<Option<Object>>) {
        // A failed read changes nothing; a held lease expires by its own period.
        let Ok(object) = result else {
            return;
        };
        let (record, expect) = decode_object(object);
        self.highest_term = self.highest_term.max(record.as_ref().map_or(0, |r| r.term));
        let state = std::mem::replace(&mut self.state, State::Unread);
        self.state = match (state, record) {
            (State::InDoubt { pending, held }, Some(record))
                if self.is_own(&record) && !pending.record.released =>
            {
                self.resolve_own_write(pending, held, record, expect)
            }
            (_, record) => self.observe(now, record, expect),
        };
    }

    /// Handles the result of a write returned by [`Lease::next_step`] or [`Lease::release`].
    pub fn on_written(&mut self, result: platform::Result<Revision>) {
        let State::InDoubt { pending, held } = self.state.clone() else {
            return;
        };
        self.state = match (result, held) {
            (Ok(_), _) if pending.record.released => State::Unread,
            (Ok(revision), _) => {
                State::Held(Held { record: pending.record, revision, sent_at: pending.sent_at })
            }
            // Nothing was written: a held lease stays valid until its period ends.
            (Err(PlatformError::Down | PlatformError::Throttled), Some(held)) => State::Held(held),
            (Err(PlatformError::Down | PlatformError::Throttled), None) => State::Unread,
            // A conflict may come from an own write whose answer was lost; the next read decides.
            (Err(_), held) => State::InDoubt { pending, held },
        };
    }

    /// Releases the lease. The returned write lets an observer acquire it at once.
    pub fn release(&mut self, now: Time) -> LeaseStep {
        let State::Held(held) = &self.state else {
            self.state = State::Unread;
            return LeaseStep::Idle;
        };
        let mut record = held.record.clone();
        record.renewal += 1;
        record.released = true;
        let expect = Expect::At(held.revision);
        let value = encode(&record);
        self.state = State::InDoubt { pending: Pending { record, sent_at: now }, held: None };
        LeaseStep::Write { value, expect }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.host == self.host && record.incarnation == self.incarnation && !record.released
    }

    /// Whether the lease may be acquired: a whole period has passed on the observer's clock since
    /// it first read this revision. A released lease, or an object that never existed, needs no
    /// wait; the holder of a deleted object may still be active.
    fn may_acquire(&self, observed: &Observed, now: Time) -> bool {
        match &observed.record {
            Some(record) if record.released => true,
            Some(record) => {
                now.passed(observed.first_read, Duration::from_millis(record.period_ms))
            }
            None => self.highest_term == 0 || now.passed(observed.first_read, self.timing.period),
        }
    }

    fn write(
        &mut self,
        now: Time,
        term: u64,
        renewal: u64,
        expect: Expect,
        held: Option<Held>,
    ) -> LeaseStep {
        let record = LeaseRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
            term,
            renewal,
            period_ms: u64::try_from(self.timing.period.as_millis()).unwrap_or(u64::MAX),
            released: false,
        };
        let value = encode(&record);
        self.state = State::InDoubt { pending: Pending { record, sent_at: now }, held };
        LeaseStep::Write { value, expect }
    }

    /// Resolves a write in doubt after reading an own record. If the record is the pending write,
    /// its period starts when that was sent. An older record keeps the period held before, because
    /// the time at which it was sent is unknown.
    fn resolve_own_write(
        &self,
        pending: Pending,
        held: Option<Held>,
        record: LeaseRecord,
        expect: Expect,
    ) -> State {
        let Expect::At(revision) = expect else {
            return State::Unread;
        };
        if record == pending.record {
            return State::Held(Held { record, revision, sent_at: pending.sent_at });
        }
        let sent_at = held.map_or(Time::ZERO, |held| held.sent_at);
        State::Held(Held { record, revision, sent_at })
    }

    fn observe(&mut self, now: Time, record: Option<LeaseRecord>, expect: Expect) -> State {
        let known = self.last_observed.as_ref().filter(|last| last.expect == expect);
        let first_read = known.map_or(now, |last| last.first_read);
        let observed = Observed { record, expect, first_read, last_read: now };
        self.last_observed = Some(observed.clone());
        State::Observing(observed)
    }
}

fn encode(record: &LeaseRecord) -> Bytes {
    Bytes::from(serde_json::to_vec(record).expect("a record always encodes"))
}

/// Decodes a lease object. An object that cannot be decoded counts as held by an unknown process,
/// so that the observer waits for a whole period.
fn decode_object(object: Option<Object>) -> (Option<LeaseRecord>, Expect) {
    let Some(object) = object else {
        return (None, Expect::Absent);
    };
    let unreadable = LeaseRecord {
        host: HostName::default(),
        incarnation: Incarnation::default(),
        term: 0,
        renewal: 0,
        period_ms: u64::try_from(LeaseTiming::default().period.as_millis()).unwrap_or(u64::MAX),
        released: false,
    };
    let record = serde_json::from_slice(&object.value).unwrap_or(unreadable);
    (Some(record), Expect::At(object.revision))
}
