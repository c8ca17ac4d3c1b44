use mastichaven_bench::faults::caller::RequestKind;
use mastichaven_bench::faults::recorded_fleet::RecordedFleet;
use mastichaven_core::Outcome;
use mastichaven_proof::Promise;
use mastichaven_proof::check;

/// An engine crashes on a request that it has begun, the entry retries and every other endpoint
/// refuses. The refusal holds for the last attempt only: after a `not-run` the caller may repeat by
/// hand what has already run.
#[test]
fn call_crashed_then_refused() {
    let recorded = RecordedFleet::start().expect("the fleet starts");
    for engine in recorded.fleet.engines.values() {
        engine.set_faults(|faults| faults.poison = "poison".to_owned());
    }
    let mut outcomes = Vec::new();
    for n in 0..4 {
        outcomes.push(recorded.call(RequestKind::Lookup(2), n, Some("poison")));
    }
    let verdict = check(Promise::NotRunIsTrue, &recorded.recorder.snapshot());
    assert_eq!(verdict.violations, []);
    assert_ne!(outcomes[0], Some(Outcome::NotRun));
}
