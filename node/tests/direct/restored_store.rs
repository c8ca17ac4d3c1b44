use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::EndpointFault;
use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::site::ENDPOINTS;
use mastichaven_standins::direct::store::StoreCopy;
use mastichaven_standins::direct::store::StoreFault;

use super::fixture::Entry;
use super::fixture::Site;
use super::fixture::until;

/// Bound on the leaving of an endpoint, as in the settings of the entries.
const LEAVE_BOUND: Duration = Duration::from_millis(2_000);

/// Time for which the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);

/// Changes after the copy, whose revisions are given out again.
const LOST_CHANGES: usize = 20;

/// Time for which it is checked that what the copy shows is not taken.
const CHECK_TIME: Duration = Duration::from_millis(1_500);

/// Two endpoints, an entry that reads the store and one that follows it, and a copy of the store. The next changes
/// are lost.
struct RestoredSite {
    site: Site,
    endpoints: [FakeEndpoint; 2],
    entries: [Entry; 2],
    copy: StoreCopy,
}

impl RestoredSite {
    fn start(name: &str) -> RestoredSite {
        let site = Site::start();
        let endpoints = ["i-1", "i-2"].map(|id| site.start_endpoint(id, "desk", None));
        let root = site.start_entry(&format!("{name}-root"));
        let store = site.store.address();
        let follower = site.start_entry_with_seeds(&format!("{name}-follower"), store, &[&root]);
        let entries = [root, follower];
        let copy = site.store.copy();
        let site = RestoredSite { site, endpoints, entries, copy };
        site.until_entries("know both", |dump| {
            dump["endpoints"].as_array().map(Vec::len) == Some(2)
        });
        for n in 0..LOST_CHANGES {
            site.list(n % 2, "ready");
        }
        let last = format!("\"revision\":\"1:{}\"", site.site.store.revision());
        until("the entries know the changes", || {
            site.entries.iter().all(|entry| entry.program.log().contains(&last))
        });
        site
    }

    fn list(&self, n: usize, state: &str) {
        self.site.list_endpoint(&format!("i-{}", n + 1), "desk", &self.endpoints[n], state);
    }

    fn until_entries(&self, what: &str, is_met: impl Fn(&serde_json::Value) -> bool) {
        until(&format!("the entries {what}"), || {
            self.entries.iter().all(|entry| is_met(&entry.dump()))
        });
    }

    /// Makes the store go back to the copy, then write `changes` before anybody can read it again.
    fn restore(&self, changes: impl FnOnce(&RestoredSite)) {
        self.site.store.set_fault(StoreFault::Silent);
        thread::sleep(AWAY);
        self.site.store.restore(&self.copy);
        changes(self);
        self.site.store.set_fault(StoreFault::None);
    }

    /// Waits until the root has read the store again.
    fn until_read(&self) {
        until("the root has listed the endpoints again", || {
            let log = self.entries[0].program.log();
            log.rfind("store lost").is_some_and(|lost| log[lost..].contains("\"listed\""))
        });
    }

    /// Number of requests that reach the first endpoint while each entry gets requests for `duration` and the other
    /// endpoint is full.
    fn requests_reaching_first(&self, duration: Duration) -> usize {
        self.endpoints[1].set_fault(EndpointFault::Full);
        let before = self.endpoints[0].runs().len();
        let started_at = Instant::now();
        for m in 0.. {
            if started_at.elapsed() >= duration {
                break;
            }
            let entry = &self.entries[m % 2];
            let response = entry.send_request("/lookup/a", &format!("r{before}-{m}"), "key-1");
            assert!([200, 503].contains(&response.expect("a response").status));
            thread::sleep(Duration::from_millis(10));
        }
        self.endpoints[0].runs().len() - before
    }
}

