//! A model engine: loads versions on order and answers chat completions, streamed or whole.

use std::io;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use mastichaven_core::ids::Digest;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::serve;
use crate::serve::Running;
use crate::serve::respond;

/// Bytes of a request's body at most.
const MAX_BODY_LEN: u64 = 4 << 20;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Requests it bears at once when warm; one more and it falls over.
    pub warm_limit: u32,
    /// Requests it bears at once while cold.
    pub cold_limit: u32,
    /// Completed requests after which it is warm.
    pub warm_after: u32,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub per_token: Duration,
    /// Whether it refuses orders with an old fence, as some engines do not.
    pub checks_fence: bool,
}

impl Default for EngineProfile {
    fn default() -> Self {
        EngineProfile {
            warm_limit: 16,
            cold_limit: 2,
            warm_after: 6,
            first_token: Duration::from_millis(20),
            per_token: Duration::from_millis(2),
            checks_fence: true,
        }
    }
}

/// What an engine has done so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    /// Requests that ended whole.
    pub completed: u64,
    /// Times it was given more than it bears, and fell over.
    pub fell_over: u64,
    /// Most requests it ever had at once.
    pub most_running: u32,
    /// Times its process started.
    pub starts: u64,
}

#[derive(Debug)]
struct State {
    profile: EngineProfile,
    start_id: u64,
    loaded: Option<(String, String)>,
    fence: (u64, u64),
    running: u32,
    completed_since_start: u32,
    ignore_orders: bool,
    counts: EngineCounts,
}

impl State {
    fn bears(&self) -> u32 {
        if self.completed_since_start >= self.profile.warm_after {
            self.profile.warm_limit
        } else {
            self.profile.cold_limit
        }
    }

    fn restart(&mut self) {
        self.start_id += 1;
        self.loaded = None;
        self.running = 0;
        self.completed_since_start = 0;
        self.counts.starts += 1;
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    running: Running,
}

impl Engine {
    /// Starts on `address`. `start_id` names its first life.
    pub fn start(address: &str, profile: EngineProfile, start_id: u64) -> io::Result<Engine> {
        let state = Arc::new(Mutex::new(State {
            profile,
            start_id,
            loaded: None,
            fence: (0, 0),
            running: 0,
            completed_since_start: 0,
            ignore_orders: false,
            counts: EngineCounts { starts: 1, ..EngineCounts::default() },
        }));
        let served = state.clone();
        let running = serve::start(address, move |request| answer(&served, request))?;
        Ok(Engine { state, running })
    }

    /// Its base address.
    pub fn base(&self) -> String {
        format!("http://{}", self.running.address)
    }

    /// What it has done so far.
    pub fn counts(&self) -> EngineCounts {
        lock(&self.state).counts
    }

    /// Ends its process and starts it again: cold, and with nothing loaded.
    pub fn crash(&self) {
        lock(&self.state).restart();
    }

    /// Turns cold without a restart.
    pub fn turn_cold(&self) {
        lock(&self.state).completed_since_start = 0;
    }

