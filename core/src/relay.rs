//! Relaying of a platform call through another entry, for an entry that cannot reach the platform
//! itself.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::Revision;

/// A platform call to relay.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayRequest {
    /// Read the object with this key.
    Get(SmolStr),
    /// Conditionally write an object.
    Put {
        /// Key of the object.
        key: SmolStr,
        /// New value of the object.
        value: Bytes,
        /// Revision that the object must have; `None` if it must not exist.
        expect: Option<Revision>,
    },
}

/// Result of a relayed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayReply {
    /// The revision and value of the object; `None` when it does not exist.
    Object(Option<(Revision, Bytes)>),
    /// The write took effect at this revision.
    Written(Revision),
    /// The object was not in the expected state; nothing was written.
    Conflict,
    /// The platform refused the call or is unreachable; nothing was written.
    Unavailable,
    /// The result was lost; a write may have taken effect.
    Unknown,
}
