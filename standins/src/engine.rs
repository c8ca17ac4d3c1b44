//! A model engine: loads versions on order and answers chat completions, streamed or whole.
//!
//! Beside the calls listed in `mastichaven-node`'s `engine.rs`:
//!
//! | call | effect |
//! | --- | --- |
//! | `POST /admin/adapter` `{"name", "load", "fence"}` | loads or drops an adapter |
//! | `POST /admin/role` `{"role", "fence"}` | sets the role that `/health` shows |
//! | `GET /cache/events?after=N` | changes of the prefix cache, late and with gaps if told so |
//! | `POST /faults` | a JSON object with fields of [`EngineFaults`] |
//! | `GET /faults` | faults and counts |
//!
//! Every streamed token names `id` (the request), `prompt` (digest of what was asked) and `weights`:
//! the digest of the bytes that this engine read from its source and answers from at that moment.
//! A reader can tell from them mixed or partial weights and crossed answers.

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
use crate::observer::Observer;
use crate::observer::OptionalObserver;
use crate::serve;
use crate::serve::Server;
use crate::serve::millis;

mod answer;
mod orders;

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
    /// Further time to the first token for each block of the prompt that is not in its cache.
    pub per_block: Duration,
    /// Time between tokens.
    pub per_token: Duration,
    /// Blocks its prefix cache holds.
    pub cache_blocks: usize,
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
            per_block: Duration::from_millis(1),
            per_token: Duration::from_millis(2),
            cache_blocks: 512,
            checks_fence: true,
        }
    }
}

/// What an engine does wrong, on demand.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFaults {
    /// Every call but `/faults` is cut off without an answer.
    pub down: bool,
    /// Its process ends and starts again, once: everything under way is cut off, nothing is loaded.
    pub crash: bool,
    /// It turns cold without a restart, once.
    pub turn_cold: bool,
    /// A request whose body contains this text crashes it at its first token; none when empty.
    pub poison: String,
    /// Orders are answered with 200 and not carried out.
    pub ignore_orders: bool,
    /// Every order is refused as if its fence were old.
    pub refuse_orders: bool,
    /// The next orders are carried out and their answers are lost, this many times.
    pub lose_order_answers: u32,
    /// A load whose source ends early is taken as whole.
    pub load_partial: bool,
    /// Time a load takes beside reading.
    #[serde(rename = "load_time_ms", with = "millis")]
    pub load_time: Duration,
    /// `/health` shows the number of running requests as it was this long ago.
    #[serde(rename = "report_lag_ms", with = "millis")]
    pub report_lag: Duration,
    /// All times of answers are multiplied by this.
    pub slow: f64,
    /// Streams freeze after this many tokens for as long as it is set.
    pub freeze_after: Option<u64>,
    /// Cache events are shown this much later.
    #[serde(rename = "events_lag_ms", with = "millis")]
    pub events_lag: Duration,
    /// The next cache events are lost, this many.
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

/// Priorities a request may have.
pub const PRIORITIES: usize = 10;

/// What an engine has done so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Requests that began.
    pub begun: u64,
    /// Requests that ended whole.
    pub completed: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Requests stopped by a cancel.
    pub cancelled: u64,
    /// Requests whose reader left without a cancel.
    pub left: u64,
    /// Requests that resumed after some tokens.
    pub resumed: u64,
    /// Times it was given more than it bears, and fell over.
    pub fell_over: u64,
    /// Times a poisoned request crashed it.
    pub poisoned: u64,
    /// Most requests it ever had at once.
    pub most_running: u32,
    /// Times its process started.
    pub starts: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused because of their fence.
    pub refused_orders: u64,
    /// Requests begun by priority.
    pub by_priority: [u64; PRIORITIES],
    /// Blocks of prompts found in its cache.
    pub cache_hits: u64,
    /// Blocks of prompts not found in its cache.
    pub cache_misses: u64,
}

/// What is loaded, and what was truly read for it.
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
    /// How many ran, and since when; for late running_samples.
    running_samples: Vec<(Instant, u32)>,
    cancelled: HashSet<String>,
    completed_since_start: u32,
    cache: PrefixCache,
    counts: EngineCounts,
    observer: OptionalObserver,
}

/// Late running_samples kept; the oldest goes first.
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

    /// The number of running requests as it was `report_lag` ago.
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

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Engine {
    /// Starts on `address`. `start_id` names its first life.
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
            observer: OptionalObserver::default(),
        }));
        let handler_state = state.clone();
        let server = serve::start(address, move |req| answer::answer(&handler_state, req))?;
        Ok(Engine { state, server })
    }

    /// Its base address.
    pub fn base(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// What it has done so far.
    pub fn counts(&self) -> EngineCounts {
        lock(&self.state).counts
    }

    /// Digest of the bytes it read for what it has loaded.
    pub fn weights(&self) -> Option<Digest> {
        lock(&self.state).loaded.as_ref().map(|weights| weights.digest)
    }

    /// Requests it works on at present.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Changes what it does wrong.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = lock(&self.state);
        let mut faults = state.faults.clone();
        change(&mut faults);
        state.set_faults(faults);
    }

    /// Tells `observer` what it sees from now on.
    pub fn observe(&self, observer: Observer) {
        lock(&self.state).observer = OptionalObserver(Some(observer));
    }

    /// Changes how it behaves.
    pub fn set_profile(&self, change: impl FnOnce(&mut EngineProfile)) {
        change(&mut lock(&self.state).profile);
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
        lock(&self.state).faults.ignore_orders = ignore;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}
