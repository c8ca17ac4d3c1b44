//! Weights on one host: the store, the rate limit, and the threads that pull and serve chunks.
//!
//! | thread | task | file |
//! | --- | --- | --- |
//! | `weights-pull` | sends the requests of `core::swarm` over QUIC | `weights/pull.rs` |
//! | `weights-origin` | pulls chunks from the origin within the budget | `weights/fetch.rs` |
//! | `weights-serve` | answers the requests of peers at the rate of the link | `weights/serve.rs` |

pub mod budget;
mod fetch;
pub mod link;
mod pull;
mod serve;
pub mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

pub use link::Link;
pub use link::Uplink;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::RegionName;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::swarm::Counts;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::Strategy;
use mastichaven_core::wire::Sender;
pub use store::Store;

use crate::clock::Clock;
use crate::origin::Origin;
use crate::telemetry::Telemetry;
use crate::transport::Incoming;
use crate::transport::Transport;

/// Maximum number of peer requests queued for the `weights-serve` thread; more are refused as busy.
const SERVE_QUEUE_LEN: usize = 1_024;

/// Maximum number of events queued for the `weights-pull` thread; senders block while it is full.
const EVENT_QUEUE_LEN: usize = 1_024;

/// A host that exchanges weights with this one.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddress {
    /// Name, zone and region of the host.
    pub location: PeerLocation,
    /// Address of its transport.
    pub address: SocketAddr,
}

/// Configuration and dependencies of the weight threads.
pub struct Setup {
    /// Name, zone and region of this host.
    pub location: PeerLocation,
    /// How versions are distributed among the hosts.
    pub strategy: Strategy,
    /// The region of the origin; `None` if it is in none of the regions.
    pub origin_region: Option<RegionName>,
    /// Connections to peers.
    pub transport: Transport,
    /// The chunks that this host holds.
    pub store: Arc<Store>,
    /// Client of the origin.
    pub origin: Origin,
    /// Stores the origin budget.
    pub platform: Arc<dyn ObjectStore>,
    /// The outgoing link of this host.
    pub link: Arc<dyn Link>,
    /// Clock of the process, shared with its other threads.
    pub clock: Clock,
    /// Counts chunks and bytes by source.
    pub telemetry: Telemetry,
    /// Returns the current sender of requests to peers.
    pub sender: Arc<dyn Fn() -> Sender + Send + Sync>,
}

/// The versions that a host must store, and the origin budget of each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WantedVersions {
    /// Manifest digests of the versions.
    pub versions: Vec<Digest>,
    /// Maximum number of copies of each version that leave the origin, over the whole fleet.
    pub origin_copies: f64,
}

/// Progress of the downloads, for the state dump.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Number of missing chunks of all wanted versions.
    pub missing: usize,
    /// Counters of requests to peers and to the origin.
    pub counts: Counts,
    /// Names of the neighbours that are down or demoted.
    pub degraded_neighbours: Vec<String>,
    /// The last error, such as a full store or an exhausted budget.
    pub last_error: Option<Code>,
}

/// The running weight threads of a host. They end when it is dropped.
pub struct Weights {
    store: Arc<Store>,
    pull: flume::Sender<pull::Event>,
    serve: flume::Sender<serve::Event>,
    progress: Arc<Mutex<Progress>>,
    wanted: Mutex<WantedVersions>,
    peers: Mutex<Vec<PeerAddress>>,
}

impl Weights {
    /// Starts the threads, without peers or wanted versions.
    pub fn start(setup: Setup) -> Weights {
        let (pull_tx, pull_rx) = flume::bounded(EVENT_QUEUE_LEN);
        let (serve_tx, serve_rx) = flume::bounded(SERVE_QUEUE_LEN);
        let store = setup.store.clone();
        let progress = Arc::new(Mutex::new(Progress::default()));
        let server = serve::Server::new(store.clone(), setup.link.clone(), setup.clock);
        spawn_thread("weights-serve", move || server.run(&serve_rx));
        let puller =
            pull::Puller::new(setup, pull_tx.downgrade(), serve_tx.downgrade(), progress.clone());
        spawn_thread("weights-pull", move || puller.run(pull_rx));
        Weights {
            store,
            pull: pull_tx,
            serve: serve_tx,
            progress,
            wanted: Mutex::default(),
            peers: Mutex::default(),
        }
    }

    /// The store that the threads fill and serve.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    /// Sets the wanted versions. All other versions may be removed from the store immediately.
    pub fn set_wanted(&self, wanted: WantedVersions) {
        let mut old = self.wanted.lock().expect("no holder of this lock panics");
        if *old != wanted && self.pull.send(pull::Event::SetWanted(wanted.clone())).is_ok() {
            *old = wanted;
        }
    }

    /// Sets the hosts that exchange weights.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        let mut old = self.peers.lock().expect("no holder of this lock panics");
        if *old != peers && self.pull.send(pull::Event::SetPeers(peers.clone())).is_ok() {
            *old = peers;
        }
    }

    /// Sets whether requests of callers use this host's link.
    pub fn set_link_shared(&self, is_shared: bool) {
        let _ = self.pull.try_send(pull::Event::SetLinkShared(is_shared));
    }

    /// Queues the request of a peer, or refuses it as busy.
    pub fn serve(&self, incoming: Incoming) {
        self.server().serve(incoming);
    }

    /// Returns a handle that queues peer requests from another thread.
    pub fn server(&self) -> ServerHandle {
        ServerHandle { events: self.serve.clone() }
    }

    /// Progress after the last step of the `weights-pull` thread.
    pub fn progress(&self) -> Progress {
        self.progress.lock().expect("no holder of this lock panics").clone()
    }
}

/// Queues peer requests for the `weights-serve` thread.
#[derive(Clone)]
pub struct ServerHandle {
    events: flume::Sender<serve::Event>,
}

impl ServerHandle {
    /// Queues the request of a peer, or refuses it as busy.
    pub fn serve(&self, incoming: Incoming) {
        let event = serve::Event::Request(Box::new(incoming));
        if let Err(flume::TrySendError::Full(serve::Event::Request(incoming))) =
            self.events.try_send(event)
        {
            serve::refuse_busy(&incoming.replies);
        }
    }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.to_owned()).spawn(run).expect("thread can be created");
}
