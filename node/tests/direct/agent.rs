use std::thread;
use std::time::Duration;

use mastichaven_standins::direct::endpoint::FakeEndpoint;
use mastichaven_standins::direct::origin::CHUNKS;
use mastichaven_standins::direct::store::StoreFault;
use serde_json::json;

use super::fixture::Program;
use super::fixture::Site;
use super::fixture::until;

fn name_version(site: &Site, version: u64) {
    site.store.put("versions", "m", json!({"model": "m", "version": version}));
}

fn fleet(
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

fn all_hold(fleet: &[(FakeEndpoint, Program)], version: u64) -> bool {
    fleet.iter().all(|(endpoint, _)| endpoint.version() == Some(version))
}

// A new endpoint holds nothing. Its agent brings the weights from peers and has it load them.
#[test]
fn new_endpoint_gets_weights_from_peers() {
    let site = Site::start();
    let old = fleet(&site, "peers", 2, Some(1));
    let entry = site.start_entry("peers");
    until("old ones know the digests", || {
        old.iter().all(|(_, agent)| agent.log().contains("digests known"))
    });
    let new = site.start_endpoint("i-new", "writer", None);
    let _agent = site.start_agent("peers-new", &new);
    until("the new one answers from version 1", || new.version() == Some(1));
    assert_eq!(new.inconsistent_loads(), 0);
    assert_eq!(site.origin.chunks_sent(), 0);
    until("it is sent requests", || {
        let _ = entry.send_request("/stream/a", "a", "key-1");
        !new.runs().is_empty()
    });
}

// A new version is named. Every endpoint must answer from it in time, the origin must send about one
// copy, and callers must be answered throughout.
#[test]
fn new_version_reaches_all_while_callers_are_answered() {
    let site = Site::start();
    let fleet = fleet(&site, "version", 3, Some(1));
    let entry = site.start_entry("version");
    until("agents report", || entry.dump()["entries"] == 1);
    name_version(&site, 2);
    let mut asked = 0;
    until("all hold version 2", || {
        asked += 1;
        let answer = entry.send_request("/stream/a", &format!("s{asked}"), "key-1").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        all_hold(&fleet, 2)
    });
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
    assert!(site.origin.chunks_sent() <= CHUNKS as u64 * 2, "{}", site.origin.chunks_sent());
}

// Staged chunks turn bad while they lie there. Loading them would answer callers from wrong weights.
#[test]
fn rotten_chunks_are_never_loaded() {
    let site = Site::start();
    let fleet = fleet(&site, "rotten", 2, Some(1));
    let _entry = site.start_entry("rotten");
    until("digests known", || fleet.iter().all(|(_, a)| a.log().contains("digests known")));
    name_version(&site, 2);
    for _ in 0..60 {
        for (endpoint, _) in &fleet {
            endpoint.corrupt_staged(3);
        }
        thread::sleep(Duration::from_millis(10));
    }
    until("all hold version 2", || all_hold(&fleet, 2));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// The origin is down when a version is named, and sends wrong chunks when it is back.
#[test]
fn version_comes_after_an_outage_of_the_origin() {
    let site = Site::start();
    let fleet = fleet(&site, "outage", 2, Some(1));
    let _entry = site.start_entry("outage");
    until("digests known", || fleet.iter().all(|(_, a)| a.log().contains("digests known")));
    site.origin.set_down(true);
    name_version(&site, 2);
    thread::sleep(Duration::from_secs(3));
    site.origin.set_corrupting(true);
    site.origin.set_down(false);
    thread::sleep(Duration::from_secs(1));
    site.origin.set_corrupting(false);
    let back = std::time::Instant::now();
    until("all hold version 2", || all_hold(&fleet, 2));
    assert!(back.elapsed() < Duration::from_secs(8), "{:?}", back.elapsed());
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// Version 3 is named right after version 2. No endpoint may load chunks of both.
#[test]
fn two_versions_in_a_row_never_mix() {
    let site = Site::start();
    let fleet = fleet(&site, "row", 3, Some(1));
    let _entry = site.start_entry("row");
    until("digests known", || fleet.iter().all(|(_, a)| a.log().contains("digests known")));
    name_version(&site, 2);
    thread::sleep(Duration::from_millis(900));
    name_version(&site, 3);
    until("all hold version 3", || all_hold(&fleet, 3));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// All agents are killed in the middle of a download and start again. They find what is staged and go
// on.
#[test]
fn agents_killed_midway_go_on() {
    let site = Site::start();
    let mut fleet = fleet(&site, "killed", 2, Some(1));
    let _entry = site.start_entry("killed");
    until("digests known", || fleet.iter().all(|(_, a)| a.log().contains("digests known")));
    name_version(&site, 2);
    until("a chunk has come", || site.origin.chunks_sent() > 0);
    for (n, (endpoint, agent)) in fleet.iter_mut().enumerate() {
        agent.signal("KILL");
        agent.wait();
        *agent = site.start_agent(&format!("killed-again-{n}"), endpoint);
    }
    until("all hold version 2", || all_hold(&fleet, 2));
    assert!(fleet.iter().all(|(endpoint, _)| endpoint.inconsistent_loads() == 0));
}

// All agents are restarted at once while the store's links are full. Each of them reading the
// configuration for itself made that last for seconds, in which no endpoint could be judged. Entries know
// it already and tell what agents need.
#[test]
fn restarted_agent_learns_its_service_from_an_entry() {
    let site = Site::start();
    let endpoint = site.start_endpoint("i-w", "writer", Some(1));
    let _entry = site.start_entry("told-entry");
    site.store.set_fault(StoreFault::Silent);
    let agent = site.start_agent("told-agent", &endpoint);
    until("the service is known", || agent.log().contains("service known"));
    site.store.set_fault(StoreFault::None);
}

// An endpoint is added while the store is away. Its agent reads its peers there, and it stays empty.
#[test]
fn new_endpoint_gets_weights_while_the_store_is_away() {
    let site = Site::start();
    let old = fleet(&site, "away", 2, Some(1));
    let entry = site.start_entry("away");
    name_version(&site, 2);
    until("all hold version 2", || all_hold(&old, 2));
    let new = site.start_endpoint("i-new", "writer", None);
    until("it is known", || entry.dump()["endpoints"].as_array().is_some_and(|all| all.len() == 3));
    site.store.set_fault(StoreFault::Silent);
    let _agent = site.start_agent("away-new", &new);
    until("it answers from version 2", || new.version() == Some(2));
    site.store.set_fault(StoreFault::None);
}
