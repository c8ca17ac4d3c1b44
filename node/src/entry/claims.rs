//! Runs requests with an idempotency key: performs the actions of [`ClaimMachine`].
//!
//! Platform calls block, so worker threads make them, behind a bounded queue. A full queue is
//! treated as an unavailable platform. An entry that cannot reach the platform relays its calls
//! through other entries, which serve them from the same queue.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::claim;
use mastichaven_core::claim::Action;
use mastichaven_core::claim::Claim;
use mastichaven_core::claim::ClaimMachine;
use mastichaven_core::claim::Dispatch;
use mastichaven_core::claim::Event;
use mastichaven_core::ids::Attempt;
use mastichaven_core::ids::Revision;
use mastichaven_core::members::Member;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::HostRole;
use mastichaven_core::platform::Object;
use mastichaven_core::platform::ObjectStore;
use mastichaven_core::platform::PlatformError;
use mastichaven_core::relay::RelayReply;
use mastichaven_core::relay::RelayRequest;
use mastichaven_core::run::FullResponse;
use mastichaven_core::run::VoidReply;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use tokio::sync::oneshot;

use super::Shared;
use super::dispatch;
use super::parse::ParsedRequest;
use super::router;
use super::router::EndpointPermit;
use super::router::Rejection;
use crate::transport::ReplySink;

/// Number of threads that call the platform.
pub(super) const WORKER_THREADS: usize = 8;

/// Maximum number of platform calls that wait for a worker thread.
pub(super) const CALL_QUEUE_LEN: usize = 256;

/// Interval at which a thread checks whether the entry has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long calls skip the direct path and are relayed, after the platform could not be reached.
const PLATFORM_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of other entries tried as a relay for one call.
const MAX_RELAYING_ENTRIES: usize = 2;

/// Timeout of a relayed call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of attempts that the claim of one request is assigned to.
const MAX_ATTEMPTS: u32 = 8;

/// A platform call for the worker threads.
pub(super) enum PlatformCall {
    Read(String, oneshot::Sender<Event>),
    Write(String, Bytes, Expect, oneshot::Sender<Event>),
    Relay(RelayRequest, ReplySink),
}

/// Sends calls to the worker threads.
pub(super) struct Handle {
    calls: flume::Sender<PlatformCall>,
    backoff_until: AtomicU64,
}

impl Handle {
    /// Creates a handle that sends its calls to `calls`.
    pub(super) fn new(calls: flume::Sender<PlatformCall>) -> Handle {
        Handle { calls, backoff_until: AtomicU64::new(0) }
    }

    /// Queues a call that another entry relays. A full queue refuses it as busy.
    pub(super) fn relay(&self, request: RelayRequest, replies: ReplySink) {
        if let Err(error) = self.calls.try_send(PlatformCall::Relay(request, replies))
            && let PlatformCall::Relay(_, replies) = error.into_inner()
        {
            let body = ReplyBody::Refused(Code::Busy);
            let _ = replies.send(Reply { generation: Default::default(), body });
        }
    }

    async fn call(&self, make_call: impl FnOnce(oneshot::Sender<Event>) -> PlatformCall) -> Event {
        let (tx, rx) = oneshot::channel();
        if self.calls.try_send(make_call(tx)).is_err() {
            return Event::Unavailable;
        }
        rx.await.unwrap_or(Event::WriteUnknown)
    }

    fn is_backing_off(&self, now: Time) -> bool {
        now.as_micros() < self.backoff_until.load(Ordering::Relaxed)
    }

    fn back_off(&self, now: Time) {
        self.backoff_until.store((now + PLATFORM_BACKOFF).as_micros(), Ordering::Relaxed);
    }
}

/// Serves queued calls until the entry stops.
pub(super) fn run(shared: &Arc<Shared>, calls: &flume::Receiver<PlatformCall>) {
    while !shared.is_over() {
        if let Ok(call) = calls.recv_timeout(STOP_POLL_INTERVAL) {
            serve_call(shared, call);
        }
    }
}

fn serve_call(shared: &Shared, call: PlatformCall) {
    match call {
        PlatformCall::Read(key, tx) => {
            let _ = tx.send(read_event(read_object(shared, &key)));
        }
        PlatformCall::Write(key, value, expect, tx) => {
            let _ = tx.send(write_event(write_object(shared, &key, value, expect)));
        }
        PlatformCall::Relay(request, replies) => {
            let generation = shared.documents.in_force().generation;
            let body = ReplyBody::Relay(serve_relay(shared, request));
            let _ = replies.send(Reply { generation, body });
        }
    }
}

