//! Reports of the endpoint's load to the entries that ask for them.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::ModelSetup;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::subscribers::Subscriber;
use mastichaven_platform::engine::Report;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use super::Agent;
use crate::direct::load_reports::AnnouncedVersion;
use crate::direct::load_reports::FAR_ROUND_INTERVAL;
use crate::direct::load_reports::ReportMessage;
use crate::direct::load_reports::ReportRequest;
use crate::direct::load_reports::receive;

/// How often the endpoint is asked for its load, which is free on its own host.
pub(super) const REPORT_EVERY: Duration = Duration::from_millis(100);

/// A report that says the same as the last one is sent only every so many times.
const SAME_REPORT_EVERY: u32 = 2;

impl Agent {
    /// Takes in what entries ask and tell.
    pub(super) async fn listen(self: Rc<Self>, socket: Rc<UdpSocket>) {
        loop {
            let Some((req, from)) = receive::<ReportRequest>(&socket).await else {
                self.metrics.count("asks_unreadable");
                continue;
            };
            let own = self.model().map(|model| model.name);
            let oldest = req.weights.iter().find(|weights| own.as_ref() == Some(&weights.model));
            let subscriber = Subscriber {
                asked_us: req.sent_us,
                received_at: self.clock.now(),
                is_far: req.is_far,
                entries: req.entries,
                oldest_weights: oldest.map_or(0, |weights| weights.oldest),
                is_in_origin_region: req.is_in_origin_region,
                wants_reports: req.wants_reports,
                offer: req.offer,
            };
            self.subscribers.borrow_mut().renew(from, subscriber);
            if let Some(update) = req.setup {
                self.apply_setup(update);
            }
            for weights in &req.weights {
                self.named(&weights.model, weights.newest);
            }
        }
    }

    /// Asks the endpoint for its load and sends it to the entries.
    pub(super) async fn report(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut same = 0;
        let mut turn = 0;
        let mut last: Option<LoadReport> = None;
        loop {
            let _ = timeout(REPORT_EVERY, self.report_now.notified()).await;
            let setup = self.setup.borrow().as_ref().map(|update| update.setup.clone());
            let layers = setup.as_ref().map_or(0, |setup| setup.model.layers);
            let report = match self.staging.report(layers).await {
                Ok(report) => report,
                Err(e) => {
                    if self.report.borrow_mut().take().is_some() {
                        slog::warn!(self.log, "endpoint lost"; "error" => e.as_str());
                    }
                    continue;
                }
            };
            self.note_life(&report);
            let (near, beside_origin) = self.subscribers.borrow().caches(self.clock.now());
            self.swarm.set_caches(near, beside_origin);
            // Only a link that carries no live requests is free for weights.
            self.swarm.set_beside_requests(!report.load.weights.is_empty());
            let mut load = report.load.clone();
            load.is_accepting &= !self.is_ordering.get();
            let now = self.clock.now();
            let count = self.subscribers.borrow().count(self.started, now);
            load.entries = count.entries;
            load.is_count_complete = count.is_complete;
            load.readers = self.subscribers.borrow().readers(now) as u32;
            load.ready_in = self.ready_in(now);
            load.relay = self.subscribers.borrow().relay(now);
            load.root = self.subscribers.borrow().root(now);
            *self.report.borrow_mut() = Some(report);
            same = if last.as_ref() == Some(&load) { same + 1 } else { 0 };
            let is_turned = last.as_ref().is_none_or(|last| !serves_alike(last, &load));
            turn += 1;
            if same % SAME_REPORT_EVERY == 0 || is_turned {
                let setup_id = setup.as_ref().map_or(0, ModelSetup::fingerprint);
                let is_for_all = is_turned || turn % FAR_ROUND_INTERVAL == 0;
                self.send(&socket, load.clone(), setup_id, is_for_all);
            }
            last = Some(load);
        }
    }

    /// An endpoint that started again has lost its layers and, after a loss of power, what was staged.
    fn note_life(&self, report: &Report) {
        let before = self.report.borrow().as_ref().map(|report| report.load.started_ms);
        if before != Some(report.load.started_ms) {
            slog::info!(self.log, "endpoint seen"; "born" => report.load.started_ms,
                "weights" => report.load.weights.first().map_or(0, |(_, version)| *version));
        }
    }

    /// Versions that are so young that older ones may still answer, or have just been barred.
    fn named_lately(&self, now: Time) -> Vec<AnnouncedVersion> {
        let Some(model) = self.model().map(|model| model.name) else {
            return Vec::new();
        };
        let young = Duration::from_millis(self.cfg.bounds.weights_ms) * 2;
        let versions = self.versions.borrow();
        let named = versions.ages(now).filter_map(|(version, age)| Some((version, age?)));
        let lately = named.filter(|(_, age)| *age < young).map(|(version, age)| AnnouncedVersion {
            model: model.clone(),
            version,
            seen_for_ms: age.as_millis() as u32,
        });
        lately.collect()
    }

    fn send(&self, socket: &UdpSocket, report: LoadReport, setup: u32, is_for_all: bool) {
        let now = self.clock.now();
        let port = self.staging.address().port();
        let (relay, root) = (report.relay, report.root);
        let report = Some(report).filter(|_| setup != 0);
        let named = self.named_lately(now);
        let mut msg =
            ReportMessage { port, report, asked_us: 0, held_us: 0, setup, announced: named };
        for (address, subscriber) in self.subscribers.borrow().receivers(is_for_all, now) {
            // Entries of other regions have a relay of their own, and hear of the root there.
            if let Some(report) = &mut msg.report {
                report.relay = relay.filter(|_| !subscriber.is_far);
                report.root = root.filter(|_| !subscriber.is_far);
            }
            msg.asked_us = subscriber.asked_us;
            msg.held_us = now.since(subscriber.received_at).as_micros() as u64;
            match postcard::to_stdvec(&msg) {
                // A datagram may be lost anyway; the next report follows.
                Ok(bytes) => drop(socket.try_send_to(&bytes, address)),
                Err(e) => slog::error!(self.log, "report not encoded"; "error" => e.to_string()),
            }
        }
    }
}

/// Whether two reports say the same of what the endpoint may be sent, whatever its load.
fn serves_alike(a: &LoadReport, b: &LoadReport) -> bool {
    (a.is_accepting, a.started_ms, &a.weights) == (b.is_accepting, b.started_ms, &b.weights)
}
