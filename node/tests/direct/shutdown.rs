use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_node::direct::connection::ConnectionError;

use super::fixture::Site;
use super::fixture::until;

// An entry is stopped while callers use it. It must leave the balancer's rotation at once, answer
// everything that it has read, and end before it is killed.
#[test]
fn stop_cuts_off_no_request() {
    let site = Site::start();
    let _writer = site.endpoint("i-w", "writer", Some(1));
    let mut entry = site.entry("stopped");
    until("served", || entry.ask("/stream/a", "a", "key-1").unwrap().status == 200);
    let entry_asked = Arc::new(AtomicBool::new(true));
    let broken = thread::scope(|scope| {
        let asks = scope.spawn(|| {
            let mut broken = 0;
            let mut n = 0;
            while entry_asked.load(Ordering::Acquire) {
                n += 1;
                // Connections that are refused go to another entry; those that were read must end.
                let asked = entry.ask("/stream/a", &format!("s{n}"), "key-1");
                if matches!(asked, Err(ConnectionError::Broken | ConnectionError::TimedOut)) {
                    broken += 1;
                }
            }
            broken
        });
        thread::sleep(Duration::from_millis(200));
        entry.program.signal("TERM");
        thread::sleep(Duration::from_millis(200));
        assert!(!entry.is_ready());
        thread::sleep(Duration::from_secs(4));
        entry_asked.store(false, Ordering::Release);
        asks.join().unwrap()
    });
    assert_eq!(broken, 0);
    let began = Instant::now();
    assert!(entry.program.wait());
    assert!(began.elapsed() < Duration::from_secs(8));
    assert!(entry.program.log().contains("stopped"));
}

#[test]
fn hangup_keeps_serving() {
    let site = Site::start();
    let _desk = site.endpoint("i-d", "desk", None);
    let entry = site.entry("hangup");
    until("served", || entry.ask("/lookup/a", "a", "key-1").unwrap().status == 200);
    entry.program.signal("HUP");
    for n in 0..20 {
        assert_eq!(entry.ask("/lookup/a", &format!("l{n}"), "key-1").unwrap().status, 200);
    }
}

// The log is what operators have after a failure: each refused request must be found by its id.
#[test]
fn log_names_each_refused_request() {
    let site = Site::start();
    let _desk = site.endpoint("i-d", "desk", None);
    let entry = site.entry("logged");
    let refused = entry.ask("/stream/a", "find-me", "key-1").unwrap();
    assert_eq!(refused.status, 503);
    until("the line is written", || entry.program.log().contains("find-me"));
    let log = entry.program.log();
    let line = log.lines().find(|line| line.contains("find-me")).unwrap();
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    assert_eq!(line["reason"], "no endpoint");
    assert_eq!(line["status"], 503);
    assert!(line["config_age_ms"].is_i64());
}
