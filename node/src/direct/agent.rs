//! The agent on the direct path: keeps its endpoint's weights at the newest version and tells entries
//! of its load. It has no state that its endpoint and the store do not give back after a restart.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
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
use mastichaven_core::direct::catalog::ModelSetup;
use mastichaven_core::direct::catalog::ModelShape;
use mastichaven_core::direct::endpoint::Listed;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::PeerEndpoint;
use mastichaven_core::direct::replication::PeerList;
use mastichaven_core::direct::rollout;
use mastichaven_core::direct::rollout::Situation;
use mastichaven_core::direct::subscribers::Subscriber;
use mastichaven_core::direct::subscribers::Subscribers;
use mastichaven_core::direct::versions::Versions;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use mastichaven_core::swarm::PeerPlace;
use mastichaven_platform::config;
use mastichaven_platform::endpoints;
use mastichaven_platform::engine::LoadMode;
use mastichaven_platform::engine::Report;
use mastichaven_platform::objects::Kind;
use mastichaven_platform::weights;
use rand::seq::SliceRandom;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::load_reports::FAR_EVERY;
use super::load_reports::MAX_DATAGRAM_LEN;
use super::load_reports::NamedVersion;
use super::load_reports::ReportMessage;
use super::load_reports::ReportRequest;
use super::load_reports::SetupUpdate;
use super::log::EventLog;
use super::metrics::Metrics;
use super::peers;
use super::relay::AnswerBody;
use super::settings::DirectSettings;
use super::staging::Staging;
use super::store::StoreClient;
use super::swarm::SwarmHost;
use super::swarm::Target;
use crate::clock::BootClock;

/// How often the endpoint is asked for its load, which is free on its own host.
const REPORT_EVERY: Duration = Duration::from_millis(100);

/// A report that says the same as the last one is sent only every so many times.
const SAME_REPORT_EVERY: u32 = 2;

/// Pause between tries to learn the setup.
const LEARN_EVERY: Duration = Duration::from_millis(300);

/// Time from the start after which an agent that no entry asks reads the setup in the store, drawn at
/// random. Entries ask about a second after they start, later if the configuration is large.
const UNTOLD_FOR: Range<Duration> = Duration::from_secs(3)..Duration::from_secs(6);

/// How often peers are read again while chunks are missing. An entry of the zone is asked, and answers in a
/// few bytes if nothing has changed.
const PEERS_EVERY: Duration = Duration::from_millis(1_000);

/// Time for an entry to tell the peers, and entries that are asked at most before the store is.
const PEERS_WITHIN: Duration = Duration::from_millis(500);
const PEERS_TRIES: usize = 2;

/// How often the store is asked for the newest version while no entry asks: entries tell it else.
const ALONE_EVERY: Duration = Duration::from_millis(3_000);

/// How often a load that is due or under way is looked at.
const LOAD_POLL: Duration = Duration::from_millis(50);

/// How long an endpoint that is about to load may go on with what runs; most requests end in this
/// time, and the streams that are left are continued elsewhere.
const EMPTY_FOR: Duration = Duration::from_millis(800);

/// Pause after an order that was not carried out.
const ORDER_RETRY: Duration = Duration::from_millis(300);

/// Time for the endpoint to show that an order has begun.
const ORDER_SHOWN_WITHIN: Duration = Duration::from_secs(8);

/// Time from the start of an agent after which its count of entries is that of all. Each announces itself
/// at least every 1.6 s; a count of the first ones alone would let each take a much too large share of what
/// all may send.
const COUNT_AFTER: Duration = Duration::from_millis(1_800);

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
    place: PeerPlace,
    /// What is known of the own service, from which version of the configuration.
    setup: RefCell<Option<SetupUpdate>>,
    newest: Cell<Option<(u64, Time)>>,
    versions: RefCell<Versions>,
    /// This host's place among the hosts that load, and their number.
    rank: Cell<(u32, u32)>,
    /// Id of the list of peers that an entry told last.
    peer_list: Cell<u64>,
    report: RefCell<Option<Report>>,
    is_ordering: Cell<bool>,
    subscribers: RefCell<Subscribers>,
    told: Notify,
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
    let place = PeerPlace { host: host_at(endpoint), zone: cfg.zone.clone(), region: cfg.region() };
    let swarm = SwarmHost::new(&place, clock, log.root.clone(), metrics.clone(), staging.clone());
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
        versions: RefCell::new(Versions::first(0)),
        rank: Cell::new((0, 1)),
        peer_list: Cell::new(0),
        report: RefCell::default(),
        is_ordering: Cell::new(false),
        subscribers: RefCell::default(),
        told: Notify::new(),
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

