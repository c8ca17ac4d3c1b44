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
const LIMIT: Duration = Duration::from_secs(60);
const TOKENS: usize = 60;

/// Sends one streamed request; gives the weights it was answered from.
fn ask(fleet: &Fleet, n: usize) -> Result<String, String> {
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
    let whole = weights.len() == TOKENS && text.trim_end().ends_with("[DONE]");
    let same = weights.windows(2).all(|pair| pair[0] == pair[1]);
    if whole && same { Ok(weights[0].to_owned()) } else { Err(format!("not whole: {text}")) }
}

// Operators publish a new version while callers stream answers; one engine ignores its first
// orders, another's answers to orders get lost. A caller would notice a gap as a refusal, a reload
// under its request as a cut, and mixed weights as an answer that changes its mind half way.
#[test]
fn publish_new_version_under_streams() {
    let fleet = Fleet::start(&Layout::default()).unwrap();
    let old = fleet.serve_model(MODEL_LEN, LIMIT).unwrap();
    let bytes = random_weights(2, MODEL_LEN);
    let new = Digest::of(&bytes);
    let manifest = fleet.origin.put(&bytes, CHUNK_LEN);
    let first = fleet.origin.put(&random_weights(1, MODEL_LEN), CHUNK_LEN);
    let mut config = fleet.configuration(&first).unwrap();
    config.version.insert(
        "rota-2".into(),
        Version { model: "rota".into(), manifest: manifest.digest().to_hex().into() },
    );
    config.model.get_mut(&"rota".into()).unwrap().serve = "rota-2".into();
    let mut engines = fleet.engines.values();
    let ignoring = engines.next().unwrap();
    ignoring.ignore_orders(true);
    engines.next().unwrap().set_faults(|faults| faults.lose_order_answers = 1);
    let over = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| {
                let (fleet, over) = (&fleet, &over);
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    let mut n = caller;
                    while !over.load(Ordering::Acquire) {
                        answers.push(ask(fleet, n));
                        n += 6;
                    }
                    answers
                })
            })
            .collect();
        fleet.publish(&config).unwrap();
        let most = wait_until(LIMIT, || fleet.replicas(new) + 1 >= fleet.engines.len());
        ignoring.ignore_orders(false);
        let all = wait_until(LIMIT, || fleet.replicas(new) == fleet.engines.len());
        over.store(true, Ordering::Release);
        let answers: Vec<_> = callers.into_iter().flat_map(|c| c.join().unwrap()).collect();
        assert!(most.is_some() && all.is_some(), "{} replicas", fleet.replicas(new));
        answers
    });
    let bad: Vec<_> = answers.iter().filter(|answer| answer.is_err()).collect();
    assert!(bad.is_empty(), "{} of {}: {:?}", bad.len(), answers.len(), bad[0]);
    let from = |weights: Digest| {
        let hex = weights.to_hex();
        answers.iter().flatten().filter(|w| hex.starts_with(w.as_str())).count()
    };
    assert!(from(old) > 0 && from(new) > 0, "{} and {}", from(old), from(new));
    assert_eq!(from(old) + from(new), answers.len());
    fleet.stop();
}
