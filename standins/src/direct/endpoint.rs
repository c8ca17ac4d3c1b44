//! A fake endpoint that runs requests, streams events, accepts orders and stores staged chunks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use super::origin;
use crate::serve;
use crate::serve::Framing;
use crate::serve::Req;
use crate::serve::Server;

/// Number of layers of the model.
const LAYERS: u32 = 4;

/// Time between two events of a stream, and before a plain answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Number of events of a complete stream.
const EVENTS_PER_STREAM: u64 = 6;

/// Time from the acceptance of a load order to its completion.
const LOAD_DELAY: Duration = Duration::from_millis(60);

/// Interval at which a waiting request looks whether it may begin.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How an endpoint handles the requests it receives.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointFault {
    /// Requests are answered normally.
    #[default]
    None,
    /// Requests are rejected with a proof that they have not run, as by a full endpoint.
    Full,
    /// Requests run, and the connection is closed before an answer.
    LostAnswer,
    /// Requests run and are answered with a signed 500.
    Failing,
    /// Streams break off in the middle of the event with this index.
    CutAfter(u64),
    /// Answers carry the id of another request.
    WrongId,
    /// Requests are answered with 421, as if another endpoint had the address.
    Misdirected,
    /// Requests are accepted and never answered.
    Unresponsive,
    /// Streams pause once before the event with index `event`, and then go on.
    Pause {
        /// Index of the event; the head of the answer is sent before.
        event: u64,
        /// Length of the pause.
        pause: Duration,
    },
    /// Events have `len` more bytes, and streams break off if an event is not taken within `patience`.
    CutUnread {
        /// Additional bytes of an event.
        len: usize,
        /// Time for which an event may wait.
        patience: Duration,
    },
}

/// The begin of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Begin {
    /// When the first token was made.
    pub at: Instant,
    /// Version of the weights that made it; `None` for a plain service.
    pub version: Option<u64>,
}

/// How long requests wait in the queue of an endpoint, and which leave it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Queue {
    /// Time from the arrival of a request until it begins.
    pub wait: Duration,
    /// Whether requests stay in the queue, and run, after their callers have disconnected.
    pub keeps_abandoned: bool,
    /// Factor by which the time between two events is longer than usual, minus 1.
    pub slowdown: u32,
}

/// A request that the endpoint received and did not refuse at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Attempt id of the request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Customer named in the request's headers.
    pub customer: Option<String>,
    /// Time left until the request's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Priority of the request, from 0, the highest, to 9.
    pub urgency: Option<u8>,
    /// Event after which the stream resumes.
    pub resumed_after: Option<u64>,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the endpoint began to run it, and with which version of the weights; `None` until then.
    pub begun: Option<Begin>,
    /// Whether the caller disconnected before the end of the answer.
    pub is_abandoned: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: EndpointFault,
    runs: Vec<Run>,
    running: u32,
    version: Option<u64>,
    staged: HashMap<usize, Vec<u8>>,
    orders: u64,
    inconsistent_loads: u64,
    is_busy: bool,
    request_limit: Option<f64>,
    order_delay: Option<Duration>,
    delayed_orders: u64,
    crash_marker: Option<Vec<u8>>,
    crash_part: Option<String>,
    framing: Framing,
    crashed_at: Option<Instant>,
    is_leaving: bool,
    pause: Option<String>,
    refused_at: Vec<Instant>,
    queue: Queue,
    reported_version: Option<u64>,
    pace: Option<f64>,
    memory_used: u64,
}

#[derive(Debug)]
struct Shared {
    id: String,
    /// Start time in milliseconds of the Unix epoch.
    started_ms: u64,
    state: Mutex<State>,
    stop_flag: OnceLock<Arc<AtomicBool>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Ends the endpoint as when its process crashes: it refuses connections and closes those that are open.
    fn crash(&self) {
        self.lock().crashed_at.get_or_insert_with(Instant::now);
        if let Some(stop_flag) = self.stop_flag.get() {
            stop_flag.store(true, Ordering::Release);
        }
    }
}

