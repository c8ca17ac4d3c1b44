//! Logs for changes of state, and counters for everything else.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use slog::Drain;
use slog::Logger;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "mastichaven";

/// Metrics waiting to be sent; newer ones are dropped when it is full.
const METRIC_RING: usize = 4_096;

/// Log and metrics of one process.
#[derive(Clone)]
pub struct Telemetry {
    /// Lines only for changes of state.
    pub log: Logger,
    /// Counters, gauges and timers.
    pub metrics: Arc<StatsdClient>,
}

impl Telemetry {
    /// Logs to standard error and sends metrics to `statsd`, if it is given and can be reached.
    pub fn start(statsd: Option<SocketAddr>) -> Telemetry {
        let drain = slog_term::FullFormat::new(slog_term::TermDecorator::new().stderr().build());
        let drain = slog_async::Async::new(drain.build().fuse()).build().fuse();
        let log = Logger::root(drain, slog::o!());
        let metrics = statsd.and_then(udp_client).unwrap_or_else(no_metrics);
        Telemetry { log, metrics: Arc::new(metrics) }
    }

    /// Drops logs and metrics.
    pub fn silent() -> Telemetry {
        let log = Logger::root(slog::Discard, slog::o!());
        Telemetry { log, metrics: Arc::new(no_metrics()) }
    }
}

fn no_metrics() -> StatsdClient {
    StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink)
}

fn udp_client(statsd: SocketAddr) -> Option<StatsdClient> {
    let any = if statsd.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(statsd, socket).ok()?;
    let sink = QueuingMetricSink::with_capacity(sink, METRIC_RING);
    Some(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
