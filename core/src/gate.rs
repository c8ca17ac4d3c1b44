//! The agent's gate: whether its endpoint may answer, and whether an answer is from the right
//! weights.
//!
//! Between the gate's check and the endpoint's first byte the engine may restart or switch. One
//! would notice by an answer from other weights than asked for, or from none. So a pass names the
//! engine's life and version, and the answer's head must carry the same.

use crate::code::Code;
use crate::ids::Digest;
use crate::ids::ServiceName;
use crate::ids::StartId;
use crate::members::Serving;

/// Result of a check.
pub type Result<T> = std::result::Result<T, Code>;

/// What a request was let in for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pass {
    start: StartId,
    version: Option<Digest>,
}

/// Lets a request in if the endpoint last reported exactly what the request names: `version` for a
/// model, `service` for a plain service.
pub fn enter(serving: &Serving, service: &ServiceName, version: Option<Digest>) -> Result<Pass> {
    match (serving, version) {
        (Serving::Model { version: loaded, start, .. }, Some(wanted)) if *loaded == wanted => {
            Ok(Pass { start: *start, version })
        }
        (Serving::Model { .. }, _) => Err(Code::WrongVersion),
        (Serving::Plain { service: here, start }, None) if here == service => {
            Ok(Pass { start: *start, version: None })
        }
        _ => Err(Code::EndpointClosed),
    }
}

impl Pass {
    /// A pass for what the life `start` of the endpoint has loaded.
    pub fn new(start: StartId, version: Option<Digest>) -> Pass {
        Pass { start, version }
    }

    /// The endpoint's life that was let in for.
    pub fn start(&self) -> StartId {
        self.start
    }

    /// Compares the head of an answer with what was let in for. A model's answer that does not say
    /// where it is from is not passed on either.
    pub fn check(&self, start: Option<StartId>, version: Option<Digest>) -> Result<()> {
        let same = self.version.is_none() || (version == self.version && start == Some(self.start));
        if same { Ok(()) } else { Err(Code::EndpointLost) }
    }
}
