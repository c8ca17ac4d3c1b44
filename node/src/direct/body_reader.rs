//! Reads the body of a request within limits of length, time and memory.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::clients::Client;
use super::request_body::RequestBody;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    TooLong,
    TooSlow,
    /// The connection failed, or the body is not valid.
    Broken,
    /// The requests of all clients together need too much memory.
    OutOfMemory,
}

/// Result of reading a body.
pub(super) type Result<T> = std::result::Result<T, BodyError>;

/// Reads a body of at most `max_len` bytes within `time_limit`.
pub(super) async fn read_body(
    client: &Client,
    body: Incoming,
    max_len: usize,
    time_limit: Duration,
) -> Result<RequestBody> {
    if body.is_end_stream() {
        return Ok(client.finish_body());
    }
    if body.size_hint().lower() > max_len as u64 {
        return Err(BodyError::TooLong);
    }
    let read = timeout(time_limit, receive(client, body, max_len));
    tokio::select! {
        // A body that is complete when its request is evicted is gone.
        biased;
        () = client.evicted() => Err(BodyError::OutOfMemory),
        received = read => received.unwrap_or(Err(BodyError::TooSlow)).map(|()| client.finish_body()),
    }
}

async fn receive(client: &Client, mut body: Incoming, max_len: usize) -> Result<()> {
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        len += bytes.len();
        if len > max_len {
            return Err(BodyError::TooLong);
        }
        let missing = body.size_hint().exact().and_then(|missing| usize::try_from(missing).ok());
        client.append(bytes, missing).map_err(|_| BodyError::OutOfMemory)?;
    }
    Ok(())
}
