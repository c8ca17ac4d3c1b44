use mastichaven_bench::faults;
use mastichaven_bench::faults::table::Pair;
use mastichaven_bench::faults::table::all_pairs;

/// Number of fleets that run at the same time.
const FLEETS: usize = 8;

/// Seed of the order of rounds and of all random choices in them.
const SEED: u64 = 1;

/// Runs every 40th pair to bound the duration of the test; `mastichaven-bench faults` runs all.
const PAIRS_STEP: usize = 40;

fn selected_pairs() -> Vec<Pair> {
    let (single, double): (Vec<Pair>, Vec<Pair>) =
        all_pairs().into_iter().partition(|pair| pair.second.is_none());
    single.into_iter().chain(double.into_iter().step_by(PAIRS_STEP)).collect()
}

/// Guards against a fault or a pair of faults that breaks a promise under load: a request that runs
/// twice, a reply that belongs to another request, or a request that is never answered.
#[test]
fn run_all_faults_and_pairs() {
    let shares = faults::split_pairs(selected_pairs(), SEED, FLEETS);
    let report = faults::run_all(&shares, SEED).expect("the fleets start");
    println!("seed {SEED}: {} rounds, {} calls", report.rounds, report.calls);
    assert!(report.found.is_empty(), "{:#?}", report.found);
    assert!(report.stuck.is_empty(), "{:#?}", report.stuck);
    assert!(faults::covers_all_promises(&report), "{:?}", report.examined);
}
