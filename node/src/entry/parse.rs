//! Reading a request: who sends it, where it goes, and how it may be handled.

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
use crate::callers::BodyBounds;

/// Result of reading a request.
pub(super) type Result<T> = std::result::Result<T, Code>;

/// Header with the customer's key.
const KEY_HEADER: &str = "mastichaven-key";

/// Header that names a request across resends.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the milliseconds that the caller waits at most.
const DEADLINE_HEADER: &str = "mastichaven-deadline-ms";

/// Header with the wanted priority, 0 to 9; capped by the customer's.
const PRIORITY_HEADER: &str = "mastichaven-priority";

/// Bytes of a prompt that make one token, roughly.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of the first message that requests with the same prefix share.
const PREFIX_LEN: usize = 1_024;

/// Output tokens expected of a request that does not say.
const USUAL_OUTPUT: u32 = 64;

/// Work units of one request at most, whatever it says.
const MAX_WORK: u32 = 1 << 20;

/// The part of a chat completion's body that is read.
#[derive(Default, Deserialize)]
struct Fields {
    #[serde(default)]
    model: Option<SmolStr>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
}

/// One message of a conversation.
#[derive(Default, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

/// Whether the caller of a request still waits.
#[derive(Clone, Debug, Default)]
pub(super) struct Caller(Arc<AtomicBool>);

