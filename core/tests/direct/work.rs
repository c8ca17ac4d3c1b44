//! Expected work of requests, and the time that engines need for it.

use std::time::Duration;

use mastichaven_core::direct::work::EngineRates;
use mastichaven_core::direct::work::Work;

const RATES: EngineRates = EngineRates {
    step_ms: 8.0,
    per_seq_ms: 0.5,
    context_per_k: 0.2,
    read_per_s: 10_000.0,
    pairs_per_m: 2.0,
    chunk: 512,
    stride: 4,
    usual: Work { prompt: 500, answer: 80 },
};

// One hint is ten times the truth. It must not make the request look ten times as long.
#[test]
fn expected_bounds_a_wrong_hint() {
    let answer = |max, hint| Work::expected(500, max, hint, RATES.usual).answer;
    assert_eq!(answer(0, Some(800)), 320);
    assert_eq!(answer(0, Some(1)), 20);
    assert_eq!(answer(0, Some(100)), 100);
    assert_eq!(answer(0, None), 80);
    assert_eq!(answer(50, Some(800)), 50, "an answer ends at its maximum");
    assert_eq!(Work::expected(0, 0, None, RATES.usual), RATES.usual, "nothing is known");
}

// A prompt of 3,900 tokens is no more than one of 50 while each request counts as one.
#[test]
fn first_event_grows_with_prompt_and_load() {
    assert_eq!(RATES.reading_time(10_000), Duration::from_millis(1_100));
    // One and a half steps of 8 ms, 50 ms for the tokens and 0.25 ms for their pairs.
    assert_eq!(RATES.first_event(500, 0.0), Duration::from_micros(62_250));
    assert!(RATES.first_event(500, 6.0) > RATES.first_event(500, 0.0));
    assert!(RATES.first_event(3_900, 6.0) > RATES.first_event(500, 6.0) * 4);
    assert!((RATES.reading_weight(500) - 1.0).abs() < f64::EPSILON);
    assert!((RATES.reading_weight(u32::MAX) - 10.0).abs() < f64::EPSILON);
    assert!(RATES.is_long(1_001) && !RATES.is_long(1_000));
}

// Rates of 0 or that are no numbers must not stop an entry.
#[test]
fn first_event_is_bounded_with_faulty_rates() {
    for faulty in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let rates = EngineRates { read_per_s: faulty, step_ms: faulty, chunk: 0, ..RATES };
        assert!(rates.first_event(500, 2.0) <= Duration::from_secs(60));
        assert!((0.1..=10.0).contains(&rates.reading_weight(900)));
    }
}
