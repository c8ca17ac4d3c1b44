//! HTTP client of a caller, and the reading of replies into the form that the history records.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use mastichaven_core::Outcome;
use mastichaven_core::ids::Digest;
use mastichaven_proof::Answer;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::TcpStream;

use crate::fleet::CUSTOMER_KEY;

/// Longer than every deadline of the configuration, so that it expires only for a reply that never
/// arrives.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A streamed completion of this many tokens; idempotent.
    Lookup(u32),
    /// A booking under an idempotency key; not idempotent.
    Booking,
}

/// Blocking HTTP client of one caller.
pub struct Client {
    runtime: tokio::runtime::Runtime,
}

impl Client {
    /// Creates a client that drives its connections on a runtime of its own.
    pub fn new() -> std::io::Result<Client> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Client { runtime })
    }

    /// Sends one request on a new connection and reads the whole reply. `work` identifies the request:
    /// it is the prompt of a lookup, and the body and idempotency key of a booking.
    pub fn send(&self, entry: SocketAddr, kind: RequestKind, work: &str) -> Answer {
        self.runtime.block_on(async {
            let sent = tokio::time::timeout(REPLY_TIMEOUT, send(entry, kind, work)).await;
            sent.unwrap_or(Answer::Cut { answering: false })
        })
    }
}

async fn send(entry: SocketAddr, kind: RequestKind, work: &str) -> Answer {
    let Ok(stream) = TcpStream::connect(entry).await else {
        return Answer::NotTaken;
    };
    let cut = Answer::Cut { answering: false };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return cut;
    };
    let connection = tokio::spawn(connection);
    let answer = match sender.send_request(build_request(entry, kind, work)).await {
        Ok(response) => read_reply(response, kind).await,
        Err(_) => cut,
    };
    connection.abort();
    answer
}

fn build_request(entry: SocketAddr, kind: RequestKind, work: &str) -> Request<Full<Bytes>> {
    let (path, body) = match kind {
        RequestKind::Lookup(tokens) => {
            let body = json!({"model": "rota", "stream": true, "max_tokens": tokens,
                "messages": [{"role": "user", "content": work}]});
            ("/v1/chat/completions", body.to_string())
        }
        RequestKind::Booking => ("/book", work.to_owned()),
    };
    let mut request = Request::post(path)
        .header("host", entry.to_string())
        .header("content-type", "application/json")
        .header("mastichaven-key", CUSTOMER_KEY);
    if kind == RequestKind::Booking {
        request = request.header("idempotency-key", work);
    }
    request.body(Full::new(Bytes::from(body))).expect("all headers of the request are valid")
}

async fn read_reply(response: Response<Incoming>, kind: RequestKind) -> Answer {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let code = header("mastichaven-code").and_then(|text| text.parse().ok()).unwrap_or(0);
    let outcome = header("mastichaven-outcome").and_then(parse_outcome);
    let status = response.status().as_u16();
    let Ok(body) = response.into_body().collect().await else {
        return Answer::Cut { answering: true };
    };
    let Some(outcome) = outcome else {
        return Answer::Cut { answering: true };
    };
    let mut reply = Reply { outcome, code, ..Reply::default() };
    if status == 200 {
        match kind {
            RequestKind::Lookup(_) => reply.parse_stream(&body.to_bytes()),
            RequestKind::Booking => reply.parse_booking(&body.to_bytes()),
        }
    }
    reply.into_answer()
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    [Outcome::Ran, Outcome::NotRun, Outcome::Unknown].into_iter().find(|o| o.as_str() == text)
}

/// Parts of a reply that the history records.
struct Reply {
    outcome: Outcome,
    code: u16,
    about: BTreeSet<SmolStr>,
    parts: Vec<u32>,
    versions: BTreeSet<Digest>,
    result: Option<u64>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply {
            outcome: Outcome::Unknown,
            code: 0,
            about: BTreeSet::new(),
            parts: Vec::new(),
            versions: BTreeSet::new(),
            result: None,
        }
    }
}

impl Reply {
    fn parse_stream(&mut self, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            let Ok(event) = serde_json::from_str::<Value>(data) else {
                continue;
            };
            let content = event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            let part = content.trim().strip_prefix('t');
            self.parts.extend(part.and_then(|part| part.parse::<u32>().ok()));
            self.versions.extend(event["version"].as_str().and_then(Digest::from_hex));
            self.about.extend(event["prompt"].as_str().map(SmolStr::new));
        }
    }

    fn parse_booking(&mut self, body: &[u8]) {
        if let Ok(event) = serde_json::from_slice::<Value>(body) {
            self.about.extend(event["booked"].as_str().map(SmolStr::new));
            self.result = event["run"].as_u64();
        }
    }

    fn into_answer(self) -> Answer {
        // A reply that names two requests must not be credited to either.
        let about = if self.about.len() == 1 { self.about.into_iter().next() } else { None };
        Answer::Final {
            outcome: self.outcome,
            code: self.code,
            about,
            parts: self.parts,
            versions: self.versions.into_iter().collect(),
            result: self.result,
        }
    }
}

/// Returns the request identity that the reply to `work` must name: engines return the digest of the
/// whole prompt, and the plain service returns the body.
pub fn expected_about(kind: RequestKind, work: &str) -> SmolStr {
    match kind {
        RequestKind::Lookup(_) => Digest::of(format!("user\n{work}\n").as_bytes()).to_hex().into(),
        RequestKind::Booking => work.into(),
    }
}
