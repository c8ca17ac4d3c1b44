//! An endpoint: runs requests on its slots, streams events, takes orders, holds staged chunks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use super::origin;
use crate::serve;
use crate::serve::Req;
use crate::serve::Running;

/// Layers of the model.
const LAYERS: u32 = 4;

/// Time between events of a stream.
const EVENT_EVERY: Duration = Duration::from_millis(15);

/// Events of a stream.
const EVENTS: u64 = 6;

/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(60);

/// How an endpoint treats the requests that come next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointFault {
    /// It works.
    #[default]
    None,
    /// It refuses as full and says that the request has not run.
    Full,
    /// It runs the request and cuts the connection in place of an answer.
    LostAnswer,
    /// It runs the request and fails with an answer of its own.
    Failing,
    /// It cuts streams after this many events.
    CutAfter(u64),
    /// It answers with the id of another request.
    WrongId,
    /// It says that another endpoint has its address.
    Misdirected,
    /// It takes requests and never answers.
    Dark,
}

/// A run of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The customer that the endpoint was told.
    pub customer: Option<String>,
    /// The time that the request was given, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The event after which it goes on.
    pub resumed_after: Option<u64>,
    /// Whether its caller left before the end.
    pub is_abandoned: bool,
}

#[derive(Debug, Default)]
struct Inside {
    fault: EndpointFault,
    runs: Vec<Run>,
    running: u32,
    version: Option<u64>,
    staged: HashMap<usize, Vec<u8>>,
    orders: u64,
    mixed_loads: u64,
    is_busy: bool,
}

#[derive(Debug)]
struct Shared {
    id: String,
    inside: Mutex<Inside>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().expect("no holder of this lock panics")
    }
}

/// A running endpoint.
#[derive(Debug)]
pub struct ServedEndpoint {
    shared: Arc<Shared>,
    running: Running,
}

