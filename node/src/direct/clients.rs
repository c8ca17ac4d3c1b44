//! The clients of a listener, within what [`ClientBudget`] allows.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use mastichaven_core::Time;
use mastichaven_core::direct::client_budget;
use mastichaven_core::direct::client_budget::CALL_LEN;
use mastichaven_core::direct::client_budget::ClientBudget;
use mastichaven_core::direct::client_budget::ClientKey;
use mastichaven_core::direct::client_budget::ClientLimits;
use mastichaven_core::direct::client_budget::ClientPhase;
use mastichaven_core::direct::client_budget::Exhausted;
use slog::Logger;
use tokio::sync::Notify;

use super::metrics::Metrics;
use super::request_body::RequestBody;
use super::request_body::SegmentedBuf;
use crate::clock::BootClock;

/// Bytes of a head that a connection holds without a charge.
const UNCHARGED_HEAD_LEN: usize = 4 << 10;

/// Length from which on a body gets a larger receive window, and the length of that window, in bytes. The window is
/// charged together with the body.
const LONG_BODY_LEN: usize = 64 << 10;
const LONG_BODY_WINDOW: usize = 64 << 10;

/// Minimum interval between log lines on evictions and refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a claim.
pub type Result<T> = client_budget::Result<T>;

/// Clients of one listener.
#[derive(Debug)]
pub struct Clients {
    name: &'static str,
    clock: BootClock,
    log: Logger,
    metrics: Rc<Metrics>,
    budget: RefCell<ClientBudget>,
    connections: RefCell<HashMap<ClientKey, Weak<Client>>>,
    /// When evictions and refusals were logged last, and how many there have been since.
    last_logged: Cell<Option<Time>>,
    unlogged: Cell<u64>,
}

impl Clients {
    /// No clients of the listener `name`.
    pub fn new(
        name: &'static str,
        limits: ClientLimits,
        clock: BootClock,
        log: Logger,
        metrics: Rc<Metrics>,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            name,
            clock,
            log,
            metrics,
            budget: RefCell::new(ClientBudget::new(limits)),
            connections: RefCell::default(),
            last_logged: Cell::new(None),
            unlogged: Cell::new(0),
        })
    }

    /// What they may claim.
    pub fn limits(&self) -> ClientLimits {
        self.budget.borrow().limits()
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.budget.borrow().connections()
    }

    /// Bytes that they have claimed.
    pub fn used(&self) -> usize {
        self.budget.borrow().used()
    }

    /// Adds a connection. If there are too many, closes one that is idle or whose request does not go on.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many and each has a request in progress.
    pub fn open(self: &Rc<Clients>) -> Result<Rc<Client>> {
        let now = self.clock.now();
        let victim = self.budget.borrow().make_room(now);
        if let Some(key) = victim.inspect_err(|_| self.record("callers_over_limit", now))? {
            self.record("clients_evicted", now);
            let victim = self.connections.borrow().get(&key).and_then(Weak::upgrade);
            // Its slot is taken over at once, while its task has yet to close it.
            self.budget.borrow_mut().close(key);
            if let Some(victim) = victim {
                victim.evict(Eviction::Connection);
            }
        }
        let key = self.budget.borrow_mut().open(now);
        let client = Rc::new(Client {
            clients: self.clone(),
            key,
            phase: Cell::new(ClientPhase::Idle),
            max_head_len: Cell::new(0),
            received_len: Cell::new(0),
            head_charge: RefCell::default(),
            call_charge: RefCell::default(),
            upload: RefCell::default(),
            window_charge: RefCell::default(),
            receive_window: Cell::new(None),
            has_unread_body: Cell::new(false),
            eviction: Cell::new(None),
            evicted: Notify::new(),
        });
        self.connections.borrow_mut().insert(key, Rc::downgrade(&client));
        Ok(client)
    }

    fn claim(self: &Rc<Clients>, key: ClientKey, len: usize) -> Result<Charge> {
        let now = self.clock.now();
        let victims = self.budget.borrow_mut().claim(key, len, now);
        for victim in victims.inspect_err(|_| self.record("client_memory_refused", now))? {
            self.record("client_memory_evicted", now);
            let victim = self.connections.borrow().get(&victim).and_then(Weak::upgrade);
            if let Some(victim) = victim {
                victim.evict(Eviction::Request);
            }
        }
        Ok(Charge { clients: self.clone(), key, len })
    }

    /// Counts an eviction or a refusal, and logs them from time to time.
    fn record(&self, counter: &'static str, now: Time) {
        self.metrics.count(counter);
        let count = self.unlogged.get() + 1;
        self.unlogged.set(count);
        if self.last_logged.get().is_some_and(|logged| !now.passed(logged, LOG_INTERVAL)) {
            return;
        }
        self.last_logged.set(Some(now));
        self.unlogged.set(0);
        slog::warn!(self.log, "limits of clients reached"; "listener" => self.name,
            "last" => counter, "count" => count, "connections" => self.connections(),
            "used_bytes" => self.used());
    }
}

