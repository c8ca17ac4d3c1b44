//! Status objects: what each availability zone's relay writes back to the platform.
//!
//! One object a zone, so that `ctl status` needs one list and one read a zone.

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

use crate::accepted;

/// Result of reading or writing status.
pub type Result<T> = std::result::Result<T, Code>;

/// Status objects lie below this prefix.
pub const STATUS_PREFIX: &str = "status/zone/";

/// What one zone's relay knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneName,
    /// The relay that wrote this.
    pub relay: HostName,
    /// Seconds of the relay's wall clock; for people.
    pub unix_seconds: u64,
    /// The generation in force at the relay.
    pub generation: Generation,
    /// What the processes of the zone have in force.
    pub survey: Survey,
    /// Entries that are alive.
    pub entries: u32,
    /// Agents that are alive.
    pub agents: u32,
    /// Ready replicas by model and version.
    pub ready: BTreeMap<SmolStr, u32>,
    /// What is held up, and why.
    pub held_up: Vec<String>,
}

/// Reads the status of every zone: one list and one read a zone.
pub fn read_all(store: &dyn ObjectStore) -> Result<Vec<ZoneStatus>> {
    let keys = store.list(STATUS_PREFIX).map_err(PlatformError::code)?;
    let mut zones = Vec::new();
    for (key, _) in keys {
        let object = store.get(&key).map_err(PlatformError::code)?;
        zones.extend(object.and_then(|object| serde_json::from_slice(&object.value).ok()));
    }
    Ok(zones)
}

/// The highest generation that any zone had in force, for when the head is gone.
pub fn highest_generation(store: &dyn ObjectStore) -> Result<Generation> {
    let zones = read_all(store)?;
    Ok(zones.iter().map(|zone| zone.generation).max().unwrap_or_default())
}

/// What `ctl status` prints: the head, then a line or more a zone.
pub fn report(store: &dyn ObjectStore) -> Result<String> {
    let head = accepted::read_head(store)?;
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

/// Replaces the status of a zone. A lost race or a lost answer is made good by the next write.
pub fn write(store: &dyn ObjectStore, status: &ZoneStatus) -> Result<()> {
    let key = format!("{STATUS_PREFIX}{}", status.zone);
    let old = store.get(&key).map_err(PlatformError::code)?;
    let expect = old.map_or(Expect::Absent, |object| Expect::At(object.revision));
    let value = Bytes::from(serde_json::to_vec(status).expect("status always encodes"));
    store.put(&key, value, expect).map(drop).map_err(PlatformError::code)
}
