//! The entries that an agent hears of: how many there are, who is sent the next report, and which of them
//! the others follow.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::replication;
use super::replication::Candidate;
use super::replication::Offer;
use crate::time::Time;

/// How long an entry is sent reports after it asked. Entries ask every 300 ms, and those of other regions
/// half as often: some asks in a row may be lost.
const ASKED_FOR: Duration = Duration::from_millis(3_500);

/// Time after its last ask at which an entry of the region is no longer followed: two asks may be lost.
const RELAY_VALID: Duration = Duration::from_millis(1_000);

/// The same for the entry that asks the store for all regions; others than its own it asks half as often.
const ROOT_VALID: Duration = Duration::from_millis(1_600);

/// Entries that one agent counts at most.
const MAX_SUBSCRIBERS: usize = 1_024;

/// An entry that asks for reports.
#[derive(Clone, Copy, Debug)]
pub struct Subscriber {
    /// What its own clock said when it asked last, in microseconds.
    pub asked_us: u64,
    /// When that ask came in.
    pub at: Time,
    /// Whether it is in another region.
    pub is_far: bool,
    /// Whether it is sent load reports; others only announce themselves.
    pub wants_reports: bool,
    /// What it offers to those that may follow it; `None` if it may not be followed.
    pub offer: Option<Offer>,
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

    /// Entries that are sent load reports.
    pub fn readers(&self, now: Time) -> usize {
        self.live(now).filter(|(_, subscriber)| subscriber.wants_reports).count()
    }

    /// Entries that are sent a report now: those of other regions only if it is for all.
    pub fn receivers(
        &self,
        is_for_all: bool,
        now: Time,
    ) -> impl Iterator<Item = (SocketAddr, Subscriber)> + '_ {
        let readers = self.live(now).filter(|(_, subscriber)| subscriber.wants_reports);
        readers.filter(move |(_, subscriber)| is_for_all || !subscriber.is_far)
    }

    /// The entry that the others of this region follow.
    pub fn relay(&self, now: Time) -> Option<IpAddr> {
        let near = self.candidates(RELAY_VALID, now).filter(|(_, is_far)| !is_far);
        replication::elect(near.map(|(candidate, _)| candidate))
    }

    /// The entry that asks the store for all regions.
    pub fn root(&self, now: Time) -> Option<IpAddr> {
        replication::elect_root(self.candidates(ROOT_VALID, now).map(|(candidate, _)| candidate))
    }

    /// Entries of this region that may be followed.
    pub fn near_entries(&self, now: Time) -> Vec<IpAddr> {
        let all = self.candidates(RELAY_VALID, now);
        all.filter(|(_, is_far)| !is_far).map(|(candidate, _)| candidate.ip).collect()
    }

    /// Entries that may be followed and asked within `valid`, and whether each is in another region.
    fn candidates(
        &self,
        valid: Duration,
        now: Time,
    ) -> impl Iterator<Item = (Candidate, bool)> + '_ {
        let lately = self.live(now).filter(move |(_, one)| !now.passed(one.at, valid));
        lately.filter_map(|(address, one)| {
            let candidate = Candidate { ip: address.ip(), offer: one.offer? };
            Some((candidate, one.is_far))
        })
    }

    fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Subscriber)> + '_ {
        let all = self.by_address.iter().map(|(address, subscriber)| (*address, *subscriber));
        all.filter(move |(_, subscriber)| !now.passed(subscriber.at, ASKED_FOR))
    }
}
