//! Clients.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Response;

/// Host of all routes.
pub const HOST: &str = "rota.example";

/// The key of the first tenant.
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// Sends requests on a kept connection, which it opens again after it was closed.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, connection: None }
    }

    pub fn head(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64) -> String {
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Mastichaven-Attempt-Id: {id}\r\n\
             X-Mastichaven-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n"
        )
    }

    /// Sends a request and waits for its whole answer, for `patience` at most.
    pub fn send(&mut self, head: &str, body: &[u8], patience: Duration) -> io::Result<Response> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                Connection::new(TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?)
            }
        };
        let deadline = Instant::now() + patience;
        connection.stream.set_write_timeout(Some(patience))?;
        let length = match body.len() {
            0 => String::new(),
            len => format!("Content-Length: {len}\r\n"),
        };
        let mut bytes = format!("{head}{length}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        connection.write(&bytes)?;
        let response = connection.read_response(deadline)?;
        let closes = response.head.get("connection").is_some_and(|value| value == "close");
        if !closes {
            self.connection = Some(connection);
        }
        Ok(response)
    }
}
