//! Processes of endpoints that have said that they are about to stop.
//!
//! The store may be away while an endpoint leaves, and may list it as ready for a while afterwards. What a process
//! has said of itself holds until it ends, whatever the store lists; the next process at its address is another one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::endpoint::EndpointRecord;
use crate::time::Time;

/// Time for which a process is remembered after it last said so. Endpoints end within seconds.
const MEMORY_TTL: Duration = Duration::from_secs(600);

/// Maximum number of processes that are remembered; the oldest is forgotten.
const MAX_PROCESSES: usize = 4_096;

/// A process of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointProcess {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Start time in milliseconds of the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}

impl EndpointProcess {
    /// The process that wrote a record.
    pub fn of(record: &EndpointRecord) -> EndpointProcess {
        EndpointProcess { address: record.address, started_ms: record.started_ms }
    }

    /// Whether the process can be distinguished from another one at its address.
    pub fn is_identified(&self) -> bool {
        self.started_ms != 0
    }
}

/// The processes that are about to stop, each with the time at which it last said so.
#[derive(Clone, Debug, Default)]
pub struct LeavingProcesses {
    said_at: HashMap<EndpointProcess, Time>,
}

impl LeavingProcesses {
    /// Records that a process is about to stop. One that is not identified is not remembered, as the next one at its
    /// address would be taken for it.
    pub fn record(&mut self, process: EndpointProcess, now: Time) {
        if !process.is_identified() {
            return;
        }
        if self.said_at.len() >= MAX_PROCESSES && !self.said_at.contains_key(&process) {
            self.said_at.retain(|_, said_at| !now.passed(*said_at, MEMORY_TTL));
            let oldest = self.said_at.iter().min_by_key(|(_, said_at)| **said_at);
            if let Some(oldest) = oldest.map(|(process, _)| *process)
                && self.said_at.len() >= MAX_PROCESSES
            {
                self.said_at.remove(&oldest);
            }
        }
        self.said_at.insert(process, now);
    }

    /// Whether a process has said that it is about to stop.
    pub fn contains(&self, process: EndpointProcess, now: Time) -> bool {
        let said_at = self.said_at.get(&process);
        said_at.is_some_and(|said_at| !now.passed(*said_at, MEMORY_TTL))
    }

    /// The processes that have said so within `window`, each with the time since then.
    pub fn recent(
        &self,
        window: Duration,
        now: Time,
    ) -> impl Iterator<Item = (EndpointProcess, Duration)> + '_ {
        let recent = self.said_at.iter().filter(move |(_, said_at)| !now.passed(**said_at, window));
        recent.map(move |(process, said_at)| (*process, now.since(*said_at)))
    }
}
