//! The operators' HTTP port: health, readiness and a state dump.
//!
//! `GET /health` returns 200 while the process runs, `GET /ready` 200 while it accepts requests and
//! 503 otherwise, and `GET /dump` the state as JSON. The port is bound to loopback by default. On an
//! agent, the engine reads complete weights from `GET /weights/DIGEST`.
//!
//! The server is hyper rather than `tiny_http`, which ends a response whose source fails as if it
//! were complete; see `docs/DECISIONS.md`.

use std::convert::Infallible;
use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::callers;
use crate::callers::ResponseBody;
use crate::callers::WriteTimeout;

/// Result of starting the port.
pub type Result<T> = std::result::Result<T, Code>;

/// Interval at which the thread checks whether the process has stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Further connections wait in the system's accept backlog.
const MAX_CONNECTIONS: usize = 64;

/// Time for a client to send its request head before the connection is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that accepts no bytes for this long is closed. The limit is long because an engine
/// pauses while it copies weights to its accelerators.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Buffer size for reading weights.
const BLOCK_BYTES: usize = 256 << 10;

/// Buffered blocks of weights per response.
const MAX_BUFFERED_BLOCKS: usize = 4;

/// Interval between two calls of [`Operated::send_gauges`].
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// A body of known length, read while it is sent.
pub struct SizedBody {
    /// Length in bytes, sent as `content-length`.
    pub len: u64,
    /// Source of the bytes; a read error aborts the response.
    pub reader: Box<dyn Read + Send>,
}

/// State of a process that the port exposes.
pub trait Operated: Send + Sync + 'static {
    /// Whether the process accepts new requests.
    fn is_ready(&self) -> bool;

    /// The complete state as JSON, without any key material.
    fn dump(&self) -> Value;

    /// Sends the gauges to the metrics server; called every second.
    fn send_gauges(&self);

    /// The complete, verified weights of a manifest, if this process stores them.
    fn weights(&self, _manifest: Digest) -> Option<SizedBody> {
        None
    }

    /// Whether the process has stopped; the port's thread then ends.
    fn is_over(&self) -> bool;
}

/// Starts the port's thread and returns the bound address.
pub fn start(address: SocketAddr, operated: Arc<dyn Operated>) -> Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|_| Code::CannotBind)?;
    let listener = runtime.block_on(TcpListener::bind(address)).map_err(|_| Code::CannotBind)?;
    let bound = listener.local_addr().map_err(|_| Code::CannotBind)?;
    thread::Builder::new()
        .name("operator".to_owned())
        .spawn(move || runtime.block_on(serve(listener, operated)))
        .map_err(|_| Code::CannotBind)?;
    Ok(bound)
}

async fn serve(listener: TcpListener, operated: Arc<dyn Operated>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut gauges_sent_at = Instant::now();
    while !operated.is_over() {
        if gauges_sent_at.elapsed() >= GAUGE_INTERVAL {
            operated.send_gauges();
            gauges_sent_at = Instant::now();
        }
        let accept = async {
            let permit = permits.clone().acquire_owned().await.ok()?;
            let (stream, _) = listener.accept().await.ok()?;
            Some((permit, stream))
        };
        let Ok(Some((permit, stream))) = tokio::time::timeout(STOP_CHECK_INTERVAL, accept).await
        else {
            continue;
        };
        let operated = operated.clone();
        tokio::spawn(async move {
            serve_connection(stream, operated).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, operated: Arc<dyn Operated>) {
    let service = service_fn(move |req| {
        let response = answer(&req, &*operated);
        async { Ok::<_, Infallible>(response) }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(WriteTimeout::new(stream, WRITE_TIMEOUT)), service)
        .await;
}

fn answer(req: &Request<Incoming>, operated: &dyn Operated) -> Response<ResponseBody> {
    if *req.method() != Method::GET {
        return text(405, "only GET is allowed here\n".to_owned());
    }
    match req.uri().path() {
        "/health" => text(200, "alive\n".to_owned()),
        "/ready" if operated.is_ready() => text(200, "ready\n".to_owned()),
        "/ready" => text(503, "not ready\n".to_owned()),
        "/dump" => text(200, format!("{:#}\n", operated.dump())),
        path => {
            let digest = path.strip_prefix("/weights/").and_then(Digest::from_hex);
            let found = digest.and_then(|digest| operated.weights(digest));
            found.map_or_else(|| text(404, "nothing here\n".to_owned()), weights)
        }
    }
}

fn text(status: u16, text: String) -> Response<ResponseBody> {
    response(status, callers::full_body(text.into()))
}

fn response(status: u16, body: ResponseBody) -> Response<ResponseBody> {
    let response = Response::builder().status(status).body(body);
    response.expect("a status alone makes a valid head")
}

/// Sends the weights with their length, so that an engine detects a truncated response.
fn weights(sized: SizedBody) -> Response<ResponseBody> {
    let (tx, rx) = flume::bounded(MAX_BUFFERED_BLOCKS);
    let len = sized.len;
    tokio::task::spawn_blocking(move || send_blocks(sized.reader, &tx));
    let body = BodyExt::boxed(StreamBody::new(rx.into_stream()));
    let mut response = response(200, body);
    response.headers_mut().insert("content-length", len.into());
    response
}

fn send_blocks(mut reader: Box<dyn Read + Send>, tx: &flume::Sender<io::Result<Frame<Bytes>>>) {
    let mut buf = vec![0; BLOCK_BYTES];
    loop {
        let block = match reader.read(&mut buf) {
            Ok(0) => return,
            Ok(len) => Ok(Frame::data(Bytes::copy_from_slice(&buf[..len]))),
            Err(e) => Err(e),
        };
        let failed = block.is_err();
        if tx.send(block).is_err() || failed {
            return;
        }
    }
}
