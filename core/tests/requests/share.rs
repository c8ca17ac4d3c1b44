use mastichaven_core::Time;
use mastichaven_core::share::Shares;

// One entry fills an endpoint and refills each place the moment it is free. Another one, whose
// callers wait as well, finds it full each time it asks.
#[test]
fn may_enter_keeps_places_for_the_refused() {
    let mut shares = Shares::default();
    let (greedy, starved, limit) = (1, 2, 8);
    for _ in 0..limit {
        shares.entered(greedy, Time::ZERO);
    }
    shares.refused(starved, Time::ZERO);
    let soon = Time::from_millis(50);
    for _ in 0..4 {
        shares.left(greedy);
        assert!(!shares.may_enter(greedy, limit, soon));
        assert!(shares.may_enter(starved, limit, soon));
    }
    for _ in 0..4 {
        shares.entered(starved, soon);
    }
    shares.left(greedy);
    assert!(shares.may_enter(greedy, limit, soon), "both have their share");
}

#[test]
fn may_enter_gives_unwanted_places_to_anybody() {
    let mut shares = Shares::default();
    shares.refused(2, Time::ZERO);
    for _ in 0..7 {
        shares.entered(1, Time::ZERO);
    }
    assert!(!shares.may_enter(1, 8, Time::from_millis(100)));
    assert!(shares.may_enter(1, 8, Time::from_millis(1_000)), "who wanted has gone elsewhere");
}
