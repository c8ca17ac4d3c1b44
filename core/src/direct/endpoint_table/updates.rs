//! What the store says of endpoints and zones, as the roster takes it in.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use smol_str::SmolStr;

use super::EndpointTable;
use crate::direct::endpoint::Endpoint;
use crate::direct::endpoint::EndpointKey;
use crate::direct::endpoint::EndpointRecord;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ZoneName;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// Engines of each other region that an entry sends requests to and is sent load reports of. With all of
/// them, datagrams would grow with the product of entries and engines and fill the links between regions. A
/// region's entries cover all engines of another several times over, as each draws its own.
const FAR_SUBSET_SIZE: usize = 8;

impl EndpointTable {
    /// All changes of endpoints up to this revision of the store are known.
    pub fn advance_as_of(&mut self, as_of: Revision) {
        self.as_of = self.as_of.max(as_of);
    }

    /// Revision of the store up to which all changes of endpoints are known.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Takes in all endpoints that the store lists as of a revision; those of `lapsed` stay if they are
    /// known. Tells which ones are gone with it, or `None` if the list is older than what is known, which
    /// then holds on.
    ///
    /// An older list, of an entry that the store turned away, would bring back endpoints that have left
    /// since, and their callers would be cut off. What changes after it comes on its own.
    pub fn replace_all(
        &mut self,
        as_of: Revision,
        records: Vec<EndpointRecord>,
        lapsed: &[SmolStr],
        now: Time,
    ) -> Option<Vec<SmolStr>> {
        if as_of < self.as_of {
            return None;
        }
        let retained: HashSet<&SmolStr> =
            records.iter().map(|record| &record.id).chain(lapsed).collect();
        let removed: Vec<SmolStr> =
            self.ids().filter(|id| !retained.contains(id)).cloned().collect();
        drop(retained);
        removed.iter().for_each(|id| self.remove_record(id, as_of));
        for record in records {
            self.apply_record(record, now);
        }
        self.update_subset();
        self.as_of = as_of;
        Some(removed)
    }

    /// Adds an endpoint or takes in what changed of it. False if that is older than what is known.
    pub fn upsert(&mut self, record: EndpointRecord, now: Time) -> bool {
        // Changes up to there are known, and so is that the endpoint has gone since.
        let is_stale = record.revision <= self.as_of && !self.by_id.contains_key(&record.id);
        let count = self.by_id.len();
        let is_newer = !is_stale && self.apply_record(record, now);
        if self.by_id.len() != count {
            self.update_subset();
        }
        is_newer
    }

    fn apply_record(&mut self, record: EndpointRecord, now: Time) -> bool {
        if let Some(key) = self.by_id.get(&record.id).copied()
            && let Some(endpoint) = self.endpoints.get_mut(key)
        {
            if record.revision < endpoint.record().revision {
                return false;
            }
            if endpoint.is_same_process(&record) {
                endpoint.update(record, now);
                return true;
            }
            self.remove_record(&record.id, record.revision);
        }
        let region = self.regions.get(&record.zone).cloned().unwrap_or_default();
        let id = record.id.clone();
        let service = record.service.clone();
        let address = record.address;
        let pair = format!("{} {}", self.host.as_str(), record.address);
        let affinity = key_of(Digest::of(pair.as_bytes()));
        let key = self.endpoints.insert(Endpoint::new(record, region, affinity, now));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        self.by_address.entry(address).or_default().push(key);
        self.mark_superseded(address);
        true
    }

    /// Notes for all endpoints at an address which process started there last.
    fn mark_superseded(&mut self, address: SocketAddr) {
        let keys = self.by_address.get(&address).map(Vec::as_slice).unwrap_or_default();
        let start_of = |key: &EndpointKey| Some(self.endpoints.get(*key)?.record().started_ms);
        let Some(last_start) = keys.iter().filter_map(start_of).max() else {
            return;
        };
        for key in keys {
            if let Some(endpoint) = self.endpoints.get_mut(*key) {
                endpoint.observe_process(last_start);
            }
        }
    }

    /// An endpoint is gone, whose entry was last changed at `last`. It stays if it has come back since.
    pub fn remove(&mut self, id: &str, last: Revision) {
        self.remove_record(id, last);
        self.update_subset();
    }

    /// Works out which engines of other regions this entry sends requests to. O(n log n).
    ///
    /// As many more as its own region lacks: with its zone out of service an entry would else share a few
    /// engines of other regions with entries that have all of theirs, and its callers be refused first.
    fn update_subset(&mut self) {
        let mut far: HashMap<RegionName, Vec<(u64, EndpointKey)>> = HashMap::new();
        let mut unroutable = 0;
        for (key, endpoint) in
            self.endpoints.iter().filter(|(_, endpoint)| endpoint.record().is_engine)
        {
            if *endpoint.region() != self.region {
                far.entry(endpoint.region().clone()).or_default().push((endpoint.affinity(), key));
            } else if !self.is_routable(key) {
                unroutable += 1;
            }
        }
        let subset_size = FAR_SUBSET_SIZE + usize::div_ceil(unroutable, far.len().max(1));
        for mut engines in far.into_values() {
            engines.sort_unstable_by_key(|(affinity, _)| *affinity);
            for (n, (_, key)) in engines.into_iter().enumerate() {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.set_in_subset(n < subset_size);
                }
            }
        }
    }

    fn remove_record(&mut self, id: &str, last: Revision) {
        let is_newer_known = self.revision_of(id).is_some_and(|known| known > last);
        let Some(key) = self.by_id.get(id).copied().filter(|_| !is_newer_known) else {
            return;
        };
        self.by_id.remove(id);
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.remove_address(endpoint.record().address, key);
        }
        for list in self.by_service.values_mut() {
            list.retain(|other| *other != key);
        }
    }

    fn remove_address(&mut self, address: SocketAddr, key: EndpointKey) {
        if let Some(keys) = self.by_address.get_mut(&address) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// The zones to whose endpoints nothing may be sent, with all changes up to `as_of`. False if that is
    /// older than what is known: it would send requests into a zone that was taken out since.
    pub fn set_evacuated(&mut self, zones: HashSet<ZoneName>, as_of: Revision) -> bool {
        if as_of < self.evacuated_as_of {
            return false;
        }
        self.evacuated = zones;
        self.evacuated_as_of = as_of;
        self.update_subset();
        true
    }

    /// Revision of the store up to which all changes of these zones are known.
    pub fn evacuated_as_of(&self) -> Revision {
        self.evacuated_as_of
    }
}
