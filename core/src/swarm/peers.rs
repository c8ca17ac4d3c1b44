//! Liveness, load and error rate of each peer.

use std::time::Duration;

use super::topology::PeerId;
use super::topology::PeerLocation;
use crate::ids::HostName;
use crate::time::Time;

/// Consecutive timeouts after which a peer counts as down. A single lost answer is no proof.
const FAILURES_UNTIL_DOWN: u8 = 2;

/// Hosts of one zone that must be down, with no answer from the zone since the first went down, for
/// the whole zone to count as partitioned. Otherwise each owner in such a zone would have to time
/// out on its own.
pub const MIN_DOWN_HOSTS_IN_ZONE: usize = 3;

/// Delay before a peer that is down is polled again; doubles up to the maximum.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Good chunks per bad one at which the errors may be due to a damaged link.
const GOOD_CHUNKS_PER_BAD: u32 = 8;

/// Bad chunks that are tolerated whatever their ratio.
const TOLERATED_BAD_CHUNKS: u32 = 2;

/// How a request to a peer failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The peer did not answer in time.
    TimedOut,
    /// No connection to the peer.
    Unreachable,
    /// The peer sent bytes that do not match the digest, a bitmap longer than the version, or
    /// lacked a chunk that it had offered.
    BadData,
    /// The peer refused the request because of its load.
    Busy,
}

/// State of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    pub(crate) location: PeerLocation,
    pub(crate) present: bool,
    consecutive_failures: u8,
    down_since: Option<Time>,
    retry_at: Time,
    retry_delay: Duration,
    good_chunks: u32,
    bad_chunks: u32,
    pub(crate) queue: u32,
    pub(crate) in_flight: u32,
    pub(crate) last_contact: Time,
    pub(crate) polled_at: Option<Time>,
}

impl Peer {
    fn new(location: PeerLocation) -> Peer {
        Peer {
            location,
            present: true,
            consecutive_failures: 0,
            down_since: None,
            retry_at: Time::ZERO,
            retry_delay: INITIAL_RETRY_DELAY,
            good_chunks: 0,
            bad_chunks: 0,
            queue: 0,
            in_flight: 0,
            last_contact: Time::ZERO,
            polled_at: None,
        }
    }

    /// Whether the share of bad chunks is so high that other peers are preferred.
    pub fn is_demoted(&self) -> bool {
        self.bad_chunks > TOLERATED_BAD_CHUNKS
            && self.bad_chunks * GOOD_CHUNKS_PER_BAD > self.good_chunks
    }

    /// Whether the peer is a member and not down.
    pub fn is_live(&self) -> bool {
        self.present && self.down_since.is_none()
    }
}

/// All peers ever seen, by [`PeerId`].
#[derive(Clone, Debug, Default)]
pub struct Peers {
    all: Vec<Peer>,
    /// Rises whenever the set of possible owners may have changed, so that owners are recomputed.
    epoch: u64,
}

impl Peers {
    /// Sets the current members and returns their ids. A host that left keeps its id.
    pub fn set(&mut self, locations: &[PeerLocation]) -> Vec<(PeerId, PeerLocation)> {
        for peer in &mut self.all {
            peer.present = false;
        }
        self.epoch += 1;
        let index: std::collections::HashMap<HostName, u32> = self
            .all
            .iter()
            .enumerate()
            .map(|(n, peer)| (peer.location.host.clone(), n as u32))
            .collect();
        let mut ids = Vec::with_capacity(locations.len());
        for location in locations {
            let id = index.get(&location.host).copied().unwrap_or_else(|| {
                self.all.push(Peer::new(location.clone()));
                self.all.len() as u32 - 1
            });
            let peer = &mut self.all[id as usize];
            peer.location = location.clone();
            peer.present = true;
            ids.push((PeerId(id), location.clone()));
        }
        ids
    }

    /// Counter that rises whenever the set of possible owners may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// State of peer `id`. Panics for an id that [`Peers::set`] did not return.
    pub fn get(&self, id: PeerId) -> &Peer {
        &self.all[id.0 as usize]
    }

