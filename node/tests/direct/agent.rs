use std::thread;
use std::time::Duration;

use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::origin::CHUNKS;
use mastichaven_standins::direct::store::StoreFault;
use serde_json::json;

use super::fixture::Program;
use super::fixture::Site;
use super::fixture::until;

fn announce_version(site: &Site, version: u64) {
    site.store.put("versions", "m", json!({"model": "m", "version": version}));
}

fn start_fleet(
    site: &Site,
    test: &str,
    count: usize,
    version: Option<u64>,
) -> Vec<(FakeEndpoint, Program)> {
    let start = |n| {
        let endpoint = site.start_endpoint(&format!("i-{n}"), "writer", version);
        let agent = site.start_agent(&format!("{test}-{n}"), &endpoint);
        (endpoint, agent)
    };
    (0..count).map(start).collect()
}

fn all_loaded(fleet: &[(FakeEndpoint, Program)], version: u64) -> bool {
    fleet.iter().all(|(endpoint, _)| endpoint.version() == Some(version))
}

// A new endpoint has no weights. Its agent downloads them from peers and orders the load.
#[test]
fn new_endpoint_downloads_from_peers() {
    let site = Site::start();
    let existing = start_fleet(&site, "peers", 2, Some(1));
    let entry = site.start_entry("peers");
    until("existing agents have received the manifest", || {
        existing.iter().all(|(_, agent)| agent.log().contains("manifest received"))
    });
    let new = site.start_endpoint("i-new", "writer", None);
    let _agent = site.start_agent("peers-new", &new);
    until("the new endpoint has loaded version 1", || new.version() == Some(1));
    assert_eq!(new.inconsistent_loads(), 0);
    assert_eq!(site.origin.chunks_sent(), 0);
    until("the new endpoint receives requests", || {
        let _ = entry.send_request("/stream/a", "a", "key-1");
        !new.runs().is_empty()
    });
}

// A new version is announced. All endpoints must load it, the origin must send about one copy of it, and
// requests must succeed during the rollout.
#[test]
fn rollout_serves_requests_throughout() {
    let site = Site::start();
    let fleet = start_fleet(&site, "version", 3, Some(1));
    let entry = site.start_entry("version");
    until("agents have reported to the entry", || entry.dump()["entries"] == 1);
    announce_version(&site, 2);
    let mut requests = 0;
    until("all endpoints have loaded version 2", || {
        requests += 1;
        let answer = entry.send_request("/stream/a", &format!("s{requests}"), "key-1").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        all_loaded(&fleet, 2)
    });
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
    assert!(site.origin.chunks_sent() <= CHUNKS as u64 * 2, "{}", site.origin.chunks_sent());
}

