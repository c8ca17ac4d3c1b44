//! A small platform on loopback with the programs beside it.

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
use mastichaven_standins::served::endpoint::ServedEndpoint;
use mastichaven_standins::served::origin::ServedOrigin;
use mastichaven_standins::served::site;
use mastichaven_standins::served::store::ServedStore;
use serde_json::Value;

/// Longest wait for something that is sure to come, also on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(20);

// Each program has an IP number of its own, so its ports may be fixed. They lie below the ports that the
// kernel hands out: a port that is drawn and released stays in use while another thread's child,
// which inherited the socket, has not yet run its program.
const AGENT_PORT: u16 = 20_000;
const METRICS_PORT: u16 = 20_001;
const CALLERS_PORT: u16 = 20_002;
const READY_PORT: u16 = 20_003;

/// Agents listen on one port, the same on all hosts, so each host has an IP number of its own.
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

const HOSTS_A_PROCESS: u16 = 1_000;

static NEXT_FOLDER: AtomicU16 = AtomicU16::new(0);

/// An unused IP number of the loopback network: two octets of the process, two of the host.
fn new_ip() -> String {
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    assert!(host < HOSTS_A_PROCESS, "more hosts than numbers");
    let process = std::process::id();
    let third = process / 200 % 50 * 5 + u32::from(host / 200);
    format!("127.{}.{third}.{}", process % 200 + 20, host % 200 + 1)
}

/// A temporary folder that no other program of this run uses, also one of the same name.
fn new_folder(name: &str) -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    std::env::temp_dir().join(format!("mastichaven-{process}-{number}-{name}"))
}

/// A program that is killed when the test ends.
pub struct Program {
    child: Child,
    folder: PathBuf,
}

