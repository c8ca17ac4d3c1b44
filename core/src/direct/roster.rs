//! The endpoints that an entry may send to, and the choice among them.
//!
//! Three sources feed it: the platform's list (which endpoints exist and whether they leave), load
//! reports of the agents (what runs there now, and which weights), and the entry's own requests.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::choice::Choice;
use super::health::Health;
use super::shares::ColdTurns;
use super::shares::EntryCount;
use super::shares::RecentSends;
use crate::arena::Arena;
use crate::arena::Key;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::time::Time;

/// A load report older than this says nothing of the present load. Agents report every 100 ms; three
/// lost in a row are rare.
const REPORT_VALID: Duration = Duration::from_millis(400);

/// The same for endpoints of other regions, which report half as often.
const FAR_REPORT_VALID: Duration = Duration::from_millis(800);

/// Requests beyond its slots that an endpoint may hold. With about 1.1 s a request on 16 slots, one
/// slot frees every 70 ms. Under lasting overload every queue is full, so the last place decides when
/// all requests start: with four places half of all first events came after 500 ms, later than an
/// objective of 400 ms, and nearly all answers were late; with one they come in time, and what has no
/// place is refused at once.
pub const QUEUE_PLACES: u32 = 1;

/// Part of an engine's slots that late requests leave to others, beside the places in the queue. Past the
/// knee, where all engines are full, nothing late is sent; with a quarter free it still is. Of what was
/// asked at 1.4 times the capacity, 54% were in time with an eighth, 57% with a quarter, 62% with three
/// eighths, 60% with a half (trials of one run each).
const KEPT_FROM_LATE: f64 = 0.375;

/// Free places that all entries together may take for each one that a report shows. Entries that saw
/// the same report each take a part; most have nothing to send just then, so the parts add up to more
/// than one. With 1.5 requests went to other regions for want of a part while places stayed free.
const OVERBOOKED: f64 = 3.0;

/// Load, in requests, that an endpoint of another zone of the region may have less before it is
/// preferred, and one of another region. A request that crosses a region costs about 2% of its worth
/// in bytes, a place in a queue more.
const ZONE_PENALTY: f64 = 1.0;
const REGION_PENALTY: f64 = 3.0;

/// How long an endpoint that refused as full is spared: about until its next report.
const FULL_FOR: Duration = Duration::from_millis(120);

/// Time in which an engine reads a prompt of usual length beside the streams that it writes.
///
/// Reports are 100 ms apart. Whenever an engine had just become free, all entries saw it as the least
/// loaded one and sent it some twenty requests before the next report; their prompts took up to a
/// second to read, in which all its streams paused. So what an entry sent lately counts, once for
/// each entry, and an engine gets about one request in this time from all of them together.
const READ_TIME: Duration = Duration::from_millis(50);

/// Usual time until a place of an endpoint frees: 1.1 s a request on 16 slots.
const PLACE_FREES: Duration = Duration::from_millis(70);

/// Round trip to an agent from which on its endpoint gets nothing: its link is so full that answers
/// would be late and callers' leaving would reach the endpoint only after their requests have run.
const SLOW_WAY: Duration = Duration::from_millis(250);

/// Age of the last ask that an agent has answered from which on its link counts as full, too: asks go
/// out every 300 ms, and one may be lost.
const ASK_VALID: Duration = Duration::from_millis(800);

/// The same for endpoints of other regions, which are asked half as often.
const FAR_ASK_VALID: Duration = Duration::from_millis(1_600);

/// What the platform's list says of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listed {
    /// Its incarnation's name.
    pub id: SmolStr,
    /// Revision of the store at which it was last changed: of two that differ, the higher one holds.
    pub revision: Revision,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it processes at once.
    pub slots: u32,
    /// Whether it is about to stop and takes nothing new.
    pub is_draining: bool,
    /// How much longer it stays cold.
    pub cold_for: Duration,
    /// The version of each model of which it holds all layers.
    pub weights: Vec<(SmolStr, u64)>,
    /// Whether it runs a model, so that it serves only with weights.
    pub is_engine: bool,
    /// When it started, in milliseconds of the Unix epoch; 0 if it does not say.
    pub born: u64,
}

