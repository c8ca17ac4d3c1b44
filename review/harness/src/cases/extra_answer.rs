//! Faulty runners send additional bytes after a few of their complete answers, late, where the next
//! answer on the connection is expected.
//!
//! Rule TWICE: no request that isn't idempotent runs more than once. Rule REFUSED: none is answered
//! 408, 421, 429 or 503 and has run.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Outcome;
use crate::client::Request;
use crate::program::Addresses;
use crate::program::Entry;
use crate::program::Folder;
use crate::record::Record;
use crate::runner::Extra;
use crate::runner::Runner;
use crate::site;
use crate::store::Store;

const REQUESTS: usize = 160;
const DEADLINE: Duration = Duration::from_millis(4_000);

/// One in this many answers is followed by additional bytes: 0.025 of them.
const ONE_IN: usize = 40;

/// The answer of a runner that sheds, as `fleetbench wire` shows it.
const SHED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Mastichaven-Not-Executed: 1\r\n\
      Content-Length: 0\r\n\r\n";
/// An answer that some servers send when a connection has been idle for long.
const TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";

pub fn run(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut addresses = Addresses::allocate()?;
    let folder = Folder::create()?;
    let store = Store::start(&format!("{}:0", addresses.next()))?;
    store.put("config", "main", site::configuration(1, &["key-1"], None).as_bytes());
    let bytes = if std::env::var("EXTRA").as_deref() == Ok("408") { TIMEOUT } else { SHED };
    let extra = has_trouble.then_some(Extra { bytes, one_in: ONE_IN });
    let mut runners = Vec::new();
    for n in 1..=3 {
        let id = format!("i-{n}");
        let runner = Runner::start_faulty(&addresses.next(), &id, extra, record)?;
        store.put(site::SERVERS, &id, runner.entry("ready", 0).as_bytes());
        runners.push(runner);
    }
    let entry = Entry::start(&folder, "entry-1", &addresses.next(), store.address(), &[])?;
    entry.wait_until_ready()?;
    thread::sleep(Duration::from_secs(1));
    let mut promised = Vec::new();
    let mut answered = 0;
    for n in 0..REQUESTS {
        let id = format!("booking-{n}");
        let request = Request {
            method: "POST",
            path: "/booking/1",
            id: &id,
            key: Some("key-1"),
            body: b"slot",
            deadline: DEADLINE,
        };
        let outcome = client::send(entry.front, &request);
        record.line(&format!("{id}: {}", outcome.text()));
        answered += usize::from(outcome.is_success());
        if matches!(outcome, Outcome::Answered { status: 408 | 421 | 429 | 503, .. }) {
            promised.push(id);
        }
    }
    // Runs of requests whose answers were given up have ended by then.
    thread::sleep(Duration::from_secs(1));
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in runners.iter().flat_map(Runner::runs) {
        *runs.entry(run.id).or_default() += 1;
    }
    let twice: Vec<&String> = runs.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id).collect();
    let refused = promised.iter().filter(|id| runs.contains_key(*id)).count();
    record.summary(&format!(
        "{REQUESTS} bookings, {answered} answered; {} have run twice; {refused} were told that \
         they have not run, and have",
        twice.len()
    ));
    for id in &twice {
        record.line(&format!("{id} has run twice"));
    }
    if answered * 2 < REQUESTS {
        return Err(io::Error::other("most bookings are not answered"));
    }
    let is_broken = !twice.is_empty() || refused > 0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
