//! Many memberships in one thread on simulated time: the real decisions, a simulated network.

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

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);

/// How often each process ticks.
const TICK: Duration = Duration::from_millis(100);

/// After this long QUIC sends an unacknowledged packet again, at first.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes of IP, UDP, QUIC header, tag and frame round one message, and of the acknowledgement
/// that its receiver sends for it.
const MESSAGE_OVERHEAD: u64 = 62;
const ACK_BYTES: u64 = 58;

/// One process of a [`Net`].
pub struct Node {
    /// Its membership.
    pub membership: Membership,
    /// Bytes it has sent.
    pub sent: u64,
    /// Until when it is paused.
    pub paused_until: Time,
    /// Whether it runs.
    pub up: bool,
    /// Processes of different sides cannot reach each other.
    pub side: u32,
    host: HostName,
    next_tick: Time,
}

enum Event {
    Request { from: usize, to: usize, token: u64, request: MembersRequest },
    Reply { to: usize, token: u64, reply: MembersReply },
    Late { to: usize, token: u64 },
    Helped { helper: usize, asker: usize, token: u64, reached: bool },
}

/// Memberships joined by a simulated network.
pub struct Net {
    /// The processes.
    pub nodes: Vec<Node>,
    /// The present time.
    pub now: Time,
    /// Share of messages lost, each way.
    pub loss: f64,
    config: GossipConfig,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    by_address: HashMap<SocketAddr, usize>,
}

impl Net {
    /// `count` processes in `zones` zones, a quarter of them entries, that all start at once and
    /// know the first three entries' addresses.
    pub fn start(count: usize, zones: usize, seed: u64) -> Net {
        let mut net = Net {
            nodes: Vec::new(),
            now: Time::from_millis(1),
            loss: 0.0,
            config: GossipConfig::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            by_address: HashMap::new(),
        };
        for index in 0..count {
            net.add(index, zones);
        }
        net
    }

    fn add(&mut self, index: usize, zones: usize) {
        let member = member(index, zones, 1);
        let seeds = (0..3).map(|n| address(n * 4)).collect();
        let next_tick = self.now + Duration::from_millis(self.rng.random_range(0..500));
        self.by_address.insert(member.address, index);
        self.nodes.push(Node {
            host: member.host.clone(),
            membership: Membership::new(member, seeds, self.config),
            sent: 0,
            paused_until: Time::ZERO,
            up: true,
            side: 0,
            next_tick,
        });
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Ends a process that says so.
    pub fn leave(&mut self, index: usize) {
        let sends = self.nodes[index].membership.leave();
        self.send_all(index, sends);
        self.nodes[index].up = false;
    }

    /// Starts a process again, as a later life on the same host.
    pub fn restart(&mut self, index: usize, zones: usize, life: u64) {
        let seeds = (0..3).map(|n| address(n * 4)).collect();
        let member = member(index, zones, life);
        let node = &mut self.nodes[index];
        node.membership = Membership::new(member, seeds, self.config);
        node.up = true;
        node.next_tick = self.now;
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for index in 0..self.nodes.len() {
                let node = &mut self.nodes[index];
                if !node.up || node.paused_until > self.now || node.next_tick > self.now {
                    continue;
                }
                node.next_tick = self.now + TICK;
                let sends = node.membership.tick(self.now, &mut self.rng);
                self.send_all(index, sends);
            }
        }
    }

    /// Runs until `done`, for at most `limit`; gives how long it took.
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

    /// How many of the running processes think this of process `index`.
    pub fn thinking(&self, index: usize, health: Health) -> usize {
        let host = &self.nodes[index].host;
        let running = self.nodes.iter().filter(|node| node.up);
        running.filter(|node| node.membership.health(host) == Some(health)).count()
    }

