//! One request from its head to the end of its answer.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::config::Config;
use mastichaven_core::config::Service;
use mastichaven_core::config::ZoneState;
use mastichaven_core::ids::Attempt;
use mastichaven_core::ids::CustomerName;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::ModelName;
use mastichaven_core::ids::RequestId;
use mastichaven_core::ids::ServiceName;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::plan::version_to_answer;
use mastichaven_core::route;
use mastichaven_core::run::RunAsk;
use mastichaven_core::run::RunFrame;
use mastichaven_core::wire::AskBody;
use mastichaven_core::wire::ReplyBody;
use serde::Deserialize;
use smol_str::SmolStr;

use super::Shared;
use crate::callers;
use crate::callers::AnswerBody;
use crate::transport::Call;

/// Header with the customer's key.
pub const KEY_HEADER: &str = "mastichaven-key";

/// Header that says whether the request ran; see [`Outcome`].
pub const OUTCOME_HEADER: &str = "mastichaven-outcome";

/// Header with the numbered code.
pub const CODE_HEADER: &str = "mastichaven-code";

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// Frames waiting for a slow caller.
const FRAME_RING: usize = 64;

/// Keeps count of requests in progress, also when the caller leaves.
struct InProgress(Arc<Shared>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers one request.
pub(crate) async fn serve(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    if shared.is_stopping() {
        return refuse(Code::Stopping);
    }
    shared.running.fetch_add(1, Ordering::AcqRel);
    let in_progress = InProgress(shared.clone());
    match run(shared, req, in_progress).await {
        Ok(response) => response,
        Err(code) => refuse(code),
    }
}

fn refuse(code: Code) -> Response<AnswerBody> {
    let text =
        format!("{{\"error\":{{\"code\":{},\"message\":\"{}\"}}}}\n", code.number(), code.text());
    let mut response = Response::builder()
        .status(code.http_status())
        .header("content-type", "application/json")
        .header(OUTCOME_HEADER, code.outcome().as_str())
        .header(CODE_HEADER, code.number());
    if matches!(code.http_status(), 429 | 503) {
        response = response.header("retry-after", "1");
    }
    response.body(callers::whole(Bytes::from(text))).expect("these headers are valid")
}

/// The part of a chat completion's body that routing reads.
#[derive(Deserialize)]
struct ModelField {
    model: SmolStr,
}

/// What a request is, once it is read.
struct Parsed {
    customer: CustomerName,
    service: ServiceName,
    version: Option<Digest>,
    idempotent: bool,
    method: SmolStr,
    path: SmolStr,
    content_type: SmolStr,
    body: Bytes,
}

async fn run(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    in_progress: InProgress,
) -> Result<Response<AnswerBody>, Code> {
    let mut parsed = parse(shared, req).await?;
    let request = RequestId(rand::random());
    let mut tried = Vec::new();
    let mut last = Code::NoEndpoint;
    for attempt in 1..=MAX_ATTEMPTS {
        refresh_version(shared, &mut parsed)?;
        let Some(member) = choose(shared, &parsed, &tried) else {
            return Err(last);
        };
        let ask = run_ask(shared, &parsed, request, Attempt(attempt));
        let mut call = shared.transport.call(member.address, &shared.ask(AskBody::Run(ask)));
        tried.push(member.host.clone());
        match first_frame(&mut call).await {
            Ok(()) => return answer(call, Attempt(attempt), in_progress).await,
            Err(code) if code.outcome() == Outcome::NotRun => last = code,
            Err(code) => return Err(code),
        }
    }
    Err(last)
}

async fn parse(shared: &Shared, req: Request<Incoming>) -> Result<Parsed, Code> {
    let in_force = shared.documents.in_force();
    let config = &in_force.config;
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        SmolStr::new(value.unwrap_or_default())
    };
    let key = Digest::of(text(KEY_HEADER).as_bytes()).to_hex();
    let customer = config
        .customer
        .iter()
        .find(|(_, customer)| customer.key_digest == key)
        .map(|(name, _)| name.clone())
        .ok_or(Code::UnknownCustomer)?;
    let content_type = text("content-type");
    let method = SmolStr::new(req.method().as_str());
    let path = req.uri().path_and_query().map_or("/".into(), |path| SmolStr::new(path.as_str()));
    let limit = usize::try_from(config.limits.body_bytes).unwrap_or(usize::MAX);
    let body = Limited::new(req.into_body(), limit)
        .collect()
        .await
        .map_err(|_| Code::TooLarge)?
        .to_bytes();
    let service = find_route(config, &path, &body)?;
    let (version, idempotent) = match config.service.get(&service) {
        Some(Service::Model { model }) => (Some(version_of(shared, config, model)?), true),
        Some(Service::Plain { idempotent, .. }) => (None, *idempotent),
        None => return Err(Code::NoRoute),
    };
    Ok(Parsed { customer, service, version, idempotent, method, path, content_type, body })
}

fn find_route(config: &Config, path: &str, body: &[u8]) -> Result<ServiceName, Code> {
    let named = serde_json::from_slice::<ModelField>(body).ok().map(|field| field.model);
    config
        .route
        .values()
        .filter(|route| path.starts_with(route.path.as_str()))
        .filter(|route| route.model.is_none() || route.model == named)
        .max_by_key(|route| route.path.len())
        .map(|route| route.service.clone())
        .ok_or(Code::NoRoute)
}

