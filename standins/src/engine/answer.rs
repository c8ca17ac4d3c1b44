//! Request handlers of the engine: health, faults, cache events and chat completions.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::StartId;
use serde_json::Value;
use serde_json::json;

use super::EngineProfile;
use super::PRIORITIES;
use super::State;
use super::lock;
use super::orders;
use crate::engine_cache::BLOCK_LEN;
use crate::observer::EndpointEvent;
use crate::serve;
use crate::serve::BodyWriter;
use crate::serve::Req;

/// Default of `max_tokens`.
const DEFAULT_TOKENS: u64 = 8;

/// Interval at which a frozen answer checks whether it may continue.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(super) fn answer(state: &Mutex<State>, req: Req) {
    if req.path == "/faults" {
        return answer_faults(state, req);
    }
    if lock(state).faults.down {
        return;
    }
    match (req.method.clone(), req.path.as_str()) {
        (Method::GET, "/health") => health(state, req),
        (Method::GET, "/cache/events") => cache_events(state, req),
        (Method::POST, "/admin/load") => orders::load(state, req),
        (Method::POST, "/admin/unload") => orders::unload(state, req),
        (Method::POST, "/admin/adapter") => orders::adapter(state, req),
        (Method::POST, "/admin/role") => orders::role(state, req),
        (Method::POST, "/admin/cancel") => orders::cancel(state, req),
        (Method::POST, "/v1/chat/completions") => complete(state, req),
        _ => req.respond(404, &[], ""),
    }
}

fn answer_faults(state: &Mutex<State>, req: Req) {
    let mut state = lock(state);
    if req.method == Method::POST {
        match serve::with_changes(&state.faults, &req.body) {
            Some(faults) => state.set_faults(faults),
            None => return req.respond(400, &[], "not an object of known faults\n"),
        }
    }
    req.respond_json(&json!({"faults": state.faults, "counts": state.counts}));
}

fn health(state: &Mutex<State>, req: Req) {
    let state = lock(state);
    let loaded = state.loaded.as_ref();
    let loaded = loaded.map(|w| json!({"model": w.model, "version": w.version}));
    req.respond_json(&json!({
        "start_id": state.start_id,
        "loaded": loaded,
        "running": state.lagged_running(Instant::now()),
        "adapters": state.adapters,
        "role": state.role,
    }));
}

fn cache_events(state: &Mutex<State>, req: Req) {
    let after = req.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let state = lock(state);
    req.respond_json(&state.cache.events(after, state.faults.events_lag, Instant::now()));
}

/// A completion in progress.
struct Completion {
    id: String,
    start_id: u64,
    profile: EngineProfile,
    slow: f64,
    prompt: String,
    prompt_len: usize,
    cached_blocks: usize,
    blocks: usize,
    tokens: u64,
    resume: u64,
    is_poisoned: bool,
    /// Content of the last message; identifies the completion to observers.
    work: String,
}

/// Why a completion was interrupted before its last token.
enum Interruption {
    /// The engine's process restarted, or the weights were unloaded.
    EngineRestarted,
    Cancelled,
    Disconnected,
}

fn complete(state: &Mutex<State>, req: Req) {
    let Ok(body) = serde_json::from_slice::<Value>(&req.body) else {
        return req.respond(400, &[], "");
    };
    let Some(completion) = admit(&mut lock(state), &req, &body) else {
        return;
    };
    let is_streamed = body["stream"].as_bool().unwrap_or(false);
    let result = if is_streamed {
        completion.answer_streamed(state, req)
    } else {
        completion.answer_whole(state, req)
    };
    if let Err(interruption) = result {
        let mut state = lock(state);
        match interruption {
            Interruption::Cancelled => state.counts.cancelled += 1,
            Interruption::Disconnected => state.counts.left += 1,
            Interruption::EngineRestarted => {}
        }
        completion.release(&mut state, false);
    }
}