/// Bytes charged to a client until it is dropped.
#[derive(Debug)]
pub(super) struct Charge {
    clients: Rc<Clients>,
    key: ClientKey,
    len: usize,
}

impl Charge {
    fn absorb(&mut self, mut other: Charge) {
        self.len += std::mem::take(&mut other.len);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.clients.budget.borrow_mut().release(self.key, self.len);
    }
}

/// What a client must give up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Eviction {
    /// Its incomplete request.
    Request,
    /// Its connection.
    Connection,
}

/// A body that arrives, with what is charged for it.
#[derive(Debug, Default)]
struct Upload {
    buf: SegmentedBuf,
    charge: Option<Charge>,
}

impl Upload {
    fn add_segment(&mut self, len: usize, charge: Charge) {
        self.buf.add_segment(len);
        match &mut self.charge {
            Some(charged) => charged.absorb(charge),
            None => self.charge = Some(charge),
        }
    }
}

/// A connection of a client.
#[derive(Debug)]
pub struct Client {
    clients: Rc<Clients>,
    key: ClientKey,
    phase: Cell<ClientPhase>,
    /// Length that a head may have.
    max_head_len: Cell<usize>,
    /// Bytes received since the phase began. During a call they belong to the next request.
    received_len: Cell<usize>,
    head_charge: RefCell<Option<Charge>>,
    call_charge: RefCell<Option<Charge>>,
    upload: RefCell<Upload>,
    /// What is charged for the larger receive window, until the connection is closed.
    window_charge: RefCell<Option<Charge>>,
    /// A receive window that is due to be set on the socket.
    receive_window: Cell<Option<usize>>,
    /// Whether the last request was answered before its body was read.
    pub(super) has_unread_body: Cell<bool>,
    eviction: Cell<Option<Eviction>>,
    evicted: Notify,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.clients.connections.borrow_mut().remove(&self.key);
        self.clients.budget.borrow_mut().close(self.key);
    }
}

impl Client {
    /// What the client is doing.
    pub(super) fn phase(&self) -> ClientPhase {
        self.phase.get()
    }

    /// Length that a head may have on this connection, in bytes.
    pub(super) fn max_head_len(&self) -> usize {
        self.max_head_len.get()
    }

    /// Sets the length that a head may have, in bytes.
    pub(super) fn set_max_head_len(&self, max_head_len: usize) {
        self.max_head_len.set(max_head_len);
    }

    fn set_phase(&self, phase: ClientPhase) {
        self.phase.set(phase);
        self.received_len.set(0);
        self.clients.budget.borrow_mut().set_phase(self.key, phase, self.clients.clock.now());
    }

    /// Records `len` bytes that were received.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for the head that they belong to.
    pub(super) fn record_received(&self, len: usize) -> Result<()> {
        if self.phase.get() == ClientPhase::Idle {
            self.set_phase(ClientPhase::Head);
        }
        self.received_len.set(self.received_len.get() + len);
        self.clients.budget.borrow_mut().record_received(self.key, self.clients.clock.now());
        let is_head = self.phase.get() == ClientPhase::Head;
        let is_long = is_head && self.received_len.get() > UNCHARGED_HEAD_LEN;
        if is_long && self.head_charge.borrow().is_none() {
            let charge = self.clients.claim(self.key, self.max_head_len.get())?;
            self.head_charge.replace(Some(charge));
        }
        Ok(())
    }

