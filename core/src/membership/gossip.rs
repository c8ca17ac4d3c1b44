//! Dissemination of membership updates: heartbeats, the update queue and anti-entropy syncs.

use std::collections::HashSet;
use std::time::Duration;

use super::InFlight;
use super::MAX_QUEUED_UPDATES;
use super::MAX_SYNC_BYTES_PER_SECOND;
use super::MAX_UPDATES_PER_HEARTBEAT;
use super::MIN_SYNC_INTERVAL;
use super::MIN_VIEW_MISMATCHES;
use super::Membership;
use super::OutboundMessage;
use super::Peer;
use super::QueuedUpdate;
use super::SYNC_BYTES_PER_MEMBER;
use super::UPDATE_BYTES;
use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::members::Health;
use crate::members::Heartbeat;
use crate::members::Member;
use crate::members::MemberUpdate;
use crate::members::MembersRequest;
use crate::members::Stamp;
use crate::platform::HostRole;
use crate::time::Time;

impl Membership {
    /// Builds a heartbeat to the next neighbour, or to the next one with pending updates if
    /// `updates_only` is set.
    pub(super) fn heartbeat_to_next(&mut self, updates_only: bool) -> Option<OutboundMessage> {
        let count = self.neighbours().len();
        let wanted = |host: &HostName| {
            !updates_only || self.update_queue.iter().any(|queued| queued.pending.contains(host))
        };
        let next = (1..=count)
            .map(|step| (self.cursor + step) % count)
            .find(|at| wanted(&self.neighbours[*at]))?;
        self.cursor = next;
        let host = self.neighbours[next].clone();
        let to = self.peers.get(&host)?.member.address;
        let mut heartbeat = self.heartbeat_for(&host, false);
        let update_ids = self.attach_updates(&mut heartbeat, &host);
        Some(self.send(
            to,
            MembersRequest::Heartbeat(heartbeat),
            InFlight::Heartbeat { host, update_ids },
        ))
    }

    /// Adds updates pending for `host` to a heartbeat, as far as the limits allow, and returns
    /// their ids.
    pub(super) fn attach_updates(
        &mut self,
        heartbeat: &mut Heartbeat,
        host: &HostName,
    ) -> Vec<u64> {
        let mut update_ids = Vec::new();
        for queued in self.update_queue.iter().filter(|queued| queued.pending.contains(host)) {
            // Each heartbeat carries at least one update, so that the queue drains without budget.
            if heartbeat.updates.len() >= MAX_UPDATES_PER_HEARTBEAT
                || (self.byte_budget < 0.0 && !update_ids.is_empty())
            {
                break;
            }
            heartbeat.updates.push(queued.update.clone());
            update_ids.push(queued.id);
            self.byte_budget -= UPDATE_BYTES;
        }
        update_ids
    }

    /// Records that `host` has received the matching updates.
    pub(super) fn mark_delivered(
        &mut self,
        host: &HostName,
        matches: impl Fn(&QueuedUpdate) -> bool,
    ) {
        for queued in self.update_queue.iter_mut().filter(|queued| matches(queued)) {
            queued.pending.retain(|receiver| receiver != host);
        }
        self.update_queue.retain(|queued| !queued.pending.is_empty());
    }

    /// Sends the announcement of this process to `host`.
    pub(super) fn announce_to(&mut self, host: &HostName) -> Option<OutboundMessage> {
        let to = self.peers.get(host)?.member.address;
        let heartbeat = self.heartbeat_for(host, true);
        Some(self.send(to, MembersRequest::Heartbeat(heartbeat), InFlight::Announcement))
    }

