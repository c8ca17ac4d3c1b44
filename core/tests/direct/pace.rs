//! Paces as agents report them, and the decision to hedge.

use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::pace::PaceReporter;
use mastichaven_core::direct::pace::WaitingStream;
use mastichaven_core::direct::pace::from_percent;
use mastichaven_core::direct::pace::to_percent;

// Each change that is announced goes to all entries at once. One for each small change would fill the links, and a
// slow drift must still be announced.
#[test]
fn record_announces_changes_of_over_a_quarter() {
    let mut reporter = PaceReporter::default();
    assert!(!reporter.record(None));
    assert!(!reporter.record(Some(1.0)));
    assert_eq!(reporter.percent(), None, "reports stay as they were");
    assert!(reporter.record(Some(2.5)));
    assert!(!reporter.record(Some(2.9)));
    assert_eq!(reporter.percent(), Some(290));
    assert!(reporter.record(Some(3.2)));
    assert!(reporter.record(Some(1.0)));
    assert_eq!(reporter.percent(), Some(100), "entries learn that the slow period is over");
    assert!(!reporter.record(None));
}

// A faulty report must not make an endpoint better than a usual one, nor keep it from all requests.
#[test]
fn from_percent_bounds_faulty_paces() {
    for (pace, expected) in [(f64::NAN, 1.0), (-3.0, 1.0), (0.2, 1.0), (2.5, 2.5), (1e9, 10.0)] {
        assert!((from_percent(to_percent(pace)) - expected).abs() < f64::EPSILON, "{pace}");
    }
}

// A hedge uses the only other attempt of its request, so it must bring the first event in time, and from an endpoint
// that is not slow itself.
#[test]
fn should_be_hedged_only_off_slow_endpoints_in_time() {
    let stream = WaitingStream {
        received_at: Time::ZERO,
        objective: Duration::from_millis(400),
        sent_at: Time::from_millis(50),
        usual_first: Duration::from_millis(160),
    };
    let soon = Time::from_millis(60);
    assert!(stream.should_be_hedged(2.5, 1.0, soon));
    assert!(!stream.should_be_hedged(1.0, 1.0, soon), "it comes in time where it is");
    assert!(!stream.should_be_hedged(2.0, 1.0, soon), "it comes in time where it is");
    assert!(!stream.should_be_hedged(2.5, 2.5, soon), "the other endpoint is as slow");
    assert!(stream.should_be_hedged(2.5, 1.0, stream.hedge_by()));
    assert!(
        !stream.should_be_hedged(2.5, 1.0, Time::from_millis(250)),
        "it is late at any endpoint"
    );
}
