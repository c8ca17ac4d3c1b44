//! Messages between the processes: a [`RequestMessage`] opens a stream, [`Reply`] frames answer it.
//!
//! Each message is a postcard value with a length prefix. It carries the configuration generation
//! of its sender, so that a process notices on any contact that its own configuration is stale. The
//! payload types are defined in the modules that handle them.

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::ids::Generation;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::members::MembersReply;
use crate::members::MembersRequest;
use crate::quarantine::Crash;
use crate::relay::RelayReply;
use crate::relay::RelayRequest;
use crate::run::RunFrame;
use crate::run::RunRequest;
use crate::run::VoidReply;
use crate::run::VoidRequest;
use crate::spread::SpreadReply;
use crate::spread::SpreadRequest;
use crate::weights::WeightsReply;
use crate::weights::WeightsRequest;

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, Code>;

/// Maximum size of one message in bytes; a larger one closes the stream.
pub const MAX_MESSAGE_LEN: usize = 8 << 20;

/// Size of the length prefix of each message in bytes.
pub const LEN_BYTES: usize = 4;

/// Sender of a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Host of the sender.
    pub host: HostName,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Configuration generation that is active at the sender.
    pub generation: Generation,
}

/// The first message on a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestMessage {
    /// Sender of the request.
    pub from: Sender,
    /// Body of the request.
    pub body: RequestBody,
}

/// Body of a [`RequestMessage`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestBody {
    /// Sent by an entry to an agent: run a request.
    Run(RunRequest),
    /// Sent by an entry to an agent: query the outcome of a request, or prevent it from starting.
    Void(VoidRequest),
    /// Sent to an agent: read weights, or query which weights it holds.
    Weights(WeightsRequest),
    /// Heartbeats, probes and membership syncs.
    Members(MembersRequest),
    /// Pulls or pushes configuration.
    Spread(SpreadRequest),
    /// Sent by an entry that cannot reach the platform: forward a call to it.
    Relay(RelayRequest),
    /// Sent between entries: a request was running when its endpoint crashed.
    Suspect(Crash),
}

/// One message in answer to a [`RequestMessage`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Configuration generation that is active at the answering process.
    pub generation: Generation,
    /// Body of the answer.
    pub body: ReplyBody,
}

/// Body of a [`Reply`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplyBody {
    /// One frame of the answer to [`RequestBody::Run`].
    Run(RunFrame),
    /// Answer to [`RequestBody::Void`].
    Void(VoidReply),
    /// Answer to [`RequestBody::Weights`].
    Weights(WeightsReply),
    /// Answer to [`RequestBody::Members`].
    Members(MembersReply),
    /// Answer to [`RequestBody::Spread`].
    Spread(SpreadReply),
    /// Answer to [`RequestBody::Relay`].
    Relay(RelayReply),
    /// Answer to [`RequestBody::Suspect`].
    Ack,
    /// The request was refused and had no effect.
    Refused(Code),
}

/// Encodes a message with its length prefix.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut buf = vec![0; LEN_BYTES];
    buf = postcard::to_extend(message, buf).expect("messages always encode");
    let len = (buf.len() - LEN_BYTES) as u32;
    buf[..LEN_BYTES].copy_from_slice(&len.to_be_bytes());
    buf
}

/// Decodes a length prefix. A length over [`MAX_MESSAGE_LEN`] is an error.
pub fn scan_len(prefix: [u8; LEN_BYTES]) -> Result<usize> {
    let len = u32::from_be_bytes(prefix) as usize;
    if len > MAX_MESSAGE_LEN { Err(Code::BadMessage) } else { Ok(len) }
}

/// Decodes a message without its length prefix.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|_| Code::BadMessage)
}
