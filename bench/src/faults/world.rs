//! A fleet whose callers, endpoints and operators write one history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Config;
use mastichaven_core::Outcome;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::HostName;
use mastichaven_node::accepted_config;
use mastichaven_node::http_store::HttpStore;
use mastichaven_node::publish;
use mastichaven_node::publish::PublishError;
use mastichaven_proof::CallId;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Recorder;
use mastichaven_proof::Request;
use mastichaven_proof::Return;
use mastichaven_proof::Seen;
use mastichaven_standins::Observer;
use mastichaven_standins::origin::random_weights;
use serde_json::Value;

use super::caller;
use super::caller::Client;
use super::caller::Kind;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

/// Zones and regions of the fleet.
pub const ZONES: [(&str, &str); 2] = [("lagoa", "sul"), ("serra", "sul")];

/// The host that the plain service's events are recorded under.
pub const PLAIN: &str = "plain";

/// How long a fleet may take to become whole. Far above what it needs, so that only a fleet that
/// never does runs into it.
const PATIENCE: Duration = Duration::from_secs(60);

const MODEL_LEN: usize = 256 << 10;
const CHUNK_LEN: u32 = 32 << 10;
const OBSERVE_INTERVAL: Duration = Duration::from_millis(50);
const DUMP_TIMEOUT_SECONDS: u64 = 2;

/// Where callers find the entries; stands for the platform's balancer.
#[derive(Clone, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<(HostName, SocketAddr)>>>,
}

impl Balancer {
    /// The `n`th entry, counted round; none while every entry is down.
    pub fn pick(&self, n: usize) -> Option<(HostName, SocketAddr)> {
        let entries = lock(&self.entries);
        entries.get(n.checked_rem(entries.len())?).cloned()
    }

    fn set(&self, fleet: &Fleet) {
        let entries = fleet.entries.iter();
        *lock(&self.entries) = entries.map(|(host, e)| (host.clone(), e.callers_addr())).collect();
    }

    /// Takes an entry out, as a balancer does when it is not ready.
    pub fn remove(&self, host: &HostName) {
        lock(&self.entries).retain(|(entry, _)| entry != host);
    }
}

/// Whether a process says that it takes new work; one that does not answer takes none.
pub fn is_ready(operators: SocketAddr) -> bool {
    let request = minreq::get(format!("http://{operators}/ready"));
    let response = request.with_timeout(DUMP_TIMEOUT_SECONDS).send();
    response.is_ok_and(|response| response.status_code == 200)
}

/// Where the processes' state is read, and what was read last.
#[derive(Default)]
struct Watched {
    operators: BTreeMap<HostName, SocketAddr>,
    in_force: BTreeMap<HostName, Generation>,
}

/// The fleet and its history.
pub struct World {
    /// The fleet.
    pub fleet: Fleet,
    /// The history.
    pub recorder: Recorder,
    /// Where callers find the entries.
    pub balancer: Balancer,
    /// The configuration as operators wrote it last.
    pub config: Config,
    versions: [Digest; 2],
    watched: Arc<Mutex<Watched>>,
    over: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

impl World {
    /// Starts the fleet with two versions at the origin, and waits until it serves.
    pub fn start() -> Result<World> {
        let layout = Layout {
            zones: ZONES.to_vec(),
            entries: 1,
            engines: 2,
            plain_agents: 2,
            origin_rate: 40e6,
            peer_proxies: true,
            ..Layout::default()
        };
        let fleet = Fleet::start(&layout)?;
        let recorder = Recorder::default();
        let versions = [1, 2].map(|seed| {
            let weights = random_weights(seed, MODEL_LEN);
            let version = fleet.origin.put(&weights, CHUNK_LEN).digest();
            let seen = Seen::Defined { version, weights: Digest::of(&weights) };
            recorder.seen(Process::Operator(0), seen);
            version
        });
        for (host, engine) in &fleet.engines {
            let zone = fleet.zone_of(host).unwrap_or_default();
            engine.observe(observer(recorder.clone(), host.clone(), zone));
        }
        fleet.plain.observe(observer(recorder.clone(), PLAIN.into(), PLAIN));
        let world = World {
            config: configuration(&versions)?,
            fleet,
            recorder,
            balancer: Balancer::default(),
            versions,
            watched: Arc::default(),
            over: Arc::default(),
            calls: Arc::default(),
        };
        world.refresh();
        world.spawn_observer()?;
        let config = world.config.clone();
        world.publish(0, &config);
        world.settle()?;
        world.wait_whole()?;
        Ok(world)
    }

