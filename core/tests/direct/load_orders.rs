use mastichaven_core::Time;
use mastichaven_core::direct::load_orders::LoadOrders;
use mastichaven_core::direct::load_orders::OrderOutcome;
use mastichaven_core::direct::load_orders::OrderState;
use mastichaven_core::direct::load_orders::StagingWrites;

const START: Time = Time::ZERO;

fn state(started_ms: u64, orders: u64) -> OrderState {
    OrderState { started_ms, orders }
}

/// The orders of an agent that has staged chunks at an endpoint that has begun `orders` orders.
fn staged_orders(orders: u64) -> LoadOrders {
    let mut load_orders = LoadOrders::default();
    load_orders.observe(state(1, orders), false);
    load_orders.observe(state(1, orders), true);
    load_orders
}

/// The same after an order without a response.
fn orders_in_doubt() -> LoadOrders {
    let mut orders = staged_orders(3);
    assert_eq!(orders.begin(), Some(3));
    orders.record_outcome(OrderOutcome::Unknown, true, START);
    orders
}

#[test]
fn accepted_order_serves_and_releases_staged() {
    let mut orders = staged_orders(3);
    assert_eq!(orders.begin(), Some(3));
    assert!(!orders.may_replace_staged());
    orders.record_outcome(OrderOutcome::Accepted, true, START);
    assert!(orders.may_replace_staged() && orders.may_serve());
    orders.observe(state(1, 4), true);
    assert!(orders.may_replace_staged() && orders.may_serve());
}

// An endpoint begins to load between two reports and before its response arrives.
#[test]
fn accepted_order_is_recognized_before_its_response() {
    let mut orders = staged_orders(3);
    orders.begin();
    orders.observe(state(1, 4), true);
    assert!(orders.may_serve());
    orders.record_outcome(OrderOutcome::Accepted, true, START);
    assert!(orders.may_replace_staged() && orders.may_serve());
}

// An order timed out and took effect after chunks of another version had been staged.
#[test]
fn order_in_doubt_keeps_staged_until_it_takes_effect() {
    let mut orders = orders_in_doubt();
    orders.observe(state(1, 3), true);
    assert!(!orders.may_replace_staged());
    assert!(orders.may_serve());
    orders.observe(state(1, 4), true);
    assert!(!orders.may_replace_staged() && !orders.may_serve() && orders.needs_verification());
    orders.record_verification(true);
    assert!(orders.may_replace_staged() && orders.may_serve());
}

// The endpoint accepts an order, its response is lost, and the report that shows it arrives first.
#[test]
fn order_in_doubt_is_recognized_in_an_earlier_report() {
    let mut orders = staged_orders(3);
    orders.begin();
    orders.observe(state(1, 4), true);
    orders.record_outcome(OrderOutcome::Unknown, true, START);
    assert!(orders.needs_verification());
}

// Two copies of an order are under way. Both must be valid for the same number of begun orders, so that the
// endpoint accepts one of them.
#[test]
fn repeated_order_is_valid_for_the_same_state() {
    let mut orders = orders_in_doubt();
    orders.observe(state(1, 3), true);
    assert_eq!(orders.begin(), Some(3));
    orders.record_outcome(OrderOutcome::NotBegun, true, START);
    assert!(!orders.may_replace_staged());
    orders.begin();
    orders.record_outcome(OrderOutcome::Accepted, true, START);
    assert!(orders.may_replace_staged() && orders.may_serve());
}

// A staged chunk became corrupt while an order was in doubt.
#[test]
fn loaded_weights_that_fail_verification_do_not_serve() {
    let mut orders = orders_in_doubt();
    orders.observe(state(1, 4), true);
    orders.record_verification(false);
    assert!(!orders.may_serve());
    assert!(orders.may_replace_staged());
    orders.begin();
    orders.record_outcome(OrderOutcome::Accepted, true, START);
    assert!(orders.may_serve());
}

// A staged chunk became corrupt while an order was in doubt, and was staged again. The verification after the load
// finds all chunks valid, though the corrupt one may have been loaded.
#[test]
fn load_after_corrupt_staging_in_doubt_does_not_serve() {
    let mut orders = orders_in_doubt();
    orders.begin();
    orders.record_corrupt_staging();
    orders.record_outcome(OrderOutcome::NotBegun, false, START);
    orders.observe(state(1, 4), true);
    assert!(!orders.may_serve() && !orders.needs_verification());
}

// The same, but the order is repeated with the chunk that was staged again, and accepted.
#[test]
fn repeated_order_after_corrupt_staging_serves() {
    let mut orders = orders_in_doubt();
    orders.begin();
    orders.record_corrupt_staging();
    orders.record_outcome(OrderOutcome::NotBegun, false, START);
    orders.begin();
    orders.record_outcome(OrderOutcome::Accepted, true, START);
    orders.observe(state(1, 4), true);
    assert!(orders.may_serve());
}

// A write of a chunk had no response and may have taken effect between the verification and the load.
#[test]
fn unconfirmed_verification_is_repeated_after_load() {
    let mut orders = staged_orders(3);
    orders.begin();
    orders.record_outcome(OrderOutcome::Accepted, false, START);
    assert!(orders.needs_verification() && !orders.may_serve() && !orders.may_replace_staged());
}

// An order of an agent that was killed takes effect after its successor has staged chunks of another version.
#[test]
fn load_after_staging_by_unknown_sender_does_not_serve() {
    let mut orders = staged_orders(3);
    orders.observe(state(1, 4), true);
    assert!(!orders.may_serve());
    orders.begin();
    orders.record_outcome(OrderOutcome::NotBegun, true, START);
    assert!(!orders.may_serve());
}

// An order of an agent that was killed takes effect before its successor has staged anything, so the endpoint
// loads the chunks that the first agent verified.
#[test]
fn load_before_staging_by_unknown_sender_serves() {
    let mut orders = LoadOrders::default();
    orders.observe(state(1, 3), false);
    orders.observe(state(1, 4), false);
    assert!(orders.may_serve());
}

// The endpoint restarts, with counts that start anew. It has received no order of before.
#[test]
fn restart_ends_doubt() {
    let mut orders = orders_in_doubt();
    assert!(orders.observe(state(2, 0), true));
    assert!(orders.may_replace_staged() && orders.may_serve());
    assert_eq!(orders.begin(), Some(0));
}

// The staged version can no longer be completed, so the order in doubt cannot be repeated.
#[test]
fn overdue_order_releases_staged_but_is_not_trusted() {
    let mut orders = orders_in_doubt();
    assert!(!orders.abandon_overdue(Time::from_millis(19_000)));
    assert!(orders.abandon_overdue(Time::from_millis(21_000)));
    assert!(orders.may_replace_staged());
    orders.observe(state(1, 4), true);
    assert!(!orders.may_serve() && !orders.needs_verification());
}

// A chunk of an older version is still being written, or its write had no response, when the next version has been
// verified.
#[test]
fn write_without_response_may_change_staged() {
    let mut writes = StagingWrites::default();
    assert!(!writes.has_any() && !writes.may_change_staged());
    writes.begin();
    assert!(writes.has_any() && writes.may_change_staged());
    writes.finish(true);
    assert!(writes.has_any() && !writes.may_change_staged());
    writes.begin();
    writes.finish(false);
    writes.begin();
    writes.finish(true);
    assert!(writes.may_change_staged());
}
