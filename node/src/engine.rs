//! The HTTP interface of a model engine, and a client of its administrative calls.
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | health | `GET /health` | [`Health`] as JSON |
//! | load | `POST /admin/load` with [`LoadOrder`] | 200, or 409 if the fence is stale |
//! | unload | `POST /admin/unload` with [`Fence`] | 200, or 409 if the fence is stale |
//! | cancel | `POST /admin/cancel` with `{"id": …}` | 200 |
//! | run | `POST /v1/chat/completions` with `x-request-id`, `x-resume-after` | the completion, with `x-start-id` and `x-model-version` |

use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::StartId;
use mastichaven_core::orders::Fence;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::fetch::fetch;

/// Result of a call to the engine.
pub type Result<T> = std::result::Result<T, Code>;

/// Timeout of a health check, an unload or a cancellation.
const ADMIN_TIMEOUT_SECONDS: u64 = 2;

/// Timeout of loading a version.
const LOAD_TIMEOUT_SECONDS: u64 = 600;

/// Maximum size of the response to an administrative call in bytes.
const MAX_RESPONSE_LEN: usize = 64 << 10;

/// The version that an engine has loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loaded {
    /// Name of the model.
    pub model: ModelName,
    /// Manifest digest in hexadecimal.
    pub version: SmolStr,
}

/// Health report of an engine. Its load figure lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Health {
    /// Identifies the start of the engine's process.
    pub start_id: StartId,
    /// The version that it answers from; `None` if it has none.
    pub loaded: Option<Loaded>,
    /// Number of requests in progress.
    pub running: u32,
}

/// Orders the engine to load a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadOrder {
    /// Name of the model.
    pub model: ModelName,
    /// Manifest digest in hexadecimal.
    pub version: SmolStr,
    /// URL from which the engine reads the complete weights.
    pub source: String,
    /// Fencing token; the engine refuses an order with a lower one than it has accepted.
    pub fence: Fence,
}

/// Client of the engine at one base URL.
#[derive(Clone, Debug)]
pub struct Engine {
    base: String,
}

impl Engine {
    /// Creates a client for the engine at the URL `base`, such as `http://127.0.0.1:5000`.
    pub fn new(base: impl Into<String>) -> Engine {
        Engine { base: base.into() }
    }

    /// Base URL of the engine.
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Fetches the health report. Fails with [`Code::Unreachable`] or [`Code::BadMessage`].
    pub fn health(&self) -> Result<Health> {
        let request =
            minreq::get(format!("{}/health", self.base)).with_timeout(ADMIN_TIMEOUT_SECONDS);
        let response = fetch(request, MAX_RESPONSE_LEN).map_err(|_| Code::Unreachable)?;
        serde_json::from_slice(&response.body).map_err(|_| Code::BadMessage)
    }

    /// Orders the engine to load a version, and waits until it answers. Fails with
    /// [`Code::StaleOrder`] if the fence is stale, otherwise with [`Code::OrderIgnored`].
    pub fn load(&self, order: &LoadOrder) -> Result<()> {
        self.send_order("load", order, LOAD_TIMEOUT_SECONDS)
    }

    /// Orders the engine to unload its version. Fails like [`Engine::load`].
    pub fn unload(&self, fence: Fence) -> Result<()> {
        self.send_order("unload", &fence, ADMIN_TIMEOUT_SECONDS)
    }

    /// Cancels the request with this `x-request-id`. Fails like [`Engine::load`].
    pub fn cancel(&self, id: &str) -> Result<()> {
        self.send_order("cancel", &serde_json::json!({ "id": id }), ADMIN_TIMEOUT_SECONDS)
    }

    fn send_order<T: Serialize>(&self, action: &str, body: &T, timeout_seconds: u64) -> Result<()> {
        let body = serde_json::to_vec(body).expect("orders always encode");
        let request = minreq::post(format!("{}/admin/{action}", self.base))
            .with_body(body)
            .with_timeout(timeout_seconds);
        let response = fetch(request, MAX_RESPONSE_LEN).map_err(|_| Code::OrderIgnored)?;
        match response.status {
            200 => Ok(()),
            409 => Err(Code::StaleOrder),
            _ => Err(Code::OrderIgnored),
        }
    }
}

/// Parses the version in a header or a health report of an engine.
pub fn parse_version(text: &str) -> Option<Digest> {
    Digest::from_hex(text)
}
