//! Bodies and writes within their bounds of time and size.

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

/// A bound that any machine reaches soon; what is tested is that it ends at all.
const SHORT: Duration = Duration::from_millis(20);

const LONG: Duration = Duration::from_secs(3_600);

fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

/// A body of one byte, after which nothing comes and which does not end.
fn silent_body() -> StreamBody<flume::r#async::RecvStream<'static, Result<Frame<Bytes>, Infallible>>>
{
    let (tx, rx) = flume::bounded(1);
    tx.send(Ok(Frame::data(Bytes::from_static(b"x")))).unwrap();
    std::mem::forget(tx);
    StreamBody::new(rx.into_stream())
}

#[test]
fn read_body_of_silent_caller_ends() {
    // A caller announces a body and stops in the middle of it. Without a bound, an entry that is to
    // stop would wait for it for ever.
    for bounds in [
        BodyLimits { max_len: 10, chunk_timeout: SHORT, total_timeout: LONG },
        BodyLimits { max_len: 10, chunk_timeout: LONG, total_timeout: SHORT },
    ] {
        assert_eq!(block_on(read_body(silent_body(), bounds)), Err(Code::SlowCaller));
    }
}

#[test]
fn read_body_at_and_over_limit() {
    let bounds = BodyLimits { max_len: 4, chunk_timeout: LONG, total_timeout: LONG };
    let read = |text: &'static str| block_on(read_body(Full::new(Bytes::from(text)), bounds));
    assert_eq!(read("1234"), Ok(Bytes::from("1234")));
    assert_eq!(read("12345"), Err(Code::TooLarge));
}

#[test]
fn write_to_reader_that_stopped_ends() {
    // A caller stops reading its answer but keeps the connection. Its request would hold its place
    // in the engine until the deadline.
    block_on(async {
        let (near, _far) = tokio::io::duplex(4);
        let mut near = WriteTimeout::new(near, SHORT);
        let written = near.write_all(b"more than fits").await;
        assert_eq!(written.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    });
}

#[test]
fn write_to_slow_reader_goes_on() {
    // Each piece is taken within the bound, so that a slow caller still gets its whole answer.
    block_on(async {
        let (near, mut far) = tokio::io::duplex(4);
        let mut near = WriteTimeout::new(near, LONG);
        let reader = tokio::spawn(async move {
            let mut buf = Vec::new();
            tokio::io::AsyncReadExt::read_to_end(&mut far, &mut buf).await.unwrap();
            buf
        });
        near.write_all(b"more than fits").await.unwrap();
        drop(near);
        assert_eq!(reader.await.unwrap(), b"more than fits");
    });
}
