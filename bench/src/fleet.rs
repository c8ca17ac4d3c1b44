//! A small fleet in one process: stand-ins, entries and agents over loopback sockets. Each entry
//! and agent can be stopped, crashed and restarted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Config;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::ListedHost;
use mastichaven_node::agent::Agent;
use mastichaven_node::entry::Entry;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::process::new_incarnation;
use mastichaven_node::publish;
use mastichaven_node::settings;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::tls::DevelopmentCa;
use mastichaven_node::tls::Role;
use mastichaven_standins::Engine;
use mastichaven_standins::EngineProfile;
use mastichaven_standins::Origin;
use mastichaven_standins::Plain;
use mastichaven_standins::Platform;
use mastichaven_standins::PlatformProxy;
use mastichaven_standins::UdpProxy;
use mastichaven_standins::origin::random_weights;

/// Result with an error message for the operator.
pub type Result<T> = std::result::Result<T, String>;

/// API key of the fleet's customer; the configuration contains its digest.
pub const CUSTOMER_KEY: &str = "demo-key";

/// Chunk size of the fleet's model in bytes.
pub const CHUNK_LEN: u32 = 64 << 10;

const ANY_PORT: &str = "127.0.0.1:0";

/// How often [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Names of the availability zones, each with its region.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Number of entries in each zone.
    pub entries: usize,
    /// Number of model engines in each zone, each with an agent.
    pub engines: usize,
    /// Limits and timings of the engines.
    pub profile: EngineProfile,
    /// Number of agents in front of the one plain service, `booking`, spread over the zones in
    /// turn.
    pub plain_agents: usize,
    /// Link rate of the origin in bytes per second.
    pub origin_rate: f64,
    /// Additional lines at the top level of each agent's settings.
    pub agent_settings: String,
    /// Additional lines at the top level of each entry's settings.
    pub entry_settings: String,
    /// Whether peers reach each process through a UDP proxy that can drop traffic.
    pub peer_proxies: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            zones: vec![("lagoa", "sul"), ("serra", "sul"), ("litoral", "costa")],
            entries: 1,
            engines: 3,
            profile: EngineProfile::default(),
            plain_agents: 1,
            origin_rate: 4e6,
            agent_settings: String::new(),
            entry_settings: String::new(),
            peer_proxies: false,
        }
    }
}

/// Role, location and endpoint of a host.
#[derive(Clone, Debug)]
struct HostSetup {
    role: HostRole,
    zone: &'static str,
    region: &'static str,
    /// Table `endpoint` of an agent's settings; empty for an entry.
    endpoint: String,
}

/// A running fleet.
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Proxy through which each zone reaches the platform.
    pub platform_proxies: BTreeMap<&'static str, PlatformProxy>,
    /// UDP proxy in front of each host; empty unless [`Layout::peer_proxies`] is set.
    pub peer_proxies: BTreeMap<HostName, UdpProxy>,
    /// Stand-in of the origin of weights.
    pub origin: Origin,
    /// Stand-ins of the engines, by the host of their agent.
    pub engines: BTreeMap<HostName, Engine>,
    /// Stand-in of the plain service.
    pub plain: Plain,
    /// Running entries, by host.
    pub entries: BTreeMap<HostName, Entry>,
    /// Running agents, by host.
    pub agents: BTreeMap<HostName, Agent>,
    layout: Layout,
    ca: DevelopmentCa,
    host_setups: BTreeMap<HostName, HostSetup>,
    listed: BTreeMap<HostName, ListedHost>,
}

