//! The platform: an object API with versions, conditional updates and watches, and a host list.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Change;
use mastichaven_core::platform::Changes;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::MAX_VALUE_LEN;
use smol_str::SmolStr;
use tiny_http::Method;
use tiny_http::Request;

use crate::serve;
use crate::serve::Running;
use crate::serve::respond;

/// Changes kept for watches; older ones are compacted.
const KEPT_CHANGES: usize = 10_000;

/// What the platform does wrong, on demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Every call takes this much longer.
    pub delay: Duration,
    /// The next writes take effect and their answers are lost, this many times.
    pub lose_answers: u32,
    /// The next watches are told that their history is gone, this many times.
    pub watch_gaps: u32,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<Change>,
    compacted: u64,
    hosts: Vec<ListedHost>,
    faults: PlatformFaults,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// Calls the platform has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    inner: Arc<Inner>,
    running: Running,
}

impl Platform {
    /// Starts on `address`.
    pub fn start(address: &str) -> io::Result<Platform> {
        let inner = Arc::new(Inner::default());
        let served = inner.clone();
        let running = serve::start(address, move |request| answer(&served, request))?;
        Ok(Platform { inner, running })
    }

    /// Its base address.
    pub fn base(&self) -> String {
        format!("http://{}", self.running.address)
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.inner.lock().hosts = hosts;
    }

    /// Changes what it does wrong.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.inner.lock().faults);
    }

    /// Calls counted so far.
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.inner.reads.load(Ordering::Relaxed),
            writes: self.inner.writes.load(Ordering::Relaxed),
            watches: self.inner.watches.load(Ordering::Relaxed),
        }
    }
}

fn answer(inner: &Inner, request: Request) {
    let faults = inner.lock().faults;
    thread::sleep(faults.delay);
    if faults.down {
        return respond(request, 503, &[], Vec::new());
    }
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    match (request.method(), path.strip_prefix("/v1/objects/")) {
        (Method::Get, Some(key)) => get(inner, request, key),
        (Method::Put, Some(key)) => put(inner, request, key),
        (Method::Delete, Some(key)) => delete(inner, request, key),
        (Method::Get, None) => match path {
            "/v1/list" => list(inner, request, serve::query(&url, "prefix").unwrap_or_default()),
            "/v1/watch" => watch(inner, request, &url),
            "/v1/hosts" => {
                inner.reads.fetch_add(1, Ordering::Relaxed);
                let hosts = inner.lock().hosts.clone();
                respond_json(request, &hosts);
            }
            _ => respond(request, 404, &[], Vec::new()),
        },
        _ => respond(request, 405, &[], Vec::new()),
    }
}

fn respond_json<T: serde::Serialize>(request: Request, value: &T) {
    let body = serde_json::to_vec(value).expect("stand-ins encode plain values");
    respond(request, 200, &[("content-type", "application/json")], body);
}

fn get(inner: &Inner, request: Request, key: &str) {
    inner.reads.fetch_add(1, Ordering::Relaxed);
    let found = inner.lock().objects.get(key).cloned();
    match found {
        Some((revision, value)) => {
            respond(request, 200, &[("etag", &revision.to_string())], value);
        }
        None => respond(request, 404, &[], Vec::new()),
    }
}

fn put(inner: &Inner, mut request: Request, key: &str) {
    inner.writes.fetch_add(1, Ordering::Relaxed);
    let mut value = Vec::new();
    let limit = MAX_VALUE_LEN as u64 + 1;
    if request.as_reader().take(limit).read_to_end(&mut value).is_err() {
        return;
    }
    if value.len() > MAX_VALUE_LEN {
        return respond(request, 413, &[], Vec::new());
    }
    let mut state = inner.lock();
    if !is_expected(&state, &request, key) {
        drop(state);
        return respond(request, 412, &[], Vec::new());
    }
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert(key.to_owned(), (revision, value));
    record(&mut state, key, false);
    let lost = state.faults.lose_answers > 0;
    state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
    drop(state);
    inner.changed.notify_all();
    if lost {
        drop(request.into_writer());
        return;
    }
    respond(request, 200, &[("etag", &revision.to_string())], Vec::new());
}

fn delete(inner: &Inner, request: Request, key: &str) {
    inner.writes.fetch_add(1, Ordering::Relaxed);
    let mut state = inner.lock();
    if !is_expected(&state, &request, key) {
        drop(state);
        return respond(request, 412, &[], Vec::new());
    }
    state.revision += 1;
    state.objects.remove(key);
    record(&mut state, key, true);
    drop(state);
    inner.changed.notify_all();
    respond(request, 200, &[], Vec::new());
}

fn is_expected(state: &State, request: &Request, key: &str) -> bool {
    let present = state.objects.get(key).map(|(revision, _)| *revision);
    if serve::header_of(request, "if-none-match").is_some() {
        return present.is_none();
    }
    let wanted = serve::header_of(request, "if-match").and_then(|text| text.parse().ok());
    wanted.is_some() && present == wanted
}

fn record(state: &mut State, key: &str, deleted: bool) {
    let revision = Revision(state.revision);
    state.changes.push(Change { key: SmolStr::new(key), revision, deleted });
    if state.changes.len() > KEPT_CHANGES {
        let oldest = state.changes.remove(0);
        state.compacted = oldest.revision.0;
    }
}

fn list(inner: &Inner, request: Request, prefix: &str) {
    inner.reads.fetch_add(1, Ordering::Relaxed);
    let found: Vec<(String, u64)> = inner
        .lock()
        .objects
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(key, (revision, _))| (key.clone(), *revision))
        .collect();
    respond_json(request, &found);
}

fn watch(inner: &Inner, request: Request, url: &str) {
    inner.watches.fetch_add(1, Ordering::Relaxed);
    let number = |name| serve::query(url, name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let prefix = serve::query(url, "prefix").unwrap_or_default();
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
    let deadline = Instant::now() + wait;
    let mut state = inner.lock();
    if state.faults.watch_gaps > 0 || after < state.compacted {
        state.faults.watch_gaps = state.faults.watch_gaps.saturating_sub(1);
        drop(state);
        return respond(request, 410, &[], Vec::new());
    }
    loop {
        let changes: Vec<Change> = state
            .changes
            .iter()
            .filter(|change| change.revision.0 > after && change.key.starts_with(prefix))
            .cloned()
            .collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if !changes.is_empty() || left.is_zero() {
            let revision = Revision(state.revision.max(after));
            drop(state);
            return respond_json(request, &Changes { revision, changes });
        }
        state = inner.changed.wait_timeout(state, left).expect("no holder panics").0;
    }
}
