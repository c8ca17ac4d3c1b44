//! A small deployment of a model service: store, origin, model runners with their agents, entries.

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
use crate::site::model_configuration;
use crate::store::Store;

/// `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Hosts of the entries and of the model runners.
const ENTRIES: std::ops::Range<u8> = 1..3;
const ENGINES: std::ops::Range<u8> = 5..9;

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

impl Platform {
    /// Starts it with version 1 of the configuration and of the weights.
    pub fn start(record: &Record) -> Result<Platform, String> {
        let store = Store::start("127.0.0.1:0").map_err(reason)?;
        let origin = Origin::start("127.0.0.1:0", record).map_err(reason)?;
        let hosts = Hosts::new(store.address, ENGINES.end).map_err(reason)?;
        let engines: Vec<Engine> = ENGINES
            .map(|host| Engine::start(&hosts.ip(host), &format!("i-{host}"), record))
            .collect::<std::io::Result<_>>()
            .map_err(reason)?;
        let is_over = Arc::default();
        let platform = Platform { origin, store, hosts, engines, is_over, record: record.clone() };
        platform.configure();
        platform.name_weights(1);
        platform.write_heartbeats();
        Ok(platform)
    }

    fn configure(&self) {
        let spec = model_configuration(1, self.origin.address, &[KEY]);
        self.store.put("config", "main", &spec);
        self.record.line("store has acknowledged the configuration");
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
    /// Sends `count` requests to all entries in turn. Returns how many were served.
    pub fn serve(&self, prefix: &str, count: usize, record: &Record) -> usize {
        let mut clients: Vec<Client> =
            self.entries.iter().map(|entry| Client::new(entry.callers)).collect();
        let entries = clients.len();
        let mut served = 0;
        for n in 0..count {
            served +=
                usize::from(send(&mut clients[n % entries], &format!("{prefix}-{n}"), n, record));
            thread::sleep(Duration::from_millis(30));
        }
        served
    }
}

/// Sends a request and returns whether it was served.
fn send(client: &mut Client, id: &str, n: usize, record: &Record) -> bool {
    let head = Client::head("POST", "/stream/2f", id, KEY, 6_000);
    let head = format!(
        "{head}X-Mastichaven-Model: {MODEL}\r\nX-Mastichaven-Token-Usage: 650,24\r\n\
         X-Mastichaven-Prompt-Prefix: 5c1e07a2:40,{n:08x}:610\r\n"
    );
    record.line(&format!("client sends {id}"));
    let status = client.send(&head, b"prompt", Duration::from_secs(6)).map(|answer| answer.status);
    record.line(&format!("client got {status:?} to {id}"));
    matches!(status, Ok(200))
}