fn read_event(read: Result<Option<Object>, PlatformError>) -> Event {
    match read {
        Ok(None) => Event::Found(None),
        Ok(Some(object)) => match Claim::decode(&object.value) {
            Ok(claim) => Event::Found(Some((object.revision, claim))),
            Err(_) => Event::WriteUnknown,
        },
        Err(_) => Event::Unavailable,
    }
}

fn write_event(write: Result<Revision, PlatformError>) -> Event {
    match write {
        Ok(revision) => Event::Written(revision),
        Err(PlatformError::Conflict) => Event::Conflict,
        Err(PlatformError::Down | PlatformError::Throttled) => Event::Unavailable,
        Err(_) => Event::WriteUnknown,
    }
}

fn read_object(shared: &Shared, key: &str) -> Result<Option<Object>, PlatformError> {
    if !shared.claims.is_backing_off(shared.clock.now()) {
        match shared.platform.get(key) {
            Err(PlatformError::Throttled) => return Err(PlatformError::Throttled),
            Err(_) => shared.claims.back_off(shared.clock.now()),
            found => return found,
        }
    }
    match relay_call(shared, &RelayRequest::Get(key.into())) {
        RelayReply::Object(object) => {
            Ok(object.map(|(revision, value)| Object { revision, value }))
        }
        _ => Err(PlatformError::Down),
    }
}

fn write_object(
    shared: &Shared,
    key: &str,
    value: Bytes,
    expect: Expect,
) -> Result<Revision, PlatformError> {
    if !shared.claims.is_backing_off(shared.clock.now()) {
        match shared.platform.put(key, value.clone(), expect) {
            Err(PlatformError::Down) => shared.claims.back_off(shared.clock.now()),
            // The write may have taken effect, which only a read determines, so it is not relayed.
            Err(PlatformError::Unknown) => {
                shared.claims.back_off(shared.clock.now());
                return Err(PlatformError::Unknown);
            }
            result => return result,
        }
    }
    let expect = match expect {
        Expect::Absent => None,
        Expect::At(revision) => Some(revision),
    };
    match relay_call(shared, &RelayRequest::Put { key: key.into(), value, expect }) {
        RelayReply::Written(revision) => Ok(revision),
        RelayReply::Conflict => Err(PlatformError::Conflict),
        RelayReply::Unavailable => Err(PlatformError::Down),
        RelayReply::Object(_) | RelayReply::Unknown => Err(PlatformError::Unknown),
    }
}

/// Relays a call through other entries. Those in other zones come first, as they are more likely to
/// reach the platform. Stops at the first reply that does not prove that the call had no effect.
fn relay_call(shared: &Shared, request: &RelayRequest) -> RelayReply {
    let own_place = &shared.settings.place;
    let mut entries: Vec<Member> = shared.members().to_vec();
    entries.retain(|m| m.role == HostRole::Entry && m.host != own_place.host && !m.leaving);
    entries.sort_by_key(|m| m.zone == own_place.zone);
    for entry in entries.iter().take(MAX_RELAYING_ENTRIES) {
        let message = shared.make_request(RequestBody::Relay(request.clone()));
        let reply = shared.transport.call_unary(entry.address, &message, RELAY_TIMEOUT);
        match reply.map(|reply| reply.body) {
            Ok(ReplyBody::Relay(RelayReply::Unavailable) | ReplyBody::Refused(_))
            | Err(Code::Unreachable | Code::Busy) => {}
            Ok(ReplyBody::Relay(reply)) => return reply,
            _ => return RelayReply::Unknown,
        }
    }
    RelayReply::Unavailable
}

fn serve_relay(shared: &Shared, request: RelayRequest) -> RelayReply {
    let platform = &shared.platform;
    match request {
        RelayRequest::Get(key) => match platform.get(&key) {
            Ok(object) => RelayReply::Object(object.map(|o| (o.revision, o.value))),
            Err(_) => RelayReply::Unavailable,
        },
        RelayRequest::Put { key, value, expect } => {
            let expect = expect.map_or(Expect::Absent, Expect::At);
            match platform.put(&key, value, expect) {
                Ok(revision) => RelayReply::Written(revision),
                Err(PlatformError::Conflict) => RelayReply::Conflict,
                Err(PlatformError::Down | PlatformError::Throttled) => RelayReply::Unavailable,
                Err(_) => RelayReply::Unknown,
            }
        }
    }
}