/// What an agent says of the endpoint beside it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that the endpoint works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Whether it takes new requests, i.e. is not about to load other weights.
    pub accepts: bool,
    /// The version of each model of which it holds all layers.
    pub weights: Vec<(SmolStr, u64)>,
    /// When it started, in milliseconds of the Unix epoch.
    pub born: u64,
    /// Entries that ask this agent for reports.
    pub entries: u32,
    /// Whether the agent has listened long enough to have heard all entries.
    pub has_heard_all: bool,
    /// The entry of the agent's region that watches the store for the others there.
    pub watcher: Option<IpAddr>,
}

#[derive(Clone, Debug)]
struct Load {
    at: Time,
    others: u32,
    /// Requests that this entry may still send on the strength of this report.
    places: u32,
    accepts: bool,
    asked: Time,
    round_trip: Duration,
    is_far: bool,
}

impl Load {
    /// Whether the report still says something of the present load.
    fn is_heard(&self, now: Time) -> bool {
        let valid = if self.is_far { FAR_REPORT_VALID } else { REPORT_VALID };
        !now.passed(self.at, valid)
    }

    /// Whether the agent has lately answered an ask.
    fn hears(&self, now: Time) -> bool {
        let valid = if self.is_far { FAR_ASK_VALID } else { ASK_VALID };
        !now.passed(self.asked, valid)
    }
}

/// An endpoint of the roster.
#[derive(Clone, Debug)]
pub struct Endpoint {
    listed: Listed,
    region: RegionName,
    cold_until: Time,
    load: Option<Load>,
    own: u32,
    cold_turns: ColdTurns,
    recent: RecentSends,
    health: Health,
    full_until: Time,
}

impl Endpoint {
    /// Requests that it may hold when one more is sent.
    fn room(&self, is_late: bool) -> u32 {
        let slots = self.listed.slots;
        if is_late && self.listed.is_engine {
            return slots - (f64::from(slots) * KEPT_FROM_LATE) as u32;
        }
        slots + QUEUE_PLACES
    }

    /// Whether nothing speaks against sending it a request: no lost answers, no full link, and an
    /// agent that reports if it ever did.
    fn takes(&self, now: Time) -> bool {
        let is_in_reach = self
            .load
            .as_ref()
            .is_none_or(|load| load.is_heard(now) && load.hears(now) && load.round_trip < SLOW_WAY);
        is_in_reach && self.health.takes(self.own, now)
    }
}

/// Names an endpoint while it is on the roster.
pub type EndpointKey = Key<Endpoint>;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
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
    None,
    /// All that could serve it are full.
    Full,
}

/// Result of choosing an endpoint.
pub type Result<T> = std::result::Result<T, Unavailable>;

/// All endpoints that an entry knows.
#[derive(Debug)]
pub struct Roster {
    zone: ZoneName,
    region: RegionName,
    regions: HashMap<ZoneName, RegionName>,
    endpoints: Arena<Endpoint>,
    by_id: HashMap<SmolStr, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    /// Revision of the store up to which all changes of endpoints are known.
    as_of: Revision,
    evacuated: HashSet<ZoneName>,
    /// The same for the zones that are out of service.
    evacuated_as_of: Revision,
    entries: u32,
    entry_count: EntryCount,
}

