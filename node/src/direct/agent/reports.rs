//! Reports the endpoint's load to the entries that subscribe to it.

use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::catalog::ModelSetup;
use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::pace::PaceReporter;
use mastichaven_core::direct::subscribers::Subscriber;
use mastichaven_platform::engine::Report;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use super::Agent;
use crate::direct::load_reports::AnnouncedVersion;
use crate::direct::load_reports::Datagram;
use crate::direct::load_reports::FAR_ROUND_INTERVAL;
use crate::direct::load_reports::LimitNotice;
use crate::direct::load_reports::ReportMessage;
use crate::direct::load_reports::ReportRequest;
use crate::direct::load_reports::append_report_attachments;
use crate::direct::load_reports::receive;

/// Interval between requests for the endpoint's load, which use no network link as they stay on the host.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which reports to all entries repeat what a new one does not know.
const NEW_READER_TIME: Duration = Duration::from_secs(1);

/// Time after the first report of a process for which entries are assigned slots, as the endpoint may be cold. Cold
/// periods after a start take some seconds.
const COLD_SCHEDULE_TIME: Duration = Duration::from_secs(10);

/// An unchanged report is sent only in every n-th interval.
const UNCHANGED_REPORT_PERIOD: u32 = 2;

impl Agent {
    /// Receives requests of entries and applies the state they contain; runs until the process exits.
    pub(super) async fn receive_requests(self: Rc<Self>, socket: Rc<UdpSocket>) {
        loop {
            let Some(Datagram { msg: req, attachments, from }) =
                receive::<ReportRequest>(&socket).await
            else {
                self.metrics.count("asks_unreadable");
                continue;
            };
            let own_model = self.model().map(|model| model.name);
            let oldest =
                req.weights.iter().find(|weights| own_model.as_ref() == Some(&weights.model));
            let subscriber = Subscriber {
                request_sent_us: req.sent_us,
                received_at: self.clock.now(),
                is_far: req.is_far,
                entries: req.entries,
                oldest_weights: oldest.map_or(0, |weights| weights.oldest),
                is_in_origin_region: req.is_in_origin_region,
                wants_reports: req.wants_reports,
                offer: req.offer,
            };
            self.subscribers.borrow_mut().renew(from, subscriber);
            if let Some(limit) = attachments.limit {
                self.record_limit(limit);
            }
            let now = self.clock.now();
            for notice in attachments.notices {
                self.collector.borrow_mut().apply(notice, now);
            }
            if let Some(update) = req.setup {
                self.apply_setup(update);
            }
            for weights in &req.weights {
                self.record_announcement(&weights.model, weights.newest);
            }
        }
    }

