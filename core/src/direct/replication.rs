//! The replication tree of the store's objects, and whether a replica is fresh enough.
//!
//! Were each entry to watch the store for itself, calls to the store and bytes between regions would grow
//! with the number of entries. So one entry of the fleet, the root, watches the store; one entry of each
//! other region, its relay, follows the root, and the other entries of the region follow the relay. Which
//! entries these are needs no agreement: agents tell their entries which of those that ask them may be
//! followed, and two roots at once cost calls, nothing else.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::catalog::CatalogParts;
use super::endpoint::EndpointRecord;
use crate::ids::Digest;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// Something that an entry learns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// The configuration.
    Config(Box<CatalogParts>),
    /// All endpoints that there are.
    Endpoints {
        /// Revision of the store up to which all changes are in it.
        as_of: Revision,
        /// Those that the store lists.
        listed: Vec<EndpointRecord>,
        /// Those that it no longer lists, perhaps only because they could not renew their entry while
        /// it was away. Whoever still knows them keeps them until more is known.
        lapsed: Vec<SmolStr>,
    },
    /// An endpoint is new or has changed.
    EndpointPut(Box<EndpointRecord>),
    /// An endpoint is gone.
    EndpointGone {
        /// Its id.
        id: SmolStr,
        /// Revision of its last entry: a higher one is of a later life.
        last: Revision,
    },
    /// All changes of endpoints up to this revision of the store have been sent.
    EndpointsSeen(Revision),
    /// All zones that are taken out of service.
    Evacuated {
        /// Revision of the store up to which all changes are in it.
        as_of: Revision,
        /// The zones.
        zones: Vec<ZoneName>,
    },
    /// A version of a model was named.
    Weights {
        /// The model.
        model: SmolStr,
        /// The version.
        version: u64,
        /// How long ago, if that is known.
        ago: Option<Duration>,
    },
}

/// How old the knowledge of an entry is. That of the configuration counts from when the read was sent
/// that the store answered last, as the lease on keys does; the rest counts from when it ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ages {
    /// The configuration.
    pub config: Option<Duration>,
    /// The endpoints.
    pub endpoints: Option<Duration>,
    /// The zones that are out of service.
    pub evacuations: Option<Duration>,
    /// The weights.
    pub weights: Option<Duration>,
}

/// The first message on a connection to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Hello {
    /// Another entry follows this one.
    Follow {
        /// Its address.
        ip: IpAddr,
        /// Version of the configuration that it has, which need not be sent again.
        config: Option<u64>,
    },
    /// An agent asks once for the peers of its endpoint. The answer is a [`PeerList`].
    Peers {
        /// The service of its endpoint.
        service: ServiceName,
        /// Id of the list that it has; 0 if it has none.
        known: u64,
    },
    /// An agent, or an entry of another region, asks for a chunk of weights.
    Chunk(ChunkRequest),
}

/// Asks an entry for a chunk of weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRequest {
    /// The model.
    pub model: SmolStr,
    /// Its version.
    pub version: u64,
    /// The chunk's place in the version.
    pub index: u32,
    /// SHA-256 of the chunk.
    pub digest: Digest,
    /// The entry that pulls it from the origin; `None` if the one that is asked is to do that.
    pub puller: Option<IpAddr>,
    /// Chunks that whoever pulls this one is to pull next, in this order: place and SHA-256.
    pub next: Vec<(u32, Digest)>,
}

/// An endpoint of a service, and where it stands.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerEndpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The endpoints of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerList {
    /// Names this content.
    pub id: u64,
    /// The endpoints; `None` if the agent has this list.
    pub peers: Option<Vec<PeerEndpoint>>,
}

impl PeerList {
    /// The list of `peers` for an agent that has the list `known`.
    pub fn new(mut peers: Vec<PeerEndpoint>, known: u64) -> PeerList {
        peers.sort();
        let text: Vec<String> =
            peers.iter().map(|peer| format!("{} {}", peer.address, peer.zone.as_str())).collect();
        let id = key_of(Digest::of(text.join("\n").as_bytes()));
        PeerList { id, peers: Some(peers).filter(|_| id != known) }
    }
}

/// A message of an entry to one that follows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A change.
    Update(Update),
    /// All that it knew when it was asked has been sent; the answer to a ping.
    Pong {
        /// Microseconds of the follower's clock when it asked.
        asked_us: u64,
        /// How old its knowledge is.
        ages: Ages,
        /// Its distance from the store.
        depth: u8,
        /// Followers that ask the store in its place if it is lost; some may be turned away, too.
        successors: Vec<IpAddr>,
    },
    /// It may not be followed now.
    NotAvailable,
}

/// Distance from the store at which an entry may still be followed. Two are enough at rest; while the
/// root or a relay is replaced the tree is one level deeper for a moment.
pub const MAX_PARENT_DEPTH: u8 = 2;

/// Followers of an entry that ask the store if it is lost.
pub const SUCCESSORS: usize = 3;

/// Ages up to which an entry is followed. That of the configuration is well inside the lease of 4.4 s. The
/// others reach what their watches wait, and have some time for a store that is slow.
const CONFIG_AGE: Duration = Duration::from_millis(3_500);
const EVACUATIONS_AGE: Duration = Duration::from_millis(3_500);
const WEIGHTS_AGE: Duration = Duration::from_millis(5_500);

/// Age of the endpoints up to which an entry is followed, as a part of the time within which an endpoint that
/// leaves must get nothing more: a follower of an entry that is cut off from the store leaves it in time.
const ENDPOINTS_PART: f64 = 0.65;

