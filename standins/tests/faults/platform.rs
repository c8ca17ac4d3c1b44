//! Tests of the platform.

use std::time::Duration;

use mastichaven_standins::Platform;

use crate::ANY_PORT;
use crate::get;
use crate::post;
use crate::send;

fn create(base: &str, key: &str) -> Option<minreq::Response> {
    let put = minreq::put(format!("{base}/v1/objects/{key}"));
    send(put.with_header("if-none-match", "*").with_body("value"))
}

#[test]
fn lost_answer_leaves_write_in_effect() {
    // A write takes effect but its answer is lost. The writer has to read the object to tell this
    // from a write that never arrived.
    let platform = Platform::start(ANY_PORT).unwrap();
    platform.set_faults(|faults| faults.lose_answers = 1);
    assert!(create(&platform.base(), "a").is_none());
    assert_eq!(get(format!("{}/v1/objects/a", platform.base())).unwrap().status_code, 200);
    assert_eq!(create(&platform.base(), "a").unwrap().status_code, 412);
}

#[test]
fn partitioned_proxy_blocks_calls() {
    // A zone is partitioned from the platform: its writes neither arrive nor are refused, while
    // other zones are unaffected.
    let platform = Platform::start(ANY_PORT).unwrap();
    let proxy = platform.open_proxy(ANY_PORT).unwrap();
    proxy.set_partitioned(true);
    assert!(create(&proxy.base(), "a").is_none());
    assert_eq!(get(format!("{}/v1/objects/a", platform.base())).unwrap().status_code, 404);
    proxy.set_partitioned(false);
    assert_eq!(create(&proxy.base(), "a").unwrap().status_code, 200);
}

#[test]
fn watch_before_compaction_is_rejected() {
    // A watcher missed changes that have been compacted. Its watch is rejected; after a new list it
    // can watch from there.
    let platform = Platform::start(ANY_PORT).unwrap();
    for key in ["a", "b", "c"] {
        create(&platform.base(), key).unwrap();
    }
    let faults = format!("{}/faults", platform.base());
    assert_eq!(post(faults, r#"{"kept_changes": 1}"#).unwrap().status_code, 200);
    let watch = |after| get(format!("{}/v1/watch?after={after}&wait_ms=0", platform.base()));
    assert_eq!(watch(1).unwrap().status_code, 410);
    assert_eq!(watch(2).unwrap().status_code, 200);
}

#[test]
fn throttle_counts_every_call() {
    let platform = Platform::start(ANY_PORT).unwrap();
    platform.set_faults(|faults| faults.calls_per_second = 1e-9);
    let url = format!("{}/v1/hosts", platform.base());
    assert_eq!(get(url.clone()).unwrap().status_code, 200);
    assert_eq!(get(url).unwrap().status_code, 429);
    assert_eq!(platform.calls().throttled, 1);
}

#[test]
fn hosts_lag_shows_older_list() {
    let platform = Platform::start(ANY_PORT).unwrap();
    platform.set_faults(|faults| faults.hosts_lag = Duration::from_secs(3_600));
    platform.set_hosts(Vec::new());
    let host = r#"[{"name":"h","role":"agent","zone":"z","region":"r",
        "address":"127.0.0.1:1","leaving":false}]"#;
    let url = format!("{}/v1/hosts", platform.base());
    let put = send(minreq::put(url.clone()).with_body(host)).unwrap();
    assert_eq!(put.status_code, 200);
    assert_eq!(get(url.clone()).unwrap().as_bytes(), b"[]\n");
    platform.set_faults(|faults| faults.hosts_lag = Duration::ZERO);
    assert_ne!(get(url).unwrap().as_bytes(), b"[]\n");
}