impl Roster {
    /// An empty roster of an entry in `zone`; `regions` gives the region of each zone.
    pub fn new(zone: ZoneName, regions: HashMap<ZoneName, RegionName>) -> Roster {
        let region = regions.get(&zone).cloned().unwrap_or_default();
        Roster {
            zone,
            region,
            regions,
            endpoints: Arena::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
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

    /// All changes of endpoints up to this revision of the store are known.
    pub fn seen(&mut self, as_of: Revision) {
        self.as_of = self.as_of.max(as_of);
    }

    /// Revision of the store up to which all changes of endpoints are known.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Takes in all endpoints that the store lists as of a revision; those of `lapsed` stay if they are
    /// known. False if the list is older than what is known, which then holds on.
    ///
    /// An older list, of an entry that the store turned away, would bring back endpoints that have left
    /// since, and their callers would be cut off. What changes after it comes on its own.
    pub fn put_all(
        &mut self,
        as_of: Revision,
        listed: Vec<Listed>,
        lapsed: &[SmolStr],
        now: Time,
    ) -> bool {
        if as_of < self.as_of {
            return false;
        }
        let kept: HashSet<&SmolStr> = listed.iter().map(|one| &one.id).chain(lapsed).collect();
        let gone: Vec<SmolStr> = self.ids().filter(|id| !kept.contains(id)).cloned().collect();
        drop(kept);
        gone.iter().for_each(|id| self.remove(id, as_of));
        for one in listed {
            self.put_listed(one, now);
        }
        self.as_of = as_of;
        true
    }

    /// Adds an endpoint or takes in what changed of it. False if that is older than what is known.
    pub fn put(&mut self, listed: Listed, now: Time) -> bool {
        // Changes up to there are known, and so is that the endpoint has gone since.
        let is_past = listed.revision <= self.as_of && !self.by_id.contains_key(&listed.id);
        !is_past && self.put_listed(listed, now)
    }

    fn put_listed(&mut self, listed: Listed, now: Time) -> bool {
        let cold_until = now + listed.cold_for;
        if let Some(key) = self.by_id.get(&listed.id).copied()
            && let Some(endpoint) = self.endpoints.get_mut(key)
        {
            if listed.revision < endpoint.listed.revision {
                return false;
            }
            let is_same_life = endpoint.listed.born == listed.born
                && endpoint.listed.address == listed.address
                && endpoint.listed.service == listed.service;
            if is_same_life {
                endpoint.cold_until = cold_until;
                let weights = std::mem::take(&mut endpoint.listed.weights);
                // Nobody who leaves stays after all. What says so is older, from another entry that the
                // store could not reach, and would bring requests to an endpoint about to stop.
                let is_draining = endpoint.listed.is_draining || listed.is_draining;
                endpoint.listed = Listed { is_draining, ..listed };
                // The list lags: an endpoint that has lost power is still shown with its weights for
                // a heartbeat, and requests sent there come back refused.
                if endpoint.load.as_ref().is_some_and(|load| load.is_heard(now)) {
                    endpoint.listed.weights = weights;
                }
                return true;
            }
            self.remove(&listed.id, listed.revision);
        }
        let region = self.regions.get(&listed.zone).cloned().unwrap_or_default();
        let id = listed.id.clone();
        let service = listed.service.clone();
        let key = self.endpoints.insert(Endpoint {
            listed,
            region,
            cold_until,
            load: None,
            own: 0,
            cold_turns: ColdTurns::default(),
            recent: RecentSends::default(),
            health: Health::default(),
            full_until: Time::ZERO,
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// An endpoint is gone, whose entry was last changed at `last`. It stays if it has come back since.
    pub fn remove(&mut self, id: &str, last: Revision) {
        let is_back = self.revision_of(id).is_some_and(|known| known > last);
        let Some(key) = self.by_id.get(id).copied().filter(|_| !is_back) else {
            return;
        };
        self.by_id.remove(id);
        self.endpoints.remove(key);
        for list in self.by_service.values_mut() {
            list.retain(|other| *other != key);
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
        true
    }

    /// Revision of the store up to which all changes of these zones are known.
    pub fn evacuated_as_of(&self) -> Revision {
        self.evacuated_as_of
    }

    /// An agent reported on the endpoint at `address` in answer to what it was asked at `asked`, over
    /// a way that took `round_trip` there and back. Reports of another life are ignored. `draw` from 0
    /// to 1 decides whether this entry gets a place that is too few to share.
    pub fn reported(
        &mut self,
        address: SocketAddr,
        report: &LoadReport,
        asked: Time,
        round_trip: Duration,
        draw: f64,
        now: Time,
    ) {
        let entries = f64::from(self.entries);
        let found = self.endpoints.iter().find(|(_, endpoint)| endpoint.listed.address == address);
        let Some(key) = found.map(|(key, _)| key) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let is_other_life =
            report.born != 0 && endpoint.listed.born != 0 && endpoint.listed.born != report.born;
        if is_other_life {
            return;
        }
        let total = report.running + report.waiting;
        let others = total.saturating_sub(endpoint.own);
        // All entries see a place that has become free at the same moment. If each took it, an endpoint
        // that was just full would have a queue of as many requests as there are entries.
        let free = (endpoint.listed.slots + QUEUE_PLACES).saturating_sub(total);
        let part = f64::from(free) * (OVERBOOKED / entries).min(1.0);
        let places = (part + draw).floor() as u32;
        let accepts = report.accepts;
        let is_far = endpoint.region != self.region;
        endpoint.load = Some(Load { at: now, others, places, accepts, asked, round_trip, is_far });
        endpoint.listed.weights.clone_from(&report.weights);
    }

    /// The number of entries that share the bounds until an agent has counted them.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// An agent has counted the entries that ask it, all of them if `has_heard_all`.
    pub fn entries_counted(&mut self, entries: u32, has_heard_all: bool, now: Time) {
        if has_heard_all {
            self.entry_count.counted(entries, now);
        }
        self.entries = self.entry_count.highest().unwrap_or(entries).max(1);
    }

    /// The number of entries that share the bounds.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// All engines, whose agents report loads, and whether each is in another region.
    pub fn engines(&self) -> impl Iterator<Item = (&Listed, bool)> + '_ {
        let engines = self.endpoints.iter().filter(|(_, endpoint)| endpoint.listed.is_engine);
        engines.map(|(_, endpoint)| (&endpoint.listed, endpoint.region != self.region))
    }

    /// Revision of an endpoint's entry, if it is known.
    pub fn revision_of(&self, id: &str) -> Option<Revision> {
        let endpoint = self.endpoints.get(*self.by_id.get(id)?)?;
        Some(endpoint.listed.revision)
    }

    /// Whether an endpoint listens at `address`.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.endpoints.iter().any(|(_, endpoint)| endpoint.listed.address == address)
    }

    /// All endpoints as the list shows them, with the cold time that is left.
    pub fn all_listed(&self, now: Time) -> impl Iterator<Item = Listed> + '_ {
        self.endpoints.iter().map(move |(_, endpoint)| {
            let cold_for = endpoint.cold_until.since(now);
            Listed { cold_for, ..endpoint.listed.clone() }
        })
    }

    /// The zones to whose endpoints nothing may be sent.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.evacuated.iter()
    }

    /// What the list says of an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Listed> {
        self.endpoints.get(key).map(|endpoint| &endpoint.listed)
    }

    /// Whether an endpoint may still be sent to: it is listed, stays, and its zone is in service.
    pub fn is_open(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| {
            !endpoint.listed.is_draining && !self.evacuated.contains(&endpoint.listed.zone)
        })
    }

