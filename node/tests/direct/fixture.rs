//! Starts stand-ins of the platform and the programs under test on loopback addresses.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_node::direct::connection;
use mastichaven_node::direct::connection::ConnectionError;
use mastichaven_node::direct::connection::HttpConnection;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::origin::FakeOrigin;
use mastichaven_standins::direct::site;
use mastichaven_standins::direct::store::FakeStore;
use serde_json::Value;

/// Limit on the wait for a condition that holds eventually, with room for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bound on the use of older weights, unless a test sets another.
const WEIGHTS_BOUND: Duration = Duration::from_millis(3_000);

// Each program has its own IP address, so its ports can be fixed. They are below the ephemeral
// range: an ephemeral port that a test has bound and released stays in use while a child forked by
// another thread has inherited the socket and not yet called exec.
pub const AGENT_PORT: u16 = 20_000;
pub const METRICS_PORT: u16 = 20_001;
const CALLERS_PORT: u16 = 20_002;
const READY_PORT: u16 = 20_003;

/// Resource limits of a program, unless a test sets others.
const RESOURCES: Resources = Resources { descriptors: 1_000, memory_mb: 200 };

/// Number of the next host. Agents listen on the same port on all hosts, so each host has its own
/// IP address.
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

const MAX_HOSTS: u16 = 1_000;

static NEXT_FOLDER: AtomicU16 = AtomicU16::new(0);

/// Allocates an unused loopback address. Its octets are derived from the process id and the number
/// of the host.
pub fn allocate_ip() -> String {
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    assert!(host < MAX_HOSTS, "too many hosts in one test process");
    let process = std::process::id();
    let third = process / 200 % 50 * 5 + u32::from(host / 200);
    format!("127.{}.{third}.{}", process % 200 + 20, host % 200 + 1)
}

/// Path of a temporary folder that is unique even among programs of the same name.
fn temp_folder(name: &str) -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    std::env::temp_dir().join(format!("mastichaven-{process}-{number}-{name}"))
}

/// Resource limits in the settings of a program.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    pub descriptors: usize,
    pub memory_mb: usize,
}

/// A child process that is killed when dropped.
pub struct Program {
    pub child: Child,
    folder: PathBuf,
}

