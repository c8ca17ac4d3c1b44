//! Gives up a connection whose other side has stopped taking bytes.
//!
//! A caller that no longer reads fills its socket, then the ring of its answer, then the agent's,
//! and its request keeps a place in the engine's batch until the deadline, while others wait. One
//! would notice an endpoint that is full and sends nothing. Here a write that makes no progress for
//! a while is an error, which ends the connection and with it the request.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;

/// A stream whose writes fail when they have made no progress for a while.
#[derive(Debug)]
pub struct WriteStall<S> {
    stream: S,
    limit: Duration,
    /// Runs while a write makes no progress.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteStall<S> {
    /// Fails writes to `stream` that have made no progress for `limit`.
    pub fn new(stream: S, limit: Duration) -> WriteStall<S> {
        WriteStall { stream, limit, stalled: None }
    }

    fn watch<T>(&mut self, cx: &mut Context<'_>, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stalled = None;
            return poll;
        }
        let limit = self.limit;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match stalled.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteStall<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteStall<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch(cx, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.watch(cx, poll)
    }
}
