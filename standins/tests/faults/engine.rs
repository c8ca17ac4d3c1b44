//! Tests of the engine.

use std::io::BufRead;
use std::io::BufReader;
use std::thread;
use std::time::Duration;

use mastichaven_core::ids::Digest;
use mastichaven_standins::Engine;
use mastichaven_standins::EngineProfile;
use mastichaven_standins::Origin;
use serde_json::Value;
use serde_json::json;

use crate::ANY_PORT;
use crate::get;
use crate::post;
use crate::send;

/// Starts an engine that has loaded `weights`, and the origin that served them.
fn start_loaded(weights: &[u8]) -> (Engine, Origin) {
    let origin = Origin::start(ANY_PORT, 1e9).unwrap();
    let engine = Engine::start(ANY_PORT, EngineProfile::default(), 7).unwrap();
    assert_eq!(load(&engine, &origin, weights, 1), 200);
    (engine, origin)
}

fn load(engine: &Engine, origin: &Origin, weights: &[u8], plan: u64) -> u16 {
    origin.put(weights, 1 << 20);
    let source = format!("{}/chunks/{}", origin.base(), Digest::of(weights).to_hex());
    let order = json!({"model": "m", "version": "v", "source": source,
        "fence": {"plan": plan, "incarnation": 1}});
    post(format!("{}/admin/load", engine.base()), order.to_string()).unwrap().status_code
}

fn completion_request(engine: &Engine, body: &Value) -> minreq::Request {
    minreq::post(format!("{}/v1/chat/completions", engine.base()))
        .with_header("x-request-id", "r1")
        .with_body(body.to_string())
        .with_timeout(20)
}

/// Reads the events of a stream, and whether it ended completely rather than broke off.
fn read_events(
    response: minreq::ResponseLazy,
    mut on_event: impl FnMut(usize),
) -> (Vec<Value>, bool) {
    let mut events = Vec::new();
    for line in BufReader::new(response).lines() {
        let Ok(line) = line else {
            return (events, false);
        };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => return (events, true),
            Some(data) => {
                events.push(serde_json::from_str(data).unwrap());
                on_event(events.len());
            }
            None => {}
        }
    }
    (events, false)
}

#[test]
fn stream_during_load_reports_both_weights() {
    // An engine loads another version while it streams an answer. The remaining tokens come from
    // the new weights and carry their digest.
    let (engine, origin) = start_loaded(b"old weights");
    let response = completion_request(&engine, &json!({"stream": true, "max_tokens": 20}))
        .send_lazy()
        .unwrap();
    let (events, whole) = read_events(response, |count| {
        if count == 3 {
            assert_eq!(load(&engine, &origin, b"new weights", 2), 200);
        }
    });
    assert!(whole);
    assert_eq!(events[0]["weights"], Digest::of(b"old weights").to_hex());
    assert_eq!(events[19]["weights"], Digest::of(b"new weights").to_hex());
    assert_eq!(load(&engine, &origin, b"old weights", 1), 409);
}

#[test]
fn load_partial_reports_digest_of_bytes_read() {
    // The connection to the source breaks halfway, and the engine treats the bytes as the complete
    // model. Only the digest of the bytes shows the fault.
    let (engine, origin) = start_loaded(b"old weights");
    engine.set_faults(|faults| faults.load_partial = true);
    origin.set_faults(|faults| {
        faults.stall_next = 1;
        faults.stall = Duration::from_millis(200);
    });
    assert_eq!(load(&engine, &origin, b"0123456789", 2), 200);
    assert_eq!(engine.weights(), Some(Digest::of(b"01234")));
}

#[test]
fn load_of_truncated_source_fails() {
    // The connection to the source breaks halfway, and the engine detects it and keeps its weights.
    let (engine, origin) = start_loaded(b"old weights");
    origin.set_faults(|faults| {
        faults.stall_next = 1;
        faults.stall = Duration::from_millis(200);
    });
    assert_eq!(load(&engine, &origin, b"0123456789", 2), 500);
    assert_eq!(engine.weights(), Some(Digest::of(b"old weights")));
}

#[test]
fn poison_aborts_all_requests() {
    // A request crashes the engine's process. All concurrent requests are aborted, and the engine
    // restarts cold, with a new start id and nothing loaded.
    let (engine, _origin) = start_loaded(b"weights");
    engine.set_faults(|faults| faults.poison = "crash me".to_owned());
    let concurrent = completion_request(&engine, &json!({"stream": true, "max_tokens": 1000}))
        .send_lazy()
        .unwrap();
    thread::scope(|scope| {
        let concurrent = scope.spawn(|| read_events(concurrent, |_| {}));
        let body = json!({"messages": [{"role": "user", "content": "crash me"}]});
        assert!(send(completion_request(&engine, &body)).is_none());
        assert!(!concurrent.join().unwrap().1);
    });
    assert_eq!((engine.counts().poisoned, engine.counts().starts), (1, 2));
    let health = get(format!("{}/health", engine.base())).unwrap();
    let health: Value = serde_json::from_slice(health.as_bytes()).unwrap();
    assert_eq!((&health["start_id"], &health["loaded"]), (&json!(8), &Value::Null));
}

#[test]
fn cancel_stops_frozen_stream() {
    // A stream stops sending tokens without ending. A cancel call frees its place in the engine.
    let (engine, _origin) = start_loaded(b"weights");
    engine.set_faults(|faults| faults.freeze_after = Some(3));
    let response = completion_request(&engine, &json!({"stream": true, "max_tokens": 20}))
        .send_lazy()
        .unwrap();
    let (events, whole) = read_events(response, |count| {
        if count == 3 {
            let cancel = json!({"id": "r1"}).to_string();
            post(format!("{}/admin/cancel", engine.base()), cancel).unwrap();
        }
    });
    assert_eq!((events.len(), whole), (3, false));
    while engine.running() > 0 {
        thread::yield_now();
    }
    assert_eq!(engine.counts().cancelled, 1);
}

#[test]
fn cache_events_show_gaps() {
    // Events of the prefix cache are lost. The sequence numbers show the gap, and the cache stays
    // correct.
    let (engine, _origin) = start_loaded(b"weights");
    engine.set_faults(|faults| faults.lose_events = 1);
    let long = "x".repeat(200);
    let body = json!({"messages": [{"role": "user", "content": long}]});
    for _ in 0..2 {
        assert_eq!(completion_request(&engine, &body).send().unwrap().status_code, 200);
    }
    let events = get(format!("{}/cache/events?after=0", engine.base())).unwrap();
    let events: Value = serde_json::from_slice(events.as_bytes()).unwrap();
    assert_eq!(events["events"][0]["sequence"], 2);
    assert_eq!(events["next"], 3);
    assert_eq!((engine.counts().cache_hits, engine.counts().cache_misses), (3, 3));
}

#[test]
fn faults_unknown_field_is_rejected() {
    let engine = Engine::start(ANY_PORT, EngineProfile::default(), 1).unwrap();
    let faults = format!("{}/faults", engine.base());
    assert_eq!(post(faults.clone(), r#"{"slow": 2.0}"#).unwrap().status_code, 200);
    assert_eq!(post(faults, r#"{"slwo": 2.0}"#).unwrap().status_code, 400);
}