impl Program {
    fn start(binary: &str, name: &str, settings: &str) -> Program {
        let folder = temp_folder(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let file = folder.join("settings.toml");
        fs::write(&file, settings).expect("written");
        let log = fs::File::create(folder.join("log")).expect("created");
        let child = Command::new(binary)
            .arg("--direct")
            .arg(&file)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        Program { child, folder }
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for its exit; true if it exited with success.
    pub fn wait(&mut self) -> bool {
        until("the program ends", || self.child.try_wait().expect("a child").is_some());
        self.child.wait().expect("a child").success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("log of {}:\n{}", self.folder.display(), self.log());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until `condition` holds; panics after [`WAIT_TIMEOUT`].
pub fn until(what: &str, condition: impl FnMut() -> bool) {
    assert!(is_within(WAIT_TIMEOUT, condition), "timed out waiting: {what}");
}

/// Whether `condition` holds within `timeout`.
pub fn is_within(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

/// The platform of one test.
pub struct Site {
    pub store: FakeStore,
    pub origin: FakeOrigin,
    /// Time after the announcement of a version within which requests may begin on an older one.
    pub weights_bound: Duration,
    /// Resource limits of the programs that are started from then on.
    pub resources: Resources,
}

impl Site {
    /// A platform with a first configuration and no endpoint.
    pub fn start() -> Site {
        let site = Site::start_unconfigured();
        site.configure(1, &["key-1", "key-2"], true);
        site
    }

    /// A platform without a configuration.
    pub fn start_unconfigured() -> Site {
        let store = FakeStore::start("127.0.0.1:0").expect("the store starts");
        let origin = FakeOrigin::start("127.0.0.1:0").expect("the origin starts");
        Site { store, origin, weights_bound: WEIGHTS_BOUND, resources: RESOURCES }
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, keys: &[&str], is_resumable: bool) {
        let spec = site::configuration(version, keys, is_resumable, self.origin.address());
        self.store.put("config", "main", spec);
    }

    /// Writes a version of the configuration in which `urgent/` after the path prefix of the first
    /// route to `service` selects one like it, with a higher rank than the others.
    pub fn configure_ranked(&self, version: u64, keys: &[&str], service: &str) {
        let mut spec = site::configuration(version, keys, true, self.origin.address());
        site::add_urgent_route(&mut spec, service);
        self.store.put("config", "main", spec);
    }

    /// Writes a version of the configuration with `padding` additional bytes.
    pub fn configure_padded(&self, version: u64, keys: &[&str], padding: usize) {
        let mut spec = site::configuration(version, keys, true, self.origin.address());
        spec["note"] = Value::String("n".repeat(padding));
        self.store.put("config", "main", spec);
    }

    /// Starts an endpoint and lists it as ready.
    pub fn start_endpoint(&self, id: &str, service: &str, version: Option<u64>) -> FakeEndpoint {
        let ip = allocate_ip();
        let at = format!("{ip}:0");
        let endpoint = FakeEndpoint::start(&at, id, version).expect("the endpoint starts");
        self.list_endpoint(id, service, &endpoint, "ready");
        endpoint
    }

    /// Lists an endpoint as ready or draining.
    pub fn list_endpoint(&self, id: &str, service: &str, endpoint: &FakeEndpoint, state: &str) {
        self.store.put(site::ENDPOINTS, id, endpoint.record(service, "zone-a", state));
    }

    /// Lists an endpoint in a record with `padding` additional bytes.
    pub fn list_padded_endpoint(
        &self,
        id: &str,
        endpoint: &FakeEndpoint,
        state: &str,
        padding: usize,
    ) {
        let mut entry = endpoint.record("desk", "zone-a", state);
        entry["note"] = Value::String("n".repeat(padding));
        self.store.put(site::ENDPOINTS, id, entry);
    }

    fn settings(&self, name: &str, ip: &str, store: SocketAddr, role_settings: &str) -> String {
        format!(
            "host = \"{name}\"\nip = \"{ip}\"\nzone = \"zone-a\"\nstore = \"{}\"\n\
             agent_port = {AGENT_PORT}\nmetrics_port = {METRICS_PORT}\n{role_settings}\n\
             [regions]\nzone-a = \"region-a\"\n\
             [bounds]\nkey_revocation_ms = 5000\nweights_ms = {}\nleave_ms = 2000\nstop_s = 8.0\n\
             repeat_ratio = 0.2\nrepeat_slack = 100.0\nrepeat_window_s = 10.0\n\
             [limits]\ndescriptors = {}\nmemory_mb = {}\n",
            store,
            self.weights_bound.as_millis(),
            self.resources.descriptors,
            self.resources.memory_mb,
        )
    }

    /// Starts an entry and waits until it is ready.
    pub fn start_entry(&self, name: &str) -> Entry {
        self.start_entry_with_store(name, self.store.address())
    }

    /// Starts an entry with the store at `store`, and waits until it is ready.
    pub fn start_entry_with_store(&self, name: &str, store: SocketAddr) -> Entry {
        let entry = self.spawn_entry_with(name, store, &[]);
        until("the entry is ready", || entry.is_ready());
        entry
    }

    /// Starts an entry without waiting until it is ready.
    pub fn spawn_entry(&self, name: &str) -> Entry {
        self.spawn_entry_with(name, self.store.address(), &[])
    }

    /// Starts an entry with the store at `store` and the given seeds, and waits until it is ready.
    pub fn start_entry_with_seeds(&self, name: &str, store: SocketAddr, seeds: &[&Entry]) -> Entry {
        let entry = self.spawn_entry_with(name, store, seeds);
        until("the entry is ready", || entry.is_ready());
        entry
    }

    /// Starts an entry with the given seeds without waiting until it is ready.
    pub fn spawn_entry_with_seeds(&self, name: &str, seeds: &[&Entry]) -> Entry {
        self.spawn_entry_with(name, self.store.address(), seeds)
    }

    fn spawn_entry_with(&self, name: &str, store: SocketAddr, seeds: &[&Entry]) -> Entry {
        let ip = allocate_ip();
        let at = |port| SocketAddr::new(ip.parse().expect("an IP"), port);
        let (callers, ready) = (at(CALLERS_PORT), at(READY_PORT));
        let seeds: Vec<String> = seeds.iter().map(|seed| seed.callers.to_string()).collect();
        let role_settings =
            format!("callers = \"{callers}\"\nready = \"{ready}\"\nseeds = {seeds:?}");
        let binary = env!("CARGO_BIN_EXE_mastichaven-entry");
        let settings = self.settings(name, &ip, store, &role_settings);
        let program = Program::start(binary, name, &settings);
        Entry { program, callers, ready }
    }

    /// Starts the agent on the host of `endpoint`.
    pub fn start_agent(&self, name: &str, endpoint: &FakeEndpoint) -> Program {
        let ip = endpoint.address().ip().to_string();
        let role_settings = format!("endpoint = \"{}\"\nservice = \"writer\"", endpoint.address());
        let binary = env!("CARGO_BIN_EXE_mastichaven-agent");
        let store = self.store.address();
        Program::start(binary, name, &self.settings(name, &ip, store, &role_settings))
    }
}

/// A running entry.
pub struct Entry {
    pub program: Program,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<f64>,
    pub stamp: Option<String>,
    pub code: Option<String>,
    pub outcome: Option<String>,
}

impl Entry {
    /// Whether its readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let response = minreq::get(format!("http://{}/ready", self.ready)).with_timeout(2).send();
        response.is_ok_and(|response| response.status_code == 200)
    }

    /// Value of one of its counters; 0 if it has not counted anything.
    pub fn counter(&self, name: &str) -> u64 {
        let response = minreq::get(format!("http://{}/metrics", self.ready)).with_timeout(2).send();
        let response = response.expect("metrics");
        let mut lines = response.as_str().expect("text").lines();
        let prefix = format!("mastichaven_{name}_total ");
        lines.find_map(|line| line.strip_prefix(&prefix)?.parse().ok()).unwrap_or_default()
    }

    /// Its state dump.
    pub fn dump(&self) -> Value {
        let response = minreq::get(format!("http://{}/dump", self.ready)).with_timeout(2).send();
        let text = response.expect("a dump").as_str().expect("text").to_owned();
        serde_json::from_str(&text).expect("JSON")
    }

    /// Sends a request with `key`; fails if there is no complete response.
    pub fn send_request(
        &self,
        path: &str,
        id: &str,
        key: &str,
    ) -> Result<Response, ConnectionError> {
        self.send_body(path, id, key, "the body")
    }

    /// Sends a request with `key` and `body`; fails if there is no complete response.
    pub fn send_body(
        &self,
        path: &str,
        id: &str,
        key: &str,
        body: &str,
    ) -> Result<Response, ConnectionError> {
        send_to(self.callers, path, id, key, body)
    }
}

/// Sends a request to the entry at `callers`; fails if there is no complete response.
pub fn send_to(
    callers: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    body: &str,
) -> Result<Response, ConnectionError> {
    send_with_parts(callers, path, id, key, "", body)
}

/// Sends a request whose prompt has `parts` to the entry at `callers`; fails if there is no complete response.
pub fn send_with_parts(
    callers: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    parts: &str,
    body: &str,
) -> Result<Response, ConnectionError> {
    let method = if path.starts_with("/lookup/") { "GET" } else { "POST" };
    let body = body.to_owned().into();
    let mut req = connection::build_request(method, callers, path, body);
    for (name, value) in site::caller_headers(id, key) {
        req.headers_mut().insert(name, value.parse().expect("a valid value"));
    }
    if !parts.is_empty() {
        req.headers_mut().insert(site::PROMPT_PARTS, parts.parse().expect("a valid value"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let response = runtime.expect("runtime can be created").block_on(async {
        let mut connection = HttpConnection::open(callers, WAIT_TIMEOUT).await?;
        connection.call(req, 1 << 20, WAIT_TIMEOUT).await
    })?;
    let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
    Ok(Response {
        status: response.status().as_u16(),
        retry_after: header("retry-after").and_then(|value| value.parse().ok()),
        stamp: header(site::STAMP).map(str::to_owned),
        code: header("mastichaven-code").map(str::to_owned),
        outcome: header("mastichaven-outcome").map(str::to_owned),
        body: String::from_utf8_lossy(response.body()).into_owned(),
    })
}
