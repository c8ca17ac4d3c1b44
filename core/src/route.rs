//! Selection of the endpoint for a request.
//!
//! An entry tracks a bounded subset of a service's endpoints, which is stable while the membership
//! is: about [`ZONE_SUBSET_SIZE`] of its own zone and [`REMOTE_SUBSET_SIZE`] of the others. A
//! request goes to an endpoint that has likely cached its prefix while that endpoint's utilization
//! is moderate, else to the less utilized of two random endpoints. Another zone is used only when
//! its own has no capacity.

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

/// Endpoints of an entry's own zone in its subset of one service, on average over the entries.
pub const ZONE_SUBSET_SIZE: usize = 24;

/// Endpoints of all other zones together in the subset, on average over the entries.
pub const REMOTE_SUBSET_SIZE: usize = 16;

/// Minimum number of entries that track an endpoint, so that it stays in use when one of them
/// fails.
const MIN_ENTRIES_PER_ENDPOINT: usize = 3;

/// Maximum size of a subset, as a multiple of the average.
const MAX_SUBSET_RATIO: usize = 3;

/// Age at which a load report no longer says anything about the requests of other entries.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Minimum time without requests to an endpoint that refused one as full.
const MIN_FULL_BACKOFF: Duration = Duration::from_millis(50);

/// Consecutive failures after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection; doubled for each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Utilization below which an endpoint is preferred for a prefix that it has likely cached.
const MAX_AFFINITY_UTILIZATION: f64 = 0.75;

/// Number of endpoints tried for a prefix, in order of rendezvous hashing.
const AFFINITY_CANDIDATES: usize = 2;

/// State of a tracked endpoint, from the view of one entry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Host of its agent.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Peer address of its agent.
    pub address: SocketAddr,
    /// Incarnation of its agent; a new one resets the state.
    pub incarnation: Incarnation,
    load: Load,
    load_reported_at: Time,
    /// Requests of this entry in progress at the endpoint, now and at the time of the load report.
    in_flight: u32,
    in_flight_at_report: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Time,
    /// Set when it refused a request as full; until then only a load report with free capacity
    /// makes it available again.
    full_until: Time,
    /// Hash of the host name, for rendezvous hashing of prefixes.
    host_hash: u64,
}

impl Endpoint {
    fn new(member: &Member, now: Time) -> Endpoint {
        Endpoint {
            host: member.host.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            load: member.load,
            load_reported_at: now,
            in_flight: 0,
            in_flight_at_report: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: Time::ZERO,
            full_until: Time::ZERO,
            host_hash: hash_host(&member.host),
        }
    }

    /// Estimated number of requests in progress: those of this entry, plus the reported ones of
    /// other entries, whose weight decreases linearly with the age of the report.
    fn estimated_in_flight(&self, now: Time) -> f64 {
        let age = now.since(self.load_reported_at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
        let others = self.load.requests.saturating_sub(self.in_flight_at_report);
        f64::from(self.in_flight) + f64::from(others) * (1.0 - age).max(0.0)
    }

    fn reported_free_slots(&self) -> u32 {
        let others = self.load.requests.saturating_sub(self.in_flight_at_report);
        self.load.limit.saturating_sub(self.in_flight + others)
    }

    fn utilization(&self, now: Time) -> f64 {
        self.estimated_in_flight(now) / f64::from(self.load.limit.max(1))
    }

    fn has_capacity(&self, now: Time) -> bool {
        self.ejected_until <= now
            && self.full_until <= now
            && self.estimated_in_flight(now) + 0.5 < f64::from(self.load.limit.max(1))
    }
}

/// Result of an attempt, as far as routing is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The response was complete.
    Answered,
    /// Refused as not run; not a sign of a broken endpoint.
    Refused,
    /// The endpoint failed the attempt.
    Failed,
    /// Ended by the caller.
    Inconclusive,
}

/// The endpoints of one service that an entry tracks.
#[derive(Debug, Default)]
pub struct Pool {
    endpoints: Vec<Endpoint>,
    /// Number of endpoints in the entry's own zone, which come first.
    local: usize,
}

