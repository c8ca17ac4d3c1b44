//! The part of HTTP/1.1 that the stand-ins and clients need: heads, and bodies with a length, in
//! chunks or up to the end of the connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const MAX_HEAD_LINES: usize = 200;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    /// Headers with lower-case names, in their order.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.first.split(' ').nth(1)?.parse().ok()
    }

    /// The length that the head announces for its body.
    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads a head; `None` if the peer has closed the connection before it.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    for n in 0..MAX_HEAD_LINES {
        let mut line = Vec::new();
        if stream.read_until(b'\n', &mut line)? == 0 {
            return if n == 0 { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if n == 0 {
            head.first = line;
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::InvalidData.into())
}

/// Reads the whole body that belongs to `head`. A response without a length ends with its
/// connection.
pub fn read_body(stream: &mut impl BufRead, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return read_chunks(stream);
    }
    let mut body = Vec::new();
    match head.content_length() {
        Some(len) => {
            body.resize(len, 0);
            stream.read_exact(&mut body)?;
        }
        None if is_response => drop(stream.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

fn read_chunks(stream: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let from = body.len();
        body.resize(from + len, 0);
        stream.read_exact(&mut body[from..])?;
        let mut end = [0; 2];
        stream.read_exact(&mut end)?;
        if len == 0 {
            return Ok(body);
        }
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// A connection accepted by a [`Server`].
pub struct Connection {
    /// Reads requests.
    pub reader: BufReader<TcpStream>,
    /// Writes responses.
    pub writer: TcpStream,
}

/// A server with a thread for each connection.
pub struct Server {
    /// Address on which it listens.
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server whose `handle` serves one connection until it returns.
    pub fn start(
        address: &str,
        handle: impl Fn(&mut Connection) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_down = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let handle = Arc::new(handle);
        let (down, connections) = (is_down.clone(), open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::Acquire) {
                    return;
                }
                let (Ok(reader), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                connections.lock().expect("no holder panics").push(kept);
                let handle = handle.clone();
                thread::spawn(move || {
                    let reader = BufReader::new(reader);
                    let mut connection = Connection { reader, writer: stream };
                    // A connection that breaks concerns its client only.
                    let _ = handle(&mut connection);
                    let _ = connection.writer.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Ok(Server { address, is_down, open })
    }

    /// Ends the server as when its process is killed: its connections are closed, and new ones are
    /// refused.
    pub fn kill(&self) {
        self.is_down.store(true, Ordering::Release);
        // Wakes the thread that accepts connections, which closes its listener.
        let is_open =
            || TcpStream::connect_timeout(&self.address, Duration::from_millis(200)).is_ok();
        while is_open() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in self.open.lock().expect("no holder panics").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}
