//! Faults during a push, at fixed shares of the lower bound.

use std::time::Duration;

use super::Run;
use super::name_of;
use super::net::ZONES;
use super::net::place_of;

const KILLED_SHARE: f64 = 0.05;
const STALLED_SHARE: f64 = 0.02;
const CORRUPT_SHARE: f64 = 0.01;
const CUT_ZONE: usize = 4;

const _: () = assert!(CUT_ZONE < ZONES);

/// When which fault happens, as shares of the lower bound.
pub(super) struct Faults {
    on: bool,
    count: usize,
    lower_bound: Duration,
    stage: usize,
    /// Hosts killed so far.
    pub(super) killed: Vec<usize>,
}

/// Times of the faults: corruption from the start, then these.
const STAGES: [f64; 4] = [0.2, 0.3, 0.4, 0.6];

impl Faults {
    pub(super) fn new(on: bool, count: usize, lower_bound: Duration) -> Faults {
        Faults { on, count, lower_bound, stage: 0, killed: Vec::new() }
    }

    pub(super) fn is_over(&self) -> bool {
        !self.on || self.stage == STAGES.len()
    }

    /// Hosts picked evenly over the fleet, starting at `from`.
    fn some(&self, share: f64, from: usize) -> Vec<usize> {
        let hosts = ((self.count as f64 * share).round() as usize).max(1);
        (0..hosts).map(|n| (from + n * self.count / hosts + n) % self.count).collect()
    }

    /// Killed hosts, and those of the cut zone, do not reach the origin either.
    fn cut_off_origin(&self, run: &Run, zone_is_cut: bool) {
        let cut =
            |n: &usize| self.killed.contains(n) || (zone_is_cut && place_of(*n).0 == CUT_ZONE);
        let names = (0..self.count).filter(cut).map(|n| name_of(n).to_string());
        run.origin.set_refused_hosts(names.collect());
    }

    pub(super) fn step(&mut self, elapsed: Duration, run: &Run) {
        if self.is_over() || elapsed < self.lower_bound.mul_f64(STAGES[self.stage]) {
            return;
        }
        match self.stage {
            0 => {
                run.net.set_corrupt_share(CORRUPT_SHARE);
                for n in self.some(STALLED_SHARE, 5) {
                    run.net.set_stalled(n, true);
                }
            }
            1 => {
                run.net.set_cut(Some(CUT_ZONE));
                self.cut_off_origin(run, true);
            }
            2 => {
                self.killed = self.some(KILLED_SHARE, 3);
                for n in &self.killed {
                    run.net.kill(*n);
                }
                self.cut_off_origin(run, true);
            }
            _ => {
                run.net.set_cut(None);
                self.cut_off_origin(run, false);
                for n in self.some(STALLED_SHARE, 5) {
                    run.net.set_stalled(n, false);
                }
            }
        }
        self.stage += 1;
    }
}
