use std::thread;
use std::time::Duration;
use std::time::Instant;

use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::site;
use serde_json::json;

use super::fixture::Entry;
use super::fixture::Program;
use super::fixture::Site;
use super::fixture::until;
use super::version_history::VersionHistory;

/// Time for which it is checked, after all processes have started again, that what was acknowledged holds.
const CHECK_TIME: Duration = Duration::from_secs(4);

/// Entries and agents, whose hosts all lose power at the same moment.
struct Fleet {
    entries: Vec<Entry>,
    agents: Vec<Program>,
}

impl Fleet {
    fn start(name: &str, site: &Site, engines: &[&FakeEndpoint]) -> Fleet {
        let first = site.spawn_entry(&format!("{name}-0"));
        let others = (1..3).map(|n| site.spawn_entry_with_seeds(&format!("{name}-{n}"), &[&first]));
        let entries: Vec<Entry> = others.collect();
        let agents = engines
            .iter()
            .enumerate()
            .map(|(n, engine)| site.start_agent(&format!("{name}-agent-{n}"), engine))
            .collect();
        let entries: Vec<Entry> = std::iter::once(first).chain(entries).collect();
        until("the entries are ready", || entries.iter().all(Entry::is_ready));
        Fleet { entries, agents }
    }

    fn lose_power(self) {
        let processes = self.entries.iter().map(|entry| &entry.program).chain(&self.agents);
        processes.for_each(|program| program.signal("KILL"));
    }
}

fn requests_at(endpoint: &FakeEndpoint) -> usize {
    endpoint.runs().len()
}

// Guards against what only the memory of hosts holds: all of them lose power right after the store has acknowledged a
// revoked key, a leaving endpoint, a zone that is taken out and a version of the weights.
#[test]
fn acknowledged_changes_hold_after_all_hosts_lose_power() {
    let site = Site::start();
    let [leaving, staying] = ["i-1", "i-2"].map(|id| site.start_endpoint(id, "desk", None));
    let away = FakeEndpoint::start("127.0.0.1:0", "i-3", None).expect("the endpoint starts");
    site.store.put(site::ENDPOINTS, "i-3", away.record("desk", "zone-b", "ready"));
    let engine = site.start_endpoint("i-4", "writer", Some(1));
    let fleet = Fleet::start("power", &site, &[&engine]);
    until("served", || {
        let entry = &fleet.entries[0];
        ["/lookup/a", "/stream/a"].iter().all(|path| {
            entry.send_request(path, "a", "key-2").is_ok_and(|response| response.status == 200)
        })
    });

    let mut history = VersionHistory::default();
    site.configure(2, &["key-1"], true);
    site.list_endpoint("i-1", "desk", &leaving, "draining");
    site.store.put("evacuations", "zone-b", json!({}));
    history.announce(&site, 2);
    fleet.lose_power();

    let before = [&leaving, &away].map(requests_at);
    let fleet = Fleet::start("power-again", &site, &[&engine]);
    let started_at = Instant::now();
    for m in 0.. {
        if started_at.elapsed() >= CHECK_TIME {
            break;
        }
        let entry = &fleet.entries[m % fleet.entries.len()];
        let status = |path, key: &str| {
            entry.send_request(path, &format!("b{m}{key}"), key).expect("a response").status
        };
        assert_eq!(status("/lookup/a", "key-2"), 401);
        assert!([200, 503].contains(&status("/lookup/a", "key-1")));
        assert!([200, 503].contains(&status("/stream/a", "key-1")));
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!([&leaving, &away].map(requests_at), before);
    assert!(requests_at(&staying) > 0);
    assert_eq!(engine.version(), Some(2));
    let late = history.late_begins(site.weights_bound, [&engine]);
    assert!(late.is_empty(), "{late:?}");
}
