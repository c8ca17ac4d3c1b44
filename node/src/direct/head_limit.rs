//! A TCP stream that limits the bytes received until the head of a response is complete.
//!
//! hyper limits the length of one head, but takes any number of interim responses before it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes until a head is complete. They include what has arrived of the body by then.
const MAX_HEAD_LEN: usize = 512 << 10;

/// No limit, while a body is received.
const UNLIMITED: usize = usize::MAX;

/// Sets the limit of a [`HeadLimitedStream`].
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit {
    remaining: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Limits the bytes until the next call of [`HeadLimit::end`].
    pub(super) fn begin(&self) {
        self.remaining.store(MAX_HEAD_LEN, Ordering::Release);
    }

    /// Ends the limit when the head is complete.
    pub(super) fn end(&self) {
        self.remaining.store(UNLIMITED, Ordering::Release);
    }

    /// Counts received bytes. Fails if there are too many.
    fn record(&self, len: usize) -> io::Result<()> {
        let remaining = self.remaining.load(Ordering::Acquire);
        if remaining == UNLIMITED {
            return Ok(());
        }
        let left = remaining.checked_sub(len).ok_or(io::ErrorKind::InvalidData)?;
        self.remaining.store(left, Ordering::Release);
        Ok(())
    }
}

/// A TCP stream with a [`HeadLimit`].
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    pub(super) fn new(stream: TcpStream, limit: HeadLimit) -> HeadLimitedStream {
        HeadLimitedStream { stream, limit }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = polled {
            return Poll::Ready(self.limit.record(buf.filled().len() - len));
        }
        polled
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
