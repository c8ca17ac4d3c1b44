//! Entries that subscribe to an agent's load reports: their number, the recipients of a report, and which of
//! them other entries follow.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::replication;
use super::replication::Candidate;
use super::replication::Offer;
use super::request_limit::Schedule;
use crate::time::Time;

/// Time for which a subscription is valid after a request. Entries renew it every 300 ms, in other regions half
/// as often, so several consecutive requests may be lost.
const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3_500);

/// Time after its last request for which an entry of the region may be followed; two requests may be lost.
const RELAY_TTL: Duration = Duration::from_millis(1_000);

/// Time after its last request for which an entry may be elected root. It is longer than [`RELAY_TTL`] because
/// an entry sends requests to other regions half as often.
const ROOT_TTL: Duration = Duration::from_millis(1_600);

/// Time after the start of an agent by which all entries have announced themselves to it; each does so at least
/// every 1.6 s. With a count of only the first entries, each entry would use a much too large share of the
/// capacity that all share.
const COUNT_SETTLE_DELAY: Duration = Duration::from_millis(1_800);

/// Time after the first request by which the count is complete if no entry reports one. In this case all
/// entries are starting, and each announces itself to all agents as soon as it discovers them.
const COLD_START_SETTLE_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of entries that one agent tracks.
const MAX_SUBSCRIBERS: usize = 1_024;

/// The last request of an entry that subscribes to load reports.
#[derive(Clone, Copy, Debug)]
pub struct Subscriber {
    /// Timestamp of the request in microseconds of the entry's clock.
    pub request_sent_us: u64,
    /// When the agent received the request.
    pub received_at: Time,
    /// Whether the entry is in another region than the agent.
    pub is_far: bool,
    /// Number of entries in the fleet according to the entry; `None` if no agent has counted them for it.
    pub entries: Option<u32>,
    /// The oldest version of the agent's model to which the entry routes requests.
    pub oldest_weights: u64,
    /// Whether the entry is in the region of the origin of weights.
    pub is_in_origin_region: bool,
    /// Whether the entry receives load reports. Other entries only announce themselves.
    pub wants_reports: bool,
    /// State that the entry advertises to potential followers; `None` if it accepts none.
    pub offer: Option<Offer>,
}

/// The entries with a valid subscription.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_address: HashMap<SocketAddr, Subscriber>,
    first_request_at: Option<Time>,
    last_new_at: Option<Time>,
}

/// Number of entries in the fleet, as seen by one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedEntryCount {
    /// Number of known entries.
    pub entries: u32,
    /// Whether the count includes all entries.
    pub is_complete: bool,
}

impl Subscribers {
    /// Adds an entry or renews its subscription. Ignores new entries beyond the maximum number.
    pub fn renew(&mut self, from: SocketAddr, subscriber: Subscriber) {
        self.first_request_at.get_or_insert(subscriber.received_at);
        self.by_address
            .retain(|_, other| !subscriber.received_at.passed(other.received_at, SUBSCRIPTION_TTL));
        if self.by_address.len() < MAX_SUBSCRIBERS || self.by_address.contains_key(&from) {
            let last = self.by_address.insert(from, subscriber);
            if last.is_none() {
                self.last_new_at = Some(subscriber.received_at);
            }
        }
    }

    /// Number of entries with a valid subscription.
    pub fn len(&self, now: Time) -> usize {
        self.live(now).count()
    }

    /// Counts the entries of the fleet for an agent that started at `started`. An agent that has just started
    /// relies on the counts of other agents, as reported by entries.
    pub fn count(&self, started: Time, now: Time) -> ObservedEntryCount {
        let live = self.len(now) as u32;
        if now.passed(started, COUNT_SETTLE_DELAY) {
            return ObservedEntryCount { entries: live, is_complete: true };
        }
        if let Some(reported) = self.live(now).filter_map(|(_, entry)| entry.entries).max() {
            return ObservedEntryCount { entries: live.max(reported), is_complete: true };
        }
        let is_complete =
            self.first_request_at.is_some_and(|at| now.passed(at, COLD_START_SETTLE_DELAY));
        ObservedEntryCount { entries: live, is_complete }
    }

    /// Whether an entry has subscribed within `window`.
    pub fn has_new(&self, window: Duration, now: Time) -> bool {
        self.last_new_at.is_some_and(|at| !now.passed(at, window))
    }

