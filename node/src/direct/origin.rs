//! Client of the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::connection;
use super::connection::ConnectionError;
use super::connection::HttpConnection;

/// Timeout of a connection attempt; the origin has low bandwidth and accepts few connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a request for a chunk or a manifest. A stalled origin is best abandoned after a second or two.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum length of a response body in bytes.
const MAX_RESPONSE_LEN: usize = 4 << 20;

/// Result of a request to the origin.
pub type Result<T> = std::result::Result<T, OriginError>;

/// Why a request to the origin failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginError {
    /// The connection failed or the request could not be sent.
    Unreachable,
    /// The response timed out or the connection broke.
    NoReply,
    /// The origin does not have the object or refused the request, with this status.
    Refused(u16),
}

impl OriginError {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginError::Unreachable => "unreachable",
            OriginError::NoReply => "silent",
            OriginError::Refused(_) => "refused",
        }
    }
}

/// Fetches the object under `path` from the origin at `address`.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes> {
    let connected = HttpConnection::open(address, CONNECT_TIMEOUT).await;
    let mut conn = connected.map_err(|_| OriginError::Unreachable)?;
    let req = connection::build_request("GET", address, path, Bytes::new());
    let response =
        conn.call(req, MAX_RESPONSE_LEN, RESPONSE_TIMEOUT).await.map_err(|e| match e {
            ConnectionError::NotSent => OriginError::Unreachable,
            ConnectionError::Broken | ConnectionError::TimedOut => OriginError::NoReply,
        })?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(OriginError::Refused(status.as_u16())),
    }
}
