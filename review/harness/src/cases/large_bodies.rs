//! Many clients send long bodies at the same time, each within the limits of the configuration.
//! The platform kills a process that exceeds its memory.
//!
//! Rule LOST: a machine in touch does not pass a request from a kept connection on to a sound
//! runner and close that connection without an answer more than three times.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::KeptConnection;
use crate::client::Request;
use crate::program;
use crate::program::Addresses;
use crate::program::Entry;
use crate::program::Folder;
use crate::record::Record;
use crate::runner::Runner;
use crate::site;
use crate::store::Store;

/// Clients with long bodies: as many as the sheet has in its three zones.
const UPLOADS: usize = 72;
/// Length of a long body, within `max_body_bytes`.
const BODY_LEN: usize = 4_190_000;
/// Time that a client takes to send it, within `header_timeout_ms`. Together the clients send
/// 894 Mbit/s, within the link of the machine.
const UPLOAD_TIME: Duration = Duration::from_millis(2_700);
/// Without the disruption, this many clients at a time share the same bytes per second.
const UPLOADS_AT_A_TIME: usize = 6;

const RUNNERS: usize = 8;
const KEPT_CONNECTIONS: usize = 12;
const MAX_LOST: usize = 3;
const DEADLINE: Duration = Duration::from_millis(4_000);
const MONITOR_INTERVAL: Duration = Duration::from_millis(5);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut addresses = Addresses::allocate()?;
    let folder = Folder::create()?;
    let store = Store::start(&format!("{}:0", addresses.next()))?;
    store.put("config", "main", site::configuration(1, &["key-1"], None).as_bytes());
    let mut runners = Vec::new();
    for n in 1..=RUNNERS {
        let id = format!("i-{n}");
        let runner = Runner::start(&addresses.next(), &id, record)?;
        store.put(site::SERVERS, &id, runner.entry("ready", 0).as_bytes());
        runners.push(runner);
    }
    let entry = Entry::start(&folder, "entry-1", &addresses.next(), store.address(), &[])?;
    entry.wait_until_ready()?;
    thread::sleep(Duration::from_secs(1));
    let front = entry.front;
    let is_over = Arc::new(AtomicBool::new(false));
    let kept: Vec<_> = (0..KEPT_CONNECTIONS)
        .map(|n| {
            let (record, is_over) = (record.clone(), is_over.clone());
            thread::spawn(move || {
                let Ok(mut connection) = KeptConnection::open(front) else {
                    return (0, None);
                };
                let mut answered = 0;
                while !is_over.load(Ordering::Acquire) {
                    let id = format!("booking-{n}-{answered}");
                    let request = booking(&id, b"slot");
                    let outcome = connection.send(&request);
                    record.line(&format!("{id}: {}", outcome.text()));
                    if outcome.is_closed() {
                        return (answered, Some(id));
                    }
                    answered += 1;
                }
                (answered, None)
            })
        })
        .collect();
    let peak_kb = Arc::new(AtomicU64::new(0));
    let monitor = {
        let (process, peak_kb) = (entry.program.id(), peak_kb.clone());
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                let used_kb = program::memory_kb(process).unwrap_or(0);
                peak_kb.fetch_max(used_kb, Ordering::AcqRel);
                if used_kb > site::MEMORY_MB * 1_024 {
                    record.summary(&format!(
                        "entry-1 uses {used_kb} kB, over its limit of {} MB: the platform kills it",
                        site::MEMORY_MB
                    ));
                    program::kill(process);
                    return true;
                }
                thread::sleep(MONITOR_INTERVAL);
            }
            false
        })
    };
    thread::sleep(Duration::from_secs(2));
    let body = Arc::new(vec![b'x'; BODY_LEN]);
    let at_a_time = if has_trouble { UPLOADS } else { UPLOADS_AT_A_TIME };
    let upload_time = UPLOAD_TIME.mul_f64(at_a_time as f64 / UPLOADS as f64);
    record.summary(&format!("{UPLOADS} long bodies, {at_a_time} at a time"));
    for first in (0..UPLOADS).step_by(at_a_time) {
        let uploads: Vec<_> = (first..first + at_a_time)
            .map(|n| {
                let (body, record) = (body.clone(), record.clone());
                thread::spawn(move || {
                    let id = format!("upload-{n}");
                    let outcome = client::send_slowly(front, &booking(&id, &body), upload_time);
                    record.line(&format!("{id}: {}", outcome.text()));
                })
            })
            .collect();
        uploads.into_iter().for_each(|upload| upload.join().expect("no client panics"));
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Release);
    let is_killed = monitor.join().expect("the monitor does not panic");
    let mut answered = 0;
    let mut lost = Vec::new();
    for client in kept {
        let (count, closed) = client.join().expect("no client panics");
        answered += count;
        let runs = runners.iter().flat_map(Runner::runs);
        let has_run = |id: &String| runs.into_iter().any(|run| run.id == *id);
        lost.extend(closed.filter(has_run));
    }
    record.summary(&format!(
        "peak {} kB, killed: {is_killed}; {answered} bookings on kept connections answered, {} \
         passed on to a runner and ended without an answer: {}",
        peak_kb.load(Ordering::Acquire),
        lost.len(),
        lost.join(" ")
    ));
    if !has_trouble && (is_killed || answered == 0) {
        return Err(io::Error::other("bookings are not answered without the disruption"));
    }
    Ok(if lost.len() > MAX_LOST { Verdict::Broken } else { Verdict::Held })
}

fn booking<'a>(id: &'a str, body: &'a [u8]) -> Request<'a> {
    let (method, path, key) = ("POST", "/booking/1", Some("key-1"));
    Request { method, path, id, key, body, deadline: DEADLINE }
}
