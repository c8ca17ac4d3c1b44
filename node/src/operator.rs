//! The operators' port: health, readiness, and a dump of the whole state.
//!
//! `GET /health` answers 200 while the process lives, `GET /ready` 200 while it takes new work and
//! 503 otherwise, `GET /dump` the state as JSON. The port is bound to loopback unless set
//! otherwise. On an agent the engine reads whole weights from `GET /weights/DIGEST`.
//!
//! hyper stands in for `tiny_http`, which ends an answer whose source breaks off as if it were
//! whole; `docs/DECISIONS.md` says more.

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

/// How often the thread looks whether the process has ended.
const POLL: Duration = Duration::from_millis(200);

/// Connections at most; more wait in the system's backlog.
const MAX_CONNECTIONS: usize = 64;

/// A connection that has not sent its head after this long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that has taken none of its answer for this long is closed. An engine may pause for
/// long while it moves weights into its accelerators.
const WRITE_LIMIT: Duration = Duration::from_secs(60);

/// Bytes of weights read at a time.
const READ_LEN: usize = 256 << 10;

/// Pieces of weights that wait for the reader.
const PIECE_RING: usize = 4;

/// How often gauges are sent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a known length, read as they are sent.
pub struct WholeBody {
    /// How many there are.
    pub len: u64,
    /// Where they come from; an error cuts the answer off.
    pub reader: Box<dyn Read + Send>,
}

/// What the port shows.
pub trait Operated: Send + Sync + 'static {
    /// Whether the process takes new work.
    fn is_ready(&self) -> bool;

    /// The whole state, without keys.
    fn dump(&self) -> Value;

    /// Sends what is shown as it stands to the metrics server; called every second.
    fn send_gauges(&self);

    /// The whole verified weights of a manifest, if this process has them.
    fn weights(&self, _manifest: Digest) -> Option<WholeBody> {
        None
    }

    /// Whether the process has ended.
    fn is_over(&self) -> bool;
}

/// Starts the port's thread and returns the address that is bound.
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
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut sent = Instant::now();
    while !operated.is_over() {
        if sent.elapsed() >= GAUGE_INTERVAL {
            operated.send_gauges();
            sent = Instant::now();
        }
        let accept = async {
            let place = places.clone().acquire_owned().await.ok()?;
            let (stream, _) = listener.accept().await.ok()?;
            Some((place, stream))
        };
        let Ok(Some((place, stream))) = tokio::time::timeout(POLL, accept).await else {
            continue;
        };
        let operated = operated.clone();
        tokio::spawn(async move {
            serve_connection(stream, operated).await;
            drop(place);
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
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(WriteTimeout::new(stream, WRITE_LIMIT)), service)
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

/// The weights with their length, so that an engine can tell when they end early.
fn weights(whole: WholeBody) -> Response<ResponseBody> {
    let (tx, rx) = flume::bounded(PIECE_RING);
    let len = whole.len;
    tokio::task::spawn_blocking(move || send_pieces(whole.reader, &tx));
    let body = BodyExt::boxed(StreamBody::new(rx.into_stream()));
    let mut response = response(200, body);
    response.headers_mut().insert("content-length", len.into());
    response
}

fn send_pieces(mut reader: Box<dyn Read + Send>, tx: &flume::Sender<io::Result<Frame<Bytes>>>) {
    let mut buf = vec![0; READ_LEN];
    loop {
        let piece = match reader.read(&mut buf) {
            Ok(0) => return,
            Ok(len) => Ok(Frame::data(Bytes::copy_from_slice(&buf[..len]))),
            Err(e) => Err(e),
        };
        let broken = piece.is_err();
        if tx.send(piece).is_err() || broken {
            return;
        }
    }
}
