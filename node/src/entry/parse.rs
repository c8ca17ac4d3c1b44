//! Parses a request of a caller: customer, route, limits, and whether it may run more than once.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::claim::MAX_KEY_LEN;
use mastichaven_core::config::Config;
use mastichaven_core::config::Service;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::ServiceName;
use serde::Deserialize;
use smol_str::SmolStr;

use super::Shared;
use super::router;
use crate::callers;
use crate::callers::BodyLimits;

/// Result of parsing a request.
pub(super) type Result<T> = std::result::Result<T, Code>;

/// Header with the customer's API key.
const KEY_HEADER: &str = "mastichaven-key";

/// Header with the idempotency key, which identifies a request across retries.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the deadline in milliseconds, counted from the arrival of the request.
const DEADLINE_HEADER: &str = "mastichaven-deadline-ms";

/// Header with the priority, 0 to 9; limited to the maximum of the customer.
const PRIORITY_HEADER: &str = "mastichaven-priority";

/// Estimated number of prompt bytes per token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// Number of bytes of the first message that identify the prompt prefix.
const PREFIX_LEN: usize = 1_024;

/// Expected number of output tokens of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// Maximum number of work units charged for one request.
const MAX_WORK_UNITS: u32 = 1 << 20;

/// The fields of a chat completion request that are parsed.
#[derive(Default, Deserialize)]
struct Fields {
    #[serde(default)]
    model: Option<SmolStr>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
}

/// One message of a chat completion request.
#[derive(Default, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

/// Whether the caller of a request still waits for the response.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerStatus(Arc<AtomicBool>);

impl CallerStatus {
    /// Whether the caller has disconnected or its deadline has passed. It may then retry through
    /// another entry, and the retry must not get the outcome `not-run` while this submission is
    /// still queued and may run.
    pub(super) fn has_stopped_waiting(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Returns a guard that marks the caller as no longer waiting when dropped.
    pub(super) fn wait_guard(&self) -> WaitGuard {
        WaitGuard(self.clone())
    }
}

/// Held while the caller waits for the response.
pub(super) struct WaitGuard(CallerStatus);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.0.store(true, Ordering::Release);
    }
}

/// Number of attempts of a request that may have run.
///
/// A refusal of the last attempt proves nothing about earlier ones: an endpoint that crashed during
/// the first attempt may have run it. Without this count the caller would get the outcome `not-run`
/// and repeat an operation that was already done.
#[derive(Clone, Debug, Default)]
pub(super) struct UnresolvedAttempts(Arc<AtomicU32>);

impl UnresolvedAttempts {
    /// Counts an attempt; called before it is sent.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Removes an attempt that is proved not to have run.
    pub(super) fn remove(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }
}

/// A parsed request.
#[derive(Clone, Debug)]
pub(super) struct ParsedRequest {
    /// The customer that sent it.
    pub(super) customer: CustomerName,
    /// The service that it is routed to.
    pub(super) service: ServiceName,
    /// Manifest digest of the model version that must serve the request; `None` for plain services.
    pub(super) version: Option<Digest>,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Idempotency key; `None` if absent or not needed because the service is idempotent.
    pub(super) key: Option<SmolStr>,
    /// Digest of the prompt prefix, which endpoints may have cached; `None` for plain services.
    pub(super) prefix: Option<Digest>,
    /// Cost in work units.
    pub(super) work: u32,
    /// Priority from 0 (lowest) to 9.
    pub(super) priority: u8,
    /// Time at which the caller stops waiting.
    pub(super) deadline: Time,
    /// Whether the caller still waits.
    pub(super) caller: CallerStatus,
    /// Number of attempts that may have run.
    pub(super) unresolved: UnresolvedAttempts,
    /// HTTP method.
    pub(super) method: SmolStr,
    /// Path and query.
    pub(super) path: SmolStr,
    /// Value of the `content-type` header.
    pub(super) content_type: SmolStr,
    /// Request body.
    pub(super) body: Bytes,
}

impl ParsedRequest {
    /// Digest of method, path and body, which identifies the request in claims and crash reports.
    pub(super) fn digest(&self) -> Digest {
        let mut bytes = format!("{} {}\n", self.method, self.path).into_bytes();
        bytes.extend_from_slice(&self.body);
        Digest::of(&bytes)
    }
}

/// Whether a request has an idempotency key, so that an earlier submission of it may have run.
pub(super) fn has_idempotency_key(req: &Request<Incoming>) -> bool {
    req.headers().contains_key(IDEMPOTENCY_HEADER)
}

