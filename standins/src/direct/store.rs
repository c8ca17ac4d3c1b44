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

/// Kind of the records of versions of weights.
const VERSIONS: &str = "versions";

/// Header by which all answers tell the era.
const ERA_HEADER: &str = "store-era";

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
    /// Those for versions of weights get no answer.
    SilentOnVersions,
}

/// What is lost and found again when the store comes back from a copy.
#[derive(Clone, Debug, Default)]
struct History {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<(u64, String, Value, bool)>,
    compacted_revision: u64,
}

/// A copy of the store's content.
#[derive(Clone, Debug)]
pub struct StoreCopy(History);

#[derive(Debug, Default)]
struct State {
    history: History,
    /// Number of the times that the store has come back from a copy, told in all answers.
    era: u64,
    page_len: usize,
    fault: StoreFault,
    calls: u64,
    bytes_per_second: Option<f64>,
    /// Time from the moment whose content an answer shows until it is sent.
    latency: Duration,
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
        shared.lock().history.revision = 1;
        shared.lock().era = 1;
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
                return respond(&handler_state, req, 429);
            }
            answer(&handler_state, req);
        })?;
        Ok(StoreProxy { is_rejecting, server })
    }

    /// Creates or replaces an object and wakes watches.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.shared.lock();
        let history = &mut state.history;
        history.revision += 1;
        let revision = history.revision;
        let object = json!({
            "metadata": {"name": name, "revision": revision, "finalizers": [], "deleting": false},
            "spec": spec, "status": null
        });
        history.objects.insert((kind.to_owned(), name.to_owned()), (revision, object.clone()));
        history.changes.push((revision, kind.to_owned(), object, false));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Deletes an object and wakes watches.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.lock();
        let history = &mut state.history;
        history.revision += 1;
        let revision = history.revision;
        if let Some((_, object)) = history.objects.remove(&(kind.to_owned(), name.to_owned())) {
            history.changes.push((revision, kind.to_owned(), object, true));
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

    /// Sets the time for which answers are held back. Changes are acknowledged at once all the same.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.lock().latency = latency;
    }

    /// Sets the maximum number of objects per list page.
    pub fn set_page_len(&self, len: usize) {
        self.shared.lock().page_len = len;
    }

    /// Discards all changes; watches from an older revision are answered with 410 and have to list
    /// again.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        let history = &mut state.history;
        history.revision += 1;
        history.compacted_revision = history.revision;
        history.changes.clear();
        drop(state);
        self.shared.changed.notify_all();
    }

    /// A copy of the present content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.lock().history.clone())
    }

    /// Goes back to a copy: what was written since is lost, revisions are given out again, and the era rises.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.shared.lock();
        state.history = copy.0.clone();
        state.era += 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    /// The present revision.
    pub fn revision(&self) -> u64 {
        self.shared.lock().history.revision
    }

    /// Number of requests received so far, those through proxies included unless
    /// rejected.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

fn answer(shared: &Shared, req: Req) {
    let Some(kind) = req.path.strip_prefix("/objects/").map(str::to_owned) else {
        return respond(shared, req, 404);
    };
    let fault = {
        let mut state = shared.lock();
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::None => {}
        StoreFault::Busy => return respond(shared, req, 503),
        StoreFault::SilentOnVersions if kind != VERSIONS => {}
        StoreFault::Silent | StoreFault::SilentOnVersions => return hold_unanswered(shared, &req),
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

fn respond(shared: &Shared, req: Req, status: u16) {
    let era = shared.lock().era.to_string();
    req.respond(status, &[(ERA_HEADER, &era)], "");
}

fn hold_unanswered(shared: &Shared, req: &Req) {
    let mut state = shared.lock();
    while state.fault != StoreFault::None && !req.is_disconnected() {
        let waited = shared.changed.wait_timeout(state, Duration::from_millis(50));
        state = waited.expect("no holder of this lock panics").0;
    }
}

fn list(shared: &Shared, req: Req, kind: &str) {
    let state = shared.lock();
    let after = req.query("after_rev").unwrap_or_default();
    let history = &state.history;
    let of_kind =
        history.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
    let items: Vec<Value> = of_kind.map(|(_, (_, object))| object.clone()).collect();
    let truncated = items.len() > state.page_len;
    let page = &items[..items.len().min(state.page_len)];
    let body = json!({"items": page, "truncated": truncated, "as_of": history.revision});
    let era = state.era;
    drop(state);
    send_json(shared, req, era, &body);
}

/// Answers with `body` as JSON, over the limited link if one is set.
fn send_json(shared: &Shared, req: Req, era: u64, body: &Value) {
    let latency = shared.lock().latency;
    std::thread::sleep(latency);
    let era = era.to_string();
    let headers = [("content-type", "application/json"), (ERA_HEADER, era.as_str())];
    let Some(rate) = shared.lock().bytes_per_second else {
        return req.respond(200, &headers, body.to_string());
    };
    let bytes = body.to_string().into_bytes();
    let response_body = req.stream(200, &headers);
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
    let era = state.era;
    loop {
        if state.era != era {
            // A watch that was waiting is cut off.
            return;
        }
        if revision < state.history.compacted_revision || revision > state.history.revision {
            drop(state);
            return respond(shared, req, 410);
        }
        let newer =
            state.history.changes.iter().filter(|(at, k, _, _)| *at > revision && k == kind);
        let events: Vec<Value> = newer
            .map(|(_, _, object, deleted)| json!({"deleted": deleted, "object": object}))
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() || req.is_disconnected() {
            let body = json!({"events": events, "as_of": state.history.revision});
            drop(state);
            return send_json(shared, req, era, &body);
        }
        let wait = left.min(Duration::from_millis(50));
        state = shared.changed.wait_timeout(state, wait).expect("no holder panics").0;
        let is_silent = state.fault == StoreFault::Silent
            || state.fault == StoreFault::SilentOnVersions && kind == VERSIONS;
        if is_silent {
            drop(state);
            return hold_unanswered(shared, &req);
        }
    }
}
