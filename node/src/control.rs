//! The control duty of every process: membership, and configuration and plans from peers.
//!
//! One thread drives [`Membership`] and takes in and passes on what spreads. It runs a small
//! runtime of its own only to wait for many answers at once; the rings to it are bounded, and a
//! full one refuses the ask as busy. What blocks, the calls to the platform, is the thread of
//! `platform_watch.rs`.
//!
//! News goes down the tree of the zone ([`ring::tree_order`]): whoever learns of a generation or a
//! plan passes it to its children, and to the root if it did not come down the tree. A child that does
//! not answer is passed over, and its children are told instead. What that misses, the generation
//! on every message heals: who hears of a higher one asks for it.

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

/// Events waiting for the control thread; an ask that finds it full is refused as busy.
const EVENT_RING: usize = 1_024;

/// How often the thread looks at the time.
const TICK: Duration = Duration::from_millis(100);

/// How long a child in the tree may take to take news in.
const PUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a peer may take to send what is newer.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a probe on behalf of another process may take: less than that process waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a survey of a part of the tree may take, for each level below.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long goodbyes may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);

/// The member list is refreshed at least this often, as flapping members calm down.
const REFRESH: Duration = Duration::from_secs(1);

/// Without a change of members for this long, they count as settled, and however many changes
/// there are, after this long: a host that flaps must not hold up placement.
const SETTLED: Duration = Duration::from_millis(1_500);
const MAX_UNSETTLED: Duration = Duration::from_secs(10);

/// Rounds of fetching missing parts for one update.
const MAX_ROUNDS: u32 = 64;

/// Heartbeats in a row with other plans before they are asked for.
const DIFFERENT_DOCS: u32 = 2;

/// A process that takes part in control.
pub trait Controlled: std::marker::Send + Sync + 'static {
    /// What it says of itself.
    fn member(&self) -> Member;

    /// A message from it.
    fn ask(&self, body: RequestBody) -> RequestMessage;

    /// What it has in force.
    fn documents(&self) -> &Documents;

    /// Its connections.
    fn transport(&self) -> &Transport;

    /// Its clock.
    fn clock(&self) -> &Clock;

    /// Its log and metrics.
    fn telemetry(&self) -> &Telemetry;

    /// The handle of its control thread.
    fn control(&self) -> &Control;

    /// Whether it has ended.
    fn is_over(&self) -> bool;

    /// The platform lists its host as leaving, or no longer.
    fn host_leaves(&self, _leaves: bool) {}
}

/// What the control thread is told.
enum Event {
    /// A peer asks.
    Ask(Incoming),
    /// A heartbeat was answered, or not.
    Answered { to: SocketAddr, token: u64, reply: Option<Reply> },
    /// Newer things came.
    Came { from: SocketAddr, update: Box<Update>, way: Way },
    /// Asking for newer things failed.
    PullFailed,
    /// The thread of the platform put a generation or plans in force.
    FromPlatform { before: Generation, docs: Vec<SmolStr> },
    /// The process at this place of the tree did not take news in.
    NotPushed { rank: usize, update: Arc<Update> },
    /// Addresses that may be members.
    Hints(Vec<SocketAddr>),
}

/// How news came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Down the tree.
    Tree,
    /// In answer to an ask, or from the platform.
    Other,
}

/// The handle of a control thread.
pub struct Control {
    tx: flume::Sender<Event>,
    rx: Mutex<Option<flume::Receiver<Event>>>,
    members: RwLock<Arc<Vec<Member>>>,
    seeds: Vec<SocketAddr>,
    relay_rank: AtomicU32,
    alive: AtomicU64,
    settled: AtomicBool,
    has_settled: AtomicBool,
}

/// Marks a process that is no relay.
const NO_RELAY: u32 = u32::MAX;

impl Control {
    /// A handle whose thread is not started yet.
    pub fn new(seeds: Vec<SocketAddr>) -> Control {
        let (tx, rx) = flume::bounded(EVENT_RING);
        Control {
            tx,
            rx: Mutex::new(Some(rx)),
            members: RwLock::default(),
            seeds,
            relay_rank: AtomicU32::new(NO_RELAY),
            alive: AtomicU64::new(0),
            settled: AtomicBool::new(false),
            has_settled: AtomicBool::new(false),
        }
    }

