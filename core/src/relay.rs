//! Passing a call to the platform on through another entry.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::Revision;

/// A call to pass on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayAsk {
    /// Read an object.
    Get(SmolStr),
    /// Write an object if it is as expected; `None` expects none.
    Put {
        /// Its key.
        key: SmolStr,
        /// Its value.
        value: Bytes,
        /// The revision it must have, `None` when it must not exist.
        expect: Option<Revision>,
    },
}

/// What the platform answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayReply {
    /// The object read, or that there is none.
    Object(Option<(Revision, Bytes)>),
    /// The revision written.
    Written(Revision),
    /// Somebody else changed it first.
    Conflict,
    /// The platform refused or cannot be reached; nothing was written.
    Down,
    /// The platform's answer was lost.
    Unknown,
}
