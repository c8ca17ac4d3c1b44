//! One endpoint as an entry sees it: what the platform's list and its agent say of it, and how the
//! requests that went there have ended.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::health::Health;
use super::shares::ColdTurns;
use super::shares::RecentSends;
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

/// Requests beyond its slots that an endpoint may hold. Under lasting overload every queue is full, so the
/// last place decides when all requests start. What has no place is refused at once.
pub const QUEUE_PLACES: u32 = 2;

/// Part of an engine's slots that late requests leave to others, beside the places in the queue. While all
/// engines are full nothing late is sent; with part of the fleet free it still is.
const KEPT_FROM_LATE: f64 = 0.375;

/// How long an endpoint that refused as full is spared: about until its next report.
const FULL_FOR: Duration = Duration::from_millis(120);

/// How long an endpoint is spared that said a request was meant for another process: about half the
/// interval at which endpoints renew their entry in the platform's list.
const MISDIRECTED_FOR: Duration = Duration::from_millis(600);

/// Time in which an engine reads a prompt of usual length beside the streams that it writes.
///
/// Between two reports all entries see an engine that has become free as the least loaded one and would
/// flood it; while it reads their prompts, all its streams pause. So what an entry sent lately counts, once
/// for each entry, and an engine gets about one request in this time from all of them together.
const READ_TIME: Duration = Duration::from_millis(50);

/// Usual time until a place of an endpoint frees.
const PLACE_FREES: Duration = Duration::from_millis(70);

/// Round trip to an agent from which on its endpoint gets nothing: its link is so full that answers
/// would be late and callers' leaving would reach the endpoint only after their requests have run.
const SLOW_WAY: Duration = Duration::from_millis(250);

/// Age of the last ask that an agent has answered from which on its link counts as full, too: asks go
/// out every 300 ms, and one may be lost.
const ASK_VALID: Duration = Duration::from_millis(800);

/// The same for endpoints of other regions, which are asked half as often.
const FAR_ASK_VALID: Duration = Duration::from_millis(1_600);

/// Names an endpoint while it is on the roster.
pub type EndpointKey = Key<Endpoint>;

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
    /// Time until it serves the newest version, if it does not serve yet and that is known.
    pub ready_in: Option<Duration>,
    /// When it started, in milliseconds of the Unix epoch.
    pub born: u64,
    /// Entries that have asked this agent or announced themselves lately.
    pub entries: u32,
    /// Those of them that are sent its reports, and so share the endpoint's free places.
    pub readers: u32,
    /// Whether the agent has listened long enough to have heard all entries.
    pub is_count_complete: bool,
    /// The entry that the others of the agent's region follow.
    pub relay: Option<IpAddr>,
    /// The entry that watches the store for all regions.
    pub root: Option<IpAddr>,
}

/// How a report came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    /// When it came.
    pub(super) at: Time,
    /// When the ask was sent that it answers.
    pub(super) asked: Time,
    /// Time there and back.
    pub(super) round_trip: Duration,
    /// Whether it crossed a border of regions.
    pub(super) is_far: bool,
}

#[derive(Clone, Debug)]
struct Load {
    others: u32,
    /// Requests that this entry may still send on the strength of this report.
    places: u32,
    accepts: bool,
    readers: u32,
    ready_at: Option<Time>,
    way: Way,
}

impl Load {
    /// Whether the report still says something of the present load.
    fn is_fresh(&self, now: Time) -> bool {
        let valid = if self.way.is_far { FAR_REPORT_VALID } else { REPORT_VALID };
        !now.passed(self.way.at, valid)
    }

    /// Whether the agent has lately answered an ask.
    fn is_answering(&self, now: Time) -> bool {
        let valid = if self.way.is_far { FAR_ASK_VALID } else { ASK_VALID };
        !now.passed(self.way.asked, valid)
    }
}

/// An endpoint of the roster.
#[derive(Clone, Debug)]
pub struct Endpoint {
    listed: Listed,
    region: RegionName,
    /// A fixed random number for the pair of this entry and the endpoint.
    affinity: u64,
    /// Whether this entry sends requests there and is sent its load reports.
    is_covered: bool,
    /// Whether a later process listens at its address.
    is_superseded: bool,
    cold_until: Time,
    load: Option<Load>,
    /// Requests of this entry that are there now.
    own: u32,
    cold_turns: ColdTurns,
    recent: RecentSends,
    health: Health,
    full_until: Time,
}