impl Fleet {
    /// Starts the stand-ins and all hosts and registers the hosts with the platform.
    pub fn start(layout: &Layout) -> Result<Fleet> {
        let platform = Platform::start(ANY_PORT).map_err(error_text)?;
        let mut platform_proxies = BTreeMap::new();
        for &(zone, _) in &layout.zones {
            platform_proxies.insert(zone, platform.open_proxy(ANY_PORT).map_err(error_text)?);
        }
        let mut fleet = Fleet {
            platform,
            platform_proxies,
            peer_proxies: BTreeMap::new(),
            origin: Origin::start(ANY_PORT, layout.origin_rate).map_err(error_text)?,
            engines: BTreeMap::new(),
            plain: Plain::start(ANY_PORT, 1).map_err(error_text)?,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            layout: layout.clone(),
            ca: DevelopmentCa::generate().map_err(error_text)?,
            host_setups: BTreeMap::new(),
            listed: BTreeMap::new(),
        };
        fleet.set_up_hosts()?;
        for host in fleet.host_setups.keys().cloned().collect::<Vec<_>>() {
            fleet.start_host(&host)?;
        }
        fleet.publish_hosts();
        Ok(fleet)
    }

    /// Determines the setup of each host and starts the engines.
    fn set_up_hosts(&mut self) -> Result<()> {
        let layout = self.layout.clone();
        for (index, &(zone, region)) in layout.zones.iter().enumerate() {
            for n in 0..layout.entries {
                let endpoint = String::new();
                let setup = HostSetup { role: HostRole::Entry, zone, region, endpoint };
                self.host_setups.insert(HostName::new(format!("entry-{zone}-{n}")), setup);
            }
            for n in 0..layout.engines {
                let host = HostName::new(format!("agent-{zone}-{n}"));
                let start_id = (index * 100_000 + n * 100) as u64;
                let engine =
                    Engine::start(ANY_PORT, layout.profile, start_id).map_err(error_text)?;
                let endpoint = format!(
                    "kind = \"engine\"\naddress = \"{}\"\nconcurrent = {}\n",
                    engine.base(),
                    layout.profile.warm_limit
                );
                self.engines.insert(host.clone(), engine);
                self.host_setups
                    .insert(host, HostSetup { role: HostRole::Agent, zone, region, endpoint });
            }
        }
        for n in 0..layout.plain_agents {
            let (zone, region) = layout.zones[n % layout.zones.len()];
            let endpoint = format!(
                "kind = \"plain\"\naddress = \"{}\"\nservice = \"booking\"\n",
                self.plain.base()
            );
            let setup = HostSetup { role: HostRole::Agent, zone, region, endpoint };
            self.host_setups.insert(HostName::new(format!("agent-booking-{n}")), setup);
        }
        Ok(())
    }

    /// Starts the process of a host with a new incarnation. The platform sees it after
    /// [`Fleet::publish_hosts`].
    pub fn start_host(&mut self, host: &HostName) -> Result<()> {
        let setup = self.host_setups.get(host).ok_or_else(|| format!("no host {host}"))?.clone();
        if self.layout.peer_proxies && !self.peer_proxies.contains_key(host) {
            self.peer_proxies.insert(host.clone(), UdpProxy::open(ANY_PORT).map_err(error_text)?);
        }
        let bound = match setup.role {
            HostRole::Entry => self.start_entry(host, &setup)?,
            HostRole::Agent => self.start_agent(host, &setup)?,
        };
        let proxy = self.peer_proxies.get(host).inspect(|proxy| proxy.set_target(bound));
        let address = proxy.map_or(bound, UdpProxy::address);
        let listed = ListedHost {
            name: host.clone(),
            role: setup.role,
            zone: setup.zone.into(),
            region: setup.region.into(),
            address,
            leaving: false,
        };
        self.listed.insert(host.clone(), listed);
        Ok(())
    }

    fn start_entry(&mut self, host: &HostName, setup: &HostSetup) -> Result<SocketAddr> {
        let material = self.ca.material(host, Role::Entry).map_err(error_text)?;
        let settings = format!(
            "callers = \"{ANY_PORT}\"\nplatform = \"{}\"\n{}\n{}",
            self.platform_proxies[setup.zone].base(),
            self.layout.entry_settings,
            self.common_settings(host, setup)
        );
        let settings = settings::parse(Path::new("entry"), &settings).map_err(error_text)?;
        let entry = Entry::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(error_text)?;
        let address = entry.peers_addr();
        self.entries.insert(host.clone(), entry);
        Ok(address)
    }

