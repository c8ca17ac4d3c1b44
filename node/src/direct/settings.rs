//! Settings files (TOML) of the programs on the direct path.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use mastichaven_core::direct::client_budget::ClientLimits;
use mastichaven_core::direct::replication::AgeLimits;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use serde::Deserialize;

use crate::settings::SettingsError;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Settings of an entry or an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of this host.
    pub host: HostName,
    /// IP address of this host, on which the process listens.
    pub ip: IpAddr,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Control addresses of entries that a starting entry may contact first; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// UDP and TCP port on which agents and entries accept requests of each other, the same on all
    /// hosts.
    pub agent_port: u16,
    /// Port on which the metrics are served.
    pub metrics_port: u16,
    /// Address on which an entry accepts callers; required for entries.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address on which an entry serves its readiness to the balancer; required for entries.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address of the endpoint on the agent's host; required for agents.
    #[serde(default)]
    pub endpoint: Option<SocketAddr>,
    /// Service that the agent's endpoint belongs to.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Region of each availability zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Limits on the deployment as a whole.
    pub bounds: Bounds,
    /// Resource limits of this process.
    pub limits: Limits,
}

/// Limits that the operators set for the whole deployment.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Milliseconds after which a revoked key must be rejected by every entry.
    pub key_revocation_ms: u64,
    /// Milliseconds after the release of new weights from which on no request may start on older
    /// ones.
    pub weights_ms: u64,
    /// Milliseconds after which a draining endpoint must receive no more requests.
    pub leave_ms: u64,
    /// Seconds from SIGTERM to SIGKILL.
    pub stop_s: f64,
    /// Retries allowed per request, over all entries.
    pub repeat_ratio: f64,
    /// Retries allowed in addition to `repeat_ratio`, over all entries.
    pub repeat_slack: f64,
    /// Length in seconds of the window in which requests and retries are counted.
    pub repeat_window_s: f64,
}

impl Bounds {
    /// Age limits of the endpoint list, derived from `leave_ms`.
    pub fn age_limits(&self) -> AgeLimits {
        AgeLimits::new(Duration::from_millis(self.leave_ms))
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

/// Resource limits of a process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Open file descriptors.
    pub descriptors: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
    /// The part of it that connections and requests of callers may take, in MB; 0.4 of it if left out.
    #[serde(default)]
    pub callers_memory_mb: Option<usize>,
}

impl Limits {
    /// What callers may claim.
    pub fn of_callers(&self) -> ClientLimits {
        let callers_memory = self.callers_memory_mb.map(|mb| mb << 20);
        ClientLimits::of_callers(self.memory_mb << 20, self.descriptors, callers_memory)
    }
}

impl DirectSettings {
    /// Map of each availability zone to its region.
    pub fn regions(&self) -> HashMap<ZoneName, RegionName> {
        self.regions.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect()
    }

    /// Region of this host; empty if `regions` lacks its zone.
    pub fn region(&self) -> RegionName {
        self.regions.get(&self.zone).cloned().unwrap_or_default()
    }
}
