//! Who is alive, as one process sees it.
//!
//! Heartbeats go to a few stable neighbours ([`crate::ring`]). One that does not answer is probed
//! by way of others, then suspected, and dead only when it does not refute that in time. News is
//! passed on a few times with the heartbeats, within a budget of bytes; what that misses, views
//! that differ for a while make good by an exchange. The platform's list is only a hint of whom
//! to greet.
//!
//! What goes wrong without these: a process paused for a moment would be declared dead (it may
//! refute); one that is itself paused or cut off would declare everybody else dead (a late
//! [`Membership::tick`] and [`Terms::isolation`] keep it quiet); a host that comes and goes would
//! move plans each time (flapping members are kept back).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use self::news::detail;
use crate::ids::HostName;
use crate::members::Health;
use crate::members::Hello;
use crate::members::Member;
use crate::members::MembersAsk;
use crate::members::MembersReply;
use crate::members::News;
use crate::members::Stamp;
use crate::platform::HostRole;
use crate::ring;
use crate::run::Load;
use crate::time::Time;

mod news;
mod verdict;

/// Members one process keeps at most.
pub const MAX_MEMBERS: usize = 16_384;

/// News in one heartbeat at most.
const MAX_NEWS: usize = 12;

/// News waiting to be passed on at most; what is dropped is made good by an exchange.
const MAX_QUEUE: usize = 4_096;

/// Others that are asked to probe a silent member.
const HELPERS: usize = 3;

/// Bytes of one heartbeat with its answer and of one piece of news, for the budget, and what may
/// be saved up for a burst.
const HELLO_BYTES: f64 = 320.0;
const NEWS_BYTES: f64 = 110.0;
const BURST_BYTES: f64 = 16_000.0;

/// Returns from the dead that count as flapping, and the time after which half is forgotten.
const FLAP_LIMIT: f64 = 2.5;
const FLAP_HALF_LIFE: Duration = Duration::from_secs(60);

/// Heartbeats in a row with another view before members are exchanged.
const DIFFERENT_VIEWS: u32 = 2;

/// An exchange of members begins with this many bytes for each that is known, so exchanges are
/// further apart the more are known.
const SYNC_BYTES: usize = 8;
const SYNC_BYTES_A_SECOND: f64 = 400.0;
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// A process looks for others often for this long.
const YOUNG: Duration = Duration::from_secs(20);

/// Times of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two heartbeats of this process, each to the next neighbour.
    pub interval: Duration,
    /// Between two heartbeats while there is news.
    pub news_interval: Duration,
    /// How long a heartbeat may stay unanswered.
    pub timeout: Duration,
    /// How long a suspicion may be refuted.
    pub suspicion: Duration,
    /// Without any answer for this long, this process counts itself as cut off and declares
    /// nobody dead.
    pub isolation: Duration,
    /// A tick that comes this late means that this process was paused.
    pub pause: Duration,
    /// How long the dead are remembered, and greeted now and then in case they are back.
    pub remembered: Duration,
    /// Bytes a second for news, on average.
    pub budget: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            interval: Duration::from_millis(500),
            news_interval: Duration::from_millis(200),
            timeout: Duration::from_millis(1_000),
            suspicion: Duration::from_secs(4),
            isolation: Duration::from_secs(3),
            pause: Duration::from_millis(1_500),
            remembered: Duration::from_secs(3_600),
            budget: 1_000.0,
        }
    }
}

/// A message to send; its answer goes to [`Membership::on_reply`].
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: SocketAddr,
    /// Names the answer.
    pub token: u64,
    /// The message.
    pub ask: MembersAsk,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    sequence: u32,
    health: Health,
    since: Time,
    flaps: f64,
    flapped: Time,
    differing: u32,
    /// The latest statement it is known to have made.
    heard: Stamp,
}

impl Peer {
    fn stamp(&self) -> Stamp {
        Stamp { incarnation: self.member.incarnation, sequence: self.sequence }
    }

