//! Turns of an entry at an endpoint that has just started and takes a limited rate of requests.
//!
//! Only the entries that read the reports of an endpoint's agent send to it, which are some two thirds of a fleet of
//! three regions. The agent knows them and assigns slots of equal length to them in rotation, so that together they
//! use most of the rate. An entry without a recent schedule takes turns at random offsets among all entries, as it
//! does not know who else sends: after a loss of power such turns would use less than half of the rate.

use std::time::Duration;

use super::request_limit::Schedule;
use super::shares::TurnPacer;
use crate::time::Time;

/// Fraction of the rate that the slots of all entries add up to. A cold endpoint bears 1.5 times its rate and five
/// requests in any second, so slots of an agent and of its successor may overlap.
const SLOT_SHARE: f64 = 0.8;

/// Rate in requests per second and entry from which turns at random offsets are even enough without slots.
const MIN_EVEN_RATE: f64 = 1.0;

/// Age up to which a schedule is used. Agents send it with each report.
const SCHEDULE_TTL: Duration = Duration::from_secs(1);

/// How the next request to a cold endpoint is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    /// By a slot of the agent's schedule.
    Slot(u64),
    /// By a turn at a random offset.
    Turn,
}

/// The turns of one entry at one endpoint while that is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdTurns {
    /// The agent's schedule and when it arrived.
    schedule: Option<(Schedule, Time)>,
    last_used_slot: Option<u64>,
    /// The admission that was granted last and has not been used.
    admission: Option<Admission>,
    pacer: TurnPacer,
}

impl ColdTurns {
    /// Records this entry's place in the schedule of the endpoint's agent.
    pub fn record_schedule(&mut self, schedule: Schedule, now: Time) {
        self.schedule = Some((schedule, now));
    }

    /// Whether a request may be sent now to an endpoint that takes `per_second` requests from all `entries`. `draw`
    /// from 0 to 1 sets the offset of the first turn if there is no schedule.
    pub fn may_send(&mut self, per_second: f64, entries: u32, draw: f64, now: Time) -> bool {
        self.admission = self.admission(per_second, entries, draw, now);
        self.admission.is_some()
    }

    fn admission(
        &mut self,
        per_second: f64,
        entries: u32,
        draw: f64,
        now: Time,
    ) -> Option<Admission> {
        let rate = per_second * SLOT_SHARE;
        let recent =
            self.schedule.filter(|(_, received_at)| !now.passed(*received_at, SCHEDULE_TTL));
        let slotted =
            recent.filter(|(schedule, _)| rate < f64::from(schedule.entries) * MIN_EVEN_RATE);
        let Some((schedule, received_at)) = slotted else {
            let is_turn = self.pacer.may_send(per_second, entries, draw, now);
            return is_turn.then_some(Admission::Turn);
        };
        let slot_len = Duration::from_secs_f64(1.0 / rate);
        let (wait, slot) =
            schedule.next_slot(slot_len, now.since(received_at), self.last_used_slot);
        wait.is_zero().then_some(Admission::Slot(slot))
    }

    /// Records that a request is sent, which uses the admission. Returns whether that was a slot.
    pub fn record_sent(&mut self, now: Time) -> bool {
        match self.admission.take() {
            Some(Admission::Slot(slot)) => {
                self.last_used_slot = Some(slot);
                true
            }
            Some(Admission::Turn) | None => {
                self.pacer.record_sent(now);
                false
            }
        }
    }

    /// Forgets the turns, as the endpoint is warm; the next cold period draws them anew.
    pub fn reset(&mut self) {
        *self = ColdTurns { schedule: self.schedule, ..ColdTurns::default() };
    }
}
