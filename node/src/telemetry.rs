//! Logs for changes of state, and counters for everything else.
//!
//! Every counter goes to the StatsD address of the settings and is kept for the dump as well, so that
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

/// Prefix of every metric.
const METRIC_PREFIX: &str = "mastichaven";

/// Metrics waiting to be sent; newer ones are dropped when it is full.
const METRIC_RING: usize = 4_096;

/// Log and metrics of one process.
#[derive(Clone)]
pub struct Telemetry {
    /// Lines only for changes of state.
    pub log: Logger,
    metrics: Arc<StatsdClient>,
    counts: Arc<Counts>,
}

impl Telemetry {
    /// Logs to standard error, a whole line at a time as other processes may log there too, and
    /// sends metrics to `statsd`, if it is given and can be reached.
    pub fn start(host: &HostName, statsd: Option<SocketAddr>) -> Telemetry {
        let lines = slog_term::PlainDecorator::new(LineWriter::new(io::stderr()));
        let drain = slog_term::FullFormat::new(lines).build().fuse();
        let drain = slog_async::Async::new(drain).build().fuse();
        let log = Logger::root(drain, slog::o!("host" => host.to_string()));
        let metrics = statsd.and_then(udp_client).unwrap_or_else(no_metrics);
        Telemetry { log, metrics: Arc::new(metrics), counts: Arc::default() }
    }

    /// Counts for the dump alone, without log or metrics.
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

    /// Counts an answer to a caller and the time to its head.
    pub fn answered(&self, code: Code, outcome: Outcome, to_head: Duration) {
        self.counts.ended(code);
        let _ = self.metrics.incr(&format!("requests.E{}", code.number()));
        let _ = self.metrics.incr(&format!("requests.outcome.{}", outcome.as_str()));
        let _ = self.metrics.time("requests.to_head", to_head);
    }

    /// Counts an attempt on this agent's endpoint by the code that it ended with.
    pub fn attempted(&self, code: Code) {
        self.counts.ended(code);
        let _ = self.metrics.incr(&format!("attempts.E{}", code.number()));
    }

    /// Sends how long something took.
    pub fn time(&self, timer: Timer, span: Duration) {
        let _ = self.metrics.time(timer.name(), span);
    }

    /// Sends a present value.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.metrics.gauge(gauge.name(), value);
    }

    /// Everything counted in this life, for the dump.
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
    let sink = QueuingMetricSink::with_capacity(sink, METRIC_RING);
    Some(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
