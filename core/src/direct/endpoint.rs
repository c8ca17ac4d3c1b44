//! State of one endpoint as an entry sees it, from the platform's list, the load reports of its
//! agent and the outcomes of this entry's requests.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::cold_turns::ColdTurns;
use super::ejection::Ejection;
use super::pace::Pace;
use super::priority::Reservation;
use super::request_limit::RequestLimit;
use super::request_limit::Schedule;
use super::shares::RecentSends;
use super::work::RequestWork;
use crate::arena::Key;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::StorePosition;
use crate::ids::ZoneName;
use crate::time::Time;

/// Age up to which a load report describes the present load. Agents report every 100 ms, and losing
/// three reports in a row is rare.
const REPORT_TTL: Duration = Duration::from_millis(400);

/// [`REPORT_TTL`] for endpoints of other regions, which report half as often.
const FAR_REPORT_TTL: Duration = Duration::from_millis(800);

/// Requests that an endpoint may hold beyond its slots. Under lasting overload every queue is full,
/// so the last place in it determines when all requests start. Requests that find no place are
/// refused at once.
pub const MAX_QUEUED_REQUESTS: u32 = 2;

/// Fraction of an engine's slots that late requests leave free, in addition to the places in its
/// queue. While all engines are full no late request is sent; with part of the fleet free it still
/// is.
const LATE_RESERVED_SHARE: f64 = 0.375;

/// Backoff after an endpoint refused a request as full: about the time until its next report.
const FULL_BACKOFF: Duration = Duration::from_millis(120);

/// Time over which the returns of entries are spread after a pause that an endpoint has asked for, as a fraction of
/// the pause, and at most.
const PAUSE_SPREAD_SHARE: f64 = 0.25;
const MAX_PAUSE_SPREAD: Duration = Duration::from_secs(1);

/// Backoff after an endpoint answered that a request was meant for another process: about half the
/// interval at which endpoints renew their record in the platform's list.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(600);

/// Time in which an engine reads a prompt of usual length while it writes its streams.
///
/// Between two reports all entries see an engine that has become free as the least loaded one and
/// would flood it with prompts, and all its streams pause while it reads them. Each recent request
/// of this entry is therefore counted once for every entry, which limits all entries together to
/// about one request for an engine in this time.
const PREFILL_TIME: Duration = Duration::from_millis(50);

/// Usual time until an endpoint at capacity frees a place.
const SLOT_RELEASE_INTERVAL: Duration = Duration::from_millis(70);

/// Round trip to an agent from which on its endpoint is sent nothing. The link is then so full that
/// answers would be late and cancellations by callers would reach the endpoint only after their
/// requests have run.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(250);

/// Age of the latest answered report request from which on the link to an agent counts as full,
/// too. Report requests are sent every 300 ms, and one may be lost.
const REPORT_REQUEST_TTL: Duration = Duration::from_millis(800);

/// [`REPORT_REQUEST_TTL`] for endpoints of other regions, whose agents are asked half as often.
const FAR_REPORT_REQUEST_TTL: Duration = Duration::from_millis(1_600);

/// Key of an endpoint, valid while the endpoint is in the table.
pub type EndpointKey = Key<Endpoint>;

/// Record of an endpoint in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Id of this incarnation of the endpoint.
    pub id: SmolStr,
    /// Store revision of the last change. Of two records that differ, the one with the higher
    /// revision holds.
    pub revision: StorePosition,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address on which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint is about to stop and accepts no new requests.
    pub is_draining: bool,
    /// Remaining time during which the endpoint is cold and its request rate limited.
    pub cold_remaining: Duration,
    /// Version of each model of which the endpoint holds all layers.
    pub weights: Vec<(SmolStr, u64)>,
    /// Whether the endpoint runs a model and therefore serves only with weights.
    pub is_engine: bool,
    /// Start time of the process in milliseconds of the Unix epoch; 0 if the list does not give it.
    pub started_ms: u64,
}

