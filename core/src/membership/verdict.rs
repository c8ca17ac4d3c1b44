//! What becomes of a member: news of its lives, suspicion, probes by helpers, death, refutation.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use super::HELPERS;
use super::Helped;
use super::MAX_MEMBERS;
use super::Membership;
use super::Peer;
use super::Send;
use super::Waiting;
use super::news::detail;
use super::news::fingerprint;
use crate::ids::HostName;
use crate::members::Health;
use crate::members::Member;
use crate::members::MembersAsk;
use crate::members::News;
use crate::members::Stamp;
use crate::time::Time;

impl Membership {
    pub(super) fn bury(&mut self, now: Time) {
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

    /// Somebody thinks this process suspect or dead: a higher sequence says otherwise.
    pub(super) fn refute(&mut self, stamp: Stamp, health: Health) {
        if health > Health::Alive && stamp >= self.stamp() && !self.ended {
            if stamp.incarnation == self.me.incarnation {
                self.sequence = stamp.sequence + 1;
            }
            self.tell_me(false);
        }
    }

    pub(super) fn take_member(
        &mut self,
        now: Time,
        member: Member,
        sequence: u32,
        from: Option<&HostName>,
    ) {
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

    pub(super) fn take_verdict(
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

    pub(super) fn replace(&mut self, host: HostName, peer: Peer, structural: bool) {
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

    pub(super) fn ask_helpers<R: Rng>(
        &mut self,
        now: Time,
        host: HostName,
        rng: &mut R,
    ) -> Vec<Send> {
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

    pub(super) fn take_help(
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
    pub(super) fn suspect(&mut self, now: Time, host: HostName, stamp: Stamp) -> Option<Send> {
        if now.passed(self.last_answer, self.terms.isolation) {
            return None;
        }
        let me = self.me.host.clone();
        self.take_verdict(now, host.clone(), stamp, Health::Suspect, Some(&me));
        self.introduce(&host)
    }
}
