//! A small HTTP server: a thread a request, until the stand-in is dropped.

use std::io;
use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// How often the server looks whether it has been dropped.
const POLL: Duration = Duration::from_millis(50);

/// A running server; dropping it stops it.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    over: Arc<AtomicBool>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

/// Binds `address` and answers each request with `answer` on a thread of its own.
pub(crate) fn start(
    address: &str,
    answer: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<Running> {
    let server = Server::http(address).map_err(io::Error::other)?;
    let address = server.server_addr().to_ip().ok_or_else(|| io::Error::other("not an IP"))?;
    let over = Arc::new(AtomicBool::new(false));
    let answer = Arc::new(answer);
    let ended = over.clone();
    thread::Builder::new().name("standin".to_owned()).spawn(move || {
        while !ended.load(Ordering::Acquire) {
            if let Ok(Some(request)) = server.recv_timeout(POLL) {
                let answer = answer.clone();
                thread::spawn(move || answer(request));
            }
        }
    })?;
    Ok(Running { address, over })
}

/// Answers with a status, headers and a whole body.
pub(crate) fn respond(request: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let headers = headers.iter().map(|(name, value)| header(name, value)).collect();
    let len = body.len();
    let response = Response::new(status.into(), headers, Cursor::new(body), Some(len), None);
    let _ = request.respond(response);
}

/// A header whose name and value are known to be valid.
pub(crate) fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("stand-ins send valid headers")
}

/// The value of a request's header.
pub(crate) fn header_of<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found =
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str())
}

/// The value of a query parameter.
pub(crate) fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
