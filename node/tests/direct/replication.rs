use std::time::Duration;

use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::store::StoreFault;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Site;
use super::fixture::is_within;
use super::fixture::until;

/// Time within which a revoked key must stop working, not counting the duration of a request.
const KEY_REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// Outage that is longer than the lease on the configuration.
const OUTAGE_DURATION: Duration = Duration::from_secs(8);

/// Two entries of one region with an agent that reports to both. The first is the seed of the
/// second, so the first reads the store and the second follows it.
struct Pair {
    site: Site,
    _desk: FakeEndpoint,
    _engine: FakeEndpoint,
    _agent: Program,
    parent: Entry,
    follower: Entry,
}

impl Pair {
    fn start(name: &str) -> Pair {
        let site = Site::start();
        let desk = site.start_endpoint("i-d", "desk", None);
        let engine = site.start_endpoint("i-w", "writer", Some(1));
        let agent = site.start_agent(&format!("{name}-agent"), &engine);
        let parent = site.start_entry(&format!("{name}-parent"));
        let at = site.store.address();
        let follower = site.start_entry_with_seeds(&format!("{name}-follower"), at, &[&parent]);
        let pair = Pair { site, _desk: desk, _engine: engine, _agent: agent, parent, follower };
        until("the second entry follows", || pair.follows());
        pair
    }

    fn follows(&self) -> bool {
        self.follower.dump()["follows"] == true
    }

    fn accepts_key(&self, key: &str) -> bool {
        self.follower.send_request("/lookup/a", "a", key).is_ok_and(|answer| answer.status == 200)
    }
}

#[test]
fn follower_sends_no_store_calls() {
    let pair = Pair::start("quiet");
    assert_eq!(pair.parent.dump()["follows"], false);
    // Wait until watches end that the follower sent before it had a parent.
    std::thread::sleep(Duration::from_secs(6));
    let before = pair.site.store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls_per_second = (pair.site.store.calls() - before) as f64 / 3.0;
    // Only the parent watches the store; the agent sends it no calls.
    assert!(calls_per_second < 4.0, "{calls_per_second} calls a second");
    assert!(pair.accepts_key("key-2"));
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(1), || !pair.accepts_key("key-2")));
    assert!(pair.follows());
}

// The follower of a killed parent keeps its last state, so a revoked key continues to work.
#[test]
fn follower_of_killed_parent_reads_store() {
    let pair = Pair::start("killed");
    pair.parent.program.signal("KILL");
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(2), || !pair.accepts_key("key-2")));
    assert!(pair.accepts_key("key-1") && pair.follower.is_ready());
}

// A frozen parent keeps its connections open, and its follower keeps waiting for it.
#[test]
fn follower_of_frozen_parent_reads_store() {
    let pair = Pair::start("frozen");
    pair.parent.program.signal("STOP");
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(3), || !pair.accepts_key("key-2")));
    assert!(pair.accepts_key("key-1") && pair.follower.is_ready());
    pair.parent.program.signal("CONT");
}

// The store is silent, but the state of the parent counts as fresh because its messages arrive
// regularly.
#[test]
fn follower_refuses_when_store_is_silent() {
    let pair = Pair::start("silent");
    assert!(pair.accepts_key("key-1"));
    pair.site.store.set_fault(StoreFault::Silent);
    assert!(is_within(KEY_REVOCATION_BOUND, || !pair.accepts_key("key-1")));
    assert!(!pair.follower.is_ready());
    pair.site.store.set_fault(StoreFault::None);
    until("served again", || pair.accepts_key("key-1"));
}

// The followers of a parent that is shut down become unready.
#[test]
fn follower_of_stopped_parent_stays_ready() {
    let pair = Pair::start("stopped");
    pair.parent.program.signal("TERM");
    let is_unready = is_within(Duration::from_secs(4), || !pair.follower.is_ready());
    assert!(!is_unready);
    assert!(!pair.follows() && pair.accepts_key("key-1"));
}

// A version that is first listed after an outage is dated to before it, which excludes all
// endpoints without it.
#[test]
fn version_announced_during_outage_counts_from_recovery() {
    let site = Site::start();
    let _engine = site.start_endpoint("i-w", "writer", Some(1));
    let entry = site.start_entry("away");
    let is_served =
        || entry.send_request("/stream/a", "s", "key-1").is_ok_and(|answer| answer.status == 200);
    until("served", is_served);
    site.store.set_fault(StoreFault::Silent);
    site.store.put("versions", "m", serde_json::json!({"model": "m", "version": 2}));
    site.store.compact();
    std::thread::sleep(Duration::from_millis(2_500));
    site.store.set_fault(StoreFault::None);
    until("the version is known", || entry.dump()["weights"]["m"] == 2);
    assert!(is_served());
}