    /// Number of entries that receive load reports.
    pub fn readers(&self, now: Time) -> usize {
        self.live(now).filter(|(_, subscriber)| subscriber.wants_reports).count()
    }

    /// Schedule for a request limit of the endpoint, as sent to the entry at `receiver`. The entries that receive
    /// load reports share the limit. An agent that has just started has not heard all of them and schedules all
    /// entries of the fleet; `None` if it does not know their number either.
    pub fn schedule(&self, receiver: SocketAddr, started: Time, now: Time) -> Option<Schedule> {
        let readers = || self.live(now).filter(|(_, subscriber)| subscriber.wants_reports);
        let entries = if now.passed(started, COUNT_SETTLE_DELAY) {
            readers().count() as u32
        } else {
            let count = self.count(started, now);
            count.is_complete.then_some(count.entries)?
        };
        let position = readers().filter(|(address, _)| *address < receiver).count() as u32;
        Some(Schedule { entries, position, clock_ms: now.since(started).as_millis() as u64 })
    }

    /// Recipients of the current report. Entries of other regions are included only if `to_all_regions`.
    pub fn receivers(
        &self,
        to_all_regions: bool,
        now: Time,
    ) -> impl Iterator<Item = (SocketAddr, Subscriber)> + '_ {
        let readers = self.live(now).filter(|(_, subscriber)| subscriber.wants_reports);
        readers.filter(move |(_, subscriber)| to_all_regions || !subscriber.is_far)
    }

    /// Elects the entry that the others of this region follow.
    pub fn relay(&self, now: Time) -> Option<IpAddr> {
        let regional = self.candidates(RELAY_TTL, now).filter(|(_, is_far)| !is_far);
        replication::elect(regional.map(|(candidate, _)| candidate))
    }

    /// Elects the entry that watches the store for all regions.
    pub fn root(&self, now: Time) -> Option<IpAddr> {
        replication::elect_root(self.candidates(ROOT_TTL, now).map(|(candidate, _)| candidate))
    }

    /// Whether most entries no longer route requests to endpoints with `version`. A majority is required because
    /// an entry that has just started may treat the bound of a new version as expired.
    pub fn is_barred(&self, version: u64, now: Time) -> bool {
        let recent =
            || self.live(now).filter(|(_, entry)| !now.passed(entry.received_at, RELAY_TTL));
        let barring = recent().filter(|(_, entry)| entry.oldest_weights > version).count();
        barring * 2 > recent().count()
    }

    /// Entries that serve chunks of weights: those of this region, and those of the origin's region.
    pub fn caches(&self, now: Time) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let regional = self.live(now).filter(|(_, entry)| !entry.is_far);
        let regional = regional.filter(|(_, entry)| !now.passed(entry.received_at, RELAY_TTL));
        let is_recent =
            |entry: &Subscriber| entry.is_far || !now.passed(entry.received_at, RELAY_TTL);
        let in_origin_region =
            self.live(now).filter(|(_, entry)| entry.is_in_origin_region && is_recent(entry));
        (
            regional.map(|(at, _)| at.ip()).collect(),
            in_origin_region.map(|(at, _)| at.ip()).collect(),
        )
    }

    /// Entries of this region that may be followed.
    pub fn regional_entries(&self, now: Time) -> Vec<IpAddr> {
        let all = self.candidates(RELAY_TTL, now);
        all.filter(|(_, is_far)| !is_far).map(|(candidate, _)| candidate.ip).collect()
    }

    /// Entries that may be followed and whose last request is at most `ttl` old, each with whether it is in
    /// another region.
    fn candidates(&self, ttl: Duration, now: Time) -> impl Iterator<Item = (Candidate, bool)> + '_ {
        let recent = self.live(now).filter(move |(_, entry)| !now.passed(entry.received_at, ttl));
        recent.filter_map(|(address, entry)| {
            let candidate = Candidate { ip: address.ip(), offer: entry.offer? };
            Some((candidate, entry.is_far))
        })
    }

    fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Subscriber)> + '_ {
        let all = self.by_address.iter().map(|(address, subscriber)| (*address, *subscriber));
        all.filter(move |(_, subscriber)| !now.passed(subscriber.received_at, SUBSCRIPTION_TTL))
    }
}