/// Load of an endpoint, as reported by the agent beside it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that the endpoint is processing.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Whether the endpoint accepts new requests; false when it is about to load other weights.
    pub is_accepting: bool,
    /// Version of each model of which the endpoint holds all layers.
    pub weights: Vec<(SmolStr, u64)>,
    /// Time until the endpoint serves the newest version; `None` if it serves already or the time
    /// is unknown.
    pub ready_in: Option<Duration>,
    /// Start time of the process, in milliseconds of the Unix epoch.
    pub started_ms: u64,
    /// Entries that have recently asked this agent for reports or announced themselves.
    pub entries: u32,
    /// Those of `entries` that are sent the reports and so share the endpoint's free places.
    pub readers: u32,
    /// Whether the agent has listened long enough for `entries` to include every entry.
    pub is_count_complete: bool,
    /// The entry that the other entries of the agent's region follow.
    pub relay: Option<IpAddr>,
    /// The entry that watches the store for all regions.
    pub root: Option<IpAddr>,
}

/// Timing and origin of a load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportTiming {
    /// When the report arrived.
    pub(super) received_at: Time,
    /// When the request that it answers was sent.
    pub(super) requested_at: Time,
    /// Round trip time of the request and its answer.
    pub(super) round_trip: Duration,
    /// Whether the report comes from another region.
    pub(super) is_far: bool,
}

#[derive(Clone, Debug)]
struct Load {
    other_requests: u32,
    /// Free places in the report.
    free: u32,
    /// Fraction of the free places that this entry may take.
    share: f64,
    /// Number from 0 to 1 that decides whether this entry gets a place where there are too few.
    draw: f64,
    /// Requests that this entry has sent since the report.
    sent: u32,
    is_accepting: bool,
    readers: u32,
    ready_at: Option<Time>,
    timing: ReportTiming,
}

impl Load {
    /// Requests that this entry may still send on the basis of this report if they leave `reserved`
    /// places free.
    fn credits(&self, reserved: u32) -> u32 {
        let free = f64::from(self.free.saturating_sub(reserved));
        ((free * self.share + self.draw).floor() as u32).saturating_sub(self.sent)
    }

    /// Whether the report still describes the present load.
    fn is_fresh(&self, now: Time) -> bool {
        let ttl = if self.timing.is_far { FAR_REPORT_TTL } else { REPORT_TTL };
        !now.passed(self.timing.received_at, ttl)
    }

    /// Whether the agent has answered a recent report request.
    fn is_answering(&self, now: Time) -> bool {
        let ttl = if self.timing.is_far { FAR_REPORT_REQUEST_TTL } else { REPORT_REQUEST_TTL };
        !now.passed(self.timing.requested_at, ttl)
    }
}

/// An endpoint in the table of an entry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    record: EndpointRecord,
    region: RegionName,
    /// Fixed pseudo-random number of the pair of this entry and the endpoint, by which entries
    /// choose different subsets.
    affinity: u64,
    /// Whether this entry sends requests to the endpoint and is sent its load reports.
    is_in_subset: bool,
    /// Whether a process that started later listens at the same address.
    is_superseded: bool,
    cold_until: Time,
    load: Option<Load>,
    /// Requests of this entry that the endpoint has not finished.
    in_flight: u32,
    cold_turns: ColdTurns,
    request_limit: RequestLimit,
    recent_sends: RecentSends,
    pace: Pace,
    /// Until when the endpoint reads a long prompt of this entry.
    long_prompt_until: Time,
    ejection: Ejection,
    backoff_until: Time,
    /// End of the pause that the endpoint has asked for.
    paused_until: Time,
}

