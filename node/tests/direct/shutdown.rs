use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_node::direct::connection::ConnectionError;

use super::fixture::Site;
use super::fixture::until;

// An entry is stopped under load. It must fail its readiness check at once, answer every request
// that it has read, and exit before it is killed.
#[test]
fn shutdown_completes_requests_in_flight() {
    let site = Site::start();
    let _writer = site.start_endpoint("i-w", "writer", Some(1));
    let mut entry = site.start_entry("stopped");
    until("served", || entry.send_request("/stream/a", "a", "key-1").unwrap().status == 200);
    let is_sending = Arc::new(AtomicBool::new(true));
    let broken_count = thread::scope(|scope| {
        let sender = scope.spawn(|| {
            let mut broken_count = 0;
            let mut n = 0;
            while is_sending.load(Ordering::Acquire) {
                n += 1;
                // Refused connections would be retried at another entry; requests that were read
                // must be answered.
                let result = entry.send_request("/stream/a", &format!("s{n}"), "key-1");
                if matches!(result, Err(ConnectionError::Broken | ConnectionError::TimedOut)) {
                    broken_count += 1;
                }
            }
            broken_count
        });
        thread::sleep(Duration::from_millis(200));
        entry.program.signal("TERM");
        thread::sleep(Duration::from_millis(200));
        assert!(!entry.is_ready());
        thread::sleep(Duration::from_secs(4));
        is_sending.store(false, Ordering::Release);
        sender.join().unwrap()
    });
    assert_eq!(broken_count, 0);
    let wait_started = Instant::now();
    assert!(entry.program.wait());
    assert!(wait_started.elapsed() < Duration::from_secs(8));
    assert!(entry.program.log().contains("stopped"));
}

#[test]
fn sighup_keeps_serving() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("hangup");
    until("served", || entry.send_request("/lookup/a", "a", "key-1").unwrap().status == 200);
    entry.program.signal("HUP");
    for n in 0..20 {
        assert_eq!(entry.send_request("/lookup/a", &format!("l{n}"), "key-1").unwrap().status, 200);
    }
}

// Operators search the log by request id, so every refused request must be logged.
#[test]
fn log_has_id_of_refused_request() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let entry = site.start_entry("logged");
    let refused = entry.send_request("/stream/a", "find-me", "key-1").unwrap();
    assert_eq!(refused.status, 503);
    until("the line is written", || entry.program.log().contains("find-me"));
    let log = entry.program.log();
    let line = log.lines().find(|line| line.contains("find-me")).unwrap();
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    assert_eq!(line["reason"], "no endpoint");
    assert_eq!(line["status"], 503);
    assert!(line["config_age_ms"].is_i64());
}
