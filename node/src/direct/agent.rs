//! The agent on the direct path: keeps its endpoint's weights at the newest version and tells entries
//! of its load. It has no state that its endpoint and the store do not give back after a restart.

mod loading;
mod reports;
mod setup;

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mastichaven_core::Time;
use mastichaven_core::direct::subscribers::Subscribers;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::ids::HostName;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_platform::engine::Report;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::load_reports::SetupUpdate;
use super::log::EventLog;
use super::metrics::Metrics;
use super::response_body::ResponseBody;
use super::settings::DirectSettings;
use super::staging::Staging;
use super::swarm::SwarmHost;
use crate::clock::BootClock;

/// Time of a load before the first one.
const LOAD_TIME_UNKNOWN: Duration = Duration::from_millis(500);

/// Result of running an agent.
pub type Result<T> = io::Result<T>;

/// What an agent knows and shares among its tasks.
struct Agent {
    cfg: DirectSettings,
    clock: BootClock,
    started: Time,
    log: slog::Logger,
    metrics: Rc<Metrics>,
    staging: Rc<Staging>,
    swarm: Rc<SwarmHost>,
    place: PeerLocation,
    /// What is known of the own service, from which version of the configuration.
    setup: RefCell<Option<SetupUpdate>>,
    newest: Cell<Option<(u64, Time)>>,
    versions: RefCell<Versions>,
    /// This host's place among the hosts that load, and their number.
    rank: Cell<(u32, u32)>,
    /// Id of the list of peers that an entry sent last.
    peer_list: Cell<u64>,
    report: RefCell<Option<Report>>,
    is_ordering: Cell<bool>,
    /// Time that the endpoint took for its last load.
    load_time: Cell<Duration>,
    subscribers: RefCell<Subscribers>,
    /// Signals that the setup or the newest version has changed.
    updated: Notify,
    /// Signals that entries must hear of a change at once.
    report_now: Notify,
}

/// Runs an agent until SIGTERM.
pub async fn run(cfg: DirectSettings) -> Result<()> {
    let missing = || io::Error::new(io::ErrorKind::InvalidInput, "the settings lack `endpoint`");
    let endpoint = cfg.endpoint.ok_or_else(missing)?;
    let log = EventLog::start(cfg.host.as_str())?;
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let peers_at = SocketAddr::new(cfg.ip, cfg.agent_port);
    let peers_listener = TcpListener::bind(peers_at).await?;
    let asks_socket = Rc::new(UdpSocket::bind(peers_at).await?);
    let metrics_listener = TcpListener::bind((cfg.ip, cfg.metrics_port)).await?;
    let clock = BootClock::start();
    let metrics = Rc::new(Metrics::default());
    let staging = Rc::new(Staging::new(endpoint));
    let place =
        PeerLocation { host: host_at(endpoint), zone: cfg.zone.clone(), region: cfg.region() };
    let root = log.root.clone();
    let port = cfg.agent_port;
    let swarm = SwarmHost::new(&place, clock, root, metrics.clone(), staging.clone(), port);
    let agent = Rc::new(Agent {
        cfg,
        clock,
        started: clock.now(),
        log: log.root.clone(),
        metrics,
        staging,
        swarm: Rc::new(swarm),
        place,
        setup: RefCell::default(),
        newest: Cell::new(None),
        versions: RefCell::new(Versions::new(0)),
        rank: Cell::new((0, 1)),
        peer_list: Cell::new(0),
        report: RefCell::default(),
        is_ordering: Cell::new(false),
        load_time: Cell::new(LOAD_TIME_UNKNOWN),
        subscribers: RefCell::default(),
        updated: Notify::new(),
        report_now: Notify::new(),
    });
    slog::info!(agent.log, "started"; "endpoint" => endpoint.to_string());
    spawn_local(agent.clone().listen(asks_socket.clone()));
    spawn_local(agent.clone().report(asks_socket));
    spawn_local(agent.clone().follow());
    spawn_local(agent.clone().load());
    spawn_local(agent.swarm.clone().run());
    spawn_local(agent.swarm.clone().serve(peers_listener));
    spawn_local(serve_status(agent.clone(), metrics_listener));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => slog::info!(agent.log, "settings reloaded, nothing to change"),
        }
    }
    // Requests do not pass through here, and a chunk that is cut off is asked of another peer.
    slog::info!(agent.log, "stopped");
    drop(log);
    Ok(())
}

/// Agents are known to each other by the address of their endpoint.
fn host_at(address: SocketAddr) -> HostName {
    HostName::new(address.to_string())
}

impl Agent {
    /// The version that the endpoint holds whole.
    fn held(&self) -> Option<u64> {
        let name = self.model()?.name;
        let report = self.report.borrow();
        let weights = &report.as_ref()?.load.weights;
        weights.iter().find(|(model, _)| *model == name).map(|(_, version)| *version)
    }
}

async fn serve_status(agent: Rc<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(loading::LOAD_POLL).await;
            continue;
        };
        let agent = agent.clone();
        spawn_local(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let text = match req.uri().path() {
                    "/metrics" => agent.metrics.to_text(),
                    _ => agent.dump(),
                };
                let response = Response::new(ResponseBody::full(Bytes::from(text)));
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let builder = http1::Builder::new();
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Agent {
    /// All that is believed now, for operators.
    fn dump(&self) -> String {
        let now = self.clock.now();
        let newest = self.newest.get();
        serde_json::json!({
            "host": self.cfg.host.as_str(),
            "newest": newest.map(|(version, _)| version),
            "named_ago_ms": newest.map(|(_, at)| now.since(at).as_millis() as u64),
            "held": self.held(),
            "staged": self.swarm.is_complete(),
            "rank": self.rank.get().0,
            "entries": self.subscribers.borrow().len(now),
        })
        .to_string()
    }
}
