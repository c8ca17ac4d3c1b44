//! Failure detector: state transitions of members, indirect probes, suspicion and refutation.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use super::INDIRECT_PROBES_PER_MEMBER;
use super::InFlight;
use super::IndirectProbes;
use super::MAX_MEMBERS;
use super::Membership;
use super::OutboundMessage;
use super::Peer;
use super::gossip::member_fingerprint;
use super::gossip::view_fingerprint;
use crate::ids::HostName;
use crate::members::Health;
use crate::members::Member;
use crate::members::MemberUpdate;
use crate::members::MembersRequest;
use crate::members::Stamp;
use crate::time::Time;

impl Membership {
    /// Declares members dead whose suspicion timed out, and forgets members that have been gone
    /// for longer than their TTL.
    pub(super) fn expire_peers(&mut self, now: Time) {
        // While this process is cut off, missing answers do not indicate failures of others.
        let isolated = now.passed(self.last_answer, self.config.isolation_timeout);
        let (suspicion_timeout, dead_member_ttl) =
            (self.config.suspicion_timeout, self.config.dead_member_ttl);
        let late = |peer: &&Peer| {
            peer.health == Health::Suspect && now.passed(peer.health_since, suspicion_timeout)
        };
        let dead: Vec<(HostName, Stamp)> = self
            .peers
            .values()
            .filter(late)
            .map(|peer| (peer.member.host.clone(), peer.stamp()))
            .collect();
        if !isolated {
            let me = self.local.host.clone();
            for (host, stamp) in dead {
                let report = MemberUpdate::HealthReport { host, stamp, health: Health::Dead };
                self.apply_update(now, report, Some(&me));
            }
        }
        let forgotten =
            |peer: &Peer| peer.is_gone() && now.passed(peer.health_since, dead_member_ttl);
        self.peers.retain(|_, peer| !forgotten(peer));
    }

    /// Refutes a report that this process is suspected or dead by announcing a higher sequence.
    pub(super) fn refute(&mut self, stamp: Stamp, health: Health) {
        if health > Health::Alive && stamp >= self.stamp() && !self.has_left {
            if stamp.incarnation == self.local.incarnation {
                self.sequence = stamp.sequence + 1;
            }
            self.queue_announcement(false);
        }
    }

    pub(super) fn apply_announcement(
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
        let has_returned = old.is_some_and(|old| {
            old.health == Health::Dead || old.member.incarnation < member.incarnation
        });
        let flap_score =
            old.map_or(0.0, |old| old.flap_score_at(now)) + f64::from(u8::from(has_returned));
        let (flap_score, last_flap) =
            (flap_score, if has_returned { now } else { old.map_or(now, |o| o.last_flap) });
        let is_same_view = |old: &Peer| {
            !old.is_gone()
                && old.member.incarnation == member.incarnation
                && old.member.leaving == member.leaving
                && old.member.address == member.address
        };
        let changes_view = !old.is_some_and(is_same_view);
        let to_entries_only = !changes_view && old.is_some_and(|old| old.health == Health::Alive);
        let update = MemberUpdate::Announcement { member: Box::new(member.clone()), sequence };
        let peer = Peer {
            member,
            sequence,
            health: Health::Alive,
            health_since: now,
            flap_score,
            last_flap,
            view_mismatches: 0,
            latest_stamp: stamp,
        };
        self.replace_peer(host, peer, changes_view);
        if let Some(from) = from {
            self.queue_update(update, from, to_entries_only);
        }
    }

    pub(super) fn apply_health_report(
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
        peer.health_since = now;
        peer.sequence = stamp.sequence;
        peer.member.incarnation = stamp.incarnation;
        let changes_view = peer.is_gone() != old.is_gone();
        self.replace_peer(host.clone(), peer, changes_view);
        if let Some(from) = from {
            self.queue_update(MemberUpdate::HealthReport { host, stamp, health }, from, false);
        }
    }

    /// Stores a peer and updates the fingerprints; `changes_view` marks a change that affects the
    /// view and the neighbours.
    pub(super) fn replace_peer(&mut self, host: HostName, peer: Peer, changes_view: bool) {
        self.version += 1;
        if let Some(old) = self.peers.get(&host).filter(|old| !old.is_gone()) {
            self.members_fingerprint ^= member_fingerprint(&host, old.stamp());
        }
        if !peer.is_gone() {
            self.members_fingerprint ^= member_fingerprint(&host, peer.stamp());
        }
        if changes_view {
            self.last_change = peer.health_since;
            if let Some(old) = self.peers.get(&host) {
                self.view_fingerprint ^= view_fingerprint(&old.member, old.health);
            }
            self.view_fingerprint ^= view_fingerprint(&peer.member, peer.health);
            self.are_neighbours_stale = true;
            self.contacts.retain(|contact| *contact != peer.member.address);
        }
        self.peers.insert(host, peer);
    }

    /// Asks random members to probe `host`, and suspects it at once if there is none to ask.
    pub(super) fn send_indirect_probes<R: Rng>(
        &mut self,
        now: Time,
        host: HostName,
        rng: &mut R,
    ) -> Vec<OutboundMessage> {
        let Some(peer) = self.peers.get(&host) else {
            return Vec::new();
        };
        if peer.health != Health::Alive || self.indirect_probes.contains_key(&host) {
            return Vec::new();
        }
        let (stamp, address) = (peer.stamp(), peer.member.address);
        let zone = peer.member.zone.clone();
        let mut probers: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.health == Health::Alive && peer.member.host != host)
            .filter(|peer| peer.member.zone == zone || peer.member.zone == self.local.zone)
            .map(|peer| peer.member.address)
            .collect();
        for at in 0..probers.len().min(INDIRECT_PROBES_PER_MEMBER) {
            let other = rng.random_range(at..probers.len());
            probers.swap(at, other);
        }
        probers.truncate(INDIRECT_PROBES_PER_MEMBER);
        if probers.is_empty() {
            return self.suspect(now, host, stamp).into_iter().collect();
        }
        self.indirect_probes.insert(host.clone(), IndirectProbes { remaining: probers.len() });
        let request = MembersRequest::IndirectProbe(address);
        let sends = probers.into_iter().map(|to| {
            let in_flight = InFlight::IndirectProbe { host: host.clone(), stamp };
            self.send(to, request.clone(), in_flight)
        });
        sends.collect()
    }

    /// Suspects `host` once all indirect probes have failed.
    pub(super) fn on_indirect_probe_result(
        &mut self,
        now: Time,
        host: HostName,
        stamp: Stamp,
        reached: bool,
    ) -> Option<OutboundMessage> {
        if reached {
            self.indirect_probes.remove(&host);
            return None;
        }
        let probes = self.indirect_probes.get_mut(&host)?;
        probes.remaining -= 1;
        if probes.remaining > 0 {
            return None;
        }
        self.indirect_probes.remove(&host);
        self.suspect(now, host, stamp)
    }

    /// Suspects a member and notifies it at once, so that it can refute if only probes were lost.
    pub(super) fn suspect(
        &mut self,
        now: Time,
        host: HostName,
        stamp: Stamp,
    ) -> Option<OutboundMessage> {
        if now.passed(self.last_answer, self.config.isolation_timeout) {
            return None;
        }
        let me = self.local.host.clone();
        self.apply_health_report(now, host.clone(), stamp, Health::Suspect, Some(&me));
        self.announce_to(&host)
    }
}
