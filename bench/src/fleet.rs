//! A small fleet in one process: stand-ins, entries and agents over loopback sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ZoneName;
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
use mastichaven_standins::DatagramDoor;
use mastichaven_standins::Door;
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
    /// Ways to the platform by zone, in a breakable fleet.
    pub doors: BTreeMap<ZoneName, Door>,
    /// Ways to the processes by host, in a breakable fleet.
    pub ways: BTreeMap<HostName, DatagramDoor>,
    breakable: bool,
    zones: Vec<&'static str>,
    ca: DevelopmentCa,
    endpoints: BTreeMap<HostName, EndpointSettings>,
    listed: Vec<ListedHost>,
}

impl Fleet {
    /// Starts everything and lists the hosts on the platform.
    pub fn start(layout: &Layout) -> Result<Fleet> {
        Fleet::start_with(layout, false)
    }

    /// Like [`Fleet::start`], with a way that can fail to each process and, for each zone, to the
    /// platform.
    pub fn start_breakable(layout: &Layout) -> Result<Fleet> {
        Fleet::start_with(layout, true)
    }

    fn start_with(layout: &Layout, breakable: bool) -> Result<Fleet> {
        let io = |e: std::io::Error| e.to_string();
        let ca = DevelopmentCa::generate().map_err(|e| e.to_string())?;
        let mut fleet = Fleet {
            platform: Platform::start(ANY).map_err(io)?,
            origin: Origin::start(ANY, layout.origin_rate).map_err(io)?,
            engines: BTreeMap::new(),
            plain: Plain::start(ANY, 1).map_err(io)?,
            entries: Vec::new(),
            agents: BTreeMap::new(),
            doors: BTreeMap::new(),
            ways: BTreeMap::new(),
            breakable,
            zones: layout.zones.iter().map(|(zone, _)| *zone).collect(),
            ca,
            endpoints: BTreeMap::new(),
            listed: Vec::new(),
        };
        for (index, &(zone, region)) in layout.zones.iter().enumerate() {
            for n in 0..layout.entries {
                let place = place(&format!("entry-{zone}-{n}"), zone, region);
                fleet.start_entry(zone, place)?;
            }
            for n in 0..layout.engines {
                let place = place(&format!("agent-{zone}-{n}"), zone, region);
                let start_id = (index * 1_000 + n) as u64;
                let engine = Engine::start(ANY, EngineProfile::default(), start_id).map_err(io)?;
                let endpoint = EndpointSettings::Engine { address: engine.base() };
                fleet.engines.insert(place.host.clone(), engine);
                fleet.start_agent(place, endpoint)?;
            }
        }
        let (zone, region) = layout.zones[0];
        let endpoint =
            EndpointSettings::Plain { address: fleet.plain.base(), service: "booking".into() };
        fleet.start_agent(place("agent-booking", zone, region), endpoint)?;
        fleet.platform.set_hosts(fleet.listed.clone());
        Ok(fleet)
    }

    /// Starts another agent beside a plain service and lists it.
    pub fn add_plain(
        &mut self,
        host: &str,
        zone: &'static str,
        region: &'static str,
        plain: &Plain,
    ) -> Result<()> {
        let endpoint = EndpointSettings::Plain { address: plain.base(), service: "booking".into() };
        self.start_agent(place(host, zone, region), endpoint)?;
        self.platform.set_hosts(self.listed.clone());
        Ok(())
    }

    /// Starts the process of a host anew, after its old one has been taken out of this fleet, and
    /// lists it.
    pub fn start_again(&mut self, host: &HostName) -> Result<()> {
        let known = self.listed.iter().position(|listed| listed.name == *host);
        let old = self.listed.remove(known.ok_or("the host was never started")?);
        let place = place(host.as_str(), old.zone.as_str(), old.region.as_str());
        match self.endpoints.get(host).cloned() {
            Some(endpoint) => self.start_agent(place, endpoint)?,
            None => {
                let zone = self.zones.iter().find(|zone| **zone == old.zone.as_str());
                self.start_entry(zone.ok_or("the zone is not laid out")?, place)?;
            }
        }
        self.platform.set_hosts(self.listed.clone());
        Ok(())
    }

    /// Shows a host on the platform's list as leaving, or not.
    pub fn list_leaving(&mut self, host: &HostName, leaving: bool) {
        for listed in self.listed.iter_mut().filter(|listed| listed.name == *host) {
            listed.leaving = leaving;
        }
        self.platform.set_hosts(self.listed.clone());
    }

    /// The platform's address as a host of `zone` sees it.
    fn platform_base(&mut self, zone: &ZoneName) -> Result<String> {
        if !self.breakable {
            return Ok(self.platform.base());
        }
        if !self.doors.contains_key(zone) {
            let door = self.platform.open_door(ANY).map_err(|e| e.to_string())?;
            self.doors.insert(zone.clone(), door);
        }
        Ok(self.doors[zone].base())
    }

    /// Opens the way to a host of a breakable fleet, and gives the address that peers use.
    fn open_way(&mut self, host: &HostName) -> Result<Option<SocketAddr>> {
        if !self.breakable {
            return Ok(None);
        }
        if !self.ways.contains_key(host) {
            let way = DatagramDoor::open(ANY).map_err(|e| e.to_string())?;
            self.ways.insert(host.clone(), way);
        }
        Ok(Some(self.ways[host].address()))
    }

    /// Leads the way to a host to its process, and lists the host.
    fn list(&mut self, place: &Place, role: HostRole, bound: SocketAddr) {
        if let Some(way) = self.ways.get(&place.host) {
            way.lead_to(bound);
        }
        let address = place.advertised.unwrap_or(bound);
        self.listed.push(listed(place, role, address));
    }

    fn start_entry(&mut self, zone: &'static str, mut place: Place) -> Result<()> {
        place.advertised = self.open_way(&place.host)?;
        let material = self.ca.material(&place.host, Role::Entry).map_err(|e| e.to_string())?;
        let settings = EntrySettings {
            place: place.clone(),
            tls: no_files(),
            callers: any(),
            platform: self.platform_base(&place.zone)?,
            stop_deadline_ms: None,
        };
        let entry = Entry::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(|e| e.to_string())?;
        self.list(&place, HostRole::Entry, entry.peers_addr());
        self.entries.push((zone, entry));
        Ok(())
    }

    fn start_agent(&mut self, mut place: Place, endpoint: EndpointSettings) -> Result<()> {
        place.advertised = self.open_way(&place.host)?;
        self.endpoints.insert(place.host.clone(), endpoint.clone());
        let material = self.ca.material(&place.host, Role::Agent).map_err(|e| e.to_string())?;
        let settings = AgentSettings {
            place: place.clone(),
            tls: no_files(),
            endpoint,
            origin: self.origin.base(),
            platform: self.platform_base(&place.zone)?,
            store_bytes: 1 << 30,
            stop_deadline_ms: None,
        };
        let agent = Agent::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(|e| e.to_string())?;
        self.list(&place, HostRole::Agent, agent.peers_addr());
        self.agents.insert(place.host, agent);
        Ok(())
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
        advertised: None,
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
