//! The transport thread: QUIC connections to and from the other processes.
//!
//! One thread runs quinn on a current-thread runtime. Other threads hand it asks over a bounded
//! ring and get replies over a ring of their own; incoming asks go to the ring given at start.
//! A full incoming ring refuses the ask with [`Code::Busy`] instead of growing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::wire;
use mastichaven_core::wire::Reply;
use mastichaven_core::wire::ReplyBody;
use mastichaven_core::wire::RequestBody;
use mastichaven_core::wire::RequestMessage;
use quinn::Connection;
use quinn::Endpoint;
use quinn::RecvStream;
use quinn::SendStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use self::silence::Asks;
use self::silence::Outstanding;
use crate::tls::Identity;
use crate::tls::Material;
use crate::tls::PEER_NAME;
use crate::tls::Role;
use crate::tls::control_transport_config;
use crate::tls::scan_identity;

mod silence;

/// Result of the transport.
pub type Result<T> = std::result::Result<T, Code>;

/// Asks waiting for the transport thread.
const JOB_RING: usize = 1_024;

/// Replies waiting for the asking thread, per ask.
const REPLY_RING: usize = 64;

/// How long connecting may take before the peer counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a peer may take to send its ask after it opened a stream.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);

/// An ask that arrived, and where its replies go.
pub struct Incoming {
    /// Who asks, by certificate.
    pub peer: Identity,
    /// What it asks.
    pub request: RequestMessage,
    /// Where replies go; dropping it ends the stream.
    pub replies: ReplySink,
}

/// Takes the replies to one ask.
#[derive(Clone)]
pub struct ReplySink {
    tx: flume::Sender<Reply>,
    cancelled: Arc<Cancelled>,
}

/// Whether the asker has left, and who waits to hear of it.
#[derive(Debug, Default)]
struct Cancelled {
    is_set: AtomicBool,
    set: Notify,
}

impl Cancelled {
    fn set(&self) {
        self.is_set.store(true, Ordering::Release);
        self.set.notify_waiters();
    }
}

impl ReplySink {
    /// A sink outside the transport, for tests and in-process callers.
    pub fn pair() -> (ReplySink, flume::Receiver<Reply>) {
        let (tx, rx) = flume::bounded(REPLY_RING);
        (ReplySink { tx, cancelled: Arc::default() }, rx)
    }

    /// Sends one reply, blocking while the ring is full. Fails when the asker has left.
    pub fn send(&self, reply: Reply) -> Result<()> {
        if self.is_cancelled() {
            return Err(Code::CallerLeft);
        }
        self.tx.send(reply).map_err(|_| Code::CallerLeft)
    }

    /// Like [`ReplySink::send`], for tasks.
    pub async fn send_async(&self, reply: Reply) -> Result<()> {
        if self.is_cancelled() {
            return Err(Code::CallerLeft);
        }
        self.tx.send_async(reply).await.map_err(|_| Code::CallerLeft)
    }

    /// Whether the asker has left.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_set.load(Ordering::Acquire) || self.tx.is_disconnected()
    }

    /// Ends when the asker has left.
    pub async fn closed(&self) {
        let notified = self.cancelled.set.notified();
        if !self.is_cancelled() {
            notified.await;
        }
    }
}

/// An ask under way; dropping it tells the peer that nobody waits any more.
pub struct Call {
    replies: flume::Receiver<Result<Reply>>,
    _cancel: oneshot::Sender<()>,
}

impl Call {
    /// The next reply, or the error that ended the call; `None` after the last reply.
    pub async fn next(&mut self) -> Option<Result<Reply>> {
        self.replies.recv_async().await.ok()
    }

    /// Like [`Call::next`], blocking for at most `timeout`. A timeout gives
    /// [`Code::DeadlineDuringRun`].
    pub fn next_timeout(&mut self, timeout: Duration) -> Option<Result<Reply>> {
        match self.replies.recv_timeout(timeout) {
            Ok(reply) => Some(reply),
            Err(flume::RecvTimeoutError::Timeout) => Some(Err(Code::DeadlineDuringRun)),
            Err(flume::RecvTimeoutError::Disconnected) => None,
        }
    }
}

/// What a connection is for. Control has its own connections, which live long without traffic.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Use {
    Requests,
    Control,
}

impl Use {
    fn of(body: &RequestBody) -> Use {
        match body {
            RequestBody::Members(_) | RequestBody::Spread(_) => Use::Control,
            _ => Use::Requests,
        }
    }
}

