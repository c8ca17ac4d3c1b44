//! Callers port of a running entry.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;
use mastichaven_standins::Engine;

/// Timeout of reads and waits; far longer than any of them takes, even on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub const MODEL_LEN: usize = 100_000;

pub fn start_fleet() -> Fleet {
    let layout =
        Layout { zones: vec![("lagoa", "sul")], engines: 1, plain_agents: 0, ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.serve_model(MODEL_LEN, WAIT_TIMEOUT).unwrap();
    fleet
}

pub fn engine(fleet: &Fleet) -> &Engine {
    fleet.engines.values().next().unwrap()
}

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.callers_addr(0)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

fn request_head(more: &str, len: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmastichaven-key: {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\n{more}content-length: {len}\r\n\r\n"
    )
}

pub fn send_request(fleet: &Fleet, body: &str) -> TcpStream {
    let mut stream = connect(fleet);
    stream.write_all((request_head("", body.len()) + body).as_bytes()).unwrap();
    stream
}

pub fn streaming_body(tokens: usize) -> String {
    format!("{{\"model\":\"rota\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[]}}")
}

/// Reads lines up to and including one that contains `text`.
pub fn read_until(reader: &mut impl BufRead, text: &str) {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert_ne!(reader.read_line(&mut line).unwrap(), 0, "connection closed before {text:?}");
    }
}

/// Returns the status line and the numbered code of a reply.
fn status_and_code(stream: TcpStream) -> (String, String) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let status = lines.next().unwrap_or_default();
    let code = lines.find_map(|line| line.strip_prefix("mastichaven-code: ").map(str::to_owned));
    (status, code.unwrap_or_default())
}

#[test]
fn tokens_reach_caller_without_buffering() {
    // An engine stalls after three tokens. An entry that buffers the reply would withhold these three
    // from the caller.
    let fleet = start_fleet();
    engine(&fleet).set_faults(|faults| faults.freeze_after = Some(3));
    let mut reader = BufReader::new(send_request(&fleet, &streaming_body(5)));
    for token in ["t0 ", "t1 ", "t2 "] {
        read_until(&mut reader, token);
    }
    engine(&fleet).set_faults(|faults| faults.freeze_after = None);
    read_until(&mut reader, "[DONE]");
    fleet.stop();
}

#[test]
fn disconnected_caller_frees_engine_slot() {
    // One caller disconnects in the middle of its reply and another before its first token. If the
    // entry does not cancel their requests, the engine keeps running them and has no slots for others.
    let fleet = start_fleet();
    engine(&fleet).set_faults(|faults| faults.freeze_after = Some(2));
    let mut reader = BufReader::new(send_request(&fleet, &streaming_body(50)));
    read_until(&mut reader, "t1 ");
    assert_eq!(engine(&fleet).running(), 1);
    drop(reader);
    assert!(wait_until(WAIT_TIMEOUT, || engine(&fleet).running() == 0).is_some(), "still running");

    engine(&fleet).set_profile(|profile| profile.first_token = Duration::from_millis(500));
    engine(&fleet).set_faults(|faults| faults.freeze_after = Some(0));
    let stream = send_request(&fleet, &streaming_body(50));
    assert!(wait_until(WAIT_TIMEOUT, || engine(&fleet).running() == 1).is_some(), "not started");
    drop(stream);
    assert!(wait_until(WAIT_TIMEOUT, || engine(&fleet).running() == 0).is_some(), "still running");
    let counts = engine(&fleet).counts();
    assert!(counts.cancelled + counts.left >= 2, "{counts:?}");
    engine(&fleet).set_faults(|faults| faults.freeze_after = None);
    fleet.stop();
}

#[test]
fn slow_and_idle_callers_do_not_block_others() {
    // Many callers connect and send nothing, part of a head or part of a body. Requests of other
    // callers must still succeed.
    let fleet = start_fleet();
    let mut slow = Vec::new();
    for n in 0..150 {
        let mut stream = connect(&fleet);
        let text = match n % 3 {
            0 => String::new(),
            1 => "POST /v1/chat/completions HTTP/1.1\r\nhost:".to_owned(),
            _ => request_head("", 1_000) + "{",
        };
        stream.write_all(text.as_bytes()).unwrap();
        slow.push(stream);
    }
    for _ in 0..5 {
        let mut reader = BufReader::new(send_request(&fleet, &streaming_body(3)));
        read_until(&mut reader, "[DONE]");
    }
    drop(slow);
    fleet.stop();
}

#[test]
fn oversized_head_and_body_refused_with_code() {
    // An oversized request must get a numbered code instead of a closed connection. The entry must not
    // buffer it or pass it to the engine.
    let fleet = start_fleet();
    let refused = ("HTTP/1.1 413 Payload Too Large".to_owned(), "104".to_owned());
    let mut stream = connect(&fleet);
    let long = format!("x-long: {}\r\n", "y".repeat(20_000));
    stream.write_all(request_head(&long, 0).as_bytes()).unwrap();
    assert_eq!(status_and_code(stream), refused);

    let mut stream = connect(&fleet);
    let many: String = (0..100).map(|n| format!("x-{n}: y\r\n")).collect();
    stream.write_all(request_head(&many, 0).as_bytes()).unwrap();
    assert_eq!(status_and_code(stream), refused);

    let body = "z".repeat(3 << 20);
    assert_eq!(status_and_code(send_request(&fleet, &body)), refused);
    assert_eq!(engine(&fleet).running(), 0);
    fleet.stop();
}

#[test]
fn endless_head_closes_connection() {
    // A caller sends a head that never ends. The entry must stop reading to keep its memory bounded.
    let fleet = start_fleet();
    let mut stream = connect(&fleet);
    let endless = vec![b'a'; 1 << 20];
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nx: ");
    let _ = stream.write_all(&endless);
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    assert!(reply.is_empty() || reply.starts_with(b"HTTP/1.1 431"), "{reply:?}");
    fleet.stop();
}
