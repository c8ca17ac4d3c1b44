//! Tests that each stand-in injects exactly the faults that are set.

mod engine;
mod origin;
mod plain;
mod platform;

/// Address of any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

/// Timeout of a call; a closed connection is noticed long before.
const TIMEOUT_SECONDS: u64 = 20;

/// Sends a request. Returns `None` if the connection was closed before the head of the answer.
///
/// minreq reports a closed connection as a status of 503 with a reason phrase of its own.
fn send(req: minreq::Request) -> Option<minreq::Response> {
    let response = req.with_timeout(TIMEOUT_SECONDS).send().ok()?;
    (response.reason_phrase != "Server did not provide a status line").then_some(response)
}

fn get(url: String) -> Option<minreq::Response> {
    send(minreq::get(url))
}

fn post(url: String, body: impl Into<Vec<u8>>) -> Option<minreq::Response> {
    send(minreq::post(url).with_body(body.into()))
}
