//! The platform's object API as the decisions see it.
//!
//! The HTTP adapter in `mastichaven-node` and the in-memory fakes of the tests implement
//! [`ObjectStore`]. All calls block for at most the adapter's timeout.

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

/// The largest value the platform takes, in bytes.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The expected revision does not match; nothing was written.
    Conflict,
    /// The platform refused or could not be reached; nothing was written.
    Down,
    /// The request left and no answer came: a write may or may not have taken effect.
    Unknown,
    /// The value is larger than [`MAX_VALUE_LEN`]; nothing was written.
    TooLarge,
    /// The watch started before the oldest change still kept; list again.
    Compacted,
    /// The platform is limiting the rate of calls; nothing was written.
    Throttled,
    /// The answer cannot be read.
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

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Revision of the last write to it.
    pub revision: Revision,
    /// Its value.
    pub value: Bytes,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// No object under the key.
    Absent,
    /// The object at exactly this revision.
    At(Revision),
}

/// A change seen by a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The key that changed.
    pub key: SmolStr,
    /// The revision of the change.
    pub revision: Revision,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// What a watch returned.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Pass this revision to the next watch.
    pub revision: Revision,
    /// The changes after the given revision, oldest first; empty when the wait ran out.
    pub changes: Vec<Change>,
}

/// What a host of the platform's list runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// `mastichaven-entry`.
    Entry,
    /// `mastichaven-agent` beside an endpoint.
    Agent,
}

/// A host as the platform's list shows it. The list lags, so it is a hint and no proof.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Its name.
    pub name: HostName,
    /// What it runs.
    pub role: HostRole,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// IP number and UDP port of the process, for peers.
    pub address: std::net::SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// The platform's object API.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get(&self, key: &str) -> Result<Option<Object>>;

    /// Writes an object if it is as expected, and returns its new revision.
    fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Revision>;

    /// Deletes an object if it is at `revision`.
    fn delete(&self, key: &str, revision: Revision) -> Result<()>;

    /// Keys and revisions below `prefix`, in key order.
    fn list(&self, prefix: &str) -> Result<Vec<(SmolStr, Revision)>>;

    /// Changes below `prefix` after `after`, waiting up to `wait` for the first.
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes>;

    /// The platform's list of hosts.
    fn hosts(&self) -> Result<Vec<ListedHost>>;
}
