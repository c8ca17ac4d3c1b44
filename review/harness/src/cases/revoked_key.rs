//! A key is taken away from a connected client that uses a route with `allow_anonymous`.
//!
//! Rule CONFIG: no request runs that was sent later than `revoke_ms` after the acknowledgement of a
//! configuration that took its key away.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Request;
use crate::program::Addresses;
use crate::program::Entry;
use crate::program::Folder;
use crate::record::Record;
use crate::runner::Runner;
use crate::site;
use crate::store::Store;

const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const REVOCATION_BOUND: Duration = Duration::from_millis(site::REVOKE_MS);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut addresses = Addresses::allocate()?;
    let folder = Folder::create()?;
    let store = Store::start(&format!("{}:0", addresses.next()))?;
    let keys = ["key-1", "key-2"];
    store.put("config", "main", site::configuration(1, &keys, None).as_bytes());
    let runner = Runner::start(&addresses.next(), "i-1", record)?;
    store.put(site::SERVERS, "i-1", runner.entry("ready", 0).as_bytes());
    let entry = Entry::start(&folder, "entry-1", &addresses.next(), store.address(), &[])?;
    entry.wait_until_ready()?;
    thread::sleep(Duration::from_secs(1));
    let send = |id: &str, path: &str| {
        let request = Request {
            method: "GET",
            path,
            id,
            key: Some("key-2"),
            body: b"",
            deadline: Duration::from_secs(4),
        };
        let outcome = client::send(entry.front, &request);
        record.line(&format!("{id} with key-2 on {path}: {}", outcome.text()));
        outcome
    };
    if !send("before", "/board/1").is_success() {
        return Err(io::Error::other("the request fails while its key is there"));
    }
    let remaining: &[&str] = if has_trouble { &keys[..1] } else { &keys };
    store.put("config", "main", site::configuration(2, remaining, None).as_bytes());
    let acknowledged_at = Instant::now();
    record.summary("the store has acknowledged version 2 of the configuration");
    thread::sleep(REVOCATION_BOUND + Duration::from_secs(1));
    let first_after = acknowledged_at.elapsed();
    let mut ids = Vec::new();
    for n in 0..20 {
        let id = format!("after-{n}");
        send(&id, "/board/1");
        ids.push(id);
        thread::sleep(REQUEST_INTERVAL);
    }
    // Shows that the configuration is in force.
    send("with-key-route", "/booking/1");
    let runs = runner.runs().iter().filter(|run| ids.contains(&run.id)).count();
    record.summary(&format!(
        "{} requests with key-2 sent later than {REVOCATION_BOUND:?} after the acknowledgement, the \
         first {first_after:?} after it; {runs} ran",
        ids.len()
    ));
    if !has_trouble {
        let is_held = runs == ids.len();
        return if is_held { Ok(Verdict::Held) } else { Err(io::Error::other("requests fail")) };
    }
    Ok(if runs > 0 { Verdict::Broken } else { Verdict::Held })
}
