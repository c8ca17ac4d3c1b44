//! Discovers the agent's service setup, its peers and the newest version of its model.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::direct::catalog::ModelShape;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::replication::Hello;
use mastichaven_core::direct::replication::PeerEndpoint;
use mastichaven_core::direct::replication::PeerList;
use mastichaven_core::direct::versions::Announcement;
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
use super::host_name_of;
use crate::direct::load_reports::SetupUpdate;
use crate::direct::peers;
use crate::direct::store::StoreClient;

/// Interval between checks for the setup during startup.
const SETUP_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Delay after the start, with jitter, before an agent without a setup from an entry reads it from the store.
/// Entries send it about a second after they start, or later if the configuration is large.
const STORE_FALLBACK_DELAY: Range<Duration> = Duration::from_secs(3)..Duration::from_secs(6);

/// Interval between updates of the peer list while chunks are missing. The list is requested from an entry of
/// the region, which replies with a few bytes if the list is unchanged.
const PEER_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of a peer list request to an entry, and the maximum number of entries tried before the store.
const PEER_LIST_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_PEER_LIST_ATTEMPTS: usize = 2;

/// Interval between reads of the newest version from the store while no entry sends requests, which otherwise
/// contain it.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Version of a model for which no version has been announced.
const INITIAL_VERSION: u64 = 1;

impl Agent {
    /// Fetches the setup, the peers and the newest version, then keeps them current; runs until the process
    /// exits.
    pub(super) async fn follow_updates(self: Rc<Self>) {
        let mut client = StoreClient::new(self.cfg.store, self.metrics.clone(), Rc::default());
        self.wait_for_setup(&mut client).await;
        self.fetch_peers(&mut client).await;
        self.fetch_newest_version(&mut client).await;
        loop {
            let wait =
                if self.swarm.is_complete() { STORE_POLL_INTERVAL } else { PEER_LIST_INTERVAL };
            let is_updated = timeout(wait, self.updated.notified()).await.is_ok();
            let has_no_subscribers = self.subscribers.borrow().len(self.clock.now()) == 0;
            if is_updated || !self.swarm.is_complete() {
                self.fetch_peers(&mut client).await;
            }
            if has_no_subscribers || self.newest.get().is_none() {
                self.fetch_newest_version(&mut client).await;
            }
        }
    }

    /// Waits until an entry sends the setup; reads it from the store if none does in time.
    async fn wait_for_setup(&self, client: &mut StoreClient) {
        let fallback_delay = rand::random_range(STORE_FALLBACK_DELAY);
        while self.setup.borrow().is_none() {
            let _ = timeout(SETUP_POLL_INTERVAL, self.updated.notified()).await;
            let is_missing = self.setup.borrow().is_none();
            if is_missing && self.clock.now().passed(self.started_at, fallback_delay) {
                self.fetch_setup_from_store(client).await;
            }
        }
    }

