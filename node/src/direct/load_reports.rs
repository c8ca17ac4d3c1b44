//! Load reports: entries ask agents for them, agents send them, all in datagrams.
//!
//! An entry asks each agent at intervals, at the endpoint's own IP number, and tells which versions are
//! the newest. An agent sends its reports to whoever asked lately. So neither needs a list of the
//! others, and the agents' count of subscribers tells the entries how many they are.
//!
//! Every entry hears of every endpoint, so the datagrams grow with the product of both numbers. Those
//! of other regions, which get only what the own region has no place for, report half as often.

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
use mastichaven_core::direct::replication::time_before;
use mastichaven_core::ids::ServiceName;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
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

/// Bytes of a datagram at most.
pub const MAX_DATAGRAM_LEN: usize = 1_200;

/// What an entry asks an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportRequest {
    /// Microseconds of the entry's clock when it asked.
    pub sent_us: u64,
    /// Newest version of each model.
    pub newest: Vec<(SmolStr, u64)>,
    /// Whether the entry is in another region than the agent.
    pub is_far: bool,
    /// Entries that follow this one; `None` if it may not be followed.
    pub followers: Option<u32>,
    /// What the agent has to know of its service, as long as it does not show that it does.
    pub setup: Option<SetupUpdate>,
}

/// What an agent has to know of its service, from one version of the configuration.
///
/// Were agents to read the configuration for themselves, each new version of weights and each restart
/// would bring all of them to the store at once: with 1,400 routes 88 agents fetched 35 MB over links
/// between regions of 3 MB/s, and weights and watches waited behind that for 10 s.
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

/// ReportRequests all agents and takes in their reports until the process ends.
pub async fn follow(state: Rc<State>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let known = KnownSetups::default();
    tokio::task::spawn_local(ask_all(state.clone(), socket.clone(), known.clone()));
    let mut buf = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            // An agent's host that is gone shows as an error on the next receive.
            continue;
        };
        let Ok(told) = postcard::from_bytes::<ReportMessage>(&buf[..len]) else {
            state.metrics.count("reports_unreadable");
            continue;
        };
        let address = SocketAddr::new(from.ip(), told.port);
        known.borrow_mut().insert(address, told.setup);
        state.apply_report(&told, address, state.now());
    }
}

impl State {
    /// Takes in what the agent beside the endpoint at `address` has sent.
    pub fn apply_report(&self, told: &ReportMessage, address: SocketAddr, now: Time) {
        told.named.iter().for_each(|named| self.apply_named(named, now));
        let Some(report) = &told.report else {
            return;
        };
        let draw = self.with_rng(|rng| rng.random::<f64>());
        let mut roster = self.roster.borrow_mut();
        roster.entries_counted(report.entries, report.has_heard_all, now);
        let asked = Time::from_micros(told.asked_us);
        if report.watcher.is_some() {
            self.watcher.set(report.watcher);
        }
        let round_trip = now.since(Time::from_micros(told.asked_us.saturating_add(told.held_us)));
        roster.reported(address, report, asked, round_trip, draw, now);
        drop(roster);
        self.freed.notify_one();
    }

    /// An agent has known of a version for a while. What it is worth stands with `known_since`.
    fn apply_named(&self, named: &NamedVersion, now: Time) {
        let known_for = Duration::from_millis(u64::from(named.known_for_ms));
        let mut all = self.versions.borrow_mut();
        let (Some(at), Some(versions)) = (time_before(now, known_for), all.get_mut(&named.model))
        else {
            return;
        };
        let newest = versions.newest();
        versions.known_since(named.version, at);
        if versions.newest() > newest {
            slog::info!(self.log, "weights named"; "model" => named.model.as_str(),
                "version" => named.version);
        }
    }
}

async fn ask_all(state: Rc<State>, socket: Rc<UdpSocket>, known: KnownSetups) {
    let mut round = 0;
    let mut is_news = true;
    loop {
        let is_for_all = is_news || round % FAR_EVERY == 0;
        ask_round(&state, &socket, &known, is_for_all);
        round += 1;
        // A new version is told at once; a new endpoint within a fifth of a second.
        is_news = timeout(ASK_EVERY, state.named.notified()).await.is_ok();
        sleep(Duration::from_millis(20)).await;
    }
}

/// ReportRequests the agents of the own region, and those of the others if `is_for_all`.
fn ask_round(state: &State, socket: &UdpSocket, known: &KnownSetups, is_for_all: bool) {
    let mut asks = ReportRequests::new(state);
    let roster = state.roster.borrow();
    known.borrow_mut().retain(|address, _| roster.has_address(*address));
    for (listed, is_far) in roster.engines().filter(|(_, is_far)| is_for_all || !is_far) {
        let known_id = known.borrow().get(&listed.address).copied().unwrap_or(0);
        match asks.bytes(&listed.service, is_far, known_id) {
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
    followers: Option<u32>,
    newest: Vec<(SmolStr, u64)>,
    catalog: Option<Rc<Catalog>>,
    setups: HashMap<ServiceName, Option<ModelSetup>>,
    encoded: HashMap<(ServiceName, bool, bool), Bytes>,
}

impl ReportRequests {
    fn new(state: &State) -> ReportRequests {
        ReportRequests {
            sent_us: state.now().as_micros(),
            followers: state.followers(),
            newest: state.newest_versions(),
            catalog: state.catalog.borrow().clone(),
            setups: HashMap::new(),
            encoded: HashMap::new(),
        }
    }

    /// The ask for an agent of `service` that goes by the setup of `known_id`.
    fn bytes(
        &mut self,
        service: &ServiceName,
        is_far: bool,
        known_id: u32,
    ) -> postcard::Result<Bytes> {
        let catalog = self.catalog.as_ref();
        let setup_of = || catalog.and_then(|catalog| catalog.setup(service));
        let setup = self.setups.entry(service.clone()).or_insert_with(setup_of);
        let untold = setup.as_ref().filter(|setup| setup.id() != known_id);
        let key = (service.clone(), is_far, untold.is_some());
        if let Some(bytes) = self.encoded.get(&key) {
            return Ok(bytes.clone());
        }
        let version = catalog.map_or(0, |catalog| catalog.version());
        let setup = untold.map(|setup| SetupUpdate { version, setup: setup.clone() });
        let ask = ReportRequest {
            sent_us: self.sent_us,
            newest: self.newest.clone(),
            is_far,
            followers: self.followers,
            setup,
        };
        let bytes = Bytes::from(postcard::to_stdvec(&ask)?);
        self.encoded.insert(key, bytes.clone());
        Ok(bytes)
    }
}
