//! Validation of setting values.

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

/// Range of `stop_deadline_ms`, in milliseconds.
pub const STOP_DEADLINE_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Range of `store_bytes`: from two chunks of the largest size to 1 TiB.
pub const STORE_BYTES: RangeInclusive<u64> = 2 * MAX_CHUNK_BYTES as u64..=1 << 40;

/// Range of `key_revocation_ms`, the milliseconds until a revoked key must not work. A shorter limit
/// would need more reads of the store than the store allows.
pub const KEY_REVOCATION_MS: RangeInclusive<u64> = 2_000..=600_000;

/// Range of `leave_ms`, the milliseconds until a leaving endpoint must get no more requests. An
/// endpoint whose record may only have lapsed is kept for most of the shortest limit.
pub const LEAVE_MS: RangeInclusive<u64> = 2_000..=60_000;

/// An invalid setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The key with its table, such as `place.host`.
    pub key: &'static str,
    /// The numbered code.
    pub code: Code,
    /// The value and the rule that it breaks, for an operator.
    pub detail: String,
}

/// Settings whose values can be validated.
pub trait Validate {
    /// The first invalid value; `None` if all are valid.
    fn problem(&self) -> Option<Problem>;
}

impl Validate for Config {
    fn problem(&self) -> Option<Problem> {
        None
    }
}

impl Validate for EntrySettings {
    fn problem(&self) -> Option<Problem> {
        self.place
            .problem()
            .or_else(|| url("platform", &self.platform))
            .or_else(|| stop_deadline(self.stop_deadline_ms))
    }
}

impl Validate for AgentSettings {
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

impl Validate for Place {
    fn problem(&self) -> Option<Problem> {
        name("place.host", self.host.as_str())
            .or_else(|| name("place.zone", self.zone.as_str()))
            .or_else(|| name("place.region", self.region.as_str()))
            .or_else(|| peers(self))
            .or_else(|| self.statsd.and_then(statsd))
    }
}

impl Validate for EndpointSettings {
    fn problem(&self) -> Option<Problem> {
        match self {
            EndpointSettings::Engine { address, .. } => url("endpoint.address", address),
            EndpointSettings::Plain { address, service } => url("endpoint.address", address)
                .or_else(|| name("endpoint.service", service.as_str())),
        }
    }
}

impl Validate for DirectSettings {
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
        range("key_revocation_ms", bounds.key_revocation_ms, KEY_REVOCATION_MS)
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

/// Peers connect to this address, so that the unspecified address would be useless to them.
fn peers(place: &Place) -> Option<Problem> {
    let (key, address) = match place.advertised {
        Some(advertised) => ("place.advertised", advertised),
        None => ("place.peers", place.peers),
    };
    if address.ip().is_unspecified() {
        return bad_value(key, format!("{address} is not an address that peers can reach"));
    }
    None
}

fn statsd(address: SocketAddr) -> Option<Problem> {
    if address.port() == 0 {
        return bad_value("place.statsd", format!("{address} has no port"));
    }
    None
}

/// Addresses are IP addresses: a host name would need a resolver, which may be down as well.
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
