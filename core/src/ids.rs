//! Names and numbers that identify the things of a deployment.
//!
//! Names come from operators and are short strings; numbers are small `Copy` values. Inside one
//! process a name is resolved once into an arena key (see [`crate::arena`]).

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use smol_str::SmolStr;

/// The longest name, in bytes, that is accepted from operators or peers.
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

            /// The name as text.
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
    /// The name of a machine that runs an entry or an agent.
    HostName
}
name_type! {
    /// The name of an availability zone.
    ZoneName
}
name_type! {
    /// The name of a region, a group of availability zones.
    RegionName
}
name_type! {
    /// The name of a customer: whoever sends requests under one key.
    CustomerName
}
name_type! {
    /// The name of a service: a model or a plain service that routes lead to.
    ServiceName
}
name_type! {
    /// The name of a model.
    ModelName
}
name_type! {
    /// The name of a version of a model.
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

/// The number of an accepted configuration. It only rises.
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

/// One life of a process on a host: drawn at start, higher for a later life.
///
/// The upper bits hold seconds of the wall clock at start, the lower ones are random, so that a
/// host whose clock stood still still gets a fresh number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One life of an endpoint process, as the endpoint itself reports it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StartId(pub u64);

/// Identifies one attempt at a request within the fleet.
///
/// The upper half names the life of the entry that sends it, the lower half rises with each
/// attempt of that life; [`crate::attempts`] says what rests on that.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Attempt number `serial` of the entry life `sender`.
    pub fn new(sender: Incarnation, serial: u64) -> RequestId {
        RequestId((u128::from(sender.0) << 64) | u128::from(serial))
    }

    /// The life of the entry that sent it.
    pub fn sender(self) -> u64 {
        (self.0 >> 64) as u64
    }

    /// Its number within that life.
    pub fn serial(self) -> u64 {
        self.0 as u64
    }
}

/// Counts the attempts of one request, from 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// Revision of an object on the platform, as the platform numbers it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The blake3 digest of some bytes; hexadecimal in formats for people, 32 bytes in others.
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
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Digest> {
        blake3::Hash::from_hex(text).ok().map(|hash| Digest(*hash.as_bytes()))
    }

    /// Writes 64 hexadecimal digits.
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
    /// Writes the first 12 digits, enough to tell digests apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..12])
    }
}
