//! Another writer leaves an entry among those of the runners whose bytes can't be read. Then a
//! runner is drained.
//!
//! Rule DRAIN: no request that a client sends later than `drain_timeout_ms` after the
//! acknowledgement that a runner is `draining` reaches that runner.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Request;
use crate::program;
use crate::program::Addresses;
use crate::program::Entry;
use crate::program::Folder;
use crate::record::Record;
use crate::runner::Runner;
use crate::site;
use crate::store::Store;

const CLIENTS_PER_ENTRY: usize = 2;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(4_000);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(site::DRAIN_TIMEOUT_MS);
/// Time for which a draining runner goes on serving after `drain_timeout_ms`.
const LINGER: Duration = Duration::from_secs(6);
/// Time within which an entry that is started again is ready, if it ever is.
const RESTART_TIME: Duration = Duration::from_secs(10);

/// An entry in which one field holds a byte that is no text. The store's answers are JSON, so it
/// stands there as an escaped surrogate without its other half.
const UNREADABLE: &[u8] = b"{\"service\":\"\\udcff\",\"address\":7}";

/// Other forms, by the value of `FORM` in the environment.
fn entry_in_form(form: &str) -> Vec<u8> {
    match form {
        "bytes" => b"{\"service\":\"\xff\xfe\",\"address\":7}".to_vec(),
        "number" => b"{\"service\":\"s\",\"slots\":1e400}".to_vec(),
        "deep" => [vec![b'['; 200], vec![b']'; 200]].concat(),
        "text" => b"\"plain text\"".to_vec(),
        "null" => b"null".to_vec(),
        "types" => b"{\"service\":7,\"address\":true,\"zone\":[]}".to_vec(),
        _ => UNREADABLE.to_vec(),
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut addresses = Addresses::allocate()?;
    let folder = Folder::create()?;
    let store = Store::start(&format!("{}:0", addresses.next()))?;
    store.put("config", "main", site::configuration(1, &["key-1"], None).as_bytes());
    let mut runners = Vec::new();
    for n in 1..=3 {
        let id = format!("i-{n}");
        let runner = Runner::start(&addresses.next(), &id, record)?;
        store.put(site::SERVERS, &id, runner.entry("ready", 0).as_bytes());
        runners.push(runner);
    }
    let first = addresses.next();
    let seeds = [format!("{first}:8000")];
    let mut entries = [
        Entry::start(&folder, "entry-1", &first, store.address(), &seeds)?,
        Entry::start(&folder, "entry-2", &addresses.next(), store.address(), &seeds)?,
    ];
    for entry in &entries {
        entry.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..entries.len() * CLIENTS_PER_ENTRY)
        .map(|n| {
            let front = entries[n % entries.len()].front;
            let (record, is_over) = (record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !is_over.load(Ordering::Acquire) {
                    let id = format!("booking-{n}-{}", sent.len());
                    let request = Request {
                        method: "POST",
                        path: "/booking/1",
                        id: &id,
                        key: Some("key-1"),
                        body: b"slot",
                        deadline: DEADLINE,
                    };
                    let sent_at = Instant::now();
                    let outcome = client::send(front, &request);
                    record.line(&format!("{id}: {}", outcome.text()));
                    sent.push((id, sent_at, outcome.is_success()));
                    thread::sleep(REQUEST_INTERVAL);
                }
                sent
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        let form = std::env::var("FORM").unwrap_or_default();
        store.put(site::SERVERS, "x-1", &entry_in_form(&form));
        record.summary("another writer's entry is among those of the runners");
    }
    thread::sleep(Duration::from_secs(4));
    let leaving = &runners[0];
    store.put(site::SERVERS, "i-1", leaving.entry("draining", 1).as_bytes());
    let acknowledged_at = Instant::now();
    record.summary("the store has acknowledged that i-1 is draining");
    thread::sleep(DRAIN_TIMEOUT + LINGER);
    leaving.kill();
    store.delete(site::SERVERS, "i-1");
    record.summary("i-1 has ended");
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Release);
    let sent: Vec<_> =
        clients.into_iter().flat_map(|client| client.join().expect("no client panics")).collect();
    let bound = acknowledged_at + DRAIN_TIMEOUT;
    let late_ids: Vec<&String> =
        sent.iter().filter(|(_, sent_at, _)| *sent_at > bound).map(|(id, ..)| id).collect();
    let late_runs = leaving.runs().iter().filter(|run| late_ids.contains(&&run.id)).count();
    let answered = sent.iter().filter(|(_, _, is_success)| *is_success).count();
    record.summary(&format!(
        "{} requests, {answered} answered; {} of them sent later than {DRAIN_TIMEOUT:?} after the \
         acknowledgement, of which {late_runs} ran at i-1",
        sent.len(),
        late_ids.len()
    ));
    let lost = leaving.runs().iter().filter(|run| !run.is_answered).count();
    record.summary(&format!("{lost} requests were at work at i-1 when it ended, and are lost"));
    for entry in &entries {
        let lines = entry.program.log_lines("store lost");
        record.line(&format!("log of {}: {}", entry.program.name(), lines.join(" ")));
    }
    entries[1].program.restart()?;
    let is_ready = program::wait_until(RESTART_TIME, || entries[1].is_ready());
    record
        .summary(&format!("entry-2, started again, is ready within {RESTART_TIME:?}: {is_ready}"));
    if answered * 2 < sent.len() {
        return Err(io::Error::other("most requests are not answered"));
    }
    Ok(if late_runs > 0 { Verdict::Broken } else { Verdict::Held })
}
