//! Admission by rank while capacity is scarce.
//!
//! A call of a lower level leaves places at each endpoint free for calls of higher levels, as in
//! trunk reservation. All entries apply the rule to the same load reports, so they need no common
//! queue. A floor bounds what a level or a customer loses by it.

use std::collections::HashMap;
use std::time::Duration;

use super::retry_after::ReturnSlice;
use crate::ids::CustomerName;
use crate::time::Time;

/// Maximum number of levels of a service.
pub const MAX_LEVELS: usize = 8;

/// Fraction of an engine's slots and queue places that the lowest level leaves free. It equals the
/// share that late requests leave free.
const RESERVED_SHARE: f64 = 0.375;

/// Fraction of the requests that must come from higher levels for the whole reservation. With
/// fewer, a part of it would stay unused.
const FULL_RESERVATION_DEMAND: f64 = 0.5;

/// Fraction of the calls of higher levels that must wait for a place for the whole reservation.
/// Without this factor, at 0.9 times the capacity in three levels the lowest one was served 0.51 in
/// a simulation, and 0.99 without levels.
const FULL_RESERVATION_WAITS: f64 = 0.25;

/// Time over which requests and admissions are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Parts of [`WINDOW`] that are counted separately, so that counts expire gradually.
const BUCKETS: usize = 8;

/// Fraction of the admission rate of all levels below which a level or customer is exempt from its
/// reservation. Each must be served more than a quarter as often as all together; the rest is a
/// margin for the time that it takes to catch up.
const FLOOR_SHARE: f64 = 0.4;

/// Admission rate below which a level is exempt while the entry sees no request of a higher one. It
/// then cannot compare the two, since the higher levels call at other entries.
const FLOOR_WITHOUT_HIGHER: f64 = 0.2;

/// Requests within [`WINDOW`] from which on the floor applies. One refusal says nothing yet.
const MIN_COUNTED: u32 = 3;

/// Multiple of the mean admissions of a level's customers from which on a customer yields.
const EXCESS_FACTOR: u32 = 2;

/// Time for which turns at cold endpoints are left to a level after a call of it was refused for
/// lack of one. It is about the time until the entry's next turn at one of its endpoints: one
/// refused call then keeps one turn, and a level with few calls does not leave the others idle.
const TURN_HOLD_TIME: Duration = Duration::from_millis(100);

/// Maximum number of customers counted for each service; those without recent requests are dropped
/// beyond it.
const MAX_CUSTOMERS: usize = 4_096;

/// Position of a call among the levels of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PriorityClass {
    /// Level from 0, the highest, to `levels - 1`.
    pub level: u8,
    /// Number of levels; with one, priority changes nothing.
    pub levels: u8,
}

impl Default for PriorityClass {
    fn default() -> PriorityClass {
        PriorityClass::SINGLE
    }
}

impl PriorityClass {
    /// The class of all calls of a service without levels.
    pub const SINGLE: PriorityClass = PriorityClass { level: 0, levels: 1 };

    /// The class of the pair at `position` in the order of all `pairs` of ranks. Neighboring pairs
    /// share a level if there are more than [`MAX_LEVELS`].
    pub fn from_position(position: usize, pairs: usize) -> PriorityClass {
        let levels = pairs.clamp(1, MAX_LEVELS);
        let level = (position * levels / pairs.max(1)).min(levels - 1);
        PriorityClass { level: level as u8, levels: levels as u8 }
    }

    /// Whether the service has several levels.
    pub fn has_levels(self) -> bool {
        self.levels > 1
    }

    /// Urgency told to endpoints, from 1, as 0 is that of resumed streams; `None` with one level.
    pub fn urgency(self) -> Option<u8> {
        self.has_levels().then(|| (1 + 2 * self.level).min(7))
    }

    /// Distance from the highest level, as a fraction of that of the lowest.
    fn depth(self) -> f64 {
        f64::from(self.level) / f64::from(self.levels.saturating_sub(1).max(1))
    }
}

/// Places that a call leaves free at each endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reservation {
    /// Fraction of an engine's slots and queue places.
    share: f64,
    /// Fraction of the queue places. They are left free even if no call of a higher level has been
    /// seen, since other entries may have some. No slot stays idle for it.
    queue_share: f64,
}

impl Reservation {
    /// The reservation of calls that may use every place.
    pub const NONE: Reservation = Reservation { share: 0.0, queue_share: 0.0 };

