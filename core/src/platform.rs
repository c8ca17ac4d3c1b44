//! Interface to the object API of the platform.
//!
//! The HTTP client in `mastichaven-node` and the in-memory fakes of the tests implement
//! [`ObjectStore`]. Each call blocks for at most the timeout of the implementation.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::code::Code;
use crate::ids::HostName;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ZoneName;

/// Maximum size of a value in bytes that the platform accepts.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Error of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The precondition was not met; nothing was written.
    Conflict,
    /// The platform refused the call or could not be reached; nothing was written.
    Down,
    /// The request was sent but no answer arrived; a write may or may not have taken effect.
    Unknown,
    /// The value is larger than [`MAX_VALUE_LEN`]; nothing was written.
    TooLarge,
    /// The watch starts before the oldest retained change; the caller must list again.
    Compacted,
    /// The platform limits the rate of calls; nothing was written.
    Throttled,
    /// The answer cannot be decoded; a write may have taken effect.
    Malformed,
}

impl PlatformError {
    /// The numbered code of this error.
    pub fn code(self) -> Code {
        match self {
            PlatformError::Conflict => Code::PlatformConflict,
            PlatformError::Down | PlatformError::Throttled => Code::PlatformDown,
            PlatformError::Unknown | PlatformError::Malformed => Code::PlatformUnknown,
            PlatformError::TooLarge => Code::PlatformTooLarge,
            PlatformError::Compacted => Code::WatchGap,
        }
    }
}

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Revision of its last write.
    pub revision: Revision,
    /// Stored bytes, at most [`MAX_VALUE_LEN`].
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// No object exists under the key.
    Absent,
    /// The object is at exactly this revision.
    At(Revision),
}

/// A change reported by a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Key of the changed object.
    pub key: SmolStr,
    /// Revision of the change.
    pub revision: Revision,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Result of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Revision from which the next watch continues.
    pub revision: Revision,
    /// Changes after the requested revision, oldest first; empty if the wait timed out.
    pub changes: Vec<Change>,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// `mastichaven-entry`.
    Entry,
    /// `mastichaven-agent`, which manages an endpoint.
    Agent,
}

/// An entry of the platform's host list. The list lags, so it proves nothing about the host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// Role of the process on the host.
    pub role: HostRole,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// IP address and UDP port on which the process receives messages from peers.
    pub address: std::net::SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// Object API of the platform.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if the key does not exist.
    fn get(&self, key: &str) -> Result<Option<Object>>;

    /// Writes an object if the precondition holds, and returns its new revision.
    fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Revision>;

    /// Deletes an object if it is still at `revision`.
    fn delete(&self, key: &str, revision: Revision) -> Result<()>;

    /// Lists keys with `prefix` and their revisions, in key order.
    fn list(&self, prefix: &str) -> Result<Vec<(SmolStr, Revision)>>;

    /// Returns changes under `prefix` after revision `after`, waiting up to `wait` for the first.
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes>;

    /// Reads the host list of the platform.
    fn hosts(&self) -> Result<Vec<ListedHost>>;
}
