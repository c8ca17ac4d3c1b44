//! A caller of streamed answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::fleet::Result;

/// What came of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answer {
    /// The whole answer came.
    pub(super) is_whole: bool,
    /// It was refused with `not-run`.
    pub(super) is_refused: bool,
    /// Time to the first token.
    pub(super) first_token: Duration,
    /// Time to the end.
    pub(super) took: Duration,
    /// When it ended.
    pub(super) ended: Option<Instant>,
    /// Attempts, where the caller makes them itself.
    pub(super) attempts: u32,
}

/// A runtime for many callers on one thread.
pub(super) fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

/// Sends request `n` and reads its answer to the end.
pub(super) async fn ask(
    to: SocketAddr,
    key: &'static str,
    n: u64,
    tokens: u64,
    deadline: Duration,
) -> Answer {
    let begun = Instant::now();
    let mut answer = Answer::default();
    let reading = read(to, key, n, tokens, deadline, begun, &mut answer);
    let whole = tokio::time::timeout(deadline + Duration::from_secs(2), reading).await;
    answer.is_whole = matches!(whole, Ok(Some(true)));
    answer.took = begun.elapsed();
    answer.ended = Some(Instant::now());
    answer
}

async fn read(
    to: SocketAddr,
    key: &'static str,
    n: u64,
    tokens: u64,
    deadline: Duration,
    begun: Instant,
    answer: &mut Answer,
) -> Option<bool> {
    let stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::spawn(connection);
    let body = format!(
        "{{\"model\":\"rota\",\"stream\":true,\"max_tokens\":{tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"rota draft {n}\"}}]}}"
    );
    let request = Request::post("/v1/chat/completions")
        .header("host", "entry")
        .header("content-type", "application/json")
        .header("mastichaven-key", key)
        .header("mastichaven-deadline-ms", deadline.as_millis().to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let mut response = sender.send_request(request).await.ok()?;
    let outcome = response.headers().get("mastichaven-outcome");
    answer.is_refused = outcome.is_some_and(|outcome| outcome == "not-run");
    if response.status() != 200 {
        return Some(false);
    }
    let mut text = Vec::new();
    while let Some(frame) = response.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if text.is_empty() && !data.is_empty() {
            answer.first_token = begun.elapsed();
        }
        text.extend_from_slice(&data);
    }
    connection.abort();
    let last = format!("t{} ", tokens - 1);
    let has_last = text.windows(last.len()).any(|window| window == last.as_bytes());
    Some(has_last && text.ends_with(b"data: [DONE]\n\n"))
}
