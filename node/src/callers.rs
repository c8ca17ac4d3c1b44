//! The HTTP/1.1 server for callers. Each connection is a task; heads and bodies are limited in size
//! and time.
//!
//! A caller that is idle, sends its head or body slowly, or does not read its response occupies
//! only a task and a socket until its timeout, and does not block other callers.
//!
//! It uses hyper instead of `tiny_http` for the reasons in `docs/DECISIONS.md`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

pub use self::body::BodyLimits;
pub use self::body::read_body;
pub use self::write_timeout::WriteTimeout;
use crate::entry::Shared;
use crate::entry::requests;
use crate::entry::response::CODE_HEADER;
use crate::entry::response::OUTCOME_HEADER;
use crate::telemetry::Counter;

mod body;
mod write_timeout;

/// Result of starting the server.
pub type Result<T> = std::result::Result<T, Code>;

/// Body of a response: complete, or a stream of frames.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Maximum size of a request head in bytes; a larger one is refused with [`Code::TooLarge`].
pub const MAX_HEAD_LEN: usize = 16 << 10;

/// Maximum number of headers of a request; more are refused with [`Code::TooLarge`].
pub const MAX_HEADERS: usize = 64;

/// Size of a request head in bytes above which the connection is closed with a 431 without a code.
/// The margin over [`MAX_HEAD_LEN`] lets heads that are slightly too large get a numbered code.
const MAX_BUFFERED_HEAD_LEN: usize = 4 * MAX_HEAD_LEN;

/// Number of headers above which the connection is closed with a 431 without a code.
const MAX_PARSED_HEADERS: usize = 4 * MAX_HEADERS;

/// Time without progress in writing a response after which the caller is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time to send a request head after which the caller is disconnected.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections of callers; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 4_096;

/// Interval at which the thread checks whether the entry has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The listener for callers.
pub(crate) struct Listener {
    /// The bound address.
    pub(crate) address: SocketAddr,
    /// The server thread, which ends once every response is written.
    pub(crate) thread: thread::JoinHandle<()>,
}

/// Binds `address` and starts the server thread.
pub(crate) fn start(address: SocketAddr, shared: Arc<Shared>) -> Result<Listener> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|_| Code::CannotBind)?;
    let listener = runtime.block_on(TcpListener::bind(address)).map_err(|_| Code::CannotBind)?;
    let address = listener.local_addr().map_err(|_| Code::CannotBind)?;
    let thread = thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || runtime.block_on(accept(listener, shared)))
        .map_err(|_| Code::CannotBind)?;
    Ok(Listener { address, thread })
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let (shutdown_tx, shutdown_rx) = watch::channel(());
    while !shared.is_over() {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok(Ok((stream, _))) = tokio::time::timeout(STOP_POLL_INTERVAL, listener.accept()).await
        else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream, shared.clone(), shutdown_rx.clone(), permit));
    }
    drop(listener);
    drop(shutdown_tx);
    while permits.available_permits() < MAX_CONNECTIONS && !shared.is_aborting() {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Serves one connection until the caller closes it, or until the entry stops and the response in
/// progress is written. The endpoint may have completed long before a slow caller has read it.
async fn serve(
    stream: TcpStream,
    shared: Arc<Shared>,
    mut shutdown_rx: watch::Receiver<()>,
    permit: OwnedSemaphorePermit,
) {
    let service = service_fn(move |req| respond(shared.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_BUFFERED_HEAD_LEN)
        .max_headers(MAX_PARSED_HEADERS)
        .serve_connection(TokioIo::new(WriteTimeout::new(stream, WRITE_TIMEOUT)), service);
    let mut connection = pin!(connection);
    let is_done = tokio::select! {
        _ = connection.as_mut() => true,
        _ = shutdown_rx.changed() => false,
    };
    if !is_done {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    drop(permit);
}

async fn respond(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> std::result::Result<Response<ResponseBody>, Infallible> {
    let received_at = Instant::now();
    shared.telemetry.count(Counter::RequestsBegun);
    let response = requests::serve(&shared, req).await;
    record_response(&shared, &response, received_at.elapsed());
    Ok(response)
}

fn record_response(shared: &Shared, response: &Response<ResponseBody>, time_to_head: Duration) {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    let code = header(CODE_HEADER).and_then(|text| text.parse().ok()).and_then(Code::from_number);
    let outcome = header(OUTCOME_HEADER).and_then(Outcome::from_text);
    if let (Some(code), Some(outcome)) = (code, outcome) {
        shared.telemetry.answered(code, outcome, time_to_head);
    }
}

/// Whether the head of a request exceeds [`MAX_HEAD_LEN`] or [`MAX_HEADERS`].
pub(crate) fn is_head_too_large(req: &Request<Incoming>) -> bool {
    let target = req.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let headers = req.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    req.headers().len() > MAX_HEADERS || target + headers.sum::<usize>() > MAX_HEAD_LEN
}

/// Returns a complete body.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Returns a body that streams `frames`; an error among them aborts the connection, so that the
/// caller detects the truncation.
pub(crate) fn streaming_body(
    frames: flume::Receiver<std::io::Result<Frame<Bytes>>>,
) -> ResponseBody {
    BodyExt::boxed(StreamBody::new(frames.into_stream()))
}