impl Pool {
    /// Updates the subset to the members that serve, keeping the state of endpoints that remain.
    /// O(members × entries) steps of a few instructions.
    pub fn refresh(&mut self, members: &[&Member], entries: &EntrySet, now: Time) {
        let mut old: HashMap<HostName, Endpoint> =
            self.endpoints.drain(..).map(|endpoint| (endpoint.host.clone(), endpoint)).collect();
        let (local, remote): (Vec<&Member>, Vec<&Member>) =
            members.iter().copied().partition(|member| member.zone == entries.zone);
        let local = subset(local, entries.own_hash, &entries.local, ZONE_SUBSET_SIZE);
        self.local = local.len();
        for member in local.into_iter().chain(subset(
            remote,
            entries.own_hash,
            &entries.all,
            REMOTE_SUBSET_SIZE,
        )) {
            let known = old.remove(&member.host).filter(|e| e.incarnation == member.incarnation);
            let mut endpoint = known.unwrap_or_else(|| Endpoint::new(member, now));
            endpoint.address = member.address;
            if now.passed(endpoint.load_reported_at, LOAD_REPORT_TTL) {
                endpoint.load = member.load;
                endpoint.load_reported_at = now;
                endpoint.in_flight_at_report = endpoint.in_flight;
            }
            self.endpoints.push(endpoint);
        }
    }

    /// Number of tracked endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is tracked.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Number of requests of this entry in progress, at all endpoints.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Whether any endpoint has capacity. O(tracked endpoints).
    pub fn has_capacity(&self, now: Time) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.has_capacity(now))
    }

    /// Number of free request slots at all endpoints, according to reports younger than the TTL.
    /// O(tracked endpoints).
    pub fn free_slots(&self, now: Time) -> u32 {
        let known =
            |e: &&Endpoint| e.has_capacity(now) && !now.passed(e.load_reported_at, LOAD_REPORT_TTL);
        self.endpoints.iter().filter(known).map(Endpoint::reported_free_slots).sum()
    }

    /// Number of requests that all agents together currently admit.
    pub fn total_slots(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.load.limit).sum()
    }

    /// Selects an endpoint with capacity that is not in `tried`, and counts the request as in
    /// flight there. `None` if all are full, ejected or tried. O(tracked endpoints), which is
    /// bounded.
    pub fn pick<R: Rng>(
        &mut self,
        prefix: Option<Digest>,
        tried: &[HostName],
        now: Time,
        rng: &mut R,
    ) -> Option<&Endpoint> {
        let is_available = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            endpoint.has_capacity(now) && !tried.contains(&endpoint.host)
        };
        let mut candidates: Vec<usize> = (0..self.local).filter(is_available).collect();
        if candidates.is_empty() {
            candidates = (self.local..self.endpoints.len()).filter(is_available).collect();
        }
        let chosen = self
            .pick_by_prefix(&candidates, prefix, now)
            .or_else(|| self.pick_of_two_random(&candidates, now, rng))?;
        let endpoint = &mut self.endpoints[chosen];
        endpoint.in_flight += 1;
        Some(endpoint)
    }

    fn pick_by_prefix(
        &self,
        candidates: &[usize],
        prefix: Option<Digest>,
        now: Time,
    ) -> Option<usize> {
        let prefix = prefix?;
        let prefix = u64::from_le_bytes(prefix.0[..8].try_into().expect("a digest has 32 bytes"));
        let mut ranked: Vec<(u64, usize)> = candidates
            .iter()
            .map(|index| (mix64(prefix ^ self.endpoints[*index].host_hash), *index))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let fits =
            |index: &usize| self.endpoints[*index].utilization(now) < MAX_AFFINITY_UTILIZATION;
        ranked.into_iter().take(AFFINITY_CANDIDATES).map(|(_, index)| index).find(fits)
    }

    fn pick_of_two_random<R: Rng>(
        &self,
        candidates: &[usize],
        now: Time,
        rng: &mut R,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates[rng.random_range(0..candidates.len())];
        let (first, second) = (draw(), draw());
        let utilization = |index: usize| self.endpoints[index].utilization(now);
        Some(if utilization(second) < utilization(first) { second } else { first })
    }

    /// Records the load reported with a response.
    pub fn record_load(&mut self, host: &HostName, load: Load, now: Time) {
        if let Some(endpoint) = self.find(host) {
            endpoint.load = load;
            endpoint.load_reported_at = now;
            endpoint.in_flight_at_report = endpoint.in_flight;
            if load.requests < load.limit {
                endpoint.full_until = now;
            }
        }
    }

    /// Records that the endpoint refused a request as full. It gets no requests for a while, with
    /// jitter so that the entries do not all return at once.
    pub fn record_refusal<R: Rng>(&mut self, host: &HostName, now: Time, rng: &mut R) {
        if let Some(endpoint) = self.find(host) {
            endpoint.full_until =
                now + MIN_FULL_BACKOFF + MIN_FULL_BACKOFF.mul_f64(rng.random_range(0.0..1.0));
        }
    }

    /// Records the result of a request selected with [`Pool::pick`]. An endpoint that keeps failing
    /// is ejected for a while, unless the ejected share of all endpoints would exceed
    /// `max_ejected`.
    pub fn record_result(
        &mut self,
        host: &HostName,
        result: AttemptResult,
        max_ejected: f64,
        now: Time,
    ) {
        let ejected = self.endpoints.iter().filter(|e| e.ejected_until > now).count();
        let may_eject =
            ((ejected + 1) as f64) <= (self.endpoints.len() as f64 * max_ejected).ceil();
        let is_alone = self.endpoints.len() < 2;
        let Some(endpoint) = self.find(host) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.in_flight_at_report = endpoint.in_flight_at_report.min(endpoint.in_flight);
        match result {
            AttemptResult::Answered => (endpoint.consecutive_failures, endpoint.ejections) = (0, 0),
            AttemptResult::Refused | AttemptResult::Inconclusive => {}
            AttemptResult::Failed => endpoint.consecutive_failures += 1,
        }
        if endpoint.consecutive_failures >= EJECTION_FAILURES && may_eject && !is_alone {
            endpoint.consecutive_failures = 0;
            endpoint.ejected_until = now + BASE_EJECTION_TIME * (1 << endpoint.ejections);
            endpoint.ejections = (endpoint.ejections + 1).min(MAX_EJECTION_DOUBLINGS);
        }
    }

    fn find(&mut self, host: &HostName) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|endpoint| endpoint.host == *host)
    }
}

