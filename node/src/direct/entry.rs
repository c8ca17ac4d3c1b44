//! An entry on the direct path: starts its tasks, tells the balancer whether it is ready, stops.

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

use super::gateway;
use super::link;
use super::load_reports;
use super::log::EventLog;
use super::publisher;
use super::relay::AnswerBody;
use super::replication;
use super::settings::DirectSettings;
use super::state::State;
use super::watch::StoreWatcher;

/// Entries that are taken to share the bounds until an agent has counted them: more than there are,
/// so that shares are too small at first and never too large.
const ENTRIES_AT_START: u32 = 16;

/// Idle time of a caller's connection before the configuration tells; callers reuse theirs for up to
/// four fifths of it.
const IDLE_UNKNOWN: Duration = Duration::from_secs(15);

/// Descriptors kept back from callers: connections to endpoints take one for each request.
const DESCRIPTORS_A_CALLER: usize = 2;
const DESCRIPTORS_RESERVED: usize = 300;

/// How long a stop goes on as usual: the balancer asks once a second and needs two misses.
const NOTICE: Duration = Duration::from_millis(2_500);

/// Time before the end of a stop at which what is left is cut off.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// How often a stop looks whether callers are left.
const STOP_POLL: Duration = Duration::from_millis(50);

/// How often idle connections to endpoints are looked through.
const SWEEP_EVERY: Duration = Duration::from_secs(2);

/// Result of running an entry.
pub type Result<T> = io::Result<T>;

fn missing(key: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, format!("the settings lack `{key}`"))
}

/// Counts open connections of callers.
#[derive(Debug, Default)]
struct Callers(Cell<usize>);

struct Caller(Rc<Callers>);

impl Caller {
    fn enter(callers: &Rc<Callers>) -> Caller {
        callers.0.set(callers.0.get() + 1);
        Caller(callers.clone())
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}

/// Listens at `at`; the error names the address, as an entry listens at four.
async fn listen(at: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(at).await.map_err(|e| io::Error::new(e.kind(), format!("{at}: {e}")))
}

/// Runs an entry until SIGTERM and the end of what is in progress.
pub async fn run(cfg: DirectSettings) -> Result<()> {
    let callers_at = cfg.callers.ok_or_else(|| missing("callers"))?;
    let ready_at = cfg.ready.ok_or_else(|| missing("ready"))?;
    let log = EventLog::start(cfg.host.as_str())?;
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers_listener = listen(callers_at).await?;
    let ready_listener = listen(ready_at).await?;
    let metrics_at = SocketAddr::new(cfg.ip, cfg.metrics_port);
    let metrics_listener = listen(metrics_at).await?;
    let feed_listener = listen(SocketAddr::new(cfg.ip, cfg.agent_port)).await?;
    let loads_socket = UdpSocket::bind(SocketAddr::new(cfg.ip, 0)).await?;
    let state = Rc::new(State::new(cfg, log.root.clone(), ENTRIES_AT_START));
    slog::info!(state.log, "started"; "zone" => state.cfg.zone.as_str());
    for kind in Kind::ALL {
        spawn_local(StoreWatcher::new(state.clone(), kind).run());
    }
    spawn_local(publisher::serve(state.clone(), feed_listener));
    spawn_local(replication::follow(state.clone()));
    spawn_local(load_reports::run(state.clone(), loads_socket));
    spawn_local(sweep(state.clone()));
    spawn_local(serve_status(state.clone(), ready_listener));
    spawn_local(serve_status(state.clone(), metrics_listener));
    let callers = Rc::new(Callers::default());
    let (close, closing) = watch::channel(false);
    let accepting = spawn_local(accept(state.clone(), callers_listener, callers.clone(), closing));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => {
                // Nothing that the settings hold changes while a host keeps its place.
                slog::info!(state.log, "settings reloaded, nothing to change");
            }
        }
    }
    state.is_stopping.set(true);
    let began = state.now();
    slog::info!(state.log, "stopping"; "callers" => callers.0.get());
    sleep(NOTICE).await;
    // Callers that the balancer still sends are refused here and go to another entry; taken now, a
    // long answer might not be over before the end.
    accepting.abort();
    let _ = close.send(true);
    let end = state.cfg.bounds.stop().saturating_sub(STOP_MARGIN);
    while callers.0.get() > 0 && !state.now().passed(began, end) {
        sleep(STOP_POLL).await;
    }
    slog::info!(state.log, "stopped"; "callers" => callers.0.get());
    drop(log);
    Ok(())
}

async fn sweep(state: Rc<State>) {
    loop {
        sleep(SWEEP_EVERY).await;
        state.pool.sweep(state.now());
    }
}

async fn accept(
    state: Rc<State>,
    listener: TcpListener,
    callers: Rc<Callers>,
    closing: watch::Receiver<bool>,
) {
    let descriptors = state.cfg.limits.descriptors.saturating_sub(DESCRIPTORS_RESERVED);
    let max_callers = (descriptors / DESCRIPTORS_A_CALLER).max(1);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                slog::warn!(state.log, "caller not accepted"; "error" => e.to_string());
                sleep(STOP_POLL).await;
                continue;
            }
        };
        if callers.0.get() >= max_callers {
            state.metrics.count("callers_over_limit");
            continue;
        }
        let caller = Caller::enter(&callers);
        spawn_local(serve_caller(state.clone(), stream, caller, closing.clone()));
    }
}

async fn serve_caller(
    state: Rc<State>,
    stream: TcpStream,
    _caller: Caller,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(e) = link::prepare(&stream) {
        slog::warn!(state.log, "caller's connection not usable"; "error" => e.to_string());
        return;
    }
    let limits = state.catalog.borrow().as_ref().map(|catalog| catalog.limits());
    let service = service_fn(|req| {
        let state = state.clone();
        async move { Ok::<_, std::convert::Infallible>(gateway::answer(state, req).await) }
    });
    let mut builder = http1::Builder::new();
    // The time for a head also runs while a connection is idle, so it is the longer of the two.
    let idle = limits.map_or(IDLE_UNKNOWN, |limits| limits.idle_timeout.max(limits.head_timeout));
    builder.timer(TokioTimer::new()).header_read_timeout(idle);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // How a caller's connection ended shows in its requests.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Tells whether the entry is ready, its metrics, and its state.
async fn serve_status(state: Rc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(STOP_POLL).await;
            continue;
        };
        let state = state.clone();
        spawn_local(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let response = status(&state, &req);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let builder = http1::Builder::new();
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn status(state: &State, req: &Request<Incoming>) -> Response<AnswerBody> {
    let now = state.now();
    let (status, text) = match req.uri().path() {
        READY_PATH if state.is_ready(now) => (StatusCode::OK, String::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => (StatusCode::OK, state.metrics.to_text()),
        "/dump" => (StatusCode::OK, state.dump(now).to_string()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(AnswerBody::whole(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
