//! A small fleet in one process: stand-ins, entries and agents over loopback sockets, each of which
//! can be stopped, crashed and started again.

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

/// Result of running a fleet.
pub type Result<T> = std::result::Result<T, String>;

/// The key of a fleet's customer, whose digest the configuration names.
pub const CUSTOMER_KEY: &str = "demo-key";

/// Bytes of a chunk of a fleet's model.
pub const CHUNK_LEN: u32 = 64 << 10;

const ANY: &str = "127.0.0.1:0";

/// How often a wait looks again.
const WAIT_POLL: Duration = Duration::from_millis(20);

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Availability zones and their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Entries in each zone.
    pub entries: usize,
    /// Model engines in each zone.
    pub engines: usize,
    /// How the engines behave.
    pub profile: EngineProfile,
    /// Agents beside the one plain service, `booking`, in the zones in turn.
    pub plain_agents: usize,
    /// Bytes a second of the origin's link.
    pub origin_rate: f64,
    /// Further lines of each agent's settings, at the top level of the file.
    pub agent_settings: String,
    /// Further lines of each entry's settings, at the top level of the file.
    pub entry_settings: String,
    /// Whether peers reach each process through a way of its own that can fail.
    pub ways: bool,
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
            ways: false,
        }
    }
}

/// Where a host stands and what stands beside it.
#[derive(Clone, Debug)]
struct Seat {
    role: HostRole,
    zone: &'static str,
    region: &'static str,
    /// Table `endpoint` of an agent's settings.
    endpoint: String,
}

/// A running fleet.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The address of the platform that each zone uses.
    pub doors: BTreeMap<&'static str, PlatformProxy>,
    /// Ways of the peers to each host, when the layout asks for them.
    pub ways: BTreeMap<HostName, UdpProxy>,
    /// The origin of weights.
    pub origin: Origin,
    /// Engines, by host.
    pub engines: BTreeMap<HostName, Engine>,
    /// The plain service.
    pub plain: Plain,
    /// Running entries, by host.
    pub entries: BTreeMap<HostName, Entry>,
    /// Running agents, by host.
    pub agents: BTreeMap<HostName, Agent>,
    layout: Layout,
    ca: DevelopmentCa,
    seats: BTreeMap<HostName, Seat>,
    listed: BTreeMap<HostName, ListedHost>,
}

impl Fleet {
    /// Starts everything and lists the hosts on the platform.
    pub fn start(layout: &Layout) -> Result<Fleet> {
        let platform = Platform::start(ANY).map_err(text)?;
        let mut doors = BTreeMap::new();
        for &(zone, _) in &layout.zones {
            doors.insert(zone, platform.open_proxy(ANY).map_err(text)?);
        }
        let mut fleet = Fleet {
            platform,
            doors,
            ways: BTreeMap::new(),
            origin: Origin::start(ANY, layout.origin_rate).map_err(text)?,
            engines: BTreeMap::new(),
            plain: Plain::start(ANY, 1).map_err(text)?,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            layout: layout.clone(),
            ca: DevelopmentCa::generate().map_err(text)?,
            seats: BTreeMap::new(),
            listed: BTreeMap::new(),
        };
        fleet.lay_out()?;
        for host in fleet.seats.keys().cloned().collect::<Vec<_>>() {
            fleet.start_host(&host)?;
        }
        fleet.list();
        Ok(fleet)
    }

    /// Decides where each host stands and starts the engines.
    fn lay_out(&mut self) -> Result<()> {
        let layout = self.layout.clone();
        for (index, &(zone, region)) in layout.zones.iter().enumerate() {
            for n in 0..layout.entries {
                let endpoint = String::new();
                let seat = Seat { role: HostRole::Entry, zone, region, endpoint };
                self.seats.insert(HostName::new(format!("entry-{zone}-{n}")), seat);
            }
            for n in 0..layout.engines {
                let host = HostName::new(format!("agent-{zone}-{n}"));
                let start_id = (index * 100_000 + n * 100) as u64;
                let engine = Engine::start(ANY, layout.profile, start_id).map_err(text)?;
                let endpoint = format!(
                    "kind = \"engine\"\naddress = \"{}\"\nconcurrent = {}\n",
                    engine.base(),
                    layout.profile.warm_limit
                );
                self.engines.insert(host.clone(), engine);
                self.seats.insert(host, Seat { role: HostRole::Agent, zone, region, endpoint });
            }
        }
        for n in 0..layout.plain_agents {
            let (zone, region) = layout.zones[n % layout.zones.len()];
            let endpoint = format!(
                "kind = \"plain\"\naddress = \"{}\"\nservice = \"booking\"\n",
                self.plain.base()
            );
            let seat = Seat { role: HostRole::Agent, zone, region, endpoint };
            self.seats.insert(HostName::new(format!("agent-booking-{n}")), seat);
        }
        Ok(())
    }

