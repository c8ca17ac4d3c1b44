//! Gossip membership: which processes are alive, from the point of view of one process.
//!
//! A process sends heartbeats to a few stable neighbours ([`crate::ring`]). A neighbour that does
//! not answer is probed through other members, then suspected, and declared dead if it does not
//! refute the suspicion in time. Updates are piggybacked on heartbeats within a byte budget.
//! Updates that are lost are recovered by anti-entropy between members whose views stay different.
//! The platform's host list only supplies addresses to contact.
//!
//! - Refutation keeps a process that was paused briefly from being declared dead.
//! - A process that was paused itself (a late [`Membership::tick`]) or is cut off
//!   ([`GossipConfig::isolation_timeout`]) declares nobody dead; it would otherwise declare
//!   everybody dead.
//! - Flapping members are left out of [`Membership::members`], because each return of a host would
//!   otherwise change the placement plans.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use self::gossip::member_fingerprint;
use crate::ids::HostName;
use crate::members::Health;
use crate::members::Heartbeat;
use crate::members::Member;
use crate::members::MemberUpdate;
use crate::members::MembersReply;
use crate::members::MembersRequest;
use crate::members::Stamp;
use crate::platform::HostRole;
use crate::ring;
use crate::run::Load;
use crate::time::Time;

mod failure_detector;
mod gossip;

/// Maximum number of peers that one process tracks.
pub const MAX_MEMBERS: usize = 16_384;

/// Maximum number of queued updates in one heartbeat.
const MAX_UPDATES_PER_HEARTBEAT: usize = 12;

/// Maximum number of queued updates. Updates dropped beyond it are recovered by anti-entropy.
const MAX_QUEUED_UPDATES: usize = 4_096;

/// Number of members asked to probe a member that missed a heartbeat.
const INDIRECT_PROBES_PER_MEMBER: usize = 3;

/// Estimated size of a heartbeat and its answer, charged to the gossip budget.
const HEARTBEAT_BYTES: f64 = 320.0;

/// Estimated size of one update, charged to the gossip budget.
const UPDATE_BYTES: f64 = 110.0;

/// Maximum unused gossip budget that may accumulate for a burst.
const MAX_GOSSIP_BURST_BYTES: f64 = 16_000.0;

/// Flap score from which a member is left out of [`Membership::members`]. Each return of a dead or
/// restarted member adds 1 to its score.
const MAX_FLAP_SCORE: f64 = 2.5;

/// Time after which a flap score has decayed to half.
const FLAP_SCORE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Consecutive heartbeats with a different view that start an anti-entropy exchange.
const MIN_VIEW_MISMATCHES: u32 = 2;

/// Size of the fingerprint of one member in a sync request.
const SYNC_BYTES_PER_MEMBER: usize = 8;

/// Maximum rate of fingerprints in sync requests. It lengthens the interval between syncs as the
/// number of members grows.
const MAX_SYNC_BYTES_PER_SECOND: f64 = 400.0;

/// Minimum time between two syncs that this process starts.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the start during which a process contacts unknown addresses at a higher rate.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(20);

/// Timing and bandwidth of the gossip protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Interval between regular heartbeats; each goes to the next neighbour in turn.
    pub heartbeat_interval: Duration,
    /// Interval between heartbeats while updates are queued.
    pub update_interval: Duration,
    /// Time to wait for the answer to a heartbeat.
    pub heartbeat_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time without any answer after which this process considers itself cut off. It then
    /// suspects nobody and declares nobody dead.
    pub isolation_timeout: Duration,
    /// Time between two ticks from which this process considers itself to have been paused.
    pub pause_threshold: Duration,
    /// Time for which a dead member is kept and contacted now and then in case it is back.
    pub dead_member_ttl: Duration,
    /// Average rate of bytes spent on updates.
    pub gossip_bytes_per_second: f64,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig {
            heartbeat_interval: Duration::from_millis(500),
            update_interval: Duration::from_millis(200),
            heartbeat_timeout: Duration::from_millis(1_000),
            suspicion_timeout: Duration::from_secs(4),
            isolation_timeout: Duration::from_secs(3),
            pause_threshold: Duration::from_millis(1_500),
            dead_member_ttl: Duration::from_secs(3_600),
            gossip_bytes_per_second: 1_000.0,
        }
    }
}

/// A message to send. Its answer, or the lack of one, goes to [`Membership::on_reply`].
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Correlates the answer with this message.
    pub token: u64,
    /// Body of the message.
    pub request: MembersRequest,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    sequence: u32,
    health: Health,
    health_since: Time,
    flap_score: f64,
    last_flap: Time,
    view_mismatches: u32,
    /// The latest stamp known from the member itself; it may be ahead of `sequence`.
    latest_stamp: Stamp,
}