// An entry that starts dates a version to its own start and sends requests to older ones past the
// bound.
#[test]
fn version_announced_before_start_keeps_its_age() {
    let site = Site::start();
    site.origin.set_down(true);
    let engine = site.start_endpoint("i-w", "writer", Some(1));
    let _agent = site.start_agent("early-agent", &engine);
    let parent = site.start_entry("early-parent");
    site.store.put("versions", "m", serde_json::json!({"model": "m", "version": 2}));
    let is_served = |entry: &Entry| {
        entry.send_request("/stream/a", "s", "key-1").is_ok_and(|answer| answer.status == 200)
    };
    until("the version is known", || parent.dump()["weights"]["m"] == 2);
    until("the older one is barred", || !is_served(&parent));
    let follower = site.start_entry("early-late");
    until("it follows", || follower.dump()["follows"] == true);
    assert!(!is_served(&follower));
}

// An entry without access to the store refuses callers, though its neighbours have all the state
// that it lacks.
#[test]
fn entry_without_store_access_follows_another() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let engine = site.start_endpoint("i-w", "writer", Some(1));
    let _agent = site.start_agent("away-agent", &engine);
    let store_proxy = site.store.open_proxy().expect("the store has another address");
    let parent = site.start_entry_with_store("away-parent", store_proxy.address());
    let follower = site.start_entry_with_seeds("away-follower", site.store.address(), &[&parent]);
    until("the second entry follows", || follower.dump()["follows"] == true);
    store_proxy.set_rejecting(true);
    let is_served = |key| parent.send_request("/lookup/a", "a", key).is_ok_and(|a| a.status == 200);
    assert!(!is_within(OUTAGE_DURATION, || !is_served("key-1") || !parent.is_ready()));
    site.configure(5, &["key-1"], true);
    assert!(is_within(KEY_REVOCATION_BOUND, || !is_served("key-2")));
    assert!(is_served("key-1") && parent.dump()["follows"] == true);
}

// Hundreds of entries that start at the same time all read the store.
#[test]
fn starting_entry_gets_complete_state_from_seed() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let seed = site.start_entry("seeded-first");
    let store_proxy = site.store.open_proxy().expect("the store has another address");
    store_proxy.set_rejecting(true);
    let second = site.start_entry_with_seeds("seeded-second", store_proxy.address(), &[&seed]);
    assert!(
        second.send_request("/lookup/a", "a", "key-1").is_ok_and(|answer| answer.status == 200)
    );
    assert_eq!(second.dump()["depth"], 1);
}

// An entry whose seeds are down waits for them instead of reading the store.
#[test]
fn starting_entry_reads_store_if_seeds_are_down() {
    let site = Site::start();
    let lost_seed = site.start_entry("gone-first");
    lost_seed.program.signal("KILL");
    let second = site.start_entry_with_seeds("gone-second", site.store.address(), &[&lost_seed]);
    assert_eq!(second.dump()["follows"], false);
}

// A follower that reads the store after an outage dates a version to before it and refuses callers.
#[test]
fn version_announced_during_outage_counts_from_recovery_for_follower() {
    let pair = Pair::start("outage");
    let is_served = || {
        pair.follower
            .send_request("/stream/a", "s", "key-1")
            .is_ok_and(|answer| answer.status == 200)
    };
    until("served", is_served);
    // Wait until the follower's own watches end, which it sent before it had a parent.
    std::thread::sleep(Duration::from_secs(5));
    pair.site.origin.set_down(true);
    pair.site.store.set_fault(StoreFault::Silent);
    pair.site.store.put("versions", "m", serde_json::json!({"model": "m", "version": 2}));
    pair.site.store.compact();
    std::thread::sleep(Duration::from_millis(3_500));
    pair.parent.program.signal("KILL");
    pair.site.store.set_fault(StoreFault::None);
    until("the version is known", || pair.follower.dump()["weights"]["m"] == 2);
    assert!(is_served());
}

// Two entries without seeds never agree on which of them reads the store, or follow each other.
#[test]
fn entries_without_seeds_elect_one_store_reader() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let engine = site.start_endpoint("i-w", "writer", Some(1));
    let _agent = site.start_agent("settle-agent", &engine);
    let first = site.start_entry("settle-first");
    let second = site.start_entry("settle-second");
    let follows = |entry: &Entry| entry.dump()["follows"] == true;
    until("one follows the other", || follows(&first) != follows(&second));
    std::thread::sleep(Duration::from_secs(4));
    assert_ne!(follows(&first), follows(&second));
    assert!(first.is_ready() && second.is_ready());
}