    /// All endpoints as they are known now.
    pub fn dump(&self, now: Time) -> Vec<serde_json::Value> {
        let shown = self.endpoints.iter().map(|(_, endpoint)| {
            let load = endpoint.load.as_ref();
            serde_json::json!({
                "id": endpoint.listed.id,
                "service": endpoint.listed.service,
                "zone": endpoint.listed.zone,
                "draining": endpoint.listed.is_draining,
                "weights": endpoint.listed.weights,
                "own": endpoint.own,
                "others": load.map(|load| load.others),
                "report_age_ms": load.map(|load| now.since(load.at).as_millis() as u64),
                "rests": endpoint.health.rests(now),
            })
        });
        shown.collect()
    }

    /// Endpoints known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Chooses an endpoint with little load that may serve `need`. O(endpoints of the service).
    pub fn choose<R: Rng>(
        &mut self,
        need: &Need<'_>,
        now: Time,
        rng: &mut R,
    ) -> Result<EndpointKey> {
        let Some(keys) = self.by_service.get(need.service).cloned() else {
            return Err(Unavailable::None);
        };
        let mut healthy = Choice::default();
        let mut resting = Choice::default();
        let mut is_any_fit = false;
        let mut is_any_healthy = false;
        for key in keys {
            if need.tried.contains(&key) || !self.fits(key, need) {
                continue;
            }
            is_any_fit = true;
            let takes = self.endpoints.get(key).is_some_and(|endpoint| endpoint.takes(now));
            is_any_healthy |= takes;
            if !self.may_warm(key, need, rng, now) {
                continue;
            }
            let Some(score) = self.score(key, need.is_late, now) else {
                continue;
            };
            let choice = if takes { &mut healthy } else { &mut resting };
            choice.offer(score, key, self.is_far(key), rng);
        }
        // An endpoint that loses answers is worse than none while others are merely full.
        let found = if is_any_healthy { healthy.best() } else { resting.best() };
        found.ok_or(if is_any_fit { Unavailable::Full } else { Unavailable::None })
    }

