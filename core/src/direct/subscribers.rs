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

/// Time from the start of an agent after which all entries have announced themselves to it, each at least
/// every 1.6 s; a count of the first ones alone would let each take a much too large share of what all may
/// send.
const COUNT_AFTER: Duration = Duration::from_millis(1_800);

/// The same from the first ask on, if no entry knows a count, so that all are starting: each announces
/// itself to all agents as soon as it knows them.
const COUNT_STARTING_AFTER: Duration = Duration::from_millis(700);

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
    /// Entries that it knows of, if agents have counted them for it.
    pub entries: Option<u32>,
    /// The oldest version of the agent's model that it sends requests to.
    pub oldest_weights: u64,
    /// Whether it is in the region of the origin of weights.
    pub is_beside_origin: bool,
    /// Whether it is sent load reports; others only announce themselves.
    pub wants_reports: bool,
    /// What it offers to those that may follow it; `None` if it may not be followed.
    pub offer: Option<Offer>,
}

/// The entries that asked lately.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_address: HashMap<SocketAddr, Subscriber>,
    first_ask_at: Option<Time>,
}

/// How many entries there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Count {
    /// Entries known.
    pub entries: u32,
    /// Whether these are all.
    pub is_of_all: bool,
}

impl Subscribers {
    /// An entry has asked. Beyond the most that one agent reports to, new ones are left out.
    pub fn renew(&mut self, from: SocketAddr, subscriber: Subscriber) {
        self.first_ask_at.get_or_insert(subscriber.at);
        self.by_address.retain(|_, other| !subscriber.at.passed(other.at, ASKED_FOR));
        if self.by_address.len() < MAX_SUBSCRIBERS || self.by_address.contains_key(&from) {
            self.by_address.insert(from, subscriber);
        }
    }

    /// Entries that asked lately.
    pub fn len(&self, now: Time) -> usize {
        self.live(now).count()
    }

    /// How many entries there are, as an agent that started at `started` knows it. One that has just
    /// started goes by what entries say that others have counted.
    pub fn count(&self, started: Time, now: Time) -> Count {
        let live = self.len(now) as u32;
        if now.passed(started, COUNT_AFTER) {
            return Count { entries: live, is_of_all: true };
        }
        if let Some(reported) = self.live(now).filter_map(|(_, one)| one.entries).max() {
            return Count { entries: live.max(reported), is_of_all: true };
        }
        let is_of_all = self.first_ask_at.is_some_and(|at| now.passed(at, COUNT_STARTING_AFTER));
        Count { entries: live, is_of_all }
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

    /// Whether most entries no longer send requests to an endpoint that holds `version`. One that has just
    /// started may take a new version for an old one.
    pub fn is_barred(&self, version: u64, now: Time) -> bool {
        let lately = || self.live(now).filter(|(_, one)| !now.passed(one.at, RELAY_VALID));
        let barring = lately().filter(|(_, one)| one.oldest_weights > version).count();
        barring * 2 > lately().count()
    }

    /// Entries that hand out chunks of weights: those of this region, and those of the origin's.
    pub fn caches(&self, now: Time) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let near = self.live(now).filter(|(_, one)| !one.is_far);
        let near = near.filter(|(_, one)| !now.passed(one.at, RELAY_VALID));
        let is_recent = |one: &Subscriber| one.is_far || !now.passed(one.at, RELAY_VALID);
        let beside_origin =
            self.live(now).filter(|(_, one)| one.is_beside_origin && is_recent(one));
        (near.map(|(at, _)| at.ip()).collect(), beside_origin.map(|(at, _)| at.ip()).collect())
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
