//! Metrics as a StatsD server receives them.

use std::net::UdpSocket;
use std::time::Duration;

use mastichaven_core::Code;
use mastichaven_core::Outcome;
use mastichaven_node::telemetry::Counter;
use mastichaven_node::telemetry::Gauge;
use mastichaven_node::telemetry::Telemetry;
use mastichaven_node::telemetry::Timer;

use crate::ANY;

#[test]
fn counters_reach_statsd_and_dump() {
    let server = UdpSocket::bind(ANY).unwrap();
    server.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let telemetry = Telemetry::start(&"host-1".into(), Some(server.local_addr().unwrap()));
    telemetry.add(Counter::Orders, 3);
    telemetry.answered(Code::Shed, Outcome::NotRun, Duration::from_millis(7));
    let expected = [
        "mastichaven.engine.orders:3|c",
        "mastichaven.requests.E106:1|c",
        "mastichaven.requests.outcome.not-run:1|c",
        "mastichaven.requests.to_head:7|ms",
    ];
    let mut buf = [0; 512];
    for expected in expected {
        let len = server.recv(&mut buf).unwrap();
        assert_eq!(std::str::from_utf8(&buf[..len]).unwrap(), expected);
    }
    let counts = serde_json::json!({"engine.orders": 3, "E106": 1});
    assert_eq!(telemetry.counts(), counts);
}

#[test]
fn documented_metrics_match_code() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let names = |kind: &str| -> Vec<String> {
        let row = |line: &str| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let known = cells.len() == 5 && cells[2] == kind && !cells[1].contains('…');
            known.then(|| cells[1].trim_matches('`').to_owned())
        };
        page.lines().filter_map(row).collect()
    };
    let counters: Vec<&str> = Counter::ALL.iter().map(|counter| counter.name()).collect();
    assert_eq!(names("counter"), counters);
    let mut timers: Vec<&str> = Timer::ALL.iter().map(|timer| timer.name()).collect();
    timers.push("requests.to_head");
    assert_eq!(names("timer"), timers);
    let gauges: Vec<&str> = Gauge::ALL.iter().map(|gauge| gauge.name()).collect();
    assert_eq!(names("gauge"), gauges);
}
