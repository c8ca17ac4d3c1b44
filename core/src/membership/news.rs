//! What processes tell each other of the members: greetings, deltas and whole comparisons.

use std::collections::HashSet;
use std::time::Duration;

use super::DIFFERENT_VIEWS;
use super::MAX_NEWS;
use super::MAX_QUEUE;
use super::MIN_SYNC_INTERVAL;
use super::Membership;
use super::NEWS_BYTES;
use super::Peer;
use super::Queued;
use super::SYNC_BYTES;
use super::SYNC_BYTES_A_SECOND;
use super::Send;
use super::Waiting;
use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::members::Health;
use crate::members::Hello;
use crate::members::Member;
use crate::members::MembersAsk;
use crate::members::News;
use crate::members::Stamp;
use crate::platform::HostRole;
use crate::time::Time;

impl Membership {
    /// A heartbeat to the next neighbour, or to the next that is still to hear some news.
    pub(super) fn hello_to_next(&mut self, only_news: bool) -> Option<Send> {
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
    pub(super) fn add_news(&mut self, hello: &mut Hello, host: &HostName) -> Vec<u64> {
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
    pub(super) fn heard(&mut self, host: &HostName, is_it: impl Fn(&Queued) -> bool) {
        for queued in self.queue.iter_mut().filter(|queued| is_it(queued)) {
            queued.to.retain(|waiting| waiting != host);
        }
        self.queue.retain(|queued| !queued.to.is_empty());
    }

    /// Says who this process is to one that does not know it.
    pub(super) fn introduce(&mut self, host: &HostName) -> Option<Send> {
        let to = self.peers.get(host)?.member.address;
        let hello = self.hello_for(host, true);
        Some(self.send(to, MembersAsk::Hello(hello), Waiting::Greeting))
    }

    pub(super) fn hello_frame(&self) -> Hello {
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
    pub(super) fn hello_for(&mut self, to: &HostName, tell_me: bool) -> Hello {
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
    pub(super) fn whole_view(&self) -> u64 {
        self.view ^ fingerprint(&self.me, Health::Alive)
    }

    pub(super) fn whole_detail(&self) -> u64 {
        match self.me.role {
            HostRole::Entry => self.detail ^ detail(&self.me.host, self.stamp()),
            HostRole::Agent => 0,
        }
    }

    /// Gives whether the sender needs to hear who this process is.
    pub(super) fn take_hello(&mut self, now: Time, host: &HostName, hello: Hello) -> bool {
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
    pub(super) fn tell(&mut self, news: News, from: &HostName, for_entries_only: bool) {
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

    pub(super) fn tell_me(&mut self, for_entries_only: bool) {
        let (member, sequence) = (Box::new(self.me.clone()), self.sequence);
        let me = self.me.host.clone();
        self.tell(News::Here { member, sequence }, &me, for_entries_only);
    }

    /// Takes news in if it is later than what is known; news `from` a process is passed on.
    pub(super) fn take_news(&mut self, now: Time, news: News, from: Option<&HostName>) {
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

    pub(super) fn sync_if_different(&mut self, now: Time, host: &HostName) -> Option<Send> {
        let gap = self.peers.get(host)?.differing;
        if gap < DIFFERENT_VIEWS { None } else { self.sync_with(now, host) }
    }

    pub(super) fn sync_with(&mut self, now: Time, host: &HostName) -> Option<Send> {
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
    pub(super) fn unknown_to(&self, known: &[u64]) -> Vec<News> {
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

pub(super) fn about(news: &News) -> &HostName {
    match news {
        News::Here { member, .. } => &member.host,
        News::Verdict { host, .. } => host,
    }
}

/// Part of the view's fingerprint; members that are gone have none.
pub(super) fn fingerprint(member: &Member, health: Health) -> u64 {
    if health >= Health::Dead {
        return 0;
    }
    let Incarnation(incarnation) = member.incarnation;
    let leaving = [u8::from(member.leaving)];
    mix(&[member.host.as_str().as_bytes(), &incarnation.to_be_bytes(), &leaving])
}

/// Fingerprint of exactly what a member says of itself.
pub(super) fn detail(host: &HostName, stamp: Stamp) -> u64 {
    let Incarnation(incarnation) = stamp.incarnation;
    mix(&[host.as_str().as_bytes(), &incarnation.to_be_bytes(), &stamp.sequence.to_be_bytes()])
}

pub(super) fn mix(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    let Digest(bytes) = Digest(*hasher.finalize().as_bytes());
    u64::from_be_bytes(std::array::from_fn(|at| bytes[at]))
}