    /// Everybody who is thought alive, this process included.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.read().expect("no holder of this lock panics").clone()
    }

    /// How many others are thought alive.
    pub fn alive(&self) -> u64 {
        self.alive.load(Ordering::Acquire)
    }

    /// Whether nobody came, left or died for a moment. While a fleet starts, or a rack fails, a plan
    /// made from half the members would be thrown away at once, after weights moved for it.
    pub fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Acquire)
    }

    /// Whether the members have settled once in this life. Before that an entry knows some
    /// endpoints only, or none, and would refuse what others can answer.
    pub fn has_settled(&self) -> bool {
        self.has_settled.load(Ordering::Acquire)
    }

    /// This process's place among its zone's relays, if it is one of them.
    pub fn relay_rank(&self) -> Option<u32> {
        let rank = self.relay_rank.load(Ordering::Acquire);
        (rank != NO_RELAY).then_some(rank)
    }

    /// Hands an ask about members or documents to the thread.
    pub fn take(&self, incoming: Incoming) {
        if let Err(error) = self.tx.try_send(Event::Ask(incoming))
            && let Event::Ask(incoming) = error.into_inner()
        {
            refuse(&incoming.replies, Code::Busy);
        }
    }

    /// Adds addresses that may be members.
    pub fn hint(&self, addresses: Vec<SocketAddr>) {
        let _ = self.tx.try_send(Event::Hints(addresses));
    }

    /// Says that something above `before`, and these plans, came in force from the platform.
    pub fn learned(&self, before: Generation, docs: Vec<SmolStr>) {
        let _ = self.tx.send(Event::FromPlatform { before, docs });
    }
}

fn refuse(replies: &ReplySink, code: Code) {
    let body = ReplyBody::Refused(code);
    let _ = replies.send(Reply { generation: Generation::default(), body });
}

/// Starts the control thread of a process.
pub fn start<N: Controlled>(node: &Arc<N>) -> thread::JoinHandle<()> {
    let rx = node.control().rx.lock().expect("no holder of this lock panics").take();
    let rx = rx.expect("a control thread is started once");
    let node = node.clone();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        let runtime = runtime.expect("a runtime without sockets can always be built");
        runtime.block_on(run(node, rx));
    };
    thread::Builder::new().name("control".to_owned()).spawn(run).expect("the system gives a thread")
}

async fn run<N: Controlled>(node: Arc<N>, rx: flume::Receiver<Event>) {
    let mut control = Loop::new(node);
    while !control.node.is_over() {
        if let Ok(Ok(event)) = tokio::time::timeout(TICK, rx.recv_async()).await {
            control.take(event);
        }
        control.tick();
    }
    control.leave().await;
}

struct Loop<N> {
    node: Arc<N>,
    membership: Membership,
    tick_at: Time,
    refreshed: Time,
    version: u64,
    pulling: bool,
    unsettled: Option<Time>,
    different_docs: u32,
    /// The zone's tree and this process's place in it.
    tree: Vec<(HostName, SocketAddr)>,
    rank: usize,
}