impl Endpoint {
    /// An endpoint of which only the list is known.
    pub(super) fn new(listed: Listed, region: RegionName, affinity: u64, now: Time) -> Endpoint {
        Endpoint {
            affinity,
            is_covered: true,
            is_superseded: false,
            cold_until: now + listed.cold_for,
            listed,
            region,
            load: None,
            own: 0,
            cold_turns: ColdTurns::default(),
            recent: RecentSends::default(),
            health: Health::default(),
            full_until: Time::ZERO,
        }
    }

    /// What the list says of it.
    pub(super) fn listed(&self) -> &Listed {
        &self.listed
    }

    /// What the list would say of it now, with the cold time that is left.
    pub(super) fn listed_now(&self, now: Time) -> Listed {
        Listed { cold_for: self.cold_until.since(now), ..self.listed.clone() }
    }

    /// Its region.
    pub(super) fn region(&self) -> &RegionName {
        &self.region
    }

    /// A fixed random number for the pair of this entry and the endpoint.
    pub(super) fn affinity(&self) -> u64 {
        self.affinity
    }

    /// Whether this entry sends requests there and is sent its load reports.
    pub(super) fn is_covered(&self) -> bool {
        self.is_covered
    }

    /// Sets whether this entry sends requests there.
    pub(super) fn set_covered(&mut self, is_covered: bool) {
        self.is_covered = is_covered;
    }

    /// Whether an entry of the list is of the same process.
    pub(super) fn is_same_process(&self, listed: &Listed) -> bool {
        self.listed.born == listed.born
            && self.listed.address == listed.address
            && self.listed.service == listed.service
    }

    /// Takes in a later entry of the same process.
    pub(super) fn update(&mut self, listed: Listed, now: Time) {
        self.cold_until = now + listed.cold_for;
        let weights = std::mem::take(&mut self.listed.weights);
        // Nobody who leaves stays after all: whatever says so would bring requests to an endpoint that is
        // about to stop.
        let is_draining = self.listed.is_draining || listed.is_draining;
        self.listed = Listed { is_draining, ..listed };
        // The list lags: an endpoint that has lost power is still shown with its weights for a heartbeat,
        // and requests sent there come back refused.
        if self.load.as_ref().is_some_and(|load| load.is_fresh(now)) {
            self.listed.weights = weights;
        }
    }

    /// Whether a process that started at `born` is another one than this.
    pub(super) fn is_other_process(&self, born: u64) -> bool {
        born != 0 && self.listed.born != 0 && self.listed.born != born
    }

    /// A process that started at `born` listens at its address. One that started later has taken its place.
    ///
    /// The platform's list shows a process that has crashed for seconds beside the one that follows it.
    pub(super) fn seen_at_address(&mut self, born: u64) {
        self.is_superseded |= self.is_other_process(born) && born > self.listed.born;
    }

    /// Whether a later process listens at its address.
    pub(super) fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Its agent reported. Of the free places this entry may take `part`, and one more with the
    /// probability of what is left over, as `draw` from 0 to 1 decides.
    pub(super) fn reported(&mut self, report: &LoadReport, way: Way, part: f64, draw: f64) {
        let total = report.running + report.waiting;
        let free = (self.listed.slots + QUEUE_PLACES).saturating_sub(total);
        self.load = Some(Load {
            others: total.saturating_sub(self.own),
            places: (f64::from(free) * part + draw).floor() as u32,
            accepts: report.accepts,
            readers: report.readers.max(1),
            ready_at: report.ready_in.map(|ready_in| way.at + ready_in),
            way,
        });
        self.listed.weights.clone_from(&report.weights);
    }

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
    pub(super) fn takes(&self, now: Time) -> bool {
        let is_in_reach = self.load.as_ref().is_none_or(|load| {
            load.is_fresh(now) && load.is_answering(now) && load.way.round_trip < SLOW_WAY
        });
        is_in_reach && self.health.takes(self.own, now)
    }

