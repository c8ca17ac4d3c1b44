use std::time::Duration;

use mastichaven_core::admission::Admission;
use mastichaven_core::admission::COLD_LIMIT;
use mastichaven_core::admission::Left;
use mastichaven_core::admission::Place;
use mastichaven_core::admission::WARM_AFTER;

const FAST: Left = Left::Whole(Duration::from_millis(20));

fn fill(admission: &mut Admission) -> Vec<Place> {
    std::iter::from_fn(|| admission.try_enter(100)).collect()
}

fn complete_rounds(admission: &mut Admission, rounds: u32, left: Left) -> u32 {
    let mut most = 0;
    for _ in 0..rounds {
        let places = fill(admission);
        most = places.len() as u32;
        for place in places {
            admission.leave(place, left);
        }
    }
    most
}

// A fresh engine falls over when it gets what a warm one bears.
#[test]
fn try_enter_cold_until_it_has_completed_work() {
    let mut admission = Admission::cold(16);
    let mut completed = 0;
    while completed < WARM_AFTER {
        let places = fill(&mut admission);
        assert_eq!(places.len() as u32, COLD_LIMIT);
        completed += COLD_LIMIT;
        for place in places {
            admission.leave(place, FAST);
        }
    }
    assert_eq!(complete_rounds(&mut admission, 6, FAST), 16);
}

// A warm engine restarts between two looks of its agent. What goes out before a sign of its new
// life is no more than a cold one bears.
#[test]
fn needs_sign_of_life_bounds_what_a_restart_can_get() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, FAST);
    let mut unseen = 0;
    while !admission.needs_sign_of_life() {
        let place = admission.try_enter(100);
        assert!(place.is_some());
        admission.sent();
        unseen += 1;
    }
    assert_eq!(unseen, COLD_LIMIT);
    admission.restart();
    assert!(admission.try_enter(100).is_none(), "two of the old life still hold places");
}

#[test]
fn leave_of_an_earlier_life_warms_nobody() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, FAST);
    let old = fill(&mut admission);
    admission.restart();
    for place in old {
        admission.leave(place, FAST);
    }
    assert_eq!(fill(&mut admission).len() as u32, COLD_LIMIT);
}

// An engine turns cold without a restart; all that shows is that first bytes come late.
#[test]
fn leave_after_a_latency_jump_turns_cold() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, FAST);
    let slow = Left::Whole(Duration::from_millis(600));
    for _ in 0..2 {
        let place = admission.try_enter(100).unwrap();
        admission.leave(place, slow);
    }
    assert_eq!(fill(&mut admission).len() as u32, COLD_LIMIT);
}

#[test]
fn try_enter_alone_empties_the_endpoint_first() {
    let mut admission = Admission::cold(16);
    let innocent = admission.try_enter(100).unwrap();
    assert!(admission.reserve_alone());
    assert!(!admission.reserve_alone());
    assert!(admission.try_enter(100).is_none());
    assert!(admission.try_enter_alone(100).is_none());
    admission.leave(innocent, FAST);
    let suspect = admission.try_enter_alone(100).unwrap();
    assert!(admission.try_enter(100).is_none());
    admission.leave(suspect, FAST);
    assert!(admission.try_enter(100).is_some());
}

// A few prompts are a hundred times larger than usual; by their number alone the engine would be
// given many times the work it bears.
#[test]
fn try_enter_counts_work() {
    let mut admission = Admission::cold(16);
    complete_rounds(&mut admission, 12, FAST);
    let mut entered = 0;
    while admission.try_enter(10_000).is_some() {
        entered += 1;
    }
    assert!((1..=4).contains(&entered), "{entered}");
}
