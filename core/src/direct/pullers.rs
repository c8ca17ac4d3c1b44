//! Where an entry looks for a chunk of weights: which puller it asks, and when it goes to the origin itself.
//!
//! Each chunk should leave the origin once, though pullers stop, are partitioned or lose the origin. All entries
//! therefore ask the candidate pullers of a chunk in the same order, and a puller that takes over first asks the
//! ones before it. An entry that is no candidate goes to the origin only after all candidates have failed.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use super::caches::MAX_PULLERS;
use crate::ids::Digest;
use crate::swarm::topology::key_of;
use crate::swarm::topology::mix;
use crate::time::Time;

/// Time for which a puller is skipped after a failure.
const SKIP_DURATION: Duration = Duration::from_secs(1);

/// Interval at which the origin is retried, and at which a puller that replied that it cannot reach the origin is
/// asked again where no other is left.
pub const ORIGIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any byte from the origin, while requests to it are in flight, after which the path counts as
/// failing. Eight requests of four pullers that share the origin's link receive data more often; if the origin
/// serves them one after another, a chunk waits for up to 0.35 s.
const ORIGIN_STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the recovery of an entry's path to the origin during which it pulls only chunks whose first puller it
/// is. It exceeds [`ORIGIN_RETRY_INTERVAL`]: if the origin has returned for all, the first puller has noticed too
/// before others pull its chunks.
const SETTLE_DURATION: Duration = Duration::from_millis(300);

/// Delay between regions before their entries go to the origin themselves. A first region's copy of a chunk takes
/// about half a second to reach hosts that other regions know as holders.
const REGION_DELAY: Duration = Duration::from_millis(700);

/// Delay before the next step if there is nothing to ask at the moment.
const PAUSE: Duration = Duration::from_millis(50);

/// The candidate pullers of a chunk among `entries`, in the order in which they are asked (rendezvous hashing), at
/// most [`MAX_PULLERS`]. The first of them is [`super::caches::Caches::puller`] for the same entries.
pub fn order(entries: &[IpAddr], digest: Digest) -> Vec<IpAddr> {
    let mut pullers = entries.to_vec();
    pullers.sort_unstable_by_key(|ip| (hash_of(*ip), *ip));
    pullers.dedup();
    pullers.truncate(MAX_PULLERS);
    pullers.sort_unstable_by_key(|ip| (mix(hash_of(*ip) ^ key_of(digest)), *ip));
    pullers
}

fn hash_of(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => mix(u64::from(ip.to_bits())),
        IpAddr::V6(ip) => mix(key_of(Digest::of(&ip.octets()))),
    }
}

/// The rank of region number `region` of `regions` for a chunk, which determines how long its entries wait before
/// they go to the origin. It differs among chunks, so that the regions share the origin's load.
pub fn region_rank(region: usize, regions: usize, digest: Digest) -> u32 {
    let regions = regions.max(1) as u64;
    ((region as u64 + key_of(digest) % regions) % regions) as u32
}

/// Why a puller was skipped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PullerFailure {
    /// It refused the connection, or did not reply or send in time.
    NoReply,
    /// It replied that it cannot reach the origin.
    OriginFailing,
}

/// Recent failures of pullers, as seen by one entry.
#[derive(Clone, Debug, Default)]
pub struct Pullers {
    failed: HashMap<IpAddr, (PullerFailure, Time)>,
}

impl Pullers {
    /// Records that a puller failed.
    pub fn record_failure(&mut self, puller: IpAddr, failure: PullerFailure, now: Time) {
        self.failed.retain(|_, (_, at)| !now.passed(*at, SKIP_DURATION));
        self.failed.insert(puller, (failure, now));
    }

    /// Records that a puller has sent a chunk or is fetching it.
    pub fn record_success(&mut self, puller: IpAddr) {
        self.failed.remove(&puller);
    }

    /// Whether a puller is not asked at present.
    pub fn is_skipped(&self, puller: IpAddr, path: &OriginPath, now: Time) -> bool {
        self.failed.get(&puller).is_some_and(|(failure, at)| {
            // If this entry has regained the origin since, the puller may have too.
            let is_outdated =
                *failure == PullerFailure::OriginFailing && path.recovered_at > Some(*at);
            !is_outdated && !now.passed(*at, SKIP_DURATION)
        })
    }

