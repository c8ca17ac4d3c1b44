//! The agent of the direct path: keeps its endpoint's weights at the newest version and reports the endpoint's
//! load to entries. It stores nothing itself: after a restart, it recovers its state from the endpoint, the
//! entries and the store.

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
use mastichaven_core::Time;
use mastichaven_core::direct::client_budget::ClientLimits;
use mastichaven_core::direct::load_orders::LoadOrders;
use mastichaven_core::direct::notices::Collector;
use mastichaven_core::direct::request_limit::LimitStatement;
use mastichaven_core::direct::subscribers::Subscribers;
use mastichaven_core::direct::supersession::INITIAL_LOAD_TIME;
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

use super::clients::Clients;
use super::endpoint_client::EndpointClient;
use super::http_server::listen;
use super::load_reports::SetupUpdate;
use super::log::EventLog;
use super::metrics::Metrics;
use super::response_body::ResponseBody;
use super::settings::DirectSettings;
use super::status;
use super::swarm::SwarmDriver;
use crate::clock::BootClock;

/// Result of running an agent.
pub type Result<T> = io::Result<T>;

/// State shared by the tasks of an agent.
struct Agent {
    cfg: DirectSettings,
    clock: BootClock,
    started_at: Time,
    log: slog::Logger,
    metrics: Rc<Metrics>,
    endpoint_client: Rc<EndpointClient>,
    swarm: Rc<SwarmDriver>,
    location: PeerLocation,
    /// The setup of this agent's service and the configuration version it is from; `None` until received.
    setup: RefCell<Option<SetupUpdate>>,
    /// The newest announced version and when this agent received the announcement.
    newest: Cell<Option<(u64, Time)>>,
    versions: RefCell<Versions>,
    /// Position of this host among the hosts that load, starting at 0, and the number of these hosts.
    rank: Cell<(u32, u32)>,
    /// Id of the last peer list received from an entry; 0 if there is none.
    peer_list: Cell<u64>,
    /// The endpoint's last report; `None` while the endpoint cannot be reached.
    report: RefCell<Option<Report>>,
    load_orders: RefCell<LoadOrders>,
    /// The latest statement of the endpoint on its request limit that an entry has relayed.
    request_limit: Cell<Option<LimitStatement>>,
    /// Notices of the entries.
    collector: RefCell<Collector>,
    /// Start time of the endpoint's process, in milliseconds of the Unix epoch, and when this agent first saw it.
    process_seen: Cell<Option<(u64, Time)>>,
    /// Whether the endpoint is draining or loading, so that entries must not route requests to it.
    is_load_in_progress: Cell<bool>,
    /// Duration of the endpoint's last load.
    load_time: Cell<Duration>,
    subscribers: RefCell<Subscribers>,
    /// Signals that the setup or the newest version has changed.
    updated: Notify,
    /// Triggers a report without waiting for the interval.
    report_now: Notify,
}

