//! Orders to an engine: load, unload, adapters, role, cancel.

use std::io::Read;
use std::sync::Mutex;
use std::thread;

use mastichaven_core::ids::Digest;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::State;
use super::Weights;
use super::lock;
use crate::seen::Seen;
use crate::serve::Req;

/// Seconds that reading a version may take.
const READ_TIMEOUT_SECONDS: u64 = 600;

/// Bytes read from a source at a time.
const READ_LEN: usize = 64 << 10;

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

/// What an order comes to before it is carried out.
enum Verdict {
    CarryOut,
    Ignore,
    Refuse,
}

fn judge(state: &mut State, fence: &Fence) -> Verdict {
    let fence = (fence.plan, fence.incarnation);
    let old = state.profile.checks_fence && fence < state.fence;
    if old || state.faults.refuse_orders {
        state.counts.refused_orders += 1;
        return Verdict::Refuse;
    }
    if state.faults.ignore_orders {
        return Verdict::Ignore;
    }
    state.fence = state.fence.max(fence);
    state.counts.orders += 1;
    Verdict::CarryOut
}

/// Reads an order, judges it and carries it out with `act`.
fn obey<T: DeserializeOwned>(
    state: &Mutex<State>,
    req: Req,
    fence: impl Fn(&T) -> &Fence,
    act: impl FnOnce(T) -> bool,
) {
    let Ok(order) = serde_json::from_slice::<T>(&req.body) else {
        return req.respond(400, &[], "");
    };
    let verdict = judge(&mut lock(state), fence(&order));
    let status = match verdict {
        Verdict::Refuse => 409,
        Verdict::Ignore => 200,
        Verdict::CarryOut if act(order) => 200,
        Verdict::CarryOut => 500,
    };
    let lost = {
        let mut state = lock(state);
        let lost = status == 200 && state.faults.lose_order_answers > 0;
        state.faults.lose_order_answers -= u32::from(lost);
        lost
    };
    if !lost {
        req.respond(status, &[], "");
    }
}

pub(super) fn load(state: &Mutex<State>, req: Req) {
    obey(state, req, |order: &Load| &order.fence, |order| read_and_switch(state, order));
}

/// Reads the source and answers from what was read, from then on. An engine trusts its source: it
/// only notes the digest of the bytes.
fn read_and_switch(state: &Mutex<State>, order: Load) -> bool {
    let (start_id, partial, span) = {
        let state = lock(state);
        (state.start_id, state.faults.load_partial, state.faults.load_time)
    };
    let Some(read) = read_source(&order.source, partial) else {
        return false;
    };
    thread::sleep(span);
    let mut state = lock(state);
    if state.start_id != start_id {
        return false;
    }
    state.observed.tell(Seen::Loaded { version: order.version.clone(), weights: read });
    state.loaded = Some(Weights { model: order.model, version: order.version, read });
    state.cache.clear();
    true
}

/// Digest of the bytes of `source`. With `partial`, bytes that end early count as all.
fn read_source(source: &str, partial: bool) -> Option<Digest> {
    let response = minreq::get(source).with_timeout(READ_TIMEOUT_SECONDS).send_lazy().ok()?;
    if response.status_code != 200 {
        return None;
    }
    let mut response = response;
    let announced = response.headers.iter().find(|(name, _)| name == "content-length");
    let mut left: Option<u64> = announced.and_then(|(_, value)| value.parse().ok());
    let mut hasher = blake3::Hasher::new();
    let mut buf = vec![0; READ_LEN];
    loop {
        match response.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => {
                hasher.update(&buf[..len]);
                left = left.map(|left| left.saturating_sub(len as u64));
            }
            Err(_) if partial => break,
            Err(_) => return None,
        }
    }
    // minreq does not tell an answer that ends early from a whole one.
    if left != Some(0) && !partial {
        return None;
    }
    Some(Digest(*hasher.finalize().as_bytes()))
}

pub(super) fn unload(state: &Mutex<State>, req: Req) {
    let act = |_: Fence| {
        lock(state).loaded = None;
        true
    };
    obey(state, req, |fence: &Fence| fence, act);
}

pub(super) fn adapter(state: &Mutex<State>, req: Req) {
    let act = |order: Adapter| {
        let mut state = lock(state);
        if order.load {
            state.adapters.insert(order.name);
        } else {
            state.adapters.remove(&order.name);
        }
        true
    };
    obey(state, req, |order: &Adapter| &order.fence, act);
}

pub(super) fn role(state: &Mutex<State>, req: Req) {
    let act = |order: Role| {
        lock(state).role = order.role;
        true
    };
    obey(state, req, |order: &Role| &order.fence, act);
}

/// Stops the stream of a request at its next token.
pub(super) fn cancel(state: &Mutex<State>, req: Req) {
    let Ok(order) = serde_json::from_slice::<Cancel>(&req.body) else {
        return req.respond(400, &[], "");
    };
    lock(state).cancelled.insert(order.id);
    req.respond(200, &[], "");
}