    /// Starts a host's process, in a new life if it ran before. [`Fleet::list`] tells the platform.
    pub fn start_host(&mut self, host: &HostName) -> Result<()> {
        let seat = self.seats.get(host).ok_or_else(|| format!("no host {host}"))?.clone();
        if self.layout.ways && !self.ways.contains_key(host) {
            self.ways.insert(host.clone(), UdpProxy::open(ANY).map_err(text)?);
        }
        let bound = match seat.role {
            HostRole::Entry => self.start_entry(host, &seat)?,
            HostRole::Agent => self.start_agent(host, &seat)?,
        };
        let way = self.ways.get(host).inspect(|way| way.set_target(bound));
        let address = way.map_or(bound, UdpProxy::address);
        let listed = ListedHost {
            name: host.clone(),
            role: seat.role,
            zone: seat.zone.into(),
            region: seat.region.into(),
            address,
            leaving: false,
        };
        self.listed.insert(host.clone(), listed);
        Ok(())
    }

    fn start_entry(&mut self, host: &HostName, seat: &Seat) -> Result<SocketAddr> {
        let material = self.ca.material(host, Role::Entry).map_err(text)?;
        let settings = format!(
            "callers = \"{ANY}\"\nplatform = \"{}\"\n{}\n{}",
            self.doors[seat.zone].base(),
            self.layout.entry_settings,
            self.common_settings(host, seat)
        );
        let settings = settings::parse(Path::new("entry"), &settings).map_err(text)?;
        let entry = Entry::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(text)?;
        let address = entry.peers_addr();
        self.entries.insert(host.clone(), entry);
        Ok(address)
    }

    fn start_agent(&mut self, host: &HostName, seat: &Seat) -> Result<SocketAddr> {
        let material = self.ca.material(host, Role::Agent).map_err(text)?;
        let settings = format!(
            "origin = \"{}\"\nplatform = \"{}\"\n{}\n{}[endpoint]\n{}",
            self.origin.base(),
            self.doors[seat.zone].base(),
            self.layout.agent_settings,
            self.common_settings(host, seat),
            seat.endpoint
        );
        let settings = settings::parse(Path::new("agent"), &settings).map_err(text)?;
        let agent = Agent::start(settings, &material, Telemetry::silent(), new_incarnation())
            .map_err(text)?;
        let address = agent.peers_addr();
        self.agents.insert(host.clone(), agent);
        Ok(address)
    }

    /// The tables `place` and `tls`; the files are not read here.
    fn common_settings(&self, host: &HostName, seat: &Seat) -> String {
        let way = self.ways.get(host).map(|way| format!("advertised = \"{}\"\n", way.address()));
        format!(
            "[place]\nhost = \"{host}\"\nzone = \"{}\"\nregion = \"{}\"\npeers = \"{ANY}\"\n\
             operators = \"{ANY}\"\n{}\
             [tls]\ncertificate = \"unread\"\nkey = \"unread\"\nca = \"unread\"\n",
            seat.zone,
            seat.region,
            way.unwrap_or_default()
        )
    }

    /// Stops a host's process gracefully and waits until it has ended. The platform still lists it.
    pub fn stop_host(&mut self, host: &HostName) {
        if let Some(entry) = self.entries.remove(host) {
            entry.stop();
        }
        if let Some(agent) = self.agents.remove(host) {
            agent.stop();
        }
    }

