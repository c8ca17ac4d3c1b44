//! Clients of the system: one request on a connection of its own.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::site;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
    pub deadline: Duration,
}

/// What a client has received.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response.
    Answered { status: u16, has_stamp: bool, body: Vec<u8> },
    /// The connection ended without one.
    Closed(io::ErrorKind),
    /// The deadline passed, and the client has left.
    TimedOut,
}

impl Outcome {
    /// Whether it is a success with the stamp of a runner.
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Answered { status: 200..300, has_stamp: true, .. })
    }

    /// Whether the connection ended without a response.
    pub fn is_closed(&self) -> bool {
        matches!(self, Outcome::Closed(_))
    }

    /// The outcome as it stands in the record.
    pub fn text(&self) -> String {
        match self {
            Outcome::Answered { status, has_stamp, body } => {
                let by = if *has_stamp { "of a runner" } else { "of the system" };
                let body = String::from_utf8_lossy(&body[..body.len().min(60)]).into_owned();
                format!("{status} {by}, {body:?}")
            }
            Outcome::Closed(kind) => format!("connection closed ({kind:?})"),
            Outcome::TimedOut => "no answer until the client's deadline".to_owned(),
        }
    }
}

/// Pieces in which a body is sent slowly.
const SLOW_PIECES: u32 = 60;

/// Sends a request on a connection of its own and waits for its response up to its deadline.
pub fn send(address: SocketAddr, request: &Request<'_>) -> Outcome {
    send_slowly(address, request, Duration::ZERO)
}

/// Sends a request whose body takes `time` on a connection of its own and waits for its response
/// up to its deadline.
pub fn send_slowly(address: SocketAddr, request: &Request<'_>, time: Duration) -> Outcome {
    let ends_at = Instant::now() + request.deadline;
    let result = KeptConnection::open(address)
        .and_then(|mut connection| connection.exchange(request, time, ends_at));
    outcome_of(result, ends_at)
}

fn outcome_of(result: io::Result<Outcome>, ends_at: Instant) -> Outcome {
    match result {
        Ok(outcome) => outcome,
        Err(_) if Instant::now() >= ends_at => Outcome::TimedOut,
        Err(e) => Outcome::Closed(e.kind()),
    }
}

/// A connection for several requests, one after the other.
pub struct KeptConnection {
    writer: TcpStream,
    reader: BufReader<DeadlineReader>,
}

impl KeptConnection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<KeptConnection> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let stream = writer.try_clone()?;
        let reader = BufReader::new(DeadlineReader { stream, ends_at: Instant::now() });
        Ok(KeptConnection { writer, reader })
    }

    /// Sends a request and waits for its response up to its deadline.
    pub fn send(&mut self, request: &Request<'_>) -> Outcome {
        let ends_at = Instant::now() + request.deadline;
        outcome_of(self.exchange(request, Duration::ZERO, ends_at), ends_at)
    }

    fn exchange(
        &mut self,
        request: &Request<'_>,
        time: Duration,
        ends_at: Instant,
    ) -> io::Result<Outcome> {
        self.reader.get_mut().ends_at = ends_at;
        self.writer.set_write_timeout(Some(request.deadline))?;
        let Request { method, path, id, body, .. } = request;
        let key = request.key.map(|key| format!("Authorization: Token {key}\r\n"));
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Mastichaven-Attempt-Id: {id}\r\n\
             X-Mastichaven-Deadline-Ms: {}\r\nX-Mastichaven-Model: {}\r\n{}\
             Content-Length: {}\r\n\r\n",
            site::HOST,
            request.deadline.as_millis(),
            site::MODEL,
            key.unwrap_or_default(),
            body.len(),
        );
        self.writer.write_all(head.as_bytes())?;
        let pieces = if time.is_zero() { 1 } else { SLOW_PIECES };
        for piece in body.chunks(body.len().div_ceil(pieces as usize).max(1)) {
            self.writer.write_all(piece)?;
            thread::sleep(time / pieces);
        }
        let Some(head) = http::read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let body = http::read_body(&mut self.reader, &head, true)?;
        let has_stamp = head.header("x-mastichaven-response-stamp").is_some();
        let status = head.status().ok_or(io::ErrorKind::InvalidData)?;
        Ok(Outcome::Answered { status, has_stamp, body })
    }
}

/// Reads until a fixed moment.
struct DeadlineReader {
    stream: TcpStream,
    ends_at: Instant,
}

impl io::Read for DeadlineReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.ends_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}

/// Status of a `GET` without a body, for readiness checks.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let timeout = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n").as_bytes()).ok()?;
    http::read_head(&mut BufReader::new(stream)).ok()??.status()
}
