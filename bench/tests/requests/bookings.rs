use mastichaven_bench::bookings;
use mastichaven_bench::bookings::Options;

// Entries, agents and the plain service crash and restart; the platform is down, loses responses or
// is partitioned from a zone; callers disconnect and resend their booking to another entry. No
// booking may run twice, and each keyed booking has to get a response.
#[test]
fn run_under_all_faults() {
    let report = bookings::run(Options { bookings: 500, seed: 1, faults: true }).unwrap();
    assert!(report.is_clean(), "{report:#?}");
    assert!(report.ran > 300 && report.faults > 3, "{report:#?}");
}