    /// Number of places left free at an endpoint with `slots` and `queue_places`.
    ///
    /// Requests to plain services end within some 10 ms, so a slot left free there would be idle
    /// most of the time. Only queue places are reserved.
    pub fn places(self, slots: u32, queue_places: u32, is_engine: bool) -> u32 {
        let in_queue = (f64::from(queue_places) * self.queue_share).round() as u32;
        if !is_engine {
            return in_queue;
        }
        let of_all = (f64::from(slots + queue_places) * self.share) as u32;
        of_all.max(in_queue)
    }
}

/// How a call is treated while capacity is scarce.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Admission {
    /// Level by which the call is ordered among those that wait.
    pub level: u8,
    /// Places that it leaves free.
    pub reservation: Reservation,
    /// Whether its level or customer was given too little, so that it is treated as one of the
    /// highest level.
    pub is_exempt: bool,
    /// Whether it leaves turns at cold endpoints to a higher level.
    pub yields_turns: bool,
}

/// Number of events within [`WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct WindowedCount {
    buckets: [u32; BUCKETS],
    /// Number of the bucket counted last, since the origin of the clock.
    newest: u64,
}

impl WindowedCount {
    fn bucket(now: Time) -> u64 {
        now.as_micros() / (WINDOW.as_micros() as u64 / BUCKETS as u64)
    }

    fn record(&mut self, now: Time) {
        let bucket = WindowedCount::bucket(now).max(self.newest);
        let expired = (bucket - self.newest).min(BUCKETS as u64);
        for n in 0..expired {
            self.buckets[((bucket - n) % BUCKETS as u64) as usize] = 0;
        }
        self.newest = bucket;
        self.buckets[(bucket % BUCKETS as u64) as usize] += 1;
    }

    fn count(&self, now: Time) -> u32 {
        let bucket = WindowedCount::bucket(now).max(self.newest);
        let oldest = (bucket + 1).saturating_sub(BUCKETS as u64);
        (oldest..=self.newest).map(|n| self.buckets[(n % BUCKETS as u64) as usize]).sum()
    }
}

/// Recent requests and admissions of a level or customer.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requested: WindowedCount,
    /// Those that found no place when they arrived.
    waited: WindowedCount,
    given: WindowedCount,
}

impl Usage {
    /// Whether fewer than `floor` of the requests were admitted.
    fn is_below(&self, floor: f64, now: Time) -> bool {
        let requested = self.requested.count(now);
        let given = f64::from(self.given.count(now));
        requested >= MIN_COUNTED && given < floor * f64::from(requested)
    }
}

/// Recent requests and admissions of one service at this entry, from which the treatment of each
/// call follows.
#[derive(Clone, Debug, Default)]
pub struct AdmissionStats {
    by_level: [Usage; MAX_LEVELS],
    by_customer: HashMap<CustomerName, [Usage; MAX_LEVELS]>,
    /// When a call of each level was last refused for lack of turns at cold endpoints.
    turn_refusals: [Option<Time>; MAX_LEVELS],
}

impl AdmissionStats {
    /// Records the arrival of a call.
    pub fn record_request(
        &mut self,
        class: PriorityClass,
        customer: Option<&CustomerName>,
        now: Time,
    ) {
        self.by_level[usize::from(class.level)].requested.record(now);
        if let Some(customer) = customer {
            if self.by_customer.len() >= MAX_CUSTOMERS && !self.by_customer.contains_key(customer) {
                self.by_customer
                    .retain(|_, levels| levels.iter().any(|usage| usage.requested.count(now) > 0));
            }
            let levels = self.by_customer.entry(customer.clone()).or_default();
            levels[usize::from(class.level)].requested.record(now);
        }
    }

    /// Records that a call with `admission` found no place when it arrived. Calls that yield to
    /// others of their level are not counted, as their waits would extend the reservation to which
    /// they yield.
    pub fn record_wait(&mut self, class: PriorityClass, admission: &Admission, now: Time) {
        if admission.level <= class.level {
            self.by_level[usize::from(class.level)].waited.record(now);
        }
    }

    /// Records that a call was given a place.
    pub fn record_admission(
        &mut self,
        class: PriorityClass,
        customer: Option<&CustomerName>,
        now: Time,
    ) {
        self.by_level[usize::from(class.level)].given.record(now);
        if let Some(levels) = customer.and_then(|customer| self.by_customer.get_mut(customer)) {
            levels[usize::from(class.level)].given.record(now);
        }
    }

