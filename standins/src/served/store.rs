//! The platform's metadata store: objects by kind and name, lists in pages, watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::serve;
use crate::serve::Req;
use crate::serve::Running;

/// Longest wait of a watch.
const MAX_WAIT_MS: u64 = 30_000;

/// Bytes of an answer that go over a narrow link at once; answers to several callers take turns.
const PIECE_LEN: usize = 16 << 10;

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It works.
    #[default]
    None,
    /// It answers 503 to everything.
    Busy,
    /// It answers nothing.
    Silent,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<(u64, String, Value, bool)>,
    oldest_kept: u64,
    page_len: usize,
    fault: StoreFault,
    calls: u64,
    bytes_per_second: Option<f64>,
}

#[derive(Debug, Default)]
struct Shared {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Held by the answer that sends a piece over the narrow link.
    link: Mutex<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().expect("no holder of this lock panics")
    }
}

/// A running store.
#[derive(Debug)]
pub struct ServedStore {
    shared: Arc<Shared>,
    running: Running,
}

/// Another address of a store, which can turn its callers away while all others are served.
#[derive(Debug)]
pub struct Door {
    is_closed: Arc<AtomicBool>,
    running: Running,
}

impl Door {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Turns callers away, or serves them again.
    pub fn set_closed(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::Release);
    }
}

impl ServedStore {
    /// Starts an empty store on `address`.
    pub fn start(address: &str) -> io::Result<ServedStore> {
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 1;
        shared.lock().page_len = 500;
        let answering = shared.clone();
        let running = serve::start(address, move |req| answer(&answering, req))?;
        Ok(ServedStore { shared, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Opens another address of this store.
    pub fn door(&self) -> io::Result<Door> {
        let is_closed = Arc::new(AtomicBool::new(false));
        let (answering, closed) = (self.shared.clone(), is_closed.clone());
        let running = serve::start("127.0.0.1:0", move |req| {
            if closed.load(Ordering::Acquire) {
                return req.respond(429, &[], "");
            }
            answer(&answering, req);
        })?;
        Ok(Door { is_closed, running })
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut objects = self.shared.lock();
        objects.revision += 1;
        let revision = objects.revision;
        let object = json!({
            "metadata": {"name": name, "revision": revision, "finalizers": [], "deleting": false},
            "spec": spec, "status": null
        });
        objects.objects.insert((kind.to_owned(), name.to_owned()), (revision, object.clone()));
        objects.changes.push((revision, kind.to_owned(), object, false));
        drop(objects);
        self.shared.changed.notify_all();
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut objects = self.shared.lock();
        objects.revision += 1;
        let revision = objects.revision;
        if let Some((_, object)) = objects.objects.remove(&(kind.to_owned(), name.to_owned())) {
            objects.changes.push((revision, kind.to_owned(), object, true));
        }
        drop(objects);
        self.shared.changed.notify_all();
    }

    /// Makes it fail, or work again.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Narrows the link that all answers share.
    pub fn set_link(&self, bytes_per_second: f64) {
        self.shared.lock().bytes_per_second = Some(bytes_per_second);
    }

    /// Sets how many objects a page of a list holds.
    pub fn set_page_len(&self, len: usize) {
        self.shared.lock().page_len = len;
    }

    /// Forgets the history: watches that go back behind this moment must list again.
    pub fn compact(&self) {
        let mut objects = self.shared.lock();
        objects.revision += 1;
        objects.oldest_kept = objects.revision;
        objects.changes.clear();
        drop(objects);
        self.shared.changed.notify_all();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

fn answer(shared: &Shared, req: Req) {
    let Some(kind) = req.path.strip_prefix("/objects/").map(str::to_owned) else {
        return req.respond(404, &[], "");
    };
    let fault = {
        let mut objects = shared.lock();
        objects.calls += 1;
        objects.fault
    };
    match fault {
        StoreFault::None => {}
        StoreFault::Busy => return req.respond(503, &[], ""),
        StoreFault::Silent => return stay_silent(shared, &req),
    }
    let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok());
    match number("watch") {
        Some(revision) => {
            let wait = number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
            watch(shared, req, &kind, revision, Duration::from_millis(wait));
        }
        None => list(shared, req, &kind),
    }
}

fn stay_silent(shared: &Shared, req: &Req) {
    let mut objects = shared.lock();
    while objects.fault == StoreFault::Silent && !req.is_left() {
        let waited = shared.changed.wait_timeout(objects, Duration::from_millis(50));
        objects = waited.expect("no holder of this lock panics").0;
    }
}

fn list(shared: &Shared, req: Req, kind: &str) {
    let objects = shared.lock();
    let after = req.query("after_rev").unwrap_or_default();
    let of_kind =
        objects.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
    let items: Vec<Value> = of_kind.map(|(_, (_, object))| object.clone()).collect();
    let truncated = items.len() > objects.page_len;
    let page = &items[..items.len().min(objects.page_len)];
    let body = json!({"items": page, "truncated": truncated, "as_of": objects.revision});
    drop(objects);
    send(shared, req, &body);
}

/// Answers with a value, over the narrow link if there is one.
fn send(shared: &Shared, req: Req, body: &Value) {
    let Some(rate) = shared.lock().bytes_per_second else {
        return req.respond_json(body);
    };
    let bytes = body.to_string().into_bytes();
    let pieces = req.stream(200, &[("content-type", "application/json")]);
    for piece in bytes.chunks(PIECE_LEN) {
        let turn = shared.link.lock().expect("no holder of this lock panics");
        std::thread::sleep(Duration::from_secs_f64(piece.len() as f64 / rate));
        drop(turn);
        if !pieces.send(piece.to_vec()) {
            return;
        }
    }
    pieces.end();
}

fn watch(shared: &Shared, req: Req, kind: &str, revision: u64, wait: Duration) {
    let end = Instant::now() + wait;
    let mut objects = shared.lock();
    loop {
        if revision < objects.oldest_kept {
            return req.respond(410, &[], "");
        }
        let news = objects.changes.iter().filter(|(at, k, _, _)| *at > revision && k == kind);
        let events: Vec<Value> = news
            .map(|(_, _, object, deleted)| json!({"deleted": deleted, "object": object}))
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() || req.is_left() {
            let body = json!({"events": events, "as_of": objects.revision});
            drop(objects);
            return send(shared, req, &body);
        }
        let wait = left.min(Duration::from_millis(50));
        objects = shared.changed.wait_timeout(objects, wait).expect("no holder panics").0;
        if objects.fault == StoreFault::Silent {
            drop(objects);
            return stay_silent(shared, &req);
        }
    }
}
