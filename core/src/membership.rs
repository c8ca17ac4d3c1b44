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

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
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

    fn bury(&mut self, now: Time) {
        // Cut off from everybody, the silence of the others proves nothing.
        let isolated = now.passed(self.last_answer, self.terms.isolation);
        let (suspicion, remembered) = (self.terms.suspicion, self.terms.remembered);
        let late =
            |peer: &&Peer| peer.health == Health::Suspect && now.passed(peer.since, suspicion);
        let dead: Vec<(HostName, Stamp)> = self
            .peers
            .values()
            .filter(late)
            .map(|peer| (peer.member.host.clone(), peer.stamp()))
            .collect();
        if !isolated {
            let me = self.me.host.clone();
            for (host, stamp) in dead {
                let verdict = News::Verdict { host, stamp, health: Health::Dead };
                self.take_news(now, verdict, Some(&me));
            }
        }
        let forgotten = |peer: &Peer| peer.is_gone() && now.passed(peer.since, remembered);
        self.peers.retain(|_, peer| !forgotten(peer));
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

    /// A heartbeat to the next neighbour, or to the next that is still to hear some news.
    fn hello_to_next(&mut self, only_news: bool) -> Option<Send> {
        let count = self.neighbours().len();
        let wanted = |host: &HostName| {
            !only_news || self.queue.iter().any(|queued| queued.to.contains(host))
        };
        let next = (1..=count)
            .map(|step| (self.cursor + step) % count)
            .find(|at| wanted(&self.neighbours[*at]))?;
        self.cursor = next;
        let host = self.neighbours[next].clone();
        let to = self.peers.get(&host)?.member.address;
        let mut hello = self.hello_for(&host, false);
        let told = self.add_news(&mut hello, &host);
        Some(self.send(to, MembersAsk::Hello(hello), Waiting::Hello { host, told }))
    }

    /// Puts news for `host` into a heartbeat, as much as fits, and gives what it was.
    fn add_news(&mut self, hello: &mut Hello, host: &HostName) -> Vec<u64> {
        let mut told = Vec::new();
        for queued in self.queue.iter().filter(|queued| queued.to.contains(host)) {
            // A regular heartbeat always takes one piece along, so that the queue moves on.
            if hello.news.len() >= MAX_NEWS || (self.budget < 0.0 && !told.is_empty()) {
                break;
            }
            hello.news.push(queued.news.clone());
            told.push(queued.id);
            self.budget -= NEWS_BYTES;
        }
        told
    }

    /// `host` has heard this news.
    fn heard(&mut self, host: &HostName, is_it: impl Fn(&Queued) -> bool) {
        for queued in self.queue.iter_mut().filter(|queued| is_it(queued)) {
            queued.to.retain(|waiting| waiting != host);
        }
        self.queue.retain(|queued| !queued.to.is_empty());
    }

    /// Says who this process is to one that does not know it.
    fn introduce(&mut self, host: &HostName) -> Option<Send> {
        let to = self.peers.get(host)?.member.address;
        let hello = self.hello_for(host, true);
        Some(self.send(to, MembersAsk::Hello(hello), Waiting::Greeting))
    }

    fn hello_frame(&self) -> Hello {
        Hello {
            host: HostName::default(),
            stamp: self.stamp(),
            load: self.me.load,
            docs: self.docs,
            view: self.whole_view(),
            detail: self.whole_detail(),
            who: false,
            news: Vec::new(),
        }
    }

    /// A heartbeat for one receiver; `tell_me` adds what this process says of itself.
    fn hello_for(&mut self, to: &HostName, tell_me: bool) -> Hello {
        let is_behind = self.peers.get(to).is_none_or(|peer| peer.heard > peer.stamp());
        let mut hello = self.hello_frame();
        hello.who = is_behind;
        if tell_me {
            let (member, sequence) = (Box::new(self.me.clone()), self.sequence);
            hello.news.push(News::Here { member, sequence });
        }
        // A receiver that is doubted hears it here, so that it can refute it.
        if let Some(peer) = self.peers.get(to)
            && peer.health > Health::Alive
        {
            let (host, stamp, health) = (peer.member.host.clone(), peer.stamp(), peer.health);
            hello.news.push(News::Verdict { host, stamp, health });
        }
        hello
    }

    /// The view with this process itself in it, so that equal views have equal fingerprints.
    fn whole_view(&self) -> u64 {
        self.view ^ fingerprint(&self.me, Health::Alive)
    }

    fn whole_detail(&self) -> u64 {
        match self.me.role {
            HostRole::Entry => self.detail ^ detail(&self.me.host, self.stamp()),
            HostRole::Agent => 0,
        }
    }

    /// Gives whether the sender needs to hear who this process is.
    fn take_hello(&mut self, now: Time, host: &HostName, hello: Hello) -> bool {
        for news in hello.news.into_iter().take(MAX_NEWS + 2) {
            self.take_news(now, news, Some(host));
        }
        let (view, mine) = (self.whole_view(), self.whole_detail());
        if let Some(peer) = self.peers.get_mut(host) {
            peer.heard = peer.heard.max(hello.stamp);
            if peer.stamp() == hello.stamp {
                peer.member.load = hello.load;
            }
            let same_detail = hello.detail == mine || hello.detail == 0 || mine == 0;
            let same = hello.view == view && same_detail;
            peer.differing = if same { 0 } else { peer.differing.saturating_add(1) };
        }
        hello.who
    }

    /// Queues news for all neighbours but `from`; news about the same host replaces older news.
    fn tell(&mut self, news: News, from: &HostName, for_entries_only: bool) {
        let about = about(&news).clone();
        self.queue.retain(|queued| *self::about(&queued.news) != about);
        let neighbours = self.neighbours().to_vec();
        let for_it = |host: &&HostName| {
            let role = self.peers.get(*host).map(|peer| peer.member.role);
            *host != from && **host != about && (!for_entries_only || role == Some(HostRole::Entry))
        };
        let to: Vec<HostName> = neighbours.iter().filter(for_it).cloned().collect();
        if !to.is_empty() && self.queue.len() < MAX_QUEUE {
            self.next_news += 1;
            self.queue.push(Queued { id: self.next_news, news, to });
        }
    }

    fn tell_me(&mut self, for_entries_only: bool) {
        let (member, sequence) = (Box::new(self.me.clone()), self.sequence);
        let me = self.me.host.clone();
        self.tell(News::Here { member, sequence }, &me, for_entries_only);
    }

    /// Takes news in if it is later than what is known; news `from` a process is passed on.
    fn take_news(&mut self, now: Time, news: News, from: Option<&HostName>) {
        if let Some(from) = from {
            let same = news.clone();
            self.heard(from, |queued| queued.news == same);
        }
        match news {
            News::Here { member, sequence } => {
                if member.host != self.me.host {
                    self.take_member(now, *member, sequence, from);
                }
            }
            News::Verdict { host, stamp, health } if host == self.me.host => {
                self.refute(stamp, health);
            }
            News::Verdict { host, stamp, health } => {
                self.take_verdict(now, host, stamp, health, from);
            }
        }
    }

    /// Somebody thinks this process suspect or dead: a higher sequence says otherwise.
    fn refute(&mut self, stamp: Stamp, health: Health) {
        if health > Health::Alive && stamp >= self.stamp() && !self.ended {
            if stamp.incarnation == self.me.incarnation {
                self.sequence = stamp.sequence + 1;
            }
            self.tell_me(false);
        }
    }

    fn take_member(&mut self, now: Time, member: Member, sequence: u32, from: Option<&HostName>) {
        let stamp = Stamp { incarnation: member.incarnation, sequence };
        let host = member.host.clone();
        let old = self.peers.get(&host);
        if old.is_some_and(|old| stamp <= old.stamp()) {
            return;
        }
        if old.is_none() && self.peers.len() >= MAX_MEMBERS {
            return;
        }
        let returned = old.is_some_and(|old| {
            old.health == Health::Dead || old.member.incarnation < member.incarnation
        });
        let flaps = old.map_or(0.0, |old| old.flaps_at(now)) + f64::from(u8::from(returned));
        let (flaps, flapped) = (flaps, if returned { now } else { old.map_or(now, |o| o.flapped) });
        let same_place = |old: &Peer| {
            !old.is_gone()
                && old.member.incarnation == member.incarnation
                && old.member.leaving == member.leaving
                && old.member.address == member.address
        };
        let structural = !old.is_some_and(same_place);
        let for_entries_only = !structural && old.is_some_and(|old| old.health == Health::Alive);
        let news = News::Here { member: Box::new(member.clone()), sequence };
        let peer = Peer {
            member,
            sequence,
            health: Health::Alive,
            since: now,
            flaps,
            flapped,
            differing: 0,
            heard: stamp,
        };
        self.replace(host, peer, structural);
        if let Some(from) = from {
            self.tell(news, from, for_entries_only);
        }
    }

    fn take_verdict(
        &mut self,
        now: Time,
        host: HostName,
        stamp: Stamp,
        health: Health,
        from: Option<&HostName>,
    ) {
        let Some(old) = self.peers.get(&host) else {
            return;
        };
        if (stamp, health) <= (old.stamp(), old.health) || health == Health::Alive {
            return;
        }
        let mut peer = old.clone();
        peer.health = health;
        peer.since = now;
        peer.sequence = stamp.sequence;
        peer.member.incarnation = stamp.incarnation;
        let structural = peer.is_gone() != old.is_gone();
        self.replace(host.clone(), peer, structural);
        if let Some(from) = from {
            self.tell(News::Verdict { host, stamp, health }, from, false);
        }
    }

    fn replace(&mut self, host: HostName, peer: Peer, structural: bool) {
        self.version += 1;
        if let Some(old) = self.peers.get(&host).filter(|old| !old.is_gone()) {
            self.detail ^= detail(&host, old.stamp());
        }
        if !peer.is_gone() {
            self.detail ^= detail(&host, peer.stamp());
        }
        if structural {
            self.changed = peer.since;
            if let Some(old) = self.peers.get(&host) {
                self.view ^= fingerprint(&old.member, old.health);
            }
            self.view ^= fingerprint(&peer.member, peer.health);
            self.neighbours_stale = true;
            self.hints.retain(|hint| *hint != peer.member.address);
        }
        self.peers.insert(host, peer);
    }

    fn ask_helpers<R: Rng>(&mut self, now: Time, host: HostName, rng: &mut R) -> Vec<Send> {
        let Some(peer) = self.peers.get(&host) else {
            return Vec::new();
        };
        if peer.health != Health::Alive || self.helped.contains_key(&host) {
            return Vec::new();
        }
        let (stamp, address) = (peer.stamp(), peer.member.address);
        let zone = peer.member.zone.clone();
        let mut helpers: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.health == Health::Alive && peer.member.host != host)
            .filter(|peer| peer.member.zone == zone || peer.member.zone == self.me.zone)
            .map(|peer| peer.member.address)
            .collect();
        for at in 0..helpers.len().min(HELPERS) {
            let other = rng.random_range(at..helpers.len());
            helpers.swap(at, other);
        }
        helpers.truncate(HELPERS);
        if helpers.is_empty() {
            return self.suspect(now, host, stamp).into_iter().collect();
        }
        self.helped.insert(host.clone(), Helped { left: helpers.len() });
        let ask = MembersAsk::ProbeFor(address);
        let sends = helpers.into_iter().map(|to| {
            let waiting = Waiting::Help { host: host.clone(), stamp };
            self.send(to, ask.clone(), waiting)
        });
        sends.collect()
    }

    fn take_help(
        &mut self,
        now: Time,
        host: HostName,
        stamp: Stamp,
        reached: bool,
    ) -> Option<Send> {
        if reached {
            self.helped.remove(&host);
            return None;
        }
        let helped = self.helped.get_mut(&host)?;
        helped.left -= 1;
        if helped.left > 0 {
            return None;
        }
        self.helped.remove(&host);
        self.suspect(now, host, stamp)
    }

    /// Suspects a member and tells it so at once, in case only the probes were lost.
    fn suspect(&mut self, now: Time, host: HostName, stamp: Stamp) -> Option<Send> {
        if now.passed(self.last_answer, self.terms.isolation) {
            return None;
        }
        let me = self.me.host.clone();
        self.take_verdict(now, host.clone(), stamp, Health::Suspect, Some(&me));
        self.introduce(&host)
    }

    fn sync_if_different(&mut self, now: Time, host: &HostName) -> Option<Send> {
        let gap = self.peers.get(host)?.differing;
        if gap < DIFFERENT_VIEWS { None } else { self.sync_with(now, host) }
    }

    fn sync_with(&mut self, now: Time, host: &HostName) -> Option<Send> {
        if now < self.next_sync {
            return None;
        }
        let span = (self.peers.len() * SYNC_BYTES) as f64 / SYNC_BYTES_A_SECOND;
        self.next_sync = now + Duration::from_secs_f64(span).max(MIN_SYNC_INTERVAL);
        let peer = self.peers.get_mut(host)?;
        peer.differing = 0;
        let to = peer.member.address;
        let known = self.peers.values().filter(|peer| !peer.is_gone()).map(Peer::detail).collect();
        Some(self.send(to, MembersAsk::Sync(known), Waiting::Sync))
    }

    /// Members and verdicts that an asker with these fingerprints does not have.
    fn unknown_to(&self, known: &[u64]) -> Vec<News> {
        let known: HashSet<u64> = known.iter().copied().collect();
        let me = Peer {
            member: self.me.clone(),
            sequence: self.sequence,
            health: Health::Alive,
            since: Time::ZERO,
            flaps: 0.0,
            flapped: Time::ZERO,
            differing: 0,
            heard: self.stamp(),
        };
        let all = self.peers.values().chain(std::iter::once(&me));
        let unknown = all.filter(|peer| peer.is_gone() == known.contains(&peer.detail()));
        unknown
            .map(|peer| {
                let (host, stamp, health) = (peer.member.host.clone(), peer.stamp(), peer.health);
                if peer.is_gone() {
                    News::Verdict { host, stamp, health }
                } else {
                    let member = Box::new(peer.member.clone());
                    News::Here { member, sequence: peer.sequence }
                }
            })
            .collect()
    }
}

fn about(news: &News) -> &HostName {
    match news {
        News::Here { member, .. } => &member.host,
        News::Verdict { host, .. } => host,
    }
}

/// Part of the view's fingerprint; members that are gone have none.
fn fingerprint(member: &Member, health: Health) -> u64 {
    if health >= Health::Dead {
        return 0;
    }
    let Incarnation(incarnation) = member.incarnation;
    let leaving = [u8::from(member.leaving)];
    mix(&[member.host.as_str().as_bytes(), &incarnation.to_be_bytes(), &leaving])
}

/// Fingerprint of exactly what a member says of itself.
fn detail(host: &HostName, stamp: Stamp) -> u64 {
    let Incarnation(incarnation) = stamp.incarnation;
    mix(&[host.as_str().as_bytes(), &incarnation.to_be_bytes(), &stamp.sequence.to_be_bytes()])
}

fn mix(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    let Digest(bytes) = Digest(*hasher.finalize().as_bytes());
    u64::from_be_bytes(std::array::from_fn(|at| bytes[at]))
}
