//! Replication tree that distributes store state to entries, and freshness limits of its replicas.
//!
//! If each entry watched the store itself, store calls and traffic between regions would grow with the number
//! of entries. Instead, one entry of the fleet, the root, watches the store. One entry of each other region,
//! its relay, follows the root, and the other entries of the region follow the relay. Roles need no consensus:
//! agents report to their entries which of the subscribed entries to follow, and two concurrent roots only
//! cost additional store calls.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use smol_str::SmolStr;

use super::catalog::CatalogParts;
use super::endpoint::EndpointRecord;
use super::versions::Announcement;
use crate::ids::Digest;
use crate::ids::ServiceName;
use crate::ids::StorePosition;
use crate::ids::ZoneName;
use crate::swarm::topology::key_of;
use crate::time::Time;

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// The complete configuration.
    Config(Box<CatalogParts>),
    /// A snapshot of all endpoints.
    Endpoints {
        /// Store revision of the snapshot; it includes all changes up to this revision.
        as_of: StorePosition,
        /// Endpoints that the store lists.
        listed: Vec<EndpointRecord>,
        /// Ids of endpoints that the store no longer lists, possibly only because they could not renew their
        /// record during a store outage. Replicas that still have them keep them until their state is known.
        lapsed: Vec<SmolStr>,
    },
    /// An endpoint was added or changed.
    EndpointPut(Box<EndpointRecord>),
    /// An endpoint was deleted.
    EndpointRemoved {
        /// Id of the endpoint.
        id: SmolStr,
        /// StorePosition of its last record. A record with a higher revision belongs to a later incarnation.
        last_revision: StorePosition,
    },
    /// Progress notification: all endpoint changes up to this store revision have been sent.
    EndpointsProgress(StorePosition),
    /// A snapshot of the zones that are out of service.
    Evacuations {
        /// Store revision of the snapshot; it includes all changes up to this revision.
        as_of: StorePosition,
        /// Zones that are out of service.
        zones: Vec<ZoneName>,
    },
    /// A version of a model was announced.
    Weights {
        /// Name of the model.
        model: SmolStr,
        /// The announced version.
        version: u64,
        /// Time since the announcement; `None` if unknown.
        age: Option<AnnouncementAge>,
    },
}

/// Time since the announcement of a version, as far as its sender knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementAge {
    /// The least possible time.
    pub min: Duration,
    /// The greatest possible time.
    pub max: Duration,
}

impl AnnouncementAge {
    /// The age of `announcement` at `now`.
    pub fn new(announcement: Announcement, now: Time) -> AnnouncementAge {
        AnnouncementAge {
            min: now.since(announcement.latest()),
            max: now.since(announcement.earliest()),
        }
    }

    /// The announcement that had this age when the sender told it, at some moment from `sent_after` to `now`.
    pub fn announcement(self, sent_after: Time, now: Time) -> Announcement {
        Announcement::between(sent_after.saturating_sub(self.max), now.saturating_sub(self.min))
    }
}

/// Ages of an entry's replicated state, per kind; `None` if the entry has no data of that kind.
///
/// The age of the configuration counts from when the last successful read was sent, as the lease on keys does.
/// The other ages count from when the read completed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ages {
    /// Age of the configuration.
    pub config: Option<Duration>,
    /// Age of the endpoint list.
    pub endpoints: Option<Duration>,
    /// Age of the set of zones that are out of service.
    pub evacuations: Option<Duration>,
    /// Age of the current weight versions.
    pub weights: Option<Duration>,
}

/// The first message on a connection to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Hello {
    /// Another entry subscribes to updates.
    Follow {
        /// Address of the follower.
        ip: IpAddr,
        /// Version of the configuration that the follower has, so that it is not sent again.
        config_version: Option<u64>,
    },
    /// An agent requests the peers of its endpoint. The response is a single [`PeerList`].
    Peers {
        /// Service of the agent's endpoint.
        service: ServiceName,
        /// Id of the agent's current list; 0 if it has none.
        known_id: u64,
    },
    /// An agent, or an entry of another region, requests a chunk of weights.
    Chunk(ChunkRequest),
}

/// Request for a chunk of weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRequest {
    /// Name of the model.
    pub model: SmolStr,
    /// Version of the model.
    pub version: u64,
    /// Index of the chunk within the version.
    pub index: u32,
    /// SHA-256 of the chunk.
    pub digest: Digest,
    /// The entry that pulls the chunk from the origin; `None` if the recipient of the request pulls it.
    pub puller: Option<IpAddr>,
    /// Index and SHA-256 of the chunks that the puller fetches next, in this order.
    pub next: Vec<(u32, Digest)>,
    /// Agents that have the chunk, as far as the sender knows; at most [`MAX_HOLDERS`] are asked. Earlier releases
    /// send none.
    #[serde(deserialize_with = "appended")]
    pub holders: Vec<SocketAddr>,
}