    /// Records that a head is complete and the body follows.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for another request.
    pub(super) fn begin_request(&self) -> Result<()> {
        self.has_unread_body.set(false);
        self.set_phase(ClientPhase::Body);
        let charge = self.clients.claim(self.key, CALL_LEN)?;
        self.call_charge.replace(Some(charge));
        Ok(())
    }

    /// Adds bytes to the body of the request, after which `expected` more are declared to follow.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has been evicted or there is no memory for it.
    pub(super) fn append(&self, mut bytes: Bytes, expected: Option<usize>) -> Result<()> {
        loop {
            if self.is_evicted() {
                return Err(Exhausted);
            }
            let mut upload = self.upload.borrow_mut();
            upload.buf.append(&mut bytes);
            if bytes.is_empty() {
                return Ok(());
            }
            let missing = expected.map(|expected| expected + bytes.len());
            let segment_len = upload.buf.next_segment_len(missing);
            let is_long = upload.buf.len() >= LONG_BODY_LEN;
            drop(upload);
            if is_long {
                self.widen_receive_window()?;
            }
            let charge = self.clients.claim(self.key, segment_len)?;
            self.upload.borrow_mut().add_segment(segment_len, charge);
        }
    }

    /// Lets more bytes of a long body arrive while earlier ones are read.
    fn widen_receive_window(&self) -> Result<()> {
        if self.window_charge.borrow().is_none() {
            let charge = self.clients.claim(self.key, LONG_BODY_WINDOW)?;
            self.window_charge.replace(Some(charge));
            self.receive_window.set(Some(LONG_BODY_WINDOW));
        }
        Ok(())
    }

    /// A receive window that must be set on the socket now.
    pub(super) fn take_receive_window(&self) -> Option<usize> {
        self.receive_window.take()
    }

    /// Logs that the window could not be set, so that the body arrives more slowly.
    pub(super) fn log_window_error(&self, e: &io::Error) {
        slog::warn!(self.clients.log, "receive window not widened"; "error" => e.to_string());
    }

    /// Records that the request is complete. Returns its body.
    pub(super) fn finish_body(&self) -> RequestBody {
        self.set_phase(ClientPhase::Call);
        let Upload { buf, charge } = self.upload.take();
        buf.finish(charge)
    }

    /// Records that the request is answered though a part of its body has not been read.
    pub(super) fn leave_body_unread(&self) {
        self.has_unread_body.set(true);
        self.upload.take();
        self.set_phase(ClientPhase::Closing);
    }

    /// Records that the response is complete.
    pub(super) fn end_request(&self) {
        self.call_charge.take();
        self.head_charge.take();
        if self.has_unread_body.get() {
            return;
        }
        let is_next_begun = self.received_len.get() > 0;
        self.set_phase(if is_next_begun { ClientPhase::Head } else { ClientPhase::Idle });
    }

    /// Whether bytes that the client is still sending must be read and discarded before its connection is closed, so
    /// that it can read the response.
    pub(super) fn must_discard(&self) -> bool {
        self.has_unread_body.get() || self.phase.get() == ClientPhase::Head
    }

    /// Whether its request has been evicted.
    pub(super) fn is_evicted(&self) -> bool {
        self.eviction.get().is_some()
    }

    /// Waits until the request or the connection is evicted.
    pub(super) async fn evicted(&self) {
        while self.eviction.get().is_none() {
            self.evicted.notified().await;
        }
    }

    /// Waits until the connection is evicted.
    pub(super) async fn connection_evicted(&self) {
        while self.eviction.get() != Some(Eviction::Connection) {
            self.evicted.notified().await;
        }
    }

    /// Releases what the client has claimed and tells its tasks, which run later.
    fn evict(&self, eviction: Eviction) {
        self.upload.take();
        self.head_charge.take();
        // Only a request whose head has been read can be answered.
        let is_answered = eviction == Eviction::Request && self.phase.get() == ClientPhase::Body;
        if !is_answered {
            self.call_charge.take();
            self.window_charge.take();
        }
        let eviction = if is_answered { Eviction::Request } else { Eviction::Connection };
        self.eviction.set(Some(eviction));
        self.evicted.notify_waiters();
    }
}