    /// Polls the endpoint's load and sends reports to entries; runs until the process exits.
    pub(super) async fn send_reports(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut unchanged = 0;
        let mut round = 0;
        let mut last: Option<LoadReport> = None;
        let mut last_limit = None;
        let mut pace = PaceReporter::default();
        loop {
            let _ = timeout(REPORT_INTERVAL, self.report_now.notified()).await;
            let setup = self.setup.borrow().as_ref().map(|update| update.setup.clone());
            let layers = setup.as_ref().map_or(0, |setup| setup.model.layers);
            let (report, is_leaving) = match self.endpoint_client.fetch_report(layers).await {
                Ok(fetched) => fetched,
                Err(e) => {
                    if self.report.borrow_mut().take().is_some() {
                        slog::warn!(self.log, "endpoint report failed"; "error" => e.as_str());
                    }
                    // Other endpoints may crash meanwhile, so notices are sent all the same.
                    self.collector.borrow_mut().evaluate(self.clock.now());
                    let setup_id = setup.as_ref().map_or(0, ModelSetup::fingerprint);
                    self.send_report(&socket, None, None, setup_id, true);
                    continue;
                }
            };
            self.log_endpoint_change(&report);
            self.record_process(report.load.started_ms);
            if is_leaving {
                self.record_leaving(report.load.started_ms);
            }
            self.observe_orders(&report);
            let has_filled = report.is_memory_full && !self.is_memory_full();
            let (regional, in_origin_region) = self.subscribers.borrow().caches(self.clock.now());
            self.swarm.set_caches(regional, in_origin_region);
            // An endpoint without weights serves no requests, so its link is free for chunks.
            self.swarm.set_link_shared(!report.load.weights.is_empty());
            let mut load = report.load.clone();
            load.is_accepting &= !self.is_load_in_progress.get();
            if !self.load_orders.borrow().may_serve() {
                load.is_accepting = false;
                load.weights.clear();
            }
            let now = self.clock.now();
            let count = self.subscribers.borrow().count(self.started_at, now);
            load.entries = count.entries;
            load.is_count_complete = count.is_complete;
            load.readers = self.subscribers.borrow().readers(now) as u32;
            load.ready_in = self.ready_in(now);
            load.relay = self.subscribers.borrow().relay(now);
            load.root = self.subscribers.borrow().root(now);
            let has_pace_changed = pace.record(report.pace);
            if has_pace_changed {
                self.metrics.count("pace_changes");
            }
            let pace_notice =
                pace.percent().map(|percent| Notice::Pace { started_ms: load.started_ms, percent });
            *self.report.borrow_mut() = Some(report);
            unchanged = if last.as_ref() == Some(&load) { unchanged + 1 } else { 0 };
            let limit = self.request_limit.get().and_then(|statement| statement.per_second);
            let has_new_notices = self.collector.borrow_mut().evaluate(now);
            let has_availability_changed = has_new_notices
                || has_pace_changed
                || has_filled
                || limit != last_limit
                || last.as_ref().is_none_or(|last| !has_same_availability(last, &load));
            round += 1;
            if unchanged % UNCHANGED_REPORT_PERIOD == 0 || has_availability_changed {
                let setup_id = setup.as_ref().map_or(0, ModelSetup::fingerprint);
                let to_all_regions = has_availability_changed || round % FAR_ROUND_INTERVAL == 0;
                let report = Some(load.clone());
                self.send_report(&socket, report, pace_notice.as_ref(), setup_id, to_all_regions);
            }
            last = Some(load);
            last_limit = limit;
        }
    }

    /// Records what an entry has learned of the endpoint's request limit, so that all entries receive it.
    fn record_limit(&self, limit: LimitNotice) {
        let started_ms = self.started_ms();
        let is_other_process =
            started_ms != 0 && limit.started_ms != 0 && started_ms != limit.started_ms;
        let Some(statement) = limit.statement(self.clock.now()).filter(|_| !is_other_process)
        else {
            return;
        };
        let last = self.request_limit.get();
        if last.is_some_and(|last| last.at >= statement.at) {
            return;
        }
        self.request_limit.set(Some(statement));
        if last.and_then(|last| last.per_second) != statement.per_second {
            slog::info!(self.log, "endpoint request limit changed";
                "per_second" => statement.per_second, "from" => "entry");
            self.report_now.notify_one();
        }
    }

    /// Records that the endpoint says that it leaves, so that all entries receive it.
    fn record_leaving(&self, started_ms: u64) {
        let process = EndpointProcess { address: self.endpoint_client.address(), started_ms };
        let now = self.clock.now();
        let mut collector = self.collector.borrow_mut();
        if process.is_identified() && !collector.is_leaving(process, now) {
            slog::info!(self.log, "endpoint says that it leaves"; "from" => "answer");
        }
        collector.apply(Notice::Leaving(process), now);
    }

    fn is_memory_full(&self) -> bool {
        self.report.borrow().as_ref().is_some_and(|report| report.is_memory_full)
    }

    /// Start time of the endpoint's process, in milliseconds of the Unix epoch; 0 if unknown.
    fn started_ms(&self) -> u64 {
        self.report.borrow().as_ref().map_or(0, |report| report.load.started_ms)
    }

    /// Logs that the endpoint has started or is reachable again, or that its weights or its number of begun
    /// orders have changed. A start of the endpoint loses its layers and, after a power loss, the staged chunks.
    fn log_endpoint_change(&self, report: &Report) {
        let weights = report.load.weights.first().map_or(0, |(_, version)| *version);
        let last = self.report.borrow();
        let Some(last) =
            last.as_ref().filter(|last| last.load.started_ms == report.load.started_ms)
        else {
            slog::info!(self.log, "endpoint connected"; "born" => report.load.started_ms,
                "weights" => weights, "orders" => report.orders);
            return;
        };
        if last.orders != report.orders || last.load.weights != report.load.weights {
            slog::info!(self.log, "endpoint weights changed"; "weights" => weights,
                "orders" => report.orders, "is_loading" => report.is_busy);
        }
    }