    /// Whether every running process knows exactly the running processes.
    pub fn agrees(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.up).count();
        self.nodes.iter().filter(|node| node.up).all(|n| n.membership.alive_count() + 1 == running)
    }

    /// Bytes sent by all processes so far.
    pub fn sent(&self) -> u64 {
        self.nodes.iter().map(|node| node.sent).sum()
    }

    fn push(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }

    /// How long a message takes; `None` when it cannot arrive in time. QUIC sends a lost packet
    /// again after a probe timeout that doubles each time.
    fn transit(&mut self, a: usize, b: usize) -> Option<Duration> {
        if self.nodes[a].side != self.nodes[b].side {
            return None;
        }
        let mut transit = Duration::from_micros(self.rng.random_range(300..3_000));
        let mut again = PROBE_TIMEOUT;
        while self.rng.random_bool(self.loss) {
            transit += again;
            again *= 2;
        }
        (transit < self.config.heartbeat_timeout).then_some(transit)
    }

    fn send_all(&mut self, from: usize, sends: Vec<OutboundMessage>) {
        for OutboundMessage { to, token, request } in sends {
            self.nodes[from].sent += self.request_bytes(from, &request);
            let late = self.now + self.config.heartbeat_timeout;
            self.push(late, Event::Late { to: from, token });
            let Some(&to) = self.by_address.get(&to) else {
                continue;
            };
            if let Some(transit) = self.transit(from, to) {
                self.push(self.now + transit, Event::Request { from, to, token, request });
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > self.now {
                return;
            }
            self.events.pop();
            let event = self.bodies.remove(&id).expect("each event has a body");
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        let receiver = match &event {
            Event::Request { to, .. } | Event::Reply { to, .. } | Event::Late { to, .. } => *to,
            Event::Helped { helper, .. } => *helper,
        };
        if !self.nodes[receiver].up {
            return;
        }
        let paused_until = self.nodes[receiver].paused_until;
        if paused_until > self.now {
            // What arrives waits in the socket until the process goes on.
            return self.push(paused_until, event);
        }
        match event {
            Event::Request { from, to, token, request } => {
                self.handle_request(from, to, token, request)
            }
            Event::Reply { to, token, reply } => self.answer(to, token, Some(reply)),
            Event::Late { to, token } => self.answer(to, token, None),
            Event::Helped { helper, asker, token, reached } => {
                self.reply(helper, asker, token, MembersReply::Reached(reached));
            }
        }
    }

    fn handle_request(&mut self, from: usize, to: usize, token: u64, request: MembersRequest) {
        if let MembersRequest::IndirectProbe(address) = request {
            let target = self.by_address.get(&address).copied();
            let reached = target.is_some_and(|target| {
                let runs = self.nodes[target].up && self.nodes[target].paused_until <= self.now;
                runs && self.transit(to, target).is_some() && self.transit(target, to).is_some()
            });
            let wait =
                if reached { Duration::from_millis(5) } else { self.config.heartbeat_timeout };
            let event = Event::Helped { helper: to, asker: from, token, reached };
            return self.push(self.now + wait, event);
        }
        let host = self.nodes[from].host.clone();
        let reply = self.nodes[to].membership.on_request(self.now, &host, request);
        self.reply(to, from, token, reply);
    }

    fn reply(&mut self, from: usize, to: usize, token: u64, reply: MembersReply) {
        let body = ReplyBody::Members(reply.clone());
        let encoded = wire::encode(&Reply { generation: Default::default(), body });
        self.nodes[from].sent += encoded.len() as u64 + MESSAGE_OVERHEAD + ACK_BYTES;
        if let Some(transit) = self.transit(from, to) {
            self.push(self.now + transit, Event::Reply { to, token, reply });
        }
    }

    fn answer(&mut self, to: usize, token: u64, reply: Option<MembersReply>) {
        let now = self.now;
        let node = &mut self.nodes[to];
        let sends = node.membership.on_reply(now, token, reply, &mut self.rng);
        self.send_all(to, sends);
    }

    fn request_bytes(&self, from: usize, request: &MembersRequest) -> u64 {
        let host = self.nodes[from].host.clone();
        let from = Sender { host, ..Sender::default() };
        let request = RequestMessage { from, body: RequestBody::Members(request.clone()) };
        wire::encode(&request).len() as u64 + MESSAGE_OVERHEAD + ACK_BYTES
    }
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

fn member(index: usize, zones: usize, life: u64) -> Member {
    let zone = index / 4 % zones;
    let entry = index.is_multiple_of(4);
    Member {
        host: HostName::new(format!("{}-{index}", if entry { "entry" } else { "agent" })),
        role: if entry { HostRole::Entry } else { HostRole::Agent },
        zone: format!("zone-{zone}").as_str().into(),
        region: format!("region-{}", zone % 3).as_str().into(),
        address: address(index),
        incarnation: Incarnation((1_700_000_000 + life) << 24),
        leaving: false,
        endpoint: if entry { EndpointKind::None } else { EndpointKind::Engine },
        memory_mib: 0,
        serving: Serving::Nothing,
        load: Load::default(),
    }
}