    /// Ends a host's process as a crash does: no goodbye, whatever it did is cut off. The platform
    /// still lists it.
    pub fn crash_host(&mut self, host: &HostName) {
        if let Some(entry) = self.entries.remove(host) {
            entry.crash();
        }
        if let Some(agent) = self.agents.remove(host) {
            agent.crash();
        }
    }

    /// Takes a host off the platform's list, or marks it as leaving there.
    pub fn unlist(&mut self, host: &HostName, leaving: bool) {
        if leaving {
            if let Some(listed) = self.listed.get_mut(host) {
                listed.leaving = true;
            }
        } else {
            self.listed.remove(host);
        }
        self.list();
    }

    /// Shows the platform the hosts that have been started.
    pub fn list(&self) {
        self.platform.set_hosts(self.listed.values().cloned().collect());
    }

    /// Cuts a zone off the platform, or joins it again.
    pub fn cut_from_platform(&self, zone: &str, cut: bool) {
        self.doors[zone].set_partitioned(cut);
    }

    /// The zone a host stands in.
    pub fn zone_of(&self, host: &HostName) -> Option<&'static str> {
        self.seats.get(host).map(|seat| seat.zone)
    }

    /// Where callers reach the `n`th entry, counted round.
    pub fn callers_addr(&self, n: usize) -> SocketAddr {
        let mut entries = self.entries.values();
        entries.nth(n % self.entries.len()).expect("a fleet has entries").callers_addr()
    }

    /// A configuration in which all engines serve model `rota` at one version, and the plain
    /// service `booking` is routed to.
    pub fn configuration(&self, manifest: &Manifest) -> Result<Config> {
        let zones: String = self
            .layout
            .zones
            .iter()
            .map(|(zone, region)| format!("[zone.{zone}]\nregion = \"{region}\"\n"))
            .collect();
        let rest = format!(
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
        toml::from_str(&(zones + &rest)).map_err(text)
    }

    /// Puts a model of `len` random bytes into the origin, publishes
    /// [`Fleet::configuration`] for it and waits until every engine answers from it and every
    /// entry passes requests on. Gives the digest of its weights.
    pub fn serve_model(&self, len: usize, limit: Duration) -> Result<Digest> {
        let bytes = random_weights(1, len);
        let weights = Digest::of(&bytes);
        let manifest = self.origin.put(&bytes, CHUNK_LEN);
        self.publish(&self.configuration(&manifest)?)?;
        wait_until(limit, || self.replicas(weights) == self.engines.len())
            .ok_or("the replicas were not there in time")?;
        let entries = self.entries.len();
        wait_until(limit, || (0..entries).all(|n| self.is_answered(n)))
            .ok_or("not every entry answered in time")?;
        Ok(weights)
    }

    fn is_answered(&self, n: usize) -> bool {
        let body = r#"{"model":"rota","max_tokens":1,"messages":[]}"#;
        let request = minreq::post(format!("http://{}/v1/chat/completions", self.callers_addr(n)))
            .with_header("mastichaven-key", CUSTOMER_KEY)
            .with_header("content-type", "application/json")
            .with_body(body)
            .with_timeout(5);
        request.send().is_ok_and(|response| response.status_code == 200)
    }

    /// Publishes a configuration.
    pub fn publish(&self, config: &Config) -> Result<()> {
        let store = HttpStore::new(self.platform.base());
        publish::publish_config(&store, config).map(drop).map_err(text)
    }

    /// Engines that answer from all the bytes of `weights`, by what they truly read.
    pub fn replicas(&self, weights: Digest) -> usize {
        self.engines.values().filter(|engine| engine.weights() == Some(weights)).count()
    }

    /// Requests that the engines of a zone have completed.
    pub fn completed_in(&self, zone: &str) -> u64 {
        let of_zone = self.engines.iter().filter(|(host, _)| self.zone_of(host) == Some(zone));
        of_zone.map(|(_, engine)| engine.counts().completed).sum()
    }

    /// Stops every process gracefully, all at once.
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

fn text(error: impl ToString) -> String {
    error.to_string()
}

/// Waits until `done` or for at most `limit`; gives the time it took.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while !done() {
        if start.elapsed() > limit {
            return None;
        }
        thread::sleep(WAIT_POLL);
    }
    Some(start.elapsed())
}