impl<N: Controlled> Loop<N> {
    fn new(node: Arc<N>) -> Loop<N> {
        let seeds = node.control().seeds.clone();
        let membership = Membership::new(node.member(), seeds, GossipConfig::default());
        Loop {
            node,
            membership,
            tick_at: Time::ZERO,
            refreshed: Time::ZERO,
            version: u64::MAX,
            pulling: false,
            unsettled: None,
            different_docs: 0,
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
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK;
        self.membership.set_local_member(self.node.member());
        self.membership.set_plans_fingerprint(self.node.documents().fingerprint());
        let sends = self.membership.tick(now, &mut rand::rng());
        self.send_all(sends);
        self.settle(now);
        self.refresh(now);
    }

    fn settle(&mut self, now: Time) {
        let quiet =
            now.passed(self.membership.last_change(), SETTLED) && now >= Time::ZERO + SETTLED;
        if quiet {
            self.unsettled = None;
        }
        let since = *self.unsettled.get_or_insert(now);
        let settled = quiet || now.passed(since, MAX_UNSETTLED);
        let control = self.node.control();
        control.settled.store(settled, Ordering::Release);
        control.has_settled.fetch_or(settled, Ordering::AcqRel);
    }

    fn refresh(&mut self, now: Time) {
        let version = self.membership.version();
        if version == self.version && !now.passed(self.refreshed, REFRESH) {
            return;
        }
        let changed = version != self.version;
        self.version = version;
        self.refreshed = now;
        let members = self.membership.members(now);
        if changed {
            self.plant(&members);
        }
        let control = self.node.control();
        control.alive.store(self.membership.alive_count() as u64, Ordering::Release);
        *control.members.write().expect("no holder of this lock panics") = Arc::new(members);
    }

    fn plant(&mut self, members: &[Member]) {
        let me = self.node.member();
        let all: Vec<&Member> = members.iter().collect();
        let order = ring::tree_order(&me.zone, &all);
        let relays = ring::relays(&me.zone, &all);
        let relay = relays.iter().position(|member| member.host == me.host);
        let relay = relay.map_or(NO_RELAY, |rank| rank as u32);
        let old = self.node.control().relay_rank.swap(relay, Ordering::AcqRel);
        if (old == NO_RELAY) != (relay == NO_RELAY) {
            info!(self.node.telemetry().log, "relay"; "is_relay" => relay != NO_RELAY);
        }
        self.rank = order.iter().position(|member| member.host == me.host).unwrap_or(0);
        self.tree = order.into_iter().map(|m| (m.host.clone(), m.address)).collect();
    }

    fn send_all(&self, sends: Vec<OutboundMessage>) {
        for OutboundMessage { to, token, request } in sends {
            let tx = self.node.control().tx.clone();
            let call = self.call(
                to,
                RequestBody::Members(request),
                GossipConfig::default().heartbeat_timeout,
            );
            tokio::spawn(async move {
                let reply = call.await.ok();
                let _ = tx.send_async(Event::Answered { to, token, reply }).await;
            });
        }
    }

    /// Asks a peer; only the first reply counts.
    fn call(
        &self,
        to: SocketAddr,
        body: RequestBody,
        timeout: Duration,
    ) -> impl Future<Output = Result<Reply>> + std::marker::Send + 'static {
        let mut call = self.node.transport().call(to, &self.node.ask(body));
        async move {
            match tokio::time::timeout(timeout, call.next()).await {
                Ok(Some(reply)) => reply,
                Ok(None) => Err(Code::PeerLost),
                Err(_) => Err(Code::Unreachable),
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Ask(incoming) => self.take_ask(incoming),
            Event::Answered { to, token, reply } => self.take_answer(to, token, reply),
            Event::Came { from, update, way } => self.take_update(from, *update, way),
            Event::PullFailed => self.pulling = false,
            Event::FromPlatform { before, docs } => {
                let update = self.news_since(before, &docs);
                self.pass_on(update, Way::Other);
            }
            Event::NotPushed { rank, update } => self.push_below(rank, &update),
            Event::Hints(addresses) => self.membership.set_contacts(addresses),
        }
    }

    fn take_ask(&mut self, incoming: Incoming) {
        let Incoming { peer, request, replies } = incoming;
        let from = request.from.host.clone();
        if request.from.generation > self.generation()
            && let Some(address) = self.address_of(&from)
        {
            self.pull(address, self.generation());
        }
        let body = match request.body {
            RequestBody::Members(MembersRequest::IndirectProbe(address)) => {
                return self.probe_for(address, replies);
            }
            RequestBody::Members(MembersRequest::HostLeaving(leaves)) => {
                if peer.role == Role::Entry {
                    self.node.host_leaves(leaves);
                }
                ReplyBody::Members(MembersReply::Ack)
            }
            RequestBody::Members(request) => {
                let now = self.now();
                ReplyBody::Members(self.membership.on_request(now, &from, request))
            }
            RequestBody::Spread(SpreadRequest::Survey) => return self.survey(replies),
            RequestBody::Spread(request) => ReplyBody::Spread(self.take_spread(&from, request)),
            _ => ReplyBody::Refused(Code::WrongRole),
        };
        let _ = replies.send(Reply { generation: self.generation(), body });
    }

    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let members = self.node.control().members();
        let found = members.iter().find(|member| member.host == *host);
        found.map(|member| member.address)
    }

