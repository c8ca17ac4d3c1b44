//! The transport thread: QUIC connections to and from the other processes.
//!
//! One thread runs quinn on a current-thread runtime. Other threads submit requests through a
//! bounded queue, and each call has its own reply queue. Incoming requests go to the queue passed to
//! [`Transport::start`]; when it is full, the request is rejected with [`Code::Busy`].

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

use self::watchdog::PeerRequestGuard;
use self::watchdog::RequestsInFlight;
use crate::tls::Identity;
use crate::tls::Material;
use crate::tls::PEER_NAME;
use crate::tls::Role;
use crate::tls::control_transport_config;
use crate::tls::parse_identity;

mod watchdog;

/// Result of a transport operation.
pub type Result<T> = std::result::Result<T, Code>;

/// Capacity of the queue of calls to the transport thread.
const CALL_QUEUE_LEN: usize = 1_024;

/// Capacity of the reply queue of a call.
const REPLY_QUEUE_LEN: usize = 64;

/// A peer that has not completed the handshake by then is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bounds the time between a peer opening a stream and its complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A received request and the sink for its replies.
pub struct Incoming {
    /// Sender, as proved by its certificate.
    pub peer: Identity,
    /// The decoded request; its sender's host matches `peer`.
    pub request: RequestMessage,
    /// Dropping every clone finishes the stream.
    pub replies: ReplySink,
}

/// Sends the replies to one request.
#[derive(Clone)]
pub struct ReplySink {
    tx: flume::Sender<Reply>,
    cancelled: Arc<Cancelled>,
}

/// Cancellation flag of a call, with the tasks to wake when it is set.
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
    /// A sink that is not bound to a stream, with the receiver of its replies.
    pub fn pair() -> (ReplySink, flume::Receiver<Reply>) {
        let (tx, rx) = flume::bounded(REPLY_QUEUE_LEN);
        (ReplySink { tx, cancelled: Arc::default() }, rx)
    }

    /// Sends one reply, blocking while the queue is full. Fails with [`Code::CallerLeft`] once the
    /// caller has cancelled.
    pub fn send(&self, reply: Reply) -> Result<()> {
        if self.is_cancelled() {
            return Err(Code::CallerLeft);
        }
        self.tx.send(reply).map_err(|_| Code::CallerLeft)
    }

    /// Async form of [`ReplySink::send`].
    pub async fn send_async(&self, reply: Reply) -> Result<()> {
        if self.is_cancelled() {
            return Err(Code::CallerLeft);
        }
        self.tx.send_async(reply).await.map_err(|_| Code::CallerLeft)
    }

    /// Whether the caller has cancelled the call or disconnected.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_set.load(Ordering::Acquire) || self.tx.is_disconnected()
    }

    /// Completes when the caller has cancelled the call.
    pub async fn closed(&self) {
        let notified = self.cancelled.set.notified();
        if !self.is_cancelled() {
            notified.await;
        }
    }
}

/// A call in flight; dropping it cancels the request at the peer.
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

/// Traffic class of a connection. Control messages have connections of their own, which stay open
/// through long idle periods.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TrafficClass {
    Requests,
    Control,
}

impl TrafficClass {
    fn of(body: &RequestBody) -> TrafficClass {
        match body {
            RequestBody::Members(_) | RequestBody::Spread(_) => TrafficClass::Control,
            _ => TrafficClass::Requests,
        }
    }
}

/// Bytes of UDP payload of all connections since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Sent.
    pub sent: u64,
    /// Received.
    pub received: u64,
}

/// Open connections, and the total traffic of closed ones.
#[derive(Clone, Debug, Default)]
struct TrafficMeter {
    inner: Arc<Mutex<(Vec<Connection>, Traffic)>>,
}

impl TrafficMeter {
    fn add(&self, connection: &Connection) {
        let mut inner = self.inner.lock().expect("no holder of this lock panics");
        let (open, closed) = &mut *inner;
        open.retain(|old| {
            let is_open = old.close_reason().is_none();
            if !is_open {
                add_traffic(old, closed);
            }
            is_open
        });
        open.push(connection.clone());
    }

    fn read(&self) -> Traffic {
        let inner = self.inner.lock().expect("no holder of this lock panics");
        let (open, mut traffic) = (&inner.0, inner.1);
        open.iter().for_each(|connection| add_traffic(connection, &mut traffic));
        traffic
    }
}

