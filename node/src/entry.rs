//! The entry: answers callers, routes their requests to agents, and shares in control.
//!
//! | thread | duty | file |
//! | --- | --- | --- |
//! | `callers` | speaks HTTP with callers, a task a request | `callers.rs`, `entry/requests.rs` |
//! | `asks` | answers what peers ask | `entry/asks.rs` |
//! | `control` | membership, and configuration and plans from peers | `control.rs` |
//! | `platform` | watches the platform while this entry is a relay | `platform_watch.rs` |
//! | `claims-N` | call the platform for idempotency keys and relayed calls | `entry/claims.rs` |
//! | `sweep` | deletes claims that have expired | `entry/sweep.rs` |
//! | `planner` | writes plans while this entry holds the lease | `entry/planner.rs` |

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

pub(crate) mod answer;
mod asks;
mod claims;
mod dispatch;
mod parse;
mod planner;
pub(crate) mod requests;
mod router;
mod suspects;
mod sweep;

/// Result of starting an entry.
pub type Result<T> = std::result::Result<T, Code>;

/// Asks waiting for the `asks` thread; more are refused as busy.
const ASK_RING: usize = 256;

/// How often a stop looks whether all requests have ended.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What the threads of an entry share.
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
    /// What callers still read is cut off: after a crash, or at the stop deadline.
    cut_off: AtomicBool,
    pub(crate) running: AtomicU32,
    serial: AtomicU64,
    claims: claims::Handle,
    router: router::Router,
    suspects: suspects::Suspects,
}

impl Shared {
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Acquire)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    pub(crate) fn ask(&self, body: RequestBody) -> RequestMessage {
        let from = Sender {
            host: self.settings.place.host.clone(),
            incarnation: self.incarnation,
            generation: self.documents.in_force().generation,
        };
        RequestMessage { from, body }
    }

    /// Names a new attempt of this life.
    fn next_request(&self) -> RequestId {
        RequestId::new(self.incarnation, self.serial.fetch_add(1, Ordering::Relaxed) + 1)
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

    /// Everybody who is thought alive.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.control.members()
    }

    /// Whether it is about to stop: the balancer is told, but requests are still answered.
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
    /// Binds its ports and starts its threads.
    pub fn start(
        settings: EntrySettings,
        material: &Material,
        telemetry: Telemetry,
        incarnation: Incarnation,
    ) -> Result<Entry> {
        let (tx, rx) = flume::bounded(ASK_RING);
        let (claim_jobs, claim_rx) = flume::bounded(claims::JOB_RING);
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
            cut_off: AtomicBool::new(false),
            running: AtomicU32::new(0),
            serial: AtomicU64::new(0),
            claims: claims::Handle::new(claim_jobs),
            router: router::Router::default(),
            suspects: suspects::Suspects::default(),
        });
        let operators = operator::start(operators, shared.clone())?;
        let callers::Port { bound: callers, thread: port } =
            callers::start(callers, shared.clone())?;
        let asks = shared.clone();
        let planner = shared.clone();
        let sweeping = shared.clone();
        let mut threads = vec![
            spawn("asks", move || asks::serve(&asks, &rx)),
            control::start(&shared),
            platform_watch::start(&shared, Arc::new(shared.platform.clone())),
            spawn("sweep", move || sweep::run(&sweeping)),
            spawn("planner", move || planner::run(&planner)),
            port,
        ];
        for n in 0..claims::THREADS {
            let (shared, jobs) = (shared.clone(), claim_rx.clone());
            threads.push(spawn(&format!("claims-{n}"), move || claims::run(&shared, &jobs)));
        }
        info!(
            shared.telemetry.log, "started";
            "callers" => callers,
            "peers" => shared.transport.local_addr(),
            "operators" => operators,
        );
        Ok(Entry { shared, threads, callers, operators })
    }

    /// Where callers reach it.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers
    }

    /// Where peers reach it.
    pub fn peers_addr(&self) -> SocketAddr {
        self.shared.transport.local_addr()
    }

    /// Where operators reach it.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators
    }

    /// Writes the whole state to the log.
    pub fn log_dump(&self) {
        let state = self.shared.dump().to_string();
        info!(self.shared.telemetry.log, "state"; "dump" => state);
    }

    /// Ends at once and without a goodbye, as a crash does; for tests of what others make of it.
    pub fn crash(self) {
        self.shared.cut_off.store(true, Ordering::Release);
        self.shared.over.store(true, Ordering::Release);
        self.shared.transport.crash();
    }

    /// Cuts off what is left once the stop deadline, if there is one, has passed since `begun`.
    fn cut_off_after(&self, begun: Time) -> bool {
        let deadline = self.shared.settings.stop_deadline_ms.map(Duration::from_millis);
        let is_over = deadline.is_some_and(|span| self.shared.clock.now().passed(begun, span));
        if is_over && !self.shared.cut_off.swap(true, Ordering::AcqRel) {
            let running = self.shared.running.load(Ordering::Acquire);
            warn!(self.shared.telemetry.log, "stop deadline"; "cut_off" => running);
        }
        is_over
    }

    /// Stops gracefully: not ready, takes nothing new, finishes every request in progress, leaves.
    pub fn stop(self) {
        self.shared.leaving.store(true, Ordering::Release);
        thread::sleep(Duration::from_millis(self.shared.settings.notice_ms));
        self.shared.stopping.store(true, Ordering::Release);
        let begun = self.shared.clock.now();
        while self.shared.running.load(Ordering::Acquire) > 0 && !self.cut_off_after(begun) {
            thread::sleep(STOP_POLL);
        }
        self.shared.over.store(true, Ordering::Release);
        while !self.threads.iter().all(thread::JoinHandle::is_finished) {
            self.cut_off_after(begun);
            thread::sleep(STOP_POLL);
        }
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).expect("the system gives a thread")
}

impl ControlNode for Shared {
    fn member(&self) -> Member {
        Shared::member(self)
    }

    fn make_request(&self, body: RequestBody) -> RequestMessage {
        Shared::ask(self, body)
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
            "running": self.running.load(Ordering::Acquire),
            "services": router::dump(self),
            "counts": self.telemetry.counts(),
            "uptime_ms": self.clock.now().as_millis(),
        })
    }

    fn send_gauges(&self) {
        let running = u64::from(self.running.load(Ordering::Acquire));
        self.telemetry.gauge(Gauge::Running, running);
        self.telemetry.gauge(Gauge::Generation, self.documents.in_force().generation.0);
        let members = self.members().len() as u64;
        self.telemetry.gauge(Gauge::Members, members);
    }

    fn is_over(&self) -> bool {
        Shared::is_over(self)
    }
}