fn version_of(shared: &Shared, config: &Config, name: &ModelName) -> Result<Digest, Code> {
    let model = config.model.get(name).ok_or(Code::NoRoute)?;
    let version = config.version.get(&model.serve).ok_or(Code::NoRoute)?;
    let configured = Digest::from_hex(&version.manifest).ok_or(Code::NoRoute)?;
    let plan = shared.documents.plan(name).map(|(_, plan)| plan);
    let members = shared.members();
    let is_ready = |wanted: Digest| {
        let serves = |member: &Member| matches!(&member.serving, Serving::Model { version, .. } if *version == wanted);
        members.iter().any(|member| !member.leaving && serves(member))
    };
    Ok(version_to_answer(plan.as_ref(), configured, is_ready))
}

/// During a rollout the version that answers may change between two attempts; a later attempt goes
/// to the one in service then. No answer mixes versions, as each attempt names its own.
fn refresh_version(shared: &Shared, parsed: &mut Parsed) -> Result<(), Code> {
    let in_force = shared.documents.in_force();
    if let Some(Service::Model { model }) = in_force.config.service.get(&parsed.service) {
        parsed.version = Some(version_of(shared, &in_force.config, model)?);
    }
    Ok(())
}

fn choose(shared: &Shared, parsed: &Parsed, tried: &[HostName]) -> Option<Member> {
    let in_force = shared.documents.in_force();
    let serves = |member: &Member| match (&member.serving, parsed.version) {
        (Serving::Model { version, .. }, Some(wanted)) => *version == wanted,
        (Serving::Plain { service, .. }, None) => *service == parsed.service,
        _ => false,
    };
    let zone_in = |member: &Member| {
        in_force.config.zone.get(&member.zone).is_some_and(|zone| zone.state == ZoneState::In)
    };
    let mut candidates = shared.members();
    candidates.retain(|member| !member.leaving && serves(member) && zone_in(member));
    route::pick(&candidates, &shared.settings.place.zone, tried, &mut rand::rng()).cloned()
}

fn run_ask(shared: &Shared, parsed: &Parsed, request: RequestId, attempt: Attempt) -> RunAsk {
    RunAsk {
        request,
        attempt,
        service: parsed.service.clone(),
        customer: parsed.customer.clone(),
        version: parsed.version,
        incarnation: None,
        work: 1,
        priority: 0,
        deadline_ms: shared.documents.in_force().config.limits.deadline_ms,
        idempotent: parsed.idempotent,
        alone: false,
        resume_after: 0,
        method: parsed.method.clone(),
        path: parsed.path.clone(),
        content_type: parsed.content_type.clone(),
        body: parsed.body.clone(),
    }
}

async fn next_frame(call: &mut Call) -> Result<RunFrame, Code> {
    match call.next().await {
        Some(Ok(reply)) => match reply.body {
            ReplyBody::Run(frame) => Ok(frame),
            ReplyBody::Refused(code) => Err(code),
            _ => Err(Code::BadMessage),
        },
        Some(Err(code)) => Err(code),
        None => Err(Code::PeerLost),
    }
}

async fn first_frame(call: &mut Call) -> Result<(), Code> {
    match next_frame(call).await? {
        RunFrame::Started { .. } => Ok(()),
        RunFrame::Refused { code, .. } => Err(code),
        _ => Err(Code::Truncated),
    }
}

async fn answer(
    mut call: Call,
    attempt: Attempt,
    in_progress: InProgress,
) -> Result<Response<AnswerBody>, Code> {
    let (status, content_type) = match next_frame(&mut call).await? {
        RunFrame::Head { status, content_type, .. } => (status, content_type),
        RunFrame::Failed { code, .. } => return Err(code),
        _ => return Err(Code::Truncated),
    };
    let (tx, rx) = flume::bounded(FRAME_RING);
    tokio::spawn(async move {
        forward(call, attempt, &tx).await;
        drop(in_progress);
    });
    Response::builder()
        .status(status)
        .header("content-type", content_type.as_str())
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(CODE_HEADER, Code::Ok.number())
        .body(callers::streamed(rx))
        .map_err(|_| Code::Truncated)
}

async fn forward(mut call: Call, expected: Attempt, tx: &flume::Sender<io::Result<Frame<Bytes>>>) {
    let mut next = 0;
    loop {
        match next_frame(&mut call).await {
            Ok(RunFrame::Data { attempt, sequence, bytes })
                if attempt == expected && sequence == next =>
            {
                next += 1;
                if tx.send_async(Ok(Frame::data(bytes))).await.is_err() {
                    return;
                }
            }
            Ok(RunFrame::End { frames, .. }) if frames == next => return,
            _ => {
                let cut = io::Error::new(io::ErrorKind::UnexpectedEof, Code::Truncated);
                let _ = tx.send_async(Err(cut)).await;
                tokio::time::sleep(Duration::from_millis(1)).await;
                return;
            }
        }
    }
}