fn add_traffic(connection: &Connection, traffic: &mut Traffic) {
    let stats = connection.stats();
    traffic.sent += stats.udp_tx.bytes;
    traffic.received += stats.udp_rx.bytes;
}

struct PendingCall {
    to: SocketAddr,
    class: TrafficClass,
    /// The role that the peer must have; `None` accepts any.
    responder: Option<Role>,
    request: Vec<u8>,
    replies: flume::Sender<Result<Reply>>,
    cancelled: oneshot::Receiver<()>,
}

/// Handle of the transport thread.
#[derive(Clone)]
pub struct Transport {
    calls: flume::Sender<PendingCall>,
    local: SocketAddr,
    crash: Arc<Notify>,
    meter: TrafficMeter,
}

impl Transport {
    /// Binds `address` and starts the thread, which ends when every handle is dropped.
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
        let (calls, rx) = flume::bounded(CALL_QUEUE_LEN);
        let crash = Arc::new(Notify::new());
        let crashed = crash.clone();
        let meter = TrafficMeter::default();
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
        Ok(Transport { calls, local, crash, meter })
    }

    /// Ends the thread at once without closing any connection, as a crash does.
    pub fn crash(&self) {
        self.crash.notify_one();
    }

    /// Bytes sent and received since the start, without IP and UDP headers.
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// The bound address, with the port that the system chose if 0 was requested.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Sends `request` to the process at `to`.
    ///
    /// [`Code::Unreachable`] and [`Code::Busy`] prove that no byte was sent; after
    /// [`Code::PeerLost`] the peer may have received the request.
    pub fn call(&self, to: SocketAddr, request: &RequestMessage) -> Call {
        let (replies, rx) = flume::bounded(REPLY_QUEUE_LEN);
        let (cancel, cancelled) = oneshot::channel();
        let (class, responder) = (TrafficClass::of(&request.body), Role::responder(&request.body));
        let request = wire::encode(request);
        let call =
            PendingCall { to, class, responder, request, replies: replies.clone(), cancelled };
        if self.calls.try_send(call).is_err() {
            let _ = replies.try_send(Err(Code::Busy));
        }
        Call { replies: rx, _cancel: cancel }
    }

    /// Sends `request` and waits up to `timeout` for its only reply.
    pub fn call_unary(
        &self,
        to: SocketAddr,
        request: &RequestMessage,
        timeout: Duration,
    ) -> Result<Reply> {
        match self.call(to, request).next_timeout(timeout) {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(code)) => Err(code),
            None => Err(Code::PeerLost),
        }
    }
}

/// An outgoing connection with its requests in flight.
#[derive(Clone)]
struct Peer {
    connection: Connection,
    role: Option<Role>,
    in_flight: Arc<RequestsInFlight>,
}

/// Outgoing connections, one per peer and traffic class.
#[derive(Clone)]
struct Pool {
    control: quinn::ClientConfig,
    open: Arc<Mutex<HashMap<(SocketAddr, TrafficClass), Peer>>>,
    meter: TrafficMeter,
}

impl Pool {
    fn get(&self, to: SocketAddr, class: TrafficClass) -> Option<Peer> {
        let mut open = self.open.lock().expect("no holder of this lock panics");
        let peer = open.get(&(to, class))?;
        if peer.connection.close_reason().is_some() {
            open.remove(&(to, class));
            return None;
        }
        Some(peer.clone())
    }

    fn put(&self, to: SocketAddr, class: TrafficClass, connection: Connection) -> Peer {
        self.meter.add(&connection);
        let role = identity_of(&connection).map(|identity| identity.role);
        let peer = Peer { connection, role, in_flight: Arc::default() };
        let mut open = self.open.lock().expect("no holder of this lock panics");
        open.insert((to, class), peer.clone());
        peer
    }

    /// Makes `connection` the one that requests to this peer use, and starts its watchdog.
    fn replace(&self, endpoint: &Endpoint, to: SocketAddr, connection: Connection) -> Peer {
        let peer = self.put(to, TrafficClass::Requests, connection.clone());
        let in_flight = peer.in_flight.clone();
        let watched = watchdog::run(endpoint.clone(), self.clone(), to, connection, in_flight);
        tokio::spawn(watched);
        peer
    }