/// A running fake endpoint; dropping it stops it.
#[derive(Debug)]
pub struct FakeEndpoint {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeEndpoint {
    /// Starts the endpoint `id` on `address`, with the weights of `version` loaded and staged if it
    /// is given.
    pub fn start(address: &str, id: &str, version: Option<u64>) -> io::Result<FakeEndpoint> {
        let state = State { version, staged: staged_chunks(version), ..State::default() };
        let shared = Shared {
            id: id.to_owned(),
            started_ms: unix_ms(),
            state: Mutex::new(state),
            stop_flag: OnceLock::new(),
        };
        let shared = Arc::new(shared);
        let handler_state = shared.clone();
        let server = serve::start(address, move |req| answer(&handler_state, req))?;
        shared.stop_flag.get_or_init(|| server.stop_flag());
        Ok(FakeEndpoint { shared, server })
    }

    /// Address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the endpoint's record for the store.
    pub fn record(&self, service: &str, zone: &str, state: &str) -> Value {
        let version = self.version();
        let mut record = json!({
            "service": service, "address": self.address().to_string(), "zone": zone,
            "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0,
            "stage": "colocated", "sequence": 0, "models": [], "born": self.shared.started_ms
        });
        if let Some(version) = version {
            record["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
            record["layers"] = json!({"from": 0, "to": LAYERS, "version": version});
        }
        record
    }

    /// Returns a record that reports only half of the layers.
    pub fn half_loaded_record(&self, service: &str, zone: &str) -> Value {
        let mut record = self.record(service, zone, "ready");
        record["layers"]["to"] = json!(LAYERS / 2);
        record
    }

    /// Sets the fault that applies to later requests.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.shared.lock().fault = fault;
    }

    /// Requests run so far, in the order of their arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Sets how requests that arrive later wait.
    pub fn set_queue(&self, queue: Queue) {
        self.shared.lock().queue = queue;
    }

    /// Goes to the weights of `version`, while the endpoint's reports still show those of before.
    pub fn load_unreported(&self, version: u64) {
        let mut state = self.shared.lock();
        state.reported_version = state.version;
        state.version = Some(version);
    }

    /// Sets the pace in the endpoint's reports; `None` if they name none. Requests are answered as fast as before.
    pub fn set_pace(&self, pace: Option<f64>) {
        self.shared.lock().pace = pace;
    }

    /// Version of the weights from which requests are answered.
    pub fn version(&self) -> Option<u64> {
        self.shared.lock().version
    }

    /// Number of loads for which staged chunks were missing, corrupt or of another version.
    pub fn inconsistent_loads(&self) -> u64 {
        self.shared.lock().inconsistent_loads
    }

    /// Sets the requests per second that the endpoint says in its answers to take from all entries
    /// together. It does not enforce the limit.
    pub fn set_request_limit(&self, per_second: Option<f64>) {
        self.shared.lock().request_limit = per_second;
    }

    /// Sets whether the endpoint says in all its answers that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.lock().is_leaving = is_leaving;
    }

    /// Sets the value of `Retry-After` with which the endpoint turns all requests away; `None` if it accepts them.
    pub fn set_pause(&self, pause: Option<&str>) {
        self.shared.lock().pause = pause.map(str::to_owned);
    }

    /// Times at which the endpoint has turned requests away.
    pub fn refused_at(&self) -> Vec<Instant> {
        self.shared.lock().refused_at.clone()
    }

    /// Delays the next load order: it takes effect, and is answered, only after `delay`.
    pub fn delay_next_order(&self, delay: Duration) {
        self.shared.lock().order_delay = Some(delay);
    }

    /// Number of load orders that were delayed, whether or not they have taken effect.
    pub fn delayed_orders(&self) -> u64 {
        self.shared.lock().delayed_orders
    }

    /// Makes the endpoint crash when it begins to run a request whose body contains `marker`.
    pub fn crash_on(&self, marker: &str) {
        self.shared.lock().crash_marker = Some(marker.as_bytes().to_vec());
    }

    /// Makes the endpoint crash after the first event of its answer to a request whose prompt has the part `id`.
    pub fn crash_on_part(&self, id: &str) {
        self.shared.lock().crash_part = Some(id.to_owned());
    }

    /// Sets whether answers have neither a length nor chunks and end with their connection.
    pub fn set_close_delimited(&self, is_close_delimited: bool) {
        let framing = if is_close_delimited { Framing::CloseDelimited } else { Framing::Chunked };
        self.shared.lock().framing = framing;
    }

    /// Sets how much of its memory, of 1,000 units, the endpoint reports to use.
    pub fn set_memory_used(&self, units: u64) {
        self.shared.lock().memory_used = units;
    }

