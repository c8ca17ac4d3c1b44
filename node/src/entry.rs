//! The entry: accepts requests from callers, routes them to agents, and takes part in the control
//! plane.
//!
//! | thread | duty | file |
//! | --- | --- | --- |
//! | `callers` | serves HTTP to callers, one task per request | `callers.rs`, `entry/requests.rs` |
//! | `asks` | handles requests from peers | `entry/peer_requests.rs` |
//! | `control` | runs membership, and exchanges configuration and plans with peers | `control.rs` |
//! | `platform` | watches the platform while this entry is a relay | `platform_watch.rs` |
//! | `claims-N` | make platform calls for claims and for other entries | `entry/claims.rs` |
//! | `sweep` | deletes expired claims | `entry/sweep.rs` |
//! | `planner` | writes plans while this entry holds the planner lease | `entry/planner.rs` |

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Time;
use mastichaven_core::ids::Incarnation;
use mastichaven_core::ids::RequestId;
use mastichaven_core::members::EndpointKind;
use mastichaven_core::members::Member;
use mastichaven_core::members::Serving;
use mastichaven_core::platform::HostRole;
use mastichaven_core::run::Load;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use mastichaven_core::wire::Sender;
use serde_json::Value;
use serde_json::json;
use slog::info;
use slog::warn;

use crate::callers;
use crate::clock::Clock;
use crate::control;
use crate::control::Control;
use crate::control::ControlNode;
use crate::documents::Documents;
use crate::http_store::HttpStore;
use crate::operator;
use crate::operator::Operated;
use crate::platform_watch;
use crate::settings::EntrySettings;
use crate::telemetry::Gauge;
use crate::telemetry::Telemetry;
use crate::tls::Material;
use crate::transport::Transport;

mod claims;
mod dispatch;
mod parse;
mod peer_requests;
mod planner;
mod quarantine;
pub(crate) mod requests;
pub(crate) mod response;
mod router;
mod sweep;

/// Result of starting an entry.
pub type Result<T> = std::result::Result<T, Code>;

/// Maximum number of requests from peers queued for the `asks` thread; more are refused as busy.
const PEER_REQUEST_QUEUE_LEN: usize = 256;

/// Interval at which a stop checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the threads of an entry.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) telemetry: Telemetry,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) documents: Documents,
    pub(crate) transport: Transport,
    pub(crate) platform: HttpStore,
    pub(crate) control: Control,
    pub(crate) leaving: AtomicBool,
    pub(crate) stopping: AtomicBool,
    pub(crate) over: AtomicBool,
    /// Open responses are aborted, after a simulated crash or at the stop deadline.
    aborting: AtomicBool,
    pub(crate) in_flight: AtomicU32,
    last_request_id: AtomicU64,
    claims: claims::Handle,
    router: router::Router,
    quarantine: quarantine::SharedQuarantine,
}

impl Shared {
    pub(crate) fn is_aborting(&self) -> bool {
        self.aborting.load(Ordering::Acquire)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    pub(crate) fn make_request(&self, body: RequestBody) -> RequestMessage {
        let from = Sender {
            host: self.settings.place.host.clone(),
            incarnation: self.incarnation,
            generation: self.documents.in_force().generation,
        };
        RequestMessage { from, body }
    }

    /// Returns the id of a new attempt, unique within this incarnation.
    fn new_request_id(&self) -> RequestId {
        RequestId::new(self.incarnation, self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    pub(crate) fn member(&self) -> Member {
        let place = &self.settings.place;
        Member {
            host: place.host.clone(),
            role: HostRole::Entry,
            zone: place.zone.clone(),
            region: place.region.clone(),
            address: place.advertised.unwrap_or(self.transport.local_addr()),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            endpoint: EndpointKind::None,
            memory_mib: 0,
            serving: Serving::Nothing,
            load: Load::default(),
        }
    }

    /// Returns the members that are considered alive.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.control.members()
    }

    /// Whether the entry is about to stop. It then reports not ready, so that the load balancer
    /// removes it, but still accepts requests.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Entry {
    /// Binds the ports and starts the threads of the entry.
    pub fn start(
        settings: EntrySettings,
        material: &Material,
        telemetry: Telemetry,
        incarnation: Incarnation,
    ) -> Result<Entry> {
        let (tx, rx) = flume::bounded(PEER_REQUEST_QUEUE_LEN);
        let (claim_calls, claim_rx) = flume::bounded(claims::CALL_QUEUE_LEN);
        let transport = Transport::start(settings.place.peers, material, tx)?;
        let (callers, operators) = (settings.callers, settings.place.operators);
        let control = Control::new(settings.seeds.clone());
        let shared = Arc::new(Shared {
            platform: HttpStore::new(&settings.platform),
            settings,
            telemetry,
            clock: Clock::start(),
            incarnation,
            documents: Documents::default(),
            transport,
            control,
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            over: AtomicBool::new(false),
            aborting: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            last_request_id: AtomicU64::new(0),
            claims: claims::Handle::new(claim_calls),
            router: router::Router::default(),
            quarantine: quarantine::SharedQuarantine::default(),
        });
        let operators = operator::start(operators, shared.clone())?;
        let callers::Listener { address: callers, thread: callers_thread } =
            callers::start(callers, shared.clone())?;
        let peer_requests = shared.clone();
        let planner = shared.clone();
        let sweep = shared.clone();
        let mut threads = vec![
            spawn("asks", move || peer_requests::serve(&peer_requests, &rx)),
            control::start(&shared),
            platform_watch::start(&shared, Arc::new(shared.platform.clone())),
            spawn("sweep", move || sweep::run(&sweep)),
            spawn("planner", move || planner::run(&planner)),
            callers_thread,
        ];
        for n in 0..claims::WORKER_THREADS {
            let (shared, calls) = (shared.clone(), claim_rx.clone());
            threads.push(spawn(&format!("claims-{n}"), move || claims::run(&shared, &calls)));
        }
        info!(
            shared.telemetry.log, "started";
            "callers" => callers,
            "peers" => shared.transport.local_addr(),
            "operators" => operators,
        );
        Ok(Entry { shared, threads, callers, operators })
    }

    /// The bound address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers
    }

    /// The bound address for peers.
    pub fn peers_addr(&self) -> SocketAddr {
        self.shared.transport.local_addr()
    }

    /// The bound address for operators.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators
    }