    /// Tells callers and observer which processes run now.
    pub fn refresh(&self) {
        self.balancer.set(&self.fleet);
        let entries = self.fleet.entries.iter().map(|(host, e)| (host.clone(), e.operators_addr()));
        let agents = self.fleet.agents.iter().map(|(host, a)| (host.clone(), a.operators_addr()));
        let mut watched = lock(&self.watched);
        let operators: BTreeMap<HostName, SocketAddr> = entries.chain(agents).collect();
        for (host, address) in &operators {
            if watched.operators.get(host) != Some(address) {
                watched.in_force.remove(host);
                self.recorder.seen(Process::Host(host.clone()), Seen::Started);
            }
        }
        watched.operators = operators;
    }

    /// Stops observing a process that is about to end.
    pub fn forget(&self, host: &HostName) {
        let mut watched = lock(&self.watched);
        watched.operators.remove(host);
        watched.in_force.remove(host);
        self.balancer.remove(host);
    }

    /// Reads each process's generation in force, all through the run.
    fn spawn_observer(&self) -> Result<()> {
        let (watched, recorder, over) =
            (self.watched.clone(), self.recorder.clone(), self.over.clone());
        let observe = move || {
            while !over.load(Ordering::Acquire) {
                let operators = lock(&watched).operators.clone();
                for (host, address) in operators {
                    let generation = generation_at(address);
                    let mut watched = lock(&watched);
                    // The process may have ended, or started anew, while it was asked.
                    let same = watched.operators.get(&host) == Some(&address);
                    if let (true, Some(generation)) = (same, generation) {
                        let before = watched.in_force.insert(host.clone(), generation);
                        if before != Some(generation) {
                            recorder.seen(Process::Host(host), Seen::InForce(generation));
                        }
                    }
                }
                thread::sleep(OBSERVE_INTERVAL);
            }
        };
        let spawned = thread::Builder::new().name("observer".to_owned()).spawn(observe);
        spawned.map(drop).map_err(|e| e.to_string())
    }

    /// Publishes a configuration as the operator `n`; says which generation was accepted.
    pub fn publish(&self, n: u32, config: &Config) -> Option<Generation> {
        publish_recorded(&self.recorder, &self.fleet.platform.base(), n, config)
    }

    /// Publishes `config` until it is accepted, and waits until every process has it in force.
    pub fn settle(&self) -> Result<()> {
        let config = self.config.clone();
        wait_until(PATIENCE, || self.publish(0, &config).is_some())
            .ok_or("no configuration is accepted")?;
        self.wait_settled(&[]).ok_or_else(|| "a configuration does not settle".to_owned())
    }

    /// Waits until every process but those of `unreached` zones holds the accepted generation.
    pub fn wait_settled(&self, unreached: &[&str]) -> Option<()> {
        let store = HttpStore::new(self.fleet.platform.base());
        let operator = Process::Operator(0);
        let accepted = || {
            self.recorder.invoke(operator.clone(), Op::ReadAccepted);
            let (_, head) = accepted_config::read_head(&store).ok()??;
            Some(head.generation)
        };
        let mut wanted = None;
        wait_until(PATIENCE, || {
            wanted = accepted();
            wanted.is_some()
        })?;
        let wanted = wanted?;
        self.recorder.ret(operator, Return::Held(wanted));
        wait_until(PATIENCE, || {
            let watched = lock(&self.watched);
            watched.operators.keys().all(|host| {
                let holds = watched.in_force.get(host).is_some_and(|held| *held >= wanted);
                holds || self.fleet.zone_of(host).is_some_and(|zone| unreached.contains(&zone))
            })
        })?;
        self.recorder.seen(Process::Operator(0), Seen::Settled(wanted));
        Some(())
    }

    /// Waits until lookups and bookings are answered through every entry.
    pub fn wait_whole(&self) -> Result<()> {
        for n in 0..self.fleet.entries.len() {
            for kind in [Kind::Lookup(2), Kind::Booking] {
                wait_until(PATIENCE, || self.call(kind, n, None) == Some(Outcome::Ran))
                    .ok_or_else(|| format!("no {kind:?} is answered through entry {n}"))?;
            }
        }
        Ok(())
    }

    /// Sends one call as a caller of its own, and gives its outcome.
    pub fn call(&self, kind: Kind, n: usize, work: Option<&str>) -> Option<Outcome> {
        let client = Client::new().ok()?;
        self.caller(Process::Caller(u32::MAX)).call(&client, kind, n, work)
    }

    /// Takes calls of one caller.
    pub fn caller(&self, process: Process) -> Caller {
        Caller {
            process,
            recorder: self.recorder.clone(),
            balancer: self.balancer.clone(),
            calls: self.calls.clone(),
        }
    }

    /// Serves the other version from now on.
    pub fn change_version(&mut self) {
        let model = self.config.model.values_mut();
        for model in model {
            let other = if model.serve.as_str() == "rota-0" { "rota-1" } else { "rota-0" };
            model.serve = other.into();
        }
    }

