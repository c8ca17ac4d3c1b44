//! What entries pass on to each other of the store, and whether that is young enough.
//!
//! Were each entry to watch the store for itself, its calls and the bytes between regions would grow
//! with the number of entries, and a large configuration that changes often would fill the links between
//! regions and be applied seconds late. So one entry of each region watches, and the others of the region
//! follow it. Which one that is needs no agreement: agents tell their entries which of those that ask them
//! may be followed, and two watchers at once cost calls, nothing else.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::catalog::CatalogParts;
use super::endpoint::Listed;
use crate::ids::Revision;
use crate::ids::ZoneName;
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
        listed: Vec<Listed>,
        /// Those that it no longer lists, perhaps only because they could not renew their entry while
        /// it was away. Whoever still knows them keeps them until more is known.
        lapsed: Vec<SmolStr>,
    },
    /// An endpoint is new or has changed.
    EndpointPut(Box<Listed>),
    /// An endpoint is gone.
    EndpointGone {
        /// Its id.
        id: SmolStr,
        /// Revision of its last entry: a higher one is of a later life.
        last: Revision,
    },
    /// All changes of endpoints up to this revision of the store have been told.
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

/// How old the knowledge of a watcher is. That of the configuration counts from when the read was sent
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

/// A message of a watcher to an entry that follows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// What it has learnt.
    Update(Update),
    /// All that it knew when it was asked has been told; the answer to a ping.
    Pong {
        /// Microseconds of the follower's clock when it asked.
        asked_us: u64,
        /// How old its knowledge is.
        ages: Ages,
    },
    /// It does not watch the store itself.
    NotWatching,
}

/// Ages up to which a watcher is followed. That of the configuration reaches twice the 1.5 s that its
/// watch waits, and is well inside the lease of 4.4 s. The others reach what their watches wait, 0.9, 3
/// and 5 s, and have some time for a store that is slow. An endpoint that tells that it leaves must get
/// nothing after 2 s; a follower of a watcher that is cut off from the store leaves it in time.
const CONFIG_AGE: Duration = Duration::from_millis(3_500);
const ENDPOINTS_AGE: Duration = Duration::from_millis(1_300);
const EVACUATIONS_AGE: Duration = Duration::from_millis(3_500);
const WEIGHTS_AGE: Duration = Duration::from_millis(5_500);

impl Ages {
    /// Whether the endpoints are young enough for an entry to begin to act on them.
    pub fn has_young_endpoints(&self) -> bool {
        self.endpoints.is_some_and(|age| age < ENDPOINTS_AGE)
    }

    /// Whether a watcher that knows this much may be followed, `since` it said so.
    pub fn are_young(&self, since: Duration) -> bool {
        let is_young = |age: Option<Duration>, most| age.is_some_and(|age| age + since < most);
        is_young(self.config, CONFIG_AGE)
            && is_young(self.endpoints, ENDPOINTS_AGE)
            && is_young(self.evacuations, EVACUATIONS_AGE)
            && is_young(self.weights, WEIGHTS_AGE)
    }
}

/// An entry that others may follow: it asks the store itself, and what it knows is young.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its address.
    pub ip: IpAddr,
    /// Entries that follow it.
    pub followers: u32,
}

/// The entry that a region follows: the one that most follow already, the lowest address if there are
/// several.
///
/// An entry that has just started, or that the store serves again, does not take the others over. They
/// would all read the store anew, and the links between regions would be full for seconds.
pub fn watcher(candidates: impl Iterator<Item = Candidate>) -> Option<IpAddr> {
    let first = candidates.min_by_key(|one| (Reverse(one.followers), one.ip))?;
    Some(first.ip)
}

/// The moment `span` before `at`; `None` if that is before the process started.
///
/// A pong that answers what was asked at `at` and tells an age proves that the read behind it was sent
/// no earlier than that age before `at`.
pub fn time_before(at: Time, span: Duration) -> Option<Time> {
    let span_us = u64::try_from(span.as_micros()).ok()?;
    at.as_micros().checked_sub(span_us).map(Time::from_micros)
}
