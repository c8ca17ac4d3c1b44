use std::time::Duration;

use mastichaven_core::admission::Admission;
use mastichaven_core::admission::COLD_LIMIT;
use mastichaven_core::admission::Permit;
use mastichaven_core::admission::RequestEnd;
use mastichaven_core::admission::WARM_UP_REQUESTS;

const COMPLETE_FAST: RequestEnd = RequestEnd::Complete(Duration::from_millis(20));

fn acquire_all(admission: &mut Admission) -> Vec<Permit> {
    std::iter::from_fn(|| admission.try_acquire(100)).collect()
}

fn complete_rounds(admission: &mut Admission, rounds: u32, end: RequestEnd) -> u32 {
    let mut max_admitted = 0;
    for _ in 0..rounds {
        let permits = acquire_all(admission);
        max_admitted = permits.len() as u32;
        for permit in permits {
            admission.release(permit, end);
        }
    }
    max_admitted
}

// A new engine fails under the load that a warm one handles.
#[test]
fn try_acquire_cold_until_warm_up() {
    let mut admission = Admission::cold(16);
    let mut completed = 0;
    while completed < WARM_UP_REQUESTS {
        let permits = acquire_all(&mut admission);
        assert_eq!(permits.len() as u32, COLD_LIMIT);
        completed += COLD_LIMIT;
        for permit in permits {
            admission.release(permit, COMPLETE_FAST);
        }
    }
    assert_eq!(complete_rounds(&mut admission, 6, COMPLETE_FAST), 16);
}

// A warm engine restarts between two checks of its agent. Until the new start id is seen, it must
// get no more requests than a cold engine handles.
#[test]
fn needs_confirmation_bounds_unseen_restart() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, COMPLETE_FAST);
    let mut sent = 0;
    while !admission.needs_confirmation() {
        let permit = admission.try_acquire(100);
        assert!(permit.is_some());
        admission.record_sent();
        sent += 1;
    }
    assert_eq!(sent, COLD_LIMIT);
    admission.restart();
    assert!(
        admission.try_acquire(100).is_none(),
        "two requests from before the restart still hold permits"
    );
}

#[test]
fn release_after_restart() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, COMPLETE_FAST);
    let old = acquire_all(&mut admission);
    admission.restart();
    for permit in old {
        admission.release(permit, COMPLETE_FAST);
    }
    assert_eq!(acquire_all(&mut admission).len() as u32, COLD_LIMIT);
}

// An engine becomes cold without a restart; the only sign is the latency to the first byte.
#[test]
fn release_after_latency_jump() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, COMPLETE_FAST);
    let slow = RequestEnd::Complete(Duration::from_millis(600));
    for _ in 0..2 {
        let permit = admission.try_acquire(100).unwrap();
        admission.release(permit, slow);
    }
    assert_eq!(acquire_all(&mut admission).len() as u32, COLD_LIMIT);
}

#[test]
fn try_acquire_exclusive_waits_for_idle() {
    let mut admission = Admission::cold(16);
    let other = admission.try_acquire(100).unwrap();
    assert!(admission.reserve_exclusive());
    assert!(!admission.reserve_exclusive());
    assert!(admission.try_acquire(100).is_none());
    assert!(admission.try_acquire_exclusive(100).is_none());
    admission.release(other, COMPLETE_FAST);
    let suspect = admission.try_acquire_exclusive(100).unwrap();
    assert!(admission.try_acquire(100).is_none());
    admission.release(suspect, COMPLETE_FAST);
    assert!(admission.try_acquire(100).is_some());
}

// A few prompts are a hundred times larger than average. Limited by their number alone, they would
// exceed the work that the engine can handle.
#[test]
fn try_acquire_limits_work() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, COMPLETE_FAST);
    let mut admitted = 0;
    while admission.try_acquire(10_000).is_some() {
        admitted += 1;
    }
    assert!((1..=4).contains(&admitted), "{admitted}");
}
