//! A fake platform: an object API with revisions, conditional writes and watches, and a host list.
//!
//! `POST /faults` accepts a JSON object with fields of [`PlatformFaults`]; `GET /faults` returns
//! faults and call counts; `PUT /v1/hosts` replaces the host list. A [`PlatformProxy`] is a further
//! address of the same platform that can be partitioned on its own, as a zone is by a network
//! partition.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Change;
use mastichaven_core::platform::Changes;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::MAX_VALUE_LEN;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::serve;
use crate::serve::Req;
use crate::serve::Server;
use crate::serve::TokenBucket;
use crate::serve::millis;

/// Default of [`PlatformFaults::kept_changes`].
const DEFAULT_KEPT_CHANGES: usize = 10_000;

/// Time for which a call through a partitioned proxy stays open before its connection is closed.
const PARTITION_HOLD_TIME: Duration = Duration::from_secs(5);

/// Interval at which a call through a partitioned proxy checks whether the partition has ended.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Faults injected into the platform.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503, waiting watches included.
    pub down: bool,
    /// Additional time of every call.
    #[serde(rename = "delay_ms", with = "millis")]
    pub delay: Duration,
    /// Number of subsequent writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Number of subsequent watches that are answered as if their history had been compacted.
    pub watch_gaps: u32,
    /// Number of changes kept for watches; older ones are compacted.
    pub kept_changes: usize,
    /// Calls per second above which 429 is answered; a waiting watch counts as one call. 0 for no
    /// limit.
    pub calls_per_second: f64,
    /// Age of the host list that is returned.
    #[serde(rename = "hosts_lag_ms", with = "millis")]
    pub hosts_lag: Duration,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        PlatformFaults {
            down: false,
            delay: Duration::ZERO,
            lose_answers: 0,
            watch_gaps: 0,
            kept_changes: DEFAULT_KEPT_CHANGES,
            calls_per_second: 0.0,
            hosts_lag: Duration::ZERO,
        }
    }
}

/// A host list and the time at which it was set.
#[derive(Debug)]
struct HostList {
    set_at: Instant,
    hosts: Vec<ListedHost>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    changes: VecDeque<Change>,
    compacted_revision: u64,
    hosts: Vec<HostList>,
    faults: PlatformFaults,
    bucket: TokenBucket,
}

impl Default for State {
    fn default() -> Self {
        State {
            revision: 0,
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            compacted_revision: 0,
            hosts: Vec::new(),
            faults: PlatformFaults::default(),
            bucket: TokenBucket::full(Instant::now()),
        }
    }
}

impl State {
    fn compact(&mut self) {
        while self.changes.len() > self.faults.kept_changes {
            if let Some(oldest) = self.changes.pop_front() {
                self.compacted_revision = oldest.revision.0;
            }
        }
    }

    /// Returns the host list as of `hosts_lag` ago.
    fn lagged_hosts(&self, now: Instant) -> Vec<ListedHost> {
        let lag = self.faults.hosts_lag;
        let is_old_enough = |list: &&HostList| now.saturating_duration_since(list.set_at) >= lag;
        let shown = self.hosts.iter().rev().find(is_old_enough).or(self.hosts.first());
        shown.map(|list| list.hosts.clone()).unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    throttled: AtomicU64,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// Counters of the calls to the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads and lists of objects, and reads of the host list.
    pub reads: u64,
    /// Writes and deletions of objects.
    pub writes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Calls answered with 429.
    pub throttled: u64,
}

/// A further address of a platform that can be partitioned on its own.
#[derive(Debug)]
pub struct PlatformProxy {
    is_partitioned: Arc<AtomicBool>,
    server: Server,
}

impl PlatformProxy {
    /// Base URL of the proxy.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// While `is_partitioned`, calls neither reach the platform nor are answered.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::Release);
    }
}

impl Inner {
    fn calls(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            throttled: self.throttled.load(Ordering::Relaxed),
        }
    }
}

/// A running fake platform; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    inner: Arc<Inner>,
    server: Server,
}

