use std::thread;
use std::time::Duration;

use bytes::Bytes;

use super::crowd::Crowd;
use super::crowd::MAX_BODY_LEN;
use super::crowd::MISSING_LEN;
use super::crowd::Message;
use super::crowd::Target;
use super::crowd::filler;
use super::crowd::head_start;
use super::fixture::Resources;

const RESOURCES: Resources = Resources { descriptors: 1_000, memory_mb: 64 };
const CLIENTS: usize = 60;

/// Length of what a client writes at once where it sends a body piece by piece.
const PIECE_LEN: usize = 1_000;
const LARGE_CHUNK_LEN: usize = 256 << 10;

/// Number of chunks of one byte that a client writes at once.
const SMALL_CHUNKS_A_PART: usize = 10_000;

fn head(fields: &str) -> Bytes {
    format!("{}{fields}\r\n\r\n", head_start("/booking/1")).into()
}

fn length_head() -> Bytes {
    head(&format!("content-length: {MAX_BODY_LEN}"))
}

fn chunked_head() -> Bytes {
    head("transfer-encoding: chunked")
}

/// A chunk of `len` bytes as sent.
fn chunk(len: usize) -> Bytes {
    let mut buf = format!("{len:x}\r\n").into_bytes();
    buf.resize(buf.len() + len, b'x');
    buf.extend_from_slice(b"\r\n");
    buf.into()
}

/// Parts of `part_len` bytes with a total of `len`.
fn pieces(len: usize, part_len: usize) -> impl Iterator<Item = Bytes> {
    let part = filler(part_len);
    (0..len).step_by(part_len).map(move |start| part.slice(..part_len.min(len - start)))
}

// Guards against complete bodies of many clients that together exceed the memory.
#[test]
fn bodies_are_bounded_whole() {
    let mut target = Target::start("bodies-whole", RESOURCES);
    let message = Message::whole(vec![length_head(), filler(MAX_BODY_LEN)]);
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against bodies that are almost complete and stay in memory while their connections stay open.
#[test]
fn bodies_are_bounded_without_end() {
    let mut target = Target::start("bodies-without-end", RESOURCES);
    let parts = vec![length_head(), filler(MAX_BODY_LEN - MISSING_LEN)];
    let message = Message::without_end(parts, filler(MISSING_LEN));
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against the same bodies in small pieces, each of which may cost more memory than its length.
#[test]
fn bodies_are_bounded_piece_by_piece() {
    let mut target = Target::start("bodies-pieces", RESOURCES);
    let pieces = pieces(MAX_BODY_LEN - MISSING_LEN, PIECE_LEN);
    let parts = std::iter::once(length_head()).chain(pieces).collect();
    let message = Message::without_end(parts, filler(MISSING_LEN));
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against bodies of unknown length, in large chunks, that are almost complete and stay open.
#[test]
fn bodies_are_bounded_large_chunks() {
    let mut target = Target::start("bodies-large-chunks", RESOURCES);
    let chunks = (MAX_BODY_LEN - MISSING_LEN) / LARGE_CHUNK_LEN;
    let chunks = std::iter::repeat_n(chunk(LARGE_CHUNK_LEN), chunks);
    let parts = std::iter::once(chunked_head()).chain(chunks).collect();
    let message = Message::without_end(parts, "0\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against bodies in chunks of one byte, each of which may cost much more memory than its length.
#[test]
fn bodies_are_bounded_small_chunks() {
    let mut target = Target::start("bodies-small-chunks", RESOURCES);
    let part = Bytes::from(chunk(1).repeat(SMALL_CHUNKS_A_PART));
    let parts = std::iter::repeat_n(part, (MAX_BODY_LEN - MISSING_LEN) / SMALL_CHUNKS_A_PART);
    let parts = std::iter::once(chunked_head()).chain(parts).collect();
    let message = Message::without_end(parts, "0\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against extensions of a chunk, and trailers, that have no end.
#[test]
fn bodies_are_bounded_chunk_extensions() {
    let mut target = Target::start("bodies-extensions", RESOURCES);
    let parts = vec![chunked_head(), "1;".into(), filler(MAX_BODY_LEN)];
    let message = Message::without_end(parts, "\r\nx\r\n0\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
    let parts = vec![chunked_head(), "0\r\nx-padding: ".into(), filler(MAX_BODY_LEN)];
    let message = Message::without_end(parts, "\r\n\r\n".into());
    target.assert_withstands(target.entry.callers, CLIENTS, &message);
}

// Guards against a limit that refuses the largest body that a client may send, sent slowly by one client in calm.
#[test]
fn largest_body_is_served_in_calm() {
    const PARTS: usize = 64;
    let target = Target::start("largest-body", RESOURCES);
    let body = "x".repeat(MAX_BODY_LEN);
    let response = target.entry.send_body("/booking/1", "at-once", "key-1", &body).unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    for head in [length_head(), chunked_head()] {
        let is_chunked = head == chunked_head();
        let part_len = MAX_BODY_LEN / PARTS;
        let mut stream = std::net::TcpStream::connect(target.entry.callers).unwrap();
        std::io::Write::write_all(&mut stream, &head).unwrap();
        for _ in 0..PARTS {
            let part = if is_chunked { chunk(part_len) } else { filler(part_len) };
            std::io::Write::write_all(&mut stream, &part).unwrap();
            thread::sleep(Duration::from_millis(20));
        }
        let end: &[u8] = if is_chunked { b"0\r\n\r\n" } else { b"" };
        std::io::Write::write_all(&mut stream, end).unwrap();
        let mut buf = [0; 12];
        std::io::Read::read_exact(&mut stream, &mut buf).unwrap();
        assert_eq!(&buf, b"HTTP/1.1 200");
    }
}

// Guards against refusals that clients cannot read because their connections are reset while they send.
#[test]
fn refused_bodies_get_readable_response() {
    let target = Target::start("bodies-refused", RESOURCES);
    let parts = vec![length_head(), filler(MAX_BODY_LEN - MISSING_LEN)];
    let message = Message::without_end(parts, filler(MISSING_LEN));
    let crowd = Crowd::send(target.entry.callers, CLIENTS, &message);
    let responses = crowd.responses();
    let refused: Vec<&String> =
        responses.iter().filter(|response| response.starts_with("HTTP/1.1 503")).collect();
    assert!(!refused.is_empty(), "{responses:?}");
    for response in refused {
        assert!(response.contains("retry-after: "), "{response}");
        assert!(response.contains("mastichaven-outcome: not-run"), "{response}");
    }
}