    /// Whether an endpoint is in another region.
    fn is_far(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| endpoint.region != self.region)
    }

    fn fits(&self, key: EndpointKey, need: &Need<'_>) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let in_region =
            |regions: &&[RegionName]| regions.is_empty() || regions.contains(&endpoint.region);
        let holds = need.model.is_none_or(|(model, oldest)| {
            let weights = &endpoint.listed.weights;
            weights.iter().any(|(name, version)| name == model && *version >= oldest)
        });
        // A plain service takes any request, whatever model its caller names.
        let holds = holds || !endpoint.listed.is_engine;
        self.is_open(key) && need.regions.iter().all(in_region) && holds
    }

    /// Whether an endpoint is warm, or it is this entry's turn to send it a request.
    fn may_warm<R: Rng>(
        &mut self,
        key: EndpointKey,
        need: &Need<'_>,
        rng: &mut R,
        now: Time,
    ) -> bool {
        let entries = self.entry_count.for_bounds();
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        let is_cold = endpoint.cold_until > now && need.cold_per_second > 0.0;
        let rate = need.cold_per_second;
        !is_cold || endpoint.cold_turns.may_send(rate, entries, rng.random(), now)
    }

    /// Load of an endpoint in requests, with a penalty for distance; `None` while it is full.
    fn score(&mut self, key: EndpointKey, is_late: bool, now: Time) -> Option<f64> {
        let entries = self.entries;
        let (zone, region) = (self.zone.clone(), self.region.clone());
        let endpoint = self.endpoints.get_mut(key)?;
        if endpoint.full_until > now {
            return None;
        }
        let load = endpoint.load.as_ref().filter(|load| load.is_heard(now));
        if load.is_some_and(|load| !load.accepts || load.places == 0) {
            return None;
        }
        let room = endpoint.room(is_late);
        let busy = match load {
            Some(load) => load.others + endpoint.own,
            // Without a report, the others are taken to send as much as this entry does.
            None => endpoint.own * entries.div_ceil(2),
        };
        if busy >= room {
            return None;
        }
        // What waits on a slow link is as late as what waits in a queue.
        let on_the_way = load.map_or(0.0, |load| load.round_trip.div_duration_f64(PLACE_FREES));
        let distance = if endpoint.listed.zone == zone {
            0.0
        } else if endpoint.region == region {
            ZONE_PENALTY
        } else {
            REGION_PENALTY
        };
        let arrivals = if endpoint.listed.is_engine {
            // The others are taken to have sent there as often as this entry.
            endpoint.recent.count(READ_TIME * entries, now) as f64 * f64::from(entries)
        } else {
            0.0
        };
        Some(f64::from(busy) + distance + on_the_way + arrivals)
    }

    /// A request goes to the endpoint.
    pub fn sent(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own += 1;
            if let Some(load) = &mut endpoint.load {
                load.places = load.places.saturating_sub(1);
            }
            if endpoint.cold_until > now {
                endpoint.cold_turns.sent(now);
            } else {
                // The next cold spell draws its turns anew.
                endpoint.cold_turns = ColdTurns::default();
            }
            endpoint.recent.sent(now);
        }
    }

    /// A request has left the endpoint.
    pub fn left(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own = endpoint.own.saturating_sub(1);
        }
    }

    /// The endpoint answered well.
    pub fn succeeded(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health = Health::default();
        }
    }

    /// The endpoint failed a request, with an answer of its own or, if `is_lost`, without one. After
    /// several in a row it rests, unless nobody else is left.
    pub fn failed(&mut self, key: EndpointKey, is_lost: bool, now: Time) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        // An endpoint that is about to load cuts off what runs; that is no sign of ill health.
        if endpoint.load.as_ref().is_none_or(|load| load.accepts) {
            endpoint.health.failed(is_lost, now);
        }
    }

    /// The endpoint refused a request as full: it is spared for a while, as its load is not known
    /// better than by reports that said otherwise.
    pub fn refused(&mut self, key: EndpointKey, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.full_until = now + FULL_FOR;
        }
    }
}
