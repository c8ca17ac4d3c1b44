//! The callers' port: HTTP/1.1, a task a request, heads and bodies bounded in size and time.
//!
//! A caller that sends its head or body slowly, does not read its answer, or is idle costs a task
//! and a socket until its bound, and nothing that others wait for.
//!
//! hyper stands in for `tiny_http` here; `docs/DECISIONS.md` says why.

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

pub use self::body::BodyBounds;
pub use self::body::read_body;
pub use self::stall::WriteStall;
use crate::entry::Shared;
use crate::entry::answer::CODE_HEADER;
use crate::entry::answer::OUTCOME_HEADER;
use crate::entry::requests;
use crate::telemetry::Counter;

mod body;
mod stall;

/// Result of starting the port.
pub type Result<T> = std::result::Result<T, Code>;

/// An answer's body: whole, or frames as they come.
pub type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Bytes of a request's head at most; more is refused with [`Code::TooLarge`].
pub const MAX_HEAD_LEN: usize = 16 << 10;

/// Header lines of a request at most; more are refused with [`Code::TooLarge`].
pub const MAX_HEADERS: usize = 64;

/// Bytes of a head that are read before the connection is closed with a bare 431: room to answer
/// heads over [`MAX_HEAD_LEN`] with a numbered code.
const MAX_READ_LEN: usize = 4 * MAX_HEAD_LEN;

/// Header lines that are read before the connection is closed with a bare 431.
const MAX_READ_HEADERS: usize = 4 * MAX_HEADERS;

/// A caller that has taken none of its answer for this long is dropped.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// A caller that has not sent its head after this long is dropped.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections of callers at most; the rest wait in the system's backlog.
const MAX_CONNECTIONS: usize = 4_096;

/// How often the thread looks whether the entry has ended.
const POLL: Duration = Duration::from_millis(100);

/// The port: where it is bound, and its thread, which ends once every answer is written.
pub(crate) struct Port {
    /// The address.
    pub(crate) bound: SocketAddr,
    /// The thread.
    pub(crate) thread: thread::JoinHandle<()>,
}

/// Starts the port's thread.
pub(crate) fn start(address: SocketAddr, shared: Arc<Shared>) -> Result<Port> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|_| Code::CannotBind)?;
    let listener = runtime.block_on(TcpListener::bind(address)).map_err(|_| Code::CannotBind)?;
    let bound = listener.local_addr().map_err(|_| Code::CannotBind)?;
    let thread = thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || runtime.block_on(accept(listener, shared)))
        .map_err(|_| Code::CannotBind)?;
    Ok(Port { bound, thread })
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let (closing, closed) = watch::channel(());
    while !shared.is_over() {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok(Ok((stream, _))) = tokio::time::timeout(POLL, listener.accept()).await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream, shared.clone(), closed.clone(), place));
    }
    drop(listener);
    drop(closing);
    while places.available_permits() < MAX_CONNECTIONS && !shared.is_cut_off() {
        tokio::time::sleep(POLL).await;
    }
}

/// Serves one connection until the caller is done, or until the entry ends and the answer that is
/// under way has been written: an endpoint may have finished long before a slow caller has read.
async fn serve(
    stream: TcpStream,
    shared: Arc<Shared>,
    mut closed: watch::Receiver<()>,
    place: OwnedSemaphorePermit,
) {
    let service = service_fn(move |req| answer(shared.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_READ_LEN)
        .max_headers(MAX_READ_HEADERS)
        .serve_connection(TokioIo::new(WriteStall::new(stream, WRITE_LIMIT)), service);
    let mut connection = pin!(connection);
    let is_done = tokio::select! {
        _ = connection.as_mut() => true,
        _ = closed.changed() => false,
    };
    if !is_done {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    drop(place);
}

async fn answer(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> std::result::Result<Response<AnswerBody>, Infallible> {
    let begun = Instant::now();
    shared.telemetry.count(Counter::RequestsBegun);
    let response = requests::serve(&shared, req).await;
    count(&shared, &response, begun.elapsed());
    Ok(response)
}

fn count(shared: &Shared, response: &Response<AnswerBody>, to_head: Duration) {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    let code = header(CODE_HEADER).and_then(|text| text.parse().ok()).and_then(Code::from_number);
    let outcome = header(OUTCOME_HEADER).and_then(Outcome::from_text);
    if let (Some(code), Some(outcome)) = (code, outcome) {
        shared.telemetry.answered(code, outcome, to_head);
    }
}

/// Whether a request's head is over [`MAX_HEAD_LEN`] or [`MAX_HEADERS`].
pub(crate) fn is_head_too_large(req: &Request<Incoming>) -> bool {
    let target = req.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let headers = req.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    req.headers().len() > MAX_HEADERS || target + headers.sum::<usize>() > MAX_HEAD_LEN
}

/// A body that is whole.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A body whose frames come over a ring; an error on the ring cuts the answer off visibly.
pub(crate) fn streamed(frames: flume::Receiver<std::io::Result<Frame<Bytes>>>) -> AnswerBody {
    BodyExt::boxed(StreamBody::new(frames.into_stream()))
}
