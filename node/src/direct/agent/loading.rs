//! Orders the endpoint to load a staged version, and drains it first.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::load_orders::OrderOutcome;
use mastichaven_core::direct::load_orders::OrderState;
use mastichaven_core::direct::load_orders::Verification;
use mastichaven_core::direct::rollout;
use mastichaven_core::direct::rollout::HostState;
use mastichaven_core::direct::supersession::Supersession;
use mastichaven_core::direct::versions::Announcement;
use mastichaven_platform::engine::LoadMode;
use mastichaven_platform::engine::Report;
use tokio::time::sleep;

use super::Agent;
use super::reports::REPORT_INTERVAL;
use crate::direct::connection::ConnectionError;
use crate::direct::endpoint_client;
use crate::direct::endpoint_client::EndpointCallError;
use crate::direct::endpoint_client::LoadResponse;
use crate::direct::swarm::Target;

/// Interval between checks of a load that is due or in progress.
pub(super) const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time for running requests to complete before a load. Most requests complete within it; remaining
/// streams are resumed at other endpoints.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before a failed load order is retried.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Age of the verification of the staged chunks from which they are verified again after the load was accepted,
/// as they may become corrupt at any time.
const MAX_VERIFICATION_AGE: Duration = Duration::from_secs(2);

/// Maximum time to wait for the endpoint to report the ordered version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

impl Agent {
    /// Orders loads when they are due; runs until the process exits.
    pub(super) async fn schedule_loads(self: Rc<Self>) {
        loop {
            sleep(LOAD_POLL_INTERVAL).await;
            if self.load_orders.borrow_mut().abandon_overdue(self.clock.now()) {
                slog::warn!(self.log, "load order abandoned without a response");
                self.update_staging_lock();
            }
            if self.load_orders.borrow().needs_verification() {
                self.verify_loaded().await;
                continue;
            }
            let is_loaded =
                |target: Target| self.held_version().is_some_and(|held| held >= target.version);
            if self.swarm.is_newer_complete()
                || self.swarm.loadable_version().is_some_and(is_loaded)
            {
                // An older version that is loaded or superseded is dropped to stage the newer one.
                self.swarm.drop_older_version().await;
            }
            let Some(target) = self.swarm.loadable_version() else {
                continue;
            };
            let is_busy = self.report.borrow().as_ref().is_none_or(|report| report.is_busy);
            if !is_busy && rollout::may_load(&self.host_state(&target), self.clock.now()) {
                self.order_load(&target).await;
            }
        }
    }

    /// Ends the download of an older version once it is useless, so that it takes nothing from the newest one;
    /// runs until the process exits. A task of its own, as scheduled loads wait for the endpoint for seconds.
    pub(super) async fn end_useless_downloads(self: Rc<Self>) {
        loop {
            sleep(LOAD_POLL_INTERVAL).await;
            // A load that is being prepared reads the staged chunks.
            if !self.is_load_in_progress.get() {
                self.end_useless_download().await;
            }
        }
    }

    async fn end_useless_download(&self) {
        let (Some(older), Some(newest)) = (self.swarm.older_version(), self.swarm.newest_version())
        else {
            return;
        };
        let status = self.swarm.download_status(&older);
        let successor = self.versions.borrow().successor(older.version);
        let supersession = Supersession {
            older: status,
            newest: self.swarm.download_status(&newest),
            superseded_at: successor.map(Announcement::latest),
            load_time: self.load_time.get(),
            bound: Duration::from_millis(self.cfg.bounds.weights_ms),
        };
        let Some(reason) = supersession.end_reason(self.clock.now()) else {
            return;
        };
        let status = status.unwrap_or_default();
        slog::info!(self.log, "older download ended"; "version" => older.version,
            "newest" => newest.version, "reason" => reason.as_str(), "chunks" => status.chunks,
            "missing" => status.missing, "available" => status.available);
        self.metrics.count("older_downloads_ended");
        self.swarm.drop_older_version().await;
    }

    fn host_state(&self, target: &Target) -> HostState {
        let held = self.verified_version();
        let versions = self.versions.borrow();
        let announced_at =
            versions.announcement(target.version).map_or(Time::ZERO, Announcement::latest);
        let successor = versions.successor(held.unwrap_or(0));
        let outdated_since = successor.map_or(announced_at, Announcement::latest);
        let (rank, hosts) = self.rank.get();
        let bound = Duration::from_millis(self.cfg.bounds.weights_ms);
        let now = self.clock.now();
        let is_barred = held.is_some_and(|held| self.subscribers.borrow().is_barred(held, now));
        let staged = target.version;
        HostState { staged, announced_at, held, outdated_since, rank, hosts, bound, is_barred }
    }

    /// Estimated time until the endpoint serves requests; `None` if it already does or there is no estimate.
    pub(super) fn ready_in(&self, now: Time) -> Option<Duration> {
        let held = self.verified_version();
        let serves = held.is_some_and(|held| !self.subscribers.borrow().is_barred(held, now));
        if serves {
            return None;
        }
        rollout::estimate_ready_in(&self.swarm.progress()?, self.load_time.get())
    }

    async fn order_load(&self, target: &Target) {
        self.is_load_in_progress.set(true);
        self.report_now.notify_one();
        if self.held_version().is_some() && self.may_interrupt_streams() {
            self.drain().await;
        }
        let is_ordered = self.verify_and_order_load(target).await;
        if is_ordered {
            self.swarm.drop_older_version().await;
            self.wait_until_loaded(target.version).await;
        }
        self.is_load_in_progress.set(false);
        self.report_now.notify_one();
        if !is_ordered {
            sleep(ORDER_RETRY_DELAY).await;
        }
    }