// Staged chunks become corrupt before the load. If they were loaded, callers would receive responses computed
// from wrong weights.
#[test]
fn load_rejects_corrupt_staged_chunks() {
    let site = Site::start();
    let fleet = start_fleet(&site, "rotten", 2, Some(1));
    let _entry = site.start_entry("rotten");
    until("manifest received", || fleet.iter().all(|(_, a)| a.log().contains("manifest received")));
    announce_version(&site, 2);
    for _ in 0..60 {
        for (endpoint, _) in &fleet {
            endpoint.corrupt_staged(3);
        }
        thread::sleep(Duration::from_millis(10));
    }
    until("all endpoints have loaded version 2", || all_loaded(&fleet, 2));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// The origin is down when a version is announced, and sends corrupt chunks at first when it is up again.
#[test]
fn download_recovers_after_origin_outage() {
    let site = Site::start();
    let fleet = start_fleet(&site, "outage", 2, Some(1));
    let _entry = site.start_entry("outage");
    until("manifest received", || fleet.iter().all(|(_, a)| a.log().contains("manifest received")));
    site.origin.set_down(true);
    announce_version(&site, 2);
    thread::sleep(Duration::from_secs(3));
    site.origin.set_corrupting(true);
    site.origin.set_down(false);
    thread::sleep(Duration::from_secs(1));
    site.origin.set_corrupting(false);
    let recovered_at = std::time::Instant::now();
    until("all endpoints have loaded version 2", || all_loaded(&fleet, 2));
    assert!(recovered_at.elapsed() < Duration::from_secs(8), "{:?}", recovered_at.elapsed());
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// Two versions are announced while the origin is down, and the entry that serves their chunks is killed. Agents must
// end the older one, and must not pull a copy each when the origin is up again.
#[test]
fn newest_version_leaves_origin_once_after_outage() {
    let site = Site::start();
    let fleet = start_fleet(&site, "superseded", 3, Some(1));
    let logged = |text: &str| fleet.iter().all(|(_, agent)| agent.log().contains(text));
    let entry = site.start_entry("superseded");
    until("manifest received", || logged("manifest received"));
    site.origin.set_down(true);
    announce_version(&site, 2);
    until("version 2 is announced", || logged("\"version\":2"));
    announce_version(&site, 3);
    until("the download of version 2 has ended", || logged("older download ended"));
    entry.program.signal("KILL");
    let _successor = site.start_entry("superseded-successor");
    thread::sleep(Duration::from_secs(1));
    site.origin.set_down(false);
    until("all endpoints have loaded version 3", || all_loaded(&fleet, 3));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
    assert!(site.origin.chunks_sent() * 10 <= CHUNKS as u64 * 13, "{}", site.origin.chunks_sent());
}

// Version 3 is announced shortly after version 2. No endpoint may load chunks of both.
#[test]
fn load_never_mixes_consecutive_versions() {
    let site = Site::start();
    let fleet = start_fleet(&site, "row", 3, Some(1));
    let _entry = site.start_entry("row");
    until("manifest received", || fleet.iter().all(|(_, a)| a.log().contains("manifest received")));
    announce_version(&site, 2);
    thread::sleep(Duration::from_millis(900));
    announce_version(&site, 3);
    until("all endpoints have loaded version 3", || all_loaded(&fleet, 3));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// An order to load version 2 times out and takes effect after version 3 is staged. The endpoint must not load
// chunks of both versions.
#[test]
fn load_order_that_takes_effect_late_loads_one_version() {
    const ORDER_DELAY: Duration = Duration::from_secs(3);
    let site = Site::start();
    let endpoint = site.start_endpoint("i-late", "writer", Some(1));
    let agent = site.start_agent("late-order", &endpoint);
    let _entry = site.start_entry("late-order");
    until("manifest received", || agent.log().contains("manifest received"));
    endpoint.delay_next_order(ORDER_DELAY);
    announce_version(&site, 2);
    until("the load of version 2 is ordered", || endpoint.delayed_orders() == 1);
    let ordered_at = std::time::Instant::now();
    announce_version(&site, 3);
    until("the endpoint has loaded version 3", || endpoint.version() == Some(3));
    thread::sleep((ORDER_DELAY + Duration::from_secs(1)).saturating_sub(ordered_at.elapsed()));
    assert_eq!(endpoint.inconsistent_loads(), 0);
    assert_eq!(endpoint.version(), Some(3));
}

// An agent is killed while its order to load version 2 is outstanding, and its successor stages version 3. The
// endpoint must not load the staged chunks as version 2.
#[test]
fn load_order_of_killed_agent_does_not_load_other_version() {
    const ORDER_DELAY: Duration = Duration::from_secs(5);
    let site = Site::start();
    let endpoint = site.start_endpoint("i-late", "writer", Some(1));
    let mut agent = site.start_agent("late-killed", &endpoint);
    let _entry = site.start_entry("late-killed");
    until("manifest received", || agent.log().contains("manifest received"));
    endpoint.delay_next_order(ORDER_DELAY);
    announce_version(&site, 2);
    until("the load of version 2 is ordered", || endpoint.delayed_orders() == 1);
    let ordered_at = std::time::Instant::now();
    agent.signal("KILL");
    agent.wait();
    announce_version(&site, 3);
    let _agent = site.start_agent("late-successor", &endpoint);
    until("the endpoint has loaded version 3", || endpoint.version() == Some(3));
    thread::sleep((ORDER_DELAY + Duration::from_secs(1)).saturating_sub(ordered_at.elapsed()));
    assert_eq!(endpoint.inconsistent_loads(), 0);
    assert_eq!(endpoint.version(), Some(3));
}

// All agents are killed during a download and restarted. They find the staged chunks and resume the download.
#[test]
fn download_resumes_after_agent_crash() {
    let site = Site::start();
    let mut fleet = start_fleet(&site, "killed", 2, Some(1));
    let _entry = site.start_entry("killed");
    until("manifest received", || fleet.iter().all(|(_, a)| a.log().contains("manifest received")));
    announce_version(&site, 2);
    until("the origin has sent a chunk", || site.origin.chunks_sent() > 0);
    for (n, (endpoint, agent)) in fleet.iter_mut().enumerate() {
        agent.signal("KILL");
        agent.wait();
        *agent = site.start_agent(&format!("killed-again-{n}"), endpoint);
    }
    until("all endpoints have loaded version 2", || all_loaded(&fleet, 2));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// All agents restart at once while the store's links are saturated. When each agent read the configuration from
// the store, the saturation lasted for seconds, during which the state of no endpoint was known. Entries already
// have the configuration and send agents their part of it.
#[test]
fn restarted_agent_receives_setup_from_entry() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-w", "writer", Some(1));
    let _entry = site.start_entry("told-entry");
    site.store.set_fault(StoreFault::Silent);
    let agent = site.start_agent("told-agent", &endpoint);
    until("the agent has applied the setup", || agent.log().contains("setup applied"));
    site.store.set_fault(StoreFault::None);
}

// An endpoint is added during a store outage. When agents read their peers only from the store, the endpoint did
// not receive any weights.
#[test]
fn new_endpoint_downloads_during_store_outage() {
    let site = Site::start();
    let existing = start_fleet(&site, "away", 2, Some(1));
    let entry = site.start_entry("away");
    announce_version(&site, 2);
    until("all endpoints have loaded version 2", || all_loaded(&existing, 2));
    let new = site.start_endpoint("i-new", "writer", None);
    until("the entry has received the new endpoint", || {
        entry.dump()["endpoints"].as_array().is_some_and(|all| all.len() == 3)
    });
    site.store.set_fault(StoreFault::Silent);
    let _agent = site.start_agent("away-new", &new);
    until("the new endpoint has loaded version 2", || new.version() == Some(2));
    site.store.set_fault(StoreFault::None);
}
