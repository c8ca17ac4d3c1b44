//! Calls to the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::connection;
use super::connection::ConnectionError;
use super::connection::HttpConnection;

/// Time for a connection; the origin's link is narrow and it takes few of them.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// Time for a chunk or a manifest. A stalled origin is better left after a second or two.
const ANSWER_WITHIN: Duration = Duration::from_millis(2_500);

/// Bytes of an answer at most.
const MAX_ANSWER_LEN: usize = 4 << 20;

/// Result of a call to the origin.
pub type Result<T> = std::result::Result<T, OriginError>;

/// Why the origin brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginError {
    /// It cannot be reached.
    Unreachable,
    /// It did not answer in time, or broke off.
    Silent,
    /// It does not have what was asked for, or refuses it, with this status.
    Refused(u16),
}

impl OriginError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginError::Unreachable => "unreachable",
            OriginError::Silent => "silent",
            OriginError::Refused(_) => "refused",
        }
    }
}

/// Reads what the origin at `address` has under `path`.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes> {
    let opened = HttpConnection::open(address, CONNECT_WITHIN).await;
    let mut link = opened.map_err(|_| OriginError::Unreachable)?;
    let req = connection::build_request("GET", address, path, Bytes::new());
    let answer = link.call(req, MAX_ANSWER_LEN, ANSWER_WITHIN).await.map_err(|e| match e {
        ConnectionError::NotSent => OriginError::Unreachable,
        ConnectionError::Broken | ConnectionError::TimedOut => OriginError::Silent,
    })?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(OriginError::Refused(status.as_u16())),
    }
}
