//! Load reports: entries request them from agents, and agents send them, both in UDP datagrams.
//!
//! An entry sends requests at intervals to the address of each endpoint's host and includes the
//! newest versions. An agent sends its reports to the entries that have requested them recently.
//! Thus neither needs a list of the other side.
//!
//! An entry requests the reports of the endpoints in its region and of a subset in each other
//! region. To all other agents it only announces itself from time to time, so that they can count
//! the entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::catalog::Catalog;
use mastichaven_core::direct::catalog::ModelSetup;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::endpoint_table::Reach;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::pace;
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::replication::time_before;
use mastichaven_core::direct::request_limit::LimitStatement;
use mastichaven_core::direct::request_limit::Schedule;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_core::direct::versions::CurrentWeights;
use mastichaven_core::ids::ServiceName;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use super::state::State;

/// Interval between report requests to an agent. A request that is not answered in time indicates a
/// saturated link, so the interval bounds for how long requests continue to be sent over it.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// One in this many requests, and one in this many reports, goes to another region. If they were
/// rarer, a region whose own endpoints are out of service would route by outdated reports.
pub const FAR_ROUND_INTERVAL: u32 = 2;

/// One in this many rounds announces the entry to agents whose reports it does not request.
const ANNOUNCE_ROUND_INTERVAL: u32 = 5;

/// Number of rounds after the start in which announcements are as frequent as requests, so that
/// agents that start at the same time soon know the number of entries.
const STARTUP_ROUNDS: u32 = 8;

/// Delay before the first notices are sent, and interval until they are sent again.
const NOTICE_DELAY: Duration = Duration::from_millis(20);
const NOTICE_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum length of a datagram in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1_200;

/// A report request from an entry to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportRequest {
    /// When the request was sent, in microseconds of the entry's clock.
    pub sent_us: u64,
    /// The range of versions of each model that the entry accepts.
    pub weights: Vec<CurrentWeights>,
    /// Whether the entry is in another region than the agent.
    pub is_far: bool,
    /// Whether the entry is in the region of the origin of weights.
    pub is_in_origin_region: bool,
    /// Number of entries that share limits, as counted by agents; `None` before the first complete
    /// count.
    pub entries: Option<u32>,
    /// Whether the entry wants load reports. If false, the request only announces the entry.
    pub wants_reports: bool,
    /// State that the entry advertises to potential followers; `None` if it accepts none.
    pub offer: Option<Offer>,
    /// Setup of the agent's service; `None` once the agent has reported the id of this setup.
    pub setup: Option<SetupUpdate>,
}

/// What the sender knows of the request limit of the agent's endpoint. It follows the message itself
/// and is absent in messages of earlier releases, which ignore it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// Start time of the endpoint's process, in milliseconds of the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Requests per second that the endpoint takes from all entries; `None` if it has ended a limit.
    pub per_second: Option<f64>,
    /// Time since the endpoint said so, in milliseconds.
    pub age_ms: u32,
    /// The receiver's place in the agent's schedule; `None` if the agent does not know the number of
    /// entries, and in notices of entries.
    pub schedule: Option<Schedule>,
}

impl LimitNotice {
    /// Holds the place of a notice in a datagram that has only others. No receiver applies it, as it is older than
    /// any clock.
    const ABSENT: LimitNotice =
        LimitNotice { started_ms: 0, per_second: None, age_ms: u32::MAX, schedule: None };

    /// The notice of a statement of the process that started at `started_ms`.
    pub fn new(
        started_ms: u64,
        statement: LimitStatement,
        schedule: Option<Schedule>,
        now: Time,
    ) -> LimitNotice {
        let age_ms = u32::try_from(statement.age(now).as_millis()).unwrap_or(u32::MAX);
        LimitNotice { started_ms, per_second: statement.per_second, age_ms, schedule }
    }

    /// A notice that has a schedule only, for an endpoint without a request limit that may be cold. Earlier releases
    /// ignore it.
    pub fn of_schedule(started_ms: u64, schedule: Schedule) -> LimitNotice {
        LimitNotice { started_ms, schedule: Some(schedule), ..LimitNotice::ABSENT }
    }

    /// The statement, as seen by the receiver; `None` if it is older than the receiver's clock.
    pub fn statement(&self, now: Time) -> Option<LimitStatement> {
        let at = time_before(now, Duration::from_millis(u64::from(self.age_ms)))?;
        Some(LimitStatement { per_second: self.per_second, at })
    }
}

