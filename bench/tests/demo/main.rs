//! The demonstration, as a new user runs it.

use std::fs;
use std::path::Path;
use std::time::Duration;

use mastichaven_bench::demo;
use mastichaven_bench::demo::DemoLimits;
use serde_json::Value;

#[test]
fn run_breaks_no_promise() {
    // The first thing that a new user tries. It must end well, with every request answered.
    let limits = DemoLimits { step: Duration::from_secs(90), zone_out: Duration::from_secs(60) };
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("demo.json");
    demo::run(limits, Some(&file)).unwrap();
    let figures: Value = serde_json::from_slice(&fs::read(&file).unwrap()).unwrap();
    assert_eq!(figures["requests_answered"], figures["requests_sent"]);
    assert_eq!(figures["bookings_run"], 1);
    assert_eq!(figures["broken"], Value::Array(Vec::new()));
}