    /// Records when a process of the endpoint was first seen.
    fn record_process(&self, started_ms: u64) {
        if self.process_seen.get().is_none_or(|(seen, _)| seen != started_ms) {
            self.process_seen.set(Some((started_ms, self.clock.now())));
        }
    }

    /// Whether the endpoint has started so recently that it may be cold.
    fn may_be_cold(&self, now: Time) -> bool {
        let seen = self.process_seen.get();
        seen.is_some_and(|(_, seen_at)| !now.passed(seen_at, COLD_SCHEDULE_TIME))
    }

    /// Versions announced so recently that entries may still use older ones or have only just stopped doing so.
    fn recent_announcements(&self, now: Time) -> Vec<AnnouncedVersion> {
        let Some(model) = self.model().map(|model| model.name) else {
            return Vec::new();
        };
        let limit = Duration::from_millis(self.cfg.bounds.weights_ms) * 2;
        let versions = self.versions.borrow();
        let aged = versions.announcements().filter_map(|(version, announcement)| {
            Some((version, now.since(announcement?.latest())))
        });
        let recent = aged.filter(|(_, age)| *age < limit).map(|(version, age)| AnnouncedVersion {
            model: model.clone(),
            version,
            seen_for_ms: age.as_millis() as u32,
        });
        recent.collect()
    }

    fn send_report(
        &self,
        socket: &UdpSocket,
        report: Option<LoadReport>,
        pace: Option<&Notice>,
        setup: u32,
        to_all_regions: bool,
    ) {
        let now = self.clock.now();
        let port = self.endpoint_client.address().port();
        let has_new_reader = self.subscribers.borrow().has_new(NEW_READER_TIME, now);
        let mut notices = self.collector.borrow_mut().next_report(has_new_reader, now);
        if report.is_some() && self.is_memory_full() {
            let (address, started_ms) = (self.endpoint_client.address(), self.started_ms());
            notices.push(Notice::MemoryFull(EndpointProcess { address, started_ms }));
        }
        if report.is_none() && notices.is_empty() {
            return;
        }
        let relay = report.as_ref().and_then(|report| report.relay);
        let root = report.as_ref().and_then(|report| report.root);
        let started_ms = report.as_ref().map_or(0, |report| report.started_ms);
        let limit = self.request_limit.get().filter(|_| report.is_some());
        let may_be_cold = report.is_some() && self.may_be_cold(now);
        let report = report.filter(|_| setup != 0);
        let announced = self.recent_announcements(now);
        let mut msg =
            ReportMessage { port, report, request_sent_us: 0, held_us: 0, setup, announced };
        let subscribers = self.subscribers.borrow();
        for (address, subscriber) in subscribers.receivers(to_all_regions, now) {
            // Entries of other regions have their own relay and receive the root from agents there.
            if let Some(report) = &mut msg.report {
                report.relay = relay.filter(|_| !subscriber.is_far);
                report.root = root.filter(|_| !subscriber.is_far);
            }
            msg.request_sent_us = subscriber.request_sent_us;
            msg.held_us = now.since(subscriber.received_at).as_micros() as u64;
            let needs_schedule = limit.is_some() || may_be_cold;
            let schedule = needs_schedule
                .then(|| subscribers.schedule(address, self.started_at, now))
                .flatten();
            let notice = match (limit, schedule) {
                (Some(limit), _) => Some(LimitNotice::new(started_ms, limit, schedule, now)),
                (None, Some(schedule)) => {
                    self.metrics.count("cold_schedules_sent");
                    Some(LimitNotice::of_schedule(started_ms, schedule))
                }
                (None, None) => None,
            };
            let encoded = postcard::to_stdvec(&msg)
                .and_then(|bytes| append_report_attachments(bytes, notice, &notices, pace));
            match encoded {
                // Datagrams may be lost; the next report replaces this one.
                Ok(bytes) => drop(socket.try_send_to(&bytes, address)),
                Err(e) => {
                    slog::error!(self.log, "report encoding failed"; "error" => e.to_string())
                }
            }
        }
    }
}

/// Whether two reports agree on which requests the endpoint accepts, regardless of its load.
fn has_same_availability(a: &LoadReport, b: &LoadReport) -> bool {
    (a.is_accepting, a.started_ms, &a.weights) == (b.is_accepting, b.started_ms, &b.weights)
}