/// Bytes of UDP payload over all connections so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Sent.
    pub sent: u64,
    /// Received.
    pub received: u64,
}

/// Open connections, and the traffic of those that are closed.
#[derive(Clone, Debug, Default)]
struct Meter {
    inner: Arc<Mutex<(Vec<Connection>, Traffic)>>,
}

impl Meter {
    fn add(&self, connection: &Connection) {
        let mut inner = self.inner.lock().expect("no holder of this lock panics");
        let (open, closed) = &mut *inner;
        open.retain(|old| {
            let is_open = old.close_reason().is_none();
            if !is_open {
                count(old, closed);
            }
            is_open
        });
        open.push(connection.clone());
    }

    fn read(&self) -> Traffic {
        let inner = self.inner.lock().expect("no holder of this lock panics");
        let (open, mut traffic) = (&inner.0, inner.1);
        open.iter().for_each(|connection| count(connection, &mut traffic));
        traffic
    }
}

fn count(connection: &Connection, traffic: &mut Traffic) {
    let stats = connection.stats();
    traffic.sent += stats.udp_tx.bytes;
    traffic.received += stats.udp_rx.bytes;
}

struct Job {
    to: SocketAddr,
    purpose: Use,
    /// The role that alone may answer, if not any may.
    answerer: Option<Role>,
    ask: Vec<u8>,
    replies: flume::Sender<Result<Reply>>,
    cancelled: oneshot::Receiver<()>,
}

/// Handle of the transport thread.
#[derive(Clone)]
pub struct Transport {
    jobs: flume::Sender<Job>,
    local: SocketAddr,
    crash: Arc<Notify>,
    meter: Meter,
}

impl Transport {
    /// Binds `address` and starts the thread. It ends when every handle is dropped.
    pub fn start(
        address: SocketAddr,
        material: &Material,
        incoming: flume::Sender<Incoming>,
    ) -> Result<Transport> {
        let server = material.server_config().map_err(|e| e.code())?;
        let client = material.client_config().map_err(|e| e.code())?;
        let mut control = client.clone();
        control.transport_config(Arc::new(control_transport_config()));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|_| Code::CannotBind)?;
        let endpoint = {
            let _guard = runtime.enter();
            let mut endpoint = Endpoint::server(server, address).map_err(|_| Code::CannotBind)?;
            endpoint.set_default_client_config(client);
            endpoint
        };
        let local = endpoint.local_addr().map_err(|_| Code::CannotBind)?;
        let (jobs, rx) = flume::bounded(JOB_RING);
        let crash = Arc::new(Notify::new());
        let crashed = crash.clone();
        let meter = Meter::default();
        let pool = Pool { control, open: Arc::default(), meter: meter.clone() };
        let serve = async move {
            tokio::select! {
                () = run(endpoint, pool, rx, incoming) => {}
                () = crashed.notified() => {}
            }
        };
        thread::Builder::new()
            .name("transport".to_owned())
            .spawn(move || runtime.block_on(serve))
            .map_err(|_| Code::CannotBind)?;
        Ok(Transport { jobs, local, crash, meter })
    }

    /// Ends the thread at once and without a goodbye to any peer, as a crash does.
    pub fn crash(&self) {
        self.crash.notify_one();
    }

    /// Bytes sent and received so far, without the headers of IP and UDP.
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// The address that is bound.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Sends `ask` to the process at `to`.
    ///
    /// [`Code::Unreachable`] and [`Code::Busy`] prove that no byte left; [`Code::PeerLost`] means
    /// that the ask may have arrived.
    pub fn call(&self, to: SocketAddr, ask: &RequestMessage) -> Call {
        let (replies, rx) = flume::bounded(REPLY_RING);
        let (cancel, cancelled) = oneshot::channel();
        let (purpose, answerer) = (Use::of(&ask.body), Role::answerer(&ask.body));
        let ask = wire::encode(ask);
        let job = Job { to, purpose, answerer, ask, replies: replies.clone(), cancelled };
        if self.jobs.try_send(job).is_err() {
            let _ = replies.try_send(Err(Code::Busy));
        }
        Call { replies: rx, _cancel: cancel }
    }

    /// Sends `ask` and waits up to `timeout` for its only reply.
    pub fn ask_one(
        &self,
        to: SocketAddr,
        ask: &RequestMessage,
        timeout: Duration,
    ) -> Result<Reply> {
        match self.call(to, ask).next_timeout(timeout) {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(code)) => Err(code),
            None => Err(Code::PeerLost),
        }
    }
}

