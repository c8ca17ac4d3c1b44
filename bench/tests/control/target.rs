use mastichaven_bench::target;

// One change sends one file to every process. If the target's deployment needed files of hundreds
// of kilobytes, each change would break the budget of 3 KB a second for 16 seconds.
#[test]
fn run_keeps_files_small() {
    let out = std::env::temp_dir().join(format!("mastichaven-target-{}", std::process::id()));
    let report = target::run(&out).unwrap();
    std::fs::remove_dir_all(&out).unwrap();
    assert!(report.files > 50 && report.bytes > 100_000, "{report:?}");
    assert!(report.largest_file < 16 << 10, "{report:?}");
}