/// Ages of the endpoints up to which an entry follows, by its place in the tree, as parts of the same time.
///
/// When the root loses the store, all entries would find their knowledge too old at the same moment and ask
/// the store. So the root's successors leave it first, its other followers a little later, when a successor
/// has what they need, and entries below them last.
const SUCCESSOR_PART: f64 = 0.45;
const RELAY_PART: f64 = 0.54;

/// Longest wait of a watch of the endpoints as a part of that time. What followers know stays young enough two
/// levels further down the tree and right after a change, too.
const WAIT_PART: f64 = 0.3;

/// How old what is known of the endpoints may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgeLimits {
    leave_within: Duration,
}

impl AgeLimits {
    /// The limits where an endpoint that leaves must get nothing more after `leave_within`.
    pub fn new(leave_within: Duration) -> AgeLimits {
        AgeLimits { leave_within }
    }

    fn part(self, part: f64) -> Duration {
        self.leave_within.mul_f64(part)
    }

    /// Longest wait of a watch of the endpoints.
    pub fn endpoints_wait(self) -> Duration {
        self.part(WAIT_PART)
    }

    /// Age of the endpoints from which on an entry at `depth` leaves its parent.
    pub fn leaves_at(self, depth: u8, is_successor: bool) -> Duration {
        match depth {
            _ if is_successor => self.part(SUCCESSOR_PART),
            0 | 1 => self.part(RELAY_PART),
            _ => self.part(ENDPOINTS_PART),
        }
    }

    /// Whether the endpoints are young enough for an entry to begin to act on them.
    pub fn has_young_endpoints(self, ages: &Ages) -> bool {
        ages.endpoints.is_some_and(|age| age < self.part(ENDPOINTS_PART))
    }

    /// Whether another entry may begin to follow one that knows this much, `since` it said so: it need not
    /// leave again at once.
    pub fn may_join(self, ages: &Ages, since: Duration) -> bool {
        let is_new = |age: Duration| age + since < self.part(SUCCESSOR_PART);
        self.are_young(ages, since) && ages.endpoints.is_some_and(is_new)
    }

    /// Whether an entry that knows this much may be followed, `since` it said so.
    pub fn are_young(self, ages: &Ages, since: Duration) -> bool {
        let is_young = |age: Option<Duration>, most| age.is_some_and(|age| age + since < most);
        is_young(ages.config, CONFIG_AGE)
            && is_young(ages.endpoints, self.part(ENDPOINTS_PART))
            && is_young(ages.evacuations, EVACUATIONS_AGE)
            && is_young(ages.weights, WEIGHTS_AGE)
    }
}

/// What an entry offers to those that may follow it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// Entries that follow it.
    pub followers: u32,
    /// Its distance from the store: 0 if it asks the store itself.
    pub depth: u8,
    /// Milliseconds in which the store answers it at best.
    pub store_ms: u16,
}

/// Difference in the time of the store's answers that the choice of the root ignores: less than a border of
/// regions there and back.
const STORE_MS_STEP: u16 = 4;

/// An entry that others may follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its address.
    pub ip: IpAddr,
    /// What it offers.
    pub offer: Offer,
}

/// The entry to follow: the one that most follow already, the lowest address if there are several.
///
/// An entry that has just started, or that the store serves again, does not take the others over. They
/// would all read everything anew, and the links between regions would be full for seconds.
pub fn elect(candidates: impl Iterator<Item = Candidate>) -> Option<IpAddr> {
    let first = candidates.min_by_key(|one| (Reverse(one.offer.followers), one.ip))?;
    Some(first.ip)
}

/// The entry that asks the store for the fleet: of those that are near it the one that most follow.
///
/// What the store sends to another region crosses the border uncompressed.
pub fn elect_root(candidates: impl Iterator<Item = Candidate>) -> Option<IpAddr> {
    let direct: Vec<Candidate> = candidates.filter(|one| one.offer.depth == 0).collect();
    let step_of = |one: &Candidate| one.offer.store_ms / STORE_MS_STEP;
    let nearest = direct.iter().map(step_of).min()?;
    elect(direct.into_iter().filter(|one| step_of(one) == nearest))
}

/// The entry that agents name, and since when all of them have named that one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Named {
    last: Option<(IpAddr, Time)>,
}

impl Named {
    /// The same once an agent has named `ip`.
    pub fn note(self, ip: IpAddr, now: Time) -> Named {
        let is_same = self.last.is_some_and(|(last, _)| last == ip);
        if is_same { self } else { Named { last: Some((ip, now)) } }
    }

    /// The entry that was named last.
    pub fn last(&self) -> Option<IpAddr> {
        self.last.map(|(ip, _)| ip)
    }

    /// The entry that alone was named for at least `span`.
    pub fn steady(&self, span: Duration, now: Time) -> Option<IpAddr> {
        self.last.filter(|(_, since)| now.passed(*since, span)).map(|(ip, _)| ip)
    }
}

/// The moment `span` before `at`; `None` if that is before the process started.
///
/// A pong that answers what was asked at `at` and tells an age proves that the read behind it was sent
/// no earlier than that age before `at`.
pub fn time_before(at: Time, span: Duration) -> Option<Time> {
    let span_us = u64::try_from(span.as_micros()).ok()?;
    at.as_micros().checked_sub(span_us).map(Time::from_micros)
}
