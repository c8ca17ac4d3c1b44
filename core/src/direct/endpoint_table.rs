//! The endpoints that an entry may send requests to, and the choice among them.
//!
//! The table is updated from three sources: the platform's list (which endpoints exist and which
//! are draining), load reports of agents (running requests and loaded weights), and the outcomes of
//! this entry's own requests.

mod selection;
mod updates;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use super::endpoint::Endpoint;
use super::endpoint::EndpointKey;
use super::endpoint::EndpointRecord;
use super::endpoint::LoadReport;
use super::endpoint::ReportTiming;
use super::leaving::EndpointProcess;
use super::leaving::LeavingProcesses;
use super::pace::SLOW_PACE;
use super::pace::SLOW_TTL;
use super::priority::Reservation;
use super::request_limit::LimitStatement;
use super::request_limit::Schedule;
use super::restored_store::RestoredStore;
use super::shares::EntryCount;
use super::work::RequestWork;
use crate::arena::Arena;
use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::StorePosition;
use crate::ids::ZoneName;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// Factor by which the credits of all entries together exceed the free places in a report. Entries
/// that saw the same report each take a share, and most have nothing to send just then. With a
/// lower factor, requests would go to other regions while places stay free.
const CREDIT_OVERCOMMIT: f64 = 3.0;

/// Number of agents in each region that collect notices, so that some of them are reached while
/// hosts or a zone are lost.
const COLLECTORS_PER_REGION: usize = 4;

/// How an engine relates to an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reach {
    /// In the entry's region.
    Near,
    /// In another region, and in the subset that the entry sends requests to.
    Far,
    /// In another region and outside that subset, so left to other entries.
    OutsideSubset,
}

/// What a request requires of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Model and the lowest version of it that may answer; `None` if any endpoint of the service
    /// may.
    pub model: Option<(&'a str, u64)>,
    /// Regions that may serve the request, as two lists that both apply; an empty list allows all.
    pub regions: [&'a [RegionName]; 2],
    /// Endpoints that the request was already sent to.
    pub tried: &'a [EndpointKey],
    /// Requests per second that a cold endpoint of the service can handle.
    pub cold_per_second: f64,
    /// Whether the request can no longer be answered in time, and yields to those that can.
    pub is_late: bool,
    /// Places that the request leaves to those of higher levels.
    pub reservation: Reservation,
    /// Whether the request leaves turns at cold endpoints to those of higher levels.
    pub yields_turns: bool,
    /// Expected work of the request; `None` if it counts as a usual one.
    pub work: Option<RequestWork>,
}

/// Why no endpoint can be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// No endpoint meets the requirements.
    NoEndpoint,
    /// All endpoints that meet them are full.
    Full,
    /// Those with free places are cold, and their request rate is used up.
    Warming,
    /// This entry's share of the request limits that they have named is used up.
    Limited {
        /// Time until the first of them may be sent a request.
        opens_in: Duration,
    },
    /// They have asked this entry for a pause.
    Paused {
        /// Time until the first of them may be sent a request.
        ends_in: Duration,
    },
}

/// Result of choosing an endpoint.
pub type Result<T> = std::result::Result<T, Unavailable>;

/// The endpoints that an entry may send to, with their load and failures.
#[derive(Debug)]
pub struct EndpointTable {
    host: HostName,
    zone: ZoneName,
    region: RegionName,
    regions: HashMap<ZoneName, RegionName>,
    endpoints: Arena<Endpoint>,
    by_id: HashMap<SmolStr, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    /// An address has several endpoints while the list shows a crashed process beside its
    /// successor.
    by_address: HashMap<SocketAddr, Vec<EndpointKey>>,
    /// Processes that have said that they are about to stop, listed or not.
    leaving: LeavingProcesses,
    /// Store revision up to which all changes of endpoints are applied.
    as_of: StorePosition,
    /// What is known from before the store came back from a copy.
    restored: RestoredStore,
    evacuated: HashSet<ZoneName>,
    /// Store revision up to which all changes of `evacuated` are applied.
    evacuated_as_of: StorePosition,
    entries: u32,
    entry_count: EntryCount,
    has_avoided_slow: bool,
    /// When an endpoint was last reported or seen to be slow.
    slow_seen_at: Option<Time>,
}

