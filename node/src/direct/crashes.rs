//! Detects that the process of an endpoint has ended while it had requests in progress, and refuses
//! the requests that cause it.
//!
//! A broken connection alone does not show that: endpoints also reset single connections and cut responses short.
//! If the host then refuses a new connection, no process listens any more. A host without power, or behind a
//! cut link, refuses nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::crash_evidence::Cause;
use mastichaven_core::crash_evidence::Concurrent;
use mastichaven_core::crash_evidence::RequestEvidence;
use mastichaven_core::direct::endpoint::EndpointKey;
use mastichaven_core::direct::endpoint::EndpointRecord;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::notices::Notice;
use mastichaven_core::direct::notices::time_ago;
use mastichaven_core::fingerprint::Fingerprint;
use mastichaven_core::fingerprint::ProcessKey;
use mastichaven_core::quarantine;
use mastichaven_core::quarantine::CrashReport;
use mastichaven_core::quarantine::Quarantine;
use mastichaven_platform::call;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::timeout;

use super::attempt::AttemptResponse;
use super::attempt::record_failed_attempt;
use super::call::Call;
use super::connection;
use super::connection::ConnectionError;
use super::state::State;

/// Timeout of a probe. A host that is reachable refuses a connection within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which it is known that a process has ended, so that other requests whose connection breaks need no probe.
const PROBE_TTL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Probe {
    started_at: Time,
    has_ended: Rc<OnceCell<bool>>,
}

/// Recent probes by the id of the endpoint. Requests that were in progress together share one.
#[derive(Debug, Default)]
pub struct Probes {
    by_endpoint: RefCell<HashMap<SmolStr, Probe>>,
}

impl Probes {
    /// The probe of an endpoint for a connection that ended at `now`: a new one, or a recent one unless it found the
    /// process alive before.
    fn of(&self, record: &EndpointRecord, now: Time) -> Probe {
        let mut probes = self.by_endpoint.borrow_mut();
        probes.retain(|_, probe| !now.passed(probe.started_at, PROBE_TTL));
        let is_outdated = |probe: &Probe| {
            probe.started_at < now && probe.has_ended.get().is_some_and(|has_ended| !has_ended)
        };
        if probes.get(&record.id).is_some_and(is_outdated) {
            probes.remove(&record.id);
        }
        let new = || Probe { started_at: now, has_ended: Rc::default() };
        probes.entry(record.id.clone()).or_insert_with(new).clone()
    }

    /// Whether the process of an endpoint, a connection to which ended at `now`, has ended.
    pub(super) async fn has_ended(&self, record: &EndpointRecord, now: Time) -> bool {
        let run = |probe: Probe| async move {
            *probe.has_ended.get_or_init(|| refuses_connections(record.address)).await
        };
        let probe = self.of(record, now);
        let is_earlier = probe.started_at < now;
        // One that was in progress may have reached the process just before it ended.
        run(probe).await || is_earlier && run(self.of(record, now)).await
    }
}

/// Whether the host of `address` is reachable and no process listens there.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}

impl AttemptResponse {
    /// Whether the end of the connection, though in order, may have cut the response short: nothing else marks its
    /// end, and the endpoint's process has ended with it or had to stop by then.
    pub(super) async fn is_cut(&self) -> bool {
        let state = self.place.state();
        connection::is_close_delimited(&self.response)
            && (self.stop.has_passed(state.now())
                || state.probes.has_ended(&self.record, state.now()).await)
    }
}

/// An attempt whose response was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostAttempt<'a> {
    pub(super) record: &'a EndpointRecord,
    pub(super) endpoint: EndpointKey,
    /// When the request was sent to the endpoint.
    pub(super) sent_at: Time,
}

/// Records an attempt whose response was lost, as [`record_failed_attempt`] does, and finds out whether its
/// endpoint has crashed.
pub(super) async fn record_lost_attempt(
    state: &State,
    call: &Call,
    attempt: LostAttempt<'_>,
    e: ConnectionError,
    at: &'static str,
) {
    let LostAttempt { record, endpoint, sent_at } = attempt;
    let process = EndpointProcess::of(record);
    let is_full = state.full_processes.borrow().explain_end(process, state.now());
    // An endpoint that leaves ends by itself, and one whose memory is full because of all its requests.
    let may_have_crashed =
        e == ConnectionError::Broken && !is_full && state.endpoints.borrow().is_routable(endpoint);
    let ran = state.now().since(sent_at);
    let beside = state.endpoints.borrow().in_flight(endpoint).saturating_sub(1);
    record_failed_attempt(state, call, record, endpoint, e, at);
    if may_have_crashed && state.probes.has_ended(record, state.now()).await {
        state.metrics.count("requests_crashed");
        slog::warn!(state.log, "endpoint crashed while running a request";
            "id" => call.head.id.as_deref().unwrap_or_default(),
            "request" => call.fingerprint().to_string(),
            "parts" => call::prompt_parts(&call.headers).collect::<Vec<_>>().join(","),
            "endpoint" => record.id.as_str(), "beside" => beside,
            "ran_ms" => ran.as_millis() as u64);
        state.record_crash(record, call, ran);
    }
}

