//! The operators' port: health, readiness, and a dump of the whole state.
//!
//! `GET /health` answers 200 while the process lives, `GET /ready` 200 while it takes new work and
//! 503 otherwise, `GET /dump` the state as JSON. The port is bound to loopback unless set
//! otherwise. On an agent the engine reads whole weights from `GET /weights/DIGEST`.

use std::io::Cursor;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use serde_json::Value;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Result of starting the port.
pub type Result<T> = std::result::Result<T, Code>;

/// How often the thread looks whether the process has ended.
const POLL: Duration = Duration::from_millis(200);

/// How often gauges are sent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// What the port shows.
pub trait Operated: Send + Sync + 'static {
    /// Whether the process takes new work.
    fn is_ready(&self) -> bool;

    /// The whole state, without keys.
    fn dump(&self) -> Value;

    /// Sends what is shown as it stands to the metrics server; called every second.
    fn send_gauges(&self);

    /// The whole verified weights of a manifest, if this process has them.
    fn weights(&self, _manifest: Digest) -> Option<Box<dyn Read + Send>> {
        None
    }

    /// Whether the process has ended.
    fn is_over(&self) -> bool;
}

/// Starts the port's thread and returns the address that is bound.
pub fn start(address: SocketAddr, operated: Arc<dyn Operated>) -> Result<SocketAddr> {
    let server = Server::http(address).map_err(|_| Code::CannotBind)?;
    let bound = server.server_addr().to_ip().ok_or(Code::CannotBind)?;
    thread::Builder::new()
        .name("operator".to_owned())
        .spawn(move || serve(&server, &*operated))
        .map_err(|_| Code::CannotBind)?;
    Ok(bound)
}

fn serve(server: &Server, operated: &dyn Operated) {
    let mut sent = Instant::now();
    while !operated.is_over() {
        if sent.elapsed() >= GAUGE_INTERVAL {
            operated.send_gauges();
            sent = Instant::now();
        }
        if let Ok(Some(request)) = server.recv_timeout(POLL) {
            answer(request, operated);
        }
    }
}

fn answer(request: Request, operated: &dyn Operated) {
    if *request.method() != Method::Get {
        return respond(request, 405, "only GET is allowed here\n".to_owned());
    }
    match request.url() {
        "/health" => respond(request, 200, "alive\n".to_owned()),
        "/ready" if operated.is_ready() => respond(request, 200, "ready\n".to_owned()),
        "/ready" => respond(request, 503, "not ready\n".to_owned()),
        "/dump" => respond(request, 200, format!("{:#}\n", operated.dump())),
        _ => answer_weights(request, operated),
    }
}

fn answer_weights(request: Request, operated: &dyn Operated) {
    let digest = request.url().strip_prefix("/weights/").and_then(Digest::from_hex);
    match digest.and_then(|digest| operated.weights(digest)) {
        Some(weights) => {
            let response = Response::new(200.into(), Vec::new(), weights, None, None);
            thread::spawn(move || request.respond(response));
        }
        None => respond(request, 404, "nothing here\n".to_owned()),
    }
}

fn respond(request: Request, status: u16, text: String) {
    let len = text.len();
    let body = Cursor::new(text.into_bytes());
    let _ = request.respond(Response::new(status.into(), Vec::new(), body, Some(len), None));
}
