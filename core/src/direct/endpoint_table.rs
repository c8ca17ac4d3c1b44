//! The endpoints that an entry may send to, and the choice among them.
//!
//! Three sources feed it: the platform's list (which endpoints exist and whether they leave), load
//! reports of the agents (what runs there now, and which weights), and the entry's own requests.

mod selection;
mod updates;

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
use super::shares::EntryCount;
use crate::arena::Arena;
use crate::ids::HostName;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::time::Time;

/// Free places that all entries together may take for each one that a report shows. Entries that saw
/// the same report each take a part; most have nothing to send just then, so the parts add up to more
/// than one. With fewer, requests would go to other regions while places stay free.
const CREDIT_OVERCOMMIT: f64 = 3.0;

/// How an entry relates to an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reach {
    /// It is in the entry's region.
    Near,
    /// It is in another region and among those that the entry sends requests to.
    Far,
    /// It is in another region and left to other entries.
    OutsideSubset,
}

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model and the oldest version that may answer.
    pub model: Option<(&'a str, u64)>,
    /// Regions that may serve; empty lists do not bind.
    pub regions: [&'a [RegionName]; 2],
    /// Endpoints already tried.
    pub tried: &'a [EndpointKey],
    /// Requests a second that a cold endpoint of the service bears.
    pub cold_per_second: f64,
    /// Whether the request can no longer be in time, and yields to those that can.
    pub is_late: bool,
}

/// Why no endpoint can be had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// None that could serve it exists.
    NoEndpoint,
    /// All that could serve it are full.
    Full,
    /// Those that have room are cold, and bear no more requests yet.
    Warming,
}

/// Result of choosing an endpoint.
pub type Result<T> = std::result::Result<T, Unavailable>;

/// All endpoints that an entry knows.
#[derive(Debug)]
pub struct EndpointTable {
    host: HostName,
    zone: ZoneName,
    region: RegionName,
    regions: HashMap<ZoneName, RegionName>,
    endpoints: Arena<Endpoint>,
    by_id: HashMap<SmolStr, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    /// Several while the list shows a process that has crashed beside the one that follows it.
    by_address: HashMap<SocketAddr, Vec<EndpointKey>>,
    /// Revision of the store up to which all changes of endpoints are known.
    as_of: Revision,
    evacuated: HashSet<ZoneName>,
    /// The same for the zones that are out of service.
    evacuated_as_of: Revision,
    entries: u32,
    entry_count: EntryCount,
}

impl EndpointTable {
    /// An empty roster of the entry on `host` in `zone`; `regions` gives the region of each zone.
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
            as_of: Revision::default(),
            evacuated: HashSet::new(),
            evacuated_as_of: Revision::default(),
            entries: 1,
            entry_count: EntryCount::default(),
        }
    }

    /// Ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &SmolStr> {
        self.by_id.keys()
    }

    /// An agent reported on the endpoint at `address` in answer to what it was asked at `asked`, over
    /// a way that took `round_trip` there and back. A report of a later process shows that the listed one is gone. `draw` from 0
    /// to 1 decides whether this entry gets a place that is too few to share.
    pub fn apply_report(
        &mut self,
        address: SocketAddr,
        report: &LoadReport,
        requested_at: Time,
        round_trip: Duration,
        draw: f64,
        now: Time,
    ) {
        // All entries see a place that has become free at the same moment. If each took it, an endpoint
        // that was just full would have a queue of as many requests as there are entries.
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

    /// The number of entries that share the bounds until an agent has counted them.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// An agent has counted the entries that ask it, all of them if `is_count_complete`.
    pub fn record_entry_count(&mut self, entries: u32, is_count_complete: bool, now: Time) {
        if is_count_complete {
            self.entry_count.record_count(entries, now);
        }
        self.entries = self.entry_count.recent_max().unwrap_or(entries).max(1);
    }

    /// The number of entries that agents have counted, `None` before the first count.
    pub fn counted_entries(&self) -> Option<u32> {
        self.entry_count.recent_max()
    }

    /// The number of entries that share the bounds.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// All engines, and how this entry relates to each.
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

    /// The engines of a service.
    pub fn engines_of(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointRecord> + '_ {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let all = keys.iter().filter_map(|key| self.get(*key));
        all.filter(|record| record.is_engine)
    }

    /// Addresses of the endpoints that hold a version of a model, as their agents say now.
    pub fn holders(&self, model: &str, version: u64, now: Time) -> Vec<SocketAddr> {
        let holders = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.holds_version(model, version, now));
        holders.map(|(_, endpoint)| endpoint.record().address).collect()
    }

    /// Revision of an endpoint's entry, if it is known.
    pub fn revision_of(&self, id: &str) -> Option<Revision> {
        let endpoint = self.endpoints.get(*self.by_id.get(id)?)?;
        Some(endpoint.record().revision)
    }

    /// Whether the endpoint at `address` is in this entry's region.
    pub fn is_in_own_region(&self, address: SocketAddr) -> bool {
        let key = self.by_address.get(&address).and_then(|keys| keys.first());
        key.and_then(|key| self.endpoints.get(*key))
            .is_some_and(|endpoint| *endpoint.region() == self.region)
    }

    /// Whether an endpoint listens at `address`.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// All endpoints as the list shows them, with the cold time that is left.
    pub fn records(&self, now: Time) -> impl Iterator<Item = EndpointRecord> + '_ {
        self.endpoints.iter().map(move |(_, endpoint)| endpoint.current_record(now))
    }

    /// The zones to whose endpoints nothing may be sent.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.evacuated.iter()
    }

    /// What the list says of an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.endpoints.get(key).map(Endpoint::record)
    }

    /// Whether an endpoint may still be sent to: it is listed, stays, and its zone is in service.
    pub fn is_routable(&self, key: EndpointKey) -> bool {
        let record = self.get(key);
        record.is_some_and(|record| !record.is_draining && !self.evacuated.contains(&record.zone))
    }

    /// All endpoints as they are known now.
    pub fn dump(&self, now: Time) -> Vec<serde_json::Value> {
        self.endpoints.iter().map(|(_, endpoint)| endpoint.dump(now)).collect()
    }

    /// Endpoints known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// A request goes to the endpoint.
    pub fn record_sent(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_sent(now);
        }
    }

    /// A request has left the endpoint.
    pub fn record_finished(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_finished();
        }
    }

    /// The endpoint answered well.
    pub fn record_success(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_success();
        }
    }

    /// The endpoint failed a request, with an answer of its own or, if `is_lost`, without one. After
    /// several in a row it rests, unless nobody else is left.
    pub fn record_failure(&mut self, key: EndpointKey, is_lost: bool, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_failure(is_lost, now);
        }
    }

    /// The endpoint refused a request as full: it is spared for a while, as its load is not known
    /// better than by reports that said otherwise.
    pub fn record_refusal(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_refusal(now);
        }
    }

    /// The endpoint said that a request was meant for another process or for other weights: what is known
    /// of it is out of date.
    pub fn record_misdirected(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_misdirected(now);
        }
    }
}
