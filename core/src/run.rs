//! What an entry and an agent say to each other about one request.

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

/// Asks an agent to run a request on its endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunAsk {
    /// The request.
    pub request: RequestId,
    /// Which attempt of it this is.
    pub attempt: Attempt,
    /// The service it is for.
    pub service: ServiceName,
    /// Who sent it.
    pub customer: CustomerName,
    /// Digest of the manifest that must answer; `None` for plain services.
    pub version: Option<Digest>,
    /// The agent's life that must run it, when a claim names one; another life refuses.
    pub incarnation: Option<Incarnation>,
    /// Work it costs: uncached prompt tokens and expected output tokens; 1 for plain calls.
    pub work: u32,
    /// 0 (lowest) to 9.
    pub priority: u8,
    /// Milliseconds left until the deadline when this message was sent.
    pub deadline_ms: u64,
    /// Whether the caller's call may run more than once.
    pub idempotent: bool,
    /// Whether it must run alone, because it is suspected of crashing endpoints.
    pub alone: bool,
    /// Whether the agent keeps the whole answer for a while, for resends under the same key.
    pub keep: bool,
    /// Tokens of the answer that the caller already has; the engine resumes after them.
    pub resume_after: u64,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Content type of the body.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
}

/// How loaded an agent's endpoint is; goes along with answers and heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Work units in progress.
    pub work: u32,
    /// Requests the agent admits at present.
    pub limit: u32,
    /// Requests in progress.
    pub requests: u32,
}

/// Part of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RunFrame {
    /// Nothing ran and nothing will under this attempt.
    Refused {
        /// Why.
        code: Code,
        /// The endpoint's load, so that the entry learns from a refusal.
        load: Load,
    },
    /// The request is about to be handed to the endpoint.
    Started {
        /// The endpoint's life it goes to.
        start: StartId,
    },
    /// Status and content type of the answer.
    Head {
        /// The attempt this belongs to; others are dropped.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// The manifest that answers, checked by the agent; `None` for plain services.
        version: Option<Digest>,
    },
    /// Some bytes of the answer.
    Data {
        /// The attempt this belongs to; others are dropped.
        attempt: Attempt,
        /// Counts frames from 0 without a gap.
        sequence: u32,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The attempt this belongs to.
        attempt: Attempt,
        /// Number of data frames.
        frames: u32,
        /// The endpoint's load afterwards.
        load: Load,
    },
    /// The answer is not whole.
    Failed {
        /// The attempt this belongs to.
        attempt: Attempt,
        /// What is known of it.
        code: Code,
        /// Whether the endpoint's process ended while this ran.
        crashed: bool,
        /// How many requests ran beside it when the endpoint ended.
        beside: u32,
    },
}

/// Asks an agent what became of a request; if it has not started, it never will.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoidAsk {
    /// The request.
    pub request: RequestId,
    /// The life of the agent that the request was sent to.
    pub incarnation: Incarnation,
}

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
}

/// What became of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoidReply {
    /// It ran to its end; the whole answer, where it was kept.
    Ran(Option<WholeAnswer>),
    /// It is running.
    Running,
    /// It had not started, and never will in this life.
    Voided,
    /// This life of the agent cannot tell.
    Unknown,
}
