//! Bounds what the clients of a process may claim together: connections, and the memory of requests.
//!
//! Memory is set aside for each connection. Whatever a request makes the process hold beyond it is charged to its
//! connection: its head and body, and a share for forwarding it. A claim that does not fit evicts connections
//! whose requests are incomplete, so that clients that stop in mid-request cannot keep others out. Complete requests
//! are never evicted, as they may have run.

use std::time::Duration;

use crate::arena::Arena;
use crate::arena::Key;
use crate::time::Time;

/// Share of the memory of a process that its clients may claim. The rest is for configurations, chunks of weights,
/// answers that are read ahead, connections to endpoints and unread bytes on sockets.
const CLIENT_MEMORY_FRACTION: f64 = 0.4;

/// Share of the clients' memory that requests longer than [`SMALL_REQUEST_LEN`] may fill.
const LARGE_REQUEST_FRACTION: f64 = 0.75;

/// Share of the clients' memory that connections without a request may fill.
const CONNECTION_FRACTION: f64 = 0.5;

/// Bytes up to which a request may use the whole memory of the clients.
const SMALL_REQUEST_LEN: usize = 64 << 10;

/// Bytes set aside for a connection: its buffers and tasks.
pub const CONNECTION_LEN: usize = 12 << 10;

/// Bytes charged for a request in progress, beyond its head and body.
pub const CALL_LEN: usize = 12 << 10;

/// Descriptors that are not available for connections: files, and connections to the store and the origin.
const RESERVED_DESCRIPTORS: usize = 240;

/// Share of the other descriptors for connections of other entries and agents, and the most that they need.
const PEER_DESCRIPTOR_FRACTION: f64 = 0.2;
const MAX_PEERS: usize = 512;

/// Descriptors that a connection of a caller may need: its own, and one to an endpoint for its request.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// Maximum number of connections for readiness checks, metrics and state dumps, for each listener.
pub const MAX_STATUS_CONNECTIONS: usize = 32;

/// Listeners for readiness checks, metrics and state dumps.
const STATUS_LISTENERS: usize = 2;

/// Time without a byte after which a request counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Share of the memory of a process for bytes that wait on the sockets of its clients, the share with the smallest
/// window for each, and the bytes for each.
const UNREAD_FRACTION: f64 = 1.0 / 16.0;
const MAX_UNREAD_FRACTION: f64 = 1.0 / 8.0;
const MIN_RECEIVE_WINDOW: usize = 8 << 10;
const MAX_RECEIVE_WINDOW: usize = 64 << 10;

/// What the clients of one listener may claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Open connections.
    pub connections: usize,
    /// Memory for requests, in bytes, beside that for as many connections.
    pub memory: usize,
    /// Bytes that may wait unread on the socket of each connection.
    pub receive_window: usize,
}

impl ClientLimits {
    /// Limits of the callers of a process that may use `memory` bytes and `descriptors`. `client_memory` replaces the
    /// usual share of the memory.
    pub fn of_callers(
        memory: usize,
        descriptors: usize,
        client_memory: Option<usize>,
    ) -> ClientLimits {
        let share = || (memory as f64 * CLIENT_MEMORY_FRACTION) as usize;
        let client_memory = client_memory.unwrap_or_else(share);
        let others = STATUS_LISTENERS * MAX_STATUS_CONNECTIONS + max_peers(descriptors);
        let available = available_descriptors(descriptors).saturating_sub(others);
        let in_memory = (client_memory as f64 * CONNECTION_FRACTION) as usize / CONNECTION_LEN;
        let in_windows = (memory as f64 * MAX_UNREAD_FRACTION) as usize / MIN_RECEIVE_WINDOW;
        let connections =
            (available / DESCRIPTORS_PER_CALLER).min(in_memory).min(in_windows).max(1);
        let unread = (memory as f64 * UNREAD_FRACTION) as usize / connections;
        let receive_window = unread.clamp(MIN_RECEIVE_WINDOW, MAX_RECEIVE_WINDOW);
        let memory = client_memory.saturating_sub(connections * CONNECTION_LEN);
        ClientLimits { connections, memory, receive_window }
    }

    /// Limits of a listener for readiness checks, metrics and state dumps.
    pub fn of_status() -> ClientLimits {
        let memory = MAX_STATUS_CONNECTIONS * (CALL_LEN + SMALL_REQUEST_LEN);
        let receive_window = MIN_RECEIVE_WINDOW;
        ClientLimits { connections: MAX_STATUS_CONNECTIONS, memory, receive_window }
    }

    /// The longest request that is accepted while there is no other client.
    pub fn max_request_len(&self) -> usize {
        self.large_memory().saturating_sub(CALL_LEN)
    }

    fn large_memory(&self) -> usize {
        (self.memory as f64 * LARGE_REQUEST_FRACTION) as usize
    }
}

/// Maximum number of connections of other entries and agents to a process that may use `descriptors`.
pub fn max_peers(descriptors: usize) -> usize {
    let share = available_descriptors(descriptors) as f64 * PEER_DESCRIPTOR_FRACTION;
    (share as usize).clamp(1, MAX_PEERS)
}

fn available_descriptors(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}

/// What a client is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientPhase {
    /// It sends nothing; the next byte begins a request.
    Idle,
    /// It sends the head of a request.
    Head,
    /// It sends the body of a request.
    Body,
    /// Its request is complete and the response is not.
    Call,
    /// Its request is answered though incomplete, and the rest is discarded.
    Closing,
}

