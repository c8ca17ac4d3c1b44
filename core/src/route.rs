//! Choosing the endpoint of a request.
//!
//! An entry tracks a bounded subset of a service's endpoints, the same one as long as the members
//! stay: all it needs of its own zone, a few of the others. A request goes to the endpoint that
//! has likely cached its prefix while that one is not overloaded, else to the better of two random
//! ones; to another zone only when its own has no room.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ids::Digest;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::ZoneName;
use crate::members::Member;
use crate::platform::HostRole;
use crate::run::Load;
use crate::time::Time;

/// Endpoints of its own zone that an entry tracks for one service, on average over the entries.
pub const NEAR: usize = 24;

/// Endpoints of all other zones together that it tracks, on average over the entries.
pub const FAR: usize = 16;

/// Entries that track one endpoint at least, so that it stays in use when one of them goes.
const MIN_TRACKERS: usize = 3;

/// How far an entry's own number may be above the average.
const MOST: usize = 3;

/// After this long a reported load says nothing any more of what other entries have sent.
const LOAD_AGE: Duration = Duration::from_millis(1_000);

/// How long an endpoint that refused a request is left alone, at least.
const FULL_FOR: Duration = Duration::from_millis(50);

/// Consecutive failures that eject an endpoint.
const EJECT_AFTER: u32 = 3;

/// How long a first ejection lasts; each further one twice as long.
const EJECT_FOR: Duration = Duration::from_secs(1);

/// Doublings of it at most.
const MAX_DOUBLINGS: u32 = 5;

/// Share of its limit up to which an endpoint is preferred for a prefix it has likely cached.
const AFFINE_FILL: f64 = 0.75;

/// Candidates of a prefix, in rendezvous order.
const AFFINE_ENDPOINTS: usize = 2;

/// An endpoint as one entry sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its agent's host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where its agent is reached.
    pub address: SocketAddr,
    /// Its agent's life.
    pub incarnation: Incarnation,
    load: Load,
    load_at: Time,
    /// Requests of this entry in progress there, now and when the load was reported.
    sent: u32,
    sent_at_load: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    /// It refused a request as full; until then only a report of room opens it again.
    full_until: Time,
    /// Hash of the host, for rendezvous with prefixes.
    seed: u64,
}

impl Endpoint {
    fn new(member: &Member, now: Time) -> Endpoint {
        Endpoint {
            host: member.host.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            load: member.load,
            load_at: now,
            sent: 0,
            sent_at_load: 0,
            failures: 0,
            ejections: 0,
            ejected_until: Time::ZERO,
            full_until: Time::ZERO,
            seed: seed(&member.host),
        }
    }

    /// Requests likely in progress: this entry's own, and those of others as last reported, which
    /// count for less the older the report is.
    fn likely(&self, now: Time) -> f64 {
        let age = now.since(self.load_at).as_secs_f64() / LOAD_AGE.as_secs_f64();
        let others = self.load.requests.saturating_sub(self.sent_at_load);
        f64::from(self.sent) + f64::from(others) * (1.0 - age).max(0.0)
    }

    fn free_as_reported(&self) -> u32 {
        let others = self.load.requests.saturating_sub(self.sent_at_load);
        self.load.limit.saturating_sub(self.sent + others)
    }

    fn fill(&self, now: Time) -> f64 {
        self.likely(now) / f64::from(self.load.limit.max(1))
    }

    fn has_room(&self, now: Time) -> bool {
        self.ejected_until <= now
            && self.full_until <= now
            && self.likely(now) + 0.5 < f64::from(self.load.limit.max(1))
    }
}

/// How an attempt at an endpoint ended, as far as routing is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It was answered.
    Answered,
    /// It was refused with proof; no sign of a broken endpoint.
    Refused,
    /// The endpoint failed it.
    Failed,
    /// It ended for reasons of the caller.
    Neither,
}

/// The endpoints of one service that an entry tracks.
#[derive(Debug, Default)]
pub struct Pool {
    endpoints: Vec<Endpoint>,
    /// How many of them, from the front, are of the entry's own zone.
    near: usize,
}

