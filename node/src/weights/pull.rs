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
use mastichaven_core::swarm::Destination;
use mastichaven_core::swarm::LONG_POLL_TIMEOUT;
use mastichaven_core::swarm::PeerId;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_core::swarm::Request;
use mastichaven_core::swarm::RequestKind;
use mastichaven_core::swarm::RequestOutcome;
use mastichaven_core::swarm::Swarm;
use mastichaven_core::swarm::topology::key_of;
use mastichaven_core::weights::Have;
use mastichaven_core::weights::WeightsReply;
use mastichaven_core::weights::WeightsRequest;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
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
        end: RequestOutcome,
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
                self.swarm.set_link_shared(beside);
                self.setup.link.set_beside_requests(beside);
            }
            Event::Done { request, end, told, error } => self.done(&request, end, told, error),
        }
    }

    fn set_peers(&mut self, peers: Vec<PeerAddress>) {
        self.addresses = peers.iter().map(|peer| (peer.place.host.clone(), peer.address)).collect();
        let mut places: Vec<PeerLocation> = peers.into_iter().map(|peer| peer.place).collect();
        if !places.iter().any(|place| place.host == self.setup.me.host) {
            places.push(self.setup.me.clone());
        }
        self.swarm.set_peers(&places, self.setup.origin_region.as_ref());
    }

    fn want(&mut self, wanted: Wanted) {
        let now = self.setup.clock.now();
        self.setup.store.keep(&wanted.versions);
        self.swarm.set_wanted_versions(&wanted.versions, now);
        self.wanted = wanted;
        for version in self.wanted.versions.clone() {
            if let Some(manifest) = self.setup.store.manifest(version) {
                self.open(&manifest);
            }
        }
    }

    fn open(&mut self, manifest: &Manifest) {
        let store = &self.setup.store;
        self.swarm.set_manifest(manifest, |digest| store.has(digest), self.setup.clock.now());
    }

    fn done(
        &mut self,
        request: &Request,
        end: RequestOutcome,
        told: Option<Have>,
        error: Option<Code>,
    ) {
        let now = self.setup.clock.now();
        self.last_error = error.or(self.last_error);
        self.count(request, &end);
        if let (Destination::Peer(id), Some(have)) = (request.destination, told) {
            self.swarm.record_availability(id, request.version, have.chunks, have.queue_len, now);
        }
        if let RequestOutcome::Manifest(manifest) = &end {
            self.open(manifest);
            self.tell_server(request.version);
        }
        if let (RequestOutcome::Stored, RequestKind::Chunk { digest, .. }) = (&end, request.kind) {
            self.tell_server(digest);
            // Also when the swarm has given the request up meanwhile: the chunk is here.
            self.swarm.mark_stored(digest, now);
        }
        self.swarm.finish(request.flight, end, now);
    }

    fn tell_server(&self, digest: Digest) {
        if let Some(serve) = self.serve.upgrade() {
            let _ = serve.send(serve::Event::Stored(digest));
        }
    }

    fn carry_out(&mut self, request: Request, origin: &flume::Sender<Fetch>) {
        let now = self.setup.clock.now();
        match request.destination {
            Destination::Origin => {
                let copies = self.wanted.origin_copies;
                if origin.try_send(Fetch { request, copies }).is_err() {
                    self.swarm.finish(request.flight, RequestOutcome::Deferred, now);
                }
            }
            Destination::Peer(id) => match self.address(id) {
                Some(address) => self.ask_peer(request, address),
                None => self.swarm.finish(request.flight, RequestOutcome::Unreachable, now),
            },
            // This path has no caches.
            Destination::Cache => {
                self.swarm.finish(request.flight, RequestOutcome::Unreachable, now)
            }
        }
    }

    fn address(&self, id: PeerId) -> Option<SocketAddr> {
        self.addresses.get(&self.swarm.location(id).host).copied()
    }

    fn ask_peer(&self, request: Request, address: SocketAddr) {
        let ask = RequestMessage {
            from: (self.setup.sender)(),
            body: RequestBody::Weights(ask_of(&request)),
        };
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

    fn count(&self, request: &Request, end: &RequestOutcome) {
        let telemetry = &self.setup.telemetry;
        match (end, request.kind, request.destination) {
            (RequestOutcome::Stored, RequestKind::Chunk { len, .. }, Destination::Origin) => {
                telemetry.count(Counter::OriginChunks);
                telemetry.add(Counter::OriginBytes, len.into());
            }
            (RequestOutcome::Stored, RequestKind::Chunk { len, .. }, Destination::Peer(_)) => {
                telemetry.count(Counter::PeerChunks);
                telemetry.add(Counter::PeerBytes, len.into());
            }
            (RequestOutcome::Corrupt, ..) => telemetry.count(Counter::CorruptChunks),
            _ => {}
        }
    }

    fn publish(&self) {
        let mut progress = self.progress.lock().expect("no holder of this lock panics");
        progress.missing = self.swarm.missing();
        progress.counts = self.swarm.counts();
        progress.last_error = self.last_error;
        progress.troubled =
            self.swarm.degraded_neighbours().map(|(place, _)| place.host.to_string()).collect();
    }
}

