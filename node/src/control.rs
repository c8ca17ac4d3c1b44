//! The control thread of a process: membership, and distribution of configuration and plans.
//!
//! The thread drives [`Membership`], applies updates from peers and forwards them. It runs a
//! single-threaded runtime in order to wait for many replies at once. Its event queue is bounded;
//! while it is full, requests are refused as busy. Calls to the platform block, so they run on a
//! separate thread, in `platform_watch.rs`.
//!
//! Updates travel down the dissemination tree of the zone ([`ring::tree_order`]). A process that
//! applies a new generation or plan pushes it to its children, and also to the root if the update
//! did not come down the tree. If a child does not answer, the update is pushed to its children
//! instead. Missed updates are repaired by the generation in every message: a process that receives
//! a higher one than its own pulls the update from the sender.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::ids::Generation;
use mastichaven_core::ids::HostName;
use mastichaven_core::members::Member;
use mastichaven_core::members::MembersReply;
use mastichaven_core::members::MembersRequest;
use mastichaven_core::membership::GossipConfig;
use mastichaven_core::membership::Membership;
use mastichaven_core::membership::OutboundMessage;
use mastichaven_core::ring;
use mastichaven_core::spread::ApplyOutcome;
use mastichaven_core::spread::MAX_PARTS;
use mastichaven_core::spread::MissingPart;
use mastichaven_core::spread::SpreadReply;
use mastichaven_core::spread::SpreadRequest;
use mastichaven_core::spread::Survey;
use mastichaven_core::spread::Update;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use slog::info;
use slog::warn;
use smol_str::SmolStr;

use crate::clock::Clock;
use crate::documents::Documents;
use crate::telemetry::Telemetry;
use crate::tls::Role;
use crate::transport::Incoming;
use crate::transport::ReplySink;
use crate::transport::Transport;

/// Result of control calls.
pub type Result<T> = std::result::Result<T, Code>;

/// Capacity of the event queue of the control thread. Requests that find it full are refused as
/// busy.
const EVENT_QUEUE_LEN: usize = 1_024;

/// Interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of pushing an update to another process of the tree.
const PUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of pulling an update, or parts of it, from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a probe on behalf of another process; shorter than that process waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout that each level of the tree allows for the survey of a child and its subtree.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of announcing to peers that this process leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum interval between updates of the member list. Flapping members are left out of the list
/// and return to it without a change of the view.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a change of the view after which the members count as settled.
const SETTLE_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which the members count as settled even if changes continue: a flapping host must not
/// delay placement.
const MAX_SETTLE_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of requests for the missing parts of one update.
const MAX_PART_REQUESTS: u32 = 64;

/// Consecutive heartbeat replies with different plans after which the plans are pulled.
const PLAN_MISMATCHES_BEFORE_PULL: u32 = 2;

/// A process that runs a control thread.
pub trait ControlNode: std::marker::Send + Sync + 'static {
    /// The local member, as announced to peers.
    fn member(&self) -> Member;

    /// Wraps `body` in a message that names this process as its sender.
    fn make_request(&self, body: RequestBody) -> RequestMessage;

    /// Configuration and plans in force.
    fn documents(&self) -> &Documents;

    /// Transport for calls to peers.
    fn transport(&self) -> &Transport;

    /// Monotonic clock for all timers of the thread.
    fn clock(&self) -> &Clock;

    /// Log and metrics of the process.
    fn telemetry(&self) -> &Telemetry;

    /// Handle of the control thread.
    fn control(&self) -> &Control;

    /// Whether the process has ended; the control thread then leaves the membership and stops.
    fn is_over(&self) -> bool;

    /// Called when the platform starts or stops listing the host of this process as leaving.
    fn set_host_leaving(&self, _leaving: bool) {}
}