impl Endpoint {
    /// An endpoint known only from the platform's list.
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
            cold_turns: ColdTurns::default(),
            request_limit: RequestLimit::default(),
            recent_sends: RecentSends::default(),
            pace: Pace::default(),
            long_prompt_until: Time::ZERO,
            ejection: Ejection::default(),
            backoff_until: Time::ZERO,
            paused_until: Time::ZERO,
        }
    }

    /// The latest record, with the weights of the latest report where that is more recent.
    pub(super) fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// The record with the cold time that remains at `now`.
    pub(super) fn current_record(&self, now: Time) -> EndpointRecord {
        EndpointRecord { cold_remaining: self.cold_until.since(now), ..self.record.clone() }
    }

    pub(super) fn region(&self) -> &RegionName {
        &self.region
    }

    pub(super) fn affinity(&self) -> u64 {
        self.affinity
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn is_in_subset(&self) -> bool {
        self.is_in_subset
    }

    pub(super) fn set_in_subset(&mut self, is_in_subset: bool) {
        self.is_in_subset = is_in_subset;
    }

    /// Whether a record belongs to the same process.
    pub(super) fn is_same_process(&self, record: &EndpointRecord) -> bool {
        self.record.started_ms == record.started_ms
            && self.record.address == record.address
            && self.record.service == record.service
    }

    /// Applies a later record of the same process.
    pub(super) fn update(&mut self, record: EndpointRecord, now: Time) {
        self.cold_until = now + record.cold_remaining;
        let weights = std::mem::take(&mut self.record.weights);
        // Draining is never undone: a stale record would send requests to an endpoint that is about
        // to stop.
        let is_draining = self.record.is_draining || record.is_draining;
        self.record = EndpointRecord { is_draining, ..record };
        // The list lags: for one heartbeat it still shows an endpoint that lost power with its
        // weights, and requests sent there are refused.
        if self.load.as_ref().is_some_and(|load| load.is_fresh(now)) {
            self.record.weights = weights;
        }
    }

    /// Whether a process that started at `started_ms` is known to be a different one.
    pub(super) fn is_other_process(&self, started_ms: u64) -> bool {
        started_ms != 0 && self.record.started_ms != 0 && self.record.started_ms != started_ms
    }

    /// Notes that a process that started at `started_ms` listens at the address. If it started
    /// later, it has replaced this process.
    ///
    /// For seconds the platform's list shows a crashed process beside its successor.
    pub(super) fn observe_process(&mut self, started_ms: u64) {
        self.is_superseded |=
            self.is_other_process(started_ms) && started_ms > self.record.started_ms;
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Applies a load report. This entry may take `share` of the free places, and one more with a
    /// probability equal to the fraction left over, as `draw` from 0 to 1 decides.
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
            free,
            share,
            draw,
            sent: 0,
            is_accepting: report.is_accepting,
            readers: report.readers.max(1),
            ready_at: report.ready_in.map(|ready_in| timing.received_at + ready_in),
            timing,
        });
        self.record.weights.clone_from(&report.weights);
    }

    /// Requests that the endpoint may hold, including the one to be sent, if it leaves `reserved`
    /// places free.
    fn capacity(&self, is_late: bool, reserved: u32) -> u32 {
        let slots = self.record.slots;
        let unreserved = (slots + MAX_QUEUED_REQUESTS).saturating_sub(reserved);
        if is_late && self.record.is_engine {
            return unreserved.min(slots - (f64::from(slots) * LATE_RESERVED_SHARE) as u32);
        }
        unreserved
    }

    /// Whether the endpoint is fit for requests: it is not ejected, its link is not full, and its
    /// agent still reports if it ever did.
    pub(super) fn is_available(&self, now: Time) -> bool {
        let is_reachable = self.load.as_ref().is_none_or(|load| {
            load.is_fresh(now) && load.is_answering(now) && load.timing.round_trip < MAX_ROUND_TRIP
        });
        is_reachable && self.ejection.is_available(self.in_flight, now)
    }

    /// Time since the latest load report; `None` if there is none.
    pub(super) fn report_age(&self, now: Time) -> Option<Duration> {
        self.load.as_ref().map(|load| now.since(load.timing.received_at))
    }

    /// Whether a fresh report says that the endpoint holds `version` of `model`.
    pub(super) fn holds_version(&self, model: &str, version: u64, now: Time) -> bool {
        let is_fresh = self.load.as_ref().is_some_and(|load| load.is_fresh(now));
        let mut weights = self.record.weights.iter();
        is_fresh && weights.any(|(name, held)| name == model && *held == version)
    }

    /// Time until the endpoint serves; `None` if it serves already or no fresh report gives the time.
    pub(super) fn ready_in(&self, now: Time) -> Option<Duration> {
        let load = self.load.as_ref().filter(|load| load.is_fresh(now))?;
        Some(load.ready_at?.since(now))
    }

    /// Whether the endpoint is warm or this entry's turn to send to it has come. `rate` is the
    /// number of requests per second that a cold endpoint can handle from all `entries` together.
    pub(super) fn admits_while_cold(
        &mut self,
        rate: f64,
        entries: u32,
        draw: f64,
        now: Time,
    ) -> bool {
        let is_cold = self.cold_until > now && rate > 0.0;
        !is_cold || self.cold_turns.may_send(rate, entries, draw, now)
    }

    /// Records this entry's place in the agent's schedule for the cold endpoint.
    pub(super) fn record_cold_schedule(&mut self, schedule: Schedule, now: Time) {
        self.cold_turns.record_schedule(schedule, now);
    }

    /// Remaining cold time; `None` if the endpoint is warm.
    pub(super) fn cold_remaining(&self, now: Time) -> Option<Duration> {
        (self.cold_until > now).then(|| self.cold_until.since(now))
    }

    /// Load in requests; `None` while the endpoint is full. Without a fresh report, the other
    /// entries are assumed to send as often as this one.
    pub(super) fn load(
        &mut self,
        entries: u32,
        is_late: bool,
        reservation: Reservation,
        now: Time,
    ) -> Option<f64> {
        if self.backoff_until > now {
            return None;
        }
        let load = self.load.as_ref().filter(|load| load.is_fresh(now));
        let entries = load.map_or(entries, |load| load.readers);
        let EndpointRecord { slots, is_engine, .. } = self.record;
        let reserved = reservation.places(slots, MAX_QUEUED_REQUESTS, is_engine);
        if load.is_some_and(|load| !load.is_accepting || load.credits(reserved) == 0) {
            return None;
        }
        let busy = match load {
            Some(load) => load.other_requests + self.in_flight,
            None => self.in_flight * entries.div_ceil(2),
        };
        if busy >= self.capacity(is_late, reserved) {
            return None;
        }
        // A request delayed by a slow link is as late as one that waits in a queue.
        let delay_in_requests =
            load.map_or(0.0, |load| load.timing.round_trip.div_duration_f64(SLOT_RELEASE_INTERVAL));
        Some(f64::from(busy) + delay_in_requests + self.prefilling_requests(entries, now))
    }

    /// What the pace adds to a load, in requests: the load and the request to be sent take longer, and
    /// so does its first event. Zero at a pace of 1.
    pub(super) fn slowness_in_requests(
        &self,
        load: f64,
        work: Option<&RequestWork>,
        now: Time,
    ) -> f64 {
        let excess = self.pace(now) - 1.0;
        let first_event = work.map_or(PREFILL_TIME, |work| self.usual_first_event(work));
        (load + 1.0 + first_event.div_duration_f64(SLOT_RELEASE_INTERVAL)) * excess
    }

    /// Expected time until the first event of a request at a pace of 1.
    fn usual_first_event(&self, work: &RequestWork) -> Duration {
        let others = self.load.as_ref().map_or(0, |load| load.other_requests);
        let requests = others + self.in_flight;
        let queued = (requests + 1).saturating_sub(self.record.slots);
        let writing = requests.min(self.record.slots);
        work.first_event(f64::from(writing)) + SLOT_RELEASE_INTERVAL * queued
    }

    /// Expected time until the first event of a request that is sent now.
    pub(super) fn expected_first_event(&self, work: &RequestWork, now: Time) -> Duration {
        self.usual_first_event(work).mul_f64(self.pace(now))
    }

    /// Whether a request is better sent elsewhere: its first event is expected too late, or another
    /// long prompt would be read beside its own.
    pub(super) fn is_unfit_for(&self, work: &RequestWork, now: Time) -> bool {
        let is_late = now + self.expected_first_event(work, now) > work.in_time_until;
        self.record.is_engine && (is_late || work.is_long() && now < self.long_prompt_until)
    }

    /// Factor by which the endpoint is slower than its configured rates, at least 1.
    pub(super) fn pace(&self, now: Time) -> f64 {
        self.pace.factor(now)
    }

    /// The observations of the endpoint's pace.
    pub(super) fn pace_mut(&mut self) -> &mut Pace {
        &mut self.pace
    }

    /// The latest recent answer, as time over expected time.
    pub(super) fn last_answer(&self, now: Time) -> Option<f64> {
        self.pace.last_answer(now)
    }

    /// Records the pace that the endpoint's agent has reported.
    pub(super) fn record_reported_pace(&mut self, pace: f64, now: Time) {
        self.pace.record_report(pace, now);
    }

    /// Estimated requests of all entries whose prompts an engine is reading now.
    fn prefilling_requests(&mut self, entries: u32, now: Time) -> f64 {
        if !self.record.is_engine {
            return 0.0;
        }
        self.recent_sends.total(PREFILL_TIME * entries, now) * f64::from(entries)
    }

    /// Records that a request is sent to the endpoint; `work` is `None` if it counts as a usual one. Returns
    /// whether it used a slot of the agent's schedule for a cold endpoint.
    pub(super) fn record_sent(&mut self, work: Option<&RequestWork>, now: Time) -> bool {
        if let Some(work) = work.filter(|work| work.is_long()) {
            self.long_prompt_until = now + work.reading_time().mul_f64(self.pace(now));
        }
        self.in_flight += 1;
        if let Some(load) = &mut self.load {
            load.sent += 1;
        }
        let is_cold = self.cold_until > now;
        let has_used_slot = is_cold && self.cold_turns.record_sent(now);
        if !is_cold {
            self.cold_turns.reset();
        }
        self.request_limit.record_sent(now);
        self.recent_sends.record_sent(work.map_or(1.0, RequestWork::reading_weight), now);
        has_used_slot
    }

    /// Records that a request has left the endpoint.
    pub(super) fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a good answer, which ends an ejection.
    pub(super) fn record_success(&mut self) {
        self.ejection = Ejection::default();
    }

    /// Records a failed request; `is_lost` if no answer came.
    pub(super) fn record_failure(&mut self, is_lost: bool, now: Time) {
        // An endpoint that is about to load weights cuts off running requests; that is no sign of a
        // fault.
        if self.load.as_ref().is_none_or(|load| load.is_accepting) {
            self.ejection.record_failure(is_lost, now);
        }
    }

    /// Records that the endpoint refused a request as full. This outweighs its reports.
    pub(super) fn record_refusal(&mut self, now: Time) {
        self.backoff_until = now + FULL_BACKOFF;
    }

    /// Records an answer that a request was meant for another process or for other weights.
    pub(super) fn record_misdirected(&mut self, now: Time) {
        self.backoff_until = now + MISDIRECTED_BACKOFF;
    }

    /// Records that the endpoint is about to stop. Returns whether that is new.
    pub(super) fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.record.is_draining, true)
    }

    /// Records that the endpoint wants nothing from this entry for `pause`. Of several pauses the
    /// one that ends last holds. Returns whether there was none.
    ///
    /// An endpoint in need asks all entries at about the same time; `draw` from 0 to 1 spreads their
    /// return.
    pub(super) fn record_pause(&mut self, pause: Duration, draw: f64, now: Time) -> bool {
        let is_new = self.paused_until <= now;
        let spread = (pause.mul_f64(PAUSE_SPREAD_SHARE)).min(MAX_PAUSE_SPREAD);
        self.paused_until = self.paused_until.max(now + pause + spread.mul_f64(draw));
        is_new
    }

    /// Time until the pause ends that the endpoint has asked for; `None` without one.
    pub(super) fn pause_remaining(&self, now: Time) -> Option<Duration> {
        (self.paused_until > now).then(|| self.paused_until.since(now))
    }

    pub(super) fn request_limit(&self) -> &RequestLimit {
        &self.request_limit
    }

    pub(super) fn request_limit_mut(&mut self) -> &mut RequestLimit {
        &mut self.request_limit
    }

    /// The present state as JSON, for the dump of an entry.
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
            "report_age_ms": self.report_age(now).map(|age| age.as_millis() as u64),
            "pace": self.pace(now),
            "paused_ms": self.paused_until.since(now).as_millis() as u64,
            "requests_per_second": self.request_limit.per_second(),
            "rests": self.ejection.is_ejected(now),
        })
    }
}
