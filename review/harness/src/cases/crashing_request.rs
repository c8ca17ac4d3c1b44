//! A request crashes each runner that begins to run it, and comes again. Meanwhile the agents are
//! stopped and started in turn.
//!
//! Rule BUDGET: a request that crashes the runners that run it reaches runners in at most three
//! retries that are sent later than `contact_ms` after it has crashed the third.

use std::collections::HashMap;
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
use crate::model_runner::ModelRunner;
use crate::origin::Origin;
use crate::program;
use crate::program::Addresses;
use crate::program::Entry;
use crate::program::Folder;
use crate::program::Program;
use crate::record::Record;
use crate::runner::CRASHING_BODY;
use crate::runner::Runner;
use crate::site;
use crate::store::Store;

const ENTRIES: usize = 4;
const AGENTS: usize = 3;
const RUNNERS: usize = 4;

/// Interval at which the request comes again, each time at another entry.
const RETURN_INTERVAL: Duration = Duration::from_millis(5_000);
const ATTEMPTS: usize = 10;
/// The agents are stopped in turn after these attempts, at this interval.
const ROLLS_AFTER: [usize; 3] = [1, 3, 5];
const ROLL_GAP: Duration = Duration::from_millis(1_300);
/// Time for which a crashed runner is away.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
/// Time of silence after which the platform removes an entry: three heartbeats.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

const MAX_LATE: usize = 3;
const CRASHES_BEFORE: usize = 3;
const CONTACT_TIME: Duration = Duration::from_millis(site::CONTACT_MS);
const DEADLINE: Duration = Duration::from_millis(4_000);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut addresses = Addresses::allocate()?;
    let folder = Folder::create()?;
    let store = Arc::new(Store::start(&format!("{}:0", addresses.next()))?);
    let origin = Origin::start(&format!("{}:0", addresses.next()), record)?;
    let configuration = site::configuration(1, &["key-1"], Some(origin.address()));
    store.put("config", "main", configuration.as_bytes());
    let entry_ips: Vec<String> = (0..ENTRIES).map(|_| addresses.next()).collect();
    let seeds: Vec<String> = entry_ips.iter().take(3).map(|ip| format!("{ip}:8000")).collect();
    let mut model_runners = Vec::new();
    let mut agents = Vec::new();
    for n in 1..=AGENTS {
        let id = format!("m-{n}");
        let runner = ModelRunner::start(&format!("{}:0", addresses.next()), &id, Some(1), record)?;
        store.put(site::SERVERS, &id, runner.entry(0).as_bytes());
        let (name, address) = (format!("agent-{n}"), runner.address());
        agents.push(program::start_agent(&folder, &name, address, store.address(), &seeds)?);
        model_runners.push(runner);
    }
    let mut entries = Vec::new();
    for (n, ip) in entry_ips.iter().enumerate() {
        let name = format!("entry-{}", n + 1);
        entries.push(Entry::start(&folder, &name, ip, store.address(), &seeds)?);
    }
    let mut keepers = Vec::new();
    let is_over = Arc::new(AtomicBool::new(false));
    for n in 1..=RUNNERS {
        let first = Runner::start(&addresses.next(), &format!("i-{n}-0"), record)?;
        let (store, record, is_over) = (store.clone(), record.clone(), is_over.clone());
        keepers.push(thread::spawn(move || keep_running(n, first, &store, &record, &is_over)));
    }
    for entry in &entries {
        entry.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let mut attempts: HashMap<String, Instant> = HashMap::new();
    for n in 0..ATTEMPTS {
        let started_at = Instant::now();
        let id = format!("crash-{n}");
        let request = Request {
            method: "POST",
            path: "/booking/crash",
            id: &id,
            key: Some("key-1"),
            body: CRASHING_BODY,
            deadline: DEADLINE,
        };
        attempts.insert(id.clone(), started_at);
        let entry = &entries[n % ENTRIES];
        let outcome = client::send(entry.front, &request);
        record.line(&format!("{id} at {}: {}", entry.program.name(), outcome.text()));
        if has_trouble && ROLLS_AFTER.contains(&n) {
            roll(&mut agents, record)?;
        }
        thread::sleep(RETURN_INTERVAL.saturating_sub(started_at.elapsed()));
    }
    is_over.store(true, Ordering::Release);
    let mut crashes: Vec<(Instant, String)> = Vec::new();
    for keeper in keepers {
        crashes.extend(keeper.join().expect("no runner panics")?);
    }
    crashes.sort();
    let third = crashes.get(CRASHES_BEFORE - 1).map(|(at, _)| *at);
    let is_late = |id: &String| third.is_some_and(|third| attempts[id] > third + CONTACT_TIME);
    let late = crashes.iter().filter(|(_, id)| is_late(id)).count();
    record.summary(&format!(
        "{ATTEMPTS} attempts, {} crashes; {late} runners crashed by attempts that were sent later \
         than {CONTACT_TIME:?} after the third crash",
        crashes.len()
    ));
    for entry in &entries {
        let refusals = entry.program.log_lines("request quarantined");
        record.line(&format!("log of {}: {}", entry.program.name(), refusals.join(" ")));
    }
    if crashes.len() < CRASHES_BEFORE {
        return Err(io::Error::other("the request has not crashed three runners"));
    }
    Ok(if late > MAX_LATE { Verdict::Broken } else { Verdict::Held })
}

/// Stops the agents with SIGTERM and starts them again, one after the other.
fn roll(agents: &mut [Program], record: &Record) -> io::Result<()> {
    for agent in agents {
        agent.terminate();
        agent.restart()?;
        record.line(&format!("{} has been stopped and started", agent.name()));
        thread::sleep(ROLL_GAP);
    }
    Ok(())
}

/// Keeps a runner listed, and starts it again under another id after it has crashed. Returns the
/// times of the crashes, each with the request.
fn keep_running(
    n: usize,
    first: Runner,
    store: &Store,
    record: &Arc<Record>,
    is_over: &AtomicBool,
) -> io::Result<Vec<(Instant, String)>> {
    let ip = first.address().ip().to_string();
    let port = first.address().port();
    let mut runner = first;
    let mut crashes = Vec::new();
    store.put(site::SERVERS, &format!("i-{n}-0"), runner.entry("ready", 0).as_bytes());
    while !is_over.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(5));
        let Some(id) = runner.crash_request() else {
            continue;
        };
        runner.kill();
        crashes.push((Instant::now(), id.clone()));
        record.line(&format!("i-{n}-{} has crashed while it ran {id}", crashes.len() - 1));
        thread::sleep(DOWN_TIME);
        let next = format!("i-{n}-{}", crashes.len());
        runner = Runner::start(&format!("{ip}:{port}"), &next, record)?;
        store.put(site::SERVERS, &next, runner.entry("ready", 0).as_bytes());
        thread::sleep(EXPIRY_TIME.saturating_sub(DOWN_TIME));
        store.delete(site::SERVERS, &format!("i-{n}-{}", crashes.len() - 1));
    }
    Ok(crashes)
}
