//! Membership: who is alive and what it serves, as the processes tell each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::ModelName;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::StartId;
use crate::ids::ZoneName;
use crate::platform::HostRole;
use crate::run::Load;

/// What an agent's endpoint can answer at present.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Serving {
    /// Nothing: no engine, no verified version, or closed.
    Nothing,
    /// A model at one verified version.
    Model {
        /// The model.
        model: ModelName,
        /// Digest of the manifest that the engine has loaded.
        version: Digest,
        /// The engine's life.
        start: StartId,
    },
    /// A plain service.
    Plain {
        /// The service.
        service: ServiceName,
        /// The endpoint's life.
        start: StartId,
    },
}

/// What stands beside a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointKind {
    /// Nothing: the process is an entry.
    None,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain(ServiceName),
}

/// What a process says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Its host.
    pub host: HostName,
    /// What it runs.
    pub role: HostRole,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is leaving: it finishes what it has and takes nothing new.
    pub leaving: bool,
    /// What stands beside it.
    pub endpoint: EndpointKind,
    /// Memory of its engine, in MiB; 0 when it does not say.
    pub memory_mib: u64,
    /// What its endpoint serves; `Nothing` for entries.
    pub serving: Serving,
    /// Its endpoint's load when this was said.
    pub load: Load,
}

/// A heartbeat or probe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembersAsk {
    /// Asks the process what it is.
    Probe,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembersReply {
    /// What the process says of itself.
    Me(Member),
}
