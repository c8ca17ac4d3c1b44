//! The plan of a model: which host serves which version, and which version answers requests.
//!
//! During a rollout a plan names two versions. `serving` answers until enough replicas of `loading`
//! are ready; then the planner makes `loading` the serving version. Entries route by the plan, so a
//! change of the configuration alone never sends requests to a version that no engine has loaded.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::ModelName;
use crate::spread::SPREAD_PREFIX;

/// A host of the plan and the version that its engine is to load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Host of the engine.
    pub host: HostName,
    /// Digest of the manifest of the version.
    pub version: Digest,
}

/// Assignment of a model's versions to hosts. The planner writes it by conditional update, and it
/// is distributed like the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Name of the model.
    pub model: ModelName,
    /// Digest of the manifest of the version that answers requests.
    pub serving: Digest,
    /// Digest of the manifest of the version that is being rolled out, if any.
    pub loading: Option<Digest>,
    /// Hosts with a replica, sorted by name.
    pub replicas: Vec<Replica>,
    /// Hosts that may replace a dead replica, in this order, while no planner is reachable.
    pub candidates: Vec<HostName>,
}

impl Plan {
    /// The version that `host` is to load; `None` if it has no replica.
    pub fn version_for(&self, host: &HostName) -> Option<Digest> {
        self.replicas.iter().find(|replica| replica.host == *host).map(|replica| replica.version)
    }

    /// The versions whose weights the hosts of the plan keep, the serving one first.
    pub fn versions(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.serving).chain(self.loading)
    }
}

/// The version that new requests are routed to.
///
/// This is the plan's serving version while a replica of it is ready, else the loading version if
/// that is ready, so that requests succeed when the last replica of the old version dies during a
/// rollout. Without a plan it is the configured version. `is_ready` tells whether a live replica
/// serves a version.
pub fn routable_version(
    plan: Option<&Plan>,
    configured: Digest,
    is_ready: impl Fn(Digest) -> bool,
) -> Digest {
    let Some(plan) = plan else {
        return configured;
    };
    plan.versions().find(|version| is_ready(*version)).unwrap_or(plan.serving)
}

/// Key of a model's plan, both as a document and as an object on the platform.
pub fn plan_key(model: &ModelName) -> String {
    format!("{SPREAD_PREFIX}plan/{model}")
}
