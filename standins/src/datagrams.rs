//! A way to a process's UDP port that can fail as networks do: cut off in silence, cut off from
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

/// How often a thread looks whether the way has been dropped.
const POLL: Duration = Duration::from_millis(100);

/// Bytes of a datagram at most.
const MAX_LEN: usize = 65_536;

/// Bytes of a QUIC connection id, as the project's processes choose it.
const ID_LEN: usize = 8;

type ConnectionId = [u8; ID_LEN];

#[derive(Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    cut: bool,
    cut_peers: HashSet<SocketAddr>,
    seen: HashSet<ConnectionId>,
    forgotten: HashSet<ConnectionId>,
    passed: u64,
}

impl State {
    /// Whether a datagram of `peer`, in either direction, gets through.
    fn passes(&mut self, peer: SocketAddr, datagram: &[u8]) -> bool {
        let Some(id) = scan_id(datagram) else {
            return false;
        };
        self.seen.insert(id);
        let passes = !self.cut && !self.cut_peers.contains(&peer) && !self.forgotten.contains(&id);
        self.passed += if passes { datagram.len() as u64 } else { 0 };
        passes
    }
}

/// The connection that a QUIC datagram belongs to.
fn scan_id(datagram: &[u8]) -> Option<ConnectionId> {
    const LONG_HEADER: u8 = 0x80;
    const LONG_ID_AT: usize = 6;
    let at = if datagram.first()? & LONG_HEADER == 0 { 1 } else { LONG_ID_AT };
    datagram.get(at..at + ID_LEN)?.try_into().ok()
}

/// A way to one process. Peers use its address in place of the process's own.
#[derive(Debug)]
pub struct DatagramDoor {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
}

impl Drop for DatagramDoor {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

impl DatagramDoor {
    /// Opens a way at a free port of `address`, such as `127.0.0.1:0`; it leads nowhere yet.
    pub fn open(address: &str) -> io::Result<DatagramDoor> {
        let front = Arc::new(UdpSocket::bind(address)?);
        front.set_read_timeout(Some(POLL))?;
        let address = front.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let over = Arc::new(AtomicBool::new(false));
        let way = Way { front, state: state.clone(), over: over.clone() };
        thread::Builder::new().name("datagrams".to_owned()).spawn(move || way.run())?;
        Ok(DatagramDoor { address, state, over })
    }

    /// The address that peers use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that got through so far, in both directions.
    pub fn passed(&self) -> u64 {
        lock(&self.state).passed
    }

    /// Leads to the process at `target` from now on.
    pub fn lead_to(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Drops everything in silence while `cut`, as when the host has died.
    pub fn set_cut(&self, cut: bool) {
        lock(&self.state).cut = cut;
    }

    /// Drops in silence what these peers send and what they would get, and nothing else.
    pub fn set_cut_peers(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.state).cut_peers = peers.into_iter().collect();
    }

    /// Forgets the connections that are open: they stay silent for good, while new ones work.
    pub fn forget_connections(&self) {
        let mut state = lock(&self.state);
        let seen = std::mem::take(&mut state.seen);
        state.forgotten.extend(seen);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}

#[derive(Clone)]
struct Way {
    front: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
}

impl Way {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }

    fn run(self) {
        let mut backs: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; MAX_LEN];
        while !self.is_over() {
            let Ok((len, peer)) = self.front.recv_from(&mut buf) else {
                continue;
            };
            let target = {
                let mut state = lock(&self.state);
                if state.passes(peer, &buf[..len]) { state.target } else { None }
            };
            let Some(target) = target else {
                continue;
            };
            let back = match backs.get(&peer) {
                Some(back) => back.clone(),
                None => match self.open_back(peer) {
                    Ok(back) => backs.entry(peer).or_insert(back).clone(),
                    Err(_) => continue,
                },
            };
            let _ = back.send_to(&buf[..len], target);
        }
    }

    /// A socket that stands for `peer` towards the process, and the thread that takes its answers.
    fn open_back(&self, peer: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let back = Arc::new(UdpSocket::bind(SocketAddr::new(peer.ip(), 0))?);
        back.set_read_timeout(Some(POLL))?;
        let (way, answers) = (self.clone(), back.clone());
        thread::Builder::new().name("datagrams".to_owned()).spawn(move || {
            let mut buf = vec![0; MAX_LEN];
            while !way.is_over() {
                let Ok(len) = answers.recv(&mut buf) else {
                    continue;
                };
                if lock(&way.state).passes(peer, &buf[..len]) {
                    let _ = way.front.send_to(&buf[..len], peer);
                }
            }
        })?;
        Ok(back)
    }
}