/// A connection that asks go out on, and which of them wait.
#[derive(Clone)]
struct Peer {
    connection: Connection,
    role: Option<Role>,
    asks: Arc<Asks>,
}

/// The connections that asks go out on, one a peer and use.
#[derive(Clone)]
struct Pool {
    control: quinn::ClientConfig,
    open: Arc<Mutex<HashMap<(SocketAddr, Use), Peer>>>,
    meter: Meter,
}

impl Pool {
    fn get(&self, to: SocketAddr, purpose: Use) -> Option<Peer> {
        let mut open = self.open.lock().expect("no holder of this lock panics");
        let peer = open.get(&(to, purpose))?;
        if peer.connection.close_reason().is_some() {
            open.remove(&(to, purpose));
            return None;
        }
        Some(peer.clone())
    }

    fn put(&self, to: SocketAddr, purpose: Use, connection: Connection) -> Peer {
        self.meter.add(&connection);
        let role = identity_of(&connection).map(|identity| identity.role);
        let peer = Peer { connection, role, asks: Arc::default() };
        let mut open = self.open.lock().expect("no holder of this lock panics");
        open.insert((to, purpose), peer.clone());
        peer
    }

    /// Requests go out on `connection` from now on; it is watched for silence.
    fn replace(&self, endpoint: &Endpoint, to: SocketAddr, connection: Connection) -> Peer {
        let peer = self.put(to, Use::Requests, connection.clone());
        let asks = peer.asks.clone();
        let watched = silence::watch(endpoint.clone(), self.clone(), to, connection, asks);
        tokio::spawn(watched);
        peer
    }

    /// A restarted peer knows nothing of the old connection, which would stay silent until its
    /// long idle timeout; the peer would be suspected all that time.
    fn give_up(&self, to: SocketAddr, purpose: Use) {
        let mut open = self.open.lock().expect("no holder of this lock panics");
        if let Some(peer) = open.remove(&(to, purpose)) {
            peer.connection.close(0u8.into(), b"silent");
        }
    }
}

async fn run(
    endpoint: Endpoint,
    pool: Pool,
    jobs: flume::Receiver<Job>,
    incoming: flume::Sender<Incoming>,
) {
    let meter = pool.meter.clone();
    let accepting = tokio::spawn(accept_all(endpoint.clone(), incoming, meter));
    while let Ok(job) = jobs.recv_async().await {
        let endpoint = endpoint.clone();
        let pool = pool.clone();
        tokio::spawn(async move { serve_job(endpoint, pool, job).await });
    }
    accepting.abort();
    endpoint.close(0u8.into(), b"stopping");
    endpoint.wait_idle().await;
}

async fn connect(endpoint: &Endpoint, pool: &Pool, to: SocketAddr, purpose: Use) -> Result<Peer> {
    if let Some(peer) = pool.get(to, purpose) {
        return Ok(peer);
    }
    let connecting = match purpose {
        Use::Requests => endpoint.connect(to, PEER_NAME),
        Use::Control => endpoint.connect_with(pool.control.clone(), to, PEER_NAME),
    };
    let connecting = connecting.map_err(|_| Code::Unreachable)?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| Code::Unreachable)?
        .map_err(|_| Code::Unreachable)?;
    Ok(match purpose {
        Use::Requests => pool.replace(endpoint, to, connection),
        Use::Control => pool.put(to, purpose, connection),
    })
}

async fn serve_job(endpoint: Endpoint, pool: Pool, job: Job) {
    let Job { to, purpose, answerer, ask, replies, cancelled } = job;
    let opened = open_stream(&endpoint, &pool, to, purpose, answerer).await;
    let (mut tx, mut rx, _outstanding) = match opened {
        Ok(streams) => streams,
        Err(code) => {
            let _ = replies.send_async(Err(code)).await;
            return;
        }
    };
    if tx.write_all(&ask).await.is_err() || tx.finish().is_err() {
        let _ = replies.send_async(Err(Code::PeerLost)).await;
        return;
    }
    let answered = AtomicBool::new(false);
    tokio::select! {
        () = forward_replies(&mut rx, &replies, &answered) => {}
        _ = cancelled => {
            let _ = rx.stop(0u8.into());
            if purpose == Use::Control && !answered.load(Ordering::Relaxed) {
                pool.give_up(to, purpose);
            }
        }
    }
}