impl Platform {
    /// Starts the platform on `address`.
    pub fn start(address: &str) -> io::Result<Platform> {
        let inner = Arc::new(Inner::default());
        let handler_state = inner.clone();
        let server = serve::start(address, move |req| answer(&handler_state, req))?;
        Ok(Platform { inner, server })
    }

    /// Base URL of the platform.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Opens a further address, such as one per zone.
    pub fn open_proxy(&self, address: &str) -> io::Result<PlatformProxy> {
        let is_partitioned = Arc::new(AtomicBool::new(false));
        let (inner, proxy_partitioned) = (self.inner.clone(), is_partitioned.clone());
        let server =
            serve::start(address, move |req| answer_at_proxy(&inner, &proxy_partitioned, req))?;
        Ok(PlatformProxy { is_partitioned, server })
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.inner.lock().hosts.push(HostList { set_at: Instant::now(), hosts });
    }

    /// Changes the injected faults and wakes waiting watches.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut state = self.inner.lock();
        change(&mut state.faults);
        state.compact();
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Current values of the counters.
    pub fn calls(&self) -> CallCounts {
        self.inner.calls()
    }
}

/// Answers a call through a proxy. While the proxy is partitioned, calls get no answer, including
/// those that were already waiting when the partition began.
fn answer_at_proxy(inner: &Inner, is_partitioned: &Arc<AtomicBool>, mut req: Req) {
    req.is_partitioned = Some(is_partitioned.clone());
    if !is_partitioned.load(Ordering::Acquire) {
        return answer(inner, req);
    }
    let end = Instant::now() + PARTITION_HOLD_TIME;
    while is_partitioned.load(Ordering::Acquire) && Instant::now() < end {
        thread::sleep(PARTITION_POLL_INTERVAL);
    }
}

fn answer(inner: &Inner, req: Req) {
    if req.path == "/faults" {
        return answer_faults(inner, req);
    }
    let faults = inner.lock().faults;
    thread::sleep(faults.delay);
    if faults.down {
        return req.respond(503, &[], "");
    }
    let rate = faults.calls_per_second;
    if rate > 0.0 && !inner.lock().bucket.try_take(rate, Instant::now()) {
        inner.throttled.fetch_add(1, Ordering::Relaxed);
        return req.respond(429, &[], "");
    }
    let key = req.path.strip_prefix("/v1/objects/").map(str::to_owned);
    match (req.method.clone(), key, req.path.as_str()) {
        (Method::GET, Some(key), _) => get(inner, req, &key),
        (Method::PUT, Some(key), _) => put(inner, req, &key),
        (Method::DELETE, Some(key), _) => delete(inner, req, &key),
        (Method::GET, None, "/v1/list") => list(inner, req),
        (Method::GET, None, "/v1/watch") => watch(inner, req),
        (Method::GET, None, "/v1/hosts") => hosts(inner, req),
        (Method::PUT, None, "/v1/hosts") => replace_hosts(inner, req),
        _ => req.respond(404, &[], ""),
    }
}

fn answer_faults(inner: &Inner, req: Req) {
    let mut state = inner.lock();
    if req.method == Method::POST {
        match serve::with_changes(&state.faults, &req.body) {
            Some(faults) => state.faults = faults,
            None => return req.respond(400, &[], "not an object of known faults\n"),
        }
        state.compact();
        inner.changed.notify_all();
    }
    req.respond_json(&json!({"faults": state.faults, "calls": inner.calls()}));
}

fn hosts(inner: &Inner, req: Req) {
    inner.reads.fetch_add(1, Ordering::Relaxed);
    let hosts = inner.lock().lagged_hosts(Instant::now());
    req.respond_json(&hosts);
}

fn replace_hosts(inner: &Inner, req: Req) {
    match serde_json::from_slice(&req.body) {
        Ok(hosts) => {
            inner.lock().hosts.push(HostList { set_at: Instant::now(), hosts });
            req.respond(200, &[], "");
        }
        Err(_) => req.respond(400, &[], "not a list of hosts\n"),
    }
}

