//! Updates of the table from the store: records of endpoints, and zones that are out of service.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use smol_str::SmolStr;

use super::EndpointTable;
use crate::direct::endpoint::Endpoint;
use crate::direct::endpoint::EndpointKey;
use crate::direct::endpoint::EndpointRecord;
use crate::direct::leaving::EndpointProcess;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::ids::StorePosition;
use crate::ids::ZoneName;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// Engines in each other region that an entry sends requests to and gets load reports of. With all
/// of them, datagrams would grow with the product of entries and engines and fill the links between
/// regions. Each entry draws its own subset, so that the entries of a region together cover every
/// engine of another one several times.
const FAR_SUBSET_SIZE: usize = 8;

impl EndpointTable {
    /// Marks all changes of endpoints up to a store revision as applied.
    pub fn advance_as_of(&mut self, as_of: StorePosition) {
        self.as_of = self.as_of.max(as_of);
    }

    /// Store revision up to which all changes of endpoints are applied.
    pub fn as_of(&self) -> StorePosition {
        self.as_of
    }

    /// Replaces the table by the endpoints that the store lists as of a revision; known endpoints
    /// in `lapsed` stay. Returns the ids of the removed ones, or `None` if the list is older than
    /// the table, which is then unchanged.
    ///
    /// An older list comes from an entry that the store has turned away. It would bring back
    /// endpoints that have left since, and requests to them would be cut off. Changes after the
    /// list are applied one by one.
    pub fn replace_all(
        &mut self,
        as_of: StorePosition,
        mut records: Vec<EndpointRecord>,
        lapsed: &[SmolStr],
        now: Time,
    ) -> Option<Vec<SmolStr>> {
        if as_of < self.as_of {
            return None;
        }
        if as_of.era() > self.as_of.era() && self.as_of != StorePosition::default() {
            self.restored.begin_era(as_of, now);
        }
        let is_known = |record: &EndpointRecord| self.by_id.contains_key(&record.id);
        self.restored.remove_obsolete(&mut records, is_known, now);
        let retained: HashSet<&SmolStr> =
            records.iter().map(|record| &record.id).chain(lapsed).collect();
        let removed: Vec<SmolStr> =
            self.ids().filter(|id| !retained.contains(id)).cloned().collect();
        drop(retained);
        removed.iter().for_each(|id| self.remove_record(id, as_of, now));
        for record in records {
            self.apply_record(record, now);
        }
        self.update_subset();
        self.as_of = as_of;
        Some(removed)
    }

    /// Inserts or updates an endpoint. Returns false if the record is older than the table.
    pub fn upsert(&mut self, record: EndpointRecord, now: Time) -> bool {
        // Changes up to this revision are applied, so the endpoint has been removed since.
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
            self.remove_record(&record.id, record.revision, now);
        }
        let region = self.regions.get(&record.zone).cloned().unwrap_or_default();
        let id = record.id.clone();
        let service = record.service.clone();
        let address = record.address;
        let pair = format!("{} {}", self.host.as_str(), record.address);
        let affinity = key_of(Digest::of(pair.as_bytes()));
        let is_leaving = self.leaving.contains(EndpointProcess::of(&record), now);
        let mut endpoint = Endpoint::new(record, region, affinity, now);
        if is_leaving {
            endpoint.record_leaving();
        }
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        self.by_address.entry(address).or_default().push(key);
        self.mark_superseded(address);
        true
    }

    /// Marks all endpoints at an address that a later process there has replaced.
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

    /// Removes an endpoint whose record was last changed at `last`. It stays if a newer record has
    /// arrived since.
    pub fn remove(&mut self, id: &str, last: StorePosition, now: Time) {
        self.remove_record(id, last, now);
        self.update_subset();
    }

    /// Selects the engines of other regions that this entry sends requests to. O(n log n).
    ///
    /// The subset grows by as many engines as the own region lacks. Otherwise, with its zone out of
    /// service, an entry would share a few engines with the entries of other regions, which can use
    /// all of theirs, and its callers would be refused first.
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

    fn remove_record(&mut self, id: &str, last: StorePosition, now: Time) {
        let is_newer_known = self.revision_of(id).is_some_and(|known| known > last);
        let Some(key) = self.by_id.get(id).copied().filter(|_| !is_newer_known) else {
            return;
        };
        self.by_id.remove(id);
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.remove_address(endpoint.record().address, key);
            self.restored.record_removed(EndpointProcess::of(endpoint.record()), now);
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

    /// Sets the zones that are out of service, with all changes up to `as_of`. Returns false if
    /// that is older than the present state, which would send requests into a zone that was taken
    /// out since.
    pub fn set_evacuated(
        &mut self,
        zones: HashSet<ZoneName>,
        as_of: StorePosition,
        now: Time,
    ) -> bool {
        if as_of < self.evacuated_as_of {
            return false;
        }
        if as_of.era() > self.evacuated_as_of.era() {
            let missing = self.evacuated.difference(&zones).cloned();
            self.restored.retain_evacuated(missing, now);
        }
        self.evacuated = self.restored.with_retained(zones);
        self.evacuated_as_of = as_of;
        self.update_subset();
        true
    }

    /// Puts zones back into service that were out before the store came back from a copy, if nobody has written that
    /// again in time. Returns them.
    pub fn expire_evacuated(&mut self, now: Time) -> Vec<ZoneName> {
        let expired = self.restored.take_expired(now);
        for zone in &expired {
            self.evacuated.remove(zone);
        }
        if !expired.is_empty() {
            self.update_subset();
        }
        expired
    }

    /// Whether the endpoints must be listed again, as some were ignored after the store came back from a copy.
    pub fn take_relist_due(&mut self, now: Time) -> bool {
        self.restored.take_relist_due(now)
    }

    /// Store revision up to which all changes of the zones out of service are applied.
    pub fn evacuated_as_of(&self) -> StorePosition {
        self.evacuated_as_of
    }
}