impl Caller {
    /// Whether it has left. Its resend may be on its way through another entry by then, and must
    /// not be told `not-run` while this sending waits for its turn.
    pub(super) fn has_left(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Notes that the caller has left when it is dropped.
    pub(super) fn watch(&self) -> CallerWatch {
        CallerWatch(self.clone())
    }
}

/// Lives as long as the caller waits.
pub(super) struct CallerWatch(Caller);

impl Drop for CallerWatch {
    fn drop(&mut self) {
        self.0.0.store(true, Ordering::Release);
    }
}

/// Counts the attempts of a request that are not proved not to have run.
///
/// The refusal of the last attempt says nothing of the earlier ones: an endpoint that died of the
/// first may have run it. Without this count its caller would be told `not-run`, and do by hand
/// what was done already.
#[derive(Clone, Debug, Default)]
pub(super) struct Sent(Arc<AtomicU32>);

impl Sent {
    /// An attempt is about to be sent.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// An attempt is proved not to have run.
    pub(super) fn remove(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether some attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }
}

/// A request that was read.
#[derive(Clone, Debug)]
pub(super) struct Parsed {
    /// Who sends it.
    pub(super) customer: CustomerName,
    /// Where it goes.
    pub(super) service: ServiceName,
    /// Digest of the manifest that must answer; `None` for plain services.
    pub(super) version: Option<Digest>,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// Its idempotency key, where it needs one.
    pub(super) key: Option<SmolStr>,
    /// Digest of the start of its prompt, which endpoints may have cached.
    pub(super) prefix: Option<Digest>,
    /// Work units it costs.
    pub(super) work: u32,
    /// 0 (lowest) to 9.
    pub(super) priority: u8,
    /// When its caller stops waiting.
    pub(super) deadline: Time,
    /// Who waits for the answer.
    pub(super) caller: Caller,
    /// Attempts that may have run.
    pub(super) sent: Sent,
    /// HTTP method.
    pub(super) method: SmolStr,
    /// Path and query.
    pub(super) path: SmolStr,
    /// Content type of the body.
    pub(super) content_type: SmolStr,
    /// The body.
    pub(super) body: Bytes,
}

impl Parsed {
    /// What the claim and the crash record know the request by.
    pub(super) fn digest(&self) -> Digest {
        let mut bytes = format!("{} {}\n", self.method, self.path).into_bytes();
        bytes.extend_from_slice(&self.body);
        Digest::of(&bytes)
    }
}

/// Whether a request names an idempotency key, so that an earlier sending of it may have run.
pub(super) fn is_keyed(req: &Request<Incoming>) -> bool {
    req.headers().contains_key(IDEMPOTENCY_HEADER)
}

/// Reads a request.
pub(super) async fn parse(shared: &Shared, req: Request<Incoming>, now: Time) -> Result<Parsed> {
    if callers::is_head_too_large(&req) {
        return Err(Code::TooLarge);
    }
    let in_force = shared.documents.in_force();
    if in_force.generation == Generation::default() {
        return Err(Code::NotConfigured);
    }
    let config = &in_force.config;
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        SmolStr::new(value.unwrap_or_default())
    };
    let (customer, max_priority) = find_customer(config, &text(KEY_HEADER))?;
    let key = text(IDEMPOTENCY_HEADER);
    if key.len() > MAX_KEY_LEN {
        return Err(Code::BadRequest);
    }
    let deadline = scan_deadline(config, &text(DEADLINE_HEADER))?;
    let priority = text(PRIORITY_HEADER).parse().unwrap_or(0u8).min(max_priority);
    let content_type = text("content-type");
    let method = SmolStr::new(req.method().as_str());
    let path = req.uri().path_and_query().map_or("/".into(), |path| SmolStr::new(path.as_str()));
    let limit = usize::try_from(config.limits.body_bytes).unwrap_or(usize::MAX);
    let body = callers::read_body(req.into_body(), BodyBounds::of_port(limit)).await?;
    let fields: Fields = serde_json::from_slice(&body).unwrap_or_default();
    let service = find_route(config, &path, fields.model.as_ref())?;
    let (version, idempotent) = match config.service.get(&service) {
        Some(Service::Model { model, .. }) => (Some(router::version_of(shared, model)?), true),
        Some(Service::Plain { idempotent, .. }) => (None, *idempotent),
        None => return Err(Code::NoRoute),
    };
    Ok(Parsed {
        customer,
        service,
        version,
        idempotent,
        key: (!key.is_empty() && !idempotent).then_some(key),
        prefix: if version.is_some() { prefix_of(&fields) } else { None },
        work: if version.is_some() { work_of(&body, &fields) } else { 1 },
        priority,
        deadline: now + deadline,
        caller: Caller::default(),
        sent: Sent::default(),
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

/// A deadline only shortens what is configured.
fn scan_deadline(config: &Config, text: &str) -> Result<Duration> {
    let configured = config.limits.deadline_ms;
    if text.is_empty() {
        return Ok(Duration::from_millis(configured));
    }
    let wanted: u64 = text.parse().map_err(|_| Code::BadRequest)?;
    Ok(Duration::from_millis(wanted.min(configured)))
}

/// Conversations begin with long instructions that many share: those are worth meeting again.
fn prefix_of(fields: &Fields) -> Option<Digest> {
    let first = fields.messages.first()?.content.as_str()?.as_bytes();
    Some(Digest::of(&first[..first.len().min(PREFIX_LEN)]))
}

fn work_of(body: &Bytes, fields: &Fields) -> u32 {
    let prompt = u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(MAX_WORK);
    prompt.saturating_add(fields.max_tokens.unwrap_or(USUAL_OUTPUT)).clamp(1, MAX_WORK)
}

fn find_route(config: &Config, path: &str, named: Option<&SmolStr>) -> Result<ServiceName> {
    config
        .route
        .values()
        .filter(|route| path.starts_with(route.path.as_str()))
        .filter(|route| route.model.is_none() || route.model.as_ref() == named)
        .max_by_key(|route| route.path.len())
        .map(|route| route.service.clone())
        .ok_or(Code::NoRoute)
}

/// During a rollout the version that answers may change between two attempts; a later attempt goes
/// to the one in service then. No answer mixes versions, as each attempt names its own.
pub(super) fn refresh_version(shared: &Shared, parsed: &mut Parsed) -> Result<()> {
    let in_force = shared.documents.in_force();
    if let Some(Service::Model { model, .. }) = in_force.config.service.get(&parsed.service) {
        parsed.version = Some(router::version_of(shared, model)?);
    }
    Ok(())
}
