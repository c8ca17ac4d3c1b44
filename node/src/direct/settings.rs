//! Settings of the programs on the direct path (TOML).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use mastichaven_core::direct::replication::AgeLimits;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::RegionName;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::ids::ZoneName;
use serde::Deserialize;

use crate::settings::SettingsError;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of this host.
    pub host: HostName,
    /// Its IP number.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Control addresses of entries that one which starts may ask first; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// UDP and TCP port on which agents listen for entries and peers, the same on all hosts.
    pub agent_port: u16,
    /// Port of the metrics page.
    pub metrics_port: u16,
    /// Where an entry listens for callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Where an entry tells the balancer whether it is ready.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// The endpoint beside an agent.
    #[serde(default)]
    pub endpoint: Option<SocketAddr>,
    /// The service of that endpoint.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Region of each availability zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Bounds that hold over the whole deployment.
    pub bounds: Bounds,
    /// What this process may use.
    pub limits: Limits,
}

/// Bounds that the operators set for the whole deployment.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Milliseconds after which a key that was taken away must not work anywhere.
    pub key_revocation_ms: u64,
    /// Milliseconds after which no request may begin on an older version of weights.
    pub weights_ms: u64,
    /// Milliseconds after which an endpoint that leaves must get nothing more.
    pub leave_ms: u64,
    /// Seconds from SIGTERM to SIGKILL.
    pub stop_s: f64,
    /// Further attempts a request, of all entries together.
    pub repeat_ratio: f64,
    /// Further attempts beyond that ratio, of all entries together.
    pub repeat_slack: f64,
    /// Seconds over which further attempts are counted.
    pub repeat_window_s: f64,
}

impl Bounds {
    /// How old what is known of the endpoints may be.
    pub fn age_limits(&self) -> AgeLimits {
        AgeLimits::new(Duration::from_millis(self.leave_ms))
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

/// What a process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Open files and sockets.
    pub descriptors: usize,
    /// Memory in MB.
    pub memory_mb: usize,
}

impl DirectSettings {
    /// The region of each zone.
    pub fn regions(&self) -> HashMap<ZoneName, RegionName> {
        self.regions.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect()
    }

    /// The region of this host.
    pub fn region(&self) -> RegionName {
        self.regions.get(&self.zone).cloned().unwrap_or_default()
    }
}
