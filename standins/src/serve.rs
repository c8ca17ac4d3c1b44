//! A small HTTP server with one thread per request that runs until the stand-in is dropped.
//!
//! It uses hyper rather than `tiny_http`, because a stand-in must be able to close a connection in
//! the middle of an answer; `tiny_http` keeps the connection open when a handler gives up.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;

/// Interval at which the server checks whether it has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Upper limit of a request body in bytes.
const MAX_BODY_LEN: usize = 8 << 20;

/// Frames of an answer that are queued for a slow reader before the writer blocks.
const MAX_QUEUED_FRAMES: usize = 16;

type AnswerBody = BoxBody<Bytes, io::Error>;

/// A running server; dropping it stops it and closes its connections.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    accept_thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Flag that stops the server within [`POLL_INTERVAL`]: it first refuses connections, then closes those that
    /// are open, as when its process ends.
    pub(crate) fn stop_flag(&self) -> Arc<AtomicBool> {
        self.is_stopped.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
        if let Some(accept_thread) = self.accept_thread.take() {
            let _ = accept_thread.join();
        }
    }
}

/// A request and the channel for its answer; dropping it unanswered closes the connection.
pub(crate) struct Req {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) body: Bytes,
    /// While set, answers are lost and the connection is closed.
    pub(crate) is_partitioned: Option<Arc<AtomicBool>>,
    headers: HeaderMap,
    response_tx: flume::Sender<Response<AnswerBody>>,
}

impl Req {
    /// Returns the value of a header; `None` if it is missing or not text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the raw value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Whether the client has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.response_tx.is_disconnected()
    }

    /// Answers with a status, headers and a complete body.
    pub(crate) fn respond(self, status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) {
        if self.is_partitioned.as_ref().is_some_and(|flag| flag.load(Ordering::Acquire)) {
            return;
        }
        let body = Full::new(body.into()).map_err(|error| match error {}).boxed();
        let _ = self.response_tx.send(build_response(status, headers, body));
    }

    /// Answers 200 with a value as JSON.
    pub(crate) fn respond_json<T: Serialize>(self, value: &T) {
        let mut body = serde_json::to_vec(value).expect("stand-ins encode plain values");
        body.push(b'\n');
        self.respond(200, &[("content-type", "application/json")], body);
    }

    /// Sends status and headers; the returned writer sends the body.
    pub(crate) fn stream(self, status: u16, headers: &[(&str, &str)]) -> BodyWriter {
        self.stream_framed(status, headers, Framing::Chunked)
    }

    /// Sends status and headers, with `framing` for the body that the returned writer sends.
    pub(crate) fn stream_framed(
        self,
        status: u16,
        headers: &[(&str, &str)],
        framing: Framing,
    ) -> BodyWriter {
        let (tx, rx) = flume::bounded(MAX_QUEUED_FRAMES);
        let body = BodyExt::boxed(StreamBody::new(rx.into_stream()));
        let mut response = build_response(status, headers, body);
        if framing == Framing::CloseDelimited {
            // hyper sends the body without chunks only in this version.
            *response.version_mut() = Version::HTTP_10;
        }
        let _ = self.response_tx.send(response);
        BodyWriter { tx, is_complete: false }
    }
}

/// How the end of a streamed body is marked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By a last chunk.
    #[default]
    Chunked,
    /// By the end of the connection.
    CloseDelimited,
}

/// Writer of a streamed body; dropping it before [`BodyWriter::finish`] breaks the connection.
pub(crate) struct BodyWriter {
    tx: flume::Sender<io::Result<Frame<Bytes>>>,
    is_complete: bool,
}

impl BodyWriter {
    /// Sends bytes immediately. Returns false if the client has disconnected.
    pub(crate) fn send(&self, bytes: impl Into<Bytes>) -> bool {
        self.tx.send(Ok(Frame::data(bytes.into()))).is_ok()
    }

