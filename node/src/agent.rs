//! The agent: a proxy for all requests to the endpoint of its host, and a peer in the distribution
//! of weights.
//!
//! | thread | task | file |
//! | --- | --- | --- |
//! | `asks` | handles the requests of other processes | `agent/peer_requests.rs` |
//! | `requests` | runs requests on the endpoint, one async task per request | `agent/run.rs` |
//! | `engine` | polls the endpoint, switches the gate, sends orders | `agent/engine_watch.rs` |
//! | `pull` | passes wanted versions and peers to the weight threads | `agent/pull.rs` |
//! | `control` | membership, and configuration and plans from peers | `control.rs` |
//! | `platform` | discovers the first peer | `platform_watch.rs` |

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::admission::Admission;
use mastichaven_core::attempts::AttemptTable;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::plan::Plan;
use mastichaven_core::platform::HostRole;
use mastichaven_core::share::EntryShares;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::Strategy;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use mastichaven_core::wire::Sender;
use serde_json::Value;
use serde_json::json;
use slog::info;
use slog::warn;

use crate::clock::Clock;
use crate::control;
use crate::control::Control;
use crate::control::ControlNode;
use crate::documents::Documents;
use crate::engine::Engine;
use crate::http_store::HttpStore;
use crate::operator;
use crate::operator::Operated;
use crate::operator::SizedBody;
use crate::origin::Origin;
use crate::platform_watch;
use crate::settings::AgentSettings;
use crate::settings::EndpointSettings;
use crate::telemetry::Gauge;
use crate::telemetry::Telemetry;
use crate::tls::Material;
use crate::transport::Transport;
use crate::weights::Setup;
use crate::weights::Store;
use crate::weights::Uplink;
use crate::weights::Weights;

mod engine_watch;
mod peer_requests;
mod pull;
mod run;

/// Result of starting an agent.
pub type Result<T> = std::result::Result<T, Code>;

/// Concurrency limit of a warm plain endpoint until the configuration of its service is known.
const DEFAULT_PLAIN_CONCURRENCY: u32 = 8;

/// Maximum number of requests queued for the `asks` thread; more are refused as busy.
const PEER_REQUEST_QUEUE_LEN: usize = 256;

/// How long a stopping agent refuses new requests before it exits, even if it is idle.
const LEAVE_DELAY: Duration = Duration::from_millis(1_000);

/// How often the threads poll for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by the threads of an agent.
struct Shared {
    settings: AgentSettings,
    telemetry: Telemetry,
    clock: Clock,
    incarnation: Incarnation,
    documents: Documents,
    transport: Transport,
    control: Control,
    host_leaves: AtomicBool,
    engine: Engine,
    serving: Mutex<Serving>,
    admission: Mutex<Admission>,
    attempts: Mutex<AttemptTable>,
    shares: Mutex<EntryShares>,
    last_crash: Mutex<(StartId, u32)>,
    jobs: flume::Sender<run::Job>,
    store: Arc<Store>,
    weights: Weights,
    takeover: Mutex<Option<(ModelName, Digest)>>,
    weights_url: Mutex<String>,
    stopping: AtomicBool,
    over: AtomicBool,
    in_flight: AtomicU32,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the agent admits no new requests, because it is stopping or its host is about to be
    /// removed.
    fn is_leaving(&self) -> bool {
        self.is_stopping() || self.host_leaves.load(Ordering::Acquire)
    }

    fn endpoint(&self) -> EndpointKind {
        match &self.settings.endpoint {
            EndpointSettings::Engine { .. } => EndpointKind::Engine,
            EndpointSettings::Plain { service, .. } => EndpointKind::Plain(service.clone()),
        }
    }

    fn member(&self) -> Member {
        let place = &self.settings.place;
        Member {
            host: place.host.clone(),
            role: HostRole::Agent,
            zone: place.zone.clone(),
            region: place.region.clone(),
            address: place.advertised.unwrap_or(self.transport.local_addr()),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            endpoint: self.endpoint(),
            memory_mib: self.settings.memory_mib,
            serving: self.serving.lock().expect("no holder of this lock panics").clone(),
            load: self.admission.lock().expect("no holder of this lock panics").load(),
        }
    }

    fn make_request(&self, body: RequestBody) -> RequestMessage {
        let from = Sender {
            host: self.settings.place.host.clone(),
            incarnation: self.incarnation,
            generation: self.documents.in_force().generation,
        };
        RequestMessage { from, body }
    }