impl Pool {
    /// Takes in the members that serve; what was learned of those that stay is kept.
    /// O(members × entries) steps of a few instructions.
    pub fn refresh(&mut self, members: &[&Member], entries: &Entries, now: Time) {
        let mut old: HashMap<HostName, Endpoint> =
            self.endpoints.drain(..).map(|endpoint| (endpoint.host.clone(), endpoint)).collect();
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            members.iter().copied().partition(|member| member.zone == entries.zone);
        let near = subset(near, entries.me, &entries.near, NEAR);
        self.near = near.len();
        for member in near.into_iter().chain(subset(far, entries.me, &entries.all, FAR)) {
            let known = old.remove(&member.host).filter(|e| e.incarnation == member.incarnation);
            let mut endpoint = known.unwrap_or_else(|| Endpoint::new(member, now));
            endpoint.address = member.address;
            if now.passed(endpoint.load_at, LOAD_AGE) {
                endpoint.load = member.load;
                endpoint.load_at = now;
                endpoint.sent_at_load = endpoint.sent;
            }
            self.endpoints.push(endpoint);
        }
    }

    /// The number of endpoints tracked.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Requests of this entry in progress.
    pub fn sent(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.sent).sum()
    }

    /// Whether any endpoint has room. O(tracked endpoints).
    pub fn has_room(&self, now: Time) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.has_room(now))
    }

    /// Places free at all endpoints together, as far as reports tell that are still fresh.
    /// O(tracked endpoints).
    pub fn free(&self, now: Time) -> u32 {
        let known = |e: &&Endpoint| e.has_room(now) && !now.passed(e.load_at, LOAD_AGE);
        self.endpoints.iter().filter(known).map(Endpoint::free_as_reported).sum()
    }

    /// Places at all endpoints together, as their agents admit at present.
    pub fn places(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.load.limit).sum()
    }

    /// Chooses an endpoint with room that is not among `tried`, and counts the request as sent
    /// there. `None` when all are full, ejected or tried. O(tracked endpoints), which is bounded.
    pub fn pick<R: Rng>(
        &mut self,
        prefix: Option<Digest>,
        tried: &[HostName],
        now: Time,
        rng: &mut R,
    ) -> Option<&Endpoint> {
        let open = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            endpoint.has_room(now) && !tried.contains(&endpoint.host)
        };
        let mut candidates: Vec<usize> = (0..self.near).filter(open).collect();
        if candidates.is_empty() {
            candidates = (self.near..self.endpoints.len()).filter(open).collect();
        }
        let chosen = self
            .affine(&candidates, prefix, now)
            .or_else(|| self.better_of_two(&candidates, now, rng))?;
        let endpoint = &mut self.endpoints[chosen];
        endpoint.sent += 1;
        Some(endpoint)
    }

    fn affine(&self, candidates: &[usize], prefix: Option<Digest>, now: Time) -> Option<usize> {
        let prefix = prefix?;
        let prefix = u64::from_le_bytes(prefix.0[..8].try_into().expect("a digest has 32 bytes"));
        let mut ranked: Vec<(u64, usize)> = candidates
            .iter()
            .map(|index| (mix(prefix ^ self.endpoints[*index].seed), *index))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let fits = |index: &usize| self.endpoints[*index].fill(now) < AFFINE_FILL;
        ranked.into_iter().take(AFFINE_ENDPOINTS).map(|(_, index)| index).find(fits)
    }

    fn better_of_two<R: Rng>(&self, candidates: &[usize], now: Time, rng: &mut R) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[rng.random_range(0..candidates.len())];
        let (first, second) = (draw(), draw());
        let fill = |index: usize| self.endpoints[index].fill(now);
        Some(if fill(second) < fill(first) { second } else { first })
    }

    /// Notes the load that came along with an answer.
    pub fn report(&mut self, host: &HostName, load: Load, now: Time) {
        if let Some(endpoint) = self.find(host) {
            endpoint.load = load;
            endpoint.load_at = now;
            endpoint.sent_at_load = endpoint.sent;
            if load.requests < load.limit {
                endpoint.full_until = now;
            }
        }
    }

    /// Notes that the endpoint refused a request; it is left alone for a while, which differs from
    /// entry to entry so that they do not all come back at once.
    pub fn refused<R: Rng>(&mut self, host: &HostName, now: Time, rng: &mut R) {
        if let Some(endpoint) = self.find(host) {
            endpoint.full_until = now + FULL_FOR + FULL_FOR.mul_f64(rng.random_range(0.0..1.0));
        }
    }

    /// Notes that a request sent by [`Pool::pick`] has ended. A failing endpoint is ejected for a
    /// while, as long as no more than `max_ejected` of all are.
    pub fn ended(&mut self, host: &HostName, ended: Ended, max_ejected: f64, now: Time) {
        let ejected = self.endpoints.iter().filter(|e| e.ejected_until > now).count();
        let may_eject =
            ((ejected + 1) as f64) <= (self.endpoints.len() as f64 * max_ejected).ceil();
        let is_alone = self.endpoints.len() < 2;
        let Some(endpoint) = self.find(host) else {
            return;
        };
        endpoint.sent = endpoint.sent.saturating_sub(1);
        endpoint.sent_at_load = endpoint.sent_at_load.min(endpoint.sent);
        match ended {
            Ended::Answered => (endpoint.failures, endpoint.ejections) = (0, 0),
            Ended::Refused | Ended::Neither => {}
            Ended::Failed => endpoint.failures += 1,
        }
        if endpoint.failures >= EJECT_AFTER && may_eject && !is_alone {
            endpoint.failures = 0;
            endpoint.ejected_until = now + EJECT_FOR * (1 << endpoint.ejections);
            endpoint.ejections = (endpoint.ejections + 1).min(MAX_DOUBLINGS);
        }
    }

    fn find(&mut self, host: &HostName) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|endpoint| endpoint.host == *host)
    }
}

