//! The configuration declared by operators.
//!
//! Each kind of entry is a table keyed by name. The TOML files of a folder are merged in the order
//! of their names into one [`Config`]; an accepted configuration carries a [`Generation`](crate::ids::Generation).

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::CustomerName;
use crate::ids::HostName;
use crate::ids::ModelName;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::ids::ZoneName;

/// The whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Availability zones by name.
    pub zone: BTreeMap<ZoneName, AvailabilityZone>,
    /// Customers by name.
    pub customer: BTreeMap<CustomerName, Customer>,
    /// Models by name.
    pub model: BTreeMap<ModelName, Model>,
    /// Versions by name; a version belongs to one model.
    pub version: BTreeMap<VersionName, Version>,
    /// Placements by name; at most one for each model.
    pub placement: BTreeMap<SmolStr, Placement>,
    /// Services by name.
    pub service: BTreeMap<ServiceName, Service>,
    /// Routes by name.
    pub route: BTreeMap<SmolStr, Route>,
    /// Fleet-wide limits.
    pub limits: Limits,
}

/// Whether an availability zone accepts new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// The zone accepts requests.
    #[default]
    In,
    /// Operators have taken the zone out: it receives neither new requests nor new weights.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Region of the zone.
    pub region: RegionName,
    /// Whether the zone accepts new requests.
    #[serde(default)]
    pub state: ZoneState,
}

/// A customer, identified by the key sent with its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// blake3 digest of the customer's key in hexadecimal; the key itself is never configured.
    pub key_digest: SmolStr,
    /// Weight of its share of a contended queue, relative to other customers.
    #[serde(default = "defaults::weight")]
    pub weight: u32,
    /// Maximum average rate of requests per second over the whole fleet.
    #[serde(default = "defaults::requests_per_second")]
    pub requests_per_second: f64,
    /// Maximum number of requests in flight over the whole fleet.
    #[serde(default = "defaults::concurrent")]
    pub concurrent: u32,
    /// Highest priority that its requests may set, from 0 (lowest) to 9.
    #[serde(default = "defaults::max_priority")]
    pub max_priority: u8,
}

/// A model that endpoints can serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that new replicas load and that answers requests.
    pub serve: VersionName,
    /// Memory that one replica needs, in MiB; defaults to 0.
    #[serde(default)]
    pub memory_mib: u64,
}

/// A version of a model: immutable weights named by the digest of their manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Model that the version belongs to.
    pub model: ModelName,
    /// blake3 digest of the manifest of its weights, in hexadecimal.
    pub manifest: SmolStr,
}

/// Number and location of the replicas of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Placed model.
    pub model: ModelName,
    /// Number of replicas kept without load.
    pub replicas: u32,
    /// Maximum number of replicas when requests queue up; defaults to `replicas`.
    #[serde(default)]
    pub max_replicas: Option<u32>,
    /// Zones in which replicas may run; all zones if empty.
    #[serde(default)]
    pub zones: Vec<ZoneName>,
    /// Hosts that always hold a replica.
    #[serde(default)]
    pub pin: Vec<HostName>,
    /// Hosts that never hold a replica.
    #[serde(default)]
    pub exclude: Vec<HostName>,
}

/// Target of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum Service {
    /// A model served by model engines.
    Model {
        /// Name of the model.
        model: ModelName,
    },
    /// A plain HTTP service.
    Plain {
        /// Whether every request can be repeated safely.
        #[serde(default)]
        idempotent: bool,
        /// Requests that one warm endpoint can process concurrently.
        #[serde(default = "defaults::plain_concurrent")]
        concurrent: u32,
    },
}

/// Maps requests to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, starting with `/`.
    pub path: SmolStr,
    /// Required value of the `model` field of the request body; any value if `None`.
    #[serde(default)]
    pub model: Option<SmolStr>,
    /// Service that handles the requests.
    pub service: ServiceName,
}

/// Fleet-wide limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests queued in one entry, over all customers.
    pub queue_len: u32,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Timeout for the first byte of an answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Timeout between two bytes of an answer, in milliseconds.
    pub between_bytes_ms: u64,
    /// Retry budget as a share of first attempts.
    pub retry_share: f64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum share of the endpoints of a service that may be ejected as outliers.
    pub eject_share: f64,
    /// Time for which the fingerprint of a request stays quarantined, in milliseconds.
    pub quarantine_ms: u64,
    /// Time for which the record of an idempotency key is kept, in seconds.
    pub claim_seconds: u64,
    /// Maximum number of bytes that a rollout may read from the origin, as a multiple of the size
    /// of the version.
    pub origin_copies: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            queue_len: 1_024,
            deadline_ms: 60_000,
            first_byte_ms: 20_000,
            between_bytes_ms: 5_000,
            retry_share: 0.1,
            body_bytes: 1 << 20,
            eject_share: 0.3,
            quarantine_ms: 600_000,
            claim_seconds: 86_400,
            origin_copies: 1.3,
        }
    }
}

mod defaults {
    pub fn weight() -> u32 {
        1
    }

    pub fn requests_per_second() -> f64 {
        100.0
    }

    pub fn concurrent() -> u32 {
        256
    }

    pub fn max_priority() -> u8 {
        5
    }

    pub fn plain_concurrent() -> u32 {
        8
    }
}
