//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins and the clients.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;
use std::time::Instant;

/// Head of a request or a response: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn content_len(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    /// Second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read beyond the last message.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A response as its reader received it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buf: Vec::new() }
    }

    /// Reads at least one more byte; fails at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 << 10];
        let len = self.stream.read(&mut part)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..len]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
                return Ok(Head { first_line, headers });
            }
            self.fill()?;
        }
    }

    /// Reads `len` bytes.
    pub fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a whole body that is delimited by a length or by chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.content_len().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.read_chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Reads one chunk of a chunked body; the last one is empty.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.read_line()?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let len = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(len)?;
        self.read_line()?;
        Ok(chunk)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads a whole response until `deadline`.
    pub fn read_response(&mut self, deadline: Instant) -> io::Result<Response> {
        let left = deadline.saturating_duration_since(Instant::now());
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let head = self.read_head()?;
        let status = head.second_word().parse().unwrap_or(0);
        let body = self.read_body(&head)?;
        Ok(Response { status, head, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sets the receive buffer of a socket, or of those that a listener accepts.
pub fn set_receive_buffer(socket: &impl AsRawFd, len: i32) {
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open and the value is a valid integer for the time of the call.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &len, 4) };
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Value of a query parameter.
pub fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}
