//! When the endpoint loads a version, and how it is emptied before.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::rollout;
use mastichaven_core::direct::rollout::HostState;
use mastichaven_platform::engine::LoadMode;
use tokio::time::sleep;

use super::Agent;
use super::reports::REPORT_EVERY;
use crate::direct::swarm::Target;

/// How often a load that is due or under way is looked at.
pub(super) const LOAD_POLL: Duration = Duration::from_millis(50);

/// How long an endpoint that is about to load may go on with what runs; most requests end in this
/// time, and the streams that are left are continued elsewhere.
const EMPTY_FOR: Duration = Duration::from_millis(800);

/// Pause after an order that was not carried out.
const ORDER_RETRY: Duration = Duration::from_millis(300);

/// Time for the endpoint to show that an order has begun.
const ORDER_SHOWN_WITHIN: Duration = Duration::from_secs(8);

impl Agent {
    /// Orders loads when they are due.
    pub(super) async fn load(self: Rc<Self>) {
        loop {
            sleep(LOAD_POLL).await;
            let is_held = |target: Target| self.held().is_some_and(|held| held >= target.version);
            if self.swarm.is_newer_complete() || self.swarm.loadable().is_some_and(is_held) {
                // An older version that is loaded or overtaken makes room for the newer one.
                self.swarm.drop_older().await;
            }
            let Some(target) = self.swarm.loadable() else {
                continue;
            };
            let is_busy = self.report.borrow().as_ref().is_none_or(|report| report.is_busy);
            if !is_busy && rollout::may_load(&self.situation(&target), self.clock.now()) {
                self.order(&target).await;
            }
        }
    }

    fn situation(&self, target: &Target) -> HostState {
        let held = self.held();
        let versions = self.versions.borrow();
        let announced_at = versions.announced_at(target.version).unwrap_or_default();
        let outdated_since = versions.outdated_since(held.unwrap_or(0)).unwrap_or(announced_at);
        let (rank, hosts) = self.rank.get();
        let bound = Duration::from_millis(self.cfg.bounds.weights_ms);
        let now = self.clock.now();
        let is_barred = held.is_some_and(|held| self.subscribers.borrow().is_barred(held, now));
        let staged = target.version;
        HostState { staged, announced_at, held, outdated_since, rank, hosts, bound, is_barred }
    }

    /// Time until the endpoint serves, unless it does or that is not known.
    pub(super) fn ready_in(&self, now: Time) -> Option<Duration> {
        let held = self.held();
        let serves = held.is_some_and(|held| !self.subscribers.borrow().is_barred(held, now));
        if serves {
            return None;
        }
        rollout::estimate_ready_in(&self.swarm.progress()?, self.load_time.get())
    }

    async fn order(&self, target: &Target) {
        self.is_ordering.set(true);
        self.report_now.notify_one();
        if self.held().is_some() && self.may_cut() {
            self.empty().await;
        }
        let ordered = self.order_checked(target).await;
        if ordered {
            self.swarm.drop_older().await;
            self.wait_for(target.version).await;
        }
        self.is_ordering.set(false);
        self.report_now.notify_one();
        if !ordered {
            sleep(ORDER_RETRY).await;
        }
    }

    /// Waits a while for requests to end, as entries send no new ones.
    async fn empty(&self) {
        let began = self.clock.now();
        while !self.clock.now().passed(began, EMPTY_FOR) {
            sleep(LOAD_POLL).await;
            let report = self.report.borrow();
            if report.as_ref().is_some_and(|r| r.load.running + r.load.waiting == 0) {
                return;
            }
        }
    }

    /// Orders the load of a version that has just been read once more.
    async fn order_checked(&self, target: &Target) -> bool {
        if !self.swarm.check_staged(target).await {
            return false;
        }
        let may_cut = self.may_cut();
        let mode = if may_cut { LoadMode::AbortRunning } else { LoadMode::DrainRunning };
        match self.staging.load(&target.model, target.version, mode).await {
            Ok(()) => {
                slog::info!(self.log, "load ordered"; "version" => target.version,
                    "rank" => self.rank.get().0);
                true
            }
            Err(e) => {
                slog::warn!(self.log, "load not ordered"; "version" => target.version,
                    "error" => e.as_str(), "detail" => format!("{e:?}"));
                false
            }
        }
    }

    /// Waits until the endpoint shows the version or that it has not carried out the order.
    async fn wait_for(&self, version: u64) {
        let began = self.clock.now();
        while !self.clock.now().passed(began, ORDER_SHOWN_WITHIN) {
            sleep(LOAD_POLL).await;
            let is_busy = self.report.borrow().as_ref().is_some_and(|report| report.is_busy);
            if self.held() == Some(version) {
                let took = self.clock.now().since(began);
                self.load_time.set(took);
                slog::info!(self.log, "weights in use"; "version" => version,
                    "took_ms" => took.as_millis() as u64);
                return;
            }
            let has_shown = self.clock.now().passed(began, REPORT_EVERY * 3);
            if has_shown && !is_busy {
                slog::warn!(self.log, "load not carried out"; "version" => version);
                return;
            }
        }
    }
}
