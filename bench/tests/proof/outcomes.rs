use mastichaven_bench::faults::caller::Kind;
use mastichaven_bench::faults::world::World;
use mastichaven_core::Outcome;
use mastichaven_proof::Promise;
use mastichaven_proof::check;

/// An engine dies of a request that it has begun, the entry tries again and every other endpoint
/// refuses. The last refusal is true of the last attempt only; a caller who is told `not-run` may
/// do by hand what has run already.
#[test]
fn call_crashed_then_refused() {
    let world = World::start().expect("the fleet starts");
    for engine in world.fleet.engines.values() {
        engine.set_faults(|faults| faults.poison = "poison".to_owned());
    }
    let mut outcomes = Vec::new();
    for n in 0..4 {
        outcomes.push(world.call(Kind::Lookup(2), n, Some("poison")));
    }
    let verdict = check(Promise::NotRunIsTrue, &world.recorder.snapshot());
    assert_eq!(verdict.violations, []);
    assert_ne!(outcomes[0], Some(Outcome::NotRun));
}