    /// Sends bytes. Returns false if the client has disconnected or they are not taken within `time_limit`.
    pub(crate) fn send_within(&self, bytes: impl Into<Bytes>, time_limit: Duration) -> bool {
        self.tx.send_timeout(Ok(Frame::data(bytes.into())), time_limit).is_ok()
    }

    /// Whether the client has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.tx.is_disconnected()
    }

    /// Ends the body as complete.
    pub(crate) fn finish(mut self) {
        self.is_complete = true;
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        if !self.is_complete {
            let _ = self.tx.send(Err(io::ErrorKind::ConnectionReset.into()));
        }
    }
}

/// Keeps an answer open without sending for `duration`, or until the client disconnects.
pub(crate) fn hold_open(body: &BodyWriter, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end && !body.is_disconnected() {
        thread::sleep(POLL_INTERVAL);
    }
}

fn build_response(status: u16, headers: &[(&str, &str)], body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(body).expect("stand-ins send valid headers")
}

/// Binds `address` and calls `answer` for each request on a thread of its own.
pub(crate) fn start(
    address: &str,
    answer: impl Fn(Req) + Send + Sync + 'static,
) -> io::Result<Server> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(TcpListener::bind(address))?;
    let address = listener.local_addr()?;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let stopped = is_stopped.clone();
    let accept_thread = thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || runtime.block_on(accept(listener, Arc::new(answer), &stopped)))?;
    Ok(Server { address, is_stopped, accept_thread: Some(accept_thread) })
}

async fn accept<A: Fn(Req) + Send + Sync + 'static>(
    listener: TcpListener,
    answer: Arc<A>,
    is_stopped: &AtomicBool,
) {
    while !is_stopped.load(Ordering::Acquire) {
        let Ok(Ok((stream, _))) = tokio::time::timeout(POLL_INTERVAL, listener.accept()).await
        else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| serve(answer.clone(), req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn serve<A: Fn(Req) + Send + Sync + 'static>(
    answer: Arc<A>,
    req: Request<Incoming>,
) -> io::Result<Response<AnswerBody>> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_LEN).collect().await.map_err(io::Error::other)?;
    let (tx, rx) = flume::bounded(1);
    let req = Req {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body: body.to_bytes(),
        is_partitioned: None,
        headers: head.headers,
        response_tx: tx,
    };
    thread::Builder::new().spawn(move || answer(req))?;
    rx.recv_async().await.map_err(|_| io::ErrorKind::ConnectionReset.into())
}

/// Returns `faults` with the fields of the JSON object `change` replaced. Returns `None` if
/// `change` is malformed or names an unknown field.
pub(crate) fn with_changes<T: DeserializeOwned + Serialize>(
    faults: &T,
    change: &[u8],
) -> Option<T> {
    let change: Value = serde_json::from_slice(change).ok()?;
    let mut value = serde_json::to_value(faults).ok()?;
    let fields = value.as_object_mut()?;
    for (key, new) in change.as_object()? {
        *fields.get_mut(key)? = new.clone();
    }
    serde_json::from_value(value).ok()
}

/// Serializes durations as whole milliseconds.
pub(crate) mod millis {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub(crate) fn serialize<S: Serializer>(duration: &Duration, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }

    pub(crate) fn deserialize<'a, D: Deserializer<'a>>(d: D) -> Result<Duration, D::Error> {
        u64::deserialize(d).map(Duration::from_millis)
    }
}

/// A token bucket that limits the call rate; the caller passes rate and clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket, which admits the calls of one second as a burst.
    pub(crate) fn full(now: Instant) -> TokenBucket {
        TokenBucket { tokens: f64::MAX, refilled_at: now }
    }

    /// Takes one token. Returns false if the call exceeds `rate` per second.
    pub(crate) fn try_take(&mut self, rate: f64, now: Instant) -> bool {
        let refilled = now.saturating_duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refilled).min(rate.max(1.0));
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
