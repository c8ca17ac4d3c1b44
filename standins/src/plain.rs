//! A fake plain service whose calls must not be repeated; it counts its runs.
//!
//! `POST /faults` accepts a JSON object with fields of [`PlainFaults`]; `GET /faults` returns them and
//! `GET /runs` the runs.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use hyper::Method;
use mastichaven_core::ids::StartId;
use serde::Deserialize;
use serde::Serialize;

use crate::observer::EndpointEvent;
use crate::observer::Observed;
use crate::observer::Observer;
use crate::serve;
use crate::serve::Req;
use crate::serve::Server;
use crate::serve::millis;

/// Faults injected into a plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainFaults {
    /// Additional time of every call.
    #[serde(rename = "delay_ms", with = "millis")]
    pub delay: Duration,
    /// Every call except `/faults` and `/runs` is disconnected without an answer.
    pub down: bool,
    /// Number of subsequent calls that crash the service before they run.
    pub crash_before_run: u32,
    /// Number of subsequent calls that crash the service after they have run; the answer is lost.
    pub crash_after_run: u32,
    /// Number of subsequent calls that are answered with 500 without running.
    pub fail_next: u32,
}

#[derive(Debug, Default)]
struct State {
    start_id: u64,
    faults: PlainFaults,
    runs: HashMap<String, u32>,
    runs_by_key: HashMap<String, u32>,
    running: u32,
    observer: Observed,
}

impl State {
    fn restart(&mut self) {
        self.start_id += 1;
        self.running = 0;
        self.observer.notify(EndpointEvent::Restarted);
    }
}

/// A running plain service; dropping it stops it. The body of a call names the booking.
#[derive(Debug)]
pub struct Plain {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Plain {
    /// Starts the service on `address`. `start_id` identifies the process until its first restart.
    pub fn start(address: &str, start_id: u64) -> io::Result<Plain> {
        let state = Arc::new(Mutex::new(State { start_id, ..State::default() }));
        let handler_state = state.clone();
        let server = serve::start(address, move |req| answer(&handler_state, req))?;
        Ok(Plain { state, server })
    }

    /// Base URL of the service.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Sets the delay of every call.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).faults.delay = delay;
    }

    /// Restarts the process. Calls in flight are disconnected, but those that have begun count as
    /// run.
    pub fn crash(&self) {
        lock(&self.state).restart();
    }

    /// Reports later events to `observer`.
    pub fn observe(&self, observer: Observer) {
        lock(&self.state).observer = Observed(Some(observer));
    }

    /// Number of runs per body.
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.state).runs.clone()
    }

    /// Number of runs per `idempotency-key`, for calls that carry one.
    pub fn runs_by_key(&self) -> HashMap<String, u32> {
        lock(&self.state).runs_by_key.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}

fn answer(state: &Mutex<State>, req: Req) {
    match (&req.method, req.path.as_str()) {
        (&Method::POST, "/faults") => return change_faults(state, req),
        (&Method::GET, "/faults") => return req.respond_json(&lock(state).faults),
        (&Method::GET, "/runs") => return req.respond_json(&lock(state).runs),
        _ => {}
    }
    if lock(state).faults.down {
        return;
    }
    if req.path == "/health" {
        let start_id = lock(state).start_id;
        let body = format!("{{\"start_id\":{start_id},\"loaded\":null,\"running\":0}}");
        return req.respond(200, &[], body);
    }
    run(state, req);
}

fn change_faults(state: &Mutex<State>, req: Req) {
    let mut state = lock(state);
    match serve::with_changes(&state.faults, &req.body) {
        Some(faults) => {
            state.faults = faults;
            req.respond_json(&faults);
        }
        None => req.respond(400, &[], "not an object of known faults\n"),
    }
}

/// How a call is handled, decided when it begins.
enum CallOutcome {
    CrashBefore,
    Fail,
    Run { run: u32, start_id: u64, delay: Duration, crash: bool },
}

fn run(state: &Mutex<State>, req: Req) {
    let Ok(body) = String::from_utf8(req.body.to_vec()) else {
        return req.respond(400, &[], "");
    };
    let (run, start_id, delay, crash) = match start_run(&mut lock(state), &req, &body) {
        CallOutcome::CrashBefore => return,
        CallOutcome::Fail => return req.respond(500, &[], ""),
        CallOutcome::Run { run, start_id, delay, crash } => (run, start_id, delay, crash),
    };
    thread::sleep(delay);
    let has_crashed = {
        let mut state = lock(state);
        if crash {
            state.restart();
        }
        let has_crashed = state.start_id != start_id;
        if !has_crashed {
            state.running -= 1;
            state.observer.notify(EndpointEvent::Ended { work: body.clone(), whole: true });
        }
        has_crashed
    };
    if !has_crashed {
        let answer = format!("{{\"booked\":{body:?},\"run\":{run}}}\n");
        let headers = [("content-type", "application/json"), ("x-start-id", &start_id.to_string())];
        req.respond(200, &headers, answer);
    }
}

fn start_run(state: &mut State, req: &Req, body: &str) -> CallOutcome {
    if state.faults.crash_before_run > 0 {
        state.faults.crash_before_run -= 1;
        state.restart();
        return CallOutcome::CrashBefore;
    }
    if state.faults.fail_next > 0 {
        state.faults.fail_next -= 1;
        return CallOutcome::Fail;
    }
    if let Some(key) = req.header("idempotency-key") {
        *state.runs_by_key.entry(key.to_owned()).or_default() += 1;
    }
    let run = state.runs.entry(body.to_owned()).or_default();
    *run += 1;
    let run = *run;
    state.running += 1;
    let start = StartId(state.start_id);
    let work = body.to_owned();
    state.observer.notify(EndpointEvent::Began {
        work,
        start,
        running: state.running,
        capacity: u32::MAX,
    });
    let crash = state.faults.crash_after_run > 0;
    state.faults.crash_after_run -= u32::from(crash);
    CallOutcome::Run { run, start_id: state.start_id, delay: state.faults.delay, crash }
}