/// The entries that share the endpoints between them.
#[derive(Clone, Debug)]
pub struct Entries {
    me: u64,
    zone: ZoneName,
    near: Vec<u64>,
    all: Vec<u64>,
}

impl Entries {
    /// The entries among `members`, seen by the one on host `me` in `zone`.
    pub fn new(members: &[Member], me: &HostName, zone: &ZoneName) -> Entries {
        let me = seed(me);
        let mut entries = Entries { me, zone: zone.clone(), near: vec![me], all: vec![me] };
        for member in members.iter().filter(|m| m.role == HostRole::Entry && !m.leaving) {
            let seed = seed(&member.host);
            if seed == me {
                continue;
            }
            entries.all.push(seed);
            if member.zone == *zone {
                entries.near.push(seed);
            }
        }
        entries
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Never, as an entry counts itself.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// The members that this entry tracks, about `usual` of them.
///
/// Each endpoint names its trackers, the entries that rank highest for it. Were it the entries
/// that chose, some endpoints would by chance be chosen by none. An entry or endpoint that comes
/// or goes changes few subsets.
fn subset<'a>(members: Vec<&'a Member>, me: u64, entries: &[u64], usual: usize) -> Vec<&'a Member> {
    if members.len() <= usual {
        return members;
    }
    let trackers = (usual * entries.len()).div_ceil(members.len()).max(MIN_TRACKERS);
    let is_tracked = |member: &&Member| {
        let endpoint = seed(&member.host);
        let own = mix(me ^ endpoint);
        entries.iter().filter(|entry| mix(**entry ^ endpoint) > own).count() < trackers
    };
    members.into_iter().filter(is_tracked).take(usual * MOST).collect()
}

fn seed(host: &HostName) -> u64 {
    let hash = Digest::of(host.as_str().as_bytes());
    u64::from_le_bytes(hash.0[..8].try_into().expect("a digest has 32 bytes"))
}

/// The finalizer of splitmix64: spreads close numbers over all 64 bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
