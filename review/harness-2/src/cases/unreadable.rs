//! An entry that can't be read lies among those of the runners when a runner leaves.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::reason;
use crate::Verdict;
use crate::client::Client;
use crate::client::KEY;
use crate::fleet::Hosts;
use crate::record::Record;
use crate::runner::Behaviour;
use crate::runner::Runner;
use crate::site::Route;
use crate::site::configuration;
use crate::store::Store;

/// `drain_timeout_ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval between the requests of a client.
const INTERVAL: Duration = Duration::from_millis(50);

const ENTRIES: u8 = 2;

/// Clients, which share the entries.
const CLIENTS: usize = 8;

/// What another writer has written: valid JSON, but strings that hold no text.
fn unreadable_spec() -> String {
    match std::env::var("FORM").unwrap_or_default().as_str() {
        "number" => "{\"service\":\"desk\",\"slots\":1e999}".to_owned(),
        "depth" => format!("{{\"service\":{}{}}}", "[".repeat(200), "]".repeat(200)),
        _ => "{\"service\":\"\\udc80\\udcfe\",\"state\":\"ready\"}".to_owned(),
    }
}

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let store = Store::start("127.0.0.1:0").map_err(reason)?;
    let hosts = Hosts::new(store.address, 10).map_err(reason)?;
    let routes = [Route {
        name: "lookup",
        kind: "idempotent",
        timeout_ms: 4_000,
        target_ms: 300,
        allow_anonymous: false,
    }];
    store.put("config", "main", &configuration(1, &routes, &[KEY]));
    let behaviour = Behaviour { work: Duration::from_millis(60), ..Behaviour::default() };
    let start = |host, id| Runner::start(&hosts.ip(host), id, "desk", behaviour, record);
    let stays = start(5, "i-stays").map_err(reason)?;
    let leaves = start(6, "i-leaves").map_err(reason)?;
    for runner in [&stays, &leaves] {
        store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let mut entries = Vec::new();
    for host in 1..=ENTRIES {
        entries.push(hosts.start_entry(host).map_err(reason)?);
    }
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(20), record)) {
        return Err("the entries do not become ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = entries
        .iter()
        .cycle()
        .take(CLIENTS)
        .enumerate()
        .map(|(n, entry)| {
            let (is_over, record, address) = (is_over.clone(), record.clone(), entry.callers);
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut served = 0;
                for count in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("c{n}-{count}");
                    let head = Client::head("GET", "/lookup/2f", &id, KEY, 4_000);
                    record.line(&format!("client sends {id}"));
                    let status = client.send(&head, b"", Duration::from_secs(4)).map(|r| r.status);
                    record.line(&format!("client got {status:?} to {id}"));
                    served += u32::from(matches!(status, Ok(200)));
                    thread::sleep(INTERVAL);
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if leaves.runs().is_empty() || stays.runs().is_empty() {
        return Err("a runner got no request".to_owned());
    }
    if has_trouble {
        let at = store.put("servers", "i-other", &unreadable_spec());
        record.line_at(at, "another writer's entry `i-other` lies in the store");
    }
    thread::sleep(Duration::from_secs(4));
    let acknowledged = store.put("servers", &leaves.id, &leaves.entry("draining"));
    record.line_at(acknowledged, "store has acknowledged that i-leaves is draining");
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::Relaxed);
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let late: Vec<Duration> = leaves
        .runs()
        .iter()
        .map(|run| run.at.saturating_duration_since(acknowledged))
        .filter(|after| *after > DRAIN_TIMEOUT)
        .collect();
    record.say(&format!(
        "{served} requests served; {} requests reached the leaving runner later than {DRAIN_TIMEOUT:?} after the \
         acknowledgement, the last one {:?} after it",
        late.len(),
        late.iter().max().copied().unwrap_or_default()
    ));
    observe_start(&hosts, record)?;
    Ok(late.is_empty())
}

/// Starts one more entry, as when a machine is added, and records whether it becomes ready. This decides nothing.
fn observe_start(hosts: &Hosts, record: &Record) -> Result<(), String> {
    let started = Instant::now();
    let added = hosts.start_entry(3).map_err(reason)?;
    let is_ready = added.wait_ready(Duration::from_secs(15), record);
    record.say(&format!(
        "an added entry is {} after {:.1} s",
        if is_ready { "ready" } else { "not ready" },
        started.elapsed().as_secs_f64()
    ));
    Ok(())
}
