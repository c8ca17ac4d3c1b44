//! One endpoint as an entry sees it: what the platform's list and its agent say of it, and how the
//! requests that went there have ended.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::ejection::Ejection;
use super::shares::ColdStartPacer;
use super::shares::RecentSends;
use crate::arena::Key;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::time::Time;

/// A load report older than this says nothing of the present load. Agents report every 100 ms; three
/// lost in a row are rare.
const REPORT_TTL: Duration = Duration::from_millis(400);

/// The same for endpoints of other regions, which report half as often.
const FAR_REPORT_TTL: Duration = Duration::from_millis(800);

/// Requests beyond its slots that an endpoint may hold. Under lasting overload every queue is full, so the
/// last place decides when all requests start. What has no place is refused at once.
pub const MAX_QUEUED_REQUESTS: u32 = 2;

/// Part of an engine's slots that late requests leave to others, beside the places in the queue. While all
/// engines are full nothing late is sent; with part of the fleet free it still is.
const LATE_RESERVED_SHARE: f64 = 0.375;

/// How long an endpoint that refused as full is spared: about until its next report.
const FULL_BACKOFF: Duration = Duration::from_millis(120);

/// How long an endpoint is spared that said a request was meant for another process: about half the
/// interval at which endpoints renew their entry in the platform's list.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(600);

/// Time in which an engine reads a prompt of usual length beside the streams that it writes.
///
/// Between two reports all entries see an engine that has become free as the least loaded one and would
/// flood it; while it reads their prompts, all its streams pause. So what an entry sent lately counts, once
/// for each entry, and an engine gets about one request in this time from all of them together.
const PREFILL_TIME: Duration = Duration::from_millis(50);

/// Usual time until a place of an endpoint frees.
const SLOT_RELEASE_INTERVAL: Duration = Duration::from_millis(70);

/// Round trip to an agent from which on its endpoint gets nothing: its link is so full that answers
/// would be late and callers' leaving would reach the endpoint only after their requests have run.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(250);

/// Age of the last ask that an agent has answered from which on its link counts as full, too: asks go
/// out every 300 ms, and one may be lost.
const REPORT_REQUEST_TTL: Duration = Duration::from_millis(800);

/// The same for endpoints of other regions, which are asked half as often.
const FAR_REPORT_REQUEST_TTL: Duration = Duration::from_millis(1_600);

/// Names an endpoint while it is on the roster.
pub type EndpointKey = Key<Endpoint>;

/// What the platform's list says of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
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
    pub cold_remaining: Duration,
    /// The version of each model of which it holds all layers.
    pub weights: Vec<(SmolStr, u64)>,
    /// Whether it runs a model, so that it serves only with weights.
    pub is_engine: bool,
    /// When it started, in milliseconds of the Unix epoch; 0 if it does not say.
    pub started_ms: u64,
}

/// What an agent says of the endpoint beside it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that the endpoint works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Whether it takes new requests, i.e. is not about to load other weights.
    pub is_accepting: bool,
    /// The version of each model of which it holds all layers.
    pub weights: Vec<(SmolStr, u64)>,
    /// Time until it serves the newest version, if it does not serve yet and that is known.
    pub ready_in: Option<Duration>,
    /// When it started, in milliseconds of the Unix epoch.
    pub started_ms: u64,
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
pub(super) struct ReportTiming {
    /// When it came.
    pub(super) received_at: Time,
    /// When the ask was sent that it answers.
    pub(super) requested_at: Time,
    /// Time there and back.
    pub(super) round_trip: Duration,
    /// Whether it crossed a border of regions.
    pub(super) is_far: bool,
}

#[derive(Clone, Debug)]
struct Load {
    other_requests: u32,
    /// Requests that this entry may still send on the strength of this report.
    credits: u32,
    is_accepting: bool,
    readers: u32,
    ready_at: Option<Time>,
    timing: ReportTiming,
}

impl Load {
    /// Whether the report still says something of the present load.
    fn is_fresh(&self, now: Time) -> bool {
        let ttl = if self.timing.is_far { FAR_REPORT_TTL } else { REPORT_TTL };
        !now.passed(self.timing.received_at, ttl)
    }

    /// Whether the agent has lately answered an ask.
    fn is_answering(&self, now: Time) -> bool {
        let ttl = if self.timing.is_far { FAR_REPORT_REQUEST_TTL } else { REPORT_REQUEST_TTL };
        !now.passed(self.timing.requested_at, ttl)
    }
}

