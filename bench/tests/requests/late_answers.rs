use std::time::Duration;

use mastichaven_bench::bookings;
use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;
use mastichaven_bench::fleet::wait_until;

const PATIENCE: Duration = Duration::from_secs(60);

fn post(fleet: &Fleet, key: Option<&str>, deadline_ms: u64) -> Option<(String, String)> {
    let mut request = minreq::post(format!("http://{}/book", fleet.callers_addr(0)))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("mastichaven-deadline-ms", deadline_ms.to_string())
        .with_body("pen-7")
        .with_timeout(PATIENCE.as_secs());
    if let Some(key) = key {
        request = request.with_header("idempotency-key", key);
    }
    let response = request.send().ok()?;
    let header = |name| response.header(name).unwrap_or_default().to_owned();
    Some((header("mastichaven-outcome"), header("mastichaven-code")))
}

// The platform takes far longer than the caller waits. The claim cannot be written in time, and
// the caller, who has its own callers waiting, is told so at its deadline and not when the platform
// has finally answered or failed.
#[test]
fn booking_answered_at_its_deadline() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    fleet.publish(&bookings::configuration().unwrap()).unwrap();
    let warm = || post(&fleet, None, 5_000).is_some_and(|(outcome, _)| outcome == "ran");
    wait_until(PATIENCE, warm).unwrap();
    fleet.platform.set_faults(|faults| faults.delay = Duration::from_secs(30));
    let told = post(&fleet, Some("pen-7"), 500).unwrap();
    assert_eq!(told, ("unknown".to_owned(), "108".to_owned()));
    fleet.platform.set_faults(|faults| faults.delay = Duration::ZERO);
    fleet.stop();
}

// The only agent dies while it runs a booking, and a new life of it starts. What became of the
// booking nobody can tell, and a resend is told so at once: if it asked for the old life as long as
// for an agent out of reach, a caller that waits less than that would never get an answer.
#[test]
fn booking_resent_after_its_agent_was_replaced() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let mut fleet = Fleet::start(&layout).unwrap();
    fleet.publish(&bookings::configuration().unwrap()).unwrap();
    let is_told = |fleet: &Fleet, outcome: &str| {
        post(fleet, None, 5_000).is_some_and(|(told, _)| told == outcome)
    };
    wait_until(PATIENCE, || is_told(&fleet, "ran")).unwrap();
    fleet.plain.set_delay(Duration::from_secs(20));
    let (told, _) = post(&fleet, Some("pen-8"), 1_000).unwrap();
    assert_eq!(told, "unknown");
    fleet.plain.set_delay(Duration::ZERO);
    let agent = "agent-booking-0".into();
    fleet.crash_host(&agent);
    fleet.start_host(&agent).unwrap();
    fleet.publish_hosts();
    wait_until(PATIENCE, || is_told(&fleet, "ran")).unwrap();
    let told = post(&fleet, Some("pen-8"), 1_500).unwrap();
    assert_eq!(told, ("unknown".to_owned(), "117".to_owned()));
    fleet.stop();
}