/// The entries that route to the same endpoints.
#[derive(Clone, Debug)]
pub struct EntrySet {
    own_hash: u64,
    zone: ZoneName,
    local: Vec<u64>,
    all: Vec<u64>,
}

impl EntrySet {
    /// Creates the set of the entries among `members`, from the view of the entry on host
    /// `own_host` in `zone`.
    pub fn new(members: &[Member], own_host: &HostName, zone: &ZoneName) -> EntrySet {
        let own_hash = hash_host(own_host);
        let mut entries =
            EntrySet { own_hash, zone: zone.clone(), local: vec![own_hash], all: vec![own_hash] };
        for member in members.iter().filter(|m| m.role == HostRole::Entry && !m.leaving) {
            let host_hash = hash_host(&member.host);
            if host_hash == own_hash {
                continue;
            }
            entries.all.push(host_hash);
            if member.zone == *zone {
                entries.local.push(host_hash);
            }
        }
        entries
    }

    /// Number of entries, including this one.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Always false, as the set includes the entry itself.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// Selects the subset of `members` for this entry, about `target` of them.
///
/// Each endpoint is tracked by the entries that rank highest for it. If each entry chose its
/// endpoints instead, some endpoints would by chance be chosen by none. An entry or endpoint that
/// joins or leaves changes few subsets.
fn subset<'a>(
    members: Vec<&'a Member>,
    own_hash: u64,
    entries: &[u64],
    target: usize,
) -> Vec<&'a Member> {
    if members.len() <= target {
        return members;
    }
    let entries_per_endpoint =
        (target * entries.len()).div_ceil(members.len()).max(MIN_ENTRIES_PER_ENDPOINT);
    let is_in_subset = |member: &&Member| {
        let endpoint = hash_host(&member.host);
        let own = mix64(own_hash ^ endpoint);
        entries.iter().filter(|entry| mix64(**entry ^ endpoint) > own).count()
            < entries_per_endpoint
    };
    members.into_iter().filter(is_in_subset).take(target * MAX_SUBSET_RATIO).collect()
}

fn hash_host(host: &HostName) -> u64 {
    let hash = Digest::of(host.as_str().as_bytes());
    u64::from_le_bytes(hash.0[..8].try_into().expect("a digest has 32 bytes"))
}

/// The finalizer of splitmix64, which spreads similar numbers over all 64 bits.
fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