impl Program {
    fn start(binary: &str, name: &str, settings: &str) -> Program {
        let folder = new_folder(name);
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

    /// What it has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until it has ended and says whether it ended well.
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

/// Waits until `is_so`, or fails.
pub fn until(what: &str, is_so: impl FnMut() -> bool) {
    assert!(is_within(PATIENCE, is_so), "in vain: {what}");
}

/// Whether `is_so` comes true in time.
pub fn is_within(span: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + span;
    while !is_so() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}

/// The platform of one test.
pub struct Site {
    pub store: ServedStore,
    pub origin: ServedOrigin,
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
        let store = ServedStore::start("127.0.0.1:0").expect("the store starts");
        let origin = ServedOrigin::start("127.0.0.1:0").expect("the origin starts");
        Site { store, origin }
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, keys: &[&str], resumes: bool) {
        let spec = site::configuration(version, keys, resumes, self.origin.address());
        self.store.put("config", "main", spec);
    }

    /// Writes a version of the configuration that is `len` bytes longer than it needs to be.
    pub fn configure_long(&self, version: u64, keys: &[&str], len: usize) {
        let mut spec = site::configuration(version, keys, true, self.origin.address());
        spec["note"] = Value::String("n".repeat(len));
        self.store.put("config", "main", spec);
    }

    /// Starts an endpoint and lists it.
    pub fn endpoint(&self, id: &str, service: &str, version: Option<u64>) -> ServedEndpoint {
        let ip = new_ip();
        let at = format!("{ip}:0");
        let endpoint = ServedEndpoint::start(&at, id, version).expect("the endpoint starts");
        self.list(id, service, &endpoint, "ready");
        endpoint
    }

    /// Lists an endpoint as ready or draining.
    pub fn list(&self, id: &str, service: &str, endpoint: &ServedEndpoint, state: &str) {
        self.store.put(site::ENDPOINTS, id, endpoint.entry(service, "zone-a", state));
    }

    /// Lists an endpoint with an entry that is `len` bytes longer than it needs to be.
    pub fn list_long(&self, id: &str, endpoint: &ServedEndpoint, state: &str, len: usize) {
        let mut entry = endpoint.entry("desk", "zone-a", state);
        entry["note"] = Value::String("n".repeat(len));
        self.store.put(site::ENDPOINTS, id, entry);
    }

    fn settings(&self, name: &str, ip: &str, store: SocketAddr, own: &str) -> String {
        format!(
            "host = \"{name}\"\nip = \"{ip}\"\nzone = \"zone-a\"\nstore = \"{}\"\n\
             agent_port = {AGENT_PORT}\nmetrics_port = {METRICS_PORT}\n{own}\n\
             [regions]\nzone-a = \"region-a\"\n\
             [bounds]\nkey_revocation_ms = 5000\nweights_ms = 3000\nleave_ms = 2000\nstop_s = 8.0\n\
             repeat_ratio = 0.2\nrepeat_slack = 100.0\nrepeat_window_s = 10.0\n\
             [limits]\ndescriptors = 1000\nmemory_mb = 200\n",
            store,
        )
    }

    /// Starts an entry and waits until it is ready.
    pub fn entry(&self, name: &str) -> Entry {
        self.entry_at(name, self.store.address())
    }

    /// Starts an entry that reaches the store at `store`, and waits until it is ready.
    pub fn entry_at(&self, name: &str, store: SocketAddr) -> Entry {
        let entry = self.start_entry(name, store, &[]);
        until("the entry is ready", || entry.is_ready());
        entry
    }

    /// Starts an entry.
    pub fn entry_unready(&self, name: &str) -> Entry {
        self.start_entry(name, self.store.address(), &[])
    }

    /// Starts an entry that reaches the store at `store` and may ask `seeds` first, and waits until it is ready.
    pub fn entry_seeded(&self, name: &str, store: SocketAddr, seeds: &[&Entry]) -> Entry {
        let entry = self.start_entry(name, store, seeds);
        until("the entry is ready", || entry.is_ready());
        entry
    }

    fn start_entry(&self, name: &str, store: SocketAddr, seeds: &[&Entry]) -> Entry {
        let ip = new_ip();
        let at = |port| SocketAddr::new(ip.parse().expect("an IP"), port);
        let (callers, ready) = (at(CALLERS_PORT), at(READY_PORT));
        let seeds: Vec<String> = seeds.iter().map(|seed| seed.callers.to_string()).collect();
        let own = format!("callers = \"{callers}\"\nready = \"{ready}\"\nseeds = {seeds:?}");
        let binary = env!("CARGO_BIN_EXE_mastichaven-entry");
        let settings = self.settings(name, &ip, store, &own);
        let program = Program::start(binary, name, &settings);
        Entry { program, callers, ready }
    }

    /// Starts the agent of an endpoint.
    pub fn agent(&self, name: &str, endpoint: &ServedEndpoint) -> Program {
        let ip = endpoint.address().ip().to_string();
        let own = format!("endpoint = \"{}\"\nservice = \"writer\"", endpoint.address());
        let binary = env!("CARGO_BIN_EXE_mastichaven-agent");
        let store = self.store.address();
        Program::start(binary, name, &self.settings(name, &ip, store, &own))
    }
}

/// A running entry.
pub struct Entry {
    pub program: Program,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<f64>,
    pub stamp: Option<String>,
}

impl Entry {
    /// Whether it tells the balancer that it is ready.
    pub fn is_ready(&self) -> bool {
        let asked = minreq::get(format!("http://{}/ready", self.ready)).with_timeout(2).send();
        asked.is_ok_and(|answer| answer.status_code == 200)
    }

    /// Its state dump.
    pub fn dump(&self) -> Value {
        let asked = minreq::get(format!("http://{}/dump", self.ready)).with_timeout(2).send();
        let text = asked.expect("a dump").as_str().expect("text").to_owned();
        serde_json::from_str(&text).expect("JSON")
    }

    /// Sends a request under `key`; `Err` when the answer broke off or none came.
    pub fn ask(&self, path: &str, id: &str, key: &str) -> Result<Answer, ConnectionError> {
        let method = if path.starts_with("/lookup/") { "GET" } else { "POST" };
        let mut req = connection::build_request(method, self.callers, path, "the body".into());
        for (name, value) in site::caller_headers(id, key) {
            req.headers_mut().insert(name, value.parse().expect("a valid value"));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let answer = runtime.expect("a runtime").block_on(async {
            let mut link = HttpConnection::open(self.callers, PATIENCE).await?;
            link.call(req, 1 << 20, PATIENCE).await
        })?;
        let header = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
        Ok(Answer {
            status: answer.status().as_u16(),
            retry_after: header("retry-after").and_then(|value| value.parse().ok()),
            stamp: header(site::STAMP).map(str::to_owned),
            body: String::from_utf8_lossy(answer.body()).into_owned(),
        })
    }
}