/// Input of the control thread.
enum Event {
    /// A request from a peer.
    Request(Incoming),
    /// A call of the membership protocol has ended; `reply` is `None` if it failed.
    MembershipCallEnded { to: SocketAddr, token: u64, reply: Option<Reply> },
    /// An update was received.
    Update { from: SocketAddr, update: Box<Update>, source: UpdateSource },
    /// The pull in flight has ended.
    PullEnded,
    /// The platform thread has put a generation above `before`, or the plans `docs`, in force.
    PlatformUpdate { before: Generation, docs: Vec<SmolStr> },
    /// The process at `rank` in the tree did not acknowledge an update.
    PushFailed { rank: usize, update: Arc<Update> },
    /// Addresses of possible members.
    Contacts(Vec<SocketAddr>),
}

/// Where an update came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpdateSource {
    /// Pushed by the parent in the tree.
    Tree,
    /// Pulled from a peer, or read from the platform.
    Other,
}

/// Handle of a control thread.
pub struct Control {
    tx: flume::Sender<Event>,
    rx: Mutex<Option<flume::Receiver<Event>>>,
    members: RwLock<Arc<Vec<Member>>>,
    seeds: Vec<SocketAddr>,
    relay_rank: AtomicU32,
    alive_peers: AtomicU64,
    settled: AtomicBool,
    has_settled: AtomicBool,
}

/// Relay rank of a process that is not a relay.
const NO_RELAY_RANK: u32 = u32::MAX;

impl Control {
    /// Creates the handle. [`start`] starts the thread, which first contacts `seeds`.
    pub fn new(seeds: Vec<SocketAddr>) -> Control {
        let (tx, rx) = flume::bounded(EVENT_QUEUE_LEN);
        Control {
            tx,
            rx: Mutex::new(Some(rx)),
            members: RwLock::default(),
            seeds,
            relay_rank: AtomicU32::new(NO_RELAY_RANK),
            alive_peers: AtomicU64::new(0),
            settled: AtomicBool::new(false),
            has_settled: AtomicBool::new(false),
        }
    }

    /// The local member and all peers that are alive or suspected, without flapping ones.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.read().expect("no holder of this lock panics").clone()
    }

    /// Number of peers that are alive or suspected.
    pub fn alive_peers(&self) -> u64 {
        self.alive_peers.load(Ordering::Acquire)
    }

    /// Whether the members are settled: none has joined, left or died recently. A plan made while a
    /// fleet starts or a rack fails would be based on part of the members. It would be replaced at
    /// once, after weights had already been moved for it.
    pub fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Acquire)
    }

    /// Whether the members have settled at least once since the process started. Until then an
    /// entry has only some of the endpoints, or none, and would refuse requests that other entries
    /// can serve.
    pub fn has_settled(&self) -> bool {
        self.has_settled.load(Ordering::Acquire)
    }

    /// Rank of this process among the relays of its zone; `None` if it is not a relay.
    pub fn relay_rank(&self) -> Option<u32> {
        let rank = self.relay_rank.load(Ordering::Acquire);
        (rank != NO_RELAY_RANK).then_some(rank)
    }

    /// Passes a membership or distribution request to the thread.
    pub fn handle(&self, incoming: Incoming) {
        if let Err(error) = self.tx.try_send(Event::Request(incoming))
            && let Event::Request(incoming) = error.into_inner()
        {
            refuse(&incoming.replies, Code::Busy);
        }
    }

    /// Replaces the addresses of possible members to contact.
    pub fn set_contacts(&self, addresses: Vec<SocketAddr>) {
        let _ = self.tx.try_send(Event::Contacts(addresses));
    }

    /// Reports that a generation above `before`, or the plans `docs`, were read from the platform
    /// and put in force, so that the thread forwards them.
    pub fn notify_platform_update(&self, before: Generation, docs: Vec<SmolStr>) {
        let _ = self.tx.send(Event::PlatformUpdate { before, docs });
    }
}

fn refuse(replies: &ReplySink, code: Code) {
    let body = ReplyBody::Refused(code);
    let _ = replies.send(Reply { generation: Generation::default(), body });
}