    /// Takes a zone out, or back in.
    pub fn set_zone(&mut self, zone: &str, state: ZoneState) {
        if let Some(zone) = self.config.zone.get_mut(&zone.into()) {
            zone.state = state;
        }
    }

    /// The versions at the origin.
    pub fn versions(&self) -> [Digest; 2] {
        self.versions
    }
}

/// Sends the calls of one caller and records them.
#[derive(Clone)]
pub struct Caller {
    process: Process,
    recorder: Recorder,
    balancer: Balancer,
    calls: Arc<AtomicU64>,
}

impl Caller {
    /// Sends one call to the `n`th entry; a resend names the `work` of the first call. Gives its
    /// outcome, or nothing when no final answer came.
    pub fn call(
        &self,
        client: &Client,
        kind: Kind,
        n: usize,
        work: Option<&str>,
    ) -> Option<Outcome> {
        let call = CallId(self.calls.fetch_add(1, Ordering::Relaxed));
        let work = work.map_or_else(|| format!("work-{}", call.0), str::to_owned);
        let (entry, address) = self.balancer.pick(n)?;
        let request = Request {
            call,
            work: work.as_str().into(),
            about: caller::about_of(kind, &work),
            entry,
            idempotent: kind != Kind::Booking,
            parts: match kind {
                Kind::Lookup(tokens) => Some(tokens),
                Kind::Booking => None,
            },
        };
        self.recorder.invoke(self.process.clone(), Op::Request(request));
        let answer = client.send(address, kind, &work);
        let outcome = match &answer {
            mastichaven_proof::Answer::Final { outcome, .. } => Some(*outcome),
            _ => None,
        };
        self.recorder.ret(self.process.clone(), Return::Answer { call, answer });
        outcome
    }
}

/// Publishes and records the operation.
pub fn publish_recorded(
    recorder: &Recorder,
    platform: &str,
    operator: u32,
    config: &Config,
) -> Option<Generation> {
    let text = toml::to_string(config).expect("a configuration always encodes");
    let content = Digest::of(text.as_bytes());
    let process = Process::Operator(operator);
    recorder.invoke(process.clone(), Op::Publish(content));
    match publish::publish_config(&HttpStore::new(platform), config) {
        Ok(generation) => {
            recorder.ret(process, Return::Accepted { content, generation });
            Some(generation)
        }
        Err(PublishError::Conflict(_)) => {
            recorder.ret(process, Return::Refused(content));
            None
        }
        Err(_) => {
            recorder.ret(process, Return::Unknown(content));
            None
        }
    }
}

fn observer(recorder: Recorder, host: HostName, zone: &'static str) -> Observer {
    use mastichaven_standins::EndpointEvent;
    Arc::new(move |seen| {
        let seen = match seen {
            EndpointEvent::Began { work, start, running, capacity } => {
                let (work, zone) = (work.into(), zone.into());
                Seen::Began { work, zone, start, running, bears: capacity }
            }
            EndpointEvent::Ended { work, whole } => Seen::Ended { work: work.into(), whole },
            EndpointEvent::Restarted => Seen::Lost,
            EndpointEvent::Loaded { version, weights } => {
                Seen::Loaded { version: Digest::from_hex(&version).unwrap_or_default(), weights }
            }
        };
        recorder.seen(Process::Host(host.clone()), seen);
    })
}

fn generation_at(operators: SocketAddr) -> Option<Generation> {
    let request = minreq::get(format!("http://{operators}/dump"));
    let response = request.with_timeout(DUMP_TIMEOUT_SECONDS).send().ok()?;
    let dump: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    dump["generation"].as_u64().map(Generation)
}

fn configuration(versions: &[Digest; 2]) -> Result<Config> {
    let zones: String = ZONES
        .iter()
        .map(|(zone, region)| format!("[zone.{zone}]\nregion = \"{region}\"\n"))
        .collect();
    let versions: String = versions
        .iter()
        .enumerate()
        .map(|(n, version)| {
            format!("[version.rota-{n}]\nmodel = \"rota\"\nmanifest = \"{}\"\n", version.to_hex())
        })
        .collect();
    let text = format!(
        r#"
        {zones}
        {versions}
        [customer.coop]
        key_digest = "{key}"
        [model.rota]
        serve = "rota-0"
        [placement.rota]
        model = "rota"
        replicas = 4
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
        [limits]
        deadline_ms = 1500
        first_byte_ms = 1000
        between_bytes_ms = 500
        quarantine_ms = 3000
        "#,
        key = Digest::of(CUSTOMER_KEY.as_bytes()).to_hex(),
    );
    toml::from_str(&text).map_err(|e| e.to_string())
}