    /// Whether any of `order` replied recently that it cannot reach the origin, so that it retries it.
    fn lack_origin(&self, order: &[IpAddr], now: Time) -> bool {
        order.iter().filter_map(|ip| self.failed.get(ip)).any(|(failure, at)| {
            *failure == PullerFailure::OriginFailing && !now.passed(*at, SKIP_DURATION)
        })
    }

    /// Whether a puller replied at least [`ORIGIN_RETRY_INTERVAL`] ago that it cannot reach the origin.
    fn is_retry_due(&self, puller: IpAddr, now: Time) -> bool {
        self.failed.get(&puller).is_some_and(|(failure, at)| {
            *failure == PullerFailure::OriginFailing && now.passed(*at, ORIGIN_RETRY_INTERVAL)
        })
    }
}

/// The path from one entry to the origin.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginPath {
    is_failing: bool,
    /// Whether any request has succeeded since the start.
    is_known: bool,
    recovered_at: Option<Time>,
    in_flight: u32,
    /// Time of the last byte received, or of the first request in flight.
    progress_at: Time,
    is_probing: bool,
    probed_at: Option<Time>,
}

impl OriginPath {
    /// Records that a request for a chunk was sent.
    pub fn begin(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.progress_at = now;
        }
        self.in_flight += 1;
    }

    /// Records that data of a response arrived.
    pub fn record_progress(&mut self, now: Time) {
        self.progress_at = now;
    }

    /// Records the end of a request for a chunk.
    pub fn finish(&mut self, has_response: bool, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_outcome(has_response, self.is_failing, now);
    }

    /// Records the end of a request that [`OriginPath::try_probe`] allowed.
    pub fn finish_probe(&mut self, has_response: bool, now: Time) {
        self.is_probing = false;
        self.record_outcome(has_response, self.is_failing || !self.is_known, now);
    }

    fn record_outcome(&mut self, has_response: bool, is_recovery: bool, now: Time) {
        if has_response {
            if is_recovery {
                self.recovered_at = Some(now);
            }
            self.is_known = true;
            self.progress_at = now;
        }
        self.is_failing = !has_response;
    }

    /// Whether requests in flight have received nothing for [`ORIGIN_STALL_TIMEOUT`].
    pub fn is_stalled(&self, now: Time) -> bool {
        self.in_flight > 0 && now.passed(self.progress_at, ORIGIN_STALL_TIMEOUT)
    }

    /// Whether the origin cannot be reached.
    pub fn is_failing(&self, now: Time) -> bool {
        self.is_failing || self.is_stalled(now)
    }

    /// Whether the path did not recover within the last [`SETTLE_DURATION`].
    fn is_settled(&self, now: Time) -> bool {
        self.recovered_at.is_none_or(|at| now.passed(at, SETTLE_DURATION))
    }

    /// Whether to send a small request that finds out whether the origin can be reached: none is in flight, and the
    /// last one was sent at least `interval` ago. If so, it is recorded as sent.
    pub fn try_probe(&mut self, interval: Duration, now: Time) -> bool {
        let is_due = self.probed_at.is_none_or(|at| now.passed(at, interval)) && !self.is_probing;
        if is_due {
            self.probed_at = Some(now);
            self.is_probing = true;
        }
        is_due
    }
}

/// What an entry does next to get a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask this puller.
    Ask(IpAddr),
    /// Request the chunk from the origin.
    Origin,
    /// Find out whether the origin can be reached, unless that was done within this time.
    Probe(Duration),
    /// Wait.
    Wait(Duration),
}

/// The search of one entry for one chunk.
#[derive(Clone, Debug)]
pub struct Search {
    order: Vec<IpAddr>,
    /// Position of this entry in the order.
    own: Option<usize>,
    region_rank: u32,
    /// Whether an entry has asked this one, which must not ask the pullers after it.
    is_relayed: bool,
    next: usize,
    failed_since: Option<Time>,
}

