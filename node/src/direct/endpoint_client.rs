//! Client of the endpoint on an agent's host: fetches its report, stages chunks and orders loads.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use mastichaven_core::ids::Digest;
use mastichaven_platform::answer;
use mastichaven_platform::engine;
use mastichaven_platform::engine::LoadMode;
use mastichaven_platform::engine::Report;
use sha2::Digest as _;
use sha2::Sha256;

use super::connection;
use super::connection::ConnectionError;
use super::connection::HttpConnection;

/// Maximum length of a response body in bytes: a chunk, with room for chunks larger than the current ones.
const MAX_RESPONSE_LEN: usize = 4 << 20;

/// Timeout of a connection attempt and of a call to the endpoint, which is on the same host.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Result of a call to the endpoint.
pub type Result<T> = std::result::Result<T, EndpointCallError>;

/// Why a call to the endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointCallError {
    /// The connection failed, broke or timed out.
    Link(ConnectionError),
    /// The requested object does not exist, or a staged chunk does not match its digest.
    Absent,
    /// The response had this status.
    Refused(u16),
    /// The response could not be parsed.
    Malformed,
}

impl EndpointCallError {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointCallError::Link(e) => e.as_str(),
            EndpointCallError::Absent => "absent",
            EndpointCallError::Refused(_) => "refused",
            EndpointCallError::Malformed => "malformed",
        }
    }
}

/// Response of an endpoint to a load order that it did not reject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadResponse {
    /// The endpoint loads the chunks that are staged now.
    Begun,
    /// The version is loaded already.
    InEffect,
}

/// The SHA-256 digest of `bytes`, which identifies a chunk.
pub fn sha256(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

fn body_of(response: Response<Bytes>) -> Result<Bytes> {
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::NOT_FOUND => Err(EndpointCallError::Absent),
        status => Err(EndpointCallError::Refused(status.as_u16())),
    }
}

/// HTTP client of the endpoint on this agent's host, with a small pool of idle connections.
#[derive(Debug)]
pub struct EndpointClient {
    address: SocketAddr,
    idle: RefCell<Vec<HttpConnection>>,
}

impl EndpointClient {
    /// Creates a client of the endpoint at `address`; connections are opened on demand.
    pub fn new(address: SocketAddr) -> EndpointClient {
        EndpointClient { address, idle: RefCell::default() }
    }

    /// The address at which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn call(&self, method: &str, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let idle = self.idle.borrow_mut().pop().filter(HttpConnection::is_ready);
        let mut conn = match idle {
            Some(conn) => conn,
            None => HttpConnection::open(self.address, CALL_TIMEOUT)
                .await
                .map_err(EndpointCallError::Link)?,
        };
        let req = connection::build_request(method, self.address, path, body);
        let response = conn.call(req, MAX_RESPONSE_LEN, CALL_TIMEOUT).await;
        let response = response.map_err(EndpointCallError::Link)?;
        if conn.ready().await && self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle.borrow_mut().push(conn);
        }
        Ok(response)
    }

    async fn get(&self, path: &str) -> Result<Bytes> {
        body_of(self.call("GET", path, Bytes::new()).await?)
    }

    /// Fetches the endpoint's report, and whether the endpoint says that it leaves; `layers` is the number of layers
    /// of a complete model.
    pub async fn fetch_report(&self, layers: u32) -> Result<(Report, bool)> {
        let response = self.call("GET", engine::REPORT_PATH, Bytes::new()).await?;
        let status = response.status();
        let is_leaving = answer::endpoint_statements(status, response.headers()).is_leaving;
        let body = body_of(response)?;
        let report = engine::parse_report(&body, layers).ok_or(EndpointCallError::Malformed)?;
        Ok((report, is_leaving))
    }

    /// Indices of the staged chunks; empty if nothing is staged for the model.
    pub async fn staged_indices(&self, model: &str) -> Result<Vec<usize>> {
        match self.get(&engine::staged_list_path(model)).await {
            Ok(body) => engine::parse_staged_chunks(&body).ok_or(EndpointCallError::Malformed),
            Err(EndpointCallError::Absent) => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }

    /// Reads a staged chunk and verifies it against `digest`, as staged chunks may become corrupt at any time.
    pub async fn staged_chunk(&self, model: &str, index: usize, digest: Digest) -> Result<Bytes> {
        let bytes = self.get(&engine::staged_path(model, index)).await?;
        if sha256(&bytes) == digest { Ok(bytes) } else { Err(EndpointCallError::Absent) }
    }

    /// Stages a chunk at the endpoint for a later load.
    pub async fn stage_chunk(&self, model: &str, index: usize, bytes: Bytes) -> Result<()> {
        let response = self.call("PUT", &engine::stage_path(model, index), bytes).await?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(EndpointCallError::Refused(response.status().as_u16()))
        }
    }

    /// Orders the endpoint to load the staged chunks of a version, unless the number of orders that it has begun
    /// differs from `expected_orders`. An order without a response may be accepted seconds later.
    pub async fn order_load(
        &self,
        model: &str,
        version: u64,
        mode: LoadMode,
        expected_orders: u64,
    ) -> Result<LoadResponse> {
        let order = Bytes::from(engine::load_order(model, version, mode, expected_orders));
        let response = self.call("POST", engine::ORDER_PATH, order).await?;
        match response.status() {
            StatusCode::ACCEPTED => Ok(LoadResponse::Begun),
            status if status.is_success() => Ok(LoadResponse::InEffect),
            status => Err(EndpointCallError::Refused(status.as_u16())),
        }
    }
}