// The store comes back from a copy, and its next changes have revisions that the entries know from before.
#[test]
fn leaving_after_store_went_back_is_applied() {
    let site = RestoredSite::start("after");
    let revision = site.site.store.revision();
    site.restore(|_| {});
    site.until_read();
    site.list(0, "draining");
    assert!(site.site.store.revision() < revision);
    thread::sleep(LEAVE_BOUND);
    assert_eq!(site.requests_reaching_first(CHECK_TIME), 0);
}

// The new history has passed the revision of a waiting watch before it is sent again, so the store does not answer 410.
#[test]
fn leaving_within_new_history_is_applied() {
    let site = RestoredSite::start("within");
    let revision = site.site.store.revision();
    site.restore(|site| {
        site.list(0, "draining");
        while site.site.store.revision() <= revision + 1 {
            site.list(1, "ready");
        }
    });
    thread::sleep(LEAVE_BOUND);
    assert_eq!(site.requests_reaching_first(CHECK_TIME), 0);
}

// The copy shows an endpoint as ready that has said since that it leaves.
#[test]
fn leaving_before_store_went_back_holds() {
    let site = RestoredSite::start("before");
    site.list(0, "draining");
    thread::sleep(LEAVE_BOUND);
    site.restore(|_| {});
    assert_eq!(site.requests_reaching_first(CHECK_TIME * 2), 0);
}

// The copy shows an endpoint that has been removed since.
#[test]
fn removal_before_store_went_back_holds() {
    let site = RestoredSite::start("removed");
    site.site.store.delete(ENDPOINTS, "i-1");
    thread::sleep(LEAVE_BOUND);
    site.restore(|_| {});
    assert_eq!(site.requests_reaching_first(CHECK_TIME * 2), 0);
}

// The copy shows a zone in service that has been taken out since, and operators write that again later.
#[test]
fn evacuation_before_store_went_back_holds() {
    let site = RestoredSite::start("zone");
    let evacuate = || site.site.store.put("evacuations", "zone-a", serde_json::json!({}));
    evacuate();
    thread::sleep(LEAVE_BOUND);
    site.restore(|_| {});
    assert_eq!(site.requests_reaching_first(CHECK_TIME), 0);
    evacuate();
    assert_eq!(site.requests_reaching_first(CHECK_TIME), 0);
    site.site.store.delete("evacuations", "zone-a");
    until("the zone is in service again", || site.requests_reaching_first(AWAY) > 0);
}

// A zone is taken out, the store goes back before it, and the operators put the zone back into service.
#[test]
fn evacuation_that_is_not_written_again_ends() {
    let site = RestoredSite::start("stale-zone");
    site.site.store.put("evacuations", "zone-a", serde_json::json!({}));
    thread::sleep(LEAVE_BOUND);
    site.restore(|_| {});
    until("the zone is in service again", || site.requests_reaching_first(AWAY) > 0);
}

// The copy holds an older configuration, with a key that has been revoked since.
#[test]
fn revoked_key_stays_revoked_after_store_went_back() {
    let site = RestoredSite::start("key");
    site.site.configure(2, &["key-1"], true);
    site.until_entries("know it", |dump| dump["config"] == 2);
    site.restore(|_| {});
    site.until_read();
    for (n, entry) in site.entries.iter().enumerate() {
        let response = entry.send_request("/lookup/a", &format!("k{n}"), "key-2");
        assert_eq!(response.expect("a response").status, 401);
    }
}

// The copy holds an older version of the weights.
#[test]
fn version_of_weights_stays_after_store_went_back() {
    let site = RestoredSite::start("weights");
    let name = |version: u64| {
        let spec = serde_json::json!({"model": "m", "version": version});
        site.site.store.put("versions", "m", spec);
    };
    name(2);
    site.until_entries("know it", |dump| dump["weights"]["m"] == 2);
    site.restore(|_| {});
    site.until_read();
    thread::sleep(AWAY);
    assert!(site.entries.iter().all(|entry| entry.dump()["weights"]["m"] == 2));
    name(3);
    site.until_entries("know the next", |dump| dump["weights"]["m"] == 3);
}