fn get(inner: &Inner, req: Req, key: &str) {
    inner.reads.fetch_add(1, Ordering::Relaxed);
    let found = inner.lock().objects.get(key).cloned();
    match found {
        Some((revision, value)) => req.respond(200, &[("etag", &revision.to_string())], value),
        None => req.respond(404, &[], ""),
    }
}

fn put(inner: &Inner, req: Req, key: &str) {
    inner.writes.fetch_add(1, Ordering::Relaxed);
    if req.body.len() > MAX_VALUE_LEN {
        return req.respond(413, &[], "");
    }
    let mut state = inner.lock();
    if !matches_precondition(&state, &req, key) {
        drop(state);
        return req.respond(412, &[], "");
    }
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert(key.to_owned(), (revision, req.body.to_vec()));
    let loses_answer = record_change(&mut state, key, false);
    drop(state);
    inner.changed.notify_all();
    if !loses_answer {
        req.respond(200, &[("etag", &revision.to_string())], "");
    }
}

fn delete(inner: &Inner, req: Req, key: &str) {
    inner.writes.fetch_add(1, Ordering::Relaxed);
    let mut state = inner.lock();
    if !matches_precondition(&state, &req, key) {
        drop(state);
        return req.respond(412, &[], "");
    }
    state.revision += 1;
    state.objects.remove(key);
    let loses_answer = record_change(&mut state, key, true);
    drop(state);
    inner.changed.notify_all();
    if !loses_answer {
        req.respond(200, &[], "");
    }
}

fn matches_precondition(state: &State, req: &Req, key: &str) -> bool {
    let present = state.objects.get(key).map(|(revision, _)| *revision);
    if req.header("if-none-match").is_some() {
        return present.is_none();
    }
    let expected = req.header("if-match").and_then(|text| text.parse().ok());
    expected.is_some() && present == expected
}

/// Records a write for the watches. Returns whether its answer is to be lost.
fn record_change(state: &mut State, key: &str, deleted: bool) -> bool {
    let revision = Revision(state.revision);
    state.changes.push_back(Change { key: SmolStr::new(key), revision, deleted });
    state.compact();
    let loses_answer = state.faults.lose_answers > 0;
    state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
    loses_answer
}

fn list(inner: &Inner, req: Req) {
    inner.reads.fetch_add(1, Ordering::Relaxed);
    let prefix = req.query("prefix").unwrap_or_default().to_owned();
    let found: Vec<(String, u64)> = inner
        .lock()
        .objects
        .range(prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&prefix))
        .map(|(key, (revision, _))| (key.clone(), *revision))
        .collect();
    req.respond_json(&found);
}

fn watch(inner: &Inner, req: Req) {
    inner.watches.fetch_add(1, Ordering::Relaxed);
    let number = |name| req.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let prefix = req.query("prefix").unwrap_or_default().to_owned();
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
    let deadline = Instant::now() + wait;
    let mut state = inner.lock();
    if state.faults.watch_gaps > 0 || after < state.compacted_revision {
        state.faults.watch_gaps = state.faults.watch_gaps.saturating_sub(1);
        drop(state);
        return req.respond(410, &[], "");
    }
    loop {
        if state.faults.down {
            drop(state);
            return req.respond(503, &[], "");
        }
        let changes = changes_after(&state, &prefix, after);
        let left = deadline.saturating_duration_since(Instant::now());
        if !changes.is_empty() || left.is_zero() {
            let revision = Revision(state.revision.max(after));
            drop(state);
            return req.respond_json(&Changes { revision, changes });
        }
        state = inner.changed.wait_timeout(state, left).expect("no holder panics").0;
    }
}

fn changes_after(state: &State, prefix: &str, after: u64) -> Vec<Change> {
    let first = state.changes.partition_point(|change| change.revision.0 <= after);
    let newer = state.changes.range(first..);
    newer.filter(|change| change.key.starts_with(prefix)).cloned().collect()
}
