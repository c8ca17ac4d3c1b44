//! A small deployment of a model service: store, origin, model runners with their agents, a plain runner, entries.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::reason;
use crate::client::Client;
use crate::client::KEY;
use crate::engine::Engine;
use crate::engine::SERVICE;
use crate::fleet::Entry;
use crate::fleet::Hosts;
use crate::fleet::Program;
use crate::origin::MODEL;
use crate::origin::Origin;
use crate::record::Record;
use crate::runner::Behaviour;
use crate::runner::Runner;
use crate::site::model_configuration;
use crate::store::Store;

/// `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Hosts of the entries, the model runners and the runner of the plain service.
const ENTRIES: std::ops::Range<u8> = 1..3;
const ENGINES: std::ops::Range<u8> = 5..9;
const PLAIN: u8 = 9;

/// What the platform and the runners' side consist of.
pub struct Platform {
    pub origin: Origin,
    store: Store,
    hosts: Hosts,
    engines: Vec<Engine>,
    is_over: Arc<AtomicBool>,
    record: Record,
}

/// The processes of the system.
pub struct System {
    pub entries: Vec<Entry>,
    _agents: Vec<Program>,
}

/// Requests that were served, on each route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub lookup: usize,
    pub stream: usize,
    pub later: usize,
}

impl Platform {
    /// Starts it with version 1 of the configuration and of the weights.
    pub fn start(record: &Record) -> Result<Platform, String> {
        let store = Store::start("127.0.0.1:0").map_err(reason)?;
        let origin = Origin::start("127.0.0.1:0", record).map_err(reason)?;
        let hosts = Hosts::new(store.address, PLAIN).map_err(reason)?;
        let engines: Vec<Engine> = ENGINES
            .map(|host| Engine::start(&hosts.ip(host), &format!("i-{host}"), record))
            .collect::<std::io::Result<_>>()
            .map_err(reason)?;
        let behaviour = Behaviour { work: Duration::from_millis(20), ..Behaviour::default() };
        let plain = Runner::start(&hosts.ip(PLAIN), "i-plain", "desk", behaviour, record);
        let plain = plain.map_err(reason)?;
        store.put("servers", &plain.id, &plain.entry("ready"));
        let is_over = Arc::default();
        let platform = Platform { origin, store, hosts, engines, is_over, record: record.clone() };
        platform.configure(1, &["stream"]);
        platform.name_weights(1);
        platform.write_heartbeats();
        Ok(platform)
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, routes: &[&str]) {
        let spec = model_configuration(version, routes, self.origin.address, &[KEY]);
        self.store.put("config", "main", &spec);
        self.record.line(&format!("store has acknowledged version {version} of the configuration"));
    }

    /// Names a version of the weights.
    pub fn name_weights(&self, version: u64) {
        let spec = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        self.store.put("versions", MODEL, &spec);
        self.record.line(&format!("store has acknowledged version {version} of the weights"));
    }

    /// Writes the entries of the model runners for as long as the platform exists.
    fn write_heartbeats(&self) {
        let (store, engines) = (self.store.clone(), self.engines.clone());
        let is_over = self.is_over.clone();
        let write = move || {
            for engine in &engines {
                store.put("servers", &engine.id, &engine.entry());
            }
        };
        write();
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                write();
            }
        });
    }

    /// Starts the processes of the system and waits until its entries are ready.
    pub fn start_system(&self) -> Result<System, String> {
        let agents = ENGINES.zip(&self.engines);
        let agents =
            agents.map(|(host, engine)| self.hosts.start_agent(host, engine.address, SERVICE));
        let agents: Vec<Program> = agents.collect::<std::io::Result<_>>().map_err(reason)?;
        let entries = ENTRIES.map(|host| self.hosts.start_entry(host));
        let entries: Vec<Entry> = entries.collect::<std::io::Result<_>>().map_err(reason)?;
        if entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(20), &self.record)) {
            Ok(System { entries, _agents: agents })
        } else {
            Err("the entries do not become ready".to_owned())
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

impl System {
    /// Sends `count` requests on each of `routes`, to all entries in turn.
    pub fn serve(&self, routes: &[&str], prefix: &str, count: usize, record: &Record) -> Served {
        let mut clients: Vec<Client> =
            self.entries.iter().map(|entry| Client::new(entry.callers)).collect();
        let entries = clients.len();
        let mut served = Served::default();
        for n in 0..count {
            for route in routes {
                let id = format!("{prefix}-{route}-{n}");
                let is_served = send(&mut clients[n % entries], route, &id, n, record);
                let counter = match *route {
                    "lookup" => &mut served.lookup,
                    "stream" => &mut served.stream,
                    _ => &mut served.later,
                };
                *counter += usize::from(is_served);
            }
            thread::sleep(Duration::from_millis(30));
        }
        served
    }
}

/// Sends a request and returns whether it was served.
fn send(client: &mut Client, route: &str, id: &str, n: usize, record: &Record) -> bool {
    let method = if route == "lookup" { "GET" } else { "POST" };
    let mut head = Client::head(method, &format!("/{route}/2f"), id, KEY, 6_000);
    let mut body: &[u8] = b"";
    if method == "POST" {
        body = b"prompt";
        head.push_str(&format!(
            "X-Mastichaven-Model: {MODEL}\r\nX-Mastichaven-Token-Usage: 650,24\r\n\
             X-Mastichaven-Prompt-Prefix: 5c1e07a2:40,{n:08x}:610\r\n"
        ));
    }
    record.line(&format!("client sends {id}"));
    let status = client.send(&head, body, Duration::from_secs(6)).map(|answer| answer.status);
    record.line(&format!("client got {status:?} to {id}"));
    matches!(status, Ok(200))
}
