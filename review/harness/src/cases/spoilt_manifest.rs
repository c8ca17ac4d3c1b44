//! A final fault takes the power from all machines. As they come back, the origin of the weights
//! spoils one answer: one digit of one digest in the first manifest.
//!
//! Rule RECOVER: of the requests sent later than `recovery_s` after the machines are back, at least
//! a quarter is served, if a quarter was before the fault.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Request;
use crate::model_runner::ModelRunner;
use crate::origin::Origin;
use crate::program;
use crate::program::Addresses;
use crate::program::Entry;
use crate::program::Folder;
use crate::record::Record;
use crate::site;
use crate::store::Store;

const RUNNERS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(6_000);
const RECOVERY_BOUND: Duration = Duration::from_millis(site::RECOVERY_MS);
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time for which requests are sent after the bound.
const CHECKED_TIME: Duration = Duration::from_secs(30);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut addresses = Addresses::allocate()?;
    let folder = Folder::create()?;
    let store = Store::start(&format!("{}:0", addresses.next()))?;
    let origin = Origin::start(&format!("{}:0", addresses.next()), record)?;
    let configuration = site::configuration(1, &["key-1"], Some(origin.address()));
    store.put("config", "main", configuration.as_bytes());
    let entry_ip = addresses.next();
    let seeds = [format!("{entry_ip}:8000")];
    let mut runners = Vec::new();
    let mut agents = Vec::new();
    for n in 1..=RUNNERS {
        let id = format!("m-{n}");
        let runner = ModelRunner::start(&format!("{}:0", addresses.next()), &id, Some(1), record)?;
        store.put(site::SERVERS, &id, runner.entry(0).as_bytes());
        let name = format!("agent-{n}");
        let address = runner.address();
        agents.push(program::start_agent(&folder, &name, address, store.address(), &seeds)?);
        runners.push(runner);
    }
    let mut entry = Entry::start(&folder, "entry-1", &entry_ip, store.address(), &seeds)?;
    entry.wait_until_ready()?;
    thread::sleep(Duration::from_secs(6));
    let (sent, served) = send_for(Duration::from_secs(4), entry.front, "before", record);
    record.summary(&format!("before the fault: {sent} requests, {served} served"));
    if served * 4 < sent {
        return Err(io::Error::other("requests fail before the fault"));
    }
    store.put(
        "config",
        "main",
        site::configuration(2, &["key-1"], Some(origin.address())).as_bytes(),
    );
    entry.program.kill();
    agents.iter_mut().for_each(program::Program::kill);
    for (n, runner) in runners.iter().enumerate() {
        runner.kill();
        store.delete(site::SERVERS, &format!("m-{}", n + 1));
    }
    record.summary("all machines have lost power");
    thread::sleep(DOWN_TIME);
    if has_trouble {
        origin.spoil_manifests(1);
    }
    for (n, runner) in runners.iter_mut().enumerate() {
        let id = format!("m-{}b", n + 1);
        let address = runner.address().to_string();
        *runner = ModelRunner::start(&address, &id, None, record)?;
        store.put(site::SERVERS, &id, runner.entry(0).as_bytes());
    }
    for agent in &mut agents {
        agent.restart()?;
    }
    entry.program.restart()?;
    let back_at = Instant::now();
    record.summary("all machines are back");
    // Runners write their entries again when their weights change.
    let mut known = vec![None; RUNNERS];
    let mut beat = 0;
    while back_at.elapsed() < RECOVERY_BOUND {
        update_entries(&store, &runners, &mut known, &mut beat);
        thread::sleep(Duration::from_millis(200));
    }
    let front = entry.front;
    let client_record = record.clone();
    let client = thread::spawn(move || send_for(CHECKED_TIME, front, "after", &client_record));
    while !client.is_finished() {
        update_entries(&store, &runners, &mut known, &mut beat);
        thread::sleep(Duration::from_millis(200));
    }
    let (sent, served) = client.join().expect("no client panics");
    let versions: Vec<Option<u64>> = runners.iter().map(ModelRunner::version).collect();
    let (manifests, pieces) = origin.sent();
    record.summary(&format!(
        "from {RECOVERY_BOUND:?} after the machines are back, for {CHECKED_TIME:?}: {sent} \
         requests, {served} served; versions at the runners {versions:?}; the origin sent \
         {manifests} manifests and {pieces} pieces"
    ));
    if !has_trouble && served * 4 < sent {
        return Err(io::Error::other("requests fail without the disruption"));
    }
    Ok(if served * 4 < sent { Verdict::Broken } else { Verdict::Held })
}

fn update_entries(
    store: &Store,
    runners: &[ModelRunner],
    known: &mut [Option<u64>],
    beat: &mut u64,
) {
    for (n, runner) in runners.iter().enumerate() {
        let version = runner.version();
        if known[n] != version {
            known[n] = version;
            *beat += 1;
            store.put(site::SERVERS, &format!("m-{}b", n + 1), runner.entry(*beat).as_bytes());
        }
    }
}

/// Sends requests, one after the other, and counts those that are served.
fn send_for(time: Duration, front: SocketAddr, name: &str, record: &Record) -> (usize, usize) {
    let started_at = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while started_at.elapsed() < time {
        let id = format!("{name}-{sent}");
        let request = Request {
            method: "POST",
            path: "/draft/1",
            id: &id,
            key: Some("key-1"),
            body: b"prompt",
            deadline: DEADLINE,
        };
        let outcome = client::send(front, &request);
        record.line(&format!("{id}: {}", outcome.text()));
        sent += 1;
        served += usize::from(outcome.is_success());
        thread::sleep(REQUEST_INTERVAL);
    }
    (sent, served)
}
