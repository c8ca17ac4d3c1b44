//! The entry process of the direct path: startup, caller connections, the status server and
//! graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use mastichaven_core::direct::client_budget::ClientLimits;
use mastichaven_platform::READY_PATH;
use mastichaven_platform::objects::Kind;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::clients::Clients;
use super::gateway;
use super::http_server;
use super::http_server::ConnectionLimits;
use super::http_server::listen;
use super::load_reports;
use super::log::EventLog;
use super::publisher;
use super::replication;
use super::response_body::ResponseBody;
use super::settings::DirectSettings;
use super::state::State;
use super::status;
use super::watch::StoreWatcher;

/// Number of entries assumed to share the deployment's limits until agents report the count. It is
/// higher than the real number, so that the first shares are too small rather than too large.
const INITIAL_ENTRY_COUNT: u32 = 16;

/// Limits on connections of callers until the configuration sets them.
const INITIAL_CALLER_LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_len: 16 << 10,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Time for which an entry keeps accepting callers after SIGTERM. The balancer checks readiness
/// once a second and removes an entry after two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Time before SIGKILL at which the remaining caller connections are closed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Interval at which a shutdown checks for remaining callers.
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

/// Runs an entry until SIGTERM, then shuts it down gracefully within the stop timeout of the
/// settings.
pub async fn run(cfg: DirectSettings) -> Result<()> {
    let callers_address = cfg.callers.ok_or_else(|| missing_setting("callers"))?;
    let ready_address = cfg.ready.ok_or_else(|| missing_setting("ready"))?;
    let log = EventLog::start(cfg.host.as_str())?;
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers_listener = listen(callers_address, cfg.limits.of_callers().receive_window).await?;
    let status_window = ClientLimits::of_status().receive_window;
    let ready_listener = listen(ready_address, status_window).await?;
    let metrics_address = SocketAddr::new(cfg.ip, cfg.metrics_port);
    let metrics_listener = listen(metrics_address, status_window).await?;
    let peers_address = SocketAddr::new(cfg.ip, cfg.agent_port);
    let publisher_listener = listen(peers_address, status_window).await?;
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
    spawn_local(serve_status(state.clone(), "readiness", ready_listener));
    spawn_local(serve_status(state.clone(), "metrics", metrics_listener));
    let (close_tx, close_rx) = watch::channel(false);
    let accept_task = spawn_local(serve_callers(state.clone(), callers_listener, close_rx));
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
    slog::info!(state.log, "stopping"; "callers" => state.callers.connections());
    sleep(DRAIN_DELAY).await;
    // From now on connections are refused, and the balancer's last callers go to another entry. A
    // long response accepted now might not end before SIGKILL.
    accept_task.abort();
    let _ = close_tx.send(true);
    let drain_timeout = state.cfg.bounds.stop().saturating_sub(SHUTDOWN_MARGIN);
    while state.callers.connections() > 0 && !state.now().passed(drain_started, drain_timeout) {
        sleep(POLL_INTERVAL).await;
    }
    slog::info!(state.log, "stopped"; "callers" => state.callers.connections());
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

async fn serve_callers(state: Rc<State>, listener: TcpListener, close_rx: watch::Receiver<bool>) {
    let (callers, log) = (state.callers.clone(), state.log.clone());
    http_server::accept(listener, callers, log, |stream, client| {
        let limits = caller_limits(&state);
        let handle = {
            let state = state.clone();
            move |client, req| gateway::handle_request(state.clone(), client, req)
        };
        let (state, close_rx) = (state.clone(), close_rx.clone());
        spawn_local(async move {
            if let Err(e) = http_server::serve(stream, client, limits, close_rx, handle).await {
                slog::warn!(state.log, "setting options of a caller connection failed"; "error" => e.to_string());
            }
        });
    })
    .await;
}

fn caller_limits(state: &State) -> ConnectionLimits {
    let catalog = state.catalog.borrow();
    catalog.as_ref().map_or(INITIAL_CALLER_LIMITS, |catalog| {
        let limits = catalog.limits();
        ConnectionLimits {
            max_head_len: limits.max_head_len,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
        }
    })
}

/// Serves readiness, metrics and the state dump over HTTP.
async fn serve_status(state: Rc<State>, name: &'static str, listener: TcpListener) {
    let log = state.log.clone();
    let limits = ClientLimits::of_status();
    let clients = Clients::new(name, limits, state.clock, log.clone(), state.metrics.clone());
    let respond = move |req: &Request<Incoming>| status_response(&state, req);
    status::serve(listener, clients, log, respond).await;
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
