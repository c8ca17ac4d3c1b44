//! Admission at the endpoint: how much work its agent lets in.
//!
//! Only the agent can bound its endpoint's load exactly, as it is the only way to it. A fresh
//! endpoint is cold: it gets [`COLD_LIMIT`] requests until it has completed [`WARM_AFTER`], then
//! twice as many after each full round, as long as its first bytes come as fast as before.

use std::time::Duration;

use crate::run::Load;

/// Requests a cold endpoint is given at once.
pub const COLD_LIMIT: u32 = 2;

/// Requests a cold endpoint completes before the limit first grows.
pub const WARM_AFTER: u32 = 8;

/// First bytes slower than the usual ones by this factor lower the limit.
const SLOW: f64 = 2.0;

/// First bytes slower than the usual ones by this factor mean that the endpoint turned cold.
const COLD: f64 = 5.0;

/// First bytes this fast are never called slow: timers and scheduling alone vary by as much.
const NEVER_SLOW: f64 = 0.050;

/// What the limit shrinks to after a round that was slow.
const SHRINK: f64 = 0.85;

/// Work in progress at most, as a multiple of the usual work of as many requests.
const WORK_HEADROOM: f64 = 2.0;

/// One request counts for this share of that at most, so that a huge one keeps out other huge ones
/// but not the usual ones.
const LARGEST_SHARE: f64 = 0.25;

/// Weight of one request in the running averages.
const RECENT: f64 = 0.2;

/// Weight of one request in the usual time to the first byte, which follows slowly.
const USUAL: f64 = 0.02;

/// A place that a request holds until it leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use = "a place that is not given back is lost"]
pub struct Place {
    life: u64,
    work: u32,
    alone: bool,
}

/// How a request left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Left {
    /// With a whole answer, whose first byte took this long.
    Whole(Duration),
    /// Without one, and through no fault of the endpoint.
    Early,
}

/// Lets work in up to a limit that follows what the endpoint has shown that it bears.
#[derive(Clone, Debug)]
pub struct Admission {
    max: u32,
    limit: f64,
    running: u32,
    work: u64,
    /// Work of a usual request; zero until one has completed.
    usual_work: f64,
    /// Counts the lives of the endpoint; what an earlier life completed warms nobody.
    life: u64,
    completed: u32,
    round: u32,
    usual: Option<f64>,
    recent: Option<f64>,
    unconfirmed: u32,
    alone: bool,
}

impl Admission {
    /// A cold endpoint that bears at most `max` requests when warm.
    pub fn cold(max: u32) -> Admission {
        Admission {
            max: max.max(1),
            limit: f64::from(COLD_LIMIT.min(max.max(1))),
            running: 0,
            work: 0,
            usual_work: 0.0,
            life: 0,
            completed: 0,
            round: 0,
            usual: None,
            recent: None,
            unconfirmed: 0,
            alone: false,
        }
    }

    /// Changes what the endpoint bears when warm.
    pub fn set_max(&mut self, max: u32) {
        self.max = max.max(1);
        self.limit = self.limit.min(f64::from(self.max));
    }

    /// Lets a request of `work` units in, or refuses it. O(1).
    ///
    /// The number of requests binds first; the work binds where a few are much larger than usual,
    /// and one request is always let into an empty endpoint.
    pub fn try_enter(&mut self, work: u32) -> Option<Place> {
        let budget = self.limit * self.usual_work * WORK_HEADROOM;
        let work = if budget > 0.0 { work.min((budget * LARGEST_SHARE) as u32) } else { work };
        let fits =
            self.running == 0 || budget == 0.0 || (self.work + u64::from(work)) as f64 <= budget;
        if self.alone || self.running >= self.limit as u32 || !fits {
            return None;
        }
        Some(self.enter(work, false))
    }

    /// Closes the endpoint to all others, so that a suspect can run alone once it is empty.
    /// False when another suspect has it.
    pub fn reserve_alone(&mut self) -> bool {
        !std::mem::replace(&mut self.alone, true)
    }

    /// Lets the suspect in that reserved the endpoint, if it is empty.
    pub fn try_enter_alone(&mut self, work: u32) -> Option<Place> {
        (self.alone && self.running == 0).then(|| self.enter(work, true))
    }

    /// The suspect gives up waiting.
    pub fn give_up_alone(&mut self) {
        self.alone = false;
    }

    fn enter(&mut self, work: u32, alone: bool) -> Place {
        let work = work.max(1);
        self.running += 1;
        self.work += u64::from(work);
        Place { life: self.life, work, alone }
    }

    /// A request has ended; its place is free again.
    pub fn leave(&mut self, place: Place, left: Left) {
        self.running = self.running.saturating_sub(1);
        self.work = self.work.saturating_sub(u64::from(place.work));
        if place.alone {
            self.alone = false;
        }
        if let (Left::Whole(first_byte), true) = (left, place.life == self.life) {
            self.completed += 1;
            let work = f64::from(place.work);
            let first = self.usual_work == 0.0;
            self.usual_work = if first { work } else { average(self.usual_work, work, USUAL) };
            self.learn(first_byte.as_secs_f64());
        }
    }

    fn learn(&mut self, first_byte: f64) {
        let recent = self.recent.map_or(first_byte, |old| average(old, first_byte, RECENT));
        self.recent = Some(recent);
        let usual = self.usual.unwrap_or(first_byte);
        if recent > NEVER_SLOW && recent > usual * COLD {
            return self.turn_cold();
        }
        self.usual = Some(usual.min(first_byte).max(average(usual, first_byte, USUAL)));
        self.round += 1;
        let whole_round = self.round >= (self.limit as u32).max(1);
        if !whole_round || self.completed < WARM_AFTER {
            return;
        }
        self.round = 0;
        let slow = recent > NEVER_SLOW && recent > usual * SLOW;
        let cold = f64::from(COLD_LIMIT.min(self.max));
        self.limit = if slow { self.limit * SHRINK } else { self.limit * 2.0 };
        self.limit = self.limit.clamp(cold, f64::from(self.max));
    }

    fn turn_cold(&mut self) {
        self.limit = f64::from(COLD_LIMIT.min(self.max));
        self.life += 1;
        self.completed = 0;
        self.round = 0;
        self.recent = None;
    }

    /// The endpoint has started again: back to cold. Requests in progress still count, as they
    /// hold their places until they are known to have ended.
    pub fn restart(&mut self) {
        self.turn_cold();
        self.usual = None;
        self.unconfirmed = 0;
    }

    /// Whether the endpoint must be asked for its start id before another request goes to it.
    ///
    /// An endpoint that restarts while it is thought warm would get as many requests as the warm
    /// one bears. As no more than [`COLD_LIMIT`] go out between two signs of the same life, it
    /// gets no more than a cold one bears.
    pub fn needs_sign_of_life(&self) -> bool {
        self.unconfirmed >= COLD_LIMIT.min(self.max)
    }

    /// A request goes to the endpoint.
    pub fn sent(&mut self) {
        self.unconfirmed += 1;
    }

    /// The endpoint has shown the start id that it is known by.
    pub fn confirm(&mut self) {
        self.unconfirmed = 0;
    }

    /// The load as entries see it.
    pub fn load(&self) -> Load {
        Load {
            work: u32::try_from(self.work).unwrap_or(u32::MAX),
            limit: if self.alone { 0 } else { self.limit as u32 },
            requests: self.running,
        }
    }
}

fn average(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
