//! What the agent learns: its service, its peers, and the newest version of its model.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::direct::catalog::ModelShape;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::PeerEndpoint;
use mastichaven_core::direct::replication::PeerList;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use mastichaven_core::swarm::PeerLocation;
use mastichaven_platform::config;
use mastichaven_platform::endpoints;
use mastichaven_platform::objects::Kind;
use mastichaven_platform::weights;
use rand::seq::SliceRandom;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::Agent;
use super::host_at;
use crate::direct::load_reports::SetupUpdate;
use crate::direct::peers;
use crate::direct::store::StoreClient;

/// Pause between tries to learn the setup.
const LEARN_EVERY: Duration = Duration::from_millis(300);

/// Time from the start after which an agent that no entry asks reads the setup in the store, drawn at
/// random. Entries ask about a second after they start, later if the configuration is large.
const SETUP_PATIENCE: Range<Duration> = Duration::from_secs(3)..Duration::from_secs(6);

/// How often peers are read again while chunks are missing. An entry of the zone is asked, and answers in a
/// few bytes if nothing has changed.
const PEERS_EVERY: Duration = Duration::from_millis(1_000);

/// Time for an entry to tell the peers, and entries that are asked at most before the store is.
const PEERS_WITHIN: Duration = Duration::from_millis(500);
const PEERS_TRIES: usize = 2;

/// How often the store is asked for the newest version while no entry asks: entries tell it else.
const ALONE_EVERY: Duration = Duration::from_millis(3_000);

/// Version that a model has before any is named.
const FIRST_VERSION: u64 = 1;

impl Agent {
    /// Learns the setup, the peers and the newest version, then follows them.
    pub(super) async fn follow(self: Rc<Self>) {
        let mut client = StoreClient::new(self.cfg.store, self.metrics.clone());
        self.until_set_up(&mut client).await;
        self.fetch_peers(&mut client).await;
        self.fetch_newest(&mut client).await;
        loop {
            let wait = if self.swarm.is_complete() { ALONE_EVERY } else { PEERS_EVERY };
            let is_updated = timeout(wait, self.updated.notified()).await.is_ok();
            let is_alone = self.subscribers.borrow().len(self.clock.now()) == 0;
            if is_updated || !self.swarm.is_complete() {
                self.fetch_peers(&mut client).await;
            }
            if is_alone || self.newest.get().is_none() {
                self.fetch_newest(&mut client).await;
            }
        }
    }

    /// Waits until an entry has sent the setup, or reads it in the store if none does.
    async fn until_set_up(&self, client: &mut StoreClient) {
        let patience = rand::random_range(SETUP_PATIENCE);
        while self.setup.borrow().is_none() {
            let _ = timeout(LEARN_EVERY, self.updated.notified()).await;
            let is_unset = self.setup.borrow().is_none();
            if is_unset && self.clock.now().passed(self.started, patience) {
                self.read_setup(client).await;
            }
        }
    }

    async fn read_setup(&self, client: &mut StoreClient) {
        let objects = match client.list(Kind::Config, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.note_store(Kind::Config, e.as_str()),
        };
        let Some(catalog) = objects.iter().find_map(config::parse_config) else {
            return;
        };
        let own = self.cfg.service.as_ref().and_then(|service| catalog.model_setup(service));
        let any = || catalog.services().find_map(|service| catalog.model_setup(&service.name));
        if let Some(setup) = own.or_else(any) {
            self.apply_setup(SetupUpdate { version: catalog.version(), setup });
        }
    }

    /// Goes by a setup unless a newer one is known.
    pub(super) fn apply_setup(&self, update: SetupUpdate) {
        let known = self.setup.borrow().clone();
        if known.as_ref().is_some_and(|known| known.version >= update.version) {
            return;
        }
        // Entries that have just started send what is known already. Were that a change, each agent would
        // read the peers anew for each of them.
        let is_new = known.is_none_or(|known| known.setup != update.setup);
        let origin = update.setup.origin.as_ref().map(|origin| origin.address);
        let (model, version) = (update.setup.model.name.clone(), update.version);
        *self.setup.borrow_mut() = Some(update);
        if is_new {
            slog::info!(self.log, "service known"; "model" => model.as_str(), "config" => version);
            self.swarm.set_origin(origin);
            self.updated.notify_one();
        }
    }

    /// The model of the own service.
    pub(super) fn model(&self) -> Option<ModelShape> {
        self.setup.borrow().as_ref().map(|update| update.setup.model.clone())
    }

    /// Whether all streams of the service can be continued elsewhere.
    pub(super) fn may_cut(&self) -> bool {
        self.setup.borrow().as_ref().is_some_and(|update| update.setup.is_resumable)
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
        let hello = Hello::Peers { service, known_id: self.peer_list.get() };
        let mut entries = self.subscribers.borrow().regional_entries(self.clock.now());
        entries.shuffle(&mut rand::rng());
        for ip in entries.into_iter().take(PEERS_TRIES) {
            let address = SocketAddr::new(ip, self.cfg.agent_port);
            match peers::request(address, &hello, PEERS_WITHIN).await {
                Ok(list) => return Some(list),
                Err(e) => {
                    slog::info!(self.log, "peers not received"; "entry" => address.to_string(),
                    "error" => e.as_str())
                }
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
            objects.iter().filter_map(|object| endpoints::parse_endpoint(object, layers_of));
        let peer =
            |listed: EndpointRecord| PeerEndpoint { address: listed.address, zone: listed.zone };
        self.set_peers(listed.filter(|listed| listed.is_engine).map(peer).collect());
    }

    fn set_peers(&self, peers: Vec<PeerEndpoint>) {
        let regions = self.cfg.regions();
        let region_of = |zone: &ZoneName| regions.get(zone).cloned().unwrap_or_default();
        let place_of = |peer: PeerEndpoint| {
            let at = SocketAddr::new(peer.address.ip(), self.cfg.agent_port);
            let region = region_of(&peer.zone);
            let place = PeerLocation { host: host_at(peer.address), zone: peer.zone, region };
            (place, at)
        };
        let mut places: Vec<(PeerLocation, SocketAddr)> = peers.into_iter().map(place_of).collect();
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
        let named = objects.iter().filter_map(weights::parse_newest_version);
        let version =
            named.filter(|newest| newest.model == model).map(|newest| newest.version).max();
        self.named(&model, version.unwrap_or(FIRST_VERSION));
    }

    /// A version was named. Lower ones than known are ignored.
    pub(super) fn named(&self, model: &SmolStr, version: u64) {
        if self.model().is_none_or(|own| own.name != *model) {
            return;
        }
        if self.newest.get().is_some_and(|(known, _)| known >= version) {
            return;
        }
        slog::info!(self.log, "weights announced"; "model" => model.as_str(), "version" => version);
        let now = self.clock.now();
        self.newest.set(Some((version, now)));
        self.versions.borrow_mut().record_announcement(version, now);
        self.swarm.want(model, version, self.held());
        self.updated.notify_one();
    }
}
