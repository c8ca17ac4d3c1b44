//! A server that answers anything.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// Bytes after which an endless answer ends, so that a reader without a bound fails the test
/// rather than the machine.
pub const ENDLESS_LEN: u64 = 96 << 20;

/// What the server does with each connection.
#[derive(Clone, Debug)]
pub enum Manner {
    /// Sends these bytes and closes.
    Bytes(Vec<u8>),
    /// Sends these bytes as a head and then a body without an end.
    Endless(Vec<u8>),
}

/// A running server; it lasts until the test's process ends.
pub struct Hostile {
    pub base: String,
    sent: Arc<AtomicU64>,
}

impl Hostile {
    pub fn start(manner: Manner) -> Hostile {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let base = format!("http://{}", listener.local_addr().expect("it is bound"));
        let sent = Arc::new(AtomicU64::new(0));
        let counted = sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                answer(stream, &manner, &counted);
            }
        });
        Hostile { base, sent }
    }

    /// Bytes of bodies without an end that were taken off the server so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }
}

fn answer(mut stream: TcpStream, manner: &Manner, sent: &AtomicU64) {
    let mut buf = vec![0; 64 << 10];
    let _ = stream.read(&mut buf);
    match manner {
        Manner::Bytes(bytes) => {
            let _ = stream.write_all(bytes);
        }
        Manner::Endless(head) => {
            let _ = stream.write_all(head);
            let mut left = ENDLESS_LEN;
            while left > 0 && stream.write_all(&buf).is_ok() {
                left = left.saturating_sub(buf.len() as u64);
                sent.fetch_add(buf.len() as u64, Ordering::AcqRel);
            }
        }
    }
}
