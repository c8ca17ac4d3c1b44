use mastichaven_core::Time;
use mastichaven_core::limits;
use mastichaven_core::limits::SLACK;
use mastichaven_core::limits::TokenBucket;
use mastichaven_core::retry::RetryBudget;

// A customer exceeds its rate through eight uncoordinated entries. Together they admit at least the
// rate, and at most the rate with its slack.
#[test]
fn try_take_over_uncoordinated_entries() {
    let (limit, entries, seconds) = (100.0, 8, 20);
    let mut buckets = vec![TokenBucket::new(Time::ZERO); entries];
    let mut admitted = 0;
    for millis in 0..seconds * 1_000 {
        for bucket in &mut buckets {
            let share = limits::rate_share(limit, entries);
            admitted += u64::from(bucket.try_take(share, Time::from_millis(millis)).is_ok());
        }
    }
    let per_second = admitted as f64 / seconds as f64;
    let with_burst = limit * SLACK * (1.0 + 1.0 / seconds as f64) + 1.0;
    assert!((limit..=with_burst).contains(&per_second), "{per_second}");
}

#[test]
fn try_take_returns_retry_delay() {
    let mut bucket = TokenBucket::new(Time::ZERO);
    assert!(bucket.try_take(0.5, Time::ZERO).is_ok());
    let after = bucket.try_take(0.5, Time::ZERO).unwrap_err();
    assert!(bucket.try_take(0.5, Time::ZERO + after).is_ok());
}

#[test]
fn concurrency_share_is_positive() {
    assert_eq!(limits::concurrency_share(3, 380), 1);
    assert_eq!(limits::concurrency_share(256, 1), 256);
    assert!(limits::concurrency_share(256, 8) * 8 <= 312);
}

// A zone fails with every request to it. If each were retried at once, the other zones would get
// twice their load and fail too.
#[test]
fn try_withdraw_bounds_retries_under_full_failure() {
    let mut budget = RetryBudget::default();
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.deposit(0.1);
        attempts += 1;
        for _ in 0..2 {
            attempts += u32::from(budget.try_withdraw());
        }
    }
    assert!(attempts <= 11_010, "{attempts}");
}
