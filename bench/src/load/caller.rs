//! A caller that sends streaming requests and reads the responses.

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

/// Result of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallResult {
    /// Whether the response is complete, up to its last token and the end marker.
    pub(super) is_whole: bool,
    /// Whether the request was refused with outcome `not-run`.
    pub(super) is_refused: bool,
    /// Time to the first bytes of the response body; zero if none came.
    pub(super) first_token: Duration,
    /// Time to the end of the request, complete or not.
    pub(super) took: Duration,
    /// When the request ended; `None` if its task failed.
    pub(super) ended: Option<Instant>,
    /// Attempts that the caller made; 0 for requests through an entry, which makes the attempts.
    pub(super) attempts: u32,
}

/// Creates a runtime that runs all callers on one thread.
pub(super) fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

/// Sends request `n` and reads the response to its end, for at most two seconds past `deadline`.
pub(super) async fn send_request(
    to: SocketAddr,
    key: &'static str,
    n: u64,
    tokens: u64,
    deadline: Duration,
) -> CallResult {
    let started = Instant::now();
    let mut result = CallResult::default();
    let exchange = exchange(to, key, n, tokens, deadline, started, &mut result);
    let is_complete = tokio::time::timeout(deadline + Duration::from_secs(2), exchange).await;
    result.is_whole = matches!(is_complete, Ok(Some(true)));
    result.took = started.elapsed();
    result.ended = Some(Instant::now());
    result
}

async fn exchange(
    to: SocketAddr,
    key: &'static str,
    n: u64,
    tokens: u64,
    deadline: Duration,
    started: Instant,
    result: &mut CallResult,
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
    result.is_refused = outcome.is_some_and(|outcome| outcome == "not-run");
    if response.status() != 200 {
        return Some(false);
    }
    let mut text = Vec::new();
    while let Some(frame) = response.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if text.is_empty() && !data.is_empty() {
            result.first_token = started.elapsed();
        }
        text.extend_from_slice(&data);
    }
    connection.abort();
    let last = format!("t{} ", tokens - 1);
    let has_last = text.windows(last.len()).any(|window| window == last.as_bytes());
    Some(has_last && text.ends_with(b"data: [DONE]\n\n"))
}
