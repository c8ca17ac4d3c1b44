//! A UDP proxy in front of a process that injects network faults: a partition from all peers or
//! from some of them, or the loss of all open connections.

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

/// Interval at which a thread checks whether the proxy has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Upper limit of a datagram in bytes.
const MAX_DATAGRAM_LEN: usize = 65_536;

/// Length of the QUIC connection ids that the project's processes choose.
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
    /// Whether to forward a datagram from or to `peer`. Counts its bytes if so.
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

/// Parses the destination connection id of a QUIC datagram.
fn parse_connection_id(datagram: &[u8]) -> Option<ConnectionId> {
    const LONG_HEADER: u8 = 0x80;
    const LONG_HEADER_ID_OFFSET: usize = 6;
    let offset = if datagram.first()? & LONG_HEADER == 0 { 1 } else { LONG_HEADER_ID_OFFSET };
    datagram.get(offset..offset + CONNECTION_ID_LEN)?.try_into().ok()
}

/// A proxy for one process; peers use its address in place of the process's own. Dropping it stops
/// it.
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
    /// Opens a proxy on `address`, such as `127.0.0.1:0` for a free port. Datagrams are dropped
    /// until a target is set.
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

    /// Address that peers use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of bytes forwarded so far in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        lock(&self.state).forwarded_bytes
    }

    /// Forwards later datagrams to the process at `target`.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Silently drops all datagrams while `is_partitioned`, as if the host had died.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        lock(&self.state).is_partitioned = is_partitioned;
    }

    /// Silently drops the datagrams from and to `peers` and forwards all others.
    pub fn set_partitioned_peers(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.state).partitioned_peers = peers.into_iter().collect();
    }

    /// Silently drops all later datagrams of the connections that are open now; new connections
    /// work.
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

    /// Opens the socket that represents `peer` towards the process, and starts the thread that
    /// forwards the process's datagrams to `peer`.
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