    /// Closes a control connection that got no reply. A restarted peer has no state for the old
    /// connection, which would stay silent until its long idle timeout, and the peer would be
    /// suspected until then.
    fn discard(&self, to: SocketAddr, class: TrafficClass) {
        let mut open = self.open.lock().expect("no holder of this lock panics");
        if let Some(peer) = open.remove(&(to, class)) {
            peer.connection.close(0u8.into(), b"silent");
        }
    }
}

async fn run(
    endpoint: Endpoint,
    pool: Pool,
    calls: flume::Receiver<PendingCall>,
    incoming: flume::Sender<Incoming>,
) {
    let meter = pool.meter.clone();
    let accepting = tokio::spawn(accept_all(endpoint.clone(), incoming, meter));
    while let Ok(call) = calls.recv_async().await {
        let endpoint = endpoint.clone();
        let pool = pool.clone();
        tokio::spawn(async move { run_call(endpoint, pool, call).await });
    }
    accepting.abort();
    endpoint.close(0u8.into(), b"stopping");
    endpoint.wait_idle().await;
}

async fn connect(
    endpoint: &Endpoint,
    pool: &Pool,
    to: SocketAddr,
    class: TrafficClass,
) -> Result<Peer> {
    if let Some(peer) = pool.get(to, class) {
        return Ok(peer);
    }
    let connecting = match class {
        TrafficClass::Requests => endpoint.connect(to, PEER_NAME),
        TrafficClass::Control => endpoint.connect_with(pool.control.clone(), to, PEER_NAME),
    };
    let connecting = connecting.map_err(|_| Code::Unreachable)?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| Code::Unreachable)?
        .map_err(|_| Code::Unreachable)?;
    Ok(match class {
        TrafficClass::Requests => pool.replace(endpoint, to, connection),
        TrafficClass::Control => pool.put(to, class, connection),
    })
}

async fn run_call(endpoint: Endpoint, pool: Pool, call: PendingCall) {
    let PendingCall { to, class, responder, request, replies, cancelled } = call;
    let opened = open_stream(&endpoint, &pool, to, class, responder).await;
    let (mut tx, mut rx, _guard) = match opened {
        Ok(streams) => streams,
        Err(code) => {
            let _ = replies.send_async(Err(code)).await;
            return;
        }
    };
    if tx.write_all(&request).await.is_err() || tx.finish().is_err() {
        let _ = replies.send_async(Err(Code::PeerLost)).await;
        return;
    }
    let replied = AtomicBool::new(false);
    tokio::select! {
        () = forward_replies(&mut rx, &replies, &replied) => {}
        _ = cancelled => {
            let _ = rx.stop(0u8.into());
            if class == TrafficClass::Control && !replied.load(Ordering::Relaxed) {
                pool.discard(to, class);
            }
        }
    }
}

async fn open_stream(
    endpoint: &Endpoint,
    pool: &Pool,
    to: SocketAddr,
    class: TrafficClass,
    responder: Option<Role>,
) -> Result<(SendStream, RecvStream, PeerRequestGuard)> {
    let peer = connect(endpoint, pool, to, class).await?;
    if responder.is_some() && peer.role != responder {
        return Err(Code::WrongRole);
    }
    let (tx, rx) = peer.connection.open_bi().await.map_err(|_| Code::Unreachable)?;
    let guard = peer.in_flight.begin(&peer.connection);
    Ok((tx, rx, guard))
}

async fn forward_replies(
    rx: &mut RecvStream,
    replies: &flume::Sender<Result<Reply>>,
    replied: &AtomicBool,
) {
    loop {
        let reply = match read_message::<Reply>(rx).await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) => return,
            // The peer accepted the request, so a malformed reply does not prove that it did not run.
            Err(_) => Err(Code::PeerLost),
        };
        let last = reply.is_err();
        replied.store(true, Ordering::Relaxed);
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

async fn accept_all(endpoint: Endpoint, incoming: flume::Sender<Incoming>, meter: TrafficMeter) {
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
    parse_identity(&chain)
}

async fn serve_stream(
    peer: Identity,
    mut tx: SendStream,
    mut rx: RecvStream,
    incoming: flume::Sender<Incoming>,
) {
    let read = tokio::time::timeout(REQUEST_TIMEOUT, read_message::<RequestMessage>(&mut rx)).await;
    let request = match read {
        Ok(Ok(Some(request))) => request,
        Ok(Err(code)) => return refuse(&mut tx, code).await,
        Ok(Ok(None)) | Err(_) => return,
    };
    if !peer.role.may_send(&request.body) || peer.host != request.from.host {
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
