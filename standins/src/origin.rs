//! A fake weights origin that serves manifests and chunks over one bandwidth-limited link.
//!
//! `POST /faults` accepts a JSON object with fields of [`OriginFaults`]; `GET /faults` returns faults
//! and counts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use mastichaven_core::Manifest;
use mastichaven_core::ids::Digest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::serve;
use crate::serve::Req;
use crate::serve::Server;
use crate::serve::TokenBucket;
use crate::serve::millis;

/// Default of [`OriginFaults::stall`].
const DEFAULT_STALL: Duration = Duration::from_secs(60);

/// A bandwidth-limited link that serves transfers one after the other.
#[derive(Debug)]
pub struct Link {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// Creates an idle link.
    pub fn new(bytes_per_second: f64) -> Link {
        Link { bytes_per_second, free_at: Mutex::new(Instant::now()) }
    }

    /// Blocks until `len` bytes have been transferred after those already queued.
    pub fn pass(&self, len: usize) {
        let duration = Duration::from_secs_f64(len as f64 / self.bytes_per_second);
        let end = {
            let mut free_at = self.free_at.lock().expect("no holder of this lock panics");
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

/// Generates `len` pseudorandom bytes, the same for each `seed`.
pub fn random_weights(seed: u64, len: usize) -> Vec<u8> {
    let mut weights = vec![0; len];
    ChaCha8Rng::seed_from_u64(seed).fill(&mut weights[..]);
    weights
}

/// Faults injected into the origin.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OriginFaults {
    /// Every request is answered with 503.
    pub down: bool,
    /// Number of subsequent objects that are sent with a wrong byte.
    pub corrupt_next: u32,
    /// Number of subsequent objects that are replaced by another object, as if the version had
    /// changed during the download.
    pub swap_next: u32,
    /// Number of subsequent objects that stall after half of their bytes.
    pub stall_next: u32,
    /// Time for which a stalled object stays open before the connection is closed.
    #[serde(rename = "stall_ms", with = "millis")]
    pub stall: Duration,
    /// Number of subsequent requests that are answered with 429.
    pub limit_next: u32,
    /// Requests per second above which 429 is answered; 0 for no limit.
    pub requests_per_second: f64,
}

/// Counters of the origin since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OriginCounts {
    /// Bytes of objects sent.
    pub sent: u64,
    /// Objects sent.
    pub objects: u64,
    /// Requests answered with 429.
    pub limited: u64,
}

#[derive(Debug)]
struct State {
    objects: HashMap<Digest, Bytes>,
    sent_to: BTreeMap<String, u64>,
    refused_hosts: Vec<String>,
    counts: OriginCounts,
    faults: OriginFaults,
    bucket: TokenBucket,
}

/// A running fake origin; dropping it stops it.
#[derive(Debug)]
pub struct Origin {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Origin {
    /// Starts the origin on `address` with a link of `bytes_per_second`.
    pub fn start(address: &str, bytes_per_second: f64) -> io::Result<Origin> {
        let state = Arc::new(Mutex::new(State {
            objects: HashMap::new(),
            sent_to: BTreeMap::new(),
            refused_hosts: Vec::new(),
            counts: OriginCounts::default(),
            faults: OriginFaults { stall: DEFAULT_STALL, ..OriginFaults::default() },
            bucket: TokenBucket::full(Instant::now()),
        }));
        let link = Link::new(bytes_per_second);
        let handler_state = state.clone();
        let server = serve::start(address, move |req| answer(&handler_state, &link, req))?;
        Ok(Origin { state, server })
    }

    /// Base URL of the origin.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Adds a version and returns its manifest.
    pub fn put(&self, weights: &[u8], chunk_len: u32) -> Manifest {
        let manifest = Manifest::from_weights(weights, chunk_len);
        let mut state = lock(&self.state);
        for bytes in weights.chunks(chunk_len as usize) {
            state.objects.insert(Digest::of(bytes), Bytes::copy_from_slice(bytes));
        }
        state.objects.insert(manifest.digest(), Bytes::from(manifest.encode()));
        manifest
    }

