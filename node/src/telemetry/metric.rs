//! The metrics of the programs, and the counters kept for the dump.

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
            /// All of them.
            pub const ALL: &'static [$kind] = &[$($kind::$name,)*];

            /// Its name towards StatsD and in the dump.
            pub fn name(self) -> &'static str {
                match self { $($kind::$name => $text,)* }
            }
        }
    };
}

metrics! {
    /// What is counted.
    Counter {
        /// Requests whose head has been read.
        RequestsBegun = "requests.begun",
        /// Attempts sent to agents.
        AttemptsSent = "attempts.sent",
        /// Chunks taken from the origin.
        OriginChunks = "weights.origin_chunks",
        /// Bytes taken from the origin.
        OriginBytes = "weights.origin_bytes",
        /// Chunks taken from peers.
        PeerChunks = "weights.peer_chunks",
        /// Bytes taken from peers.
        PeerBytes = "weights.peer_bytes",
        /// Chunks that did not match their digest.
        CorruptChunks = "weights.corrupt_chunks",
        /// Orders given to the engine.
        Orders = "engine.orders",
        /// Orders that the engine refused or did not carry out.
        OrdersFailed = "engine.orders_failed",
        /// Times the endpoint was seen in a new life.
        EndpointStarts = "endpoint.starts",
        /// Times the gate was opened for requests.
        GateOpened = "gate.opened",
        /// Times the gate was closed.
        GateClosed = "gate.closed",
    }
}

metrics! {
    /// What is timed.
    Timer {
        /// An engine's load of a version.
        Load = "engine.load",
    }
}

metrics! {
    /// What is shown as it stands.
    Gauge {
        /// The generation in force.
        Generation = "config.generation",
        /// Requests in progress.
        Running = "requests.running",
        /// Members known.
        Members = "members.known",
    }
}

/// Counters of one life of a process.
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

    /// What is not zero, by name; codes as `E100`.
    pub(super) fn to_json(&self) -> Value {
        let mut shown = Map::new();
        for (counter, count) in Counter::ALL.iter().zip(&self.counters) {
            insert(&mut shown, counter.name().to_owned(), count);
        }
        for (code, count) in Code::ALL.iter().zip(&self.by_code) {
            insert(&mut shown, format!("E{}", code.number()), count);
        }
        Value::Object(shown)
    }
}

fn insert(shown: &mut Map<String, Value>, name: String, count: &AtomicU64) {
    let count = count.load(Ordering::Relaxed);
    if count > 0 {
        shown.insert(name, count.into());
    }
}
