use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mastichaven_bench::fleet::CHUNK_LEN;
use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;
use mastichaven_core::config::Version;
use mastichaven_core::ids::Digest;
use mastichaven_standins::origin::random_weights;

const MODEL_LEN: usize = 512 << 10;
const TIMEOUT: Duration = Duration::from_secs(60);
const TOKENS: usize = 60;

/// Sends one streaming request. Returns the weights that all tokens of its answer name.
fn send_request(fleet: &Fleet, n: usize) -> Result<String, String> {
    let body = format!(
        r#"{{"model":"rota","stream":true,"max_tokens":{TOKENS},"messages":[{{"role":"user","content":"draft {n}"}}]}}"#
    );
    let response = minreq::post(format!("http://{}/v1/chat/completions", fleet.callers_addr(n)))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("content-type", "application/json")
        .with_body(body)
        .with_timeout(20)
        .send()
        .map_err(|e| e.to_string())?;
    let text = response.as_str().map_err(|e| e.to_string())?;
    if response.status_code != 200 {
        return Err(format!("{}: {text}", response.status_code));
    }
    let weights: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_once("\"weights\":\"")?.1.split('"').next())
        .collect();
    let is_complete = weights.len() == TOKENS && text.trim_end().ends_with("[DONE]");
    let is_same_version = weights.windows(2).all(|pair| pair[0] == pair[1]);
    if is_complete && is_same_version {
        Ok(weights[0].to_owned())
    } else {
        Err(format!("answer incomplete or of mixed versions: {text}"))
    }
}

// A new version is published while callers stream answers. One engine ignores its initial orders,
// and an answer of another engine to an order is lost. Without a ready replica a request would be
// refused, a reload during a request would truncate its answer, and mixed versions would show as
// tokens of different weights in one answer.
#[test]
fn publish_new_version_during_streams() {
    let fleet = Fleet::start(&Layout::default()).unwrap();
    let old = fleet.serve_model(MODEL_LEN, TIMEOUT).unwrap();
    let bytes = random_weights(2, MODEL_LEN);
    let new = Digest::of(&bytes);
    let manifest = fleet.origin.put(&bytes, CHUNK_LEN);
    let old_manifest = fleet.origin.put(&random_weights(1, MODEL_LEN), CHUNK_LEN);
    let mut config = fleet.configuration(&old_manifest).unwrap();
    config.version.insert(
        "rota-2".into(),
        Version { model: "rota".into(), manifest: manifest.digest().to_hex().into() },
    );
    config.model.get_mut(&"rota".into()).unwrap().serve = "rota-2".into();
    let mut engines = fleet.engines.values();
    let ignoring_engine = engines.next().unwrap();
    ignoring_engine.ignore_orders(true);
    engines.next().unwrap().set_faults(|faults| faults.lose_order_answers = 1);
    let is_finished = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| {
                let (fleet, is_finished) = (&fleet, &is_finished);
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    let mut n = caller;
                    while !is_finished.load(Ordering::Acquire) {
                        answers.push(send_request(fleet, n));
                        n += 6;
                    }
                    answers
                })
            })
            .collect();
        fleet.publish(&config).unwrap();
        let most_loaded = wait_until(TIMEOUT, || fleet.replicas(new) + 1 >= fleet.engines.len());
        ignoring_engine.ignore_orders(false);
        let all_loaded = wait_until(TIMEOUT, || fleet.replicas(new) == fleet.engines.len());
        is_finished.store(true, Ordering::Release);
        let answers: Vec<_> = callers.into_iter().flat_map(|c| c.join().unwrap()).collect();
        assert!(most_loaded.is_some() && all_loaded.is_some(), "{} replicas", fleet.replicas(new));
        answers
    });
    let failures: Vec<_> = answers.iter().filter(|answer| answer.is_err()).collect();
    assert!(failures.is_empty(), "{} of {}: {:?}", failures.len(), answers.len(), failures[0]);
    let count_from = |weights: Digest| {
        let hex = weights.to_hex();
        answers.iter().flatten().filter(|w| hex.starts_with(w.as_str())).count()
    };
    assert!(
        count_from(old) > 0 && count_from(new) > 0,
        "{} and {}",
        count_from(old),
        count_from(new)
    );
    assert_eq!(count_from(old) + count_from(new), answers.len());
    fleet.stop();
}
