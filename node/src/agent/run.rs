//! Runs one request on the endpoint: admission, the gate, and the answer's frames.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::ids::Digest;
use mastichaven_core::ids::StartId;
use mastichaven_core::members::Serving;
use mastichaven_core::run::RunAsk;
use mastichaven_core::run::RunFrame;
use mastichaven_core::run::VoidReply;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use smol_str::SmolStr;

use super::Shared;
use crate::engine::scan_version;
use crate::transport::ReplySink;

/// Bytes of an answer read at once at most.
const READ_LEN: usize = 16 << 10;

/// Admits `ask` and starts its thread, or refuses it.
pub(super) fn start(shared: &Arc<Shared>, ask: RunAsk, replies: ReplySink) {
    match admit(shared, &ask) {
        Ok(start) => {
            shared.running.fetch_add(1, Ordering::AcqRel);
            let shared = shared.clone();
            thread::spawn(move || run(&shared, &ask, start, &replies));
        }
        Err(code) => {
            let load = shared.admission.lock().expect("no holder of this lock panics").load();
            send(shared, &replies, RunFrame::Refused { code, load });
        }
    }
}

/// Checks everything that proves that the request did not run, before anything runs.
fn admit(shared: &Shared, ask: &RunAsk) -> Result<StartId, Code> {
    let zone = &shared.settings.place.zone;
    let in_force = shared.documents.in_force();
    let zone_is_out = in_force
        .config
        .zone
        .get(zone)
        .is_some_and(|zone| zone.state == mastichaven_core::config::ZoneState::Out);
    if shared.is_stopping() || zone_is_out {
        return Err(Code::EndpointClosed);
    }
    if ask.incarnation.is_some_and(|incarnation| incarnation != shared.incarnation) {
        return Err(Code::EndpointClosed);
    }
    let start = open_for(shared, ask)?;
    let mut requests = shared.requests.lock().expect("no holder of this lock panics");
    match requests.get(&ask.request) {
        None => {}
        Some(VoidReply::Voided) => return Err(Code::Voided),
        Some(_) if ask.idempotent => {}
        Some(_) => return Err(Code::KeyInProgress),
    }
    if !shared.admission.lock().expect("no holder of this lock panics").try_enter() {
        return Err(Code::EndpointFull);
    }
    requests.insert(ask.request, VoidReply::Running);
    Ok(start)
}

fn open_for(shared: &Shared, ask: &RunAsk) -> Result<StartId, Code> {
    let serving = shared.serving.lock().expect("no holder of this lock panics");
    match (&*serving, ask.version) {
        (Serving::Model { version, start, .. }, Some(wanted)) if *version == wanted => Ok(*start),
        (Serving::Model { .. }, _) => Err(Code::WrongVersion),
        (Serving::Plain { service, start }, None) if *service == ask.service => Ok(*start),
        _ => Err(Code::EndpointClosed),
    }
}

fn run(shared: &Shared, ask: &RunAsk, start: StartId, replies: &ReplySink) {
    let result = forward(shared, ask, start, replies);
    let ended = if result.is_ok() { VoidReply::Ran } else { VoidReply::Unknown };
    shared.requests.lock().expect("no holder of this lock panics").insert(ask.request, ended);
    let load = {
        let mut admission = shared.admission.lock().expect("no holder of this lock panics");
        admission.leave();
        admission.load()
    };
    let frame = match result {
        Ok(frames) => RunFrame::End { attempt: ask.attempt, frames, load },
        Err(code) => {
            RunFrame::Failed { attempt: ask.attempt, code, crashed: false, beside: load.requests }
        }
    };
    send(shared, replies, frame);
    shared.running.fetch_sub(1, Ordering::AcqRel);
}

/// Sends the request to the endpoint and its answer back; gives the number of data frames.
fn forward(
    shared: &Shared,
    ask: &RunAsk,
    start: StartId,
    replies: &ReplySink,
) -> Result<u32, Code> {
    send(shared, replies, RunFrame::Started { start });
    let response = request(shared, ask).send_lazy().map_err(|_| Code::EndpointLost)?;
    let header = |name: &str| {
        let found = response.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    let version = header("x-model-version").as_deref().and_then(scan_version);
    check_answer(ask, start, version, header("x-start-id").as_deref())?;
    let content_type = SmolStr::new(header("content-type").unwrap_or_default());
    let status = response.status_code;
    send(shared, replies, RunFrame::Head { attempt: ask.attempt, status, content_type, version });
    forward_body(shared, ask, response, replies)
}

fn request(shared: &Shared, ask: &RunAsk) -> minreq::Request {
    let url = format!("{}{}", shared.engine.base(), ask.path);
    minreq::Request::new(minreq::Method::Custom(ask.method.to_string()), url)
        .with_header("content-type", ask.content_type.as_str())
        .with_header("x-request-id", format!("{:032x}", ask.request.0))
        .with_header("x-resume-after", ask.resume_after.to_string())
        .with_body(ask.body.to_vec())
        .with_timeout(ask.deadline_ms.div_ceil(1_000).max(1))
}

/// An engine that restarted or switched between the gate and the answer says so in its headers;
/// without this check the caller would read an answer from other weights.
fn check_answer(
    ask: &RunAsk,
    start: StartId,
    version: Option<Digest>,
    answered_by: Option<&str>,
) -> Result<(), Code> {
    let answered_by = answered_by.and_then(|text| text.parse().ok()).map(StartId);
    if ask.version.is_some() && (version != ask.version || answered_by != Some(start)) {
        return Err(Code::EndpointLost);
    }
    Ok(())
}

fn forward_body(
    shared: &Shared,
    ask: &RunAsk,
    mut response: minreq::ResponseLazy,
    replies: &ReplySink,
) -> Result<u32, Code> {
    let mut buf = vec![0; READ_LEN];
    let mut sequence = 0;
    loop {
        let len = response.read(&mut buf).map_err(|_| Code::Truncated)?;
        if len == 0 {
            return Ok(sequence);
        }
        let bytes = Bytes::copy_from_slice(&buf[..len]);
        let frame = RunFrame::Data { attempt: ask.attempt, sequence, bytes };
        let reply = Reply {
            generation: shared.documents.in_force().generation,
            body: ReplyBody::Run(frame),
        };
        if replies.send(reply).is_err() {
            let _ = shared.engine.cancel(&format!("{:032x}", ask.request.0));
            return Err(Code::CallerLeft);
        }
        sequence += 1;
    }
}

fn send(shared: &Shared, replies: &ReplySink, frame: RunFrame) {
    let generation = shared.documents.in_force().generation;
    let _ = replies.send(Reply { generation, body: ReplyBody::Run(frame) });
}