/// Maximum number of holders that a [`ChunkRequest`] names.
pub const MAX_HOLDERS: usize = 3;

/// Reads a field that was appended to a message; its default if the message ends before it.
///
/// The format does not tell the end of the message from other faults, so a field that cannot be read also yields the
/// default.
fn appended<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// An endpoint of a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerEndpoint {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
}

/// The endpoints of a service, identified by a hash of their addresses and zones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerList {
    /// Hash of the list's content, independent of its order.
    pub id: u64,
    /// The endpoints; `None` if the agent already has this list.
    pub peers: Option<Vec<PeerEndpoint>>,
}

impl PeerList {
    /// Creates the response for an agent whose current list has the id `known_id`.
    pub fn new(mut peers: Vec<PeerEndpoint>, known_id: u64) -> PeerList {
        peers.sort();
        let text: Vec<String> =
            peers.iter().map(|peer| format!("{} {}", peer.address, peer.zone.as_str())).collect();
        let id = key_of(Digest::of(text.join("\n").as_bytes()));
        PeerList { id, peers: Some(peers).filter(|_| id != known_id) }
    }
}

/// A message from an entry to one of its followers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A change of the replicated state.
    Update(Update),
    /// Response to a ping. All updates that the sender had when it received the ping precede it.
    Pong {
        /// Timestamp of the ping in microseconds of the follower's clock.
        request_sent_us: u64,
        /// Ages of the sender's state.
        ages: Ages,
        /// Number of hops between the sender and the store.
        depth: u8,
        /// Followers that watch the store themselves if the sender is lost. The store may reject some of them,
        /// so there are several.
        successors: Vec<IpAddr>,
    },
    /// The sender currently accepts no followers.
    NotAvailable,
}

/// Maximum depth at which an entry accepts followers. The stable tree needs two levels of followers; while the
/// root or a relay is being replaced, it is briefly one level deeper.
pub const MAX_PARENT_DEPTH: u8 = 2;

/// Number of followers that watch the store themselves if their parent is lost.
pub const MAX_SUCCESSORS: usize = 3;

/// Ages up to which an entry accepts followers. The limit for the configuration is well below its lease of
/// 4.4 s. The other limits exceed the timeouts of their watches by a margin for a slow store.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(3_500);
const MAX_EVACUATIONS_AGE: Duration = Duration::from_millis(3_500);
const MAX_WEIGHTS_AGE: Duration = Duration::from_millis(5_500);

/// Age of the endpoint list up to which an entry accepts followers, as a fraction of the removal bound. The
/// followers of an entry that lost its connection to the store thus detach before the bound expires.
const ENDPOINTS_AGE_FRACTION: f64 = 0.65;

/// Ages of the endpoint list at which an entry detaches from its parent, by its position in the tree, as
/// fractions of the removal bound.
///
/// If the limits were equal when the root loses the store, all entries would detach at the same time and query
/// the store. Instead, the root's successors detach first, its other followers a little later, when a successor
/// has the data they need, and entries below them last.
const SUCCESSOR_DETACH_FRACTION: f64 = 0.45;
const RELAY_DETACH_FRACTION: f64 = 0.54;

/// Timeout of a watch on endpoints as a fraction of the removal bound. It keeps replicas fresh enough two levels
/// further down the tree, also right after a parent change.
const WATCH_TIMEOUT_FRACTION: f64 = 0.3;

/// Maximum ages of the endpoint list, derived from the bound on removing an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgeLimits {
    removal_bound: Duration,
}

impl AgeLimits {
    /// Creates the limits for a removal bound, the time within which a removed endpoint must stop receiving
    /// requests.
    pub fn new(removal_bound: Duration) -> AgeLimits {
        AgeLimits { removal_bound }
    }

    fn fraction(self, fraction: f64) -> Duration {
        self.removal_bound.mul_f64(fraction)
    }

    /// Longest time for which a watch on endpoints waits for a change.
    pub fn endpoints_watch_timeout(self) -> Duration {
        self.fraction(WATCH_TIMEOUT_FRACTION)
    }

    /// Age of the endpoint list at which an entry at `depth` detaches from its parent.
    pub fn detach_age(self, depth: u8, is_successor: bool) -> Duration {
        match depth {
            _ if is_successor => self.fraction(SUCCESSOR_DETACH_FRACTION),
            0 | 1 => self.fraction(RELAY_DETACH_FRACTION),
            _ => self.fraction(ENDPOINTS_AGE_FRACTION),
        }
    }

