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

fn overlap<T: Copy>(ops: &[T]) -> Vec<(usize, Action<T>)> {
    let calls = ops.iter().enumerate().map(|(process, op)| (process, Action::Call(*op)));
    let returns = ops.iter().enumerate().map(|(process, op)| (process, Action::Response(*op)));
    calls.chain(returns).collect()
}

fn in_turn<T: Copy>(ops: &[T]) -> Vec<(usize, Action<T>)> {
    ops.iter().flat_map(|op| [(0, Action::Call(*op)), (0, Action::Response(*op))]).collect()
}

/// Two resends that overlap are both told that theirs was the run.
#[test]
fn booking_register_two_results() {
    let ops = [BookingOp::Ran(1), BookingOp::NotRun, BookingOp::Ran(2)];
    assert!(!is_linearizable::<BookingRegister>(overlap(&ops)));
    assert!(is_linearizable::<BookingRegister>(overlap(&ops[..2])));
}

/// A reader gets the old generation after another reader already got the new one.
#[test]
fn generation_object_read_reverts() {
    let (old, new) = (Generation(1), Generation(2));
    let ops = [GenerationOp::Write(new), GenerationOp::Read(new), GenerationOp::Read(old)];
    assert!(!is_linearizable::<GenerationObject>(in_turn(&ops)));
    assert!(is_linearizable::<GenerationObject>(overlap(&ops)));
}

fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    /// Whatever the order of calls, rising writes with reads between them linearize, and the same
    /// history with one read set back below its predecessor does not.
    #[test]
    fn generation_object_rising(steps in proptest::collection::vec(1_u64..9, 2..40).prop_map(
        |steps| steps.iter().scan(0, |sum, step| { *sum += step; Some(*sum) }).collect::<Vec<_>>()
    )) {
        let ops: Vec<GenerationOp> = steps
            .iter()
            .flat_map(|g| [GenerationOp::Write(Generation(*g)), GenerationOp::Read(Generation(*g))])
            .collect();
        assert!(is_linearizable::<GenerationObject>(in_turn(&ops)));
        let mut broken = ops;
        broken.push(GenerationOp::Read(Generation(steps[steps.len() - 2])));
        assert!(!is_linearizable::<GenerationObject>(in_turn(&broken)));
    }
}