/// Whether two reports say the same of what the endpoint may be sent, whatever its load.
fn serves_alike(a: &LoadReport, b: &LoadReport) -> bool {
    (a.accepts, a.born, &a.weights) == (b.accepts, b.born, &b.weights)
}

/// Agents are known to each other by the address of their endpoint.
fn host_at(address: SocketAddr) -> HostName {
    HostName::new(address.to_string())
}

impl Agent {
    /// Learns the setup, the peers and the newest version, then follows them.
    async fn follow(self: Rc<Self>) {
        let mut client = StoreClient::new(self.cfg.store, self.metrics.clone());
        self.until_set_up(&mut client).await;
        self.fetch_peers(&mut client).await;
        self.fetch_newest(&mut client).await;
        loop {
            let wait = if self.swarm.is_complete() { ALONE_EVERY } else { PEERS_EVERY };
            let is_told = timeout(wait, self.told.notified()).await.is_ok();
            let is_alone = self.subscribers.borrow().len(self.clock.now()) == 0;
            if is_told || !self.swarm.is_complete() {
                self.fetch_peers(&mut client).await;
            }
            if is_alone || self.newest.get().is_none() {
                self.fetch_newest(&mut client).await;
            }
        }
    }

    /// Waits until an entry has told the setup, or reads it in the store if none does.
    async fn until_set_up(&self, client: &mut StoreClient) {
        let untold_for = rand::random_range(UNTOLD_FOR);
        while self.setup.borrow().is_none() {
            let _ = timeout(LEARN_EVERY, self.told.notified()).await;
            let is_untold = self.setup.borrow().is_none();
            if is_untold && self.clock.now().passed(self.started, untold_for) {
                self.read_setup(client).await;
            }
        }
    }

    async fn read_setup(&self, client: &mut StoreClient) {
        let objects = match client.list(Kind::Config, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.note_store(Kind::Config, e.as_str()),
        };
        let Some(catalog) = objects.iter().find_map(config::scan_config) else {
            return;
        };
        let own = self.cfg.service.as_ref().and_then(|service| catalog.setup(service));
        let any = || catalog.services().find_map(|service| catalog.setup(&service.name));
        if let Some(setup) = own.or_else(any) {
            self.take_setup(SetupUpdate { version: catalog.version(), setup });
        }
    }

    /// Goes by a setup unless a newer one is known.
    fn take_setup(&self, told: SetupUpdate) {
        let known = self.setup.borrow().clone();
        if known.as_ref().is_some_and(|known| known.version >= told.version) {
            return;
        }
        // Entries that have just started tell what is known already. Were that news, each agent would
        // read the peers anew for each of them.
        let is_news = known.is_none_or(|known| known.setup != told.setup);
        let origin = told.setup.origin.as_ref().map(|origin| origin.address);
        let (model, version) = (told.setup.model.name.clone(), told.version);
        *self.setup.borrow_mut() = Some(told);
        if is_news {
            slog::info!(self.log, "service known"; "model" => model.as_str(), "config" => version);
            self.swarm.set_origin(origin);
            self.told.notify_one();
        }
    }

    /// The model of the own service.
    fn model(&self) -> Option<ModelShape> {
        self.setup.borrow().as_ref().map(|told| told.setup.model.clone())
    }

    /// Whether all streams of the service can be continued elsewhere.
    fn may_cut(&self) -> bool {
        self.setup.borrow().as_ref().is_some_and(|told| told.setup.is_resumable)
    }

    /// Chunks that first go to another region than the origin's cross one more border.
    fn origin_region(&self) -> Option<RegionName> {
        let setup = self.setup.borrow();
        let origin = setup.as_ref()?.setup.origin.as_ref()?;
        self.cfg.regions.get(&origin.zone).cloned()
    }

    fn note_store(&self, kind: Kind, error: &'static str) {
        self.metrics.count("store_failures");
        slog::warn!(self.log, "store not read"; "kind" => kind.as_str(), "error" => error);
    }

