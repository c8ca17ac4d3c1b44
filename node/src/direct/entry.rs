//! The entry process of the direct path: startup, caller connections, the status server and
//! graceful shutdown.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use mastichaven_platform::READY_PATH;
use mastichaven_platform::objects::Kind;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::connection;
use super::gateway;
use super::load_reports;
use super::log::EventLog;
use super::publisher;
use super::replication;
use super::response_body::ResponseBody;
use super::settings::DirectSettings;
use super::state::State;
use super::watch::StoreWatcher;

/// Number of entries assumed to share the deployment's limits until agents report the count. It is
/// higher than the real number, so that the first shares are too small rather than too large.
const INITIAL_ENTRY_COUNT: u32 = 16;

/// Idle timeout of caller connections until the configuration sets one. Callers reuse a connection
/// for up to four fifths of it.
const DEFAULT_CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Descriptors that a caller connection may need: its own, and one to an endpoint for its request.
const DESCRIPTORS_PER_CALLER: usize = 2;
/// Descriptors that are not available for caller connections.
const RESERVED_DESCRIPTORS: usize = 300;

/// Time for which an entry keeps accepting callers after SIGTERM. The balancer checks readiness
/// once a second and removes an entry after two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Time before SIGKILL at which the remaining caller connections are closed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Interval at which a shutdown checks for remaining callers, and delay after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which expired idle connections to endpoints are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between measurements of the delay of tasks.
const LOOP_LAG_INTERVAL: Duration = Duration::from_millis(50);

/// Result of running an entry.
pub type Result<T> = io::Result<T>;

fn missing_setting(key: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, format!("missing setting `{key}`"))
}

/// Number of open caller connections.
#[derive(Debug, Default)]
struct ConnectionCount(Cell<usize>);

/// Guard that counts a caller connection as open until it is dropped.
struct CountedConnection(Rc<ConnectionCount>);

impl CountedConnection {
    fn open(callers: &Rc<ConnectionCount>) -> CountedConnection {
        callers.0.set(callers.0.get() + 1);
        CountedConnection(callers.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}

/// Listens on `address`. Errors include the address, as an entry has four listeners.
async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))
}

/// Runs an entry until SIGTERM, then shuts it down gracefully within the stop timeout of the
/// settings.
pub async fn run(cfg: DirectSettings) -> Result<()> {
    let callers_address = cfg.callers.ok_or_else(|| missing_setting("callers"))?;
    let ready_address = cfg.ready.ok_or_else(|| missing_setting("ready"))?;
    let log = EventLog::start(cfg.host.as_str())?;
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers_listener = listen(callers_address).await?;
    let ready_listener = listen(ready_address).await?;
    let metrics_address = SocketAddr::new(cfg.ip, cfg.metrics_port);
    let metrics_listener = listen(metrics_address).await?;
    let publisher_listener = listen(SocketAddr::new(cfg.ip, cfg.agent_port)).await?;
    let reports_socket = UdpSocket::bind(SocketAddr::new(cfg.ip, 0)).await?;
    let state = Rc::new(State::new(cfg, log.root.clone(), INITIAL_ENTRY_COUNT));
    slog::info!(state.log, "started"; "zone" => state.cfg.zone.as_str());
    for kind in Kind::ALL {
        spawn_local(StoreWatcher::new(state.clone(), kind).run());
    }
    spawn_local(publisher::serve(state.clone(), publisher_listener));
    spawn_local(replication::follow(state.clone()));
    spawn_local(load_reports::run(state.clone(), reports_socket));
    spawn_local(sweep_pool(state.clone()));
    spawn_local(measure_loop_lag(state.clone()));
    spawn_local(serve_status(state.clone(), ready_listener));
    spawn_local(serve_status(state.clone(), metrics_listener));
    let callers = Rc::new(ConnectionCount::default());
    let (close_tx, close_rx) = watch::channel(false);
    let accept_task =
        spawn_local(accept_callers(state.clone(), callers_listener, callers.clone(), close_rx));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => {
                // All settings are fixed for the lifetime of the process.
                slog::info!(state.log, "reload signal ignored: settings take effect on restart");
            }
        }
    }
    state.is_stopping.set(true);
    let drain_started = state.now();
    slog::info!(state.log, "stopping"; "callers" => callers.0.get());
    sleep(DRAIN_DELAY).await;
    // From now on connections are refused, and the balancer's last callers go to another entry. A
    // long response accepted now might not end before SIGKILL.
    accept_task.abort();
    let _ = close_tx.send(true);
    let drain_timeout = state.cfg.bounds.stop().saturating_sub(SHUTDOWN_MARGIN);
    while callers.0.get() > 0 && !state.now().passed(drain_started, drain_timeout) {
        sleep(POLL_INTERVAL).await;
    }
    slog::info!(state.log, "stopped"; "callers" => callers.0.get());
    drop(log);
    Ok(())
}