/// An endpoint of the roster.
#[derive(Clone, Debug)]
pub struct Endpoint {
    record: EndpointRecord,
    region: RegionName,
    /// A fixed random number for the pair of this entry and the endpoint.
    affinity: u64,
    /// Whether this entry sends requests there and is sent its load reports.
    is_in_subset: bool,
    /// Whether a later process listens at its address.
    is_superseded: bool,
    cold_until: Time,
    load: Option<Load>,
    /// Requests of this entry that are there now.
    in_flight: u32,
    pacer: ColdStartPacer,
    recent_sends: RecentSends,
    ejection: Ejection,
    backoff_until: Time,
}

impl Endpoint {
    /// An endpoint of which only the list is known.
    pub(super) fn new(
        record: EndpointRecord,
        region: RegionName,
        affinity: u64,
        now: Time,
    ) -> Endpoint {
        Endpoint {
            affinity,
            is_in_subset: true,
            is_superseded: false,
            cold_until: now + record.cold_remaining,
            record,
            region,
            load: None,
            in_flight: 0,
            pacer: ColdStartPacer::default(),
            recent_sends: RecentSends::default(),
            ejection: Ejection::default(),
            backoff_until: Time::ZERO,
        }
    }

    /// What the list says of it.
    pub(super) fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// What the list would say of it now, with the cold time that is left.
    pub(super) fn current_record(&self, now: Time) -> EndpointRecord {
        EndpointRecord { cold_remaining: self.cold_until.since(now), ..self.record.clone() }
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
    pub(super) fn is_in_subset(&self) -> bool {
        self.is_in_subset
    }

    /// Sets whether this entry sends requests there.
    pub(super) fn set_in_subset(&mut self, is_in_subset: bool) {
        self.is_in_subset = is_in_subset;
    }

    /// Whether an entry of the list is of the same process.
    pub(super) fn is_same_process(&self, record: &EndpointRecord) -> bool {
        self.record.started_ms == record.started_ms
            && self.record.address == record.address
            && self.record.service == record.service
    }

    /// Takes in a later entry of the same process.
    pub(super) fn update(&mut self, record: EndpointRecord, now: Time) {
        self.cold_until = now + record.cold_remaining;
        let weights = std::mem::take(&mut self.record.weights);
        // Nobody who leaves stays after all: whatever says so would bring requests to an endpoint that is
        // about to stop.
        let is_draining = self.record.is_draining || record.is_draining;
        self.record = EndpointRecord { is_draining, ..record };
        // The list lags: an endpoint that has lost power is still shown with its weights for a heartbeat,
        // and requests sent there come back refused.
        if self.load.as_ref().is_some_and(|load| load.is_fresh(now)) {
            self.record.weights = weights;
        }
    }

    /// Whether a process that started at `born` is another one than this.
    pub(super) fn is_other_process(&self, started_ms: u64) -> bool {
        started_ms != 0 && self.record.started_ms != 0 && self.record.started_ms != started_ms
    }

    /// A process that started at `born` listens at its address. One that started later has taken its place.
    ///
    /// The platform's list shows a process that has crashed for seconds beside the one that follows it.
    pub(super) fn observe_process(&mut self, started_ms: u64) {
        self.is_superseded |=
            self.is_other_process(started_ms) && started_ms > self.record.started_ms;
    }

    /// Whether a later process listens at its address.
    pub(super) fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Its agent reported. Of the free places this entry may take `part`, and one more with the
    /// probability of what is left over, as `draw` from 0 to 1 decides.
    pub(super) fn apply_report(
        &mut self,
        report: &LoadReport,
        timing: ReportTiming,
        share: f64,
        draw: f64,
    ) {
        let total = report.running + report.waiting;
        let free = (self.record.slots + MAX_QUEUED_REQUESTS).saturating_sub(total);
        self.load = Some(Load {
            other_requests: total.saturating_sub(self.in_flight),
            credits: (f64::from(free) * share + draw).floor() as u32,
            is_accepting: report.is_accepting,
            readers: report.readers.max(1),
            ready_at: report.ready_in.map(|ready_in| timing.received_at + ready_in),
            timing,
        });
        self.record.weights.clone_from(&report.weights);
    }

    /// Requests that it may hold when one more is sent.
    fn capacity(&self, is_late: bool) -> u32 {
        let slots = self.record.slots;
        if is_late && self.record.is_engine {
            return slots - (f64::from(slots) * LATE_RESERVED_SHARE) as u32;
        }
        slots + MAX_QUEUED_REQUESTS
    }

    /// Whether nothing speaks against sending it a request: no lost answers, no full link, and an
    /// agent that reports if it ever did.
    pub(super) fn is_available(&self, now: Time) -> bool {
        let is_reachable = self.load.as_ref().is_none_or(|load| {
            load.is_fresh(now) && load.is_answering(now) && load.timing.round_trip < MAX_ROUND_TRIP
        });
        is_reachable && self.ejection.is_available(self.in_flight, now)
    }

    /// Whether its agent says, now, that it holds a version of a model.
    pub(super) fn holds_version(&self, model: &str, version: u64, now: Time) -> bool {
        let is_fresh = self.load.as_ref().is_some_and(|load| load.is_fresh(now));
        let mut weights = self.record.weights.iter();
        is_fresh && weights.any(|(name, held)| name == model && *held == version)
    }

    /// Time until it serves, if it does not serve yet and its agent knows.
    pub(super) fn ready_in(&self, now: Time) -> Option<Duration> {
        let load = self.load.as_ref().filter(|load| load.is_fresh(now))?;
        Some(load.ready_at?.since(now))
    }

    /// Whether it is warm, or it is this entry's turn to send it a request; `rate` is what a cold one
    /// bears a second from all `entries`.
    pub(super) fn admits_while_cold(
        &mut self,
        rate: f64,
        entries: u32,
        draw: f64,
        now: Time,
    ) -> bool {
        let is_cold = self.cold_until > now && rate > 0.0;
        !is_cold || self.pacer.may_send(rate, entries, draw, now)
    }

    /// How long it stays cold, if it is.
    pub(super) fn cold_remaining(&self, now: Time) -> Option<Duration> {
        (self.cold_until > now).then(|| self.cold_until.since(now))
    }

    /// Its load in requests; `None` while it is full. The other entries are taken to send there as often
    /// as this one.
    pub(super) fn load(&mut self, entries: u32, is_late: bool, now: Time) -> Option<f64> {
        if self.backoff_until > now {
            return None;
        }
        let load = self.load.as_ref().filter(|load| load.is_fresh(now));
        let entries = load.map_or(entries, |load| load.readers);
        if load.is_some_and(|load| !load.is_accepting || load.credits == 0) {
            return None;
        }
        let busy = match load {
            Some(load) => load.other_requests + self.in_flight,
            None => self.in_flight * entries.div_ceil(2),
        };
        if busy >= self.capacity(is_late) {
            return None;
        }
        // What waits on a slow link is as late as what waits in a queue.
        let delay_in_requests =
            load.map_or(0.0, |load| load.timing.round_trip.div_duration_f64(SLOT_RELEASE_INTERVAL));
        Some(f64::from(busy) + delay_in_requests + self.prefilling_requests(entries, now))
    }

    /// Requests of all entries that an engine is taken to be reading now.
    fn prefilling_requests(&mut self, entries: u32, now: Time) -> f64 {
        if !self.record.is_engine {
            return 0.0;
        }
        self.recent_sends.count(PREFILL_TIME * entries, now) as f64 * f64::from(entries)
    }

    /// A request goes there.
    pub(super) fn record_sent(&mut self, now: Time) {
        self.in_flight += 1;
        if let Some(load) = &mut self.load {
            load.credits = load.credits.saturating_sub(1);
        }
        if self.cold_until > now {
            self.pacer.record_sent(now);
        } else {
            // The next cold spell draws its turns anew.
            self.pacer = ColdStartPacer::default();
        }
        self.recent_sends.record_sent(now);
    }

    /// A request has left it.
    pub(super) fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// It answered well.
    pub(super) fn record_success(&mut self) {
        self.ejection = Ejection::default();
    }

    /// It failed a request, without an answer if `is_lost`.
    pub(super) fn record_failure(&mut self, is_lost: bool, now: Time) {
        // An endpoint that is about to load cuts off what runs; that is no sign of ill health.
        if self.load.as_ref().is_none_or(|load| load.is_accepting) {
            self.ejection.record_failure(is_lost, now);
        }
    }

    /// It refused a request as full, whatever its reports say.
    pub(super) fn record_refusal(&mut self, now: Time) {
        self.backoff_until = now + FULL_BACKOFF;
    }

    /// It said that a request was meant for another process or for other weights.
    pub(super) fn record_misdirected(&mut self, now: Time) {
        self.backoff_until = now + MISDIRECTED_BACKOFF;
    }

    /// All that is known of it now.
    pub(super) fn dump(&self, now: Time) -> serde_json::Value {
        let load = self.load.as_ref();
        serde_json::json!({
            "id": self.record.id,
            "service": self.record.service,
            "zone": self.record.zone,
            "draining": self.record.is_draining,
            "superseded": self.is_superseded,
            "weights": self.record.weights,
            "own": self.in_flight,
            "others": load.map(|load| load.other_requests),
            "report_age_ms": load.map(|load| now.since(load.timing.received_at).as_millis() as u64),
            "rests": self.ejection.is_ejected(now),
        })
    }
}
