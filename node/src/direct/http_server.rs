//! Accepts connections of clients and serves HTTP/1.1 on them within the limits of a listener.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::Logger;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::client_stream::ClientStream;
use super::clients::Client;
use super::clients::Clients;
use super::connection;
use super::response_body::ResponseAborted;
use super::response_body::ResponseBody;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes that are buffered beyond the longest head: empty lines before it, and the beginning of the body.
const HEAD_SLACK_LEN: usize = 4 << 10;

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUF_LEN: usize = 8 << 10;

/// Limits on what one client may send, and in which time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Maximum length of a head in bytes.
    pub(super) max_head_len: usize,
    /// Maximum time from the first byte of a head to its end.
    pub(super) head_timeout: Duration,
    /// Maximum time without a request.
    pub(super) idle_timeout: Duration,
}

/// Listens on `address`, with `receive_window` for each connection. Errors include the address.
pub(super) async fn listen(address: SocketAddr, receive_window: usize) -> io::Result<TcpListener> {
    let with_address = |e: io::Error| io::Error::new(e.kind(), format!("{address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(with_address)?;
    // Connections inherit it. On an open connection it must not shrink: data beyond it would be dropped and sent again.
    SockRef::from(&listener).set_recv_buffer_size(receive_window).map_err(with_address)?;
    Ok(listener)
}

/// Accepts connections until the process ends, and passes them to `serve`.
pub(super) async fn accept(
    listener: TcpListener,
    clients: Rc<Clients>,
    log: Logger,
    serve: impl Fn(TcpStream, Rc<Client>),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without a free slot the connection is closed.
                if let Ok(client) = clients.open() {
                    serve(stream, client);
                }
            }
            Err(e) => {
                slog::warn!(log, "accepting a connection failed"; "error" => e.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        // Lets connections that were evicted close before the next one is accepted.
        yield_now().await;
    }
}

/// Serves a connection until it ends, or until `close_rx` says that it must end after the request in progress.
///
/// # Errors
///
/// Returns an error if the socket options cannot be set. Errors of the connection are those of its requests.
pub(super) async fn serve<F>(
    stream: TcpStream,
    client: Rc<Client>,
    limits: ConnectionLimits,
    mut close_rx: watch::Receiver<bool>,
    handle: impl Fn(Rc<Client>, Request<Incoming>) -> F,
) -> io::Result<()>
where
    F: Future<Output = Response<ResponseBody>>,
{
    connection::set_socket_options(&stream)?;
    let service = service_fn(|req| {
        let response = handle(client.clone(), req);
        let client = client.clone();
        async move { Ok::<_, Infallible>(response.await.map(|body| ClientBody { body, client })) }
    });
    client.set_max_head_len(limits.max_head_len);
    let stream = ClientStream::new(stream, client.clone(), limits.head_timeout);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // It also covers the time of the head, which `ClientStream` limits.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size((limits.max_head_len + HEAD_SLACK_LEN).max(MIN_BUF_LEN));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return Ok(()),
        () = client.connection_evicted() => return Ok(()),
        _ = close_rx.wait_for(|is_closing| *is_closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        () = client.connection_evicted() => {}
    }
    Ok(())
}

/// A response body; its end is the end of the client's request.
struct ClientBody {
    body: ResponseBody,
    client: Rc<Client>,
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.client.end_request();
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
