//! The thread that carries out the swarm's decisions: several requests in flight, each bounded.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::swarm::End;
use mastichaven_core::swarm::PARK;
use mastichaven_core::swarm::PeerId;
use mastichaven_core::swarm::PeerPlace;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::Swarm;
use mastichaven_core::swarm::To;
use mastichaven_core::swarm::What;
use mastichaven_core::swarm::topology::key_of;
use mastichaven_core::weights::Have;
use mastichaven_core::weights::WeightsAsk;
use mastichaven_core::weights::WeightsReply;
use mastichaven_core::wire::Ask;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::ReplyBody;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::PeerAddress;
use super::Progress;
use super::Setup;
use super::Wanted;
use super::budget::OriginBudget;
use super::fetch::Fetch;
use super::fetch::Fetcher;
use super::serve;
use super::spawn;
use super::store::Store;
use crate::telemetry::Counter;
use crate::transport::Transport;

/// How often the swarm decides at least.
const TICK: Duration = Duration::from_millis(40);

/// Requests waiting for the origin thread.
const ORIGIN_RING: usize = 8;

/// What the thread is told.
pub(super) enum Event {
    /// The hosts that take part.
    Peers(Vec<PeerAddress>),
    /// The versions to have.
    Want(Wanted),
    /// Whether live requests run on this host's link.
    BesideRequests(bool),
    /// A request has ended.
    Done {
        /// The request.
        request: Request,
        /// How it ended.
        end: End,
        /// What the peer said it has.
        told: Option<Have>,
        /// The numbered error behind it.
        error: Option<Code>,
    },
}

/// Carries out requests.
pub(super) struct Puller {
    setup: Setup,
    events: flume::WeakSender<Event>,
    serve: flume::WeakSender<serve::Event>,
    progress: Arc<Mutex<Progress>>,
    swarm: Swarm,
    addresses: HashMap<HostName, SocketAddr>,
    wanted: Wanted,
    last_error: Option<Code>,
}

impl Puller {
    pub(super) fn new(
        setup: Setup,
        events: flume::WeakSender<Event>,
        serve: flume::WeakSender<serve::Event>,
        progress: Arc<Mutex<Progress>>,
    ) -> Puller {
        let swarm = Swarm::new(&setup.me, setup.way);
        Puller {
            setup,
            events,
            serve,
            progress,
            swarm,
            addresses: HashMap::new(),
            wanted: Wanted::default(),
            last_error: None,
        }
    }

    /// Runs until nobody can send events any more.
    pub(super) fn run(mut self, events: flume::Receiver<Event>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("the system gives a timer");
        let seed = key_of(Digest::of(self.setup.me.host.as_str().as_bytes()));
        let origin = self.start_origin();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        runtime.block_on(async {
            while self.wait(&events).await {
                let now = self.setup.clock.now();
                for request in self.swarm.step(now, &mut rng) {
                    self.carry_out(request, &origin);
                }
                self.publish();
            }
        });
    }

    fn start_origin(&self) -> flume::Sender<Fetch> {
        let (tx, rx) = flume::bounded(ORIGIN_RING);
        let fetcher = Fetcher {
            origin: self.setup.origin.clone(),
            budget: OriginBudget::new(self.setup.platform.clone()),
            store: self.setup.store.clone(),
        };
        let events = self.events.clone();
        spawn("weights-origin", move || fetcher.run(&rx, &events));
        tx
    }

