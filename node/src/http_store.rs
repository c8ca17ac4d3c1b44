//! HTTP client of the platform's object API. The paths and headers of that API are used only in
//! this file.
//!
//! | call | request | responses |
//! | --- | --- | --- |
//! | read | `GET /v1/objects/KEY` | 200 with `etag: REVISION`, 404 |
//! | write | `PUT /v1/objects/KEY` with `if-match: REVISION` or `if-none-match: *` | 200 with `etag`, 412, 413, 429 |
//! | delete | `DELETE /v1/objects/KEY` with `if-match` | 200, 404, 412 |
//! | list | `GET /v1/list?prefix=P` | 200 with `[[KEY, REVISION], …]` |
//! | watch | `GET /v1/watch?prefix=P&after=REVISION&wait_ms=N` | 200 with [`Changes`], 410 if compacted |
//! | hosts | `GET /v1/hosts` | 200 with a list of [`ListedHost`] |

use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::ids::Revision;
use mastichaven_core::platform::Changes;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ListedHost;
use mastichaven_core::platform::MAX_VALUE_LEN;
use mastichaven_core::platform::Object;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::platform::Result;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::fetch::CompleteResponse;
use crate::fetch::FetchError;
use crate::fetch::fetch;

/// Timeout of a call in seconds; a watch adds its own wait time.
const CALL_TIMEOUT_SECONDS: u64 = 3;

/// Maximum size in bytes of a list of keys, changes or hosts. A list of several thousand hosts with
/// long names takes up half of it.
const MAX_ANSWER_LEN: usize = 4 << 20;

/// The platform at an HTTP address.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: String,
}

impl HttpStore {
    /// Creates a client for the base URL `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: impl Into<String>) -> HttpStore {
        HttpStore { base: base.into() }
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/v1/objects/{key}", self.base)
    }

    fn get_json<T: DeserializeOwned>(&self, path: &str, timeout_seconds: u64) -> Result<T> {
        let request = minreq::get(format!("{}{path}", self.base)).with_timeout(timeout_seconds);
        let fetched = send(request)?;
        serde_json::from_slice(&fetched.body).map_err(|_| PlatformError::Malformed)
    }
}

impl ObjectStore for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Object>> {
        let request = minreq::get(self.object_url(key)).with_timeout(CALL_TIMEOUT_SECONDS);
        let fetched = fetch(request, MAX_VALUE_LEN).map_err(platform_error)?;
        if fetched.status == 404 {
            return Ok(None);
        }
        check_status(&fetched)?;
        if !fetched.has_content_length() {
            return Err(PlatformError::Malformed);
        }
        let revision = scan_revision(&fetched)?;
        Ok(Some(Object { revision, value: Bytes::from(fetched.body) }))
    }

    fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Revision> {
        if value.len() > MAX_VALUE_LEN {
            return Err(PlatformError::TooLarge);
        }
        let request = minreq::put(self.object_url(key))
            .with_timeout(CALL_TIMEOUT_SECONDS)
            .with_body(value.to_vec());
        let request = match expect {
            Expect::Absent => request.with_header("if-none-match", "*"),
            Expect::At(revision) => request.with_header("if-match", revision.0.to_string()),
        };
        scan_revision(&send(request)?)
    }

    fn delete(&self, key: &str, revision: Revision) -> Result<()> {
        let request = minreq::delete(self.object_url(key))
            .with_timeout(CALL_TIMEOUT_SECONDS)
            .with_header("if-match", revision.0.to_string());
        send(request).map(drop)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(SmolStr, Revision)>> {
        self.get_json(&format!("/v1/list?prefix={prefix}"), CALL_TIMEOUT_SECONDS)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes> {
        let path =
            format!("/v1/watch?prefix={prefix}&after={}&wait_ms={}", after.0, wait.as_millis());
        self.get_json(&path, wait.as_secs() + CALL_TIMEOUT_SECONDS)
    }

    fn hosts(&self) -> Result<Vec<ListedHost>> {
        self.get_json("/v1/hosts", CALL_TIMEOUT_SECONDS)
    }
}

fn send(request: minreq::Request) -> Result<CompleteResponse> {
    let fetched = fetch(request, MAX_ANSWER_LEN).map_err(platform_error)?;
    check_status(&fetched)?;
    Ok(fetched)
}

fn check_status(fetched: &CompleteResponse) -> Result<()> {
    match fetched.status {
        200 => Ok(()),
        409 | 412 => Err(PlatformError::Conflict),
        410 => Err(PlatformError::Compacted),
        413 => Err(PlatformError::TooLarge),
        429 => Err(PlatformError::Throttled),
        404 | 503 => Err(PlatformError::Down),
        _ => Err(PlatformError::Malformed),
    }
}

/// Only a refused connection proves that nothing was written. A reset or a timeout can follow a
/// write that took effect.
fn platform_error(error: FetchError) -> PlatformError {
    match error {
        FetchError::Refused => PlatformError::Down,
        FetchError::Interrupted => PlatformError::Unknown,
        FetchError::TooLong => PlatformError::Malformed,
    }
}

fn scan_revision(fetched: &CompleteResponse) -> Result<Revision> {
    let etag = fetched.header("etag").ok_or(PlatformError::Malformed)?;
    etag.trim_matches('"').parse().map(Revision).map_err(|_| PlatformError::Malformed)
}