fn ask_of(request: &Request) -> WeightsRequest {
    let version = request.version;
    let park = u16::try_from(LONG_POLL_TIMEOUT.as_millis()).unwrap_or(u16::MAX);
    match request.kind {
        RequestKind::Manifest => WeightsRequest::Manifest { version, long_poll_ms: park },
        RequestKind::Chunk { digest, long_poll: parks, .. } => {
            WeightsRequest::Chunk { digest, version, long_poll_ms: if parks { park } else { 0 } }
        }
        RequestKind::Have => WeightsRequest::Have(version),
    }
}

/// Sends one ask and judges its reply.
async fn exchange(
    transport: &Transport,
    address: SocketAddr,
    ask: &RequestMessage,
    request: &Request,
    store: &Store,
) -> (RequestOutcome, Option<Have>, Option<Code>) {
    let mut call = transport.call(address, ask);
    let reply = match tokio::time::timeout(request.timeout, call.next()).await {
        Err(_) | Ok(None) => return (RequestOutcome::TimedOut, None, None),
        Ok(Some(Err(Code::Unreachable))) => return (RequestOutcome::Unreachable, None, None),
        Ok(Some(Err(Code::Busy))) => return (RequestOutcome::Deferred, None, None),
        Ok(Some(Err(code))) => return (RequestOutcome::TimedOut, None, Some(code)),
        Ok(Some(Ok(reply))) => reply,
    };
    match (reply.body, request.kind) {
        (ReplyBody::Weights(WeightsReply::Have(have)), RequestKind::Have) => {
            (RequestOutcome::MapReceived, Some(have), None)
        }
        (ReplyBody::Weights(WeightsReply::Absent), _) => (RequestOutcome::Absent, None, None),
        (
            ReplyBody::Weights(WeightsReply::Bytes { bytes, have }),
            RequestKind::Chunk { digest, .. },
        ) => match store.put_chunk(digest, &bytes) {
            Ok(()) => (RequestOutcome::Stored, have, None),
            Err(Code::CorruptChunk) => (RequestOutcome::Corrupt, None, Some(Code::CorruptChunk)),
            Err(code) => (RequestOutcome::Deferred, have, Some(code)),
        },
        (ReplyBody::Weights(WeightsReply::Bytes { bytes, .. }), RequestKind::Manifest) => {
            let manifest = Manifest::decode(&bytes, request.version)
                .and_then(|manifest| store.put_manifest(manifest.clone()).map(|()| manifest));
            match manifest {
                Ok(manifest) => (RequestOutcome::Manifest(manifest), None, None),
                Err(code) => (RequestOutcome::Corrupt, None, Some(code)),
            }
        }
        (ReplyBody::Refused(Code::Busy), _) => (RequestOutcome::Busy, None, None),
        _ => (RequestOutcome::Corrupt, None, Some(Code::BadMessage)),
    }
}
