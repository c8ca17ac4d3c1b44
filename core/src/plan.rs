//! The plan of a model: which hosts hold which version.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::ModelName;
use crate::spread::SPREAD_PREFIX;

/// Where a model runs. Written by the planner by conditional update, spread like configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// The model.
    pub model: ModelName,
    /// Digest of the manifest that is served.
    pub version: Digest,
    /// Hosts that hold a replica.
    pub hosts: Vec<HostName>,
    /// Hosts that step in, in this order, when one of `hosts` dies and no planner can be reached.
    pub candidates: Vec<HostName>,
}

/// The key of a model's plan, as a document and as an object on the platform.
pub fn plan_key(model: &ModelName) -> String {
    format!("{SPREAD_PREFIX}plan/{model}")
}