    /// Records that a call was refused for lack of turns at cold endpoints.
    pub fn record_turn_refusal(&mut self, class: PriorityClass, now: Time) {
        self.turn_refusals[usize::from(class.level)] = Some(now);
    }

    /// Decides how a call is treated at `now`. O(customers).
    pub fn admission(
        &self,
        class: PriorityClass,
        customer: Option<&CustomerName>,
        now: Time,
    ) -> Admission {
        if !class.has_levels() {
            return Admission::default();
        }
        if self.is_below_floor(class, customer, now) {
            return Admission { is_exempt: true, ..Admission::default() };
        }
        let lowest = class.levels - 1;
        let yields = customer.is_some_and(|customer| self.has_excess(class, customer, now));
        let class = PriorityClass { level: (class.level + u8::from(yields)).min(lowest), ..class };
        let is_refused = |at: &Option<Time>| at.is_some_and(|at| !now.passed(at, TURN_HOLD_TIME));
        Admission {
            level: class.level,
            reservation: self.reservation(class, now),
            is_exempt: false,
            yields_turns: self.turn_refusals[..usize::from(class.level)].iter().any(is_refused),
        }
    }

    /// The part of the time in which refused callers return that belongs to a class. The parts are
    /// in the order of the levels and proportional to their requests, so that callers return at an
    /// even rate.
    pub fn return_slice(&self, class: PriorityClass, now: Time) -> ReturnSlice {
        let levels = usize::from(class.levels.max(1)).min(MAX_LEVELS);
        // Without counts, one request of each level is assumed.
        let counts = self.by_level[..levels].iter().map(|u| u.requested.count(now) + 1);
        let counts: Vec<f64> = counts.map(f64::from).collect();
        let total: f64 = counts.iter().sum();
        let level = usize::from(class.level).min(levels - 1);
        let start: f64 = counts[..level].iter().sum();
        ReturnSlice { start: start / total, width: counts[level] / total }
    }

    fn reservation(&self, class: PriorityClass, now: Time) -> Reservation {
        let sum_of = |levels: &[Usage], count: fn(&Usage) -> &WindowedCount| -> f64 {
            levels.iter().map(|usage| f64::from(count(usage).count(now))).sum()
        };
        let higher = &self.by_level[..usize::from(class.level)];
        let requested = sum_of(higher, |usage| &usage.requested).max(1.0);
        let all = sum_of(&self.by_level, |usage| &usage.requested).max(1.0);
        let waits = sum_of(higher, |usage| &usage.waited) / requested;
        let demand = (requested / all / FULL_RESERVATION_DEMAND).min(1.0);
        let scale = demand * (waits / FULL_RESERVATION_WAITS).min(1.0);
        Reservation { share: RESERVED_SHARE * class.depth() * scale, queue_share: class.depth() }
    }

    /// Whether the level or the customer of a call was given too little.
    fn is_below_floor(
        &self,
        class: PriorityClass,
        customer: Option<&CustomerName>,
        now: Time,
    ) -> bool {
        let level = usize::from(class.level);
        let requested: u32 = self.by_level.iter().map(|usage| usage.requested.count(now)).sum();
        let given: u32 = self.by_level.iter().map(|usage| usage.given.count(now)).sum();
        let sees_higher = self.by_level[..level].iter().any(|u| u.requested.count(now) > 0);
        let mut floor = FLOOR_SHARE * f64::from(given) / f64::from(requested.max(1));
        if level > 0 && !sees_higher {
            floor = floor.max(FLOOR_WITHOUT_HIGHER);
        }
        let of_customer = customer.and_then(|customer| self.by_customer.get(customer));
        self.by_level[level].is_below(floor, now)
            || of_customer.is_some_and(|levels| levels[level].is_below(floor, now))
    }

    /// Whether a customer was given much more than the other customers of its level.
    fn has_excess(&self, class: PriorityClass, customer: &CustomerName, now: Time) -> bool {
        let level = usize::from(class.level);
        let Some(usage) = self.by_customer.get(customer) else {
            return false;
        };
        let active =
            self.by_customer.values().filter(|levels| levels[level].requested.count(now) > 0);
        let (active, given) = active.fold((0, 0), |(active, given), levels| {
            (active + 1, given + levels[level].given.count(now))
        });
        usage[level].given.count(now) * active > EXCESS_FACTOR * given
    }
}
