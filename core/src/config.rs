//! The configuration operators declare, as one merged and validated value.
//!
//! Each kind is a table of names. A folder of TOML files is merged in name order into one
//! [`Config`]; an accepted configuration carries a [`Generation`](crate::ids::Generation).

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

/// Everything operators declare.
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
    /// Where and how often each model runs.
    pub placement: BTreeMap<SmolStr, Placement>,
    /// Services that routes lead to: a model, or a plain service.
    pub service: BTreeMap<ServiceName, Service>,
    /// Routes by name.
    pub route: BTreeMap<SmolStr, Route>,
    /// Limits that hold for the whole fleet.
    pub limits: Limits,
}

/// Whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// It takes work.
    #[default]
    In,
    /// Operators have taken it out: no new work, no new weights.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// The region it lies in.
    pub region: RegionName,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// A customer: whoever sends requests under one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// blake3 digest of the caller's key, in hexadecimal; the key itself is never configured.
    pub key_digest: SmolStr,
    /// Share of a contended queue relative to other customers.
    #[serde(default = "defaults::weight")]
    pub weight: u32,
    /// Requests a second over the whole fleet, on average.
    #[serde(default = "defaults::requests_per_second")]
    pub requests_per_second: f64,
    /// Requests in progress over the whole fleet.
    #[serde(default = "defaults::concurrent")]
    pub concurrent: u32,
    /// The highest priority its requests may ask for, 0 (lowest) to 9.
    #[serde(default = "defaults::max_priority")]
    pub max_priority: u8,
}

/// A model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that new placements load and requests are answered from.
    pub serve: VersionName,
    /// Memory one replica needs, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
}

/// A version of a model: immutable weights named by the digest of their manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model it belongs to.
    pub model: ModelName,
    /// blake3 digest of the manifest, in hexadecimal.
    pub manifest: SmolStr,
}

/// Where and how often a model runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The model.
    pub model: ModelName,
    /// Replicas kept when there is no pressure.
    pub replicas: u32,
    /// Replicas at most, when the queue presses; equal to `replicas` when left out.
    #[serde(default)]
    pub max_replicas: Option<u32>,
    /// The zones it may run in; all zones when empty.
    #[serde(default)]
    pub zones: Vec<ZoneName>,
    /// Hosts that always hold a replica.
    #[serde(default)]
    pub pin: Vec<HostName>,
    /// Hosts that never hold a replica.
    #[serde(default)]
    pub exclude: Vec<HostName>,
}

/// What a route leads to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum Service {
    /// A model served by model engines.
    Model {
        /// The model.
        model: ModelName,
    },
    /// A plain HTTP service.
    Plain {
        /// Whether every call may be repeated without harm.
        #[serde(default)]
        idempotent: bool,
        /// Requests one endpoint of it bears at once when warm.
        #[serde(default = "defaults::plain_concurrent")]
        concurrent: u32,
    },
}

/// Leads requests to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, from `/`.
    pub path: SmolStr,
    /// For model routes: the value of the body's `model` field; any when left out.
    #[serde(default)]
    pub model: Option<SmolStr>,
    /// The service it leads to.
    pub service: ServiceName,
}

/// Limits that hold for the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests waiting in one entry, all customers together.
    pub queue_len: u32,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Time to the first byte of an answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Time between two bytes of an answer, in milliseconds.
    pub between_bytes_ms: u64,
    /// Retries as a share of first attempts.
    pub retry_share: f64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Largest share of a service's endpoints that may be ejected as outliers.
    pub eject_share: f64,
    /// Milliseconds a fingerprint stays quarantined.
    pub quarantine_ms: u64,
    /// Seconds the record of an idempotency key is kept.
    pub claim_seconds: u64,
    /// Bytes from the origin, as a multiple of a version's size, that a push may cost at most.
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