impl ServedEndpoint {
    /// Starts the endpoint `id` on `address`, with a version of weights if it is given one.
    pub fn start(address: &str, id: &str, version: Option<u64>) -> io::Result<ServedEndpoint> {
        let inside = Inside { version, staged: staged(version), ..Inside::default() };
        let shared = Arc::new(Shared { id: id.to_owned(), inside: Mutex::new(inside) });
        let answering = shared.clone();
        let running = serve::start(address, move |req| answer(&answering, req))?;
        Ok(ServedEndpoint { shared, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Its entry in the platform's list.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        let version = self.version();
        let mut entry = json!({
            "service": service, "address": self.address().to_string(), "zone": zone,
            "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0,
            "stage": "colocated", "sequence": 0, "models": []
        });
        if let Some(version) = version {
            entry["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
            entry["layers"] = json!({"from": 0, "to": LAYERS, "version": version});
        }
        entry
    }

    /// An entry of the list with only half of the layers.
    pub fn half_entry(&self, service: &str, zone: &str) -> Value {
        let mut entry = self.entry(service, zone, "ready");
        entry["layers"]["to"] = json!(LAYERS / 2);
        entry
    }

    /// Makes it fail, or work again.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.shared.lock().fault = fault;
    }

    /// What it has run.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// The version that it answers from.
    pub fn version(&self) -> Option<u64> {
        self.shared.lock().version
    }

    /// Loads that took chunks which were missing, wrong or of another version.
    pub fn mixed_loads(&self) -> u64 {
        self.shared.lock().mixed_loads
    }

    /// Spoils a staged chunk.
    pub fn rot(&self, index: usize) {
        if let Some(chunk) = self.shared.lock().staged.get_mut(&index) {
            chunk[0] ^= 1;
        }
    }
}

fn staged(version: Option<u64>) -> HashMap<usize, Vec<u8>> {
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
        path if path.starts_with("/stage-put/") => stage(shared, req),
        path if path.starts_with("/stage-get/") => unstage(shared, req),
        _ => run(shared, req),
    }
}

fn report(shared: &Shared, req: Req) {
    let inside = shared.lock();
    let mut body = json!({
        "stage": "colocated", "models": [], "busy": inside.is_busy, "sequence": inside.orders,
        "waiting": 0, "running": inside.running, "kv_used": 0, "kv_total": 1000, "handles": 0
    });
    if let Some(version) = inside.version {
        body["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
        body["layers"] = json!({"from": 0, "to": LAYERS, "version": version});
    }
    drop(inside);
    req.respond_json(&body);
}

fn order(shared: &Arc<Shared>, req: Req) {
    let order: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let Some(version) = order["version"].as_u64().filter(|_| order["op"] == "start") else {
        return req.respond(400, &[], "");
    };
    let mut inside = shared.lock();
    if inside.version == Some(version) {
        drop(inside);
        return req.respond(200, &[], "");
    }
    inside.orders += 1;
    inside.is_busy = true;
    inside.mixed_loads += u64::from(inside.staged != staged(Some(version)));
    drop(inside);
    req.respond(202, &[], "");
    thread::sleep(LOAD_TIME);
    let mut inside = shared.lock();
    inside.version = Some(version);
    inside.is_busy = false;
}

fn chunk_index(req: &Req) -> Option<usize> {
    req.query("sample_count")?.parse().ok()
}

fn stage(shared: &Shared, req: Req) {
    let Some(index) = chunk_index(&req).filter(|_| req.method == Method::PUT) else {
        return req.respond(400, &[], "");
    };
    shared.lock().staged.insert(index, req.body.to_vec());
    req.respond(200, &[], "");
}

fn unstage(shared: &Shared, req: Req) {
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
    let expected = req.header("x-mastichaven-expect-instance");
    if fault == EndpointFault::Misdirected || expected.is_some_and(|id| id != shared.id) {
        return req.respond(421, &[("x-mastichaven-instance-id", &shared.id)], "");
    }
    let id = req.header("x-mastichaven-attempt-id").unwrap_or_default().to_owned();
    if fault == EndpointFault::Full || id.is_empty() {
        let headers = [("x-mastichaven-attempt-id", id.as_str()), NOT_RUN];
        return req.respond(503, &headers, "");
    }
    let resumed_after = req.header("last-event-id").and_then(|id| id.parse().ok());
    let n = {
        let mut inside = shared.lock();
        inside.running += 1;
        inside.runs.push(Run {
            id: id.clone(),
            path: req.path.clone(),
            body: req.body.to_vec(),
            customer: req.header("x-mastichaven-tenant").map(str::to_owned),
            deadline_ms: req.header("x-mastichaven-deadline-ms").and_then(|ms| ms.parse().ok()),
            resumed_after,
            is_abandoned: false,
        });
        inside.runs.len() - 1
    };
    let is_abandoned = answer_run(shared, req, &id, fault, resumed_after);
    let mut inside = shared.lock();
    inside.running -= 1;
    inside.runs[n].is_abandoned = is_abandoned;
}

const NOT_RUN: (&str, &str) = ("x-mastichaven-not-executed", "1");

/// Answers a run; says whether its caller left before the end.
fn answer_run(
    shared: &Shared,
    req: Req,
    id: &str,
    fault: EndpointFault,
    resumed_after: Option<u64>,
) -> bool {
    let stamp = format!("stamp-of-{}", shared.id);
    let echoed = if fault == EndpointFault::WrongId { "another" } else { id };
    let headers = [("x-mastichaven-attempt-id", echoed), ("x-mastichaven-response-stamp", &stamp)];
    match fault {
        EndpointFault::LostAnswer => return false,
        EndpointFault::Failing => {
            req.respond(500, &headers, "failed");
            return false;
        }
        EndpointFault::Dark => {
            while !req.is_left() {
                thread::sleep(EVENT_EVERY);
            }
            return true;
        }
        _ => {}
    }
    if !req.path.starts_with("/stream/") {
        thread::sleep(EVENT_EVERY);
        let body = format!("answer to {id} by {}", shared.id);
        req.respond(200, &headers, body);
        return false;
    }
    let pieces = req.stream(200, &headers);
    for event in resumed_after.map_or(0, |after| after + 1)..EVENTS {
        thread::sleep(EVENT_EVERY);
        if matches!(fault, EndpointFault::CutAfter(events) if event >= events) {
            pieces.send(Bytes::from(format!("id: {event}\nda")));
            return false;
        }
        if !pieces.send(Bytes::from(format!("id: {event}\ndata: {event}\n\n"))) {
            return true;
        }
    }
    pieces.end();
    false
}
