//! Weights on one host: the bounded store, the link, and the threads that pull and serve chunks.
//!
//! | thread | duty | file |
//! | --- | --- | --- |
//! | `weights-pull` | carries out what `core::swarm` decides, over QUIC | `weights/pull.rs` |
//! | `weights-origin` | takes chunks from the origin, after paying from the budget | `weights/fetch.rs` |
//! | `weights-serve` | answers peers, as fast as the link may | `weights/serve.rs` |

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

/// Asks from peers waiting for the serving thread; more are refused as busy.
const SERVE_RING: usize = 1_024;

/// Reports waiting for the pulling thread; reporters block while it is full.
const EVENT_RING: usize = 1_024;

/// A host that takes part and where it is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddress {
    /// Who and where it is.
    pub place: PeerLocation,
    /// Where peers reach it.
    pub address: SocketAddr,
}

/// What the threads need.
pub struct Setup {
    /// This host.
    pub me: PeerLocation,
    /// How versions travel.
    pub way: Strategy,
    /// The region the origin stands in, if it stands in one.
    pub origin_region: Option<RegionName>,
    /// The way to peers.
    pub transport: Transport,
    /// Where chunks are kept.
    pub store: Arc<Store>,
    /// The origin.
    pub origin: Origin,
    /// Where the origin budget is kept.
    pub platform: Arc<dyn ObjectStore>,
    /// This host's link.
    pub link: Arc<dyn Link>,
    /// The clock of this process.
    pub clock: Clock,
    /// Counts what comes from where.
    pub telemetry: Telemetry,
    /// What asks say of this process.
    pub sender: Arc<dyn Fn() -> Sender + Send + Sync>,
}

/// The versions that a host is to have, and the budget they may cost at the origin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wanted {
    /// Digests of their manifests.
    pub versions: Vec<Digest>,
    /// Copies of each that may leave the origin at most, for the whole fleet.
    pub origin_copies: f64,
}

/// What is known of the pulling, for the state dump.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Chunks missing of all wanted versions.
    pub missing: usize,
    /// What was asked.
    pub counts: Counts,
    /// Neighbours that are down or demoted.
    pub troubled: Vec<String>,
    /// The last numbered error, such as a full store or a spent budget.
    pub last_error: Option<Code>,
}

/// The running weight threads of a host. Dropping it ends them.
pub struct Weights {
    store: Arc<Store>,
    pull: flume::Sender<pull::Event>,
    serve: flume::Sender<serve::Event>,
    progress: Arc<Mutex<Progress>>,
    wanted: Mutex<Wanted>,
    peers: Mutex<Vec<PeerAddress>>,
}

impl Weights {
    /// Starts the threads.
    pub fn start(setup: Setup) -> Weights {
        let (pull_tx, pull_rx) = flume::bounded(EVENT_RING);
        let (serve_tx, serve_rx) = flume::bounded(SERVE_RING);
        let store = setup.store.clone();
        let progress = Arc::new(Mutex::new(Progress::default()));
        let server = serve::Server::new(store.clone(), setup.link.clone(), setup.clock);
        spawn("weights-serve", move || server.run(&serve_rx));
        let puller =
            pull::Puller::new(setup, pull_tx.downgrade(), serve_tx.downgrade(), progress.clone());
        spawn("weights-pull", move || puller.run(pull_rx));
        Weights {
            store,
            pull: pull_tx,
            serve: serve_tx,
            progress,
            wanted: Mutex::default(),
            peers: Mutex::default(),
        }
    }

    /// The store.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    /// Says which versions are to be here; all else may be dropped at once.
    pub fn want(&self, wanted: Wanted) {
        let mut old = self.wanted.lock().expect("no holder of this lock panics");
        if *old != wanted && self.pull.send(pull::Event::Want(wanted.clone())).is_ok() {
            *old = wanted;
        }
    }

    /// Says which hosts take part.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        let mut old = self.peers.lock().expect("no holder of this lock panics");
        if *old != peers && self.pull.send(pull::Event::Peers(peers.clone())).is_ok() {
            *old = peers;
        }
    }

    /// Says whether live requests run on this host's link.
    pub fn set_beside_requests(&self, beside: bool) {
        let _ = self.pull.try_send(pull::Event::BesideRequests(beside));
    }

    /// Answers a peer's ask, or refuses it as busy.
    pub fn serve(&self, incoming: Incoming) {
        self.server().serve(incoming);
    }

    /// A handle that answers peers' asks from another thread.
    pub fn server(&self) -> Serving {
        Serving { events: self.serve.clone() }
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        self.progress.lock().expect("no holder of this lock panics").clone()
    }
}

/// Hands peers' asks to the serving thread.
#[derive(Clone)]
pub struct Serving {
    events: flume::Sender<serve::Event>,
}

impl Serving {
    /// Answers a peer's ask, or refuses it as busy.
    pub fn serve(&self, incoming: Incoming) {
        let event = serve::Event::Ask(Box::new(incoming));
        if let Err(flume::TrySendError::Full(serve::Event::Ask(incoming))) =
            self.events.try_send(event)
        {
            serve::refuse_busy(&incoming.replies);
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.to_owned()).spawn(run).expect("the system gives a thread");
}