/// Parses the head of a request that arrived at `now`, and reads its body.
pub(super) async fn parse(
    shared: &Shared,
    req: Request<Incoming>,
    now: Time,
) -> Result<ParsedRequest> {
    if callers::is_head_too_large(&req) {
        return Err(Code::TooLarge);
    }
    let in_force = shared.documents.in_force();
    if in_force.generation == Generation::default() {
        return Err(Code::NotConfigured);
    }
    let config = &in_force.config;
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        SmolStr::new(value.unwrap_or_default())
    };
    let (customer, max_priority) = find_customer(config, &header(KEY_HEADER))?;
    let key = header(IDEMPOTENCY_HEADER);
    if key.len() > MAX_KEY_LEN {
        return Err(Code::BadRequest);
    }
    let deadline = parse_deadline(config, &header(DEADLINE_HEADER))?;
    let priority = header(PRIORITY_HEADER).parse().unwrap_or(0u8).min(max_priority);
    let content_type = header("content-type");
    let method = SmolStr::new(req.method().as_str());
    let path = req.uri().path_and_query().map_or("/".into(), |path| SmolStr::new(path.as_str()));
    let limit = usize::try_from(config.limits.body_bytes).unwrap_or(usize::MAX);
    let body = callers::read_body(req.into_body(), BodyLimits::of_callers_port(limit)).await?;
    let fields: Fields = serde_json::from_slice(&body).unwrap_or_default();
    let service = find_route(config, &path, fields.model.as_ref())?;
    let (version, idempotent) = match config.service.get(&service) {
        Some(Service::Model { model, .. }) => (Some(router::serving_version(shared, model)?), true),
        Some(Service::Plain { idempotent, .. }) => (None, *idempotent),
        None => return Err(Code::NoRoute),
    };
    Ok(ParsedRequest {
        customer,
        service,
        version,
        idempotent,
        key: (!key.is_empty() && !idempotent).then_some(key),
        prefix: if version.is_some() { prompt_prefix(&fields) } else { None },
        work: if version.is_some() { estimate_work(&body, &fields) } else { 1 },
        priority,
        deadline: now + deadline,
        caller: CallerStatus::default(),
        unresolved: UnresolvedAttempts::default(),
        method,
        path,
        content_type,
        body,
    })
}

fn find_customer(config: &Config, key: &str) -> Result<(CustomerName, u8)> {
    let digest = Digest::of(key.as_bytes()).to_hex();
    let found = config.customer.iter().find(|(_, customer)| customer.key_digest == digest);
    let (name, customer) = found.ok_or(Code::UnknownCustomer)?;
    Ok((name.clone(), customer.max_priority))
}

/// Parses the deadline header, which can only shorten the configured deadline.
fn parse_deadline(config: &Config, text: &str) -> Result<Duration> {
    let configured = config.limits.deadline_ms;
    if text.is_empty() {
        return Ok(Duration::from_millis(configured));
    }
    let requested: u64 = text.parse().map_err(|_| Code::BadRequest)?;
    Ok(Duration::from_millis(requested.min(configured)))
}

/// Returns the digest of the start of the first message. Many conversations share the same long
/// instructions there, so a match makes a cache hit at the endpoint likely.
fn prompt_prefix(fields: &Fields) -> Option<Digest> {
    let first = fields.messages.first()?.content.as_str()?.as_bytes();
    Some(Digest::of(&first[..first.len().min(PREFIX_LEN)]))
}

fn estimate_work(body: &Bytes, fields: &Fields) -> u32 {
    let prompt = u32::try_from(body.len() / PROMPT_BYTES_PER_TOKEN).unwrap_or(MAX_WORK_UNITS);
    prompt
        .saturating_add(fields.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS))
        .clamp(1, MAX_WORK_UNITS)
}

fn find_route(config: &Config, path: &str, model: Option<&SmolStr>) -> Result<ServiceName> {
    config
        .route
        .values()
        .filter(|route| path.starts_with(route.path.as_str()))
        .filter(|route| route.model.is_none() || route.model.as_ref() == model)
        .max_by_key(|route| route.path.len())
        .map(|route| route.service.clone())
        .ok_or(Code::NoRoute)
}

/// Updates the model version before an attempt, as a rollout may have switched it since the
/// previous one. Each attempt names its version, so no response mixes versions.
pub(super) fn refresh_version(shared: &Shared, parsed: &mut ParsedRequest) -> Result<()> {
    let in_force = shared.documents.in_force();
    if let Some(Service::Model { model, .. }) = in_force.config.service.get(&parsed.service) {
        parsed.version = Some(router::serving_version(shared, model)?);
    }
    Ok(())
}
