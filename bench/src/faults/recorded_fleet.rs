//! A fleet whose callers, endpoints and operators record their events in one history.

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
use mastichaven_proof::Observation;
use mastichaven_proof::Op;
use mastichaven_proof::Process;
use mastichaven_proof::Recorder;
use mastichaven_proof::Request;
use mastichaven_proof::Return;
use mastichaven_standins::Observer;
use mastichaven_standins::origin::random_weights;
use serde_json::Value;

use super::caller;
use super::caller::Client;
use super::caller::RequestKind;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Result;
use crate::fleet::wait_until;

/// Availability zones of the fleet, each with its region.
pub const ZONES: [(&str, &str); 2] = [("lagoa", "sul"), ("serra", "sul")];

/// Host name under which events of the plain service are recorded.
pub const PLAIN_HOST: &str = "plain";

/// Far above the time that a fleet needs to recover, so that it expires only for a fleet that never
/// does.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

const MODEL_LEN: usize = 256 << 10;
const CHUNK_LEN: u32 = 32 << 10;

/// Interval at which the generation in force is read from each process.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a request to the operators port of a process.
const OPERATORS_TIMEOUT_SECONDS: u64 = 2;

/// Stand-in for the load balancer of the platform: the addresses of the entries in rotation.
#[derive(Clone, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<(HostName, SocketAddr)>>>,
}

impl Balancer {
    /// Returns entry `n` modulo the number of entries, or `None` while no entry is in rotation.
    pub fn pick(&self, n: usize) -> Option<(HostName, SocketAddr)> {
        let entries = lock(&self.entries);
        entries.get(n.checked_rem(entries.len())?).cloned()
    }

    fn set(&self, fleet: &Fleet) {
        let entries = fleet.entries.iter();
        *lock(&self.entries) = entries.map(|(host, e)| (host.clone(), e.callers_addr())).collect();
    }

    /// Removes an entry from rotation, as a load balancer does when the entry is not ready.
    pub fn remove(&self, host: &HostName) {
        lock(&self.entries).retain(|(entry, _)| entry != host);
    }
}

/// Returns whether a process reports that it accepts new requests; `false` if it does not reply.
pub fn is_ready(operators: SocketAddr) -> bool {
    let request = minreq::get(format!("http://{operators}/ready"));
    let response = request.with_timeout(OPERATORS_TIMEOUT_SECONDS).send();
    response.is_ok_and(|response| response.status_code == 200)
}

/// Operator addresses of the observed processes, and the generations last read from them.
#[derive(Default)]
struct Observed {
    operators: BTreeMap<HostName, SocketAddr>,
    in_force: BTreeMap<HostName, Generation>,
}

