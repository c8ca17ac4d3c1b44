use mastichaven_bench::target;

// A change of one file sends that file to every process. With files of hundreds of kilobytes, each
// change would exceed the budget of 3 KB a second for 16 seconds.
#[test]
fn run_largest_file_below_16_kib() {
    let out = std::env::temp_dir().join(format!("mastichaven-target-{}", std::process::id()));
    let report = target::run(&out).unwrap();
    std::fs::remove_dir_all(&out).unwrap();
    assert!(report.files > 50 && report.bytes > 100_000, "{report:?}");
    assert!(report.largest_file < 16 << 10, "{report:?}");
}
