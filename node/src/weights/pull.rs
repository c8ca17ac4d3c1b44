//! The thread that sends the requests of the swarm, several at once and each with a timeout.

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
use super::WantedVersions;
use super::budget::OriginBudget;
use super::fetch::FetchJob;
use super::fetch::OriginFetcher;
use super::serve;
use super::spawn_thread;
use super::store::Store;
use crate::telemetry::Counter;
use crate::transport::Transport;

/// Maximum time between two steps of the swarm.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of requests queued for the `weights-origin` thread; more are deferred.
const ORIGIN_QUEUE_LEN: usize = 8;

/// An input of the thread.
pub(super) enum Event {
    /// Sets the hosts that exchange weights.
    SetPeers(Vec<PeerAddress>),
    /// Sets the versions to download.
    SetWanted(WantedVersions),
    /// Sets whether requests of callers use this host's link.
    SetLinkShared(bool),
    /// A request has ended.
    Done {
        request: Request,
        /// Its outcome, as reported to the swarm.
        outcome: RequestOutcome,
        /// The chunks that the peer has, if its answer reported them.
        availability: Option<Have>,
        /// The error that caused the outcome, for the state dump.
        error: Option<Code>,
    },
}

/// Sends the requests of the swarm and stores the answers.
pub(super) struct Puller {
    setup: Setup,
    events: flume::WeakSender<Event>,
    serve: flume::WeakSender<serve::Event>,
    progress: Arc<Mutex<Progress>>,
    swarm: Swarm,
    addresses: HashMap<HostName, SocketAddr>,
    wanted: WantedVersions,
    last_error: Option<Code>,
}

impl Puller {
    pub(super) fn new(
        setup: Setup,
        events: flume::WeakSender<Event>,
        serve: flume::WeakSender<serve::Event>,
        progress: Arc<Mutex<Progress>>,
    ) -> Puller {
        let swarm = Swarm::new(&setup.location, setup.strategy);
        Puller {
            setup,
            events,
            serve,
            progress,
            swarm,
            addresses: HashMap::new(),
            wanted: WantedVersions::default(),
            last_error: None,
        }
    }

    /// Runs until all senders of events are dropped.
    pub(super) fn run(mut self, events: flume::Receiver<Event>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("runtime can be created");
        let seed = key_of(Digest::of(self.setup.location.host.as_str().as_bytes()));
        let origin = self.start_fetcher();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        runtime.block_on(async {
            while self.process_events(&events).await {
                let now = self.setup.clock.now();
                for request in self.swarm.step(now, &mut rng) {
                    self.send(request, &origin);
                }
                self.publish_progress();
            }
        });
    }

    fn start_fetcher(&self) -> flume::Sender<FetchJob> {
        let (tx, rx) = flume::bounded(ORIGIN_QUEUE_LEN);
        let fetcher = OriginFetcher {
            origin: self.setup.origin.clone(),
            budget: OriginBudget::new(self.setup.platform.clone()),
            store: self.setup.store.clone(),
        };
        let events = self.events.clone();
        spawn_thread("weights-origin", move || fetcher.run(&rx, &events));
        tx
    }

