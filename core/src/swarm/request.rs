//! Requests for manifests, chunks and bitmaps, and their outcomes.

use std::time::Duration;

use super::topology::PeerId;
use crate::arena::Key;
use crate::ids::Digest;
use crate::manifest::Manifest;
use crate::time::Time;

/// Identifies a request in flight.
pub type FlightKey = Key<Flight>;

/// Where a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination {
    /// The origin. The caller charges the pull to the origin budget first.
    Origin,
    /// A peer.
    Peer(PeerId),
    /// The cache responsible for this chunk. The caller chooses it.
    Cache,
}

/// What is requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The manifest of the request's version.
    Manifest,
    /// A chunk of that version.
    Chunk {
        /// Digest of the chunk.
        digest: Digest,
        /// Length in bytes.
        len: u32,
        /// Whether the peer may hold the request until it has the chunk.
        long_poll: bool,
        /// Whether the chunk may be pulled from the origin a second time.
        allow_repeat: bool,
    },
    /// Which chunks of the version the peer has.
    Have,
}

/// A request for the caller to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Key for [`Swarm::finish`](super::Swarm::finish).
    pub flight: FlightKey,
    /// Where it is sent.
    pub destination: Destination,
    /// Version that it belongs to.
    pub version: Digest,
    /// What is requested.
    pub kind: RequestKind,
    /// Time after which it has failed.
    pub timeout: Duration,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The manifest arrived and matches its digest.
    Manifest(Manifest),
    /// The chunk arrived, matches its digest and is stored.
    Stored,
    /// The received bytes do not match the digest.
    Corrupt,
    /// The peer does not have the chunk.
    Absent,
    /// The peer reported its chunks; see
    /// [`Swarm::record_availability`](super::Swarm::record_availability).
    MapReceived,
    /// The peer refused the request because of its load.
    Busy,
    /// The cache does not have the chunk yet and is waiting for it.
    Pending,
    /// No answer within the timeout.
    TimedOut,
    /// No connection to the peer.
    Unreachable,
    /// The chunk was pulled from the origin before, so some host has it or will have it soon.
    AlreadyPulled,
    /// This host lacks disk space, or the origin budget is exhausted; the destination is not at
    /// fault.
    Deferred,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    pub(super) destination: Destination,
    pub(super) version: Digest,
    pub(super) kind: RequestKind,
    pub(super) started: Time,
    pub(super) deadline: Time,
}

/// Counters of requests for the state dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Polls sent.
    pub polls: u64,
    /// Requests sent for chunks and manifests.
    pub requests: u64,
    /// Answers that did not match their digest.
    pub corrupt: u64,
    /// Requests that timed out or did not reach their destination.
    pub failed: u64,
    /// Chunks requested again while an earlier request for them was in flight.
    pub duplicated: u64,
}
