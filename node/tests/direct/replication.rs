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

/// Two entries of one region with an agent that tells them of each other. The first has the lower
/// address, so it watches the store, and the second follows it.
struct Pair {
    site: Site,
    _desk: ServedEndpoint,
    _engine: ServedEndpoint,
    _agent: Program,
    watcher: Entry,
    follower: Entry,
}

impl Pair {
    fn start(name: &str) -> Pair {
        let site = Site::start();
        let desk = site.endpoint("i-d", "desk", None);
        let engine = site.endpoint("i-w", "writer", Some(1));
        let agent = site.agent(&format!("{name}-agent"), &engine);
        let watcher = site.entry(&format!("{name}-watcher"));
        let follower = site.entry(&format!("{name}-follower"));
        let pair = Pair { site, _desk: desk, _engine: engine, _agent: agent, watcher, follower };
        until("the second entry follows", || pair.follows());
        pair
    }

    fn follows(&self) -> bool {
        self.follower.dump()["follows"] == true
    }

    fn takes_key(&self, key: &str) -> bool {
        self.follower.ask("/lookup/a", "a", key).is_ok_and(|answer| answer.status == 200)
    }
}

#[test]
fn follower_asks_the_store_nothing() {
    let pair = Pair::start("quiet");
    assert_eq!(pair.watcher.dump()["follows"], false);
    // Watches that were under way when it began to follow end meanwhile.
    std::thread::sleep(Duration::from_secs(6));
    let before = pair.site.store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let a_second = (pair.site.store.calls() - before) as f64 / 3.0;
    // The watcher's four watches take 2.3 calls a second, the agent asks nothing.
    assert!(a_second < 4.0, "{a_second} calls a second");
    assert!(pair.takes_key("key-2"));
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(1), || !pair.takes_key("key-2")));
    assert!(pair.follows());
}

// The entry that watches the store for its region is killed. The others must not go on with what it
// told last: a caller whose key was taken away would still be served.
#[test]
fn follower_of_a_killed_watcher_asks_the_store() {
    let pair = Pair::start("killed");
    pair.watcher.program.signal("KILL");
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(2), || !pair.takes_key("key-2")));
    assert!(pair.takes_key("key-1") && pair.follower.is_ready());
}

// The host of the watcher freezes: its connections stay open, and nothing comes any more.
#[test]
fn follower_of_a_frozen_watcher_asks_the_store() {
    let pair = Pair::start("frozen");
    pair.watcher.program.signal("STOP");
    pair.site.configure(5, &["key-1"], true);
    assert!(is_within(Duration::from_secs(3), || !pair.takes_key("key-2")));
    assert!(pair.takes_key("key-1") && pair.follower.is_ready());
    pair.watcher.program.signal("CONT");
}

// The store falls silent, also for the watcher. What it tells its followers must not look young only
// because they hear it often: nobody knows whether a key was taken away meanwhile.
#[test]
fn follower_refuses_when_its_watcher_hears_nothing() {
    let pair = Pair::start("silent");
    assert!(pair.takes_key("key-1"));
    pair.site.store.set_fault(StoreFault::Silent);
    assert!(is_within(KEY_GONE_WITHIN, || !pair.takes_key("key-1")));
    assert!(!pair.follower.is_ready());
    pair.site.store.set_fault(StoreFault::None);
    until("served again", || pair.takes_key("key-1"));
}

// The watcher is stopped as planned. Its followers are told, and go on without a gap.
#[test]
fn follower_of_a_stopped_watcher_stays_ready() {
    let pair = Pair::start("stopped");
    pair.watcher.program.signal("TERM");
    let is_unready = is_within(Duration::from_secs(4), || !pair.follower.is_ready());
    assert!(!is_unready);
    assert!(!pair.follows() && pair.takes_key("key-1"));
}

// The store is away while a version is named, and has forgotten its history when it is back, so the
// entry learns of the version from a list. Taken for one that has long been named, it would bar all
// endpoints that have not loaded it yet, and callers would be refused though they may be served.
#[test]
fn version_named_while_the_store_is_away_counts_from_its_return() {
    let site = Site::start();
    let _engine = site.endpoint("i-w", "writer", Some(1));
    let entry = site.entry("away");
    let is_served =
        || entry.ask("/stream/a", "s", "key-1").is_ok_and(|answer| answer.status == 200);
    until("served", is_served);
    site.store.set_fault(StoreFault::Silent);
    site.store.put("versions", "m", serde_json::json!({"model": "m", "version": 2}));
    site.store.compact();
    std::thread::sleep(Duration::from_millis(2_500));
    site.store.set_fault(StoreFault::None);
    until("the version is known", || entry.dump()["weights"]["m"] == 2);
    assert!(is_served());
}

