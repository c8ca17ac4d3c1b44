//! A small fleet in one process: stand-ins, entries and agents over loopback sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_node::agent::Agent;
use mastichaven_node::entry::Entry;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::process::new_incarnation;
use mastichaven_node::publish;
use mastichaven_node::settings::AgentSettings;
use mastichaven_node::settings::EndpointSettings;
use mastichaven_node::settings::EntrySettings;
use mastichaven_node::settings::Place;
use mastichaven_node::settings::TlsFiles;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;
use mastichaven_standins::Engine;
use mastichaven_standins::EngineProfile;
use mastichaven_standins::Origin;
use mastichaven_standins::Plain;
use mastichaven_standins::Platform;

/// Result of running a fleet.
pub type Result<T> = std::result::Result<T, String>;

/// The key of the demo's only customer.
pub const CUSTOMER_KEY: &str = "demo-key";

const ANY: &str = "127.0.0.1:0";

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Availability zones and their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Entries in each zone.
    pub entries: usize,
    /// Model engines in each zone.
    pub engines: usize,
    /// Bytes a second of the origin's link.
    pub origin_rate: f64,
}

/// A running fleet.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The origin of weights.
    pub origin: Origin,
    /// Engines, by host.
    pub engines: BTreeMap<HostName, Engine>,
    /// The plain service.
    pub plain: Plain,
    /// Entries with their zones.
    pub entries: Vec<(&'static str, Entry)>,
    /// Agents by host.
    pub agents: BTreeMap<HostName, Agent>,
}

impl Fleet {
    /// Starts everything and lists the hosts on the platform.
    pub fn start(layout: &Layout) -> Result<Fleet> {
        let io = |e: std::io::Error| e.to_string();
        let ca = DevelopmentCa::generate().map_err(|e| e.to_string())?;
        let mut fleet = Fleet {
            platform: Platform::start(ANY).map_err(io)?,
            origin: Origin::start(ANY, layout.origin_rate).map_err(io)?,
            engines: BTreeMap::new(),
            plain: Plain::start(ANY, 1).map_err(io)?,
            entries: Vec::new(),
            agents: BTreeMap::new(),
        };
        let mut listed = Vec::new();
        for (index, &(zone, region)) in layout.zones.iter().enumerate() {
            for n in 0..layout.entries {
                let place = place(&format!("entry-{zone}-{n}"), zone, region);
                listed.push(fleet.start_entry(&ca, zone, place)?);
            }
            for n in 0..layout.engines {
                let place = place(&format!("agent-{zone}-{n}"), zone, region);
                let start_id = (index * 1_000 + n) as u64;
                let engine = Engine::start(ANY, EngineProfile::default(), start_id).map_err(io)?;
                let endpoint = EndpointSettings::Engine { address: engine.base() };
                fleet.engines.insert(place.host.clone(), engine);
                listed.push(fleet.start_agent(&ca, place, endpoint)?);
            }
        }
        let (zone, region) = layout.zones[0];
        let endpoint =
            EndpointSettings::Plain { address: fleet.plain.base(), service: "booking".into() };
        listed.push(fleet.start_agent(&ca, place("agent-booking", zone, region), endpoint)?);
        fleet.platform.set_hosts(listed);
        Ok(fleet)
    }

    fn start_entry(
        &mut self,
        ca: &DevelopmentCa,
        zone: &'static str,
        place: Place,
    ) -> Result<ListedHost> {
        let material = ca.material(&place.host, Role::Entry).map_err(|e| e.to_string())?;
        let settings = EntrySettings {
            place: place.clone(),
            tls: no_files(),
            callers: any(),
            platform: self.platform.base(),
            stop_deadline_ms: None,
        };
        let entry = Entry::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(|e| e.to_string())?;
        let listed = listed(&place, HostRole::Entry, entry.peers_addr());
        self.entries.push((zone, entry));
        Ok(listed)
    }

    fn start_agent(
        &mut self,
        ca: &DevelopmentCa,
        place: Place,
        endpoint: EndpointSettings,
    ) -> Result<ListedHost> {
        let material = ca.material(&place.host, Role::Agent).map_err(|e| e.to_string())?;
        let settings = AgentSettings {
            place: place.clone(),
            tls: no_files(),
            endpoint,
            origin: self.origin.base(),
            platform: self.platform.base(),
            store_bytes: 1 << 30,
            cache_folder: None,
            link_bytes_per_second: None,
            origin_region: None,
            stop_deadline_ms: None,
        };
        let agent = Agent::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(|e| e.to_string())?;
        let listed = listed(&place, HostRole::Agent, agent.peers_addr());
        self.agents.insert(place.host, agent);
        Ok(listed)
    }

    /// Publishes a configuration.
    pub fn publish(&self, config: &Config) -> Result<()> {
        let store = HttpStore::new(self.platform.base());
        publish::publish(&store, config).map(drop).map_err(|e| e.to_string())
    }

    /// Engines that have `version` loaded.
    pub fn replicas(&self, version: Digest) -> usize {
        let serves = |engine: &&Engine| {
            let health = mastichaven_node::engine::Engine::new(engine.base()).health();
            let loaded = health.ok().and_then(|health| health.loaded);
            loaded.is_some_and(|loaded| loaded.version == version.to_hex())
        };
        self.engines.values().filter(serves).count()
    }
}

/// Waits until `done` or for at most `limit`; gives the time it took.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while !done() {
        if start.elapsed() > limit {
            return None;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Some(start.elapsed())
}

fn place(host: &str, zone: &str, region: &str) -> Place {
    Place {
        host: host.into(),
        zone: zone.into(),
        region: region.into(),
        peers: any(),
        operators: any(),
        statsd: None,
    }
}

fn listed(place: &Place, role: HostRole, address: SocketAddr) -> ListedHost {
    ListedHost {
        name: place.host.clone(),
        role,
        zone: place.zone.clone(),
        region: place.region.clone(),
        address,
        leaving: false,
    }
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn no_files() -> TlsFiles {
    TlsFiles { certificate: Default::default(), key: Default::default(), ca: Default::default() }
}
