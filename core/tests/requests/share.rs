use mastichaven_core::Time;
use mastichaven_core::share::EntryShares;

// One entry fills an endpoint and refills each slot as soon as it is free. Another entry with
// waiting requests finds the endpoint full on each attempt.
#[test]
fn may_acquire_after_refusal_of_other_entry() {
    let mut shares = EntryShares::default();
    let (saturating, waiting, limit) = (1, 2, 8);
    for _ in 0..limit {
        shares.acquire(saturating, Time::ZERO);
    }
    shares.record_refusal(waiting, Time::ZERO);
    let soon = Time::from_millis(50);
    for _ in 0..4 {
        shares.release(saturating);
        assert!(!shares.may_acquire(saturating, limit, soon));
        assert!(shares.may_acquire(waiting, limit, soon));
    }
    for _ in 0..4 {
        shares.acquire(waiting, soon);
    }
    shares.release(saturating);
    assert!(shares.may_acquire(saturating, limit, soon), "both entries have their share");
}

#[test]
fn may_acquire_after_refusal_expired() {
    let mut shares = EntryShares::default();
    shares.record_refusal(2, Time::ZERO);
    for _ in 0..7 {
        shares.acquire(1, Time::ZERO);
    }
    assert!(!shares.may_acquire(1, 8, Time::from_millis(100)));
    assert!(shares.may_acquire(1, 8, Time::from_millis(1_000)), "the refusal has expired");
}
