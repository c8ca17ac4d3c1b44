use std::time::Duration;

use mastichaven_standins::served::endpoint::ServedEndpoint;
use mastichaven_standins::served::store::StoreFault;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Site;
use super::fixture::is_within;
use super::fixture::until;

/// Time in which a key that was taken away must not work any more, less what a request takes.
const KEY_GONE_WITHIN: Duration = Duration::from_secs(5);

/// Longer than an entry may act on a configuration that the store does not confirm.
const AWAY_FOR: Duration = Duration::from_secs(8);

/// Two entries of one region with an agent that names them to each other. The first is the second's seed, so it
/// asks the store, and the second follows it.
struct Pair {
    site: Site,
    _desk: ServedEndpoint,
    _engine: ServedEndpoint,
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

    fn takes_key(&self, key: &str) -> bool {
        self.follower.send_request("/lookup/a", "a", key).is_ok_and(|answer| answer.status == 200)
    }
}

#[test]
fn follower_asks_the_store_nothing() {
    let pair = Pair::start("quiet");
    assert_eq!(pair.parent.dump()["follows"], false);
    // Watches that were under way when it began to follow end meanwhile.
    std::thread::sleep(Duration::from_secs(6));
    let before = pair.site.store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let a_second = (pair.site.store.calls() - before) as f64 / 3.0;
    // The parent's watches only; the agent asks nothing.
    assert!(a_second < 4.0, "{a_second} calls a second");
    assert!(pair.takes_key("key-2"));
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(1), || !pair.takes_key("key-2")));
    assert!(pair.follows());
}

// A follower goes on with what a killed parent told last, and a key that was taken away still works.
#[test]
fn follower_of_a_killed_parent_asks_the_store() {
    let pair = Pair::start("killed");
    pair.parent.program.signal("KILL");
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(2), || !pair.takes_key("key-2")));
    assert!(pair.takes_key("key-1") && pair.follower.is_ready());
}

// A frozen parent keeps its connections open, and its follower waits for it.
#[test]
fn follower_of_a_frozen_parent_asks_the_store() {
    let pair = Pair::start("frozen");
    pair.parent.program.signal("STOP");
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(3), || !pair.takes_key("key-2")));
    assert!(pair.takes_key("key-1") && pair.follower.is_ready());
    pair.parent.program.signal("CONT");
}

// What a parent tells looks fresh only because it tells it often, while the store is silent.
#[test]
fn follower_refuses_when_its_parent_hears_nothing() {
    let pair = Pair::start("silent");
    assert!(pair.takes_key("key-1"));
    pair.site.store.set_fault(StoreFault::Silent);
    assert!(is_within(KEY_GONE_WITHIN, || !pair.takes_key("key-1")));
    assert!(!pair.follower.is_ready());
    pair.site.store.set_fault(StoreFault::None);
    until("served again", || pair.takes_key("key-1"));
}

// A planned stop of the parent leaves its followers unready.
#[test]
fn follower_of_a_stopped_parent_stays_ready() {
    let pair = Pair::start("stopped");
    pair.parent.program.signal("TERM");
    let is_unready = is_within(Duration::from_secs(4), || !pair.follower.is_ready());
    assert!(!is_unready);
    assert!(!pair.follows() && pair.takes_key("key-1"));
}

// A version found in a list after an outage counts as long named, and bars every endpoint without it.
#[test]
fn version_named_while_the_store_is_away_counts_from_its_return() {
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

// An entry that starts dates a version to its own start, and uses older ones past the bound.
#[test]
fn version_named_before_the_start_keeps_its_age() {
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
    let late = site.start_entry("early-late");
    until("it follows", || late.dump()["follows"] == true);
    assert!(!is_served(&late));
}

// An entry that the store turns away refuses callers, though its neighbours know all that it lacks.
#[test]
fn entry_that_the_store_turns_away_follows_another() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let engine = site.start_endpoint("i-w", "writer", Some(1));
    let _agent = site.start_agent("away-agent", &engine);
    let door = site.store.door().expect("the store has another address");
    let parent = site.start_entry_with_store("away-parent", door.address());
    let follower = site.start_entry_with_seeds("away-follower", site.store.address(), &[&parent]);
    until("the second entry follows", || follower.dump()["follows"] == true);
    door.set_closed(true);
    let is_served = |key| parent.send_request("/lookup/a", "a", key).is_ok_and(|a| a.status == 200);
    assert!(!is_within(AWAY_FOR, || !is_served("key-1") || !parent.is_ready()));
    site.configure(5, &["key-1"], true);
    assert!(is_within(KEY_GONE_WITHIN, || !is_served("key-2")));
    assert!(is_served("key-1") && parent.dump()["follows"] == true);
}

// Hundreds of entries that start together all read the store.
#[test]
fn entry_that_starts_learns_all_from_a_seed() {
    let site = Site::start();
    let _desk = site.start_endpoint("i-d", "desk", None);
    let seed = site.start_entry("seeded-first");
    let door = site.store.door().expect("the store has another address");
    door.set_closed(true);
    let second = site.start_entry_with_seeds("seeded-second", door.address(), &[&seed]);
    assert!(
        second.send_request("/lookup/a", "a", "key-1").is_ok_and(|answer| answer.status == 200)
    );
    assert_eq!(second.dump()["depth"], 1);
}

// An entry whose seeds are gone waits for them instead of asking the store.
#[test]
fn entry_that_starts_without_its_seeds_asks_the_store() {
    let site = Site::start();
    let gone = site.start_entry("gone-first");
    gone.program.signal("KILL");
    let second = site.start_entry_with_seeds("gone-second", site.store.address(), &[&gone]);
    assert_eq!(second.dump()["follows"], false);
}

// An entry that takes over after an outage dates a version to before it, and refuses callers.
#[test]
fn version_named_while_the_store_is_away_counts_from_its_return_for_a_follower() {
    let pair = Pair::start("outage");
    let is_served = || {
        pair.follower
            .send_request("/stream/a", "s", "key-1")
            .is_ok_and(|answer| answer.status == 200)
    };
    until("served", is_served);
    // Its own watches of the store, from before it followed, end meanwhile.
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

// Two entries without seeds never settle on which of them asks the store, or both follow each other.
#[test]
fn entries_without_seeds_settle_on_one_that_asks_the_store() {
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