    /// The model that this host must serve, with the revision of its plan and the plan. A takeover
    /// for a dead replica counts as well.
    fn wanted_plan(&self) -> Option<(ModelName, u64, Plan)> {
        let in_force = self.documents.in_force();
        in_force.config.model.keys().find_map(|model| {
            let (revision, plan) = self.documents.plan(model)?;
            self.wanted_version(&plan).map(|_| (model.clone(), revision, plan))
        })
    }

    /// The version that this host must serve under `plan`, including a takeover.
    fn wanted_version(&self, plan: &Plan) -> Option<Digest> {
        plan.version_for(&self.settings.place.host).or_else(|| {
            let takeover = self.takeover.lock().expect("no holder of this lock panics");
            takeover.as_ref().filter(|(model, _)| *model == plan.model).map(|(_, v)| *v)
        })
    }

    /// Transport address of a member. `None` if the host is not a member.
    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let members = self.control.members();
        members.iter().find(|member| member.host == *host).map(|member| member.address)
    }
}

/// A running agent.
pub struct Agent {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
    operators: SocketAddr,
}

impl Agent {
    /// Opens the store, binds the ports and starts the threads.
    pub fn start(
        settings: AgentSettings,
        material: &Material,
        telemetry: Telemetry,
        incarnation: Incarnation,
    ) -> Result<Agent> {
        let (tx, rx) = flume::bounded(PEER_REQUEST_QUEUE_LEN);
        let (jobs, job_rx) = flume::bounded(run::JOB_QUEUE_LEN);
        let transport = Transport::start(settings.place.peers, material, tx)?;
        let operators = settings.place.operators;
        let address = match &settings.endpoint {
            EndpointSettings::Engine { address, .. } | EndpointSettings::Plain { address, .. } => {
                address.clone()
            }
        };
        let warm_limit = match &settings.endpoint {
            EndpointSettings::Engine { concurrent, .. } => *concurrent,
            EndpointSettings::Plain { .. } => DEFAULT_PLAIN_CONCURRENCY,
        };
        let clock = Clock::start();
        let store = open_store(&settings)?;
        let weights = start_weights(&settings, &telemetry, &transport, &store, &clock, incarnation);
        let platform = Arc::new(HttpStore::new(&settings.platform));
        let shared = Arc::new(Shared {
            control: Control::new(settings.seeds.clone()),
            host_leaves: AtomicBool::new(false),
            engine: Engine::new(address),
            settings,
            telemetry,
            clock,
            incarnation,
            documents: Documents::default(),
            transport,
            serving: Mutex::new(Serving::Nothing),
            admission: Mutex::new(Admission::cold(warm_limit)),
            attempts: Mutex::default(),
            shares: Mutex::default(),
            last_crash: Mutex::default(),
            jobs,
            store,
            weights,
            takeover: Mutex::default(),
            weights_url: Mutex::default(),
            stopping: AtomicBool::new(false),
            over: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
        });
        let operators = operator::start(operators, shared.clone())?;
        *shared.weights_url.lock().expect("no holder of this lock panics") =
            format!("http://{operators}/weights/");
        let peer_requests = shared.clone();
        let requests = shared.clone();
        let threads = vec![
            spawn_thread("requests", move || run::run(&requests, &job_rx)),
            spawn_thread("asks", move || peer_requests::serve(&peer_requests, &rx)),
            control::start(&shared),
            platform_watch::start(&shared, platform),
            spawn_polling_thread("engine", &shared, engine_watch::run),
            spawn_polling_thread("pull", &shared, pull::run),
        ];
        info!(
            shared.telemetry.log, "started";
            "peers" => shared.transport.local_addr(),
            "operators" => operators,
        );
        Ok(Agent { shared, threads, operators })
    }

    /// Address of the transport for peers.
    pub fn peers_addr(&self) -> SocketAddr {
        self.shared.transport.local_addr()
    }