    /// Answers orders with 200 and does nothing.
    pub fn ignore_orders(&self, ignore: bool) {
        lock(&self.state).ignore_orders = ignore;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}

fn answer(state: &Mutex<State>, mut request: Request) {
    let mut body = Vec::new();
    if request.as_reader().take(MAX_BODY_LEN).read_to_end(&mut body).is_err() {
        return;
    }
    match (request.method(), request.url()) {
        (Method::Get, "/health") => health(state, request),
        (Method::Post, "/admin/load") => load(state, request, &body),
        (Method::Post, "/admin/unload") => unload(state, request, &body),
        (Method::Post, "/admin/cancel") => respond(request, 200, &[], Vec::new()),
        (Method::Post, "/v1/chat/completions") => complete(state, request, &body),
        _ => respond(request, 404, &[], Vec::new()),
    }
}

fn health(state: &Mutex<State>, request: Request) {
    let body = {
        let state = lock(state);
        let loaded = state.loaded.as_ref();
        let loaded = loaded.map(|(model, version)| json!({"model": model, "version": version}));
        json!({"start_id": state.start_id, "loaded": loaded, "running": state.running})
    };
    respond(request, 200, &[], body.to_string().into_bytes());
}

#[derive(Debug, Deserialize)]
struct Fence {
    plan: u64,
    incarnation: u64,
}

#[derive(Debug, Deserialize)]
struct Load {
    model: String,
    version: String,
    source: String,
    fence: Fence,
}

fn take_fence(state: &mut State, fence: &Fence) -> bool {
    let fence = (fence.plan, fence.incarnation);
    let old = state.profile.checks_fence && fence < state.fence;
    state.fence = state.fence.max(fence);
    !old
}

fn load(state: &Mutex<State>, request: Request, body: &[u8]) {
    let Ok(order) = serde_json::from_slice::<Load>(body) else {
        return respond(request, 400, &[], Vec::new());
    };
    {
        let mut state = lock(state);
        if state.ignore_orders {
            drop(state);
            return respond(request, 200, &[], Vec::new());
        }
        if !take_fence(&mut state, &order.fence) {
            drop(state);
            return respond(request, 409, &[], Vec::new());
        }
    }
    let read = minreq::get(&order.source).with_timeout(60).send();
    match read {
        Ok(weights) if weights.status_code == 200 => {
            // The engine trusts its source; it only notes what it read.
            let _ = Digest::of(weights.as_bytes());
            lock(state).loaded = Some((order.model, order.version));
            respond(request, 200, &[], Vec::new());
        }
        _ => respond(request, 500, &[], Vec::new()),
    }
}

fn unload(state: &Mutex<State>, request: Request, body: &[u8]) {
    let Ok(fence) = serde_json::from_slice::<Fence>(body) else {
        return respond(request, 400, &[], Vec::new());
    };
    let mut state = lock(state);
    let taken = take_fence(&mut state, &fence);
    if taken && !state.ignore_orders {
        state.loaded = None;
    }
    drop(state);
    respond(request, if taken { 200 } else { 409 }, &[], Vec::new());
}

fn complete(state: &Mutex<State>, request: Request, body: &[u8]) {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return respond(request, 400, &[], Vec::new());
    };
    let entered = {
        let mut state = lock(state);
        state.running += 1;
        state.counts.most_running = state.counts.most_running.max(state.running);
        if state.running > state.bears() {
            state.counts.fell_over += 1;
            state.restart();
            None
        } else {
            state.loaded.clone().map(|(_, version)| (state.start_id, version, state.profile))
        }
    };
    let Some((start_id, version, profile)) = entered else {
        drop(request.into_writer());
        return;
    };
    let tokens = body["max_tokens"].as_u64().unwrap_or(8);
    let resume = serve::header_of(&request, "x-resume-after").and_then(|text| text.parse().ok());
    let answer = Answer { start_id, version, profile, tokens, resume: resume.unwrap_or(0) };
    let whole = answer.stream(state, request);
    let mut state = lock(state);
    if state.start_id == start_id {
        state.running -= 1;
        if whole {
            state.completed_since_start += 1;
            state.counts.completed += 1;
        }
    }
}

struct Answer {
    start_id: u64,
    version: String,
    profile: EngineProfile,
    tokens: u64,
    resume: u64,
}

impl Answer {
    /// Writes head and tokens as they come; says whether the caller got all of them.
    fn stream(&self, state: &Mutex<State>, request: Request) -> bool {
        let mut writer = request.into_writer();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-start-id: {}\r\n\
             x-model-version: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.start_id, self.version
        );
        thread::sleep(self.profile.first_token);
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for token in self.resume..self.tokens {
            let event = json!({"choices": [{"index": 0, "delta": {"content": format!("t{token} ")}}],
                "version": self.version});
            if lock(state).start_id != self.start_id
                || write_event(&mut writer, &event.to_string()).is_err()
            {
                return false;
            }
            thread::sleep(self.profile.per_token);
        }
        write_event(&mut writer, "[DONE]").is_ok()
            && writer.write_all(b"0\r\n\r\n").is_ok()
            && writer.flush().is_ok()
    }
}

fn write_event(writer: &mut dyn Write, data: &str) -> io::Result<()> {
    let event = format!("data: {data}\n\n");
    write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
    writer.flush()
}