    /// Takes in the peers, as an entry tells them, or the store if none does.
    async fn fetch_peers(&self, client: &mut StoreClient) {
        match self.ask_entries_for_peers().await {
            Some(PeerList { id, peers: Some(peers) }) => {
                self.peer_list.set(id);
                self.set_peers(peers);
            }
            Some(PeerList { peers: None, .. }) => {}
            None => self.list_peers(client).await,
        }
    }

    async fn ask_entries_for_peers(&self) -> Option<PeerList> {
        let service = self.cfg.service.clone()?;
        let hello = Hello::Peers { service, known: self.peer_list.get() };
        let mut entries = self.subscribers.borrow().near_entries(self.clock.now());
        entries.shuffle(&mut rand::rng());
        for ip in entries.into_iter().take(PEERS_TRIES) {
            let address = SocketAddr::new(ip, self.cfg.agent_port);
            match peers::ask(address, &hello, PEERS_WITHIN).await {
                Ok(list) => return Some(list),
                Err(e) => slog::info!(self.log, "peers not told"; "entry" => address.to_string(),
                    "error" => e.as_str()),
            }
        }
        None
    }

    async fn list_peers(&self, client: &mut StoreClient) {
        let objects = match client.list(Kind::Endpoints, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.note_store(Kind::Endpoints, e.as_str()),
        };
        let layers = self.model().map(|model| model.layers);
        let mine = self.cfg.service.clone();
        let layers_of =
            |service: &ServiceName| if mine.as_ref() == Some(service) { layers } else { None };
        let listed =
            objects.iter().filter_map(|object| endpoints::scan_endpoint(object, layers_of));
        let peer = |listed: Listed| PeerEndpoint { address: listed.address, zone: listed.zone };
        self.set_peers(listed.filter(|listed| listed.is_engine).map(peer).collect());
    }

    fn set_peers(&self, peers: Vec<PeerEndpoint>) {
        let regions = self.cfg.regions();
        let region_of = |zone: &ZoneName| regions.get(zone).cloned().unwrap_or_default();
        let place_of = |peer: PeerEndpoint| {
            let at = SocketAddr::new(peer.address.ip(), self.cfg.agent_port);
            let region = region_of(&peer.zone);
            let place = PeerPlace { host: host_at(peer.address), zone: peer.zone, region };
            (place, at)
        };
        let mut places: Vec<(PeerPlace, SocketAddr)> = peers.into_iter().map(place_of).collect();
        if !places.iter().any(|(place, _)| place.host == self.place.host) {
            let at = SocketAddr::new(self.staging.address().ip(), self.cfg.agent_port);
            places.push((self.place.clone(), at));
        }
        // By a hash, so that hosts of a zone do not load one right after the other.
        places.sort_by_key(|(place, _)| Digest::of(place.host.as_str().as_bytes()));
        let rank = places.iter().position(|(place, _)| place.host == self.place.host);
        self.rank.set((rank.unwrap_or(0) as u32, places.len() as u32));
        self.swarm.set_peers(&places, self.origin_region().as_ref());
    }

    /// Asks the store for the newest version; the first one needs no entry there.
    async fn fetch_newest(&self, client: &mut StoreClient) {
        let Some(model) = self.model().map(|model| model.name) else {
            return;
        };
        let objects = match client.list(Kind::Weights, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.note_store(Kind::Weights, e.as_str()),
        };
        let named = objects.iter().filter_map(weights::scan_newest);
        let version =
            named.filter(|newest| newest.model == model).map(|newest| newest.version).max();
        self.named(&model, version.unwrap_or(FIRST_VERSION));
    }

    /// A version was named. Lower ones than known are old news.
    fn named(&self, model: &SmolStr, version: u64) {
        if self.model().is_none_or(|own| own.name != *model) {
            return;
        }
        if self.newest.get().is_some_and(|(known, _)| known >= version) {
            return;
        }
        slog::info!(self.log, "weights named"; "model" => model.as_str(), "version" => version);
        let now = self.clock.now();
        self.newest.set(Some((version, now)));
        self.versions.borrow_mut().name(version, now);
        self.swarm.want(model, version, self.held());
        self.told.notify_one();
    }

