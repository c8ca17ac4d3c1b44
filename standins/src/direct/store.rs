//! A fake metadata store: objects by kind and name, paged lists and watches.

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
use crate::serve::Server;

/// Upper limit of a watch's wait.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Bytes of an answer sent over a limited link at once; concurrent answers take turns.
const LINK_FRAGMENT_LEN: usize = 16 << 10;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Requests are answered normally.
    #[default]
    None,
    /// Every request is answered with 503.
    Busy,
    /// Requests, waiting watches included, get no answer.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<(u64, String, Value, bool)>,
    compacted_revision: u64,
    page_len: usize,
    fault: StoreFault,
    calls: u64,
    bytes_per_second: Option<f64>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Held while a fragment is sent over the limited link.
    link: Mutex<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// A running fake store; dropping it stops it.
#[derive(Debug)]
pub struct FakeStore {
    shared: Arc<Shared>,
    server: Server,
}

/// A second address of a store that can reject its callers while those of other addresses are
/// served.
#[derive(Debug)]
pub struct StoreProxy {
    is_rejecting: Arc<AtomicBool>,
    server: Server,
}

impl StoreProxy {
    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// While `is_rejecting`, every request is answered with 429.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.is_rejecting.store(is_rejecting, Ordering::Release);
    }
}

impl FakeStore {
    /// Starts an empty store on `address`.
    pub fn start(address: &str) -> io::Result<FakeStore> {
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 1;
        shared.lock().page_len = 500;
        let handler_state = shared.clone();
        let server = serve::start(address, move |req| answer(&handler_state, req))?;
        Ok(FakeStore { shared, server })
    }

    /// Address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Opens a second address of this store on a free port.
    pub fn open_proxy(&self) -> io::Result<StoreProxy> {
        let is_rejecting = Arc::new(AtomicBool::new(false));
        let (handler_state, rejecting) = (self.shared.clone(), is_rejecting.clone());
        let server = serve::start("127.0.0.1:0", move |req| {
            if rejecting.load(Ordering::Acquire) {
                return req.respond(429, &[], "");
            }
            answer(&handler_state, req);
        })?;
        Ok(StoreProxy { is_rejecting, server })
    }

    /// Creates or replaces an object and wakes watches.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.shared.lock();
        state.revision += 1;
        let revision = state.revision;
        let object = json!({
            "metadata": {"name": name, "revision": revision, "finalizers": [], "deleting": false},
            "spec": spec, "status": null
        });
        state.objects.insert((kind.to_owned(), name.to_owned()), (revision, object.clone()));
        state.changes.push((revision, kind.to_owned(), object, false));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Deletes an object and wakes watches.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.lock();
        state.revision += 1;
        let revision = state.revision;
        if let Some((_, object)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.changes.push((revision, kind.to_owned(), object, true));
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Sets the fault of later requests and of waiting watches.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Limits the link that all answers share.
    pub fn set_bandwidth(&self, bytes_per_second: f64) {
        self.shared.lock().bytes_per_second = Some(bytes_per_second);
    }

    /// Sets the maximum number of objects per list page.
    pub fn set_page_len(&self, len: usize) {
        self.shared.lock().page_len = len;
    }

    /// Discards all changes; watches from an older revision are answered with 410 and have to list
    /// again.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.revision += 1;
        state.compacted_revision = state.revision;
        state.changes.clear();
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Number of requests received so far, those through proxies included unless
    /// rejected.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

fn answer(shared: &Shared, req: Req) {
    let Some(kind) = req.path.strip_prefix("/objects/").map(str::to_owned) else {
        return req.respond(404, &[], "");
    };
    let fault = {
        let mut state = shared.lock();
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::None => {}
        StoreFault::Busy => return req.respond(503, &[], ""),
        StoreFault::Silent => return hold_unanswered(shared, &req),
    }
    let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok());
    match number("watch") {
        Some(revision) => {
            let wait = number("wait_ms").unwrap_or(0).min(MAX_WATCH_WAIT_MS);
            watch(shared, req, &kind, revision, Duration::from_millis(wait));
        }
        None => list(shared, req, &kind),
    }
}

fn hold_unanswered(shared: &Shared, req: &Req) {
    let mut state = shared.lock();
    while state.fault == StoreFault::Silent && !req.is_disconnected() {
        let waited = shared.changed.wait_timeout(state, Duration::from_millis(50));
        state = waited.expect("no holder of this lock panics").0;
    }
}

fn list(shared: &Shared, req: Req, kind: &str) {
    let state = shared.lock();
    let after = req.query("after_rev").unwrap_or_default();
    let of_kind = state.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
    let items: Vec<Value> = of_kind.map(|(_, (_, object))| object.clone()).collect();
    let truncated = items.len() > state.page_len;
    let page = &items[..items.len().min(state.page_len)];
    let body = json!({"items": page, "truncated": truncated, "as_of": state.revision});
    drop(state);
    send_json(shared, req, &body);
}

/// Answers with `body` as JSON, over the limited link if one is set.
fn send_json(shared: &Shared, req: Req, body: &Value) {
    let Some(rate) = shared.lock().bytes_per_second else {
        return req.respond_json(body);
    };
    let bytes = body.to_string().into_bytes();
    let response_body = req.stream(200, &[("content-type", "application/json")]);
    for fragment in bytes.chunks(LINK_FRAGMENT_LEN) {
        let link_guard = shared.link.lock().expect("no holder of this lock panics");
        std::thread::sleep(Duration::from_secs_f64(fragment.len() as f64 / rate));
        drop(link_guard);
        if !response_body.send(fragment.to_vec()) {
            return;
        }
    }
    response_body.finish();
}

fn watch(shared: &Shared, req: Req, kind: &str, revision: u64, wait: Duration) {
    let end = Instant::now() + wait;
    let mut state = shared.lock();
    loop {
        if revision < state.compacted_revision {
            return req.respond(410, &[], "");
        }
        let newer = state.changes.iter().filter(|(at, k, _, _)| *at > revision && k == kind);
        let events: Vec<Value> = newer
            .map(|(_, _, object, deleted)| json!({"deleted": deleted, "object": object}))
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() || req.is_disconnected() {
            let body = json!({"events": events, "as_of": state.revision});
            drop(state);
            return send_json(shared, req, &body);
        }
        let wait = left.min(Duration::from_millis(50));
        state = shared.changed.wait_timeout(state, wait).expect("no holder panics").0;
        if state.fault == StoreFault::Silent {
            drop(state);
            return hold_unanswered(shared, &req);
        }
    }
}