    /// Ends the endpoint as when its process crashes.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// When the endpoint crashed.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.shared.lock().crashed_at
    }

    /// Corrupts a staged chunk.
    pub fn corrupt_staged(&self, index: usize) {
        if let Some(chunk) = self.shared.lock().staged.get_mut(&index) {
            chunk[0] ^= 1;
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

fn staged_chunks(version: Option<u64>) -> HashMap<usize, Vec<u8>> {
    let Some(version) = version else {
        return HashMap::new();
    };
    (0..origin::CHUNKS).map(|index| (index, origin::chunk(version, index))).collect()
}

fn answer(shared: &Arc<Shared>, req: Req) {
    let path = req.path.clone();
    match path.as_str() {
        "/report" => report(shared, req),
        "/order" => order(shared, req),
        "/health" => req.respond(200, &[("x-mastichaven-instance-id", &shared.id)], ""),
        path if path.starts_with("/stage-put/") => write_staged(shared, req),
        path if path.starts_with("/stage-get/") => read_staged(shared, req),
        _ => run(shared, req),
    }
}

fn report(shared: &Shared, req: Req) {
    let state = shared.lock();
    let mut body = json!({
        "stage": "colocated", "models": [], "busy": state.is_busy, "sequence": state.orders,
        "waiting": 0, "running": state.running, "kv_used": state.memory_used, "kv_total": 1000, "handles": 0,
        "born": shared.started_ms
    });
    if let Some(version) = state.reported_version.or(state.version) {
        body["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
        body["layers"] = json!({"from": 0, "to": LAYERS, "version": version});
    }
    if let Some(pace) = state.pace {
        body["pace"] = json!(pace);
    }
    drop(state);
    let statements = statement_headers(shared);
    let mut headers = borrowed(&statements);
    headers.push(("content-type", "application/json"));
    req.respond(200, &headers, body.to_string());
}

fn order(shared: &Arc<Shared>, req: Req) {
    let order: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let Some(version) = order["version"].as_u64().filter(|_| order["op"] == "start") else {
        return req.respond(400, &[], "");
    };
    let delay = shared.lock().order_delay.take();
    if let Some(delay) = delay {
        shared.lock().delayed_orders += 1;
        thread::sleep(delay);
    }
    let mut state = shared.lock();
    if order["expect"].as_u64().is_some_and(|expected| expected != state.orders) || state.is_busy {
        drop(state);
        return req.respond(409, &[], "");
    }
    if state.version == Some(version) {
        drop(state);
        return req.respond(200, &[], "");
    }
    state.orders += 1;
    state.is_busy = true;
    state.inconsistent_loads += u64::from(state.staged != staged_chunks(Some(version)));
    drop(state);
    req.respond(202, &[], "");
    thread::sleep(LOAD_DELAY);
    let mut state = shared.lock();
    state.version = Some(version);
    state.is_busy = false;
}

fn chunk_index(req: &Req) -> Option<usize> {
    req.query("sample_count")?.parse().ok()
}

fn write_staged(shared: &Shared, req: Req) {
    let Some(index) = chunk_index(&req).filter(|_| req.method == Method::PUT) else {
        return req.respond(400, &[], "");
    };
    shared.lock().staged.insert(index, req.body.to_vec());
    req.respond(200, &[], "");
}

fn read_staged(shared: &Shared, req: Req) {
    let Some(index) = chunk_index(&req) else {
        let held: BTreeMap<usize, ()> =
            shared.lock().staged.keys().map(|index| (*index, ())).collect();
        return req.respond_json(&json!({"held": held.into_keys().collect::<Vec<_>>()}));
    };
    let chunk = shared.lock().staged.get(&index).cloned();
    match chunk {
        Some(chunk) => req.respond(200, &[], chunk),
        None => req.respond(404, &[], ""),
    }
}

fn run(shared: &Shared, req: Req) {
    let fault = shared.lock().fault;
    if fault == EndpointFault::Misdirected || is_misdirected(shared, &req) {
        let statements = statement_headers(shared);
        let mut headers = borrowed(&statements);
        headers.push(("x-mastichaven-instance-id", &shared.id));
        return req.respond(421, &headers, "");
    }
    let id = req.header("x-mastichaven-attempt-id").unwrap_or_default().to_owned();
    let pause = shared.lock().pause.clone();
    if fault == EndpointFault::Full || id.is_empty() || pause.is_some() {
        shared.lock().refused_at.push(Instant::now());
        let statements = statement_headers(shared);
        let mut headers = borrowed(&statements);
        headers.extend([("x-mastichaven-attempt-id", id.as_str()), NOT_RUN_HEADER]);
        headers.extend(pause.as_deref().map(|pause| ("retry-after", pause)));
        return req.respond(503, &headers, "");
    }
    let resumed_after = req.header("last-event-id").and_then(|id| id.parse().ok());
    let run_index = {
        let mut state = shared.lock();
        state.running += 1;
        state.runs.push(Run {
            id: id.clone(),
            path: req.path.clone(),
            body: req.body.to_vec(),
            customer: req.header("x-mastichaven-tenant").map(str::to_owned),
            deadline_ms: req.header("x-mastichaven-deadline-ms").and_then(|ms| ms.parse().ok()),
            urgency: req.header("x-mastichaven-request-priority").and_then(|n| n.parse().ok()),
            resumed_after,
            arrived_at: Instant::now(),
            begun: None,
            is_abandoned: false,
        });
        state.runs.len() - 1
    };
    let deadline = told_deadline(&req);
    let is_abandoned = match wait_in_queue(shared, &req, run_index, deadline) {
        Waited::Begun => begin(shared, req, &id, fault, resumed_after, deadline),
        Waited::Abandoned => true,
        Waited::Expired => {
            let headers = [("x-mastichaven-attempt-id", id.as_str()), NOT_RUN_HEADER];
            req.respond(503, &headers, "");
            false
        }
    };
    let mut state = shared.lock();
    state.running -= 1;
    state.runs[run_index].is_abandoned = is_abandoned;
}

/// Whether the request is meant for another endpoint or for another version of the weights.
fn is_misdirected(shared: &Shared, req: &Req) -> bool {
    let expected = req.header("x-mastichaven-expect-instance");
    let version = req.header("x-mastichaven-expect-version").and_then(|text| text.parse().ok());
    let held = shared.lock().version;
    expected.is_some_and(|id| id != shared.id)
        || version.is_some_and(|version: u64| held.is_some_and(|held| held != version))
}

/// When the endpoint stops its work on the request: at the deadline that it was told, from its arrival on.
fn told_deadline(req: &Req) -> Option<Instant> {
    let told = req.header("x-mastichaven-deadline-ms")?.parse().ok()?;
    Some(Instant::now() + Duration::from_millis(told))
}

fn has_passed(deadline: Option<Instant>) -> bool {
    deadline.is_some_and(|deadline| Instant::now() >= deadline)
}

/// How the wait in the queue ended.
enum Waited {
    Begun,
    Abandoned,
    Expired,
}

/// Waits until the request begins, which none does while weights are being loaded.
fn wait_in_queue(shared: &Shared, req: &Req, run: usize, deadline: Option<Instant>) -> Waited {
    let queue = shared.lock().queue;
    let begins_at = Instant::now() + queue.wait;
    loop {
        let mut state = shared.lock();
        if has_passed(deadline) {
            return Waited::Expired;
        }
        if !queue.keeps_abandoned && !queue.wait.is_zero() && req.is_disconnected() {
            return Waited::Abandoned;
        }
        if Instant::now() >= begins_at && !state.is_busy {
            state.runs[run].begun = Some(Begin { at: Instant::now(), version: state.version });
            return Waited::Begun;
        }
        drop(state);
        thread::sleep(QUEUE_POLL_INTERVAL);
    }
}

/// Runs a request. Returns whether the caller disconnected before the end of the answer.
fn begin(
    shared: &Shared,
    req: Req,
    id: &str,
    fault: EndpointFault,
    resumed_after: Option<u64>,
    deadline: Option<Instant>,
) -> bool {
    if has_crash_part(shared, &req) {
        crash_after_first_event(shared, req, id);
        true
    } else if contains_crash_marker(shared, &req.body) {
        thread::sleep(EVENT_INTERVAL);
        shared.crash();
        wait_for_disconnect(&req);
        true
    } else {
        answer_run(shared, req, id, fault, resumed_after, deadline)
    }
}

fn contains_crash_marker(shared: &Shared, body: &[u8]) -> bool {
    let state = shared.lock();
    let marker = state.crash_marker.as_deref();
    marker.is_some_and(|marker| body.windows(marker.len()).any(|window| window == marker))
}

fn has_crash_part(shared: &Shared, req: &Req) -> bool {
    let parts = req.header("x-mastichaven-prompt-prefix").unwrap_or_default();
    let state = shared.lock();
    let crash_part = state.crash_part.as_deref();
    crash_part.is_some_and(|id| parts.split(',').any(|part| part.split(':').next() == Some(id)))
}

/// Begins an answer and crashes.
fn crash_after_first_event(shared: &Shared, req: Req, id: &str) {
    let stamp = format!("stamp-of-{}", shared.id);
    let headers = [("x-mastichaven-attempt-id", id), ("x-mastichaven-response-stamp", &stamp)];
    thread::sleep(EVENT_INTERVAL);
    let framing = shared.lock().framing;
    let body = req.stream_framed(200, &headers, framing);
    body.send(Bytes::from("id: 0\ndata: 0\n\n"));
    thread::sleep(EVENT_INTERVAL);
    shared.crash();
    // The connection ends with the process.
    while !body.is_disconnected() {
        thread::sleep(EVENT_INTERVAL);
    }
}

fn wait_for_disconnect(req: &Req) {
    while !req.is_disconnected() {
        thread::sleep(EVENT_INTERVAL);
    }
}

/// Headers by which the endpoint says something about itself.
fn statement_headers(shared: &Shared) -> Vec<(&'static str, String)> {
    let state = shared.lock();
    let limit = state.request_limit.map(|limit| ("server-limit", limit.to_string()));
    let leaving = state.is_leaving.then(|| ("server-leaving", "1".to_owned()));
    limit.into_iter().chain(leaving).collect()
}

fn borrowed<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
    headers.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

const NOT_RUN_HEADER: (&str, &str) = ("x-mastichaven-not-executed", "1");

/// Answers a run. Returns whether the caller disconnected before the end of the answer.
fn answer_run(
    shared: &Shared,
    req: Req,
    id: &str,
    fault: EndpointFault,
    resumed_after: Option<u64>,
    deadline: Option<Instant>,
) -> bool {
    let stamp = format!("stamp-of-{}", shared.id);
    let echoed = if fault == EndpointFault::WrongId { "another" } else { id };
    let mut statements = statement_headers(shared);
    let (version, slowdown) = {
        let state = shared.lock();
        (state.version, state.queue.slowdown)
    };
    statements
        .extend(version.map(|version| ("x-mastichaven-weight-versions", version.to_string())));
    let mut headers = borrowed(&statements);
    headers
        .extend([("x-mastichaven-attempt-id", echoed), ("x-mastichaven-response-stamp", &stamp)]);
    match fault {
        EndpointFault::LostAnswer => return false,
        EndpointFault::Failing => {
            req.respond(500, &headers, "failed");
            return false;
        }
        EndpointFault::Unresponsive => {
            wait_for_disconnect(&req);
            return true;
        }
        _ => {}
    }
    if !req.path.starts_with("/stream/") {
        thread::sleep(EVENT_INTERVAL);
        let answer = format!("answer to {id} by {}", shared.id);
        let framing = shared.lock().framing;
        if framing == Framing::Chunked {
            req.respond(200, &headers, answer);
            return false;
        }
        let body = req.stream_framed(200, &headers, framing);
        body.send(answer);
        if !matches!(fault, EndpointFault::CutAfter(_)) {
            body.finish();
        }
        return false;
    }
    let framing = shared.lock().framing;
    let body = req.stream_framed(200, &headers, framing);
    for event in resumed_after.map_or(0, |after| after + 1)..EVENTS_PER_STREAM {
        thread::sleep(EVENT_INTERVAL * (slowdown + 1));
        if has_passed(deadline) {
            return false;
        }
        if let EndpointFault::Pause { event: paused, pause } = fault
            && paused == event
        {
            thread::sleep(pause);
        }
        if matches!(fault, EndpointFault::CutAfter(events) if event >= events) {
            body.send(Bytes::from(format!("id: {event}\nda")));
            // Otherwise the connection may end before the bytes are written.
            thread::sleep(EVENT_INTERVAL);
            return false;
        }
        let is_sent = match fault {
            EndpointFault::CutUnread { len, patience } => {
                let padding = ".".repeat(len);
                let event = format!("id: {event}\n:{padding}\ndata: {event}\n\n");
                body.send_within(event, patience)
            }
            _ => body.send(Bytes::from(format!("id: {event}\ndata: {event}\n\n"))),
        };
        if !is_sent {
            return true;
        }
    }
    body.finish();
    false
}
