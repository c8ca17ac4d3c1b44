use std::time::Duration;

use mastichaven_core::Time;
use mastichaven_core::direct::rollout::DownloadProgress;
use mastichaven_core::direct::rollout::HostState;
use mastichaven_core::direct::rollout::estimate_ready_in;
use mastichaven_core::direct::rollout::may_load;

const BOUND: Duration = Duration::from_secs(8);

fn host_state(rank: u32, hosts: u32) -> HostState {
    HostState {
        is_barred: false,
        staged: 2,
        announced_at: Time::ZERO,
        held: Some(1),
        outdated_since: Time::ZERO,
        rank,
        hosts,
        bound: BOUND,
    }
}

fn first_load_time(state: &HostState) -> Duration {
    let times = (0..10_000).map(Time::from_millis);
    let found = times.into_iter().find(|now| may_load(state, *now));
    found.expect("the host loads within 10 s").since(Time::ZERO)
}

// 24 hosts complete the download of a version at about the same time. If all drained at once, the model would be
// unavailable for about a second and a half.
#[test]
fn may_load_spreads_hosts_over_bound() {
    let load_times: Vec<Duration> =
        (0..24).map(|rank| first_load_time(&host_state(rank, 24))).collect();
    let unavailable_for = Duration::from_millis(1_300);
    for from in &load_times {
        let concurrent =
            load_times.iter().filter(|at| *at >= from && **at < *from + unavailable_for).count();
        assert!(concurrent <= 10, "{concurrent} of 24 hosts unavailable at the same time");
    }
    assert!(load_times.iter().all(|at| *at < BOUND.mul_f64(0.85)));
}

// A new endpoint without weights serves no requests, so a delay would have no benefit.
#[test]
fn may_load_at_once_without_weights() {
    let empty = HostState { held: None, ..host_state(23, 24) };
    assert!(may_load(&empty, Time::ZERO));
}

// Version 3 is announced shortly after version 2, before any host has completed version 2. A host that waited
// for its load time of version 3 would still have version 1 after the bound of version 2.
#[test]
fn may_load_within_bound_of_first_missed_version() {
    let announced_at = Time::from_millis(4_000);
    let late = HostState { staged: 3, announced_at, ..host_state(23, 24) };
    assert!(first_load_time(&late) < BOUND);
}

#[test]
fn may_load_is_false_if_version_is_loaded() {
    let current = HostState { held: Some(2), ..host_state(0, 24) };
    assert!(!may_load(&current, Time::from_millis(60_000)));
}

// Guards against seconds without any available endpoint: a version was announced during a store outage, entries
// no longer route requests to the older version, and hosts still wait for their load times.
#[test]
fn may_load_at_once_if_loaded_version_is_barred() {
    let waiting = host_state(23, 24);
    assert!(!may_load(&waiting, waiting.announced_at));
    assert!(may_load(&HostState { is_barred: true, ..waiting }, waiting.announced_at));
}

// Guards against an estimate for callers that is based on the first few chunks, which arrive before all links
// are busy.
#[test]
fn estimate_ready_in_extrapolates_download_rate() {
    let load = Duration::from_millis(400);
    let elapsed = Duration::from_millis(600);
    let progress = DownloadProgress { chunks: 64, missing: 48, elapsed };
    assert_eq!(estimate_ready_in(&progress, load), Some(Duration::from_millis(2_200)));
    assert_eq!(estimate_ready_in(&DownloadProgress { missing: 0, ..progress }, load), Some(load));
    assert_eq!(estimate_ready_in(&DownloadProgress { missing: 62, ..progress }, load), None);
}