    fn take_spread(&mut self, from: &HostName, ask: SpreadRequest) -> SpreadReply {
        match ask {
            SpreadRequest::NewerThan { generation, docs } => {
                SpreadReply::Update(self.node.documents().above(generation, &docs))
            }
            SpreadRequest::Parts(digests) => {
                SpreadReply::Parts(self.node.documents().parts(&digests))
            }
            SpreadRequest::Push(update) => {
                if let Some(address) = self.address_of(from) {
                    let (update, way) = (Box::new(update), Way::Tree);
                    let _ =
                        self.node.control().tx.try_send(Event::Came { from: address, update, way });
                }
                SpreadReply::Ack
            }
            SpreadRequest::Survey => SpreadReply::Survey(Survey::of(self.generation())),
        }
    }

    fn take_answer(&mut self, to: SocketAddr, token: u64, reply: Option<Reply>) {
        let now = self.now();
        let mut members_reply = None;
        if let Some(reply) = reply {
            if reply.generation > self.generation() {
                self.pull(to, self.generation());
            }
            if let ReplyBody::Members(body) = reply.body {
                self.compare_docs(to, &body);
                members_reply = Some(body);
            }
        }
        let sends = self.membership.on_reply(now, token, members_reply, &mut rand::rng());
        self.send_all(sends);
    }

    /// Plans that differ for longer than news takes were missed by one side or the other.
    fn compare_docs(&mut self, to: SocketAddr, reply: &MembersReply) {
        let MembersReply::Heartbeat(heartbeat) = reply else {
            return;
        };
        if heartbeat.plans_fingerprint == self.node.documents().fingerprint() {
            self.different_docs = 0;
            return;
        }
        self.different_docs += 1;
        if self.different_docs >= DIFFERENT_DOCS {
            self.different_docs = 0;
            self.pull(to, self.generation());
        }
    }

    /// Asks `from` for everything above what is here; one such ask at a time.
    fn pull(&mut self, from: SocketAddr, generation: Generation) {
        if self.pulling {
            return;
        }
        self.pulling = true;
        let docs = self.node.documents().revisions();
        let ask = SpreadRequest::NewerThan { generation, docs };
        let call = self.call(from, RequestBody::Spread(ask), PULL_TIMEOUT);
        let tx = self.node.control().tx.clone();
        tokio::spawn(async move {
            let event = match call.await.map(|reply| reply.body) {
                Ok(ReplyBody::Spread(SpreadReply::Update(update))) => {
                    Event::Came { from, update: Box::new(update), way: Way::Other }
                }
                _ => Event::PullFailed,
            };
            let _ = tx.send_async(event).await;
        });
    }

    fn take_update(&mut self, from: SocketAddr, update: Update, way: Way) {
        if way == Way::Other {
            self.pulling = false;
        }
        let before = self.generation();
        if let Some(delta) = &update.delta {
            match self.node.documents().offer_config(delta, &update.parts) {
                ApplyOutcome::Stale => {}
                ApplyOutcome::Applied(problems) => {
                    let log = &self.node.telemetry().log;
                    info!(log, "configuration in force"; "generation" => delta.to.0);
                    if !problems.is_empty() {
                        warn!(log, "keys not known here"; "count" => problems.len());
                    }
                }
                ApplyOutcome::Gap => return self.pull(from, Generation(0)),
                ApplyOutcome::MissingParts(missing) => {
                    return self.fetch(from, update, missing, way);
                }
            }
        }
        let mut docs = Vec::new();
        for doc in &update.docs {
            if self.node.documents().offer(doc.clone()) {
                docs.push(doc.key.clone());
            }
        }
        let news = self.news_since(before, &docs);
        if !news.is_empty() {
            self.pass_on(news, way);
        }
    }