impl Search {
    /// Begins the search of the entry `me` with these candidates, in the order in which they are asked. An entry
    /// that is no candidate and was asked by another entry pulls the chunk itself.
    pub fn new(order: Vec<IpAddr>, me: IpAddr, region_rank: u32, is_relayed: bool) -> Search {
        let own = order.iter().position(|ip| *ip == me);
        let is_own_only = order.is_empty() || own.is_none() && is_relayed;
        let (order, own) = if is_own_only { (vec![me], Some(0)) } else { (order, own) };
        Search { order, own, region_rank, is_relayed, next: 0, failed_since: None }
    }

    /// Lets the search ask all pullers, once an agent has asked for the chunk too.
    pub fn set_relayed(&mut self, is_relayed: bool) {
        self.is_relayed = is_relayed;
    }

    /// Position of this entry among the candidates; `None` if it is none.
    pub fn own_position(&self) -> Option<usize> {
        self.own
    }

    /// Whether this entry comes after `puller` in the order.
    pub fn follows(&self, puller: IpAddr) -> bool {
        self.own.is_some_and(|own| self.order[..own].contains(&puller))
    }

    /// The candidates that this entry asks if `puller` fails, without those that are skipped.
    pub fn others_after(
        &self,
        puller: IpAddr,
        pullers: &Pullers,
        path: &OriginPath,
        now: Time,
    ) -> Vec<IpAddr> {
        let position = self.order.iter().position(|ip| *ip == puller).unwrap_or_default();
        let end = match self.own {
            Some(own) if position < own => own,
            _ => self.order.len(),
        };
        let others = self.order[position + 1..end].iter().copied();
        others.filter(|ip| !pullers.is_skipped(*ip, path, now)).collect()
    }

    /// Whether no puller before this entry is available.
    pub fn is_first(&self, pullers: &Pullers, path: &OriginPath, now: Time) -> bool {
        let Some(own) = self.own else { return false };
        self.order[..own].iter().all(|ip| pullers.is_skipped(*ip, path, now))
    }

    /// The candidates after this entry; none if it is no candidate.
    pub fn later(&self) -> &[IpAddr] {
        self.own.map_or(&[], |own| &self.order[own + 1..])
    }

    /// Starts over, as a puller is fetching the chunk.
    pub fn restart(&mut self) {
        self.next = 0;
        self.failed_since = None;
    }

    /// The next step. O(pullers).
    pub fn step(&mut self, pullers: &Pullers, path: &OriginPath, now: Time) -> Step {
        let end = match self.own {
            Some(own) if self.is_relayed => own + 1,
            _ => self.order.len(),
        };
        // The last round has failed. Silent pullers are not asked again while the origin can be reached directly.
        if self.next == 0 && self.own.is_none() && self.is_direct(pullers, path, now) {
            return Step::Origin;
        }
        while self.next < end {
            let position = self.next;
            self.next += 1;
            let ip = self.order[position];
            if self.own == Some(position) {
                if self.may_pull(pullers, path, now) {
                    return Step::Origin;
                }
                continue;
            }
            let is_earlier = self.own.is_some_and(|own| position < own);
            if !pullers.is_skipped(ip, path, now) || is_earlier && pullers.is_retry_due(ip, now) {
                return Step::Ask(ip);
            }
        }
        self.next = 0;
        self.failed_since.get_or_insert(now);
        let others = self.order[..end].iter().enumerate();
        let mut others = others.filter(|(position, _)| self.own != Some(*position));
        if let Some((_, ip)) = others.find(|(_, ip)| pullers.is_retry_due(**ip, now)) {
            return Step::Ask(*ip);
        }
        if self.own.is_none() && !self.is_region_due(now) {
            return Step::Wait(PAUSE);
        }
        match self.may_pull(pullers, path, now) {
            true => Step::Origin,
            false if path.is_failing(now) || !path.is_known => Step::Probe(self.probe_interval()),
            false => Step::Wait(PAUSE),
        }
    }

    /// Whether the region's delay after the first failed round has passed.
    fn is_region_due(&self, now: Time) -> bool {
        self.failed_since.is_some_and(|at| now.passed(at, REGION_DELAY * self.region_rank))
    }

    /// Whether to go to the origin before any puller is asked again.
    fn is_direct(&self, pullers: &Pullers, path: &OriginPath, now: Time) -> bool {
        let may_have_regained = |ip: &IpAddr| {
            pullers.is_retry_due(*ip, now)
                || !pullers.is_skipped(*ip, path, now) && pullers.lack_origin(&[*ip], now)
        };
        self.is_region_due(now)
            && self.may_pull(pullers, path, now)
            && !self.order.iter().any(may_have_regained)
    }

