//! Faults injected during a rollout, at fixed shares of the lower bound.

use std::time::Duration;

use super::Run;
use super::name_of;
use super::net::ZONES;
use super::net::location_of;

const KILLED_SHARE: f64 = 0.05;
const STALLED_SHARE: f64 = 0.02;
const CORRUPT_SHARE: f64 = 0.01;
const PARTITIONED_ZONE: usize = 4;

const _: () = assert!(PARTITIONED_ZONE < ZONES);

/// Schedule of the faults of one run.
pub(super) struct Faults {
    is_enabled: bool,
    count: usize,
    lower_bound: Duration,
    stage: usize,
    /// Numbers of the hosts killed so far.
    pub(super) killed: Vec<usize>,
}

/// Times of the faults, as shares of the lower bound. The first corrupts chunks until the end and
/// stalls hosts, the second partitions a zone, and the third kills hosts. The last ends the
/// partition and the stall.
const STAGE_TIMES: [f64; 4] = [0.2, 0.3, 0.4, 0.6];

impl Faults {
    pub(super) fn new(is_enabled: bool, count: usize, lower_bound: Duration) -> Faults {
        Faults { is_enabled, count, lower_bound, stage: 0, killed: Vec::new() }
    }

    pub(super) fn is_finished(&self) -> bool {
        !self.is_enabled || self.stage == STAGE_TIMES.len()
    }

    /// Picks a share of the hosts, at least one, evenly over the fleet starting at `from`.
    fn pick_hosts(&self, share: f64, from: usize) -> Vec<usize> {
        let hosts = ((self.count as f64 * share).round() as usize).max(1);
        (0..hosts).map(|n| (from + n * self.count / hosts + n) % self.count).collect()
    }

    /// Cuts killed hosts, and those of a partitioned zone, off from the origin as well.
    fn update_origin_cut_off(&self, run: &Run, is_partitioned: bool) {
        let cut = |n: &usize| {
            self.killed.contains(n) || (is_partitioned && location_of(*n).0 == PARTITIONED_ZONE)
        };
        let names = (0..self.count).filter(cut).map(|n| name_of(n).to_string());
        run.origin.set_refused_hosts(names.collect());
    }

    pub(super) fn apply_due(&mut self, elapsed: Duration, run: &Run) {
        if self.is_finished() || elapsed < self.lower_bound.mul_f64(STAGE_TIMES[self.stage]) {
            return;
        }
        match self.stage {
            0 => {
                run.net.set_corrupt_share(CORRUPT_SHARE);
                for n in self.pick_hosts(STALLED_SHARE, 5) {
                    run.net.set_stalled(n, true);
                }
            }
            1 => {
                run.net.set_partitioned_zone(Some(PARTITIONED_ZONE));
                self.update_origin_cut_off(run, true);
            }
            2 => {
                self.killed = self.pick_hosts(KILLED_SHARE, 3);
                for n in &self.killed {
                    run.net.kill(*n);
                }
                self.update_origin_cut_off(run, true);
            }
            _ => {
                run.net.set_partitioned_zone(None);
                self.update_origin_cut_off(run, false);
                for n in self.pick_hosts(STALLED_SHARE, 5) {
                    run.net.set_stalled(n, false);
                }
            }
        }
        self.stage += 1;
    }
}
