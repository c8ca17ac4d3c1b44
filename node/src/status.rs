//! Status objects, which the first relay of each availability zone writes to the platform.
//!
//! There is one object per zone, so `mastichaven-ctl status` needs one list call and one read per
//! zone.

use std::collections::BTreeMap;
use std::fmt::Write;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ZoneName;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::spread::Survey;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::accepted_config;

/// Result of reading or writing status.
pub type Result<T> = std::result::Result<T, Code>;

/// Prefix of the keys of status objects; the name of the zone follows.
pub const STATUS_PREFIX: &str = "status/zone/";

/// Status of one availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// Availability zone that the status describes.
    pub zone: ZoneName,
    /// Host of the relay that wrote the status.
    pub relay: HostName,
    /// Wall clock of the relay in Unix seconds; only for display.
    pub unix_seconds: u64,
    /// Generation in force at the relay.
    pub generation: Generation,
    /// Generations in force at the processes of the zone.
    pub survey: Survey,
    /// Number of entries that are alive or suspected.
    pub entries: u32,
    /// Number of agents that are alive or suspected.
    pub agents: u32,
    /// Number of ready replicas by `MODEL@VERSION`.
    pub ready: BTreeMap<SmolStr, u32>,
    /// Planned replicas and configuration that are not ready, with the reason.
    pub held_up: Vec<String>,
}

/// Reads the status of every zone. Objects that cannot be decoded are skipped.
pub fn read_all(store: &dyn ObjectStore) -> Result<Vec<ZoneStatus>> {
    let keys = store.list(STATUS_PREFIX).map_err(PlatformError::code)?;
    let mut zones = Vec::new();
    for (key, _) in keys {
        let object = store.get(&key).map_err(PlatformError::code)?;
        zones.extend(object.and_then(|object| serde_json::from_slice(&object.value).ok()));
    }
    Ok(zones)
}

/// Highest generation that any relay reported in force; the fallback after the head was lost.
pub fn highest_generation(store: &dyn ObjectStore) -> Result<Generation> {
    let zones = read_all(store)?;
    Ok(zones.iter().map(|zone| zone.generation).max().unwrap_or_default())
}

/// Returns the output of `mastichaven-ctl status`: the accepted generation, then the lines of each
/// zone.
pub fn report(store: &dyn ObjectStore) -> Result<String> {
    let head = accepted_config::read_head(store)?;
    let mut out = String::new();
    match &head {
        Some((_, head)) => {
            let _ = writeln!(out, "accepted: generation {}", head.generation);
        }
        None => out.push_str("accepted: nothing; publish a folder\n"),
    }
    for zone in read_all(store)? {
        zone.write_to(&mut out);
        let accepted = head.as_ref().map_or(Generation(0), |(_, head)| head.generation);
        if zone.generation > accepted {
            let _ = writeln!(
                out,
                "  held up: the platform lost generation {}; publish again",
                zone.generation
            );
        }
    }
    Ok(out)
}

impl ZoneStatus {
    fn write_to(&self, out: &mut String) {
        let Survey { processes, silent, lowest, highest } = self.survey;
        let _ = writeln!(
            out,
            "zone {}: in force {lowest} to {highest} at {processes} processes ({silent} silent), \
             {} entries, {} agents; written by {} at {}",
            self.zone, self.entries, self.agents, self.relay, self.unix_seconds
        );
        for (version, count) in &self.ready {
            let _ = writeln!(out, "  ready: {version}: {count}");
        }
        for reason in &self.held_up {
            let _ = writeln!(out, "  held up: {reason}");
        }
    }
}

/// Replaces the status of a zone. A conflict or a lost answer needs no retry, because the next
/// periodic write replaces the object anyway.
pub fn write(store: &dyn ObjectStore, status: &ZoneStatus) -> Result<()> {
    let key = format!("{STATUS_PREFIX}{}", status.zone);
    let old = store.get(&key).map_err(PlatformError::code)?;
    let expect = old.map_or(Expect::Absent, |object| Expect::At(object.revision));
    let value = Bytes::from(serde_json::to_vec(status).expect("status always encodes"));
    store.put(&key, value, expect).map(drop).map_err(PlatformError::code)
}