    pub(super) fn base_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            host: HostName::default(),
            stamp: self.stamp(),
            load: self.local.load,
            plans_fingerprint: self.plans_fingerprint,
            view_fingerprint: self.full_view_fingerprint(),
            members_fingerprint: self.full_members_fingerprint(),
            wants_announcement: false,
            updates: Vec::new(),
        }
    }

    /// Builds a heartbeat for `to`; `announce` adds the announcement of this process.
    pub(super) fn heartbeat_for(&mut self, to: &HostName, announce: bool) -> Heartbeat {
        let is_stale = self.peers.get(to).is_none_or(|peer| peer.latest_stamp > peer.stamp());
        let mut heartbeat = self.base_heartbeat();
        heartbeat.wants_announcement = is_stale;
        if announce {
            let (member, sequence) = (Box::new(self.local.clone()), self.sequence);
            heartbeat.updates.push(MemberUpdate::Announcement { member, sequence });
        }
        // A receiver that is suspected or reported dead learns of it and can refute the report.
        if let Some(peer) = self.peers.get(to)
            && peer.health > Health::Alive
        {
            let (host, stamp, health) = (peer.member.host.clone(), peer.stamp(), peer.health);
            heartbeat.updates.push(MemberUpdate::HealthReport { host, stamp, health });
        }
        heartbeat
    }

    /// Fingerprint of the view including the local member, so that equal views have equal
    /// fingerprints.
    pub(super) fn full_view_fingerprint(&self) -> u64 {
        self.view_fingerprint ^ view_fingerprint(&self.local, Health::Alive)
    }

    /// Fingerprint of all announcements including the local one; 0 on agents, which do not receive
    /// all of them.
    pub(super) fn full_members_fingerprint(&self) -> u64 {
        match self.local.role {
            HostRole::Entry => {
                self.members_fingerprint ^ member_fingerprint(&self.local.host, self.stamp())
            }
            HostRole::Agent => 0,
        }
    }

    /// Applies a heartbeat and returns whether the sender wants the local announcement.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Time,
        host: &HostName,
        heartbeat: Heartbeat,
    ) -> bool {
        for update in heartbeat.updates.into_iter().take(MAX_UPDATES_PER_HEARTBEAT + 2) {
            self.apply_update(now, update, Some(host));
        }
        let (view, mine) = (self.full_view_fingerprint(), self.full_members_fingerprint());
        if let Some(peer) = self.peers.get_mut(host) {
            peer.latest_stamp = peer.latest_stamp.max(heartbeat.stamp);
            if peer.stamp() == heartbeat.stamp {
                peer.member.load = heartbeat.load;
            }
            let same_members = heartbeat.members_fingerprint == mine
                || heartbeat.members_fingerprint == 0
                || mine == 0;
            let same = heartbeat.view_fingerprint == view && same_members;
            peer.view_mismatches = if same { 0 } else { peer.view_mismatches.saturating_add(1) };
        }
        heartbeat.wants_announcement
    }

    /// Queues an update for all neighbours except `from` and its subject. It replaces a queued
    /// update about the same host.
    pub(super) fn queue_update(
        &mut self,
        update: MemberUpdate,
        from: &HostName,
        to_entries_only: bool,
    ) {
        let subject = subject_of(&update).clone();
        self.update_queue.retain(|queued| *self::subject_of(&queued.update) != subject);
        let neighbours = self.neighbours().to_vec();
        let is_receiver = |host: &&HostName| {
            let role = self.peers.get(*host).map(|peer| peer.member.role);
            *host != from
                && **host != subject
                && (!to_entries_only || role == Some(HostRole::Entry))
        };
        let to: Vec<HostName> = neighbours.iter().filter(is_receiver).cloned().collect();
        if !to.is_empty() && self.update_queue.len() < MAX_QUEUED_UPDATES {
            self.next_update_id += 1;
            self.update_queue.push(QueuedUpdate { id: self.next_update_id, update, pending: to });
        }
    }

    pub(super) fn queue_announcement(&mut self, to_entries_only: bool) {
        let (member, sequence) = (Box::new(self.local.clone()), self.sequence);
        let me = self.local.host.clone();
        self.queue_update(MemberUpdate::Announcement { member, sequence }, &me, to_entries_only);
    }

    /// Applies an update unless the view already has a later one. An update with `from` is also
    /// queued for the other neighbours.
    pub(super) fn apply_update(
        &mut self,
        now: Time,
        update: MemberUpdate,
        from: Option<&HostName>,
    ) {
        if let Some(from) = from {
            let same = update.clone();
            self.mark_delivered(from, |queued| queued.update == same);
        }
        match update {
            MemberUpdate::Announcement { member, sequence } => {
                if member.host != self.local.host {
                    self.apply_announcement(now, *member, sequence, from);
                }
            }
            MemberUpdate::HealthReport { host, stamp, health } if host == self.local.host => {
                self.refute(stamp, health);
            }
            MemberUpdate::HealthReport { host, stamp, health } => {
                self.apply_health_report(now, host, stamp, health, from);
            }
        }
    }

    pub(super) fn sync_if_views_differ(
        &mut self,
        now: Time,
        host: &HostName,
    ) -> Option<OutboundMessage> {
        let mismatches = self.peers.get(host)?.view_mismatches;
        if mismatches < MIN_VIEW_MISMATCHES { None } else { self.sync_with(now, host) }
    }

    pub(super) fn sync_with(&mut self, now: Time, host: &HostName) -> Option<OutboundMessage> {
        if now < self.next_sync {
            return None;
        }
        let interval =
            (self.peers.len() * SYNC_BYTES_PER_MEMBER) as f64 / MAX_SYNC_BYTES_PER_SECOND;
        self.next_sync = now + Duration::from_secs_f64(interval).max(MIN_SYNC_INTERVAL);
        let peer = self.peers.get_mut(host)?;
        peer.view_mismatches = 0;
        let to = peer.member.address;
        let known =
            self.peers.values().filter(|peer| !peer.is_gone()).map(Peer::fingerprint).collect();
        Some(self.send(to, MembersRequest::Sync(known), InFlight::Sync))
    }

    /// Updates that a process with the given member fingerprints lacks.
    pub(super) fn updates_missing_from(&self, known: &[u64]) -> Vec<MemberUpdate> {
        let known: HashSet<u64> = known.iter().copied().collect();
        let me = Peer {
            member: self.local.clone(),
            sequence: self.sequence,
            health: Health::Alive,
            health_since: Time::ZERO,
            flap_score: 0.0,
            last_flap: Time::ZERO,
            view_mismatches: 0,
            latest_stamp: self.stamp(),
        };
        let all = self.peers.values().chain(std::iter::once(&me));
        let unknown = all.filter(|peer| peer.is_gone() == known.contains(&peer.fingerprint()));
        unknown
            .map(|peer| {
                let (host, stamp, health) = (peer.member.host.clone(), peer.stamp(), peer.health);
                if peer.is_gone() {
                    MemberUpdate::HealthReport { host, stamp, health }
                } else {
                    let member = Box::new(peer.member.clone());
                    MemberUpdate::Announcement { member, sequence: peer.sequence }
                }
            })
            .collect()
    }
}

/// The host that an update is about.
pub(super) fn subject_of(update: &MemberUpdate) -> &HostName {
    match update {
        MemberUpdate::Announcement { member, .. } => &member.host,
        MemberUpdate::HealthReport { host, .. } => host,
    }
}

/// Contribution of a member to the fingerprint of a view; 0 for dead members and ones that left.
pub(super) fn view_fingerprint(member: &Member, health: Health) -> u64 {
    if health >= Health::Dead {
        return 0;
    }
    let Incarnation(incarnation) = member.incarnation;
    let leaving = [u8::from(member.leaving)];
    hash_parts(&[member.host.as_str().as_bytes(), &incarnation.to_be_bytes(), &leaving])
}

/// Fingerprint of one announcement of a member.
pub(super) fn member_fingerprint(host: &HostName, stamp: Stamp) -> u64 {
    let Incarnation(incarnation) = stamp.incarnation;
    hash_parts(&[
        host.as_str().as_bytes(),
        &incarnation.to_be_bytes(),
        &stamp.sequence.to_be_bytes(),
    ])
}

pub(super) fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    let Digest(bytes) = Digest(*hasher.finalize().as_bytes());
    u64::from_be_bytes(std::array::from_fn(|at| bytes[at]))
}
