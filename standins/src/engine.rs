//! A fake model engine: loads versions on order and answers chat completions, streamed or as a
//! whole.
//!
//! In addition to the calls listed in `mastichaven-node`'s `engine.rs`, it supports:
//!
//! | call | effect |
//! | --- | --- |
//! | `POST /admin/adapter` `{"name", "load", "fence"}` | loads or drops an adapter |
//! | `POST /admin/role` `{"role", "fence"}` | sets the role that `/health` shows |
//! | `GET /cache/events?after=N` | changes of the prefix cache; faults delay or drop them |
//! | `POST /faults` | changes the fields of [`EngineFaults`] that the JSON object names |
//! | `GET /faults` | returns faults and counts |
//!
//! Every streamed token carries `id` (the request), `prompt` (digest of the prompt) and `weights`,
//! the digest of the bytes that the engine read from its source and has loaded at that moment.
//! From these, a test detects mixed or partial weights and answers sent to the wrong request.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::ids::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::engine_cache::PrefixCache;
use crate::observer::EndpointEvent;
use crate::observer::Observed;
use crate::observer::Observer;
use crate::serve;
use crate::serve::Server;
use crate::serve::millis;

mod answer;
mod orders;

/// Capacity and timing of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Concurrent requests when warm; one more crashes the engine.
    pub warm_limit: u32,
    /// Concurrent requests while cold; one more crashes the engine.
    pub cold_limit: u32,
    /// Number of completed requests after which the engine is warm.
    pub warm_after: u32,
    /// Time to the first token.
    pub first_token: Duration,
    /// Additional time to the first token per prompt block that is not in the prefix cache.
    pub per_block: Duration,
    /// Time between tokens.
    pub per_token: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Whether orders with a stale fencing token are rejected; some engines do not check it.
    pub checks_fence: bool,
}

impl Default for EngineProfile {
    fn default() -> Self {
        EngineProfile {
            warm_limit: 16,
            cold_limit: 2,
            warm_after: 6,
            first_token: Duration::from_millis(20),
            per_block: Duration::from_millis(1),
            per_token: Duration::from_millis(2),
            cache_blocks: 512,
            checks_fence: true,
        }
    }
}

/// Faults injected into an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFaults {
    /// Every call except `/faults` is disconnected without an answer.
    pub down: bool,
    /// The process restarts once: requests in flight are disconnected and nothing is loaded.
    pub crash: bool,
    /// The engine turns cold once, without a restart.
    pub turn_cold: bool,
    /// A request whose body contains this text crashes the engine at its first token; disabled when
    /// empty.
    pub poison: String,
    /// Orders are answered with 200 but not carried out.
    pub ignore_orders: bool,
    /// Every order is rejected as if its fencing token were stale.
    pub refuse_orders: bool,
    /// Number of subsequent orders that are carried out but whose answers are lost.
    pub lose_order_answers: u32,
    /// A load whose source ends early counts as complete.
    pub load_partial: bool,
    /// Additional time of a load after its source has been read.
    #[serde(rename = "load_time_ms", with = "millis")]
    pub load_time: Duration,
    /// Age of the number of running requests that `/health` reports.
    #[serde(rename = "report_lag_ms", with = "millis")]
    pub report_lag: Duration,
    /// Factor by which the timing of answers is multiplied.
    pub slow: f64,
    /// Answers freeze after this many tokens while this is set.
    pub freeze_after: Option<u64>,
    /// Delay with which cache events are published.
    #[serde(rename = "events_lag_ms", with = "millis")]
    pub events_lag: Duration,
    /// Number of subsequent cache events that are lost.
    pub lose_events: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        EngineFaults {
            down: false,
            crash: false,
            turn_cold: false,
            poison: String::new(),
            ignore_orders: false,
            refuse_orders: false,
            lose_order_answers: 0,
            load_partial: false,
            load_time: Duration::ZERO,
            report_lag: Duration::ZERO,
            slow: 1.0,
            freeze_after: None,
            events_lag: Duration::ZERO,
            lose_events: 0,
        }
    }
}

/// Number of request priorities.
pub const PRIORITIES: usize = 10;

/// Counters of an engine since it was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Requests received.
    pub begun: u64,
    /// Requests answered completely.
    pub completed: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Requests stopped by a cancel call.
    pub cancelled: u64,
    /// Requests whose client disconnected without a cancel call.
    pub left: u64,
    /// Requests that resumed after already delivered tokens.
    pub resumed: u64,
    /// Crashes caused by more concurrent requests than the capacity.
    pub fell_over: u64,
    /// Crashes caused by a request that matches `poison`.
    pub poisoned: u64,
    /// Maximum number of concurrent requests.
    pub most_running: u32,
    /// Process starts, the first one included.
    pub starts: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders rejected because of their fencing token.
    pub refused_orders: u64,
    /// Requests received, by priority.
    pub by_priority: [u64; PRIORITIES],
    /// Prompt blocks found in the prefix cache.
    pub cache_hits: u64,
    /// Prompt blocks missing from the prefix cache.
    pub cache_misses: u64,
}