/// A running fleet and the recorder of its history.
pub struct RecordedFleet {
    /// The fleet, on which rounds inject faults.
    pub fleet: Fleet,
    /// Recorder shared by callers, endpoints and operators.
    pub recorder: Recorder,
    /// Load balancer that callers use to pick an entry.
    pub balancer: Balancer,
    /// The configuration that the next publication writes.
    pub config: Config,
    versions: [Digest; 2],
    observed: Arc<Mutex<Observed>>,
    is_stopped: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl Drop for RecordedFleet {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds this lock")
}

impl RecordedFleet {
    /// Starts the fleet with two versions at the origin and waits until it serves requests.
    pub fn start() -> Result<RecordedFleet> {
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
            let seen = Observation::Defined { version, weights: Digest::of(&weights) };
            recorder.record_observation(Process::Operator(0), seen);
            version
        });
        for (host, engine) in &fleet.engines {
            let zone = fleet.zone_of(host).unwrap_or_default();
            engine.observe(endpoint_observer(recorder.clone(), host.clone(), zone));
        }
        fleet.plain.observe(endpoint_observer(recorder.clone(), PLAIN_HOST.into(), PLAIN_HOST));
        let recorded = RecordedFleet {
            config: build_config(&versions)?,
            fleet,
            recorder,
            balancer: Balancer::default(),
            versions,
            observed: Arc::default(),
            is_stopped: Arc::default(),
            calls: Arc::default(),
        };
        recorded.update_processes();
        recorded.spawn_generation_observer()?;
        let config = recorded.config.clone();
        recorded.publish(0, &config);
        recorded.publish_and_settle()?;
        recorded.wait_recovered()?;
        Ok(recorded)
    }

    /// Updates the load balancer and the observer with the processes that run now, and records each
    /// new process as started.
    pub fn update_processes(&self) {
        self.balancer.set(&self.fleet);
        let entries = self.fleet.entries.iter().map(|(host, e)| (host.clone(), e.operators_addr()));
        let agents = self.fleet.agents.iter().map(|(host, a)| (host.clone(), a.operators_addr()));
        let mut observed = lock(&self.observed);
        let operators: BTreeMap<HostName, SocketAddr> = entries.chain(agents).collect();
        for (host, address) in &operators {
            if observed.operators.get(host) != Some(address) {
                observed.in_force.remove(host);
                self.recorder.record_observation(Process::Host(host.clone()), Observation::Started);
            }
        }
        observed.operators = operators;
    }

    /// Removes a process that is about to end from the observer and the load balancer.
    pub fn remove_process(&self, host: &HostName) {
        let mut observed = lock(&self.observed);
        observed.operators.remove(host);
        observed.in_force.remove(host);
        self.balancer.remove(host);
    }

    /// Spawns a thread that records each change of a process's generation in force until the run ends.
    fn spawn_generation_observer(&self) -> Result<()> {
        let (observed, recorder, is_stopped) =
            (self.observed.clone(), self.recorder.clone(), self.is_stopped.clone());
        let observe = move || {
            while !is_stopped.load(Ordering::Acquire) {
                let operators = lock(&observed).operators.clone();
                for (host, address) in operators {
                    let generation = read_generation(address);
                    let mut observed = lock(&observed);
                    // The process may have ended or restarted during the read.
                    let is_current = observed.operators.get(&host) == Some(&address);
                    if let (true, Some(generation)) = (is_current, generation) {
                        let previous = observed.in_force.insert(host.clone(), generation);
                        if previous != Some(generation) {
                            recorder.record_observation(
                                Process::Host(host),
                                Observation::InForce(generation),
                            );
                        }
                    }
                }
                thread::sleep(OBSERVE_INTERVAL);
            }
        };
        let spawned = thread::Builder::new().name("observer".to_owned()).spawn(observe);
        spawned.map(drop).map_err(|e| e.to_string())
    }

    /// Publishes a configuration as operator `n`; returns the accepted generation, or `None` if the
    /// publication was rejected or its result is unknown.
    pub fn publish(&self, n: u32, config: &Config) -> Option<Generation> {
        publish_and_record(&self.recorder, &self.fleet.platform.base(), n, config)
    }

    /// Publishes the configuration until it is accepted, and waits until it is in force in every
    /// process.
    pub fn publish_and_settle(&self) -> Result<()> {
        let config = self.config.clone();
        wait_until(RECOVERY_TIMEOUT, || self.publish(0, &config).is_some())
            .ok_or("the configuration was not accepted in time")?;
        self.wait_settled(&[])
            .ok_or_else(|| "the accepted generation was not in force everywhere in time".to_owned())
    }

    /// Waits until every process outside the `unreachable` zones has the accepted generation in force,
    /// and records that it has settled; returns `None` on timeout.
    pub fn wait_settled(&self, unreachable: &[&str]) -> Option<()> {
        let store = HttpStore::new(self.fleet.platform.base());
        let operator = Process::Operator(0);
        let read_accepted = || {
            self.recorder.record_invocation(operator.clone(), Op::ReadAccepted);
            let (_, head) = accepted_config::read_head(&store).ok()??;
            Some(head.generation)
        };
        let mut accepted = None;
        wait_until(RECOVERY_TIMEOUT, || {
            accepted = read_accepted();
            accepted.is_some()
        })?;
        let accepted = accepted?;
        self.recorder.record_return(operator, Return::Held(accepted));
        wait_until(RECOVERY_TIMEOUT, || {
            let observed = lock(&self.observed);
            observed.operators.keys().all(|host| {
                let is_in_force =
                    observed.in_force.get(host).is_some_and(|in_force| *in_force >= accepted);
                is_in_force
                    || self.fleet.zone_of(host).is_some_and(|zone| unreachable.contains(&zone))
            })
        })?;
        self.recorder.record_observation(Process::Operator(0), Observation::Settled(accepted));
        Some(())
    }

    /// Waits until a lookup and a booking succeed through every entry.
    pub fn wait_recovered(&self) -> Result<()> {
        for n in 0..self.fleet.entries.len() {
            for kind in [RequestKind::Lookup(2), RequestKind::Booking] {
                wait_until(RECOVERY_TIMEOUT, || self.call(kind, n, None) == Some(Outcome::Ran))
                    .ok_or_else(|| format!("no {kind:?} request succeeded through entry {n}"))?;
            }
        }
        Ok(())
    }

    /// Sends one request with a new client; returns its outcome, or `None` if no final reply came.
    pub fn call(&self, kind: RequestKind, n: usize, work: Option<&str>) -> Option<Outcome> {
        let client = Client::new().ok()?;
        self.caller(Process::Caller(u32::MAX)).call(&client, kind, n, work)
    }

    /// Creates a caller that records its requests as `process`.
    pub fn caller(&self, process: Process) -> Caller {
        Caller {
            process,
            recorder: self.recorder.clone(),
            balancer: self.balancer.clone(),
            calls: self.calls.clone(),
        }
    }

    /// Switches the configuration to the other version; takes effect once published.
    pub fn switch_version(&mut self) {
        let model = self.config.model.values_mut();
        for model in model {
            let version = if model.serve.as_str() == "rota-0" { "rota-1" } else { "rota-0" };
            model.serve = version.into();
        }
    }

    /// Sets the state of a zone in the configuration; takes effect once published.
    pub fn set_zone_state(&mut self, zone: &str, state: ZoneState) {
        if let Some(zone) = self.config.zone.get_mut(&zone.into()) {
            zone.state = state;
        }
    }

    /// Manifest digests of the two versions at the origin.
    pub fn versions(&self) -> [Digest; 2] {
        self.versions
    }
}