    /// Writes the state of the entry to the log, in the format of the operators' `/dump`.
    pub fn log_dump(&self) {
        let state = self.shared.dump().to_string();
        info!(self.shared.telemetry.log, "state"; "dump" => state);
    }

    /// Stops at once without notifying peers, as a crash does. Used by tests of how other processes
    /// react.
    pub fn crash(self) {
        self.shared.aborting.store(true, Ordering::Release);
        self.shared.over.store(true, Ordering::Release);
        self.shared.transport.crash();
    }

    /// Aborts the remaining requests once the stop deadline has passed, counted from
    /// `stop_started`. Returns whether it has passed; false if no deadline is configured.
    fn abort_after_deadline(&self, stop_started: Time) -> bool {
        let deadline = self.shared.settings.stop_deadline_ms.map(Duration::from_millis);
        let is_overdue =
            deadline.is_some_and(|span| self.shared.clock.now().passed(stop_started, span));
        if is_overdue && !self.shared.aborting.swap(true, Ordering::AcqRel) {
            let in_flight = self.shared.in_flight.load(Ordering::Acquire);
            warn!(self.shared.telemetry.log, "stop deadline passed, aborting remaining requests";
                "cut_off" => in_flight);
        }
        is_overdue
    }

    /// Stops gracefully: reports not ready for the notice period, then rejects new requests, waits
    /// for those in flight, and leaves the membership.
    pub fn stop(self) {
        self.shared.leaving.store(true, Ordering::Release);
        thread::sleep(Duration::from_millis(self.shared.settings.notice_ms));
        self.shared.stopping.store(true, Ordering::Release);
        let stop_started = self.shared.clock.now();
        while self.shared.in_flight.load(Ordering::Acquire) > 0
            && !self.abort_after_deadline(stop_started)
        {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        self.shared.over.store(true, Ordering::Release);
        while !self.threads.iter().all(thread::JoinHandle::is_finished) {
            self.abort_after_deadline(stop_started);
            thread::sleep(STOP_POLL_INTERVAL);
        }
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).expect("thread can be created")
}

impl ControlNode for Shared {
    fn member(&self) -> Member {
        Shared::member(self)
    }

    fn make_request(&self, body: RequestBody) -> RequestMessage {
        Shared::make_request(self, body)
    }

    fn documents(&self) -> &Documents {
        &self.documents
    }

    fn transport(&self) -> &Transport {
        &self.transport
    }

    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    fn control(&self) -> &Control {
        &self.control
    }

    fn is_over(&self) -> bool {
        Shared::is_over(self)
    }
}

impl Operated for Shared {
    fn is_ready(&self) -> bool {
        let is_configured = self.documents.in_force().generation.0 > 0;
        !self.is_leaving() && is_configured && self.control.has_settled()
    }

    fn dump(&self) -> Value {
        json!({
            "program": "mastichaven-entry",
            "generation": self.documents.in_force().generation,
            "documents": self.documents.revisions(),
            "member": self.member(),
            "members": *self.members(),
            "relay_rank": self.control.relay_rank(),
            "traffic": {
                "sent": self.transport.traffic().sent,
                "received": self.transport.traffic().received,
            },
            "running": self.in_flight.load(Ordering::Acquire),
            "services": router::dump(self),
            "counts": self.telemetry.counts(),
            "uptime_ms": self.clock.now().as_millis(),
        })
    }

    fn send_gauges(&self) {
        let in_flight = u64::from(self.in_flight.load(Ordering::Acquire));
        self.telemetry.gauge(Gauge::Running, in_flight);
        self.telemetry.gauge(Gauge::Generation, self.documents.in_force().generation.0);
        let members = self.members().len() as u64;
        self.telemetry.gauge(Gauge::Members, members);
    }

    fn is_over(&self) -> bool {
        Shared::is_over(self)
    }
}