/// The loaded version, and the digest of the bytes that were read for it.
#[derive(Clone, Debug)]
struct Weights {
    model: String,
    version: String,
    /// Digest of the bytes read from the source.
    digest: Digest,
}

#[derive(Debug)]
struct State {
    profile: EngineProfile,
    faults: EngineFaults,
    start_id: u64,
    loaded: Option<Weights>,
    adapters: BTreeSet<String>,
    role: String,
    fence: (u64, u64),
    running: u32,
    /// Number of running requests after each change, for delayed reports.
    running_samples: Vec<(Instant, u32)>,
    cancelled: HashSet<String>,
    completed_since_start: u32,
    cache: PrefixCache,
    counts: EngineCounts,
    observer: Observed,
}

/// Capacity of `State::running_samples`; the oldest sample is evicted first.
const MAX_RUNNING_SAMPLES: usize = 1_024;

impl State {
    fn capacity(&self) -> u32 {
        if self.completed_since_start >= self.profile.warm_after {
            self.profile.warm_limit
        } else {
            self.profile.cold_limit
        }
    }

    fn restart(&mut self) {
        self.start_id += 1;
        self.loaded = None;
        self.adapters.clear();
        self.cancelled.clear();
        self.cache.clear();
        self.completed_since_start = 0;
        self.fence = (0, 0);
        self.counts.starts += 1;
        self.observer.notify(EndpointEvent::Restarted);
        self.set_running(0);
    }

    fn set_running(&mut self, running: u32) {
        self.running = running;
        self.counts.most_running = self.counts.most_running.max(running);
        if self.running_samples.len() == MAX_RUNNING_SAMPLES {
            self.running_samples.remove(0);
        }
        self.running_samples.push((Instant::now(), running));
    }

    /// Returns the number of running requests as of `report_lag` ago.
    fn lagged_running(&self, now: Instant) -> u32 {
        let lag = self.faults.report_lag;
        let is_old_enough =
            |sample: &&(Instant, u32)| now.saturating_duration_since(sample.0) >= lag;
        self.running_samples.iter().rev().find(is_old_enough).map_or(0, |sample| sample.1)
    }

    fn set_faults(&mut self, faults: EngineFaults) {
        self.faults = faults;
        if std::mem::take(&mut self.faults.crash) {
            self.restart();
        }
        if std::mem::take(&mut self.faults.turn_cold) {
            self.completed_since_start = 0;
        }
        self.cache.lose_events += std::mem::take(&mut self.faults.lose_events);
    }
}

/// A running fake engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Engine {
    /// Starts the engine on `address`. `start_id` identifies the process until its first restart.
    pub fn start(address: &str, profile: EngineProfile, start_id: u64) -> io::Result<Engine> {
        let state = Arc::new(Mutex::new(State {
            profile,
            faults: EngineFaults::default(),
            start_id,
            loaded: None,
            adapters: BTreeSet::new(),
            role: "both".to_owned(),
            fence: (0, 0),
            running: 0,
            running_samples: Vec::new(),
            cancelled: HashSet::new(),
            completed_since_start: 0,
            cache: PrefixCache::default(),
            counts: EngineCounts { starts: 1, ..EngineCounts::default() },
            observer: Observed::default(),
        }));
        let handler_state = state.clone();
        let server = serve::start(address, move |req| answer::answer(&handler_state, req))?;
        Ok(Engine { state, server })
    }

    /// Base URL of the engine.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Current values of the counters.
    pub fn counts(&self) -> EngineCounts {
        lock(&self.state).counts
    }

    /// Digest of the bytes read for the loaded version; `None` if nothing is loaded.
    pub fn weights(&self) -> Option<Digest> {
        lock(&self.state).loaded.as_ref().map(|weights| weights.digest)
    }

    /// Number of requests in flight.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = lock(&self.state);
        let mut faults = state.faults.clone();
        change(&mut faults);
        state.set_faults(faults);
    }

    /// Reports later events to `observer`.
    pub fn observe(&self, observer: Observer) {
        lock(&self.state).observer = Observed(Some(observer));
    }

    /// Changes the profile.
    pub fn set_profile(&self, change: impl FnOnce(&mut EngineProfile)) {
        change(&mut lock(&self.state).profile);
    }

    /// Restarts the process: the engine is cold and has nothing loaded.
    pub fn crash(&self) {
        lock(&self.state).restart();
    }

    /// Turns the engine cold without a restart.
    pub fn turn_cold(&self) {
        lock(&self.state).completed_since_start = 0;
    }

    /// While `ignore`, orders are answered with 200 but not carried out.
    pub fn ignore_orders(&self, ignore: bool) {
        lock(&self.state).faults.ignore_orders = ignore;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}
