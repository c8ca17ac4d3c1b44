//! Responses to callers: full, streamed with resumption, or errors.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Frame;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::run::FullResponse;
use mastichaven_core::stream::EventSplitter;

use super::Shared;
use super::dispatch::OpenResponse;
use super::parse::ParsedRequest;
use super::requests;
use super::requests::RequestGuard;
use crate::callers;
use crate::callers::ResponseBody;

/// Header that states whether the request ran; see [`Outcome`].
pub const OUTCOME_HEADER: &str = "mastichaven-outcome";

/// Header with the number of the [`Code`].
pub const CODE_HEADER: &str = "mastichaven-code";

/// Maximum number of frames queued for a slow caller.
const FRAME_QUEUE_LEN: usize = 64;

/// Delay between the error event of a truncated stream and the close of the connection, so that the
/// event is still sent.
const ERROR_EVENT_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Returns an error response; `outcome` states whether the request ran. `retry_after` is sent only
/// with the statuses 429 and 503.
pub(super) fn error(code: Code, outcome: Outcome, retry_after: Duration) -> Response<ResponseBody> {
    let mut response = Response::builder()
        .status(code.http_status())
        .header("content-type", "application/json")
        .header(OUTCOME_HEADER, outcome.as_str())
        .header(CODE_HEADER, code.number());
    if matches!(code.http_status(), 429 | 503) {
        response = response.header("retry-after", retry_after.as_secs().max(1));
    }
    response.body(callers::full_body(error_text(code))).expect("these headers are valid")
}

fn error_text(code: Code) -> Bytes {
    let error = serde_json::json!({"code": code.number(), "message": code.text()});
    Bytes::from(format!("{}\n", serde_json::json!({ "error": error })))
}

/// Returns a response whose body is complete before its status is sent.
pub(super) fn full(response: FullResponse) -> Result<Response<ResponseBody>, Code> {
    Response::builder()
        .status(response.status)
        .header("content-type", response.content_type.as_str())
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(CODE_HEADER, Code::Ok.number())
        .body(callers::full_body(response.body))
        .map_err(|_| Code::Truncated)
}

/// Returns a response whose events are forwarded as they arrive. A failed attempt is resumed on
/// another endpoint of the same version. If none is available, an error event is sent and the
/// connection is closed without a proper end, so that the caller cannot mistake the truncated
/// response for a complete one.
pub(super) fn stream(
    shared: &Arc<Shared>,
    parsed: ParsedRequest,
    opened: OpenResponse,
    retryable: requests::RetryableRequest,
    guard: RequestGuard,
) -> Result<Response<ResponseBody>, Code> {
    let (tx, rx) = flume::bounded(FRAME_QUEUE_LEN);
    let response = Response::builder()
        .status(opened.status)
        .header("content-type", opened.content_type.as_str())
        .header("cache-control", "no-store")
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(CODE_HEADER, Code::Ok.number())
        .body(callers::streaming_body(rx))
        .map_err(|_| Code::Truncated)?;
    let forwarder = StreamForwarder {
        shared: shared.clone(),
        parsed,
        retryable,
        splitter: Default::default(),
        tx,
    };
    tokio::spawn(async move {
        forwarder.run(opened).await;
        drop(guard);
    });
    Ok(response)
}

type FrameSender = flume::Sender<io::Result<Frame<Bytes>>>;

struct StreamForwarder {
    shared: Arc<Shared>,
    parsed: ParsedRequest,
    retryable: requests::RetryableRequest,
    splitter: EventSplitter,
    tx: FrameSender,
}

impl StreamForwarder {
    async fn run(mut self, mut opened: OpenResponse) {
        loop {
            let code = match self.forward(&mut opened).await {
                Ok(()) => return,
                Err(Code::CallerLeft) => return,
                Err(code) => code,
            };
            self.splitter.discard_partial_event();
            drop(opened);
            let tokens = self.splitter.tokens();
            match self.retryable.open(&self.shared, &mut self.parsed, tokens).await {
                Ok(next) if next.is_stream() => opened = next,
                _ => return self.fail(code).await,
            }
        }
    }

    async fn forward(&mut self, opened: &mut OpenResponse) -> Result<(), Code> {
        loop {
            let next = tokio::select! {
                next = opened.next() => next.map_err(|failure| failure.code)?,
                () = wait_for_disconnect(&self.tx) => return Err(Code::CallerLeft),
            };
            let Some(bytes) = next else {
                return if self.splitter.is_complete() { Ok(()) } else { Err(Code::Truncated) };
            };
            if let Some(events) = self.splitter.push(&bytes)? {
                let sent = self.tx.send_async(Ok(Frame::data(events))).await;
                sent.map_err(|_| Code::CallerLeft)?;
            }
        }
    }

    async fn fail(self, code: Code) {
        let text = String::from_utf8_lossy(&error_text(code)).into_owned();
        let event = Bytes::from(format!("event: error\ndata: {}\n\n", text.trim_end()));
        let _ = self.tx.send_async(Ok(Frame::data(event))).await;
        tokio::time::sleep(ERROR_EVENT_FLUSH_DELAY).await;
        let truncated = io::Error::new(io::ErrorKind::UnexpectedEof, code);
        let _ = self.tx.send_async(Err(truncated)).await;
    }
}

/// Interval at which an idle stream checks whether its caller has disconnected.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn wait_for_disconnect(tx: &FrameSender) {
    while !tx.is_disconnected() {
        tokio::time::sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}
