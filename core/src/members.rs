//! Membership: who is alive and what it serves, as the processes tell each other.
//!
//! The messages; [`crate::membership`] decides with them.

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

/// Which statement of a process is the later one: its life, then a count within that life.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// The process's life.
    pub incarnation: Incarnation,
    /// Rises when the process changes what it says of itself, or refutes a suspicion.
    pub sequence: u32,
}

/// What others think of a process; a later one of the same [`Stamp`] overrules an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer, directly or by way of others. It may refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it ended.
    Left,
}

/// Something new about a member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum News {
    /// What a member says of itself.
    Here {
        /// The member.
        member: Box<Member>,
        /// Counts what it says within its life.
        sequence: u32,
    },
    /// What others, or it itself at its end, say of it.
    Verdict {
        /// The member's host.
        host: HostName,
        /// Which of its statements the verdict is about.
        stamp: Stamp,
        /// The verdict.
        health: Health,
    },
}

/// A heartbeat, and its answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// The host of the answering process; empty in an ask, whose sender is named anyway.
    pub host: HostName,
    /// The sender's sequence; its life is in the message's sender.
    pub stamp: Stamp,
    /// Its endpoint's load.
    pub load: Load,
    /// [`crate::spread::Docs::fingerprint`] of its plans.
    pub docs: u64,
    /// Fingerprint of who it thinks is alive.
    pub view: u64,
    /// Fingerprint of what those say of themselves; 0 from an agent, which is not told all of it.
    pub detail: u64,
    /// Whether the receiver shall say who it is.
    pub who: bool,
    /// News, as much as fits.
    pub news: Vec<News>,
}

/// A heartbeat or probe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembersAsk {
    /// Asks the process what it is.
    Probe,
    /// A heartbeat.
    Hello(Hello),
    /// Asks the receiver to probe another process, which the asker does not reach.
    ProbeFor(SocketAddr),
    /// Asks for all members but those whose fingerprints are given.
    Sync(Vec<u64>),
    /// An entry tells an agent that the platform lists its host as leaving, or no longer.
    HostLeaves(bool),
}

/// Answer to a [`MembersAsk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembersReply {
    /// What the process says of itself.
    Me(Member),
    /// Answer to a heartbeat.
    Hello(Hello),
    /// Whether the probed process answered.
    Reached(bool),
    /// The members asked for.
    News(Vec<News>),
    /// It is noted.
    Noted,
}
