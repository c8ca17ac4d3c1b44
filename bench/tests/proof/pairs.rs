use mastichaven_bench::faults;
use mastichaven_bench::faults::table::Pair;
use mastichaven_bench::faults::table::all_pairs;

/// Fleets that run at the same time.
const FLEETS: usize = 8;

/// Seed of the order and of every choice in the rounds.
const SEED: u64 = 1;

/// One pair in so many is run here; `mastichaven-bench faults` runs all.
const PAIRS_SHARE: usize = 40;

fn pairs() -> Vec<Pair> {
    let (alone, together): (Vec<Pair>, Vec<Pair>) =
        all_pairs().into_iter().partition(|pair| pair.second.is_none());
    alone.into_iter().chain(together.into_iter().step_by(PAIRS_SHARE)).collect()
}

/// Every fault comes about while callers work, and some come in twos. A member is billed twice, a
/// ranger reads another park's summary, a crew waits for an answer that never comes: whatever the
/// promises exclude must not be in the history of any run.
#[test]
fn run_all_faults_and_pairs() {
    let hands = faults::deal(pairs(), SEED, FLEETS);
    let report = faults::run_all(&hands, SEED).expect("the fleets start");
    println!("seed {SEED}: {} rounds, {} calls", report.rounds, report.calls);
    assert!(report.found.is_empty(), "{:#?}", report.found);
    assert!(report.stuck.is_empty(), "{:#?}", report.stuck);
    assert!(faults::is_covered(&report), "{:?}", report.examined);
}