    /// Whether the endpoint list is fresh enough for an entry to start routing by it.
    pub fn has_fresh_endpoints(self, ages: &Ages) -> bool {
        ages.endpoints.is_some_and(|age| age < self.fraction(ENDPOINTS_AGE_FRACTION))
    }

    /// Whether an entry may start to follow one that reported `ages` `since` ago. The limit for endpoints is
    /// stricter than in [`AgeLimits::are_fresh`], so that the new follower does not detach at once.
    pub fn may_join(self, ages: &Ages, since: Duration) -> bool {
        let is_below_detach_age =
            |age: Duration| age + since < self.fraction(SUCCESSOR_DETACH_FRACTION);
        self.are_fresh(ages, since) && ages.endpoints.is_some_and(is_below_detach_age)
    }

    /// Whether an entry that reported `ages` `since` ago may be followed.
    pub fn are_fresh(self, ages: &Ages, since: Duration) -> bool {
        let is_fresh = |age: Option<Duration>, max| age.is_some_and(|age| age + since < max);
        is_fresh(ages.config, MAX_CONFIG_AGE)
            && is_fresh(ages.endpoints, self.fraction(ENDPOINTS_AGE_FRACTION))
            && is_fresh(ages.evacuations, MAX_EVACUATIONS_AGE)
            && is_fresh(ages.weights, MAX_WEIGHTS_AGE)
    }
}

/// State that an entry advertises to potential followers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// Current number of followers.
    pub followers: u32,
    /// Number of hops between the entry and the store; 0 if it reads the store itself.
    pub depth: u8,
    /// Minimum response time of the store in milliseconds, as seen by the entry.
    pub store_latency_ms: u16,
}

/// Differences in store latency below this step do not affect the election of the root. The step is less than
/// a round trip between two regions.
const STORE_LATENCY_STEP_MS: u16 = 4;

/// An entry that other entries may follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Address of the entry.
    pub ip: IpAddr,
    /// State that the entry advertises.
    pub offer: Offer,
}

/// Elects the entry to follow: the one with the most followers, ties broken by the lowest address.
///
/// An entry that has just started, or that has regained access to the store, does not replace the current one.
/// Otherwise all followers would reload the complete state and saturate the links between regions for seconds.
pub fn elect(candidates: impl Iterator<Item = Candidate>) -> Option<IpAddr> {
    let elected =
        candidates.min_by_key(|candidate| (Reverse(candidate.offer.followers), candidate.ip))?;
    Some(elected.ip)
}

/// Elects the entry that watches the store for the fleet: among the entries that read the store with the lowest
/// latency, the one with the most followers.
///
/// Responses of the store are uncompressed, so the root should not read them across regions.
pub fn elect_root(candidates: impl Iterator<Item = Candidate>) -> Option<IpAddr> {
    let direct: Vec<Candidate> =
        candidates.filter(|candidate| candidate.offer.depth == 0).collect();
    let latency_step =
        |candidate: &Candidate| candidate.offer.store_latency_ms / STORE_LATENCY_STEP_MS;
    let lowest = direct.iter().map(latency_step).min()?;
    elect(direct.into_iter().filter(|candidate| latency_step(candidate) == lowest))
}

/// The entry that agents nominate as parent, and since when all of them have nominated the same one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Nomination {
    last: Option<(IpAddr, Time)>,
}

impl Nomination {
    /// Returns the state after an agent has nominated `ip`.
    pub fn record(self, ip: IpAddr, now: Time) -> Nomination {
        let is_same = self.last.is_some_and(|(last, _)| last == ip);
        if is_same { self } else { Nomination { last: Some((ip, now)) } }
    }

    /// The entry that was nominated last; `None` before the first nomination.
    pub fn last(&self) -> Option<IpAddr> {
        self.last.map(|(ip, _)| ip)
    }

    /// The last nominated entry, if no other was nominated for at least `span`.
    pub fn stable_for(&self, span: Duration, now: Time) -> Option<IpAddr> {
        self.last.filter(|(_, since)| now.passed(*since, span)).map(|(ip, _)| ip)
    }
}

/// The time `span` before `at`; `None` if it is before the process started.
///
/// A pong that reports an age in response to a ping sent at `at` proves that the underlying read was sent no
/// earlier than that age before `at`.
pub fn time_before(at: Time, span: Duration) -> Option<Time> {
    let span_us = u64::try_from(span.as_micros()).ok()?;
    at.as_micros().checked_sub(span_us).map(Time::from_micros)
}