/// Starts the control thread of a process. It panics if the thread was started before.
pub fn start<N: ControlNode>(node: &Arc<N>) -> thread::JoinHandle<()> {
    let rx = node.control().rx.lock().expect("no holder of this lock panics").take();
    let rx = rx.expect("a control thread is started once");
    let node = node.clone();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        // Creating a runtime without an I/O driver does not fail.
        let runtime = runtime.expect("runtime can be created");
        runtime.block_on(run(node, rx));
    };
    thread::Builder::new().name("control".to_owned()).spawn(run).expect("thread can be created")
}

async fn run<N: ControlNode>(node: Arc<N>, rx: flume::Receiver<Event>) {
    let mut control = ControlLoop::new(node);
    while !control.node.is_over() {
        if let Ok(Ok(event)) = tokio::time::timeout(TICK_INTERVAL, rx.recv_async()).await {
            control.handle(event);
        }
        control.tick();
    }
    control.leave().await;
}

struct ControlLoop<N> {
    node: Arc<N>,
    membership: Membership,
    next_tick: Time,
    refreshed_at: Time,
    members_version: u64,
    pull_in_flight: bool,
    unsettled_since: Option<Time>,
    plan_mismatches: u32,
    /// Dissemination tree of the zone by rank, and the rank of this process in it.
    tree: Vec<(HostName, SocketAddr)>,
    rank: usize,
}

impl<N: ControlNode> ControlLoop<N> {
    fn new(node: Arc<N>) -> ControlLoop<N> {
        let seeds = node.control().seeds.clone();
        let membership = Membership::new(node.member(), seeds, GossipConfig::default());
        ControlLoop {
            node,
            membership,
            next_tick: Time::ZERO,
            refreshed_at: Time::ZERO,
            members_version: u64::MAX,
            pull_in_flight: false,
            unsettled_since: None,
            plan_mismatches: 0,
            tree: Vec::new(),
            rank: 0,
        }
    }

    fn now(&self) -> Time {
        self.node.clock().now()
    }

    fn generation(&self) -> Generation {
        self.node.documents().generation()
    }

    fn tick(&mut self) {
        let now = self.now();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.membership.set_local_member(self.node.member());
        self.membership.set_plans_fingerprint(self.node.documents().fingerprint());
        let messages = self.membership.tick(now, &mut rand::rng());
        self.send_all(messages);
        self.update_settled(now);
        self.refresh_members(now);
    }

    fn update_settled(&mut self, now: Time) {
        let is_quiet = now.passed(self.membership.last_change(), SETTLE_DELAY)
            && now >= Time::ZERO + SETTLE_DELAY;
        if is_quiet {
            self.unsettled_since = None;
        }
        let since = *self.unsettled_since.get_or_insert(now);
        let settled = is_quiet || now.passed(since, MAX_SETTLE_DELAY);
        let control = self.node.control();
        control.settled.store(settled, Ordering::Release);
        control.has_settled.fetch_or(settled, Ordering::AcqRel);
    }

    fn refresh_members(&mut self, now: Time) {
        let version = self.membership.version();
        if version == self.members_version
            && !now.passed(self.refreshed_at, MEMBERS_REFRESH_INTERVAL)
        {
            return;
        }
        let changed = version != self.members_version;
        self.members_version = version;
        self.refreshed_at = now;
        let members = self.membership.members(now);
        if changed {
            self.rebuild_tree(&members);
        }
        let control = self.node.control();
        control.alive_peers.store(self.membership.alive_count() as u64, Ordering::Release);
        *control.members.write().expect("no holder of this lock panics") = Arc::new(members);
    }

    fn rebuild_tree(&mut self, members: &[Member]) {
        let me = self.node.member();
        let all: Vec<&Member> = members.iter().collect();
        let order = ring::tree_order(&me.zone, &all);
        let relays = ring::relays(&me.zone, &all);
        let relay = relays.iter().position(|member| member.host == me.host);
        let relay = relay.map_or(NO_RELAY_RANK, |rank| rank as u32);
        let old = self.node.control().relay_rank.swap(relay, Ordering::AcqRel);
        if (old == NO_RELAY_RANK) != (relay == NO_RELAY_RANK) {
            info!(
                self.node.telemetry().log,
                "relay role changed";
                "is_relay" => relay != NO_RELAY_RANK
            );
        }
        self.rank = order.iter().position(|member| member.host == me.host).unwrap_or(0);
        self.tree = order.into_iter().map(|m| (m.host.clone(), m.address)).collect();
    }

