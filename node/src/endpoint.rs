//! The calls that an agent passes to its endpoint, a fresh connection each.
//!
//! A connection that has been idle may be dead without either side knowing, and a request lost on
//! it could not be told from one that ran; a fresh one proves by its opening that the endpoint
//! hears, and a refused opening proves that nothing was sent. Dropping an [`Answer`] closes its
//! connection, which is how an endpoint without a cancel call learns that nobody waits.

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
use crate::engine::scan_version;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Code>;

/// How long opening a connection may take; endpoint and agent share a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the endpoint may take to say what it is.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection that nothing was sent on yet.
pub struct Line {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
    authority: String,
}

struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose head is here.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: SmolStr,
    /// The manifest that answers.
    pub version: Option<Digest>,
    /// The endpoint's life.
    pub start: Option<StartId>,
    body: Incoming,
    _connection: Connection,
}

impl Answer {
    /// The next bytes; `None` at the end of a whole answer.
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

/// Opens a connection to the endpoint at `base`; an error proves that nothing was sent.
pub async fn open(base: &str) -> Result<Line> {
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
    Ok(Line { sender, connection: Connection(connection), authority })
}

impl Line {
    /// Sends `ask` and waits for the head of its answer.
    pub async fn run(self, ask: &RunRequest) -> Result<Answer> {
        let request = Request::builder()
            .method(ask.method.as_str())
            .uri(ask.path.as_str())
            .header("host", &self.authority)
            .header("content-type", ask.content_type.as_str())
            .header("x-request-id", request_name(ask))
            .header("x-resume-after", ask.resume_after)
            .header("x-priority", u32::from(ask.priority))
            .body(Full::new(ask.body.clone()))
            .map_err(|_| Code::BadRequest)?;
        let Line { mut sender, connection, .. } = self;
        let response = sender.send_request(request).await.map_err(|_| Code::EndpointLost)?;
        let header =
            |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        Ok(Answer {
            status: response.status().as_u16(),
            content_type: SmolStr::new(header("content-type").unwrap_or_default()),
            version: header("x-model-version").and_then(scan_version),
            start: header("x-start-id").and_then(|text| text.parse().ok()).map(StartId),
            body: response.into_body(),
            _connection: connection,
        })
    }

    async fn whole(self, method: &str, path: &str, body: Bytes) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.authority)
            .body(Full::new(body))
            .map_err(|_| Code::BadRequest)?;
        let Line { mut sender, connection, .. } = self;
        let response: Response<Incoming> =
            sender.send_request(request).await.map_err(|_| Code::EndpointLost)?;
        let bytes = response.into_body().collect().await.map_err(|_| Code::Truncated)?.to_bytes();
        drop(connection);
        Ok(bytes)
    }
}

/// Asks the endpoint at `base` for its present life.
pub async fn start_id(base: &str) -> Result<StartId> {
    let ask = async { open(base).await?.whole("GET", "/health", Bytes::new()).await };
    let bytes =
        tokio::time::timeout(HEALTH_TIMEOUT, ask).await.map_err(|_| Code::EndpointLost)??;
    let health: Health = serde_json::from_slice(&bytes).map_err(|_| Code::BadMessage)?;
    Ok(health.start_id)
}

/// Tells the endpoint at `base` that nobody waits for `ask` any more.
pub async fn cancel(base: &str, ask: &RunRequest) {
    let body = serde_json::json!({ "id": request_name(ask) }).to_string();
    let ask = async { open(base).await?.whole("POST", "/admin/cancel", body.into()).await };
    let _ = tokio::time::timeout(HEALTH_TIMEOUT, ask).await;
}

fn request_name(ask: &RunRequest) -> String {
    format!("{:032x}", ask.request.0)
}