    /// Waits for events for at most one step interval and handles them. Returns false once all
    /// senders are dropped.
    async fn process_events(&mut self, events: &flume::Receiver<Event>) -> bool {
        match tokio::time::timeout(MAX_STEP_INTERVAL, events.recv_async()).await {
            Err(_) => return true,
            Ok(Err(_)) => return false,
            Ok(Ok(event)) => self.handle_event(event),
        }
        while let Ok(event) = events.try_recv() {
            self.handle_event(event);
        }
        true
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::SetPeers(peers) => self.set_peers(peers),
            Event::SetWanted(wanted) => self.set_wanted(wanted),
            Event::SetLinkShared(is_shared) => {
                self.swarm.set_link_shared(is_shared);
                self.setup.link.set_link_shared(is_shared);
            }
            Event::Done { request, outcome, availability, error } => {
                self.finish(&request, outcome, availability, error)
            }
        }
    }

    fn set_peers(&mut self, peers: Vec<PeerAddress>) {
        self.addresses =
            peers.iter().map(|peer| (peer.location.host.clone(), peer.address)).collect();
        let mut locations: Vec<PeerLocation> =
            peers.into_iter().map(|peer| peer.location).collect();
        if !locations.iter().any(|location| location.host == self.setup.location.host) {
            locations.push(self.setup.location.clone());
        }
        self.swarm.set_peers(&locations, self.setup.origin_region.as_ref());
    }

    fn set_wanted(&mut self, wanted: WantedVersions) {
        let now = self.setup.clock.now();
        self.setup.store.retain_versions(&wanted.versions);
        self.swarm.set_wanted_versions(&wanted.versions, now);
        self.wanted = wanted;
        for version in self.wanted.versions.clone() {
            if let Some(manifest) = self.setup.store.manifest(version) {
                self.add_manifest(&manifest);
            }
        }
    }

    fn add_manifest(&mut self, manifest: &Manifest) {
        let store = &self.setup.store;
        self.swarm.set_manifest(manifest, |digest| store.has(digest), self.setup.clock.now());
    }

    fn finish(
        &mut self,
        request: &Request,
        outcome: RequestOutcome,
        availability: Option<Have>,
        error: Option<Code>,
    ) {
        let now = self.setup.clock.now();
        self.last_error = error.or(self.last_error);
        self.count_transfer(request, &outcome);
        if let (Destination::Peer(id), Some(have)) = (request.destination, availability) {
            self.swarm.record_availability(id, request.version, have.chunks, have.queue_len, now);
        }
        if let RequestOutcome::Manifest(manifest) = &outcome {
            self.add_manifest(manifest);
            self.notify_server(request.version);
        }
        if let (RequestOutcome::Stored, RequestKind::Chunk { digest, .. }) =
            (&outcome, request.kind)
        {
            self.notify_server(digest);
            // `finish` ignores requests that have expired, but the chunk is stored.
            self.swarm.mark_stored(digest, now);
        }
        self.swarm.finish(request.flight, outcome, now);
    }

    fn notify_server(&self, digest: Digest) {
        if let Some(serve) = self.serve.upgrade() {
            let _ = serve.send(serve::Event::Stored(digest));
        }
    }

    fn send(&mut self, request: Request, origin: &flume::Sender<FetchJob>) {
        let now = self.setup.clock.now();
        match request.destination {
            Destination::Origin => {
                let max_copies = self.wanted.origin_copies;
                if origin.try_send(FetchJob { request, max_copies }).is_err() {
                    self.swarm.finish(request.flight, RequestOutcome::Deferred, now);
                }
            }
            Destination::Peer(id) => match self.address(id) {
                Some(address) => self.send_to_peer(request, address),
                None => self.swarm.finish(request.flight, RequestOutcome::Unreachable, now),
            },
            // Only the direct path has caches.
            Destination::Cache => {
                self.swarm.finish(request.flight, RequestOutcome::Unreachable, now)
            }
        }
    }

    fn address(&self, id: PeerId) -> Option<SocketAddr> {
        self.addresses.get(&self.swarm.location(id).host).copied()
    }

    fn send_to_peer(&self, request: Request, address: SocketAddr) {
        let message = RequestMessage {
            from: (self.setup.sender)(),
            body: RequestBody::Weights(peer_request(&request)),
        };
        let transport = self.setup.transport.clone();
        let store = self.setup.store.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let (outcome, availability, error) =
                exchange(&transport, address, &message, &request, &store).await;
            if let Some(events) = events.upgrade() {
                let _ =
                    events.send_async(Event::Done { request, outcome, availability, error }).await;
            }
        });
    }

    fn count_transfer(&self, request: &Request, outcome: &RequestOutcome) {
        let telemetry = &self.setup.telemetry;
        match (outcome, request.kind, request.destination) {
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

    fn publish_progress(&self) {
        let mut progress = self.progress.lock().expect("no holder of this lock panics");
        progress.missing = self.swarm.missing();
        progress.counts = self.swarm.counts();
        progress.last_error = self.last_error;
        progress.degraded_neighbours = self
            .swarm
            .degraded_neighbours()
            .map(|(location, _)| location.host.to_string())
            .collect();
    }
}

fn peer_request(request: &Request) -> WeightsRequest {
    let version = request.version;
    let long_poll_ms = u16::try_from(LONG_POLL_TIMEOUT.as_millis()).unwrap_or(u16::MAX);
    match request.kind {
        RequestKind::Manifest => WeightsRequest::Manifest { version, long_poll_ms },
        RequestKind::Chunk { digest, long_poll, .. } => WeightsRequest::Chunk {
            digest,
            version,
            long_poll_ms: if long_poll { long_poll_ms } else { 0 },
        },
        RequestKind::Have => WeightsRequest::Have(version),
    }
}

/// Sends one request to a peer and stores the bytes that it returns.
async fn exchange(
    transport: &Transport,
    address: SocketAddr,
    message: &RequestMessage,
    request: &Request,
    store: &Store,
) -> (RequestOutcome, Option<Have>, Option<Code>) {
    let mut call = transport.call(address, message);
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