/// Result of a request with an idempotency key.
pub(super) struct ClaimResult {
    /// The response, or the reason that there is none.
    pub(super) result: Result<FullResponse, Rejection>,
    /// Whether it is proved that nothing ran under the key, as the outcome `not-run` requires.
    pub(super) not_run: bool,
}

/// Runs a request at most once per key.
pub(super) async fn serve(shared: &Arc<Shared>, parsed: &ParsedRequest, key: &str) -> ClaimResult {
    let object = claim::object_key(&parsed.customer, &parsed.service, key);
    let permit = match router::acquire(shared, parsed, &[], false).await {
        Ok(permit) => permit,
        Err(rejection) => return ClaimResult { result: Err(rejection), not_run: false },
    };
    let now = shared.clock.now();
    let (machine, mut next) =
        ClaimMachine::start(parsed.digest(), permit.to.clone(), parsed.deadline, now);
    let mut keyed = KeyedRequest { shared, parsed, machine, permit: Some(permit), attempts: 0 };
    loop {
        next = match next {
            Action::Dispatch => keyed.send().await,
            Action::Respond(full) => return ClaimResult { result: Ok(full), not_run: false },
            Action::Refuse(Code::Voided) if !keyed.machine.is_not_run() => {
                keyed.reassign(Code::Voided).await
            }
            Action::Refuse(code) => {
                let not_run = keyed.machine.is_not_run();
                return ClaimResult { result: Err(code.into()), not_run };
            }
            Action::QueryAgent(_) | Action::Read | Action::Wait(_) | Action::Write(..) => {
                let event = perform(shared, &object, next).await;
                keyed.machine.step(event, shared.clock.now())
            }
        };
    }
}

/// Whether a later incarnation of the agent is known. The state of the attempt can then no longer
/// be determined, and querying it until the timeout would delay every retry of the request.
fn is_agent_restarted(shared: &Shared, to: &Dispatch) -> bool {
    let is_later = |m: &Member| m.host == to.agent && m.incarnation > to.incarnation;
    shared.members().iter().any(is_later)
}

async fn perform(shared: &Shared, object: &str, action: Action) -> Event {
    let key = object.to_owned();
    match action {
        Action::Write(claim, expect) => {
            let value = Bytes::from(claim.encode());
            shared.claims.call(|tx| PlatformCall::Write(key, value, expect, tx)).await
        }
        Action::QueryAgent(to) if is_agent_restarted(shared, &to) => {
            Event::AgentReply(Some(VoidReply::Unknown))
        }
        Action::QueryAgent(to) => Event::AgentReply(dispatch::query_attempt(shared, &to).await),
        Action::Wait(span) => {
            tokio::time::sleep(span).await;
            Event::Waited
        }
        _ => shared.claims.call(|tx| PlatformCall::Read(key, tx)).await,
    }
}

/// One submission of a request with an idempotency key.
struct KeyedRequest<'a> {
    shared: &'a Arc<Shared>,
    parsed: &'a ParsedRequest,
    machine: ClaimMachine,
    /// Permit for the endpoint of the claimed attempt, until it is sent.
    permit: Option<EndpointPermit>,
    attempts: u32,
}

impl KeyedRequest<'_> {
    async fn send(&mut self) -> Action {
        let Some(permit) = self.permit.take() else {
            return self.machine.contact_lost(self.shared.clock.now());
        };
        if self.parsed.caller.has_stopped_waiting() {
            return self.machine.release(Code::CallerLeft);
        }
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        match dispatch::run_to_completion(self.shared, self.parsed, permit, attempt).await {
            Ok(response) => self.machine.finish(response, self.shared.clock.now()),
            Err(failure) if failure.is_not_run() => self.reassign(failure.code).await,
            Err(_) => self.machine.contact_lost(self.shared.clock.now()),
        }
    }

    /// Reassigns the claim to another endpoint, or releases it. Called only when the attempt is
    /// proved not to have run.
    async fn reassign(&mut self, code: Code) -> Action {
        let is_expired = self.parsed.deadline <= self.shared.clock.now();
        if self.attempts >= MAX_ATTEMPTS || is_expired {
            return self.machine.release(code);
        }
        let tried = [self.machine.attempt().agent.clone()];
        match router::acquire(self.shared, self.parsed, &tried, true).await {
            Ok(permit) => {
                let to = permit.to.clone();
                self.permit = Some(permit);
                self.machine.reassign(to)
            }
            Err(rejection) => self.machine.release(rejection.code),
        }
    }
}
