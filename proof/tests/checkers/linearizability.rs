use mastichaven_core::ids::Generation;
use mastichaven_proof::BookingOp;
use mastichaven_proof::BookingRegister;
use mastichaven_proof::GenerationObject;
use mastichaven_proof::GenerationOp;
use mastichaven_proof::is_linearizable;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use todc_utils::Action;

fn overlapping<T: Copy>(ops: &[T]) -> Vec<(usize, Action<T>)> {
    let calls = ops.iter().enumerate().map(|(process, op)| (process, Action::Call(*op)));
    let returns = ops.iter().enumerate().map(|(process, op)| (process, Action::Response(*op)));
    calls.chain(returns).collect()
}

fn sequential<T: Copy>(ops: &[T]) -> Vec<(usize, Action<T>)> {
    ops.iter().flat_map(|op| [(0, Action::Call(*op)), (0, Action::Response(*op))]).collect()
}

/// Two overlapping resends both return as run, with different results.
#[test]
fn booking_register_two_results() {
    let ops = [BookingOp::Ran(1), BookingOp::NotRun, BookingOp::Ran(2)];
    assert!(!is_linearizable::<BookingRegister>(overlapping(&ops)));
    assert!(is_linearizable::<BookingRegister>(overlapping(&ops[..2])));
}

/// A read returns an older generation after an earlier read already returned the newer one.
#[test]
fn generation_object_stale_read() {
    let (old, new) = (Generation(1), Generation(2));
    let ops = [GenerationOp::Write(new), GenerationOp::Read(new), GenerationOp::Read(old)];
    assert!(!is_linearizable::<GenerationObject>(sequential(&ops)));
    assert!(is_linearizable::<GenerationObject>(overlapping(&ops)));
}

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    /// Increasing writes with reads between them are linearizable. The same history followed by a
    /// read of the last but one generation is not.
    #[test]
    fn generation_object_increasing_writes(steps in proptest::collection::vec(1_u64..9, 2..40).prop_map(
        |steps| steps.iter().scan(0, |sum, step| { *sum += step; Some(*sum) }).collect::<Vec<_>>()
    )) {
        let ops: Vec<GenerationOp> = steps
            .iter()
            .flat_map(|g| [GenerationOp::Write(Generation(*g)), GenerationOp::Read(Generation(*g))])
            .collect();
        assert!(is_linearizable::<GenerationObject>(sequential(&ops)));
        let mut with_stale_read = ops;
        with_stale_read.push(GenerationOp::Read(Generation(steps[steps.len() - 2])));
        assert!(!is_linearizable::<GenerationObject>(sequential(&with_stale_read)));
    }
}
