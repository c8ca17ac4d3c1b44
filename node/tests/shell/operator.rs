//! The operators' port without the rest of a process.

use std::io::Cursor;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use mastichaven_core::ids::Digest;
use mastichaven_node::operator;
use mastichaven_node::operator::Operated;
use mastichaven_node::operator::SizedBody;
use serde_json::Value;

use crate::ANY;

const READ_TIMEOUT: Duration = Duration::from_secs(30);

const WEIGHTS_LEN: u64 = 1 << 20;

/// A process whose weights fail to read after the first half, as when a chunk is evicted meanwhile.
struct FailingProcess;

struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::NotFound.into())
    }
}

impl Operated for FailingProcess {
    fn is_ready(&self) -> bool {
        false
    }

    fn dump(&self) -> Value {
        Value::String("x".repeat(8 << 20))
    }

    fn weights(&self, _: Digest) -> Option<SizedBody> {
        let half = Cursor::new(vec![7; WEIGHTS_LEN as usize / 2]);
        Some(SizedBody { len: WEIGHTS_LEN, reader: Box::new(half.chain(FailingReader)) })
    }

    fn send_gauges(&self) {}

    fn is_over(&self) -> bool {
        false
    }
}

fn send_get(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    stream
}

#[test]
fn weights_with_read_error_are_truncated() {
    // An agent evicts a chunk while its engine reads the weights. If the response ended normally, the
    // engine would load and serve half a model.
    let address = operator::start(ANY.parse().unwrap(), Arc::new(FailingProcess)).unwrap();
    let mut stream = send_get(address, &format!("/weights/{}", Digest::of(b"w").to_hex()));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).inspect_err(|e| {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "the connection stays open");
    });
    let head = String::from_utf8_lossy(&answer[..200]).to_lowercase();
    assert!(head.contains(&format!("content-length: {WEIGHTS_LEN}")), "{head}");
    assert!(answer.len() < WEIGHTS_LEN as usize);
}

#[test]
fn stalled_reader_does_not_block_health() {
    // A client requests a large dump and does not read it. Health checks must still be served.
    let address = operator::start(ANY.parse().unwrap(), Arc::new(FailingProcess)).unwrap();
    let stalled = send_get(address, "/dump");
    for _ in 0..3 {
        let health = minreq::get(format!("http://{address}/health")).with_timeout(30);
        assert_eq!(health.send().unwrap().status_code, 200);
    }
    drop(stalled);
}
