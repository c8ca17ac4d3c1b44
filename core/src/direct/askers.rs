//! The entries that ask an agent for load reports: how many there are, who is sent the next report, and
//! which of them the others of the region follow.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::feed;
use super::feed::Candidate;
use crate::time::Time;

/// How long an entry is sent reports after it asked. Entries ask every 300 ms, and those of other regions
/// half as often: some asks in a row may be lost.
const ASKED_FOR: Duration = Duration::from_millis(3_500);

/// Time after its last ask at which an entry no longer counts as a watcher: two asks may be lost.
const WATCHER_VALID: Duration = Duration::from_millis(1_000);

/// Entries that one agent reports to at most.
const MAX_ASKERS: usize = 256;

/// An entry that asks for reports.
#[derive(Clone, Copy, Debug)]
pub struct Asker {
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
pub struct Askers {
    by_address: HashMap<SocketAddr, Asker>,
}

impl Askers {
    /// An entry has asked. Beyond the most that one agent reports to, new ones are left out.
    pub fn heard(&mut self, from: SocketAddr, asker: Asker) {
        self.by_address.retain(|_, other| !asker.at.passed(other.at, ASKED_FOR));
        if self.by_address.len() < MAX_ASKERS || self.by_address.contains_key(&from) {
            self.by_address.insert(from, asker);
        }
    }

    /// Entries that asked lately.
    pub fn len(&self, now: Time) -> usize {
        self.live(now).count()
    }

    /// Entries that are sent a report now: those of other regions only if it is for all.
    pub fn to_tell(
        &self,
        is_for_all: bool,
        now: Time,
    ) -> impl Iterator<Item = (SocketAddr, Asker)> + '_ {
        self.live(now).filter(move |(_, asker)| is_for_all || !asker.is_far)
    }

    /// The entry that asks the store for the others of this region.
    pub fn watcher(&self, now: Time) -> Option<IpAddr> {
        let near = self
            .live(now)
            .filter(|(_, asker)| !asker.is_far && !now.passed(asker.at, WATCHER_VALID));
        feed::watcher(near.filter_map(|(address, asker)| {
            Some(Candidate { ip: address.ip(), followers: asker.followers? })
        }))
    }

    fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Asker)> + '_ {
        let all = self.by_address.iter().map(|(address, asker)| (*address, *asker));
        all.filter(move |(_, asker)| !now.passed(asker.at, ASKED_FOR))
    }
}
