//! The demonstration as `mastichaven-bench demo` runs it.

use std::fs;
use std::path::Path;
use std::time::Duration;

use mastichaven_bench::demo;
use mastichaven_bench::demo::DemoLimits;
use serde_json::Value;

#[test]
fn run_without_breaches() {
    // Guards against a demonstration that fails, leaves a request unanswered or runs a booking twice.
    let limits = DemoLimits {
        step_timeout: Duration::from_secs(90),
        max_zone_drain: Duration::from_secs(60),
    };
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("demo.json");
    demo::run(limits, Some(&file)).unwrap();
    let figures: Value = serde_json::from_slice(&fs::read(&file).unwrap()).unwrap();
    assert_eq!(figures["requests_answered"], figures["requests_sent"]);
    assert_eq!(figures["bookings_run"], 1);
    assert_eq!(figures["broken"], Value::Array(Vec::new()));
}
