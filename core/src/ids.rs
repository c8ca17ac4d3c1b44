//! Names and numeric identifiers.
//!
//! Names are short strings chosen by operators; numeric identifiers are small `Copy` values. Within
//! a process, a name is resolved once to an arena key (see [`crate::arena`]).

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use smol_str::SmolStr;

/// Maximum length of a name in bytes, from operators and peers.
pub const MAX_NAME_LEN: usize = 63;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// Wraps `name` without checking it; see [`is_valid_name`].
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(SmolStr::new(name))
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type! {
    /// Name of a machine that runs an entry or an agent.
    HostName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a region, a group of availability zones.
    RegionName
}
name_type! {
    /// Name of a customer, who sends requests with one key.
    CustomerName
}
name_type! {
    /// Name of a service: a model or a plain service that is the target of routes.
    ServiceName
}
name_type! {
    /// Name of a model.
    ModelName
}
name_type! {
    /// Name of a version of a model.
    VersionName
}

/// Whether `name` may be used in configuration: 1 to [`MAX_NAME_LEN`] bytes of lower-case letters,
/// digits, `-`, `_` and `.`, starting with a letter or a digit.
pub fn is_valid_name(name: &str) -> bool {
    let bytes = name.as_bytes();
    let Some(first) = bytes.first() else {
        return false;
    };
    let allowed =
        |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    bytes.len() <= MAX_NAME_LEN
        && (first.is_ascii_lowercase() || first.is_ascii_digit())
        && bytes.iter().all(allowed)
}

/// Number of an accepted configuration; strictly increasing.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies one run of a process on a host. It is drawn at start, and higher for a later run.
///
/// The upper bits hold the wall clock in seconds at start. The lower bits are random, so that a
/// restart gets a new number even if the clock has not advanced.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies one run of an endpoint process, as reported by the endpoint.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StartId(pub u64);

/// Identifies one attempt at a request within the fleet.
///
/// The upper half is the incarnation of the entry that sends it, the lower half increases with each
/// attempt of that incarnation; [`crate::attempts`] relies on both.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Identifies attempt `serial` of the entry incarnation `sender`.
    pub fn new(sender: Incarnation, serial: u64) -> RequestId {
        RequestId((u128::from(sender.0) << 64) | u128::from(serial))
    }

    /// Incarnation of the entry that sent it.
    pub fn sender(self) -> u64 {
        (self.0 >> 64) as u64
    }

    /// Number of the attempt within the incarnation.
    pub fn serial(self) -> u64 {
        self.0 as u64
    }
}

/// Number of an attempt at one request, from 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// Revision of an object on the platform, assigned by the platform.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A point in the history of the platform's store.
///
/// When the store comes back from a copy, its revisions go back and are given out again. Each of a later era is newer
/// than all of an earlier one, so positions are compared and revisions of the store are not.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StorePosition {
    // The order of the fields is that of the comparison.
    era: u64,
    revision: Revision,
}

impl StorePosition {
    /// The position of `revision` in `era`; 0 if the store does not tell its era.
    pub fn new(era: u64, revision: u64) -> StorePosition {
        StorePosition { era, revision: Revision(revision) }
    }

    /// Number of the times that the store had come back from a copy, as it tells it.
    pub fn era(self) -> u64 {
        self.era
    }

    /// The revision, to be sent to the store, which is of the same era.
    pub fn revision(self) -> Revision {
        self.revision
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision.0)
    }
}

/// A blake3 digest; serialized as hexadecimal digits in human-readable formats, otherwise as 32
/// bytes.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() { s.serialize_str(&self.to_hex()) } else { self.0.serialize(s) }
    }
}

impl<'a> Deserialize<'a> for Digest {
    fn deserialize<D: Deserializer<'a>>(d: D) -> Result<Digest, D::Error> {
        if !d.is_human_readable() {
            return <[u8; 32]>::deserialize(d).map(Digest);
        }
        let text = SmolStr::deserialize(d)?;
        Digest::from_hex(&text).ok_or_else(|| D::Error::custom("not 64 hexadecimal digits"))
    }
}

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// Parses 64 hexadecimal digits; `None` if `text` is anything else.
    pub fn from_hex(text: &str) -> Option<Digest> {
        blake3::Hash::from_hex(text).ok().map(|hash| Digest(*hash.as_bytes()))
    }

    /// Formats the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    /// Writes the first 12 digits, which are enough to distinguish digests in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..12])
    }
}