/// A connection of a client.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    phase: ClientPhase,
    /// Bytes charged.
    charged: usize,
    /// When it connected, sent its last byte or received its last response.
    active_at: Time,
    /// Whether it has sent a complete request before.
    has_called: bool,
}

impl Client {
    fn is_evictable(&self) -> bool {
        self.phase != ClientPhase::Call
    }

    fn is_stalled(&self, now: Time) -> bool {
        self.is_evictable() && now.passed(self.active_at, STALL_TIME)
    }
}

/// Key of a connection.
pub type ClientKey = Key<Client>;

/// The claim does not fit, and there is nothing to evict for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

/// Result of a claim.
pub type Result<T> = std::result::Result<T, Exhausted>;

/// What the clients of one listener have claimed.
///
/// The owner of the connections must close those that a claim evicts, and release what is charged to them before it
/// uses what it has claimed.
#[derive(Debug)]
pub struct ClientBudget {
    limits: ClientLimits,
    clients: Arena<Client>,
    /// Bytes charged to all of them.
    used: usize,
}

impl ClientBudget {
    /// A budget of which nothing is claimed.
    pub fn new(limits: ClientLimits) -> ClientBudget {
        ClientBudget { limits, clients: Arena::new(), used: 0 }
    }

    /// The limits.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.clients.len()
    }

    /// Bytes claimed.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Selects the connection to close for a new one; `None` if there is room.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room and no connection may be evicted.
    pub fn make_room(&self, now: Time) -> Result<Option<ClientKey>> {
        if self.clients.len() < self.limits.connections {
            return Ok(None);
        }
        let is_candidate = |client: &Client| match client.phase {
            ClientPhase::Idle | ClientPhase::Closing => true,
            ClientPhase::Head => !client.has_called || client.is_stalled(now),
            ClientPhase::Body => client.is_stalled(now),
            ClientPhase::Call => false,
        };
        // Clients that have sent no request yet go before those between two requests.
        let rank = |client: &Client| {
            (client.phase != ClientPhase::Closing, client.has_called, client.active_at)
        };
        let candidates = self.clients.iter().filter(|(_, client)| is_candidate(client));
        let evicted = candidates.min_by_key(|(_, client)| rank(client));
        evicted.map(|(key, _)| Some(key)).ok_or(Exhausted)
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Time) -> ClientKey {
        let phase = ClientPhase::Idle;
        self.clients.insert(Client { phase, charged: 0, active_at: now, has_called: false })
    }

    /// Removes a connection. What its request holds stays charged until it is released.
    pub fn close(&mut self, key: ClientKey) {
        self.clients.remove(key);
    }

    /// Records what a client does from `now` on.
    pub fn set_phase(&mut self, key: ClientKey, phase: ClientPhase, now: Time) {
        if let Some(client) = self.clients.get_mut(key) {
            client.has_called |= phase == ClientPhase::Call;
            client.phase = phase;
            client.active_at = now;
        }
    }

    /// Records that bytes of a client have arrived.
    pub fn record_received(&mut self, key: ClientKey, now: Time) {
        if let Some(client) = self.clients.get_mut(key) {
            client.active_at = now;
        }
    }

    /// Charges `len` bytes to a client. Returns the connections that must be closed for it.
    ///
    /// Stalled requests are evicted first, the largest of them before the others, then requests that hold more than
    /// this one would. So clients that send large bodies compete among themselves, and a small request displaces a
    /// large one that is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error, and charges nothing, if the bytes do not fit even so.
    pub fn claim(&mut self, key: ClientKey, len: usize, now: Time) -> Result<Vec<ClientKey>> {
        let held = self.clients.get(key).ok_or(Exhausted)?.charged;
        let is_large = held + len > SMALL_REQUEST_LEN + CALL_LEN;
        let limit = if is_large { self.limits.large_memory() } else { self.limits.memory };
        let excess = (self.used + len).saturating_sub(limit);
        let evicted =
            if excess == 0 { Vec::new() } else { self.victims(key, held + len, excess, now)? };
        if let Some(client) = self.clients.get_mut(key) {
            client.charged += len;
        }
        self.used += len;
        Ok(evicted)
    }

    /// Releases `len` bytes that were charged to a client, whose connection may have been closed since.
    pub fn release(&mut self, key: ClientKey, len: usize) {
        if let Some(client) = self.clients.get_mut(key) {
            client.charged = client.charged.saturating_sub(len);
        }
        self.used = self.used.saturating_sub(len);
    }

    /// Selects connections other than `claimant` that hold `excess` bytes in total.
    fn victims(
        &self,
        claimant: ClientKey,
        held: usize,
        excess: usize,
        now: Time,
    ) -> Result<Vec<ClientKey>> {
        let is_candidate = |key: ClientKey, client: &Client| {
            let is_larger = client.is_evictable() && client.charged > held;
            key != claimant && client.charged > 0 && (client.is_stalled(now) || is_larger)
        };
        let candidates = self.clients.iter().filter(|(key, client)| is_candidate(*key, client));
        let mut candidates: Vec<(ClientKey, &Client)> = candidates.collect();
        candidates.sort_unstable_by_key(|(_, client)| {
            (!client.is_stalled(now), std::cmp::Reverse(client.charged))
        });
        let mut victims = Vec::new();
        let mut freed = 0;
        for (key, client) in candidates {
            if freed >= excess {
                break;
            }
            freed += client.charged;
            victims.push(key);
        }
        if freed >= excess { Ok(victims) } else { Err(Exhausted) }
    }
}