/// Setup of an agent's service, taken from one version of the configuration.
///
/// If agents read the configuration themselves, all of them would query the store after each new
/// version of weights and each restart, and weights and watches would queue behind as many copies
/// of a large configuration on the links between regions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SetupUpdate {
    /// Version of the configuration.
    pub version: u64,
    /// Setup of the service in that configuration.
    pub setup: ModelSetup,
}

/// A report from an agent to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportMessage {
    /// Port of the endpoint; its IP address is that of the sender.
    pub port: u16,
    /// The load report; `None` from an agent without a setup. Such an agent cannot tell whether the
    /// endpoint's weights are complete, so entries rely on the platform's list.
    pub report: Option<LoadReport>,
    /// Timestamp of the latest request that the agent received from the entry, in microseconds of
    /// the entry's clock.
    pub request_sent_us: u64,
    /// Time between the receipt of that request and this report, in microseconds.
    pub held_us: u64,
    /// Id of the agent's setup; 0 if it has none.
    pub setup: u32,
    /// Recently announced versions of the endpoint's model.
    pub announced: Vec<AnnouncedVersion>,
}

/// A version of a model and the time since an agent first saw it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnouncedVersion {
    /// Name of the model.
    pub model: SmolStr,
    /// The announced version.
    pub version: u64,
    /// Milliseconds since the agent first received the version from an entry.
    pub seen_for_ms: u32,
}

/// Ids of the agents' setups by the address of their endpoint.
type SetupIds = Rc<RefCell<HashMap<SocketAddr, u32>>>;

/// A received datagram.
#[derive(Clone, Debug)]
pub struct Datagram<T> {
    /// The message.
    pub msg: T,
    /// What follows the message.
    pub attachments: Attachments,
    /// Address of the sender.
    pub from: SocketAddr,
}

/// Receives the next datagram; `None` if it cannot be decoded.
pub async fn receive<T: DeserializeOwned>(socket: &UdpSocket) -> Option<Datagram<T>> {
    let mut buf = [0; MAX_DATAGRAM_LEN];
    loop {
        // An unreachable host is reported as an error of the next receive.
        if let Ok((len, from)) = socket.recv_from(&mut buf).await {
            let (msg, attachments) = decode(&buf[..len])?;
            return Some(Datagram { msg, attachments, from });
        }
    }
}

/// What follows the message in a datagram. Earlier releases ignore it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attachments {
    /// What the sender knows of the endpoint's request limit.
    pub limit: Option<LimitNotice>,
    /// Notices of any kind.
    pub notices: Vec<Notice>,
}

/// Decodes a message and what follows it; `None` if it is not such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, Attachments)> {
    let (msg, rest) = postcard::take_from_bytes(bytes).ok()?;
    let mut attachments = Attachments::default();
    if let Ok((limit, mut rest)) = postcard::take_from_bytes(rest) {
        attachments.limit = Some(limit).filter(|limit| *limit != LimitNotice::ABSENT);
        // A later release may add notices that are unknown here.
        while let Ok((notice, after)) = postcard::take_from_bytes(rest) {
            attachments.notices.push(notice);
            rest = after;
        }
    }
    Some((msg, attachments))
}

/// Appends a limit and as many of the notices as fit to an encoded message. Returns it with the number of notices.
pub fn append_attachments<'a>(
    bytes: Vec<u8>,
    limit: Option<LimitNotice>,
    notices: impl Iterator<Item = &'a Notice>,
) -> postcard::Result<(Vec<u8>, usize)> {
    append_within(MAX_DATAGRAM_LEN, bytes, limit, notices)
}

/// Appends a limit, as many of the notices as fit, and the pace of the endpoint. The pace comes last, as an earlier
/// release does not read on after a notice that is unknown to it.
pub fn append_report_attachments(
    bytes: Vec<u8>,
    limit: Option<LimitNotice>,
    notices: &[Notice],
    pace: Option<&Notice>,
) -> postcard::Result<Vec<u8>> {
    let Some(pace) = pace else {
        return Ok(append_attachments(bytes, limit, notices.iter())?.0);
    };
    let pace = postcard::to_stdvec(pace)?;
    let limit = limit.unwrap_or(LimitNotice::ABSENT);
    let max_len = MAX_DATAGRAM_LEN - pace.len();
    let (mut bytes, _) = append_within(max_len, bytes, Some(limit), notices.iter())?;
    if bytes.len() <= max_len {
        bytes.extend(pace);
    }
    Ok(bytes)
}