impl EndpointTable {
    /// An empty table for the entry on `host` in `zone`; `regions` maps each zone to its region.
    pub fn new(
        host: HostName,
        zone: ZoneName,
        regions: HashMap<ZoneName, RegionName>,
    ) -> EndpointTable {
        let region = regions.get(&zone).cloned().unwrap_or_default();
        EndpointTable {
            host,
            zone,
            region,
            regions,
            endpoints: Arena::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            by_address: HashMap::new(),
            leaving: LeavingProcesses::default(),
            as_of: StorePosition::default(),
            restored: RestoredStore::default(),
            evacuated: HashSet::new(),
            evacuated_as_of: StorePosition::default(),
            entries: 1,
            entry_count: EntryCount::default(),
            has_avoided_slow: false,
            slow_seen_at: None,
        }
    }

    /// Ids of all endpoints, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = &SmolStr> {
        self.by_id.keys()
    }

    /// Applies the report of an agent on the endpoint at `address`. It answers a request sent at
    /// `requested_at` and took `round_trip` to come. A report of a later process shows that the
    /// listed one is gone. `draw` from 0 to 1 decides whether this entry gets a place where there
    /// are too few to share.
    pub fn apply_report(
        &mut self,
        address: SocketAddr,
        report: &LoadReport,
        requested_at: Time,
        round_trip: Duration,
        draw: f64,
        now: Time,
    ) {
        // All entries see a free place at the same moment. If each of them used it, an endpoint
        // that was just full would get a queue of as many requests as there are entries.
        let share = (CREDIT_OVERCOMMIT / f64::from(report.readers.max(1))).min(1.0);
        let keys = self.by_address.get(&address).map(Vec::as_slice).unwrap_or_default();
        for key in keys {
            let Some(endpoint) = self.endpoints.get_mut(*key) else {
                continue;
            };
            endpoint.observe_process(report.started_ms);
            if !endpoint.is_other_process(report.started_ms) {
                let is_far = *endpoint.region() != self.region;
                let timing = ReportTiming { received_at: now, requested_at, round_trip, is_far };
                endpoint.apply_report(report, timing, share, draw);
            }
        }
    }

    /// Records the pace that an agent has reported of the endpoint at `address`, whose process started
    /// at `started_ms`.
    pub fn apply_pace(&mut self, address: SocketAddr, started_ms: u64, pace: f64, now: Time) {
        let keys = self.by_address.get(&address).map(Vec::as_slice).unwrap_or_default();
        for key in keys {
            if let Some(endpoint) = self.endpoints.get_mut(*key)
                && !endpoint.is_other_process(started_ms)
            {
                endpoint.record_reported_pace(pace, now);
                if pace > SLOW_PACE {
                    self.slow_seen_at = Some(now);
                }
            }
        }
    }

    /// Expected time until the first event of a request that is sent to an endpoint now; `None` if the
    /// endpoint is unknown.
    pub fn expected_first_event(
        &self,
        key: EndpointKey,
        work: &RequestWork,
        now: Time,
    ) -> Option<Duration> {
        Some(self.endpoints.get(key)?.expected_first_event(work, now))
    }

    /// Whether an endpoint was slow recently, so that requests are hedged and their work counts.
    pub fn is_pace_in_force(&self, now: Time) -> bool {
        self.slow_seen_at.is_some_and(|at| !now.passed(at, SLOW_TTL))
    }

    /// Records that an answer of an endpoint took `ratio` of its expected time. Compared with the
    /// endpoints of its service, it may show that the endpoint is slow. O(endpoints of the service).
    pub fn record_answer_time(&mut self, key: EndpointKey, ratio: f64, now: Time) {
        let Some(record) = self.get(key) else {
            return;
        };
        let keys = self.by_service.get(&record.service).map(Vec::as_slice).unwrap_or_default();
        let others = keys.iter().filter(|other| **other != key);
        let answers = others.filter_map(|other| self.endpoints.get(*other)?.last_answer(now));
        let answers = answers.collect();
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let pace = endpoint.pace_mut();
            pace.record_answer(ratio, now);
            if pace.compare(answers, now) {
                self.slow_seen_at = Some(now);
            }
        }
    }

    /// Factor by which an endpoint is slower than its configured rates, at least 1.
    pub fn pace(&self, key: EndpointKey, now: Time) -> f64 {
        self.endpoints.get(key).map_or(1.0, |endpoint| endpoint.pace(now))
    }

    /// Whether the last choice passed over a slow endpoint that had less load than the chosen one.
    pub fn has_avoided_slow(&self) -> bool {
        self.has_avoided_slow
    }

    /// Sets the number of entries that share limits until an agent has counted them.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Records an agent's count of the entries that contact it. Only a count with
    /// `is_count_complete` includes all of them; others serve until the first such count.
    pub fn record_entry_count(&mut self, entries: u32, is_count_complete: bool, now: Time) {
        if is_count_complete {
            self.entry_count.record_count(entries, now);
        }
        self.entries = self.entry_count.recent_max().unwrap_or(entries).max(1);
    }

    /// Highest recent complete count of the entries; `None` before the first one.
    pub fn counted_entries(&self) -> Option<u32> {
        self.entry_count.recent_max()
    }

    /// Number of entries that share limits, at least 1.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// All engines, with how each relates to this entry.
    pub fn engines(&self) -> impl Iterator<Item = (&EndpointRecord, Reach)> + '_ {
        let engines = self.endpoints.iter().filter(|(_, endpoint)| endpoint.record().is_engine);
        engines.map(|(_, endpoint)| {
            let reach = if *endpoint.region() == self.region {
                Reach::Near
            } else if endpoint.is_in_subset() {
                Reach::Far
            } else {
                Reach::OutsideSubset
            };
            (endpoint.record(), reach)
        })
    }

    /// Addresses of the engines whose agents are the collectors of notices: the same few of each
    /// region at all entries that know the same endpoints. O(n log n).
    pub fn collectors(&self) -> HashSet<SocketAddr> {
        let mut by_region: HashMap<&RegionName, BTreeMap<u64, SocketAddr>> = HashMap::new();
        for (_, endpoint) in self.endpoints.iter() {
            if endpoint.record().is_engine {
                let address = endpoint.record().address;
                let key = key_of(Digest::of(address.to_string().as_bytes()));
                by_region.entry(endpoint.region()).or_default().insert(key, address);
            }
        }
        let of_region =
            |engines: BTreeMap<u64, SocketAddr>| engines.into_values().take(COLLECTORS_PER_REGION);
        by_region.into_values().flat_map(of_region).collect()
    }

    /// Records of the engines of a service.
    pub fn engines_of(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointRecord> + '_ {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let all = keys.iter().filter_map(|key| self.get(*key));
        all.filter(|record| record.is_engine)
    }

    /// Addresses of the endpoints whose fresh load reports show a version of a model.
    pub fn holders(&self, model: &str, version: u64, now: Time) -> Vec<SocketAddr> {
        let holders = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.holds_version(model, version, now));
        holders.map(|(_, endpoint)| endpoint.record().address).collect()
    }

    /// Store revision of an endpoint's record; `None` if the endpoint is unknown.
    pub fn revision_of(&self, id: &str) -> Option<StorePosition> {
        let endpoint = self.endpoints.get(*self.by_id.get(id)?)?;
        Some(endpoint.record().revision)
    }

    /// Whether the endpoint at `address` is in this entry's region; false if there is none.
    pub fn is_in_own_region(&self, address: SocketAddr) -> bool {
        let key = self.by_address.get(&address).and_then(|keys| keys.first());
        key.and_then(|key| self.endpoints.get(*key))
            .is_some_and(|endpoint| *endpoint.region() == self.region)
    }

    /// Whether an endpoint listens at `address`.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Records of all endpoints, with the cold time that remains at `now`.
    pub fn records(&self, now: Time) -> impl Iterator<Item = EndpointRecord> + '_ {
        self.endpoints.iter().map(move |(_, endpoint)| endpoint.current_record(now))
    }

    /// Zones that are out of service, whose endpoints are sent no requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.evacuated.iter()
    }

    /// Latest record of an endpoint; `None` once it has been removed.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.endpoints.get(key).map(Endpoint::record)
    }

    /// Whether requests may still be sent to an endpoint: it is listed and not draining, and its
    /// zone is in service.
    pub fn is_routable(&self, key: EndpointKey) -> bool {
        let record = self.get(key);
        record.is_some_and(|record| !record.is_draining && !self.evacuated.contains(&record.zone))
    }

    /// Whether a request may be sent to an endpoint now: it is routable and has not asked for a pause.
    pub fn accepts_requests(&self, key: EndpointKey, now: Time) -> bool {
        let endpoint = self.endpoints.get(key);
        self.is_routable(key)
            && endpoint.is_some_and(|endpoint| endpoint.pause_remaining(now).is_none())
    }

    /// Whether an endpoint is fit for requests and would begin one at once.
    pub fn has_free_slot(
        &mut self,
        key: EndpointKey,
        is_late: bool,
        reservation: Reservation,
        now: Time,
    ) -> bool {
        let entries = self.entries;
        self.endpoints.get_mut(key).is_some_and(|endpoint| {
            let slots = f64::from(endpoint.record().slots);
            endpoint.is_available(now)
                && endpoint
                    .load(entries, is_late, reservation, now)
                    .is_some_and(|load| load < slots)
        })
    }

    /// State of all endpoints as JSON, for the dump of an entry.
    pub fn dump(&self, now: Time) -> Vec<serde_json::Value> {
        self.endpoints.iter().map(|(_, endpoint)| endpoint.dump(now)).collect()
    }

    /// Number of endpoints in the table.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the table has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Number of requests of this entry that an endpoint has not finished.
    pub fn in_flight(&self, key: EndpointKey) -> u32 {
        self.endpoints.get(key).map_or(0, Endpoint::in_flight)
    }

    /// Time since the latest load report on an endpoint; `None` if there is none.
    pub fn report_age(&self, key: EndpointKey, now: Time) -> Option<Duration> {
        self.endpoints.get(key)?.report_age(now)
    }

    /// Records that a request is sent to the endpoint. Returns whether it used a slot that the agent of a cold endpoint
    /// has assigned.
    pub fn record_sent(&mut self, key: EndpointKey, now: Time) -> bool {
        self.record_work_sent(key, None, now)
    }

    /// [`EndpointTable::record_sent`] of a request whose work is expected.
    pub fn record_work_sent(
        &mut self,
        key: EndpointKey,
        work: Option<RequestWork>,
        now: Time,
    ) -> bool {
        let work = work.filter(|_| self.is_pace_in_force(now));
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_some_and(|endpoint| endpoint.record_sent(work.as_ref(), now))
    }

    /// Records this entry's place in the schedule by which the agent of the endpoint at `address` assigns slots while
    /// the process that started at `started_ms` is cold.
    pub fn record_cold_schedule(
        &mut self,
        address: SocketAddr,
        started_ms: u64,
        schedule: Schedule,
        now: Time,
    ) {
        let keys = self.by_address.get(&address).map(Vec::as_slice).unwrap_or_default();
        for key in keys {
            let endpoint = self.endpoints.get_mut(*key);
            if let Some(endpoint) =
                endpoint.filter(|endpoint| !endpoint.is_other_process(started_ms))
            {
                endpoint.record_cold_schedule(schedule, now);
            }
        }
    }

    /// Records that a request has left the endpoint.
    pub fn record_finished(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_finished();
        }
    }

    /// Records a good answer of the endpoint, which ends an ejection.
    pub fn record_success(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_success();
        }
    }

    /// Records a failed request, with an error from the endpoint itself or, if `is_lost`, without
    /// an answer. Several in a row eject the endpoint, unless no other one is left.
    pub fn record_failure(&mut self, key: EndpointKey, is_lost: bool, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_failure(is_lost, now);
        }
    }

    /// Records that the endpoint refused a request as full. It backs off for a while, since its
    /// reports had shown free places.
    pub fn record_refusal(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_refusal(now);
        }
    }

    /// Records that an endpoint has said in an answer that it is about to stop. Returns whether that
    /// is new.
    pub fn record_leaving(&mut self, key: EndpointKey, now: Time) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        let is_new = endpoint.record_leaving();
        self.leaving.record(EndpointProcess::of(endpoint.record()), now);
        is_new
    }

    /// Records that others know that a process is about to stop. Returns the id of its endpoint if
    /// that is new.
    pub fn record_leaving_process(
        &mut self,
        process: EndpointProcess,
        now: Time,
    ) -> Option<SmolStr> {
        if !process.is_identified() {
            return None;
        }
        self.leaving.record(process, now);
        let keys = self.by_address.get(&process.address).map(Vec::as_slice).unwrap_or_default();
        for key in keys {
            let endpoint = self.endpoints.get_mut(*key);
            if let Some(endpoint) =
                endpoint.filter(|endpoint| EndpointProcess::of(endpoint.record()) == process)
                && endpoint.record_leaving()
            {
                return Some(endpoint.record().id.clone());
            }
        }
        None
    }

    /// Records that an endpoint wants nothing from this entry for `pause`. `draw` from 0 to 1 decides
    /// when this entry returns after it. Returns whether the endpoint had not asked for a pause that
    /// still lasts.
    pub fn record_pause(
        &mut self,
        key: EndpointKey,
        pause: Duration,
        draw: f64,
        now: Time,
    ) -> bool {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_some_and(|endpoint| endpoint.record_pause(pause, draw, now))
    }

    /// Applies what an answer of the endpoint says about its request limit. Returns whether the limit
    /// has changed.
    pub fn apply_limit(&mut self, key: EndpointKey, statement: LimitStatement) -> bool {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_some_and(|endpoint| endpoint.request_limit_mut().apply_own(statement))
    }

    /// Applies what the agent of the endpoint at `address` relays about its request limit, of the
    /// process that started at `started_ms`, and this entry's place in its schedule. Returns the id of
    /// the endpoint if its limit has changed.
    pub fn apply_relayed_limit(
        &mut self,
        address: SocketAddr,
        started_ms: u64,
        statement: LimitStatement,
        schedule: Option<Schedule>,
        now: Time,
    ) -> Option<SmolStr> {
        let keys = self.by_address.get(&address)?;
        let key = *keys.iter().find(|key| {
            let endpoint = self.endpoints.get(**key);
            endpoint.is_some_and(|endpoint| !endpoint.is_other_process(started_ms))
        })?;
        let endpoint = self.endpoints.get_mut(key)?;
        let limit = endpoint.request_limit_mut();
        if let Some(schedule) = schedule {
            limit.record_schedule(schedule, now);
        }
        let has_changed = limit.apply_relayed(statement);
        has_changed.then(|| endpoint.record().id.clone())
    }

    /// Addresses of the endpoints whose request limit the other entries have to learn, each with its
    /// start time and this entry's statement.
    pub fn limits_to_relay(&self) -> impl Iterator<Item = (SocketAddr, u64, LimitStatement)> + '_ {
        self.endpoints.iter().filter_map(|(_, endpoint)| {
            let record = endpoint.record();
            Some((record.address, record.started_ms, endpoint.request_limit().to_relay()?))
        })
    }

    /// Records an answer that a request was meant for another process or for other weights. The
    /// endpoint backs off, since its record is out of date.
    pub fn record_misdirected(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_misdirected(now);
        }
    }
}
