//! Logs of state changes, and metrics of everything else.
//!
//! Every counter is sent to the StatsD address of the settings and is also part of the dump, so that
//! an operator without a metrics server sees the same numbers.

use std::io;
use std::io::LineWriter;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_core::ids::HostName;
use serde_json::Value;
use slog::Drain;
use slog::Logger;

pub use self::metric::Counter;
use self::metric::Counts;
pub use self::metric::Gauge;
pub use self::metric::Timer;

mod metric;

/// Namespace of every metric in StatsD.
const METRIC_PREFIX: &str = "mastichaven";

/// Capacity of the queue of metrics to send; new ones are dropped while it is full.
const METRIC_QUEUE_LEN: usize = 4_096;

/// Logger and metrics of one process.
#[derive(Clone)]
pub struct Telemetry {
    /// For state changes only, not for single requests.
    pub log: Logger,
    metrics: Arc<StatsdClient>,
    counts: Arc<Counts>,
}

impl Telemetry {
    /// Logs to standard error, one complete line at a time as other processes may write there too, and
    /// sends metrics to `statsd` if that is given and a socket can be opened.
    pub fn start(host: &HostName, statsd: Option<SocketAddr>) -> Telemetry {
        let lines = slog_term::PlainDecorator::new(LineWriter::new(io::stderr()));
        let drain = slog_term::FullFormat::new(lines).build().fuse();
        let drain = slog_async::Async::new(drain).build().fuse();
        let log = Logger::root(drain, slog::o!("host" => host.to_string()));
        let metrics = statsd.and_then(udp_client).unwrap_or_else(no_metrics);
        Telemetry { log, metrics: Arc::new(metrics), counts: Arc::default() }
    }

    /// Counts for the dump only, without log or StatsD.
    pub fn silent() -> Telemetry {
        let log = Logger::root(slog::Discard, slog::o!());
        Telemetry { log, metrics: Arc::new(no_metrics()), counts: Arc::default() }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counts.add(counter, amount);
        let amount = i64::try_from(amount).unwrap_or(i64::MAX);
        let _ = self.metrics.count(counter.name(), amount);
    }

    /// Counts a response to a caller by code and outcome, and sends the time to its head.
    pub fn answered(&self, code: Code, outcome: Outcome, to_head: Duration) {
        self.counts.ended(code);
        let _ = self.metrics.incr(&format!("requests.E{}", code.number()));
        let _ = self.metrics.incr(&format!("requests.outcome.{}", outcome.as_str()));
        let _ = self.metrics.time("requests.to_head", to_head);
    }

    /// Counts a finished attempt at this agent's endpoint by its code.
    pub fn attempted(&self, code: Code) {
        self.counts.ended(code);
        let _ = self.metrics.incr(&format!("attempts.E{}", code.number()));
    }

    /// Sends a duration to StatsD; it is not part of the dump.
    pub fn time(&self, timer: Timer, span: Duration) {
        let _ = self.metrics.time(timer.name(), span);
    }

    /// Sends the current value of a gauge to StatsD; it is not part of the dump.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.metrics.gauge(gauge.name(), value);
    }

    /// All counters above zero since the process started, for the dump.
    pub fn counts(&self) -> Value {
        self.counts.to_json()
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
    let sink = QueuingMetricSink::with_capacity(sink, METRIC_QUEUE_LEN);
    Some(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