async fn measure_loop_lag(state: Rc<State>) {
    loop {
        let due = state.now() + LOOP_LAG_INTERVAL;
        sleep(LOOP_LAG_INTERVAL).await;
        state.loop_lag.borrow_mut().record(due, state.now());
    }
}

async fn sweep_pool(state: Rc<State>) {
    loop {
        sleep(POOL_SWEEP_INTERVAL).await;
        state.pool.sweep(state.now());
        state.expire_earlier_era();
    }
}

async fn accept_callers(
    state: Rc<State>,
    listener: TcpListener,
    callers: Rc<ConnectionCount>,
    close_rx: watch::Receiver<bool>,
) {
    let descriptors = state.cfg.limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let max_callers = (descriptors / DESCRIPTORS_PER_CALLER).max(1);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                slog::warn!(state.log, "accepting a caller connection failed"; "error" => e.to_string());
                sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        if callers.0.get() >= max_callers {
            state.metrics.count("callers_over_limit");
            continue;
        }
        let caller = CountedConnection::open(&callers);
        spawn_local(serve_caller(state.clone(), stream, caller, close_rx.clone()));
    }
}

async fn serve_caller(
    state: Rc<State>,
    stream: TcpStream,
    _caller: CountedConnection,
    mut close_rx: watch::Receiver<bool>,
) {
    if let Err(e) = connection::set_socket_options(&stream) {
        slog::warn!(state.log, "setting options of a caller connection failed"; "error" => e.to_string());
        return;
    }
    let limits = state.catalog.borrow().as_ref().map(|catalog| catalog.limits());
    let service = service_fn(|req| {
        let state = state.clone();
        async move { Ok::<_, std::convert::Infallible>(gateway::handle_request(state, req).await) }
    });
    let mut builder = http1::Builder::new();
    // hyper's timeout of a request head also covers the idle time before it, so the longer of the
    // two limits applies.
    let idle_timeout = limits
        .map_or(DEFAULT_CALLER_IDLE_TIMEOUT, |limits| limits.idle_timeout.max(limits.head_timeout));
    builder.timer(TokioTimer::new()).header_read_timeout(idle_timeout);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Errors of the connection are reported by the requests on it.
        _ = connection.as_mut() => return,
        _ = close_rx.wait_for(|is_closing| *is_closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Serves readiness, metrics and the state dump over HTTP.
async fn serve_status(state: Rc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let state = state.clone();
        spawn_local(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let response = status_response(&state, &req);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let builder = http1::Builder::new();
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn status_response(state: &State, req: &Request<Incoming>) -> Response<ResponseBody> {
    let now = state.now();
    let (status, text) = match req.uri().path() {
        READY_PATH if state.is_ready(now) => (StatusCode::OK, String::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => (StatusCode::OK, state.metrics.to_text()),
        "/dump" => (StatusCode::OK, state.dump(now).to_string()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(ResponseBody::full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