/// Adds a request to the batch. A request above the capacity crashes the engine and with it all
/// running requests.
fn admit(state: &mut State, req: &Req, body: &Value) -> Option<Completion> {
    state.counts.begun += 1;
    let priority: usize = req.header("x-priority").and_then(|text| text.parse().ok()).unwrap_or(0);
    state.counts.by_priority[priority.min(PRIORITIES - 1)] += 1;
    state.set_running(state.running + 1);
    let work = last_message_of(body);
    let (running, capacity) = (state.running, state.capacity());
    let event = EndpointEvent::Began {
        work: work.clone(),
        start: StartId(state.start_id),
        running,
        capacity,
    };
    if running > capacity {
        state.observer.notify(event);
        state.counts.fell_over += 1;
        state.restart();
        return None;
    }
    if state.loaded.is_none() {
        state.set_running(state.running - 1);
        return None;
    }
    state.observer.notify(event);
    let prompt = prompt_text_of(body);
    let blocks = prompt.len() / BLOCK_LEN;
    let cached_blocks =
        state.cache.insert_prompt(&prompt, state.profile.cache_blocks, Instant::now());
    state.counts.cache_hits += cached_blocks as u64;
    state.counts.cache_misses += (blocks - cached_blocks) as u64;
    let resume = req.header("x-resume-after").and_then(|text| text.parse().ok()).unwrap_or(0);
    state.counts.resumed += u64::from(resume > 0);
    let poison = state.faults.poison.as_bytes();
    let is_poisoned =
        !poison.is_empty() && req.body.windows(poison.len()).any(|window| window == poison);
    Some(Completion {
        id: req.header("x-request-id").unwrap_or_default().to_owned(),
        start_id: state.start_id,
        profile: state.profile,
        slow: state.faults.slow,
        prompt: Digest::of(prompt.as_bytes()).to_hex(),
        prompt_len: prompt.len(),
        cached_blocks,
        blocks,
        tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
        resume,
        is_poisoned,
        work,
    })
}

/// Returns the key text of the prefix cache: role and content of each message on a line of its own.
fn prompt_text_of(body: &Value) -> String {
    let mut text = String::new();
    for message in body["messages"].as_array().into_iter().flatten() {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push('\n');
        text.push_str(message["content"].as_str().unwrap_or_default());
        text.push('\n');
    }
    text
}

fn last_message_of(body: &Value) -> String {
    let last = body["messages"].as_array().and_then(|messages| messages.last());
    last.and_then(|message| message["content"].as_str()).unwrap_or_default().to_owned()
}

impl Completion {
    /// Removes the request from the batch. Returns false if the engine has restarted since it was
    /// admitted.
    fn release(&self, state: &mut State, whole: bool) -> bool {
        state.cancelled.remove(&self.id);
        let is_current = state.start_id == self.start_id;
        if is_current {
            let running = state.running - 1;
            state.set_running(running);
            state.completed_since_start += u32::from(whole);
            state.observer.notify(EndpointEvent::Ended { work: self.work.clone(), whole });
        }
        is_current
    }

    /// Frees the request's place in the batch. This happens before the last bytes of the answer are
    /// sent, because the client may send its next request as soon as it has received them.
    fn finish(&self, state: &Mutex<State>) -> Result<(), Interruption> {
        let mut state = lock(state);
        if !self.release(&mut state, true) {
            return Err(Interruption::EngineRestarted);
        }
        state.counts.completed += 1;
        Ok(())
    }

    fn first_token_delay(&self) -> Duration {
        let uncached_blocks = u32::try_from(self.blocks - self.cached_blocks).unwrap_or(u32::MAX);
        (self.profile.first_token + self.profile.per_block * uncached_blocks).mul_f64(self.slow)
    }

    /// Waits for the first token. A request that matches `poison` crashes the engine here.
    fn prefill(&self, state: &Mutex<State>) {
        thread::sleep(self.first_token_delay());
        if self.is_poisoned {
            let mut state = lock(state);
            if state.start_id == self.start_id {
                state.counts.poisoned += 1;
                state.restart();
            }
        }
    }