    /// Number of object bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.counts().sent
    }

    /// Current values of the counters.
    pub fn counts(&self) -> OriginCounts {
        lock(&self.state).counts
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut OriginFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Base URL for one host, so that its requests can be counted and refused separately.
    pub fn base_for(&self, host: &str) -> String {
        format!("{}/from/{host}", self.base())
    }

    /// Number of bytes sent per host, for hosts that use the URL of [`Origin::base_for`].
    pub fn sent_to(&self) -> BTreeMap<String, u64> {
        self.state.lock().expect("no holder of this lock panics").sent_to.clone()
    }

    /// Refuses all requests of these hosts.
    pub fn set_refused_hosts(&self, hosts: Vec<String>) {
        self.state.lock().expect("no holder of this lock panics").refused_hosts = hosts;
    }

    /// Corrupts the next `count` objects that are sent.
    pub fn corrupt_next(&self, count: u32) {
        self.set_faults(|faults| faults.corrupt_next = count);
    }

    /// Refuses all requests while `down`.
    pub fn set_down(&self, down: bool) {
        self.set_faults(|faults| faults.down = down);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}

/// How a request is handled.
enum Action {
    Refuse(u16),
    Send(Vec<u8>),
    Stall(Vec<u8>, Duration),
}

fn answer(state: &Mutex<State>, link: &Link, req: Req) {
    if req.path == "/faults" {
        return answer_faults(state, req);
    }
    let digest = req.path.rsplit('/').next().and_then(Digest::from_hex);
    let host = req.path.strip_prefix("/from/").and_then(|rest| rest.split('/').next());
    let action = choose_action(&mut lock(state), digest, host.unwrap_or_default());
    match action {
        Action::Refuse(status) => req.respond(status, &[], ""),
        Action::Send(bytes) => {
            link.pass(bytes.len());
            req.respond(200, &[], bytes);
        }
        Action::Stall(bytes, duration) => {
            let body = req.stream(200, &[("content-length", &bytes.len().to_string())]);
            body.send(bytes[..bytes.len() / 2].to_vec());
            serve::hold_open(&body, duration);
        }
    }
}

fn answer_faults(state: &Mutex<State>, req: Req) {
    let mut state = lock(state);
    if req.method == Method::POST {
        match serve::with_changes(&state.faults, &req.body) {
            Some(faults) => state.faults = faults,
            None => return req.respond(400, &[], "not an object of known faults\n"),
        }
    }
    req.respond_json(&json!({"faults": state.faults, "counts": state.counts}));
}

fn choose_action(state: &mut State, digest: Option<Digest>, host: &str) -> Action {
    if state.faults.down || state.refused_hosts.iter().any(|refused| refused == host) {
        return Action::Refuse(503);
    }
    let rate = state.faults.requests_per_second;
    let is_over_limit = rate > 0.0 && !state.bucket.try_take(rate, Instant::now());
    if is_over_limit || consume_one(&mut state.faults.limit_next) {
        state.counts.limited += 1;
        return Action::Refuse(429);
    }
    let Some(bytes) = digest.and_then(|digest| state.objects.get(&digest)) else {
        return Action::Refuse(404);
    };
    let mut bytes = bytes.to_vec();
    if consume_one(&mut state.faults.swap_next) {
        let other = state.objects.values().find(|other| other[..] != bytes[..]);
        bytes = other.map_or(bytes, |other| other.to_vec());
    }
    if !bytes.is_empty() && consume_one(&mut state.faults.corrupt_next) {
        bytes[0] ^= 1;
    }
    state.counts.sent += bytes.len() as u64;
    *state.sent_to.entry(host.to_owned()).or_default() += bytes.len() as u64;
    state.counts.objects += 1;
    if consume_one(&mut state.faults.stall_next) {
        return Action::Stall(bytes, state.faults.stall);
    }
    Action::Send(bytes)
}

fn consume_one(left: &mut u32) -> bool {
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}
