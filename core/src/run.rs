//! Messages between an entry and an agent about one request.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::code::Code;
use crate::ids::Attempt;
use crate::ids::CustomerName;
use crate::ids::Digest;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::StartId;

/// Runs a request on the endpoint of the receiving agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// Id of the request, unique per attempt.
    pub request: RequestId,
    /// Number of the attempt, repeated in each frame of its response.
    pub attempt: Attempt,
    /// The service to run it on; must match the endpoint.
    pub service: ServiceName,
    /// The customer that sent the request.
    pub customer: CustomerName,
    /// Manifest digest of the model version that must serve the request; `None` for plain services.
    pub version: Option<Digest>,
    /// The agent incarnation that must run it, if a claim names one; any other incarnation refuses.
    pub incarnation: Option<Incarnation>,
    /// Cost in work units: uncached prompt tokens plus expected output tokens; 1 for plain
    /// services.
    pub work: u32,
    /// Priority from 0 (lowest) to 9.
    pub priority: u8,
    /// Milliseconds until the deadline, counted from when this message was sent.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it must run with no other request on the endpoint, because it is suspected of
    /// crashing endpoints.
    pub exclusive: bool,
    /// Whether the agent keeps the full response for a while, for retries with the same idempotency
    /// key.
    pub keep_response: bool,
    /// Number of response tokens that the caller already has; the engine resumes after them.
    pub resume_after: u64,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Value of the `content-type` header.
    pub content_type: SmolStr,
    /// Request body, as the caller sent it.
    pub body: Bytes,
}

/// Load of an agent's endpoint, sent with responses and heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Work units in progress.
    pub work: u32,
    /// Number of requests that the agent currently admits.
    pub limit: u32,
    /// Requests in progress.
    pub requests: u32,
}

/// A frame of a response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RunFrame {
    /// The attempt did not run and never will.
    Refused {
        /// The reason.
        code: Code,
        /// Load of the endpoint, so that the entry can adjust its routing.
        load: Load,
    },
    /// The request is about to be sent to the endpoint.
    Started {
        /// Start id of the endpoint process that it is sent to.
        start: StartId,
    },
    /// Status and content type of the response.
    Head {
        /// The attempt of the frame; frames of other attempts are dropped.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` header.
        content_type: SmolStr,
        /// Manifest digest of the serving model version, as checked by the agent; `None` for plain
        /// services.
        version: Option<Digest>,
    },
    /// Bytes of the response body.
    Data {
        /// The attempt of the frame; frames of other attempts are dropped.
        attempt: Attempt,
        /// Number of the frame, counted from 0 without gaps.
        sequence: u32,
        /// Part of the body, in order.
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// The attempt of the frame.
        attempt: Attempt,
        /// Number of data frames sent.
        frames: u32,
        /// Load of the endpoint after the request.
        load: Load,
    },
    /// The response ended early.
    Failed {
        /// The attempt of the frame.
        attempt: Attempt,
        /// The cause, which also tells whether the request ran.
        code: Code,
        /// Whether the endpoint process ended during the request.
        crashed: bool,
        /// Number of other requests on the endpoint when its process ended.
        concurrent: u32,
    },
}

/// Queries the state of an attempt. An attempt that has not started is voided: it never will.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoidRequest {
    /// Id of the attempt to query.
    pub request: RequestId,
    /// The agent incarnation that the attempt was sent to.
    pub incarnation: Incarnation,
}

/// A complete response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: SmolStr,
    /// Response body.
    pub body: Bytes,
}

/// State of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoidReply {
    /// It ran to completion, with the full response if the agent still has it.
    Ran(Option<FullResponse>),
    /// It is running.
    Running,
    /// It had not started, and never will in this incarnation of the agent.
    Voided,
    /// This incarnation of the agent cannot determine it.
    Unknown,
}