async fn open_stream(
    endpoint: &Endpoint,
    pool: &Pool,
    to: SocketAddr,
    purpose: Use,
    answerer: Option<Role>,
) -> Result<(SendStream, RecvStream, Outstanding)> {
    let peer = connect(endpoint, pool, to, purpose).await?;
    if answerer.is_some() && peer.role != answerer {
        return Err(Code::WrongRole);
    }
    let (tx, rx) = peer.connection.open_bi().await.map_err(|_| Code::Unreachable)?;
    let outstanding = peer.asks.begin(&peer.connection);
    Ok((tx, rx, outstanding))
}

async fn forward_replies(
    rx: &mut RecvStream,
    replies: &flume::Sender<Result<Reply>>,
    answered: &AtomicBool,
) {
    loop {
        let reply = match read_message::<Reply>(rx).await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) => return,
            // The ask was taken, whatever is wrong with its reply: no proof that it did not run.
            Err(_) => Err(Code::PeerLost),
        };
        let last = reply.is_err();
        answered.store(true, Ordering::Relaxed);
        if replies.send_async(reply).await.is_err() || last {
            return;
        }
    }
}

/// Reads one message; `None` at the end of the stream.
async fn read_message<T: serde::de::DeserializeOwned>(rx: &mut RecvStream) -> Result<Option<T>> {
    let mut prefix = [0; wire::LEN_BYTES];
    match rx.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(_) => return Err(Code::PeerLost),
    }
    let len = wire::scan_len(prefix)?;
    let mut buf = vec![0; len];
    rx.read_exact(&mut buf).await.map_err(|_| Code::PeerLost)?;
    wire::decode(&buf).map(Some)
}

async fn accept_all(endpoint: Endpoint, incoming: flume::Sender<Incoming>, meter: Meter) {
    while let Some(connecting) = endpoint.accept().await {
        let (incoming, meter) = (incoming.clone(), meter.clone());
        tokio::spawn(async move {
            if let Ok(connection) = connecting.await {
                meter.add(&connection);
                accept_streams(connection, incoming).await;
            }
        });
    }
}

async fn accept_streams(connection: Connection, incoming: flume::Sender<Incoming>) {
    let Some(peer) = identity_of(&connection) else {
        connection.close(1u8.into(), b"no identity");
        return;
    };
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let incoming = incoming.clone();
        let peer = peer.clone();
        tokio::spawn(async move { serve_stream(peer, tx, rx, incoming).await });
    }
}

fn identity_of(connection: &Connection) -> Option<Identity> {
    let chain = connection.peer_identity()?;
    let chain = chain.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>().ok()?;
    scan_identity(&chain)
}

async fn serve_stream(
    peer: Identity,
    mut tx: SendStream,
    mut rx: RecvStream,
    incoming: flume::Sender<Incoming>,
) {
    let read = tokio::time::timeout(ASK_TIMEOUT, read_message::<RequestMessage>(&mut rx)).await;
    let request = match read {
        Ok(Ok(Some(request))) => request,
        Ok(Err(code)) => return refuse(&mut tx, code).await,
        Ok(Ok(None)) | Err(_) => return,
    };
    if !peer.role.may_ask(&request.body) || peer.host != request.from.host {
        return refuse(&mut tx, Code::WrongRole).await;
    }
    let (sink, replies) = ReplySink::pair();
    let cancelled = sink.cancelled.clone();
    if incoming.try_send(Incoming { peer, request, replies: sink }).is_err() {
        return refuse(&mut tx, Code::Busy).await;
    }
    let stopped = tx.stopped();
    tokio::select! {
        _ = stopped => {}
        () = write_replies(&mut tx, &replies) => return,
    }
    cancelled.set();
}

async fn write_replies(tx: &mut SendStream, replies: &flume::Receiver<Reply>) {
    while let Ok(reply) = replies.recv_async().await {
        if tx.write_all(&wire::encode(&reply)).await.is_err() {
            return;
        }
    }
    let _ = tx.finish();
}

async fn refuse(tx: &mut SendStream, code: Code) {
    let reply = Reply { generation: Default::default(), body: ReplyBody::Refused(code) };
    let _ = tx.write_all(&wire::encode(&reply)).await;
    let _ = tx.finish();
    let _ = tx.stopped().await;
}
