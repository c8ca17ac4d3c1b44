//! Reads a request's body within bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use mastichaven_core::Code;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Code>;

/// Bounds of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Bytes at most; [`Code::TooLarge`] above.
    pub len: usize,
    /// Time between two pieces at most; [`Code::SlowCaller`] above.
    pub between: Duration,
    /// Time for the whole body at most; [`Code::SlowCaller`] above.
    pub whole: Duration,
}

impl BodyBounds {
    /// The bounds of the callers' port for bodies of at most `len` bytes.
    pub fn of_port(len: usize) -> BodyBounds {
        BodyBounds { len, between: Duration::from_secs(10), whole: Duration::from_secs(60) }
    }
}

/// Bytes of a body that is too large that are still read, so that a caller who reads only after it
/// has sent all sees the refusal and not a reset connection.
const DISCARD_LEN: usize = 8 << 20;

/// Time for which they are read.
const DISCARD_SPAN: Duration = Duration::from_secs(2);

/// Reads `body` within `bounds`.
///
/// Without the bounds of time a caller that sends a byte a minute would keep its connection, and a
/// process that stops would wait for it.
pub async fn read_body<B>(mut body: B, bounds: BodyBounds) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > bounds.len as u64 {
        discard(&mut body).await;
        return Err(Code::TooLarge);
    }
    let read = collect(&mut body, bounds);
    match tokio::time::timeout(bounds.whole, read).await {
        Err(_) => Err(Code::SlowCaller),
        Ok(Err(Code::TooLarge)) => {
            discard(&mut body).await;
            Err(Code::TooLarge)
        }
        Ok(result) => result,
    }
}

async fn collect<B>(body: &mut B, bounds: BodyBounds) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    loop {
        let next = tokio::time::timeout(bounds.between, body.frame()).await;
        let Some(frame) = next.map_err(|_| Code::SlowCaller)? else {
            return Ok(buf.freeze());
        };
        let Ok(bytes) = frame.map_err(|_| Code::BadRequest)?.into_data() else {
            continue;
        };
        if buf.len() + bytes.len() > bounds.len {
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
            if len > DISCARD_LEN {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_SPAN, read).await;
}