    fn start_agent(&mut self, host: &HostName, setup: &HostSetup) -> Result<SocketAddr> {
        let material = self.ca.material(host, Role::Agent).map_err(error_text)?;
        let settings = format!(
            "origin = \"{}\"\nplatform = \"{}\"\n{}\n{}[endpoint]\n{}",
            self.origin.base(),
            self.platform_proxies[setup.zone].base(),
            self.layout.agent_settings,
            self.common_settings(host, setup),
            setup.endpoint
        );
        let settings = settings::parse(Path::new("agent"), &settings).map_err(error_text)?;
        let agent = Agent::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(error_text)?;
        let address = agent.peers_addr();
        self.agents.insert(host.clone(), agent);
        Ok(address)
    }

    /// The tables `place` and `tls`. The TLS files are never read, since the material is passed
    /// directly.
    fn common_settings(&self, host: &HostName, setup: &HostSetup) -> String {
        let proxy = self
            .peer_proxies
            .get(host)
            .map(|proxy| format!("advertised = \"{}\"\n", proxy.address()));
        format!(
            "[place]\nhost = \"{host}\"\nzone = \"{}\"\nregion = \"{}\"\npeers = \"{ANY_PORT}\"\n\
             operators = \"{ANY_PORT}\"\n{}\
             [tls]\ncertificate = \"unread\"\nkey = \"unread\"\nca = \"unread\"\n",
            setup.zone,
            setup.region,
            proxy.unwrap_or_default()
        )
    }

    /// Stops the process of a host gracefully and waits until it has ended. The platform still
    /// lists the host.
    pub fn stop_host(&mut self, host: &HostName) {
        if let Some(entry) = self.entries.remove(host) {
            entry.stop();
        }
        if let Some(agent) = self.agents.remove(host) {
            agent.stop();
        }
    }

    /// Ends the process of a host as a crash does: without notice to peers, and with requests in
    /// flight aborted. The platform still lists the host.
    pub fn crash_host(&mut self, host: &HostName) {
        if let Some(entry) = self.entries.remove(host) {
            entry.crash();
        }
        if let Some(agent) = self.agents.remove(host) {
            agent.crash();
        }
    }

    /// Marks a host as leaving in the platform's list if `leaving` is set, else removes it.
    pub fn unlist_host(&mut self, host: &HostName, leaving: bool) {
        if leaving {
            if let Some(listed) = self.listed.get_mut(host) {
                listed.leaving = true;
            }
        } else {
            self.listed.remove(host);
        }
        self.publish_hosts();
    }

    /// Sets the platform's list of hosts to the ones started and not removed.
    pub fn publish_hosts(&self) {
        self.platform.set_hosts(self.listed.values().cloned().collect());
    }

    /// Partitions a zone from the platform if `is_partitioned` is set, else reconnects it.
    pub fn set_zone_partitioned(&self, zone: &str, is_partitioned: bool) {
        self.platform_proxies[zone].set_partitioned(is_partitioned);
    }

