//! Order handlers of the engine: load, unload, adapter, role and cancel.

use std::io::Read;
use std::sync::Mutex;
use std::thread;

use mastichaven_core::ids::Digest;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::State;
use super::Weights;
use super::lock;
use crate::observer::EndpointEvent;
use crate::serve::Req;

/// Timeout of reading a version from its source.
const READ_TIMEOUT_SECONDS: u64 = 600;

/// Size of the buffer for reading a source.
const READ_BUFFER_LEN: usize = 64 << 10;

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

#[derive(Debug, Deserialize)]
struct Adapter {
    name: String,
    load: bool,
    fence: Fence,
}

#[derive(Debug, Deserialize)]
struct Role {
    role: String,
    fence: Fence,
}

#[derive(Debug, Deserialize)]
struct Cancel {
    id: String,
}

/// How an order is handled.
enum OrderDecision {
    Execute,
    Ignore,
    Reject,
}

fn check_order(state: &mut State, fence: &Fence) -> OrderDecision {
    let fence = (fence.plan, fence.incarnation);
    let is_stale = state.profile.checks_fence && fence < state.fence;
    if is_stale || state.faults.refuse_orders {
        state.counts.refused_orders += 1;
        return OrderDecision::Reject;
    }
    if state.faults.ignore_orders {
        return OrderDecision::Ignore;
    }
    state.fence = state.fence.max(fence);
    state.counts.orders += 1;
    OrderDecision::Execute
}

/// Parses an order, checks its fencing token and carries it out with `execute`.
fn handle_order<T: DeserializeOwned>(
    state: &Mutex<State>,
    req: Req,
    fence: impl Fn(&T) -> &Fence,
    execute: impl FnOnce(T) -> bool,
) {
    let Ok(order) = serde_json::from_slice::<T>(&req.body) else {
        return req.respond(400, &[], "");
    };
    let decision = check_order(&mut lock(state), fence(&order));
    let status = match decision {
        OrderDecision::Reject => 409,
        OrderDecision::Ignore => 200,
        OrderDecision::Execute if execute(order) => 200,
        OrderDecision::Execute => 500,
    };
    let loses_answer = {
        let mut state = lock(state);
        let loses_answer = status == 200 && state.faults.lose_order_answers > 0;
        state.faults.lose_order_answers -= u32::from(loses_answer);
        loses_answer
    };
    if !loses_answer {
        req.respond(status, &[], "");
    }
}

pub(super) fn load(state: &Mutex<State>, req: Req) {
    handle_order(state, req, |order: &Load| &order.fence, |order| load_weights(state, order));
}

/// Loads the bytes of the source. The engine trusts its source and only records the digest of the
/// bytes.
fn load_weights(state: &Mutex<State>, order: Load) -> bool {
    let (start_id, allow_partial, load_time) = {
        let state = lock(state);
        (state.start_id, state.faults.load_partial, state.faults.load_time)
    };
    let Some(digest) = hash_source(&order.source, allow_partial) else {
        return false;
    };
    thread::sleep(load_time);
    let mut state = lock(state);
    if state.start_id != start_id {
        return false;
    }
    state
        .observer
        .notify(EndpointEvent::Loaded { version: order.version.clone(), weights: digest });
    state.loaded = Some(Weights { model: order.model, version: order.version, digest });
    state.cache.clear();
    true
}

/// Returns the digest of the bytes of `source`. With `allow_partial`, a truncated source counts as
/// complete.
fn hash_source(source: &str, allow_partial: bool) -> Option<Digest> {
    let response = minreq::get(source).with_timeout(READ_TIMEOUT_SECONDS).send_lazy().ok()?;
    if response.status_code != 200 {
        return None;
    }
    let mut response = response;
    let content_length = response.headers.iter().find(|(name, _)| name == "content-length");
    let mut left: Option<u64> = content_length.and_then(|(_, value)| value.parse().ok());
    let mut hasher = blake3::Hasher::new();
    let mut buf = vec![0; READ_BUFFER_LEN];
    loop {
        match response.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => {
                hasher.update(&buf[..len]);
                left = left.map(|left| left.saturating_sub(len as u64));
            }
            Err(_) if allow_partial => break,
            Err(_) => return None,
        }
    }
    // minreq does not report a truncated answer as an error.
    if left != Some(0) && !allow_partial {
        return None;
    }
    Some(Digest(*hasher.finalize().as_bytes()))
}

pub(super) fn unload(state: &Mutex<State>, req: Req) {
    let execute = |_: Fence| {
        lock(state).loaded = None;
        true
    };
    handle_order(state, req, |fence: &Fence| fence, execute);
}

pub(super) fn adapter(state: &Mutex<State>, req: Req) {
    let execute = |order: Adapter| {
        let mut state = lock(state);
        if order.load {
            state.adapters.insert(order.name);
        } else {
            state.adapters.remove(&order.name);
        }
        true
    };
    handle_order(state, req, |order: &Adapter| &order.fence, execute);
}

pub(super) fn role(state: &Mutex<State>, req: Req) {
    let execute = |order: Role| {
        lock(state).role = order.role;
        true
    };
    handle_order(state, req, |order: &Role| &order.fence, execute);
}

/// Stops the answer to a request at its next token.
pub(super) fn cancel(state: &Mutex<State>, req: Req) {
    let Ok(order) = serde_json::from_slice::<Cancel>(&req.body) else {
        return req.respond(400, &[], "");
    };
    lock(state).cancelled.insert(order.id);
    req.respond(200, &[], "");
}
