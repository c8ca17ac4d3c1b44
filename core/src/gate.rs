//! The agent's version gate: checks that its endpoint serves what a request needs, and that the
//! response came from there.
//!
//! The engine may restart or switch versions between the check and the first byte of the response,
//! which would then come from other weights. So the check returns the start id and version of the
//! engine, and the response headers must carry the same.

use crate::code::Code;
use crate::ids::Digest;
use crate::ids::ServiceName;
use crate::ids::StartId;
use crate::members::Serving;

/// Result of a check.
pub type Result<T> = std::result::Result<T, Code>;

/// The endpoint process and model version that a response must come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedSource {
    start: StartId,
    version: Option<Digest>,
}

/// Checks that the endpoint last reported exactly what a request names: `version` for a model,
/// `service` for a plain service. Fails with [`Code::WrongVersion`] or [`Code::EndpointClosed`].
pub fn check_serving(
    serving: &Serving,
    service: &ServiceName,
    version: Option<Digest>,
) -> Result<ExpectedSource> {
    match (serving, version) {
        (Serving::Model { version: loaded, start, .. }, Some(requested))
            if *loaded == requested =>
        {
            Ok(ExpectedSource { start: *start, version })
        }
        (Serving::Model { .. }, _) => Err(Code::WrongVersion),
        (Serving::Plain { service: served, start }, None) if served == service => {
            Ok(ExpectedSource { start: *start, version: None })
        }
        _ => Err(Code::EndpointClosed),
    }
}

impl ExpectedSource {
    /// Expects a response from `version` on the endpoint process with the start id `start`.
    pub fn new(start: StartId, version: Option<Digest>) -> ExpectedSource {
        ExpectedSource { start, version }
    }

    /// Start id of the expected endpoint process.
    pub fn start(&self) -> StartId {
        self.start
    }

    /// Checks the source of a response against the expected one. A model response without a source
    /// fails as well, with [`Code::EndpointLost`].
    pub fn check_response(&self, start: Option<StartId>, version: Option<Digest>) -> Result<()> {
        let is_same =
            self.version.is_none() || (version == self.version && start == Some(self.start));
        if is_same { Ok(()) } else { Err(Code::EndpointLost) }
    }
}
