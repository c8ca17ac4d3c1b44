//! Load reports: entries ask agents for them, agents send them, all in datagrams.
//!
//! An entry asks at intervals, at the endpoint's own IP number, and tells which versions are the newest. An
//! agent sends its reports to whoever asked for them lately. So neither needs a list of the others.
//!
//! An entry asks for the reports of its region's endpoints and of a few in each other region. To all
//! other agents it only announces itself now and then, so that they can count the entries.

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
use mastichaven_core::direct::replication::Offer;
use mastichaven_core::direct::replication::time_before;
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

/// How often an entry asks each agent. An ask that is not answered in time shows a full link, so the
/// interval bounds how long requests go on to it.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Of how many asks, and of how many reports, one goes to another region. With fewer, a region whose
/// own endpoints are out of service places its requests by old reports.
pub const FAR_EVERY: u32 = 2;

/// Of how many rounds one announces the entry to agents whose reports it does not ask for.
const ANNOUNCE_EVERY: u32 = 5;

/// Rounds after the start in which announcements are as frequent as asks, so that agents that start at the
/// same time soon know how many entries there are.
const STARTING_ROUNDS: u32 = 8;

/// Bytes of a datagram at most.
pub const MAX_DATAGRAM_LEN: usize = 1_200;

/// What an entry asks an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportRequest {
    /// Microseconds of the entry's clock when it asked.
    pub sent_us: u64,
    /// The versions of each model that count now.
    pub weights: Vec<CurrentWeights>,
    /// Whether the entry is in another region than the agent.
    pub is_far: bool,
    /// Whether the entry is in the region of the origin of weights.
    pub is_beside_origin: bool,
    /// Entries that it knows to share the bounds, if agents have counted them for it.
    pub entries: Option<u32>,
    /// Whether it wants load reports; else it only announces itself.
    pub wants_reports: bool,
    /// What it offers to those that may follow it; `None` if it may not be followed.
    pub offer: Option<Offer>,
    /// What the agent has to know of its service, as long as it does not show that it does.
    pub setup: Option<SetupUpdate>,
}

/// What an agent has to know of its service, from one version of the configuration.
///
/// Were agents to read the configuration for themselves, each new version of weights and each restart
/// would bring all of them to the store at once, and weights and watches would wait behind as many copies of
/// a large configuration on the links between regions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SetupUpdate {
    /// The version of the configuration.
    pub version: u64,
    /// What it says.
    pub setup: ModelSetup,
}

/// What an agent sends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportMessage {
    /// Port of the endpoint; its IP number is the sender's.
    pub port: u16,
    /// The report. None from an agent that knows no setup yet: it can't tell whether the endpoint's weights
    /// are whole, and entries go on by the platform's list.
    pub report: Option<LoadReport>,
    /// When the entry sent the last ask that came in, by its own clock.
    pub asked_us: u64,
    /// Microseconds for which the agent has held that ask.
    pub held_us: u64,
    /// Id of the setup that the agent goes by; 0 if it knows none.
    pub setup: u32,
    /// Versions of the endpoint's model that were named lately.
    pub named: Vec<NamedVersion>,
}

/// A version of a model and how long an agent has known of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedVersion {
    /// The model.
    pub model: SmolStr,
    /// The version.
    pub version: u64,
    /// Milliseconds since the first entry told the agent.
    pub known_for_ms: u32,
}

/// Ids of the setups that agents go by, by the address of their endpoint.
type KnownSetups = Rc<RefCell<HashMap<SocketAddr, u32>>>;

/// The next datagram and its sender; `None` if it cannot be read.
pub async fn receive<T: DeserializeOwned>(socket: &UdpSocket) -> Option<(T, SocketAddr)> {
    let mut buf = [0; MAX_DATAGRAM_LEN];
    loop {
        // A host that is gone shows as an error on the next receive.
        if let Ok((len, from)) = socket.recv_from(&mut buf).await {
            let message = postcard::from_bytes(&buf[..len]).ok()?;
            return Some((message, from));
        }
    }
}

/// Asks all agents and takes in their reports until the process ends.
pub async fn follow(state: Rc<State>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let known = KnownSetups::default();
    tokio::task::spawn_local(ask_all(state.clone(), socket.clone(), known.clone()));
    loop {
        let Some((msg, from)) = receive::<ReportMessage>(&socket).await else {
            state.metrics.count("reports_unreadable");
            continue;
        };
        let address = SocketAddr::new(from.ip(), msg.port);
        known.borrow_mut().insert(address, msg.setup);
        state.apply_report(&msg, address, state.now());
    }
}

impl State {
    /// Takes in what the agent beside the endpoint at `address` has sent.
    pub fn apply_report(&self, msg: &ReportMessage, address: SocketAddr, now: Time) {
        let sent = Time::from_micros(msg.asked_us.saturating_add(msg.held_us)).min(now);
        msg.named.iter().for_each(|named| self.apply_named(named, sent, now));
        let Some(report) = &msg.report else {
            return;
        };
        let draw = self.with_rng(|rng| rng.random::<f64>());
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.record_entry_count(report.entries, report.is_count_complete, now);
        let asked = Time::from_micros(msg.asked_us);
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
        endpoints.apply_report(address, report, asked, round_trip, draw, now);
        drop(endpoints);
        self.freed.notify_one();
    }

