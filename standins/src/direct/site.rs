//! A small test deployment: its configuration, and the requests of its callers.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::origin;

/// Host name in the requests of callers.
pub const HOST: &str = "site.example";

/// Name of the header with the stamp by which an endpoint signs its answers.
pub const STAMP: &str = "x-mastichaven-response-stamp";

/// Name of the header that lists the parts of a request's prompt.
pub const PROMPT_PARTS: &str = "x-mastichaven-prompt-prefix";

/// Time without an event after which callers give a stream up: eight of the pauses that its route allows.
pub const STREAM_PATIENCE: Duration = Duration::from_millis(2_400);

/// Kind of endpoint records in the store.
pub const ENDPOINTS: &str = "servers";

/// Returns a configuration with the model service `writer`, the service `desk` and an origin. The
/// path prefixes `/stream/`, `/lookup/` and `/booking/` select a streaming, an idempotent and a
/// non-idempotent route. `resumes` allows resuming streams.
pub fn configuration(version: u64, keys: &[&str], resumes: bool, origin: SocketAddr) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": 2, "allow_anonymous": false, "stream_resume": resumes,
            "target_gap_ms": 300, "allowed_regions": []
        })
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "/stream/", "streaming", "writer"),
            route("lookup", "/lookup/", "idempotent", "desk"),
            route("booking", "/booking/", "non_idempotent", "desk"),
        ],
        "services": [
            {"name": "writer", "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": {
                "slots": 4, "layers": 4, "chunks": origin::CHUNKS,
                "chunk_bytes": origin::CHUNK_LEN, "models": [{"name": "m"}]}},
            {"name": "desk", "cold_per_s": 0.0},
            {"name": "weights", "origin": origin.to_string(), "zone": "zone-a"},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "crews", "api_keys": keys, "priority": 1, "allowed_regions": []}]
    })
}

/// Sets the maximum length of a request body and the time for which callers may keep idle connections.
pub fn set_caller_limits(spec: &mut Value, max_body_len: usize, idle_timeout: Duration) {
    let limits = &mut spec["limits"];
    limits["max_body_bytes"] = max_body_len.into();
    limits["idle_timeout_ms"] = json!(idle_timeout.as_millis() as u64);
}

/// Returns the headers of a caller's request.
pub fn caller_headers(id: &str, key: &str) -> [(&'static str, String); 5] {
    [
        ("host", HOST.to_owned()),
        ("x-mastichaven-attempt-id", id.to_owned()),
        ("x-mastichaven-deadline-ms", "3000".to_owned()),
        ("x-mastichaven-model", "m".to_owned()),
        ("authorization", format!("Token {key}")),
    ]
}

/// Returns the request head of a caller as sent over the wire.
pub fn caller_head(path: &str, id: &str, key: &str, body_len: usize) -> String {
    let headers = caller_headers(id, key);
    let lines: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("POST {path} HTTP/1.1\r\n{lines}content-length: {body_len}\r\n\r\n")
}

/// Adds a route like the first one to `service`, with `urgent/` after its path prefix and a higher rank than the others.
///
/// # Panics
///
/// Panics if the configuration has no route to `service`.
pub fn add_urgent_route(spec: &mut Value, service: &str) {
    let routes = spec["routes"].as_array_mut().expect("routes");
    let mut urgent =
        routes.iter().find(|route| route["service"] == service).expect("a route").clone();
    urgent["name"] = "urgent".into();
    let prefix = urgent["path_prefix"].as_str().expect("a prefix");
    urgent["path_prefix"] = format!("{prefix}urgent/").into();
    urgent["priority"] = 0.into();
    routes.push(urgent);
}
