//! Requests for weights and how they end.

use std::time::Duration;

use super::topology::PeerId;
use crate::arena::Key;
use crate::ids::Digest;
use crate::manifest::Manifest;
use crate::time::Time;

/// Names a request under way.
pub type FlightKey = Key<Flight>;

/// Who is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination {
    /// The origin; the caller pays from the budget first.
    Origin,
    /// A peer.
    Peer(PeerId),
    /// The cache that hands out this chunk; the caller knows which one that is.
    Cache,
}

/// What is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The manifest of the request's version.
    Manifest,
    /// A chunk of it.
    Chunk {
        /// Its digest.
        digest: Digest,
        /// Its length.
        len: u32,
        /// Whether the peer may hold the ask until it has the chunk.
        long_poll: bool,
        /// Whether the origin may be asked although the chunk was pulled from it before.
        allow_repeat: bool,
    },
    /// What the peer has of it.
    Have,
}

/// A request to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Names it in [`Swarm::finish`](super::Swarm::end).
    pub flight: FlightKey,
    /// Who is asked.
    pub destination: Destination,
    /// The version it is for.
    pub version: Digest,
    /// What is asked.
    pub kind: RequestKind,
    /// After this it has failed.
    pub timeout: Duration,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The manifest came and matches its digest.
    Manifest(Manifest),
    /// The chunk came, matches its digest and is stored.
    Stored,
    /// The bytes do not match the digest.
    Corrupt,
    /// The peer does not have it.
    Absent,
    /// The peer is up and told what it has; see [`Swarm::record_availability`](super::Swarm::record_availability).
    MapReceived,
    /// The peer is busy.
    Busy,
    /// The cache does not have it yet and waits for it.
    Pending,
    /// No answer in time.
    TimedOut,
    /// The peer cannot be reached.
    Unreachable,
    /// The chunk was pulled from the origin before: some host has it or is about to.
    AlreadyPulled,
    /// This host has no room or the budget is spent; nobody else is to blame.
    Deferred,
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    pub(super) destination: Destination,
    pub(super) version: Digest,
    pub(super) kind: RequestKind,
    pub(super) started: Time,
    pub(super) deadline: Time,
}

/// Counts of what was asked; the state dump shows them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Asks for what a peer has.
    pub polls: u64,
    /// Asks for chunks and manifests.
    pub asks: u64,
    /// Bytes that did not match their digest.
    pub corrupt: u64,
    /// Requests that ran out of time or did not reach the peer.
    pub failed: u64,
    /// Chunks asked of two peers because the first was late.
    pub duplicated: u64,
}
