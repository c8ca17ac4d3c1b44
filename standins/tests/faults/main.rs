//! Each stand-in fails as it is told to, and not otherwise.

mod engine;
mod origin;
mod plain;
mod platform;

/// Any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

/// Seconds a call may take; a stand-in that cuts a connection is noticed long before.
const TIMEOUT_SECONDS: u64 = 20;

/// Sends; a connection that was cut before the answer's head gives `None`.
///
/// minreq shows such a cut as a status of 503 with a reason of its own.
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
