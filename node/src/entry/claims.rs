//! Requests with an idempotency key: carries out what [`ClaimMachine`] decides.
//!
//! Platform calls block, so a few threads make them, behind a bounded ring; a full ring counts as
//! a platform that is down. An entry that cannot reach the platform itself passes its calls on
//! through other entries, which serve them from the same ring.

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
use super::parse::Parsed;
use super::router;
use super::router::Lease;
use super::router::Refused;
use crate::transport::ReplySink;

/// Threads that call the platform.
pub(super) const THREADS: usize = 8;

/// Calls waiting for a thread.
pub(super) const JOB_RING: usize = 256;

/// How often a thread looks whether the entry has ended.
const POLL: Duration = Duration::from_millis(200);

/// How long calls go through other entries first after the platform could not be reached.
const AVOID: Duration = Duration::from_secs(2);

/// Other entries that one call is passed on through at most.
const MAX_RELAYS: usize = 2;

/// How long another entry may take to pass a call on.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Attempts that one request moves its claim through at most.
const MAX_MOVES: u32 = 8;

/// A call for the threads.
pub(super) enum Job {
    Read(String, oneshot::Sender<Event>),
    Write(String, Bytes, Expect, oneshot::Sender<Event>),
    Relay(RelayRequest, ReplySink),
}

/// Hands calls to the threads.
pub(super) struct Handle {
    jobs: flume::Sender<Job>,
    avoid_until: AtomicU64,
}

impl Handle {
    /// A handle whose calls go to `jobs`.
    pub(super) fn new(jobs: flume::Sender<Job>) -> Handle {
        Handle { jobs, avoid_until: AtomicU64::new(0) }
    }

    /// Serves a call that another entry passes on.
    pub(super) fn relay(&self, ask: RelayRequest, replies: ReplySink) {
        if let Err(error) = self.jobs.try_send(Job::Relay(ask, replies))
            && let Job::Relay(_, replies) = error.into_inner()
        {
            let body = ReplyBody::Refused(Code::Busy);
            let _ = replies.send(Reply { generation: Default::default(), body });
        }
    }

    async fn call(&self, job: impl FnOnce(oneshot::Sender<Event>) -> Job) -> Event {
        let (tx, rx) = oneshot::channel();
        if self.jobs.try_send(job(tx)).is_err() {
            return Event::Unavailable;
        }
        rx.await.unwrap_or(Event::WriteUnknown)
    }

    fn avoids_platform(&self, now: Time) -> bool {
        now.as_micros() < self.avoid_until.load(Ordering::Relaxed)
    }

    fn avoid_platform(&self, now: Time) {
        self.avoid_until.store((now + AVOID).as_micros(), Ordering::Relaxed);
    }
}

/// Serves the ring until the entry ends.
pub(super) fn run(shared: &Arc<Shared>, jobs: &flume::Receiver<Job>) {
    while !shared.is_over() {
        if let Ok(job) = jobs.recv_timeout(POLL) {
            serve_job(shared, job);
        }
    }
}

fn serve_job(shared: &Shared, job: Job) {
    match job {
        Job::Read(key, tx) => {
            let _ = tx.send(found(read(shared, &key)));
        }
        Job::Write(key, value, expect, tx) => {
            let _ = tx.send(written(write(shared, &key, value, expect)));
        }
        Job::Relay(ask, replies) => {
            let generation = shared.documents.in_force().generation;
            let body = ReplyBody::Relay(serve_relay(shared, ask));
            let _ = replies.send(Reply { generation, body });
        }
    }
}

fn found(read: Result<Option<Object>, PlatformError>) -> Event {
    match read {
        Ok(None) => Event::Found(None),
        Ok(Some(object)) => match Claim::decode(&object.value) {
            Ok(claim) => Event::Found(Some((object.revision, claim))),
            Err(_) => Event::WriteUnknown,
        },
        Err(_) => Event::Unavailable,
    }
}

fn written(write: Result<Revision, PlatformError>) -> Event {
    match write {
        Ok(revision) => Event::Written(revision),
        Err(PlatformError::Conflict) => Event::Conflict,
        Err(PlatformError::Down | PlatformError::Throttled) => Event::Unavailable,
        Err(_) => Event::WriteUnknown,
    }
}

fn read(shared: &Shared, key: &str) -> Result<Option<Object>, PlatformError> {
    if !shared.claims.avoids_platform(shared.clock.now()) {
        match shared.platform.get(key) {
            Err(PlatformError::Throttled) => return Err(PlatformError::Throttled),
            Err(_) => shared.claims.avoid_platform(shared.clock.now()),
            found => return found,
        }
    }
    match relay(shared, &RelayRequest::Get(key.into())) {
        RelayReply::Object(object) => {
            Ok(object.map(|(revision, value)| Object { revision, value }))
        }
        _ => Err(PlatformError::Down),
    }
}

fn write(
    shared: &Shared,
    key: &str,
    value: Bytes,
    expect: Expect,
) -> Result<Revision, PlatformError> {
    if !shared.claims.avoids_platform(shared.clock.now()) {
        match shared.platform.put(key, value.clone(), expect) {
            Err(PlatformError::Down) => shared.claims.avoid_platform(shared.clock.now()),
            // It may have taken effect: only a read tells, so no other way is tried with it.
            Err(PlatformError::Unknown) => {
                shared.claims.avoid_platform(shared.clock.now());
                return Err(PlatformError::Unknown);
            }
            result => return result,
        }
    }
    let expect = match expect {
        Expect::Absent => None,
        Expect::At(revision) => Some(revision),
    };
    match relay(shared, &RelayRequest::Put { key: key.into(), value, expect }) {
        RelayReply::Written(revision) => Ok(revision),
        RelayReply::Conflict => Err(PlatformError::Conflict),
        RelayReply::Unavailable => Err(PlatformError::Down),
        RelayReply::Object(_) | RelayReply::Unknown => Err(PlatformError::Unknown),
    }
}

