use mastichaven_bench::bookings;
use mastichaven_bench::bookings::Options;

// Entries, agents and the booking desk crash and come back, the platform goes down, loses answers
// or is cut off from a zone, and callers hang up and send their booking again elsewhere. A booking
// that ran twice would send two crews to one pen; one that nobody answers would vanish.
#[test]
fn run_under_all_faults() {
    let report = bookings::run(Options { bookings: 500, seed: 1, faults: true }).unwrap();
    assert!(report.is_clean(), "{report:#?}");
    assert!(report.ran > 300 && report.faults > 3, "{report:#?}");
}
