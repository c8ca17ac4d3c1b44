//! What the store says of endpoints and zones, as the roster takes it in.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use smol_str::SmolStr;

use super::Roster;
use crate::direct::endpoint::Endpoint;
use crate::direct::endpoint::EndpointKey;
use crate::direct::endpoint::Listed;
use crate::ids::Digest;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ZoneName;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// Engines of each other region that an entry sends requests to and is sent load reports of. With all of
/// them, datagrams would grow with the product of entries and engines and fill the links between regions. A
/// region's entries cover all engines of another several times over, as each draws its own.
const COVERED_ELSEWHERE: usize = 8;

impl Roster {
    /// All changes of endpoints up to this revision of the store are known.
    pub fn seen(&mut self, as_of: Revision) {
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
    pub fn put_all(
        &mut self,
        as_of: Revision,
        listed: Vec<Listed>,
        lapsed: &[SmolStr],
        now: Time,
    ) -> Option<Vec<SmolStr>> {
        if as_of < self.as_of {
            return None;
        }
        let kept: HashSet<&SmolStr> = listed.iter().map(|one| &one.id).chain(lapsed).collect();
        let gone: Vec<SmolStr> = self.ids().filter(|id| !kept.contains(id)).cloned().collect();
        drop(kept);
        gone.iter().for_each(|id| self.delete(id, as_of));
        for one in listed {
            self.put_listed(one, now);
        }
        self.cover();
        self.as_of = as_of;
        Some(gone)
    }

    /// Adds an endpoint or takes in what changed of it. False if that is older than what is known.
    pub fn put(&mut self, listed: Listed, now: Time) -> bool {
        // Changes up to there are known, and so is that the endpoint has gone since.
        let is_past = listed.revision <= self.as_of && !self.by_id.contains_key(&listed.id);
        let count = self.by_id.len();
        let is_newer = !is_past && self.put_listed(listed, now);
        if self.by_id.len() != count {
            self.cover();
        }
        is_newer
    }

    fn put_listed(&mut self, listed: Listed, now: Time) -> bool {
        if let Some(key) = self.by_id.get(&listed.id).copied()
            && let Some(endpoint) = self.endpoints.get_mut(key)
        {
            if listed.revision < endpoint.listed().revision {
                return false;
            }
            if endpoint.is_same_process(&listed) {
                endpoint.update(listed, now);
                return true;
            }
            self.delete(&listed.id, listed.revision);
        }
        let region = self.regions.get(&listed.zone).cloned().unwrap_or_default();
        let id = listed.id.clone();
        let service = listed.service.clone();
        let address = listed.address;
        let pair = format!("{} {}", self.host.as_str(), listed.address);
        let affinity = key_of(Digest::of(pair.as_bytes()));
        let key = self.endpoints.insert(Endpoint::new(listed, region, affinity, now));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        self.by_address.entry(address).or_default().push(key);
        self.note_restart(address);
        true
    }

    /// Notes for all endpoints at an address which process started there last.
    fn note_restart(&mut self, address: SocketAddr) {
        let keys = self.by_address.get(&address).map(Vec::as_slice).unwrap_or_default();
        let born = |key: &EndpointKey| Some(self.endpoints.get(*key)?.listed().born);
        let Some(latest) = keys.iter().filter_map(born).max() else {
            return;
        };
        for key in keys {
            if let Some(endpoint) = self.endpoints.get_mut(*key) {
                endpoint.seen_at_address(latest);
            }
        }
    }

    /// An endpoint is gone, whose entry was last changed at `last`. It stays if it has come back since.
    pub fn remove(&mut self, id: &str, last: Revision) {
        self.delete(id, last);
        self.cover();
    }

    /// Works out which engines of other regions this entry sends requests to. O(n log n).
    ///
    /// As many more as its own region lacks: with its zone out of service an entry would else share a few
    /// engines of other regions with entries that have all of theirs, and its callers be refused first.
    fn cover(&mut self) {
        let mut far: HashMap<RegionName, Vec<(u64, EndpointKey)>> = HashMap::new();
        let mut closed = 0;
        for (key, one) in self.endpoints.iter().filter(|(_, one)| one.listed().is_engine) {
            if *one.region() != self.region {
                far.entry(one.region().clone()).or_default().push((one.affinity(), key));
            } else if !self.is_open(key) {
                closed += 1;
            }
        }
        let covered = COVERED_ELSEWHERE + usize::div_ceil(closed, far.len().max(1));
        for mut drawn in far.into_values() {
            drawn.sort_unstable_by_key(|(affinity, _)| *affinity);
            for (n, (_, key)) in drawn.into_iter().enumerate() {
                if let Some(one) = self.endpoints.get_mut(key) {
                    one.set_covered(n < covered);
                }
            }
        }
    }

    fn delete(&mut self, id: &str, last: Revision) {
        let is_back = self.revision_of(id).is_some_and(|known| known > last);
        let Some(key) = self.by_id.get(id).copied().filter(|_| !is_back) else {
            return;
        };
        self.by_id.remove(id);
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.forget_address(endpoint.listed().address, key);
        }
        for list in self.by_service.values_mut() {
            list.retain(|other| *other != key);
        }
    }

    fn forget_address(&mut self, address: SocketAddr, key: EndpointKey) {
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
        self.cover();
        true
    }

    /// Revision of the store up to which all changes of these zones are known.
    pub fn evacuated_as_of(&self) -> Revision {
        self.evacuated_as_of
    }
}
