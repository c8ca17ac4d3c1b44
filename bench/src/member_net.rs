//! Runs the membership state machine of many processes in one thread, over a simulated network and
//! on simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::ids::HostName;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Health;
use mastichaven_core::members::Member;
use mastichaven_core::members::MembersReply;
use mastichaven_core::members::MembersRequest;
use mastichaven_core::members::Serving;
use mastichaven_core::membership::GossipConfig;
use mastichaven_core::membership::Membership;
use mastichaven_core::membership::OutboundMessage;
use mastichaven_core::platform::HostRole;
use mastichaven_core::run::Load;
use mastichaven_core::wire;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use mastichaven_core::wire::Sender;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Simulated time that one step of [`Net::run`] advances.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which each process calls [`Membership::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after which QUIC first retransmits an unacknowledged packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes that the IP, UDP and QUIC headers, the authentication tag and the frame add to a message,
/// and bytes of the acknowledgement that its receiver sends.
const MESSAGE_OVERHEAD_BYTES: u64 = 62;
const ACK_BYTES: u64 = 58;

/// One process of a [`Net`].
pub struct Node {
    /// Membership state machine of the process.
    pub membership: Membership,
    /// Bytes sent, with the overhead and the acknowledgement of each message.
    pub sent_bytes: u64,
    /// Until this time the process handles no event and does not tick.
    pub paused_until: Time,
    /// False once the process was killed or has left, until it restarts.
    pub is_running: bool,
    /// Processes with different partition numbers cannot reach each other.
    pub partition: u32,
    host: HostName,
    next_tick: Time,
}

enum Event {
    Request { from: usize, to: usize, token: u64, request: MembersRequest },
    Reply { to: usize, token: u64, reply: MembersReply },
    Timeout { to: usize, token: u64 },
    IndirectProbeDone { helper: usize, requester: usize, token: u64, reached: bool },
}

/// Processes connected by a simulated network.
pub struct Net {
    /// Processes, by index.
    pub nodes: Vec<Node>,
    /// Current simulated time.
    pub now: Time,
    /// Probability that a packet is lost, in each direction.
    pub loss: f64,
    config: GossipConfig,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: HashMap<u64, Event>,
    last_event_id: u64,
    index_by_address: HashMap<SocketAddr, usize>,
}

impl Net {
    /// Starts `count` processes in `zones` zones at the same time. Every fourth is an entry. The
    /// seeds of all of them are the addresses of the first three entries.
    pub fn start(count: usize, zones: usize, seed: u64) -> Net {
        let mut net = Net {
            nodes: Vec::new(),
            now: Time::from_millis(1),
            loss: 0.0,
            config: GossipConfig::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            last_event_id: 0,
            index_by_address: HashMap::new(),
        };
        for index in 0..count {
            net.add_node(index, zones);
        }
        net
    }

    fn add_node(&mut self, index: usize, zones: usize) {
        let member = member(index, zones, 1);
        let seeds = (0..3).map(|n| address(n * 4)).collect();
        let next_tick = self.now + Duration::from_millis(self.rng.random_range(0..500));
        self.index_by_address.insert(member.address, index);
        self.nodes.push(Node {
            host: member.host.clone(),
            membership: Membership::new(member, seeds, self.config),
            sent_bytes: 0,
            paused_until: Time::ZERO,
            is_running: true,
            partition: 0,
            next_tick,
        });
    }

    /// Stops a process without an announcement, as in a crash.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_running = false;
    }

    /// Stops a process after it has announced that it leaves.
    pub fn leave(&mut self, index: usize) {
        let messages = self.nodes[index].membership.leave();
        self.send_requests(index, messages);
        self.nodes[index].is_running = false;
    }

    /// Restarts a process on the same host. `incarnation` is 1 at the start and has to rise with
    /// each restart.
    pub fn restart(&mut self, index: usize, zones: usize, incarnation: u64) {
        let seeds = (0..3).map(|n| address(n * 4)).collect();
        let member = member(index, zones, incarnation);
        let node = &mut self.nodes[index];
        node.membership = Membership::new(member, seeds, self.config);
        node.is_running = true;
        node.next_tick = self.now;
    }

    /// Advances the simulated time by `span`, delivering messages and ticking the processes.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver_due_events();
            for index in 0..self.nodes.len() {
                let node = &mut self.nodes[index];
                if !node.is_running || node.paused_until > self.now || node.next_tick > self.now {
                    continue;
                }
                node.next_tick = self.now + TICK_INTERVAL;
                let messages = node.membership.tick(self.now, &mut self.rng);
                self.send_requests(index, messages);
            }
        }
    }

    /// Runs until `done` holds. Returns the simulated time that took, or `None` after more than
    /// `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Net) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) > limit {
                return None;
            }
            self.run(STEP * 5);
        }
        Some(self.now.since(start))
    }

    /// Number of running processes that see process `index` in this health.
    pub fn count_observers(&self, index: usize, health: Health) -> usize {
        let host = &self.nodes[index].host;
        let running = self.nodes.iter().filter(|node| node.is_running);
        running.filter(|node| node.membership.health(host) == Some(health)).count()
    }

    /// Whether every running process sees as many members alive as there are running processes.
    pub fn has_converged(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.is_running).count();
        self.nodes
            .iter()
            .filter(|node| node.is_running)
            .all(|n| n.membership.alive_count() + 1 == running)
    }

    /// Bytes sent by all processes since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.sent_bytes).sum()
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event_id += 1;
        self.events.push(Reverse((at, self.last_event_id)));
        self.pending.insert(self.last_event_id, event);
    }

    /// Draws the time that a message takes, or `None` if it does not arrive before the heartbeat
    /// timeout. QUIC retransmits a lost packet after a probe timeout, which doubles each time.
    fn sample_transit(&mut self, a: usize, b: usize) -> Option<Duration> {
        if self.nodes[a].partition != self.nodes[b].partition {
            return None;
        }
        let mut transit = Duration::from_micros(self.rng.random_range(300..3_000));
        let mut retry_delay = PROBE_TIMEOUT;
        while self.rng.random_bool(self.loss) {
            transit += retry_delay;
            retry_delay *= 2;
        }
        (transit < self.config.heartbeat_timeout).then_some(transit)
    }

    fn send_requests(&mut self, from: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { to, token, request } in messages {
            self.nodes[from].sent_bytes += self.request_bytes(from, &request);
            let timeout_at = self.now + self.config.heartbeat_timeout;
            self.schedule(timeout_at, Event::Timeout { to: from, token });
            let Some(&to) = self.index_by_address.get(&to) else {
                continue;
            };
            if let Some(transit) = self.sample_transit(from, to) {
                self.schedule(self.now + transit, Event::Request { from, to, token, request });
            }
        }
    }

    fn deliver_due_events(&mut self) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > self.now {
                return;
            }
            self.events.pop();
            let event = self.pending.remove(&id).expect("each scheduled event is pending");
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: Event) {
        let receiver = match &event {
            Event::Request { to, .. } | Event::Reply { to, .. } | Event::Timeout { to, .. } => *to,
            Event::IndirectProbeDone { helper, .. } => *helper,
        };
        if !self.nodes[receiver].is_running {
            return;
        }
        let paused_until = self.nodes[receiver].paused_until;
        if paused_until > self.now {
            // Packets stay in the socket buffer until the process resumes.
            return self.schedule(paused_until, event);
        }
        match event {
            Event::Request { from, to, token, request } => {
                self.handle_request(from, to, token, request)
            }
            Event::Reply { to, token, reply } => self.deliver_reply(to, token, Some(reply)),
            Event::Timeout { to, token } => self.deliver_reply(to, token, None),
            Event::IndirectProbeDone { helper, requester, token, reached } => {
                self.send_reply(helper, requester, token, MembersReply::Reached(reached));
            }
        }
    }

    fn handle_request(&mut self, from: usize, to: usize, token: u64, request: MembersRequest) {
        if let MembersRequest::IndirectProbe(address) = request {
            let target = self.index_by_address.get(&address).copied();
            let reached = target.is_some_and(|target| {
                let is_responsive =
                    self.nodes[target].is_running && self.nodes[target].paused_until <= self.now;
                is_responsive
                    && self.sample_transit(to, target).is_some()
                    && self.sample_transit(target, to).is_some()
            });
            let wait =
                if reached { Duration::from_millis(5) } else { self.config.heartbeat_timeout };
            let event = Event::IndirectProbeDone { helper: to, requester: from, token, reached };
            return self.schedule(self.now + wait, event);
        }
        let host = self.nodes[from].host.clone();
        let reply = self.nodes[to].membership.on_request(self.now, &host, request);
        self.send_reply(to, from, token, reply);
    }

    fn send_reply(&mut self, from: usize, to: usize, token: u64, reply: MembersReply) {
        let body = ReplyBody::Members(reply.clone());
        let encoded = wire::encode(&Reply { generation: Default::default(), body });
        self.nodes[from].sent_bytes += encoded.len() as u64 + MESSAGE_OVERHEAD_BYTES + ACK_BYTES;
        if let Some(transit) = self.sample_transit(from, to) {
            self.schedule(self.now + transit, Event::Reply { to, token, reply });
        }
    }

    fn deliver_reply(&mut self, to: usize, token: u64, reply: Option<MembersReply>) {
        let now = self.now;
        let node = &mut self.nodes[to];
        let messages = node.membership.on_reply(now, token, reply, &mut self.rng);
        self.send_requests(to, messages);
    }

    fn request_bytes(&self, from: usize, request: &MembersRequest) -> u64 {
        let host = self.nodes[from].host.clone();
        let from = Sender { host, ..Sender::default() };
        let request = RequestMessage { from, body: RequestBody::Members(request.clone()) };
        wire::encode(&request).len() as u64 + MESSAGE_OVERHEAD_BYTES + ACK_BYTES
    }
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

fn member(index: usize, zones: usize, incarnation: u64) -> Member {
    let zone = index / 4 % zones;
    let entry = index.is_multiple_of(4);
    Member {
        host: HostName::new(format!("{}-{index}", if entry { "entry" } else { "agent" })),
        role: if entry { HostRole::Entry } else { HostRole::Agent },
        zone: format!("zone-{zone}").as_str().into(),
        region: format!("region-{}", zone % 3).as_str().into(),
        address: address(index),
        incarnation: Incarnation((1_700_000_000 + incarnation) << 24),
        leaving: false,
        endpoint: if entry { EndpointKind::None } else { EndpointKind::Engine },
        memory_mib: 0,
        serving: Serving::Nothing,
        load: Load::default(),
    }
}
