//! A lease on the platform: at most one process acts under it at a time.
//!
//! The lease is one object, taken, renewed and released by conditional update. Nobody compares
//! wall clocks: the holder counts the period from the moment it *sent* the write that succeeded,
//! and stops [`Terms::margin`] before the end; an observer counts a whole period from the moment
//! it first *read* a revision. Whatever the delays, the holder's count starts first and so ends
//! first, as long as the clocks' rates differ by less than the margin.
//!
//! A process that is paused between [`Lease::token`] and its own write can still be late. That is
//! what the fence is for: each such write must itself be a conditional update of the object it
//! changes, read under the same token, so that a successor's write makes the late one fail.

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

/// The part of a period after which the holder renews, and an observer reads again.
const RENEW_PART: u32 = 4;

/// How long a lease holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Without a renewal, an observer may take over after this long.
    pub period: Duration,
    /// The holder stops acting this long before the end of the period.
    pub margin: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { period: Duration::from_secs(6), margin: Duration::from_millis(1_500) }
    }
}

/// The object on the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The host that holds it.
    pub host: HostName,
    /// The life of that host's process; a restarted process is another holder.
    pub incarnation: Incarnation,
    /// Rises with each change of holder: the fencing token.
    pub term: u64,
    /// Rises with each write of one holder.
    pub renewal: u64,
    /// How long observers wait, in milliseconds.
    pub period_ms: u64,
    /// Whether the holder gave it up, so that nobody needs to wait.
    pub released: bool,
}

/// Proof of holding the lease at one moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Token {
    /// The term; higher than that of each earlier holder.
    pub term: u64,
    /// Until when, on the holder's own clock, it may act.
    pub until: Time,
}

