use mastichaven_core::Time;
use mastichaven_core::limits;
use mastichaven_core::limits::Rate;
use mastichaven_core::limits::SLACK;
use mastichaven_core::retry::RetryBudget;

// A customer sends far more than its rate through eight entries that do not talk to each other.
// Together they let in no more than the rate with its slack, and no less than the rate.
#[test]
fn take_through_entries_that_do_not_talk() {
    let (limit, entries, seconds) = (100.0, 8, 20);
    let mut rates = vec![Rate::new(Time::ZERO); entries];
    let mut taken = 0;
    for millis in 0..seconds * 1_000 {
        for rate in &mut rates {
            let share = limits::share(limit, entries);
            taken += u64::from(rate.take(share, Time::from_millis(millis)).is_ok());
        }
    }
    let per_second = taken as f64 / seconds as f64;
    let with_burst = limit * SLACK * (1.0 + 1.0 / seconds as f64) + 1.0;
    assert!((limit..=with_burst).contains(&per_second), "{per_second}");
}

#[test]
fn take_says_when_to_come_back() {
    let mut rate = Rate::new(Time::ZERO);
    assert!(rate.take(0.5, Time::ZERO).is_ok());
    let after = rate.take(0.5, Time::ZERO).unwrap_err();
    assert!(rate.take(0.5, Time::ZERO + after).is_ok());
}

#[test]
fn share_of_count_is_never_nothing() {
    assert_eq!(limits::share_of_count(3, 380), 1);
    assert_eq!(limits::share_of_count(256, 1), 256);
    assert!(limits::share_of_count(256, 8) * 8 <= 312);
}

// A zone goes and every request to it fails. Were each sent again at once, the other zones would
// get twice their load and go too.
#[test]
fn spend_bounds_attempts_while_everything_fails() {
    let mut budget = RetryBudget::default();
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.earn(0.1);
        attempts += 1;
        for _ in 0..2 {
            attempts += u32::from(budget.spend());
        }
    }
    assert!(attempts <= 11_010, "{attempts}");
}
