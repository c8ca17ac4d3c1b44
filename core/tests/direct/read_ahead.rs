use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::leaving::EndpointProcess;
use mastichaven_core::direct::read_ahead::FullProcesses;
use mastichaven_core::direct::read_ahead::ReadAheadBudget;
use mastichaven_core::direct::read_ahead::ReadPauses;
use mastichaven_core::direct::read_ahead::is_memory_full;

const MIB: usize = 1 << 20;

// Guards against slow callers that take more of the entry's memory than is set aside for them, and against streams that
// get no further because of slow callers of others.
#[test]
fn admits_up_to_limits_and_little_of_each_stream_beyond() {
    let mut budget = ReadAheadBudget::new(160 * MIB);
    assert!(budget.admits(63 << 10, 1 << 10));
    assert!(!budget.admits(64 << 10, 1));
    budget.add(16 * MIB - 100);
    assert!(budget.admits(8 << 10, 100));
    assert!(!budget.admits(8 << 10, 101));
    assert!(budget.admits(0, 256 << 10));
    assert!(budget.admits(3 << 10, 1 << 10));
    budget.remove(1);
    assert!(budget.admits(8 << 10, 101));
    assert!(!ReadAheadBudget::new(10 * MIB).admits(8 << 10, MIB));
    assert_eq!(ReadAheadBudget::bytes_ahead(4_000, 100), 4);
}

// Guards against requests that are suspected because their caller did not read the answer, and against callers that
// hide a crash by a short pause.
#[test]
fn explain_loss_after_long_pause_only() {
    let mut pauses = ReadPauses::default();
    let now = Time::from_millis(10_000);
    pauses.record(Duration::from_millis(900), now);
    assert!(!pauses.explain_loss(now));
    pauses.record(Duration::from_secs(1), now);
    assert!(pauses.explain_loss(now + Duration::from_secs(2)));
    assert!(!pauses.explain_loss(now + Duration::from_secs(3)));
}

// Guards against requests that are suspected of the end of an endpoint that all its requests have filled, and against
// endpoints that excuse a crash by a report of long ago or of another process.
#[test]
fn full_memory_explains_end_of_process_for_a_while() {
    assert!(is_memory_full(95, 100) && !is_memory_full(94, 100) && !is_memory_full(0, 0));
    let process = |started_ms| EndpointProcess { address: ([127, 0, 0, 1], 1).into(), started_ms };
    let now = Time::from_millis(10_000);
    let mut full = FullProcesses::default();
    full.record(process(1), now);
    assert!(full.explain_end(process(1), now + Duration::from_millis(900)));
    assert!(!full.explain_end(process(1), now + Duration::from_secs(1)));
    assert!(!full.explain_end(process(2), now));
}