    fn may_pull(&self, pullers: &Pullers, path: &OriginPath, now: Time) -> bool {
        match self.own {
            _ if path.is_failing(now) => false,
            Some(0) => true,
            Some(own) => path.is_settled(now) || !pullers.lack_origin(&self.order[..own], now),
            None => {
                path.is_known && (path.is_settled(now) || !pullers.lack_origin(&self.order, now))
            }
        }
    }

    /// Entries that are no candidates are many, and the origin accepts few connections.
    fn probe_interval(&self) -> Duration {
        if self.own.is_some() { ORIGIN_RETRY_INTERVAL } else { SKIP_DURATION }
    }
}

/// A chunk that waits for a request to the origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OriginTicket {
    /// Identifies the model; versions of different models are independent.
    pub model: u64,
    /// Version of the model.
    pub version: u64,
    /// Identifies the ticket. Tickets of one version go in this order.
    pub id: u64,
}

/// Time for which an older version that is nearly complete goes before a newer one. The rest of it takes less if the
/// origin is there at all, and the newer version is delayed by no more than this.
const FINISH_FIRST_TIME: Duration = Duration::from_secs(1);

/// An older version that goes before newer ones for a while.
#[derive(Clone, Copy, Debug)]
struct FirstVersion {
    model: u64,
    version: u64,
    until: Time,
}

/// Orders an entry's requests to the origin: chunks of the newest version first, and those of an older one only
/// while no chunk of a newer one waits or is in flight. For a second after the newer one was announced an older one
/// that is nearly complete goes first: if the origin then goes away, endpoints have that version.
#[derive(Clone, Debug, Default)]
pub struct OriginQueue {
    first: Option<FirstVersion>,
    waiting: Vec<OriginTicket>,
    in_flight: Vec<OriginTicket>,
}

impl OriginQueue {
    /// Adds a chunk.
    pub fn push(&mut self, ticket: OriginTicket) {
        self.waiting.push(ticket);
    }

    /// Lets a nearly complete version go before newer ones of its model for a while.
    pub fn finish_first(&mut self, model: u64, version: u64, now: Time) {
        self.first = Some(FirstVersion { model, version, until: now + FINISH_FIRST_TIME });
    }

    /// Order of a version among those of its model; the highest goes first.
    fn precedence(&self, ticket: &OriginTicket, now: Time) -> u64 {
        let goes_first = |first: FirstVersion| {
            (first.model, first.version) == (ticket.model, ticket.version) && now < first.until
        };
        if self.first.is_some_and(goes_first) { u64::MAX } else { ticket.version }
    }

    /// Moves a chunk from the waiting ones to those in flight if it is its turn and fewer than `limit` are in
    /// flight. O(chunks).
    pub fn try_start(&mut self, ticket: OriginTicket, limit: usize, now: Time) -> bool {
        let precedence = self.precedence(&ticket, now);
        let is_newer = |other: &&OriginTicket| {
            other.model == ticket.model && self.precedence(other, now) > precedence
        };
        let is_before = |other: &&OriginTicket| {
            other.id < ticket.id && (other.model != ticket.model || other.version == ticket.version)
        };
        // Tickets of another model go first only if no newer version of it holds them back.
        let is_held_back = |ticket: &OriginTicket| {
            let all = self.waiting.iter().chain(&self.in_flight);
            let precedence = self.precedence(ticket, now);
            let precedes = |other: &OriginTicket| {
                other.model == ticket.model && self.precedence(other, now) > precedence
            };
            all.clone().any(precedes)
        };
        let is_turn = self.in_flight.len() < limit
            && !self.waiting.iter().chain(&self.in_flight).any(|other| is_newer(&other))
            && !self.waiting.iter().filter(is_before).any(|other| !is_held_back(other));
        if is_turn {
            self.waiting.retain(|other| *other != ticket);
            self.in_flight.push(ticket);
        }
        is_turn
    }

    /// Removes a chunk that no longer waits or is in flight.
    pub fn remove(&mut self, ticket: OriginTicket) {
        self.waiting.retain(|other| *other != ticket);
        self.in_flight.retain(|other| *other != ticket);
    }
}
