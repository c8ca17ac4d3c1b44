//! Names of the metrics, and the counters that the dump contains.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mastichaven_core::Code;
use serde_json::Map;
use serde_json::Value;

macro_rules! metrics {
    ($(#[$outer:meta])* $kind:ident { $($(#[$doc:meta])* $name:ident = $text:literal,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $kind {
            $($(#[$doc])* $name,)*
        }

        impl $kind {
            /// Every variant, in order of declaration.
            pub const ALL: &'static [$kind] = &[$($kind::$name,)*];

            /// The name in StatsD and in the dump.
            pub fn name(self) -> &'static str {
                match self { $($kind::$name => $text,)* }
            }
        }
    };
}

metrics! {
    /// Event counts and byte totals.
    Counter {
        /// Requests whose head has been read.
        RequestsBegun = "requests.begun",
        /// Attempts sent to agents.
        AttemptsSent = "attempts.sent",
        /// Chunks downloaded from the origin.
        OriginChunks = "weights.origin_chunks",
        /// Bytes downloaded from the origin.
        OriginBytes = "weights.origin_bytes",
        /// Chunks downloaded from peers.
        PeerChunks = "weights.peer_chunks",
        /// Bytes downloaded from peers.
        PeerBytes = "weights.peer_bytes",
        /// Chunks that did not match their digest.
        CorruptChunks = "weights.corrupt_chunks",
        /// Orders sent to the engine.
        Orders = "engine.orders",
        /// Orders that the engine rejected or did not execute.
        OrdersFailed = "engine.orders_failed",
        /// Detected restarts of the endpoint.
        EndpointStarts = "endpoint.starts",
        /// Times the gate was opened for requests.
        GateOpened = "gate.opened",
        /// Times the gate was closed.
        GateClosed = "gate.closed",
    }
}

metrics! {
    /// Durations.
    Timer {
        /// Time that an engine took to load a version.
        Load = "engine.load",
    }
}

metrics! {
    /// Current values, sent every second.
    Gauge {
        /// The generation in force.
        Generation = "config.generation",
        /// Requests in progress.
        Running = "requests.running",
        /// Members in this process's membership view.
        Members = "members.known",
    }
}

/// Counters since the process started.
#[derive(Debug)]
pub(super) struct Counts {
    counters: Vec<AtomicU64>,
    by_code: Vec<AtomicU64>,
}

impl Default for Counts {
    fn default() -> Self {
        Counts {
            counters: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            by_code: Code::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl Counts {
    pub(super) fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    pub(super) fn ended(&self, code: Code) {
        self.by_code[code as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counters above zero by name; codes as `E100`.
    pub(super) fn to_json(&self) -> Value {
        let mut json = Map::new();
        for (counter, count) in Counter::ALL.iter().zip(&self.counters) {
            insert(&mut json, counter.name().to_owned(), count);
        }
        for (code, count) in Code::ALL.iter().zip(&self.by_code) {
            insert(&mut json, format!("E{}", code.number()), count);
        }
        Value::Object(json)
    }
}

fn insert(json: &mut Map<String, Value>, name: String, count: &AtomicU64) {
    let count = count.load(Ordering::Relaxed);
    if count > 0 {
        json.insert(name, count.into());
    }
}
