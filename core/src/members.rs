//! Messages of the membership protocol, which [`crate::membership`] implements.

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

/// What an agent's endpoint serves at present.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Serving {
    /// Nothing: no engine, no verified version, or closed.
    Nothing,
    /// A model at one verified version.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Digest of the manifest that the engine has loaded.
        version: Digest,
        /// Start id that the engine reports; it changes with each restart.
        start: StartId,
    },
    /// A plain service.
    Plain {
        /// Name of the service.
        service: ServiceName,
        /// Start id that the endpoint reports; it changes with each restart.
        start: StartId,
    },
}

/// Kind of endpoint that a process manages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointKind {
    /// No endpoint: the process is an entry.
    None,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain(ServiceName),
}

/// A process as it announces itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Host on which the process runs; identifies the member.
    pub host: HostName,
    /// Role of the process.
    pub role: HostRole,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Address on which it receives messages from peers.
    pub address: SocketAddr,
    /// Incarnation of the process; higher after each restart.
    pub incarnation: Incarnation,
    /// Whether it is draining: it finishes requests in flight and accepts no new ones.
    pub leaving: bool,
    /// Kind of its endpoint.
    pub endpoint: EndpointKind,
    /// Memory of its engine in MiB; 0 if unknown.
    pub memory_mib: u64,
    /// What its endpoint serves; [`Serving::Nothing`] for entries.
    pub serving: Serving,
    /// Load of its endpoint at the time of the announcement.
    pub load: Load,
}

/// Orders the announcements of one process: by incarnation, then by sequence.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Incremented when the process changes its announcement or refutes a suspicion.
    pub sequence: u32,
}

/// Health of a member. For the same [`Stamp`], a greater variant overrides a smaller one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Health {
    /// Answers heartbeats, or has announced itself.
    Alive,
    /// Answered neither a heartbeat nor indirect probes. It may refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced its own end.
    Left,
}

/// A change of one member, disseminated by gossip.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberUpdate {
    /// A member announces itself or a change of itself.
    Announcement {
        /// The member as announced.
        member: Box<Member>,
        /// Sequence of the announcement within the incarnation.
        sequence: u32,
    },
    /// Health of a member as reported by others, or by itself when it leaves.
    HealthReport {
        /// Host of the member.
        host: HostName,
        /// The announcement that the report refers to; a later announcement overrides the report.
        stamp: Stamp,
        /// Reported health.
        health: Health,
    },
}

/// A heartbeat or the answer to one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Host of the answering process; empty in a request, where [`crate::wire::Sender`] names it.
    pub host: HostName,
    /// The sender's latest stamp.
    pub stamp: Stamp,
    /// Load of the sender's endpoint.
    pub load: Load,
    /// Fingerprint of the sender's plans, [`crate::spread::Docs::fingerprint`].
    pub plans_fingerprint: u64,
    /// Fingerprint of the members in the sender's view that are neither dead nor left.
    pub view_fingerprint: u64,
    /// Fingerprint of the announcements of those members; 0 from an agent, which does not receive
    /// all announcements.
    pub members_fingerprint: u64,
    /// Whether the sender lacks the latest announcement of the receiver.
    pub wants_announcement: bool,
    /// Piggybacked updates.
    pub updates: Vec<MemberUpdate>,
}

/// A request of the membership protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembersRequest {
    /// Asks the receiver for its [`Member`].
    Probe,
    /// A regular heartbeat, or first contact with an unknown address.
    Heartbeat(Heartbeat),
    /// Asks the receiver to probe a process that did not answer the sender.
    IndirectProbe(SocketAddr),
    /// Asks for all updates that a process with these member fingerprints lacks.
    Sync(Vec<u64>),
    /// Sent by an entry to an agent: whether the platform lists the agent's host as leaving.
    HostLeaving(bool),
}

/// Answer to a [`MembersRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MembersReply {
    /// Answer to [`MembersRequest::Probe`].
    Member(Member),
    /// Answer to [`MembersRequest::Heartbeat`].
    Heartbeat(Heartbeat),
    /// Answer to [`MembersRequest::IndirectProbe`]: whether the probed process answered.
    Reached(bool),
    /// Answer to [`MembersRequest::Sync`].
    Updates(Vec<MemberUpdate>),
    /// Answer to [`MembersRequest::HostLeaving`].
    Ack,
}