// An entry starts seconds after a version was named and learns its age from the watcher. Were the naming
// dated to the start of its process, it would send requests to endpoints with the older version past
// the bound, while all other entries refuse them.
#[test]
fn version_named_before_the_start_keeps_its_age() {
    let site = Site::start();
    site.origin.set_down(true);
    let engine = site.endpoint("i-w", "writer", Some(1));
    let _agent = site.agent("early-agent", &engine);
    let watcher = site.entry("early-watcher");
    site.store.put("versions", "m", serde_json::json!({"model": "m", "version": 2}));
    let is_served = |entry: &Entry| {
        entry.ask("/stream/a", "s", "key-1").is_ok_and(|answer| answer.status == 200)
    };
    until("the version is known", || watcher.dump()["weights"]["m"] == 2);
    until("the older one is barred", || !is_served(&watcher));
    let late = site.entry("early-late");
    until("it follows", || late.dump()["follows"] == true);
    assert!(!is_served(&late));
}

// The store turns the watcher of a region away for longer than the lease on the configuration lasts, and
// serves the other entries. It refused all callers meanwhile, though its neighbours knew all it lacked,
// and these all asked the store for themselves. The cause: agents named the entry with the lowest address,
// whatever it knew. The store's record of calls showed it: in two regions the entries that else follow
// called the store for seconds, beginning when it turned their watchers away.
#[test]
fn watcher_that_the_store_turns_away_follows_another() {
    let site = Site::start();
    let _desk = site.endpoint("i-d", "desk", None);
    let engine = site.endpoint("i-w", "writer", Some(1));
    let _agent = site.agent("away-agent", &engine);
    let door = site.store.door().expect("the store has another address");
    let watcher = site.entry_at("away-watcher", door.address());
    let follower = site.entry("away-follower");
    until("the second entry follows", || follower.dump()["follows"] == true);
    door.set_closed(true);
    let is_served = |key| watcher.ask("/lookup/a", "a", key).is_ok_and(|a| a.status == 200);
    assert!(!is_within(AWAY_FOR, || !is_served("key-1") || !watcher.is_ready()));
    site.configure(5, &["key-1"], true);
    assert!(is_within(KEY_GONE_WITHIN, || !is_served("key-2")));
    assert!(is_served("key-1") && watcher.dump()["follows"] == true);
}

// Hundreds of entries that start together all read the store, whose links are full for seconds.
#[test]
fn entry_that_starts_learns_all_from_a_seed() {
    let site = Site::start();
    let _desk = site.endpoint("i-d", "desk", None);
    let seed = site.entry("seeded-first");
    let door = site.store.door().expect("the store has another address");
    door.set_closed(true);
    let second = site.entry_seeded("seeded-second", door.address(), &[&seed]);
    until("it is ready", || second.is_ready());
    assert!(second.ask("/lookup/a", "a", "key-1").is_ok_and(|answer| answer.status == 200));
    assert_eq!(second.dump()["depth"], 1);
}

// The seeds of an entry's settings are gone, and it waits for them instead of asking the store.
#[test]
fn entry_that_starts_without_its_seeds_asks_the_store() {
    let site = Site::start();
    let gone = site.entry("gone-first");
    gone.program.signal("KILL");
    let second = site.entry_seeded("gone-second", site.store.address(), &[&gone]);
    until("it is ready", || second.is_ready());
    assert_eq!(second.dump()["follows"], false);
}

// The store is away while a version is named, and the entry that asked it for the others is gone when it is
// back. The entry that asks in its place takes the version for one that was named at the start of the outage,
// and refuses callers for want of an endpoint that has loaded it.
#[test]
fn version_named_while_the_store_is_away_counts_from_its_return_for_a_follower() {
    let pair = Pair::start("outage");
    let is_served =
        || pair.follower.ask("/stream/a", "s", "key-1").is_ok_and(|answer| answer.status == 200);
    until("served", is_served);
    // Its own watches of the store, from before it followed, end meanwhile.
    std::thread::sleep(Duration::from_secs(5));
    pair.site.origin.set_down(true);
    pair.site.store.set_fault(StoreFault::Silent);
    pair.site.store.put("versions", "m", serde_json::json!({"model": "m", "version": 2}));
    pair.site.store.compact();
    std::thread::sleep(Duration::from_millis(3_500));
    pair.watcher.program.signal("KILL");
    pair.site.store.set_fault(StoreFault::None);
    until("the version is known", || pair.follower.dump()["weights"]["m"] == 2);
    assert!(is_served());
}
