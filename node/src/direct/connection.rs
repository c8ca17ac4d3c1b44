//! HTTP/1.1 client connections to endpoints, the store and origins.
//!
//! When a middlebox between the two ends loses its state, a connection goes silent without a reset.
//! TCP keepalive probes and a timeout of unacknowledged data make the kernel report such a
//! connection as broken within [`UNRESPONSIVE_TIMEOUT`], so that waiting tasks get an error.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::head_limit::HeadLimit;
use super::head_limit::HeadLimitedStream;
use super::request_body::OutgoingBody;

/// Time after which a connection to an unresponsive peer is broken: one second to the first
/// keepalive probe, then two probes at intervals of one second.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Limit of `hyper`'s read and write buffers of a connection, in bytes.
const MAX_BUF_LEN: usize = 64 << 10;

/// Result of a call over a connection.
pub type Result<T> = std::result::Result<T, ConnectionError>;

/// Why a call over a connection failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionError {
    /// The connection could not be opened, or no byte of the request was written. The peer has not
    /// received it.
    NotSent,
    /// The connection broke after the request was sent. The peer may have acted on it.
    Broken,
    /// No response arrived in time. The peer may have acted on the request.
    TimedOut,
}

impl ConnectionError {
    /// The error as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ConnectionError::NotSent => "not sent",
            ConnectionError::Broken => "broken",
            ConnectionError::TimedOut => "timed out",
        }
    }
}

/// Sets the socket options of all connections on the direct path: no delay, keepalive probes and
/// the timeout of unacknowledged data.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNRESPONSIVE_TIMEOUT))
}

/// A client connection with at most one request in flight.
#[derive(Debug)]
pub struct HttpConnection {
    sender: http1::SendRequest<OutgoingBody>,
    head_limit: HeadLimit,
    task: JoinHandle<()>,
    /// Makes `task` reset the connection; `None` once it is used.
    reset_tx: Option<oneshot::Sender<()>>,
}

impl Drop for HttpConnection {
    /// Closes the connection immediately, with a reset if a request is in flight.
    ///
    /// To the peer, an orderly close may be a half-close by a client that still waits for the response. A reset
    /// cancels the request, and discards what has not reached the peer yet.
    fn drop(&mut self) {
        match self.reset_tx.take() {
            // The receiver is gone if the connection has ended by itself.
            Some(reset_tx) if !self.sender.is_ready() => drop(reset_tx.send(())),
            _ => self.task.abort(),
        }
    }
}

impl HttpConnection {
    /// Connects to `address` within `time_limit`.
    pub async fn open(address: SocketAddr, time_limit: Duration) -> Result<HttpConnection> {
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(|_| ConnectionError::NotSent)?;
            set_socket_options(&stream).map_err(|_| ConnectionError::NotSent)?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_BUF_LEN);
            let head_limit = HeadLimit::default();
            // A response without a request is an error in any case.
            head_limit.end();
            let stream = HeadLimitedStream::new(stream, head_limit.clone());
            let (sender, mut connection) = builder
                .handshake(TokioIo::new(stream))
                .await
                .map_err(|_| ConnectionError::NotSent)?;
            let (reset_tx, reset_rx) = oneshot::channel();
            let task = tokio::spawn(async move {
                tokio::select! {
                    // A request that has not been written yet must not be written any more.
                    biased;
                    Ok(()) = reset_rx => {
                        let stream = connection.into_parts().io.into_inner().into_inner();
                        // Without this option, the connection is closed in order.
                        let _ = stream.set_zero_linger();
                    }
                    // Errors of the connection are reported by the requests on it.
                    _ = &mut connection => {}
                }
            });
            Ok(HttpConnection { sender, head_limit, task, reset_tx: Some(reset_tx) })
        };
        timeout(time_limit, connect).await.unwrap_or(Err(ConnectionError::NotSent))
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Waits until a request can be sent; false if the connection is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, req: Request<OutgoingBody>) -> Result<Response<Incoming>> {
        self.head_limit.begin();
        let response = self.sender.try_send_request(req).await.map_err(|mut e| {
            // The request is returned only if no part of it was written.
            if e.take_message().is_some() {
                ConnectionError::NotSent
            } else {
                ConnectionError::Broken
            }
        })?;
        self.head_limit.end();
        Ok(response)
    }

    /// Sends a request and reads the complete response within `time_limit`; its body may have up to
    /// `max_len` bytes.
    pub async fn call(
        &mut self,
        req: Request<OutgoingBody>,
        max_len: usize,
        time_limit: Duration,
    ) -> Result<Response<Bytes>> {
        let exchange = async {
            let response = self.send(req).await?;
            let (head, body) = response.into_parts();
            let body = collect_body(body, max_len).await?;
            Ok(Response::from_parts(head, body))
        };
        timeout(time_limit, exchange).await.unwrap_or(Err(ConnectionError::TimedOut))
    }
}

/// Reads a body of at most `max_len` bytes, and fails if no data arrives for `idle_timeout`.
///
/// A large body on a slow link may take longer than any reasonable timeout of the whole transfer,
/// which would abort it each time and restart it from the beginning.
pub async fn collect_body_with_idle_timeout(
    mut body: Incoming,
    max_len: usize,
    idle_timeout: Duration,
) -> Result<Bytes> {
    let mut read = BytesMut::new();
    loop {
        let frame =
            timeout(idle_timeout, body.frame()).await.map_err(|_| ConnectionError::TimedOut)?;
        let Some(frame) = frame else {
            return Ok(read.freeze());
        };
        let frame = frame.map_err(|_| ConnectionError::Broken)?;
        let bytes = frame.into_data().unwrap_or_default();
        if read.len() + bytes.len() > max_len {
            return Err(ConnectionError::Broken);
        }
        read.extend_from_slice(&bytes);
    }
}

/// Reads a body of at most `max_len` bytes.
pub async fn collect_body(body: Incoming, max_len: usize) -> Result<Bytes> {
    let collected = Limited::new(body, max_len).collect().await;
    collected.map(|body| body.to_bytes()).map_err(|_| ConnectionError::Broken)
}

/// Whether the end of the connection marks the end of a response, as it has neither a length nor chunks.
pub fn is_close_delimited<T>(response: &Response<T>) -> bool {
    let headers = response.headers();
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Builds a request to `path` at `address`; bodies of POST and PUT are declared as JSON.
pub fn build_request(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<OutgoingBody> {
    let mut req = Request::new(OutgoingBody::from(body));
    *req.method_mut() = method.parse().unwrap_or_default();
    *req.uri_mut() = path.parse().unwrap_or_default();
    let host = http::HeaderValue::from_str(&address.to_string());
    if let Ok(host) = host {
        req.headers_mut().insert(http::header::HOST, host);
    }
    if method == "POST" || method == "PUT" {
        let json = http::HeaderValue::from_static("application/json");
        req.headers_mut().insert(http::header::CONTENT_TYPE, json);
    }
    req
}
