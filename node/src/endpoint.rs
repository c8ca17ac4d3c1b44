//! HTTP requests of an agent to its endpoint, each on a new connection.
//!
//! An idle connection may be broken without either side having noticed, and a request lost on it
//! could not be distinguished from one that ran. A successful connect shows that the endpoint
//! accepts connections, and a failed one proves that nothing was sent. Dropping an
//! [`EndpointResponse`] closes its connection, which cancels the request at an endpoint that has no
//! cancel call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::StartId;
use mastichaven_core::run::RunRequest;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::engine::Health;
use crate::engine::parse_version;

/// Result of a call to the endpoint.
pub type Result<T> = std::result::Result<T, Code>;

/// Timeout of a connect. It is short because the endpoint runs on the agent's host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a health check or a cancellation.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection on which nothing has been sent.
pub struct EndpointConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: ConnectionTask,
    authority: String,
}

struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response whose head was received.
pub struct EndpointResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header; empty if missing.
    pub content_type: SmolStr,
    /// Manifest digest of the version that produced the response; `None` for plain endpoints.
    pub version: Option<Digest>,
    /// Start id of the endpoint process that produced the response, if it reported one.
    pub start: Option<StartId>,
    body: Incoming,
    _connection: ConnectionTask,
}

impl EndpointResponse {
    /// Returns the next bytes of the body, or `None` at the end of a complete response. Fails with
    /// [`Code::Truncated`].
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(_) => continue,
                },
                Err(_) => return Some(Err(Code::Truncated)),
            }
        }
    }
}

/// Opens a connection to the endpoint at the URL `base`. An error proves that nothing was sent.
pub async fn connect(base: &str) -> Result<EndpointConnection> {
    let uri: Uri = base.parse().map_err(|_| Code::EndpointClosed)?;
    let authority = uri.authority().ok_or(Code::EndpointClosed)?.to_string();
    let address: SocketAddr = authority.parse().map_err(|_| Code::EndpointClosed)?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| Code::EndpointClosed)?
        .map_err(|_| Code::EndpointClosed)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Code::EndpointClosed)?;
    let connection = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(EndpointConnection { sender, connection: ConnectionTask(connection), authority })
}

impl EndpointConnection {
    /// Sends `req` and waits for the head of the response. Fails with [`Code::EndpointLost`] if the
    /// connection breaks, so that it is unknown whether the request ran.
    pub async fn send(self, req: &RunRequest) -> Result<EndpointResponse> {
        let request = Request::builder()
            .method(req.method.as_str())
            .uri(req.path.as_str())
            .header("host", &self.authority)
            .header("content-type", req.content_type.as_str())
            .header("x-request-id", request_id(req))
            .header("x-resume-after", req.resume_after)
            .header("x-priority", u32::from(req.priority))
            .body(Full::new(req.body.clone()))
            .map_err(|_| Code::BadRequest)?;
        let EndpointConnection { mut sender, connection, .. } = self;
        let response = sender.send_request(request).await.map_err(|_| Code::EndpointLost)?;
        let header =
            |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        Ok(EndpointResponse {
            status: response.status().as_u16(),
            content_type: SmolStr::new(header("content-type").unwrap_or_default()),
            version: header("x-model-version").and_then(parse_version),
            start: header("x-start-id").and_then(|text| text.parse().ok()).map(StartId),
            body: response.into_body(),
            _connection: connection,
        })
    }

    async fn send_and_collect(self, method: &str, path: &str, body: Bytes) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.authority)
            .body(Full::new(body))
            .map_err(|_| Code::BadRequest)?;
        let EndpointConnection { mut sender, connection, .. } = self;
        let response: Response<Incoming> =
            sender.send_request(request).await.map_err(|_| Code::EndpointLost)?;
        let bytes = response.into_body().collect().await.map_err(|_| Code::Truncated)?.to_bytes();
        drop(connection);
        Ok(bytes)
    }
}

/// Fetches the current start id of the endpoint at the URL `base`.
pub async fn fetch_start_id(base: &str) -> Result<StartId> {
    let call =
        async { connect(base).await?.send_and_collect("GET", "/health", Bytes::new()).await };
    let bytes =
        tokio::time::timeout(HEALTH_TIMEOUT, call).await.map_err(|_| Code::EndpointLost)??;
    let health: Health = serde_json::from_slice(&bytes).map_err(|_| Code::BadMessage)?;
    Ok(health.start_id)
}

/// Asks the endpoint at the URL `base` to cancel `req`. Errors are ignored.
pub async fn cancel(base: &str, req: &RunRequest) {
    let body = serde_json::json!({ "id": request_id(req) }).to_string();
    let call =
        async { connect(base).await?.send_and_collect("POST", "/admin/cancel", body.into()).await };
    let _ = tokio::time::timeout(HEALTH_TIMEOUT, call).await;
}

fn request_id(req: &RunRequest) -> String {
    format!("{:032x}", req.request.0)
}