    /// Takes in what has happened; false when it is time to end.
    async fn wait(&mut self, events: &flume::Receiver<Event>) -> bool {
        match tokio::time::timeout(TICK, events.recv_async()).await {
            Err(_) => return true,
            Ok(Err(_)) => return false,
            Ok(Ok(event)) => self.take(event),
        }
        while let Ok(event) = events.try_recv() {
            self.take(event);
        }
        true
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Peers(peers) => self.set_peers(peers),
            Event::Want(wanted) => self.want(wanted),
            Event::BesideRequests(beside) => {
                self.swarm.set_beside_requests(beside);
                self.setup.link.set_beside_requests(beside);
            }
            Event::Done { request, end, told, error } => self.done(&request, end, told, error),
        }
    }

    fn set_peers(&mut self, peers: Vec<PeerAddress>) {
        self.addresses = peers.iter().map(|peer| (peer.place.host.clone(), peer.address)).collect();
        let mut places: Vec<PeerPlace> = peers.into_iter().map(|peer| peer.place).collect();
        if !places.iter().any(|place| place.host == self.setup.me.host) {
            places.push(self.setup.me.clone());
        }
        self.swarm.set_peers(&places, self.setup.origin_region.as_ref());
    }

    fn want(&mut self, wanted: Wanted) {
        let now = self.setup.clock.now();
        self.setup.store.keep(&wanted.versions);
        self.swarm.want(&wanted.versions, now);
        self.wanted = wanted;
        for version in self.wanted.versions.clone() {
            if let Some(manifest) = self.setup.store.manifest(version) {
                self.open(&manifest);
            }
        }
    }

    fn open(&mut self, manifest: &Manifest) {
        let store = &self.setup.store;
        self.swarm.open(manifest, |digest| store.has(digest), self.setup.clock.now());
    }

    fn done(&mut self, request: &Request, end: End, told: Option<Have>, error: Option<Code>) {
        let now = self.setup.clock.now();
        self.last_error = error.or(self.last_error);
        self.count(request, &end);
        if let (To::Peer(id), Some(have)) = (request.to, told) {
            self.swarm.note_map(id, request.version, have.chunks, have.queue, now);
        }
        if let End::Manifest(manifest) = &end {
            self.open(manifest);
            self.tell_server(request.version);
        }
        if let (End::Stored, What::Chunk { digest, .. }) = (&end, request.what) {
            self.tell_server(digest);
            // Also when the swarm has given the request up meanwhile: the chunk is here.
            self.swarm.stored(digest, now);
        }
        self.swarm.end(request.flight, end, now);
    }

    fn tell_server(&self, digest: Digest) {
        if let Some(serve) = self.serve.upgrade() {
            let _ = serve.send(serve::Event::Stored(digest));
        }
    }

    fn carry_out(&mut self, request: Request, origin: &flume::Sender<Fetch>) {
        let now = self.setup.clock.now();
        match request.to {
            To::Origin => {
                let copies = self.wanted.origin_copies;
                if origin.try_send(Fetch { request, copies }).is_err() {
                    self.swarm.end(request.flight, End::NotNow, now);
                }
            }
            To::Peer(id) => match self.address(id) {
                Some(address) => self.ask_peer(request, address),
                None => self.swarm.end(request.flight, End::Unreachable, now),
            },
            // This path has no caches.
            To::Cache => self.swarm.end(request.flight, End::Unreachable, now),
        }
    }

    fn address(&self, id: PeerId) -> Option<SocketAddr> {
        self.addresses.get(&self.swarm.place(id).host).copied()
    }

    fn ask_peer(&self, request: Request, address: SocketAddr) {
        let ask = Ask { from: (self.setup.sender)(), body: AskBody::Weights(ask_of(&request)) };
        let transport = self.setup.transport.clone();
        let store = self.setup.store.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let (end, told, error) = exchange(&transport, address, &ask, &request, &store).await;
            if let Some(events) = events.upgrade() {
                let _ = events.send_async(Event::Done { request, end, told, error }).await;
            }
        });
    }

    fn count(&self, request: &Request, end: &End) {
        let telemetry = &self.setup.telemetry;
        match (end, request.what, request.to) {
            (End::Stored, What::Chunk { len, .. }, To::Origin) => {
                telemetry.count(Counter::OriginChunks);
                telemetry.add(Counter::OriginBytes, len.into());
            }
            (End::Stored, What::Chunk { len, .. }, To::Peer(_)) => {
                telemetry.count(Counter::PeerChunks);
                telemetry.add(Counter::PeerBytes, len.into());
            }
            (End::Corrupt, ..) => telemetry.count(Counter::CorruptChunks),
            _ => {}
        }
    }

    fn publish(&self) {
        let mut progress = self.progress.lock().expect("no holder of this lock panics");
        progress.missing = self.swarm.missing();
        progress.counts = self.swarm.counts();
        progress.last_error = self.last_error;
        progress.troubled =
            self.swarm.troubled().map(|(place, _)| place.host.to_string()).collect();
    }
}

fn ask_of(request: &Request) -> WeightsAsk {
    let version = request.version;
    let park = u16::try_from(PARK.as_millis()).unwrap_or(u16::MAX);
    match request.what {
        What::Manifest => WeightsAsk::Manifest { version, park_ms: park },
        What::Chunk { digest, park: parks, .. } => {
            WeightsAsk::Chunk { digest, version, park_ms: if parks { park } else { 0 } }
        }
        What::Have => WeightsAsk::Have(version),
    }
}

/// Sends one ask and judges its reply.
async fn exchange(
    transport: &Transport,
    address: SocketAddr,
    ask: &Ask,
    request: &Request,
    store: &Store,
) -> (End, Option<Have>, Option<Code>) {
    let mut call = transport.call(address, ask);
    let reply = match tokio::time::timeout(request.timeout, call.next()).await {
        Err(_) | Ok(None) => return (End::Silent, None, None),
        Ok(Some(Err(Code::Unreachable))) => return (End::Unreachable, None, None),
        Ok(Some(Err(Code::Busy))) => return (End::NotNow, None, None),
        Ok(Some(Err(code))) => return (End::Silent, None, Some(code)),
        Ok(Some(Ok(reply))) => reply,
    };
    match (reply.body, request.what) {
        (ReplyBody::Weights(WeightsReply::Have(have)), What::Have) => (End::Told, Some(have), None),
        (ReplyBody::Weights(WeightsReply::Absent), _) => (End::Absent, None, None),
        (ReplyBody::Weights(WeightsReply::Bytes { bytes, have }), What::Chunk { digest, .. }) => {
            match store.put_chunk(digest, &bytes) {
                Ok(()) => (End::Stored, have, None),
                Err(Code::CorruptChunk) => (End::Corrupt, None, Some(Code::CorruptChunk)),
                Err(code) => (End::NotNow, have, Some(code)),
            }
        }
        (ReplyBody::Weights(WeightsReply::Bytes { bytes, .. }), What::Manifest) => {
            let manifest = Manifest::decode(&bytes, request.version)
                .and_then(|manifest| store.put_manifest(manifest.clone()).map(|()| manifest));
            match manifest {
                Ok(manifest) => (End::Manifest(manifest), None, None),
                Err(code) => (End::Corrupt, None, Some(code)),
            }
        }
        (ReplyBody::Refused(Code::Busy), _) => (End::Busy, None, None),
        _ => (End::Corrupt, None, Some(Code::BadMessage)),
    }
}
