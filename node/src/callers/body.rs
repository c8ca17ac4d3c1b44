//! Reads a request body within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use mastichaven_core::Code;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Code>;

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes; a larger body fails with [`Code::TooLarge`].
    pub max_len: usize,
    /// Maximum time between two chunks; exceeding it fails with [`Code::SlowCaller`].
    pub chunk_timeout: Duration,
    /// Maximum time for the whole body; exceeding it fails with [`Code::SlowCaller`].
    pub total_timeout: Duration,
}

impl BodyLimits {
    /// Returns the limits of the callers' port, for bodies of at most `max_len` bytes.
    pub fn of_callers_port(max_len: usize) -> BodyLimits {
        BodyLimits {
            max_len,
            chunk_timeout: Duration::from_secs(10),
            total_timeout: Duration::from_secs(60),
        }
    }
}

/// Number of bytes of an oversized body that are read and discarded, so that a caller that reads
/// only after sending everything gets the error response and not a connection reset.
const MAX_DISCARD_LEN: usize = 8 << 20;

/// Maximum time for discarding an oversized body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads `body` within `limits`.
///
/// Without the timeouts, a caller that sends one byte per minute would keep its connection open and
/// delay the stop of the process.
pub async fn read_body<B>(mut body: B, limits: BodyLimits) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limits.max_len as u64 {
        discard(&mut body).await;
        return Err(Code::TooLarge);
    }
    let read = collect(&mut body, limits);
    match tokio::time::timeout(limits.total_timeout, read).await {
        Err(_) => Err(Code::SlowCaller),
        Ok(Err(Code::TooLarge)) => {
            discard(&mut body).await;
            Err(Code::TooLarge)
        }
        Ok(result) => result,
    }
}

async fn collect<B>(body: &mut B, limits: BodyLimits) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    loop {
        let next = tokio::time::timeout(limits.chunk_timeout, body.frame()).await;
        let Some(frame) = next.map_err(|_| Code::SlowCaller)? else {
            return Ok(buf.freeze());
        };
        let Ok(bytes) = frame.map_err(|_| Code::BadRequest)?.into_data() else {
            continue;
        };
        if buf.len() + bytes.len() > limits.max_len {
            return Err(Code::TooLarge);
        }
        buf.extend_from_slice(&bytes);
    }
}

async fn discard<B>(body: &mut B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut len = 0;
        while let Some(Ok(frame)) = body.frame().await {
            len += frame.data_ref().map_or(0, Bytes::len);
            if len > MAX_DISCARD_LEN {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}
