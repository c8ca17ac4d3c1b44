//! The entries that ask an agent for load reports: how many there are, who is sent the next report, and
//! which of them the others of the region follow.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::replication;
use super::replication::Candidate;
use crate::time::Time;

/// How long an entry is sent reports after it asked. Entries ask every 300 ms, and those of other regions
/// half as often: some asks in a row may be lost.
const ASKED_FOR: Duration = Duration::from_millis(3_500);

/// Time after its last ask at which an entry no longer counts as a watcher: two asks may be lost.
const WATCHER_VALID: Duration = Duration::from_millis(1_000);

/// Entries that one agent reports to at most.
const MAX_SUBSCRIBERS: usize = 256;

/// An entry that asks for reports.
#[derive(Clone, Copy, Debug)]
pub struct Subscriber {
    /// What its own clock said when it asked last, in microseconds.
    pub asked_us: u64,
    /// When that ask came in.
    pub at: Time,
    /// Whether it is in another region.
    pub is_far: bool,
    /// Entries that follow it; `None` if it may not be followed.
    pub followers: Option<u32>,
}

/// The entries that asked lately.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_address: HashMap<SocketAddr, Subscriber>,
}

impl Subscribers {
    /// An entry has asked. Beyond the most that one agent reports to, new ones are left out.
    pub fn renew(&mut self, from: SocketAddr, subscriber: Subscriber) {
        self.by_address.retain(|_, other| !subscriber.at.passed(other.at, ASKED_FOR));
        if self.by_address.len() < MAX_SUBSCRIBERS || self.by_address.contains_key(&from) {
            self.by_address.insert(from, subscriber);
        }
    }

    /// Entries that asked lately.
    pub fn len(&self, now: Time) -> usize {
        self.live(now).count()
    }

    /// Entries that are sent a report now: those of other regions only if it is for all.
    pub fn receivers(
        &self,
        is_for_all: bool,
        now: Time,
    ) -> impl Iterator<Item = (SocketAddr, Subscriber)> + '_ {
        self.live(now).filter(move |(_, subscriber)| is_for_all || !subscriber.is_far)
    }

    /// The entry that asks the store for the others of this region.
    pub fn watcher(&self, now: Time) -> Option<IpAddr> {
        let near = self.live(now).filter(|(_, subscriber)| {
            !subscriber.is_far && !now.passed(subscriber.at, WATCHER_VALID)
        });
        replication::watcher(near.filter_map(|(address, subscriber)| {
            Some(Candidate { ip: address.ip(), followers: subscriber.followers? })
        }))
    }

    fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Subscriber)> + '_ {
        let all = self.by_address.iter().map(|(address, subscriber)| (*address, *subscriber));
        all.filter(move |(_, subscriber)| !now.passed(subscriber.at, ASKED_FOR))
    }
}