impl Peer {
    fn stamp(&self) -> Stamp {
        Stamp { incarnation: self.member.incarnation, sequence: self.sequence }
    }

    fn fingerprint(&self) -> u64 {
        member_fingerprint(&self.member.host, self.stamp())
    }

    fn is_gone(&self) -> bool {
        self.health >= Health::Dead
    }

    fn flap_score_at(&self, now: Time) -> f64 {
        let halves = now.since(self.last_flap).as_secs_f64() / FLAP_SCORE_HALF_LIFE.as_secs_f64();
        self.flap_score * 0.5_f64.powf(halves)
    }
}

/// An update and the neighbours that have not yet acknowledged it. Processes that sent the update
/// are not among them.
#[derive(Clone, Debug)]
struct QueuedUpdate {
    id: u64,
    update: MemberUpdate,
    pending: Vec<HostName>,
}

#[derive(Clone, Debug)]
enum InFlight {
    Heartbeat { host: HostName, update_ids: Vec<u64> },
    Announcement,
    IndirectProbe { host: HostName, stamp: Stamp },
    Sync,
}

/// Indirect probes of one member that are still unanswered.
#[derive(Clone, Debug)]
struct IndirectProbes {
    remaining: usize,
}

/// The view of the membership that one process has.
#[derive(Clone, Debug)]
pub struct Membership {
    config: GossipConfig,
    local: Member,
    sequence: u32,
    has_left: bool,
    peers: BTreeMap<HostName, Peer>,
    /// Addresses to contact: seeds, then addresses from the platform's host list.
    contacts: Vec<SocketAddr>,
    update_queue: Vec<QueuedUpdate>,
    in_flight: HashMap<u64, InFlight>,
    indirect_probes: HashMap<HostName, IndirectProbes>,
    neighbours: Vec<HostName>,
    are_neighbours_stale: bool,
    cursor: usize,
    next_token: u64,
    next_update_id: u64,
    next_update_heartbeat: Time,
    next_heartbeat: Time,
    next_discovery: Time,
    next_sync: Time,
    first_tick: Time,
    last_tick: Time,
    last_answer: Time,
    byte_budget: f64,
    plans_fingerprint: u64,
    view_fingerprint: u64,
    members_fingerprint: u64,
    version: u64,
    last_change: Time,
}

impl Membership {
    /// Creates a view that holds only `local`; `seeds` are the first addresses to contact.
    pub fn new(local: Member, seeds: Vec<SocketAddr>, config: GossipConfig) -> Membership {
        Membership {
            config,
            local,
            sequence: 0,
            has_left: false,
            peers: BTreeMap::new(),
            contacts: seeds,
            update_queue: Vec::new(),
            in_flight: HashMap::new(),
            indirect_probes: HashMap::new(),
            neighbours: Vec::new(),
            are_neighbours_stale: true,
            cursor: 0,
            next_token: 0,
            next_update_id: 0,
            next_update_heartbeat: Time::ZERO,
            next_heartbeat: Time::ZERO,
            next_discovery: Time::ZERO,
            next_sync: Time::ZERO,
            first_tick: Time::ZERO,
            last_tick: Time::ZERO,
            last_answer: Time::ZERO,
            byte_budget: MAX_GOSSIP_BURST_BYTES,
            plans_fingerprint: 0,
            view_fingerprint: 0,
            members_fingerprint: 0,
            version: 0,
            last_change: Time::ZERO,
        }
    }

    /// Replaces the local member. A change of anything but the load is gossiped.
    pub fn set_local_member(&mut self, member: Member) {
        let without_load = |member: &Member| Member { load: Load::default(), ..member.clone() };
        if without_load(&member) != without_load(&self.local) {
            let to_entries_only = member.leaving == self.local.leaving;
            self.sequence += 1;
            self.local = member;
            self.version += 1;
            self.queue_announcement(to_entries_only);
        } else {
            self.local = member;
        }
    }

    /// Sets the fingerprint of the plans that is sent with heartbeats.
    pub fn set_plans_fingerprint(&mut self, fingerprint: u64) {
        self.plans_fingerprint = fingerprint;
    }

    /// Replaces the addresses to contact. Addresses of members that are alive are left out.
    pub fn set_contacts(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let known: HashSet<SocketAddr> =
            self.peers.values().filter(|p| !p.is_gone()).map(|p| p.member.address).collect();
        self.contacts = addresses
            .into_iter()
            .filter(|address| *address != self.local.address && !known.contains(address))
            .take(MAX_MEMBERS)
            .collect();
    }