    /// Takes in what entries ask and tell.
    async fn listen(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM_LEN];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buf).await else {
                // An entry that is gone shows as an error on the next receive.
                continue;
            };
            let Ok(ask) = postcard::from_bytes::<ReportRequest>(&buf[..len]) else {
                self.metrics.count("asks_unreadable");
                continue;
            };
            let subscriber = Subscriber {
                asked_us: ask.sent_us,
                at: self.clock.now(),
                is_far: ask.is_far,
                wants_reports: ask.wants_reports,
                offer: ask.offer,
            };
            self.subscribers.borrow_mut().renew(from, subscriber);
            if let Some(told) = ask.setup {
                self.take_setup(told);
            }
            for (model, version) in &ask.newest {
                self.named(model, *version);
            }
        }
    }

    /// Asks the endpoint for its load and sends it to the entries.
    async fn report(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut same = 0;
        let mut turn = 0;
        let mut last: Option<LoadReport> = None;
        loop {
            let _ = timeout(REPORT_EVERY, self.report_now.notified()).await;
            let setup = self.setup.borrow().as_ref().map(|told| told.setup.clone());
            let layers = setup.as_ref().map_or(0, |setup| setup.model.layers);
            let report = match self.staging.report(layers).await {
                Ok(report) => report,
                Err(e) => {
                    if self.report.borrow_mut().take().is_some() {
                        slog::warn!(self.log, "endpoint lost"; "error" => e.as_str());
                    }
                    continue;
                }
            };
            self.note_life(&report);
            // Only a link that carries no live requests is free for weights.
            self.swarm.set_beside_requests(!report.load.weights.is_empty());
            let mut load = report.load.clone();
            load.accepts &= !self.is_ordering.get();
            let now = self.clock.now();
            load.entries = self.subscribers.borrow().len(now) as u32;
            load.has_heard_all = now.passed(self.started, COUNT_AFTER);
            load.readers = self.subscribers.borrow().readers(now) as u32;
            load.relay = self.subscribers.borrow().relay(now);
            load.root = self.subscribers.borrow().root(now);
            *self.report.borrow_mut() = Some(report);
            same = if last.as_ref() == Some(&load) { same + 1 } else { 0 };
            let is_turned = last.as_ref().is_none_or(|last| !serves_alike(last, &load));
            turn += 1;
            if same % SAME_REPORT_EVERY == 0 || is_turned {
                let setup_id = setup.as_ref().map_or(0, ModelSetup::id);
                let is_for_all = is_turned || turn % FAR_EVERY == 0;
                self.send(&socket, load.clone(), setup_id, is_for_all);
            }
            last = Some(load);
        }
    }

    /// An endpoint that started again has lost its layers and, after a loss of power, what was staged.
    fn note_life(&self, report: &Report) {
        let before = self.report.borrow().as_ref().map(|report| report.load.born);
        if before != Some(report.load.born) {
            slog::info!(self.log, "endpoint seen"; "born" => report.load.born,
                "weights" => report.load.weights.first().map_or(0, |(_, version)| *version));
        }
    }

    /// Versions that are so young that older ones may still answer, or have just been barred.
    fn named_lately(&self, now: Time) -> Vec<NamedVersion> {
        let Some(model) = self.model().map(|model| model.name) else {
            return Vec::new();
        };
        let young = Duration::from_millis(self.cfg.bounds.weights_ms) * 2;
        let versions = self.versions.borrow();
        let named = versions.ages(now).filter_map(|(version, age)| Some((version, age?)));
        let lately = named.filter(|(_, age)| *age < young).map(|(version, age)| NamedVersion {
            model: model.clone(),
            version,
            known_for_ms: age.as_millis() as u32,
        });
        lately.collect()
    }

    fn send(&self, socket: &UdpSocket, report: LoadReport, setup: u32, is_for_all: bool) {
        let now = self.clock.now();
        let port = self.staging.address().port();
        let (relay, root) = (report.relay, report.root);
        let report = Some(report).filter(|_| setup != 0);
        let named = self.named_lately(now);
        let mut told = ReportMessage { port, report, asked_us: 0, held_us: 0, setup, named };
        for (address, subscriber) in self.subscribers.borrow().receivers(is_for_all, now) {
            // Entries of other regions have a relay of their own, and hear of the root there.
            if let Some(report) = &mut told.report {
                report.relay = relay.filter(|_| !subscriber.is_far);
                report.root = root.filter(|_| !subscriber.is_far);
            }
            told.asked_us = subscriber.asked_us;
            told.held_us = now.since(subscriber.at).as_micros() as u64;
            match postcard::to_stdvec(&told) {
                // A datagram may be lost anyway; the next report follows.
                Ok(bytes) => drop(socket.try_send_to(&bytes, address)),
                Err(e) => slog::error!(self.log, "report not encoded"; "error" => e.to_string()),
            }
        }
    }

    /// The version that the endpoint holds whole.
    fn held(&self) -> Option<u64> {
        let name = self.model()?.name;
        let report = self.report.borrow();
        let weights = &report.as_ref()?.load.weights;
        weights.iter().find(|(model, _)| *model == name).map(|(_, version)| *version)
    }

    /// Orders loads when they are due.
    async fn load(self: Rc<Self>) {
        loop {
            sleep(LOAD_POLL).await;
            let is_held = |target: Target| self.held().is_some_and(|held| held >= target.version);
            if self.swarm.is_newer_complete() || self.swarm.loadable().is_some_and(is_held) {
                // An older version that is loaded or overtaken makes room for the newer one.
                self.swarm.drop_older().await;
            }
            let Some(target) = self.swarm.loadable() else {
                continue;
            };
            let is_busy = self.report.borrow().as_ref().is_none_or(|report| report.is_busy);
            if !is_busy && rollout::may_load(&self.situation(&target), self.clock.now()) {
                self.order(&target).await;
            }
        }
    }

    fn situation(&self, target: &Target) -> Situation {
        let held = self.held();
        let versions = self.versions.borrow();
        let named_at = versions.named_at(target.version).unwrap_or_default();
        let outdated_since = versions.outdated_since(held.unwrap_or(0)).unwrap_or(named_at);
        let (rank, hosts) = self.rank.get();
        let bound = Duration::from_millis(self.cfg.bounds.weights_ms);
        Situation { staged: target.version, named_at, held, outdated_since, rank, hosts, bound }
    }

    async fn order(&self, target: &Target) {
        self.is_ordering.set(true);
        self.report_now.notify_one();
        if self.held().is_some() && self.may_cut() {
            self.empty().await;
        }
        let ordered = self.order_checked(target).await;
        if ordered {
            self.swarm.drop_older().await;
            self.wait_for(target.version).await;
        }
        self.is_ordering.set(false);
        self.report_now.notify_one();
        if !ordered {
            sleep(ORDER_RETRY).await;
        }
    }

    /// Waits a while for requests to end, as entries send no new ones.
    async fn empty(&self) {
        let began = self.clock.now();
        while !self.clock.now().passed(began, EMPTY_FOR) {
            sleep(LOAD_POLL).await;
            let report = self.report.borrow();
            if report.as_ref().is_some_and(|r| r.load.running + r.load.waiting == 0) {
                return;
            }
        }
    }

    /// Orders the load of a version that has just been read once more.
    async fn order_checked(&self, target: &Target) -> bool {
        if !self.swarm.check_staged(target).await {
            return false;
        }
        let may_cut = self.may_cut();
        let mode = if may_cut { LoadMode::CutRunning } else { LoadMode::AfterRunning };
        match self.staging.load(&target.model, target.version, mode).await {
            Ok(()) => {
                slog::info!(self.log, "load ordered"; "version" => target.version,
                    "rank" => self.rank.get().0);
                true
            }
            Err(e) => {
                slog::warn!(self.log, "load not ordered"; "version" => target.version,
                    "error" => e.as_str(), "detail" => format!("{e:?}"));
                false
            }
        }
    }

    /// Waits until the endpoint shows the version or that it has not carried out the order.
    async fn wait_for(&self, version: u64) {
        let began = self.clock.now();
        while !self.clock.now().passed(began, ORDER_SHOWN_WITHIN) {
            sleep(LOAD_POLL).await;
            let is_busy = self.report.borrow().as_ref().is_some_and(|report| report.is_busy);
            if self.held() == Some(version) {
                let took = self.clock.now().since(began).as_millis() as u64;
                slog::info!(self.log, "weights in use"; "version" => version, "took_ms" => took);
                return;
            }
            let has_shown = self.clock.now().passed(began, REPORT_EVERY * 3);
            if has_shown && !is_busy {
                slog::warn!(self.log, "load not carried out"; "version" => version);
                return;
            }
        }
    }
}

/// Version that a model has before any is named.
const FIRST_VERSION: u64 = 1;

async fn serve_status(agent: Rc<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(LOAD_POLL).await;
            continue;
        };
        let agent = agent.clone();
        spawn_local(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let text = match req.uri().path() {
                    "/metrics" => agent.metrics.to_text(),
                    _ => agent.dump(),
                };
                let response = Response::new(AnswerBody::whole(Bytes::from(text)));
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
