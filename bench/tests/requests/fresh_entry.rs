use mastichaven_bench::fleet::CUSTOMER_KEY;
use mastichaven_bench::fleet::Fleet;
use mastichaven_bench::fleet::Layout;

// A new entry receives requests before it has any configuration, so it has no customers and no
// routes. The request may be the resend of a booking that ran through another entry. The outcome
// `not-run` would be wrong and would make the caller book by hand what is booked already.
#[test]
fn post_before_any_configuration() {
    let layout =
        Layout { entries: 1, engines: 0, zones: vec![("lagoa", "sul")], ..Layout::default() };
    let fleet = Fleet::start(&layout).unwrap();
    let response = minreq::post(format!("http://{}/book", fleet.callers_addr(0)))
        .with_header("mastichaven-key", CUSTOMER_KEY)
        .with_header("idempotency-key", "pen-7")
        .with_body("pen-7")
        .with_timeout(30)
        .send()
        .unwrap();
    assert_eq!(response.header("mastichaven-outcome"), Some("unknown"), "{}", response.status_code);
    assert_eq!(response.header("mastichaven-code"), Some("126"));
    assert_eq!(response.status_code, 503);
    assert!(response.header("retry-after").is_some());
    fleet.stop();
}