/// Passes a call on through entries of other zones first, as they are likelier to reach the
/// platform; stops at the first answer that is not a proof that nothing was done.
fn relay(shared: &Shared, ask: &RelayRequest) -> RelayReply {
    let me = &shared.settings.place;
    let mut entries: Vec<Member> = shared.members().to_vec();
    entries.retain(|m| m.role == HostRole::Entry && m.host != me.host && !m.leaving);
    entries.sort_by_key(|m| m.zone == me.zone);
    for entry in entries.iter().take(MAX_RELAYS) {
        let ask = shared.ask(RequestBody::Relay(ask.clone()));
        let reply = shared.transport.ask_one(entry.address, &ask, RELAY_TIMEOUT);
        match reply.map(|reply| reply.body) {
            Ok(ReplyBody::Relay(RelayReply::Unavailable) | ReplyBody::Refused(_))
            | Err(Code::Unreachable | Code::Busy) => {}
            Ok(ReplyBody::Relay(reply)) => return reply,
            _ => return RelayReply::Unknown,
        }
    }
    RelayReply::Unavailable
}

fn serve_relay(shared: &Shared, ask: RelayRequest) -> RelayReply {
    let platform = &shared.platform;
    match ask {
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

/// What a keyed request came to.
pub(super) struct Claimed {
    /// The answer, or why there is none.
    pub(super) result: Result<FullResponse, Refused>,
    /// Whether it is proved that nothing ran under the key; `not-run` needs that.
    pub(super) not_run: bool,
}

/// Runs a request at most once under its key.
pub(super) async fn serve(shared: &Arc<Shared>, parsed: &Parsed, key: &str) -> Claimed {
    let object = claim::object_key(&parsed.customer, &parsed.service, key);
    let lease = match router::acquire(shared, parsed, &[], false).await {
        Ok(lease) => lease,
        Err(refused) => return Claimed { result: Err(refused), not_run: false },
    };
    let now = shared.clock.now();
    let (run, mut next) =
        ClaimMachine::start(parsed.digest(), lease.to.clone(), parsed.deadline, now);
    let mut sending = Sending { shared, parsed, run, lease: Some(lease), attempts: 0 };
    loop {
        next = match next {
            Action::Dispatch => sending.send().await,
            Action::Respond(answer) => return Claimed { result: Ok(answer), not_run: false },
            Action::Refuse(Code::Voided) if !sending.run.is_not_run() => {
                sending.move_on(Code::Voided).await
            }
            Action::Refuse(code) => {
                let not_run = sending.run.is_not_run();
                return Claimed { result: Err(code.into()), not_run };
            }
            Action::QueryAgent(_) | Action::Read | Action::Wait(_) | Action::Write(..) => {
                let event = carry_out(shared, &object, next).await;
                sending.run.step(event, shared.clock.now())
            }
        };
    }
}

/// Whether a later life of the agent has been heard of. Nobody can tell any more what the life that
/// the claim names did; to ask for it until patience runs out would keep each resend waiting.
fn is_replaced(shared: &Shared, to: &Dispatch) -> bool {
    let is_later = |m: &Member| m.host == to.agent && m.incarnation > to.incarnation;
    shared.members().iter().any(is_later)
}

async fn carry_out(shared: &Shared, object: &str, call: Action) -> Event {
    let key = object.to_owned();
    match call {
        Action::Write(claim, expect) => {
            let value = Bytes::from(claim.encode());
            shared.claims.call(|tx| Job::Write(key, value, expect, tx)).await
        }
        Action::QueryAgent(to) if is_replaced(shared, &to) => {
            Event::AgentReply(Some(VoidReply::Unknown))
        }
        Action::QueryAgent(to) => Event::AgentReply(dispatch::void(shared, &to).await),
        Action::Wait(span) => {
            tokio::time::sleep(span).await;
            Event::Waited
        }
        _ => shared.claims.call(|tx| Job::Read(key, tx)).await,
    }
}

/// One sending of a keyed request.
struct Sending<'a> {
    shared: &'a Arc<Shared>,
    parsed: &'a Parsed,
    run: ClaimMachine,
    /// The endpoint that the claimed attempt may be sent to.
    lease: Option<Lease>,
    attempts: u32,
}

impl Sending<'_> {
    async fn send(&mut self) -> Action {
        let Some(lease) = self.lease.take() else {
            return self.run.contact_lost(self.shared.clock.now());
        };
        if self.parsed.caller.has_left() {
            return self.run.release(Code::CallerLeft);
        }
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        match dispatch::run_whole(self.shared, self.parsed, lease, attempt).await {
            Ok(answer) => self.run.finish(answer, self.shared.clock.now()),
            Err(failure) if failure.is_not_run() => self.move_on(failure.code).await,
            Err(_) => self.run.contact_lost(self.shared.clock.now()),
        }
    }

    /// The attempt is proved not to run: claims for another endpoint, or gives the claim up.
    async fn move_on(&mut self, code: Code) -> Action {
        let is_over = self.parsed.deadline <= self.shared.clock.now();
        if self.attempts >= MAX_MOVES || is_over {
            return self.run.release(code);
        }
        let tried = [self.run.attempt().agent.clone()];
        match router::acquire(self.shared, self.parsed, &tried, true).await {
            Ok(lease) => {
                let to = lease.to.clone();
                self.lease = Some(lease);
                self.run.reassign(to)
            }
            Err(refused) => self.run.release(refused.code),
        }
    }
}