/// Sends the requests of one caller and records them.
#[derive(Clone)]
pub struct Caller {
    process: Process,
    recorder: Recorder,
    balancer: Balancer,
    calls: Arc<AtomicU64>,
}

impl Caller {
    /// Sends one request through entry `n`. A retry passes the `work` of the first attempt. Returns
    /// the outcome, or `None` if no entry was in rotation or no final reply came.
    pub fn call(
        &self,
        client: &Client,
        kind: RequestKind,
        n: usize,
        work: Option<&str>,
    ) -> Option<Outcome> {
        let call = CallId(self.calls.fetch_add(1, Ordering::Relaxed));
        let work = work.map_or_else(|| format!("work-{}", call.0), str::to_owned);
        let (entry, address) = self.balancer.pick(n)?;
        let request = Request {
            call,
            work: work.as_str().into(),
            about: caller::expected_about(kind, &work),
            entry,
            idempotent: kind != RequestKind::Booking,
            parts: match kind {
                RequestKind::Lookup(tokens) => Some(tokens),
                RequestKind::Booking => None,
            },
        };
        self.recorder.record_invocation(self.process.clone(), Op::Request(request));
        let answer = client.send(address, kind, &work);
        let outcome = match &answer {
            mastichaven_proof::Answer::Final { outcome, .. } => Some(*outcome),
            _ => None,
        };
        self.recorder.record_return(self.process.clone(), Return::Answer { call, answer });
        outcome
    }
}

/// Publishes a configuration and records the operation and its result.
pub fn publish_and_record(
    recorder: &Recorder,
    platform: &str,
    operator: u32,
    config: &Config,
) -> Option<Generation> {
    let text = toml::to_string(config).expect("a configuration serializes to TOML");
    let content = Digest::of(text.as_bytes());
    let process = Process::Operator(operator);
    recorder.record_invocation(process.clone(), Op::Publish(content));
    match publish::publish_config(&HttpStore::new(platform), config) {
        Ok(generation) => {
            recorder.record_return(process, Return::Accepted { content, generation });
            Some(generation)
        }
        Err(PublishError::Conflict(_)) => {
            recorder.record_return(process, Return::Refused(content));
            None
        }
        Err(_) => {
            recorder.record_return(process, Return::Unknown(content));
            None
        }
    }
}

fn endpoint_observer(recorder: Recorder, host: HostName, zone: &'static str) -> Observer {
    use mastichaven_standins::EndpointEvent;
    Arc::new(move |seen| {
        let seen = match seen {
            EndpointEvent::Began { work, start, running, capacity } => {
                let (work, zone) = (work.into(), zone.into());
                Observation::Began { work, zone, start, running, bears: capacity }
            }
            EndpointEvent::Ended { work, whole } => Observation::Ended { work: work.into(), whole },
            EndpointEvent::Restarted => Observation::Lost,
            EndpointEvent::Loaded { version, weights } => Observation::Loaded {
                version: Digest::from_hex(&version).unwrap_or_default(),
                weights,
            },
        };
        recorder.record_observation(Process::Host(host.clone()), seen);
    })
}

fn read_generation(operators: SocketAddr) -> Option<Generation> {
    let request = minreq::get(format!("http://{operators}/dump"));
    let response = request.with_timeout(OPERATORS_TIMEOUT_SECONDS).send().ok()?;
    let dump: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    dump["generation"].as_u64().map(Generation)
}

fn build_config(versions: &[Digest; 2]) -> Result<Config> {
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
