//! The operators' port by itself.

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
use mastichaven_node::operator::WholeBody;
use serde_json::Value;

use crate::ANY;

const LIMIT: Duration = Duration::from_secs(30);

const WEIGHTS_LEN: u64 = 1 << 20;

/// A process whose weights end in an error half-way, as when a chunk is dropped meanwhile.
struct Failing;

struct Broken;

impl Read for Broken {
    fn read(&mut self, _: &mut [u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::NotFound.into())
    }
}

impl Operated for Failing {
    fn is_ready(&self) -> bool {
        false
    }

    fn dump(&self) -> Value {
        Value::String("x".repeat(8 << 20))
    }

    fn weights(&self, _: Digest) -> Option<WholeBody> {
        let half = Cursor::new(vec![7; WEIGHTS_LEN as usize / 2]);
        Some(WholeBody { len: WEIGHTS_LEN, reader: Box::new(half.chain(Broken)) })
    }

    fn send_gauges(&self) {}

    fn is_over(&self) -> bool {
        false
    }
}

fn ask(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    stream
}

#[test]
fn weights_that_break_off_are_not_ended_as_whole() {
    // An agent loses a chunk while its engine reads the weights. If the answer were ended as usual,
    // the engine would load half a model and answer from it.
    let address = operator::start(ANY.parse().unwrap(), Arc::new(Failing)).unwrap();
    let mut stream = ask(address, &format!("/weights/{}", Digest::of(b"w").to_hex()));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).inspect_err(|e| {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "the connection stays open");
    });
    let head = String::from_utf8_lossy(&answer[..200]).to_lowercase();
    assert!(head.contains(&format!("content-length: {WEIGHTS_LEN}")), "{head}");
    assert!(answer.len() < WEIGHTS_LEN as usize);
}

#[test]
fn reader_that_stops_holds_up_nobody() {
    // Somebody asks for a large dump and does not read it. The balancer still hears that the process
    // lives.
    let address = operator::start(ANY.parse().unwrap(), Arc::new(Failing)).unwrap();
    let stopped = ask(address, "/dump");
    for _ in 0..3 {
        let health = minreq::get(format!("http://{address}/health")).with_timeout(30);
        assert_eq!(health.send().unwrap().status_code, 200);
    }
    drop(stopped);
}
