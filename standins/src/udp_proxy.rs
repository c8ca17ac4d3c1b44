//! A forwarder to a process's UDP port that can fail as networks do: is_partitioned off in silence, is_partitioned off from
//! some peers, or with no memory of the connections that were open.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How often a thread looks whether the forwarder has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of a datagram at most.
const MAX_DATAGRAM_LEN: usize = 65_536;

/// Bytes of a QUIC connection id, as the project's processes choose it.
const CONNECTION_ID_LEN: usize = 8;

type ConnectionId = [u8; CONNECTION_ID_LEN];

#[derive(Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    is_partitioned: bool,
    partitioned_peers: HashSet<SocketAddr>,
    seen_connections: HashSet<ConnectionId>,
    blackholed_connections: HashSet<ConnectionId>,
    forwarded_bytes: u64,
}

impl State {
    /// Whether a datagram of `peer`, in either direction, gets through.
    fn should_forward(&mut self, peer: SocketAddr, datagram: &[u8]) -> bool {
        let Some(id) = parse_connection_id(datagram) else {
            return false;
        };
        self.seen_connections.insert(id);
        let forward = !self.is_partitioned
            && !self.partitioned_peers.contains(&peer)
            && !self.blackholed_connections.contains(&id);
        self.forwarded_bytes += if forward { datagram.len() as u64 } else { 0 };
        forward
    }
}

/// The connection that a QUIC datagram belongs to.
fn parse_connection_id(datagram: &[u8]) -> Option<ConnectionId> {
    const LONG_HEADER: u8 = 0x80;
    const LONG_HEADER_ID_OFFSET: usize = 6;
    let offset = if datagram.first()? & LONG_HEADER == 0 { 1 } else { LONG_HEADER_ID_OFFSET };
    datagram.get(offset..offset + CONNECTION_ID_LEN)?.try_into().ok()
}

/// A forwarder to one process. Peers use its address in place of the process's own.
#[derive(Debug)]
pub struct UdpProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
    }
}

impl UdpProxy {
    /// Opens a forwarder at a free port of `address`, such as `127.0.0.1:0`; it leads nowhere yet.
    pub fn open(address: &str) -> io::Result<UdpProxy> {
        let peer_socket = Arc::new(UdpSocket::bind(address)?);
        peer_socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let address = peer_socket.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let forwarder = Forwarder { peer_socket, state: state.clone(), stopped: stopped.clone() };
        thread::Builder::new().name("datagrams".to_owned()).spawn(move || forwarder.run())?;
        Ok(UdpProxy { address, state, stopped })
    }

    /// The address that peers use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that got through so far, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        lock(&self.state).forwarded_bytes
    }

    /// Leads to the process at `target` from now on.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Drops everything in silence while `is_partitioned`, as when the host has died.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        lock(&self.state).is_partitioned = is_partitioned;
    }

    /// Drops in silence what these peers send and what they would get, and nothing else.
    pub fn set_partitioned_peers(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.state).partitioned_peers = peers.into_iter().collect();
    }

    /// Forgets the connections that are open: they stay silent for good, while new ones work.
    pub fn blackhole_connections(&self) {
        let mut state = lock(&self.state);
        let seen_connections = std::mem::take(&mut state.seen_connections);
        state.blackholed_connections.extend(seen_connections);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}

#[derive(Clone)]
struct Forwarder {
    peer_socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

impl Forwarder {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn run(self) {
        let mut upstream_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; MAX_DATAGRAM_LEN];
        while !self.is_stopped() {
            let Ok((len, peer)) = self.peer_socket.recv_from(&mut buf) else {
                continue;
            };
            let target = {
                let mut state = lock(&self.state);
                if state.should_forward(peer, &buf[..len]) { state.target } else { None }
            };
            let Some(target) = target else {
                continue;
            };
            let upstream = match upstream_sockets.get(&peer) {
                Some(upstream) => upstream.clone(),
                None => match self.open_upstream(peer) {
                    Ok(upstream) => upstream_sockets.entry(peer).or_insert(upstream).clone(),
                    Err(_) => continue,
                },
            };
            let _ = upstream.send_to(&buf[..len], target);
        }
    }

    /// A socket that stands for `peer` towards the process, and the thread that takes its upstream_rx.
    fn open_upstream(&self, peer: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let upstream = Arc::new(UdpSocket::bind(SocketAddr::new(peer.ip(), 0))?);
        upstream.set_read_timeout(Some(POLL_INTERVAL))?;
        let (forwarder, upstream_rx) = (self.clone(), upstream.clone());
        thread::Builder::new().name("datagrams".to_owned()).spawn(move || {
            let mut buf = vec![0; MAX_DATAGRAM_LEN];
            while !forwarder.is_stopped() {
                let Ok(len) = upstream_rx.recv(&mut buf) else {
                    continue;
                };
                if lock(&forwarder.state).should_forward(peer, &buf[..len]) {
                    let _ = forwarder.peer_socket.send_to(&buf[..len], peer);
                }
            }
        })?;
        Ok(upstream)
    }
}
