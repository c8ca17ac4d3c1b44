//! A connection of a client that tells its bytes to the budget of the listener.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use mastichaven_core::direct::client_budget::ClientPhase;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use super::clients::Client;

/// Maximum time for which bytes are discarded after a response to an incomplete request. A connection that is closed
/// with unread bytes is reset, and the client may lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that are discarded at once.
const DISCARD_LEN: usize = 4 << 10;

/// A TCP stream of a [`Client`], which limits the time of a head and discards what follows a refused request.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    client: Rc<Client>,
    head_timeout: Duration,
    /// Set while a head is incomplete.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Set once the response is sent and bytes are discarded.
    discard_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(super) fn new(
        stream: TcpStream,
        client: Rc<Client>,
        head_timeout: Duration,
    ) -> ClientStream {
        let (head_timer, discard_timer) = (None, None);
        ClientStream { stream, client, head_timeout, head_timer, discard_timer }
    }

    /// Fails if the time for the head is over.
    fn check_head_time(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.client.phase() != ClientPhase::Head {
            self.head_timer = None;
            return Ok(());
        }
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(self.head_timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }

    /// Discards bytes until the client closes its side or [`DISCARD_TIMEOUT`] has passed.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.discard_timer.get_or_insert_with(|| Box::pin(sleep(DISCARD_TIMEOUT)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut buf = [0; DISCARD_LEN];
        loop {
            let mut buf = ReadBuf::new(&mut buf);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                // The client needs no more of the connection, whether it has closed or reset it.
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(window) = self.client.take_receive_window()
            && let Err(e) = SockRef::from(&self.stream).set_recv_buffer_size(window)
        {
            self.client.log_window_error(&e);
        }
        let len = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - len;
        if received > 0 {
            let recorded = self.client.record_received(received);
            recorded.map_err(|_| io::Error::from(io::ErrorKind::OutOfMemory))?;
        }
        if polled.is_pending() {
            self.check_head_time(cx)?;
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
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
        if self.discard_timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.client.must_discard() {
                return Poll::Ready(Ok(()));
            }
        }
        self.poll_discard(cx).map(Ok)
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