    fn detail(&self) -> u64 {
        detail(&self.member.host, self.stamp())
    }

    fn is_gone(&self) -> bool {
        self.health >= Health::Dead
    }

    fn flaps_at(&self, now: Time) -> f64 {
        let halves = now.since(self.flapped).as_secs_f64() / FLAP_HALF_LIFE.as_secs_f64();
        self.flaps * 0.5_f64.powf(halves)
    }
}

/// News and the neighbours that are still to hear it: each once, those it came from not at all.
#[derive(Clone, Debug)]
struct Queued {
    id: u64,
    news: News,
    to: Vec<HostName>,
}

#[derive(Clone, Debug)]
enum Waiting {
    Hello { host: HostName, told: Vec<u64> },
    Greeting,
    Help { host: HostName, stamp: Stamp },
    Sync,
}

/// Answers of helpers about one silent member.
#[derive(Clone, Debug)]
struct Helped {
    left: usize,
}

/// The membership as one process sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    terms: Terms,
    me: Member,
    sequence: u32,
    ended: bool,
    peers: BTreeMap<HostName, Peer>,
    /// Addresses to greet: seeds and the platform's list.
    hints: Vec<SocketAddr>,
    queue: Vec<Queued>,
    waiting: HashMap<u64, Waiting>,
    helped: HashMap<HostName, Helped>,
    neighbours: Vec<HostName>,
    neighbours_stale: bool,
    cursor: usize,
    next_token: u64,
    next_news: u64,
    next_hello: Time,
    next_beat: Time,
    next_greeting: Time,
    next_sync: Time,
    first_tick: Time,
    last_tick: Time,
    last_answer: Time,
    budget: f64,
    docs: u64,
    view: u64,
    detail: u64,
    version: u64,
    changed: Time,
}

