//! A caller over HTTP that records what it sends and what it gets.

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

/// How long a caller waits for one answer. Far above every deadline of the configuration, so that
/// only an answer that never comes runs into it.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A streamed completion of this many tokens; idempotent.
    Lookup(u32),
    /// A booking under an idempotency key; not idempotent.
    Booking,
}

/// One caller's client.
pub struct Client {
    runtime: tokio::runtime::Runtime,
}

impl Client {
    /// A client with a runtime of its own.
    pub fn new() -> std::io::Result<Client> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Client { runtime })
    }

    /// Sends one request on a connection of its own and reads the whole answer.
    pub fn send(&self, entry: SocketAddr, kind: Kind, work: &str) -> Answer {
        self.runtime.block_on(async {
            let sent = tokio::time::timeout(PATIENCE, send(entry, kind, work)).await;
            sent.unwrap_or(Answer::Cut { answering: false })
        })
    }
}

async fn send(entry: SocketAddr, kind: Kind, work: &str) -> Answer {
    let Ok(stream) = TcpStream::connect(entry).await else {
        return Answer::NotTaken;
    };
    let cut = Answer::Cut { answering: false };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return cut;
    };
    let connection = tokio::spawn(connection);
    let answer = match sender.send_request(request(entry, kind, work)).await {
        Ok(response) => read(response, kind).await,
        Err(_) => cut,
    };
    connection.abort();
    answer
}

fn request(entry: SocketAddr, kind: Kind, work: &str) -> Request<Full<Bytes>> {
    let (path, body) = match kind {
        Kind::Lookup(tokens) => {
            let body = json!({"model": "rota", "stream": true, "max_tokens": tokens,
                "messages": [{"role": "user", "content": work}]});
            ("/v1/chat/completions", body.to_string())
        }
        Kind::Booking => ("/book", work.to_owned()),
    };
    let mut request = Request::post(path)
        .header("host", entry.to_string())
        .header("content-type", "application/json")
        .header("mastichaven-key", CUSTOMER_KEY);
    if kind == Kind::Booking {
        request = request.header("idempotency-key", work);
    }
    request.body(Full::new(Bytes::from(body))).expect("the parts of this request are valid")
}

async fn read(response: Response<Incoming>, kind: Kind) -> Answer {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let code = header("mastichaven-code").and_then(|text| text.parse().ok()).unwrap_or(0);
    let outcome = header("mastichaven-outcome").and_then(outcome_of);
    let status = response.status().as_u16();
    let Ok(body) = response.into_body().collect().await else {
        return Answer::Cut { answering: true };
    };
    let Some(outcome) = outcome else {
        return Answer::Cut { answering: true };
    };
    let mut answer = Read { outcome, code, ..Read::default() };
    if status == 200 {
        match kind {
            Kind::Lookup(_) => answer.read_stream(&body.to_bytes()),
            Kind::Booking => answer.read_booking(&body.to_bytes()),
        }
    }
    answer.into_answer()
}

fn outcome_of(text: &str) -> Option<Outcome> {
    [Outcome::Ran, Outcome::NotRun, Outcome::Unknown].into_iter().find(|o| o.as_str() == text)
}

/// What an answer's body says.
struct Read {
    outcome: Outcome,
    code: u16,
    about: BTreeSet<SmolStr>,
    parts: Vec<u32>,
    versions: BTreeSet<Digest>,
    result: Option<u64>,
}

impl Default for Read {
    fn default() -> Self {
        Read {
            outcome: Outcome::Unknown,
            code: 0,
            about: BTreeSet::new(),
            parts: Vec::new(),
            versions: BTreeSet::new(),
            result: None,
        }
    }
}

impl Read {
    fn read_stream(&mut self, body: &[u8]) {
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

    fn read_booking(&mut self, body: &[u8]) {
        if let Ok(event) = serde_json::from_slice::<Value>(body) {
            self.about.extend(event["booked"].as_str().map(SmolStr::new));
            self.result = event["run"].as_u64();
        }
    }

    fn into_answer(self) -> Answer {
        // An answer about two works is about nobody's.
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

/// What an answer to `work` says it is about: engines name the digest of the whole prompt.
pub fn about_of(kind: Kind, work: &str) -> SmolStr {
    match kind {
        Kind::Lookup(_) => Digest::of(format!("user\n{work}\n").as_bytes()).to_hex().into(),
        Kind::Booking => work.into(),
    }
}