    /// Returns the event of one token with the weights that are loaded at this moment.
    fn next_token_event(&self, state: &Mutex<State>, token: u64) -> Result<Value, Interruption> {
        let mut state = lock(state);
        if state.start_id != self.start_id {
            return Err(Interruption::EngineRestarted);
        }
        if state.cancelled.contains(&self.id) {
            return Err(Interruption::Cancelled);
        }
        let weights = state.loaded.clone().ok_or(Interruption::EngineRestarted)?;
        state.counts.tokens += 1;
        Ok(json!({
            "id": self.id,
            "model": weights.model,
            "version": weights.version,
            "weights": weights.digest.to_hex(),
            "prompt": self.prompt,
            "choices": [{"index": 0, "delta": {"content": format!("t{token} ")}}],
        }))
    }

    /// Waits after a token. A frozen answer waits until the fault is cleared, the request is
    /// cancelled or the client disconnects.
    fn pause(
        &self,
        state: &Mutex<State>,
        token: u64,
        is_disconnected: impl Fn() -> bool,
    ) -> Result<(), Interruption> {
        thread::sleep(self.profile.per_token.mul_f64(self.slow));
        loop {
            {
                let state = lock(state);
                if state.start_id != self.start_id {
                    return Err(Interruption::EngineRestarted);
                }
                if state.cancelled.contains(&self.id) {
                    return Err(Interruption::Cancelled);
                }
                if is_disconnected() {
                    return Err(Interruption::Disconnected);
                }
                if state.faults.freeze_after.is_none_or(|after| token + 1 < after) {
                    return Ok(());
                }
            }
            thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    fn head(&self, state: &Mutex<State>) -> Result<(String, String), Interruption> {
        let state = lock(state);
        let weights = state.loaded.as_ref().ok_or(Interruption::EngineRestarted)?;
        let is_current = state.start_id == self.start_id;
        if is_current {
            Ok((self.start_id.to_string(), weights.version.clone()))
        } else {
            Err(Interruption::EngineRestarted)
        }
    }

    fn answer_streamed(&self, state: &Mutex<State>, req: Req) -> Result<(), Interruption> {
        self.prefill(state);
        let (start_id, version) = self.head(state)?;
        let headers = [
            ("content-type", "text/event-stream"),
            ("x-start-id", &start_id),
            ("x-model-version", &version),
        ];
        let response_body = req.stream(200, &headers);
        for token in self.resume..self.tokens {
            let event = self.next_token_event(state, token)?;
            send_event(&response_body, &event.to_string())?;
            self.pause(state, token, || response_body.is_disconnected())?;
        }
        self.finish(state)?;
        if send_event(&response_body, "[DONE]").is_ok() {
            response_body.finish();
        }
        Ok(())
    }

    fn answer_whole(&self, state: &Mutex<State>, req: Req) -> Result<(), Interruption> {
        self.prefill(state);
        let (start_id, version) = self.head(state)?;
        let mut text = String::new();
        let mut last = Value::Null;
        for token in self.resume..self.tokens {
            last = self.next_token_event(state, token)?;
            text.push_str(&format!("t{token} "));
            self.pause(state, token, || req.is_disconnected())?;
        }
        let answer = json!({
            "id": self.id,
            "model": last["model"],
            "version": last["version"],
            "weights": last["weights"],
            "prompt": self.prompt,
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text}}],
            "usage": {
                "prompt_tokens": self.prompt_len / 4,
                "cached_tokens": self.cached_blocks * BLOCK_LEN / 4,
                "completion_tokens": self.tokens.saturating_sub(self.resume),
            },
        });
        let headers = [
            ("content-type", "application/json"),
            ("x-start-id", &start_id),
            ("x-model-version", &version),
        ];
        self.finish(state)?;
        req.respond(200, &headers, answer.to_string());
        Ok(())
    }
}

fn send_event(response_body: &BodyWriter, data: &str) -> Result<(), Interruption> {
    if response_body.send(format!("data: {data}\n\n")) {
        Ok(())
    } else {
        Err(Interruption::Disconnected)
    }
}
