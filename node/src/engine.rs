//! The model engine's interface over HTTP: the one file that knows its paths and headers.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | health | `GET /health` | [`Health`] as JSON |
//! | load | `POST /admin/load` with [`LoadOrder`] | 200, 409 when the fence is old |
//! | unload | `POST /admin/unload` with [`Fence`] | 200, 409 |
//! | cancel | `POST /admin/cancel` with `{"id": …}` | 200 |
//! | run | `POST /v1/chat/completions` with `x-request-id`, `x-resume-after` | the answer, with `x-start-id` and `x-model-version` |

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

/// Seconds an administrative call may take.
const ADMIN_TIMEOUT_SECONDS: u64 = 2;

/// Seconds loading a version may take.
const LOAD_TIMEOUT_SECONDS: u64 = 600;

/// Bytes of an answer to an administrative call at most.
const MAX_ANSWER_LEN: usize = 64 << 10;

/// What the engine has loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loaded {
    /// The model.
    pub model: ModelName,
    /// Digest of the manifest, in hexadecimal.
    pub version: SmolStr,
}

/// What the engine says of itself; its load figures lag.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Health {
    /// Its life.
    pub start_id: StartId,
    /// What it has loaded and answers from.
    pub loaded: Option<Loaded>,
    /// Requests it works on.
    pub running: u32,
}

/// Orders the engine to load a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelName,
    /// Digest of the manifest, in hexadecimal.
    pub version: SmolStr,
    /// Where the engine reads the whole weights from.
    pub source: String,
    /// Fencing token.
    pub fence: Fence,
}

/// The engine at an address.
#[derive(Clone, Debug)]
pub struct Engine {
    base: String,
}

impl Engine {
    /// The engine at `base`, such as `http://127.0.0.1:5000`.
    pub fn new(base: impl Into<String>) -> Engine {
        Engine { base: base.into() }
    }

    /// Its base address.
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Asks the engine what it is.
    pub fn health(&self) -> Result<Health> {
        let request =
            minreq::get(format!("{}/health", self.base)).with_timeout(ADMIN_TIMEOUT_SECONDS);
        let fetched = fetch(request, MAX_ANSWER_LEN).map_err(|_| Code::Unreachable)?;
        serde_json::from_slice(&fetched.body).map_err(|_| Code::BadMessage)
    }

    /// Orders the engine to load a version.
    pub fn load(&self, order: &LoadOrder) -> Result<()> {
        self.order("load", order, LOAD_TIMEOUT_SECONDS)
    }

    /// Orders the engine to drop what it has loaded.
    pub fn unload(&self, fence: Fence) -> Result<()> {
        self.order("unload", &fence, ADMIN_TIMEOUT_SECONDS)
    }

    /// Tells the engine that nobody waits for a request any more.
    pub fn cancel(&self, id: &str) -> Result<()> {
        self.order("cancel", &serde_json::json!({ "id": id }), ADMIN_TIMEOUT_SECONDS)
    }

    fn order<T: Serialize>(&self, what: &str, body: &T, timeout_seconds: u64) -> Result<()> {
        let body = serde_json::to_vec(body).expect("orders always encode");
        let request = minreq::post(format!("{}/admin/{what}", self.base))
            .with_body(body)
            .with_timeout(timeout_seconds);
        let fetched = fetch(request, MAX_ANSWER_LEN).map_err(|_| Code::OrderIgnored)?;
        match fetched.status {
            200 => Ok(()),
            409 => Err(Code::StaleOrder),
            _ => Err(Code::OrderIgnored),
        }
    }
}

/// Reads a digest from an engine's header or health report.
pub fn scan_version(text: &str) -> Option<Digest> {
    Digest::from_hex(text)
}