fn append_within<'a>(
    max_len: usize,
    mut bytes: Vec<u8>,
    limit: Option<LimitNotice>,
    notices: impl Iterator<Item = &'a Notice>,
) -> postcard::Result<(Vec<u8>, usize)> {
    let mut notices = notices.peekable();
    if limit.is_some() || notices.peek().is_some() {
        bytes.extend(postcard::to_stdvec(&limit.unwrap_or(LimitNotice::ABSENT))?);
    }
    let mut count = 0;
    for notice in notices {
        let encoded = postcard::to_stdvec(notice)?;
        if bytes.len() + encoded.len() > max_len {
            break;
        }
        bytes.extend(encoded);
        count += 1;
    }
    Ok((bytes, count))
}

/// Sends report requests and applies the reports until the process ends.
pub async fn run(state: Rc<State>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let setup_ids = SetupIds::default();
    tokio::task::spawn_local(send_requests(state.clone(), socket.clone(), setup_ids.clone()));
    tokio::task::spawn_local(send_notices(state.clone(), socket.clone(), setup_ids.clone()));
    loop {
        let Some(Datagram { msg, attachments, from }) = receive::<ReportMessage>(&socket).await
        else {
            state.metrics.count("reports_unreadable");
            continue;
        };
        let address = SocketAddr::new(from.ip(), msg.port);
        setup_ids.borrow_mut().insert(address, msg.setup);
        state.apply_report(&msg, address, state.now());
        if let Some(limit) = attachments.limit {
            state.apply_limit_notice(limit, address, state.now());
        }
        for notice in attachments.notices {
            match notice {
                Notice::Pace { started_ms, percent } => {
                    state.apply_pace(address, started_ms, percent, state.now());
                }
                notice => state.apply_notice(&notice, state.now()),
            }
        }
    }
}

impl State {
    /// Applies a report from the agent of the endpoint at `address`.
    pub fn apply_report(&self, msg: &ReportMessage, address: SocketAddr, now: Time) {
        let sent = Time::from_micros(msg.request_sent_us.saturating_add(msg.held_us)).min(now);
        msg.announced.iter().for_each(|announced| self.apply_announcement(announced, sent, now));
        let Some(report) = &msg.report else {
            return;
        };
        let draw = self.with_rng(|rng| rng.random::<f64>());
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.record_entry_count(report.entries, report.is_count_complete, now);
        let requested_at = Time::from_micros(msg.request_sent_us);
        if endpoints.is_in_own_region(address) {
            self.has_fresh_neighbour.set(report.relay.is_some_and(|relay| relay != self.cfg.ip));
        }
        if let Some(relay) = report.relay {
            self.relay.set(self.relay.get().record(relay, now));
        }
        if let Some(root) = report.root {
            self.root.set(self.root.get().record(root, now));
        }
        let round_trip = now.since(sent);
        endpoints.apply_report(address, report, requested_at, round_trip, draw, now);
        drop(endpoints);
        self.notify_capacity_freed();
    }

    /// Applies the pace that the agent of the endpoint at `address` reports.
    pub fn apply_pace(&self, address: SocketAddr, started_ms: u64, percent: u32, now: Time) {
        let pace = pace::from_percent(percent);
        self.endpoints.borrow_mut().apply_pace(address, started_ms, pace, now);
    }

    /// Applies what the agent of the endpoint at `address` relays about its request limit.
    pub fn apply_limit_notice(&self, limit: LimitNotice, address: SocketAddr, now: Time) {
        if let Some(schedule) = limit.schedule {
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.record_cold_schedule(address, limit.started_ms, schedule, now);
        }
        let Some(statement) = limit.statement(now) else {
            return;
        };
        let mut endpoints = self.endpoints.borrow_mut();
        let (started_ms, schedule) = (limit.started_ms, limit.schedule);
        let changed = endpoints.apply_relayed_limit(address, started_ms, statement, schedule, now);
        if let Some(id) = changed {
            self.record_limit_change(&id, statement.per_second, "agent");
        }
    }

    /// Logs and counts that an endpoint has named, changed or ended a request limit.
    pub fn record_limit_change(&self, id: &str, per_second: Option<f64>, from: &str) {
        self.metrics.count("endpoint_limit_changes");
        slog::info!(self.log, "endpoint request limit changed";
            "endpoint" => id, "per_second" => per_second, "from" => from);
    }