    fn fetch(&mut self, from: SocketAddr, mut update: Update, missing: Vec<MissingPart>, way: Way) {
        self.pulling = true;
        let tx = self.node.control().tx.clone();
        let node = self.node.clone();
        tokio::spawn(async move {
            let mut wanted: Vec<_> = missing.into_iter().map(|part| part.digest).collect();
            for _ in 0..MAX_ROUNDS {
                if wanted.is_empty() {
                    let update = Box::new(update);
                    let _ = tx.send_async(Event::PullFailed).await;
                    let _ = tx.send_async(Event::Came { from, update, way }).await;
                    return;
                }
                let asked = wanted.iter().take(MAX_PARTS).copied().collect();
                let ask = node.ask(RequestBody::Spread(SpreadRequest::Parts(asked)));
                let mut call = node.transport().call(from, &ask);
                let reply = tokio::time::timeout(PULL_TIMEOUT, call.next()).await;
                let Ok(Some(Ok(Reply { body, .. }))) = reply else {
                    break;
                };
                let ReplyBody::Spread(SpreadReply::Parts(parts)) = body else {
                    break;
                };
                let before = wanted.len();
                for part in parts {
                    let digest = mastichaven_core::ids::Digest::of(&part);
                    wanted.retain(|wanted| *wanted != digest);
                    update.parts.push(part);
                }
                if wanted.len() == before {
                    break;
                }
            }
            let _ = tx.send_async(Event::PullFailed).await;
        });
    }

    /// What came in force here since `before`, as an update for others.
    fn news_since(&self, before: Generation, keys: &[SmolStr]) -> Update {
        let documents = self.node.documents();
        let mut update = documents.above(before, &documents.revisions());
        update.docs = documents.docs(keys);
        update
    }

    fn pass_on(&self, update: Update, way: Way) {
        let update = Arc::new(update);
        if way == Way::Other && self.rank != 0 {
            self.push_to(0, &update, false);
        }
        self.push_below(self.rank, &update);
    }

    fn push_below(&self, rank: usize, update: &Arc<Update>) {
        for child in ring::tree_children(rank, self.tree.len()) {
            self.push_to(child, update, true);
        }
    }

    /// Hands news to the process at one place of the tree. When it does not take it and `adopt` is
    /// set, those below it are told from here, or a dead process would cut off its whole branch.
    fn push_to(&self, rank: usize, update: &Arc<Update>, adopt: bool) {
        let Some((host, to)) = self.tree.get(rank) else {
            return;
        };
        if *host == self.node.member().host {
            return;
        }
        let ask = SpreadRequest::Push(Update::clone(update));
        let call = self.call(*to, RequestBody::Spread(ask), PUSH_TIMEOUT);
        let (tx, update) = (self.node.control().tx.clone(), update.clone());
        tokio::spawn(async move {
            let taken = matches!(call.await, Ok(Reply { body: ReplyBody::Spread(_), .. }));
            if !taken && adopt {
                let _ = tx.send_async(Event::NotPushed { rank, update }).await;
            }
        });
    }

    fn probe_for(&self, address: SocketAddr, replies: ReplySink) {
        let call = self.call(address, RequestBody::Members(MembersRequest::Probe), PROBE_TIMEOUT);
        let generation = self.generation();
        tokio::spawn(async move {
            let reached = call.await.is_ok();
            let body = ReplyBody::Members(MembersReply::Reached(reached));
            let _ = replies.send_async(Reply { generation, body }).await;
        });
    }

    /// Asks the children what those below them have in force, and puts the answers together.
    fn survey(&self, replies: ReplySink) {
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
        let sends = self.membership.leave();
        let calls: Vec<_> = sends
            .into_iter()
            .map(|send| {
                tokio::spawn(self.call(send.to, RequestBody::Members(send.request), LEAVE_TIMEOUT))
            })
            .collect();
        for call in calls {
            let _ = call.await;
        }
    }
}