    async fn fetch_setup_from_store(&self, client: &mut StoreClient) {
        let objects = match client.list(Kind::Config, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.record_store_failure(Kind::Config, e.as_str()),
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

    /// Applies a setup unless the current one is from the same or a newer configuration.
    pub(super) fn apply_setup(&self, update: SetupUpdate) {
        let current = self.setup.borrow().clone();
        if current.as_ref().is_some_and(|current| current.version >= update.version) {
            return;
        }
        // Newly started entries send a setup that is already applied. If that counted as a change, each agent
        // would fetch its peers again for each of these entries.
        let is_changed = current.is_none_or(|current| current.setup != update.setup);
        let origin = update.setup.origin.as_ref().map(|origin| origin.address);
        let (model, version) = (update.setup.model.name.clone(), update.version);
        *self.setup.borrow_mut() = Some(update);
        if is_changed {
            slog::info!(self.log, "setup applied"; "model" => model.as_str(), "config" => version);
            self.swarm.set_origin(origin);
            self.updated.notify_one();
        }
    }

    /// The model of this agent's service; `None` until the setup is known.
    pub(super) fn model(&self) -> Option<ModelShape> {
        self.setup.borrow().as_ref().map(|update| update.setup.model.clone())
    }

    /// Whether all streams of the service can be resumed at another endpoint.
    pub(super) fn may_interrupt_streams(&self) -> bool {
        self.setup.borrow().as_ref().is_some_and(|update| update.setup.is_resumable)
    }

    /// The origin's region. A chunk that is first sent to another region crosses one more region boundary.
    fn origin_region(&self) -> Option<RegionName> {
        let setup = self.setup.borrow();
        let origin = setup.as_ref()?.setup.origin.as_ref()?;
        self.cfg.regions.get(&origin.zone).cloned()
    }

    fn record_store_failure(&self, kind: Kind, error: &'static str) {
        self.metrics.count("store_failures");
        slog::warn!(self.log, "store read failed"; "kind" => kind.as_str(), "error" => error);
    }

    /// Fetches the peers from an entry, or from the store if no entry replies.
    async fn fetch_peers(&self, client: &mut StoreClient) {
        match self.fetch_peers_from_entries().await {
            Some(PeerList { id, peers: Some(peers) }) => {
                self.peer_list.set(id);
                self.set_peers(peers);
            }
            Some(PeerList { peers: None, .. }) => {}
            None => self.fetch_peers_from_store(client).await,
        }
    }

    async fn fetch_peers_from_entries(&self) -> Option<PeerList> {
        let service = self.cfg.service.clone()?;
        let hello = Hello::Peers { service, known_id: self.peer_list.get() };
        let mut entries = self.subscribers.borrow().regional_entries(self.clock.now());
        entries.shuffle(&mut rand::rng());
        for ip in entries.into_iter().take(MAX_PEER_LIST_ATTEMPTS) {
            let address = SocketAddr::new(ip, self.cfg.agent_port);
            match peers::request(address, &hello, PEER_LIST_TIMEOUT).await {
                Ok(list) => return Some(list),
                Err(e) => {
                    slog::info!(self.log, "peer list request failed"; "entry" => address.to_string(),
                    "error" => e.as_str())
                }
            }
        }
        None
    }

    async fn fetch_peers_from_store(&self, client: &mut StoreClient) {
        let objects = match client.list(Kind::Endpoints, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.record_store_failure(Kind::Endpoints, e.as_str()),
        };
        let layers = self.model().map(|model| model.layers);
        let own = self.cfg.service.clone();
        let layers_of =
            |service: &ServiceName| if own.as_ref() == Some(service) { layers } else { None };
        let listed =
            objects.iter().filter_map(|object| endpoints::parse_endpoint(object, layers_of));
        let peer =
            |listed: EndpointRecord| PeerEndpoint { address: listed.address, zone: listed.zone };
        self.set_peers(listed.filter(|listed| listed.is_engine).map(peer).collect());
    }

    fn set_peers(&self, peers: Vec<PeerEndpoint>) {
        let regions = self.cfg.regions();
        let region_of = |zone: &ZoneName| regions.get(zone).cloned().unwrap_or_default();
        let location_of = |peer: PeerEndpoint| {
            let address = SocketAddr::new(peer.address.ip(), self.cfg.agent_port);
            let region = region_of(&peer.zone);
            let location =
                PeerLocation { host: host_name_of(peer.address), zone: peer.zone, region };
            (location, address)
        };
        let mut locations: Vec<(PeerLocation, SocketAddr)> =
            peers.into_iter().map(location_of).collect();
        if !locations.iter().any(|(location, _)| location.host == self.location.host) {
            let address = SocketAddr::new(self.endpoint_client.address().ip(), self.cfg.agent_port);
            locations.push((self.location.clone(), address));
        }
        // The order is by hash so that hosts of one zone do not load in direct succession.
        locations.sort_by_key(|(location, _)| Digest::of(location.host.as_str().as_bytes()));
        let rank = locations.iter().position(|(location, _)| location.host == self.location.host);
        self.rank.set((rank.unwrap_or(0) as u32, locations.len() as u32));
        self.swarm.set_peers(&locations, self.origin_region().as_ref());
    }

    /// Reads the newest version from the store. A model without a record there is at [`INITIAL_VERSION`].
    async fn fetch_newest_version(&self, client: &mut StoreClient) {
        let Some(model) = self.model().map(|model| model.name) else {
            return;
        };
        let objects = match client.list(Kind::Weights, true).await {
            Ok((objects, _)) => objects,
            Err(e) => return self.record_store_failure(Kind::Weights, e.as_str()),
        };
        let records = objects.iter().filter_map(weights::parse_newest_version);
        let version =
            records.filter(|newest| newest.model == model).map(|newest| newest.version).max();
        self.record_announcement(&model, version.unwrap_or(INITIAL_VERSION));
    }

    /// Records the announcement of a version; older versions and those of other models are ignored.
    pub(super) fn record_announcement(&self, model: &SmolStr, version: u64) {
        if self.model().is_none_or(|own| own.name != *model) {
            return;
        }
        if self.newest.get().is_some_and(|(current, _)| current >= version) {
            return;
        }
        slog::info!(self.log, "weights announced"; "model" => model.as_str(), "version" => version);
        let now = self.clock.now();
        self.newest.set(Some((version, now)));
        self.versions.borrow_mut().record_announcement(version, Announcement::at(now));
        self.swarm.set_wanted_version(model, version, self.held_version());
        self.updated.notify_one();
    }
}