/// Runs an agent until SIGTERM.
pub async fn run(cfg: DirectSettings) -> Result<()> {
    let missing = || io::Error::new(io::ErrorKind::InvalidInput, "missing setting `endpoint`");
    let endpoint = cfg.endpoint.ok_or_else(missing)?;
    let log = EventLog::start(cfg.host.as_str())?;
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let peer_address = SocketAddr::new(cfg.ip, cfg.agent_port);
    let window = ClientLimits::of_status().receive_window;
    let peer_listener = listen(peer_address, window).await?;
    let report_socket = Rc::new(UdpSocket::bind(peer_address).await?);
    let metrics_listener = listen(SocketAddr::new(cfg.ip, cfg.metrics_port), window).await?;
    let clock = BootClock::start();
    let metrics = Rc::new(Metrics::default());
    let endpoint_client = Rc::new(EndpointClient::new(endpoint));
    let location =
        PeerLocation { host: host_name_of(endpoint), zone: cfg.zone.clone(), region: cfg.region() };
    let root = log.root.clone();
    let port = cfg.agent_port;
    let swarm =
        SwarmDriver::new(&location, clock, root, metrics.clone(), endpoint_client.clone(), port);
    let agent = Rc::new(Agent {
        cfg,
        clock,
        started_at: clock.now(),
        log: log.root.clone(),
        metrics,
        endpoint_client,
        swarm: Rc::new(swarm),
        location,
        setup: RefCell::default(),
        newest: Cell::new(None),
        versions: RefCell::new(Versions::new(0)),
        rank: Cell::new((0, 1)),
        peer_list: Cell::new(0),
        report: RefCell::default(),
        load_orders: RefCell::default(),
        request_limit: Cell::new(None),
        collector: RefCell::default(),
        process_seen: Cell::new(None),
        is_load_in_progress: Cell::new(false),
        load_time: Cell::new(INITIAL_LOAD_TIME),
        subscribers: RefCell::default(),
        updated: Notify::new(),
        report_now: Notify::new(),
    });
    slog::info!(agent.log, "started"; "endpoint" => endpoint.to_string());
    spawn_local(agent.clone().receive_requests(report_socket.clone()));
    spawn_local(agent.clone().send_reports(report_socket));
    spawn_local(agent.clone().follow_updates());
    spawn_local(agent.clone().schedule_loads());
    spawn_local(agent.clone().end_useless_downloads());
    spawn_local(agent.swarm.clone().run());
    spawn_local(agent.swarm.clone().serve(peer_listener));
    spawn_local(serve_status(agent.clone(), metrics_listener));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() =>
                slog::info!(agent.log, "reload signal ignored: settings take effect on restart"),
        }
    }
    // No draining is required: requests of callers do not pass through the agent, and a peer whose download is
    // interrupted requests the chunk from another host.
    slog::info!(agent.log, "stopped");
    drop(log);
    Ok(())
}

/// The name that identifies an agent among its peers: the address of its endpoint.
fn host_name_of(address: SocketAddr) -> HostName {
    HostName::new(address.to_string())
}

impl Agent {
    /// The version that the endpoint has completely loaded; `None` if there is none or the setup is unknown.
    fn held_version(&self) -> Option<u64> {
        let name = self.model()?.name;
        let report = self.report.borrow();
        let weights = &report.as_ref()?.load.weights;
        weights.iter().find(|(model, _)| *model == name).map(|(_, version)| *version)
    }

    /// [`Agent::held_version`] if it was loaded from verified chunks.
    fn verified_version(&self) -> Option<u64> {
        self.held_version().filter(|_| self.load_orders.borrow().may_serve())
    }
}

async fn serve_status(agent: Rc<Agent>, listener: TcpListener) {
    let (log, metrics) = (agent.log.clone(), agent.metrics.clone());
    let limits = ClientLimits::of_status();
    let clients = Clients::new("metrics", limits, agent.clock, log.clone(), metrics);
    let respond = move |req: &Request<Incoming>| {
        let text = match req.uri().path() {
            "/metrics" => agent.metrics.to_text(),
            _ => agent.dump(),
        };
        Response::new(ResponseBody::full(Bytes::from(text)))
    };
    status::serve(listener, clients, log, respond).await;
}

impl Agent {
    /// The agent's current state as JSON, for operators.
    fn dump(&self) -> String {
        let now = self.clock.now();
        let newest = self.newest.get();
        serde_json::json!({
            "host": self.cfg.host.as_str(),
            "newest": newest.map(|(version, _)| version),
            "named_ago_ms": newest.map(|(_, at)| now.since(at).as_millis() as u64),
            "held": self.held_version(),
            "held_is_verified": self.load_orders.borrow().may_serve(),
            "staged": self.swarm.is_complete(),
            "rank": self.rank.get().0,
            "entries": self.subscribers.borrow().len(now),
        })
        .to_string()
    }
}