impl Membership {
    /// A process that knows only itself and whom to greet.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, terms: Terms) -> Membership {
        Membership {
            terms,
            me,
            sequence: 0,
            ended: false,
            peers: BTreeMap::new(),
            hints: seeds,
            queue: Vec::new(),
            waiting: HashMap::new(),
            helped: HashMap::new(),
            neighbours: Vec::new(),
            neighbours_stale: true,
            cursor: 0,
            next_token: 0,
            next_news: 0,
            next_hello: Time::ZERO,
            next_beat: Time::ZERO,
            next_greeting: Time::ZERO,
            next_sync: Time::ZERO,
            first_tick: Time::ZERO,
            last_tick: Time::ZERO,
            last_answer: Time::ZERO,
            budget: BURST_BYTES,
            docs: 0,
            view: 0,
            detail: 0,
            version: 0,
            changed: Time::ZERO,
        }
    }

    /// Changes what this process says of itself; all but the load is passed on.
    pub fn set_me(&mut self, member: Member) {
        let unloaded = |member: &Member| Member { load: Load::default(), ..member.clone() };
        if unloaded(&member) != unloaded(&self.me) {
            let for_entries_only = member.leaving == self.me.leaving;
            self.sequence += 1;
            self.me = member;
            self.version += 1;
            self.tell_me(for_entries_only);
        } else {
            self.me = member;
        }
    }

    /// Sets the fingerprint of the plans, which goes along with heartbeats.
    pub fn set_docs(&mut self, docs: u64) {
        self.docs = docs;
    }

    /// Adds addresses to greet when they are not known as members.
    pub fn hint(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let known: HashSet<SocketAddr> =
            self.peers.values().filter(|p| !p.is_gone()).map(|p| p.member.address).collect();
        self.hints = addresses
            .into_iter()
            .filter(|address| *address != self.me.address && !known.contains(address))
            .take(MAX_MEMBERS)
            .collect();
    }

    /// Rises with each change of [`Membership::members`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When somebody last came, left or died.
    pub fn changed(&self) -> Time {
        self.changed
    }

    /// How many others are thought alive.
    pub fn alive(&self) -> usize {
        self.peers.values().filter(|peer| !peer.is_gone()).count()
    }

    /// This process and all that are thought alive, without those that come and go too often.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let calm = |peer: &&Peer| !peer.is_gone() && peer.flaps_at(now) < FLAP_LIMIT;
        let others = self.peers.values().filter(calm).map(|peer| peer.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// What is thought of a host; `None` when it was never heard of.
    pub fn health(&self, host: &HostName) -> Option<Health> {
        self.peers.get(host).map(|peer| peer.health)
    }

    /// The hosts that this process sends heartbeats to.
    pub fn neighbours(&mut self) -> &[HostName] {
        if self.neighbours_stale {
            self.neighbours_stale = false;
            let alive: Vec<&Member> =
                self.peers.values().filter(|p| !p.is_gone()).map(|p| &p.member).collect();
            self.neighbours = ring::neighbours(&self.me, &alive);
            for queued in &mut self.queue {
                queued.to.retain(|host| self.neighbours.contains(host));
            }
            self.queue.retain(|queued| !queued.to.is_empty());
        }
        &self.neighbours
    }

    /// Does what is due at `now`. Call at least every [`Terms::news_interval`].
    pub fn tick<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Send> {
        if self.last_tick == Time::ZERO {
            self.first_tick = now;
        }
        self.notice_pause(now);
        self.bury(now);
        let passed = now.since(self.last_tick).as_secs_f64();
        self.budget = (self.budget + passed * self.terms.budget).min(BURST_BYTES);
        self.last_tick = now;
        let mut sends = Vec::new();
        if now >= self.next_greeting {
            self.next_greeting = now + self.greeting_interval(now);
            sends.extend(self.greet(rng));
        }
        if now >= self.next_beat {
            self.next_beat = now + self.terms.interval;
            self.next_hello = now + self.terms.news_interval;
            sends.extend(self.hello_to_next(false));
        } else if now >= self.next_hello && !self.queue.is_empty() && self.budget > 0.0 {
            self.next_hello = now + self.terms.news_interval;
            self.budget -= HELLO_BYTES;
            sends.extend(self.hello_to_next(true));
        }
        sends
    }

    /// Messages that say that this process ends; no answer is needed.
    pub fn leave(&mut self) -> Vec<Send> {
        self.ended = true;
        self.me.leaving = true;
        let news =
            News::Verdict { host: self.me.host.clone(), stamp: self.stamp(), health: Health::Left };
        let hello = Hello { news: vec![news], ..self.hello_frame() };
        let hosts = self.neighbours().to_vec();
        let addresses: Vec<SocketAddr> =
            hosts.iter().filter_map(|host| Some(self.peers.get(host)?.member.address)).collect();
        addresses
            .into_iter()
            .map(|to| self.send(to, MembersAsk::Hello(hello.clone()), Waiting::Greeting))
            .collect()
    }

    /// Answers a message of `host`. Probing for others is the caller's part.
    pub fn on_ask(&mut self, now: Time, host: &HostName, ask: MembersAsk) -> MembersReply {
        match ask {
            MembersAsk::Probe => MembersReply::Me(self.me.clone()),
            MembersAsk::Hello(hello) => {
                let tell = self.take_hello(now, host, hello);
                let hello = self.hello_for(host, tell);
                MembersReply::Hello(Hello { host: self.me.host.clone(), ..hello })
            }
            MembersAsk::Sync(known) => MembersReply::News(self.unknown_to(&known)),
            MembersAsk::ProbeFor(_) => MembersReply::Reached(false),
            MembersAsk::HostLeaves(_) => MembersReply::Noted,
        }
    }

    /// Takes in the answer to a message, `None` when there was none in time. Gives messages that
    /// follow from it.
    pub fn on_reply<R: Rng>(
        &mut self,
        now: Time,
        token: u64,
        reply: Option<MembersReply>,
        rng: &mut R,
    ) -> Vec<Send> {
        let Some(waiting) = self.waiting.remove(&token) else {
            return Vec::new();
        };
        if reply.is_some() {
            self.last_answer = now;
        }
        match (waiting, reply) {
            (Waiting::Hello { host, told }, Some(MembersReply::Hello(hello))) => {
                self.helped.remove(&host);
                self.heard(&host, |queued| told.contains(&queued.id));
                let mut sends = Vec::new();
                if self.take_hello(now, &host, hello) {
                    sends.extend(self.introduce(&host));
                }
                sends.extend(self.sync_if_different(now, &host));
                sends
            }
            (Waiting::Hello { host, .. }, _) => self.ask_helpers(now, host, rng),
            (Waiting::Greeting, Some(MembersReply::Hello(hello))) => {
                let host = hello.host.clone();
                let mut sends = Vec::new();
                if self.take_hello(now, &host, hello) {
                    sends.extend(self.introduce(&host));
                }
                sends.extend(self.sync_with(now, &host));
                sends
            }
            (Waiting::Help { host, stamp }, reply) => {
                let reached = matches!(reply, Some(MembersReply::Reached(true)));
                self.take_help(now, host, stamp, reached).into_iter().collect()
            }
            (Waiting::Sync, Some(MembersReply::News(news))) => {
                for news in news.into_iter().take(MAX_MEMBERS) {
                    self.take_news(now, news, None);
                }
                Vec::new()
            }
            (Waiting::Greeting | Waiting::Sync, _) => Vec::new(),
        }
    }

    fn stamp(&self) -> Stamp {
        Stamp { incarnation: self.me.incarnation, sequence: self.sequence }
    }

    fn send(&mut self, to: SocketAddr, ask: MembersAsk, waiting: Waiting) -> Send {
        self.next_token += 1;
        self.waiting.insert(self.next_token, waiting);
        Send { to, token: self.next_token, ask }
    }

    /// After a pause, answers that did not come say nothing of the others, and suspicions could
    /// not be refuted here: both get their time again.
    fn notice_pause(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        if self.last_tick == Time::ZERO || gap < self.terms.pause {
            return;
        }
        self.waiting.clear();
        self.helped.clear();
        for peer in self.peers.values_mut().filter(|peer| peer.health == Health::Suspect) {
            peer.since = now;
        }
    }

    /// A young process looks for others often; later it only greets the dead and the listed.
    fn greeting_interval(&self, now: Time) -> Duration {
        let young = now.since(self.first_tick) < YOUNG;
        match (young, self.hints.is_empty()) {
            (true, false) => self.terms.news_interval,
            (true, true) => self.terms.interval,
            (false, _) => self.terms.interval * 10,
        }
    }

    /// Greets somebody who is not thought alive: a hint, or one of the dead.
    fn greet<R: Rng>(&mut self, rng: &mut R) -> Option<Send> {
        let dead: Vec<(SocketAddr, News)> = self
            .peers
            .values()
            .filter(|peer| peer.health == Health::Dead)
            .filter(|peer| self.me.role == HostRole::Entry || peer.member.zone == self.me.zone)
            .map(|peer| {
                let (host, stamp) = (peer.member.host.clone(), peer.stamp());
                (peer.member.address, News::Verdict { host, stamp, health: Health::Dead })
            })
            .collect();
        let mut hello = self.hello_frame();
        hello.who = true;
        hello.news.push(News::Here { member: Box::new(self.me.clone()), sequence: self.sequence });
        let options = dead.len() + self.hints.len();
        if options == 0 {
            return None;
        }
        let chosen = rng.random_range(0..options);
        let to = match chosen.checked_sub(dead.len()) {
            Some(hint) => self.hints[hint],
            None => {
                // It hears that it is thought dead, and refutes that.
                hello.news.push(dead[chosen].1.clone());
                dead[chosen].0
            }
        };
        Some(self.send(to, MembersAsk::Hello(hello), Waiting::Greeting))
    }
}
