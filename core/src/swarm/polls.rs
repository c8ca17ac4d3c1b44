//! Selects the peers that are asked which chunks they have.

use std::cmp::Reverse;
use std::time::Duration;

use super::host::Swarm;
use super::pipeline::POLL_TIMEOUT;
use super::request::Destination;
use super::request::Request;
use super::request::RequestKind;
use super::schedule::OWNER_PROBE_INTERVAL;
use super::topology::PeerId;
use super::topology::Strategy;
use crate::time::Time;

/// Interval between polls of a neighbour. Any contact with it restarts the interval.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl Swarm {
    pub(super) fn poll_peers(&mut self, n: usize, now: Time, requests: &mut Vec<Request>) {
        if self.strategy == Strategy::Origin {
            return;
        }
        let version = self.downloads[n].version;
        let due = |id: &PeerId, every: Duration| {
            let peer = self.peers.get(*id);
            let asked = peer.polled_at.is_some_and(|at| !now.passed(at, every));
            peer.is_live() && !asked && now.passed(peer.last_contact, every)
        };
        let neighbours =
            if self.strategy == Strategy::Swarm { self.neighbours.as_slice() } else { &[] };
        let is_next = |id: &PeerId| due(id, POLL_INTERVAL) && self.is_next_to_poll(n, *id);
        let mut asked: Vec<PeerId> = neighbours.iter().copied().filter(is_next).collect();
        let watched_owners = &self.downloads[n].watched_owners;
        asked.extend(
            watched_owners
                .iter()
                .copied()
                .filter(|id| !neighbours.contains(id) && due(id, OWNER_PROBE_INTERVAL)),
        );
        if let Some(id) = self.peer_to_retry(now) {
            asked.push(id);
        }
        for id in asked {
            self.downloads[n].polled_at.insert(id, now);
            requests.push(self.start_request(
                Destination::Peer(id),
                version,
                RequestKind::Have,
                POLL_TIMEOUT,
                now,
            ));
        }
    }

    /// Whether a neighbour is polled for this version next. All versions share the interval between
    /// polls of a neighbour, so they take turns; otherwise the bitmaps of one version would never be
    /// requested while another is incomplete.
    fn is_next_to_poll(&self, n: usize, id: PeerId) -> bool {
        let polled_at = |n: usize| self.downloads[n].polled_at.get(&id).copied();
        let is_polled =
            |n: &usize| self.downloads[*n].has_manifest && !self.downloads[*n].is_complete();
        let order = (0..self.downloads.len()).filter(is_polled);
        order.min_by_key(|n| (polled_at(*n), Reverse(*n))) == Some(n)
    }

    /// A peer that is down and due for a retry.
    fn peer_to_retry(&mut self, now: Time) -> Option<PeerId> {
        let all: Vec<PeerId> = self.topology.other_hosts().collect();
        all.into_iter().find(|id| self.peers.claim_retry(*id, now))
    }
}
