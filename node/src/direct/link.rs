//! HTTP/1.1 connections to other processes: endpoints, the store, an origin.
//!
//! A connection may fall silent for good without a reset when something between the two ends has lost
//! track of it. Short keep-alive probes and a bound on unacknowledged bytes make the kernel notice
//! within [`SILENT_AFTER`], so that whoever waits gets an error in place of nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time after which a silent connection breaks off: one second to the first probe, then two probes.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Bytes that `hyper` buffers of a connection at most.
const MAX_BUF_LEN: usize = 64 << 10;

/// Result of a call over a link.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Why a call over a link failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection could be made, or the request was never written: the peer has seen nothing.
    NotSent,
    /// The connection broke off after the request was sent; the peer may have acted on it.
    Broken,
    /// No answer came in time; the peer may have acted on the request.
    TimedOut,
}

impl LinkError {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkError::NotSent => "not sent",
            LinkError::Broken => "broken",
            LinkError::TimedOut => "timed out",
        }
    }
}

/// Sets the options that every connection of the direct path has.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENT_AFTER))
}

/// One connection, on which one request is under way at a time.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    /// Closes the connection at once, whatever is still under way on it.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Link> {
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(|_| LinkError::NotSent)?;
            prepare(&stream).map_err(|_| LinkError::NotSent)?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_BUF_LEN);
            let (sender, connection) =
                builder.handshake(TokioIo::new(stream)).await.map_err(|_| LinkError::NotSent)?;
            let task = tokio::spawn(async move {
                // How the connection ended shows in the requests on it.
                let _ = connection.await;
            });
            Ok(Link { sender, task })
        };
        timeout(within, connect).await.unwrap_or(Err(LinkError::NotSent))
    }

    /// Whether another request may be sent on it.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Waits until another request may be sent; false if the connection has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.sender.try_send_request(req).await.map_err(|mut e| {
            // The request comes back only if none of it was written.
            if e.take_message().is_some() { LinkError::NotSent } else { LinkError::Broken }
        })
    }

    /// Sends a request and reads its whole answer of at most `max_len` bytes.
    pub async fn call(
        &mut self,
        req: Request<Full<Bytes>>,
        max_len: usize,
        within: Duration,
    ) -> Result<Response<Bytes>> {
        let answer = async {
            let response = self.send(req).await?;
            let (head, body) = response.into_parts();
            let body = whole(body, max_len).await?;
            Ok(Response::from_parts(head, body))
        };
        timeout(within, answer).await.unwrap_or(Err(LinkError::TimedOut))
    }
}

/// Reads a whole body of at most `max_len` bytes that pauses for at most `pause`.
///
/// A large body on a narrow link takes longer than any answer should. A bound on the whole would break
/// it off each time, to fetch it again from the start.
pub async fn whole_steadily(mut body: Incoming, max_len: usize, pause: Duration) -> Result<Bytes> {
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(pause, body.frame()).await.map_err(|_| LinkError::TimedOut)?;
        let Some(frame) = frame else {
            return Ok(read.freeze());
        };
        let frame = frame.map_err(|_| LinkError::Broken)?;
        let bytes = frame.into_data().unwrap_or_default();
        if read.len() + bytes.len() > max_len {
            return Err(LinkError::Broken);
        }
        read.extend_from_slice(&bytes);
    }
}

/// Reads a whole body of at most `max_len` bytes.
pub async fn whole(body: Incoming, max_len: usize) -> Result<Bytes> {
    let collected = Limited::new(body, max_len).collect().await;
    collected.map(|body| body.to_bytes()).map_err(|_| LinkError::Broken)
}

/// A request to `path` at `address`.
pub fn request(method: &str, address: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
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