    /// Applies an agent's record of when it first saw a version. The agent sent it no earlier than
    /// `sent`.
    fn apply_announcement(&self, announced: &AnnouncedVersion, sent: Time, now: Time) {
        let seen_for = Duration::from_millis(u64::from(announced.seen_for_ms));
        let mut all = self.versions.borrow_mut();
        let (Some(latest), Some(versions)) =
            (time_before(now, seen_for), all.get_mut(&announced.model))
        else {
            return;
        };
        let unread =
            || Announcement::between(time_before(sent, seen_for).unwrap_or_default(), latest);
        let own = self.new_announcement(now);
        let announcement =
            own.map_or_else(unread, |own| Announcement::between(own.earliest(), latest));
        let newest = versions.newest();
        versions.record_seen(announced.version, announcement);
        if versions.newest() > newest {
            self.log_announced(&announced.model, announced.version, Some(announcement), "agent");
        }
    }
}

async fn send_requests(state: Rc<State>, socket: Rc<UdpSocket>, setup_ids: SetupIds) {
    let mut round: u32 = 0;
    let mut is_urgent = false;
    let mut has_engines = false;
    loop {
        if !has_engines && !state.endpoints.borrow().is_empty() {
            // The startup rounds begin anew, as agents that start at the same time count the
            // entries by their announcements.
            has_engines = true;
            is_urgent = false;
            round = 0;
        }
        send_round(&state, &socket, &setup_ids, |reach| match reach {
            Reach::Near => true,
            Reach::Far => !is_urgent && round.is_multiple_of(FAR_ROUND_INTERVAL),
            Reach::OutsideSubset => {
                !is_urgent && round.is_multiple_of(announce_round_interval(&state, round))
            }
        });
        if !is_urgent {
            round = round.wrapping_add(1);
        }
        // A new version, request limit is sent immediately; a new endpoint waits for the next
        // interval.
        is_urgent = timeout(REQUEST_INTERVAL, state.requests_due.notified()).await.is_ok();
        sleep(Duration::from_millis(20)).await;
    }
}

/// Agents of all regions nominate the root, so an entry that may be the root announces itself more
/// often.
fn announce_round_interval(state: &State, round: u32) -> u32 {
    if state.reads_store() || round < STARTUP_ROUNDS {
        FAR_ROUND_INTERVAL
    } else {
        ANNOUNCE_ROUND_INTERVAL
    }
}

/// Sends a request to the agent of each engine whose reach is `due`.
fn send_round(
    state: &State,
    socket: &UdpSocket,
    setup_ids: &SetupIds,
    due: impl Fn(Reach) -> bool,
) {
    let mut requests = ReportRequests::new(state);
    let endpoints = state.endpoints.borrow();
    let limits: HashMap<SocketAddr, LimitNotice> = endpoints
        .limits_to_relay()
        .map(|(address, started_ms, statement)| {
            (address, LimitNotice::new(started_ms, statement, None, state.now()))
        })
        .collect();
    setup_ids.borrow_mut().retain(|address, _| endpoints.has_address(*address));
    for (listed, reach) in endpoints.engines().filter(|(_, reach)| due(*reach)) {
        let setup_id = setup_ids.borrow().get(&listed.address).copied().unwrap_or(0);
        let limit = limits.get(&listed.address).copied();
        match requests.bytes(&listed.service, reach, setup_id, limit) {
            Ok(bytes) => {
                let address = SocketAddr::new(listed.address.ip(), state.cfg.agent_port);
                // A datagram may be lost anyway; the next request makes up for it.
                let _ = socket.try_send_to(&bytes, address);
            }
            Err(e) => {
                slog::error!(state.log, "cannot encode report request"; "error" => e.to_string());
                return;
            }
        }
    }
}

/// Sends notices to the collectors as soon as there are some, each several times.
async fn send_notices(state: Rc<State>, socket: Rc<UdpSocket>, setup_ids: SetupIds) {
    loop {
        state.notices_due.notified().await;
        // Requests that broke off together are reported together.
        sleep(NOTICE_DELAY).await;
        while !state.notices.borrow().is_empty() {
            match send_notice_batch(&state, &socket, &setup_ids) {
                Ok(count) => state.notices.borrow_mut().record_sent(count),
                Err(e) => {
                    slog::error!(state.log, "cannot encode notices"; "error" => e.to_string());
                }
            }
            sleep(NOTICE_INTERVAL).await;
        }
    }
}

