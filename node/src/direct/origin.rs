//! Client of the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::timeout;

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

/// Timeouts of a request that only finds out whether the origin can be reached. The connection is attempted at short
/// intervals, as a lost packet is otherwise sent again only after a second.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const PROBE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the origin at `address` answers a request for `path`, with or without success.
pub async fn probe(address: SocketAddr, path: &str) -> bool {
    let Ok(mut conn) = HttpConnection::open(address, PROBE_CONNECT_TIMEOUT).await else {
        return false;
    };
    let req = connection::build_request("GET", address, path, Bytes::new());
    let response = conn.call(req, MAX_RESPONSE_LEN, PROBE_RESPONSE_TIMEOUT).await;
    response.is_ok_and(|response| !is_unavailable(response.status()))
}

/// Whether a status means that the origin is unavailable rather than that it lacks the object.
fn is_unavailable(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// Like [`fetch`], and calls `on_progress` whenever data arrives. A status that means that the origin is unavailable
/// counts as no reply.
pub async fn fetch_with_progress(
    address: SocketAddr,
    path: &str,
    mut on_progress: impl FnMut(),
) -> Result<Bytes> {
    let connected = HttpConnection::open(address, CONNECT_TIMEOUT).await;
    let mut conn = connected.map_err(|_| OriginError::Unreachable)?;
    on_progress();
    let req = connection::build_request("GET", address, path, Bytes::new());
    let exchange = async {
        let response = conn.send(req).await.map_err(|_| OriginError::NoReply)?;
        on_progress();
        match response.status() {
            StatusCode::OK => {}
            status if is_unavailable(status) => return Err(OriginError::NoReply),
            status => return Err(OriginError::Refused(status.as_u16())),
        }
        let body = response.into_body().map_frame(|frame| {
            on_progress();
            frame
        });
        let collected = Limited::new(body, MAX_RESPONSE_LEN).collect().await;
        collected.map(|body| body.to_bytes()).map_err(|_| OriginError::NoReply)
    };
    timeout(RESPONSE_TIMEOUT, exchange).await.unwrap_or(Err(OriginError::NoReply))
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