    fn send_all(&self, messages: Vec<OutboundMessage>) {
        for OutboundMessage { to, token, request } in messages {
            let tx = self.node.control().tx.clone();
            let call = self.call(
                to,
                RequestBody::Members(request),
                GossipConfig::default().heartbeat_timeout,
            );
            tokio::spawn(async move {
                let reply = call.await.ok();
                let _ = tx.send_async(Event::MembershipCallEnded { to, token, reply }).await;
            });
        }
    }

    /// Calls a peer and returns its first reply.
    fn call(
        &self,
        to: SocketAddr,
        body: RequestBody,
        timeout: Duration,
    ) -> impl Future<Output = Result<Reply>> + std::marker::Send + 'static {
        let mut call = self.node.transport().call(to, &self.node.make_request(body));
        async move {
            match tokio::time::timeout(timeout, call.next()).await {
                Ok(Some(reply)) => reply,
                Ok(None) => Err(Code::PeerLost),
                Err(_) => Err(Code::Unreachable),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(incoming) => self.handle_request(incoming),
            Event::MembershipCallEnded { to, token, reply } => self.handle_reply(to, token, reply),
            Event::Update { from, update, source } => self.handle_update(from, *update, source),
            Event::PullEnded => self.pull_in_flight = false,
            Event::PlatformUpdate { before, docs } => {
                let update = self.update_since(before, &docs);
                self.disseminate(update, UpdateSource::Other);
            }
            Event::PushFailed { rank, update } => self.push_to_children(rank, &update),
            Event::Contacts(addresses) => self.membership.set_contacts(addresses),
        }
    }

