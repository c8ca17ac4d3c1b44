use std::time::Duration;

use mastichaven_bench::bookings;
use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn post(fleet: &Fleet, key: Option<&str>, deadline_ms: u64) -> Option<(String, String)> {
    let mut request = minreq::post(format!("http://{}/book", fleet.callers_addr(0)))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("mastichaven-deadline-ms", deadline_ms.to_string())
        .with_body("pen-7")
        .with_timeout(WAIT_TIMEOUT.as_secs());
    if let Some(key) = key {
        request = request.with_header("idempotency-key", key);
    }
    let response = request.send().ok()?;
    let header = |name| response.header(name).unwrap_or_default().to_owned();
    Some((header("mastichaven-outcome"), header("mastichaven-code")))
}

// The platform takes far longer than the deadline of the request, so the claim cannot be written in
// time. The response has to come at the deadline and not when the platform call ends, because the
// caller has callers of its own that wait.
#[test]
fn booking_deadline_with_slow_platform() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.publish(&bookings::configuration().unwrap()).unwrap();
    let is_served = || post(&fleet, None, 5_000).is_some_and(|(outcome, _)| outcome == "ran");
    wait_until(WAIT_TIMEOUT, is_served).unwrap();
    fleet.platform.set_faults(|faults| faults.delay = Duration::from_secs(30));
    let response = post(&fleet, Some("pen-7"), 500).unwrap();
    assert_eq!(response, ("unknown".to_owned(), "108".to_owned()));
    fleet.platform.set_faults(|faults| faults.delay = Duration::ZERO);
    fleet.stop();
}

// The only agent crashes while it runs a booking and restarts with a new incarnation. The outcome
// of the booking cannot be determined, and a resend has to get `unknown` at once. If the entry
// queried the old incarnation for as long as it queries an unreachable agent, a caller with a
// shorter deadline would never get a response.
#[test]
fn booking_resent_after_agent_restart() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let mut fleet = Fleet::start(&layout).unwrap();
    fleet.publish(&bookings::configuration().unwrap()).unwrap();
    let has_outcome = |fleet: &Fleet, outcome: &str| {
        post(fleet, None, 5_000).is_some_and(|(actual, _)| actual == outcome)
    };
    wait_until(WAIT_TIMEOUT, || has_outcome(&fleet, "ran")).unwrap();
    fleet.plain.set_delay(Duration::from_secs(20));
    let (outcome, _) = post(&fleet, Some("pen-8"), 1_000).unwrap();
    assert_eq!(outcome, "unknown");
    fleet.plain.set_delay(Duration::ZERO);
    let agent = "agent-booking-0".into();
    fleet.crash_host(&agent);
    fleet.start_host(&agent).unwrap();
    fleet.publish_hosts();
    wait_until(WAIT_TIMEOUT, || has_outcome(&fleet, "ran")).unwrap();
    let response = post(&fleet, Some("pen-8"), 1_500).unwrap();
    assert_eq!(response, ("unknown".to_owned(), "117".to_owned()));
    fleet.stop();
}
