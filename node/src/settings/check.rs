//! The range of each setting.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Config;
use mastichaven_core::ids::is_valid_name;
use mastichaven_core::manifest::MAX_CHUNK_BYTES;

use super::AgentSettings;
use super::EndpointSettings;
use super::EntrySettings;
use super::Place;
use crate::direct::settings::DirectSettings;

/// Milliseconds that a stop may be given.
pub const STOP_DEADLINE_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Bytes that a chunk store may have: two chunks of the largest kind up to a TiB.
pub const STORE_BYTES: RangeInclusive<u64> = 2 * MAX_CHUNK_BYTES as u64..=1 << 40;

/// Milliseconds after which keys that were taken away must not work. A shorter bound would need more
/// reads of the store than it allows.
pub const REVOCATION_MS: RangeInclusive<u64> = 2_000..=600_000;

/// Milliseconds after which an endpoint that leaves must get nothing more. One that may only have lapsed from
/// the list is kept for most of the shortest bound.
pub const LEAVE_MS: RangeInclusive<u64> = 2_000..=60_000;

/// A setting out of its range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The key with its table, such as `place.host`.
    pub key: &'static str,
    /// The numbered code.
    pub code: Code,
    /// What is wrong.
    pub detail: String,
}

/// Settings whose values have ranges.
pub trait Checked {
    /// The first value that is out of its range.
    fn problem(&self) -> Option<Problem>;
}

impl Checked for Config {
    fn problem(&self) -> Option<Problem> {
        None
    }
}

impl Checked for EntrySettings {
    fn problem(&self) -> Option<Problem> {
        self.place
            .problem()
            .or_else(|| url("platform", &self.platform))
            .or_else(|| stop_deadline(self.stop_deadline_ms))
    }
}

impl Checked for AgentSettings {
    fn problem(&self) -> Option<Problem> {
        self.place
            .problem()
            .or_else(|| self.endpoint.problem())
            .or_else(|| url("origin", &self.origin))
            .or_else(|| url("platform", &self.platform))
            .or_else(|| range("store_bytes", self.store_bytes, STORE_BYTES))
            .or_else(|| stop_deadline(self.stop_deadline_ms))
    }
}

impl Checked for Place {
    fn problem(&self) -> Option<Problem> {
        name("place.host", self.host.as_str())
            .or_else(|| name("place.zone", self.zone.as_str()))
            .or_else(|| name("place.region", self.region.as_str()))
            .or_else(|| peers(self))
            .or_else(|| self.statsd.and_then(statsd))
    }
}

impl Checked for EndpointSettings {
    fn problem(&self) -> Option<Problem> {
        match self {
            EndpointSettings::Engine { address, .. } => url("endpoint.address", address),
            EndpointSettings::Plain { address, service } => url("endpoint.address", address)
                .or_else(|| name("endpoint.service", service.as_str())),
        }
    }
}

impl Checked for DirectSettings {
    fn problem(&self) -> Option<Problem> {
        let bounds = &self.bounds;
        let window = Duration::try_from_secs_f64(bounds.repeat_window_s).unwrap_or_default();
        let stop = Duration::try_from_secs_f64(bounds.stop_s).unwrap_or_default();
        if !self.regions.contains_key(&self.zone) {
            return bad_value("zone", format!("{} is not among the zones of `regions`", self.zone));
        }
        if window.is_zero() {
            return bad_value("repeat_window_s", "must be above 0".to_owned());
        }
        if stop.is_zero() {
            return bad_value("stop_s", "must be above 0".to_owned());
        }
        if !(0.0..=10.0).contains(&bounds.repeat_ratio) {
            return bad_value("repeat_ratio", format!("{} is not 0 to 10", bounds.repeat_ratio));
        }
        range("key_revocation_ms", bounds.key_revocation_ms, REVOCATION_MS)
            .or_else(|| range("leave_ms", bounds.leave_ms, LEAVE_MS))
    }
}

fn bad_value(key: &'static str, detail: String) -> Option<Problem> {
    Some(Problem { key, code: Code::BadValue, detail })
}

fn name(key: &'static str, name: &str) -> Option<Problem> {
    if is_valid_name(name) {
        return None;
    }
    let detail = format!(
        "{name:?} is not 1 to 63 lower-case letters, digits, `-`, `_` or `.` that start with a \
         letter or a digit"
    );
    Some(Problem { key, code: Code::BadName, detail })
}

/// The address is told to peers, so that one which means "any" would lead them nowhere.
fn peers(place: &Place) -> Option<Problem> {
    let (key, told) = match place.advertised {
        Some(advertised) => ("place.advertised", advertised),
        None => ("place.peers", place.peers),
    };
    if told.ip().is_unspecified() {
        return bad_value(key, format!("{told} is not an address that peers can reach"));
    }
    None
}

fn statsd(address: SocketAddr) -> Option<Problem> {
    if address.port() == 0 {
        return bad_value("place.statsd", format!("{address} has no port"));
    }
    None
}

/// Processes talk by IP numbers: a name would need a resolver, which may be down with the rest.
fn url(key: &'static str, text: &str) -> Option<Problem> {
    let address = text.strip_prefix("http://").and_then(|rest| rest.parse::<SocketAddr>().ok());
    if address.is_some_and(|address| address.port() != 0) {
        return None;
    }
    bad_value(key, format!("{text:?} is not http://IP:PORT"))
}

fn range(key: &'static str, value: u64, allowed: RangeInclusive<u64>) -> Option<Problem> {
    if allowed.contains(&value) {
        return None;
    }
    bad_value(key, format!("{value} is not within {} to {}", allowed.start(), allowed.end()))
}

fn stop_deadline(value: Option<u64>) -> Option<Problem> {
    value.and_then(|value| range("stop_deadline_ms", value, STOP_DEADLINE_MS))
}