    /// Waits until running requests complete or [`DRAIN_TIMEOUT`] expires. Entries send no new requests.
    async fn drain(&self) {
        let started_at = self.clock.now();
        while !self.clock.now().passed(started_at, DRAIN_TIMEOUT) {
            sleep(LOAD_POLL_INTERVAL).await;
            let report = self.report.borrow();
            if report.as_ref().is_some_and(|r| r.load.running + r.load.waiting == 0) {
                return;
            }
        }
    }

    /// Verifies the staged chunks and orders the endpoint to load them. Returns whether the order was accepted.
    async fn verify_and_order_load(&self, target: &Target) -> bool {
        let expected_orders = self.load_orders.borrow_mut().begin();
        self.update_staging_lock();
        let Some(expected_orders) = expected_orders else {
            return false;
        };
        let verified_from = self.clock.now();
        let verification = self.swarm.verify_staged(target).await;
        if verification == Verification::Corrupt {
            self.load_orders.borrow_mut().record_corrupt_staging();
        }
        if verification != Verification::Valid {
            self.record_order_outcome(OrderOutcome::NotBegun, false);
            return false;
        }
        let may_interrupt_streams = self.may_interrupt_streams();
        let mode =
            if may_interrupt_streams { LoadMode::AbortRunning } else { LoadMode::DrainRunning };
        let (model, version) = (&target.model, target.version);
        let response = self.endpoint_client.order_load(model, version, mode, expected_orders).await;
        let is_recent = !self.clock.now().passed(verified_from, MAX_VERIFICATION_AGE);
        let is_confirmed = is_recent && !self.swarm.staging_writes().may_change_staged();
        self.record_order_outcome(order_outcome(response), is_confirmed);
        match response {
            Ok(_) => {
                slog::info!(self.log, "load ordered"; "version" => version,
                    "rank" => self.rank.get().0, "expected_orders" => expected_orders);
                true
            }
            Err(e) => {
                slog::warn!(self.log, "load order failed"; "version" => version,
                    "expected_orders" => expected_orders, "error" => e.as_str(),
                    "detail" => format!("{e:?}"));
                false
            }
        }
    }

    fn record_order_outcome(&self, outcome: OrderOutcome, is_confirmed: bool) {
        let now = self.clock.now();
        self.load_orders.borrow_mut().record_outcome(outcome, is_confirmed, now);
        self.update_staging_lock();
    }

    fn update_staging_lock(&self) {
        self.swarm.set_staging_locked(!self.load_orders.borrow().may_replace_staged());
    }

    /// Applies the endpoint's number of begun orders, and logs an order that is not accounted for. Resets what
    /// is known of the endpoint's previous process.
    pub(super) fn observe_orders(&self, report: &Report) {
        let state = OrderState { started_ms: report.load.started_ms, orders: report.orders };
        let has_staged = self.swarm.staging_writes().has_any();
        let could_serve = self.load_orders.borrow().may_serve();
        if self.load_orders.borrow_mut().observe(state, has_staged) {
            self.swarm.reset_staging_writes();
            self.request_limit.set(None);
        }
        self.update_staging_lock();
        if could_serve && !self.load_orders.borrow().may_serve() {
            slog::warn!(self.log, "unconfirmed load order took effect"; "orders" => report.orders);
        }
    }

    /// Verifies the staged chunks once more after the endpoint accepted an order whose outcome was unknown, or
    /// whose verification may have been out of date. They have not been replaced since.
    async fn verify_loaded(&self) {
        let Some(target) = self.swarm.loadable_version() else {
            return self.record_verification(false);
        };
        match self.swarm.check_staged(&target).await {
            Verification::Valid => self.record_verification(true),
            Verification::Corrupt => self.record_verification(false),
            // The endpoint does not answer, so it serves no requests either.
            Verification::Unavailable => sleep(ORDER_RETRY_DELAY).await,
        }
    }

    fn record_verification(&self, is_valid: bool) {
        self.load_orders.borrow_mut().record_verification(is_valid);
        self.update_staging_lock();
        self.report_now.notify_one();
        if !is_valid {
            slog::warn!(self.log, "loaded weights cannot be verified";
                "weights" => self.held_version());
        }
    }

    /// Waits until the endpoint reports the version, or reports that it is not executing the order.
    async fn wait_until_loaded(&self, version: u64) {
        let started_at = self.clock.now();
        while !self.clock.now().passed(started_at, LOAD_TIMEOUT) {
            sleep(LOAD_POLL_INTERVAL).await;
            let is_busy = self.report.borrow().as_ref().is_some_and(|report| report.is_busy);
            if self.held_version() == Some(version) {
                let load_time = self.clock.now().since(started_at);
                self.load_time.set(load_time);
                slog::info!(self.log, "weights loaded"; "version" => version,
                    "took_ms" => load_time.as_millis() as u64);
                return;
            }
            let has_report_arrived = self.clock.now().passed(started_at, REPORT_INTERVAL * 3);
            if has_report_arrived && !is_busy {
                slog::warn!(self.log, "load order not executed"; "version" => version);
                return;
            }
        }
    }
}

fn order_outcome(response: endpoint_client::Result<LoadResponse>) -> OrderOutcome {
    match response {
        Ok(LoadResponse::Begun) => OrderOutcome::Accepted,
        Err(EndpointCallError::Link(ConnectionError::Broken | ConnectionError::TimedOut)) => {
            OrderOutcome::Unknown
        }
        Ok(LoadResponse::InEffect) | Err(_) => OrderOutcome::NotBegun,
    }
}
