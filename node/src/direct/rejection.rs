//! Reasons for which an entry rejects a request before it is forwarded.

use http::StatusCode;
use mastichaven_core::direct::retry_after::RefusalCause;

use super::body_reader::BodyError;
use super::state::State;

/// Why a request was rejected before it was forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RejectionReason {
    /// The lease on the configuration has expired.
    StaleConfig,
    /// The entry has just started and has not yet received all the state that routing needs.
    Starting,
    UnknownRoute,
    UnknownKey,
    BodyTooLong,
    BodyTooSlow,
    BodyBroken,
    /// The requests of all callers together need too much memory.
    OutOfMemory,
}

impl From<BodyError> for RejectionReason {
    fn from(e: BodyError) -> RejectionReason {
        match e {
            BodyError::TooLong => RejectionReason::BodyTooLong,
            BodyError::TooSlow => RejectionReason::BodyTooSlow,
            BodyError::Broken => RejectionReason::BodyBroken,
            BodyError::OutOfMemory => RejectionReason::OutOfMemory,
        }
    }
}

impl RejectionReason {
    /// Status of the response. 503 guarantees that the request has not run.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RejectionReason::StaleConfig
            | RejectionReason::Starting
            | RejectionReason::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            RejectionReason::UnknownRoute => StatusCode::NOT_FOUND,
            RejectionReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RejectionReason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RejectionReason::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            RejectionReason::BodyBroken => StatusCode::BAD_REQUEST,
        }
    }

    /// The cause, which decides when the caller is asked to return.
    pub(super) fn refusal_cause(self, state: &State) -> RefusalCause {
        match self {
            RejectionReason::Starting => RefusalCause::Starting,
            RejectionReason::StaleConfig => {
                RefusalCause::NoLease { is_held_in_region: state.has_fresh_neighbour.get() }
            }
            RejectionReason::UnknownRoute
            | RejectionReason::UnknownKey
            | RejectionReason::BodyTooLong
            | RejectionReason::BodyTooSlow
            | RejectionReason::BodyBroken
            | RejectionReason::OutOfMemory => RefusalCause::Other,
        }
    }

    /// The reason as it stands in logs and in the response to the caller.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            RejectionReason::StaleConfig => "configuration too old",
            RejectionReason::Starting => "not all known yet",
            RejectionReason::UnknownRoute => "unknown route",
            RejectionReason::UnknownKey => "unknown key",
            RejectionReason::BodyTooLong => "body too long",
            RejectionReason::BodyTooSlow => "body too slow",
            RejectionReason::BodyBroken => "body broken",
            RejectionReason::OutOfMemory => "out of memory for requests",
        }
    }
}