    /// Number of changes to the view so far, not counting changes of load.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Time when a peer last joined, left, died or changed its address, incarnation or leaving
    /// state.
    pub fn last_change(&self) -> Time {
        self.last_change
    }

    /// Number of peers that are alive or suspected.
    pub fn alive_count(&self) -> usize {
        self.peers.values().filter(|peer| !peer.is_gone()).count()
    }

    /// The local member and all peers that are alive or suspected, without flapping ones.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let is_stable = |peer: &&Peer| !peer.is_gone() && peer.flap_score_at(now) < MAX_FLAP_SCORE;
        let others = self.peers.values().filter(is_stable).map(|peer| peer.member.clone());
        std::iter::once(self.local.clone()).chain(others).collect()
    }

    /// Health of the member on `host`; `None` if the member is unknown or has been forgotten.
    pub fn health(&self, host: &HostName) -> Option<Health> {
        self.peers.get(host).map(|peer| peer.health)
    }

    /// Hosts to which this process sends heartbeats.
    pub fn neighbours(&mut self) -> &[HostName] {
        if self.are_neighbours_stale {
            self.are_neighbours_stale = false;
            let alive: Vec<&Member> =
                self.peers.values().filter(|p| !p.is_gone()).map(|p| &p.member).collect();
            self.neighbours = ring::neighbours(&self.local, &alive);
            for queued in &mut self.update_queue {
                queued.pending.retain(|host| self.neighbours.contains(host));
            }
            self.update_queue.retain(|queued| !queued.pending.is_empty());
        }
        &self.neighbours
    }

    /// Returns the messages due at `now` and expires peers. Must be called at least every
    /// [`GossipConfig::update_interval`].
    pub fn tick<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<OutboundMessage> {
        if self.last_tick == Time::ZERO {
            self.first_tick = now;
        }
        self.reset_after_pause(now);
        self.expire_peers(now);
        let elapsed = now.since(self.last_tick).as_secs_f64();
        self.byte_budget = (self.byte_budget + elapsed * self.config.gossip_bytes_per_second)
            .min(MAX_GOSSIP_BURST_BYTES);
        self.last_tick = now;
        let mut sends = Vec::new();
        if now >= self.next_discovery {
            self.next_discovery = now + self.discovery_interval(now);
            sends.extend(self.contact_unknown(rng));
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.heartbeat_interval;
            self.next_update_heartbeat = now + self.config.update_interval;
            sends.extend(self.heartbeat_to_next(false));
        } else if now >= self.next_update_heartbeat
            && !self.update_queue.is_empty()
            && self.byte_budget > 0.0
        {
            self.next_update_heartbeat = now + self.config.update_interval;
            self.byte_budget -= HEARTBEAT_BYTES;
            sends.extend(self.heartbeat_to_next(true));
        }
        sends
    }

    /// Returns messages that announce the end of this process. Their answers may be dropped.
    pub fn leave(&mut self) -> Vec<OutboundMessage> {
        self.has_left = true;
        self.local.leaving = true;
        let update = MemberUpdate::HealthReport {
            host: self.local.host.clone(),
            stamp: self.stamp(),
            health: Health::Left,
        };
        let heartbeat = Heartbeat { updates: vec![update], ..self.base_heartbeat() };
        let hosts = self.neighbours().to_vec();
        let addresses: Vec<SocketAddr> =
            hosts.iter().filter_map(|host| Some(self.peers.get(host)?.member.address)).collect();
        addresses
            .into_iter()
            .map(|to| {
                self.send(to, MembersRequest::Heartbeat(heartbeat.clone()), InFlight::Announcement)
            })
            .collect()
    }

    /// Answers a message from `host`. The caller handles [`MembersRequest::IndirectProbe`] and
    /// [`MembersRequest::HostLeaving`].
    pub fn on_request(
        &mut self,
        now: Time,
        host: &HostName,
        request: MembersRequest,
    ) -> MembersReply {
        match request {
            MembersRequest::Probe => MembersReply::Member(self.local.clone()),
            MembersRequest::Heartbeat(heartbeat) => {
                let wants_announcement = self.apply_heartbeat(now, host, heartbeat);
                let heartbeat = self.heartbeat_for(host, wants_announcement);
                MembersReply::Heartbeat(Heartbeat { host: self.local.host.clone(), ..heartbeat })
            }
            MembersRequest::Sync(known) => MembersReply::Updates(self.updates_missing_from(&known)),
            MembersRequest::IndirectProbe(_) => MembersReply::Reached(false),
            MembersRequest::HostLeaving(_) => MembersReply::Ack,
        }
    }

    /// Handles the answer to the message with `token`, or its timeout if `reply` is `None`, and
    /// returns the messages to send next.
    pub fn on_reply<R: Rng>(
        &mut self,
        now: Time,
        token: u64,
        reply: Option<MembersReply>,
        rng: &mut R,
    ) -> Vec<OutboundMessage> {
        let Some(in_flight) = self.in_flight.remove(&token) else {
            return Vec::new();
        };
        if reply.is_some() {
            self.last_answer = now;
        }
        match (in_flight, reply) {
            (
                InFlight::Heartbeat { host, update_ids },
                Some(MembersReply::Heartbeat(heartbeat)),
            ) => {
                self.indirect_probes.remove(&host);
                self.mark_delivered(&host, |queued| update_ids.contains(&queued.id));
                let mut sends = Vec::new();
                if self.apply_heartbeat(now, &host, heartbeat) {
                    sends.extend(self.announce_to(&host));
                }
                sends.extend(self.sync_if_views_differ(now, &host));
                sends
            }
            (InFlight::Heartbeat { host, .. }, _) => self.send_indirect_probes(now, host, rng),
            (InFlight::Announcement, Some(MembersReply::Heartbeat(heartbeat))) => {
                let host = heartbeat.host.clone();
                let mut sends = Vec::new();
                if self.apply_heartbeat(now, &host, heartbeat) {
                    sends.extend(self.announce_to(&host));
                }
                sends.extend(self.sync_with(now, &host));
                sends
            }
            (InFlight::IndirectProbe { host, stamp }, reply) => {
                let reached = matches!(reply, Some(MembersReply::Reached(true)));
                self.on_indirect_probe_result(now, host, stamp, reached).into_iter().collect()
            }
            (InFlight::Sync, Some(MembersReply::Updates(updates))) => {
                for update in updates.into_iter().take(MAX_MEMBERS) {
                    self.apply_update(now, update, None);
                }
                Vec::new()
            }
            (InFlight::Announcement | InFlight::Sync, _) => Vec::new(),
        }
    }

    fn stamp(&self) -> Stamp {
        Stamp { incarnation: self.local.incarnation, sequence: self.sequence }
    }

    fn send(
        &mut self,
        to: SocketAddr,
        request: MembersRequest,
        in_flight: InFlight,
    ) -> OutboundMessage {
        self.next_token += 1;
        self.in_flight.insert(self.next_token, in_flight);
        OutboundMessage { to, token: self.next_token, request }
    }

    /// Drops pending probes and restarts suspicion timeouts if this process was paused. During a
    /// pause neither answers nor refutations can arrive.
    fn reset_after_pause(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        if self.last_tick == Time::ZERO || gap < self.config.pause_threshold {
            return;
        }
        self.in_flight.clear();
        self.indirect_probes.clear();
        for peer in self.peers.values_mut().filter(|peer| peer.health == Health::Suspect) {
            peer.health_since = now;
        }
    }

    /// Time until the next unknown address is contacted; short during [`DISCOVERY_PERIOD`].
    fn discovery_interval(&self, now: Time) -> Duration {
        let is_discovering = now.since(self.first_tick) < DISCOVERY_PERIOD;
        match (is_discovering, self.contacts.is_empty()) {
            (true, false) => self.config.update_interval,
            (true, true) => self.config.heartbeat_interval,
            (false, _) => self.config.heartbeat_interval * 10,
        }
    }

    /// Sends a heartbeat to a random address among the contacts and the dead members.
    fn contact_unknown<R: Rng>(&mut self, rng: &mut R) -> Option<OutboundMessage> {
        let dead: Vec<(SocketAddr, MemberUpdate)> = self
            .peers
            .values()
            .filter(|peer| peer.health == Health::Dead)
            .filter(|peer| {
                self.local.role == HostRole::Entry || peer.member.zone == self.local.zone
            })
            .map(|peer| {
                let (host, stamp) = (peer.member.host.clone(), peer.stamp());
                (
                    peer.member.address,
                    MemberUpdate::HealthReport { host, stamp, health: Health::Dead },
                )
            })
            .collect();
        let mut heartbeat = self.base_heartbeat();
        heartbeat.wants_announcement = true;
        heartbeat.updates.push(MemberUpdate::Announcement {
            member: Box::new(self.local.clone()),
            sequence: self.sequence,
        });
        let candidates = dead.len() + self.contacts.len();
        if candidates == 0 {
            return None;
        }
        let chosen = rng.random_range(0..candidates);
        let to = match chosen.checked_sub(dead.len()) {
            Some(contact) => self.contacts[contact],
            None => {
                // Reporting the member as dead lets it refute the report if it is back.
                heartbeat.updates.push(dead[chosen].1.clone());
                dead[chosen].0
            }
        };
        Some(self.send(to, MembersRequest::Heartbeat(heartbeat), InFlight::Announcement))
    }
}
