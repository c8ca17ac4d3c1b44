//! Endpoints that fail requests.

use mastichaven_core::direct::endpoint::LoadReport;
use mastichaven_core::direct::roster::Unavailable;

use super::DRAW;
use super::NEAR;
use super::address;
use super::choose;
use super::chosen;
use super::listed;
use super::now;
use super::report;
use super::roster;

// An endpoint goes dark: its connections hang. Each request that is sent there costs its caller more
// than a second.
#[test]
fn failed_rests_an_endpoint_that_loses_answers() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    roster.put(listed(2, "serra"), now(0));
    for at in [0, 10] {
        roster.reported(address(1), &report(0), now(at), NEAR, DRAW, now(at));
        roster.reported(address(2), &report(10), now(at), NEAR, DRAW, now(at));
        let key = choose(&mut roster, now(at)).expect("an endpoint");
        roster.failed(key, true, now(at));
    }
    roster.reported(address(1), &report(0), now(20), NEAR, DRAW, now(20));
    roster.reported(address(2), &report(10), now(20), NEAR, DRAW, now(20));
    assert_eq!(chosen(&mut roster, now(30)), "i-2");
}

// After its rest the endpoint may still be bad. One request shows that as well as many.
#[test]
fn failed_lets_one_request_probe_after_the_rest() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    roster.put(listed(2, "serra"), now(0));
    let first = choose(&mut roster, now(0)).expect("an endpoint");
    roster.failed(first, true, now(0));
    roster.failed(first, true, now(0));
    let id = roster.get(first).expect("listed").id.to_string();
    roster.reported(address(1), &report(0), now(2_000), NEAR, DRAW, now(2_000));
    roster.reported(address(2), &report(10), now(2_000), NEAR, DRAW, now(2_000));
    assert_eq!(chosen(&mut roster, now(2_001)), id);
    roster.sent(first, now(2_001));
    assert_ne!(chosen(&mut roster, now(2_002)), id);
    roster.left(first);
    roster.succeeded(first);
    assert_eq!(chosen(&mut roster, now(2_003)), id);
}

// The agent of an endpoint that is about to load cuts off what runs there. Resting it for that would
// keep it idle for seconds after a load of a third of a second.
#[test]
fn failed_forgives_an_endpoint_that_loads() {
    let mut roster = roster();
    roster.put(listed(1, "lagoa"), now(0));
    let key = choose(&mut roster, now(0)).expect("an endpoint");
    let loading = LoadReport { accepts: false, ..report(5) };
    roster.reported(address(1), &loading, now(10), NEAR, DRAW, now(10));
    assert_eq!(choose(&mut roster, now(11)), Err(Unavailable::Full));
    for _ in 0..5 {
        roster.failed(key, true, now(20));
    }
    roster.reported(address(1), &report(0), now(30), NEAR, DRAW, now(30));
    assert_eq!(chosen(&mut roster, now(31)), "i-1");
}
