//! A server that sends malformed or endless responses.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// Bytes after which an endless response ends, so that an unbounded reader fails the test instead of
/// exhausting the machine's memory.
pub const ENDLESS_LEN: u64 = 96 << 20;

/// Response to each connection.
#[derive(Clone, Debug)]
pub enum ResponseKind {
    /// Sends these bytes and closes.
    Bytes(Vec<u8>),
    /// Sends these bytes as a head, then an endless body.
    Endless(Vec<u8>),
}

/// A running server; it is never stopped.
pub struct HostileServer {
    pub base: String,
    sent: Arc<AtomicU64>,
}

impl HostileServer {
    pub fn start(kind: ResponseKind) -> HostileServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let base = format!("http://{}", listener.local_addr().expect("it is bound"));
        let sent = Arc::new(AtomicU64::new(0));
        let counted = sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                respond(stream, &kind, &counted);
            }
        });
        HostileServer { base, sent }
    }

    /// Bytes of endless bodies sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }
}

fn respond(mut stream: TcpStream, kind: &ResponseKind, sent: &AtomicU64) {
    let mut buf = vec![0; 64 << 10];
    let _ = stream.read(&mut buf);
    match kind {
        ResponseKind::Bytes(bytes) => {
            let _ = stream.write_all(bytes);
        }
        ResponseKind::Endless(head) => {
            let _ = stream.write_all(head);
            let mut left = ENDLESS_LEN;
            while left > 0 && stream.write_all(&buf).is_ok() {
                left = left.saturating_sub(buf.len() as u64);
                sent.fetch_add(buf.len() as u64, Ordering::AcqRel);
            }
        }
    }
}