    /// An agent said at `sent` or later that it has known of a version for a while.
    fn apply_named(&self, named: &NamedVersion, sent: Time, now: Time) {
        let known_for = Duration::from_millis(u64::from(named.known_for_ms));
        let mut all = self.versions.borrow_mut();
        let (Some(latest), Some(versions)) =
            (time_before(now, known_for), all.get_mut(&named.model))
        else {
            return;
        };
        let earliest = time_before(sent, known_for).unwrap_or_default();
        let newest = versions.newest();
        versions.record_announced_by(named.version, earliest, latest);
        if versions.newest() > newest {
            slog::info!(self.log, "weights named"; "model" => named.model.as_str(),
                "version" => named.version, "from" => "agent",
                "age_ms" => now.since(earliest).as_millis() as u64);
        }
    }
}

async fn ask_all(state: Rc<State>, socket: Rc<UdpSocket>, known: KnownSetups) {
    let mut round: u32 = 0;
    let mut is_urgent = false;
    let mut knows_engines = false;
    loop {
        if !knows_engines && !state.endpoints.borrow().is_empty() {
            // Agents that start at the same time count the entries that announce themselves.
            knows_engines = true;
            is_urgent = false;
            round = 0;
        }
        ask_round(&state, &socket, &known, |reach| match reach {
            Reach::Near => true,
            Reach::Far => !is_urgent && round.is_multiple_of(FAR_EVERY),
            Reach::OutsideSubset => {
                !is_urgent && round.is_multiple_of(announce_every(&state, round))
            }
        });
        if !is_urgent {
            round = round.wrapping_add(1);
        }
        // A new version is sent at once; a new endpoint is asked within the interval.
        is_urgent = timeout(ASK_EVERY, state.named.notified()).await.is_ok();
        sleep(Duration::from_millis(20)).await;
    }
}

/// Agents of all regions name the root, so an entry that may be it announces itself more often.
fn announce_every(state: &State, round: u32) -> u32 {
    if state.is_direct() || round < STARTING_ROUNDS { FAR_EVERY } else { ANNOUNCE_EVERY }
}

/// Asks the agents of the engines that are `due`.
fn ask_round(state: &State, socket: &UdpSocket, known: &KnownSetups, due: impl Fn(Reach) -> bool) {
    let mut requests = ReportRequests::new(state);
    let endpoints = state.endpoints.borrow();
    known.borrow_mut().retain(|address, _| endpoints.has_address(*address));
    for (listed, reach) in endpoints.engines().filter(|(_, reach)| due(*reach)) {
        let known_id = known.borrow().get(&listed.address).copied().unwrap_or(0);
        match requests.bytes(&listed.service, reach, known_id) {
            Ok(bytes) => {
                let address = SocketAddr::new(listed.address.ip(), state.cfg.agent_port);
                // A datagram may be lost anyway; the next ask follows.
                let _ = socket.try_send_to(&bytes, address);
            }
            Err(e) => {
                slog::error!(state.log, "ask cannot be encoded"; "error" => e.to_string());
                return;
            }
        }
    }
}

/// The asks of one round, encoded once for all agents that are asked the same.
struct ReportRequests {
    sent_us: u64,
    offer: Option<Offer>,
    is_beside_origin: bool,
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
            is_beside_origin: state.is_beside_origin(),
            entries: state.endpoints.borrow().counted_entries(),
            weights: state.current_weights(),
            catalog: state.catalog.borrow().clone(),
            setups: HashMap::new(),
            encoded: HashMap::new(),
        }
    }

    /// The ask for an agent of `service` that goes by the setup of `known_id`.
    fn bytes(
        &mut self,
        service: &ServiceName,
        reach: Reach,
        known_id: u32,
    ) -> postcard::Result<Bytes> {
        let catalog = self.catalog.as_ref();
        let setup_of = || catalog.and_then(|catalog| catalog.model_setup(service));
        let setup = self.setups.entry(service.clone()).or_insert_with(setup_of);
        // Agents that do not report do not tell what they know; their own region's entries see to it.
        let is_unknown =
            |setup: &&ModelSetup| reach != Reach::OutsideSubset && setup.fingerprint() != known_id;
        let missing = setup.as_ref().filter(is_unknown);
        let key = (service.clone(), reach, missing.is_some());
        if let Some(bytes) = self.encoded.get(&key) {
            return Ok(bytes.clone());
        }
        let version = catalog.map_or(0, |catalog| catalog.version());
        let setup = missing.map(|setup| SetupUpdate { version, setup: setup.clone() });
        let ask = ReportRequest {
            sent_us: self.sent_us,
            weights: self.weights.clone(),
            is_far: reach != Reach::Near,
            is_beside_origin: self.is_beside_origin,
            entries: self.entries,
            wants_reports: reach != Reach::OutsideSubset,
            offer: self.offer,
            setup,
        };
        let bytes = Bytes::from(postcard::to_stdvec(&ask)?);
        self.encoded.insert(key, bytes.clone());
        Ok(bytes)
    }
}