    /// Address of the HTTP port for operators.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators
    }

    /// Writes the state dump to the log.
    pub fn log_dump(&self) {
        let state = self.shared.dump().to_string();
        info!(self.shared.telemetry.log, "state"; "dump" => state);
    }

    /// Stops immediately and without announcing it, like a crash; for tests of how other processes
    /// react.
    pub fn crash(self) {
        self.shared.over.store(true, Ordering::Release);
        self.shared.transport.crash();
    }

    /// Stops gracefully: refuses new requests, drains those in progress and leaves the membership.
    /// Requests that still run at the stop deadline are aborted.
    pub fn stop(self) {
        self.shared.stopping.store(true, Ordering::Release);
        // Entries receive the leaving state in this time. If the process exited at once, an entry
        // that sends a request at that moment could not determine whether it ran.
        thread::sleep(LEAVE_DELAY);
        let deadline = self.shared.settings.stop_deadline_ms.map(Duration::from_millis);
        let begun = self.shared.clock.now();
        while self.shared.in_flight.load(Ordering::Acquire) > 0 {
            if deadline.is_some_and(|deadline| self.shared.clock.now().passed(begun, deadline)) {
                let in_flight = self.shared.in_flight.load(Ordering::Acquire);
                warn!(self.shared.telemetry.log, "stop deadline passed, aborting remaining requests";
                    "cut_off" => in_flight);
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.shared.over.store(true, Ordering::Release);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn open_store(settings: &AgentSettings) -> Result<Arc<Store>> {
    let limit = settings.store_bytes;
    let store = match &settings.cache_folder {
        Some(folder) => Store::in_folder(limit, folder)?,
        None => Store::in_memory(limit),
    };
    Ok(Arc::new(store))
}

fn start_weights(
    settings: &AgentSettings,
    telemetry: &Telemetry,
    transport: &Transport,
    store: &Arc<Store>,
    clock: &Clock,
    incarnation: Incarnation,
) -> Weights {
    let place = &settings.place;
    let location = PeerLocation {
        host: place.host.clone(),
        zone: place.zone.clone(),
        region: place.region.clone(),
    };
    let from = Sender { host: place.host.clone(), incarnation, generation: Default::default() };
    Weights::start(Setup {
        location,
        strategy: Strategy::Swarm,
        origin_region: settings.origin_region.clone(),
        transport: transport.clone(),
        store: store.clone(),
        origin: Origin::new(&settings.origin),
        platform: Arc::new(HttpStore::new(&settings.platform)),
        link: Arc::new(Uplink::new(settings.link_bytes_per_second)),
        clock: *clock,
        telemetry: telemetry.clone(),
        sender: Arc::new(move || from.clone()),
    })
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).expect("thread can be created")
}

fn spawn_polling_thread(
    name: &str,
    shared: &Arc<Shared>,
    run: fn(&Shared),
) -> thread::JoinHandle<()> {
    let shared = shared.clone();
    spawn_thread(name, move || run(&shared))
}

impl ControlNode for Shared {
    fn member(&self) -> Member {
        Shared::member(self)
    }

    fn make_request(&self, body: RequestBody) -> RequestMessage {
        Shared::make_request(self, body)
    }

    fn documents(&self) -> &Documents {
        &self.documents
    }

    fn transport(&self) -> &Transport {
        &self.transport
    }

    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    fn control(&self) -> &Control {
        &self.control
    }

    fn is_over(&self) -> bool {
        Shared::is_over(self)
    }

    fn set_host_leaving(&self, leaves: bool) {
        if self.host_leaves.swap(leaves, Ordering::AcqRel) != leaves {
            info!(self.telemetry.log, "host listed as leaving"; "leaves" => leaves);
        }
    }
}

impl Operated for Shared {
    fn is_ready(&self) -> bool {
        !self.is_leaving()
            && *self.serving.lock().expect("no holder of this lock panics") != Serving::Nothing
    }

    fn dump(&self) -> Value {
        let (chunks, versions, bytes) = self.store.counts();
        let progress = self.weights.progress();
        json!({
            "program": "mastichaven-agent",
            "generation": self.documents.in_force().generation,
            "documents": self.documents.revisions(),
            "member": self.member(),
            "members": self.control.members().len(),
            "traffic": {
                "sent": self.transport.traffic().sent,
                "received": self.transport.traffic().received,
            },
            "running": self.in_flight.load(Ordering::Acquire),
            "on_record": self.attempts.lock().expect("no holder of this lock panics").len(),
            "weights": {
                "chunks": chunks,
                "versions": versions,
                "bytes": bytes,
                "bytes_limit": self.settings.store_bytes,
                "chunks_missing": progress.missing,
                "polls": progress.counts.polls,
                "asks": progress.counts.requests,
                "corrupt": progress.counts.corrupt,
                "failed": progress.counts.failed,
                "troubled_neighbours": progress.degraded_neighbours,
                "last_error": progress.last_error.map(|code| code.number()),
            },
            "counts": self.telemetry.counts(),
            "uptime_ms": self.clock.now().as_millis(),
        })
    }

    fn weights(&self, manifest: Digest) -> Option<SizedBody> {
        let reader = self.store.reader(manifest)?;
        Some(SizedBody { len: reader.len(), reader: Box::new(reader) })
    }

    fn send_gauges(&self) {
        let in_flight = u64::from(self.in_flight.load(Ordering::Acquire));
        self.telemetry.gauge(Gauge::Running, in_flight);
        self.telemetry.gauge(Gauge::Generation, self.documents.in_force().generation.0);
    }

    fn is_over(&self) -> bool {
        Shared::is_over(self)
    }
}
