//! Answers to callers: whole, streamed and resumed, or refused.

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
use super::dispatch::Opened;
use super::parse::Parsed;
use super::requests;
use super::requests::Held;
use crate::callers;
use crate::callers::AnswerBody;

/// Header that says whether the request ran; see [`Outcome`].
pub const OUTCOME_HEADER: &str = "mastichaven-outcome";

/// Header with the numbered code.
pub const CODE_HEADER: &str = "mastichaven-code";

/// Frames waiting for a slow caller.
const FRAME_RING: usize = 64;

/// Lets the last event of a broken stream leave before the connection is cut.
const BEFORE_CUT: Duration = Duration::from_millis(20);

/// Refuses a request; `outcome` is what is known of it.
pub(super) fn refuse(code: Code, outcome: Outcome, retry_after: Duration) -> Response<AnswerBody> {
    let mut response = Response::builder()
        .status(code.http_status())
        .header("content-type", "application/json")
        .header(OUTCOME_HEADER, outcome.as_str())
        .header(CODE_HEADER, code.number());
    if matches!(code.http_status(), 429 | 503) {
        response = response.header("retry-after", retry_after.as_secs().max(1));
    }
    response.body(callers::whole(error_text(code))).expect("these headers are valid")
}

fn error_text(code: Code) -> Bytes {
    let error = serde_json::json!({"code": code.number(), "message": code.text()});
    Bytes::from(format!("{}\n", serde_json::json!({ "error": error })))
}

/// An answer that is whole before its status goes out.
pub(super) fn whole(answer: FullResponse) -> Result<Response<AnswerBody>, Code> {
    Response::builder()
        .status(answer.status)
        .header("content-type", answer.content_type.as_str())
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(CODE_HEADER, Code::Ok.number())
        .body(callers::whole(answer.body))
        .map_err(|_| Code::Truncated)
}

/// An answer whose events are passed on as they come. A broken attempt is resumed on another
/// endpoint of the same version; where none is left, an error event says so and the connection is
/// cut, so that no caller takes the part for the whole.
pub(super) fn stream(
    shared: &Arc<Shared>,
    parsed: Parsed,
    opened: Opened,
    journey: requests::Journey,
    held: Held,
) -> Result<Response<AnswerBody>, Code> {
    let (tx, rx) = flume::bounded(FRAME_RING);
    let response = Response::builder()
        .status(opened.status)
        .header("content-type", opened.content_type.as_str())
        .header("cache-control", "no-store")
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(CODE_HEADER, Code::Ok.number())
        .body(callers::streamed(rx))
        .map_err(|_| Code::Truncated)?;
    let passing =
        Passing { shared: shared.clone(), parsed, journey, cutter: Default::default(), tx };
    tokio::spawn(async move {
        passing.run(opened).await;
        drop(held);
    });
    Ok(response)
}

type FrameSender = flume::Sender<io::Result<Frame<Bytes>>>;

struct Passing {
    shared: Arc<Shared>,
    parsed: Parsed,
    journey: requests::Journey,
    cutter: EventSplitter,
    tx: FrameSender,
}

impl Passing {
    async fn run(mut self, mut opened: Opened) {
        loop {
            let code = match self.pass(&mut opened).await {
                Ok(()) => return,
                Err(Code::CallerLeft) => return,
                Err(code) => code,
            };
            self.cutter.discard_partial_event();
            drop(opened);
            let tokens = self.cutter.tokens();
            match self.journey.open(&self.shared, &mut self.parsed, tokens).await {
                Ok(next) if next.is_stream() => opened = next,
                _ => return self.fail(code).await,
            }
        }
    }

    async fn pass(&mut self, opened: &mut Opened) -> Result<(), Code> {
        loop {
            let next = tokio::select! {
                next = opened.next() => next.map_err(|failure| failure.code)?,
                () = left(&self.tx) => return Err(Code::CallerLeft),
            };
            let Some(bytes) = next else {
                return if self.cutter.is_complete() { Ok(()) } else { Err(Code::Truncated) };
            };
            if let Some(events) = self.cutter.push(&bytes)? {
                let sent = self.tx.send_async(Ok(Frame::data(events))).await;
                sent.map_err(|_| Code::CallerLeft)?;
            }
        }
    }

    async fn fail(self, code: Code) {
        let text = String::from_utf8_lossy(&error_text(code)).into_owned();
        let event = Bytes::from(format!("event: error\ndata: {}\n\n", text.trim_end()));
        let _ = self.tx.send_async(Ok(Frame::data(event))).await;
        tokio::time::sleep(BEFORE_CUT).await;
        let cut = io::Error::new(io::ErrorKind::UnexpectedEof, code);
        let _ = self.tx.send_async(Err(cut)).await;
    }
}

/// How often a stream without news looks whether its caller is still there.
const LEFT_POLL: Duration = Duration::from_millis(50);

async fn left(tx: &FrameSender) {
    while !tx.is_disconnected() {
        tokio::time::sleep(LEFT_POLL).await;
    }
}