    /// The zone of a host; `None` if the fleet has no such host.
    pub fn zone_of(&self, host: &HostName) -> Option<&'static str> {
        self.host_setups.get(host).map(|setup| setup.zone)
    }

    /// Address for callers of entry `n` modulo the number of running entries.
    pub fn callers_addr(&self, n: usize) -> SocketAddr {
        let mut entries = self.entries.values();
        entries.nth(n % self.entries.len()).expect("a fleet has entries").callers_addr()
    }

    /// A configuration that serves model `rota` at one version from all engines and routes to the
    /// plain service `booking`.
    pub fn configuration(&self, manifest: &Manifest) -> Result<Config> {
        let zones: String = self
            .layout
            .zones
            .iter()
            .map(|(zone, region)| format!("[zone.{zone}]\nregion = \"{region}\"\n"))
            .collect();
        let tables = format!(
            r#"
            [customer.coop]
            key_digest = "{key}"
            [model.rota]
            serve = "rota-1"
            [version.rota-1]
            model = "rota"
            manifest = "{manifest}"
            [placement.rota]
            model = "rota"
            replicas = {replicas}
            [service.rota]
            kind = "model"
            model = "rota"
            [service.booking]
            kind = "plain"
            [route.rota]
            path = "/v1/chat/completions"
            service = "rota"
            [route.booking]
            path = "/book"
            service = "booking"
            "#,
            key = Digest::of(CUSTOMER_KEY.as_bytes()).to_hex(),
            manifest = manifest.digest().to_hex(),
            replicas = self.engines.len(),
        );
        toml::from_str(&(zones + &tables)).map_err(error_text)
    }

    /// Puts a model of `len` random bytes into the origin, publishes [`Fleet::configuration`] for
    /// it and waits until every engine has loaded it and every entry routes requests to it. Each of
    /// the two waits is bounded by `limit`. Returns the digest of the weights.
    pub fn serve_model(&self, len: usize, limit: Duration) -> Result<Digest> {
        let bytes = random_weights(1, len);
        let weights = Digest::of(&bytes);
        let manifest = self.origin.put(&bytes, CHUNK_LEN);
        self.publish(&self.configuration(&manifest)?)?;
        wait_until(limit, || self.replicas(weights) == self.engines.len())
            .ok_or("not every engine loaded the model in time")?;
        let entries = self.entries.len();
        wait_until(limit, || (0..entries).all(|n| self.entry_responds(n)))
            .ok_or("not every entry responded in time")?;
        Ok(weights)
    }

    fn entry_responds(&self, n: usize) -> bool {
        let body = r#"{"model":"rota","max_tokens":1,"messages":[]}"#;
        let request = minreq::post(format!("http://{}/v1/chat/completions", self.callers_addr(n)))
            .with_header("mastichaven-key", CUSTOMER_KEY)
            .with_header("content-type", "application/json")
            .with_body(body)
            .with_timeout(5);
        request.send().is_ok_and(|response| response.status_code == 200)
    }

    /// Publishes a configuration to the platform's store; hosts receive it asynchronously.
    pub fn publish(&self, config: &Config) -> Result<()> {
        let store = HttpStore::new(self.platform.base());
        publish::publish_config(&store, config).map(drop).map_err(error_text)
    }

    /// Number of engines whose loaded bytes have the digest `weights`.
    pub fn replicas(&self, weights: Digest) -> usize {
        self.engines.values().filter(|engine| engine.weights() == Some(weights)).count()
    }

    /// Number of requests completed by the engines of a zone.
    pub fn completed_in(&self, zone: &str) -> u64 {
        let zone_engines = self.engines.iter().filter(|(host, _)| self.zone_of(host) == Some(zone));
        zone_engines.map(|(_, engine)| engine.counts().completed).sum()
    }

    /// Stops all processes gracefully and concurrently.
    pub fn stop(mut self) {
        let entries: Vec<_> = std::mem::take(&mut self.entries).into_values().collect();
        let agents: Vec<_> = std::mem::take(&mut self.agents).into_values().collect();
        thread::scope(|scope| {
            for entry in entries {
                scope.spawn(|| entry.stop());
            }
            for agent in agents {
                scope.spawn(|| agent.stop());
            }
        });
    }
}

fn error_text(error: impl ToString) -> String {
    error.to_string()
}

/// Waits until `done` returns true and returns the time that took; `None` after `limit`.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while !done() {
        if start.elapsed() > limit {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
    Some(start.elapsed())
}