/// What the caller does next for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing at present.
    Idle,
    /// Read the object and pass the result to [`Lease::on_read`].
    Read,
    /// Write the object and pass the result to [`Lease::on_written`].
    Write {
        /// The encoded record.
        value: Bytes,
        /// What the platform must find.
        expect: Expect,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Seen {
    record: Option<LeaseRecord>,
    expect: Expect,
    /// When this revision was first read, on the observer's clock.
    since: Time,
    read: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Held {
    record: LeaseRecord,
    revision: Revision,
    /// When the write was sent, on the holder's clock.
    sent: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    record: LeaseRecord,
    sent: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Unread,
    Watching(Seen),
    Held(Held),
    /// A write is under way or its answer was lost; `held` still counts by its own time.
    InDoubt {
        pending: Pending,
        held: Option<Held>,
    },
}

/// One process's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    incarnation: Incarnation,
    terms: Terms,
    highest_term: u64,
    last: Option<Seen>,
    state: State,
}

impl Lease {
    /// The view of a process that has not read the object yet.
    pub fn new(host: HostName, incarnation: Incarnation, terms: Terms) -> Lease {
        Lease { host, incarnation, terms, highest_term: 0, last: None, state: State::Unread }
    }

    /// What to do at `now`. After a `Write`, only [`Lease::on_written`] may follow.
    pub fn next(&mut self, now: Time) -> Step {
        match &self.state {
            State::Unread | State::InDoubt { .. } => Step::Read,
            State::Watching(seen) if self.may_take(seen, now) => {
                let (expect, term) = (seen.expect, self.highest_term + 1);
                self.write(now, term, 0, expect, None)
            }
            State::Watching(seen) if now.passed(seen.read, self.terms.period / RENEW_PART) => {
                Step::Read
            }
            State::Held(held) if now.passed(held.sent, self.terms.period / RENEW_PART) => {
                let held = held.clone();
                let (expect, renewal) = (Expect::At(held.revision), held.record.renewal + 1);
                self.write(now, held.record.term, renewal, expect, Some(held))
            }
            State::Watching(_) | State::Held(_) => Step::Idle,
        }
    }

    /// The token, if the lease is held at `now`; ask right before each act under it.
    pub fn token(&self, now: Time) -> Option<Token> {
        let held = match &self.state {
            State::Held(held) | State::InDoubt { held: Some(held), .. } => held,
            _ => return None,
        };
        let until = held.sent + self.terms.period.saturating_sub(self.terms.margin);
        (now < until).then_some(Token { term: held.record.term, until })
    }

    /// Who held the lease when it was last read, if that is known and it was not given up.
    pub fn holder(&self) -> Option<&HostName> {
        let record = match &self.state {
            State::Held(held) | State::InDoubt { held: Some(held), .. } => Some(&held.record),
            State::Watching(seen) => seen.record.as_ref(),
            State::Unread | State::InDoubt { .. } => None,
        };
        record.filter(|record| !record.released).map(|record| &record.host)
    }

    /// Takes in the result of a read that ended at `now`.
    pub fn on_read(&mut self, now: Time, result: platform::Result<Option<Object>>) {
        // Without an answer nothing is learned; a held lease runs out by itself.
        let Ok(object) = result else {
            return;
        };
        let (record, expect) = scan_object(object);
        self.highest_term = self.highest_term.max(record.as_ref().map_or(0, |r| r.term));
        let state = std::mem::replace(&mut self.state, State::Unread);
        self.state = match (state, record) {
            (State::InDoubt { pending, held }, Some(record))
                if self.is_mine(&record) && !pending.record.released =>
            {
                self.settle(pending, held, record, expect)
            }
            (_, record) => self.watch(now, record, expect),
        };
    }

    /// Takes in the result of the write that [`Lease::next`] or [`Lease::release`] gave.
    pub fn on_written(&mut self, result: platform::Result<Revision>) {
        let State::InDoubt { pending, held } = self.state.clone() else {
            return;
        };
        self.state = match (result, held) {
            (Ok(_), _) if pending.record.released => State::Unread,
            (Ok(revision), _) => {
                State::Held(Held { record: pending.record, revision, sent: pending.sent })
            }
            // Nothing was written: what was held is still held, for as long as it lasts.
            (Err(PlatformError::Down | PlatformError::Throttled), Some(held)) => State::Held(held),
            (Err(PlatformError::Down | PlatformError::Throttled), None) => State::Unread,
            // A conflict may come from an own write whose answer was lost; reading tells.
            (Err(_), held) => State::InDoubt { pending, held },
        };
    }

    /// Gives the lease up; the write lets an observer take over at once.
    pub fn release(&mut self, now: Time) -> Step {
        let State::Held(held) = &self.state else {
            self.state = State::Unread;
            return Step::Idle;
        };
        let mut record = held.record.clone();
        record.renewal += 1;
        record.released = true;
        let expect = Expect::At(held.revision);
        let value = encode(&record);
        self.state = State::InDoubt { pending: Pending { record, sent: now }, held: None };
        Step::Write { value, expect }
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.host == self.host && record.incarnation == self.incarnation && !record.released
    }

    /// A whole period must pass on this observer's own clock since it first read this revision.
    /// An object that was never there needs no wait; one that was deleted may still have a holder.
    fn may_take(&self, seen: &Seen, now: Time) -> bool {
        match &seen.record {
            Some(record) if record.released => true,
            Some(record) => now.passed(seen.since, Duration::from_millis(record.period_ms)),
            None => self.highest_term == 0 || now.passed(seen.since, self.terms.period),
        }
    }

    fn write(
        &mut self,
        now: Time,
        term: u64,
        renewal: u64,
        expect: Expect,
        held: Option<Held>,
    ) -> Step {
        let record = LeaseRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
            term,
            renewal,
            period_ms: u64::try_from(self.terms.period.as_millis()).unwrap_or(u64::MAX),
            released: false,
        };
        let value = encode(&record);
        self.state = State::InDoubt { pending: Pending { record, sent: now }, held };
        Step::Write { value, expect }
    }

    /// The object is an own one. If it is the pending write, that write counts from when it was
    /// sent; an older one only keeps what was held, because when it was sent is not known.
    fn settle(
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
            return State::Held(Held { record, revision, sent: pending.sent });
        }
        let sent = held.map_or(Time::ZERO, |held| held.sent);
        State::Held(Held { record, revision, sent })
    }

    fn watch(&mut self, now: Time, record: Option<LeaseRecord>, expect: Expect) -> State {
        let known = self.last.as_ref().filter(|last| last.expect == expect);
        let since = known.map_or(now, |last| last.since);
        let seen = Seen { record, expect, since, read: now };
        self.last = Some(seen.clone());
        State::Watching(seen)
    }
}

fn encode(record: &LeaseRecord) -> Bytes {
    Bytes::from(serde_json::to_vec(record).expect("a record always encodes"))
}

/// An object that cannot be read counts as a holder of unknown name: it is waited for.
fn scan_object(object: Option<Object>) -> (Option<LeaseRecord>, Expect) {
    let Some(object) = object else {
        return (None, Expect::Absent);
    };
    let unknown = LeaseRecord {
        host: HostName::default(),
        incarnation: Incarnation::default(),
        term: 0,
        renewal: 0,
        period_ms: u64::try_from(Terms::default().period.as_millis()).unwrap_or(u64::MAX),
        released: false,
    };
    let record = serde_json::from_slice(&object.value).unwrap_or(unknown);
    (Some(record), Expect::At(object.revision))
}