    /// Whether its agent says, now, that it holds a version of a model.
    pub(super) fn is_holder(&self, model: &str, version: u64, now: Time) -> bool {
        let is_fresh = self.load.as_ref().is_some_and(|load| load.is_fresh(now));
        let mut weights = self.listed.weights.iter();
        is_fresh && weights.any(|(name, held)| name == model && *held == version)
    }

    /// Time until it serves, if it does not serve yet and its agent knows.
    pub(super) fn ready_in(&self, now: Time) -> Option<Duration> {
        let load = self.load.as_ref().filter(|load| load.is_fresh(now))?;
        Some(load.ready_at?.since(now))
    }

    /// Whether it is warm, or it is this entry's turn to send it a request; `rate` is what a cold one
    /// bears a second from all `entries`.
    pub(super) fn may_warm(&mut self, rate: f64, entries: u32, draw: f64, now: Time) -> bool {
        let is_cold = self.cold_until > now && rate > 0.0;
        !is_cold || self.cold_turns.may_send(rate, entries, draw, now)
    }

    /// How long it stays cold, if it is.
    pub(super) fn cold_for(&self, now: Time) -> Option<Duration> {
        (self.cold_until > now).then(|| self.cold_until.since(now))
    }

    /// Its load in requests; `None` while it is full. The other entries are taken to send there as often
    /// as this one.
    pub(super) fn load(&mut self, entries: u32, is_late: bool, now: Time) -> Option<f64> {
        if self.full_until > now {
            return None;
        }
        let load = self.load.as_ref().filter(|load| load.is_fresh(now));
        let entries = load.map_or(entries, |load| load.readers);
        if load.is_some_and(|load| !load.accepts || load.places == 0) {
            return None;
        }
        let busy = match load {
            Some(load) => load.others + self.own,
            None => self.own * entries.div_ceil(2),
        };
        if busy >= self.room(is_late) {
            return None;
        }
        // What waits on a slow link is as late as what waits in a queue.
        let on_the_way = load.map_or(0.0, |load| load.way.round_trip.div_duration_f64(PLACE_FREES));
        Some(f64::from(busy) + on_the_way + self.arrivals(entries, now))
    }

    /// Requests of all entries that an engine is taken to be reading now.
    fn arrivals(&mut self, entries: u32, now: Time) -> f64 {
        if !self.listed.is_engine {
            return 0.0;
        }
        self.recent.count(READ_TIME * entries, now) as f64 * f64::from(entries)
    }

    /// A request goes there.
    pub(super) fn sent(&mut self, now: Time) {
        self.own += 1;
        if let Some(load) = &mut self.load {
            load.places = load.places.saturating_sub(1);
        }
        if self.cold_until > now {
            self.cold_turns.sent(now);
        } else {
            // The next cold spell draws its turns anew.
            self.cold_turns = ColdTurns::default();
        }
        self.recent.sent(now);
    }

    /// A request has left it.
    pub(super) fn left(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// It answered well.
    pub(super) fn succeeded(&mut self) {
        self.health = Health::default();
    }

    /// It failed a request, without an answer if `is_lost`.
    pub(super) fn failed(&mut self, is_lost: bool, now: Time) {
        // An endpoint that is about to load cuts off what runs; that is no sign of ill health.
        if self.load.as_ref().is_none_or(|load| load.accepts) {
            self.health.failed(is_lost, now);
        }
    }

    /// It refused a request as full, whatever its reports say.
    pub(super) fn refused(&mut self, now: Time) {
        self.full_until = now + FULL_FOR;
    }

    /// It said that a request was meant for another process or for other weights.
    pub(super) fn misdirected(&mut self, now: Time) {
        self.full_until = now + MISDIRECTED_FOR;
    }

    /// All that is known of it now.
    pub(super) fn dump(&self, now: Time) -> serde_json::Value {
        let load = self.load.as_ref();
        serde_json::json!({
            "id": self.listed.id,
            "service": self.listed.service,
            "zone": self.listed.zone,
            "draining": self.listed.is_draining,
            "superseded": self.is_superseded,
            "weights": self.listed.weights,
            "own": self.own,
            "others": load.map(|load| load.others),
            "report_age_ms": load.map(|load| now.since(load.way.at).as_millis() as u64),
            "rests": self.health.rests(now),
        })
    }
}
