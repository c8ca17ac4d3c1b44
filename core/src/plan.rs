//! The plan of a model: which hosts hold which version, and which version answers.
//!
//! During a rollout a plan names two versions. `serving` answers until enough replicas of `loading`
//! are ready; then the planner makes `loading` the serving version. Entries route by the plan, so a
//! changed configuration alone never leads them to a version that nobody has loaded yet.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::ModelName;
use crate::spread::SPREAD_PREFIX;

/// A host of the plan and the version its engine is to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The host.
    pub host: HostName,
    /// Digest of the manifest that its engine is to load.
    pub version: Digest,
}

/// Where a model runs. Written by the planner by conditional update, spread like configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// The model.
    pub model: ModelName,
    /// Digest of the manifest that answers requests.
    pub serving: Digest,
    /// Digest of the manifest that is being rolled out, if any.
    pub loading: Option<Digest>,
    /// Hosts that hold a replica, in name order.
    pub replicas: Vec<Replica>,
    /// Hosts that step in, in this order, when a replica dies and no planner can be reached.
    pub candidates: Vec<HostName>,
}

impl Plan {
    /// The version that `host` is to hold, if it holds a replica.
    pub fn version_for(&self, host: &HostName) -> Option<Digest> {
        self.replicas.iter().find(|replica| replica.host == *host).map(|replica| replica.version)
    }

    /// The versions whose weights a host of the plan keeps: the serving one first.
    pub fn versions(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.serving).chain(self.loading)
    }
}

/// The version that a new request goes to.
///
/// The plan's serving version while a replica of it is ready; else the one being rolled out if that
/// is ready, so that callers see no outage when the old version's last replica dies half way.
/// Without a plan it is the configured version. `is_ready` says whether a live replica serves it.
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

/// The key of a model's plan, as a document and as an object on the platform.
pub fn plan_key(model: &ModelName) -> String {
    format!("{SPREAD_PREFIX}plan/{model}")
}
