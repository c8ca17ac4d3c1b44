//! A fake endpoint in trouble: it sends bytes that are no answer until its caller closes the connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Length of the pieces that are sent.
const PIECE_LEN: usize = 16 << 10;

/// Bytes after which the endpoint stops by itself, in case its caller never closes the connection.
const MAX_BYTES: u64 = 256 << 20;

/// Time after which a caller that neither reads nor closes counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Where the endless bytes stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Babble {
    /// Instead of an answer.
    Noise,
    /// In the head of an answer.
    Head,
    /// In the head of an answer, as interim answers.
    Interim,
    /// In the body of an answer that is signed.
    Body,
}

#[derive(Debug, Default)]
struct Counters {
    requests: AtomicU64,
    open: AtomicU64,
    bytes: AtomicU64,
}

/// A running endpoint that babbles; it ends with the test process.
#[derive(Debug)]
pub struct Babbler {
    address: SocketAddr,
    counters: Arc<Counters>,
    is_stopped: Arc<AtomicBool>,
}

impl Babbler {
    /// Starts the endpoint on `address`.
    pub fn start(address: &str, babble: Babble) -> io::Result<Babbler> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let is_stopped = Arc::new(AtomicBool::new(false));
        let babbler =
            Babbler { address, counters: counters.clone(), is_stopped: is_stopped.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_stopped.load(Ordering::Acquire) {
                    return;
                }
                let counters = counters.clone();
                thread::spawn(move || {
                    counters.open.fetch_add(1, Ordering::AcqRel);
                    // The caller has closed the connection.
                    let _ = answer(stream, babble, &counters);
                    counters.open.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        Ok(babbler)
    }

    /// Address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests received.
    pub fn requests(&self) -> u64 {
        self.counters.requests.load(Ordering::Acquire)
    }

    /// Number of connections that callers have not closed.
    pub fn open_connections(&self) -> u64 {
        self.counters.open.load(Ordering::Acquire)
    }

    /// Number of bytes sent.
    pub fn bytes(&self) -> u64 {
        self.counters.bytes.load(Ordering::Acquire)
    }
}

impl Drop for Babbler {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }
}

fn answer(stream: TcpStream, babble: Babble, counters: &Counters) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut id = String::new();
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("x-mastichaven-attempt-id")
        {
            id = value.trim().to_owned();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    counters.requests.fetch_add(1, Ordering::AcqRel);
    let signed = format!(
        "HTTP/1.1 200 OK\r\nx-mastichaven-attempt-id: {id}\r\nx-mastichaven-response-stamp: s\r\n"
    );
    let (start, piece) = match babble {
        Babble::Noise => (String::new(), vec![0x80; PIECE_LEN]),
        Babble::Head => (format!("{signed}x-more: "), vec![b'a'; PIECE_LEN]),
        Babble::Interim => {
            let interim = "HTTP/1.1 102 Processing\r\n\r\n";
            (String::new(), interim.repeat(PIECE_LEN / interim.len()).into_bytes())
        }
        Babble::Body => (format!("{signed}\r\n"), vec![b'a'; PIECE_LEN]),
    };
    writer.write_all(start.as_bytes())?;
    while counters.bytes.fetch_add(piece.len() as u64, Ordering::AcqRel) < MAX_BYTES {
        writer.write_all(&piece)?;
    }
    Ok(())
}