    fn handle_request(&mut self, incoming: Incoming) {
        let Incoming { peer, request, replies } = incoming;
        let from = request.from.host.clone();
        if request.from.generation > self.generation()
            && let Some(address) = self.address_of(&from)
        {
            self.pull(address, self.generation());
        }
        let body = match request.body {
            RequestBody::Members(MembersRequest::IndirectProbe(address)) => {
                return self.probe_indirectly(address, replies);
            }
            RequestBody::Members(MembersRequest::HostLeaving(leaving)) => {
                if peer.role == Role::Entry {
                    self.node.set_host_leaving(leaving);
                }
                ReplyBody::Members(MembersReply::Ack)
            }
            RequestBody::Members(request) => {
                let now = self.now();
                ReplyBody::Members(self.membership.on_request(now, &from, request))
            }
            RequestBody::Spread(SpreadRequest::Survey) => return self.survey_subtree(replies),
            RequestBody::Spread(request) => {
                ReplyBody::Spread(self.handle_spread_request(&from, request))
            }
            _ => ReplyBody::Refused(Code::WrongRole),
        };
        let _ = replies.send(Reply { generation: self.generation(), body });
    }

    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let members = self.node.control().members();
        let found = members.iter().find(|member| member.host == *host);
        found.map(|member| member.address)
    }

    fn handle_spread_request(&mut self, from: &HostName, request: SpreadRequest) -> SpreadReply {
        match request {
            SpreadRequest::NewerThan { generation, docs } => {
                SpreadReply::Update(self.node.documents().newer_than(generation, &docs))
            }
            SpreadRequest::Parts(digests) => {
                SpreadReply::Parts(self.node.documents().parts(&digests))
            }
            SpreadRequest::Push(update) => {
                if let Some(address) = self.address_of(from) {
                    let (update, source) = (Box::new(update), UpdateSource::Tree);
                    let _ = self.node.control().tx.try_send(Event::Update {
                        from: address,
                        update,
                        source,
                    });
                }
                SpreadReply::Ack
            }
            SpreadRequest::Survey => SpreadReply::Survey(Survey::of(self.generation())),
        }
    }

    fn handle_reply(&mut self, to: SocketAddr, token: u64, reply: Option<Reply>) {
        let now = self.now();
        let mut members_reply = None;
        if let Some(reply) = reply {
            if reply.generation > self.generation() {
                self.pull(to, self.generation());
            }
            if let ReplyBody::Members(body) = reply.body {
                self.compare_plans(to, &body);
                members_reply = Some(body);
            }
        }
        let messages = self.membership.on_reply(now, token, members_reply, &mut rand::rng());
        self.send_all(messages);
    }

    /// Pulls the plans of a peer if they differ for longer than an update takes to spread, because
    /// one side has then missed an update.
    fn compare_plans(&mut self, to: SocketAddr, reply: &MembersReply) {
        let MembersReply::Heartbeat(heartbeat) = reply else {
            return;
        };
        if heartbeat.plans_fingerprint == self.node.documents().fingerprint() {
            self.plan_mismatches = 0;
            return;
        }
        self.plan_mismatches += 1;
        if self.plan_mismatches >= PLAN_MISMATCHES_BEFORE_PULL {
            self.plan_mismatches = 0;
            self.pull(to, self.generation());
        }
    }

    /// Requests all files changed after `generation` and all newer plans from `from`. At most one
    /// pull is in flight.
    fn pull(&mut self, from: SocketAddr, generation: Generation) {
        if self.pull_in_flight {
            return;
        }
        self.pull_in_flight = true;
        let docs = self.node.documents().revisions();
        let request = SpreadRequest::NewerThan { generation, docs };
        let call = self.call(from, RequestBody::Spread(request), PULL_TIMEOUT);
        let tx = self.node.control().tx.clone();
        tokio::spawn(async move {
            let event = match call.await.map(|reply| reply.body) {
                Ok(ReplyBody::Spread(SpreadReply::Update(update))) => {
                    Event::Update { from, update: Box::new(update), source: UpdateSource::Other }
                }
                _ => Event::PullEnded,
            };
            let _ = tx.send_async(event).await;
        });
    }

    fn handle_update(&mut self, from: SocketAddr, update: Update, source: UpdateSource) {
        if source == UpdateSource::Other {
            self.pull_in_flight = false;
        }
        let before = self.generation();
        if let Some(delta) = &update.delta {
            match self.node.documents().apply_config(delta, &update.parts) {
                ApplyOutcome::Stale => {}
                ApplyOutcome::Applied(problems) => {
                    let log = &self.node.telemetry().log;
                    info!(log, "configuration in force"; "generation" => delta.to.0);
                    if !problems.is_empty() {
                        warn!(log, "configuration has unknown keys"; "count" => problems.len());
                    }
                }
                ApplyOutcome::Gap => return self.pull(from, Generation(0)),
                ApplyOutcome::MissingParts(missing) => {
                    return self.fetch_parts(from, update, missing, source);
                }
            }
        }
        let mut docs = Vec::new();
        for doc in &update.docs {
            if self.node.documents().insert_plan(doc.clone()) {
                docs.push(doc.key.clone());
            }
        }
        let update = self.update_since(before, &docs);
        if !update.is_empty() {
            self.disseminate(update, source);
        }
    }

    fn fetch_parts(
        &mut self,
        from: SocketAddr,
        mut update: Update,
        missing: Vec<MissingPart>,
        source: UpdateSource,
    ) {
        self.pull_in_flight = true;
        let tx = self.node.control().tx.clone();
        let node = self.node.clone();
        tokio::spawn(async move {
            let mut remaining: Vec<_> = missing.into_iter().map(|part| part.digest).collect();
            for _ in 0..MAX_PART_REQUESTS {
                if remaining.is_empty() {
                    let update = Box::new(update);
                    let _ = tx.send_async(Event::PullEnded).await;
                    let _ = tx.send_async(Event::Update { from, update, source }).await;
                    return;
                }
                let requested = remaining.iter().take(MAX_PARTS).copied().collect();
                let request =
                    node.make_request(RequestBody::Spread(SpreadRequest::Parts(requested)));
                let mut call = node.transport().call(from, &request);
                let reply = tokio::time::timeout(PULL_TIMEOUT, call.next()).await;
                let Ok(Some(Ok(Reply { body, .. }))) = reply else {
                    break;
                };
                let ReplyBody::Spread(SpreadReply::Parts(parts)) = body else {
                    break;
                };
                let before = remaining.len();
                for part in parts {
                    let digest = mastichaven_core::ids::Digest::of(&part);
                    remaining.retain(|part| *part != digest);
                    update.parts.push(part);
                }
                if remaining.len() == before {
                    break;
                }
            }
            let _ = tx.send_async(Event::PullEnded).await;
        });
    }

    /// The files that came in force after `before`, and the plans `keys`, as an update for peers.
    fn update_since(&self, before: Generation, keys: &[SmolStr]) -> Update {
        let documents = self.node.documents();
        let mut update = documents.newer_than(before, &documents.revisions());
        update.docs = documents.docs(keys);
        update
    }

    fn disseminate(&self, update: Update, source: UpdateSource) {
        let update = Arc::new(update);
        if source == UpdateSource::Other && self.rank != 0 {
            self.push_to_rank(0, &update, false);
        }
        self.push_to_children(self.rank, &update);
    }

    fn push_to_children(&self, rank: usize, update: &Arc<Update>) {
        for child in ring::tree_children(rank, self.tree.len()) {
            self.push_to_rank(child, update, true);
        }
    }

    /// Pushes an update to the process at `rank`. If it does not acknowledge the update and
    /// `adopt_children` is set, the update is pushed to its children, because a dead process would
    /// otherwise cut off its whole subtree.
    fn push_to_rank(&self, rank: usize, update: &Arc<Update>, adopt_children: bool) {
        let Some((host, to)) = self.tree.get(rank) else {
            return;
        };
        if *host == self.node.member().host {
            return;
        }
        let request = SpreadRequest::Push(Update::clone(update));
        let call = self.call(*to, RequestBody::Spread(request), PUSH_TIMEOUT);
        let (tx, update) = (self.node.control().tx.clone(), update.clone());
        tokio::spawn(async move {
            let accepted = matches!(call.await, Ok(Reply { body: ReplyBody::Spread(_), .. }));
            if !accepted && adopt_children {
                let _ = tx.send_async(Event::PushFailed { rank, update }).await;
            }
        });
    }

    fn probe_indirectly(&self, address: SocketAddr, replies: ReplySink) {
        let call = self.call(address, RequestBody::Members(MembersRequest::Probe), PROBE_TIMEOUT);
        let generation = self.generation();
        tokio::spawn(async move {
            let reached = call.await.is_ok();
            let body = ReplyBody::Members(MembersReply::Reached(reached));
            let _ = replies.send_async(Reply { generation, body }).await;
        });
    }

    /// Requests the generations in force from the subtree of each child and replies with the merged
    /// survey.
    fn survey_subtree(&self, replies: ReplySink) {
        let children = ring::tree_children(self.rank, self.tree.len());
        let calls: Vec<_> = children
            .map(|child| {
                let body = RequestBody::Spread(SpreadRequest::Survey);
                tokio::spawn(self.call(self.tree[child].1, body, SURVEY_TIMEOUT))
            })
            .collect();
        let generation = self.generation();
        tokio::spawn(async move {
            let mut survey = Survey::of(generation);
            for call in calls {
                match call.await.map(|reply| reply.map(|reply| reply.body)) {
                    Ok(Ok(ReplyBody::Spread(SpreadReply::Survey(below)))) => {
                        survey = survey.merge(below);
                    }
                    _ => survey.silent += 1,
                }
            }
            let body = ReplyBody::Spread(SpreadReply::Survey(survey));
            let _ = replies.send_async(Reply { generation, body }).await;
        });
    }

    async fn leave(&mut self) {
        let messages = self.membership.leave();
        let calls: Vec<_> = messages
            .into_iter()
            .map(|message| {
                tokio::spawn(self.call(
                    message.to,
                    RequestBody::Members(message.request),
                    LEAVE_TIMEOUT,
                ))
            })
            .collect();
        for call in calls {
            let _ = call.await;
        }
    }
}
