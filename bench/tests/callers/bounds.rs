//! Time and size limits on request bodies and on writes of replies.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use mastichaven_core::Code;
use mastichaven_node::callers::BodyLimits;
use mastichaven_node::callers::WriteTimeout;
use mastichaven_node::callers::read_body;
use tokio::io::AsyncWriteExt;

/// Expires soon on any machine; the tests check only that the operation ends.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

/// Never expires during a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(3_600);

fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

/// Returns a body that yields one byte and then neither data nor an end.
fn stalled_body()
-> StreamBody<flume::r#async::RecvStream<'static, Result<Frame<Bytes>, Infallible>>> {
    let (tx, rx) = flume::bounded(1);
    tx.send(Ok(Frame::data(Bytes::from_static(b"x")))).unwrap();
    std::mem::forget(tx);
    StreamBody::new(rx.into_stream())
}

#[test]
fn read_body_stalled_times_out() {
    // A caller stops sending in the middle of the body that it announced. Without a timeout, an entry
    // that shuts down would wait for it forever.
    for limits in [
        BodyLimits { max_len: 10, chunk_timeout: SHORT_TIMEOUT, total_timeout: LONG_TIMEOUT },
        BodyLimits { max_len: 10, chunk_timeout: LONG_TIMEOUT, total_timeout: SHORT_TIMEOUT },
    ] {
        assert_eq!(block_on(read_body(stalled_body(), limits)), Err(Code::SlowCaller));
    }
}

#[test]
fn read_body_at_and_above_max_len() {
    let limits =
        BodyLimits { max_len: 4, chunk_timeout: LONG_TIMEOUT, total_timeout: LONG_TIMEOUT };
    let read = |text: &'static str| block_on(read_body(Full::new(Bytes::from(text)), limits));
    assert_eq!(read("1234"), Ok(Bytes::from("1234")));
    assert_eq!(read("12345"), Err(Code::TooLarge));
}

#[test]
fn write_to_stalled_reader_times_out() {
    // A caller stops reading its reply but keeps the connection open. Without a timeout its request
    // would occupy a slot of the engine until the deadline.
    block_on(async {
        let (writer, _peer) = tokio::io::duplex(4);
        let mut writer = WriteTimeout::new(writer, SHORT_TIMEOUT);
        let written = writer.write_all(b"more than fits").await;
        assert_eq!(written.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    });
}

#[test]
fn write_to_slow_reader_completes() {
    // The timeout applies to each write, so that a slow caller still gets its whole reply.
    block_on(async {
        let (writer, mut peer) = tokio::io::duplex(4);
        let mut writer = WriteTimeout::new(writer, LONG_TIMEOUT);
        let reader = tokio::spawn(async move {
            let mut buf = Vec::new();
            tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut buf).await.unwrap();
            buf
        });
        writer.write_all(b"more than fits").await.unwrap();
        drop(writer);
        assert_eq!(reader.await.unwrap(), b"more than fits");
    });
}
