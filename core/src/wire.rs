//! Messages between the processes: an [`Ask`] opens a stream, [`Reply`] frames answer it.
//!
//! Each message is one length-prefixed postcard value. Every message carries the generation of its
//! sender, so that any contact tells a process that it is behind. The payload types live with the
//! decisions that use them; this module only names them.

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::ids::Generation;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::members::MembersAsk;
use crate::members::MembersReply;
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

/// Result of reading a message.
pub type Result<T> = std::result::Result<T, Code>;

/// Bytes of one message at most; a longer one closes the stream.
pub const MAX_MESSAGE_LEN: usize = 8 << 20;

/// Bytes of the length in front of each message.
pub const LEN_BYTES: usize = 4;

/// Who sends a message, and what it knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// The sender's host.
    pub host: HostName,
    /// Its life.
    pub incarnation: Incarnation,
    /// The generation in force at the sender.
    pub generation: Generation,
}

/// The first message on a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Who asks.
    pub from: Sender,
    /// What it asks.
    pub body: AskBody,
}

/// What is asked.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AskBody {
    /// An entry asks an agent to run a request.
    Run(RunRequest),
    /// An entry asks an agent what became of a request, or to keep it from starting.
    Void(VoidRequest),
    /// A process asks an agent for weights or for what it has.
    Weights(WeightsRequest),
    /// Heartbeats, probes and membership deltas.
    Members(MembersAsk),
    /// A process asks for configuration, or pushes it.
    Spread(SpreadRequest),
    /// An entry that cannot reach the platform asks another to pass a call on.
    Relay(RelayRequest),
    /// An entry tells another that a request was running when its endpoint crashed.
    Suspect(Crash),
}

/// One answering message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The generation in force at the answering process.
    pub generation: Generation,
    /// What it answers.
    pub body: ReplyBody,
}

/// What is answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplyBody {
    /// Part of an answer to [`AskBody::Run`].
    Run(RunFrame),
    /// Answer to [`AskBody::Void`].
    Void(VoidReply),
    /// Answer to [`AskBody::Weights`].
    Weights(WeightsReply),
    /// Answer to [`AskBody::Members`].
    Members(MembersReply),
    /// Answer to [`AskBody::Spread`].
    Spread(SpreadReply),
    /// Answer to [`AskBody::Relay`].
    Relay(RelayReply),
    /// Answer to [`AskBody::Suspect`].
    Noted,
    /// The ask is refused; nothing was done.
    Refused(Code),
}

/// Encodes a message with its length in front.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut buf = vec![0; LEN_BYTES];
    buf = postcard::to_extend(message, buf).expect("messages always encode");
    let len = (buf.len() - LEN_BYTES) as u32;
    buf[..LEN_BYTES].copy_from_slice(&len.to_be_bytes());
    buf
}

/// Reads the length in front of a message, bounded by [`MAX_MESSAGE_LEN`].
pub fn scan_len(prefix: [u8; LEN_BYTES]) -> Result<usize> {
    let len = u32::from_be_bytes(prefix) as usize;
    if len > MAX_MESSAGE_LEN { Err(Code::BadMessage) } else { Ok(len) }
}

/// Decodes a message without its length.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|_| Code::BadMessage)
}