impl State {
    /// Time until `call` may be sent to endpoints again; `None` if it may be sent now. The fingerprints of a request
    /// are computed only while there are suspects.
    pub(super) fn quarantine_remaining(&self, call: &Call) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return None;
        }
        quarantine.remaining(call.traits(), quarantine::DEFAULT_DURATION, self.now())
    }

    /// Waits until `call` is quarantined.
    pub(super) async fn until_quarantined(&self, call: &Call) {
        loop {
            let changed = self.request_quarantined.notified();
            if self.quarantine_remaining(call).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Records that an endpoint crashed while running a request, here and at the collectors.
    fn record_crash(&self, record: &EndpointRecord, call: &Call, ran: Duration) {
        let process = ProcessKey::new(&record.id, record.started_ms);
        let ran_ms = u32::try_from(ran.as_millis()).unwrap_or(u32::MAX);
        let requests = vec![RequestEvidence { traits: call.traits().to_vec(), ran_ms }];
        let crash = CrashReport {
            process: Some(process),
            requests: requests.clone(),
            concurrent: Concurrent::Unknown,
            age: Duration::ZERO,
        };
        let now = self.now();
        self.change_quarantine(call.traits(), "own", |quarantine| {
            quarantine.record_crash(crash, now);
        });
        self.notify_collectors(Notice::Crash { process, requests, age_ms: 0 });
    }

    /// Records that an endpoint has run a request to its end, which clears its traits of all suspicion.
    pub(super) fn record_completion(&self, call: &Call) {
        self.record_answer_time(&call.route, self.now().since(call.received_at));
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let traits = self.quarantine.borrow_mut().clear(call.traits(), self.now());
        if !traits.is_empty() {
            self.notify_collectors(Notice::Completed { traits, age_ms: 0 });
        }
    }

    /// Applies a notice of a collector.
    pub fn apply_notice(&self, notice: &Notice, now: Time) {
        match notice {
            Notice::Quarantined { traits, crashes, age_ms } => {
                let last_crash = time_ago(now, *age_ms);
                let rule = Cause { traits: traits.clone(), last_crash, crashes: *crashes };
                self.change_quarantine(traits, "agent", |quarantine| {
                    quarantine.impose(rule);
                });
            }
            Notice::Completed { traits, age_ms } => {
                self.quarantine.borrow_mut().clear(traits, time_ago(now, *age_ms));
            }
            Notice::Suspected { traits } => {
                let mut quarantine = self.quarantine.borrow_mut();
                traits.iter().for_each(|one| quarantine.watch(*one, now));
            }
            Notice::Leaving(process) => self.apply_leaving(*process, now),
            Notice::MemoryFull(process) => {
                self.full_processes.borrow_mut().record(*process, now);
            }
            // The pace concerns the sender's endpoint, so it is applied where the sender is known.
            Notice::Pace { .. }
            | Notice::Crash { .. }
            | Notice::OldCrash { .. }
            | Notice::OldQuarantined { .. }
            | Notice::OldCompleted { .. } => {}
        }
    }

    /// Applies `change`, and logs the rule by which requests with `traits` are refused because of it. `from` names the
    /// source.
    fn change_quarantine(
        &self,
        traits: &[Fingerprint],
        from: &str,
        change: impl FnOnce(&mut Quarantine),
    ) {
        let now = self.now();
        let duration = quarantine::DEFAULT_DURATION;
        let mut quarantine = self.quarantine.borrow_mut();
        let was_refused = quarantine.rule_for(traits, duration, now).is_some();
        change(&mut quarantine);
        if let Some(rule) = quarantine.rule_for(traits, duration, now).filter(|_| !was_refused) {
            self.metrics.count("requests_quarantined");
            let ends_in = (rule.last_crash + duration).since(now);
            slog::warn!(self.log, "request quarantined";
                "traits" => join(&rule.traits), "crashes" => rule.crashes, "from" => from,
                "ends_in_ms" => ends_in.as_millis() as u64);
            self.request_quarantined.notify_waiters();
        }
    }

    /// Logs that a request is refused, with the rule that applies to it.
    pub(super) fn log_quarantined(&self, call: &Call, ends_in: Duration) {
        let quarantine = self.quarantine.borrow();
        let traits = call.traits();
        let rule = quarantine.rule_for(traits, quarantine::DEFAULT_DURATION, self.now());
        let refused = rule.map(|rule| rule.traits.as_slice()).unwrap_or_default();
        slog::info!(self.log, "request refused because it crashes endpoints";
            "id" => call.head.id.as_deref().unwrap_or_default(),
            "request" => call.fingerprint().to_string(), "traits" => join(refused),
            "parts" => call.parts_among(refused).join(","),
            "crashes" => rule.map_or(0, |rule| rule.crashes),
            "ends_in_ms" => ends_in.as_millis() as u64);
    }

    /// Sends a notice to the collectors.
    pub(super) fn notify_collectors(&self, notice: Notice) {
        self.notices.borrow_mut().push(notice, self.now());
        self.notices_due.notify_one();
    }
}

/// Fingerprints for a log line.
fn join(traits: &[Fingerprint]) -> String {
    traits.iter().map(Fingerprint::to_string).collect::<Vec<String>>().join(",")
}