/// Sends as many notices to each collector as fit in a datagram. Returns the number that all of them
/// were sent, or 0 if there is no collector.
fn send_notice_batch(
    state: &State,
    socket: &UdpSocket,
    setup_ids: &SetupIds,
) -> postcard::Result<usize> {
    let mut requests = ReportRequests::new(state);
    let endpoints = state.endpoints.borrow();
    let collectors = endpoints.collectors();
    let notices = state.notices.borrow().next_batch(state.now());
    let mut sent: Option<usize> = None;
    for (listed, reach) in endpoints.engines() {
        if !collectors.contains(&listed.address) {
            continue;
        }
        let setup_id = setup_ids.borrow().get(&listed.address).copied().unwrap_or(0);
        let request = requests.bytes(&listed.service, reach, setup_id, None)?;
        let (bytes, count) = append_attachments(request.to_vec(), None, notices.iter())?;
        let address = SocketAddr::new(listed.address.ip(), state.cfg.agent_port);
        // A datagram may be lost anyway; the notice is sent again.
        let _ = socket.try_send_to(&bytes, address);
        sent = Some(sent.map_or(count, |sent| sent.min(count)));
    }
    Ok(sent.unwrap_or(0))
}

/// The requests of one round. Each distinct request is encoded once.
struct ReportRequests {
    sent_us: u64,
    offer: Option<Offer>,
    is_in_origin_region: bool,
    entries: Option<u32>,
    weights: Vec<CurrentWeights>,
    catalog: Option<Rc<Catalog>>,
    setups: HashMap<ServiceName, Option<ModelSetup>>,
    encoded: HashMap<(ServiceName, Reach, bool), Bytes>,
}

impl ReportRequests {
    fn new(state: &State) -> ReportRequests {
        ReportRequests {
            sent_us: state.now().as_micros(),
            offer: state.offer(),
            is_in_origin_region: state.is_in_origin_region(),
            entries: state.endpoints.borrow().counted_entries(),
            weights: state.current_weights(),
            catalog: state.catalog.borrow().clone(),
            setups: HashMap::new(),
            encoded: HashMap::new(),
        }
    }

    /// The encoded request for an agent of `service` whose setup has the id `setup_id`, followed by
    /// `limit`.
    fn bytes(
        &mut self,
        service: &ServiceName,
        reach: Reach,
        setup_id: u32,
        limit: Option<LimitNotice>,
    ) -> postcard::Result<Bytes> {
        let bytes = self.request_bytes(service, reach, setup_id)?;
        if limit.is_none() {
            return Ok(bytes);
        }
        let (bytes, _) = append_attachments(bytes.to_vec(), limit, std::iter::empty())?;
        Ok(bytes.into())
    }

    fn request_bytes(
        &mut self,
        service: &ServiceName,
        reach: Reach,
        setup_id: u32,
    ) -> postcard::Result<Bytes> {
        let catalog = self.catalog.as_ref();
        let setup_of = || catalog.and_then(|catalog| catalog.model_setup(service));
        let setup = self.setups.entry(service.clone()).or_insert_with(setup_of);
        // Agents that do not report do not return the id of their setup either. The entries of
        // their own region send it to them.
        let is_unknown =
            |setup: &&ModelSetup| reach != Reach::OutsideSubset && setup.fingerprint() != setup_id;
        let missing = setup.as_ref().filter(is_unknown);
        let key = (service.clone(), reach, missing.is_some());
        if let Some(bytes) = self.encoded.get(&key) {
            return Ok(bytes.clone());
        }
        let version = catalog.map_or(0, |catalog| catalog.version());
        let setup = missing.map(|setup| SetupUpdate { version, setup: setup.clone() });
        let request = ReportRequest {
            sent_us: self.sent_us,
            weights: self.weights.clone(),
            is_far: reach != Reach::Near,
            is_in_origin_region: self.is_in_origin_region,
            entries: self.entries,
            wants_reports: reach != Reach::OutsideSubset,
            offer: self.offer,
            setup,
        };
        let bytes = Bytes::from(postcard::to_stdvec(&request)?);
        self.encoded.insert(key, bytes.clone());
        Ok(bytes)
    }
}