    pub(crate) fn get_mut(&mut self, id: PeerId) -> &mut Peer {
        &mut self.all[id.0 as usize]
    }

    /// Whether `id` has ever answered.
    pub fn has_answered(&self, id: PeerId) -> bool {
        self.get(id).last_contact != Time::ZERO
    }

    /// Whether `id` may own chunks. A live owner that sends damaged chunks would hold them back
    /// from its whole zone.
    pub fn may_own(&self, id: PeerId) -> bool {
        let peer = self.get(id);
        peer.is_live() && !peer.is_demoted()
    }

    /// Records an answer of `id`, which makes it live again.
    pub fn record_contact(&mut self, id: PeerId, now: Time) {
        let peer = self.get_mut(id);
        peer.last_contact = now;
        peer.consecutive_failures = 0;
        peer.retry_delay = INITIAL_RETRY_DELAY;
        if peer.down_since.take().is_some() {
            self.epoch += 1;
        }
    }

    /// Records a chunk of `id` that matches its digest.
    pub fn record_good_chunk(&mut self, id: PeerId) {
        let peer = self.get_mut(id);
        let before = peer.is_demoted();
        peer.good_chunks = peer.good_chunks.saturating_add(1);
        if before != peer.is_demoted() {
            self.epoch += 1;
        }
    }

    /// Records a failed request to `id`. Returns whether it went down just now.
    pub fn record_failure(&mut self, id: PeerId, fault: Fault, now: Time) -> bool {
        let peer = self.get_mut(id);
        match fault {
            Fault::Busy => {
                peer.queue = peer.queue.saturating_mul(2).max(16);
                return false;
            }
            Fault::BadData => {
                let before = peer.is_demoted();
                peer.bad_chunks = peer.bad_chunks.saturating_add(1);
                if before != peer.is_demoted() {
                    self.epoch += 1;
                }
                return false;
            }
            Fault::TimedOut => {
                peer.consecutive_failures = peer.consecutive_failures.saturating_add(1)
            }
            Fault::Unreachable => peer.consecutive_failures = FAILURES_UNTIL_DOWN,
        }
        if peer.consecutive_failures < FAILURES_UNTIL_DOWN {
            return false;
        }
        peer.retry_at = now + peer.retry_delay;
        peer.retry_delay = (peer.retry_delay * 2).min(MAX_RETRY_DELAY);
        let went_down = peer.down_since.is_none();
        peer.down_since.get_or_insert(now);
        if went_down {
            self.epoch += 1;
        }
        went_down
    }

    /// Marks all `hosts` of a zone as down if [`MIN_DOWN_HOSTS_IN_ZONE`] of them are and none of
    /// them has answered since the first went down. Ignores the zone of this host.
    pub fn mark_zone_down(&mut self, hosts: &[PeerId], me: PeerId, now: Time) {
        let down: Vec<Time> = hosts.iter().filter_map(|id| self.get(*id).down_since).collect();
        let Some(first) = down.iter().min().copied() else {
            return;
        };
        let is_back = |id: &PeerId| self.get(*id).last_contact > first;
        if down.len() < MIN_DOWN_HOSTS_IN_ZONE || hosts.iter().any(is_back) || hosts.contains(&me) {
            return;
        }
        for id in hosts {
            let peer = self.get_mut(*id);
            peer.down_since.get_or_insert(now);
            peer.retry_at = peer.retry_at.max(now + INITIAL_RETRY_DELAY);
        }
        self.epoch += 1;
    }

    /// Whether `id` is down and due for a retry. If so, schedules the next one.
    pub(crate) fn claim_retry(&mut self, id: PeerId, now: Time) -> bool {
        let peer = self.get_mut(id);
        if peer.down_since.is_none() || !peer.present || now < peer.retry_at {
            return false;
        }
        peer.retry_at = now + peer.retry_delay;
        peer.retry_delay = (peer.retry_delay * 2).min(MAX_RETRY_DELAY);
        true
    }
}
